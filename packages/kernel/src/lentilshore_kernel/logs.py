"""Log lines of ``key=value`` pairs, one per event, written through eliot."""

from __future__ import annotations

import asyncio
import os
import re
import sys
import time
import zlib
from collections import deque
from collections.abc import Callable
from typing import Any, TextIO

import eliot

from .clock import Clock

# Lines that wait for a reader that stopped, some seconds of a loaded node's.
WAITING_LIMIT_BYTES = 262_144
# Twice the requests a second that the largest node of the target takes.
ROUTINE_LINES_PER_S = 100.0
# Multiple of these that a second may have whose requests were not foreseen.
BURST_FACTOR = 2

# Fields of an eliot message that begin a line or name a place in a tree of actions,
# of which there are none here.
_HEAD_FIELDS = frozenset(("timestamp", "message_type", "task_uuid", "task_level"))
_logger = eliot.Logger()
_PLAIN = re.compile(r"[A-Za-z0-9_.:/@+\-]+\Z")


def format_event(message: dict[str, Any]) -> str:
    """Format an eliot message as one line of ``key=value`` pairs.

    :param message: the message, including eliot's own fields.
    :returns: the line, without a line end.
    """
    parts = [
        f"time={message.get('timestamp', 0.0):.3f}",
        f"event={message.get('message_type', 'event')}",
    ]
    for key, value in message.items():
        if key not in _HEAD_FIELDS:
            parts.append(f"{key}={_quote(value)}")
    return " ".join(parts)


def start_logging(stream: TextIO = sys.stderr) -> Callable[[], None]:
    """Write events to a stream.

    :param stream: receives one line per event.
    :returns: a function that ends the writing.
    """

    def write(message: dict[str, Any]) -> None:
        stream.write(format_event(message) + "\n")

    eliot.add_destinations(write)
    return lambda: eliot.remove_destination(write)


class PipeWriter:
    """Writes lines to a pipe or file and never waits for its reader.

    Lines that the reader has not taken wait up to a limit; past it they are
    dropped and counted.

    :param descriptor: file descriptor, which is made non-blocking.
    :param on_drop: called for each line dropped.
    :param limit_bytes: most bytes that wait.
    """

    def __init__(
        self,
        descriptor: int,
        on_drop: Callable[[], None],
        limit_bytes: int = WAITING_LIMIT_BYTES,
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._on_drop = on_drop
        self._limit_bytes = limit_bytes
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0

    def write(self, message: dict[str, Any]) -> None:
        """Write an eliot message as a line."""
        line = format_event(message).encode() + b"\n"
        if self._waiting_bytes + len(line) > self._limit_bytes:
            self._on_drop()
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        if len(self._waiting) == 1:
            self._flush()

    def _flush(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._flush_later()
                return
            except OSError:
                # The reader is gone; there is nowhere left to say so.
                self._on_drop()
                written = len(line)
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                continue
            self._waiting.popleft()

    def _flush_later(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        loop.add_writer(self._descriptor, self._flush_again, loop)

    def _flush_again(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.remove_writer(self._descriptor)
        self._flush()


class RequestSampler:
    """Keeps the routine lines of requests within a number a second.

    A request's lines are kept or left out together.

    :param clock: tells the seconds.
    :param lines_per_s: routine lines kept a second.
    """

    def __init__(self, clock: Clock, lines_per_s: float = ROUTINE_LINES_PER_S) -> None:
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._second = 0
        self._offered = 0
        self._kept = 0
        self._share = 1.0

    def should_log(self, request: str) -> bool:
        """Tell whether a routine line of a request is written."""
        second = int(self._clock.monotonic())
        if second != self._second:
            passed = self._offered if second == self._second + 1 else 0
            self._share = min(1.0, self._lines_per_s / max(1, passed))
            self._second, self._offered, self._kept = second, 0, 0
        self._offered += 1
        if not self._chosen(request):
            return False
        self._kept += 1
        return True

    def _chosen(self, request: str) -> bool:
        if self._kept >= self._lines_per_s * BURST_FACTOR:
            return False
        if self._share >= 1.0 and self._offered <= self._lines_per_s:
            return True
        spot = zlib.crc32(request.encode()) / 2**32
        return spot < min(self._share, self._lines_per_s / self._offered)


def start_pipe_logging(descriptor: int, on_drop: Callable[[], None]) -> None:
    """Write events to a file descriptor without ever waiting for its reader."""
    eliot.add_destinations(PipeWriter(descriptor, on_drop).write)


def log_event(event: str, **fields: Any) -> None:
    """Write one event.

    :param event: name of the event, such as ``request_finished``.
    :param fields: values, none of them secret.
    """
    _logger.write({"timestamp": time.time(), "message_type": event, **fields})


def _quote(value: Any) -> str:
    if type(value) in (int, float, bool):
        return str(value)
    text = str(value)
    if _PLAIN.match(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'
