"""Choice of the version that serves a request, with sessions kept on theirs."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Mapping

from .rollout_record import Rollout, allowed_versions
from .staging import FIRST_SESSION_STAGE, LAST_STAGE, STAGE_SHARES

# Sessions that a node remembers; each takes some hundred bytes.
MAX_SESSIONS = 20_000


class VersionChooser:
    """Chooses the version that serves a request, keeping sessions on theirs.

    :param session_s: time after which a session is forgotten, seconds.
    """

    def __init__(self, session_s: float) -> None:
        self._session_s = session_s
        self._sessions: OrderedDict[str, tuple[str, float]] = OrderedDict()

    def choose(
        self,
        rollout: Rollout | None,
        versions: Mapping[str, int],
        session: str,
        point: float,
        now: float,
    ) -> str | None:
        """Return the version for a request.

        :param rollout: the service's roll-out, if there is one.
        :param versions: number of usable replicas by version.
        :param session: identifier of the session, empty for none.
        :param point: random number from 0 to 1, for requests without a session.
        :param now: time on the node's clock, seconds.
        :returns: None if no version that may be used has a replica.
        """
        allowed = allowed_versions(rollout, versions)
        if not allowed:
            return None
        kept = self._kept(session, now)
        chosen = self._choose(rollout, allowed, kept, session, point)
        if session:
            self._keep(session, chosen, now)
        return chosen

    def _choose(
        self,
        rollout: Rollout | None,
        allowed: Mapping[str, int],
        kept: str | None,
        session: str,
        point: float,
    ) -> str:
        base = {k: v for k, v in allowed.items() if not _candidate(rollout, k)}
        if rollout is None or rollout.candidate not in allowed or not base:
            return kept if kept in allowed else _weighted(allowed, session, point)
        last = rollout.stage >= LAST_STAGE
        if kept == rollout.candidate or last:
            return rollout.candidate
        if session and rollout.stage < FIRST_SESSION_STAGE:
            return kept if kept in base else _weighted(base, session, point)
        spot = hash_fraction(session) if session else point
        if spot < STAGE_SHARES[rollout.stage]:
            return rollout.candidate
        return kept if kept in base else _weighted(base, session, point)

    def _kept(self, session: str, now: float) -> str | None:
        found = self._sessions.get(session)
        if found is None or now - found[1] > self._session_s:
            return None
        return found[0]

    def _keep(self, session: str, version: str, now: float) -> None:
        self._sessions[session] = (version, now)
        self._sessions.move_to_end(session)
        if len(self._sessions) > MAX_SESSIONS:
            self._sessions.popitem(last=False)


def hash_fraction(text: str) -> float:
    """Return a number from 0 to 1 that depends on the text alone."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


def _candidate(rollout: Rollout | None, version: str) -> bool:
    return rollout is not None and version == rollout.candidate


def _weighted(versions: Mapping[str, int], session: str, point: float) -> str:
    spot = hash_fraction("weighted/" + session) if session else point
    total = sum(versions.values())
    passed = 0
    for version in sorted(versions):
        passed += versions[version]
        if spot * total < passed:
            return version
    return max(versions)
