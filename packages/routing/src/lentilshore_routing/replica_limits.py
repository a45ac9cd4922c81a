"""Shares of the request rates that replicas name for all nodes together.

A replica in need names the rate of requests that it takes from all nodes. The rate is
divided into slots. Each slot belongs to one node, which all nodes work out alike from
the list of nodes, so that none has to ask another before it sends. A slot that its node
does not use passes on to the next one. Nodes tell one another which limits they have
seen and when slots were used. A node that knows little of the others takes a share that
is small even if all of them do the same.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from lentilshore_kernel.clock import Clock

from .cold_limits import ColdLimit

# Lower limits count as this one: a replica that is asked never again could not tell
# that its limit has ended.
MIN_LIMIT_PER_S = 0.05
# Slots in addition to one for each request a second. Every node may send one request
# at once, so that few nodes may share a low limit.
EXTRA_SLOTS = 3
# Share of a limit that the nodes that hold slots use together. The rest covers the time
# in which nodes know different lists of nodes.
SLOTS_SHARE = 0.9
# Share of a limit that all nodes together use while they know little of one another.
UNSETTLED_SHARE = 0.5
# Number of nodes assumed while their list is not known.
UNKNOWN_NODE_COUNT = 1_000
# Requests saved up by a node, as the time in which they were saved.
SAVED_REQUESTS_S = 0.5
# A slot passes on after this time without use. It is longer than news of its use takes
# to reach all nodes.
SLOT_TIMEOUT_S = 30.0
# A node that has heard from no other for this time knows little.
MAX_CONTACT_AGE_S = 12.0
# Older news of a limit is not accepted: its end may have been forgotten since.
MAX_NEWS_AGE_S = 60.0
# Slots that pass on. Where there are more, the others belong to one node for good.
MAX_PASSING_SLOTS = 64
# Limits told in one message; a random choice where there are more.
MAX_TOLD_LIMITS = 128
MAX_TURN = 1_000_000
MAX_LIMIT_SLOTS = 100_000  # more than there are nodes
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0


class SlotNews(NamedTuple):
    """Use of one slot of a limit.

    :param turn: number of times that the slot has passed on.
    :param age_s: time since it was used, seconds.
    """

    turn: int
    age_s: float


class LimitNews(NamedTuple):
    """What one node tells others of a replica's limit.

    :param replica: name of the replica.
    :param limit_per_s: requests a second; 0 if the replica no longer names a limit.
    :param age_s: time since an answer of the replica said so, seconds.
    :param slots: use of the slots.
    """

    replica: str
    limit_per_s: float
    age_s: float
    slots: tuple[SlotNews, ...] = ()


class _Order(NamedTuple):
    """Order of the nodes: their number and the place of this one, -1 for none."""

    length: int
    own_position: int


class _Slot:
    def __init__(self, turn: int, used_at: float) -> None:
        self.turn = turn
        self.used_at = used_at

    def turn_at(self, now: float, settled_at: float) -> int:
        unused_s = now - max(self.used_at, settled_at)
        return self.turn + int(max(0.0, unused_s) / SLOT_TIMEOUT_S)


class _Limit:
    """Limit of one replica, and the requests that this node has saved up for it."""

    def __init__(self, now: float, saved: float) -> None:
        self.limit_per_s = 0.0
        self.observed_at = now
        self.slots: list[_Slot] = []
        self.saved_requests = saved
        self.refilled_at = now

    @property
    def active(self) -> bool:
        """Whether the replica names a limit, as far as is known."""
        return self.limit_per_s > 0

    def set_limit(self, limit_per_s: float, observed_at: float, now: float) -> None:
        self.limit_per_s, self.observed_at = limit_per_s, observed_at
        count = min(MAX_PASSING_SLOTS, _slot_count(limit_per_s))
        while len(self.slots) < count:
            self.slots.append(_Slot(0, now))


class ReplicaLimits:
    """Limits that replicas name, and this node's part of them.

    :param node: name of this node in the list of nodes.
    :param clock: measures rates and ages; must count time spent suspended.
    :param random_source: spreads the first requests of nodes that know little.
    """

    def __init__(self, node: str, clock: Clock, random_source: random.Random) -> None:
        self._node = node
        self._clock = clock
        self._random = random_source
        self._limits: dict[str, _Limit] = {}
        self._cold: dict[str, ColdLimit] = {}
        self._cold_slots: dict[str, int] = {}
        self._replicas: Collection[str] = ()
        self._nodes: Sequence[str] = ()
        self._node_hashes: dict[str, int] = {}
        self._orders: dict[str, _Order] = {}
        self._listed_from = math.inf
        self._contact_at = -math.inf
        # Time since which other nodes have told regularly what they know.
        self._contacts_from = -math.inf
        self._return_at = 0.0

    @property
    def limited(self) -> list[str]:
        """Names of the replicas that name a limit, as far as is known."""
        return [name for name, limit in self._limits.items() if limit.active]

    @property
    def restricted(self) -> list[str]:
        """Names of the replicas that name a limit or are cold, as far as is known."""
        now = self._clock.monotonic()
        cold = (name for name, limit in self._cold.items() if limit.until > now)
        return list(dict.fromkeys((*self.limited, *cold)))

    def set_cold(self, replica: str, rate_per_s: float, until: float) -> bool:
        """Limit a replica that is cold, beside the limit that it may name itself.

        :param rate_per_s: requests a second that it takes from all nodes together.
        :param until: time at which it is no longer cold, on the node's clock, seconds;
            the latest that was set holds.
        :returns: whether it was not cold before.
        """
        now = self._clock.monotonic()
        known = self._cold_limit(replica, now)
        if known is None:
            if until <= now:
                return False
            self._cold[replica] = ColdLimit(rate_per_s, until, now, self._random)
        else:
            known.set_rate(rate_per_s)
            known.extend(until)
        self._cold_slots.pop(replica, None)
        return known is None

    def cold_until(self, replica: str) -> float:
        """Return when a replica is no longer cold, on the node's clock, seconds.

        Minus infinity if it is not known to have been cold lately.
        """
        limit = self._cold.get(replica)
        return limit.until if limit is not None else -math.inf

    @property
    def node_count(self) -> int:
        """Number of nodes; 0 if it is not known."""
        return len(self._nodes)

    def limit_per_s(self, replica: str) -> float | None:
        """Return the requests a second that a replica names, None for no limit."""
        limit = self._limits.get(replica)
        return limit.limit_per_s if limit is not None and limit.active else None

    def own_rate(self, replica: str) -> float:
        """Return the requests a second that this node may send a limited replica."""
        now = self._clock.monotonic()
        rate = math.inf
        cold = self._cold_limit(replica, now)
        if cold is not None:
            rate = self._mean_cold_slots(replica, cold, now) / cold.interval_s
        limit = self._limits.get(replica)
        if limit is None or not limit.active:
            return rate
        return min(rate, self._rate(replica, limit, now))

    def set_nodes(self, nodes: Collection[str], listed_from: float) -> None:
        """Replace the list of nodes.

        :param nodes: names of all nodes; empty if they are not known.
        :param listed_from: time from which the others know that this node is one of
            them, on the node's clock, seconds.
        """
        self._listed_from = listed_from
        if set(nodes) == set(self._nodes):
            return
        self._nodes = sorted(nodes)
        self._node_hashes = {name: _hash(name) for name in self._nodes}
        self._orders.clear()
        self._cold_slots.clear()

    def set_replicas(self, names: Collection[str]) -> None:
        """Replace the list of replicas.

        The limit of one that is gone is kept for a while, since it may be listed again.
        """
        self._replicas = names
        now = self._clock.monotonic()
        for name, limit in list(self._limits.items()):
            if name in names and limit.active:
                continue
            if now - limit.observed_at > MAX_NEWS_AGE_S:
                del self._limits[name]
                self._orders.pop(name, None)
        # One that is gone stays cold: it may be listed again.
        for name in [n for n, limit in self._cold.items() if limit.until <= now]:
            del self._cold[name]
            self._cold_slots.pop(name, None)

    def record_contact(self) -> None:
        """Record that another node has told what it knows."""
        now = self._clock.monotonic()
        if now - self._contact_at > MAX_CONTACT_AGE_S:
            self._contacts_from = now
        self._contact_at = now

    def observe(self, replica: str, limit_per_s: float | None, sent_at: float) -> bool:
        """Record what an answer of a replica says of its limit.

        :param limit_per_s: requests a second that it names; None if it names none.
        :param sent_at: time at which the request was sent, on the node's clock,
            seconds. An answer without a limit ends one that was named before that.
        :returns: whether the limit has changed.
        """
        known = self._limits.get(replica)
        if limit_per_s is None:
            if known is None or not known.active or sent_at <= known.observed_at:
                return False
            known.limit_per_s, known.observed_at = 0.0, sent_at
            return True
        now = self._clock.monotonic()
        limit_per_s = max(MIN_LIMIT_PER_S, limit_per_s)
        changed = known is None or known.limit_per_s != limit_per_s
        self._known_or_new(replica, now).set_limit(limit_per_s, now, now)
        return changed

    def allows(self, replica: str) -> bool:
        """Return whether this node may send a replica a request now."""
        now = self._clock.monotonic()
        cold = self._cold_limit(replica, now)
        if cold is not None and not self._cold_allows(replica, cold, now):
            return False
        limit = self._limits.get(replica)
        if limit is None or not limit.active:
            return True
        return self._refill(replica, limit) > 0 and limit.saved_requests >= 1.0

    def take(self, replica: str) -> None:
        """Count a request that is sent to a replica."""
        now = self._clock.monotonic()
        cold = self._cold_limit(replica, now)
        if cold is not None:
            cold.record_sent(now)
        limit = self._limits.get(replica)
        if limit is None or not limit.active:
            return
        self._refill(replica, limit)
        limit.saved_requests -= 1.0
        if not self._settled(now):
            return
        for slot in self._own_passing_slots(replica, limit, now):
            slot.turn = slot.turn_at(now, self._settled_at)
            slot.used_at = now

    def retry_after_s(self, replicas: Iterable[str]) -> float:
        """Return when a caller may come back whose request found no replica, seconds.

        Callers are told different times, as far apart as this node may serve them.

        :param replicas: the limited replicas that may serve the request.
        """
        now = self._clock.monotonic()
        total = sum(self.own_rate(name) for name in replicas)
        if total <= 0:
            # The caller's next attempt most often reaches another node.
            return MIN_RETRY_AFTER_S * (1 + 2 * self._random.random())
        self._return_at = max(now, self._return_at) + 1 / total
        self._return_at = min(self._return_at, now + MAX_RETRY_AFTER_S)
        return max(MIN_RETRY_AFTER_S, self._return_at - now)

    def tell(self) -> list[LimitNews]:
        """Return what this node knows, for other nodes."""
        now = self._clock.monotonic()
        names = list(self._limits)
        if len(names) > MAX_TOLD_LIMITS:
            names = self._random.sample(names, MAX_TOLD_LIMITS)
        return [
            LimitNews(
                name,
                limit.limit_per_s,
                now - limit.observed_at,
                tuple(SlotNews(s.turn, now - s.used_at) for s in limit.slots),
            )
            for name, limit in ((name, self._limits[name]) for name in names)
        ]

    def learn(self, news: Iterable[LimitNews], asked_at: float) -> list[str]:
        """Accept what another node knows.

        :param asked_at: time at which the other node was asked, on this node's clock,
            seconds. Ages are counted from then, so that news seems rather older.
        :returns: replicas whose limits have changed.
        """
        return [item.replica for item in news if self._learn(item, asked_at)]

    def _learn(self, news: LimitNews, asked_at: float) -> bool:
        known = self._limits.get(news.replica)
        if known is None and news.replica not in self._replicas:
            return False
        if not _is_sound(news):
            return False
        now = self._clock.monotonic()
        observed_at = asked_at - news.age_s
        changed = False
        if known is None or observed_at > known.observed_at:
            if known is None and not news.limit_per_s:
                return False
            changed = known is None or known.limit_per_s != news.limit_per_s
            known = self._known_or_new(news.replica, now)
            known.set_limit(news.limit_per_s, observed_at, now)
        for slot, told in zip(known.slots, news.slots, strict=False):
            used_at = asked_at - told.age_s
            if (told.turn, used_at) > (slot.turn, slot.used_at):
                slot.turn, slot.used_at = told.turn, used_at
        return changed

    def _known_or_new(self, replica: str, now: float) -> _Limit:
        limit = self._limits.get(replica)
        if limit is None:
            limit = self._limits[replica] = _Limit(now, self._random.random())
        return limit

    def _cold_limit(self, replica: str, now: float) -> ColdLimit | None:
        """Return the limit of a replica that is cold now, None for any other."""
        limit = self._cold.get(replica)
        return limit if limit is not None and limit.until > now else None

    def _cold_allows(self, replica: str, cold: ColdLimit, now: float) -> bool:
        if self._settled(now):
            return cold.has_room(self._own_cold_slots(replica, cold), now)
        mean = cold.unsettled_slots(len(self._nodes))
        return cold.has_room(cold.draw(mean, now), now)

    def _mean_cold_slots(self, replica: str, cold: ColdLimit, now: float) -> float:
        if self._settled(now):
            return self._own_cold_slots(replica, cold)
        return cold.unsettled_slots(len(self._nodes))

    def _own_cold_slots(self, replica: str, cold: ColdLimit) -> int:
        """Return the slots of a cold replica that belong to this node.

        They belong to the first nodes in an order that is another one for each replica.
        Nodes that know different lists give out slots twice only where these differ
        among the first.
        """
        slots = self._cold_slots.get(replica)
        if slots is None:
            position = self._cold_position(replica, cold.slot_count)
            slots = cold.own_slots(position, len(self._nodes))
            self._cold_slots[replica] = slots
        return slots

    def _cold_position(self, replica: str, limit: int) -> int:
        """Return the place of this node, -1 for none; counts no further than a limit.

        A whole data centre may become cold at once, so that this doesn't sort.
        """
        own_hash = self._node_hashes.get(self._node)
        if own_hash is None:
            return -1
        seed = _hash(replica)
        own_rank, position = _mix(own_hash ^ seed), 0
        for node_hash in self._node_hashes.values():
            position += _mix(node_hash ^ seed) < own_rank
            if position >= limit:
                break
        return position

    def _refill(self, replica: str, limit: _Limit) -> float:
        """Add the requests saved up since the last call; return their rate."""
        now = self._clock.monotonic()
        rate = self._rate(replica, limit, now)
        elapsed_s = max(0.0, now - limit.refilled_at)
        capacity = 1 + SAVED_REQUESTS_S * rate
        saved = min(capacity, limit.saved_requests + elapsed_s * rate)
        limit.saved_requests, limit.refilled_at = saved, now
        return rate

    def _rate(self, replica: str, limit: _Limit, now: float) -> float:
        """Return the requests a second that this node may send a replica."""
        if not self._settled(now):
            node_count = len(self._nodes) or UNKNOWN_NODE_COUNT
            return limit.limit_per_s * UNSETTLED_SHARE / node_count
        slot_count = self._shared_slots(limit)
        own = len(self._own_passing_slots(replica, limit, now))
        own += MAX_PASSING_SLOTS <= self._order(replica).own_position < slot_count
        return limit.limit_per_s * SLOTS_SHARE * own / slot_count

    def _settled(self, now: float) -> bool:
        """Return whether this node knows enough of the others to use slots."""
        if not self._nodes or now < self._listed_from:
            return False
        alone = len(self._nodes) == 1
        return alone or now - self._contact_at <= MAX_CONTACT_AGE_S

    @property
    def _settled_at(self) -> float:
        """Time from which on this node knows enough of the others to use slots."""
        return max(self._listed_from, self._contacts_from)

    def _shared_slots(self, limit: _Limit) -> int:
        return min(len(self._nodes), _slot_count(limit.limit_per_s))

    def _own_passing_slots(
        self, replica: str, limit: _Limit, now: float
    ) -> list[_Slot]:
        """Return the slots that belong to this node now and may pass on."""
        order = self._order(replica)
        count = self._shared_slots(limit)
        step = count if count < order.length else 1
        return [
            slot
            for index, slot in enumerate(limit.slots[:count])
            if (index + slot.turn_at(now, self._settled_at) * step) % order.length
            == order.own_position
        ]

    def _order(self, replica: str) -> _Order:
        """Return the order in which the nodes hold a replica's slots."""
        order = self._orders.get(replica)
        if order is None:
            seed = _hash(replica)
            names = sorted(
                self._nodes, key=lambda name: _mix(self._node_hashes[name] ^ seed)
            )
            position = names.index(self._node) if self._node in names else -1
            order = self._orders[replica] = _Order(len(names), position)
        return order


def _slot_count(limit_per_s: float) -> int:
    return int(min(limit_per_s, MAX_LIMIT_SLOTS)) + EXTRA_SLOTS


def _is_sound(news: LimitNews) -> bool:
    ages = (news.age_s, *(slot.age_s for slot in news.slots))
    return (
        math.isfinite(news.limit_per_s)
        and news.limit_per_s >= 0
        and all(age >= 0 for age in ages)
        and news.age_s <= MAX_NEWS_AGE_S
        and all(0 <= slot.turn <= MAX_TURN for slot in news.slots)
    )


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _mix(number: int) -> int:
    """Scramble the bits of a number of 64 bits."""
    number = (number ^ (number >> 31)) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    return number ^ (number >> 29)
