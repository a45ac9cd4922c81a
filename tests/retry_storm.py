"""Gateways without I/O whose requests meet replicas that reject them."""

import random
from collections import Counter
from typing import NamedTuple

import anyio

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.metrics import MetricsRecorder
from lentilshore_kernel.testing import FakeClock
from lentilshore_kernel.types import Address, Execution, RefusalReason, RetryDenial
from lentilshore_node.delivery.attempts import AttemptLoop, RetryScope
from lentilshore_node.programs.gateway_assembly import (
    REQUEST_RETRY_LIMIT,
    create_retry_budget,
)
from lentilshore_node.state.room_queue import RoomQueue
from lentilshore_routing.placement import Placement
from lentilshore_routing.replicas import Replica
from lentilshore_routing.retries import RetryPolicy
from tests.test_gateway import BOUNDS

REPLICA_NAMES = ("a", "b", "c")
GROUP = "g"
REQUESTS_PER_S = 8
LAST_REQUEST_S = 14.0
# Replicas reject everything between these times.
STORM_S = (3.0, 9.0)
# Part of each second in which replicas reject everything, where they do so in spells.
SPELL_S = 0.4
WINDOW_STEP_S = 0.25


class StormResult(NamedTuple):
    """What a storm did.

    :param worst_share: most arrivals beyond the first of each request in a window, as a
        share of what is allowed there.
    :param answered: share of the requests that were answered.
    :param repeats: arrivals beyond the first of each request, per request.
    """

    worst_share: float
    answered: float
    repeats: float


class Gateway:
    """Components that the requests of one gateway share."""

    def __init__(self, clock, seed, bounds):
        self.clock = clock
        self.metrics = MetricsRecorder()
        self.random = random.Random(seed)
        self.placement = Placement(f"n{seed}", clock, self.random)
        self.retries = RetryPolicy(
            REQUEST_RETRY_LIMIT, lambda: create_retry_budget(bounds, clock)
        )
        self.room = RoomQueue(clock)
        self.placement.update(
            Replica(name, "forward", Address("127.0.0.1", 1), "z", (GROUP,))
            for name in REPLICA_NAMES
        )


class Request:
    """One request that a replica may begin to run before others reject it."""

    replica_group = GROUP

    def __init__(self, gateway, name, deadline_s, storm):
        self._gateway = gateway
        self._storm = storm
        self._deadline_at = gateway.clock.monotonic() + deadline_s
        self._runs = 0
        self.name = name
        self.may_have_run = False

    @property
    def remaining_s(self):
        return self._deadline_at - self._gateway.clock.monotonic()

    def choose_replica(self, tried):
        return self._gateway.placement.choose_untried_first(GROUP, 1.0, tried=tried)

    def record_failure(self, lease, error):
        ran = error.execution is not Execution.NOT_RUN
        self.may_have_run |= ran
        self._runs += ran

    def retry_denial(self):
        if self._runs >= 3:
            return RetryDenial.ROUTE_ATTEMPTS
        return RetryDenial.TIME_LEFT if self.remaining_s < 0.05 else None

    def record_retry(self, reason):
        """Record nothing."""

    async def wait_for_budget(self):
        return False

    async def next_has_begun(self):
        return False

    async def run(self):
        """Return whether the request was answered."""
        gateway = self._gateway
        gateway.retries.record_first_attempt(GROUP)
        scope = RetryScope(self.name, self.name, GROUP, True)
        try:
            await AttemptLoop(gateway, self, scope).run(self._send)
        except UpstreamError:
            return False
        return True

    async def _send(self, lease):
        return await self._storm.arrive(self, lease.replica.name)


class Storm:
    """Requests of several gateways over some seconds.

    :param kind: what replicas do in the storm: ``full``, ``silent_then_full``, in which
        one first runs the request and breaks off, ``spells``, in which they do that
        in a part of each second only, or ``refused``.
    :param retry_ratio: retries allowed per request, over all gateways.
    """

    def __init__(self, gateway_count, kind, seed, retry_ratio=0.3):
        self.clock = FakeClock(0.0)
        self._kind = kind
        self._bounds = BOUNDS._replace(retry_ratio=retry_ratio)
        self._gateways = [
            Gateway(self.clock, seed * 1000 + n, self._bounds)
            for n in range(gateway_count)
        ]
        self._arrivals = []
        self._requests = []
        self._seen = Counter()
        self._answered = 0

    def run(self):
        """Return the result of the storm."""
        anyio.run(self.clock.run, self._run)
        allowed = self._bounds.retry_ratio
        window_s = self._bounds.retry_window_s
        worst = 0.0
        for step in range(int((LAST_REQUEST_S + window_s) / WINDOW_STEP_S)):
            end = step * WINDOW_STEP_S
            repeats = sum(end - window_s < at <= end for at in self._arrivals)
            requests = max(
                sum(end - window_s - lag < at <= end - lag for at in self._requests)
                for lag in (0.0, window_s / 2, window_s)
            )
            limit = allowed * requests + self._bounds.extra_retries
            worst = max(worst, repeats / limit)
        count = len(self._requests)
        return StormResult(worst, self._answered / count, len(self._arrivals) / count)

    async def arrive(self, request, replica_name):
        """Run a request at a replica, or reject it."""
        if not self._rejects():
            self._record_arrival(request)
            await self.clock.sleep(0.05)
            return "answer"
        if self._kind == "refused":
            await self.clock.sleep(0.001)
            raise UpstreamError(RefusalReason.UPSTREAM_FAILED, Execution.NOT_RUN, "-")
        self._record_arrival(request)
        first_breaks_off = self._kind in ("silent_then_full", "spells")
        if first_breaks_off and not request.may_have_run:
            await self.clock.sleep(0.1)
            raise UpstreamError(RefusalReason.UPSTREAM_FAILED, Execution.UNKNOWN, "-")
        await self.clock.sleep(0.005)
        raise UpstreamError(RefusalReason.UPSTREAM_FULL, Execution.NOT_RUN, "-")

    def _rejects(self):
        now = self.clock.monotonic()
        if self._kind == "spells" and now % 1.0 > SPELL_S:
            return False
        return STORM_S[0] <= now < STORM_S[1]

    def _record_arrival(self, request):
        self._seen[request.name] += 1
        if self._seen[request.name] > 1:
            self._arrivals.append(self.clock.monotonic())

    async def _run(self):
        async with anyio.create_task_group() as group:
            for number, gateway in enumerate(self._gateways):
                group.start_soon(self._load, gateway, f"g{number}")

    async def _load(self, gateway, name):
        async with anyio.create_task_group() as group:
            for number in range(int(LAST_REQUEST_S * REQUESTS_PER_S)):
                group.start_soon(self._serve, gateway, f"{name}-{number}")
                await self.clock.sleep(1.0 / REQUESTS_PER_S)

    async def _serve(self, gateway, name):
        self._requests.append(self.clock.monotonic())
        answered = await Request(gateway, name, 5.0, self).run()
        self._answered += answered
