"""Observations of a candidate and its base, and a test of whether it is worse."""

from __future__ import annotations

import math
from collections.abc import Iterable
from functools import reduce
from typing import NamedTuple

from .rollouts import Tally, excess_p_value

# A candidate fails more often than its base if at least MIN_FAILURES failures, from
# several replicas, have a p-value below MAX_P_VALUE, or if at least
# SINGLE_REPLICA_MIN_FAILURES, from any replica, have one below
# SINGLE_REPLICA_MAX_P_VALUE. A false halt costs a repeated roll-out; a bad version
# left running costs answers.
MIN_FAILURES = 2
MAX_P_VALUE = 0.05
SINGLE_REPLICA_MIN_FAILURES = 6
SINGLE_REPLICA_MAX_P_VALUE = 0.0005
# In the last stage a candidate is slower if its mean log latency exceeds the base's by
# this (1.6 times as long) and by this many standard errors. The margin allows for the
# full load that it carries and for prompts that it has not cached yet.
LAST_STAGE_MIN_LOG_EXCESS = 0.5
LAST_STAGE_STANDARD_ERRORS = 4.0
# Before the last stage the candidate's replicas are lightly loaded and should be
# faster than the base. The allowed excess therefore falls with the standard deviation
# of the base's log latencies, which grows under load.
EARLY_STAGE_LOG_EXCESS = 0.2
EARLY_STAGE_DEVIATION_FACTOR = 0.45
EARLY_STAGE_STANDARD_ERRORS = 2.25
# Raises the candidate's variance to at least this: a few latencies may agree by chance.
MIN_VARIANCE = 0.09
MIN_LATENCIES = 8
MIN_BASE_LATENCIES = 30
# Before the last stage a candidate is clearly as fast as its base if its mean log
# latency stays below this by two standard errors. A version that takes three times as
# long for half of its answers seems as fast as a loaded base then.
CLEAR_LOG_EXCESS = 0.2
CLEAR_DEVIATION_FACTOR = 0.75
CLEAR_STANDARD_ERRORS = 2.0
MIN_CLEAR_LATENCIES = 20
# On trial, with all traffic, a candidate must be about as fast as its base.
TRIAL_MAX_LOG_EXCESS = 0.1
MIN_TRIAL_LATENCIES = 30


class Moments(NamedTuple):
    """Running sums of a sample, from which its mean and variance follow.

    :param count: number of values.
    :param total: sum of the values.
    :param sum_of_squares: sum of the squared values.
    """

    count: int = 0
    total: float = 0.0
    sum_of_squares: float = 0.0

    @property
    def mean(self) -> float:
        """Mean of the values, 0 if there are none."""
        return self.total / self.count if self.count else 0.0

    @property
    def variance(self) -> float:
        """Variance of the values, 0 if there are none."""
        if not self.count:
            return 0.0
        return max(0.0, self.sum_of_squares / self.count - self.mean**2)

    def add(self, value: float) -> Moments:
        """Return the moments with one more value."""
        return self.merge(Moments(1, value, value * value))

    def merge(self, other: Moments) -> Moments:
        """Return the moments of both samples together."""
        return Moments(*(a + b for a, b in zip(self, other, strict=True)))


class Observations(NamedTuple):
    """Answers of a candidate and of its base as one node has observed them.

    :param errors: failures among the candidate's answers.
    :param base_errors: failures among the base's answers.
    :param log_latencies: natural logarithms of the candidate's latencies, as multiples
        of the :class:`.version_evidence.LatencyBaseline` of the node.
    :param base_log_latencies: the same for the base.
    :param failed_replicas: replicas of the candidate that returned failures.
    :param reports_due: number of the roll-out's scheduled reports that were due when
        the node reported these observations.
    """

    errors: Tally = Tally()
    base_errors: Tally = Tally()
    log_latencies: Moments = Moments()
    base_log_latencies: Moments = Moments()
    failed_replicas: tuple[str, ...] = ()
    reports_due: int = 0

    def merge(self, other: Observations) -> Observations:
        """Return the observations of both nodes together."""
        return Observations(
            _merge_tallies(self.errors, other.errors),
            _merge_tallies(self.base_errors, other.base_errors),
            self.log_latencies.merge(other.log_latencies),
            self.base_log_latencies.merge(other.base_log_latencies),
            tuple(sorted({*self.failed_replicas, *other.failed_replicas})),
            max(self.reports_due, other.reports_due),
        )


def is_worse(observations: Iterable[Observations], last_stage: bool) -> bool:
    """Return whether a candidate fails more often than its base, or is slower.

    :param observations: observations of each node.
    :param last_stage: whether the candidate receives all traffic, not a small share.
    """
    merged = merge_observations(observations)
    return _fails_more_often(merged) or _is_slower(
        merged.log_latencies, merged.base_log_latencies, last_stage
    )


def is_clearly_as_fast(observations: Iterable[Observations]) -> bool:
    """Return whether a candidate with little load is as fast as its loaded base.

    :param observations: observations of each node before the candidate's trial.
    """
    merged = merge_observations(observations)
    candidate, base = merged.log_latencies, merged.base_log_latencies
    if candidate.count < MIN_CLEAR_LATENCIES or base.count < MIN_BASE_LATENCIES:
        return False
    limit = CLEAR_LOG_EXCESS - CLEAR_DEVIATION_FACTOR * math.sqrt(base.variance)
    error = CLEAR_STANDARD_ERRORS * _standard_error(candidate, base)
    return candidate.mean - base.mean + error < limit


def is_slower_on_trial(observations: Iterable[Observations]) -> bool:
    """Return whether a candidate that receives all traffic is slower than its base.

    :param observations: observations of each node, with the candidate's latencies
        during its trial only.
    """
    merged = merge_observations(observations)
    candidate, base = merged.log_latencies, merged.base_log_latencies
    if candidate.count < MIN_LATENCIES or base.count < MIN_BASE_LATENCIES:
        return False
    return candidate.mean - base.mean > TRIAL_MAX_LOG_EXCESS


def count_latencies(observations: Iterable[Observations]) -> int:
    """Return the number of the candidate's latencies that all nodes have observed."""
    return merge_observations(observations).log_latencies.count


def merge_observations(observations: Iterable[Observations]) -> Observations:
    """Return the observations of several nodes together."""
    return reduce(Observations.merge, observations, Observations())


def _fails_more_often(merged: Observations) -> bool:
    """Return whether the candidate's excess of failures is statistically significant.

    A few failures are enough where the base has almost none, but not if they all
    come from one replica: the fault may be the replica's and not the version's.
    """
    if merged.errors.bad < MIN_FAILURES:
        return False
    p_value = excess_p_value(merged.errors, merged.base_errors)
    if len(merged.failed_replicas) > 1 and p_value < MAX_P_VALUE:
        return True
    return (
        merged.errors.bad >= SINGLE_REPLICA_MIN_FAILURES
        and p_value < SINGLE_REPLICA_MAX_P_VALUE
    )


def _is_slower(candidate: Moments, base: Moments, last_stage: bool) -> bool:
    if candidate.count < MIN_LATENCIES or base.count < MIN_BASE_LATENCIES:
        return False
    excess = candidate.mean - base.mean
    standard_error = _standard_error(candidate, base)
    if last_stage:
        return excess > max(
            LAST_STAGE_MIN_LOG_EXCESS, LAST_STAGE_STANDARD_ERRORS * standard_error
        )
    allowed = EARLY_STAGE_LOG_EXCESS - EARLY_STAGE_DEVIATION_FACTOR * math.sqrt(
        base.variance
    )
    return excess - allowed > EARLY_STAGE_STANDARD_ERRORS * standard_error


def _standard_error(candidate: Moments, base: Moments) -> float:
    """Return the standard error of the difference of two means."""
    variance = max(candidate.variance, MIN_VARIANCE)
    return math.sqrt(variance / candidate.count + base.variance / base.count)


def _merge_tallies(first: Tally, second: Tally) -> Tally:
    return Tally(first.bad + second.bad, first.total + second.total)
