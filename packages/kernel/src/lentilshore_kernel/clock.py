"""Source of time, behind a protocol so that tests can replace it."""

from __future__ import annotations

import time
from contextlib import AbstractContextManager
from typing import Protocol

import anyio


class Clock(Protocol):
    """Source of time, waits and timeouts."""

    def monotonic(self) -> float:
        """Return seconds since some fixed point; the value never decreases."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""

    async def sleep(self, seconds: float) -> None:
        """Suspend the task for some seconds."""

    def timeout(self, seconds: float) -> AbstractContextManager[anyio.CancelScope]:
        """Return a context that cancels its body after some seconds."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since boot, including time that the machine was suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Suspend the task for some seconds."""
        await anyio.sleep(seconds)

    def timeout(self, seconds: float) -> AbstractContextManager[anyio.CancelScope]:
        """Return a context that cancels its body after some seconds."""
        return anyio.move_on_after(seconds)
