"""Replicas that turn requests away and want none for a while, before many gateways."""

import heapq
import itertools
import math
import random
from functools import partial
from typing import NamedTuple

from lentilshore_kernel.testing import FakeClock
from lentilshore_kernel.types import Address
from lentilshore_routing.placement import Placement
from lentilshore_routing.replicas import Replica
from tests.limited_replicas import ScriptedCall, ScriptedResponse

# A request may still arrive within this time after the answer was sent.
GRACE_S = 0.5
ALLOWED_ARRIVALS = 2
GROUP = "pool@v1"
# Times of the world below, seconds.
CONNECTION_S = (0.001, 0.2)
ON_THE_WAY_S = (0.001, 0.02)
ANSWER_S = (0.005, 0.3)
CALLER_RETRIES = 3


class Rejection(NamedTuple):
    """An answer with 503 and ``Retry-After``."""

    gateway: str
    at: float
    pause_s: float


class PausingReplica:
    """Records what arrives and turns it away while it is busy.

    :param clock: source of time.
    :param pause_s: pause to ask for while busy, seconds; None for none.
    """

    def __init__(self, clock):
        self._clock = clock
        self.pause_s = None
        self.arrivals = []
        self.rejections = []

    def arrive(self, gateway):
        self.arrivals.append((gateway, self._clock.monotonic()))

    def reject(self, gateway):
        """Return the pause to ask for in an answer, None to serve the request."""
        if self.pause_s is not None:
            now = self._clock.monotonic()
            self.rejections.append(Rejection(gateway, now, self.pause_s))
        return self.pause_s

    def excess(self):
        """Return the largest number of arrivals in a pause above what is allowed."""
        times = {}
        for gateway, at in self.arrivals:
            times.setdefault(gateway, []).append(at)
        return max(
            (
                sum(
                    rejection.at + GRACE_S < at < rejection.at + rejection.pause_s
                    for at in times[rejection.gateway]
                )
                - ALLOWED_ARRIVALS
                for rejection in self.rejections
            ),
            default=-ALLOWED_ARRIVALS,
        )


class PausingHttpClient:
    """HTTP client of one gateway whose calls reach the replicas of a test."""

    def __init__(self, gateway, replicas, clock, connection_s=0.02):
        self._gateway = gateway
        self._replicas = replicas
        self._clock = clock
        self._connection_s = connection_s

    async def start(self, address, encode, timeout_s, *_, **__):
        await self._clock.sleep(self._connection_s)
        lines = encode().decode("latin-1").split("\r\n\r\n")[0].split("\r\n")[1:]
        fields = dict(line.lower().split(": ", 1) for line in lines)
        replica = self._replicas[fields["x-expect-instance"]]
        replica.arrive(self._gateway)
        return ScriptedCall(self._clock, partial(self._respond, fields, replica))

    def _respond(self, fields, replica):
        headers = {"x-attempt-id": fields["x-attempt-id"]}
        pause_s = replica.reject(self._gateway)
        if pause_s is not None:
            headers |= {"x-not-executed": "1", "retry-after": f"{pause_s:g}"}
            return ScriptedResponse(503, headers, [b""])
        headers["x-response-signature"] = "s1"
        return ScriptedResponse(200, headers, [b"ok"])

    async def close(self):
        pass


class World:
    """Placements of many gateways before the same replicas, without input and output.

    A call passes through a gateway's choice, the opening of a connection, a check right
    before the request is sent, and the replica's answer. Callers that are refused come
    back to some gateway after the delay that they were told.
    """

    def __init__(self, count, calls_per_s, replica_count=4, seed=1):
        self.clock = FakeClock()
        self._random = random.Random(seed)
        names = [f"i-{n}" for n in range(replica_count)]
        self.replicas = {name: PausingReplica(self.clock) for name in names}
        listed = [
            Replica(name, "forward", Address("10.0.0.1", 1), "dc", (GROUP,))
            for name in names
        ]
        self.gateways = {}
        for number in range(count):
            name = f"g-{number}"
            source = random.Random(f"{seed}/{number}")
            self.gateways[name] = Placement(name, self.clock, source, "dc")
            self.gateways[name].update(listed)
        self._calls_per_s = calls_per_s
        self._events = []
        self._order = itertools.count()
        self.served = 0
        # Times at which callers were refused, and at which they came back.
        self.refused_at = []
        self.returns = []
        self._push(0.0, self._arrive)

    def run(self, lasts_s):
        end = self.clock.monotonic() + lasts_s
        while self._events and self._events[0][0] <= end:
            at, _, handle, arguments = heapq.heappop(self._events)
            self.clock.advance(at - self.clock.monotonic())
            handle(*arguments)
        self.clock.advance(end - self.clock.monotonic())
        return self

    def _push(self, delay_s, handle, *arguments):
        at = self.clock.monotonic() + delay_s
        heapq.heappush(self._events, (at, next(self._order), handle, arguments))

    def _between(self, span):
        return self._random.uniform(*span)

    def _arrive(self):
        self._push(self._random.expovariate(self._calls_per_s), self._arrive)
        self._call(CALLER_RETRIES)

    def _call(self, retries):
        gateway = self._random.choice(list(self.gateways))
        self._choose(gateway, retries, ())

    def _return(self, retries):
        self.returns.append(self.clock.monotonic())
        self._call(retries)

    def _choose(self, gateway, retries, tried):
        placement = self.gateways[gateway]
        lease = placement.choose_untried_first(GROUP, 16.0, tried=tried)
        if lease is None:
            self._refuse(placement.pause_retry_after_s(GROUP), retries)
            return
        delay_s = self._between(CONNECTION_S)
        self._push(delay_s, self._send, gateway, lease, retries, tried)

    def _refuse(self, delay_s, retries):
        self.refused_at.append(self.clock.monotonic())
        if retries:
            self._push(delay_s, self._return, retries - 1)

    def _send(self, gateway, lease, retries, tried):
        placement = self.gateways[gateway]
        if placement.paused(lease.replica.name):
            placement.release(lease, False)
            self._choose(gateway, retries, (*tried, lease.replica.name))
            return
        delay_s = self._between(ON_THE_WAY_S)
        self._push(delay_s, self._reach, gateway, lease, retries, tried)

    def _reach(self, gateway, lease, retries, tried):
        self.replicas[lease.replica.name].arrive(gateway)
        delay_s = self._between(ANSWER_S)
        self._push(delay_s, self._answer, gateway, lease, retries, tried)

    def _answer(self, gateway, lease, retries, tried):
        pause_s = self.replicas[lease.replica.name].reject(gateway)
        delay_s = self._between(ON_THE_WAY_S)
        self._push(delay_s, self._receive, gateway, lease, retries, tried, pause_s)

    def _receive(self, gateway, lease, retries, tried, pause_s):
        placement = self.gateways[gateway]
        placement.release(lease, False)
        if pause_s is None:
            self.served += 1
            return
        placement.pause(lease.replica.name, pause_s)
        tried = (*tried, lease.replica.name)
        if len(tried) <= CALLER_RETRIES:
            self._choose(gateway, retries, tried)


def largest_share(times, width_s):
    """Return the largest share of times that lie within a span of some width."""
    times = sorted(times)
    first, most = 0, 0
    for last, at in enumerate(times):
        while times[first] < at - width_s:
            first += 1
        most = max(most, last - first + 1)
    return most / len(times) if times else math.nan
