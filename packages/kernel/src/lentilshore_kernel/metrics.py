"""Counters and timings, gathered in the process and sent by statsd."""

from __future__ import annotations

import traceback
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from .clock import Clock
from .logs import log_event
from .types import Address, RefusalReason, RetryReason, StateChange

FLUSH_INTERVAL_S = 1.0
TIMINGS_KEPT = 4096
# Pause before a failed task starts again, so that it does not fill the log.
RESTART_DELAY_S = 0.5


class Metrics(Protocol):
    """Receiver of counters and timings."""

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""

    def observe(self, name: str, value: float) -> None:
        """Add one observation, such as a duration in milliseconds."""


class MetricsRecorder:
    """Gathers metrics in memory until they are flushed."""

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
        """Add one observation; past :data:`TIMINGS_KEPT` it is dropped."""
        if len(self._observations) < TIMINGS_KEPT:
            self._observations.append((name, value))

    def flush(self, client: Any) -> None:
        """Send what has gathered through a statsd client.

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

    :param recorder: gathers the metrics.
    :param clock: paces the sending.
    :param address: UDP address of the statsd server.
    """
    from statsd import StatsClient

    client = StatsClient(address.host, address.port, prefix="lentilshore")
    while True:
        await clock.sleep(FLUSH_INTERVAL_S)
        recorder.flush(client)


def record_task_failure(metrics: Metrics, error: Exception) -> None:
    """Count and log a failure of a recurring task, which goes on.

    :param metrics: receives the counter ``task.failed``.
    :param error: what was raised, an error that nobody foresaw.
    """
    metrics.count("task.failed")
    trace = "".join(traceback.format_exception(error))
    log_event("task_failed", error=type(error).__name__, trace=trace)


async def keep_running(
    task: Callable[[], Awaitable[None]], metrics: Metrics, clock: Clock
) -> None:
    """Run an endless task, and start it again after an error that nobody foresaw."""
    while True:
        try:
            await task()
        except Exception as error:  # noqa: BLE001
            record_task_failure(metrics, error)
        await clock.sleep(RESTART_DELAY_S)


def refusal_counter(reason: RefusalReason) -> str:
    """Return the counter name of a refusal reason."""
    return f"refusal.{reason.value}"


def state_change_counter(change: StateChange) -> str:
    """Return the counter name of a change of what a node holds to be so."""
    return f"belief.{change.value}"


def record_state_change(metrics: Metrics, change: StateChange, **fields: Any) -> None:
    """Log and count a change of what a node holds to be so.

    :param fields: what was seen, none of it secret.
    """
    metrics.count(state_change_counter(change))
    log_event(change.value, **fields)


def retry_counter(reason: RetryReason) -> str:
    """Return the counter name of a retry reason."""
    return f"retry.{reason.value}"
