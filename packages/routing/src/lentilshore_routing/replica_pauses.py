"""Pauses that replicas ask this node for when they turn requests away."""

from __future__ import annotations

import random
from collections.abc import Iterable

from lentilshore_kernel.clock import Clock

# Longest pause accepted; a longer one counts as this one.
MAX_PAUSE_S = 3600.0
# A pause is longer than asked for by up to this share, and by at most so many seconds,
# so that not all nodes return to a replica at once.
PAUSE_SPREAD_SHARE = 0.1
MAX_PAUSE_SPREAD_S = 0.5
# Pauses remembered, also of replicas that are not listed for a while.
MAX_PAUSES = 8192
# Longest retry delay, before it is spread: other nodes may not be asked to pause.
MAX_RETRY_AFTER_S = 2.0
# Retry delays are up to this share longer than the time that is left, and at least up
# to so many seconds, so that callers come back one after another.
RETRY_SPREAD_SHARE = 0.5
MIN_RETRY_SPREAD_S = 0.1


class ReplicaPauses:
    """Replicas that want nothing from this node for some time.

    :param clock: measures the pauses; must count time spent suspended.
    :param random_source: spreads their ends and the retry delays of callers.
    """

    def __init__(self, clock: Clock, random_source: random.Random) -> None:
        self._clock = clock
        self._random = random_source
        self._until: dict[str, float] = {}

    def pause(self, replica: str, duration_s: float) -> bool:
        """Pause a replica from now on.

        A pause is never shortened: each answer that asks for one binds until its own
        end, in whichever order answers arrive.

        :param duration_s: seconds from now; :data:`MAX_PAUSE_S` at most.
        :returns: whether the replica was not paused before.
        """
        now = self._clock.monotonic()
        duration_s = min(MAX_PAUSE_S, duration_s)
        spread_s = min(MAX_PAUSE_SPREAD_S, duration_s * PAUSE_SPREAD_SHARE)
        until = now + duration_s + spread_s * self._random.random()
        known = self._until.get(replica, now)
        self._until[replica] = max(known, until)
        self._forget_some(now)
        return known <= now < until

    def paused(self, replica: str) -> bool:
        """Return whether a replica wants nothing from this node now."""
        until = self._until.get(replica)
        return until is not None and until > self._clock.monotonic()

    def retry_after_s(self, replicas: Iterable[str]) -> float:
        """Return when a caller may come back whose request found only paused replicas.

        Callers are told different times.

        :param replicas: names of the paused replicas, at least one.
        :returns: seconds.
        """
        now = self._clock.monotonic()
        remaining_s = min(self._until[name] for name in replicas) - now
        remaining_s = min(MAX_RETRY_AFTER_S, max(0.0, remaining_s))
        spread_s = max(MIN_RETRY_SPREAD_S, remaining_s * RETRY_SPREAD_SHARE)
        return remaining_s + spread_s * self._random.random()

    def _forget_some(self, now: float) -> None:
        """Forget pauses that have ended, then those that end first, over the limit."""
        if len(self._until) <= MAX_PAUSES:
            return
        self._until = {
            name: until for name, until in self._until.items() if until > now
        }
        while len(self._until) > MAX_PAUSES:
            del self._until[min(self._until, key=self._until.__getitem__)]
