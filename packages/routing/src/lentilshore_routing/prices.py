"""Price of quality: what a good answer is worth, so that the target is met."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from .estimates import (
    CONFIDENCE_CLASSES,
    FIRST_PATH,
    Features,
    QualityEstimates,
    path_after,
)

PRICE_LOW = 1e-4
PRICE_HIGH = 1e4
BISECTIONS = 24
REFRESH_SHARE = 0.05
REFRESH_CHANGES = 64
DEBT_LIMIT = 25.0
DEBT_GAIN = 0.004
DEBT_MEMORY = 0.999
TARGET_MARGIN = 0.002


class _Key(NamedTuple):
    features: Features
    versions: tuple[str, ...]
    target_thousandths: int


class Plan(NamedTuple):
    """What to do with requests of one group.

    :param price: price of a good answer, in units of the dearest candidate.
    :param first: index of the candidate to try first.
    :param following: index to try after a first answer, by the index that gave
        it and its confidence class; -1 to accept it.
    """

    price: float
    first: int
    following: tuple[tuple[int, ...], ...]


class _Solved(NamedTuple):
    plan: Plan
    changes: int


class QualityPrices:
    """Finds the price of quality for each group of requests.

    The price is solved from the calibrated curves: it is the least at which
    the policy is expected to meet the target. What the solution leaves open,
    since confidence comes in classes, is evened out by a running balance per
    customer and kind.

    :param estimates: calibrated curves.
    """

    def __init__(self, estimates: QualityEstimates) -> None:
        self._estimates = estimates
        self._solved: dict[_Key, _Solved] = {}
        self._debts: dict[tuple[str, str], float] = {}

    def find(
        self,
        customer: str,
        features: Features,
        target: float,
        versions: tuple[str, ...],
        costs: Sequence[float],
    ) -> Plan:
        """Return the plan of a request.

        :param customer: name of the customer.
        :param features: features of the request.
        :param target: share of good answers asked for, 0 to 1.
        :param versions: candidates, cheap to costly.
        :param costs: expected cost of each.
        """
        debt = self._debts.get((customer, features.kind), 0.0)
        wanted = min(1.0, target + TARGET_MARGIN + DEBT_GAIN * debt)
        key = _Key(features, versions, round(wanted * 1000))
        changes = self._estimates.changes(versions)
        known = self._solved.get(key)
        due = known is None or changes - known.changes > max(
            REFRESH_CHANGES, known.changes * REFRESH_SHARE
        )
        if due:
            unit = max(costs)
            group = _Group(self._estimates, key, [cost / unit for cost in costs])
            known = self._solved[key] = _Solved(group.solve(), changes)
        return known.plan

    def served(self, customer: str, kind: str, target: float, quality: float) -> None:
        """Note the expected quality of an answer that was accepted.

        :param quality: probability that it is good, 0 to 1.
        """
        key = (customer, kind)
        debt = self._debts.get(key, 0.0) * DEBT_MEMORY
        debt += target + TARGET_MARGIN - quality
        self._debts[key] = min(max(debt, -DEBT_LIMIT), DEBT_LIMIT)


class _Group:
    """Solves the plan of one group of requests from calibrated curves."""

    def __init__(
        self, estimates: QualityEstimates, key: _Key, costs: Sequence[float]
    ) -> None:
        self._estimates = estimates
        self._key = key
        self._costs = costs
        self._curves = [
            estimates.curve(key.features, version, FIRST_PATH)
            for version in key.versions
        ]
        classes = range(CONFIDENCE_CLASSES)
        ranks = range(len(key.versions))
        self._onward = [[self._later(rank, c) for c in classes] for rank in ranks]

    def solve(self) -> Plan:
        """Return the plan at the least price that meets the target."""
        wanted = self._key.target_thousandths / 1000
        low, high = PRICE_LOW, PRICE_HIGH
        for _ in range(BISECTIONS):
            middle = (low * high) ** 0.5
            if self._best(middle)[1] < wanted:
                low = middle
            else:
                high = middle
        following = tuple(
            tuple(self._next(rank, c, high) for c in range(CONFIDENCE_CLASSES))
            for rank in range(len(self._costs))
        )
        return Plan(high, self._best(high)[0], following)

    def _best(self, price: float) -> tuple[int, float]:
        """Return the best first candidate at a price, and the quality reached."""
        best, best_value, best_quality = 0, float("-inf"), 0.0
        for rank, curve in enumerate(self._curves):
            value, quality = -self._costs[rank], 0.0
            for index, weight in enumerate(curve.weights):
                good, gain = curve.goods[index], price * curve.goods[index]
                for _, later_good, cost in self._onward[rank][index]:
                    later_gain = price * later_good - cost
                    if later_gain > gain:
                        good, gain = later_good, later_gain
                value += weight * gain
                quality += weight * good
            if value > best_value:
                best, best_value, best_quality = rank, value, quality
        return best, best_quality

    def _next(self, rank: int, index: int, price: float) -> int:
        best, best_gain = -1, price * self._curves[rank].goods[index]
        for later, good, cost in self._onward[rank][index]:
            if price * good - cost > best_gain:
                best, best_gain = later, price * good - cost
        return best

    def _later(self, rank: int, index: int) -> list[tuple[int, float, float]]:
        path = path_after(rank, (index + 0.5) / CONFIDENCE_CLASSES)
        features, versions = self._key.features, self._key.versions
        return [
            (
                later,
                self._estimates.curve(features, versions[later], path).expected,
                self._costs[later],
            )
            for later in range(rank + 1, len(versions))
        ]
