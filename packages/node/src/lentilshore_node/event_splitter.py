"""Splits a stream of server-sent events at their boundaries."""

from __future__ import annotations

BOUNDARY = b"\n\n"
ID_FIELD = b"id:"
# An event is some tokens of text; one this large is no event.
EVENT_LIMIT_BYTES = 1_048_576
# Pauses over which a stream's pace is taken.
PACE_PAUSES = 4


class EventSplitter:
    """Passes whole events on and keeps a part until its rest has come."""

    def __init__(self) -> None:
        self._rest = b""
        self._last_id: int | None = None

    @property
    def last_id(self) -> int | None:
        """Number of the last whole event, None before the first."""
        return self._last_id

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Take in a part of the stream.

        :returns: the whole events that it completes, unchanged.
        :raises ValueError: if an event is too large to be one.
        """
        data = self._rest + data
        end = data.rfind(BOUNDARY)
        if end < 0:
            if len(data) > EVENT_LIMIT_BYTES:
                raise ValueError(f"event has over {EVENT_LIMIT_BYTES} bytes")
            self._rest = data
            return b""
        end += len(BOUNDARY)
        self._rest = data[end:]
        events = data[:end]
        self._note_id(events)
        return events

    def _note_id(self, events: bytes) -> None:
        for line in reversed(events.split(b"\n")):
            if line.startswith(ID_FIELD):
                text = line[len(ID_FIELD) :].strip()
                if text.isdigit():
                    self._last_id = int(text)
                return


class EventPace:
    """Pauses between the events of a stream."""

    def __init__(self) -> None:
        self._first: tuple[int, float] | None = None
        self._pause_s: float | None = None
        self._taken = False
        self._last_at: float | None = None
        self._longest_s = 0.0

    @property
    def longest_s(self) -> float:
        """Longest pause so far, seconds."""
        return self._longest_s

    def note(self, number: int, now: float) -> None:
        """Note that an event has come.

        :param number: its number.
        :param now: time on the node's clock, seconds.
        """
        if self._last_at is not None:
            self._longest_s = max(self._longest_s, now - self._last_at)
        self._last_at = now
        if self._first is None:
            self._first = (number, now)
            return
        pauses = number - self._first[0]
        if self._pause_s is None and pauses >= PACE_PAUSES:
            self._pause_s = (now - self._first[1]) / pauses

    def take_pause_s(self) -> float | None:
        """Return the mean pause, once, as soon as it is known."""
        if self._pause_s is None or self._taken:
            return None
        self._taken = True
        return self._pause_s
