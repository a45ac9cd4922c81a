"""Whether this gateway's own calls of the platform's store succeed."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.exceptions import StoreError, StoreHistoryGoneError

T = TypeVar("T")

# After a failed call, the store is left alone for this time where another gateway
# answers instead.
STORE_PAUSE_S = 2.0


class StoreAccess:
    """Records how this gateway's calls of the store end.

    The store may refuse some gateways while it serves the others.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failed_at: float | None = None

    @property
    def failing(self) -> bool:
        """Whether the last call has failed."""
        return self._failed_at is not None

    @property
    def paused(self) -> bool:
        """Whether the last call has failed a short time ago."""
        failed_at = -math.inf if self._failed_at is None else self._failed_at
        return self._clock.monotonic() - failed_at < STORE_PAUSE_S

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
            raise
        self._failed_at = None
        return result
