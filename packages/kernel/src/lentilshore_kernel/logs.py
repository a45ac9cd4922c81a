"""Logging through eliot: one line of ``key=value`` pairs per event."""

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

# Holds some seconds of a loaded node's lines while the pipe's reader is stopped.
PIPE_BUFFER_LIMIT_BYTES = 262_144
# Twice the request rate of the largest node that the system is designed for.
ROUTINE_LINES_PER_S = 100.0
# A second with an unforeseen number of requests may exceed the limit by this factor.
BURST_FACTOR = 2

# Fields of an eliot message that are written at the start of a line, or that locate
# the message in a tree of actions, which are not used here.
_HEAD_FIELDS = frozenset(("timestamp", "message_type", "task_uuid", "task_level"))
_logger = eliot.Logger()
_UNQUOTED = re.compile(r"[A-Za-z0-9_.:/@+\-]+\Z")


def format_event(message: dict[str, Any]) -> str:
    """Format an eliot message as one line of ``key=value`` pairs.

    :param message: the message, including eliot's own fields.
    :returns: the line, without a newline.
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
    :returns: a function that stops the writing.
    """

    def write(message: dict[str, Any]) -> None:
        stream.write(format_event(message) + "\n")

    eliot.add_destinations(write)
    return lambda: eliot.remove_destination(write)


class PipeWriter:
    """Writes lines to a pipe or file without waiting for its reader.

    Lines that the pipe does not accept yet are buffered up to a limit; lines beyond it
    are dropped.

    :param descriptor: file descriptor, which is made non-blocking.
    :param on_drop: called for each line dropped.
    :param limit_bytes: largest number of bytes in the buffer.
    """

    def __init__(
        self,
        descriptor: int,
        on_drop: Callable[[], None],
        limit_bytes: int = PIPE_BUFFER_LIMIT_BYTES,
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._on_drop = on_drop
        self._limit_bytes = limit_bytes
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0

    def write(self, message: dict[str, Any]) -> None:
        """Write an eliot message as a line."""
        line = format_event(message).encode() + b"\n"
        if self._buffered_bytes + len(line) > self._limit_bytes:
            self._on_drop()
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        # Lines that were in the buffer before wait until the pipe accepts more.
        if len(self._buffer) == 1:
            self._flush()

    def _flush(self) -> None:
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._schedule_flush()
                return
            except OSError:
                # The reader has closed the pipe, so the error cannot be logged either.
                self._on_drop()
                written = len(line)
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                continue
            self._buffer.popleft()

    def _schedule_flush(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:  # no event loop is running
            return
        loop.add_writer(self._descriptor, self._flush_when_writable, loop)

    def _flush_when_writable(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.remove_writer(self._descriptor)
        self._flush()


class RequestSampler:
    """Limits the rate of routine log lines about requests.

    The lines of one request are kept or left out together.

    :param clock: source of time.
    :param lines_per_s: routine lines kept per second.
    """

    def __init__(self, clock: Clock, lines_per_s: float = ROUTINE_LINES_PER_S) -> None:
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._current_second = 0
        self._offered_lines = 0
        self._kept_lines = 0
        # Share of requests to log, from the number of lines in the previous second.
        self._sample_share = 1.0

    def should_log(self, request_id: str) -> bool:
        """Return whether to write a routine line of a request.

        :param request_id: identifier of the request.
        """
        second = int(self._clock.monotonic())
        if second != self._current_second:
            previous_lines = (
                self._offered_lines if second == self._current_second + 1 else 0
            )
            self._sample_share = min(1.0, self._lines_per_s / max(1, previous_lines))
            self._current_second, self._offered_lines, self._kept_lines = second, 0, 0
        self._offered_lines += 1
        if not self._is_sampled(request_id):
            return False
        self._kept_lines += 1
        return True

    def _is_sampled(self, request_id: str) -> bool:
        if self._kept_lines >= self._lines_per_s * BURST_FACTOR:
            return False
        if self._sample_share >= 1.0 and self._offered_lines <= self._lines_per_s:
            return True
        # The same for each line of a request, and spread evenly over requests.
        request_hash_share = zlib.crc32(request_id.encode()) / 2**32
        return request_hash_share < min(
            self._sample_share, self._lines_per_s / self._offered_lines
        )


def start_pipe_logging(descriptor: int, on_drop: Callable[[], None]) -> None:
    """Write events to a file descriptor without waiting for its reader.

    :param descriptor: file descriptor of a pipe or file.
    :param on_drop: called for each line dropped.
    """
    eliot.add_destinations(PipeWriter(descriptor, on_drop).write)


def log_event(event: str, **fields: Any) -> None:
    """Write one event.

    :param event: name of the event, such as ``request_served``.
    :param fields: keys and values of the line, none of them secret.
    """
    _logger.write({"timestamp": time.time(), "message_type": event, **fields})


def _quote(value: Any) -> str:
    if type(value) in (int, float, bool):
        return str(value)
    text = str(value)
    if _UNQUOTED.match(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'
