"""Test helpers: a clock that advances only when every task waits."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import anyio
from anyio.lowlevel import checkpoint


class FakeClock:
    """Clock that jumps to the next timer once all tasks are blocked.

    :param start: first value of :meth:`monotonic`, in seconds.
    """

    def __init__(self, start: float = 1_000.0) -> None:
        self._now = start
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def monotonic(self) -> float:
        """Return the fake time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the fake time as seconds since the Unix epoch."""
        return 1_800_000_000.0 + self._now

    def advance(self, seconds: float) -> None:
        """Advance time and fire the timers that are due."""
        self._now += seconds
        while self._timers and self._timers[0][0] <= self._now:
            heapq.heappop(self._timers)[2]()

    async def sleep(self, seconds: float) -> None:
        """Suspend the task until the fake time has advanced by some seconds."""
        if seconds <= 0:
            await checkpoint()
            return
        event = anyio.Event()
        self._add_timer(seconds, event.set)
        await event.wait()

    @contextmanager
    def timeout(self, seconds: float) -> Iterator[anyio.CancelScope]:
        """Cancel the body once the fake time has advanced by some seconds."""
        with anyio.CancelScope() as scope:
            self._add_timer(seconds, scope.cancel)
            yield scope

    async def run(self, function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
        """Run a coroutine function, advancing time whenever all tasks wait.

        :param function: the coroutine function.
        :param args: its arguments.
        :returns: what the function returns.
        """
        result: list[Any] = []

        async def call() -> None:
            result.append(await function(*args))
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(call)
            group.start_soon(self._advance_when_blocked)
        return result[0]

    async def _advance_when_blocked(self) -> None:
        while True:
            await _wait_until_idle()
            if not self._timers:
                await checkpoint()
                continue
            due = max(self._timers[0][0], self._now)
            self.advance(due - self._now)

    def _add_timer(self, seconds: float, action: Callable[[], None]) -> None:
        due = self._now + seconds
        heapq.heappush(self._timers, (due, next(self._sequence), action))


async def _wait_until_idle() -> None:
    """Wait until no other callback of the event loop is ready to run."""
    ready = asyncio.get_running_loop()._ready  # type: ignore[attr-defined]
    await checkpoint()
    while ready:
        await checkpoint()


def run_with_clock(
    clock: FakeClock, function: Callable[..., Awaitable[Any]], *args: Any
) -> Any:
    """Run a coroutine function in a new event loop under a fake clock.

    :param clock: the clock, which advances whenever all tasks wait.
    :param function: the coroutine function.
    :param args: its arguments.
    :returns: what the function returns.
    """
    return anyio.run(clock.run, function, *args)
