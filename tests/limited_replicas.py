"""Replicas that name the rate of requests they take, and the check of arrivals."""

import math
from collections import deque
from functools import partial
from typing import NamedTuple

from lentilshore_kernel.types import Address
from lentilshore_node.state.replica_record import ReplicaRecord
from lentilshore_routing.replicas import Replica

WINDOW_S = 4.0
FACTOR = 1.5
SLACK_REQUESTS = 5
# A gateway counts from this time after it received an answer that names the limit.
TOLD_AFTER_S = 0.5
SERVICE = "pool"


def record(name, version="v1"):
    address = Address("10.0.0.1", int(name.rpartition("-")[2]))
    groups = (f"{SERVICE}@{version}",)
    replica = Replica(name, "forward", address, "dc", groups, identity=name)
    return ReplicaRecord(name, 0, SERVICE, version, replica)


class Arrival(NamedTuple):
    """A request that reached a replica."""

    at: float
    gateway: str


class LimitedReplica:
    """Records arrivals at one replica and answers with the limit that is in force.

    :param clock: source of time.
    :param limit: requests a second that it takes; None for no limit.
    """

    def __init__(self, clock, limit=None):
        self._clock = clock
        self.limit = limit
        self.named_at = None
        self.arrivals = []
        self._told_at = {}

    def arrive(self, gateway):
        self.arrivals.append(Arrival(self._clock.monotonic(), gateway))

    def tell(self, gateway):
        """Return the limit to name in an answer to a gateway."""
        if self.limit is not None:
            now = self._clock.monotonic()
            if self.named_at is None:
                self.named_at = now
            self._told_at.setdefault(gateway, now)
        return self.limit

    def excess(self, stability_s=3.0, excused=()):
        """Return the largest number of arrivals in a window above what is allowed.

        :param stability_s: time after the first naming from which arrivals count.
        :param excused: pairs of a gateway and a span of time that does not count.
        """
        allowed = math.ceil(FACTOR * WINDOW_S * self.limit + SLACK_REQUESTS)
        window, worst = deque(), -allowed
        for arrival in self.arrivals:
            if not self._counts(arrival, stability_s, excused):
                continue
            window.append(arrival.at)
            while window[0] <= arrival.at - WINDOW_S:
                window.popleft()
            worst = max(worst, len(window) - allowed)
        return worst

    def _counts(self, arrival, stability_s, excused):
        if self.named_at is None or arrival.at < self.named_at + stability_s:
            return False
        told_at = self._told_at.get(arrival.gateway, math.inf)
        if arrival.at < told_at + TOLD_AFTER_S:
            return False
        return not any(
            gateway == arrival.gateway and begin <= arrival.at <= end
            for gateway, begin, end in excused
        )

    def rate(self, begin, end):
        """Return the arrivals a second in a span of time."""
        return sum(begin <= a.at < end for a in self.arrivals) / (end - begin)


class ReplicaHttpClient:
    """HTTP client of one gateway whose calls reach the replicas of a test.

    :param gateway: name of the gateway.
    :param replicas: :class:`LimitedReplica` by name.
    :param answer: returns status, extra headers and body parts for a request.
    """

    def __init__(self, gateway, replicas, clock, answer):
        self._gateway = gateway
        self._replicas = replicas
        self._clock = clock
        self._answer = answer

    async def start(self, address, encode, timeout_s, *_, **__):
        lines = encode().decode("latin-1").split("\r\n\r\n")[0].split("\r\n")[1:]
        fields = dict(line.lower().split(": ", 1) for line in lines)
        replica = self._replicas[fields["x-expect-instance"]]
        replica.arrive(self._gateway)
        return ScriptedCall(self._clock, partial(self._respond, fields, replica))

    def _respond(self, fields, replica):
        status, extra, parts = self._answer(fields)
        headers = {
            "x-attempt-id": fields["x-attempt-id"],
            "x-response-signature": "s1",
            **extra,
        }
        limit = replica.tell(self._gateway)
        if limit is not None:
            headers["server-limit"] = f"{limit:g}"
        return ScriptedResponse(status, headers, parts)

    async def close(self):
        pass


class ScriptedCall:
    """Call that is answered after a while."""

    def __init__(self, clock, respond):
        self._clock = clock
        self._respond = respond
        self._response = None

    async def wait_for_head(self, timeout_s, extend_timeout=None):
        if self._response is None:
            await self._clock.sleep(0.05)
            self._response = self._respond()
        return self._response

    def end(self):
        pass


class ScriptedResponse:
    """Answer whose parts arrive at once."""

    def __init__(self, status, headers, parts):
        self.status, self.headers = status, headers
        self.fields = [(k.encode(), v.encode()) for k, v in headers.items()]
        self.connection_calls = 1
        self.timeout_s = 1.0
        self._parts = parts

    def raise_if_broken(self):
        pass

    async def read(self, limit_bytes=0, total_s=None):
        return b"".join(self._parts)

    async def aiter_stream(self):
        for part in self._parts:
            yield part
