"""The loop of attempts: one request at one replica after another."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, Protocol, TypeVar

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.metrics import Metrics, note_belief
from lentilshore_kernel.types import (
    BeliefChange,
    Execution,
    RefusalReason,
    RetryReason,
)
from lentilshore_routing.placement import Lease, Placement
from lentilshore_routing.retries import RetryPolicy

from .retry_reasons import retry_reason

T = TypeVar("T")

_STRENGTH = {Execution.NOT_RUN: 0, Execution.UNKNOWN: 1, Execution.RAN: 2}


class ExecutionProof:
    """What is proved about whether a request ran, over all its attempts."""

    def __init__(self) -> None:
        self._proved = Execution.NOT_RUN
        self._sent = False

    @property
    def execution(self) -> Execution:
        """What is proved now; an attempt under way may have run."""
        if self._proved is Execution.NOT_RUN and self._sent:
            return Execution.UNKNOWN
        return self._proved

    def begin(self) -> None:
        """Note that an attempt goes out; from now on the request may run."""
        self._sent = True

    def end(self, execution: Execution) -> None:
        """Note what is proved about the attempt that has ended."""
        self._sent = False
        if _STRENGTH[execution] > _STRENGTH[self._proved]:
            self._proved = execution


class AttemptContext(Protocol):
    """Parts of a node that attempts share."""

    placement: Placement
    retries: RetryPolicy

    @property
    def metrics(self) -> Metrics:
        """Receiver of counters."""


class RetryScope(NamedTuple):
    """What a request's retries count towards.

    :param request_id: identifier of the request, for the log.
    :param tree_id: identifier of the request tree, whose retries are bounded.
    :param group: upstreams that share a retry budget: a version or service name.
    :param repeatable: whether running the request twice does no harm.
    """

    request_id: str
    tree_id: str
    group: str
    repeatable: bool


class Work(Protocol):
    """One request, as the loop of attempts sees it."""

    def place(self, tried: Sequence[str]) -> Lease:
        """Choose a replica.

        :param tried: names of replicas at which attempts have failed.
        :raises RefusalError: if no replica can take it.
        """

    def note_failure(self, lease: Lease, error: UpstreamError) -> None:
        """Note that an attempt has failed."""

    def may_retry(self) -> bool:
        """Tell whether there are attempts, time and an answer to go on with."""

    def note_retry(self, reason: RetryReason) -> None:
        """Note that the request is sent again."""


class AttemptLoop:
    """Sends a request to one replica after another until one has answered.

    :param context: parts of the node.
    :param work: the request.
    :param scope: what its retries count towards.
    """

    def __init__(self, context: AttemptContext, work: Work, scope: RetryScope) -> None:
        self._context = context
        self._work = work
        self._scope = scope
        self._tried: list[str] = []

    async def run(self, send: Callable[[Lease], Awaitable[T]]) -> T:
        """Return the first answer.

        :param send: sends the request to a replica, and may do so again after it
            raised UpstreamError.
        :raises UpstreamError: the last failure, once no attempt is allowed any more.
        :raises RefusalError: if no replica can take the request.
        """
        while True:
            lease = self._work.place(self._tried)
            try:
                return await self._send(lease, send)
            except UpstreamError as error:
                self._tried.append(lease.replica.name)
                self._work.note_failure(lease, error)
                if not self._work.may_retry() or not self.spend_retry(error.execution):
                    raise
                self._work.note_retry(retry_reason(error))

    def spend_retry(self, execution: Execution) -> bool:
        """Take one retry from the budgets.

        :param execution: what is proved about the attempt before.
        :returns: False if the request may not be sent again.
        """
        scope = self._scope
        return self._context.retries.allow(
            scope.tree_id, scope.group, scope.repeatable, execution
        )

    async def _send(self, lease: Lease, send: Callable[[Lease], Awaitable[T]]) -> T:
        failed, unreachable = False, False
        try:
            return await send(lease)
        except UpstreamError as error:
            failed = error.reason is not RefusalReason.UPSTREAM_FULL
            unreachable = _is_unreachable(error)
            raise
        finally:
            self._release(lease, failed, unreachable)

    def _release(self, lease: Lease, failed: bool, unreachable: bool) -> None:
        if self._context.placement.release(lease, failed, unreachable):
            note_belief(
                self._context.metrics,
                BeliefChange.REPLICA_RESTED,
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
