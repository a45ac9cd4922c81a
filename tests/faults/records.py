"""Records of what callers, upstreams and the platform observed during a run.

Times are in seconds on the monotonic clock of the world.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple


class EngineRun(NamedTuple):
    """A completion that an engine started.

    :param at: when it started.
    :param node: node that sent it.
    :param request_id: identifier of the request.
    :param version: model version, as ``model@version``.
    :param customer: customer of the request.
    :param replica: replica that ran it.
    :param isolated: whether the node reached neither platform nor peers.
    """

    at: float
    node: str
    request_id: str
    version: str
    customer: str
    replica: str
    isolated: bool


class ServiceRun(NamedTuple):
    """An operation that a plain service ran.

    :param at: when it started.
    :param idempotency_key: idempotency key that the service received.
    :param request_id: identifier of the request.
    """

    at: float
    idempotency_key: str
    request_id: str


class Removal(NamedTuple):
    """A version that was withdrawn, or a replica that left.

    :param at: when the withdrawal or the departure was accepted.
    :param name: name of the version or the replica.
    """

    at: float
    name: str


class RevisionSample(NamedTuple):
    """Configuration revision of a node at one time.

    :param at: when it was read.
    :param node: name of the node.
    :param incarnation: incarnation of the node.
    :param revision: the revision.
    :param isolated: whether the node reached neither platform nor peers.
    """

    at: float
    node: str
    incarnation: str
    revision: int
    isolated: bool


@dataclass
class CallerRecord:
    """One request as its caller observed it.

    :param customer: customer that the caller belongs to.
    :param prompt: prompt, as ``customer|difficulty|session#number``; sent as the
        entry where a service is called.
    :param model: requested model or cascade, or service and operation.
    :param node: name of the node that it was sent to.
    :param sent_at: when it was sent.
    :param session: session token, empty for a new session.
    :param idempotency_key: idempotency key, empty for none.
    :param stream: whether a stream was requested.
    :param service: whether a plain service was called.
    :param status: HTTP status, 0 if no answer began.
    :param headers: headers of the answer, with names in lower case.
    :param body: body of the answer as far as it arrived.
    :param finished: whether the whole answer arrived.
    :param finished_at: when the request ended.
    :param interrupted: whether the request ended before the whole answer arrived.
    :param disconnects_early: whether the caller disconnects before the answer ends.
    """

    customer: str
    prompt: str
    model: str
    node: str
    sent_at: float
    session: str = ""
    idempotency_key: str = ""
    stream: bool = False
    service: bool = False
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    finished: bool = False
    finished_at: float = 0.0
    interrupted: bool = False
    disconnects_early: bool = False

    @property
    def request_id(self) -> str:
        """Identifier of the request, empty if the caller received none."""
        return self.headers.get("lentilshore-request", "")


@dataclass
class History:
    """Everything that was observed from outside the nodes.

    :param caller_records: requests of callers.
    :param engine_runs: completions that engines started.
    :param service_runs: operations that plain services ran.
    :param withdrawals: withdrawn versions.
    :param departures: replicas that left.
    :param accepted_changes: time and revision of each accepted change.
    :param rollout_states: candidate and final state of each roll-out.
    :param samples: revisions that nodes had.
    :param planned_stops: names of nodes that are stopped on purpose.
    :param crashed_incarnations: incarnations that crashed.
    :param objects: objects in the store at the end, by key.
    :param object_values: every value that an object had, oldest first, by key.
    """

    caller_records: list[CallerRecord] = field(default_factory=list)
    engine_runs: list[EngineRun] = field(default_factory=list)
    service_runs: list[ServiceRun] = field(default_factory=list)
    withdrawals: list[Removal] = field(default_factory=list)
    departures: list[Removal] = field(default_factory=list)
    accepted_changes: list[tuple[float, int]] = field(default_factory=list)
    rollout_states: list[tuple[str, str]] = field(default_factory=list)
    samples: list[RevisionSample] = field(default_factory=list)
    planned_stops: set[str] = field(default_factory=set)
    crashed_incarnations: set[str] = field(default_factory=set)
    objects: dict[str, Any] = field(default_factory=dict)
    object_values: dict[str, list[Any]] = field(default_factory=dict)
