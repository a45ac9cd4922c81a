"""Assembles the parts of a gateway."""

from __future__ import annotations

import random
from functools import partial

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.logs import RequestSampler
from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_routing.placement import Placement
from lentilshore_routing.retries import RetryPolicy, SlidingWindowBudget
from lentilshore_routing.version_choice import VersionChooser

from .fleet_view import FleetView
from .forwarding import Translator
from .gateway_context import GatewayContext, GatewayTimes
from .http_client import HttpClient

# The balancer spreads callers unevenly, so that a node keeps under its part of the
# fleet's retries.
RETRY_RATIO_SHARE = 0.8
# Nodes among which the fleet's extra retries are divided.
RETRY_EXTRA_NODES = 12
# Most of them that one node takes, enough for the repeats of one request: no node knows
# how many there are, and in larger fleets the share held back above covers the rest.
RETRY_RESERVE_LIMIT = 4.3
# Most repeats of one request, refusals by replicas included; runs are bounded by the
# route.
REQUEST_RETRIES = 5
# Part of the time for leaving in which a replica that vanished is still used.
VANISHED_SHARE = 0.75


def create_budget(times: GatewayTimes, clock: Clock) -> SlidingWindowBudget:
    """Create a node's part of the fleet's retries at one service."""
    return SlidingWindowBudget(
        times.retry_ratio * RETRY_RATIO_SHARE,
        min(RETRY_RESERVE_LIMIT, times.retry_extra / RETRY_EXTRA_NODES),
        times.retry_window_s,
        clock,
    )


def create_gateway(
    node: str,
    data_centre: str,
    times: GatewayTimes,
    clock: Clock,
    random_source: random.Random,
    metrics: ServedMetrics,
    http: HttpClient,
    translator: Translator,
) -> GatewayContext:
    """Create a gateway without beliefs.

    :param node: name of this instance.
    :param data_centre: where it runs.
    """
    placement = Placement(node, clock, random_source, data_centre)
    return GatewayContext(
        node=node,
        times=times,
        clock=clock,
        random=random_source,
        metrics=metrics,
        view=FleetView(clock, placement, times.leaving_s * VANISHED_SHARE, metrics),
        placement=placement,
        retries=RetryPolicy(REQUEST_RETRIES, partial(create_budget, times, clock)),
        chooser=VersionChooser(times.session_s),
        translator=translator,
        http=http,
        sampler=RequestSampler(clock),
    )
