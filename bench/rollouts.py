"""Exposure to bad versions: the production test against an ideal one."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

from lentilshore_routing.rollouts import (
    FALSE_HALT_RATE,
    EvidenceBook,
    ExposureBudget,
    evaluate_candidate,
)

BASE_BAD = 0.08
BAD_RATES = (0.2, 0.3, 0.5)
BASE_RATINGS = 5_000
LIMIT_RATINGS = 3_000
CUSTOMERS = 10
UNGRADED_BUDGET = 50
RATING_LAG_REQUESTS = 400

Rate = Callable[[int, int], float]


def bench_rollouts(seeds: Sequence[int], runs: int) -> dict[str, float]:
    """Return the keys of this part.

    :param seeds: seeds; each makes ``runs`` roll-outs of each sort.
    :param runs: roll-outs of each sort.
    """
    exposures, ideals = [], []
    for rate in BAD_RATES:
        for number, source in _sources(seeds, runs):
            outcomes = _outcomes(source, lambda n, c, r=rate: r)
            exposures.append(requests_until_halt(outcomes, number))
            ideals.append(_ideal_requests(outcomes, rate))
    good_runs = 4 * runs
    false_halts = sum(
        requests_until_halt(_outcomes(source, lambda n, c: BASE_BAD), number)
        < LIMIT_RATINGS
        for number, source in _sources(seeds, good_runs)
    )
    slow, one = [], []
    for number, source in _sources(seeds, runs):
        slowly = _outcomes(source, lambda n, c: min(0.5, BASE_BAD + n / 1_000))
        slow.append(requests_until_halt(slowly, number))
        single = _outcomes(source, lambda n, c: 0.6 if c == 3 else BASE_BAD)
        one.append(requests_until_halt(single, number))
    return {
        "bad_version_exposure_requests": _mean(exposures),
        "ideal_exposure_requests": _mean(ideals),
        "exposure_vs_ideal_ratio": _mean(exposures) / _mean(ideals),
        "false_halt_share": false_halts / (good_runs * len(seeds)),
        "slowly_bad_exposure_requests": _mean(slow),
        "one_customer_bad_exposure_requests": _mean(one),
        "ungraded_peak_requests": float(_ungraded_peak(seeds[0])),
    }


def requests_until_halt(outcomes: Sequence[tuple[int, bool]], number: int) -> int:
    """Return how many rated answers a candidate gives before it is halted."""
    book = _base_book(number)
    for count, (customer, bad) in enumerate(outcomes, 1):
        book.add("m@2", "rating", f"c{customer}", bad)
        if bad and evaluate_candidate(book, "m@1", "m@2").halt:
            return count
    return len(outcomes)


def _base_book(number: int) -> EvidenceBook:
    source = random.Random(number)
    book = EvidenceBook()
    for index in range(BASE_RATINGS):
        bad = source.random() < BASE_BAD
        book.add("m@1", "rating", f"c{index % CUSTOMERS}", bad)
    return book


def _outcomes(source: random.Random, rate: Rate) -> list[tuple[int, bool]]:
    found = []
    for number in range(LIMIT_RATINGS):
        customer = source.randrange(CUSTOMERS)
        found.append((customer, source.random() < rate(number, customer)))
    return found


def _ideal_requests(outcomes: Sequence[tuple[int, bool]], rate: float) -> int:
    """Return when a test that knows both rates halts, at the same false rate."""
    evidence, threshold = 0.0, math.log(1 / FALSE_HALT_RATE)
    for count, (_, bad) in enumerate(outcomes, 1):
        ratio = rate / BASE_BAD if bad else (1 - rate) / (1 - BASE_BAD)
        evidence += math.log(ratio)
        if evidence >= threshold:
            return count
    return len(outcomes)


def _ungraded_peak(seed: int) -> int:
    """Return the most ungraded answers while ratings lag by far."""
    source = random.Random(seed)
    budget = ExposureBudget()
    budget.set_limits({"m@2": UNGRADED_BUDGET})
    pending: list[tuple[int, str]] = []
    peak = 0
    for number in range(10 * RATING_LAG_REQUESTS):
        while pending and pending[0][0] <= number:
            budget.grade(pending.pop(0)[1])
        request = f"r{number}"
        if budget.admit("m@2", request, source.random() < 0.5):
            pending.append((number + RATING_LAG_REQUESTS, request))
        peak = max(peak, budget.ungraded("m@2"))
    return peak


def _sources(seeds: Sequence[int], runs: int) -> list[tuple[int, random.Random]]:
    numbers = [seed * 100_000 + run for seed in seeds for run in range(runs)]
    return [(number, random.Random(number)) for number in numbers]


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)
