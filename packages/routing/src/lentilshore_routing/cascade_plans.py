"""Plans of cascades that meet a quality target at the least expected cost.

The price of quality, which is the value of one good answer, is the Lagrange multiplier
of the quality target: a plan maximises quality times price minus cost.
"""

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

# Bounds between which the price of quality, as a multiple of the cost of the costliest
# option, is found by bisection on a logarithmic scale.
MIN_QUALITY_PRICE = 1e-4
MAX_QUALITY_PRICE = 1e4
BISECTION_STEPS = 24
# A plan is solved again once the counts of answers and ratings have grown by this share
# of those that it was solved from, but not before this many new answers and ratings.
REFRESH_GROWTH_SHARE = 0.05
REFRESH_CHANGES = 64
# The accumulated quality shortfall of a customer's requests of one kind, in good
# answers, is bounded in both directions, raises the target by the gain for each good
# answer that is missing, and decays by the factor with each accepted answer.
SHORTFALL_LIMIT_ANSWERS = 25.0
SHORTFALL_GAIN = 0.004
SHORTFALL_DECAY_FACTOR = 0.999
# Plans aim this far above the target.
TARGET_MARGIN = 0.002


class _GroupKey(NamedTuple):
    features: Features
    versions: tuple[str, ...]
    quality_target_thousandths: int


class CascadePlan(NamedTuple):
    """Which option requests of one group are sent to first, and when to escalate.

    A group has the same features, options and quality target.

    :param quality_price: value of a good answer, as a multiple of the cost of the
        costliest option.
    :param first_index: index of the option to try first.
    :param escalations: index of the option to try after a first answer, by the
        index of the option that gave it and by its confidence class; -1 to accept
        the answer.
    """

    quality_price: float
    first_index: int
    escalations: tuple[tuple[int, ...], ...]


class _SolvedPlan(NamedTuple):
    plan: CascadePlan
    change_count: int


class CascadePlanner:
    """Plans the cascade of each group of requests.

    The price of quality is solved from the calibration curves: it is the lowest at
    which the plan is expected to meet the target. Since confidence comes in discrete
    classes, a plan meets the target only approximately; the accumulated shortfall of
    each customer and kind corrects the target of later plans.

    :param estimates: provides the calibration curves.
    """

    def __init__(self, estimates: QualityEstimates) -> None:
        self._estimates = estimates
        self._plans: dict[_GroupKey, _SolvedPlan] = {}
        self._shortfalls: dict[tuple[str, str], float] = {}

    def find_plan(
        self,
        customer: str,
        features: Features,
        quality_target: float,
        versions: tuple[str, ...],
        costs: Sequence[float],
    ) -> CascadePlan:
        """Return the plan for a request, solving it again if it is out of date.

        :param customer: name of the customer.
        :param features: features of the request.
        :param quality_target: required share of good answers, 0 to 1.
        :param versions: names of the options, cheapest first.
        :param costs: expected cost of an answer of each option.
        """
        shortfall = self._shortfalls.get((customer, features.kind), 0.0)
        required_quality = min(
            1.0, quality_target + TARGET_MARGIN + SHORTFALL_GAIN * shortfall
        )
        key = _GroupKey(features, versions, round(required_quality * 1000))
        change_count = self._estimates.change_count(versions)
        solved = self._plans.get(key)
        stale = solved is None or change_count - solved.change_count > max(
            REFRESH_CHANGES, solved.change_count * REFRESH_GROWTH_SHARE
        )
        if stale:
            cost_unit = max(costs)
            solver = _PlanSolver(
                self._estimates, key, [cost / cost_unit for cost in costs]
            )
            solved = self._plans[key] = _SolvedPlan(solver.solve(), change_count)
        return solved.plan

    def record_accepted(
        self, customer: str, kind: str, quality_target: float, quality: float
    ) -> None:
        """Add an accepted answer to the quality shortfall.

        :param customer: name of the customer.
        :param kind: kind of the request.
        :param quality_target: required share of good answers, 0 to 1.
        :param quality: probability that the answer is good, 0 to 1.
        """
        key = (customer, kind)
        shortfall = self._shortfalls.get(key, 0.0) * SHORTFALL_DECAY_FACTOR
        shortfall += quality_target + TARGET_MARGIN - quality
        self._shortfalls[key] = min(
            max(shortfall, -SHORTFALL_LIMIT_ANSWERS), SHORTFALL_LIMIT_ANSWERS
        )


class _PlanSolver:
    """Solves the plan of one group of requests from calibration curves.

    The rank of an option is its index in the ascending order of cost. Costs are shares
    of the cost of the costliest option.
    """

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

    def solve(self) -> CascadePlan:
        """Return the plan at the lowest price of quality that meets the target."""
        required_quality = self._key.quality_target_thousandths / 1000
        low, high = MIN_QUALITY_PRICE, MAX_QUALITY_PRICE
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
        return CascadePlan(high, self._best_first(high)[0], escalations)

    def _best_first(self, price: float) -> tuple[int, float]:
        """Return the rank of the best first option, and the expected quality.

        :param price: price of quality.
        """
        best, best_value, best_quality = 0, float("-inf"), 0.0
        for rank, curve in enumerate(self._curves):
            value, quality = -self._costs[rank], 0.0
            for class_index, weight in enumerate(curve.class_probabilities):
                good, gain = (
                    curve.good_probabilities[class_index],
                    price * curve.good_probabilities[class_index],
                )
                for _, later_good, cost in self._escalations[rank][class_index]:
                    later_gain = price * later_good - cost
                    if later_gain > gain:
                        good, gain = later_good, later_gain
                value += weight * gain
                quality += weight * good
            if value > best_value:
                best, best_value, best_quality = rank, value, quality
        return best, best_quality

    def _best_escalation(self, rank: int, class_index: int, price: float) -> int:
        best, best_gain = -1, price * self._curves[rank].good_probabilities[class_index]
        for later_rank, good, cost in self._escalations[rank][class_index]:
            if price * good - cost > best_gain:
                best, best_gain = later_rank, price * good - cost
        return best

    def _escalations_after(
        self, rank: int, class_index: int
    ) -> list[tuple[int, float, float]]:
        """Return rank, probability of a good answer and cost of each costlier option.

        :param rank: rank of the option that gave the first answer.
        :param class_index: confidence class of that answer.
        """
        path = path_after(rank, (class_index + 0.5) / CONFIDENCE_CLASSES)
        features, versions = self._key.features, self._key.versions
        return [
            (
                later_rank,
                self._estimates.curve(
                    features, versions[later_rank], path
                ).good_probability,
                self._costs[later_rank],
            )
            for later_rank in range(rank + 1, len(versions))
        ]
