"""Counters and timings, collected in the process and sent over statsd."""

from __future__ import annotations

import traceback
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from .clock import Clock
from .logs import log_event
from .types import Address, RefusalReason, RetryDenial, RetryReason, StateChange

FLUSH_INTERVAL_S = 1.0
MAX_PENDING_OBSERVATIONS = 4096
# Delays the restart of a failed task, so that repeated failures do not flood the log.
TASK_RESTART_DELAY_S = 0.5


class Metrics(Protocol):
    """Receiver of counters and timings."""

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""

    def observe(self, name: str, value: float) -> None:
        """Record one observation, such as a duration in the unit that ends the name."""


class MetricsRecorder:
    """Collects metrics in memory until they are flushed."""

    def __init__(self) -> None:
        self._totals: Counter[str] = Counter()
        self._pending: Counter[str] = Counter()
        self._observations: list[tuple[str, float]] = []

    @property
    def totals(self) -> dict[str, int]:
        """Counter values since the process started."""
        return dict(self._totals)

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._totals[name] += by
        self._pending[name] += by

    def observe(self, name: str, value: float) -> None:
        """Record one observation.

        Past :data:`MAX_PENDING_OBSERVATIONS` since the last flush it is dropped.
        """
        if len(self._observations) < MAX_PENDING_OBSERVATIONS:
            self._observations.append((name, value))

    def flush(self, client: Any) -> None:
        """Send the metrics collected since the last flush through a statsd client.

        :param client: a ``statsd.StatsClient``.
        """
        with client.pipeline() as pipeline:
            for name, value in self._pending.items():
                pipeline.incr(name, value)
            for name, value in self._observations:
                pipeline.timing(name, value)
        self._pending.clear()
        self._observations.clear()


async def flush_forever(
    recorder: MetricsRecorder, clock: Clock, address: Address
) -> None:
    """Send metrics to a statsd server once a second.

    :param recorder: collects the metrics.
    :param clock: source of time.
    :param address: UDP address of the statsd server.
    """
    from statsd import StatsClient

    client = StatsClient(address.host, address.port, prefix="lentilshore")
    while True:
        await clock.sleep(FLUSH_INTERVAL_S)
        recorder.flush(client)


def record_task_failure(metrics: Metrics, error: Exception) -> None:
    """Count and log an unexpected error of a recurring task, which continues.

    :param metrics: receives the counter ``task.failed``.
    :param error: the unexpected error.
    """
    metrics.count("task.failed")
    trace = "".join(traceback.format_exception(error))
    log_event("task_failed", error=type(error).__name__, trace=trace)


async def keep_running(
    task: Callable[[], Awaitable[None]], metrics: Metrics, clock: Clock
) -> None:
    """Run an endless task and restart it after an unexpected error.

    :param task: the task, as a coroutine function without arguments.
    :param metrics: counts the errors.
    :param clock: source of time.
    """
    while True:
        try:
            await task()
        except Exception as error:  # noqa: BLE001
            record_task_failure(metrics, error)
        await clock.sleep(TASK_RESTART_DELAY_S)


def refusal_counter(reason: RefusalReason) -> str:
    """Return the counter name of a refusal reason."""
    return f"refusal.{reason.value}"


def state_change_counter(change: StateChange) -> str:
    """Return the counter name of a state change."""
    return f"belief.{change.value}"


def record_state_change(metrics: Metrics, change: StateChange, **fields: Any) -> None:
    """Count and log a change in what a node knows of the fleet and of itself.

    :param metrics: receives the counter of the change.
    :param change: kind of the change; its value is the name of the event.
    :param fields: keys and values of the log line, none of them secret.
    """
    metrics.count(state_change_counter(change))
    log_event(change.value, **fields)


def retry_denial_counter(denial: RetryDenial) -> str:
    """Return the counter name of what denies a retry."""
    return f"retry_denied.{denial.value}"


def retry_counter(reason: RetryReason) -> str:
    """Return the counter name of a retry reason."""
    return f"retry.{reason.value}"
