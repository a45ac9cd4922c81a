"""Upstream kind ``engine``: completions over HTTP."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import msgspec

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.registry import plugin
from lentilshore_kernel.types import Execution, RefusalReason
from lentilshore_routing.replicas import Replica

from .events import EventReader, read_usage
from .http_client import HttpClient
from .http_connection import (
    CallBrokenError,
    CallNotSentError,
    CallTimedOutError,
    Response,
)
from .upstreams import (
    CacheEvent,
    Engine,
    EngineCall,
    LoadReport,
    StreamChunk,
    WholeAnswer,
)

CONTROL_TIMEOUT_S = 1.0
# Statuses of an engine that refuses a request because of its load.
OVERLOAD_STATUSES = (429, 503)


class HttpEngine:
    """Client of engines over HTTP.

    :param http: HTTP client.
    :param stall_timeout_s: longest time without data in a stream, seconds.
    """

    def __init__(self, http: HttpClient, stall_timeout_s: float) -> None:
        self._http = http
        self._stall_timeout_s = stall_timeout_s

    async def complete(self, replica: Replica, call: EngineCall) -> WholeAnswer:
        """Run a completion and return it whole."""
        timeout_s = call.timeout_s
        with _RaisingUpstreamErrors():
            answer = await self._http.request(
                "POST",
                replica.address,
                "/v1/chat/completions",
                _encode_completion(call, stream=False),
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
        """Run a completion and return its events as they arrive."""
        # Opened and closed by hand, so that an error of the caller's block is not
        # taken for one of the upstream.
        with _RaisingUpstreamErrors():
            response_context = self._http.open(
                "POST",
                replica.address,
                "/v1/chat/completions",
                _encode_completion(call, stream=True),
                timeout_s=min(self._stall_timeout_s, call.timeout_s),
            )
            response = await response_context.__aenter__()
        try:
            _check_status(response.status)
            yield _read_chunks(
                response, EventReader(call.request_id, call.first_token_offset)
            )
        finally:
            await response_context.__aexit__(None, None, None)

    async def cancel(self, replica: Replica, request_id: str) -> None:
        """Cancel a completion; ignores failures."""
        try:
            await self._control_request(
                replica, "POST", "/v1/cancel", {"request_id": request_id}
            )
        except UpstreamError:
            return

    async def fetch_load(self, replica: Replica) -> tuple[float, float]:
        """Return the replica's work in tokens, and that figure's age in seconds."""
        report = _convert_control_answer(
            await self._control_request(replica, "GET", "/v1/load"), LoadReport
        )
        return report["work_tokens"], report["age_s"]

    async def fetch_cache_events(
        self, replica: Replica, after: int
    ) -> list[CacheEvent]:
        """Return the cache events whose sequence number is above ``after``."""
        path = f"/v1/cache-events?after={after}"
        return _convert_control_answer(
            await self._control_request(replica, "GET", path), list[CacheEvent]
        )

    async def send_order(
        self, replica: Replica, order: dict[str, Any]
    ) -> dict[str, Any]:
        """Send an order and return the engine's new state."""
        return await self._control_request(replica, "POST", "/v1/orders", order)

    async def _control_request(
        self, replica: Replica, method: str, path: str, body: Any = None
    ) -> Any:
        content = None if body is None else msgspec.json.encode(body)
        with _RaisingUpstreamErrors():
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
def create_engine(http: HttpClient, stall_timeout_s: float) -> Engine:
    """Create the client of model engines."""
    return HttpEngine(http, stall_timeout_s)


class _RaisingUpstreamErrors:
    """Context that raises failures of an HTTP call as UpstreamError."""

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


raising_upstream_errors = _RaisingUpstreamErrors


async def _read_chunks(
    response: Response, reader: EventReader
) -> AsyncIterator[StreamChunk]:
    with _RaisingUpstreamErrors():
        async for data in response.aiter_stream():
            chunk = reader.feed(data)
            if chunk is not None:
                yield chunk
            if reader.done:
                return
    raise UpstreamError(
        RefusalReason.UPSTREAM_TRUNCATED,
        Execution.UNKNOWN,
        f"stream ended without an end event, at token {reader.next_token_offset}",
    )


def _encode_completion(call: EngineCall, stream: bool) -> bytes:
    body = {
        **call.body,
        "model": call.version,
        "stream": stream,
        "request_id": call.request_id,
        "priority": int(call.priority),
        "offset": call.first_token_offset,
    }
    return msgspec.json.encode(body)


def _convert_control_answer(value: Any, expected_type: Any) -> Any:
    """Convert a control answer, which may have any type, to the expected type.

    :raises UpstreamError: ``upstream_garbled`` if the answer has another type.
    """
    try:
        return msgspec.convert(value, expected_type)
    except msgspec.ValidationError as error:
        raise UpstreamError(
            RefusalReason.UPSTREAM_GARBLED, Execution.UNKNOWN, str(error)
        ) from error


def _check_status(status: int) -> None:
    if status == 200:
        return
    detail = "engine is overloaded" if status in OVERLOAD_STATUSES else "engine error"
    raise UpstreamError(
        RefusalReason.UPSTREAM_FAILED, Execution.UNKNOWN, f"{detail}: status {status}"
    )
