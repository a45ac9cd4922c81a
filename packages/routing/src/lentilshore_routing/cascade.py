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

# Share of requests whose first option is chosen at random, and of escalation decisions
# in which the same model may be tried again without enough ratings of such tries.
EXPLORATION_SHARE = 0.004
TRIES_PER_MODEL_LIMIT = 2
# Ratings of a model's repeated tries that a policy needs before it relies on their
# estimated benefit.
MIN_REPEAT_RATINGS = 30


class CascadeOption(NamedTuple):
    """A model version that a cascade may send the request to.

    :param version: the version.
    :param cost: expected price of an answer, micro-units of money.
    :param duration_s: expected time to a whole answer, seconds.
    """

    version: ModelVersion
    cost: float
    duration_s: float


class CascadeRequest(NamedTuple):
    """What a cascade policy knows of a request.

    :param customer: name of the customer.
    :param features: request kind and length class of the prompt.
    :param quality_target: required share of good answers, 0 to 1.
    :param remaining_s: time left until the deadline, seconds.
    """

    customer: str
    features: Features
    quality_target: float
    remaining_s: float


class TriedAnswer(NamedTuple):
    """An answer to the request, received from one of its options.

    :param index: index of the option.
    :param confidence: the engine's confidence in the answer, 0 to 1; None if not
        reported.
    """

    index: int
    confidence: float | None


class CascadePolicy(Protocol):
    """Chooses the option to try next, or accepts the last answer.

    Methods take the options of a request in ascending order of cost, and name an option
    by its index in them.
    """

    def choose_first(
        self, request: CascadeRequest, options: Sequence[CascadeOption]
    ) -> int:
        """Return the index of the option to try first."""

    def escalate(
        self,
        request: CascadeRequest,
        options: Sequence[CascadeOption],
        tried: Sequence[TriedAnswer],
    ) -> int | None:
        """Return the index to try next, or None to accept the last answer.

        :param tried: answers received so far, in order.
        """

    def may_escalate(
        self, request: CascadeRequest, options: Sequence[CascadeOption], index: int
    ) -> bool:
        """Return whether an answer of an option could still be escalated.

        :param index: index of the option.
        """

    def record_accepted(
        self,
        request: CascadeRequest,
        options: Sequence[CascadeOption],
        tried: Sequence[TriedAnswer],
    ) -> None:
        """Record that the last answer was accepted."""


class CalibratedPolicy:
    """Minimises cost at the quality target by putting a price on a good answer.

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
        self, request: CascadeRequest, options: Sequence[CascadeOption]
    ) -> int:
        """Return the index of the option to try first."""
        feasible = self._feasible_indexes(request, options, 0.0)
        if not feasible:
            return min(range(len(options)), key=lambda i: options[i].duration_s)
        if len(feasible) > 1 and self._random.random() < EXPLORATION_SHARE:
            return self._random.choice(feasible)
        plan = self._find_plan(request, options)
        if plan.first_index in feasible:
            return plan.first_index
        good_answer_price = plan.quality_price * max(option.cost for option in options)
        return max(
            feasible,
            key=lambda i: self._expected_value(
                request, options[i], good_answer_price, FIRST_PATH
            ),
        )

    def escalate(
        self,
        request: CascadeRequest,
        options: Sequence[CascadeOption],
        tried: Sequence[TriedAnswer],
    ) -> int | None:
        """Return the index to try next, or None to accept the last answer.

        :param tried: answers received so far, in order.
        """
        last = tried[-1]
        spent_s = sum(options[item.index].duration_s for item in tried)
        feasible = self._feasible_indexes(request, options, spent_s)
        plan = self._find_plan(request, options)
        path = path_after(last.index, last.confidence)
        good_answer_price = plan.quality_price * max(option.cost for option in options)
        cell = calibration_cell(request, options, tried)
        best, best_value = None, good_answer_price * self._estimates.probability(cell)
        for index in feasible:
            if index < last.index:
                continue
            if index == last.index and not self._may_repeat(options, tried, path):
                continue
            value = self._expected_value(
                request, options[index], good_answer_price, path
            )
            if value > best_value:
                best, best_value = index, value
        return best

    def may_escalate(
        self, request: CascadeRequest, options: Sequence[CascadeOption], index: int
    ) -> bool:
        """Return whether an answer of an option could still be escalated."""
        spent_s = options[index].duration_s
        feasible = self._feasible_indexes(request, options, spent_s)
        escalations = self._find_plan(request, options).escalations[index]
        return any(later in feasible for later in set(escalations) - {-1})

    def record_accepted(
        self,
        request: CascadeRequest,
        options: Sequence[CascadeOption],
        tried: Sequence[TriedAnswer],
    ) -> None:
        """Record the expected quality of the last answer."""
        quality = self._estimates.probability(calibration_cell(request, options, tried))
        kind = request.features.kind
        self._planner.record_accepted(
            request.customer, kind, request.quality_target, quality
        )

    def _may_repeat(
        self,
        options: Sequence[CascadeOption],
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
        version = str(options[last].version)
        return self._estimates.rating_count(version, path) >= MIN_REPEAT_RATINGS

    def _find_plan(
        self, request: CascadeRequest, options: Sequence[CascadeOption]
    ) -> CascadePlan:
        versions = tuple([str(option.version) for option in options])
        costs = [option.cost for option in options]
        return self._planner.find_plan(
            request.customer, request.features, request.quality_target, versions, costs
        )

    def _feasible_indexes(
        self, request: CascadeRequest, options: Sequence[CascadeOption], spent_s: float
    ) -> list[int]:
        remaining_s = request.remaining_s - spent_s
        return [i for i, item in enumerate(options) if item.duration_s <= remaining_s]

    def _expected_value(
        self,
        request: CascadeRequest,
        option: CascadeOption,
        good_answer_price: float,
        path: int,
    ) -> float:
        version = str(option.version)
        curve = self._estimates.curve(request.features, version, path)
        return good_answer_price * curve.good_probability - option.cost


class FixedThresholdPolicy:
    """Tries the cheapest option first and escalates below a fixed confidence.

    :param threshold: confidence, 0 to 1, below which the next option is tried.
    """

    def __init__(self, threshold: float = 0.8) -> None:
        self._threshold = threshold

    def choose_first(
        self, request: CascadeRequest, options: Sequence[CascadeOption]
    ) -> int:
        """Return the index of the cheapest option."""
        return 0

    def escalate(
        self,
        request: CascadeRequest,
        options: Sequence[CascadeOption],
        tried: Sequence[TriedAnswer],
    ) -> int | None:
        """Return the index of the next option if the confidence is too low."""
        last = tried[-1]
        confident = (last.confidence or 0.0) >= self._threshold
        if confident or last.index + 1 >= len(options):
            return None
        return last.index + 1

    def may_escalate(
        self, request: CascadeRequest, options: Sequence[CascadeOption], index: int
    ) -> bool:
        """Return whether there is a costlier option."""
        return index + 1 < len(options)

    def record_accepted(
        self,
        request: CascadeRequest,
        options: Sequence[CascadeOption],
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
    request: CascadeRequest,
    options: Sequence[CascadeOption],
    tried: Sequence[TriedAnswer],
) -> CalibrationCell:
    """Return the calibration cell in which the last answer is counted and rated.

    :param request: the request.
    :param options: the options that the request may be sent to.
    :param tried: answers received so far, in order.
    """
    last = tried[-1]
    path = FIRST_PATH
    if len(tried) > 1:
        previous = tried[-2]
        path = path_after(previous.index, previous.confidence)
    version = str(options[last.index].version)
    return CalibrationCell(
        *request.features, version, path, confidence_class(last.confidence)
    )
