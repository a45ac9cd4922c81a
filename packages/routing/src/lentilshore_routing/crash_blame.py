"""Causes that requests bear and under which replicas crash.

A request may crash each replica that begins to run it, or an answer to it, by a part of
its prompt or as a whole. A node counts the crashes and the answers of each cause, and
nodes tell one another what they have counted. A cause is blamed when its crashes follow
one another, hardly any answer comes, and no cause that is more suspect explains them.
All nodes that know the same crashes and answers blame the same causes.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from lentilshore_kernel.clock import Clock

from .crash_causes import (
    MIN_EXPLAINED_SHARE,
    SUSPECT_CRASHES,
    Cause,
    CauseRecord,
    Crash,
    Score,
)
from .crash_news import (
    MAX_ANSWERED_BEFORE,
    CauseNews,
    is_recent,
    is_sound,
    short_digest,
)

# Time for which answers to a cause that is not suspected are remembered.
ANSWER_MEMORY_S = 60.0
# Blame is checked against the time at this interval.
REVIEW_INTERVAL_S = 1.0
MAX_CAUSES = 128
# Whole requests with one crash, beside the other causes: a replica that ends takes
# along all requests that it is running.
MAX_TAKEN_ALONG = 384
MAX_TOLD_CAUSES = 32
MAX_TOLD_REQUESTS = 8  # whole requests among them that are not blamed
MAX_ANSWERED_CAUSES = 4_096
# Answers, and replicas that ended, whose times are kept.
MAX_OUTCOMES = 1_024
OUTCOMES_WINDOW_S = 10.0
# With fewer answers for each replica that ended, sound parts are taken along several
# times in a row without an answer.
MIN_ANSWERS_PER_END = 10


class _Answers(NamedTuple):
    """Answers to a cause that is not suspected."""

    count: int
    last_at: float
    last_request: str


class CrashBlame:
    """Counts crashes and answers of the causes that requests bear, and blames causes.

    :param clock: measures ages; must count time spent suspended.
    :param random_source: picks the causes to tell of where there are many.
    """

    def __init__(self, clock: Clock, random_source: random.Random) -> None:
        self._clock = clock
        self._random = random_source
        self._records: dict[str, CauseRecord] = {}
        self._blamed: set[str] = set()
        self._answered: OrderedDict[str, _Answers] = OrderedDict()
        self._reviewed_at = -math.inf
        self._generation = 0
        # Whole requests with one crash that others are told of.
        self._due: set[str] = set()
        self._unsound_count = 0
        self._answer_times: deque[float] = deque(maxlen=MAX_OUTCOMES)
        # When replicas ended under requests of this node, by their digests.
        self._end_times: OrderedDict[str, float] = OrderedDict()

    @property
    def generation(self) -> int:
        """Number that rises with each change that others should hear of soon."""
        return self._generation

    @property
    def active(self) -> bool:
        """Whether any cause is suspected or blamed."""
        self._review_if_due()
        return bool(self._records)

    @property
    def mostly_answered(self) -> bool:
        """Whether few replicas end under this node's requests beside the answers.

        Only then does the end of a replica tell something of all requests that it had
        taken up.
        """
        since = self._clock.monotonic() - OUTCOMES_WINDOW_S
        answers = sum(at >= since for at in self._answer_times)
        ends = sum(at >= since for at in self._end_times.values())
        return answers >= MIN_ANSWERS_PER_END * ends

    @property
    def blamed(self) -> list[str]:
        """Digests of the blamed causes."""
        self._review_if_due()
        return sorted(self._blamed)

    @property
    def blamed_causes(self) -> list[Cause]:
        """The blamed causes."""
        return [Cause(digest, self._records[digest].position) for digest in self.blamed]

    @property
    def unsound_count(self) -> int:
        """Number of items of news that were refused because they can't be true."""
        return self._unsound_count

    def record_crash(
        self,
        causes: Sequence[Cause],
        replica: str,
        sent_at: float,
        ended_at: float | None = None,
    ) -> list[str]:
        """Record that a replica ended as it began an answer.

        :param causes: causes that the request bears.
        :param replica: name of the replica's process.
        :param sent_at: time at which the request was sent to it, on the node's clock,
            seconds.
        :param ended_at: time at which it ended, on the same clock; now if None.
        :returns: digests of the causes that are blamed from now on.
        """
        now = self._clock.monotonic()
        ended_at = now if ended_at is None else ended_at
        name = short_digest(replica)
        self._end_times.setdefault(name, ended_at)
        if len(self._end_times) > MAX_OUTCOMES:
            self._end_times.popitem(last=False)
        known = self.blamed_cause(causes) is not None
        for digest, position in causes:
            record = self._records.get(digest) or CauseRecord(digest)
            record.position = max(record.position, position)
            record.seen_at = now
            rank = record.next_rank(sent_at)
            record.add_crash(Crash(name, rank, ended_at, ended_at))
            self._keep(record, now)
        if all(_is_taken_along(self._records[cause.digest]) for cause in causes):
            # It can change no blame, and others are told of it later.
            for cause in causes:
                record = self._records[cause.digest]
                record.score = record.count(set())
            return []
        newly = self._review()
        self._generation += bool(newly or not known)
        return newly

    def record_answer(self, causes: Sequence[Cause], request_id: str) -> None:
        """Record an answer that is whole, or a stream past its beginning.

        :param causes: causes that the request bears.
        :param request_id: identifier of the request.
        """
        now = self._clock.monotonic()
        request = short_digest(request_id)
        self._answer_times.append(now)
        urgent = False
        for cause in causes:
            record = self._records.get(cause.digest)
            self._remember_answer(cause.digest, request, now)
            if record is not None and not record.settled:
                urgent |= record.add_answer(request, now)
        if urgent:
            self._review()
            self._generation += 1

    def blamed_cause(self, causes: Sequence[Cause]) -> Cause | None:
        """Return the blamed cause that a request bears, None if there is none."""
        if not self._records:
            return None
        self._review_if_due()
        found = None
        for cause in causes:
            record = self._records.get(cause.digest)
            if record is None:
                continue
            record.seen_at = self._clock.monotonic()
            if cause.digest in self._blamed:
                found = cause
        return found

    def was_answered(self, cause: Cause) -> bool:
        """Return whether a request with a cause was answered lately, as is known."""
        record = self._records.get(cause.digest)
        if record is not None and record.answered:
            return True
        answers = self._answered.get(cause.digest)
        if answers is None:
            return False
        return self._clock.monotonic() - answers.last_at <= ANSWER_MEMORY_S

    def knows(self, cause: Cause) -> bool:
        """Return whether a replica has crashed under a cause, as far as is known."""
        return cause.digest in self._records

    def may_retry(self, causes: Sequence[Cause]) -> bool:
        """Return whether a request may be sent again after a replica has crashed.

        It may not while it is open whether one of its causes crashes replicas.
        """
        if self.blamed_cause(causes) is not None:
            return False
        explained = {
            replica
            for digest in self._blamed
            for replica in self._records[digest].crashes
        }
        for digest, _ in causes:
            record = self._records.get(digest)
            if record is None:
                continue
            score = record.count(explained)
            if (
                score.chained
                and not score.answers
                and not _may_be_chance(record, score)
            ):
                return False
        return True

    def tell(self) -> list[CauseNews]:
        """Return what this node knows, for other nodes."""
        self._review_if_due()
        now = self._clock.monotonic()
        told = [record for record in self._records.values() if record.is_told(now)]
        # Where there are too many, the most suspect ones and a random choice.
        self._random.shuffle(told)
        told.sort(key=_suspicion, reverse=True)
        requests = [r for r in told if r.is_whole_request and not r.condemned]
        left_out = {record.digest for record in requests[MAX_TOLD_REQUESTS:]}
        told = [record for record in told if record.digest not in left_out]
        return [record.news(now) for record in told[:MAX_TOLD_CAUSES]]

    def learn(self, news: Iterable[CauseNews], asked_at: float) -> list[str]:
        """Accept what another node knows.

        :param asked_at: time from which the ages count, on this node's clock, seconds:
            that at which the other node was asked, or at which it told unasked.
        :returns: digests of the causes that are blamed from now on.
        """
        urgent = False
        for item in news:
            if not is_sound(item):
                self._unsound_count += 1
                continue
            urgent |= self._learn(item, asked_at)
        if not urgent:
            return []
        self._generation += 1
        return self._review()

    def _learn(self, news: CauseNews, asked_at: float) -> bool:
        """Accept news of a cause; return whether others should hear of it soon."""
        if not is_recent(news):
            return False
        record = self._records.get(news.cause) or CauseRecord(news.cause)
        decided = record.cleared or news.cause in self._blamed
        record.position = max(record.position, news.position)
        record.seen_at = max(record.seen_at, asked_at - news.seen_age_s)
        now = self._clock.monotonic()
        urgent = False
        for told in news.crashes:
            ended_at, ended_by = asked_at - told.age_s, now - told.age_s
            crash = Crash(told.replica, told.rank, ended_at, ended_by)
            urgent |= record.add_crash(crash) and not decided
        for answer in news.answers:
            urgent |= record.add_answer(answer.request, asked_at - answer.age_s)
        urgent |= news.answered_before > 0 and not record.answered_before
        record.answered_before = max(record.answered_before, news.answered_before)
        self._keep(record, now)
        return urgent

    def _keep(self, record: CauseRecord, now: float) -> None:
        """Keep a cause; a new one with the answers to it that are remembered."""
        if record.digest in self._records:
            return
        self._records[record.digest] = record
        answers = self._answered.get(record.digest)
        if answers is None or now - answers.last_at > ANSWER_MEMORY_S:
            return
        record.answered_before = max(record.answered_before, answers.count)
        first_at = min(crash.ended_at for crash in record.crashes.values())
        if answers.last_at >= first_at:
            record.add_answer(answers.last_request, answers.last_at)

    def _remember_answer(self, digest: str, request: str, now: float) -> None:
        known = self._answered.pop(digest, None)
        recent = known is not None and now - known.last_at <= ANSWER_MEMORY_S
        count = min(MAX_ANSWERED_BEFORE, known.count + 1 if known and recent else 1)
        self._answered[digest] = _Answers(count, now, request)
        if len(self._answered) > MAX_ANSWERED_CAUSES:
            self._answered.popitem(last=False)

    def _review_if_due(self) -> None:
        if not self._records:
            return
        if self._clock.monotonic() - self._reviewed_at >= REVIEW_INTERVAL_S:
            self._review()

    def _review(self) -> list[str]:
        """Blame causes by all that is known now.

        :returns: digests of the causes that are blamed from now on.
        """
        now = self._reviewed_at = self._clock.monotonic()
        for record in self._records.values():
            record.forget_old(now)
        known: set[str] = set()
        while not (found := self._score_causes(known)) <= known:
            known |= found
        self._forget(now)
        due = {
            record.digest
            for record in self._records.values()
            if _is_taken_along(record) and record.is_told(now)
        }
        self._generation += not due <= self._due
        self._due = due
        before = self._blamed
        self._blamed = {
            digest for digest, record in self._records.items() if record.is_blamed(now)
        }
        for digest in self._blamed - before:
            self._records[digest].rank_chain()
        return sorted(self._blamed - before)

    def _score_causes(self, condemned: set[str]) -> set[str]:
        """Score all causes, the most suspect first: it explains crashes of the others.

        :param condemned: digests of causes that come before all others.
        :returns: digests of the causes that are condemned.
        """
        explained: set[str] = set()
        for record in self._records.values():
            record.outweighed = False
        for record in sorted(
            self._records.values(),
            key=lambda record: (record.digest not in condemned, record.preference()),
        ):
            record.score = record.count(explained)
            if record.explains_crashes:
                explained.update(record.crashes)
        self._check_other_causes(condemned)
        return {record.digest for record in self._records.values() if record.condemned}

    def _check_other_causes(self, condemned: set[str]) -> None:
        """Mark whole requests between whose crashes others happened as outweighed.

        :param condemned: digests of causes that explain each of their crashes.
        """
        convincing = [r for r in self._records.values() if r.convincing]
        convincing = [record for record in convincing if record.is_whole_request]
        if not convincing:
            return
        suspects = [
            record
            for record in self._records.values()
            if record.is_suspected or record.explains_crashes
        ]
        ended_at = {
            crash.replica: crash.ended_at
            for record in self._records.values()
            for crash in record.crashes.values()
        }
        for record in convincing:
            first_at, last_at = record.score.first_at, record.last_crash_at
            # Causes give slightly different times for the same crash.
            own = set(record.crashes)
            others = {
                name
                for name, at in ended_at.items()
                if first_at <= at <= last_at and name not in own
            }
            unexplained = others.difference(
                *(
                    r.crashes
                    for r in suspects
                    if r is not record and r.digest in condemned
                )
            )
            unexplained = _without_explained(
                unexplained, [set(r.crashes) for r in suspects if r is not record]
            )
            share = 1 - len(unexplained) / (len(own) + len(others))
            record.outweighed = share < MIN_EXPLAINED_SHARE

    def _forget(self, now: float) -> None:
        """Forget causes that are of no interest, and those beyond the bound."""
        kept = [record for record in self._records.values() if record.is_kept(now)]
        taken_along = [record for record in kept if _is_taken_along(record)]
        others = [record for record in kept if not _is_taken_along(record)]
        kept = _newest(others, MAX_CAUSES) + _newest(taken_along, MAX_TAKEN_ALONG)
        self._records = {record.digest: record for record in kept}


def _without_explained(crashes: set[str], suspects: list[set[str]]) -> set[str]:
    """Return the crashes that few suspects don't explain.

    The suspect with most of them comes first. Each explains :data:`SUSPECT_CRASHES` at
    least beside those before it: where replicas crash by themselves, each crash takes
    some request along.

    :param crashes: names of the replicas that crashed.
    :param suspects: names of the replicas that crashed under each suspected cause.
    """
    left = set(crashes)
    while suspects:
        most = max((suspect & left for suspect in suspects), key=len)
        if len(most) < SUSPECT_CRASHES:
            break
        left -= most
    return left


def _suspicion(record: CauseRecord) -> tuple[bool, int, bool]:
    """Return the order in which other nodes are told, the last first."""
    return record.condemned, len(record.crashes), not record.is_whole_request


def _may_be_chance(record: CauseRecord, score: Score) -> bool:
    """Return whether a request may be sent again though a cause of it is suspected.

    So may one that was only once there when a replica ended: a sound request that is
    never asked for again has no answers that could clear it.
    """
    if record.is_whole_request:
        return len(record.crashes) < SUSPECT_CRASHES
    return record.answered and score.chained < SUSPECT_CRASHES


def _is_taken_along(record: CauseRecord) -> bool:
    return record.is_whole_request and len(record.crashes) < SUSPECT_CRASHES


def _newest(records: list[CauseRecord], count: int) -> list[CauseRecord]:
    """Return the blamed records and the newest others, a number of them at most."""
    if len(records) <= count:
        return records
    records.sort(key=lambda r: (r.condemned, r.last_crash_at, r.digest))
    return records[-count:]
