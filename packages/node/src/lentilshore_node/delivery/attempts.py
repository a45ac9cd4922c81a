"""Retry loop: sends one request to one replica after another."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, Protocol, TypeVar

from lentilshore_kernel.exceptions import RefusalError, UpstreamError
from lentilshore_kernel.metrics import Metrics, record_state_change
from lentilshore_kernel.types import (
    Execution,
    RefusalReason,
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
        self._in_flight = False

    @property
    def execution(self) -> Execution:
        """What is known now; an attempt in flight may have run."""
        if self._ended_execution is Execution.NOT_RUN and self._in_flight:
            return Execution.UNKNOWN
        return self._ended_execution

    def begin(self) -> None:
        """Record that an attempt is sent; from now on the request may run."""
        self._in_flight = True

    def end(self, execution: Execution) -> None:
        """Record whether the attempt that has ended ran, as far as is known."""
        self._in_flight = False
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

    def may_retry(self) -> bool:
        """Return whether the request itself allows another attempt.

        That depends on the number of its attempts, the time left and the part of the
        answer that was already sent. Retry budgets are checked separately.
        """

    def record_retry(self, reason: RetryReason) -> None:
        """Record that the request is sent again."""


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
                self._request.record_failure(lease, error)
                if not self._request.may_retry() or not self.spend_retry(
                    error.execution
                ):
                    raise
                self._request.record_retry(retry_reason(error))

    def spend_retry(self, execution: Execution) -> bool:
        """Take one retry from the budgets.

        :param execution: whether the previous attempt is known to have run.
        :returns: False if the request may not be sent again.
        """
        scope = self._scope
        return self._context.retries.allow(
            scope.tree_id, scope.group, scope.repeatable, execution
        )

    async def _send(
        self, lease: ReplicaLease, send: Callable[[ReplicaLease], Awaitable[T]]
    ) -> T:
        counts_as_failure, unreachable = False, False
        try:
            return await send(lease)
        except UpstreamError as error:
            counts_as_failure = error.reason not in SOUND_REPLICA_REASONS
            unreachable = _is_unreachable(error)
            raise
        finally:
            self._release(lease, counts_as_failure, unreachable)

    def _release(
        self, lease: ReplicaLease, counts_as_failure: bool, unreachable: bool
    ) -> None:
        """Release the lease and log if the replica is ejected from now on."""
        if self._context.placement.release(lease, counts_as_failure, unreachable):
            record_state_change(
                self._context.metrics,
                StateChange.REPLICA_EJECTED,
                replica=lease.replica.name,
                unreachable=unreachable,
                request=self._scope.request_id,
            )


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
