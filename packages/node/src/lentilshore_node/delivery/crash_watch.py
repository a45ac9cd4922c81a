"""Watches whether replicas end under a request, and refuses one that ends them."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from lentilshore_kernel.exceptions import RefusalError, UpstreamError
from lentilshore_kernel.logs import log_event
from lentilshore_kernel.types import RefusalReason, RetryDenial
from lentilshore_routing.crash_causes import Cause, part_causes, whole_request_cause
from lentilshore_routing.routes import KeyOwner

from ..clients.forwarding import ForwardRequest
from ..clients.http_connection import CallCutError
from ..state.gateway_context import GatewayContext
from .attempts import ExecutionProof
from .end_check import CutAttempt, EndCheck
from .handover import AttemptPlan

# An answer that has brought so many groups of events is past its beginning. A replica
# may write some before a part of the prompt ends it. Few answers could clear a whole
# request, so that its answer counts sooner.
BEGINNING_EVENT_GROUPS = 8
WHOLE_REQUEST_EVENT_GROUPS = 2
# Characters of a prompt's parts that are logged; a caller may send any.
LOGGED_PARTS_LIMIT = 120
# Retry delay stated in refusals of requests with a blamed cause.
BLAMED_RETRY_AFTER_S = 30.0


class CrashWatch:
    """Tells whether one request has ended a replica.

    A replica has ended if it cuts the connection before the answer is past its
    beginning, and :class:`EndCheck` finds that its process serves nothing from then on.
    The parts of the prompt are suspected if the answer had begun. The head may be lost
    with the connection, so that otherwise they are suspected too, if they were never
    answered and few replicas end: one that ends takes along all that wait their turn.

    :param context: context of the gateway.
    :param request: the request.
    :param customer: customer that sent it, None on a public route.
    :param proof: knows whether the request has run.
    """

    def __init__(
        self,
        context: GatewayContext,
        request: ForwardRequest,
        customer: KeyOwner | None,
        proof: ExecutionProof,
    ) -> None:
        self._context = context
        self._request = request
        self._customer = customer
        self._proof = proof
        self._part_causes = part_causes(request.parts)
        self._whole: Cause | None = None
        self._plan: AttemptPlan | None = None
        self._sent_at = 0.0
        self._answer_begun = False
        self._event_groups = 0
        # Number of attempts whose answers have begun.
        self._begun_answers = 0
        # Causes under which the request has ended a replica.
        self._crashed: set[Cause] = set()
        # Checks of earlier attempts that go on beside the request.
        self._open_checks: set[asyncio.Task[None]] = set()

    @property
    def _whole_cause(self) -> Cause:
        if self._whole is None:
            request = self._request
            self._whole = whole_request_cause(
                request.method,
                request.host,
                request.target,
                self._customer.name if self._customer is not None else "",
                request.body or b"",
            )
        return self._whole

    @property
    def _causes(self) -> Sequence[Cause]:
        return [*self._part_causes, *self._whole_causes]

    @property
    def _whole_causes(self) -> Sequence[Cause]:
        """The whole request if it may be suspected; its digest takes some time."""
        return [self._whole_cause] if self._context.blame.active else []

    @property
    def retry_denial(self) -> RetryDenial | None:
        """What denies another attempt of a request that has ended a replica."""
        for cause in sorted(self._crashed, key=lambda cause: cause.position):
            if not self._context.blame.may_retry([cause]):
                if cause.is_whole_request:
                    return RetryDenial.REQUEST_SUSPECTED
                return RetryDenial.PROMPT_PART_SUSPECTED
        return None

    @property
    def may_retry(self) -> bool:
        """Whether the request may be sent to a further replica."""
        return self._context.blame.may_retry(self._causes)

    @property
    def undecided(self) -> bool:
        """Whether it is open if the request has ended a replica."""
        return any(not task.done() for task in self._open_checks)

    def check_blame(self) -> None:
        """Refuse a request with a cause that ends the replicas that run it.

        :raises RefusalError: ``prompt_part_blamed`` or ``request_blamed``.
        """
        cause = self._context.blame.blamed_cause(self._causes)
        if cause is None:
            return
        reason = RefusalReason.PROMPT_PART_BLAMED
        detail = f"replicas ended as they answered prompts with the part {cause.digest}"
        if cause.is_whole_request:
            reason = RefusalReason.REQUEST_BLAMED
            detail = f"replicas ended as they ran requests like this one {cause.digest}"
        raise RefusalError(reason, self._proof.execution, detail, BLAMED_RETRY_AFTER_S)

    def begin(self, plan: AttemptPlan, sent_at: float) -> None:
        """Watch an attempt.

        :param sent_at: time at which it began, on the node's clock, seconds.
        """
        self._plan = plan
        self._sent_at = sent_at
        self._answer_begun = False
        self._event_groups = 0

    def record_head(self) -> None:
        """Record that the answer has begun."""
        self._answer_begun = True
        self._begun_answers += 1

    def record_events(self) -> None:
        """Record that events have come together."""
        self._event_groups += 1
        if self._event_groups == WHOLE_REQUEST_EVENT_GROUPS:
            self._record_answer(self._whole_causes)
        if self._event_groups == BEGINNING_EVENT_GROUPS:
            self._record_answer(self._part_causes)

    def record_whole(self) -> None:
        """Record that the answer is whole."""
        if self._event_groups < WHOLE_REQUEST_EVENT_GROUPS:
            self._record_answer(self._causes)
        elif self._event_groups < BEGINNING_EVENT_GROUPS:
            self._record_answer(self._part_causes)

    async def check(self, error: UpstreamError) -> None:
        """Find out whether the replica of a failed attempt has ended.

        Where that stays open, the request goes on meanwhile. It waits a moment if its
        next attempt depends on the result, and as long as it takes if an earlier
        attempt was cut as well, or its answer dropped: both replicas may have ended.

        :param error: how the attempt failed.
        """
        if not _is_cut(error):
            return
        attempt = self._cut_attempt()
        first_cut_at = self._context.cut_times.record(attempt.replica)
        if first_cut_at <= attempt.sent_at:
            # The process had ended before, if it has.
            return
        past_beginning = self._event_groups >= BEGINNING_EVENT_GROUPS
        if past_beginning or not self._may_have_ended(attempt):
            return
        if self._context.replica_room.rejected_lately(attempt.replica):
            # It may have ended since it had to reject others.
            return
        check = EndCheck(self._context, attempt)
        ended = await check.refuses()
        if ended is None and self._crash_denies_retry(attempt):
            ended = await check.refuses()
        if ended is not None:
            if ended:
                self._record_crash(attempt)
            return
        earlier = [task for task in self._open_checks if not task.done()]
        task = asyncio.ensure_future(self._conclude(check, attempt))
        self._open_checks = {*earlier, task}
        if earlier or self._begun_answers > 1:
            await asyncio.wait(self._open_checks)

    async def _conclude(self, check: EndCheck, attempt: CutAttempt) -> None:
        if await check.conclude() and self._may_have_ended(attempt):
            self._record_crash(attempt)

    def _cut_attempt(self) -> CutAttempt:
        replica = self._plan.lease.replica
        return CutAttempt(
            replica.groups[0].partition("@")[0],
            replica.name,
            replica.address,
            self._sent_at,
            self._context.clock.monotonic(),
            self._answer_begun,
            self._event_groups,
        )

    def _suspected_without_head(self) -> Sequence[Cause]:
        """Return the parts that may have ended a replica before a head."""
        blame = self._context.blame
        if not blame.mostly_answered:
            return []
        return [cause for cause in self._part_causes if not blame.was_answered(cause)]

    def _may_have_ended(self, attempt: CutAttempt) -> bool:
        """Return whether the replica is still expected to run."""
        return self._context.view.usable(attempt.replica)

    def _crash_denies_retry(self, attempt: CutAttempt) -> bool:
        """Return whether the request may not be sent again if its replica has ended."""
        if attempt.answer_begun and self._part_causes:
            return True
        return self._context.blame.knows(self._whole_cause)

    def _record_crash(self, attempt: CutAttempt) -> None:
        moment = "answer_beginning" if attempt.answer_begun else "before_head"
        parts_suspected = self._part_causes
        if not attempt.answer_begun:
            parts_suspected = self._suspected_without_head()
        causes = list(parts_suspected)
        if attempt.event_groups < WHOLE_REQUEST_EVENT_GROUPS:
            causes.append(self._whole_cause)
        self._crashed.update(causes)
        self._context.metrics.count(f"crash.{moment}")
        parts = ",".join(part.name for part in self._request.parts)
        log_event(
            "replica_ended",
            request=self._request.request_id,
            replica=attempt.replica,
            moment=moment,
            digest=self._whole_cause.digest,
            parts=parts[:LOGGED_PARTS_LIMIT],
            events=attempt.event_groups,
        )
        self._context.record_crash(
            causes, attempt.replica, attempt.sent_at, attempt.cut_at
        )

    def _record_answer(self, causes: Sequence[Cause]) -> None:
        self._context.record_answer(causes, self._request.request_id)


def _is_cut(error: UpstreamError) -> bool:
    truncated = error.reason is RefusalReason.UPSTREAM_TRUNCATED
    return truncated or isinstance(error.__cause__, CallCutError)
