"""Commands that read nodes' log files: a request's events, and counts of reasons."""

from __future__ import annotations

import shlex
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, NamedTuple

import cappa

from lentilshore_kernel.exceptions import LentilshoreError, UsageError

from .output import OutputFormat, print_rows

EVENT_START = "time="
HIDDEN_FIELDS = ("time", "event", "task", "request")
# Fields that state the reason, by event that ``reasons`` counts.
REASON_FIELDS: Mapping[str, tuple[str, ...]] = {
    "request_refused": ("reason", "execution", "status"),
    "request_failed": ("error",),
    "attempt_failed": ("reason", "execution"),
    "store_lost": ("part",),
    "replica_rested": ("unreachable",),
}

Files = Annotated[list[Path], cappa.Arg(help="Log files of any nodes.")]
Output = Annotated[OutputFormat, cappa.Arg(long="output", help="Output format.")]


class RequestNotFoundError(LentilshoreError):
    """No line of the log files names the request."""


class LogLine(NamedTuple):
    """One event that a node logged.

    :param time: time of the event, seconds since the Unix epoch.
    :param source: name of the log file.
    :param event: name of the event.
    :param fields: fields of the line, time and event included.
    """

    time: float
    source: str
    event: str
    fields: dict[str, str]


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the events of log files, skipping other lines.

    :raises UsageError: if a file cannot be read.
    """
    for path in paths:
        try:
            text = path.read_text(errors="replace")
        except OSError as error:
            raise UsageError(f"{path}: {error.strerror}, expected a file") from error
        for line in text.splitlines():
            parsed = parse_line(line, path.name)
            if parsed is not None:
                yield parsed


def parse_line(line: str, source: str) -> LogLine | None:
    """Return the event of a line, or None if the line holds none.

    :param line: line of a log file, with or without a prefix before the event.
    :param source: name of the log file.
    """
    start = line.find(EVENT_START)
    if start < 0:
        return None
    try:
        words = shlex.split(line[start:])
        fields = dict(word.split("=", 1) for word in words if "=" in word)
        return LogLine(float(fields["time"]), source, fields["event"], fields)
    except (ValueError, KeyError):
        return None


def show_story(command: Story) -> None:
    """Print the events of one request, and the nodes' own events around that time."""
    lines = sorted(read_lines(command.files), key=_sort_key)
    matches = [line for line in lines if line.fields.get("request") == command.request]
    if not matches:
        raise RequestNotFoundError(
            f"request {command.request!r} not found in {len(command.files)} log files; "
            "under load only a sample of the served requests is logged"
        )
    start, end = matches[0].time - command.around, matches[-1].time + command.around
    nearby = [
        line
        for line in lines
        if start <= line.time <= end and "request" not in line.fields
    ]
    rows = [
        _format_row(line, matches[0].time)
        for line in sorted([*matches, *nearby], key=_sort_key)
    ]
    print_rows(rows, ("after_s", "where", "event", "details"), command.output)


def show_reasons(command: Reasons) -> None:
    """Print how often each reason of a refusal or failure was logged."""
    reason_counts: Counter[tuple[str, str, str]] = Counter()
    for line in read_lines(command.files):
        if not command.start <= line.time <= command.end:
            continue
        names = REASON_FIELDS.get(line.event)
        if names is not None:
            reason = " ".join(line.fields.get(name, "-") for name in names)
            reason_counts[line.source, line.event, reason] += 1
    rows = [
        {"count": count, "where": source, "event": event, "why": reason}
        for (source, event, reason), count in reason_counts.most_common()
    ]
    print_rows(rows, ("count", "where", "event", "why"), command.output)


@cappa.command(
    invoke=show_story,
    help="Print one request's events from log files, with the nodes' own events "
    "around that time.",
)
@dataclass
class Story:
    """Print the log events of one request."""

    request: Annotated[str, cappa.Arg(help="Identifier of the request.")]
    files: Files
    around: Annotated[
        float,
        cappa.Arg(long=True, help="Seconds to show before and after the request."),
    ] = 1.0
    output: Output = OutputFormat.TABLE


@cappa.command(
    invoke=show_reasons, help="Count the reasons of refusals and failures in log files."
)
@dataclass
class Reasons:
    """Count the reasons of refusals and failures."""

    files: Files
    start: Annotated[
        float,
        cappa.Arg(
            long=True, help="Start of the time window, seconds since the Unix epoch."
        ),
    ] = 0.0
    end: Annotated[
        float,
        cappa.Arg(
            long=True, help="End of the time window, seconds since the Unix epoch."
        ),
    ] = float("inf")
    output: Output = OutputFormat.TABLE


def _sort_key(line: LogLine) -> tuple[float, str]:
    return line.time, line.source


def _format_row(line: LogLine, origin_time: float) -> dict[str, object]:
    details = {k: v for k, v in line.fields.items() if k not in HIDDEN_FIELDS}
    return {
        "after_s": f"{line.time - origin_time:+.3f}",
        "where": line.source,
        "event": line.event,
        "details": details,
    }
