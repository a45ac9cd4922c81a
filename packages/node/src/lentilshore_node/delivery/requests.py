"""Parses the headers and bodies of callers' requests into types."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple, TypedDict

import msgspec

from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.json import decode_json
from lentilshore_kernel.types import Priority, RefusalReason

MAX_HEADER_CHARACTERS = 512
MAX_DEADLINE_MS = 3_600_000
DEFAULT_OUTPUT_TOKENS = 512
# Estimates the tokens of a prompt from its length.
CHARACTERS_PER_TOKEN = 4

SESSION_HEADER = "lentilshore-session"
REQUEST_KIND_HEADER = "lentilshore-request-kind"
QUALITY_TARGET_HEADER = "lentilshore-quality-target"
DEADLINE_HEADER = "lentilshore-deadline-ms"
PRIORITY_HEADER = "lentilshore-priority"
REQUEST_TREE_HEADER = "lentilshore-request-tree"
USER_HEADER = "lentilshore-user"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"


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
    """Values of a caller's request headers.

    :param api_key: bearer key, empty for none.
    :param session_token: session token, empty for a new session.
    :param request_kind: request kind, for quality targets and estimates.
    :param quality_target: requested share of good answers, None for the default.
    :param deadline_s: time allowed for the whole request, seconds.
    :param priority: priority among queued requests.
    :param tree_id: identifier of the request tree, empty for a tree of one request.
    :param user: identifier of the customer's user, empty for none.
    :param idempotency_key: key under which a call runs at most once, empty for none.
    """

    api_key: str
    session_token: str
    request_kind: str
    quality_target: float | None
    deadline_s: float
    priority: Priority
    tree_id: str
    user: str
    idempotency_key: str


class CompletionRequest(NamedTuple):
    """A caller's request for a completion.

    :param headers: values of the request headers.
    :param model: a model, a cascade or ``model@version``.
    :param body: the whole body, JSON object.
    :param stream: whether the caller wants a streamed answer.
    :param input_tokens: estimated tokens of the prompt.
    :param max_output_tokens: most tokens that the answer may have.
    :param prefix: text that later prompts may share: all messages but the last.
    """

    headers: CallerHeaders
    model: str
    body: dict[str, Any]
    stream: bool
    input_tokens: int
    max_output_tokens: int
    prefix: str


class ServiceRequest(NamedTuple):
    """A caller's call of a plain service."""

    headers: CallerHeaders
    service: str
    operation: str
    body: bytes
    content_type: str


def parse_headers(
    headers: Mapping[str, str], default_deadline_s: float
) -> CallerHeaders:
    """Parse the headers of a caller's request.

    :param headers: headers, names in lower case.
    :param default_deadline_s: deadline of a request that names none, seconds.
    :raises RefusalError: ``malformed_request`` or ``deadline_invalid``.
    """
    for name, value in headers.items():
        too_long = len(value) > MAX_HEADER_CHARACTERS
        if too_long and name != SESSION_HEADER and name.startswith("lentilshore-"):
            raise _malformed_request(
                f"header {name} exceeds {MAX_HEADER_CHARACTERS} characters"
            )
    scheme, _, key = headers.get("authorization", "").partition(" ")
    idempotency_key = headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if len(idempotency_key) > MAX_HEADER_CHARACTERS:
        raise _malformed_request(
            f"header {IDEMPOTENCY_KEY_HEADER} exceeds "
            f"{MAX_HEADER_CHARACTERS} characters"
        )
    return CallerHeaders(
        api_key=key.strip() if scheme.lower() == "bearer" else "",
        session_token=headers.get(SESSION_HEADER, ""),
        request_kind=headers.get(REQUEST_KIND_HEADER, "default"),
        quality_target=_parse_quality_target(headers.get(QUALITY_TARGET_HEADER)),
        deadline_s=_parse_deadline(headers.get(DEADLINE_HEADER), default_deadline_s),
        priority=_parse_priority(headers.get(PRIORITY_HEADER)),
        tree_id=headers.get(REQUEST_TREE_HEADER, ""),
        user=headers.get(USER_HEADER, ""),
        idempotency_key=idempotency_key,
    )


def parse_completion(headers: CallerHeaders, data: bytes) -> CompletionRequest:
    """Parse the body of a completion request.

    :param headers: values of the request headers.
    :param data: the body, expected to be JSON.
    :raises RefusalError: ``malformed_request``.
    """
    try:
        body = decode_json(data)
        fields = msgspec.convert(body, _CompletionBody)
    except msgspec.MsgspecError as error:
        raise _malformed_request(str(error)) from error
    if not fields.get("model") or not fields.get("messages"):
        raise _malformed_request(
            "body lacks `model` or `messages`, expected a model name and at least "
            "one message"
        )
    max_output_tokens = fields.get("max_tokens", DEFAULT_OUTPUT_TOKENS)
    if max_output_tokens < 1:
        raise _malformed_request(
            f"`max_tokens` is {max_output_tokens}, expected at least 1"
        )
    messages = fields["messages"]
    characters = sum(len(message["content"]) for message in messages)
    return CompletionRequest(
        headers=headers,
        model=fields["model"],
        body=body,
        stream=fields.get("stream", False),
        input_tokens=1 + characters // CHARACTERS_PER_TOKEN,
        max_output_tokens=max_output_tokens,
        prefix="".join(message["content"] for message in messages[:-1]),
    )


def _parse_quality_target(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        target = float(text)
    except ValueError:
        # Out of range, so refused below.
        target = -1.0
    if not 0 <= target <= 1:
        raise _malformed_request(
            f"header {QUALITY_TARGET_HEADER} is {text!r}, expected a number from 0 to 1"
        )
    return target


def _parse_deadline(text: str | None, default_s: float) -> float:
    if text is None:
        return default_s
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        # Out of range, so refused below.
        milliseconds = 0
    else:
        milliseconds = int(text)
    if not 0 < milliseconds <= MAX_DEADLINE_MS:
        raise RefusalError(
            RefusalReason.DEADLINE_INVALID,
            detail=f"header {DEADLINE_HEADER} is {text[:40]!r}, "
            f"expected milliseconds from 1 to {MAX_DEADLINE_MS}",
        )
    return milliseconds / 1000


def _parse_priority(text: str | None) -> Priority:
    if text is None:
        return Priority.NORMAL
    try:
        return Priority[text.upper()]
    except KeyError as error:
        names = ", ".join(priority.name.lower() for priority in Priority)
        raise _malformed_request(
            f"header {PRIORITY_HEADER} is {text!r}, expected one of {names}"
        ) from error


def _malformed_request(detail: str) -> RefusalError:
    return RefusalError(RefusalReason.MALFORMED_REQUEST, detail=detail)
