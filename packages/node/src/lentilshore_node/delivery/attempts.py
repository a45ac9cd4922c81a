"""Retry loop: sends one request to one replica after another."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, Protocol, TypeVar

from lentilshore_kernel.exceptions import RefusalError, UpstreamError
from lentilshore_kernel.logs import log_event
from lentilshore_kernel.metrics import (
    Metrics,
    record_state_change,
    retry_denial_counter,
)
from lentilshore_kernel.types import (
    Execution,
    RefusalReason,
    RetryDenial,
    RetryReason,
    StateChange,
)
from lentilshore_routing.placement import Placement, ReplicaLease
from lentilshore_routing.retries import RetryPolicy

from .retry_reasons import retry_reason

T = TypeVar("T")

# Failed attempts that are no fault of the replica: they do not count towards its
# ejection.
SOUND_REPLICA_REASONS = frozenset(
    (RefusalReason.UPSTREAM_FULL, RefusalReason.UPSTREAM_PAUSED)
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


class AttemptContext(Protocol):
    """Components of a node that its requests share."""

    placement: Placement
    retries: RetryPolicy

    @property
    def metrics(self) -> Metrics:
        """Receiver of counters."""


class RetryScope(NamedTuple):
    """Identifiers and group under which a request's retries are limited.

    :param request_id: identifier of the request, for the log.
    :param tree_id: identifier of the request tree: the requests that one original
        request caused, whose retries share one limit.
    :param group: name of the service or version whose replicas share a retry budget.
    :param repeatable: whether the request may be sent again after it may have run.
    """

    request_id: str
    tree_id: str
    group: str
    repeatable: bool


class AttemptedRequest(Protocol):
    """Request that an :class:`AttemptLoop` sends, with its choice of replicas."""

    def choose_replica(self, tried: Sequence[str]) -> ReplicaLease:
        """Choose a replica.

        :param tried: names of replicas at which attempts have failed.
        :raises RefusalError: if no replica can take it.
        """

    def record_failure(self, lease: ReplicaLease, error: UpstreamError) -> None:
        """Record a failed attempt."""

    def retry_denial(self) -> RetryDenial | None:
        """Return what in the request itself denies another attempt, None for nothing.

        That depends on the number of its attempts, the time left and the part of the
        answer that was already sent. Retry budgets are checked separately.
        """

    @property
    def remaining_s(self) -> float:
        """Time until the request's deadline, seconds."""

    @property
    def replica_group(self) -> str:
        """Group of the replicas that may serve the request."""

    def record_retry(self, reason: RetryReason) -> None:
        """Record that the request is sent again."""

    async def wait_for_budget(self) -> bool:
        """Wait for a while if a retry that the budget denies is to be asked for again.

        :returns: whether it is.
        """

    async def next_has_begun(self) -> bool:
        """Return whether the next attempt was begun before the last one ended.

        Waits until that is known.
        """


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
        # Number of attempts that a replica rejected or that reached none.
        self._not_run_count = 0

    async def run(self, send: Callable[[ReplicaLease], Awaitable[T]]) -> T:
        """Return the first answer.

        :param send: sends the request to a replica; called again after it raised
            UpstreamError, if another attempt is allowed.
        :raises UpstreamError: the last failure, once no other attempt is allowed.
        :raises RefusalError: if no replica can take the request.
        """
        while True:
            lease = self._request.choose_replica(self._tried)
            try:
                return await self._send(lease, send)
            except UpstreamError as error:
                self._tried.append(lease.replica.name)
                self._not_run_count += error.execution is Execution.NOT_RUN
                self._request.record_failure(lease, error)
                if await self._request.next_has_begun():
                    continue
                denial = await self._take_retry(error)
                if denial is not None:
                    self._report_denial(denial, error)
                    raise
                self._request.record_retry(retry_reason(error))

    @property
    def tried(self) -> Sequence[str]:
        """Names of the replicas at which attempts have failed."""
        return self._tried

    def take_retry(self, execution: Execution) -> RetryDenial | None:
        """Take one retry from the budgets.

        :param execution: whether the previous attempt is known to have run.
        :returns: what denies the retry, None if it was taken.
        """
        scope = self._scope
        return self._context.retries.take(
            scope.tree_id, scope.group, scope.repeatable, execution
        )

    async def _take_retry(self, error: UpstreamError) -> RetryDenial | None:
        while True:
            denial = self._request.retry_denial() or self.take_retry(error.execution)
            if denial is not RetryDenial.BUDGET:
                return denial
            if not await self._request.wait_for_budget():
                return denial

    def retry_denial(self, execution: Execution) -> RetryDenial | None:
        """Return what denies a retry, without taking one, see :meth:`take_retry`."""
        scope = self._scope
        return self._context.retries.denial(
            scope.tree_id, scope.group, scope.repeatable, execution
        )

    def give_back_retry(self) -> None:
        """Return a retry that a replica has rejected to the request's tree."""
        self._context.retries.give_back(self._scope.tree_id)

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

    def _report_denial(self, denial: RetryDenial, error: UpstreamError) -> None:
        self._context.metrics.count(retry_denial_counter(denial))
        group = self._request.replica_group
        log_event(
            "retry_denied",
            request=self._scope.request_id,
            cause=denial.value,
            attempts=len(self._tried),
            not_run=self._not_run_count,
            replicas=len(set(self._tried)),
            untried=self._context.placement.sendable_count(group, self._tried),
            remaining_ms=f"{self._request.remaining_s * 1000:.0f}",
            failure=error.reason.value,
        )

    async def _send(
        self, lease: ReplicaLease, send: Callable[[ReplicaLease], Awaitable[T]]
    ) -> T:
        failure: UpstreamError | None = None
        try:
            return await send(lease)
        except UpstreamError as error:
            failure = error
            raise
        finally:
            self.release(lease, failure)


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
