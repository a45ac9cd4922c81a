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
BISECTION_STEPS = 24
REFRESH_GROWTH_SHARE = 0.05
REFRESH_CHANGES = 64
SHORTFALL_LIMIT_ANSWERS = 25.0
SHORTFALL_GAIN = 0.004
SHORTFALL_DECAY_FACTOR = 0.999
TARGET_MARGIN = 0.002


class _GroupKey(NamedTuple):
    features: Features
    versions: tuple[str, ...]
    target_thousandths: int


class Plan(NamedTuple):
    """What to do with requests of one group.

    :param price: price of a good answer, in units of the dearest candidate.
    :param first: index of the candidate to try first.
    :param escalations: index to try after a first answer, by the index that gave
        it and its confidence class; -1 to accept it.
    """

    price: float
    first: int
    escalations: tuple[tuple[int, ...], ...]


class _SolvedPlan(NamedTuple):
    plan: Plan
    change_count: int


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
        self._plans: dict[_GroupKey, _SolvedPlan] = {}
        self._shortfalls: dict[tuple[str, str], float] = {}

    def find_plan(
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
        shortfall = self._shortfalls.get((customer, features.kind), 0.0)
        required_quality = min(1.0, target + TARGET_MARGIN + SHORTFALL_GAIN * shortfall)
        key = _GroupKey(features, versions, round(required_quality * 1000))
        change_count = self._estimates.change_count(versions)
        solved = self._plans.get(key)
        stale = solved is None or change_count - solved.change_count > max(
            REFRESH_CHANGES, solved.change_count * REFRESH_GROWTH_SHARE
        )
        if stale:
            unit = max(costs)
            group = _PlanSolver(self._estimates, key, [cost / unit for cost in costs])
            solved = self._plans[key] = _SolvedPlan(group.solve(), change_count)
        return solved.plan

    def record_accepted(
        self, customer: str, kind: str, target: float, quality: float
    ) -> None:
        """Note the expected quality of an answer that was accepted.

        :param quality: probability that it is good, 0 to 1.
        """
        key = (customer, kind)
        shortfall = self._shortfalls.get(key, 0.0) * SHORTFALL_DECAY_FACTOR
        shortfall += target + TARGET_MARGIN - quality
        self._shortfalls[key] = min(
            max(shortfall, -SHORTFALL_LIMIT_ANSWERS), SHORTFALL_LIMIT_ANSWERS
        )


class _PlanSolver:
    """Solves the plan of one group of requests from calibrated curves."""

    def __init__(
        self, estimates: QualityEstimates, key: _GroupKey, costs: Sequence[float]
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
        self._escalations = [
            [self._escalations_after(rank, c) for c in classes] for rank in ranks
        ]

    def solve(self) -> Plan:
        """Return the plan at the least price that meets the target."""
        required_quality = self._key.target_thousandths / 1000
        low, high = PRICE_LOW, PRICE_HIGH
        for _ in range(BISECTION_STEPS):
            middle = (low * high) ** 0.5
            if self._best_first(middle)[1] < required_quality:
                low = middle
            else:
                high = middle
        escalations = tuple(
            tuple(
                self._best_escalation(rank, c, high) for c in range(CONFIDENCE_CLASSES)
            )
            for rank in range(len(self._costs))
        )
        return Plan(high, self._best_first(high)[0], escalations)

    def _best_first(self, price: float) -> tuple[int, float]:
        """Return the best first candidate at a price, and the quality reached."""
        best, best_value, best_quality = 0, float("-inf"), 0.0
        for rank, curve in enumerate(self._curves):
            value, quality = -self._costs[rank], 0.0
            for index, weight in enumerate(curve.class_probabilities):
                good, gain = (
                    curve.good_probabilities[index],
                    price * curve.good_probabilities[index],
                )
                for _, later_good, cost in self._escalations[rank][index]:
                    later_gain = price * later_good - cost
                    if later_gain > gain:
                        good, gain = later_good, later_gain
                value += weight * gain
                quality += weight * good
            if value > best_value:
                best, best_value, best_quality = rank, value, quality
        return best, best_quality

    def _best_escalation(self, rank: int, index: int, price: float) -> int:
        best, best_gain = -1, price * self._curves[rank].good_probabilities[index]
        for later, good, cost in self._escalations[rank][index]:
            if price * good - cost > best_gain:
                best, best_gain = later, price * good - cost
        return best

    def _escalations_after(
        self, rank: int, index: int
    ) -> list[tuple[int, float, float]]:
        path = path_after(rank, (index + 0.5) / CONFIDENCE_CLASSES)
        features, versions = self._key.features, self._key.versions
        return [
            (
                later,
                self._estimates.curve(features, versions[later], path).good_probability,
                self._costs[later],
            )
            for later in range(rank + 1, len(versions))
        ]
