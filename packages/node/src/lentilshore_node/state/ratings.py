"""Ratings of answers, matched to the answers that this node has served."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from lentilshore_routing.estimates import CalibrationCell, QualityEstimates
from lentilshore_routing.rollouts import ExposureBudget, OutcomeTallies

from ..clients.platform import Rating

UNRATED_ANSWERS_LIMIT = 100_000


class ServedAnswer(NamedTuple):
    """An answer that may be rated later.

    :param customer: name of the customer.
    :param cell: calibration cell of the answer.
    """

    customer: str
    cell: CalibrationCell


class RatingTracker:
    """Applies the first rating of each answer to estimates, tallies and exposure.

    :param estimates: calibrated quality estimates.
    :param evidence: tallies of good and bad outcomes by version.
    :param exposure: budget of unrated answers of candidates.
    """

    def __init__(
        self,
        estimates: QualityEstimates,
        evidence: OutcomeTallies,
        exposure: ExposureBudget,
    ) -> None:
        self._estimates = estimates
        self._evidence = evidence
        self._exposure = exposure
        self._answers: OrderedDict[str, ServedAnswer] = OrderedDict()

    def add_answer(self, request_id: str, answer: ServedAnswer) -> None:
        """Record a served answer, which can be rated from now on.

        Beyond :data:`UNRATED_ANSWERS_LIMIT`, the oldest answer is dropped.

        :param request_id: identifier of the request.
        :param answer: the answer.
        """
        self._estimates.record_answer(answer.cell)
        self._answers[request_id] = answer
        if len(self._answers) > UNRATED_ANSWERS_LIMIT:
            self._answers.popitem(last=False)

    def apply(self, rating: Rating) -> bool:
        """Apply a rating.

        :returns: False if the answer is unknown, no longer kept or already rated.
        """
        answer = self._answers.pop(rating.request, None)
        if answer is None:
            return False
        self._estimates.record_rating(answer.cell, rating.good)
        self._evidence.add(
            answer.cell.version, "rating", answer.customer, not rating.good
        )
        self._exposure.release(rating.request)
        return True
