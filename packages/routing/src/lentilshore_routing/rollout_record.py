"""Shared record of a roll-out: the version to move to and the progress made."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from lentilshore_kernel.types import StoreRevision

from .observations import Observations


class RolloutState(StrEnum):
    """State of a roll-out."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Rollout(NamedTuple):
    """An order to move a service to another version, and its progress.

    :param service: name of the service.
    :param candidate: version to move to.
    :param duration_s: time that the roll-out is to take, seconds.
    :param state: None until a node has started the roll-out.
    :param stage: index into :data:`.staging.STAGE_SHARES`.
    :param started_at: start time, seconds since the Unix epoch.
    :param observations: observations that nodes have reported, by name of the node.
    :param revision: revision of the record in the store, for conditional writes.
    :param name: name of the record in the store.
    """

    service: str
    candidate: str
    duration_s: float
    state: RolloutState | None
    stage: int
    started_at: float
    observations: Mapping[str, Observations]
    revision: StoreRevision
    name: str

    @property
    def ended(self) -> bool:
        """Whether the roll-out was completed or rolled back."""
        return self.state in (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)

    @property
    def progress(self) -> tuple[int, int]:
        """How far the roll-out has come; greater is further, an end is the furthest."""
        if self.ended:
            return 2, 0
        return int(self.state is not None), self.stage

    def same_order(self, other: Rollout) -> bool:
        """Return whether another record belongs to the same order."""
        return (self.name, self.service, self.candidate, self.duration_s) == (
            other.name,
            other.service,
            other.candidate,
            other.duration_s,
        )

    @property
    def candidate_key(self) -> str:
        """Key of the candidate's evidence."""
        return evidence_key(self, self.service, self.candidate)

    @property
    def base_key(self) -> str:
        """Key of the evidence of all versions but the candidate."""
        return evidence_key(self, self.service, "")


def evidence_key(rollout: Rollout | None, service: str, version: str) -> str:
    """Return the key of a version's evidence.

    All versions of a service but the candidate share one key.

    :param rollout: the service's roll-out, if there is one.
    :param service: name of the service.
    :param version: name of the version.
    """
    if rollout is not None and version == rollout.candidate:
        return f"{service}/{version}"
    return f"{service}/"


def allowed_versions(
    rollout: Rollout | None, replica_counts: Mapping[str, int]
) -> Mapping[str, int]:
    """Return the replica_counts that requests may be sent to.

    :param rollout: the service's roll-out, if there is one.
    :param replica_counts: number of usable replicas by version.
    :returns: the entries of ``replica_counts`` whose version is allowed.
    """
    if rollout is None:
        return replica_counts
    if rollout.state is RolloutState.COMPLETED and rollout.candidate in replica_counts:
        return {rollout.candidate: replica_counts[rollout.candidate]}
    if rollout.state in (None, RolloutState.ROLLED_BACK):
        return {
            version: count
            for version, count in replica_counts.items()
            if version != rollout.candidate
        }
    return replica_counts
