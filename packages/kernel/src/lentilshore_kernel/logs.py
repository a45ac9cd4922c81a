"""Log lines of ``key=value`` pairs, one per event, written through eliot."""

from __future__ import annotations

import re
import sys
from collections.abc import Callable
from typing import Any, TextIO

import eliot

_PLAIN = re.compile(r"[A-Za-z0-9_.:/@+\-]+\Z")


def format_event(message: dict[str, Any]) -> str:
    """Format an eliot message as one line of ``key=value`` pairs.

    :param message: the message, including eliot's own fields.
    :returns: the line, without a line end.
    """
    fields = dict(message)
    level = fields.pop("task_level", [])
    head = {
        "time": f"{fields.pop('timestamp', 0.0):.3f}",
        "event": fields.pop("message_type", fields.pop("action_type", "event")),
        "task": f"{fields.pop('task_uuid', '')}/{'.'.join(map(str, level))}",
    }
    return " ".join(f"{key}={_quote(value)}" for key, value in (head | fields).items())


def start_logging(stream: TextIO = sys.stderr) -> Callable[[], None]:
    """Write events to a stream.

    :param stream: receives one line per event.
    :returns: a function that ends the writing.
    """

    def write(message: dict[str, Any]) -> None:
        stream.write(format_event(message) + "\n")

    eliot.add_destinations(write)
    return lambda: eliot.remove_destination(write)


def log_event(event: str, **fields: Any) -> None:
    """Write one event.

    :param event: name of the event, such as ``request_finished``.
    :param fields: values, none of them secret.
    """
    eliot.log_message(message_type=event, **fields)


def _quote(value: Any) -> str:
    text = str(value)
    if _PLAIN.match(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'
