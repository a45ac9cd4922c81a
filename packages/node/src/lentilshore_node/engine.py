"""Upstream kind ``engine``: completions over HTTP."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import msgspec

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.registry import plugin
from lentilshore_kernel.types import Execution, RefusalReason
from lentilshore_routing.placement import Replica

from .events import EventReader, read_usage
from .http_client import (
    CallBrokenError,
    CallNotSentError,
    CallTimedOutError,
    HttpClient,
    Reply,
)
from .upstreams import (
    CacheEvent,
    Engine,
    EngineCall,
    LoadAnswer,
    StreamChunk,
    WholeAnswer,
)

CONTROL_TIMEOUT_S = 1.0
REFUSED_STATUSES = (429, 503)


class HttpEngine:
    """Engine over HTTP.

    :param http: client.
    :param stall_s: longest silence of the engine, seconds.
    """

    def __init__(self, http: HttpClient, stall_s: float) -> None:
        self._http = http
        self._stall_s = stall_s

    async def complete(self, replica: Replica, call: EngineCall) -> WholeAnswer:
        """Run a completion and return it whole."""
        timeout_s = call.timeout_s
        with _translated_failures():
            answer = await self._http.request(
                "POST",
                replica.address,
                "/v1/chat/completions",
                _encode(call, stream=False),
                timeout_s=timeout_s,
            )
            _check_status(answer.status)
        try:
            body = answer.json()
            usage = read_usage(body, call.request_id)
            text = body["choices"][0]["message"]["content"]
        except (msgspec.MsgspecError, KeyError, IndexError, TypeError) as error:
            raise UpstreamError(
                RefusalReason.UPSTREAM_GARBLED, Execution.UNKNOWN, repr(error)
            ) from error
        return WholeAnswer(body, text, usage)

    @asynccontextmanager
    async def stream(
        self, replica: Replica, call: EngineCall
    ) -> AsyncIterator[AsyncIterator[StreamChunk]]:
        """Run a completion and return its events as they come."""
        with _translated_failures():
            opened = self._http.open(
                "POST",
                replica.address,
                "/v1/chat/completions",
                _encode(call, stream=True),
                timeout_s=min(self._stall_s, call.timeout_s),
            )
            reply = await opened.__aenter__()
        try:
            _check_status(reply.status)
            yield _read_chunks(reply, EventReader(call.request_id, call.offset))
        finally:
            await opened.__aexit__(None, None, None)

    async def cancel(self, replica: Replica, request_id: str) -> None:
        """Cancel a completion; failures are ignored."""
        try:
            await self._control(
                replica, "POST", "/v1/cancel", {"request_id": request_id}
            )
        except UpstreamError:
            return

    async def fetch_load(self, replica: Replica) -> tuple[float, float]:
        """Return tokens of work waiting and the age of the report in seconds."""
        report = _convert(await self._control(replica, "GET", "/v1/load"), LoadAnswer)
        return report["work_tokens"], report["age_s"]

    async def fetch_cache_events(
        self, replica: Replica, after: int
    ) -> list[CacheEvent]:
        """Return cache events after a sequence number."""
        path = f"/v1/cache-events?after={after}"
        return _convert(await self._control(replica, "GET", path), list[CacheEvent])

    async def send_order(
        self, replica: Replica, order: dict[str, Any]
    ) -> dict[str, Any]:
        """Give an order and return the engine's new state."""
        return await self._control(replica, "POST", "/v1/orders", order)

    async def _control(
        self, replica: Replica, method: str, path: str, body: Any = None
    ) -> Any:
        content = None if body is None else msgspec.json.encode(body)
        with _translated_failures():
            answer = await self._http.request(
                method, replica.address, path, content, timeout_s=CONTROL_TIMEOUT_S
            )
            _check_status(answer.status)
        try:
            return answer.json()
        except msgspec.MsgspecError as error:
            raise UpstreamError(
                RefusalReason.UPSTREAM_GARBLED, Execution.UNKNOWN, str(error)
            ) from error


@plugin("upstream", "engine")
def create_engine(http: HttpClient, stall_s: float) -> Engine:
    """Create the client of model engines."""
    return HttpEngine(http, stall_s)


class _translated_failures:  # noqa: N801
    """Context that turns failures of a call into upstream errors."""

    def __enter__(self) -> None:
        return None

    def __exit__(self, kind: Any, error: Any, trace: Any) -> bool:
        if isinstance(error, CallNotSentError):
            raise UpstreamError(
                RefusalReason.UPSTREAM_FAILED, Execution.NOT_RUN, str(error)
            ) from error
        if isinstance(error, CallTimedOutError):
            raise UpstreamError(
                RefusalReason.UPSTREAM_STALLED, Execution.UNKNOWN, str(error)
            ) from error
        if isinstance(error, CallBrokenError):
            raise UpstreamError(
                RefusalReason.UPSTREAM_FAILED, Execution.UNKNOWN, str(error)
            ) from error
        return False


translated_failures = _translated_failures


async def _read_chunks(reply: Reply, reader: EventReader) -> AsyncIterator[StreamChunk]:
    with _translated_failures():
        async for data in reply.aiter_stream():
            chunk = reader.feed(data)
            if chunk is not None:
                yield chunk
            if reader.done:
                return
    raise UpstreamError(
        RefusalReason.UPSTREAM_TRUNCATED,
        Execution.UNKNOWN,
        f"stream ended at token {reader.next_offset}",
    )


def _encode(call: EngineCall, stream: bool) -> bytes:
    body = {
        **call.body,
        "model": call.version,
        "stream": stream,
        "request_id": call.request_id,
        "priority": int(call.priority),
        "offset": call.offset,
    }
    return msgspec.json.encode(body)


def _convert(value: Any, kind: Any) -> Any:
    """Return a control answer as its type; engines are not trusted to keep it."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise UpstreamError(
            RefusalReason.UPSTREAM_GARBLED, Execution.UNKNOWN, str(error)
        ) from error


def _check_status(status: int) -> None:
    if status == 200:
        return
    detail = "engine refused for load" if status in REFUSED_STATUSES else "engine error"
    raise UpstreamError(
        RefusalReason.UPSTREAM_FAILED, Execution.UNKNOWN, f"{detail}: status {status}"
    )
