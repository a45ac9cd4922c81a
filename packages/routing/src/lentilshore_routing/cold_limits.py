"""Limit of a replica that is cold: it takes few requests until a given time.

The limit counts over all nodes and within single seconds, so that no node saves up
requests. It is divided into slots, each of which belongs to one node and may be used
once in an interval. Unused slots don't pass on: a replica is warm before that.
"""

from __future__ import annotations

import math
import random
from collections import deque

# Least time between two uses of a slot, as a multiple of the even interval. Requests
# that take differently long to reach the replica come no closer than a second.
INTERVAL_MARGIN = 1.1
# Share of the rate that all nodes together use while they know little of one another.
# They draw at random; with more, so many may draw at once that they exceed the bound.
UNSETTLED_COLD_SHARE = 0.4
# Number of nodes assumed while their list is not known: as many as the largest fleet.
UNKNOWN_COLD_NODES = 340
# Least number of nodes assumed by one that knows little: in a fleet that is starting,
# the first nodes list few others. With 20 assumed, 340 nodes that started in turn sent
# 19 requests in a second where 20 were allowed.
MIN_UNSETTLED_NODES = 100
MIN_RATE_PER_S = 0.05
MAX_SLOTS = 10_000


class ColdLimit:
    """Limit of one cold replica, and this node's requests to it.

    :param rate_per_s: requests a second from all nodes together.
    :param until: time at which it ends, on the node's clock, seconds.
    :param now: present time, on the same clock, seconds.
    :param random_source: decides when a node that knows little may send.
    """

    def __init__(
        self, rate_per_s: float, until: float, now: float, random_source: random.Random
    ) -> None:
        self._random = random_source
        self._until = until
        self.set_rate(rate_per_s)
        self._sent: deque[float] = deque()
        # Nodes that learn of the replica together draw at different times.
        self._draw_ends_at = now + self.interval_s * random_source.random()
        self._drawn = 0

    @property
    def until(self) -> float:
        """Time at which the limit ends, on the node's clock, seconds."""
        return self._until

    @property
    def slot_count(self) -> int:
        """Number of slots, over all nodes."""
        return math.ceil(self._rate_per_s)

    @property
    def interval_s(self) -> float:
        """Time in which each slot may be used once, seconds."""
        return INTERVAL_MARGIN * self.slot_count / self._rate_per_s

    def set_rate(self, rate_per_s: float) -> None:
        """Replace the rate, in requests a second from all nodes together."""
        self._rate_per_s = min(MAX_SLOTS, max(MIN_RATE_PER_S, rate_per_s))

    def extend(self, until: float) -> None:
        """Move the end, never to an earlier time."""
        self._until = max(self._until, until)

    def own_slots(self, position: int, node_count: int) -> int:
        """Return the number of slots of a node.

        :param position: place of the node in the order of nodes, from 0; negative if it
            has none.
        :param node_count: number of nodes.
        """
        if position < 0:
            return 0
        each, remainder = divmod(self.slot_count, node_count)
        return each + (position < remainder)

    def unsettled_slots(self, node_count: int) -> float:
        """Return the mean number of slots of a node that knows little of the others.

        :param node_count: number of nodes; 0 if not known.
        """
        nodes = max(MIN_UNSETTLED_NODES, node_count or UNKNOWN_COLD_NODES)
        return self.slot_count * UNSETTLED_COLD_SHARE / nodes

    def draw(self, mean: float, now: float) -> int:
        """Return the slots drawn for the present interval.

        :param mean: their mean number.
        """
        if now >= self._draw_ends_at:
            passed = (now - self._draw_ends_at) // self.interval_s
            self._draw_ends_at += (passed + 1) * self.interval_s
            whole = math.floor(mean)
            self._drawn = whole + (self._random.random() < mean - whole)
        return self._drawn

    def has_room(self, slots: int, now: float) -> bool:
        """Return whether a node with a number of slots may send a request now."""
        while self._sent and self._sent[0] <= now - self.interval_s:
            self._sent.popleft()
        return len(self._sent) < slots

    def record_sent(self, now: float) -> None:
        """Count a request that is sent."""
        self._sent.append(now)
