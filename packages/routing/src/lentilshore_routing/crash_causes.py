"""Crashes of replicas and answers under one cause that requests bear."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .crash_news import (
    BLAME_QUIET_S,
    CRASHES_PER_ANSWER,
    MAX_ANSWERS,
    MAX_CRASH_AGE_S,
    MAX_CRASHES,
    MAX_RANK,
    SUSPECT_S,
    WHOLE_REQUEST_POSITION,
    AnswerNews,
    CauseNews,
    CrashNews,
    part_digest,
)
from .routes import PromptPart

# Crashes in a row under which a cause is blamed that was not answered before, and one
# that was.
BLAME_CRASHES = 3
ANSWERED_BLAME_CRASHES = 5
# Crashes under which a cause is blamed that was not answered before, if two of them at
# least followed one another.
OVERLAPPING_BLAME_CRASHES = 5
# Others are told of a whole request with one crash after this time: most of those that
# a replica took along are answered elsewhere until then.
TAKEN_ALONG_DELAY_S = 0.5
# Crashes that end at least this time apart are not those of replicas lost at one time.
APART_S = 0.04
# A cause explains crashes, before it is blamed, from this number of crashes in a row.
SUSPECT_CRASHES = 2
# A whole request is blamed only if the causes that are suspected explain this share of
# the crashes in its time: where replicas crash for other reasons too, a sound one that
# comes again is taken along several times in a row.
MIN_EXPLAINED_SHARE = 0.8
# Requests with a blamed cause are tried again after this time without a crash, so that
# false blame ends. The next crash renews true blame at once.
BLAME_MAX_S = 300.0


class Cause(NamedTuple):
    """What a request bears that may crash replicas: a part of its prompt, or its whole.

    :param digest: digest under which nodes tell of it, 16 hexadecimal digits.
    :param position: place of the part in the prompt, from 0;
        :data:`WHOLE_REQUEST_POSITION` for the whole request.
    """

    digest: str
    position: int

    @property
    def is_whole_request(self) -> bool:
        """Whether the cause is the whole request."""
        return self.position == WHOLE_REQUEST_POSITION


def part_causes(parts: Sequence[PromptPart]) -> list[Cause]:
    """Return the parts of a prompt that other requests may share.

    :param parts: parts of the prompt in order.
    """
    return [
        Cause(part_digest(part.name), min(position, WHOLE_REQUEST_POSITION - 1))
        for position, part in enumerate(parts[:-1])
    ]


def whole_request_cause(
    method: bytes, host: str, target: bytes, customer: str, body: bytes
) -> Cause:
    """Return the cause that all requests share that are alike.

    :param target: path and query.
    :param customer: name of the customer, empty for none. A key may be replaced.
    """
    digest = hashlib.blake2b(digest_size=8)
    for item in (method, host.encode(), target, customer.encode(), body):
        digest.update(len(item).to_bytes(8, "big"))
        digest.update(item)
    return Cause(digest.hexdigest(), WHOLE_REQUEST_POSITION)


class Crash(NamedTuple):
    """Crash of a replica; ``ended_by`` is the latest time that its news allows."""

    replica: str
    rank: int
    ended_at: float
    ended_by: float


class Score(NamedTuple):
    """Crashes in a row, and what came since the first of them.

    :param chained: crashes in a row.
    :param crashes: all crashes since the first of them.
    :param apart: those of them that ended apart from the ones before.
    :param answers: answers since.
    :param first_at: time of the first of the crashes in a row.
    """

    chained: int = 0
    crashes: int = 0
    apart: int = 0
    answers: int = 0
    first_at: float = math.inf


class CauseRecord:
    """A cause under which a replica has crashed."""

    def __init__(self, digest: str) -> None:
        self.digest = digest
        self.position = 0
        self.answered_before = 0
        self.seen_at = -math.inf
        self.crashes: dict[str, Crash] = {}
        self.answers: dict[str, float] = {}
        # Result of the last review, without the crashes that other causes explain.
        self.score = Score()
        # Whether too many crashes in its time have other reasons.
        self.outweighed = False

    @property
    def is_whole_request(self) -> bool:
        """Whether the cause is a whole request."""
        return self.position == WHOLE_REQUEST_POSITION

    @property
    def _apart_s(self) -> float:
        """Time between crashes of one rank that are in a row, seconds."""
        # Few requests are alike, so that only time tells whether their crashes follow
        # one another.
        return APART_S if self.is_whole_request else math.inf

    @property
    def last_crash_at(self) -> float:
        """Time of the newest crash."""
        ended_at = (crash.ended_at for crash in self.crashes.values())
        return max(ended_at, default=-math.inf)

    @property
    def answered(self) -> bool:
        """Whether the cause was ever answered, as far as is known."""
        return self.answered_before > 0 or bool(self.answers)

    @property
    def condemned(self) -> bool:
        """Whether the crashes suffice for blame."""
        return self.convincing and not self.outweighed

    @property
    def convincing(self) -> bool:
        """Whether the crashes suffice for blame, those for other reasons aside."""
        score = self.score
        if score.chained <= CRASHES_PER_ANSWER * score.answers:
            return False
        if self.is_whole_request and score.answers and score.chained < MAX_CRASHES:
            # All requests that are alike do the same, other than those with one part.
            return False
        if self.answered:
            return score.chained >= ANSWERED_BLAME_CRASHES
        if score.chained >= BLAME_CRASHES:
            return True
        if score.crashes < OVERLAPPING_BLAME_CRASHES:
            return False
        return (
            score.chained >= SUSPECT_CRASHES or score.apart >= OVERLAPPING_BLAME_CRASHES
        )

    @property
    def explains_crashes(self) -> bool:
        """Whether the cause is suspect enough to clear others of its crashes."""
        if self.is_whole_request:
            # A sound one may have met two crashes in a row.
            return self.condemned
        score = self.score
        suspect = score.chained >= SUSPECT_CRASHES and not score.answers
        return suspect or self.condemned

    @property
    def is_suspected(self) -> bool:
        """Whether several replicas have crashed under the cause, and none answered."""
        return self.score.chained >= SUSPECT_CRASHES and not self.answered

    @property
    def cleared(self) -> bool:
        """Whether answers or other causes clear the cause, so that a crash can wait."""
        if self.condemned or not self.crashes:
            return False
        return self.score.answers > 0 or (self.answered and not self.score.chained)

    @property
    def settled(self) -> bool:
        """Whether the cause is cleared of all crashes so far."""
        since = sum(at > self.last_crash_at for at in self.answers.values())
        return since >= MAX_ANSWERS

    def is_told(self, now: float) -> bool:
        """Whether other nodes are told of the cause.

        They may not know that it was answered, and let it explain crashes. Otherwise
        they find out themselves that another cause explains its own.
        """
        if len(self.crashes) < SUSPECT_CRASHES:
            if self.is_whole_request:
                due = now - self.last_crash_at >= TAKEN_ALONG_DELAY_S
                return due and self.score.chained > 0 and not self.answers
            return self.score.chained > 0 and not self.settled
        return self.score.chained > 0 or self.answered

    def preference(self) -> tuple[int, int, bool, int, str]:
        """Return the order in which causes are suspected of the same crash."""
        answered = self.answered_before + len(self.answers)
        crashes = len(self.crashes)
        return answered, -crashes, self.is_whole_request, -self.position, self.digest

    def is_blamed(self, now: float) -> bool:
        """Return whether requests with the cause are refused."""
        return self.condemned and now - self.last_crash_at <= BLAME_MAX_S

    def is_kept(self, now: float) -> bool:
        """Return whether the cause is still of interest."""
        if now - self.last_crash_at <= SUSPECT_S:
            return True
        return self.condemned and now - self.seen_at <= BLAME_QUIET_S

    def next_rank(self, sent_at: float) -> int:
        """Return the rank of a crash under a request that was sent at a time."""
        earlier = (c.rank for c in self.crashes.values() if c.ended_by < sent_at)
        return min(MAX_RANK, 1 + max(earlier, default=0))

    def add_crash(self, crash: Crash) -> bool:
        """Add a crash; return whether it or its rank was new."""
        known = self.crashes.get(crash.replica)
        if known is not None:
            # The time of the end stays, so that it doesn't change from node to node.
            rank = max(known.rank, crash.rank)
            ended_by = min(known.ended_by, crash.ended_by)
            self.crashes[crash.replica] = known._replace(rank=rank, ended_by=ended_by)
            return rank > known.rank
        self.crashes[crash.replica] = crash
        if len(self.crashes) > MAX_CRASHES:
            oldest = min(self.crashes.values(), key=lambda c: (c.ended_at, c.replica))
            del self.crashes[oldest.replica]
            return oldest.replica != crash.replica
        return True

    def add_answer(self, request: str, at: float) -> bool:
        """Add an answer; return whether other nodes should hear of it soon."""
        if request in self.answers:
            return False
        self.answers[request] = at
        if len(self.answers) > MAX_ANSWERS:
            del self.answers[min(self.answers, key=lambda r: (self.answers[r], r))]
            return False
        return self.score.chained >= SUSPECT_CRASHES

    def count(self, explained: set[str]) -> Score:
        """Return the score of the cause.

        :param explained: digests of the replicas whose crashes don't count.
        """
        crashes = [c for c in self.crashes.values() if c.replica not in explained]
        chain = _chain(crashes, self._apart_s)
        if not chain:
            return Score()
        first_at = chain[0].ended_at
        since = [crash.ended_at for crash in crashes if crash.ended_at >= first_at]
        return Score(
            len(chain),
            len(since),
            _count_apart(since),
            sum(at >= first_at for at in self.answers.values()),
            first_at,
        )

    def rank_chain(self) -> None:
        """Rank the crashes in a row by their order.

        Nodes know the times of crashes to some hundredths of a second only. The ranks
        tell all of them which crashes one node has found to be in a row.
        """
        rank = 0
        for crash in _chain(self.crashes.values(), self._apart_s):
            rank = min(MAX_RANK, max(crash.rank, rank + 1))
            self.crashes[crash.replica] = crash._replace(rank=rank)

    def forget_old(self, now: float) -> None:
        """Forget crashes that are too old to be told."""
        for crash in list(self.crashes.values()):
            if now - crash.ended_at > MAX_CRASH_AGE_S:
                del self.crashes[crash.replica]

    def news(self, now: float) -> CauseNews:
        """Return what other nodes are told."""
        crashes = sorted(self.crashes.values(), key=lambda c: (-c.ended_at, c.replica))
        cleared = self.score.answers > 0 or not self.score.chained
        if cleared and not self.condemned:
            # The answers tell enough of a cause that is cleared.
            crashes = crashes[:1]
        return CauseNews(
            self.digest,
            self.position,
            tuple(
                CrashNews(c.replica, c.rank, max(0.0, now - c.ended_at))
                for c in crashes
            ),
            tuple(AnswerNews(r, now - at) for r, at in sorted(self.answers.items())),
            self.answered_before,
            now - self.seen_at,
        )


def _count_apart(times: Iterable[float]) -> int:
    """Return how many times are each :data:`APART_S` later than the one before."""
    count, last_at = 0, -math.inf
    for at in sorted(times):
        if at - last_at >= APART_S:
            count, last_at = count + 1, at
    return count


def _chain(crashes: Iterable[Crash], apart_s: float) -> list[Crash]:
    """Return the crashes in a row that came last.

    :param apart_s: crashes of one rank are in a row if they are so far apart, seconds.
    """
    chain: list[Crash] = []
    for crash in sorted(crashes, key=lambda c: (c.rank, c.ended_at, c.replica)):
        if not chain:
            chain = [crash]
            continue
        last = chain[-1]
        if crash.rank == last.rank and crash.ended_at - last.ended_at < apart_s:
            continue
        apart = crash.ended_at - last.ended_at > SUSPECT_S
        if apart and len(chain) < BLAME_CRASHES:
            chain = []
        chain.append(crash)
    return chain
