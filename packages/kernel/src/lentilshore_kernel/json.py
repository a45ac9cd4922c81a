"""Decoding of JSON that another process has sent."""

from __future__ import annotations

import re
from typing import Any, TypeVar

import msgspec

from .logs import log_event

T = TypeVar("T")

# Nesting that is kept of a text that is nested too deeply to be decoded.
MAX_NESTING = 64
_STRING_OR_BRACKET = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def decode_json(data: bytes | str | msgspec.Raw, json_type: type[T] | Any = Any) -> Any:
    """Return decoded JSON.

    :param data: the JSON text.
    :param json_type: type that the value must fit.
    :raises msgspec.DecodeError: if the text is not JSON, does not fit the type or is
        nested too deeply.
    """
    try:
        return msgspec.json.decode(data, type=json_type)
    except RecursionError as error:
        raise msgspec.DecodeError("JSON is nested too deeply") from error


def decode_pruned_json(data: bytes | msgspec.Raw, json_type: type[T] | Any) -> Any:
    """Return decoded JSON, without what is nested too deeply.

    Values that are nested deeper than :data:`MAX_NESTING` are read as null if the text
    can't be decoded otherwise, so that one of them does not hide the rest.

    :param data: the JSON text.
    :param json_type: type that the value must fit.
    :raises msgspec.DecodeError: if the text is not JSON or does not fit the type.
    """
    try:
        return msgspec.json.decode(data, type=json_type)
    except RecursionError:
        text = bytes(data)
        log_event("json_pruned", size_bytes=len(text), nesting=MAX_NESTING)
        return msgspec.json.decode(_prune(text), type=json_type)


def _prune(text: bytes) -> bytes:
    """Return a JSON text with null in place of what is nested too deeply."""
    kept = []
    depth = kept_until = 0
    for match in _STRING_OR_BRACKET.finditer(text):
        if match[0] in b"[{":
            depth += 1
            if depth == MAX_NESTING + 1:
                kept += [text[kept_until : match.start()], b"null"]
        elif match[0] in b"]}":
            if depth == MAX_NESTING + 1:
                kept_until = match.end()
            depth -= 1
    if depth > MAX_NESTING:
        kept_until = len(text)
    return b"".join([*kept, text[kept_until:]])
