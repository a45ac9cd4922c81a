"""Requests that are passed on unchanged: their types and both edges' translator."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from lentilshore_kernel.exceptions import RefusalError
from lentilshore_routing.placement import Replica
from lentilshore_routing.routes import KeyHolder, PrefixPart

from .http_client import HeaderFields


class ForwardRequest(NamedTuple):
    """A caller's request, as it came.

    :param request: identifier that the caller gave it.
    :param method: HTTP method.
    :param target: path and query, unchanged.
    :param path: path that selects the route.
    :param host: host that selects the route.
    :param key: the caller's key, empty if there is none.
    :param deadline_s: how long the caller waits, seconds; None if not told.
    :param session: identifier of the session, empty for none.
    :param prompt_tokens: tokens of the prompt.
    :param output_tokens: most tokens of the answer, or a better estimate.
    :param parts: parts of the prompt, in order.
    :param resume_after: number of the last event that the caller has.
    :param fields: headers that are passed on as they are.
    :param body: the body; None if the request has none.
    """

    request: str
    method: bytes
    target: bytes
    path: str
    host: str
    key: str
    deadline_s: float | None
    session: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PrefixPart, ...]
    resume_after: int | None
    fields: HeaderFields
    body: bytes | None = None


class Attempt(NamedTuple):
    """What is told to a replica besides the caller's request.

    :param replica: the replica.
    :param holder: customer, None where the route needs no key.
    :param remaining_s: time left, seconds.
    :param priority: rank, 0 is the most urgent.
    :param model: model to run, empty for what the request names.
    :param resume_after: number of the last event that the caller has.
    """

    replica: Replica
    holder: KeyHolder | None
    remaining_s: float
    priority: int
    model: str
    resume_after: int | None


class AnswerHead(NamedTuple):
    """What the head of a replica's answer says.

    :param request: identifier of the request that it answers, empty if not told.
    :param not_run: whether the replica states that the request did not run.
    :param replaced: whether another replica than the one asked for answered.
    :param genuine: whether it bears the replica's signature and no encoding that
        the caller did not ask for.
    :param confidence: the model's confidence from 0 to 100, None if not told.
    """

    request: str
    not_run: bool
    replaced: bool
    genuine: bool
    confidence: int | None


class Translator(Protocol):
    """Words of a deployment, at the callers' and at the replicas' edge."""

    @property
    def ready_path(self) -> str:
        """Path at which a balancer asks whether the node is ready."""

    def read_request(
        self, method: str, target: bytes, path: str, fields: HeaderFields
    ) -> ForwardRequest:
        """Read the head of a caller's request.

        :raises RefusalError: ``malformed_request``.
        """

    def encode_attempt(self, request: ForwardRequest, attempt: Attempt) -> bytes:
        """Return the whole request for a replica."""

    def read_head(self, status: int, headers: dict[str, str]) -> AnswerHead:
        """Read the head of a replica's answer."""

    def answer_fields(self, fields: HeaderFields) -> list[tuple[bytes, bytes]]:
        """Return the headers of a replica's answer that the caller gets."""

    def refusal_fields(
        self, refusal: RefusalError, request: str
    ) -> Sequence[tuple[bytes, bytes]]:
        """Return the headers of a refusal."""
