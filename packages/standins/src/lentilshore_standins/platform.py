"""Stand-in for the platform: object API, instance list and rating service."""

from __future__ import annotations

from typing import Any, NamedTuple

import anyio

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.exceptions import (
    StoreAmbiguousError,
    StoreConflictError,
    StoreUnavailableError,
)

from .asgi import ConnectionBreak, HttpRequest, ResponseSender
from .faults import Fault, FaultKind
from .store import WATCH_LIMIT_S, MemoryObjectStore


class TimedRating(NamedTuple):
    """A rating that becomes visible after a delay.

    :param sequence: position in the list of ratings, from 1.
    :param request_id: identifier of the request.
    :param good: whether the answer was good.
    :param visible_at: time on the stand-in's clock from which it can be read.
    """

    sequence: int
    request_id: str
    good: bool
    visible_at: float


class PlatformStandIn:
    """Simulates the platform in one process.

    :param clock: source of time.
    :param rating_lag_s: delay before a rating can be read, in seconds.
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
        """Replace the instance list and wake up its watchers."""
        self._instances = instances
        self._instances_version += 1
        self._instances_changed.set()
        self._instances_changed = anyio.Event()

    def add_rating(self, request_id: str, good: bool) -> None:
        """Add a rating, which becomes visible after ``rating_lag_s``."""
        visible_at = self._clock.monotonic() + self._rating_lag_s
        sequence = len(self._ratings) + 1
        self._ratings.append(TimedRating(sequence, request_id, good, visible_at))

    async def instances(self, after: int) -> tuple[int, list[dict[str, Any]]]:
        """Wait for a newer instance list.

        :param after: version of the list that the caller has.
        :returns: version and instances; version 0 if the list did not change within
            ``WATCH_LIMIT_S``.
        """
        with self._clock.timeout(WATCH_LIMIT_S):
            while self._instances_version <= after:
                await self._instances_changed.wait()
            return self._instances_version, list(self._instances)
        return 0, []

    def ratings(self, after: int, incarnation: str) -> list[dict[str, Any]]:
        """Return the visible ratings of one incarnation's answers.

        :param after: sequence number of the last rating that the caller has.
        :param incarnation: prefix of the identifiers of its requests.
        """
        now = self._clock.monotonic()
        return [
            {
                "sequence": rating.sequence,
                "request": rating.request_id,
                "good": rating.good,
            }
            for rating in self._ratings
            if rating.sequence > after
            and rating.visible_at <= now
            and rating.request_id.startswith(f"{incarnation}-")
        ]

    async def handle(self, request: HttpRequest, response: ResponseSender) -> None:
        """Handle an HTTP request."""
        try:
            await self._route(request, response)
        except StoreConflictError as error:
            await response.send_json({"version": error.current_version}, 412)
        except StoreUnavailableError:
            await response.send_json({"error": "unavailable"}, 503)
        except StoreAmbiguousError as error:
            raise ConnectionBreak from error

    async def _route(self, request: HttpRequest, response: ResponseSender) -> None:
        if request.path.startswith("/objects/"):
            await self._handle_object(
                request, request.path[len("/objects/") :], response
            )
        elif request.path == "/objects":
            stored = await self.store.list(request.query["prefix"])
            await response.send_json([item._asdict() for item in stored])
        elif request.path.startswith("/watch/"):
            key = request.path[len("/watch/") :]
            await _send_stored(
                await self.store.watch(key, int(request.query["after"])), response, 204
            )
        elif request.path == "/instances" and request.method == "GET":
            version, instances = await self.instances(int(request.query["after"]))
            if version:
                await response.send_json({"version": version, "instances": instances})
            else:
                await response.send_empty(204)
        elif request.path == "/ratings" and request.method == "GET":
            await response.send_json(
                self.ratings(int(request.query["after"]), request.query["of"])
            )
        else:
            await self._handle_control(request, response)

    async def _handle_object(
        self, request: HttpRequest, key: str, response: ResponseSender
    ) -> None:
        if request.method == "GET":
            await _send_stored(await self.store.get(key), response, 404)
            return
        expected = int(request.headers["if-match"])
        if request.method == "PUT":
            version = await self.store.put(key, request.json(), expected)
            await response.send_json({"version": version})
            return
        await self.store.delete(key, expected)
        await response.send_json({"version": 0})

    async def _handle_control(
        self, request: HttpRequest, response: ResponseSender
    ) -> None:
        """Handle requests that only tests, engines and the demonstration send."""
        if request.path == "/ratings":
            body = request.json()
            self.add_rating(body["request"], body["good"])
        elif request.path == "/instances":
            self.set_instances(request.json())
        elif request.path == "/faults":
            body = request.json()
            count = body.pop("count", 1)
            fault = Fault(**body | {"kind": FaultKind(body["kind"])})
            self.store.faults.add(fault, count)
        elif request.path == "/faults/clear":
            self.store.faults.clear()
        elif request.path == "/calls":
            await response.send_json(dict(self.store.call_counts))
            return
        else:
            await response.send_empty(404)
            return
        await response.send_json({})


async def _send_stored(
    stored: Any, response: ResponseSender, missing_status: int
) -> None:
    if stored is None:
        await response.send_empty(missing_status)
        return
    await response.send_json(stored._asdict())
