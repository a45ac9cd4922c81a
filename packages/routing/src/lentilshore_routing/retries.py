"""Retry budgets per request tree and per upstream kind of work."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Protocol

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.types import Execution

TREE_RETRIES = 3
TREES_KEPT = 10_000
BUDGET_RATIO = 0.08
BUDGET_RESERVE = 10.0
BUDGET_LIMIT = 100.0


class Budget(Protocol):
    """What retries at one group of upstreams are taken from."""

    def earn(self) -> None:
        """Note a first attempt."""

    def spend(self) -> bool:
        """Take one retry; False if there is none left."""


class WindowBudget:
    """Lets the retries of any window be a bounded share of its first attempts.

    Nothing is saved up beyond the window, so that nodes which keep to it keep to it
    together, however many they are.

    :param ratio: retries allowed for one first attempt.
    :param reserve: retries allowed besides, in each window.
    :param window_s: length of the window, seconds.
    :param clock: tells the time.
    """

    def __init__(
        self, ratio: float, reserve: float, window_s: float, clock: Clock
    ) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._window_s = window_s
        self._clock = clock
        self._firsts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def earn(self) -> None:
        """Note a first attempt."""
        self._firsts.append(self._clock.monotonic())
        self._forget(self._firsts)

    def spend(self) -> bool:
        """Take one retry; False if there is none left."""
        self._forget(self._firsts)
        self._forget(self._retries)
        allowed = self._reserve + self._ratio * len(self._firsts)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(self._clock.monotonic())
        return True

    def _forget(self, times: deque[float]) -> None:
        limit = self._clock.monotonic() - self._window_s
        while times and times[0] <= limit:
            times.popleft()


class RetryBudget:
    """Lets retries be a bounded share of first attempts.

    :param ratio: retries earned by one first attempt.
    :param reserve: retries available at the start.
    :param limit: most retries that may be saved up.
    """

    def __init__(
        self,
        ratio: float = BUDGET_RATIO,
        reserve: float = BUDGET_RESERVE,
        limit: float = BUDGET_LIMIT,
    ) -> None:
        self._ratio = ratio
        self._balance = reserve
        self._limit = limit

    @property
    def balance(self) -> float:
        """Retries that may still be made."""
        return self._balance

    def earn(self) -> None:
        """Note a first attempt."""
        self._balance = min(self._balance + self._ratio, self._limit)

    def spend(self) -> bool:
        """Take one retry from the budget.

        :returns: False if there is none left.
        """
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class RetryPolicy:
    """Decides whether a failed attempt is repeated.

    :param tree_retries: retries that one request tree may make.
    :param create_budget: makes the budget of one group of upstreams.
    """

    def __init__(
        self,
        tree_retries: int = TREE_RETRIES,
        create_budget: Callable[[], Budget] = RetryBudget,
    ) -> None:
        self._tree_retries = tree_retries
        self._create_budget = create_budget
        self._trees: OrderedDict[str, int] = OrderedDict()
        self._budgets: dict[str, Budget] = {}

    def note_first(self, group: str) -> None:
        """Note a first attempt at a group of upstreams.

        :param group: a version or service name.
        """
        self._budget(group).earn()

    def allow(
        self, tree: str, group: str, repeatable: bool, execution: Execution
    ) -> bool:
        """Tell whether another attempt may be made, and count it if so.

        :param tree: identifier of the request tree.
        :param group: a version or service name.
        :param repeatable: whether running twice does no harm.
        :param execution: what is proved about the failed attempt.
        """
        if not repeatable and execution is not Execution.NOT_RUN:
            return False
        spent = self._trees.get(tree, 0)
        if spent >= self._tree_retries or not self._budget(group).spend():
            return False
        self._trees[tree] = spent + 1
        self._trees.move_to_end(tree)
        if len(self._trees) > TREES_KEPT:
            self._trees.popitem(last=False)
        return True

    def _budget(self, group: str) -> Budget:
        budget = self._budgets.get(group)
        if budget is None:
            budget = self._budgets[group] = self._create_budget()
        return budget
