"""Choice of the version that serves a request, with sticky sessions."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Mapping

from .rollout_record import Rollout, allowed_versions
from .staging import FIRST_SESSION_STAGE, STAGE_SHARES, TRIAL_STAGE

# Limits the memory of a node: each session takes some hundred bytes.
MAX_SESSIONS = 20_000


class VersionChooser:
    """Chooses the version that serves a request, with sessions pinned to a version.

    :param session_timeout_s: idle time after which a session expires, seconds.
    """

    def __init__(self, session_timeout_s: float) -> None:
        self._session_timeout_s = session_timeout_s
        # Version and time of the last request, by session.
        self._sessions: OrderedDict[str, tuple[str, float]] = OrderedDict()

    def choose(
        self,
        rollout: Rollout | None,
        replica_counts: Mapping[str, int],
        session: str,
        point: float,
        now: float,
    ) -> str | None:
        """Return the version for a request.

        :param rollout: the service's roll-out, if there is one.
        :param replica_counts: number of usable replicas by version.
        :param session: identifier of the session, empty for none.
        :param point: random number from 0 to 1, for requests without a session.
        :param now: time on the node's clock, seconds.
        :returns: the version, or None if no allowed version has a usable replica.
        """
        allowed = allowed_versions(rollout, replica_counts)
        if not allowed:
            return None
        pinned = self._pinned_version(session, now)
        chosen = self._choose(rollout, allowed, pinned, session, point)
        if session:
            self._pin(session, chosen, now)
        return chosen

    def _choose(
        self,
        rollout: Rollout | None,
        allowed: Mapping[str, int],
        pinned: str | None,
        session: str,
        point: float,
    ) -> str:
        base_versions = {
            version: count
            for version, count in allowed.items()
            if not _is_candidate(rollout, version)
        }
        if rollout is None or rollout.candidate not in allowed or not base_versions:
            return (
                pinned
                if pinned in allowed
                else _choose_weighted(allowed, session, point)
            )
        gets_all_traffic = rollout.stage >= TRIAL_STAGE
        if pinned == rollout.candidate or gets_all_traffic:
            return rollout.candidate
        if session and rollout.stage < FIRST_SESSION_STAGE:
            return (
                pinned
                if pinned in base_versions
                else _choose_weighted(base_versions, session, point)
            )
        position = hash_fraction(session) if session else point
        if position < STAGE_SHARES[rollout.stage]:
            return rollout.candidate
        return (
            pinned
            if pinned in base_versions
            else _choose_weighted(base_versions, session, point)
        )

    def _pinned_version(self, session: str, now: float) -> str | None:
        entry = self._sessions.get(session)
        if entry is None or now - entry[1] > self._session_timeout_s:
            return None
        return entry[0]

    def _pin(self, session: str, version: str, now: float) -> None:
        self._sessions[session] = (version, now)
        self._sessions.move_to_end(session)
        if len(self._sessions) > MAX_SESSIONS:
            self._sessions.popitem(last=False)


def hash_fraction(text: str) -> float:
    """Return a stable hash of a text, as a number from 0 to 1."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


def _is_candidate(rollout: Rollout | None, version: str) -> bool:
    return rollout is not None and version == rollout.candidate


def _choose_weighted(
    replica_counts: Mapping[str, int], session: str, point: float
) -> str:
    """Choose a version weighted by its replicas, by the hash of the session if any."""
    position = hash_fraction("weighted/" + session) if session else point
    total = sum(replica_counts.values())
    cumulative = 0
    for version in sorted(replica_counts):
        cumulative += replica_counts[version]
        if position * total < cumulative:
            return version
    return max(replica_counts)
