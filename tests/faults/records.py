"""What callers, upstreams and the platform saw during a run."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple


class EngineRun(NamedTuple):
    """A completion that an engine started."""

    at: float
    node: str
    request_id: str
    version: str
    customer: str
    replica: str
    isolated: bool


class ServiceRun(NamedTuple):
    """An operation that a plain service ran."""

    at: float
    idempotency_key: str
    request_id: str


class Removal(NamedTuple):
    """A withdrawal, or a leaving replica, and when it was accepted."""

    at: float
    name: str


class RevisionSample(NamedTuple):
    """Revision that an operator read from a node."""

    at: float
    node: str
    incarnation: str
    revision: int
    isolated: bool


@dataclass
class CallerRecord:
    """One request as its caller saw it."""

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
        """Identifier of the request, if the caller learned it."""
        return self.headers.get("lentilshore-request", "")


@dataclass
class History:
    """Everything that was seen from outside."""

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
