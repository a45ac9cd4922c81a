"""Assembles the components of a gateway."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.logs import RequestSampler
from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_routing.crash_blame import CrashBlame
from lentilshore_routing.placement import Placement
from lentilshore_routing.replica_limits import ReplicaLimits
from lentilshore_routing.replica_room import ReplicaRoom
from lentilshore_routing.retries import RetryPolicy, SlidingWindowBudget
from lentilshore_routing.version_choice import VersionChooser

from ..clients.forwarding import Translator
from ..clients.http_client import HttpClient
from ..state.cold_replicas import ColdReplicas
from ..state.fleet_view import FleetView
from ..state.gateway_context import GatewayBounds, GatewayContext

# Each node uses only this share of the fleet's retries per request, since the balancer
# spreads callers unevenly.
NODE_RETRY_RATIO_SHARE = 0.8
# The fleet's extra retries are divided among this number of nodes at least.
EXTRA_RETRIES_MIN_NODES = 12
# One node takes at most this many extra retries, enough to repeat one request.
NODE_EXTRA_RETRIES_LIMIT = 4.3
# Largest number of retries of one request, including those after refusals by replicas.
# The attempts that may have run are limited by the route.
REQUEST_RETRY_LIMIT = 5
# A replica that vanished from the list is still used for this share of the time in
# which a draining replica must get no more requests.
VANISHED_REPLICA_SHARE = 0.75


def create_retry_budget(
    bounds: GatewayBounds,
    clock: Clock,
    gateway_count: Callable[[], int] = lambda: 1,
    started_at: float = -math.inf,
) -> SlidingWindowBudget:
    """Create a node's share of the fleet's retry budget for one service.

    :param gateway_count: returns the number of gateways of the fleet.
    :param started_at: time at which this process started, on its clock, seconds. A
        process before it may have made extra retries in the same window.
    """

    def count_extra_retries() -> float:
        if clock.monotonic() - started_at < bounds.retry_window_s:
            return 0.0
        nodes = max(EXTRA_RETRIES_MIN_NODES, gateway_count())
        return min(NODE_EXTRA_RETRIES_LIMIT, bounds.extra_retries / nodes)

    return SlidingWindowBudget(
        bounds.retry_ratio * NODE_RETRY_RATIO_SHARE,
        bounds.retry_ratio,
        count_extra_retries,
        bounds.retry_window_s,
        clock,
    )


def create_gateway(
    node: str,
    data_centre: str,
    bounds: GatewayBounds,
    clock: Clock,
    random_source: random.Random,
    metrics: ServedMetrics,
    http: HttpClient,
    translator: Translator,
    started_at: float | None = None,
) -> GatewayContext:
    """Create a gateway that has read nothing from the store yet.

    :param node: name of this instance.
    :param data_centre: data centre that it runs in.
    :param bounds: bounds that the deployment sets.
    :param random_source: source of all random choices.
    :param http: client for requests to replicas.
    :param translator: reads and writes the deployment's headers.
    :param started_at: time at which this process started, on its clock, seconds; None
        for now.
    """
    limits = ReplicaLimits(node, clock, random_source)
    replica_room = ReplicaRoom(node, clock)
    placement = Placement(node, clock, random_source, data_centre, limits, replica_room)
    if started_at is None:
        started_at = clock.monotonic()

    def create_budget() -> SlidingWindowBudget:
        return create_retry_budget(
            bounds, clock, lambda: context.serving_peers.gateway_count, started_at
        )

    cold = ColdReplicas(clock, limits, metrics, lambda: context.bounds.cold)
    context = GatewayContext(
        node_name=node,
        data_centre=data_centre,
        bounds=bounds,
        clock=clock,
        random=random_source,
        metrics=metrics,
        view=FleetView(
            clock,
            placement,
            bounds.replica_drain_s * VANISHED_REPLICA_SHARE,
            metrics,
            cold,
        ),
        placement=placement,
        limits=limits,
        replica_room=replica_room,
        blame=CrashBlame(clock, random_source),
        retries=RetryPolicy(REQUEST_RETRY_LIMIT, create_budget),
        version_chooser=VersionChooser(bounds.session_timeout_s),
        translator=translator,
        http=http,
        log_sampler=RequestSampler(clock),
    )
    return context
