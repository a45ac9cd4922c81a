"""Simulated replicas with slots, prefill time and a prefix cache."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import NamedTuple

from lentilshore_kernel.types import Address, Priority
from lentilshore_routing import Replica

REPLICA_SLOTS = 32
PREFILL_TOKENS_PER_S = 20_000.0
DECODE_TOKENS_PER_S = 60.0
PREFIX_CACHE_ENTRIES = 48
# Each request decodes at half speed when this many are running.
DECODE_HALVING_REQUESTS = 64.0


class SimulatedRequest(NamedTuple):
    """A request queued or running on a replica.

    :param priority: order within the queue of the replica.
    :param arrived_at: time of arrival, seconds.
    :param input_tokens: tokens of the prompt.
    :param output_tokens: tokens of the answer.
    :param prefix: identifier of the shared prefix, empty for none.
    :param prefix_tokens: tokens of the shared prefix.
    """

    priority: Priority
    arrived_at: float
    input_tokens: int
    output_tokens: int
    prefix: str
    prefix_tokens: int


class SimulatedReplica:
    """Replica with continuous batching.

    Interactive requests start before batch work and ignore the slots that batch
    work occupies, as if it were preempted. Each running request slows the decoding
    of all.

    :param name: name of the replica.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.running = 0
        self.batch_running = 0
        self.work_tokens = 0.0
        self.prefix_hits = 0
        self.prefix_lookups = 0
        self._queue: list[tuple[int, int, SimulatedRequest]] = []
        self._enqueued_count = 0
        self._prefill_free_at = 0.0
        self._prefixes: OrderedDict[str, None] = OrderedDict()

    def enqueue(self, request: SimulatedRequest) -> None:
        """Append a request to the queue of its priority."""
        self._enqueued_count += 1
        heapq.heappush(
            self._queue, (int(request.priority), self._enqueued_count, request)
        )
        self.work_tokens += request.input_tokens + request.output_tokens

    def start_next(self, now: float) -> tuple[SimulatedRequest, float] | None:
        """Start the next request if a slot is free.

        :param now: time, seconds.
        :returns: the request and the time when it ends, or None.
        """
        if not self._queue:
            return None
        is_batch = self._queue[0][2].priority is Priority.BATCH
        interactive_running = self.running - self.batch_running
        if (self.running if is_batch else interactive_running) >= REPLICA_SLOTS:
            return None
        request = heapq.heappop(self._queue)[2]
        self.running += 1
        self.batch_running += is_batch
        prefill_s = self._take_prefill_tokens(request) / PREFILL_TOKENS_PER_S
        prefill_started_at = max(now, self._prefill_free_at) if is_batch else now
        if is_batch:
            self._prefill_free_at = prefill_started_at + prefill_s
        tokens_per_s = DECODE_TOKENS_PER_S / (
            1 + self.running / DECODE_HALVING_REQUESTS
        )
        return (
            request,
            prefill_started_at + prefill_s + request.output_tokens / tokens_per_s,
        )

    def finish(self, request: SimulatedRequest) -> None:
        """Free the slot of a request that has ended."""
        self.running -= 1
        self.batch_running -= request.priority is Priority.BATCH
        self.work_tokens -= request.input_tokens + request.output_tokens

    def _take_prefill_tokens(self, request: SimulatedRequest) -> int:
        """Return the tokens to prefill, and cache the prefix of the request."""
        if not request.prefix:
            return request.input_tokens
        self.prefix_lookups += 1
        cached = request.prefix in self._prefixes
        self.prefix_hits += cached
        self._prefixes[request.prefix] = None
        self._prefixes.move_to_end(request.prefix)
        if len(self._prefixes) > PREFIX_CACHE_ENTRIES:
            self._prefixes.popitem(last=False)
        return request.input_tokens - request.prefix_tokens * cached


def create_replicas(count: int, group: str) -> list[Replica]:
    """Return replicas of one version, spread over ten data centres.

    :param count: number of replicas.
    :param group: model version that they serve.
    """
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
