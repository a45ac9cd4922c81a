"""Bills and their compact encoding."""

from __future__ import annotations

import base64
import zlib
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

COMPRESSION_LEVEL = 6


class BillLine(NamedTuple):
    """One attempt that ran or may have run.

    :param version: model version or service operation.
    :param upstream: name of the instance that ran it.
    :param input_tokens: tokens of the prompt.
    :param output_tokens: tokens of the answer.
    :param cost: price in micro-units of money.
    :param outcome: ``served``, ``escalated``, ``cancelled`` or ``failed``.
    """

    version: str
    upstream: str
    input_tokens: int
    output_tokens: int
    cost: float
    outcome: str


class Bill(NamedTuple):
    """The one bill of a request.

    :param sequence: number unique within the incarnation that issued it.
    :param request: identifier of the request.
    :param customer: name of the customer.
    :param final: False for a bill opened at dispatch and never closed.
    :param lines: the attempts, in order.
    """

    sequence: int
    request: str
    customer: str
    final: bool
    lines: tuple[BillLine, ...]

    @property
    def cost(self) -> float:
        """Price of all lines in micro-units of money."""
        return sum(line.cost for line in self.lines)


_decoder = msgspec.msgpack.Decoder(list[Bill])


def encode_bills(bills: Iterable[Bill]) -> bytes:
    """Return bills in compressed form."""
    return zlib.compress(msgspec.msgpack.encode(list(bills)), COMPRESSION_LEVEL)


def decode_bills(data: bytes) -> list[Bill]:
    """Return the bills of a compressed form."""
    return _decoder.decode(zlib.decompress(data))


def bills_to_text(data: bytes) -> str:
    """Return compressed bills as text that a JSON value can hold."""
    return base64.b64encode(data).decode()


def bills_from_text(text: str) -> list[Bill]:
    """Return the bills of a text made by :func:`bills_to_text`."""
    return decode_bills(base64.b64decode(text))


def prefer_final(known: Bill | None, bill: Bill) -> Bill:
    """Return the one of two bills with the same number that counts.

    A closed bill counts before an open one.
    """
    if known is None or (bill.final and not known.final):
        return bill
    return known
