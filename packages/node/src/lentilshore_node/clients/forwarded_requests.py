"""Messages in which one gateway has another one serve a caller's request."""

from __future__ import annotations

import math
import zlib
from typing import Any

import msgspec

from lentilshore_kernel.exceptions import LentilshoreError, RefusalError
from lentilshore_kernel.types import Execution, RefusalReason
from lentilshore_routing.replica_room import RoomNews
from lentilshore_routing.routes import KeyOwner, Route

from .forwarding import ForwardRequest
from .http_connection import HeaderFields

# Header of an answer that names the call which it answers, and its kind.
ANSWER_HEADER = "lentilshore-forwarded"
RELAYED, REFUSED = "relayed", "refused"
# Bytes of a message beside the caller's body: its head and the framing.
MESSAGE_OVERHEAD_BYTES = 131_072
MAX_ATTEMPTS = 1_000
MAX_REMAINING_S = 86_400.0


class UnreadableForwardError(LentilshoreError):
    """What another gateway has sent or answered can't be read."""


class ForwardedRequest(msgspec.Struct):
    """A request that the receiver serves in place of the sender.

    :param call_id: number of the call, which its answer names.
    :param sender: name of the gateway that received the request from its caller.
    :param request: the request, with the caller's key.
    :param remaining_s: time until its deadline, seconds.
    :param table_version: version of the configuration by which it was admitted.
    :param admission: checksum of what that configuration says of the request.
    :param attempts_left: number of attempts that may run.
    :param counted: whether the sender has counted it for its retry budget.
    :param room: what the sender knows of replicas that bear few rejections.
    :param silent: names of gateways that don't serve the sender.
    """

    call_id: int
    sender: str
    request: ForwardRequest
    remaining_s: float
    table_version: int
    admission: int
    attempts_left: int
    counted: bool
    room: list[RoomNews] = []
    silent: list[str] = []


class _Refusal(msgspec.Struct):
    reason: RefusalReason
    execution: Execution
    detail: str
    retry_after_s: float | None
    sent: bool = False


def admission_checksum(route: Route, customer: KeyOwner | None) -> int:
    """Return a checksum of the route and the customer of a request."""
    return zlib.crc32(repr((route, customer)).encode())


def encode_forwarded(forwarded: ForwardedRequest) -> bytes:
    """Return the body of a call."""
    return msgspec.msgpack.encode(forwarded)


def decode_forwarded(body: bytes) -> ForwardedRequest:
    """Read the body of a call.

    :raises UnreadableForwardError: if it can't be read, or a value is out of range.
    """
    forwarded: ForwardedRequest = _decode(body, ForwardedRequest)
    if not 0.0 < forwarded.remaining_s <= MAX_REMAINING_S:
        raise UnreadableForwardError(
            f"remaining_s is {forwarded.remaining_s!r}, "
            f"expected more than 0 and at most {MAX_REMAINING_S:g}"
        )
    if not 1 <= forwarded.attempts_left <= MAX_ATTEMPTS:
        raise UnreadableForwardError(
            f"attempts_left is {forwarded.attempts_left}, expected 1 to {MAX_ATTEMPTS}"
        )
    return forwarded


def encode_forwarded_refusal(refusal: RefusalError) -> bytes:
    """Return the body of an answer with a refusal."""
    return msgspec.msgpack.encode(
        _Refusal(
            refusal.reason,
            refusal.execution,
            refusal.detail,
            refusal.retry_after_s,
            refusal.sent,
        )
    )


def decode_forwarded_refusal(body: bytes) -> RefusalError:
    """Read the refusal in an answer.

    :raises UnreadableForwardError: if it can't be read.
    """
    told: _Refusal = _decode(body, _Refusal)
    retry_after_s = told.retry_after_s
    if retry_after_s is not None and not 0.0 <= retry_after_s < math.inf:
        retry_after_s = None
    refusal = RefusalError(told.reason, told.execution, told.detail, retry_after_s)
    refusal.sent = told.sent
    return refusal


def answer_field(call_id: int, kind: str) -> tuple[str, str]:
    """Return the header of an answer to a call."""
    return ANSWER_HEADER, f"{kind} {call_id}"


def answer_kind(headers: dict[str, str], call_id: int) -> str:
    """Return the kind of an answer, empty if it doesn't answer the call."""
    kind, _, told_id = headers.get(ANSWER_HEADER, "").partition(" ")
    return kind if told_id == str(call_id) else ""


def without_answer_field(fields: HeaderFields) -> HeaderFields:
    """Return the headers of an answer that are meant for the caller."""
    name = ANSWER_HEADER.encode()
    return [field for field in fields if field[0].lower() != name]


def _decode(body: bytes, message_type: Any) -> Any:
    try:
        return msgspec.msgpack.decode(body, type=message_type)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise UnreadableForwardError(f"forwarded request: {error}") from error
