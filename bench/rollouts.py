"""Exposure to bad versions under the production halt test and an ideal test."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

from lentilshore_routing.rollouts import (
    FALSE_HALT_RATE,
    ExposureBudget,
    OutcomeTallies,
    evaluate_candidate,
)

BASE_BAD_RATE = 0.08
CANDIDATE_BAD_RATES = (0.2, 0.3, 0.5)
BASE_RATINGS = 5_000
MAX_RATINGS = 3_000
CUSTOMERS = 10
MAX_UNRATED = 50
RATING_LAG_REQUESTS = 400

# Returns the rate of bad answers for a request's number and its customer's.
BadRate = Callable[[int, int], float]


def bench_rollouts(seeds: Sequence[int], runs: int) -> dict[str, float]:
    """Return the roll-out figures.

    :param seeds: seeds; each generates ``runs`` roll-outs of each scenario, and
        four times as many of a good version.
    :param runs: roll-outs per seed and scenario.
    """
    exposures, ideals = [], []
    for rate in CANDIDATE_BAD_RATES:
        for seed, rng in _create_rngs(seeds, runs):
            outcomes = _create_outcomes(rng, lambda n, c, r=rate: r)
            exposures.append(requests_until_halt(outcomes, seed))
            ideals.append(_ideal_requests_until_halt(outcomes, rate))
    good_runs = 4 * runs
    false_halts = sum(
        requests_until_halt(_create_outcomes(rng, lambda n, c: BASE_BAD_RATE), seed)
        < MAX_RATINGS
        for seed, rng in _create_rngs(seeds, good_runs)
    )
    slow_exposures, one_customer_exposures = [], []
    for seed, rng in _create_rngs(seeds, runs):
        slow_outcomes = _create_outcomes(
            rng, lambda n, c: min(0.5, BASE_BAD_RATE + n / 1_000)
        )
        slow_exposures.append(requests_until_halt(slow_outcomes, seed))
        one_customer_outcomes = _create_outcomes(
            rng, lambda n, c: 0.6 if c == 3 else BASE_BAD_RATE
        )
        one_customer_exposures.append(requests_until_halt(one_customer_outcomes, seed))
    return {
        "bad_version_exposure_requests": _mean(exposures),
        "ideal_exposure_requests": _mean(ideals),
        "exposure_vs_ideal_ratio": _mean(exposures) / _mean(ideals),
        "false_halt_share": false_halts / (good_runs * len(seeds)),
        "slowly_bad_exposure_requests": _mean(slow_exposures),
        "one_customer_bad_exposure_requests": _mean(one_customer_exposures),
        "ungraded_peak_requests": float(_peak_unrated(seeds[0])),
    }


def requests_until_halt(outcomes: Sequence[tuple[int, bool]], seed: int) -> int:
    """Return the rated answers that a candidate serves before it is halted.

    :param outcomes: customer of each rated answer and whether it is bad.
    :param seed: seed of the ratings of the base.
    :returns: the number of rated answers; all of them if it is never halted.
    """
    tallies = _create_base_tallies(seed)
    for count, (customer, bad) in enumerate(outcomes, 1):
        tallies.add("m@2", "rating", f"c{customer}", bad)
        if bad and evaluate_candidate(tallies, "m@1", "m@2").halt:
            return count
    return len(outcomes)


def _create_base_tallies(seed: int) -> OutcomeTallies:
    rng = random.Random(seed)
    tallies = OutcomeTallies()
    for index in range(BASE_RATINGS):
        bad = rng.random() < BASE_BAD_RATE
        tallies.add("m@1", "rating", f"c{index % CUSTOMERS}", bad)
    return tallies


def _create_outcomes(rng: random.Random, bad_rate: BadRate) -> list[tuple[int, bool]]:
    outcomes = []
    for number in range(MAX_RATINGS):
        customer = rng.randrange(CUSTOMERS)
        outcomes.append((customer, rng.random() < bad_rate(number, customer)))
    return outcomes


def _ideal_requests_until_halt(
    outcomes: Sequence[tuple[int, bool]], candidate_bad_rate: float
) -> int:
    """Return the rated answers before the ideal test halts a candidate.

    The test is a sequential likelihood ratio test that knows the bad rates of base
    and candidate and has the same false halt rate as the production test.
    """
    log_likelihood_ratio, threshold = 0.0, math.log(1 / FALSE_HALT_RATE)
    for count, (_, bad) in enumerate(outcomes, 1):
        likelihood_ratio = (
            candidate_bad_rate / BASE_BAD_RATE
            if bad
            else (1 - candidate_bad_rate) / (1 - BASE_BAD_RATE)
        )
        log_likelihood_ratio += math.log(likelihood_ratio)
        if log_likelihood_ratio >= threshold:
            return count
    return len(outcomes)


def _peak_unrated(seed: int) -> int:
    """Return the peak number of unrated answers while ratings lag far behind."""
    rng = random.Random(seed)
    budget = ExposureBudget()
    budget.set_limits({"m@2": MAX_UNRATED})
    pending: list[tuple[int, str]] = []
    peak = 0
    for number in range(10 * RATING_LAG_REQUESTS):
        while pending and pending[0][0] <= number:
            budget.release(pending.pop(0)[1])
        request_id = f"r{number}"
        if budget.admit("m@2", request_id, rng.random() < 0.5):
            pending.append((number + RATING_LAG_REQUESTS, request_id))
        peak = max(peak, budget.unrated_count("m@2"))
    return peak


def _create_rngs(seeds: Sequence[int], runs: int) -> list[tuple[int, random.Random]]:
    run_seeds = [seed * 100_000 + run for seed in seeds for run in range(runs)]
    return [(run_seed, random.Random(run_seed)) for run_seed in run_seeds]


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)
