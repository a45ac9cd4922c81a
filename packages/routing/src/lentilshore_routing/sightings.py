"""What nodes have seen of a candidate and its base, and whether it is worse."""

from __future__ import annotations

import math
from collections.abc import Iterable
from functools import reduce
from typing import NamedTuple

from .rollouts import Tally, excess_chance

# A candidate fails more if this many bad answers, from several replicas, or this many
# from any, are less likely than the chance beside them where it is no worse. A halt
# without need costs a repeated roll-out, a bad version left running costs answers.
FEWEST_BAD = 2
LIKELY_CHANCE = 0.05
CERTAIN_BAD = 6
CERTAIN_CHANCE = 0.0005
# In the last stage a candidate is slower if the logarithms of its times exceed the
# base's by this (1.6 times as long) and by this many standard errors: it has
# everything to do, and some prompts still to read for the first time.
SLOWER_BY = 0.5
SLOWER_ERRORS = 4.0
# Before that stage its replicas have little to do, so that it should be the quicker
# the more the base's times spread, which they do under load.
FIRST_SLOWER_BY = 0.2
FIRST_SPREAD_SHARE = 0.45
FIRST_SLOWER_ERRORS = 2.25
# Least spread that so few times are credited with.
LEAST_VARIANCE = 0.09
FEWEST_TIMES = 8
FEWEST_BASE_TIMES = 30


class Spread(NamedTuple):
    """Numbers of which only the mean and the variance matter.

    :param count: how many.
    :param total: their sum.
    :param squares: the sum of their squares.
    """

    count: int = 0
    total: float = 0.0
    squares: float = 0.0

    @property
    def mean(self) -> float:
        """Mean, 0 for none."""
        return self.total / self.count if self.count else 0.0

    @property
    def variance(self) -> float:
        """Variance, 0 for none."""
        if not self.count:
            return 0.0
        return max(0.0, self.squares / self.count - self.mean**2)

    def add(self, value: float) -> Spread:
        """Return the numbers with one more."""
        return self.join(Spread(1, value, value * value))

    def join(self, other: Spread) -> Spread:
        """Return the numbers with others."""
        return Spread(*(a + b for a, b in zip(self, other, strict=True)))


class Sightings(NamedTuple):
    """What one node has seen of a candidate and of its base.

    :param errors: failures among the candidate's answers.
    :param base_errors: failures among the base's answers.
    :param times: logarithms of the candidate's times as multiples of the usual.
    :param base_times: the same of the base.
    :param replicas: replicas of the candidate that failed.
    :param reports: reports that were due when this one was made.
    """

    errors: Tally = Tally()
    base_errors: Tally = Tally()
    times: Spread = Spread()
    base_times: Spread = Spread()
    replicas: tuple[str, ...] = ()
    reports: int = 0

    def join(self, other: Sightings) -> Sightings:
        """Return what two nodes have seen together."""
        return Sightings(
            _join(self.errors, other.errors),
            _join(self.base_errors, other.base_errors),
            self.times.join(other.times),
            self.base_times.join(other.base_times),
            tuple(sorted({*self.replicas, *other.replicas})),
            max(self.reports, other.reports),
        )


def is_worse(sightings: Iterable[Sightings], last_stage: bool) -> bool:
    """Tell whether a candidate fails more often than its base, or is slower.

    :param last_stage: whether it gets everything, rather than a small part.
    """
    seen = join_sightings(sightings)
    return _fails_more(seen) or _is_slower(seen.times, seen.base_times, last_stage)


def join_sightings(sightings: Iterable[Sightings]) -> Sightings:
    """Return what several nodes have seen together."""
    return reduce(Sightings.join, sightings, Sightings())


def _fails_more(seen: Sightings) -> bool:
    """Tell whether failures are more than chance.

    Few are enough where the base has next to none, but not if they all come from
    one replica, which may be at fault itself.
    """
    if seen.errors.bad < FEWEST_BAD:
        return False
    chance = excess_chance(seen.errors, seen.base_errors)
    if len(seen.replicas) > 1 and chance < LIKELY_CHANCE:
        return True
    return seen.errors.bad >= CERTAIN_BAD and chance < CERTAIN_CHANCE


def _is_slower(times: Spread, base: Spread, last_stage: bool) -> bool:
    if times.count < FEWEST_TIMES or base.count < FEWEST_BASE_TIMES:
        return False
    excess = times.mean - base.mean
    variance = max(times.variance, LEAST_VARIANCE)
    error = math.sqrt(variance / times.count + base.variance / base.count)
    if last_stage:
        return excess > max(SLOWER_BY, SLOWER_ERRORS * error)
    bound = FIRST_SLOWER_BY - FIRST_SPREAD_SHARE * math.sqrt(base.variance)
    return excess - bound > FIRST_SLOWER_ERRORS * error


def _join(one: Tally, other: Tally) -> Tally:
    return Tally(one.bad + other.bad, one.total + other.total)
