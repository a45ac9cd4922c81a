"""Cascade policies: which model to try first and when to escalate."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from lentilshore_kernel.registry import plugin
from lentilshore_kernel.types import ModelVersion

from .estimates import (
    Cell,
    Features,
    QualityEstimates,
    confidence_class,
)

STEP_SIZE = 0.02
LAMBDA_START_COSTS = 4.0
LAMBDA_LIMIT_COSTS = 2_000.0
TARGET_MARGIN = 0.002
EXPLORATION_SHARE = 0.01
TRIES_PER_MODEL = 2
REPEAT_MINIMUM_RATINGS = 30


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


class Tried(NamedTuple):
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
        self, query: Query, candidates: Sequence[Candidate], tried: Sequence[Tried]
    ) -> int | None:
        """Return the index to try next, or None to accept the last answer."""

    def may_escalate(
        self, query: Query, candidates: Sequence[Candidate], index: int
    ) -> bool:
        """Tell whether an answer of a candidate could still be escalated."""

    def served(
        self, query: Query, candidates: Sequence[Candidate], tried: Sequence[Tried]
    ) -> None:
        """Note the answer that was accepted."""


class CalibratedPolicy:
    """Minimises cost at the quality target by a price on quality.

    Each customer and kind has a price per good answer. An answer is accepted
    if its calibrated probability, valued at that price, beats the best
    escalation net of its cost. The price follows the gap between target and
    the quality served (dual ascent).

    :param estimates: calibrated probabilities.
    :param random_source: source of exploration.
    """

    def __init__(
        self, estimates: QualityEstimates, random_source: random.Random
    ) -> None:
        self._estimates = estimates
        self._random = random_source
        self._prices: dict[tuple[str, str], float] = {}

    def first(self, query: Query, candidates: Sequence[Candidate]) -> int:
        """Return the index of the candidate to try first."""
        feasible = self._feasible(query, candidates, 0.0)
        if len(feasible) > 1 and self._random.random() < EXPLORATION_SHARE:
            return self._random.choice(feasible)
        price = self._price(query, candidates)
        values = {i: self._start_value(query, candidates, i, price) for i in feasible}
        return max(feasible, key=lambda index: (values[index], -index))

    def escalate(
        self, query: Query, candidates: Sequence[Candidate], tried: Sequence[Tried]
    ) -> int | None:
        """Return the index to try next, or None to accept the last answer."""
        last = tried[-1]
        tries = sum(item.index == last.index for item in tried) - 1
        cell = _cell(query, candidates[last.index], tries, last.confidence)
        price = self._price(query, candidates)
        accept = price * self._estimates.probability(cell)
        spent = sum(candidates[item.index].duration_s for item in tried)
        options = [
            index
            for index in self._feasible(query, candidates, spent)
            if index > last.index
        ]
        if self._may_repeat(query, candidates[last.index], tries + 1, spent):
            options.append(last.index)
        best, best_value = None, accept
        for index in options:
            repeat = tries + 1 if index == last.index else 0
            value = self._direct_value(query, candidates[index], price, repeat)
            if value > best_value:
                best, best_value = index, value
        return best

    def may_escalate(
        self, query: Query, candidates: Sequence[Candidate], index: int
    ) -> bool:
        """Tell whether an answer of a candidate could still be escalated."""
        spent = candidates[index].duration_s
        later = [
            i for i in self._feasible(query, candidates, spent, False) if i > index
        ]
        if not later:
            return False
        price = self._price(query, candidates)
        best = max(self._direct_value(query, candidates[i], price, 0) for i in later)
        lowest = self._estimates.probability(_cell(query, candidates[index], 0, 0.0))
        return best > price * lowest

    def served(
        self, query: Query, candidates: Sequence[Candidate], tried: Sequence[Tried]
    ) -> None:
        """Move the price of quality towards the target."""
        last = tried[-1]
        tries = sum(item.index == last.index for item in tried) - 1
        cell = _cell(query, candidates[last.index], tries, last.confidence)
        gap = query.target + TARGET_MARGIN - self._estimates.probability(cell)
        price = self._price(query, candidates) * math.exp(STEP_SIZE * gap)
        dearest = max(candidate.cost for candidate in candidates)
        limit = LAMBDA_LIMIT_COSTS * max(dearest, 1e-9)
        key = (query.customer, query.features.kind)
        self._prices[key] = min(max(price, 1e-9), limit)

    def _may_repeat(
        self, query: Query, candidate: Candidate, tries: int, spent_s: float
    ) -> bool:
        """Tell whether the same model may be tried again.

        Whether that helps is only known once repeated tries have been rated,
        which exploration brings about.
        """
        if tries >= TRIES_PER_MODEL:
            return False
        if candidate.duration_s > query.remaining_s - spent_s:
            return False
        if self._random.random() < EXPLORATION_SHARE:
            return True
        version = str(candidate.version)
        return self._estimates.rated_tries(version, tries) >= REPEAT_MINIMUM_RATINGS

    def _price(self, query: Query, candidates: Sequence[Candidate]) -> float:
        key = (query.customer, query.features.kind)
        price = self._prices.get(key)
        if price is None:
            price = LAMBDA_START_COSTS * max(item.cost for item in candidates)
            self._prices[key] = price
        return price

    def _feasible(
        self,
        query: Query,
        candidates: Sequence[Candidate],
        spent_s: float,
        keep_one: bool = True,
    ) -> list[int]:
        left = query.remaining_s - spent_s
        fitting = [i for i, item in enumerate(candidates) if item.duration_s <= left]
        if fitting or not keep_one or spent_s > 0:
            return fitting
        return [min(range(len(candidates)), key=lambda i: candidates[i].duration_s)]

    def _direct_value(
        self, query: Query, candidate: Candidate, price: float, tries: int
    ) -> float:
        return price * self._expected(query, candidate, tries) - candidate.cost

    def _expected(self, query: Query, candidate: Candidate, tries: int) -> float:
        name = str(candidate.version)
        weights = self._estimates.distribution(query.features, name, tries)
        return sum(
            weight
            * self._estimates.probability(
                Cell(*query.features, name, tries, confidence_index)
            )
            for confidence_index, weight in enumerate(weights)
        )

    def _start_value(
        self, query: Query, candidates: Sequence[Candidate], index: int, price: float
    ) -> float:
        candidate = candidates[index]
        later = [
            i
            for i in self._feasible(query, candidates, candidate.duration_s, False)
            if i > index
        ]
        onward = max(
            (self._direct_value(query, candidates[i], price, 0) for i in later),
            default=-math.inf,
        )
        name = str(candidate.version)
        weights = self._estimates.distribution(query.features, name, 0)
        value = 0.0
        for confidence_index, weight in enumerate(weights):
            cell = Cell(*query.features, name, 0, confidence_index)
            good = price * self._estimates.probability(cell)
            value += weight * max(good, onward)
        return value - candidate.cost


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
        self, query: Query, candidates: Sequence[Candidate], tried: Sequence[Tried]
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

    def served(
        self, query: Query, candidates: Sequence[Candidate], tried: Sequence[Tried]
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


def _cell(
    query: Query, candidate: Candidate, tries: int, confidence: float | None
) -> Cell:
    name = str(candidate.version)
    return Cell(*query.features, name, tries, confidence_class(confidence))
