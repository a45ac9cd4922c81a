"""Replicas of the bench: slots, prefill, prefix caches and lagging reports."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import NamedTuple

from lentilshore_kernel.types import Address, Priority
from lentilshore_routing import Replica

SLOTS = 32
PREFILL_TOKENS_PER_S = 20_000.0
DECODE_TOKENS_PER_S = 60.0
PREFIXES_HELD = 48
BATCH_SLOWING = 64.0


class Work(NamedTuple):
    """A request at a replica.

    :param priority: order within the replica.
    :param arrived_at: seconds.
    :param input_tokens: tokens of the prompt.
    :param output_tokens: tokens of the answer.
    :param prefix: shared prefix, empty for none.
    :param prefix_tokens: its tokens.
    """

    priority: Priority
    arrived_at: float
    input_tokens: int
    output_tokens: int
    prefix: str
    prefix_tokens: int


class BenchReplica:
    """One replica that batches continuously.

    Interactive requests go before batch work, which is preempted where slots
    run out; each running request slows the decoding of all.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.running = 0
        self.batch_running = 0
        self.work_tokens = 0.0
        self.hits = 0
        self.lookups = 0
        self._queue: list[tuple[int, int, Work]] = []
        self._count = 0
        self._prefill_free_at = 0.0
        self._prefixes: OrderedDict[str, None] = OrderedDict()

    def add(self, work: Work) -> None:
        """Queue a request."""
        self._count += 1
        heapq.heappush(self._queue, (int(work.priority), self._count, work))
        self.work_tokens += work.input_tokens + work.output_tokens

    def start(self, now: float) -> tuple[Work, float] | None:
        """Start the next request if there is a slot.

        :returns: the request and when it ends.
        """
        if not self._queue:
            return None
        batch = self._queue[0][2].priority is Priority.BATCH
        interactive_running = self.running - self.batch_running
        if (self.running if batch else interactive_running) >= SLOTS:
            return None
        work = heapq.heappop(self._queue)[2]
        self.running += 1
        self.batch_running += batch
        duration = self._prefill_tokens(work) / PREFILL_TOKENS_PER_S
        begin = max(now, self._prefill_free_at) if batch else now
        if batch:
            self._prefill_free_at = begin + duration
        speed = DECODE_TOKENS_PER_S / (1 + self.running / BATCH_SLOWING)
        return work, begin + duration + work.output_tokens / speed

    def finish(self, work: Work) -> None:
        """End a request."""
        self.running -= 1
        self.batch_running -= work.priority is Priority.BATCH
        self.work_tokens -= work.input_tokens + work.output_tokens

    def _prefill_tokens(self, work: Work) -> int:
        if not work.prefix:
            return work.input_tokens
        self.lookups += 1
        held = work.prefix in self._prefixes
        self.hits += held
        self._prefixes[work.prefix] = None
        self._prefixes.move_to_end(work.prefix)
        if len(self._prefixes) > PREFIXES_HELD:
            self._prefixes.popitem(last=False)
        return work.input_tokens - work.prefix_tokens * held


def create_replicas(count: int, group: str) -> list[Replica]:
    """Return replicas of one version, as an instance list has them."""
    return [
        Replica(
            f"r{number:04d}",
            "engine",
            Address("127.0.0.1", 1 + number % 60_000),
            f"dc-{number % 10}",
            (group,),
        )
        for number in range(count)
    ]
