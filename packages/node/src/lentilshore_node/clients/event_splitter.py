"""Splits a stream of server-sent events at their boundaries."""

from __future__ import annotations

import re

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.types import Execution, RefusalReason

# An event ends with an empty line; lines end with LF, CR or CRLF. The LF of a CRLF at
# the end is not listed, since it may arrive later.
EVENT_BOUNDARIES = (b"\n\n", b"\n\r", b"\r\r")
# Empty lines and comments, which belong to no event.
NO_EVENT = re.compile(rb"(?:(?::[^\r\n]*)?(?:\r\n|\n|\r))*")
ID_FIELD = b"id:"
ID_DIGITS_LIMIT = 18
# An event holds a few tokens of text; one that exceeds this limit is an error.
EVENT_LIMIT_BYTES = 262_144
# The mean pause of a stream is computed once, as soon as this many pauses have been
# seen.
MIN_PAUSES_FOR_MEAN = 4


class EventSplitter:
    """Returns whole events and buffers a partial one until it is complete."""

    def __init__(self) -> None:
        self._partial_event = b""
        self._last_id: int | None = None

    @property
    def last_id(self) -> int | None:
        """Number of the last whole event, from its ``id``; None before the first."""
        return self._last_id

    @property
    def partial_event(self) -> bytes:
        """Bytes received of an event that is not whole yet."""
        return self._partial_event

    @property
    def within_event(self) -> bool:
        """Whether the bytes received so far end inside an event or a comment."""
        return NO_EVENT.fullmatch(self._partial_event) is None

    def feed(self, data: bytes) -> bytes:
        """Add received data of the stream.

        :returns: the bytes of all events that this data completes, unchanged.
        :raises UpstreamError: ``upstream_garbled`` if an event exceeds
            :data:`EVENT_LIMIT_BYTES`.
        """
        data = self._partial_event + data
        end = max(_end_of_last(data, boundary) for boundary in EVENT_BOUNDARIES)
        if end == 0:
            if len(data) > EVENT_LIMIT_BYTES:
                raise UpstreamError(
                    RefusalReason.UPSTREAM_GARBLED,
                    Execution.RAN,
                    f"event exceeds {EVENT_LIMIT_BYTES} bytes",
                )
            self._partial_event = data
            return b""
        if data[end - 1 : end + 1] == b"\r\n":
            end += 1
        self._partial_event = data[end:]
        events = data[:end]
        self._update_last_id(events)
        return events

    def _update_last_id(self, events: bytes) -> None:
        for line in reversed(events.splitlines()):
            if line.startswith(ID_FIELD):
                text = line[len(ID_FIELD) :].strip()
                if text.isdigit() and len(text) <= ID_DIGITS_LIMIT:
                    self._last_id = int(text)
                return


def _end_of_last(data: bytes, boundary: bytes) -> int:
    """Return the offset after the last occurrence of a boundary, 0 if there is none."""
    start = data.rfind(boundary)
    return start + len(boundary) if start >= 0 else 0


class EventPace:
    """Measures the pauses between the events of a stream."""

    def __init__(self) -> None:
        # Number of the first event and the time at which it was received.
        self._first_event: tuple[int, float] | None = None
        self._mean_pause_s: float | None = None
        self._mean_returned = False
        self._last_event_at: float | None = None
        self._longest_pause_s = 0.0

    @property
    def longest_pause_s(self) -> float:
        """Longest pause so far, seconds."""
        return self._longest_pause_s

    def record_event(self, number: int, now: float) -> None:
        """Record that one or more events were received together.

        :param number: number of the newest event within the stream; events that arrive
            together each have their own number.
        :param now: time on the node's clock, seconds.
        """
        if self._last_event_at is not None:
            self._longest_pause_s = max(
                self._longest_pause_s, now - self._last_event_at
            )
        self._last_event_at = now
        if self._first_event is None:
            self._first_event = (number, now)
            return
        pauses = number - self._first_event[0]
        if self._mean_pause_s is None and pauses >= MIN_PAUSES_FOR_MEAN:
            self._mean_pause_s = (now - self._first_event[1]) / pauses

    def take_mean_pause_s(self) -> float | None:
        """Return the mean pause, seconds, on the first call after it is known.

        :returns: None on every other call.
        """
        if self._mean_pause_s is None or self._mean_returned:
            return None
        self._mean_returned = True
        return self._mean_pause_s
