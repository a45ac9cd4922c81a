"""Stand-in of the platform: object API, instance list and rating service."""

from __future__ import annotations

from typing import Any, NamedTuple

import anyio

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.exceptions import (
    StoreAmbiguousError,
    StoreConflictError,
    StoreUnavailableError,
)

from .asgi import ConnectionBreak, HttpCall, Reply
from .faults import Fault, FaultKind
from .store import WATCH_LIMIT_S, MemoryObjectStore


class TimedRating(NamedTuple):
    """A rating that becomes visible later.

    :param sequence: number in the list.
    :param request: identifier of the request.
    :param good: whether the answer was good.
    :param visible_at: when it can be read, on the stand-in's clock.
    """

    sequence: int
    request: str
    good: bool
    visible_at: float


class PlatformStandIn:
    """The platform in one process.

    :param clock: source of time.
    :param rating_lag_s: time until a rating can be read, seconds.
    """

    def __init__(self, clock: Clock, rating_lag_s: float = 0.0) -> None:
        self._clock = clock
        self._rating_lag_s = rating_lag_s
        self._instances: list[dict[str, Any]] = []
        self._instances_version = 0
        self._instances_changed = anyio.Event()
        self._ratings: list[TimedRating] = []
        self.store = MemoryObjectStore(clock)

    def set_instances(self, instances: list[dict[str, Any]]) -> None:
        """Replace the instance list."""
        self._instances = instances
        self._instances_version += 1
        self._instances_changed.set()
        self._instances_changed = anyio.Event()

    def add_rating(self, request: str, good: bool) -> None:
        """Add a rating, visible after the lag."""
        visible_at = self._clock.monotonic() + self._rating_lag_s
        sequence = len(self._ratings) + 1
        self._ratings.append(TimedRating(sequence, request, good, visible_at))

    async def instances(self, after: int) -> tuple[int, list[dict[str, Any]]]:
        """Wait for a newer list of instances."""
        with self._clock.timeout(WATCH_LIMIT_S):
            while self._instances_version <= after:
                await self._instances_changed.wait()
            return self._instances_version, list(self._instances)
        return 0, []

    def ratings(self, after: int, incarnation: str) -> list[dict[str, Any]]:
        """Return visible ratings of one incarnation's answers."""
        now = self._clock.monotonic()
        return [
            {"sequence": r.sequence, "request": r.request, "good": r.good}
            for r in self._ratings
            if r.sequence > after
            and r.visible_at <= now
            and r.request.startswith(f"{incarnation}-")
        ]

    async def handle(self, call: HttpCall, reply: Reply) -> None:
        """Answer a call over HTTP."""
        try:
            await self._route(call, reply)
        except StoreConflictError as error:
            await reply.json({"version": error.current_version}, 412)
        except StoreUnavailableError:
            await reply.json({"error": "unavailable"}, 503)
        except StoreAmbiguousError as error:
            raise ConnectionBreak from error

    async def _route(self, call: HttpCall, reply: Reply) -> None:
        if call.path.startswith("/objects/"):
            await self._object(call, call.path[len("/objects/") :], reply)
        elif call.path == "/objects":
            found = await self.store.list(call.query["prefix"])
            await reply.json([item._asdict() for item in found])
        elif call.path.startswith("/watch/"):
            key = call.path[len("/watch/") :]
            await _send(
                await self.store.watch(key, int(call.query["after"])), reply, 204
            )
        elif call.path == "/instances" and call.method == "GET":
            version, instances = await self.instances(int(call.query["after"]))
            if version:
                await reply.json({"version": version, "instances": instances})
            else:
                await reply.empty(204)
        elif call.path == "/ratings" and call.method == "GET":
            await reply.json(self.ratings(int(call.query["after"]), call.query["of"]))
        else:
            await self._control(call, reply)

    async def _object(self, call: HttpCall, key: str, reply: Reply) -> None:
        if call.method == "GET":
            await _send(await self.store.get(key), reply, 404)
            return
        expected = int(call.headers["if-match"])
        if call.method == "PUT":
            version = await self.store.put(key, call.json(), expected)
            await reply.json({"version": version})
            return
        await self.store.delete(key, expected)
        await reply.json({"version": 0})

    async def _control(self, call: HttpCall, reply: Reply) -> None:
        """Answer calls that only tests, engines and the demonstration make."""
        if call.path == "/ratings":
            body = call.json()
            self.add_rating(body["request"], body["good"])
        elif call.path == "/instances":
            self.set_instances(call.json())
        elif call.path == "/faults":
            body = call.json()
            count = body.pop("count", 1)
            fault = Fault(**body | {"kind": FaultKind(body["kind"])})
            self.store.faults.add(fault, count)
        elif call.path == "/faults/clear":
            self.store.faults.clear()
        elif call.path == "/calls":
            await reply.json(dict(self.store.calls))
            return
        else:
            await reply.empty(404)
            return
        await reply.json({})


async def _send(stored: Any, reply: Reply, missing_status: int) -> None:
    if stored is None:
        await reply.empty(missing_status)
        return
    await reply.json(stored._asdict())
