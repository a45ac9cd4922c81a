"""Reading of callers' bodies, and cancellation of requests whose callers disconnect."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from typing import Any, TypeVar

import anyio

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import RefusalReason

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]
T = TypeVar("T")


async def read_body(
    receive: Receive,
    clock: Clock,
    limit_bytes: int,
    timeout_s: float,
    headers: Iterable[tuple[bytes, bytes]] = (),
) -> bytes:
    """Return the whole body of a caller's request.

    :param receive: the ASGI server's function.
    :param clock: measures the timeout.
    :param limit_bytes: size of the largest body that is accepted.
    :param timeout_s: time in which the whole body must be received, seconds.
    :param headers: headers of the request; a declared length over the limit is refused
        before any byte of the body is read.
    :raises RefusalError: ``malformed_request``, ``body_too_large`` or
        ``caller_too_slow``.
    """
    if _declared_bytes(headers) > limit_bytes:
        raise _too_large(limit_bytes)
    chunks = []
    size = 0
    with clock.timeout(timeout_s) as scope:
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise RefusalError(
                    RefusalReason.MALFORMED_REQUEST,
                    detail="the connection closed before the end of the body",
                )
            size += len(message.get("body", b""))
            if size > limit_bytes:
                raise _too_large(limit_bytes)
            chunks.append(message.get("body", b""))
            if not message.get("more_body"):
                break
    if scope.cancelled_caught:
        raise RefusalError(
            RefusalReason.CALLER_TOO_SLOW,
            detail="the body was not received in time",
        )
    return b"".join(chunks)


def _declared_bytes(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the declared length of a body, 0 if it is sent in chunks."""
    # The HTTP server has refused a length that is not a number.
    return max((int(v) for k, v in headers if k == b"content-length"), default=0)


def _too_large(limit_bytes: int) -> RefusalError:
    detail = f"body exceeds {limit_bytes} bytes"
    return RefusalError(RefusalReason.BODY_TOO_LARGE, detail=detail)


async def serve_until_disconnect(
    receive: Receive,
    serve: Callable[[], Awaitable[T]],
    watch_limits: Callable[[], Awaitable[Exception]] | None = None,
) -> T | None:
    """Serve a request; cancel it if the caller disconnects or a limit is reached.

    :param receive: the ASGI server's function, after the body was read.
    :param serve: serves the request.
    :param watch_limits: returns once a limit is reached, with the exception to raise.
    :returns: result of ``serve``, or None if the caller disconnected.
    """
    result: T | None = None
    failure: Exception | None = None

    async def watch_caller() -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        group.cancel_scope.cancel()

    async def watch_for_limit() -> None:
        nonlocal failure
        if watch_limits is not None:
            failure = await watch_limits()
            group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(watch_caller)
        if watch_limits is not None:
            group.start_soon(watch_for_limit)
        try:
            result = await serve()
        except Exception as error:  # noqa: BLE001
            failure = error
        group.cancel_scope.cancel()
    if failure is not None and result is None:
        raise failure
    return result
