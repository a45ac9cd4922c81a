"""Stages by which a service's traffic moves to another software version.

Every node works from the same shared record. Any node may make the step that is
due, under the condition that the record has not changed since it was read, so
that no node has to hold the duty.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from .rollouts import EvidenceBook, judge

# Shares of new sessions that go to the candidate, by stage. The first is small
# enough for a version that fails at once to stay under a tenth of the traffic.
STAGE_SHARES = (0.08, 0.4, 1.0)
# Parts of the ordered time at which stages begin. Sessions must keep their version
# in the first half; the last leaves a sixth of the time for runs at the old one.
STAGE_STARTS = (0.0, 0.52, 0.6)
COMPLETION_START = 0.84
# Failures that a node has seen of the candidate before it tells the others.
SUSPICIOUS_FAILURES = 1
SESSIONS_KEPT = 20_000
# A run counts as slow at this multiple of the base's mean; slow versions are said to
# be several times slower.
SLOW_FACTOR = 3.0
SLOW_FLOOR_S = 0.015
MEAN_WEIGHT = 0.1
BASELINE_MINIMUM = 5


class RolloutState(StrEnum):
    """State of a roll-out."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Failures(NamedTuple):
    """What one node has seen of the candidate.

    :param errors: answers that were failures.
    :param slow: answers that took several times as long as the base's.
    :param total: answers.
    """

    errors: int
    slow: int
    total: int

    @property
    def bad(self) -> int:
        """Answers that speak against the candidate."""
        return self.errors + self.slow


class Rollout(NamedTuple):
    """An order to move a service to another version, and how far it is.

    :param service: name of the service.
    :param candidate: version to move to.
    :param duration_s: time ordered, seconds.
    :param state: None until a node has taken the order up.
    :param stage: index into :data:`STAGE_SHARES`.
    :param started_at: when it was taken up, seconds since the Unix epoch.
    :param failures: what nodes have reported, by node.
    :param revision: revision of the record.
    :param name: name of the record.
    """

    service: str
    candidate: str
    duration_s: float
    state: RolloutState | None
    stage: int
    started_at: float
    failures: Mapping[str, Failures]
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
        last = rollout.stage >= len(STAGE_SHARES) - 1
        if kept == rollout.candidate or last:
            return rollout.candidate
        if kept in base and rollout.stage == 0:
            return kept
        spot = hash_point(session) if session else point
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
        if len(self._sessions) > SESSIONS_KEPT:
            self._sessions.popitem(last=False)


class LatencyBaseline:
    """Mean time to an answer by kind of work, for telling slow answers."""

    def __init__(self) -> None:
        self._means: dict[str, tuple[float, int]] = {}

    def add(self, kind: str, seconds: float) -> None:
        """Take in an answer of the base version."""
        mean, count = self._means.get(kind, (seconds, 0))
        mean += (seconds - mean) * max(MEAN_WEIGHT, 1 / (count + 1))
        self._means[kind] = (mean, count + 1)

    def expected_s(self, kind: str) -> float:
        """Return the mean time to an answer, 0 if none is known."""
        return self._means.get(kind, (0.0, 0))[0]

    def slow(self, kind: str, seconds: float) -> bool:
        """Tell whether an answer took several times the mean."""
        mean, count = self._means.get(kind, (0.0, 0))
        if count < BASELINE_MINIMUM:
            return False
        return seconds > mean * SLOW_FACTOR + SLOW_FLOOR_S


def latency_kind(route: str, model: str, prompt_tokens: int) -> str:
    """Return the kind of work whose times may be compared.

    Times to the first event grow with the prompt, so that prompts of unlike
    sizes are kept apart.
    """
    return f"{route}/{model}/{prompt_tokens.bit_length()}"


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


def evidence_key(rollout: Rollout | None, service: str, version: str) -> str:
    """Return the name under which a book of evidence keeps a version.

    :param rollout: the service's roll-out, if there is one.
    """
    if rollout is not None and version == rollout.candidate:
        return f"{service}/{version}"
    return f"{service}/"


def next_state(
    rollout: Rollout, age_s: float, book: EvidenceBook, node: str
) -> Rollout | None:
    """Return the record after the step that is due.

    :param rollout: the record.
    :param age_s: time since the order, seconds.
    :param book: what this node has seen of both versions.
    :param node: name of this node.
    :returns: None if no step is due.
    """
    if rollout.ended:
        return None
    if rollout.state is None:
        return rollout._replace(state=RolloutState.RUNNING, stage=0, failures={})
    merged = _merge(rollout, book, node)
    if judge(merged, rollout.base_key, rollout.candidate_key).halt:
        failures = {**rollout.failures, node: _own(book, rollout.candidate_key)}
        return rollout._replace(state=RolloutState.ROLLED_BACK, failures=failures)
    part = age_s / rollout.duration_s
    if rollout.stage == len(STAGE_SHARES) - 1 and part >= COMPLETION_START:
        return rollout._replace(state=RolloutState.COMPLETED)
    due = sum(part >= start for start in STAGE_STARTS) - 1
    if due > rollout.stage:
        return rollout._replace(stage=rollout.stage + 1)
    own = _own(book, rollout.candidate_key)
    known = rollout.failures.get(node, Failures(0, 0, 0))
    if own.bad >= SUSPICIOUS_FAILURES and own.bad > known.bad:
        return rollout._replace(failures={**rollout.failures, node: own})
    return None


def hash_point(text: str) -> float:
    """Return a number from 0 to 1 that depends on the text alone."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


def _own(book: EvidenceBook, candidate: str) -> Failures:
    errors, slow = book.tally(candidate, "error"), book.tally(candidate, "latency")
    return Failures(errors.bad, slow.bad, errors.total)


def _merge(rollout: Rollout, book: EvidenceBook, node: str) -> EvidenceBook:
    merged = EvidenceBook()
    for version in (rollout.base_key, rollout.candidate_key):
        merged.merge(version, book.export(version))
    for name, seen in rollout.failures.items():
        if name != node:
            tallies = {
                "error/": (seen.errors, seen.total),
                "latency/": (seen.slow, seen.total - seen.errors),
            }
            merged.merge(rollout.candidate_key, {"tallies": tallies})
    return merged


def _candidate(rollout: Rollout | None, version: str) -> bool:
    return rollout is not None and version == rollout.candidate


def _weighted(versions: Mapping[str, int], session: str, point: float) -> str:
    spot = hash_point("weighted/" + session) if session else point
    total = sum(versions.values())
    passed = 0
    for version in sorted(versions):
        passed += versions[version]
        if spot * total < passed:
            return version
    return max(versions)
