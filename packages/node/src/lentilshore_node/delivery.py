"""Delivery of one request: attempts at replicas, and the answer relayed."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from contextlib import AbstractAsyncContextManager
from functools import partial
from typing import NamedTuple

from lentilshore_kernel.exceptions import RefusalError, UpstreamError
from lentilshore_kernel.logs import log_event
from lentilshore_kernel.metrics import retry_counter
from lentilshore_kernel.types import Execution, RefusalReason, RetryReason
from lentilshore_routing.model_choice import first_model, larger_model
from lentilshore_routing.patience import (
    answer_wait_s,
    longer_wait_s,
    pause_wait_s,
)
from lentilshore_routing.placement import Lease
from lentilshore_routing.rollout_record import Rollout
from lentilshore_routing.routes import KeyHolder, Repeat, Route, shared_prefix
from lentilshore_routing.version_evidence import latency_kind

from .attempts import AttemptLoop, ExecutionProof, RetryScope
from .engine import raising_upstream_errors
from .event_splitter import EventPace, EventSplitter
from .forwarding import AnswerHead, Attempt, ForwardRequest
from .gateway_context import GatewayContext
from .http_client import Reply
from .responder import Responder

# Work of a call of a plain service, in tokens, for comparing loads.
PLAIN_WORK_TOKENS = 16.0
# Tokens that are read in the time in which one is generated, roughly.
READ_TOKENS_PER_OUTPUT = 16.0
# A caller may come back after this time where replicas are full, seconds: about the
# time of a few plain calls.
FULL_RETRY_S = 0.3
# Time in which a new replica or configuration is usually known, seconds.
MISSING_RETRY_S = 1.0
# A replica that has answered nothing for this time may be silent, seconds.
SILENCE_S = 0.7
# A request with less time left is not sent again, seconds.
REPEAT_MINIMUM_S = 0.05
# Time kept between the end of the last wait and the caller's deadline, so that the
# failure is the replica's and the caller learns of it, seconds.
DEADLINE_MARGIN_S = 0.01
# A replica's own answer at the deadline, which says nothing of its version.
TIMED_OUT_STATUS = 504
# Share of a prompt that other prompts share, up to which its first event comes about
# as soon from a cold cache.
SHARED_SHARE_LIMIT = 0.4
# Statuses that promise that the request did not run, which a replica proves otherwise.
PROMISE_STATUSES = (408, 421, 429, 503)
# A request that may not be repeated goes out on a connection used this recently,
# seconds, so that it does not meet the server's closing.
ONCE_IDLE_LIMIT_S = 1.0
REPEAT_IDLE_LIMIT_S = 4.0


class Answer(NamedTuple):
    """A whole answer of a replica."""

    status: int
    fields: list[tuple[str, str]]
    body: bytes


class Outcome(NamedTuple):
    """How a request ended, for the log.

    :param status: status that the caller got.
    :param attempts: replicas that it was sent to.
    :param lease: the last of them, and what was believed of it.
    :param version: its version.
    :param model: the last model asked, empty where there is no choice.
    :param first_s: time to the answer or its first event, seconds.
    :param whole_s: time to the end of the answer, seconds.
    """

    status: int
    attempts: int
    lease: Lease | None
    version: str
    model: str
    first_s: float
    whole_s: float


class Delivery:
    """One request on its way: its attempts, and what is proved about them.

    :param context: the gateway.
    :param check_key: refuses if the caller's key may have been withdrawn.
    :param request: the request.
    :param route: its route.
    :param holder: the customer that it comes from.
    :param received_at: when it came, on the node's clock.
    :param responder: receives the answer.
    """

    def __init__(
        self,
        context: GatewayContext,
        check_key: Callable[[Route], None],
        request: ForwardRequest,
        route: Route,
        holder: KeyHolder | None,
        received_at: float,
        responder: Responder,
    ) -> None:
        self._context = context
        self._check_key = check_key
        self._request = request
        self._route = route
        self._holder = holder
        self._received_at = received_at
        self._responder = responder
        limit_s = route.timeout_s
        if request.deadline_s is not None:
            limit_s = min(limit_s, request.deadline_s)
        self._ends_at = received_at + limit_s
        self._service = route.pick_service(context.random.random())
        self._model = first_model(route.models) if route.models else ""
        self._attempts = 0
        self._attempt_at = received_at
        self._runs = 0
        self._streaming = False
        self._waiting_since = received_at
        self._proof = ExecutionProof()
        own = request.request
        scope = RetryScope(own, own, self._service, route.repeat.repeatable)
        self._loop = AttemptLoop(context, self, scope)
        self._resume_after = request.resume_after
        self._failure: Answer | None = None
        self._first_at: float | None = None
        self._lease: Lease | None = None
        self._version = ""
        self._rollout: Rollout | None = None

    @property
    def _last_replica(self) -> str:
        return self._lease.replica.name if self._lease else "-"

    @property
    def _remaining_s(self) -> float:
        return self._ends_at - self._context.clock.monotonic()

    @property
    def _longest_wait_s(self) -> float:
        return self._remaining_s - DEADLINE_MARGIN_S

    async def run(self) -> Outcome:
        """Serve the request within its time."""
        remaining_s = self._remaining_s
        if remaining_s <= 0:
            raise RefusalError(RefusalReason.DEADLINE_EXCEEDED)
        with self._context.clock.timeout(remaining_s):
            return await self._run()
        raise RefusalError(
            RefusalReason.DEADLINE_EXCEEDED,
            self._proof.execution,
            f"no whole answer within {self._ends_at - self._received_at:.3f} s",
        )

    async def _run(self) -> Outcome:
        self._context.retries.note_first(self._service)
        try:
            status = await self._loop.run(self._attempt)
            while status is None:
                status = await self._loop.run(self._attempt)
        except UpstreamError as error:
            status = await self._give_up(error)
        return self._outcome(status)

    def place(self, tried: Sequence[str]) -> Lease:
        """Choose a version and a replica of it.

        :raises RefusalError: ``no_upstream``, or if the key may be withdrawn.
        """
        self._check_key(self._route)
        view = self._context.view
        self._rollout = view.rollouts.get(self._service)
        version = self._context.chooser.choose(
            self._rollout,
            view.versions(self._service),
            self._request.session,
            self._context.random.random(),
            self._context.clock.monotonic(),
        )
        lease = None
        if version is not None:
            self._version = version
            lease = self._choose(f"{self._service}@{version}", tried)
        if lease is None:
            raise RefusalError(
                RefusalReason.NO_UPSTREAM,
                self._proof.execution,
                f"no replica of {self._service} is available",
                MISSING_RETRY_S,
            )
        return lease

    def _choose(self, group: str, tried: Sequence[str]) -> Lease | None:
        request = self._request
        prefix, _ = shared_prefix(request.parts, self._model)
        work = PLAIN_WORK_TOKENS
        if self._route.repeat.streaming:
            work += request.prompt_tokens / READ_TOKENS_PER_OUTPUT
            work += request.output_tokens
        return self._context.placement.place(group, work, prefix, tried=tried)

    def note_failure(self, lease: Lease, error: UpstreamError) -> None:
        """Note that an attempt has failed, and what its wait tells of the load."""
        elapsed_s = self._context.clock.monotonic() - self._attempt_at
        if error.reason is RefusalReason.UPSTREAM_STALLED:
            self._context.answer_times.add(self._latency_kind, elapsed_s)
            if self._route.repeat.streaming and not self._streaming:
                self._context.pressure.note(elapsed_s, self._route.objective_s)
        self._log_failure(lease, error, elapsed_s)
        self._end_attempt(error.execution)

    def may_go_on(self) -> bool:
        """Tell whether the route, the time and what was sent allow another attempt."""
        resumable = self._route.repeat is Repeat.STREAM_RESUMABLE
        if self._responder.started and not resumable:
            return False
        if self._runs >= self._route.max_attempts:
            return False
        return self._remaining_s >= REPEAT_MINIMUM_S

    def note_retry(self, reason: RetryReason) -> None:
        """Count that the request is sent again."""
        self._context.metrics.count(retry_counter(reason))

    async def _attempt(self, lease: Lease) -> int | None:
        """Return the status of the answer, None to ask a larger model."""
        self._attempts += 1
        self._lease = lease
        self._attempt_at = self._context.clock.monotonic()
        status = await self._exchange(lease, self._attempt_at)
        if status is None:
            self._end_attempt(Execution.RAN)
        return status

    async def _exchange(self, lease: Lease, started_at: float) -> int | None:
        usual_s = self._context.answer_times.expected_s(self._latency_kind)
        wait_s = answer_wait_s(
            self._route, usual_s, self._last_run, self._longest_wait_s
        )
        with raising_upstream_errors():
            async with self._open(lease, wait_s) as reply:
                head = self._context.translator.read_head(reply.status, reply.headers)
                if head.replaced:
                    raise UpstreamError(
                        RefusalReason.UPSTREAM_REPLACED,
                        Execution.NOT_RUN,
                        "another replica has the address",
                    )
                if head.not_run:
                    raise UpstreamError(
                        RefusalReason.UPSTREAM_FULL,
                        Execution.NOT_RUN,
                        f"the replica did not run it: status {reply.status}",
                    )
                self._context.placement.note_answer(lease.replica.name)
                if self._route.repeat.streaming and reply.status == 200:
                    return await self._relay_stream(reply, head, started_at)
                return await self._relay_whole(reply, head, started_at)

    def _encode(self, lease: Lease) -> bytes:
        """Return the request for a replica, if it may go out now."""
        self._check_key(self._route)
        self._check_still_allowed(lease)
        attempt = Attempt(
            replica=lease.replica,
            holder=self._holder,
            remaining_s=self._remaining_s,
            priority=self._priority,
            model=self._model,
            resume_after=self._resume_after,
        )
        data = self._context.translator.encode_attempt(self._request, attempt)
        self._proof.begin()
        return data

    def _open(
        self, lease: Lease, timeout_s: float
    ) -> AbstractAsyncContextManager[Reply]:
        read_head, own = self._context.translator.read_head, self._request.request

        def belongs(headers: dict[str, str]) -> bool:
            return read_head(0, headers).request in ("", own)

        once = not self._route.repeat.repeatable
        idle_s = ONCE_IDLE_LIMIT_S if once else REPEAT_IDLE_LIMIT_S
        self._waiting_since = self._context.clock.monotonic()
        extend = None
        if self._route.repeat is Repeat.STREAM_RESUMABLE:
            extend = partial(self._more_patience_s, lease.replica.name)
        return self._context.http.exchange(
            lease.replica.address,
            partial(self._encode, lease),
            timeout_s,
            belongs,
            idle_s,
            extend,
        )

    def _more_patience_s(self, replica: str) -> float:
        """Return for how much longer to wait for a replica that answers others."""
        if not self._context.placement.answers(replica, SILENCE_S):
            return 0.0
        waited_s = self._context.clock.monotonic() - self._waiting_since
        return longer_wait_s(self._route, self._streaming, waited_s)

    async def _relay_whole(
        self, reply: Reply, head: AnswerHead, started_at: float
    ) -> int:
        body = await reply.read()
        self._check_genuine(reply, head)
        now = self._context.clock.monotonic()
        self._note_error(reply.status >= 500 and reply.status != TIMED_OUT_STATUS)
        if reply.status < 500:
            self._context.answer_times.add(self._latency_kind, now - started_at)
            self._note_time(self._route.name, now - started_at)
        fields = self._context.translator.answer_fields(reply.fields)
        answer = Answer(reply.status, fields, body)
        if reply.status >= 500:
            self._failure = answer
            raise UpstreamError(
                RefusalReason.UPSTREAM_FAILED,
                Execution.RAN,
                f"the replica failed: status {reply.status}",
            )
        self._first_at = now
        await self._send_whole(answer)
        return reply.status

    async def _relay_stream(
        self, reply: Reply, head: AnswerHead, started_at: float
    ) -> int | None:
        self._check_genuine(reply, head)
        first_s = self._context.clock.monotonic() - started_at
        self._note_first_event(first_s)
        self._note_error(False)
        if self._escalates(head):
            return None
        reply.timeout_s = pause_wait_s(
            self._route, self._last_run, self._longest_wait_s
        )
        self._streaming = True
        self._waiting_since = self._context.clock.monotonic()
        splitter = EventSplitter()
        pace = EventPace()
        async for data in reply.aiter_stream():
            self._note_sign_of_life()
            events = splitter.feed(data)
            if not events:
                continue
            await self._send_events(reply, events)
            if splitter.last_id is not None:
                self._resume_after = splitter.last_id
                pace.note(splitter.last_id, self._context.clock.monotonic())
                self._note_pace(pace)
        if splitter.rest:
            raise UpstreamError(
                RefusalReason.UPSTREAM_TRUNCATED,
                Execution.RAN,
                "the stream ended within an event",
            )
        if not self._responder.started:
            await self._send_events(reply, b"")
        self._context.metrics.observe("stream.pause_s", pace.longest_s)
        await self._responder.finish()
        return reply.status

    async def _send_events(self, reply: Reply, events: bytes) -> None:
        if not self._responder.started:
            self._first_at = self._context.clock.monotonic()
            fields = self._context.translator.answer_fields(reply.fields)
            await self._responder.start(reply.status, fields)
        if events:
            self._context.metrics.count("bytes.answered", len(events))
            await self._responder.send(events)

    async def _send_whole(self, answer: Answer) -> None:
        self._context.metrics.count("bytes.answered", len(answer.body))
        length = ("content-length", str(len(answer.body)))
        await self._responder.start(answer.status, [*answer.fields, length])
        await self._responder.finish(answer.body)

    def _escalates(self, head: AnswerHead) -> bool:
        """Go over to a larger model if the answer is too unsure for its load."""
        if self._responder.started or not self._route.models:
            return False
        if not self._route.repeat.repeatable or self._last_run:
            return False
        pressure = self._context.pressure.value
        larger = larger_model(
            self._route.models, self._model, head.confidence, pressure
        )
        if larger is None or not self._loop.spend_retry(Execution.NOT_RUN):
            return False
        self._context.metrics.count(retry_counter(RetryReason.ESCALATED))
        if self._context.sampler.admits(self._request.request):
            log_event(
                "model_escalated",
                request=self._request.request,
                model=self._model,
                larger=larger,
                confidence=head.confidence,
                pressure=f"{pressure:.2f}",
            )
        self._model = larger
        return True

    def _check_genuine(self, reply: Reply, head: AnswerHead) -> None:
        if reply.status in PROMISE_STATUSES:
            raise UpstreamError(
                RefusalReason.UPSTREAM_FAILED,
                Execution.UNKNOWN,
                f"status {reply.status} without proof that it did not run",
            )
        if head.genuine or reply.status >= 500:
            return
        raise UpstreamError(
            RefusalReason.UPSTREAM_GARBLED,
            Execution.UNKNOWN,
            f"answer with status {reply.status} is not the replica's",
        )

    def _check_still_allowed(self, lease: Lease) -> None:
        if not self._context.view.usable(lease.replica.name):
            raise UpstreamError(
                RefusalReason.NO_UPSTREAM, Execution.NOT_RUN, "the replica has left"
            )

    def _note_sign_of_life(self) -> None:
        self._waiting_since = self._context.clock.monotonic()
        self._context.placement.note_answer(self._last_replica)

    def _end_attempt(self, execution: Execution) -> None:
        self._streaming = False
        self._runs += execution is not Execution.NOT_RUN
        self._proof.end(execution)

    async def _give_up(self, error: UpstreamError) -> int:
        if self._failure is not None and not self._responder.started:
            await self._send_whole(self._failure)
            return self._failure.status
        execution = self._proof.execution
        retry_after_s = FULL_RETRY_S if execution is Execution.NOT_RUN else None
        raise RefusalError(
            error.reason, execution, error.detail, retry_after_s
        ) from error

    @property
    def _place_served(self) -> tuple[str, str, str]:
        return self._service, self._version, self._last_replica

    def _note_error(self, bad: bool) -> None:
        self._context.evidence.note_error(self._rollout, self._place_served, bad)

    def _note_time(self, kind: str, seconds: float) -> None:
        place = self._place_served
        self._context.evidence.note_time(self._rollout, place, kind, seconds)

    def _note_first_event(self, first_s: float) -> None:
        """Compare the time to the first event unless a cold cache may explain it."""
        self._context.answer_times.add(self._latency_kind, first_s)
        self._context.pressure.note(first_s, self._route.objective_s)
        _, shared_tokens = shared_prefix(self._request.parts, self._model)
        if shared_tokens <= self._request.prompt_tokens * SHARED_SHARE_LIMIT:
            self._note_time(self._latency_kind, first_s)

    def _note_pace(self, pace: EventPace) -> None:
        """Compare the time between events, which cold caches do not lengthen."""
        pause_s = pace.take_pause_s()
        if pause_s is not None:
            self._note_time(f"pace/{self._model}", pause_s)

    @property
    def _last_run(self) -> bool:
        """Whether the run under way is the last that the route allows."""
        return self._runs + 1 >= self._route.max_attempts

    @property
    def _priority(self) -> int:
        if self._holder is not None and self._holder.priority is not None:
            return self._holder.priority
        return self._route.priority

    @property
    def _latency_kind(self) -> str:
        return latency_kind(self._route.name, self._model, self._request.prompt_tokens)

    def _log_failure(
        self, lease: Lease, error: UpstreamError, elapsed_s: float
    ) -> None:
        self._context.metrics.count(f"attempt.{error.reason.value}")
        log_event(
            "attempt_failed",
            request=self._request.request,
            attempt=self._attempts,
            replica=lease.replica.name,
            version=self._version,
            reason=error.reason.value,
            execution=error.execution.value,
            detail=error.detail,
            elapsed_ms=f"{elapsed_s * 1000:.1f}",
        )

    def _outcome(self, status: int) -> Outcome:
        now = self._context.clock.monotonic()
        first_at = self._first_at or now
        return Outcome(
            status,
            self._attempts,
            self._lease,
            self._version,
            self._model,
            first_at - self._received_at,
            now - self._received_at,
        )
