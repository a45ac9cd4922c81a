"""An order to move a service to another version, and how far that is."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from .observations import Observations


class RolloutState(StrEnum):
    """State of a roll-out."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Rollout(NamedTuple):
    """An order to move a service to another version, and how far it is.

    :param service: name of the service.
    :param candidate: version to move to.
    :param duration_s: time ordered, seconds.
    :param state: None until a node has taken the order up.
    :param stage: index into :data:`.staging.STAGE_SHARES`.
    :param started_at: when it was taken up, seconds since the Unix epoch.
    :param observations: what nodes have reported, by node.
    :param revision: revision of the record.
    :param name: name of the record.
    """

    service: str
    candidate: str
    duration_s: float
    state: RolloutState | None
    stage: int
    started_at: float
    observations: Mapping[str, Observations]
    revision: int
    name: str

    @property
    def ended(self) -> bool:
        """Whether the roll-out was completed or rolled back."""
        return self.state in (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)

    @property
    def candidate_key(self) -> str:
        """Name under which a book of evidence keeps the candidate."""
        return evidence_key(self, self.service, self.candidate)

    @property
    def base_key(self) -> str:
        """Name under which a book of evidence keeps every other version."""
        return evidence_key(self, self.service, "")


def evidence_key(rollout: Rollout | None, service: str, version: str) -> str:
    """Return the name under which a book of evidence keeps a version.

    :param rollout: the service's roll-out, if there is one.
    """
    if rollout is not None and version == rollout.candidate:
        return f"{service}/{version}"
    return f"{service}/"


def allowed_versions(
    rollout: Rollout | None, versions: Mapping[str, int]
) -> Mapping[str, int]:
    """Return the versions that may get requests.

    :param rollout: the service's roll-out, if there is one.
    :param versions: number of usable replicas by version.
    """
    if rollout is None:
        return versions
    if rollout.state is RolloutState.COMPLETED and rollout.candidate in versions:
        return {rollout.candidate: versions[rollout.candidate]}
    if rollout.state in (None, RolloutState.ROLLED_BACK):
        return {k: v for k, v in versions.items() if k != rollout.candidate}
    return versions
