"""Relay of replicas' answers to the caller."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.types import Execution, RefusalReason

from ..clients.event_splitter import EventPace, EventSplitter
from ..clients.forwarding import AnswerHead
from ..clients.http_connection import Response
from ..state.gateway_context import GatewayContext
from .responder import Responder

# Statuses that tell a caller that the request did not run. A replica that did not run
# it states so with a header; without that header the status proves nothing.
UNPROVED_NOT_RUN_STATUSES = (408, 421, 429, 503)


class Answer(NamedTuple):
    """A complete answer of a replica."""

    status: int
    fields: list[tuple[str, str]]
    body: bytes


class StreamObserver(Protocol):
    """Is told of the progress of a stream while it is relayed."""

    def record_events(self) -> None:
        """Record that the replica has sent events."""

    def record_pace(self, pace: EventPace) -> None:
        """Record the pauses between the events so far."""


class AnswerRelay:
    """Sends one answer to the caller, from the replicas that give its parts.

    :param context: context of the gateway.
    :param responder: sends the answer.
    :param resume_after: number of the last event that the caller has, None for none.
    """

    def __init__(
        self, context: GatewayContext, responder: Responder, resume_after: int | None
    ) -> None:
        self._context = context
        self._responder = responder
        self._resume_after = resume_after
        self._answered_at: float | None = None

    @property
    def started(self) -> bool:
        """Whether the caller has received the status and headers."""
        return self._responder.started

    @property
    def answered_at(self) -> float | None:
        """Time at which the answer or its first event was sent; None before."""
        return self._answered_at

    @property
    def resume_after(self) -> int | None:
        """Number of the last event that the caller has, None for none."""
        return self._resume_after

    def read_answer(self, response: Response, body: bytes) -> Answer:
        """Return a replica's answer with the headers that are relayed."""
        fields = self._context.translator.answer_fields(response.fields)
        return Answer(response.status, fields, body)

    async def send_buffered(self, answer: Answer) -> None:
        """Send a complete answer."""
        self._answered_at = self._context.clock.monotonic()
        self._context.metrics.count("bytes.answered", len(answer.body))
        length = ("content-length", str(len(answer.body)))
        await self._responder.start(answer.status, [*answer.fields, length])
        await self._responder.finish(answer.body)

    async def relay_stream(self, response: Response, observer: StreamObserver) -> None:
        """Relay whole events as they arrive, to the end of the stream.

        :raises UpstreamError: if the stream breaks; a later call resumes it.
        """
        splitter = EventSplitter()
        pace = EventPace()
        event_timeout_s = response.timeout_s
        clock = self._context.clock
        last_event_at = clock.monotonic()
        async for data in response.aiter_stream():
            events = splitter.feed(data)
            if not events:
                # Bytes that complete no event do not restart the timeout.
                waited_s = clock.monotonic() - last_event_at
                response.timeout_s = event_timeout_s - waited_s
                continue
            observer.record_events()
            response.timeout_s = event_timeout_s
            last_event_at = clock.monotonic()
            await self._send_events(response, events)
            if splitter.last_id is not None:
                self._resume_after = splitter.last_id
                pace.record_event(splitter.last_id, self._context.clock.monotonic())
                observer.record_pace(pace)
        if splitter.within_event:
            raise UpstreamError(
                RefusalReason.UPSTREAM_TRUNCATED,
                Execution.RAN,
                "the stream ended within an event",
            )
        if splitter.partial_event or not self._responder.started:
            await self._send_events(response, splitter.partial_event)
        self._context.metrics.observe("stream.pause_s", pace.longest_pause_s)
        await self._responder.finish()

    async def _send_events(self, response: Response, events: bytes) -> None:
        if not self._responder.started:
            self._answered_at = self._context.clock.monotonic()
            fields = self._context.translator.answer_fields(response.fields)
            await self._responder.start(response.status, fields)
        if events:
            self._context.metrics.count("bytes.answered", len(events))
            await self._responder.send(events)


def check_answer_head(response: Response, head: AnswerHead) -> None:
    """Check that an answer is the replica's own and may be relayed.

    :raises UpstreamError: if it is not.
    """
    if response.status in UNPROVED_NOT_RUN_STATUSES:
        raise UpstreamError(
            RefusalReason.UPSTREAM_FAILED,
            Execution.UNKNOWN,
            f"status {response.status} without proof that the request did not run",
        )
    if head.unaltered or response.status >= 500:
        return
    raise UpstreamError(
        RefusalReason.UPSTREAM_GARBLED,
        Execution.UNKNOWN,
        f"answer with status {response.status} lacks the replica's signature "
        "or has a content encoding that was not requested",
    )
