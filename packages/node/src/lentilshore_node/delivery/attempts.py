"""Retry loop: sends one request to one replica after another."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from lentilshore_kernel.exceptions import RefusalError, UpstreamError
from lentilshore_kernel.logs import log_event
from lentilshore_kernel.metrics import (
    record_state_change,
    retry_denial_counter,
)
from lentilshore_kernel.types import (
    Execution,
    RefusalReason,
    RetryDenial,
    StateChange,
)
from lentilshore_routing.placement import ReplicaLease

from .attempted_request import AttemptContext, AttemptedRequest, RetryScope
from .no_replica import NO_REPLICA_REASONS
from .retry_pacing import RetryPacing
from .retry_reasons import retry_reason

T = TypeVar("T")

# Failed attempts that are no fault of the replica: they do not count towards its
# ejection.
SOUND_REPLICA_REASONS = frozenset(
    (RefusalReason.UPSTREAM_FULL, RefusalReason.UPSTREAM_PAUSED)
)
# Longest time for which a request that may have run waits for a replica to choose, or
# for a retry that the budget denies after a rejection.
WAIT_LIMIT_S = 3.0
# Reasons for which an attempt that did not run was never sent; replicas give others.
UNSENT_REASONS = frozenset(
    (
        RefusalReason.UPSTREAM_FAILED,
        RefusalReason.UPSTREAM_PAUSED,
        RefusalReason.NO_UPSTREAM,
    )
)
_EXECUTION_RANK = {Execution.NOT_RUN: 0, Execution.UNKNOWN: 1, Execution.RAN: 2}


class ExecutionProof:
    """Tracks whether a request has run in any of its attempts, as far as is known."""

    def __init__(self) -> None:
        # Whether the request ran in any of the attempts that have ended.
        self._ended_execution = Execution.NOT_RUN
        self._in_flight = 0

    @property
    def execution(self) -> Execution:
        """What is known now; an attempt in flight may have run."""
        if self._ended_execution is Execution.NOT_RUN and self._in_flight:
            return Execution.UNKNOWN
        return self._ended_execution

    def begin(self) -> None:
        """Record that an attempt is sent; from now on the request may run."""
        self._in_flight += 1

    def end(self, execution: Execution) -> None:
        """Record whether the attempt that has ended ran, as far as is known."""
        self._in_flight = max(0, self._in_flight - 1)
        if _EXECUTION_RANK[execution] > _EXECUTION_RANK[self._ended_execution]:
            self._ended_execution = execution

    def apply_to(self, refusal: RefusalError) -> None:
        """Correct a refusal that denies more than is proved.

        What refuses a request does not always know of its attempts.
        """
        if _EXECUTION_RANK[self.execution] > _EXECUTION_RANK[refusal.execution]:
            refusal.execution = self.execution


class AttemptLoop:
    """Sends a request to one replica after another until one has answered.

    :param context: components of the node.
    :param request: the request.
    :param scope: identifiers under which the request's retries are limited.
    """

    def __init__(
        self, context: AttemptContext, request: AttemptedRequest, scope: RetryScope
    ) -> None:
        self._context = context
        self._request = request
        self._scope = scope
        self._tried: list[str] = []
        self._failed_count = 0
        self._replica_names: set[str] = set()
        # Number of attempts that a replica rejected or that reached none.
        self._not_run_count = 0
        # Number of those that count towards the limit of the request's tree.
        self._counted_rejections = 0
        # Number of this request's retries that count towards that limit.
        self._counted_retries = 0
        # Whether an attempt may have arrived at a replica.
        self._arrived = False
        # Whether a replica has rejected the last attempt.
        self._rejected = False
        # Whether the last retry was taken from the budget.
        self._last_retry_paid = False
        self._pacing = RetryPacing(
            scope.request_id,
            context.room,
            context.random,
            context.metrics,
            scope.customer,
            scope.priority,
        )

    async def run(self, send: Callable[[ReplicaLease], Awaitable[T]]) -> T:
        """Return the first answer.

        :param send: sends the request to a replica; called again after it raised
            UpstreamError, if another attempt is allowed.
        :raises UpstreamError: the last failure, once no other attempt is allowed.
        :raises RefusalError: if no replica can take the request.
        """
        while True:
            lease = await self._choose_replica()
            try:
                return await self._send(lease, send)
            except UpstreamError as error:
                self._record_failure(lease, error)
                if await self._request.next_has_begun():
                    continue
                denial = await self._take_retry(error)
                if denial is not None:
                    self._report_denial(denial, error)
                    raise
                self._request.record_retry(retry_reason(error))

    @property
    def tried(self) -> Sequence[str]:
        """Names of the replicas at which attempts have failed.

        After a pause, one of them may be tried again and is left out.
        """
        return self._tried

    def take_retry(
        self, execution: Execution, arrived: bool = True
    ) -> RetryDenial | None:
        """Take one retry from the budgets.

        :param execution: whether the previous attempt is known to have run.
        :param arrived: whether an attempt may have arrived at a replica.
        :returns: what denies the retry, None if it was taken.
        """
        self._return_rejections()
        scope = self._scope
        denial = self._context.retries.take(
            scope.tree_id,
            scope.group,
            scope.repeatable,
            execution,
            arrived,
            self._rejected,
        )
        if denial is None:
            self._counted_retries += 1
            self._last_retry_paid = arrived
        return denial

    async def _choose_replica(self) -> ReplicaLease:
        """Choose a replica, and wait for one if the request may have run.

        The retry is given back meanwhile, so that it counts when it is sent.
        """
        since_s = self._request.remaining_s
        while True:
            try:
                return self._request.choose_replica(self._tried)
            except RefusalError as refusal:
                if refusal.reason not in NO_REPLICA_REASONS:
                    raise
                if not self._may_wait(since_s):
                    raise
                self.give_back_retry()
                self.refund_retry()
                await self._wait_for_room()
                if await self._retake_retry(since_s) is not None:
                    raise

    async def _retake_retry(self, since_s: float) -> RetryDenial | None:
        """Take a retry that was given back during a wait.

        :param since_s: time that was left when the wait began, seconds.
        :returns: what denies it for good, None if it was taken.
        """
        while True:
            # Unknown: the request may have run.
            denial = self.take_retry(Execution.UNKNOWN, self._arrived)
            if denial is not RetryDenial.BUDGET or not self._may_wait(since_s):
                return denial
            await self._wait_for_room()

    def _may_wait(self, since_s: float) -> bool:
        """Return whether the request may wait on for what its next try lacks.

        :param since_s: time that was left when it began to wait, seconds.
        """
        if not self._request.may_have_run or self._request.retry_denial() is not None:
            return False
        return since_s - self._request.remaining_s < WAIT_LIMIT_S

    async def _take_retry(self, error: UpstreamError) -> RetryDenial | None:
        if self._rejected_by_all(error) and self._request.retry_denial() is None:
            await self._pause()
        since_s = self._request.remaining_s
        while True:
            denial = self._request.retry_denial() or self.take_retry(
                error.execution, self._arrived
            )
            if denial is not RetryDenial.BUDGET:
                return denial
            if await self._request.wait_for_budget():
                continue
            if not self._may_wait(since_s):
                return denial
            await self._wait_for_room()

    def retry_denial(self, execution: Execution) -> RetryDenial | None:
        """Return what denies a retry, without taking one, see :meth:`take_retry`."""
        self._return_rejections()
        scope = self._scope
        return self._context.retries.denial(
            scope.tree_id,
            scope.group,
            scope.repeatable,
            execution,
            after_rejection=self._rejected,
        )

    def give_back_retry(self) -> None:
        """Return a retry that a replica has rejected to the request's tree."""
        if self._counted_retries:
            self._counted_retries -= 1
            self._context.retries.give_back(self._scope.tree_id)

    def refund_retry(self) -> None:
        """Return the last retry to the budget, since it reached no replica."""
        if self._last_retry_paid:
            self._last_retry_paid = False
            self._context.retries.refund(self._scope.group)
            self._context.metrics.count("retry_refunded.not_sent")

    def record_outcome(self, error: UpstreamError) -> None:
        """Record how the last attempt ended."""
        not_run = error.execution is Execution.NOT_RUN
        self._rejected = not_run and not reached_no_replica(error)

    def release(self, lease: ReplicaLease, failure: UpstreamError | None) -> None:
        """Release the lease of an attempt.

        :param failure: how the attempt failed; None if it did not, or if that says
            nothing about the replica.
        """
        counts_as_failure = (
            failure is not None and failure.reason not in SOUND_REPLICA_REASONS
        )
        unreachable = failure is not None and _is_unreachable(failure)
        if self._context.placement.release(lease, counts_as_failure, unreachable):
            self.report_ejection(lease, unreachable)

    def report_ejection(self, lease: ReplicaLease, unreachable: bool) -> None:
        """Count and log that a replica is ejected from now on."""
        record_state_change(
            self._context.metrics,
            StateChange.REPLICA_EJECTED,
            replica=lease.replica.name,
            unreachable=unreachable,
            request=self._scope.request_id,
        )

    def _record_failure(self, lease: ReplicaLease, error: UpstreamError) -> None:
        name = lease.replica.name
        self._failed_count += 1
        self._replica_names.add(name)
        self._tried.append(name)
        if error.execution is Execution.NOT_RUN:
            self._not_run_count += 1
            self._counted_rejections += 1
        else:
            self._pacing.restart()
        self.record_outcome(error)
        if reached_no_replica(error):
            self.refund_retry()
        else:
            self._arrived = True
        self._request.record_failure(lease, error)

    def _return_rejections(self) -> None:
        """Return retries to the tree, whose limit is one of possible runs.

        A request that has certainly not run keeps them: the limit bounds its tries.
        """
        if not self._request.may_have_run:
            return
        while self._counted_rejections and self._counted_retries:
            self._counted_rejections -= 1
            self.give_back_retry()

    def _rejected_by_all(self, error: UpstreamError) -> bool:
        """Return whether only replicas are left that have rejected the request.

        A request that has certainly not run is not held until one of them has room.
        """
        if error.execution is not Execution.NOT_RUN or not self._request.may_have_run:
            return False
        group = self._request.replica_group
        return self._context.placement.sendable_count(group, self._tried) == 0

    async def _wait_for_room(self) -> str:
        """Pause; return the name of a replica that has shown room, or ""."""
        request = self._request
        return await self._pacing.pause(request.replica_group, request.remaining_s)

    async def _pause(self) -> None:
        """Pause, and let one replica at which the request has failed be tried again."""
        name = await self._wait_for_room()
        if name not in self._tried:
            name = self._longest_untried()
        self._tried = [tried for tried in self._tried if tried != name]

    def _longest_untried(self) -> str:
        """Return the replica that was tried longest ago, ejected ones last."""
        # The last try of a replica counts: the later one of equal names stays.
        latest = list(dict.fromkeys(reversed(self._tried)))[::-1]
        placement, group = self._context.placement, self._request.replica_group
        for name in latest:
            if placement.has_usable(group, [n for n in latest if n != name]):
                return name
        return latest[0] if latest else ""

    def _report_denial(self, denial: RetryDenial, error: UpstreamError) -> None:
        self._context.metrics.count(retry_denial_counter(denial))
        group = self._request.replica_group
        log_event(
            "retry_denied",
            request=self._scope.request_id,
            cause=denial.value,
            attempts=self._failed_count,
            not_run=self._not_run_count,
            replicas=len(self._replica_names),
            untried=self._context.placement.sendable_count(group, self._tried),
            remaining_ms=f"{self._request.remaining_s * 1000:.0f}",
            failure=error.reason.value,
        )

    async def _send(
        self, lease: ReplicaLease, send: Callable[[ReplicaLease], Awaitable[T]]
    ) -> T:
        failure: UpstreamError | None = None
        try:
            answer = await send(lease)
            self._context.room.announce(lease.replica)
            return answer
        except UpstreamError as error:
            failure = error
            raise
        finally:
            self.release(lease, failure)


def reached_no_replica(error: UpstreamError) -> bool:
    """Return whether an attempt ended before anything was sent to a replica."""
    return error.execution is Execution.NOT_RUN and error.reason in UNSENT_REASONS


def _is_unreachable(error: UpstreamError) -> bool:
    """Return whether a failure shows that the chosen replica can't be reached.

    That is so if it did not answer in time, if another replica answers at its address,
    or if the connection was never made: a failed attempt that did not run.
    """
    if error.reason in (
        RefusalReason.UPSTREAM_STALLED,
        RefusalReason.UPSTREAM_REPLACED,
    ):
        return True
    failed = error.reason is RefusalReason.UPSTREAM_FAILED
    return failed and error.execution is Execution.NOT_RUN
