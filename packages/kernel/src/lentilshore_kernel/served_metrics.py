"""Counters and histograms, served as text in the common exposition format."""

from __future__ import annotations

from typing import NamedTuple

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

SECONDS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)


class Family(NamedTuple):
    """Metrics that share a name.

    :param prefix: how the names begin by which code counts.
    :param name: name that is served.
    :param label: what the rest of the name says; empty where there is no rest.
    :param help_text: what is counted or measured, with its unit.
    """

    prefix: str
    name: str
    label: str
    help_text: str


COUNTERS = (
    Family("request", "lentilshore_requests", "outcome", "Requests ended, by outcome"),
    Family("refusal", "lentilshore_refusals", "reason", "Requests refused, by reason"),
    Family("retry", "lentilshore_retries", "reason", "Attempts repeated, by reason"),
    Family(
        "attempt", "lentilshore_failed_attempts", "reason", "Attempts failed, by reason"
    ),
    Family(
        "belief", "lentilshore_belief_changes", "change", "Changes of what a node holds"
    ),
    Family("store.call", "lentilshore_store_calls", "call", "Calls of the store"),
    Family(
        "store.failed", "lentilshore_store_failures", "part", "Failed reads, by part"
    ),
    Family("task", "lentilshore_task_events", "event", "Failures of recurring tasks"),
    Family("bytes", "lentilshore_bytes", "direction", "Bytes of bodies"),
    Family("log", "lentilshore_log_lines", "outcome", "Log lines not written"),
)
HISTOGRAMS = (
    Family(
        "request.first_s",
        "lentilshore_first_event_seconds",
        "",
        "Seconds from a request to its answer or its first event",
    ),
    Family(
        "request.whole_s",
        "lentilshore_answer_seconds",
        "",
        "Seconds from a request to the end of its answer",
    ),
    Family(
        "stream.pause_s",
        "lentilshore_longest_pause_seconds",
        "",
        "Seconds of a stream's longest pause between events",
    ),
    Family(
        "store.call_s",
        "lentilshore_store_call_seconds",
        "",
        "Seconds that a call of the store took, waits left out",
    ),
)


class UnknownMetricError(KeyError):
    """Code counts under a name that no family has."""


class ServedMetrics:
    """Gathers metrics in the process until they are asked for."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._counters = {
            family.prefix: Counter(
                family.name, family.help_text, [family.label], registry=self._registry
            )
            for family in COUNTERS
        }
        self._histograms = {
            family.prefix: Histogram(
                family.name, family.help_text, registry=self._registry, buckets=SECONDS
            )
            for family in HISTOGRAMS
        }

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter.

        :raises UnknownMetricError: if no family begins like the name.
        """
        prefix, value = self._split(name)
        self._counters[prefix].labels(value).inc(by)

    def observe(self, name: str, value: float) -> None:
        """Add one observation, in seconds.

        :raises UnknownMetricError: if there is no such histogram.
        """
        if name not in self._histograms:
            raise UnknownMetricError(name)
        self._histograms[name].observe(value)

    def render(self) -> str:
        """Return all metrics as text."""
        return generate_latest(self._registry).decode()

    def _split(self, name: str) -> tuple[str, str]:
        parts = name.split(".")
        for size in (2, 1):
            prefix = ".".join(parts[:size])
            if prefix in self._counters and len(parts) > size:
                return prefix, ".".join(parts[size:])
        raise UnknownMetricError(name)


def render_metrics() -> str:
    """Return the page of metrics as Markdown."""
    lines = ["# Metrics", "", "| counter | label | meaning |", "|---|---|---|"]
    lines += [f"| `{f.name}_total` | `{f.label}` | {f.help_text} |" for f in COUNTERS]
    lines += ["", "| histogram | meaning |", "|---|---|"]
    lines += [f"| `{f.name}` | {f.help_text} |" for f in HISTOGRAMS]
    return "\n".join(lines) + "\n"
