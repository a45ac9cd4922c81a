"""Types of forwarded requests, and the protocol that translates headers."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from lentilshore_kernel.exceptions import RefusalError
from lentilshore_routing.replicas import Replica
from lentilshore_routing.routes import KeyOwner, PromptPart

from .http_connection import HeaderFields


class ForwardRequest(NamedTuple):
    """A caller's request, as it was received.

    :param request_id: identifier that the caller gave the request, empty for none.
    :param method: HTTP method.
    :param target: path and query, unchanged.
    :param path: path that selects the route.
    :param host: host that selects the route.
    :param key: the caller's API key, empty if there is none.
    :param deadline_s: how long the caller waits, seconds; None if not stated.
    :param session: identifier of the session, empty for none.
    :param prompt_tokens: tokens of the prompt.
    :param output_tokens: expected number of tokens of the answer; the largest allowed
        number where nothing better is known.
    :param parts: parts of the prompt, in order.
    :param resume_after: number of the last event that the caller has received; None to
        start the stream from its beginning.
    :param fields: headers that are forwarded unchanged.
    :param body: the body; None if the request has none.
    """

    request_id: str
    method: bytes
    target: bytes
    path: str
    host: str
    key: str
    deadline_s: float | None
    session: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    resume_after: int | None
    fields: HeaderFields
    body: bytes | None = None


class Attempt(NamedTuple):
    """Parameters of one attempt, sent to a replica with the caller's request.

    :param replica: the replica.
    :param customer: customer that sent the request, None on a public route.
    :param remaining_s: time left until the caller's deadline, seconds.
    :param priority: priority, 0 is the most urgent.
    :param model: model to run, empty for the one that the request names.
    :param resume_after: number of the last event that the caller has received, None
        for none.
    """

    replica: Replica
    customer: KeyOwner | None
    remaining_s: float
    priority: int
    model: str
    resume_after: int | None


class AnswerHead(NamedTuple):
    """Contents of the head of a replica's answer.

    :param request_id: identifier of the answered request, empty if not stated.
    :param not_run: whether the replica states that the request did not run.
    :param no_room: whether it rejected the request for want of room.
    :param rejections_per_s: requests that the replica can reject a second without
        ending; None if it states none, not a number if it can't be read.
    :param misdirected: whether the answer comes from another replica than the chosen
        one.
    :param unaltered: whether the answer bears the replica's signature and no content
        encoding that was not requested.
    :param confidence: the model's confidence from 0 to 100, None if not stated.
    :param limit_per_s: requests a second that the replica takes from all nodes
        together; None if it names no limit, not a number if it can't be read.
    :param leaving: whether the replica says that it leaves.
    :param pause_s: time for which the replica wants nothing from this node, seconds;
        None if it states none, not a number if it can't be read.
    """

    request_id: str
    not_run: bool
    misdirected: bool
    unaltered: bool
    confidence: int | None
    limit_per_s: float | None = None
    leaving: bool = False
    pause_s: float | None = None
    no_room: bool = False
    rejections_per_s: float | None = None


class Translator(Protocol):
    """Translates a deployment's headers, those of callers and those of replicas."""

    @property
    def ready_path(self) -> str:
        """Path of the balancer's readiness probes."""

    @property
    def report_path(self) -> str:
        """Path that replicas answer at once, with or without a free place."""

    def read_request(
        self, method: str, target: bytes, path: str, fields: HeaderFields
    ) -> ForwardRequest:
        """Read the head of a caller's request.

        :raises RefusalError: ``malformed_request``.
        """

    def encode_attempt(self, request: ForwardRequest, attempt: Attempt) -> bytes:
        """Return the complete HTTP request for a replica."""

    def read_head(self, status: int, headers: dict[str, str]) -> AnswerHead:
        """Read the head of a replica's answer."""

    def answer_fields(self, fields: HeaderFields) -> list[tuple[bytes, bytes]]:
        """Return the headers of a replica's answer that are relayed to the caller."""

    def refusal_fields(
        self, refusal: RefusalError, request_id: str
    ) -> Sequence[tuple[bytes, bytes]]:
        """Return the headers of a refusal."""
