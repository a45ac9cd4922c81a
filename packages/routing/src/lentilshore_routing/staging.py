"""Stages by which a service's traffic moves to another software version.

Every node works from the same shared record. Any node may make the step that is
due, under the condition that the record has not changed since it was read, so
that no node has to hold the duty.
"""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from enum import StrEnum
from functools import reduce
from typing import NamedTuple

from .rollouts import Tally, excess_chance

# Shares of new sessions that go to the candidate, by stage. The first is small so
# that the last may begin while there is time for answers at the base to end.
STAGE_SHARES = (0.05, 1.0)
LAST_STAGE = len(STAGE_SHARES) - 1
# Part of the exposure allowed that is used; the rest is for uneven traffic.
EXPOSURE_USED = 0.95
# Part of the ordered time at which the roll-out is called completed, which leaves
# time to write that twice.
COMPLETION_START = 0.965
# Parts of the ordered time at which every node reports what it has seen.
REPORT_PARTS = (0.45, 0.85)
# A candidate fails more if this many bad answers, from several replicas, or this many
# from any, are less likely than the chance beside them where it is no worse. A halt
# without need costs a repeated roll-out, a bad version left running costs answers.
FEWEST_BAD = 2
LIKELY_CHANCE = 0.05
CERTAIN_BAD = 6
CERTAIN_CHANCE = 0.0005
# A candidate is slower if the logarithms of its times exceed the base's by this, by
# stage (1.16 and 1.6 times as long), and by this many standard errors. In the first
# stage its replicas have little to do and should be the quicker ones; in the last
# they have everything to do and some prompts still to read for the first time.
SLOWER_BY = (0.15, 0.5)
SLOWER_ERRORS = (3.0, 4.0)
FEWEST_TIMES = 10
FEWEST_BASE_TIMES = 30
# Names of failing replicas that a node reports.
FAILING_KEPT = 4
SESSIONS_KEPT = 20_000
# Weight of a new time in a mean.
MEAN_WEIGHT = 0.1


class RolloutState(StrEnum):
    """State of a roll-out."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Spread(NamedTuple):
    """Numbers of which only the mean and the variance matter.

    :param count: how many.
    :param total: their sum.
    :param squares: the sum of their squares.
    """

    count: int = 0
    total: float = 0.0
    squares: float = 0.0

    @property
    def mean(self) -> float:
        """Mean, 0 for none."""
        return self.total / self.count if self.count else 0.0

    @property
    def variance(self) -> float:
        """Variance, 0 for none."""
        if not self.count:
            return 0.0
        return max(0.0, self.squares / self.count - self.mean**2)

    def add(self, value: float) -> Spread:
        """Return the numbers with one more."""
        return self.join(Spread(1, value, value * value))

    def join(self, other: Spread) -> Spread:
        """Return the numbers with others."""
        return Spread(*(a + b for a, b in zip(self, other, strict=True)))


class Sightings(NamedTuple):
    """What one node has seen of a candidate and of its base.

    :param errors: failures among the candidate's answers.
    :param base_errors: failures among the base's answers.
    :param times: logarithms of the candidate's times as multiples of the usual.
    :param base_times: the same of the base.
    :param replicas: replicas of the candidate that failed.
    :param reports: reports that were due when this one was made.
    """

    errors: Tally = Tally()
    base_errors: Tally = Tally()
    times: Spread = Spread()
    base_times: Spread = Spread()
    replicas: tuple[str, ...] = ()
    reports: int = 0

    def join(self, other: Sightings) -> Sightings:
        """Return what two nodes have seen together."""
        return Sightings(
            _join(self.errors, other.errors),
            _join(self.base_errors, other.base_errors),
            self.times.join(other.times),
            self.base_times.join(other.base_times),
            tuple(sorted({*self.replicas, *other.replicas})),
            max(self.reports, other.reports),
        )


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
        last = rollout.stage >= LAST_STAGE
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
        self._usual = LatencyBaseline()
        self._errors: dict[str, Tally] = {}
        self._times: dict[str, Spread] = {}
        self._failing: dict[str, set[str]] = {}

    def note_error(
        self, rollout: Rollout | None, place: tuple[str, str, str], bad: bool
    ) -> None:
        """Count an answer.

        :param rollout: the service's roll-out, if there is one.
        :param place: service, version and replica.
        :param bad: whether the answer is a failure.
        """
        service, version, replica = place
        key = evidence_key(rollout, service, version)
        self._errors[key] = self._errors.get(key, Tally()).add(bad)
        if bad:
            self._failing.setdefault(key, set()).add(replica)

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
        service, version, _ = place
        usual_s = self._usual.expected_s(kind)
        if usual_s > 0 and seconds > 0:
            key = evidence_key(rollout, service, version)
            value = math.log(seconds / usual_s)
            self._times[key] = self._times.get(key, Spread()).add(value)
        if rollout is None or version != rollout.candidate:
            self._usual.add(kind, seconds)

    def sightings(self, rollout: Rollout) -> Sightings:
        """Return what was seen of a roll-out's versions."""
        candidate, base = rollout.candidate_key, rollout.base_key
        failing = sorted(self._failing.get(candidate, ()))
        return Sightings(
            self._errors.get(candidate, Tally()),
            self._errors.get(base, Tally()),
            self._times.get(candidate, Spread()),
            self._times.get(base, Spread()),
            tuple(failing[:FAILING_KEPT]),
        )


class LatencyBaseline:
    """Mean time to an answer by kind of work."""

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


def last_stage_start(exposure_share: float) -> float:
    """Return the part of the ordered time at which the last stage begins.

    From then on the candidate gets everything. The start is so late that a bad
    version whose failures nobody notices stays within the exposure allowed.

    :param exposure_share: part of the requests in the ordered time that a bad
        version may get.
    """
    canary = STAGE_SHARES[0]
    start = (1 - exposure_share * EXPOSURE_USED) / (1 - canary)
    return min(start, COMPLETION_START)


def next_state(
    rollout: Rollout, age_s: float, own: Sightings, node: str, exposure_share: float
) -> Rollout | None:
    """Return the record after the step that is due.

    :param rollout: the record.
    :param age_s: time since the order, seconds.
    :param own: what this node has seen of both versions.
    :param node: name of this node.
    :param exposure_share: part of the requests in the ordered time that a bad
        version may get.
    :returns: None if no step is due.
    """
    if rollout.ended:
        return None
    if rollout.state is None:
        return rollout._replace(state=RolloutState.RUNNING, stage=0, sightings={})
    part = age_s / rollout.duration_s
    own = own._replace(reports=sum(part >= due for due in REPORT_PARTS))
    sightings = {**rollout.sightings, node: own}
    if is_worse(sightings.values(), rollout.stage):
        return rollout._replace(state=RolloutState.ROLLED_BACK, sightings=sightings)
    if rollout.stage == LAST_STAGE and part >= COMPLETION_START:
        return rollout._replace(state=RolloutState.COMPLETED)
    if rollout.stage < LAST_STAGE and part >= last_stage_start(exposure_share):
        return rollout._replace(stage=LAST_STAGE)
    if _has_news(own, rollout.sightings.get(node, Sightings())):
        return rollout._replace(sightings=sightings)
    return None


def is_worse(sightings: Iterable[Sightings], stage: int) -> bool:
    """Tell whether a candidate fails more often than its base, or is slower."""
    seen = join_sightings(sightings)
    return _fails_more(seen) or _is_slower(seen.times, seen.base_times, stage)


def join_sightings(sightings: Iterable[Sightings]) -> Sightings:
    """Return what several nodes have seen together."""
    return reduce(Sightings.join, sightings, Sightings())


def _fails_more(seen: Sightings) -> bool:
    """Tell whether failures are more than chance.

    Few are enough where the base has next to none, but not if they all come from
    one replica, which may be at fault itself.
    """
    if seen.errors.bad < FEWEST_BAD:
        return False
    chance = excess_chance(seen.errors, seen.base_errors)
    if len(seen.replicas) > 1 and chance < LIKELY_CHANCE:
        return True
    return seen.errors.bad >= CERTAIN_BAD and chance < CERTAIN_CHANCE


def _is_slower(times: Spread, base: Spread, stage: int) -> bool:
    if times.count < FEWEST_TIMES or base.count < FEWEST_BASE_TIMES:
        return False
    excess = times.mean - base.mean
    variance = max(times.variance, base.variance)
    error = math.sqrt(variance / times.count + base.variance / base.count)
    return excess > SLOWER_BY[stage] and excess > SLOWER_ERRORS[stage] * error


def _has_news(own: Sightings, known: Sightings) -> bool:
    """Tell whether a node should report: at each failure, else now and then."""
    if own.errors.bad > known.errors.bad:
        return True
    return own.reports > known.reports and own.errors.total > known.errors.total


def _join(one: Tally, other: Tally) -> Tally:
    return Tally(one.bad + other.bad, one.total + other.total)


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
