"""What nodes have seen of a candidate and its base, and whether it is worse."""

from __future__ import annotations

import math
from collections.abc import Iterable
from functools import reduce
from typing import NamedTuple

from .rollouts import Tally, excess_p_value

# A candidate fails more if this many bad answers, from several replicas, or this many
# from any, are less likely than the chance beside them where it is no worse. A halt
# without need costs a repeated roll-out, a bad version left running costs answers.
MIN_FAILURES = 2
MAX_P_VALUE = 0.05
SINGLE_REPLICA_MIN_FAILURES = 6
SINGLE_REPLICA_MAX_P_VALUE = 0.0005
# In the last stage a candidate is slower if the logarithms of its times exceed the
# base's by this (1.6 times as long) and by this many standard errors: it has
# everything to do, and some prompts still to read for the first time.
LAST_STAGE_MIN_LOG_EXCESS = 0.5
LAST_STAGE_STANDARD_ERRORS = 4.0
# Before that stage its replicas have little to do, so that it should be the quicker
# the more the base's times spread, which they do under load.
EARLY_STAGE_LOG_EXCESS = 0.2
EARLY_STAGE_DEVIATION_FACTOR = 0.45
EARLY_STAGE_STANDARD_ERRORS = 2.25
# Least spread that so few times are credited with.
MIN_VARIANCE = 0.09
MIN_LATENCIES = 8
MIN_BASE_LATENCIES = 30


class Moments(NamedTuple):
    """Numbers of which only the mean and the variance matter.

    :param count: how many.
    :param total: their sum.
    :param sum_of_squares: the sum of their squares.
    """

    count: int = 0
    total: float = 0.0
    sum_of_squares: float = 0.0

    @property
    def mean(self) -> float:
        """Mean, 0 for none."""
        return self.total / self.count if self.count else 0.0

    @property
    def variance(self) -> float:
        """Variance, 0 for none."""
        if not self.count:
            return 0.0
        return max(0.0, self.sum_of_squares / self.count - self.mean**2)

    def add(self, value: float) -> Moments:
        """Return the numbers with one more."""
        return self.merge(Moments(1, value, value * value))

    def merge(self, other: Moments) -> Moments:
        """Return the numbers with others."""
        return Moments(*(a + b for a, b in zip(self, other, strict=True)))


class Observations(NamedTuple):
    """What one node has seen of a candidate and of its base.

    :param errors: failures among the candidate's answers.
    :param base_errors: failures among the base's answers.
    :param log_latencies: logarithms of the candidate's times as multiples of the usual.
    :param base_log_latencies: the same of the base.
    :param failed_replicas: replicas of the candidate that failed.
    :param reports_due: reports that were due when this one was made.
    """

    errors: Tally = Tally()
    base_errors: Tally = Tally()
    log_latencies: Moments = Moments()
    base_log_latencies: Moments = Moments()
    failed_replicas: tuple[str, ...] = ()
    reports_due: int = 0

    def merge(self, other: Observations) -> Observations:
        """Return what two nodes have seen together."""
        return Observations(
            _join(self.errors, other.errors),
            _join(self.base_errors, other.base_errors),
            self.log_latencies.merge(other.log_latencies),
            self.base_log_latencies.merge(other.base_log_latencies),
            tuple(sorted({*self.failed_replicas, *other.failed_replicas})),
            max(self.reports_due, other.reports_due),
        )


def is_worse(observations: Iterable[Observations], last_stage: bool) -> bool:
    """Tell whether a candidate fails more often than its base, or is slower.

    :param last_stage: whether it gets everything, rather than a small part.
    """
    seen = merge_observations(observations)
    return _fails_more(seen) or _is_slower(
        seen.log_latencies, seen.base_log_latencies, last_stage
    )


def merge_observations(observations: Iterable[Observations]) -> Observations:
    """Return what several nodes have seen together."""
    return reduce(Observations.merge, observations, Observations())


def _fails_more(seen: Observations) -> bool:
    """Tell whether failures are more than chance.

    Few are enough where the base has next to none, but not if they all come from
    one replica, which may be at fault itself.
    """
    if seen.errors.bad < MIN_FAILURES:
        return False
    chance = excess_p_value(seen.errors, seen.base_errors)
    if len(seen.failed_replicas) > 1 and chance < MAX_P_VALUE:
        return True
    return (
        seen.errors.bad >= SINGLE_REPLICA_MIN_FAILURES
        and chance < SINGLE_REPLICA_MAX_P_VALUE
    )


def _is_slower(times: Moments, base: Moments, last_stage: bool) -> bool:
    if times.count < MIN_LATENCIES or base.count < MIN_BASE_LATENCIES:
        return False
    excess = times.mean - base.mean
    variance = max(times.variance, MIN_VARIANCE)
    error = math.sqrt(variance / times.count + base.variance / base.count)
    if last_stage:
        return excess > max(
            LAST_STAGE_MIN_LOG_EXCESS, LAST_STAGE_STANDARD_ERRORS * error
        )
    bound = EARLY_STAGE_LOG_EXCESS - EARLY_STAGE_DEVIATION_FACTOR * math.sqrt(
        base.variance
    )
    return excess - bound > EARLY_STAGE_STANDARD_ERRORS * error


def _join(one: Tally, other: Tally) -> Tally:
    return Tally(one.bad + other.bad, one.total + other.total)
