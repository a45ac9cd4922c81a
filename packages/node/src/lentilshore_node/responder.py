"""Answers to callers, behind a protocol that knows nothing of HTTP servers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

import msgspec

from lentilshore_kernel import Clock
from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import Execution, RefusalReason

Headers = Sequence[tuple[str, str]]

EVENT_STREAM = "text/event-stream"


class Responder(Protocol):
    """One answer to one caller."""

    @property
    def started(self) -> bool:
        """Whether status and headers have been sent."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""

    async def send(self, data: bytes) -> None:
        """Send a part of the body; waits while the caller reads slowly."""

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body."""


class AsgiResponder:
    """Answer through an ASGI server.

    :param send: the server's function.
    :param clock: bounds the wait for a slow reader.
    :param stall_s: longest wait for the caller to read, seconds.
    """

    def __init__(
        self, send: Callable[[Any], Awaitable[None]], clock: Clock, stall_s: float
    ) -> None:
        self._send = send
        self._clock = clock
        self._stall_s = stall_s
        self._started = False

    @property
    def started(self) -> bool:
        """Whether status and headers have been sent."""
        return self._started

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""
        self._started = True
        fields = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in headers]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": fields}
        )

    async def send(self, data: bytes) -> None:
        """Send a part of the body.

        :raises RefusalError: ``caller_too_slow``.
        """
        await self._write(data, True)

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body.

        :raises RefusalError: ``caller_too_slow``.
        """
        await self._write(data, False)

    async def _write(self, data: bytes, more: bool) -> None:
        message = {"type": "http.response.body", "body": data, "more_body": more}
        with self._clock.timeout(self._stall_s) as scope:
            await self._send(message)
        if scope.cancelled_caught:
            raise RefusalError(
                RefusalReason.CALLER_TOO_SLOW,
                Execution.RAN,
                f"nothing was read for {self._stall_s:.0f} s",
            )


def encode_refusal(refusal: RefusalError, request: str) -> bytes:
    """Return the JSON body of a refusal.

    :param refusal: the refusal.
    :param request: identifier of the request, empty where it got none.
    """
    error = {
        "type": refusal.reason.value,
        "message": refusal.detail,
        "execution": refusal.execution.value,
        "retry_after_s": refusal.retry_after_s,
        "request_id": request,
    }
    return msgspec.json.encode({"error": error})


def encode_error_event(refusal: RefusalError, request: str) -> bytes:
    """Return the event that ends a stream which could not be completed."""
    return b"event: error\ndata: " + encode_refusal(refusal, request) + b"\n\n"


async def send_json(
    responder: Responder, status: int, body: bytes, headers: Headers = ()
) -> None:
    """Send a whole JSON answer."""
    fields = [
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
        *headers,
    ]
    await responder.start(status, fields)
    await responder.finish(body)
