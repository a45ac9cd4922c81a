"""Speed and backlog of replicas, from own requests and from what other nodes tell."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Collection, Iterable
from typing import NamedTuple

from lentilshore_kernel.clock import Clock

from .work_model import RequestWork

# Time in which what is known of a replica's wait loses all but 1/e of its weight. A
# replica's queue changes within a few requests, of which it gets some four a second.
WAIT_DECAY_S = 3.0
# Older news of a wait is not used.
MAX_WAIT_AGE_S = 3.0
# Weight of a new observation in the wait of a replica.
WAIT_WEIGHT = 0.5
# Samples count for the speed for this time: it follows hardware and neighbours.
SPEED_MEMORY_S = 120.0
# Number of samples at which a speed counts half, against the mean of all replicas.
SPEED_PRIOR_SAMPLES = 4.0
# More samples than this are told by nobody: a larger number would outweigh all others.
MAX_SAMPLES = 100.0
# The nodes average their speeds, so that some 10 samples of each of them count.
MIN_SPEED_WEIGHT = 0.1
# Ratios of observed to expected times, and speeds, are limited to this factor.
MAX_RATIO = 8.0
# Wait that a rejection for lack of capacity indicates: the usual objective of a first
# event, which a request misses that has to be sent again.
REJECTION_WAIT_S = 1.5
# Work of a request of which nothing is known yet, so that own requests are spread.
MIN_WORK_S = 0.02
# Replicas told of in one message, which then has at most 3 KB.
MAX_TOLD_REPLICAS = 64
# Invalid news exceeds the mean by this factor.
MAX_NEWS_FACTOR = 100.0
# Wait from which the factor above counts, where hardly any request waits.
MIN_MEAN_WAIT_S = 0.1
MIN_EXPECTED_S = 0.001


class WorkNews(NamedTuple):
    """What one node tells others of a replica.

    :param replica: name of the replica.
    :param slowness: ratio of observed to expected times, learned slowly.
    :param samples: number of samples behind it, which decays.
    :param excess_s: wait beyond that of a replica of its speed, seconds; negative for
        a shorter one.
    :param age_s: time since that wait was observed, seconds.
    """

    replica: str
    slowness: float
    samples: float
    excess_s: float
    age_s: float


class OwnWork:
    """A request that this node has in flight at a replica.

    :param replica: name of the replica.
    :param work: its expected work, with the prefix that is cached there.
    :param begun_at: time at which it was sent, on the node's clock, seconds.
    :param places: requests that the replica runs at once.
    """

    __slots__ = ("replica", "work", "begun_at", "places", "first_event_at")

    def __init__(
        self, replica: str, work: RequestWork, begun_at: float, places: int
    ) -> None:
        self.replica = replica
        self.work = work
        self.begun_at = begun_at
        self.places = max(1, places)
        self.first_event_at: float | None = None

    def remaining_s(self, now: float) -> float:
        """Return the work that a replica of mean speed still has to do, seconds."""
        answer_s = self.work.answer_s
        if self.first_event_at is None:
            return max(MIN_WORK_S, self.work.reading_s + answer_s / self.places)
        left_s = answer_s - (now - self.first_event_at)
        return max(MIN_WORK_S, left_s / self.places)


class _Backlog:
    """What is known of one replica."""

    __slots__ = (
        "log_slowness",
        "samples",
        "aged_at",
        "usual_wait_s",
        "excess_s",
        "seen_at",
        "told",
        "own",
    )

    def __init__(self, now: float) -> None:
        self.log_slowness = 0.0
        self.samples = 0.0
        self.aged_at = now
        # Mean wait at the replicas of its service, as of the last own request.
        self.usual_wait_s = 0.0
        self.excess_s = 0.0
        self.seen_at = -math.inf
        # Whether another node has seen the excess.
        self.told = False
        self.own: list[OwnWork] = []

    def age_samples(self, now: float) -> None:
        self.samples *= math.exp(-(now - self.aged_at) / SPEED_MEMORY_S)
        self.aged_at = now

    def slowness(self, mean_log: float, now: float) -> float:
        """Return the ratio of observed to expected times; 1 while little is known.

        :param mean_log: mean logarithm of that ratio over all replicas.
        """
        self.age_samples(now)
        trust = self.samples / (self.samples + SPEED_PRIOR_SAMPLES)
        return math.exp((self.log_slowness - mean_log) * trust)

    def excess_at(self, now: float) -> float:
        """Return the wait beyond the usual one, seconds, which decays over time."""
        age_s = now - self.seen_at
        if self.told and age_s > MAX_WAIT_AGE_S:
            return 0.0
        return self.excess_s * math.exp(-age_s / WAIT_DECAY_S)

    def see_excess(self, excess_s: float, seen_at: float, told: bool = False) -> None:
        self.excess_s, self.seen_at, self.told = excess_s, seen_at, told


class ReplicaBacklogs:
    """Expected time until replicas begin with a request.

    :param clock: measures ages; must count time spent suspended.
    :param random_source: chooses what is told where there is much.
    """

    def __init__(self, clock: Clock, random_source: random.Random) -> None:
        self._clock = clock
        self._random = random_source
        self._backlogs: dict[str, _Backlog] = {}
        self._mean_wait_s = 0.0
        # Mean logarithm of the slowness of all replicas with samples.
        self._mean_log = 0.0
        # Numbers of news since they were last taken, by what was done with them.
        self._events: Counter[str] = Counter()

    def set_replicas(self, names: Collection[str]) -> None:
        """Replace the list of replicas; those with own requests are kept."""
        now = self._clock.monotonic()
        known = self._backlogs
        self._backlogs = {n: b for n, b in known.items() if n in names or b.own}
        # Sorted, so that equal seeds give equal choices.
        for name in sorted(names):
            self._backlogs.setdefault(name, _Backlog(now))

    def begin(self, replica: str, work: RequestWork, places: int) -> OwnWork:
        """Add a request that is sent to a replica."""
        now = self._clock.monotonic()
        own = OwnWork(replica, work, now, places)
        backlog = self._backlogs.setdefault(replica, _Backlog(now))
        backlog.own.append(own)
        backlog.usual_wait_s = work.wait_s
        self._mean_wait_s = work.wait_s
        return own

    def end(self, own: OwnWork) -> None:
        """Remove a request that has ended."""
        backlog = self._backlogs.get(own.replica)
        if backlog is not None and own in backlog.own:
            backlog.own.remove(own)

    def record_first_event(self, own: OwnWork) -> None:
        """Record that the answer to a request has begun now."""
        backlog = self._backlogs.get(own.replica)
        if backlog is None or own.first_event_at is not None:
            return
        now = own.first_event_at = self._clock.monotonic()
        expected_s = own.work.wait_s + own.work.reading_s
        observed_s = now - own.begun_at
        if not own.work.answer_s:
            self._observe_ratio(backlog, observed_s, expected_s, now)
        excess_s = observed_s - expected_s * backlog.slowness(self._mean_log, now)
        self._observe_excess(backlog, excess_s, now)

    def record_pause(self, own: OwnWork, pause_s: float, expected_s: float) -> None:
        """Record the mean pause between the events of an answer.

        :param expected_s: mean pause of all replicas; 0 if it is not known.
        """
        backlog = self._backlogs.get(own.replica)
        if backlog is not None:
            now = self._clock.monotonic()
            self._observe_ratio(backlog, pause_s, expected_s, now)

    def record_rejection(self, replica: str) -> None:
        """Record that a replica has rejected a request for lack of capacity."""
        backlog = self._backlogs.get(replica)
        if backlog is None:
            return
        now = self._clock.monotonic()
        backlog.see_excess(max(REJECTION_WAIT_S, backlog.excess_at(now)), now)

    def expected_s(self, replica: str, work: RequestWork, places: int) -> float:
        """Return the time until a replica has done a request's work, seconds.

        :param work: its work, with the prefix that is cached there.
        :param places: requests that the replica runs at once.
        """
        backlog = self._backlogs.get(replica)
        own_s = max(MIN_WORK_S, work.reading_s + work.answer_s / max(1, places))
        if backlog is None:
            return work.wait_s + own_s
        now = self._clock.monotonic()
        slowness = backlog.slowness(self._mean_log, now)
        for own in backlog.own:
            own_s += own.remaining_s(now)
        # A wait below the usual one attracts nobody: all nodes learn of it at once.
        wait_s = work.wait_s * slowness + max(0.0, backlog.excess_at(now))
        return max(wait_s, self._overdue_s(backlog, slowness, now)) + own_s * slowness

    def slowness(self, replica: str) -> float:
        """Return the ratio of observed to expected times, against that of others."""
        backlog = self._backlogs.get(replica)
        if backlog is None:
            return 1.0
        return backlog.slowness(self._mean_log, self._clock.monotonic())

    def tell(self) -> list[WorkNews]:
        """Return what this node knows, for other nodes; the newest where it is much."""
        now = self._clock.monotonic()
        items = [(n, b) for n, b in self._backlogs.items() if b.samples > 0]
        if len(items) > MAX_TOLD_REPLICAS:
            newest = sorted(items, key=lambda item: -item[1].seen_at)
            half = MAX_TOLD_REPLICAS // 2
            items = newest[:half] + self._random.sample(newest[half:], half)
        return [self._news(name, backlog, now) for name, backlog in items]

    def learn(self, news: Iterable[WorkNews], asked_at: float) -> None:
        """Accept what another node knows.

        :param asked_at: time at which it was asked, on this node's clock, seconds. Ages
            are counted from then, so that news seems rather older.
        """
        now = self._clock.monotonic()
        for item in news:
            backlog = self._backlogs.get(item.replica)
            if backlog is None:
                self._events["unknown"] += 1
            elif not self._is_valid(item):
                self._events["invalid"] += 1
            else:
                self._events["learned"] += 1
                self._learn(backlog, item, asked_at - item.age_s, now)
        logs = [b.log_slowness for b in self._backlogs.values() if b.samples]
        self._mean_log = sum(logs) / len(logs) if logs else 0.0

    def take_events(self) -> dict[str, int]:
        """Return the numbers of events since the last call, by name."""
        events, self._events = self._events, Counter()
        return events

    def _observe_ratio(
        self, backlog: _Backlog, observed_s: float, expected_s: float, now: float
    ) -> None:
        if expected_s < MIN_EXPECTED_S or observed_s <= 0.0:
            return
        limit = math.log(MAX_RATIO)
        log_ratio = min(limit, max(-limit, math.log(observed_s / expected_s)))
        backlog.age_samples(now)
        backlog.samples = min(MAX_SAMPLES, backlog.samples + 1.0)
        weight = max(MIN_SPEED_WEIGHT, 1.0 / backlog.samples)
        backlog.log_slowness += (log_ratio - backlog.log_slowness) * weight

    def _observe_excess(self, backlog: _Backlog, excess_s: float, now: float) -> None:
        known_s = backlog.excess_at(now)
        backlog.see_excess(known_s + (excess_s - known_s) * WAIT_WEIGHT, now)

    def _overdue_s(self, backlog: _Backlog, slowness: float, now: float) -> float:
        """Return how long a first event is awaited beyond the reading, seconds."""
        return max(
            (
                now - own.begun_at - own.work.reading_s * slowness
                for own in backlog.own
                if own.first_event_at is None
            ),
            default=0.0,
        )

    def _news(self, name: str, backlog: _Backlog, now: float) -> WorkNews:
        backlog.age_samples(now)
        excess_s, age_s = backlog.excess_s, now - backlog.seen_at
        overdue_s = self._overdue_s(backlog, backlog.slowness(self._mean_log, now), now)
        usual_s = backlog.usual_wait_s * backlog.slowness(self._mean_log, now)
        if overdue_s > usual_s + max(0.0, backlog.excess_at(now)):
            excess_s, age_s = overdue_s - usual_s, 0.0
        return WorkNews(
            name,
            round(math.exp(backlog.log_slowness), 3),
            round(backlog.samples, 1),
            round(excess_s, 3),
            round(min(age_s, SPEED_MEMORY_S), 3),
        )

    def _learn(
        self, backlog: _Backlog, news: WorkNews, seen_at: float, now: float
    ) -> None:
        # Both nodes' samples count by their number. It is not added up, since news of
        # the same samples comes by many ways.
        backlog.age_samples(now)
        total = backlog.samples + news.samples
        if total > 0.0:
            difference = math.log(news.slowness) - backlog.log_slowness
            backlog.log_slowness += difference * news.samples / total
            backlog.samples = max(backlog.samples, news.samples)
        if seen_at > backlog.seen_at and now - seen_at <= MAX_WAIT_AGE_S:
            backlog.see_excess(news.excess_s, seen_at, told=True)

    def _is_valid(self, news: WorkNews) -> bool:
        if not all(math.isfinite(value) for value in news[1:]):
            return False
        limit_s = MAX_NEWS_FACTOR * max(MIN_MEAN_WAIT_S, self._mean_wait_s)
        return (
            1.0 / MAX_NEWS_FACTOR <= news.slowness <= MAX_NEWS_FACTOR
            and 0.0 <= news.samples <= MAX_SAMPLES
            and news.age_s >= 0.0
            and abs(news.excess_s) <= limit_s
        )
