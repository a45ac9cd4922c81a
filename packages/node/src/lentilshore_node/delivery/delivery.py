"""Forwards one request to replicas, with retries, and relays the answer."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from contextlib import AbstractAsyncContextManager
from functools import partial
from typing import NamedTuple

from lentilshore_kernel.exceptions import RefusalError, UpstreamError
from lentilshore_kernel.logs import log_event
from lentilshore_kernel.metrics import retry_counter
from lentilshore_kernel.types import Execution, RefusalReason, RetryReason
from lentilshore_routing.model_choice import first_model, larger_model, should_escalate
from lentilshore_routing.placement import ReplicaLease
from lentilshore_routing.rollout_record import Rollout
from lentilshore_routing.routes import DeliveryMode, KeyOwner, Route, shared_prefix
from lentilshore_routing.timeouts import (
    answer_timeout_s,
    next_event_timeout_s,
    timeout_extension_s,
)
from lentilshore_routing.version_evidence import latency_kind

from ..clients.engine import raising_upstream_errors
from ..clients.event_splitter import EventPace, EventSplitter
from ..clients.forwarding import AnswerHead, Attempt, ForwardRequest
from ..clients.http_client import Response
from ..state.gateway_context import GatewayContext
from .attempts import AttemptLoop, ExecutionProof, RetryScope
from .responder import Responder

# Work that every request counts for when loads are compared; a call of a plain service
# counts for no more than this.
BASE_WORK_TOKENS = 16.0
# An engine reads about this many prompt tokens in the time of generating one token.
PROMPT_TOKENS_PER_OUTPUT_TOKEN = 16.0
# Retry delay stated in refusals where replicas are full: about the time of a few plain
# calls.
OVERLOAD_RETRY_AFTER_S = 0.3
# Retry delay stated in refusals where no replica is available: a new replica or
# configuration is usually known by then.
NO_UPSTREAM_RETRY_AFTER_S = 1.0
# A replica that has answered nothing for this time may be unresponsive: its timeout is
# not extended.
REPLICA_SILENCE_S = 0.7
# A request with less time left is not sent again.
RETRY_MIN_REMAINING_S = 0.05
# The last timeout ends this long before the caller's deadline, so that the failure is
# attributed to the replica and reported to the caller.
DEADLINE_MARGIN_S = 0.01
# A replica answers with this status at the deadline. That is not counted as an error of
# the replica's version, since it says nothing about the version.
GATEWAY_TIMEOUT_STATUS = 504
# Up to this share of tokens that a prompt has in common with others, its first event
# comes about as soon from a cold cache as from a warm one.
SHARED_PREFIX_SHARE_LIMIT = 0.4
# Statuses that tell a caller that the request did not run. A replica that did not run
# it states so with a header; without that header the status proves nothing.
UNPROVED_NOT_RUN_STATUSES = (408, 421, 429, 503)
# Longest idle time of a connection that is used again. It is shorter for a request that
# may not be repeated, so that the server does not close the connection meanwhile.
UNREPEATABLE_IDLE_LIMIT_S = 1.0
REPEATABLE_IDLE_LIMIT_S = 4.0


class Answer(NamedTuple):
    """A complete answer of a replica."""

    status: int
    fields: list[tuple[str, str]]
    body: bytes


class Outcome(NamedTuple):
    """Result of a request, for logs and metrics.

    :param status: status that the caller got.
    :param attempts: number of times that the request was sent to a replica.
    :param lease: the last replica, with its load when it was chosen.
    :param version: version of that replica.
    :param model: the last model used, empty where the route names none.
    :param first_s: time to the answer or its first event, seconds.
    :param total_s: time to the end of the answer, seconds.
    """

    status: int
    attempts: int
    lease: ReplicaLease | None
    version: str
    model: str
    first_s: float
    total_s: float


class Delivery:
    """Sends one request to replicas until one answers, and relays the answer.

    :param context: context of the gateway.
    :param check_key: raises RefusalError if the caller's key may have been withdrawn.
    :param request: the caller's request.
    :param route: route of the request.
    :param customer: customer that sent it, None on a public route.
    :param received_at: time at which it was received, on the node's clock, seconds.
    :param responder: sends the answer to the caller.
    """

    def __init__(
        self,
        context: GatewayContext,
        check_key: Callable[[Route], None],
        request: ForwardRequest,
        route: Route,
        customer: KeyOwner | None,
        received_at: float,
        responder: Responder,
    ) -> None:
        self._context = context
        self._check_key = check_key
        self._request = request
        self._route = route
        self._customer = customer
        self._received_at = received_at
        self._responder = responder
        limit_s = route.timeout_s
        if request.deadline_s is not None:
            limit_s = min(limit_s, request.deadline_s)
        self._deadline_at = received_at + limit_s
        self._service = route.pick_service(context.random.random())
        self._model = first_model(route.models) if route.models else ""
        self._attempts = 0
        self._attempt_started_at = received_at
        # Number of ended attempts that ran or may have run.
        self._possible_runs = 0
        # Whether the events of the current attempt are being relayed.
        self._streaming = False
        # When the current wait for data from the replica began, on the node's clock.
        self._waiting_since = received_at
        self._proof = ExecutionProof()
        request_id = request.request_id
        scope = RetryScope(
            request_id, request_id, self._service, route.delivery_mode.repeatable
        )
        self._loop = AttemptLoop(context, self, scope)
        # Identifier of the last event that was sent to the caller.
        self._resume_after = request.resume_after
        # A replica's last answer with a status of 500 or above, sent if all attempts
        # fail.
        self._error_answer: Answer | None = None
        self._answered_at: float | None = None
        self._lease: ReplicaLease | None = None
        self._version = ""
        self._rollout: Rollout | None = None

    @property
    def _replica_name(self) -> str:
        return self._lease.replica.name if self._lease else "-"

    @property
    def _remaining_s(self) -> float:
        return self._deadline_at - self._context.clock.monotonic()

    @property
    def _timeout_limit_s(self) -> float:
        return self._remaining_s - DEADLINE_MARGIN_S

    async def run(self) -> Outcome:
        """Serve the request until its deadline.

        :raises RefusalError: ``deadline_exceeded`` at the deadline, or the reason for
            which it could not be served.
        """
        remaining_s = self._remaining_s
        if remaining_s <= 0:
            raise RefusalError(RefusalReason.DEADLINE_EXCEEDED)
        with self._context.clock.timeout(remaining_s):
            return await self._run()
        # Reached at the timeout, which ends the block above without an exception.
        raise RefusalError(
            RefusalReason.DEADLINE_EXCEEDED,
            self._proof.execution,
            f"no whole answer within {self._deadline_at - self._received_at:.3f} s",
        )

    async def _run(self) -> Outcome:
        self._context.retries.record_first_attempt(self._service)
        try:
            status = await self._loop.run(self._attempt)
            # None: the request is to be sent to a larger model.
            while status is None:
                status = await self._loop.run(self._attempt)
        except UpstreamError as error:
            status = await self._give_up(error)
        return self._outcome(status)

    def choose_replica(self, tried: Sequence[str]) -> ReplicaLease:
        """Choose a version of the service and a replica of that version.

        :param tried: names of replicas at which attempts have failed.
        :raises RefusalError: ``no_upstream`` if no replica is available, or
            ``key_unproved`` if the caller's key may have been withdrawn.
        """
        self._check_key(self._route)
        view = self._context.view
        self._rollout = view.rollouts.get(self._service)
        version = self._context.version_chooser.choose(
            self._rollout,
            view.version_counts(self._service),
            self._request.session,
            self._context.random.random(),
            self._context.clock.monotonic(),
        )
        lease = None
        if version is not None:
            self._version = version
            lease = self._choose_replica(f"{self._service}@{version}", tried)
        if lease is None:
            raise RefusalError(
                RefusalReason.NO_UPSTREAM,
                self._proof.execution,
                f"no replica of {self._service} is available",
                NO_UPSTREAM_RETRY_AFTER_S,
            )
        return lease

    def _choose_replica(self, group: str, tried: Sequence[str]) -> ReplicaLease | None:
        request = self._request
        prefix, _ = shared_prefix(request.parts, self._model)
        work = BASE_WORK_TOKENS
        if self._route.delivery_mode.streaming:
            work += request.prompt_tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN
            work += request.output_tokens
        return self._context.placement.choose_untried_first(
            group, work, prefix, tried=tried
        )

    def record_failure(self, lease: ReplicaLease, error: UpstreamError) -> None:
        """Record a failed attempt; the time until a timeout counts as a latency."""
        elapsed_s = self._context.clock.monotonic() - self._attempt_started_at
        if error.reason is RefusalReason.UPSTREAM_STALLED:
            self._context.typical_latencies.add(self._latency_kind, elapsed_s)
            if self._route.delivery_mode.streaming and not self._streaming:
                self._record_first_event_time(elapsed_s)
        self._log_failure(lease, error, elapsed_s)
        self._end_attempt(error.execution)

    def may_retry(self) -> bool:
        """Return whether another attempt is allowed.

        None is allowed once a stream that can't be resumed has started, once the
        route's attempts are used up, or shortly before the deadline.
        """
        resumable = self._route.delivery_mode is DeliveryMode.STREAM_RESUMABLE
        if self._responder.started and not resumable:
            return False
        if self._possible_runs >= self._route.max_attempts:
            return False
        return self._remaining_s >= RETRY_MIN_REMAINING_S

    def record_retry(self, reason: RetryReason) -> None:
        """Count a retry in the metrics."""
        self._context.metrics.count(retry_counter(reason))

    async def _attempt(self, lease: ReplicaLease) -> int | None:
        """Send the request to a replica.

        :returns: status of the answer, None to repeat the request on a larger model.
        """
        self._attempts += 1
        self._lease = lease
        self._attempt_started_at = self._context.clock.monotonic()
        status = await self._exchange(lease, self._attempt_started_at)
        if status is None:
            self._end_attempt(Execution.RAN)
        return status

    async def _exchange(self, lease: ReplicaLease, started_at: float) -> int | None:
        typical_latency_s = self._context.typical_latencies.expected_s(
            self._latency_kind
        )
        timeout_s = answer_timeout_s(
            self._route, typical_latency_s, self._is_last_attempt, self._timeout_limit_s
        )
        with raising_upstream_errors():
            async with self._open(lease, timeout_s) as response:
                head = self._context.translator.read_head(
                    response.status, response.headers
                )
                if head.misdirected:
                    raise UpstreamError(
                        RefusalReason.UPSTREAM_REPLACED,
                        Execution.NOT_RUN,
                        "another replica answers at the address of the chosen one",
                    )
                if head.not_run:
                    raise UpstreamError(
                        RefusalReason.UPSTREAM_FULL,
                        Execution.NOT_RUN,
                        "the replica did not run the request: "
                        f"status {response.status}",
                    )
                self._context.placement.record_answer(lease.replica.name)
                if self._route.delivery_mode.streaming and response.status == 200:
                    return await self._relay_stream(response, head, started_at)
                return await self._relay_buffered(response, head, started_at)

    def _encode(self, lease: ReplicaLease) -> bytes:
        """Return the bytes for a replica, after checking that they may still be sent.

        The HTTP client calls this once a connection is open, right before it sends.

        :raises RefusalError: if the caller's key may have been withdrawn.
        :raises UpstreamError: if the replica may no longer be used.
        """
        self._check_key(self._route)
        self._check_replica_usable(lease)
        attempt = Attempt(
            replica=lease.replica,
            customer=self._customer,
            remaining_s=self._remaining_s,
            priority=self._priority,
            model=self._model,
            resume_after=self._resume_after,
        )
        data = self._context.translator.encode_attempt(self._request, attempt)
        self._proof.begin()
        return data

    def _open(
        self, lease: ReplicaLease, timeout_s: float
    ) -> AbstractAsyncContextManager[Response]:
        read_head, request_id = (
            self._context.translator.read_head,
            self._request.request_id,
        )

        def is_own_answer(headers: dict[str, str]) -> bool:
            # The identifier does not depend on the status: 0 stands for any.
            return read_head(0, headers).request_id in ("", request_id)

        unrepeatable = not self._route.delivery_mode.repeatable
        max_idle_s = (
            UNREPEATABLE_IDLE_LIMIT_S if unrepeatable else REPEATABLE_IDLE_LIMIT_S
        )
        self._waiting_since = self._context.clock.monotonic()
        extend_timeout = None
        if self._route.delivery_mode is DeliveryMode.STREAM_RESUMABLE:
            extend_timeout = partial(self._timeout_extension_s, lease.replica.name)
        return self._context.http.exchange(
            lease.replica.address,
            partial(self._encode, lease),
            timeout_s,
            is_own_answer,
            max_idle_s,
            extend_timeout,
        )

    def _timeout_extension_s(self, replica_name: str) -> float:
        """Return by how many seconds to extend a timeout, 0 to let it end the attempt.

        It is extended only if the replica has just answered some request.
        """
        if not self._context.placement.answered_within(replica_name, REPLICA_SILENCE_S):
            return 0.0
        waited_s = self._context.clock.monotonic() - self._waiting_since
        return timeout_extension_s(self._route, self._streaming, waited_s)

    async def _relay_buffered(
        self, response: Response, head: AnswerHead, started_at: float
    ) -> int:
        body = await response.read()
        self._check_answer_head(response, head)
        now = self._context.clock.monotonic()
        self._record_version_outcome(
            response.status >= 500 and response.status != GATEWAY_TIMEOUT_STATUS
        )
        if response.status < 500:
            self._context.typical_latencies.add(self._latency_kind, now - started_at)
            self._record_latency(self._route.name, now - started_at)
        fields = self._context.translator.answer_fields(response.fields)
        answer = Answer(response.status, fields, body)
        if response.status >= 500:
            self._error_answer = answer
            raise UpstreamError(
                RefusalReason.UPSTREAM_FAILED,
                Execution.RAN,
                f"the replica answered with status {response.status}",
            )
        self._answered_at = now
        await self._send_buffered(answer)
        return response.status

    async def _relay_stream(
        self, response: Response, head: AnswerHead, started_at: float
    ) -> int | None:
        self._check_answer_head(response, head)
        first_s = self._context.clock.monotonic() - started_at
        self._record_first_event(first_s)
        # False: a stream that has started counts as a success of the version.
        self._record_version_outcome(False)
        if self._escalate(head):
            return None
        response.timeout_s = next_event_timeout_s(
            self._route, self._is_last_attempt, self._timeout_limit_s
        )
        self._streaming = True
        self._waiting_since = self._context.clock.monotonic()
        splitter = EventSplitter()
        pace = EventPace()
        async for data in response.aiter_stream():
            self._record_activity()
            events = splitter.feed(data)
            if not events:
                continue
            await self._send_events(response, events)
            if splitter.last_id is not None:
                self._resume_after = splitter.last_id
                pace.record_event(splitter.last_id, self._context.clock.monotonic())
                self._record_pace(pace)
        if splitter.partial_event:
            raise UpstreamError(
                RefusalReason.UPSTREAM_TRUNCATED,
                Execution.RAN,
                "the stream ended within an event",
            )
        if not self._responder.started:
            await self._send_events(response, b"")
        self._context.metrics.observe("stream.pause_s", pace.longest_pause_s)
        await self._responder.finish()
        return response.status

    async def _send_events(self, response: Response, events: bytes) -> None:
        if not self._responder.started:
            self._answered_at = self._context.clock.monotonic()
            fields = self._context.translator.answer_fields(response.fields)
            await self._responder.start(response.status, fields)
        if events:
            self._context.metrics.count("bytes.answered", len(events))
            await self._responder.send(events)

    async def _send_buffered(self, answer: Answer) -> None:
        self._context.metrics.count("bytes.answered", len(answer.body))
        length = ("content-length", str(len(answer.body)))
        await self._responder.start(answer.status, [*answer.fields, length])
        await self._responder.finish(answer.body)

    def _escalate(self, head: AnswerHead) -> bool:
        """Switch to a larger model if the answer's confidence is too low.

        :returns: whether the request is to be sent again, to the larger model.
        """
        if self._responder.started or not self._route.models:
            return False
        if not self._route.delivery_mode.repeatable or self._is_last_attempt:
            return False
        larger = larger_model(self._route.models, self._model)
        if larger is None:
            return False
        expected_s = self._expected_first_event_s(larger)
        remaining_s = (
            self._received_at
            + self._route.latency_objective_s
            - self._context.clock.monotonic()
        )
        # The execution passed here matters only where a request may not be repeated,
        # which is excluded above.
        if not should_escalate(
            head.confidence, expected_s, remaining_s
        ) or not self._loop.spend_retry(Execution.NOT_RUN):
            return False
        self._context.metrics.count(retry_counter(RetryReason.ESCALATED))
        if self._context.log_sampler.should_log(self._request.request_id):
            log_event(
                "model_escalated",
                request=self._request.request_id,
                model=self._model,
                larger=larger,
                confidence=head.confidence,
                expected_ms=f"{expected_s * 1000:.0f}",
                remaining_ms=f"{remaining_s * 1000:.0f}",
            )
        self._model = larger
        return True

    def _expected_first_event_s(self, model: str) -> float:
        """Return the expected time to the first event of another model, seconds."""
        table = self._context.view.table
        model_costs = table.model_costs if table is not None else {}
        return self._context.first_event_times.expected_s(
            model, self._request.prompt_tokens, model_costs
        )

    def _check_answer_head(self, response: Response, head: AnswerHead) -> None:
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

    def _check_replica_usable(self, lease: ReplicaLease) -> None:
        if not self._context.view.usable(lease.replica.name):
            raise UpstreamError(
                RefusalReason.NO_UPSTREAM,
                Execution.NOT_RUN,
                "the replica is draining, removed or of a version no longer allowed",
            )

    def _record_activity(self) -> None:
        self._waiting_since = self._context.clock.monotonic()
        self._context.placement.record_answer(self._replica_name)

    def _end_attempt(self, execution: Execution) -> None:
        self._streaming = False
        self._possible_runs += execution is not Execution.NOT_RUN
        self._proof.end(execution)

    async def _give_up(self, error: UpstreamError) -> int:
        if self._error_answer is not None and not self._responder.started:
            await self._send_buffered(self._error_answer)
            return self._error_answer.status
        execution = self._proof.execution
        retry_after_s = (
            OVERLOAD_RETRY_AFTER_S if execution is Execution.NOT_RUN else None
        )
        raise RefusalError(
            error.reason, execution, error.detail, retry_after_s
        ) from error

    @property
    def _evidence_source(self) -> tuple[str, str, str]:
        return self._service, self._version, self._replica_name

    def _record_version_outcome(self, bad: bool) -> None:
        self._context.evidence.record_answer(self._rollout, self._evidence_source, bad)

    def _record_latency(self, kind: str, seconds: float) -> None:
        source = self._evidence_source
        self._context.evidence.record_latency(self._rollout, source, kind, seconds)

    def _record_first_event(self, first_s: float) -> None:
        """Record the time to the first event.

        It counts as evidence about the version only if a cold cache can't explain it.
        """
        self._context.typical_latencies.add(self._latency_kind, first_s)
        self._record_first_event_time(first_s)
        _, shared_tokens = shared_prefix(self._request.parts, self._model)
        if shared_tokens <= self._request.prompt_tokens * SHARED_PREFIX_SHARE_LIMIT:
            self._record_latency(self._latency_kind, first_s)

    def _record_first_event_time(self, first_s: float) -> None:
        """Record the time to a first event, or to the timeout if none arrived."""
        tokens = self._request.prompt_tokens
        if self._lease is not None and self._lease.cached:
            _, cached_tokens = shared_prefix(self._request.parts, self._model)
            tokens = max(0, tokens - cached_tokens)
        self._context.first_event_times.record(self._model, tokens, first_s)

    def _record_pace(self, pace: EventPace) -> None:
        """Record the mean time between events, which a cold cache does not lengthen."""
        pause_s = pace.take_mean_pause_s()
        if pause_s is not None:
            self._record_latency(f"pace/{self._model}", pause_s)

    @property
    def _is_last_attempt(self) -> bool:
        """Whether no further attempt is allowed if the current one may have run."""
        return self._possible_runs + 1 >= self._route.max_attempts

    @property
    def _priority(self) -> int:
        if self._customer is not None and self._customer.priority is not None:
            return self._customer.priority
        return self._route.priority

    @property
    def _latency_kind(self) -> str:
        return latency_kind(self._route.name, self._model, self._request.prompt_tokens)

    def _log_failure(
        self, lease: ReplicaLease, error: UpstreamError, elapsed_s: float
    ) -> None:
        self._context.metrics.count(f"attempt.{error.reason.value}")
        log_event(
            "attempt_failed",
            request=self._request.request_id,
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
        answered_at = self._answered_at or now
        return Outcome(
            status,
            self._attempts,
            self._lease,
            self._version,
            self._model,
            answered_at - self._received_at,
            now - self._received_at,
        )
