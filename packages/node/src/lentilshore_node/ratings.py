"""Ratings of answers, matched to what was known when they were served."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from lentilshore_routing.estimates import Cell, QualityEstimates
from lentilshore_routing.rollouts import EvidenceBook, ExposureBudget

from .platform import Rating

ANSWERS_KEPT = 100_000


class ServedAnswer(NamedTuple):
    """An answer that may be rated later.

    :param customer: name of the customer.
    :param cell: what was known of the answer.
    """

    customer: str
    cell: Cell


class RatingTracker:
    """Applies each rating once to the estimates and the evidence.

    :param estimates: calibrated probabilities.
    :param evidence: outcomes by version.
    :param exposure: ungraded answers of candidates.
    """

    def __init__(
        self,
        estimates: QualityEstimates,
        evidence: EvidenceBook,
        exposure: ExposureBudget,
    ) -> None:
        self._estimates = estimates
        self._evidence = evidence
        self._exposure = exposure
        self._answers: OrderedDict[str, ServedAnswer] = OrderedDict()

    def add_answer(self, request: str, answer: ServedAnswer) -> None:
        """Note an answer that was served."""
        self._estimates.observe(answer.cell)
        self._answers[request] = answer
        if len(self._answers) > ANSWERS_KEPT:
            self._answers.popitem(last=False)

    def apply(self, rating: Rating) -> bool:
        """Apply a rating.

        :returns: False if the answer is not known or was rated before.
        """
        answer = self._answers.pop(rating.request, None)
        if answer is None:
            return False
        self._estimates.rate(answer.cell, rating.good)
        self._evidence.add(
            answer.cell.version, "rating", answer.customer, not rating.good
        )
        self._exposure.grade(rating.request)
        return True
