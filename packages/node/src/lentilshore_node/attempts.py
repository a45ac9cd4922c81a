"""Retry loop: sends one request to one replica after another."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, Protocol, TypeVar

from lentilshore_kernel.exceptions import UpstreamError
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

_PROOF_RANK = {Execution.NOT_RUN: 0, Execution.UNKNOWN: 1, Execution.RAN: 2}


class ExecutionProof:
    """Tracks whether a request is known to have run in any of its attempts."""

    def __init__(self) -> None:
        self._proved = Execution.NOT_RUN
        self._in_flight = False

    @property
    def execution(self) -> Execution:
        """What is known now; an attempt in flight may have run."""
        if self._proved is Execution.NOT_RUN and self._in_flight:
            return Execution.UNKNOWN
        return self._proved

    def begin(self) -> None:
        """Record that an attempt is sent; from now on the request may run."""
        self._in_flight = True

    def end(self, execution: Execution) -> None:
        """Record whether the attempt that has ended is known to have run."""
        self._in_flight = False
        if _PROOF_RANK[execution] > _PROOF_RANK[self._proved]:
            self._proved = execution


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
    :param tree_id: identifier of the request tree, whose retries are bounded.
    :param group: name of the service or version whose replicas share a retry budget.
    :param repeatable: whether the request may run more than once.
    """

    request_id: str
    tree_id: str
    group: str
    repeatable: bool


class AttemptedRequest(Protocol):
    """Request that an :class:`AttemptLoop` sends, with its choice of replicas."""

    def place(self, tried: Sequence[str]) -> ReplicaLease:
        """Choose a replica.

        :param tried: names of replicas at which attempts have failed.
        :raises RefusalError: if no replica can take it.
        """

    def record_failure(self, lease: ReplicaLease, error: UpstreamError) -> None:
        """Record a failed attempt."""

    def may_retry(self) -> bool:
        """Return whether its attempts, time and answer so far allow another attempt."""

    def record_retry(self, reason: RetryReason) -> None:
        """Record that the request is sent again."""


class AttemptLoop:
    """Sends a request to one replica after another until one has answered.

    :param context: components of the node.
    :param request: the request.
    :param scope: limits its retries.
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
            lease = self._request.place(self._tried)
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
        failed, unreachable = False, False
        try:
            return await send(lease)
        except UpstreamError as error:
            failed = error.reason is not RefusalReason.UPSTREAM_FULL
            unreachable = _is_unreachable(error)
            raise
        finally:
            self._release(lease, failed, unreachable)

    def _release(self, lease: ReplicaLease, failed: bool, unreachable: bool) -> None:
        if self._context.placement.release(lease, failed, unreachable):
            record_state_change(
                self._context.metrics,
                StateChange.REPLICA_RESTED,
                replica=lease.replica.name,
                unreachable=unreachable,
                request=self._scope.request_id,
            )


def _is_unreachable(error: UpstreamError) -> bool:
    if error.reason in (
        RefusalReason.UPSTREAM_STALLED,
        RefusalReason.UPSTREAM_REPLACED,
    ):
        return True
    failed = error.reason is RefusalReason.UPSTREAM_FAILED
    return failed and error.execution is Execution.NOT_RUN
