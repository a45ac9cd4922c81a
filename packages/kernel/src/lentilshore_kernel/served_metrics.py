"""Counters and histograms, served in the Prometheus text format."""

from __future__ import annotations

from typing import NamedTuple

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

DURATION_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)


class MetricFamily(NamedTuple):
    """Metrics that are served under one name and distinguished by a label.

    :param prefix: first part of the names passed to :meth:`ServedMetrics.count`; for a
        histogram the whole name passed to :meth:`ServedMetrics.observe`.
    :param name: name that is served.
    :param label: label that holds the rest of the name; empty for a histogram.
    :param help_text: what is counted or measured, with its unit.
    """

    prefix: str  # for a histogram the whole name
    name: str
    label: str
    help_text: str


COUNTERS = (
    MetricFamily(
        "request", "lentilshore_requests", "outcome", "Finished requests, by outcome"
    ),
    MetricFamily(
        "refusal", "lentilshore_refusals", "reason", "Refused requests, by reason"
    ),
    MetricFamily(
        "retry", "lentilshore_retries", "reason", "Retried attempts, by reason"
    ),
    MetricFamily(
        "attempt", "lentilshore_failed_attempts", "reason", "Failed attempts, by reason"
    ),
    MetricFamily(
        "answer.skipped",
        "lentilshore_skipped_answers",
        "cause",
        "Answers of replicas that were not taken for the request in flight, by cause",
    ),
    MetricFamily(
        "belief",
        "lentilshore_belief_changes",
        "change",
        "State changes seen by a node, by kind",
    ),
    MetricFamily(
        "store.call",
        "lentilshore_store_calls",
        "call",
        "Store calls, by kind and result",
    ),
    MetricFamily(
        "retry_denied",
        "lentilshore_denied_retries",
        "cause",
        "Attempts that failed and were not repeated, by cause",
    ),
    MetricFamily(
        "retry_pause",
        "lentilshore_retry_pauses",
        "end",
        "Pauses before a rejected request was tried again, by what ended them",
    ),
    MetricFamily(
        "attempt_kept",
        "lentilshore_kept_attempts",
        "cause",
        "Timeouts after which no other attempt took the place of the first, by cause",
    ),
    MetricFamily(
        "attempt_taken_up",
        "lentilshore_taken_up_attempts",
        "cause",
        "Attempts that took the place of silent ones, by what showed that they go on",
    ),
    MetricFamily(
        "retry_refunded",
        "lentilshore_refunded_retries",
        "cause",
        "Retries given back to the budget, by cause",
    ),
    MetricFamily(
        "crash",
        "lentilshore_replica_crashes",
        "moment",
        "Replicas that ended during a request, by the moment",
    ),
    MetricFamily(
        "store.failed",
        "lentilshore_store_failures",
        "part",
        "Failed reads of the store, by part",
    ),
    MetricFamily(
        "relay",
        "lentilshore_relay_calls",
        "outcome",
        "Calls between gateways, by outcome",
    ),
    MetricFamily(
        "forward",
        "lentilshore_forwarded_requests",
        "event",
        "Requests that one gateway serves in place of another, by event",
    ),
    MetricFamily(
        "rejection",
        "lentilshore_replica_rejections",
        "cause",
        "Requests that replicas rejected without running them, by cause",
    ),
    MetricFamily(
        "shortage",
        "lentilshore_shortage_decisions",
        "decision",
        "Decisions about requests while a service lacks capacity, by decision",
    ),
    MetricFamily(
        "limit",
        "lentilshore_replica_limits",
        "event",
        "Limits in answers of replicas, by what could not be done with them",
    ),
    MetricFamily(
        "room",
        "lentilshore_replica_room",
        "event",
        "Statements of replicas that bear few rejections, by what could not be done",
    ),
    MetricFamily(
        "placement",
        "lentilshore_placements",
        "scorer",
        "Replicas chosen for attempts, by how replicas were compared",
    ),
    MetricFamily(
        "work_news",
        "lentilshore_work_news",
        "event",
        "News of the work of replicas from other gateways, by what was done with them",
    ),
    MetricFamily(
        "pause",
        "lentilshore_replica_pauses",
        "event",
        "Pauses in answers of replicas, by what could not be done with them",
    ),
    MetricFamily(
        "closure",
        "lentilshore_data_centre_closures",
        "event",
        "Effects of closed data centres on requests, by event",
    ),
    MetricFamily(
        "task", "lentilshore_task_events", "event", "Errors of recurring tasks"
    ),
    MetricFamily(
        "bytes", "lentilshore_bytes", "direction", "Bytes of bodies, by direction"
    ),
    MetricFamily(
        "log", "lentilshore_log_lines", "outcome", "Log lines not written, by cause"
    ),
)
HISTOGRAMS = (
    MetricFamily(
        "request.first_s",
        "lentilshore_first_event_seconds",
        "",
        "Seconds from a request to its response or its first event",
    ),
    MetricFamily(
        "request.whole_s",
        "lentilshore_answer_seconds",
        "",
        "Seconds from a request to the end of its response",
    ),
    MetricFamily(
        "stream.pause_s",
        "lentilshore_longest_pause_seconds",
        "",
        "Longest pause between two events of a stream, in seconds",
    ),
    MetricFamily(
        "store.call_s",
        "lentilshore_store_call_seconds",
        "",
        "Duration of a read of the store in seconds, watches excluded",
    ),
)


class UnknownMetricError(KeyError):
    """A metric name belongs to no family."""


class ServedMetrics:
    """Collects metrics in the process until they are scraped."""

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
                family.name,
                family.help_text,
                registry=self._registry,
                buckets=DURATION_BUCKETS_S,
            )
            for family in HISTOGRAMS
        }

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter.

        :raises UnknownMetricError: if the name has the prefix of no family.
        """
        prefix, label_value = self._split(name)
        self._counters[prefix].labels(label_value).inc(by)

    def observe(self, name: str, value: float) -> None:
        """Record one observation, in seconds.

        :raises UnknownMetricError: if no histogram has this name.
        """
        if name not in self._histograms:
            raise UnknownMetricError(name)
        self._histograms[name].observe(value)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry).decode()

    def _split(self, name: str) -> tuple[str, str]:
        parts = name.split(".")
        # Prefixes of two parts, such as ``store.call``, come before those of one.
        for size in (2, 1):
            prefix = ".".join(parts[:size])
            if prefix in self._counters and len(parts) > size:
                return prefix, ".".join(parts[size:])
        raise UnknownMetricError(name)


def render_metrics_reference() -> str:
    """Return the documentation page that lists all metrics, as Markdown."""
    lines = ["# Metrics", "", "| counter | label | meaning |", "|---|---|---|"]
    lines += [f"| `{f.name}_total` | `{f.label}` | {f.help_text} |" for f in COUNTERS]
    lines += ["", "| histogram | meaning |", "|---|---|"]
    lines += [f"| `{f.name}` | {f.help_text} |" for f in HISTOGRAMS]
    return "\n".join(lines) + "\n"
