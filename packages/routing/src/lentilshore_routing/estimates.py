"""Estimates of answer quality from late, sparse ratings, as mergeable counts.

Counts are kept per request kind, length class, version, try and confidence
class. Sparse cells borrow from coarser ones. Counts of one incarnation are
cumulative, so that a later report replaces an earlier one.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, TypedDict

CONFIDENCE_CLASSES = 10
LENGTH_CLASS_LIMITS = (64, 512, 4096)
SHRINKAGE = 20.0
PRIOR_GOOD_LOW = 0.2
PRIOR_GOOD_HIGH = 0.98


class Features(NamedTuple):
    """What is known of a request before it is answered.

    :param kind: request kind named by the caller.
    :param length_class: index into classes of prompt tokens.
    """

    kind: str
    length_class: int


class Cell(NamedTuple):
    """Key of one pair of counts.

    :param kind: request kind, empty for all.
    :param length_class: class of prompt tokens, -1 for all.
    :param version: name of the version.
    :param tries: earlier tries of the same model for the request.
    :param confidence_class: class of the answer's confidence.
    """

    kind: str
    length_class: int
    version: str
    tries: int
    confidence_class: int


class EstimateSummary(TypedDict):
    """Counts of one incarnation, as kept in the platform's store."""

    sequence: int
    cells: list[list[object]]


class QualityEstimates:
    """Probability that an answer is good, given what is known of it."""

    def __init__(self) -> None:
        self._own: dict[Cell, list[float]] = {}
        self._sums: dict[Cell, list[float]] = {}
        self._fleet: EstimateSummary | None = None
        self._own_in_fleet: EstimateSummary | None = None
        self._sequence = 0
        self._cache: dict[Cell, float] = {}
        self._distributions: dict[tuple[Features, str, int], list[float]] = {}

    @property
    def sequence(self) -> int:
        """Number of observations and ratings made by this incarnation."""
        return self._sequence

    def observe(self, cell: Cell) -> None:
        """Count an answer, whether or not it will be rated."""
        self._add(cell, (0.0, 0.0, 1.0))
        self._distributions.clear()

    def rate(self, cell: Cell, good: bool) -> None:
        """Count a rating of an answer.

        :param cell: what was known of the answer when it was accepted.
        :param good: whether the rating service found it good.
        """
        self._add(cell, (1.0 if good else 0.0, 1.0, 0.0))
        for parent in _ancestors(cell):
            self._cache.pop(parent, None)
        if cell.confidence_class >= 0:
            self._cache.clear()

    def probability(self, cell: Cell) -> float:
        """Return the probability that an answer is good.

        :param cell: what is known of the answer.
        """
        cached = self._cache.get(cell)
        if cached is not None:
            return cached
        estimate = _prior(cell.confidence_class)
        for parent in reversed(_ancestors(cell)):
            good, rated, _ = self._sums.get(parent, (0.0, 0.0, 0.0))
            estimate = (good + SHRINKAGE * estimate) / (rated + SHRINKAGE)
        self._cache[cell] = estimate
        return estimate

    def rated_tries(self, version: str, tries: int) -> float:
        """Return how many ratings a version's answers have.

        :param version: name of the version.
        :param tries: earlier tries of the same model for the request.
        """
        cells = (Cell("", -1, version, tries, c) for c in range(CONFIDENCE_CLASSES))
        return sum(self._sums.get(cell, (0.0, 0.0, 0.0))[1] for cell in cells)

    def distribution(self, features: Features, version: str, tries: int) -> list[float]:
        """Return the probability of each confidence class before answering."""
        key = (features, version, tries)
        cached = self._distributions.get(key)
        if cached is not None:
            return cached
        weights = [1.0 / CONFIDENCE_CLASSES] * CONFIDENCE_CLASSES
        cell = Cell(features.kind, features.length_class, version, tries, 0)
        for parent in reversed(_ancestors(cell)):
            seen = [
                self._sums.get(parent._replace(confidence_class=index), (0, 0, 0))[2]
                for index in range(CONFIDENCE_CLASSES)
            ]
            total = sum(seen)
            weights = [
                (count + SHRINKAGE * weight) / (total + SHRINKAGE)
                for count, weight in zip(seen, weights, strict=True)
            ]
        self._distributions[key] = weights
        return weights

    def summary(self) -> EstimateSummary:
        """Return this incarnation's counts for the platform's store."""
        cells = [[*cell, *counts] for cell, counts in sorted(self._own.items())]
        return EstimateSummary(sequence=self._sequence, cells=cells)

    def set_fleet(self, fleet: EstimateSummary, own: EstimateSummary | None) -> None:
        """Replace the counts that come from other incarnations.

        :param fleet: sum over all incarnations.
        :param own: this incarnation's part of that sum, if it has one.
        """
        if self._fleet is not None:
            self._apply(self._fleet, -1.0)
        if self._own_in_fleet is not None:
            self._apply(self._own_in_fleet, 1.0)
        self._fleet, self._own_in_fleet = fleet, own
        self._apply(fleet, 1.0)
        if own is not None:
            self._apply(own, -1.0)
        self._cache.clear()
        self._distributions.clear()

    def _apply(self, summary: EstimateSummary, sign: float) -> None:
        for row in summary["cells"]:
            cell = Cell(*row[:5])  # type: ignore[arg-type]
            self._accumulate(cell, [sign * float(value) for value in row[5:]])

    def _add(self, cell: Cell, counts: tuple[float, float, float]) -> None:
        self._sequence += 1
        own = self._own.setdefault(cell, [0.0, 0.0, 0.0])
        for index, value in enumerate(counts):
            own[index] += value
        self._accumulate(cell, counts)

    def _accumulate(self, cell: Cell, counts: Iterable[float]) -> None:
        values = list(counts)
        for parent in _ancestors(cell):
            sums = self._sums.setdefault(parent, [0.0, 0.0, 0.0])
            for index, value in enumerate(values):
                sums[index] += value


def confidence_class(confidence: float | None) -> int:
    """Return the class of a confidence between 0 and 1; 0 where none is given."""
    if confidence is None:
        return 0
    return min(max(int(confidence * CONFIDENCE_CLASSES), 0), CONFIDENCE_CLASSES - 1)


def length_class(prompt_tokens: int) -> int:
    """Return the class of a prompt's length in tokens."""
    return sum(prompt_tokens > limit for limit in LENGTH_CLASS_LIMITS)


def sum_estimates(summaries: Iterable[EstimateSummary]) -> EstimateSummary:
    """Return the sum of several incarnations' counts."""
    sums: dict[Cell, list[float]] = {}
    sequence = 0
    for summary in summaries:
        sequence += summary["sequence"]
        for row in summary["cells"]:
            counts = sums.setdefault(Cell(*row[:5]), [0.0, 0.0, 0.0])  # type: ignore[arg-type]
            for index, value in enumerate(row[5:]):
                counts[index] += float(value)  # type: ignore[arg-type]
    cells = [[*cell, *counts] for cell, counts in sorted(sums.items())]
    return EstimateSummary(sequence=sequence, cells=cells)


def _prior(index: int) -> float:
    span = PRIOR_GOOD_HIGH - PRIOR_GOOD_LOW
    return PRIOR_GOOD_LOW + span * (index + 0.5) / CONFIDENCE_CLASSES


def _ancestors(cell: Cell) -> tuple[Cell, Cell, Cell]:
    by_kind = cell._replace(length_class=-1)
    return cell, by_kind, by_kind._replace(kind="")
