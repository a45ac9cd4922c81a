"""Reads the server-sent events of an engine and checks their order."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.json import decode_json
from lentilshore_kernel.types import Execution, RefusalReason

from .upstreams import StreamChunk, Usage

EVENT_LIMIT_BYTES = 65_536
DONE_EVENT = b"data: [DONE]\n\n"
END_EVENT_PREFIX = b"event: end\n"
_SEPARATOR = b"\n\n"
_OFFSET_LINE = re.compile(rb"^id: (\d{1,9})$", re.MULTILINE)


class EventReader:
    """Splits a byte stream into events and checks that no token is missing.

    Events carry the token's offset in the answer as their ``id``. Repeated tokens are
    dropped; a gap is an error. The last token is followed by an ``end`` event with the
    usage, and that by ``[DONE]``.

    :param request_id: identifier that the end event must carry.
    :param first_token_offset: offset of the first token to return.
    """

    def __init__(self, request_id: str, first_token_offset: int = 0) -> None:
        self._request_id = request_id
        self._next_token_offset = first_token_offset
        self._buffer = b""
        self._usage: Usage | None = None
        self._end_event = b""
        self._done = False

    @property
    def next_token_offset(self) -> int:
        """Offset of the next expected token."""
        return self._next_token_offset

    @property
    def done(self) -> bool:
        """Whether the whole answer has been read."""
        return self._done

    def feed(self, data: bytes) -> StreamChunk | None:
        """Parse more bytes of the stream.

        :param data: the next bytes, cut anywhere.
        :returns: the events completed by them, None if there are none.
        :raises UpstreamError: ``upstream_garbled``, ``upstream_truncated`` or
            ``answer_mismatch``.
        """
        buffer = self._buffer + data if self._buffer else data
        if buffer.endswith(_SEPARATOR):
            events, self._buffer = buffer, b""
        else:
            end = buffer.rfind(_SEPARATOR) + len(_SEPARATOR)
            # rfind returned -1: no event is complete.
            if end < len(_SEPARATOR):
                end = 0
            events, self._buffer = buffer[:end], buffer[end:]
            if len(self._buffer) > EVENT_LIMIT_BYTES:
                raise _garbled_error(f"event exceeds {EVENT_LIMIT_BYTES} bytes")
        return self._parse_events(events) if events else None

    def _parse_events(self, events: bytes) -> StreamChunk | None:
        if self._done:
            return None
        if END_EVENT_PREFIX in events or self._usage is not None:
            return self._parse_end(events)
        return StreamChunk(self._parse_tokens(events), self._next_token_offset)

    def _parse_tokens(self, events: bytes) -> bytes:
        offsets = [int(text) for text in _OFFSET_LINE.findall(events)]
        next_token_offset = self._next_token_offset + len(offsets)
        # The usual case; otherwise tokens are repeated or missing, or an event has no
        # valid offset.
        if offsets == list(range(self._next_token_offset, next_token_offset)):
            if events.count(_SEPARATOR) != len(offsets):
                raise _garbled_error("event without a token offset as its id")
            self._next_token_offset = next_token_offset
            return events
        return self._drop_duplicates(events)

    def _drop_duplicates(self, events: bytes) -> bytes:
        """Return the events without repeated tokens.

        :raises UpstreamError: ``upstream_truncated`` if a token is missing.
        """
        kept = []
        for event in events.split(_SEPARATOR)[:-1]:
            offset_line = _OFFSET_LINE.search(event)
            if offset_line is None:
                raise _garbled_error("event without a token offset as its id")
            offset = int(offset_line[1])
            if offset > self._next_token_offset:
                raise UpstreamError(
                    RefusalReason.UPSTREAM_TRUNCATED,
                    Execution.UNKNOWN,
                    f"token {self._next_token_offset} is missing before token {offset}",
                )
            if offset == self._next_token_offset:
                kept.append(event + _SEPARATOR)
                self._next_token_offset += 1
        return b"".join(kept)

    def _parse_end(self, events: bytes) -> StreamChunk | None:
        """Parse events from the end event on, and tokens that precede it.

        The end event is held back until ``[DONE]`` has arrived.

        :returns: the remaining tokens, and with ``[DONE]`` the end event and
            ``[DONE]`` together; None if there is nothing to return yet.
        """
        tokens = b""
        if self._usage is None:
            token_events, _, rest = events.partition(END_EVENT_PREFIX)
            tokens = self._parse_tokens(token_events) if token_events else b""
            event, _, rest = rest.partition(_SEPARATOR)
            self._usage = self._parse_usage(event)
            self._end_event = END_EVENT_PREFIX + event + _SEPARATOR
        else:
            rest = events
        if not rest:
            return StreamChunk(tokens, self._next_token_offset) if tokens else None
        if rest != DONE_EVENT:
            raise _garbled_error(
                "unexpected bytes after the end event, expected [DONE]"
            )
        self._done = True
        return StreamChunk(
            tokens + self._end_event + rest, self._next_token_offset, self._usage
        )

    def _parse_usage(self, event: bytes) -> Usage:
        payload = event.removeprefix(b"data: ")
        try:
            body = decode_json(payload)
            return read_usage(body, self._request_id, self._next_token_offset)
        except msgspec.MsgspecError as error:
            raise _garbled_error(str(error)) from error


def read_usage(body: Any, request_id: str, received_tokens: int | None = None) -> Usage:
    """Return the usage of an answer after checking that it answers the request.

    :param body: JSON object with ``request_id``, ``usage`` and ``confidence``.
    :param request_id: identifier that the body must carry.
    :param received_tokens: number of tokens received, None if not counted.
    :raises UpstreamError: ``answer_mismatch``, ``upstream_garbled`` or
        ``upstream_truncated``.
    """
    if not isinstance(body, dict) or not isinstance(body.get("usage"), dict):
        raise _garbled_error("answer lacks the object `usage`")
    if body.get("request_id") != request_id:
        raise UpstreamError(
            RefusalReason.ANSWER_MISMATCH,
            Execution.UNKNOWN,
            f"answer is for request {body.get('request_id')!r}",
        )
    usage = body["usage"]
    # The tokens of the prompt, then those of the answer.
    counts = usage.get("prompt_tokens"), usage.get("completion_tokens")
    if not all(isinstance(count, int) and count >= 0 for count in counts):
        raise _garbled_error("usage lacks valid `prompt_tokens` or `completion_tokens`")
    if received_tokens is not None and counts[1] != received_tokens:
        raise UpstreamError(
            RefusalReason.UPSTREAM_TRUNCATED,
            Execution.RAN,
            f"{received_tokens} tokens received, expected {counts[1]}",
        )
    confidence = body.get("confidence")
    if not isinstance(confidence, (int, float)) or not 0 <= confidence <= 1:
        confidence = None
    return Usage(counts[0], counts[1], confidence)


def _garbled_error(detail: str) -> UpstreamError:
    return UpstreamError(RefusalReason.UPSTREAM_GARBLED, Execution.UNKNOWN, detail)
