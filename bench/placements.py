"""Prefix hits, load balance and lookup latency of replica placement."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Sequence
from typing import NamedTuple

from lentilshore_kernel.testing import FakeClock
from lentilshore_kernel.types import Priority
from lentilshore_routing import Placement

from .replicas import SimulatedReplica, SimulatedRequest, create_replicas

GROUP = "m@1"
NODES = 9
REPLICAS = 5
PREFIXES = 120
REPORT_LAG_S = 1.0
REPORT_INTERVAL_S = 0.5
SAMPLE_INTERVAL_S = 0.25
EVENT_GAP = 10
READS_PER_S = 18.0
LOOKUPS_PER_S = 60.0


class OfferedLoad(NamedTuple):
    """Load offered to the replicas.

    :param lookups_per_s: short interactive requests (lookups) per second.
    :param reads_per_s: long batch requests (reads) per second.
    :param duration_s: length of the run, seconds.
    """

    lookups_per_s: float
    reads_per_s: float
    duration_s: float


class PlacementSimulation:
    """Simulates several nodes that place requests on shared replicas.

    :param policy: ``router`` for the production placement, else the name of a
        baseline: ``random``, ``round_robin``, ``least_loaded`` or ``rendezvous``.
    :param seed: seed of the load and of the nodes.
    :param freeze_reports: whether load reports stop half-way through the run.
    """

    def __init__(self, policy: str, seed: int, freeze_reports: bool = False) -> None:
        self._policy = policy
        self._rng = random.Random(seed)
        self._freeze_reports = freeze_reports
        self._clock = FakeClock(0.0)
        replicas = create_replicas(REPLICAS, GROUP)
        names = [f"n{number}" for number in range(NODES)]
        self._nodes = [
            Placement(name, self._clock, random.Random(seed * 31 + index))
            for index, name in enumerate(names)
        ]
        for node in self._nodes:
            node.update(replicas, names)
        self.replicas = {item.name: SimulatedReplica(item.name) for item in replicas}
        self._round_robin_index = itertools.count()
        self.lookup_latencies_s: list[float] = []
        self.imbalances: list[float] = []

    def run(self, load: OfferedLoad) -> None:
        """Simulate serving a load."""
        events: list[tuple[float, int, str, object]] = []
        # Orders events of the same time.
        order = itertools.count()
        for at, request in self._create_arrivals(load):
            events.append((at, next(order), "arrive", request))
        steps = int(load.duration_s / SAMPLE_INTERVAL_S)
        for step in range(steps):
            events.append((step * SAMPLE_INTERVAL_S, next(order), "sample", step))
        heapq.heapify(events)
        while events:
            at, _, kind, item = heapq.heappop(events)
            self._clock.advance(at - self._clock.monotonic())
            if kind == "arrive":
                started = self._arrive(item, at)
            elif kind == "finish":
                started = self._finish(item, at)
            else:
                started = self._sample(item, load.duration_s, at, events, order)
            for end, finished in started:
                heapq.heappush(events, (end, next(order), "finish", finished))

    def hit_ratio(self) -> float:
        """Return the share of prefix lookups that were cache hits."""
        prefix_lookups = sum(
            replica.prefix_lookups for replica in self.replicas.values()
        )
        prefix_hits = sum(replica.prefix_hits for replica in self.replicas.values())
        return prefix_hits / max(1, prefix_lookups)

    def _create_arrivals(
        self, load: OfferedLoad
    ) -> list[tuple[float, SimulatedRequest]]:
        arrivals = []
        for rate, priority in (
            (load.lookups_per_s, Priority.INTERACTIVE),
            (load.reads_per_s, Priority.BATCH),
        ):
            at = 0.0
            while rate > 0:
                at += self._rng.expovariate(rate)
                if at > load.duration_s:
                    break
                arrivals.append((at, self._create_request(at, priority)))
        return sorted(arrivals, key=lambda item: item[0])

    def _create_request(self, at: float, priority: Priority) -> SimulatedRequest:
        if priority is Priority.INTERACTIVE:
            return SimulatedRequest(priority, at, 120, 30, "", 0)
        number = min(int(self._rng.paretovariate(0.9)) - 1, PREFIXES - 1)
        return SimulatedRequest(priority, at, 6_000, 300, f"p{number}", 5_500)

    def _arrive(
        self, request: SimulatedRequest, at: float
    ) -> list[tuple[float, object]]:
        node = self._rng.choice(self._nodes)
        name, lease = self._choose_replica(node, request)
        replica = self.replicas[name]
        replica.enqueue(request)
        self._in_flight = getattr(self, "_in_flight", {})
        self._in_flight[id(request)] = (request, node, lease, replica)
        return self._start_queued(replica, at)

    def _choose_replica(
        self, node: Placement, request: SimulatedRequest
    ) -> tuple[str, object]:
        names = sorted(self.replicas)
        if self._policy == "random":
            return self._rng.choice(names), None
        if self._policy == "round_robin":
            return names[next(self._round_robin_index) % len(names)], None
        if self._policy == "least_loaded":
            loads = {n: self._reported_loads.get(n, 0.0) for n in names}
            return min(names, key=lambda n: (loads[n], self._rng.random())), None
        if self._policy == "rendezvous":
            key = request.prefix or str(self._rng.random())
            return max(names, key=lambda n: hash((n, key)) & 0xFFFF_FFFF), None
        tokens = request.input_tokens + request.output_tokens
        lease = node.choose(GROUP, tokens, request.prefix, request.priority)
        return lease.replica.name, lease

    @property
    def _reported_loads(self) -> dict[str, float]:
        return getattr(self, "_reported", {})

    def _start_queued(
        self, replica: SimulatedReplica, at: float
    ) -> list[tuple[float, object]]:
        """Start the requests that have a slot; return them with their end times."""
        started = []
        while (item := replica.start_next(at)) is not None:
            started.append((item[1], item[0]))
        return started

    def _finish(self, request: object, at: float) -> list[tuple[float, object]]:
        request, node, lease, replica = self._in_flight.pop(id(request))
        replica.finish(request)
        if lease is not None:
            node.release(lease, False)
        if request.priority is Priority.INTERACTIVE:
            self.lookup_latencies_s.append(at - request.arrived_at)
        return self._start_queued(replica, at)

    def _sample(
        self, step: object, duration_s: float, at: float, events: object, order: object
    ) -> list[tuple[float, object]]:
        loads = [replica.work_tokens for replica in self.replicas.values()]
        mean = sum(loads) / len(loads)
        if mean > 0 and at > duration_s * 0.2:
            self.imbalances.append(max(loads) / mean)
        self._history = getattr(self, "_history", [])
        self._history.append({r.name: r.work_tokens for r in self.replicas.values()})
        # The loads of REPORT_LAG_S ago, at first the oldest.
        lagged_loads = self._history[-1 - int(REPORT_LAG_S / SAMPLE_INTERVAL_S) :][0]
        if self._freeze_reports and at > duration_s / 2:
            return []
        self._reported = lagged_loads
        for name, tokens in lagged_loads.items():
            for node in self._nodes:
                node.record_load_report(name, tokens, REPORT_LAG_S)
        return []


def bench_placements(seeds: Sequence[int], duration_s: float) -> dict[str, float]:
    """Return the placement figures, averaged over seeds.

    :param seeds: seeds of the runs.
    :param duration_s: simulated length of each run, seconds.
    """
    values_by_name: dict[str, list[float]] = {}

    def add_value(name: str, value: float) -> None:
        values_by_name.setdefault(name, []).append(value)

    mixed = OfferedLoad(LOOKUPS_PER_S, READS_PER_S, duration_s)
    for seed in seeds:
        for policy in ("router", "random", "round_robin", "least_loaded", "rendezvous"):
            simulation = PlacementSimulation(policy, seed)
            simulation.run(mixed)
            prefix = "" if policy == "router" else f"{policy}_"
            add_value(
                f"{prefix}load_imbalance_p99_ratio",
                _quantile(simulation.imbalances, 0.99),
            )
            add_value(f"{prefix}prefix_hit_ratio", simulation.hit_ratio())
            add_value(
                f"{prefix}lookup_p99_s", _quantile(simulation.lookup_latencies_s, 0.99)
            )
        quiet_run = PlacementSimulation("router", seed)
        quiet_run.run(OfferedLoad(LOOKUPS_PER_S, 0.0, duration_s))
        add_value(
            "lookup_p99_without_reads_s", _quantile(quiet_run.lookup_latencies_s, 0.99)
        )
        frozen_run = PlacementSimulation("router", seed, freeze_reports=True)
        frozen_run.run(mixed)
        add_value(
            "frozen_reports_imbalance_p99_ratio", _quantile(frozen_run.imbalances, 0.99)
        )
        add_value("oracle_prefix_hit_ratio", _oracle_hit_ratio(seed, mixed))
    figures = {
        name: sum(values) / len(values) for name, values in values_by_name.items()
    }
    figures["prefix_hit_ratio_vs_oracle"] = (
        figures["prefix_hit_ratio"] / figures["oracle_prefix_hit_ratio"]
    )
    figures["lookup_p99_under_long_reads_ratio"] = (
        figures["lookup_p99_s"] / figures["lookup_p99_without_reads_s"]
    )
    return figures


def _oracle_hit_ratio(seed: int, load: OfferedLoad) -> float:
    """Return the hit ratio if each prefix always went to one replica.

    Nothing is evicted in this bound: only the first request of a prefix misses.
    """
    simulation = PlacementSimulation("router", seed)
    cached_prefixes: set[str] = set()
    prefix_hits = prefix_lookups = 0
    for _, request in simulation._create_arrivals(load):
        if request.prefix:
            prefix_lookups += 1
            prefix_hits += request.prefix in cached_prefixes
            cached_prefixes.add(request.prefix)
    return prefix_hits / max(1, prefix_lookups)


def _quantile(values: Sequence[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
