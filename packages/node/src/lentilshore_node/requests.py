"""Callers' requests: headers and bodies read into types."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple, TypedDict

import msgspec

from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import Priority, RefusalReason

HEADER_LIMIT_CHARACTERS = 512
DEADLINE_LIMIT_MS = 3_600_000
DEFAULT_OUTPUT_TOKENS = 512
CHARACTERS_PER_TOKEN = 4

SESSION_HEADER = "lentilshore-session"
KIND_HEADER = "lentilshore-request-kind"
QUALITY_HEADER = "lentilshore-quality-target"
DEADLINE_HEADER = "lentilshore-deadline-ms"
PRIORITY_HEADER = "lentilshore-priority"
TREE_HEADER = "lentilshore-request-tree"
USER_HEADER = "lentilshore-user"
KEY_HEADER = "idempotency-key"


class Message(TypedDict):
    """One message of a conversation."""

    role: str
    content: str


class _CompletionBody(TypedDict, total=False):
    model: str
    messages: list[Message]
    max_tokens: int
    stream: bool
    user: str


class CallerHeaders(NamedTuple):
    """What a caller says besides the body.

    :param key: bearer key, empty if there is none.
    :param session: session token, empty for a new session.
    :param kind: request kind, for quality targets and estimates.
    :param quality_target: share of good answers asked for, if named.
    :param deadline_s: time allowed, seconds.
    :param priority: order among waiting requests.
    :param tree: identifier of the request tree, empty for a tree of its own.
    :param user: identifier of the customer's user, empty for none.
    :param idempotency_key: key of a non-idempotent request, empty for none.
    """

    key: str
    session: str
    kind: str
    quality_target: float | None
    deadline_s: float
    priority: Priority
    tree: str
    user: str
    idempotency_key: str


class CompletionRequest(NamedTuple):
    """A completion as the caller asked for it.

    :param headers: what the caller says besides the body.
    :param model: a model, a cascade or ``model@version``.
    :param body: the whole body, JSON object.
    :param stream: whether the answer is to be streamed.
    :param input_tokens: estimated tokens of the prompt.
    :param output_tokens: most tokens of the answer.
    :param prefix: text that later prompts may share.
    """

    headers: CallerHeaders
    model: str
    body: dict[str, Any]
    stream: bool
    input_tokens: int
    output_tokens: int
    prefix: str


class ServiceRequest(NamedTuple):
    """A call of a plain service as the caller asked for it."""

    headers: CallerHeaders
    service: str
    operation: str
    body: bytes
    content_type: str


def parse_headers(
    headers: Mapping[str, str], default_deadline_s: float
) -> CallerHeaders:
    """Read a caller's headers.

    :param headers: headers, names in lower case.
    :param default_deadline_s: time allowed where none is named, seconds.
    :raises RefusalError: if a value is not valid.
    """
    for name, value in headers.items():
        long = len(value) > HEADER_LIMIT_CHARACTERS
        if long and name != SESSION_HEADER and name.startswith("lentilshore-"):
            raise _malformed(
                f"header {name} exceeds {HEADER_LIMIT_CHARACTERS} characters"
            )
    scheme, _, key = headers.get("authorization", "").partition(" ")
    idempotency_key = headers.get(KEY_HEADER, "")
    if len(idempotency_key) > HEADER_LIMIT_CHARACTERS:
        raise _malformed(
            f"header {KEY_HEADER} exceeds {HEADER_LIMIT_CHARACTERS} characters"
        )
    return CallerHeaders(
        key=key.strip() if scheme.lower() == "bearer" else "",
        session=headers.get(SESSION_HEADER, ""),
        kind=headers.get(KIND_HEADER, "default"),
        quality_target=_parse_target(headers.get(QUALITY_HEADER)),
        deadline_s=_parse_deadline(headers.get(DEADLINE_HEADER), default_deadline_s),
        priority=_parse_priority(headers.get(PRIORITY_HEADER)),
        tree=headers.get(TREE_HEADER, ""),
        user=headers.get(USER_HEADER, ""),
        idempotency_key=idempotency_key,
    )


def parse_completion(headers: CallerHeaders, data: bytes) -> CompletionRequest:
    """Read the body of a completion.

    :param headers: the caller's headers.
    :param data: the body.
    :raises RefusalError: ``malformed_request``.
    """
    try:
        body = msgspec.json.decode(data)
        known = msgspec.convert(body, _CompletionBody)
    except msgspec.MsgspecError as error:
        raise _malformed(str(error)) from error
    if not known.get("model") or not known.get("messages"):
        raise _malformed("body needs `model` and at least one of `messages`")
    output_tokens = known.get("max_tokens", DEFAULT_OUTPUT_TOKENS)
    if output_tokens < 1:
        raise _malformed(f"`max_tokens` is {output_tokens}, expected at least 1")
    messages = known["messages"]
    characters = sum(len(message["content"]) for message in messages)
    return CompletionRequest(
        headers=headers,
        model=known["model"],
        body=body,
        stream=known.get("stream", False),
        input_tokens=1 + characters // CHARACTERS_PER_TOKEN,
        output_tokens=output_tokens,
        prefix="".join(message["content"] for message in messages[:-1]),
    )


def _parse_target(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        target = float(text)
    except ValueError:
        target = -1.0
    if not 0 <= target <= 1:
        raise _malformed(f"header {QUALITY_HEADER} is {text!r}, expected 0 to 1")
    return target


def _parse_deadline(text: str | None, default_s: float) -> float:
    if text is None:
        return default_s
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        milliseconds = 0
    else:
        milliseconds = int(text)
    if not 0 < milliseconds <= DEADLINE_LIMIT_MS:
        raise RefusalError(
            RefusalReason.DEADLINE_INVALID,
            detail=f"header {DEADLINE_HEADER} is {text[:40]!r}, "
            f"expected 1 to {DEADLINE_LIMIT_MS}",
        )
    return milliseconds / 1000


def _parse_priority(text: str | None) -> Priority:
    if text is None:
        return Priority.NORMAL
    try:
        return Priority[text.upper()]
    except KeyError as error:
        names = ", ".join(priority.name.lower() for priority in Priority)
        raise _malformed(
            f"header {PRIORITY_HEADER} is {text!r}, expected one of {names}"
        ) from error


def _malformed(detail: str) -> RefusalError:
    return RefusalError(RefusalReason.MALFORMED_REQUEST, detail=detail)
