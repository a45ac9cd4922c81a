"""Retry limits per request tree, and retry budgets per group of upstreams.

A request tree is a set of requests for which the caller sends the same tree identifier.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Protocol

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.types import Execution, RetryDenial

TREE_RETRY_LIMIT = 3
TRACKED_TREES_LIMIT = 10_000
RETRIES_PER_FIRST_ATTEMPT = 0.08
INITIAL_RETRIES = 10.0
SAVED_RETRIES_LIMIT = 100.0
# Retries of each window that are kept for requests whose last attempt no replica has
# rejected: full replicas can reject one request as often as the budget allows.
KEPT_RETRIES = 1.0


class RetryBudget(Protocol):
    """Bounds the retries at one group of upstreams."""

    def earn(self) -> None:
        """Count a first attempt."""

    def withdraw(self) -> None:
        """Take back the first attempt counted last, which is refused before it."""

    def can_spend(self, after_rejection: bool = False) -> bool:
        """Return whether a retry is allowed now.

        :param after_rejection: whether a replica has rejected the attempt before. Such
            retries leave some to others.
        """

    def try_spend(self, after_rejection: bool = False) -> bool:
        """Count a retry; return False if none is allowed now, see :meth:`can_spend`."""

    def refund(self) -> None:
        """Return a retry that was counted shortly before and reached no replica."""


class SlidingWindowBudget:
    """Bounds retries to a share of the first attempts in a sliding window.

    Unused retries are not carried over from earlier windows. So if each node keeps
    within its bound, the fleet as a whole does too, regardless of the number of nodes.

    :param ratio: retries allowed per first attempt.
    :param max_ratio: retries allowed per first attempt, those included that are kept
        for requests that were not rejected.
    :param reserve: returns the additional retries allowed in each window.
    :param window_s: length of the window, seconds.
    :param clock: provides the time.
    """

    def __init__(
        self,
        ratio: float,
        max_ratio: float,
        reserve: Callable[[], float],
        window_s: float,
        clock: Clock,
    ) -> None:
        self._ratio = ratio
        self._max_ratio = max_ratio
        self._reserve = reserve
        self._window_s = window_s
        self._clock = clock
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def earn(self) -> None:
        """Count a first attempt."""
        self._first_attempts.append(self._clock.monotonic())
        self._drop_expired(self._first_attempts)

    def withdraw(self) -> None:
        """Take back the first attempt counted last, which is refused before it."""
        if self._first_attempts:
            self._first_attempts.pop()

    def can_spend(self, after_rejection: bool = False) -> bool:
        """Return whether a retry is allowed now, see :class:`RetryBudget`."""
        self._drop_expired(self._first_attempts)
        self._drop_expired(self._retries)
        allowed = self._reserve() + self._ratio * len(self._first_attempts)
        if not after_rejection:
            beyond_ratio = self._max_ratio - self._ratio
            allowed += min(KEPT_RETRIES, beyond_ratio * len(self._first_attempts))
        return len(self._retries) + 1 <= allowed

    def try_spend(self, after_rejection: bool = False) -> bool:
        """Count a retry; return False if none is allowed now."""
        if not self.can_spend(after_rejection):
            return False
        self._retries.append(self._clock.monotonic())
        return True

    def refund(self) -> None:
        """Return a retry that was counted shortly before and reached no replica.

        The oldest in the window is taken out, so that the others count for longer
        rather than shorter.
        """
        if self._retries:
            self._retries.popleft()

    def _drop_expired(self, times: deque[float]) -> None:
        limit = self._clock.monotonic() - self._window_s
        while times and times[0] <= limit:
            times.popleft()


class TokenBucketBudget:
    """Token bucket that bounds retries to a share of first attempts.

    :param ratio: retries added by each first attempt.
    :param reserve: retries available at the start.
    :param capacity: most retries that may be saved up.
    """

    def __init__(
        self,
        ratio: float = RETRIES_PER_FIRST_ATTEMPT,
        reserve: float = INITIAL_RETRIES,
        capacity: float = SAVED_RETRIES_LIMIT,
    ) -> None:
        self._ratio = ratio
        self._balance = reserve
        self._capacity = capacity

    @property
    def balance(self) -> float:
        """Retries available now."""
        return self._balance

    def earn(self) -> None:
        """Count a first attempt."""
        self._balance = min(self._balance + self._ratio, self._capacity)

    def withdraw(self) -> None:
        """Take back the first attempt counted last, which is refused before it."""
        self._balance = max(0.0, self._balance - self._ratio)

    def can_spend(self, after_rejection: bool = False) -> bool:
        """Return whether a retry is left, see :class:`RetryBudget`."""
        kept = KEPT_RETRIES if after_rejection else 0.0
        return self._balance >= 1.0 + kept

    def try_spend(self, after_rejection: bool = False) -> bool:
        """Take one retry from the bucket; return False if none is left."""
        if not self.can_spend(after_rejection):
            return False
        self._balance -= 1.0
        return True

    def refund(self) -> None:
        """Return a retry that was counted shortly before and reached no replica."""
        self._balance = min(self._balance + 1.0, self._capacity)


class RetryPolicy:
    """Decides whether a failed attempt is retried.

    :param tree_retry_limit: most retries of one request tree.
    :param create_budget: creates the retry budget of one group of upstreams.
    """

    def __init__(
        self,
        tree_retry_limit: int = TREE_RETRY_LIMIT,
        create_budget: Callable[[], RetryBudget] = TokenBucketBudget,
    ) -> None:
        self._tree_retry_limit = tree_retry_limit
        self._create_budget = create_budget
        self._retries_by_tree: OrderedDict[str, int] = OrderedDict()
        self._budgets: dict[str, RetryBudget] = {}

    def record_first_attempt(self, group: str) -> None:
        """Count a first attempt at a group of upstreams.

        :param group: a version or service name.
        """
        self._budget(group).earn()

    def withdraw_first_attempt(self, group: str) -> None:
        """Take back the first attempt counted last, which is refused before it.

        Its caller returns, so that it would count twice.

        :param group: a version or service name.
        """
        self._budget(group).withdraw()

    def take(
        self,
        tree_id: str,
        group: str,
        repeatable: bool,
        execution: Execution,
        arrived: bool = True,
        after_rejection: bool = False,
    ) -> RetryDenial | None:
        """Count a retry if it is allowed.

        :param tree_id: identifier of the request tree.
        :param group: a version or service name.
        :param repeatable: whether running the request twice does no harm.
        :param execution: whether the failed attempt has run, as far as is known for
            certain.
        :param arrived: whether an attempt may have arrived at a replica. If none has,
            this one is the first to arrive and costs the budget nothing.
        :param after_rejection: whether a replica has rejected the attempt before.
        :returns: what denies the retry; None if it is allowed.
        """
        denial = self.denial(
            tree_id, group, repeatable, execution, arrived, after_rejection
        )
        if denial is not None:
            return denial
        if arrived and not self._budget(group).try_spend(after_rejection):
            return RetryDenial.BUDGET
        self._retries_by_tree[tree_id] = self._retries_by_tree.get(tree_id, 0) + 1
        self._retries_by_tree.move_to_end(tree_id)
        if len(self._retries_by_tree) > TRACKED_TREES_LIMIT:
            self._retries_by_tree.popitem(last=False)
        return None

    def denial(
        self,
        tree_id: str,
        group: str,
        repeatable: bool,
        execution: Execution,
        arrived: bool = True,
        after_rejection: bool = False,
    ) -> RetryDenial | None:
        """Return what denies a retry, without counting one, see :meth:`take`."""
        if not repeatable and execution is not Execution.NOT_RUN:
            return RetryDenial.UNREPEATABLE
        if self._retries_by_tree.get(tree_id, 0) >= self._tree_retry_limit:
            return RetryDenial.TREE_LIMIT
        if arrived and not self._budget(group).can_spend(after_rejection):
            return RetryDenial.BUDGET
        return None

    def give_back(self, tree_id: str) -> None:
        """Return a retry to its tree after a replica has rejected it.

        The budget of the group keeps it, since the replica had to reject it.
        """
        retries = self._retries_by_tree.get(tree_id, 0)
        if retries:
            self._retries_by_tree[tree_id] = retries - 1

    def refund(self, group: str) -> None:
        """Return a retry that reached no replica to the budget of its group."""
        self._budget(group).refund()

    def _budget(self, group: str) -> RetryBudget:
        budget = self._budgets.get(group)
        if budget is None:
            budget = self._budgets[group] = self._create_budget()
        return budget
