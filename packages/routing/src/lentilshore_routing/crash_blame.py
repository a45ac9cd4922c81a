"""Parts of prompts under which replicas crash.

A part of a prompt may crash each replica that begins an answer to it. A node counts the
crashes and the answers of each part, and nodes tell one another what they have counted.
A part is blamed when its crashes follow one another, hardly any answer comes, and no
part that is more suspect explains them. All nodes that know the same crashes and
answers blame the same parts.
"""

from __future__ import annotations

import functools
import hashlib
import math
import random
import re
from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from lentilshore_kernel.clock import Clock

from .routes import PromptPart

# Crashes in a row under which a part is blamed that was not answered before, and one
# that was.
BLAME_CRASHES = 3
ANSWERED_BLAME_CRASHES = 5
# Crashes under which a part is blamed that was not answered before, if two of them at
# least followed one another.
OVERLAPPING_BLAME_CRASHES = 5
# A blamed part has more crashes than this for each answer.
CRASHES_PER_ANSWER = 4
# A part explains crashes, before it is blamed, from this number of crashes in a row.
SUSPECT_CRASHES = 2
# Longest time between crashes that follow one another, and the time for which a part
# that is not blamed is suspected after a crash.
SUSPECT_S = 60.0
# Time for which answers to a part that is not suspected are remembered.
ANSWER_MEMORY_S = 60.0
# Time for which a blamed part is kept after a request with it was last seen.
BLAME_QUIET_S = 60.0
# Requests with a blamed part are tried again after this time without a crash, so that
# false blame ends. The next crash renews true blame at once.
BLAME_MAX_S = 300.0
MAX_CRASH_AGE_S = 1_200.0
# Blame is checked against the time at this interval.
REVIEW_INTERVAL_S = 1.0
MAX_PARTS = 128
MAX_TOLD_PARTS = 32
MAX_CRASHES = 8  # of one part, the newest
# To one part, the newest; as many clear it of all its crashes.
MAX_ANSWERS = MAX_CRASHES // CRASHES_PER_ANSWER
MAX_ANSWERED_PARTS = 4_096
MAX_ANSWERED_BEFORE = 1_000
MAX_POSITION = 1_000
MAX_RANK = 1_000

_PART_DIGEST = re.compile(r"[0-9a-f]{16}\Z")
_SHORT_DIGEST = re.compile(r"[0-9a-f]{8}\Z")


class CrashNews(NamedTuple):
    """Crash of a replica as it began an answer to a part.

    :param replica: digest of the replica's name, 8 hexadecimal digits.
    :param rank: 1, or one more than the highest rank of the crashes after which the
        request was sent. The node that saw the crash counts it: nodes' times differ by
        more than some crashes are apart.
    :param age_s: time since its connection ended, seconds.
    """

    replica: str
    rank: int
    age_s: float


class AnswerNews(NamedTuple):
    """Answer to a request with a part.

    :param request: digest of the request's identifier, 8 hexadecimal digits.
    :param age_s: time since the answer, seconds.
    """

    request: str
    age_s: float


class PartNews(NamedTuple):
    """What one node tells others of a part.

    :param part: digest of the part's name, 16 hexadecimal digits.
    :param position: place of the part in prompts, from 0; the last one where it varies.
    :param crashes: the newest crashes.
    :param answers: the newest answers since the first crash.
    :param answered_before: most answers that one node has got in the time before.
    :param seen_age_s: time since a request with the part was last seen, seconds.
    """

    part: str
    position: int
    crashes: tuple[CrashNews, ...]
    answers: tuple[AnswerNews, ...]
    answered_before: int
    seen_age_s: float

    @property
    def settled(self) -> bool:
        """Whether the part is cleared of all crashes told, whatever the answers are."""
        crash_age_s = min((crash.age_s for crash in self.crashes), default=0.0)
        since = sum(answer.age_s < crash_age_s for answer in self.answers)
        return since >= MAX_ANSWERS


class _Crash(NamedTuple):
    """Crash of a replica; ``ended_by`` is the latest time that its news allows."""

    replica: str
    rank: int
    ended_at: float
    ended_by: float


class _Answers(NamedTuple):
    """Answers to a part that is not suspected."""

    count: int
    last_at: float
    last_request: str


class _Score(NamedTuple):
    """Crashes in a row, all crashes since the first of them, and answers since."""

    chained: int = 0
    crashes: int = 0
    answers: int = 0


class _Part:
    """A part under which a replica has crashed."""

    def __init__(self, digest: str) -> None:
        self.digest = digest
        self.position = 0
        self.answered_before = 0
        self.seen_at = -math.inf
        self.crashes: dict[str, _Crash] = {}
        self.answers: dict[str, float] = {}
        # Result of the last review, without the crashes that other parts explain.
        self.score = _Score()

    @property
    def last_crash_at(self) -> float:
        """Time of the newest crash."""
        ended_at = (crash.ended_at for crash in self.crashes.values())
        return max(ended_at, default=-math.inf)

    @property
    def answered(self) -> bool:
        """Whether the part was ever answered, as far as is known."""
        return self.answered_before > 0 or bool(self.answers)

    @property
    def condemned(self) -> bool:
        """Whether the crashes suffice for blame."""
        score = self.score
        if score.chained <= CRASHES_PER_ANSWER * score.answers:
            return False
        if self.answered:
            return score.chained >= ANSWERED_BLAME_CRASHES
        overlapping = score.crashes >= OVERLAPPING_BLAME_CRASHES
        return score.chained >= (SUSPECT_CRASHES if overlapping else BLAME_CRASHES)

    @property
    def explains_crashes(self) -> bool:
        """Whether the part is suspect enough to clear others of its crashes."""
        score = self.score
        suspect = score.chained >= SUSPECT_CRASHES and not score.answers
        return suspect or self.condemned

    @property
    def cleared(self) -> bool:
        """Whether answers or other parts clear the part, so that a crash can wait."""
        if self.condemned or not self.crashes:
            return False
        return self.score.answers > 0 or (self.answered and not self.score.chained)

    @property
    def settled(self) -> bool:
        """Whether the part is cleared of all crashes so far."""
        since = sum(at > self.last_crash_at for at in self.answers.values())
        return since >= MAX_ANSWERS

    @property
    def is_told(self) -> bool:
        """Whether other nodes are told of the part.

        They may not know that it was answered, and let it explain crashes. Otherwise
        they find out themselves that another part explains its own.
        """
        if len(self.crashes) < SUSPECT_CRASHES:
            return self.score.chained > 0 and not self.settled
        return self.score.chained > 0 or self.answered

    def preference(self) -> tuple[int, int, int, str]:
        """Return the order in which parts are suspected of the same crash."""
        answered = self.answered_before + len(self.answers)
        return answered, -len(self.crashes), -self.position, self.digest

    def is_blamed(self, now: float) -> bool:
        """Return whether requests with the part are refused."""
        return self.condemned and now - self.last_crash_at <= BLAME_MAX_S

    def is_kept(self, now: float) -> bool:
        """Return whether the part is still of interest."""
        if now - self.last_crash_at <= SUSPECT_S:
            return True
        return self.condemned and now - self.seen_at <= BLAME_QUIET_S

    def next_rank(self, sent_at: float) -> int:
        """Return the rank of a crash under a request that was sent at a time."""
        earlier = (c.rank for c in self.crashes.values() if c.ended_by < sent_at)
        return min(MAX_RANK, 1 + max(earlier, default=0))

    def add_crash(self, crash: _Crash) -> bool:
        """Add a crash; return whether it was new."""
        known = self.crashes.get(crash.replica)
        if known is not None:
            # The time of the end stays, so that it doesn't change from node to node.
            rank = max(known.rank, crash.rank)
            ended_by = min(known.ended_by, crash.ended_by)
            known = known._replace(rank=rank, ended_by=ended_by)
            self.crashes[crash.replica] = known
            return False
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

    def count(self, explained: set[str]) -> _Score:
        """Return the score of the part.

        :param explained: digests of the replicas whose crashes don't count.
        """
        crashes = [c for c in self.crashes.values() if c.replica not in explained]
        chain = _chain(crashes)
        if not chain:
            return _Score()
        first_at = chain[0].ended_at
        return _Score(
            len(chain),
            sum(crash.ended_at >= first_at for crash in crashes),
            sum(at >= first_at for at in self.answers.values()),
        )

    def forget_old(self, now: float) -> None:
        """Forget crashes that are too old to be told."""
        for crash in list(self.crashes.values()):
            if now - crash.ended_at > MAX_CRASH_AGE_S:
                del self.crashes[crash.replica]

    def news(self, now: float) -> PartNews:
        """Return what other nodes are told."""
        crashes = sorted(self.crashes.values(), key=lambda c: (-c.ended_at, c.replica))
        cleared = self.score.answers > 0 or not self.score.chained
        if cleared and not self.condemned:
            # The answers tell enough of a part that is cleared.
            crashes = crashes[:1]
        return PartNews(
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


class CrashBlame:
    """Counts crashes and answers of parts of prompts, and blames parts.

    :param clock: measures ages; must count time spent suspended.
    :param random_source: picks the parts to tell of where there are many.
    """

    def __init__(self, clock: Clock, random_source: random.Random) -> None:
        self._clock = clock
        self._random = random_source
        self._parts: dict[str, _Part] = {}
        self._blamed: set[str] = set()
        self._answered: OrderedDict[str, _Answers] = OrderedDict()
        self._reviewed_at = -math.inf
        self._generation = 0
        self._unsound_count = 0

    @property
    def generation(self) -> int:
        """Number that rises with each change that others should hear of soon."""
        return self._generation

    @property
    def active(self) -> bool:
        """Whether any part is suspected or blamed."""
        self._review_if_due()
        return bool(self._parts)

    @property
    def blamed(self) -> list[str]:
        """Digests of the blamed parts."""
        self._review_if_due()
        return sorted(self._blamed)

    @property
    def unsound_count(self) -> int:
        """Number of items of news that were refused because they can't be true."""
        return self._unsound_count

    def record_crash(
        self, parts: Sequence[PromptPart], replica: str, sent_at: float
    ) -> list[str]:
        """Record that a replica ended as it began an answer.

        :param parts: parts of the request's prompt in order.
        :param replica: name of the replica's process.
        :param sent_at: time at which the request was sent to it, on the node's clock,
            seconds.
        :returns: digests of the parts that are blamed from now on.
        """
        now = self._clock.monotonic()
        name = _short_digest(replica)
        known = self.blamed_part(parts) is not None
        for position, digest in _candidates(parts):
            part = self._parts.get(digest) or _Part(digest)
            part.position = max(part.position, position)
            part.seen_at = now
            part.add_crash(_Crash(name, part.next_rank(sent_at), now, now))
            self._keep(part, now)
        newly = self._review()
        self._generation += bool(newly or not known)
        return newly

    def record_answer(self, parts: Sequence[PromptPart], request_id: str) -> None:
        """Record an answer that is whole, or a stream past its beginning.

        :param parts: parts of the request's prompt in order.
        :param request_id: identifier of the request.
        """
        now = self._clock.monotonic()
        request = _short_digest(request_id)
        urgent = False
        for _, digest in _candidates(parts):
            self._remember_answer(digest, request, now)
            part = self._parts.get(digest)
            if part is not None and not part.settled:
                urgent |= part.add_answer(request, now)
        if urgent:
            self._review()
            self._generation += 1

    def blamed_part(self, parts: Sequence[PromptPart]) -> str | None:
        """Return the digest of a request's part that is blamed, None if none is."""
        if not self._parts:
            return None
        self._review_if_due()
        found = None
        for _, digest in _candidates(parts):
            part = self._parts.get(digest)
            if part is None:
                continue
            part.seen_at = self._clock.monotonic()
            if digest in self._blamed:
                found = digest
        return found

    def may_retry(self, parts: Sequence[PromptPart]) -> bool:
        """Return whether a request may be sent again after a replica has crashed.

        It may not while it is open whether one of its parts crashes replicas.
        """
        if self.blamed_part(parts) is not None:
            return False
        explained = {
            replica
            for digest in self._blamed
            for replica in self._parts[digest].crashes
        }
        for _, digest in _candidates(parts):
            part = self._parts.get(digest)
            if part is None:
                continue
            score = part.count(explained)
            once = part.answered and score.chained < SUSPECT_CRASHES
            if score.chained and not score.answers and not once:
                return False
        return True

    def tell(self) -> list[PartNews]:
        """Return what this node knows, for other nodes."""
        self._review_if_due()
        now = self._clock.monotonic()
        told = [part for part in self._parts.values() if part.is_told]
        # Where there are too many, the most suspect ones and a random choice.
        self._random.shuffle(told)
        told.sort(key=lambda part: (part.condemned, len(part.crashes)), reverse=True)
        return [part.news(now) for part in told[:MAX_TOLD_PARTS]]

    def learn(self, news: Iterable[PartNews], asked_at: float) -> list[str]:
        """Accept what another node knows.

        :param asked_at: time from which the ages count, on this node's clock, seconds:
            that at which the other node was asked, or at which it told unasked.
        :returns: digests of the parts that are blamed from now on.
        """
        urgent = False
        for item in news:
            if not _is_sound(item):
                self._unsound_count += 1
                continue
            urgent |= self._learn(item, asked_at)
        if not urgent:
            return []
        self._generation += 1
        return self._review()

    def _learn(self, news: PartNews, asked_at: float) -> bool:
        """Accept news of a part; return whether others should hear of it soon."""
        if not _is_recent(news):
            return False
        part = self._parts.get(news.part) or _Part(news.part)
        decided = part.cleared or news.part in self._blamed
        part.position = max(part.position, news.position)
        part.seen_at = max(part.seen_at, asked_at - news.seen_age_s)
        now = self._clock.monotonic()
        urgent = False
        for told in news.crashes:
            ended_at, ended_by = asked_at - told.age_s, now - told.age_s
            crash = _Crash(told.replica, told.rank, ended_at, ended_by)
            urgent |= part.add_crash(crash) and not decided
        for answer in news.answers:
            urgent |= part.add_answer(answer.request, asked_at - answer.age_s)
        urgent |= news.answered_before > 0 and not part.answered_before
        part.answered_before = max(part.answered_before, news.answered_before)
        self._keep(part, now)
        return urgent

    def _keep(self, part: _Part, now: float) -> None:
        """Keep a part; a new one with the answers to it that are remembered."""
        if part.digest in self._parts:
            return
        self._parts[part.digest] = part
        answers = self._answered.get(part.digest)
        if answers is None or now - answers.last_at > ANSWER_MEMORY_S:
            return
        part.answered_before = max(part.answered_before, answers.count)
        first_at = min(crash.ended_at for crash in part.crashes.values())
        if answers.last_at >= first_at:
            part.add_answer(answers.last_request, answers.last_at)

    def _remember_answer(self, digest: str, request: str, now: float) -> None:
        known = self._answered.pop(digest, None)
        recent = known is not None and now - known.last_at <= ANSWER_MEMORY_S
        count = min(MAX_ANSWERED_BEFORE, known.count + 1 if known and recent else 1)
        self._answered[digest] = _Answers(count, now, request)
        if len(self._answered) > MAX_ANSWERED_PARTS:
            self._answered.popitem(last=False)

    def _review_if_due(self) -> None:
        if not self._parts:
            return
        if self._clock.monotonic() - self._reviewed_at >= REVIEW_INTERVAL_S:
            self._review()

    def _review(self) -> list[str]:
        """Blame parts by all that is known now.

        :returns: digests of the parts that are blamed from now on.
        """
        now = self._reviewed_at = self._clock.monotonic()
        for part in self._parts.values():
            part.forget_old(now)
        known: set[str] = set()
        while not (found := self._score_parts(known)) <= known:
            known |= found
        self._forget(now)
        before = self._blamed
        self._blamed = {
            digest for digest, part in self._parts.items() if part.is_blamed(now)
        }
        return sorted(self._blamed - before)

    def _score_parts(self, condemned: set[str]) -> set[str]:
        """Score all parts, the most suspect first: it explains crashes of the others.

        :param condemned: digests of parts that come before all others.
        :returns: digests of the parts that are condemned.
        """
        explained: set[str] = set()
        for part in sorted(
            self._parts.values(),
            key=lambda part: (part.digest not in condemned, part.preference()),
        ):
            part.score = part.count(explained)
            if part.explains_crashes:
                explained.update(part.crashes)
        return {part.digest for part in self._parts.values() if part.condemned}

    def _forget(self, now: float) -> None:
        """Forget parts that are of no interest, and those beyond the bound."""
        kept = [part for part in self._parts.values() if part.is_kept(now)]
        if len(kept) > MAX_PARTS:
            kept.sort(key=lambda p: (p.condemned, p.last_crash_at, p.digest))
            del kept[:-MAX_PARTS]
        self._parts = {part.digest: part for part in kept}


def _candidates(parts: Sequence[PromptPart]) -> Iterator[tuple[int, str]]:
    """Yield positions and digests of the parts that other requests may share."""
    for position, part in enumerate(parts[:-1]):
        yield position, part_digest(part.name)


def _chain(crashes: Iterable[_Crash]) -> list[_Crash]:
    """Return the crashes in a row that came last, the first one of each rank."""
    chain: list[_Crash] = []
    for crash in sorted(crashes, key=lambda c: (c.rank, c.ended_at, c.replica)):
        if not chain:
            chain = [crash]
            continue
        last = chain[-1]
        if crash.rank == last.rank:
            continue
        apart = crash.ended_at - last.ended_at > SUSPECT_S
        if apart and len(chain) < BLAME_CRASHES:
            chain = []
        chain.append(crash)
    return chain


def _is_sound(news: PartNews) -> bool:
    ages = (
        news.seen_age_s,
        *(crash.age_s for crash in news.crashes),
        *(answer.age_s for answer in news.answers),
    )
    digests = (
        *(crash.replica for crash in news.crashes),
        *(answer.request for answer in news.answers),
    )
    return (
        _PART_DIGEST.match(news.part) is not None
        and all(_SHORT_DIGEST.match(digest) for digest in digests)
        and all(math.isfinite(age) and age >= 0 for age in ages)
        and all(1 <= crash.rank <= MAX_RANK for crash in news.crashes)
        and 0 < len(news.crashes) <= MAX_CRASHES
        and len(news.answers) <= MAX_ANSWERS
        and 0 <= news.answered_before <= MAX_ANSWERED_BEFORE
        and 0 <= news.position <= MAX_POSITION
    )


def _is_recent(news: PartNews) -> bool:
    ages = [crash.age_s for crash in news.crashes]
    if max(ages) > MAX_CRASH_AGE_S:
        return False
    return min(ages) <= SUSPECT_S or news.seen_age_s <= BLAME_QUIET_S


@functools.lru_cache(maxsize=MAX_ANSWERED_PARTS)
def part_digest(name: str) -> str:
    """Return the digest under which nodes tell of a part.

    :param name: name of the part.
    """
    return hashlib.blake2b(name.encode(), digest_size=8).hexdigest()


def _short_digest(name: str) -> str:
    return hashlib.blake2b(name.encode(), digest_size=4).hexdigest()
