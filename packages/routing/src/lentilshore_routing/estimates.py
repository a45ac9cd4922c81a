"""Estimates of answer quality from late, sparse ratings, as mergeable counts.

Counts are kept in cells, one per request kind, length class, version, path and
confidence class. The path identifies the previous answer to the same request: the low
confidence of a cheap model shows that the request is hard for the next one as well.
Estimates of cells with few ratings are shrunk towards those of coarser cells. The
counts of one incarnation are cumulative, so a later report replaces an earlier one.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, TypedDict

CONFIDENCE_CLASSES = 10
# Path numbers: of a first answer, and of a cell that counts all paths.
FIRST_PATH = 0
ANY_PATH = -1
# Longest prompts of all length classes but the last, tokens.
LENGTH_CLASS_LIMITS = (64, 512, 4096)
# Weight of a coarser cell's estimate, in ratings of the finer cell.
SHRINKAGE_RATINGS = 20.0
# A cached curve is built again after this many new answers and ratings, or after this
# share of those that it was built from, whichever is more.
CURVE_REFRESH_CHANGES = 16
CURVE_REFRESH_GROWTH_SHARE = 0.02
# Prior probability of a good answer at the lowest and at the highest confidence.
PRIOR_GOOD_LOW = 0.2
PRIOR_GOOD_HIGH = 0.98


class Features(NamedTuple):
    """Features of a request that are available before it is answered.

    :param kind: request kind named by the caller.
    :param length_class: class of the prompt's length, see :func:`length_class`.
    """

    kind: str
    length_class: int


class CalibrationCell(NamedTuple):
    """Key under which similar answers are counted: a calibration bin.

    :param kind: request kind, empty for all.
    :param length_class: class of the prompt's length, -1 for all.
    :param version: name of the version.
    :param path: number of the path that led to the answer, see :func:`path_after`;
        :data:`FIRST_PATH` for a first answer, :data:`ANY_PATH` for all.
    :param confidence_class: class of the answer's confidence.
    """

    kind: str
    length_class: int
    version: str
    path: int
    confidence_class: int


class EstimateSummary(TypedDict):
    """Counts of one incarnation, as kept in the platform's store.

    :param sequence: number of answers and ratings counted.
    :param cells: rows of the fields of a cell, followed by its good ratings, all its
        ratings and its answers.
    """

    sequence: int
    cells: list[list[object]]


class CalibrationCurve(NamedTuple):
    """Calibration of a version's confidence for requests with the same features.

    :param class_probabilities: probability that an answer falls into each confidence
        class.
    :param good_probabilities: probability that an answer is good, by confidence class.
    :param good_probability: probability that an answer is good, before its confidence
        is known.
    """

    class_probabilities: tuple[float, ...]
    good_probabilities: tuple[float, ...]
    good_probability: float


class _CachedCurve:
    def __init__(self, curve: CalibrationCurve, change_count: int) -> None:
        self.curve = curve
        self.change_count = change_count


class QualityEstimates:
    """Estimates the probability that an answer is good.

    Counts of this incarnation are added to those of the rest of the fleet.
    """

    def __init__(self) -> None:
        # Each list holds the good ratings, all ratings and answers of a cell. Counts of
        # the fleet include the coarser cells.
        self._own_counts: dict[CalibrationCell, list[float]] = {}
        self._fleet_counts: dict[CalibrationCell, list[float]] = {}
        self._fleet_summary: EstimateSummary | None = None
        self._own_summary: EstimateSummary | None = None
        self._sequence = 0
        self._change_counts: dict[tuple[str, int], int] = {}
        self._change_counts_by_version: dict[str, int] = {}
        self._cached_curves: dict[tuple[Features, str, int], _CachedCurve] = {}

    @property
    def sequence(self) -> int:
        """Number of answers and ratings counted by this incarnation."""
        return self._sequence

    def record_answer(self, cell: CalibrationCell) -> None:
        """Count an answer, whether or not it is rated later."""
        self._record(cell, (0.0, 0.0, 1.0))

    def record_rating(self, cell: CalibrationCell, good: bool) -> None:
        """Count a rating of an answer.

        :param cell: the cell of the answer when it was accepted.
        :param good: whether the rating service rated it as good.
        """
        self._record(cell, (1.0 if good else 0.0, 1.0, 0.0))

    def probability(self, cell: CalibrationCell) -> float:
        """Return the probability that an answer is good.

        :param cell: the cell of the answer.
        """
        features = Features(cell.kind, cell.length_class)
        return self.curve(features, cell.version, cell.path).good_probabilities[
            cell.confidence_class
        ]

    def curve(self, features: Features, version: str, path: int) -> CalibrationCurve:
        """Return the calibration curve of a version.

        A curve is cached until the counts behind it have grown by a small share.

        :param features: features of the requests.
        :param version: name of the version.
        :param path: number of the path that leads to the answers, see
            :func:`path_after`.
        """
        key = (features, version, path)
        change_count = self._change_counts.get((version, path), 0)
        cached = self._cached_curves.get(key)
        if cached is not None:
            allowed = max(
                CURVE_REFRESH_CHANGES, cached.change_count * CURVE_REFRESH_GROWTH_SHARE
            )
            if change_count - cached.change_count < allowed:
                return cached.curve
        curve = self._build_curve(features, version, path)
        self._cached_curves[key] = _CachedCurve(curve, change_count)
        return curve

    def _build_curve(
        self, features: Features, version: str, path: int
    ) -> CalibrationCurve:
        cell = CalibrationCell(*features, version, path, 0)
        cells = [cell._replace(confidence_class=c) for c in range(CONFIDENCE_CLASSES)]
        good_probabilities = tuple(self._good_probability(item) for item in cells)
        class_probabilities = self._class_probabilities(cell)
        good_probability = sum(
            w * g for w, g in zip(class_probabilities, good_probabilities, strict=True)
        )
        return CalibrationCurve(
            tuple(class_probabilities), good_probabilities, good_probability
        )

    def _good_probability(self, cell: CalibrationCell) -> float:
        estimate = _prior(cell.confidence_class)
        for parent in reversed(_with_ancestors(cell)):
            good, rating_count, _ = self._fleet_counts.get(parent, (0.0, 0.0, 0.0))
            estimate = (good + SHRINKAGE_RATINGS * estimate) / (
                rating_count + SHRINKAGE_RATINGS
            )
        return estimate

    def _class_probabilities(self, cell: CalibrationCell) -> list[float]:
        class_probabilities = [1.0 / CONFIDENCE_CLASSES] * CONFIDENCE_CLASSES
        for parent in reversed(_with_ancestors(cell)):
            class_counts = [
                self._fleet_counts.get(
                    parent._replace(confidence_class=class_index), (0, 0, 0)
                )[2]
                for class_index in range(CONFIDENCE_CLASSES)
            ]
            total = sum(class_counts)
            class_probabilities = [
                (count + SHRINKAGE_RATINGS * weight) / (total + SHRINKAGE_RATINGS)
                for count, weight in zip(class_counts, class_probabilities, strict=True)
            ]
        return class_probabilities

    def change_count(self, versions: Iterable[str]) -> int:
        """Return the number of answers and ratings that this incarnation has counted.

        :param versions: names of the versions whose answers are included.
        """
        return sum(
            self._change_counts_by_version.get(version, 0) for version in versions
        )

    def rating_count(self, version: str, path: int) -> float:
        """Return the number of ratings of a version's answers on a path.

        :param version: name of the version.
        :param path: number of the path, see :func:`path_after`.
        """
        cells = (
            CalibrationCell("", -1, version, path, c) for c in range(CONFIDENCE_CLASSES)
        )
        return sum(self._fleet_counts.get(cell, (0.0, 0.0, 0.0))[1] for cell in cells)

    def summary(self) -> EstimateSummary:
        """Return this incarnation's counts, as kept in the platform's store."""
        cells = [[*cell, *counts] for cell, counts in sorted(self._own_counts.items())]
        return EstimateSummary(sequence=self._sequence, cells=cells)

    def set_fleet_counts(
        self, fleet: EstimateSummary, own: EstimateSummary | None
    ) -> None:
        """Replace the counts of the other incarnations.

        :param fleet: sum of the counts of all incarnations.
        :param own: this incarnation's counts in that sum, which are subtracted again;
            None if it has none.
        """
        if self._fleet_summary is not None:
            self._apply_summary(self._fleet_summary, -1.0)
        if self._own_summary is not None:
            self._apply_summary(self._own_summary, 1.0)
        self._fleet_summary, self._own_summary = fleet, own
        self._apply_summary(fleet, 1.0)
        if own is not None:
            self._apply_summary(own, -1.0)
        self._cached_curves.clear()

    def _apply_summary(self, summary: EstimateSummary, sign: float) -> None:
        for row in summary["cells"]:
            cell = CalibrationCell(*row[:5])  # type: ignore[arg-type]
            self._accumulate(cell, [sign * float(value) for value in row[5:]])

    def _record(
        self, cell: CalibrationCell, counts: tuple[float, float, float]
    ) -> None:
        self._sequence += 1
        own = self._own_counts.setdefault(cell, [0.0, 0.0, 0.0])
        for index, value in enumerate(counts):
            own[index] += value
        self._accumulate(cell, counts)
        key = (cell.version, cell.path)
        self._change_counts[key] = self._change_counts.get(key, 0) + 1
        change_count = self._change_counts_by_version.get(cell.version, 0)
        self._change_counts_by_version[cell.version] = change_count + 1

    def _accumulate(self, cell: CalibrationCell, counts: Iterable[float]) -> None:
        values = list(counts)
        for parent in _with_ancestors(cell):
            sums = self._fleet_counts.setdefault(parent, [0.0, 0.0, 0.0])
            for index, value in enumerate(values):
                sums[index] += value


def confidence_class(confidence: float | None) -> int:
    """Return the class of a confidence between 0 and 1; 0 if none was reported."""
    if confidence is None:
        return 0
    return min(max(int(confidence * CONFIDENCE_CLASSES), 0), CONFIDENCE_CLASSES - 1)


def path_after(rank: int, confidence: float | None) -> int:
    """Return the number of the path of the answer that follows another one.

    The number stands for the earlier answer's model and confidence class.

    :param rank: rank of the model that gave the earlier answer, 0 for the cheapest.
    :param confidence: confidence of the earlier answer, 0 to 1; None if not reported.
    """
    return 1 + rank * CONFIDENCE_CLASSES + confidence_class(confidence)


def length_class(prompt_tokens: int) -> int:
    """Return the class of a prompt's length.

    :param prompt_tokens: length of the prompt, tokens.
    """
    return sum(prompt_tokens > limit for limit in LENGTH_CLASS_LIMITS)


def sum_estimates(summaries: Iterable[EstimateSummary]) -> EstimateSummary:
    """Return the sum of the counts of several incarnations."""
    sums: dict[CalibrationCell, list[float]] = {}
    sequence = 0
    for summary in summaries:
        sequence += summary["sequence"]
        for row in summary["cells"]:
            counts = sums.setdefault(CalibrationCell(*row[:5]), [0.0, 0.0, 0.0])  # type: ignore[arg-type]
            for index, value in enumerate(row[5:]):
                counts[index] += float(value)  # type: ignore[arg-type]
    cells = [[*cell, *counts] for cell, counts in sorted(sums.items())]
    return EstimateSummary(sequence=sequence, cells=cells)


def _prior(class_index: int) -> float:
    """Return the prior probability of a good answer in a confidence class."""
    span = PRIOR_GOOD_HIGH - PRIOR_GOOD_LOW
    return PRIOR_GOOD_LOW + span * (class_index + 0.5) / CONFIDENCE_CLASSES


def _with_ancestors(
    cell: CalibrationCell,
) -> tuple[CalibrationCell, CalibrationCell, CalibrationCell, CalibrationCell]:
    """Return a cell and the coarser ones that contain it, finest first."""
    by_kind = cell._replace(length_class=-1)
    by_path = by_kind._replace(kind="")
    return cell, by_kind, by_path, by_path._replace(path=ANY_PATH)
