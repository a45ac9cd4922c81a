"""What a retry loop needs of a request and of its node."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.metrics import Metrics
from lentilshore_kernel.types import RetryDenial, RetryReason
from lentilshore_routing.placement import Placement, ReplicaLease
from lentilshore_routing.retries import RetryPolicy

from ..state.room_queue import RoomQueue


class AttemptContext(Protocol):
    """Components of a node that its requests share."""

    placement: Placement
    retries: RetryPolicy
    room: RoomQueue
    random: random.Random

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
    :param customer: customer that sent it, empty for none.
    :param priority: 0 is the most urgent.
    """

    request_id: str
    tree_id: str
    group: str
    repeatable: bool
    customer: str = ""
    priority: int = 0


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

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt has run, or is not proved not to have run."""

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
