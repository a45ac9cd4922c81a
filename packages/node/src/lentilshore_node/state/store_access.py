"""Whether this gateway's own calls of the platform's store succeed."""

from __future__ import annotations

import math
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.exceptions import StoreError, StoreHistoryGoneError

T = TypeVar("T")

# After a failed call, the store is left alone for this time where another gateway
# answers instead.
STORE_PAUSE_S = 2.0
# Mean time after a failed call for which a gateway leaves the store alone that another
# one tells of the store's return, and its spread.
FOLLOWER_BACKOFF_S = 1.5
FOLLOWER_BACKOFF_JITTER = 0.5


class StoreAccess:
    """Records how this gateway's calls of the store end.

    The store may refuse some gateways while it serves the others.

    :param clock: source of time.
    :param random_source: spreads the calls of gateways that follow another one.
    """

    def __init__(self, clock: Clock, random_source: random.Random) -> None:
        self._clock = clock
        self._random = random_source
        self._failed_at: float | None = None
        self._backs_off_until = -math.inf

    @property
    def failing(self) -> bool:
        """Whether the last call has failed, and no reader has been reached since."""
        return self._failed_at is not None

    @property
    def paused(self) -> bool:
        """Whether the last call has failed a short time ago."""
        failed_at = -math.inf if self._failed_at is None else self._failed_at
        return self._clock.monotonic() - failed_at < STORE_PAUSE_S

    @property
    def backing_off(self) -> bool:
        """Whether the store is left alone if another gateway tells of its return."""
        return self.failing and self._clock.monotonic() < self._backs_off_until

    def record_relayed_answer(self) -> None:
        """Record that a gateway that reaches the store has told this one of it."""
        self._failed_at = None

    async def call(self, operation: Callable[[], Awaitable[T]]) -> T:
        """Make a call, and record how it ends.

        :param operation: makes the call.
        :raises StoreError: if the call does.
        """
        try:
            result = await operation()
        except StoreHistoryGoneError:
            self._failed_at = None
            raise
        except StoreError:
            self._failed_at = self._clock.monotonic()
            jitter = FOLLOWER_BACKOFF_JITTER * (2.0 * self._random.random() - 1.0)
            backoff_s = FOLLOWER_BACKOFF_S * (1.0 + jitter)
            self._backs_off_until = self._failed_at + backoff_s
            raise
        self._failed_at = None
        return result
