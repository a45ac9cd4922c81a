"""Cascade policies, which choose the first model and decide on escalation."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from lentilshore_kernel.registry import plugin
from lentilshore_kernel.types import ModelVersion

from .cascade_plans import CascadePlan, CascadePlanner
from .estimates import (
    FIRST_PATH,
    CalibrationCell,
    Features,
    QualityEstimates,
    confidence_class,
    path_after,
)

# Share of requests whose first candidate is chosen at random, and of decisions in which
# a repeated try is considered without enough ratings.
EXPLORATION_SHARE = 0.004
TRIES_PER_MODEL_LIMIT = 2
# Ratings of repeated tries that a policy needs before it repeats a model by estimate.
MIN_REPEAT_RATINGS = 30


class CascadeOption(NamedTuple):
    """A version that may be tried.

    :param version: the version.
    :param cost: expected price of an answer, micro-units of money.
    :param duration_s: expected time to a whole answer, seconds.
    """

    version: ModelVersion
    cost: float
    duration_s: float


class CascadeRequest(NamedTuple):
    """A request, as a policy sees it.

    :param customer: name of the customer.
    :param features: kind and length class.
    :param quality_target: required share of good answers, 0 to 1.
    :param remaining_s: time left until the deadline, seconds.
    """

    customer: str
    features: Features
    quality_target: float
    remaining_s: float


class TriedAnswer(NamedTuple):
    """An answer received from a candidate.

    :param index: index of the candidate.
    :param confidence: the engine's confidence in the answer, 0 to 1; None if not
        reported.
    """

    index: int
    confidence: float | None


class CascadePolicy(Protocol):
    """Chooses the candidate to try next, or accepts the last answer."""

    def choose_first(
        self, query: CascadeRequest, candidates: Sequence[CascadeOption]
    ) -> int:
        """Return the index of the candidate to try first."""

    def escalate(
        self,
        query: CascadeRequest,
        candidates: Sequence[CascadeOption],
        tried: Sequence[TriedAnswer],
    ) -> int | None:
        """Return the index to try next, or None to accept the last answer.

        :param tried: answers received so far, in order.
        """

    def may_escalate(
        self, query: CascadeRequest, candidates: Sequence[CascadeOption], index: int
    ) -> bool:
        """Return whether an answer of a candidate could still be escalated."""

    def record_accepted(
        self,
        query: CascadeRequest,
        candidates: Sequence[CascadeOption],
        tried: Sequence[TriedAnswer],
    ) -> None:
        """Record that the last answer was accepted."""


class CalibratedPolicy:
    """Minimises cost at the quality target by a price on quality.

    An answer is accepted if its calibrated probability of being good, times the price
    of a good answer, is at least the value of the best escalation minus its cost.

    :param estimates: calibrated probabilities of good answers.
    :param random_source: decides when to explore.
    """

    def __init__(
        self, estimates: QualityEstimates, random_source: random.Random
    ) -> None:
        self._estimates = estimates
        self._random = random_source
        self._planner = CascadePlanner(estimates)

    def choose_first(
        self, query: CascadeRequest, candidates: Sequence[CascadeOption]
    ) -> int:
        """Return the index of the candidate to try first."""
        feasible = self._feasible(query, candidates, 0.0)
        if not feasible:
            return min(range(len(candidates)), key=lambda i: candidates[i].duration_s)
        if len(feasible) > 1 and self._random.random() < EXPLORATION_SHARE:
            return self._random.choice(feasible)
        plan = self._plan(query, candidates)
        if plan.first in feasible:
            return plan.first
        good_answer_price = plan.quality_price * max(
            candidate.cost for candidate in candidates
        )
        return max(
            feasible,
            key=lambda i: self._value(
                query, candidates[i], good_answer_price, FIRST_PATH
            ),
        )

    def escalate(
        self,
        query: CascadeRequest,
        candidates: Sequence[CascadeOption],
        tried: Sequence[TriedAnswer],
    ) -> int | None:
        """Return the index to try next, or None to accept the last answer.

        :param tried: answers received so far, in order.
        """
        last = tried[-1]
        spent_s = sum(candidates[item.index].duration_s for item in tried)
        feasible = self._feasible(query, candidates, spent_s)
        plan = self._plan(query, candidates)
        path = path_after(last.index, last.confidence)
        good_answer_price = plan.quality_price * max(
            candidate.cost for candidate in candidates
        )
        cell = calibration_cell(query, candidates, tried)
        best, best_value = None, good_answer_price * self._estimates.probability(cell)
        for index in feasible:
            if index < last.index:
                continue
            if index == last.index and not self._may_repeat(candidates, tried, path):
                continue
            value = self._value(query, candidates[index], good_answer_price, path)
            if value > best_value:
                best, best_value = index, value
        return best

    def may_escalate(
        self, query: CascadeRequest, candidates: Sequence[CascadeOption], index: int
    ) -> bool:
        """Return whether an answer of a candidate could still be escalated."""
        spent_s = candidates[index].duration_s
        feasible = self._feasible(query, candidates, spent_s)
        escalations = self._plan(query, candidates).escalations[index]
        return any(later in feasible for later in set(escalations) - {-1})

    def record_accepted(
        self,
        query: CascadeRequest,
        candidates: Sequence[CascadeOption],
        tried: Sequence[TriedAnswer],
    ) -> None:
        """Record the expected quality of the last answer."""
        quality = self._estimates.probability(
            calibration_cell(query, candidates, tried)
        )
        kind = query.features.kind
        self._planner.record_accepted(
            query.customer, kind, query.quality_target, quality
        )

    def _may_repeat(
        self,
        candidates: Sequence[CascadeOption],
        tried: Sequence[TriedAnswer],
        path: int,
    ) -> bool:
        """Return whether the same model may be tried again.

        The benefit of repeated tries can be estimated only once enough of them have
        been rated; exploration provides the first of these.
        """
        last = tried[-1].index
        if sum(item.index == last for item in tried) >= TRIES_PER_MODEL_LIMIT:
            return False
        if self._random.random() < EXPLORATION_SHARE:
            return True
        version = str(candidates[last].version)
        return self._estimates.rating_count(version, path) >= MIN_REPEAT_RATINGS

    def _plan(
        self, query: CascadeRequest, candidates: Sequence[CascadeOption]
    ) -> CascadePlan:
        versions = tuple([str(candidate.version) for candidate in candidates])
        costs = [candidate.cost for candidate in candidates]
        return self._planner.find_plan(
            query.customer, query.features, query.quality_target, versions, costs
        )

    def _feasible(
        self, query: CascadeRequest, candidates: Sequence[CascadeOption], spent_s: float
    ) -> list[int]:
        remaining_s = query.remaining_s - spent_s
        return [
            i for i, item in enumerate(candidates) if item.duration_s <= remaining_s
        ]

    def _value(
        self,
        query: CascadeRequest,
        candidate: CascadeOption,
        good_answer_price: float,
        path: int,
    ) -> float:
        version = str(candidate.version)
        curve = self._estimates.curve(query.features, version, path)
        return good_answer_price * curve.good_probability - candidate.cost


class FixedThresholdPolicy:
    """Tries the cheapest candidate first and escalates below a fixed confidence.

    :param threshold: confidence, 0 to 1, below which the next candidate is tried.
    """

    def __init__(self, threshold: float = 0.8) -> None:
        self._threshold = threshold

    def choose_first(
        self, query: CascadeRequest, candidates: Sequence[CascadeOption]
    ) -> int:
        """Return the index of the cheapest candidate."""
        return 0

    def escalate(
        self,
        query: CascadeRequest,
        candidates: Sequence[CascadeOption],
        tried: Sequence[TriedAnswer],
    ) -> int | None:
        """Return the index of the next candidate if the confidence is too low."""
        last = tried[-1]
        confident = (last.confidence or 0.0) >= self._threshold
        if confident or last.index + 1 >= len(candidates):
            return None
        return last.index + 1

    def may_escalate(
        self, query: CascadeRequest, candidates: Sequence[CascadeOption], index: int
    ) -> bool:
        """Return whether there is a costlier candidate."""
        return index + 1 < len(candidates)

    def record_accepted(
        self,
        query: CascadeRequest,
        candidates: Sequence[CascadeOption],
        tried: Sequence[TriedAnswer],
    ) -> None:
        """Do nothing, as the threshold is fixed."""


@plugin("policy", "calibrated")
def create_calibrated_policy(
    estimates: QualityEstimates, random_source: random.Random
) -> CascadePolicy:
    """Create the policy that uses calibrated estimates."""
    return CalibratedPolicy(estimates, random_source)


@plugin("policy", "threshold")
def create_threshold_policy(
    estimates: QualityEstimates, random_source: random.Random
) -> CascadePolicy:
    """Create the policy with a fixed confidence threshold."""
    return FixedThresholdPolicy()


def calibration_cell(
    query: CascadeRequest,
    candidates: Sequence[CascadeOption],
    tried: Sequence[TriedAnswer],
) -> CalibrationCell:
    """Return the cell in which the last answer is counted and rated.

    :param query: the request.
    :param candidates: the versions that may be tried.
    :param tried: answers received so far, in order.
    """
    last = tried[-1]
    path = FIRST_PATH
    if len(tried) > 1:
        before = tried[-2]
        path = path_after(before.index, before.confidence)
    version = str(candidates[last.index].version)
    return CalibrationCell(
        *query.features, version, path, confidence_class(last.confidence)
    )
