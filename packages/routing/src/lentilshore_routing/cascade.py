"""Cascade policies: which model to try first and when to escalate."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from lentilshore_kernel.registry import plugin
from lentilshore_kernel.types import ModelVersion

from .estimates import (
    FIRST_PATH,
    Cell,
    Features,
    QualityEstimates,
    confidence_class,
    path_after,
)
from .prices import Plan, QualityPrices

EXPLORATION_SHARE = 0.004
TRIES_PER_MODEL_LIMIT = 2
MIN_REPEAT_RATINGS = 30


class Candidate(NamedTuple):
    """A version that may be tried.

    :param version: the version.
    :param cost: expected price of an answer, micro-units of money.
    :param duration_s: expected time to a whole answer, seconds.
    """

    version: ModelVersion
    cost: float
    duration_s: float


class Query(NamedTuple):
    """What a policy knows of a request.

    :param customer: name of the customer.
    :param features: kind and length class.
    :param target: share of good answers asked for, 0 to 1.
    :param remaining_s: time left until the deadline, seconds.
    """

    customer: str
    features: Features
    target: float
    remaining_s: float


class TriedAnswer(NamedTuple):
    """An answer that has come back.

    :param index: index of the candidate.
    :param confidence: the engine's confidence in it, 0 to 1, if reported.
    """

    index: int
    confidence: float | None


class CascadePolicy(Protocol):
    """Chooses the next model to try, or to accept the answer at hand."""

    def first(self, query: Query, candidates: Sequence[Candidate]) -> int:
        """Return the index of the candidate to try first."""

    def escalate(
        self,
        query: Query,
        candidates: Sequence[Candidate],
        tried: Sequence[TriedAnswer],
    ) -> int | None:
        """Return the index to try next, or None to accept the last answer."""

    def may_escalate(
        self, query: Query, candidates: Sequence[Candidate], index: int
    ) -> bool:
        """Tell whether an answer of a candidate could still be escalated."""

    def record_accepted(
        self,
        query: Query,
        candidates: Sequence[Candidate],
        tried: Sequence[TriedAnswer],
    ) -> None:
        """Note the answer that was accepted."""


class CalibratedPolicy:
    """Minimises cost at the quality target by a price on quality.

    An answer is accepted if its calibrated probability, valued at the price of
    a good answer, beats the best escalation net of its cost.

    :param estimates: calibrated probabilities.
    :param random_source: source of exploration.
    """

    def __init__(
        self, estimates: QualityEstimates, random_source: random.Random
    ) -> None:
        self._estimates = estimates
        self._random = random_source
        self._prices = QualityPrices(estimates)

    def first(self, query: Query, candidates: Sequence[Candidate]) -> int:
        """Return the index of the candidate to try first."""
        feasible = self._feasible(query, candidates, 0.0)
        if not feasible:
            return min(range(len(candidates)), key=lambda i: candidates[i].duration_s)
        if len(feasible) > 1 and self._random.random() < EXPLORATION_SHARE:
            return self._random.choice(feasible)
        plan = self._plan(query, candidates)
        if plan.first in feasible:
            return plan.first
        price = plan.price * max(candidate.cost for candidate in candidates)
        return max(
            feasible,
            key=lambda i: self._value(query, candidates[i], price, FIRST_PATH),
        )

    def escalate(
        self,
        query: Query,
        candidates: Sequence[Candidate],
        tried: Sequence[TriedAnswer],
    ) -> int | None:
        """Return the index to try next, or None to accept the last answer."""
        last = tried[-1]
        spent = sum(candidates[item.index].duration_s for item in tried)
        feasible = self._feasible(query, candidates, spent)
        plan = self._plan(query, candidates)
        path = path_after(last.index, last.confidence)
        price = plan.price * max(candidate.cost for candidate in candidates)
        cell = answer_cell(query, candidates, tried)
        best, best_value = None, price * self._estimates.probability(cell)
        for index in feasible:
            if index < last.index:
                continue
            if index == last.index and not self._may_repeat(candidates, tried, path):
                continue
            value = self._value(query, candidates[index], price, path)
            if value > best_value:
                best, best_value = index, value
        return best

    def may_escalate(
        self, query: Query, candidates: Sequence[Candidate], index: int
    ) -> bool:
        """Tell whether an answer of a candidate could still be escalated."""
        spent = candidates[index].duration_s
        feasible = self._feasible(query, candidates, spent)
        escalations = self._plan(query, candidates).escalations[index]
        return any(later in feasible for later in set(escalations) - {-1})

    def record_accepted(
        self,
        query: Query,
        candidates: Sequence[Candidate],
        tried: Sequence[TriedAnswer],
    ) -> None:
        """Note the expected quality of the answer."""
        quality = self._estimates.probability(answer_cell(query, candidates, tried))
        kind = query.features.kind
        self._prices.record_accepted(query.customer, kind, query.target, quality)

    def _may_repeat(
        self, candidates: Sequence[Candidate], tried: Sequence[TriedAnswer], path: int
    ) -> bool:
        """Tell whether the same model may be tried again.

        Whether that helps is only known once repeated tries have been rated,
        which exploration brings about.
        """
        last = tried[-1].index
        if sum(item.index == last for item in tried) >= TRIES_PER_MODEL_LIMIT:
            return False
        if self._random.random() < EXPLORATION_SHARE:
            return True
        version = str(candidates[last].version)
        return self._estimates.rating_count(version, path) >= MIN_REPEAT_RATINGS

    def _plan(self, query: Query, candidates: Sequence[Candidate]) -> Plan:
        versions = tuple([str(candidate.version) for candidate in candidates])
        costs = [candidate.cost for candidate in candidates]
        return self._prices.find_plan(
            query.customer, query.features, query.target, versions, costs
        )

    def _feasible(
        self, query: Query, candidates: Sequence[Candidate], spent_s: float
    ) -> list[int]:
        left = query.remaining_s - spent_s
        return [i for i, item in enumerate(candidates) if item.duration_s <= left]

    def _value(
        self, query: Query, candidate: Candidate, price: float, path: int
    ) -> float:
        version = str(candidate.version)
        curve = self._estimates.curve(query.features, version, path)
        return price * curve.good_probability - candidate.cost


class FixedThresholdPolicy:
    """Tries the cheapest and escalates below a fixed confidence.

    :param threshold: confidence below which the next model is tried.
    """

    def __init__(self, threshold: float = 0.8) -> None:
        self._threshold = threshold

    def first(self, query: Query, candidates: Sequence[Candidate]) -> int:
        """Return the cheapest candidate."""
        return 0

    def escalate(
        self,
        query: Query,
        candidates: Sequence[Candidate],
        tried: Sequence[TriedAnswer],
    ) -> int | None:
        """Return the next candidate if the last answer is not confident."""
        last = tried[-1]
        confident = (last.confidence or 0.0) >= self._threshold
        if confident or last.index + 1 >= len(candidates):
            return None
        return last.index + 1

    def may_escalate(
        self, query: Query, candidates: Sequence[Candidate], index: int
    ) -> bool:
        """Tell whether a costlier candidate remains."""
        return index + 1 < len(candidates)

    def record_accepted(
        self,
        query: Query,
        candidates: Sequence[Candidate],
        tried: Sequence[TriedAnswer],
    ) -> None:
        """Learn nothing."""


@plugin("policy", "calibrated")
def create_calibrated_policy(
    estimates: QualityEstimates, random_source: random.Random
) -> CascadePolicy:
    """Create the policy that follows calibrated estimates."""
    return CalibratedPolicy(estimates, random_source)


@plugin("policy", "threshold")
def create_threshold_policy(
    estimates: QualityEstimates, random_source: random.Random
) -> CascadePolicy:
    """Create the policy with a fixed confidence threshold."""
    return FixedThresholdPolicy()


def answer_cell(
    query: Query, candidates: Sequence[Candidate], tried: Sequence[TriedAnswer]
) -> Cell:
    """Return what is known of the last answer, for estimates and ratings.

    :param query: the request.
    :param candidates: versions that could be tried.
    :param tried: answers in order; the last one is meant.
    """
    last = tried[-1]
    path = FIRST_PATH
    if len(tried) > 1:
        before = tried[-2]
        path = path_after(before.index, before.confidence)
    version = str(candidates[last.index].version)
    return Cell(*query.features, version, path, confidence_class(last.confidence))
