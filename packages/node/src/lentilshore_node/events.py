"""Reading of an engine's server-sent events, with a check of their order."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.types import Execution, RefusalReason

from .upstreams import StreamChunk, Usage

EVENT_LIMIT_BYTES = 65_536
DONE_EVENT = b"data: [DONE]\n\n"
END_MARK = b"event: end\n"
_SEPARATOR = b"\n\n"
_OFFSETS = re.compile(rb"^id: (\d{1,9})$", re.MULTILINE)


class EventReader:
    """Cuts a byte stream into events and checks that no token is missing.

    Events carry the token's offset as their ``id``. Repeated tokens are
    dropped; a gap is an error. The last token is followed by an ``end`` event
    with the usage, and that by ``[DONE]``.

    :param request: identifier that the end event must carry.
    :param offset: offset of the first token wanted.
    """

    def __init__(self, request: str, offset: int = 0) -> None:
        self._request = request
        self._expected = offset
        self._buffer = b""
        self._usage: Usage | None = None
        self._end = b""
        self._done = False

    @property
    def next_offset(self) -> int:
        """Offset of the token that is expected next."""
        return self._expected

    @property
    def done(self) -> bool:
        """Whether the whole answer has been read."""
        return self._done

    def feed(self, data: bytes) -> StreamChunk | None:
        """Take in bytes.

        :param data: bytes as they came.
        :returns: whole events, if there are any.
        :raises UpstreamError: ``upstream_garbled``, ``upstream_truncated`` or
            ``answer_mismatch``.
        """
        buffer = self._buffer + data if self._buffer else data
        if buffer.endswith(_SEPARATOR):
            whole, self._buffer = buffer, b""
        else:
            cut = buffer.rfind(_SEPARATOR) + len(_SEPARATOR)
            if cut < len(_SEPARATOR):
                cut = 0
            whole, self._buffer = buffer[:cut], buffer[cut:]
            if len(self._buffer) > EVENT_LIMIT_BYTES:
                raise _garbled(f"event exceeds {EVENT_LIMIT_BYTES} bytes")
        return self._check(whole) if whole else None

    def _check(self, whole: bytes) -> StreamChunk | None:
        if self._done:
            return None
        if END_MARK in whole or self._usage is not None:
            return self._check_end(whole)
        return StreamChunk(self._check_tokens(whole), self._expected)

    def _check_tokens(self, whole: bytes) -> bytes:
        offsets = [int(text) for text in _OFFSETS.findall(whole)]
        following = self._expected + len(offsets)
        if offsets == list(range(self._expected, following)):
            if whole.count(_SEPARATOR) != len(offsets):
                raise _garbled("event without an offset")
            self._expected = following
            return whole
        return self._drop_repeats(whole)

    def _drop_repeats(self, whole: bytes) -> bytes:
        kept = []
        for event in whole.split(_SEPARATOR)[:-1]:
            match = _OFFSETS.search(event)
            if match is None:
                raise _garbled("event without an offset")
            offset = int(match[1])
            if offset > self._expected:
                raise UpstreamError(
                    RefusalReason.UPSTREAM_TRUNCATED,
                    Execution.UNKNOWN,
                    f"token {self._expected} is missing before token {offset}",
                )
            if offset == self._expected:
                kept.append(event + _SEPARATOR)
                self._expected += 1
        return b"".join(kept)

    def _check_end(self, whole: bytes) -> StreamChunk | None:
        """Hold the end event back until ``[DONE]`` has come as well."""
        data = b""
        if self._usage is None:
            tokens, _, rest = whole.partition(END_MARK)
            data = self._check_tokens(tokens) if tokens else b""
            event, _, rest = rest.partition(_SEPARATOR)
            self._usage = self._read_usage(event)
            self._end = END_MARK + event + _SEPARATOR
        else:
            rest = whole
        if not rest:
            return StreamChunk(data, self._expected) if data else None
        if rest != DONE_EVENT:
            raise _garbled("bytes after the end of the answer")
        self._done = True
        return StreamChunk(data + self._end + rest, self._expected, self._usage)

    def _read_usage(self, event: bytes) -> Usage:
        payload = event.removeprefix(b"data: ")
        try:
            body = msgspec.json.decode(payload)
            return read_usage(body, self._request, self._expected)
        except msgspec.MsgspecError as error:
            raise _garbled(str(error)) from error


def read_usage(body: Any, request: str, tokens: int | None = None) -> Usage:
    """Return the usage of an answer after checking whose answer it is.

    :param body: JSON object with ``request_id``, ``usage`` and ``confidence``.
    :param request: identifier that it must carry.
    :param tokens: tokens received, where they were counted.
    :raises UpstreamError: ``answer_mismatch``, ``upstream_garbled`` or
        ``upstream_truncated``.
    """
    if not isinstance(body, dict) or not isinstance(body.get("usage"), dict):
        raise _garbled("answer without usage")
    if body.get("request_id") != request:
        raise UpstreamError(
            RefusalReason.ANSWER_MISMATCH,
            Execution.UNKNOWN,
            f"answer is for request {body.get('request_id')!r}",
        )
    usage = body["usage"]
    counts = usage.get("prompt_tokens"), usage.get("completion_tokens")
    if not all(isinstance(count, int) and count >= 0 for count in counts):
        raise _garbled("usage without token counts")
    if tokens is not None and counts[1] != tokens:
        raise UpstreamError(
            RefusalReason.UPSTREAM_TRUNCATED,
            Execution.RAN,
            f"{tokens} tokens came of {counts[1]}",
        )
    confidence = body.get("confidence")
    if not isinstance(confidence, (int, float)) or not 0 <= confidence <= 1:
        confidence = None
    return Usage(counts[0], counts[1], confidence)


def _garbled(detail: str) -> UpstreamError:
    return UpstreamError(RefusalReason.UPSTREAM_GARBLED, Execution.UNKNOWN, detail)
