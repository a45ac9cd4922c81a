"""Protocols of the upstream kinds, and the types of their calls and answers."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Any, NamedTuple, Protocol, TypedDict

from lentilshore_kernel.types import Priority
from lentilshore_routing.replicas import Replica


class Usage(NamedTuple):
    """Tokens that an answer used, and the engine's confidence in it.

    :param input_tokens: tokens of the prompt.
    :param output_tokens: tokens of the answer.
    :param confidence: confidence from 0 to 1, None if the engine reports none.
    """

    input_tokens: int
    output_tokens: int
    confidence: float | None = None


class EngineCall(NamedTuple):
    """A completion to run at an engine.

    :param request_id: identifier that the engine echoes.
    :param version: version to run, ``model@version``.
    :param body: the caller's body, JSON object.
    :param priority: priority in the engine's queue.
    :param timeout_s: time within which the whole answer must arrive, seconds.
    :param first_token_offset: offset of the first token to return; above 0 to resume a
        stream.
    """

    request_id: str
    version: str
    body: dict[str, Any]
    priority: Priority
    timeout_s: float
    first_token_offset: int = 0


class WholeAnswer(NamedTuple):
    """A completion that is returned whole rather than streamed.

    :param body: the engine's answer, JSON object.
    :param text: content of the answer.
    :param usage: tokens used and confidence.
    """

    body: dict[str, Any]
    text: str
    usage: Usage


class StreamChunk(NamedTuple):
    """Consecutive events of a streamed answer.

    :param data: the events, as relayed to the caller.
    :param next_token_offset: offset of the token that follows, which is the number of
        tokens of the answer so far, also of a resumed one.
    :param usage: set only in the last chunk, whose data ends the stream.
    """

    data: bytes
    next_token_offset: int
    usage: Usage | None = None


class ServiceCall(NamedTuple):
    """A call of a plain service.

    :param request_id: identifier that the service echoes.
    :param service: name of the service.
    :param operation: name of the operation.
    :param body: the caller's body.
    :param content_type: media type of the body.
    :param idempotency_key: idempotency key, empty for none.
    :param timeout_s: time within which the answer must arrive, seconds.
    """

    request_id: str
    service: str
    operation: str
    body: bytes
    content_type: str
    idempotency_key: str
    timeout_s: float


class ServiceAnswer(NamedTuple):
    """Answer of a plain service.

    :param status: HTTP status.
    :param content_type: media type of the body.
    :param body: the body.
    """

    status: int
    content_type: str
    body: bytes


class LoadReport(TypedDict):
    """An engine's load report.

    :param work_tokens: tokens of work waiting or running.
    :param age_s: age of the report, seconds.
    """

    work_tokens: float
    age_s: float


class CacheEvent(TypedDict):
    """A change of an engine's prefix cache.

    :param sequence: number of the event; the sequence may have gaps.
    :param prefix: hash of the prefix.
    :param held: True if the prefix was added to the cache, False if removed.
    """

    sequence: int
    prefix: str
    held: bool


class Engine(Protocol):
    """An upstream that runs models.

    Methods raise UpstreamError, whose ``execution`` tells whether the request may
    have run.
    """

    async def complete(self, replica: Replica, call: EngineCall) -> WholeAnswer:
        """Run a completion and return it whole."""

    def stream(
        self, replica: Replica, call: EngineCall
    ) -> AbstractAsyncContextManager[AsyncIterator[StreamChunk]]:
        """Run a completion and return its events as they arrive."""

    async def cancel(self, replica: Replica, request_id: str) -> None:
        """Cancel a completion."""

    async def fetch_load(self, replica: Replica) -> tuple[float, float]:
        """Return the replica's work in tokens, and that figure's age in seconds."""

    async def fetch_cache_events(
        self, replica: Replica, after: int
    ) -> list[CacheEvent]:
        """Return the cache events whose sequence number is above ``after``."""

    async def send_order(
        self, replica: Replica, order: dict[str, Any]
    ) -> dict[str, Any]:
        """Send an order, such as to load a version; return the engine's new state."""


class PlainService(Protocol):
    """An upstream that runs operations of a plain service."""

    async def call(self, replica: Replica, call: ServiceCall) -> ServiceAnswer:
        """Call an operation.

        :raises UpstreamError: if the call fails or gives no valid answer.
        """
