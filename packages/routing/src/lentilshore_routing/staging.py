"""Stages by which a service's traffic moves to another software version.

Every node works from the same shared record. Any node may make the step that is
due, under the condition that the record has not changed since it was read, so
that no node has to hold the duty.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from enum import StrEnum
from functools import reduce
from typing import NamedTuple

from .rollouts import EvidenceBook, Tally, excess_chance

# Shares of new sessions that go to the candidate, by stage. The first is small
# enough for a version that fails at once to stay under a tenth of the traffic.
STAGE_SHARES = (0.08, 0.25, 1.0)
# Parts of the ordered time at which stages begin. Sessions must keep their version
# in the first half; the last leaves a sixth of the time for runs at the old one.
STAGE_STARTS = (0.0, 0.52, 0.6)
COMPLETION_START = 0.84
# A candidate is worse if this many bad answers, from several replicas, or this many
# from any, are less likely than the chance beside them where it is no worse. A halt
# without need costs a repeated roll-out, a bad version left running costs answers.
FEWEST_BAD = 2
LIKELY_CHANCE = 0.05
UNLIKELY_SLOW_CHANCE = 0.002
CERTAIN_BAD = 6
CERTAIN_CHANCE = 0.0005
# Names of failing replicas that a node reports.
FAILING_KEPT = 4
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


class Sightings(NamedTuple):
    """What one node has seen of a candidate and of its base.

    :param errors: failures among the candidate's answers.
    :param slow: answers of the candidate that took several times the usual.
    :param base_errors: failures among the base's answers.
    :param base_slow: answers of the base that took several times the usual.
    :param replicas: replicas of the candidate that failed.
    """

    errors: Tally
    slow: Tally
    base_errors: Tally
    base_slow: Tally
    replicas: tuple[str, ...]

    @property
    def bad(self) -> int:
        """Answers that speak against the candidate."""
        return self.errors.bad + self.slow.bad

    def add(self, other: Sightings) -> Sightings:
        """Return what two nodes have seen together."""
        tallies = [
            Tally(own.bad + theirs.bad, own.total + theirs.total)
            for own, theirs in zip(self[:4], other[:4], strict=True)
        ]
        replicas = tuple(sorted({*self.replicas, *other.replicas}))
        return Sightings(*tallies, replicas)


class Rollout(NamedTuple):
    """An order to move a service to another version, and how far it is.

    :param service: name of the service.
    :param candidate: version to move to.
    :param duration_s: time ordered, seconds.
    :param state: None until a node has taken the order up.
    :param stage: index into :data:`STAGE_SHARES`.
    :param started_at: when it was taken up, seconds since the Unix epoch.
    :param sightings: what nodes have reported, by node.
    :param revision: revision of the record.
    :param name: name of the record.
    """

    service: str
    candidate: str
    duration_s: float
    state: RolloutState | None
    stage: int
    started_at: float
    sightings: Mapping[str, Sightings]
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


class VersionEvidence:
    """What a node has seen of versions, by roll-out."""

    def __init__(self) -> None:
        self._book = EvidenceBook()
        self._baseline = LatencyBaseline()
        self._failing: dict[str, set[str]] = {}

    def note_error(
        self, rollout: Rollout | None, place: tuple[str, str, str], bad: bool
    ) -> None:
        """Count an answer.

        :param rollout: the service's roll-out, if there is one.
        :param place: service, version and replica.
        :param bad: whether the answer is a failure.
        """
        key = self._key(rollout, place, bad)
        self._book.add(key, "error", "", bad)

    def note_time(
        self,
        rollout: Rollout | None,
        place: tuple[str, str, str],
        kind: str,
        seconds: float,
    ) -> None:
        """Compare a time with the base's, or take it as one of the base's.

        :param kind: times of one kind may be compared.
        """
        slow = self._baseline.slow(kind, seconds)
        key = self._key(rollout, place, slow)
        self._book.add(key, "latency", "", slow)
        if rollout is None or place[1] != rollout.candidate:
            self._baseline.add(kind, seconds)

    def sightings(self, rollout: Rollout) -> Sightings:
        """Return what was seen of a roll-out's versions."""
        tally = self._book.tally
        failing = sorted(self._failing.get(rollout.candidate_key, ()))
        return Sightings(
            tally(rollout.candidate_key, "error"),
            tally(rollout.candidate_key, "latency"),
            tally(rollout.base_key, "error"),
            tally(rollout.base_key, "latency"),
            tuple(failing[:FAILING_KEPT]),
        )

    def _key(
        self, rollout: Rollout | None, place: tuple[str, str, str], bad: bool
    ) -> str:
        service, version, replica = place
        key = evidence_key(rollout, service, version)
        if bad:
            self._failing.setdefault(key, set()).add(replica)
        return key


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
    rollout: Rollout, age_s: float, own: Sightings, node: str
) -> Rollout | None:
    """Return the record after the step that is due.

    :param rollout: the record.
    :param age_s: time since the order, seconds.
    :param own: what this node has seen of both versions.
    :param node: name of this node.
    :returns: None if no step is due.
    """
    if rollout.ended:
        return None
    if rollout.state is None:
        return rollout._replace(state=RolloutState.RUNNING, stage=0, sightings={})
    sightings = {**rollout.sightings, node: own}
    if is_worse(sightings.values()):
        return rollout._replace(state=RolloutState.ROLLED_BACK, sightings=sightings)
    part = age_s / rollout.duration_s
    if rollout.stage == len(STAGE_SHARES) - 1 and part >= COMPLETION_START:
        return rollout._replace(state=RolloutState.COMPLETED)
    due = sum(part >= start for start in STAGE_STARTS) - 1
    if due > rollout.stage:
        return rollout._replace(stage=rollout.stage + 1)
    known = rollout.sightings.get(node)
    if own.bad > (known.bad if known else 0):
        return rollout._replace(sightings=sightings)
    return None


def is_worse(sightings: Iterable[Sightings]) -> bool:
    """Tell whether a candidate fails, or is slow, more often than its base.

    Few failures are enough where the base has next to none, but not if they all
    come from one replica, which may be at fault itself.
    """
    seen = reduce(Sightings.add, sightings)
    several = len(seen.replicas) > 1
    for candidate, base in (
        (seen.errors, seen.base_errors),
        (seen.slow, seen.base_slow),
    ):
        if candidate.bad < FEWEST_BAD:
            continue
        chance = excess_chance(candidate, base)
        if chance < CERTAIN_CHANCE and candidate.bad >= CERTAIN_BAD:
            return True
        if several and chance < LIKELY_CHANCE and candidate is seen.errors:
            return True
        if several and chance < UNLIKELY_SLOW_CHANCE:
            return True
    return False


def hash_point(text: str) -> float:
    """Return a number from 0 to 1 that depends on the text alone."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


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
