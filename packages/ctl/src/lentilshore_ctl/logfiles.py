"""Commands that read nodes' log files: one request's story, a window's reasons."""

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

LINE_START = "time="
HIDDEN_FIELDS = ("time", "event", "task", "request")
# Events whose lines a window's summary counts, by the field that says why.
REASON_FIELDS: Mapping[str, tuple[str, ...]] = {
    "request_refused": ("reason", "execution", "status"),
    "request_failed": ("error",),
    "attempt_failed": ("reason", "execution"),
    "store_lost": ("part",),
    "replica_rested": ("unreachable",),
}

Files = Annotated[list[Path], cappa.Arg(help="Log files of any nodes.")]
Output = Annotated[
    OutputFormat, cappa.Arg(long="output", help="How to print the result.")
]


class RequestNotFoundError(LentilshoreError):
    """No line of the files names the request."""


class LogLine(NamedTuple):
    """One event of one node.

    :param time: seconds since the Unix epoch.
    :param source: name of the file.
    :param event: name of the event.
    :param fields: its values.
    """

    time: float
    source: str
    event: str
    fields: dict[str, str]


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the events of log files; other lines are passed over.

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
    """Return the event of a line, or None if it holds none.

    :param line: a line, which may have something before the event.
    :param source: where it stands.
    """
    start = line.find(LINE_START)
    if start < 0:
        return None
    try:
        words = shlex.split(line[start:])
        fields = dict(word.split("=", 1) for word in words if "=" in word)
        return LogLine(float(fields["time"]), source, fields["event"], fields)
    except (ValueError, KeyError):
        return None


def show_story(command: Story) -> None:
    """Print every line of one request, and what the nodes learnt meanwhile."""
    lines = sorted(read_lines(command.files), key=_order)
    own = [line for line in lines if line.fields.get("request") == command.request]
    if not own:
        raise RequestNotFoundError(
            f"request {command.request!r} is in none of {len(command.files)} files; "
            "lines of served requests are sampled under load"
        )
    start, end = own[0].time - command.around, own[-1].time + command.around
    around = [
        line
        for line in lines
        if start <= line.time <= end and "request" not in line.fields
    ]
    rows = [_row(line, own[0].time) for line in sorted([*own, *around], key=_order)]
    print_rows(rows, ("after_s", "where", "event", "details"), command.output)


def show_reasons(command: Reasons) -> None:
    """Print how often each reason was given."""
    counts: Counter[tuple[str, str, str]] = Counter()
    for line in read_lines(command.files):
        if not command.start <= line.time <= command.end:
            continue
        names = REASON_FIELDS.get(line.event)
        if names is not None:
            why = " ".join(line.fields.get(name, "-") for name in names)
            counts[line.source, line.event, why] += 1
    rows = [
        {"count": count, "where": source, "event": event, "why": why}
        for (source, event, why), count in counts.most_common()
    ]
    print_rows(rows, ("count", "where", "event", "why"), command.output)


@cappa.command(
    invoke=show_story,
    help="Print one request's lines from log files, with what the nodes learnt "
    "about then.",
)
@dataclass
class Story:
    """One request's story."""

    request: Annotated[str, cappa.Arg(help="Identifier of the request.")]
    files: Files
    around: Annotated[
        float, cappa.Arg(long=True, help="Seconds before and after to show.")
    ] = 1.0
    output: Output = OutputFormat.TABLE


@cappa.command(
    invoke=show_reasons, help="Count the reasons of refusals and failures in log files."
)
@dataclass
class Reasons:
    """A window's reasons."""

    files: Files
    start: Annotated[
        float, cappa.Arg(long=True, help="First second, since the Unix epoch.")
    ] = 0.0
    end: Annotated[
        float, cappa.Arg(long=True, help="Last second, since the Unix epoch.")
    ] = float("inf")
    output: Output = OutputFormat.TABLE


def _order(line: LogLine) -> tuple[float, str]:
    return line.time, line.source


def _row(line: LogLine, origin: float) -> dict[str, object]:
    details = {k: v for k, v in line.fields.items() if k not in HIDDEN_FIELDS}
    return {
        "after_s": f"{line.time - origin:+.3f}",
        "where": line.source,
        "event": line.event,
        "details": details,
    }
