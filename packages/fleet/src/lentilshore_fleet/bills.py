"""Bills and their compressed encoding."""

from __future__ import annotations

import base64
import zlib
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

COMPRESSION_LEVEL = 6


class BillLine(NamedTuple):
    """Charge for one attempt that ran or may have run on an upstream.

    :param version: model version or service operation.
    :param upstream: name of the upstream instance that the attempt was sent to.
    :param input_tokens: number of prompt tokens.
    :param output_tokens: number of answer tokens.
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
    """The bill of a request.

    :param sequence: sequence number, unique within the incarnation that issued it.
    :param request: identifier of the request.
    :param customer: name of the customer.
    :param final: whether the bill was closed; False for one as opened at dispatch.
    :param lines: the attempts, in order of dispatch.
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
    """Encode bills as compressed MessagePack."""
    return zlib.compress(msgspec.msgpack.encode(list(bills)), COMPRESSION_LEVEL)


def decode_bills(data: bytes) -> list[Bill]:
    """Decode bills that were encoded by :func:`encode_bills`."""
    return _decoder.decode(zlib.decompress(data))


def bills_to_text(data: bytes) -> str:
    """Encode compressed bills as base64 text for a JSON value."""
    return base64.b64encode(data).decode()


def bills_from_text(text: str) -> list[Bill]:
    """Decode bills from text that was made by :func:`bills_to_text`."""
    return decode_bills(base64.b64decode(text))


def prefer_final(known: Bill | None, bill: Bill) -> Bill:
    """Return the one to use of two bills with the same sequence number.

    A final bill takes precedence over one that is not final; otherwise, the known bill
    does.
    """
    if known is None or (bill.final and not known.final):
        return bill
    return known
