"""Hands a request over to its next attempt before the current one is given up."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from lentilshore_kernel.exceptions import RefusalError, UpstreamError
from lentilshore_kernel.logs import log_event
from lentilshore_kernel.types import Execution, RefusalReason
from lentilshore_routing.placement import ReplicaLease
from lentilshore_routing.rollout_record import Rollout

from ..clients.engine import raising_upstream_errors
from ..clients.http_client import Call
from ..clients.http_connection import CallTimedOutError, Response
from ..state.gateway_context import GatewayContext
from .attempts import AttemptLoop, reached_no_replica

# A replica that has not rejected a request within this time has taken it up. Both
# replicas may work on the request meanwhile.
TAKE_UP_S = 0.2


class AttemptPlan(NamedTuple):
    """Where an attempt is sent.

    :param rollout: roll-out of the service, None for none.
    :param version: version of the service.
    :param model: model, empty for the one that the request names.
    :param lease: the replica.
    """

    rollout: Rollout | None
    version: str
    model: str
    lease: ReplicaLease


class BegunAttempt(NamedTuple):
    """An attempt that was begun beside another one.

    :param plan: where it was sent.
    :param call: the call, which must be ended; None if nothing was sent.
    :param started_at: time at which it began, on the node's clock, seconds.
    """

    plan: AttemptPlan
    call: Call | None
    started_at: float


class Handover:
    """Begins the next attempt of a request while the current one goes on.

    The current attempt is given up only once a replica has taken up the next one. Until
    then its answer is still awaited, and taken if it comes.

    :param context: context of the gateway.
    :param request_id: identifier of the request, for the log.
    :param loop: the request's attempts, for their retry limits.
    :param send: opens a connection and sends an attempt.
    :param check_head: raises UpstreamError if an answer with this head can't be
        relayed; called with the plan, the answer and the start of the attempt.
    :param record_failure: records an attempt that was not taken up, with its failure.
        Its call is None if nothing was sent.
    """

    def __init__(
        self,
        context: GatewayContext,
        request_id: str,
        loop: AttemptLoop,
        send: Callable[[AttemptPlan], Awaitable[Call]],
        check_head: Callable[[AttemptPlan, Response, float], object],
        record_failure: Callable[[BegunAttempt, UpstreamError], None],
    ) -> None:
        self._context = context
        self._request_id = request_id
        self._loop = loop
        self._send = send
        self._check_head = check_head
        self._record_failure = record_failure
        # The attempt that was begun and is not followed yet.
        self._begun: BegunAttempt | None = None
        self._taken_up = False
        # Ends once it is known whether a replica takes the attempt up.
        self._beginning: asyncio.Task[bool] | None = None

    @property
    def under_way(self) -> bool:
        """Whether an attempt was begun that is not followed yet."""
        return self._beginning is not None or self._taken_up

    @property
    def next_attempt(self) -> BegunAttempt | None:
        """The attempt that has been taken up and not begun to be followed."""
        return self._begun if self._taken_up else None

    def take(self) -> BegunAttempt | None:
        """Return the next attempt, which the caller follows from now on."""
        begun = self.next_attempt
        if begun is not None:
            self._begun, self._taken_up = None, False
        return begun

    def abandon(self) -> None:
        """End the next attempt, since the current one has answered."""
        begun = self._begun
        if begun is not None and begun.call is not None:
            self._record_failure(begun, _superseded_error())
        elif begun is not None:
            self._loop.give_back_retry()
            self._loop.refund_retry()
        self.discard()

    def discard(self) -> None:
        """End the next attempt if nobody follows it."""
        beginning, self._beginning = self._beginning, None
        if beginning is not None:
            beginning.cancel()
        if self._begun is not None:
            self._end(self._begun.plan, None)

    async def begin(self, make_plan: Callable[[], AttemptPlan]) -> bool:
        """Begin the next attempt; return whether a replica has taken it up.

        Cancelling this leaves the attempt under way; a later call waits for its end.

        :param make_plan: chooses a replica; raises RefusalError if there is none.
        """
        if not self.under_way:
            plan = self._plan(make_plan)
            if plan is None:
                return False
            self._begun = BegunAttempt(plan, None, self._context.clock.monotonic())
            self._beginning = asyncio.ensure_future(self._begin(self._begun))
        return await self.settle()

    async def settle(self) -> bool:
        """Wait for the end of what is under way; return whether it was taken up."""
        if self._beginning is not None:
            await asyncio.shield(self._beginning)
            self._beginning = None
        return self._taken_up

    def _plan(self, make_plan: Callable[[], AttemptPlan]) -> AttemptPlan | None:
        # A plan uses up part of a replica's limit, so that it is made last.
        denial = self._loop.retry_denial(Execution.NOT_RUN)
        if denial is not None:
            self._report_kept(denial.value)
            return None
        try:
            plan = make_plan()
        except RefusalError as refusal:
            self._report_kept(refusal.reason.value)
            return None
        self._loop.take_retry(Execution.NOT_RUN)
        return plan

    async def _begin(self, begun: BegunAttempt) -> bool:
        failure: UpstreamError | None = None
        taken_up = False
        try:
            with raising_upstream_errors():
                begun = begun._replace(call=await self._send(begun.plan))
                self._begun = begun
                answered = await self._wait_for_rejection(begun)
            taken_up = self._taken_up = True
            self._report_taken_up(begun.plan.lease.replica.name, answered)
        except UpstreamError as error:
            failure = error
            self._loop.record_outcome(error)
            if error.execution is Execution.NOT_RUN:
                self._loop.give_back_retry()
            if reached_no_replica(error):
                self._loop.refund_retry()
            self._record_failure(begun, error)
            self._report_kept(error.reason.value)
        except RefusalError as refusal:
            self._loop.give_back_retry()
            self._loop.refund_retry()
            self._report_kept(refusal.reason.value)
        finally:
            if not taken_up:
                self._end(begun.plan, failure)
        return taken_up

    def _end(self, plan: AttemptPlan, failure: UpstreamError | None) -> None:
        """End an attempt and release its lease, unless that was done."""
        begun = self._begun
        if begun is None or begun.plan is not plan:
            return
        self._begun, self._taken_up = None, False
        if begun.call is not None:
            begun.call.end()
        self._loop.release(plan.lease, failure)

    async def _wait_for_rejection(self, begun: BegunAttempt) -> bool:
        """Return whether the replica answers within the time, other than to reject."""
        try:
            response = await begun.call.wait_for_head(TAKE_UP_S)
        except CallTimedOutError:
            return False
        self._check_head(begun.plan, response, begun.started_at)
        return True

    def _report_taken_up(self, replica: str, answered: bool) -> None:
        """Log and count by what a replica has taken the attempt up."""
        cause = "answer" if answered else "no_rejection"
        self._context.metrics.count(f"attempt_taken_up.{cause}")
        answer_age_s = self._context.placement.answer_age_s(replica)
        log_event(
            "attempt_taken_up",
            request=self._request_id,
            replica=replica,
            cause=cause,
            answer_age_ms=f"{answer_age_s * 1000:.0f}",
        )

    def _report_kept(self, cause: str) -> None:
        """Log and count why the current attempt is still followed."""
        self._context.metrics.count(f"attempt_kept.{cause}")
        log_event("attempt_kept", request=self._request_id, cause=cause)


def _superseded_error() -> UpstreamError:
    return UpstreamError(
        RefusalReason.UPSTREAM_STALLED,
        Execution.UNKNOWN,
        "given up, since the attempt before it goes on",
    )
