"""Decoding of JSON that another process has sent."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


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
