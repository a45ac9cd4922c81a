"""Answers to callers, behind a protocol that does not depend on the HTTP server."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

import msgspec

from lentilshore_kernel import Clock
from lentilshore_kernel.exceptions import RefusalError

Headers = Sequence[tuple[str, str]]
CLOSE_CONNECTION = ("connection", "close")

EVENT_STREAM = "text/event-stream"


class Responder(Protocol):
    """One answer to one caller."""

    @property
    def started(self) -> bool:
        """Whether status and headers have been sent."""

    @property
    def stalled_s(self) -> float:
        """Time for which the caller has not read the pending data, seconds."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""

    async def send(self, data: bytes) -> None:
        """Send a part of the body; waits while the caller reads slowly."""

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body."""


class AsgiResponder:
    """Answer through an ASGI server.

    :param send: the ASGI server's function.
    :param clock: measures how long a caller has not read.
    :param closes_connection: returns whether the connection is closed after this
        answer.
    """

    def __init__(
        self,
        send: Callable[[Any], Awaitable[None]],
        clock: Clock,
        closes_connection: Callable[[], bool] = lambda: False,
    ) -> None:
        self._closes_connection = closes_connection
        self._send = send
        self._clock = clock
        self._write_started_at: float | None = None
        self._started = False

    @property
    def stalled_s(self) -> float:
        """Time for which the caller has not read the pending data, seconds."""
        if self._write_started_at is None:
            return 0.0
        return self._clock.monotonic() - self._write_started_at

    @property
    def started(self) -> bool:
        """Whether status and headers have been sent."""
        return self._started

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""
        self._started = True
        fields = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in headers]
        if self._closes_connection() and CLOSE_CONNECTION not in headers:
            fields.append((b"connection", b"close"))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": fields}
        )

    async def send(self, data: bytes) -> None:
        """Send a part of the body; more parts follow."""
        await self._write(data, True)

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body; none follows."""
        await self._write(data, False)

    async def _write(self, data: bytes, more_follows: bool) -> None:
        message = {
            "type": "http.response.body",
            "body": data,
            "more_body": more_follows,
        }
        self._write_started_at = self._clock.monotonic()
        await self._send(message)
        self._write_started_at = None


class FieldAddingResponder:
    """Answer with a header in addition.

    :param responder: sends the answer.
    :param added_field: name and value of the header.
    """

    def __init__(self, responder: Responder, added_field: tuple[str, str]) -> None:
        self._responder = responder
        self._added_field = added_field

    @property
    def started(self) -> bool:
        """Whether status and headers have been sent."""
        return self._responder.started

    @property
    def stalled_s(self) -> float:
        """Time for which the caller has not read the pending data, seconds."""
        return self._responder.stalled_s

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""
        await self._responder.start(status, [*headers, self._added_field])

    async def send(self, data: bytes) -> None:
        """Send a part of the body; more parts follow."""
        await self._responder.send(data)

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body; none follows."""
        await self._responder.finish(data)


def encode_refusal(refusal: RefusalError, request_id: str) -> bytes:
    """Return the JSON body of a refusal.

    :param refusal: the refusal.
    :param request_id: identifier of the request, empty if it has none.
    """
    error = {
        "type": refusal.reason.value,
        "message": refusal.detail,
        "execution": refusal.execution.value,
        "retry_after_s": refusal.retry_after_s,
        "request_id": request_id,
    }
    return msgspec.json.encode({"error": error})


def encode_error_event(refusal: RefusalError, request_id: str) -> bytes:
    """Return the event that ends a stream that failed after it had started."""
    return b"event: error\ndata: " + encode_refusal(refusal, request_id) + b"\n\n"


async def send_json(
    responder: Responder, status: int, body: bytes, headers: Headers = ()
) -> None:
    """Send a complete JSON answer."""
    fields = [
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
        *headers,
    ]
    await responder.start(status, fields)
    await responder.finish(body)
