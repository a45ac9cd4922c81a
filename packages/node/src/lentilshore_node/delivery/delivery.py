"""Forwards one request to replicas, with retries, and relays the answer."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from functools import partial
from typing import NamedTuple

from lentilshore_kernel.exceptions import RefusalError, UpstreamError
from lentilshore_kernel.logs import log_event
from lentilshore_kernel.metrics import retry_counter, retry_denial_counter
from lentilshore_kernel.types import (
    Execution,
    RefusalReason,
    RetryDenial,
    RetryReason,
)
from lentilshore_routing.model_choice import first_model
from lentilshore_routing.placement import ReplicaLease
from lentilshore_routing.routes import DeliveryMode, KeyOwner, Route
from lentilshore_routing.timeouts import (
    answer_timeout_s,
    next_event_timeout_s,
    timeout_extension_s,
)

from ..clients.engine import raising_upstream_errors
from ..clients.event_splitter import EventPace
from ..clients.forwarding import AnswerHead, ForwardRequest
from ..clients.http_client import Call
from ..clients.http_connection import Response
from ..state.gateway_context import GatewayContext
from ..state.service_reach import Reach
from .answer_heads import (
    GATEWAY_TIMEOUT_STATUS,
    AnswerHeads,
    failed_answer_error,
)
from .answers import Answer, AnswerRelay, check_answer_head
from .attempt_planner import AttemptPlanner
from .attempt_sender import AttemptSender
from .attempted_request import RetryScope
from .attempts import AttemptLoop, ExecutionProof
from .crash_watch import CrashWatch
from .escalation import Escalation
from .handover import TAKE_UP_S, AttemptPlan, BegunAttempt, Handover
from .measurements import AttemptMeasurements
from .no_replica import NO_REPLICA_REASONS, overload_retry_after_s
from .outcome import Outcome
from .peer_forwarding import PeerForwarding
from .request_admission import RequestAdmission
from .responder import Responder

# A replica that has answered nothing for this time may be unresponsive: its timeout is
# not extended.
REPLICA_SILENCE_S = 0.7
# A request with less time left is not sent again.
RETRY_MIN_REMAINING_S = 0.05
# The last timeout ends this long before the caller's deadline, so that the failure is
# attributed to the replica and reported to the caller.
DEADLINE_MARGIN_S = 0.01
# Limit of an answer that is not streamed.
BUFFERED_ANSWER_LIMIT_BYTES = 4_194_304
# Refusals after which another gateway may serve a request, and failures after which one
# may if the request has not run.
ELSEWHERE_REASONS = frozenset(
    (RefusalReason.UPSTREAM_UNREACHABLE, RefusalReason.UPSTREAM_BUSY)
)
UNREACHED_REASONS = frozenset(
    (RefusalReason.UPSTREAM_FAILED, RefusalReason.NO_UPSTREAM)
)
# Longest wait of a request from another gateway until a replica has a free place.
PLACE_WAIT_S = 0.1
# Rejections for want of room after which a request is sent to no replica that bears few
# of them: it may be too large for all.
MAX_SCARCE_REJECTIONS = 2
# Time between two tries to hand over a request whose replica is silent.
HANDOVER_INTERVAL_S = 0.25
# The same after a replica has run the request and failed.
RETRY_AT_ONCE_S = 0.01
# Longest time for which an answer in hand waits for a larger model's replica to take
# the request up. The connection may take as long as the rest.
ESCALATION_WAIT_S = 2 * TAKE_UP_S


class ForwardedTerms(NamedTuple):
    """Terms on which this gateway serves a request in place of another one.

    :param attempts_left: number of attempts that may run.
    :param counted: whether the request counts already for the retry budget.
    """

    attempts_left: int
    counted: bool


class Delivery:
    """Sends one request to replicas until one answers, and relays the answer.

    If this gateway reaches no replica, another gateway serves the request in its place;
    a request that comes from another gateway goes no further.

    :param context: context of the gateway.
    :param check_key: raises RefusalError if the caller's key may have been withdrawn.
    :param request: the caller's request.
    :param route: route of the request.
    :param customer: customer that sent it, None on a public route.
    :param received_at: time at which it was received, on the node's clock, seconds.
    :param responder: sends the answer to the caller.
    :param forwarded: set if another gateway has sent the request.
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
        forwarded: ForwardedTerms | None = None,
    ) -> None:
        self._context = context
        self._check_key = check_key
        self._request = request
        self._route = route
        self._received_at = received_at
        limit_s = route.timeout_s
        if request.deadline_s is not None:
            limit_s = min(limit_s, request.deadline_s)
        self._deadline_at = received_at + limit_s
        self._forwarded = forwarded
        # Whether the request counts for the retry budget of this gateway or another.
        self._counted = forwarded is not None and forwarded.counted
        # Whether an attempt was sent to a replica.
        self._sent = False
        self._max_attempts = route.max_attempts
        if forwarded is not None:
            self._max_attempts = min(route.max_attempts, forwarded.attempts_left)
        self._service = route.pick_service(context.random.random())
        self._model = first_model(route.models) if route.models else ""
        self._attempts = 0
        self._attempt_started_at = received_at
        # Number of ended attempts that ran or may have run.
        self._possible_runs = 0
        # Rejections for want of room by replicas that bear few of them.
        self._scarce_rejections = 0
        # Whether the events of the current attempt are being relayed.
        self._streaming = False
        # When the current wait for data from the replica began, on the node's clock.
        self._waiting_since = received_at
        self._proof = ExecutionProof()
        request_id = request.request_id
        scope = RetryScope(
            request_id,
            request_id,
            self._service,
            route.delivery_mode.repeatable,
            customer.name if customer is not None else "",
            route.priority_for(customer),
        )
        self._loop = AttemptLoop(context, self, scope)
        self._crashes = CrashWatch(context, request, customer, self._proof)
        self._admission = RequestAdmission(
            context,
            self._service,
            request,
            route,
            customer,
            self._deadline_at,
            forwarded is not None,
        )
        self._planner = AttemptPlanner(
            context,
            check_key,
            request,
            route,
            self._service,
            self._proof,
            self._crashes,
            self._admission,
        )
        self._relay = AnswerRelay(context, responder, request.resume_after)
        self._heads = AnswerHeads(context, self._service, self._relay, self._admission)
        self._sender = AttemptSender(
            context,
            check_key,
            request,
            route,
            customer,
            self._deadline_at,
            self._relay,
            self._proof,
            self._crashes,
            self._record_send,
        )
        self._handover = Handover(
            context,
            request_id,
            self._loop,
            self._start_attempt,
            self._heads.check_taken_up,
            self._record_unfollowed,
        )
        self._forwarding = PeerForwarding(
            context,
            check_key,
            request,
            route,
            customer,
            self._service,
            self._relay,
            self._proof,
            self,
        )
        self._measurements = AttemptMeasurements(context, request, route)
        self._escalation = Escalation(
            context, request, route, self._measurements, received_at
        )
        # When an attempt was last given up that might still have answered, on the
        # node's clock.
        self._handed_over_at = -math.inf
        # A replica's last answer with a status of 500 or above, sent if all attempts
        # fail.
        self._error_answer: Answer | None = None
        # The current or last attempt.
        self._plan: AttemptPlan | None = None

    @property
    def _replica_name(self) -> str:
        return self._plan.lease.replica.name if self._plan else "-"

    @property
    def _group(self) -> str:
        return f"{self._service}@{self._plan.version}"

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
        try:
            with self._context.clock.timeout(remaining_s):
                outcome = await self._run()
                self._escalation.record_whole()
                return outcome
        except RefusalError as refusal:
            self._proof.apply_to(refusal)
            refusal.sent = self._sent
            raise
        finally:
            self._measurements.end()
            self._admission.end()
            self._escalation.close()
            self._handover.discard()
        # Reached at the timeout, which ends the block above without an exception.
        raise RefusalError(
            RefusalReason.DEADLINE_EXCEEDED,
            self._proof.execution,
            f"no whole answer within {self._deadline_at - self._received_at:.3f} s",
        )

    async def _run(self) -> Outcome:
        try:
            status = await self._serve()
        except UpstreamError as error:
            status = await self._give_up(error)
        except RefusalError as refusal:
            if refusal.reason not in NO_REPLICA_REASONS:
                raise
            status = await self._send_error_answer()
            if status is None:
                raise
        return self._outcome(status)

    async def _serve(self) -> int:
        """Send the request to replicas, or through a gateway that may."""
        if self._forwarded is not None:
            await self._wait_for_place()
        elif self._context.serving_peers.must_serve(self._service):
            return await self._forward()
        else:
            self._count_request()
        return await self._serve_here_or_forward()

    async def _serve_here_or_forward(self) -> int:
        """Send the request to replicas, or have another gateway do so if that fails."""
        try:
            return await self._serve_directly()
        except (UpstreamError, RefusalError) as error:
            if not await self._may_forward_after(error):
                raise
        return await self._forward()

    def _record_send(self) -> None:
        """Record that the request is sent to a replica.

        A request that this gateway serves for another one counts from then on only,
        since others may count it if this one refuses it.
        """
        self._sent = True
        self._count_request()
        self._admission.record_sent()

    def _count_request(self) -> None:
        """Count the request for the retry budget, unless that was done."""
        if not self._counted:
            self._counted = True
            self._context.retries.record_first_attempt(self._service)
            self._admission.record_counted()

    async def _serve_directly(self) -> int:
        status = await self._loop.run(self._attempt)
        # None: the request is to be sent to a larger model.
        while status is None:
            status = await self._loop.run(self._attempt)
        return status

    async def _forward(self) -> int:
        """Have another gateway serve the request, or serve it once none is left."""
        try:
            return await self._forwarding.run(self._counted)
        except RefusalError as refusal:
            if refusal.reason not in ELSEWHERE_REASONS or not self._may_serve_here:
                raise
        self._counted = self._counted or self._forwarding.counted
        if not self.may_have_run:
            return await self._serve_directly()
        return await self._serve_here_or_forward()

    @property
    def _may_serve_here(self) -> bool:
        """Whether this gateway may serve a request that no other one has served.

        It may have become the dispatcher of a replica, or be back from a cut.
        """
        context, service = self._context, self._service
        if self.retry_denial() is not None:
            return False
        if context.replica_room.is_scarce(service):
            return context.placement.has_place(service)
        return self.may_have_run and not context.serving_peers.must_serve(service)

    async def _wait_for_place(self) -> None:
        """Wait for a moment if all places that this gateway may use are taken."""
        context, service = self._context, self._service
        ends_at = context.clock.monotonic() + PLACE_WAIT_S
        while (
            context.replica_room.is_scarce(service)
            and not context.placement.has_place(service)
            and (remaining_s := ends_at - context.clock.monotonic()) > 0
        ):
            versions = context.view.version_counts(service)
            group = f"{service}@{next(iter(versions), '')}"
            await context.room.wait(group, remaining_s)

    async def _may_forward_after(self, error: UpstreamError | RefusalError) -> bool:
        """Return whether another gateway may serve a request that failed here.

        A request for which no replica could be chosen has taken its retry before.
        """
        if self._forwarded is not None or self.retry_denial() is not None:
            return False
        if error.reason not in ELSEWHERE_REASONS and (
            self.may_have_run or error.reason not in UNREACHED_REASONS
        ):
            return False
        await self._context.reach.wait_for_verdict(self._service)
        unreachable = error.reason is RefusalReason.UPSTREAM_UNREACHABLE
        if not self._forwarding.available and not (unreachable and self.may_have_run):
            return False
        if not self._sent or isinstance(error, RefusalError):
            return True
        return self.take_retry(error.execution) is None

    @property
    def execution(self) -> Execution:
        """Whether the request has run, as far as is known now."""
        return self._proof.execution

    @property
    def attempts_left(self) -> int:
        """Number of attempts that may still run."""
        return self._max_attempts - self._possible_runs

    def take_retry(self, execution: Execution) -> RetryDenial | None:
        """Take a retry from the budgets; return what denies it."""
        return self._loop.take_retry(execution)

    def record_forward(self, execution: Execution, attempts: int) -> None:
        """Record the end of the attempts that another gateway was allowed."""
        self._attempts += 1
        if execution is not Execution.NOT_RUN:
            self._possible_runs += attempts
        self._proof.end(execution)

    def choose_replica(self, tried: Sequence[str]) -> ReplicaLease:
        """Choose a version of the service and a replica of that version.

        :param tried: names of replicas at which attempts have failed.
        :raises RefusalError: ``no_upstream`` if no replica is available, or
            ``key_unproved`` if the caller's key may have been withdrawn.
        """
        begun = self._handover.next_attempt
        self._plan = begun.plan if begun else self._planner.plan(self._model, tried)
        return self._plan.lease

    async def wait_for_budget(self) -> bool:
        """Wait if an attempt was given up that might still have answered.

        The request waits as long as it has time: this gateway gave the attempt up, and
        the caller can't be told that the request has not run.
        """
        if self._handed_over_at == -math.inf:
            return False
        self._context.metrics.count(retry_denial_counter(RetryDenial.BUDGET))
        log_event("retry_awaited", request=self._request.request_id)
        await self._context.clock.sleep(HANDOVER_INTERVAL_S)
        return True

    async def next_has_begun(self) -> bool:
        """Return whether a replica has taken up the next attempt."""
        if not await self._handover.settle():
            return False
        self.record_retry(RetryReason.STALLED)
        return True

    def record_failure(self, lease: ReplicaLease, error: UpstreamError) -> None:
        """Record a failed attempt; the time until a timeout counts as a latency."""
        elapsed_s = self._context.clock.monotonic() - self._attempt_started_at
        if error.reason is RefusalReason.UPSTREAM_STALLED:
            first_event_pending = (
                self._route.delivery_mode.streaming and not self._streaming
            )
            self._measurements.record_stall(elapsed_s, first_event_pending)
            self._context.reach.record_silence(self._service, lease.replica.name)
        if error.reason is RefusalReason.UPSTREAM_FULL:
            scarce = self._context.replica_room.is_scarce(self._service)
            self._scarce_rejections += scarce
        self._log_failure(self._plan, error, elapsed_s)
        self._end_attempt(error.execution)
        if self._crashes.retry_denial is not None:
            self._handover.discard()

    def _record_unfollowed(self, begun: BegunAttempt, error: UpstreamError) -> None:
        """Record an attempt that ended before it was followed."""
        self._attempts += 1
        elapsed_s = self._context.clock.monotonic() - begun.started_at
        self._log_failure(begun.plan, error, elapsed_s)
        if begun.call is not None:
            self._possible_runs += error.execution is not Execution.NOT_RUN
            self._proof.end(error.execution)

    def retry_denial(self) -> RetryDenial | None:
        """Return what denies another attempt, None for nothing.

        None is allowed while the request or a part of its prompt may end replicas, once
        replicas that bear few rejections have rejected it, once a stream that can't be
        resumed has started, once the route's attempts are used up, or shortly before
        the deadline.
        """
        if (denial := self._crashes.retry_denial) is not None:
            return denial
        if self._scarce_rejections >= MAX_SCARCE_REJECTIONS:
            return RetryDenial.NO_ROOM
        resumable = self._route.delivery_mode is DeliveryMode.STREAM_RESUMABLE
        if self._relay.started and not resumable:
            return RetryDenial.ANSWER_STARTED
        if self._possible_runs >= self._max_attempts:
            return RetryDenial.ROUTE_ATTEMPTS
        if self._remaining_s < RETRY_MIN_REMAINING_S:
            return RetryDenial.TIME_LEFT
        return None

    @property
    def remaining_s(self) -> float:
        """Time until the request's deadline, seconds."""
        return self._remaining_s

    @property
    def replica_group(self) -> str:
        """Group of the replicas that may serve the request."""
        return self._group

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt has run, or is not proved not to have run."""
        return self._proof.execution is not Execution.NOT_RUN

    def record_retry(self, reason: RetryReason) -> None:
        """Count a retry in the metrics."""
        self._context.metrics.count(retry_counter(reason))

    async def _attempt(self, lease: ReplicaLease) -> int | None:
        """Send the request to a replica, or go on with an attempt that was begun.

        :returns: status of the answer, None to repeat the request on a larger model.
        """
        plan, begun = self._plan, self._handover.take()
        if begun is not None:
            self._handed_over_at = self._context.clock.monotonic()
        self._attempts += 1
        self._model = plan.model
        self._attempt_started_at = (
            begun.started_at if begun else self._context.clock.monotonic()
        )
        self._measurements.begin(
            plan.rollout, (self._service, plan.version), lease, plan.model
        )
        self._crashes.begin(plan, self._attempt_started_at)
        try:
            status = await self._exchange(plan, begun)
        except UpstreamError as error:
            await self._crashes.check(error)
            raise
        if status is None:
            self._end_attempt(Execution.RAN)
        return status

    async def _exchange(
        self, plan: AttemptPlan, begun: BegunAttempt | None
    ) -> int | None:
        started_at = self._attempt_started_at
        timeout_s = answer_timeout_s(
            self._route,
            self._measurements.typical_latency_s,
            self._is_last_attempt,
            self._timeout_limit_s,
        )
        self._waiting_since = self._context.clock.monotonic()
        extend_timeout = None
        if self._route.delivery_mode.repeatable:
            extend_timeout = self._extend_timeout
        with raising_upstream_errors():
            async with self._sender.exchange(
                plan, begun, timeout_s, extend_timeout
            ) as response:
                head = self._heads.read(plan, response, started_at)
                self._crashes.record_head()
                self._context.placement.record_answer(plan.lease.replica.name)
                self._context.reach.record_answer(
                    self._service, fresh_connection=response.connection_calls == 1
                )
                self._heads.check_may_begin(response)
                if self._route.delivery_mode.streaming and response.status == 200:
                    return await self._relay_stream(response, head, started_at)
                return await self._relay_buffered(response, head, started_at)

    async def _start_attempt(self, plan: AttemptPlan) -> Call:
        return await self._sender.start(plan, self._timeout_limit_s)

    async def _extend_timeout(self) -> float:
        """Return by how many seconds to extend a timeout, 0 to let it end the attempt.

        The attempt ends at the request's own time limit, or once a replica has taken
        up the next one. Until then the replica of this one may go on.
        """
        limit_s = self._timeout_limit_s
        if limit_s <= 0:
            return 0.0
        if self._may_leave_hung_replica:
            return 0.0
        if not self._handover.under_way:
            extension_s = self._loaded_extension_s()
            if extension_s > 0:
                return min(limit_s, extension_s)
            lease = self._plan.lease
            if self._context.placement.eject_unreachable(lease):
                self._loop.report_ejection(lease, unreachable=True)
                self._context.reach.record_silence(self._service, lease.replica.name)
        possible_runs = self._possible_runs
        if await self._hand_over(self._model, self._replica_name):
            return 0.0
        # Where another replica has run the request and failed, this one must not work
        # on for long.
        failed_run = self._possible_runs > possible_runs
        pause_s = RETRY_AT_ONCE_S if failed_run else HANDOVER_INTERVAL_S
        return min(limit_s, pause_s)

    @property
    def _may_leave_hung_replica(self) -> bool:
        """Whether the attempt is cut off, and another gateway may repeat it."""
        if self._forwarded is not None or self.retry_denial() is not None:
            return False
        if not self._forwarding.available:
            return False
        cut_off = self._context.reach.state(self._service) is Reach.CUT_OFF
        return cut_off and not self._is_last_attempt

    def _loaded_extension_s(self) -> float:
        """Return the extension for a replica that has just answered some request."""
        if self._route.delivery_mode is not DeliveryMode.STREAM_RESUMABLE:
            return 0.0
        if not self._context.placement.answered_within(
            self._replica_name, REPLICA_SILENCE_S
        ):
            return 0.0
        waited_s = self._context.clock.monotonic() - self._waiting_since
        return timeout_extension_s(self._route, self._streaming, waited_s)

    async def _hand_over(self, model: str, excluded: str = "") -> bool:
        """Begin the next attempt; return whether a replica has taken it up.

        :param model: model of the next attempt.
        :param excluded: name of a replica that must not get it, empty for none.
        """
        if not self._handover.under_way and (
            self._is_last_attempt
            or self.retry_denial() is not None
            or not self._crashes.may_retry
        ):
            return False
        silent_s = self._context.clock.monotonic() - self._waiting_since
        return await self._handover.begin(
            partial(self._planner.plan, model, self._loop.tried, excluded, silent_s)
        )

    async def _relay_buffered(
        self, response: Response, head: AnswerHead, started_at: float
    ) -> int:
        check_answer_head(response, head)
        if response.status < 500:
            self._handover.abandon()
        total_s = None
        if self._handover.under_way:
            # What is under way may end the reading at any time.
            total_s = 0.0
        elif self._route.delivery_mode.repeatable and not self._is_last_attempt:
            total_s = response.timeout_s
        body = await response.read(BUFFERED_ANSWER_LIMIT_BYTES, total_s)
        self._crashes.record_whole()
        self._measurements.record_outcome(
            response.status >= 500 and response.status != GATEWAY_TIMEOUT_STATUS
        )
        answer = self._relay.read_answer(response, body)
        if response.status >= 500:
            self._error_answer = answer
            raise failed_answer_error(response.status)
        self._measurements.record_answer_time(
            self._context.clock.monotonic() - started_at
        )
        await self._relay.send_buffered(answer)
        return response.status

    async def _relay_stream(
        self, response: Response, head: AnswerHead, started_at: float
    ) -> int | None:
        check_answer_head(response, head)
        self._handover.abandon()
        self._measurements.record_first_event(
            self._context.clock.monotonic() - started_at
        )
        # A stream that has started counts as a success of the version.
        self._measurements.record_outcome(False)
        if await self._escalate(head):
            response.raise_if_broken()
            return None
        response.timeout_s = next_event_timeout_s(
            self._route, self._is_last_attempt, self._timeout_limit_s
        )
        self._streaming = True
        self._waiting_since = self._context.clock.monotonic()
        await self._relay.relay_stream(response, self)
        self._measurements.record_stream_end(self._relay.resume_after)
        self._crashes.record_whole()
        return response.status

    def record_events(self) -> None:
        """Record that the replica has sent events of a stream."""
        self._handover.abandon()
        self._waiting_since = self._context.clock.monotonic()
        self._crashes.record_events()
        self._context.placement.record_answer(self._replica_name)

    def record_pace(self, pace: EventPace) -> None:
        """Record the pauses between the events of a stream so far."""
        self._measurements.record_pace(pace)

    async def _escalate(self, head: AnswerHead) -> bool:
        """Hand the request to a larger model if the answer's confidence is too low.

        :returns: whether a replica has taken it up.
        """
        if self._relay.started or not self._route.models:
            return False
        if not self._route.delivery_mode.repeatable or self._is_last_attempt:
            return False
        if self._crashes.undecided:
            # The larger model's replica would end beside the one that answers now.
            return False
        larger = self._escalation.choose_model(head, self._model, self._group)
        if larger is None:
            return False
        taken_up = False
        with self._context.clock.timeout(ESCALATION_WAIT_S):
            taken_up = await self._hand_over(larger.name)
        if not taken_up:
            self._handover.abandon()
            return False
        self._escalation.record(head, self._model, larger, self._group)
        return True

    def _end_attempt(self, execution: Execution) -> None:
        self._streaming = False
        self._measurements.end()
        self._possible_runs += execution is not Execution.NOT_RUN
        self._proof.end(execution)

    async def _give_up(self, error: UpstreamError) -> int:
        status = await self._send_error_answer()
        if status is not None:
            return status
        execution = self._proof.execution
        retry_after_s = None
        if execution is Execution.NOT_RUN:
            retry_after_s = overload_retry_after_s(self._context.placement, self._group)
        raise RefusalError(
            error.reason, execution, error.detail, retry_after_s
        ) from error

    async def _send_error_answer(self) -> int | None:
        """Send a replica's answer with an error; return its status, None for none."""
        if self._error_answer is None or self._relay.started:
            return None
        await self._relay.send_buffered(self._error_answer)
        return self._error_answer.status

    @property
    def _is_last_attempt(self) -> bool:
        """Whether no further attempt is allowed if the current one may have run."""
        return self._possible_runs + 1 >= self._max_attempts

    def _log_failure(
        self, plan: AttemptPlan, error: UpstreamError, elapsed_s: float
    ) -> None:
        self._context.metrics.count(f"attempt.{error.reason.value}")
        log_event(
            "attempt_failed",
            request=self._request.request_id,
            attempt=self._attempts,
            replica=plan.lease.replica.name,
            version=plan.version,
            reason=error.reason.value,
            execution=error.execution.value,
            detail=error.detail,
            elapsed_ms=f"{elapsed_s * 1000:.1f}",
            **self._heads.log_fields(plan.lease),
        )

    def _outcome(self, status: int) -> Outcome:
        now = self._context.clock.monotonic()
        answered_at = self._relay.answered_at or now
        return Outcome(
            status,
            self._attempts,
            self._plan.lease if self._plan else None,
            self._plan.version if self._plan else "",
            self._model,
            answered_at - self._received_at,
            now - self._received_at,
        )
