"""Records of how recent requests were served, kept in memory."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, TypedDict

EXPLANATIONS_LIMIT = 5_000


class AttemptRecord(TypedDict):
    """One attempt to serve a request at an upstream."""

    version: str
    upstream: str
    outcome: str
    detail: str


class Explanation(TypedDict):
    """How a request was served.

    :param request: identifier of the request.
    :param customer: name of the customer.
    :param asked: requested model or operation.
    :param revision: revision of the configuration under which the request was served.
    :param weighed: candidates, with their expected cost and why they were considered.
    :param attempts: attempts in order.
    :param retries: reasons of the retries in order.
    :param served_by: version and upstream of the answer.
    :param cost: price in micro-units of money.
    :param outcome: ``served``, ``cancelled`` or the reason of the refusal.
    :param execution: ``not_run``, ``ran`` or ``unknown``.
    :param duration_ms: time from the request's arrival to its end, milliseconds.
    """

    request: str
    customer: str
    asked: str
    revision: int
    weighed: list[dict[str, Any]]
    attempts: list[AttemptRecord]
    retries: list[str]
    served_by: str
    cost: float
    outcome: str
    execution: str
    duration_ms: float


class ExplanationLog:
    """The most recent explanations of a node, by request."""

    def __init__(self) -> None:
        self._records: OrderedDict[str, Explanation] = OrderedDict()

    def open(
        self, request_id: str, customer: str, requested: str, revision: int
    ) -> Explanation:
        """Create and keep a request's record; beyond the limit the oldest is dropped.

        :param request_id: identifier of the request.
        :param customer: name of the customer.
        :param requested: requested model or operation.
        :param revision: revision of the configuration in force.
        """
        record = Explanation(
            request=request_id,
            customer=customer,
            asked=requested,
            revision=revision,
            weighed=[],
            attempts=[],
            retries=[],
            served_by="",
            cost=0.0,
            outcome="running",
            execution="not_run",
            duration_ms=0.0,
        )
        self._records[request_id] = record
        if len(self._records) > EXPLANATIONS_LIMIT:
            self._records.popitem(last=False)
        return record

    def find(self, request_id: str) -> Explanation | None:
        """Return a record, or None if it is not kept."""
        return self._records.get(request_id)
