"""Placement: prefix hits, balance of load, lookups under long reads."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Sequence
from typing import NamedTuple

from lentilshore_kernel.testing import FakeClock
from lentilshore_kernel.types import Priority
from lentilshore_routing import Placement

from .replicas import BenchReplica, Work, create_replicas

GROUP = "m@1"
NODES = 9
REPLICAS = 5
PREFIXES = 120
REPORT_LAG_S = 1.0
REPORT_INTERVAL_S = 0.5
SAMPLE_INTERVAL_S = 0.25
EVENT_GAP = 10
READ_RATE = 18.0
LOOKUP_RATE = 60.0


class Load(NamedTuple):
    """Offered load.

    :param lookups: lookups a second.
    :param reads: long reads a second.
    :param seconds: length of the run.
    """

    lookups: float
    reads: float
    seconds: float


class PlacementRun:
    """Serves a load through several nodes' production placement.

    :param choose: ``router`` or the name of a baseline.
    :param seed: seed of every random choice.
    :param frozen: whether load reports stop half-way.
    """

    def __init__(self, choose: str, seed: int, frozen: bool = False) -> None:
        self._choose = choose
        self._random = random.Random(seed)
        self._frozen = frozen
        self._clock = FakeClock(0.0)
        listed = create_replicas(REPLICAS, GROUP)
        names = [f"n{number}" for number in range(NODES)]
        self._nodes = [
            Placement(name, self._clock, random.Random(seed * 31 + index))
            for index, name in enumerate(names)
        ]
        for node in self._nodes:
            node.update(listed, names)
        self.replicas = {item.name: BenchReplica(item.name) for item in listed}
        self._turn = itertools.count()
        self.latencies: list[float] = []
        self.imbalances: list[float] = []

    def run(self, load: Load) -> None:
        """Serve a load."""
        events: list[tuple[float, int, str, object]] = []
        order = itertools.count()
        for at, work in self._arrivals(load):
            events.append((at, next(order), "arrive", work))
        steps = int(load.seconds / SAMPLE_INTERVAL_S)
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
                started = self._sample(item, load.seconds, at, events, order)
            for end, finished in started:
                heapq.heappush(events, (end, next(order), "finish", finished))

    def hit_ratio(self) -> float:
        """Return the share of shared prefixes that were in a cache."""
        lookups = sum(replica.lookups for replica in self.replicas.values())
        hits = sum(replica.hits for replica in self.replicas.values())
        return hits / max(1, lookups)

    def _arrivals(self, load: Load) -> list[tuple[float, Work]]:
        found = []
        for rate, priority in (
            (load.lookups, Priority.INTERACTIVE),
            (load.reads, Priority.BATCH),
        ):
            at = 0.0
            while rate > 0:
                at += self._random.expovariate(rate)
                if at > load.seconds:
                    break
                found.append((at, self._work(at, priority)))
        return sorted(found, key=lambda item: item[0])

    def _work(self, at: float, priority: Priority) -> Work:
        if priority is Priority.INTERACTIVE:
            return Work(priority, at, 120, 30, "", 0)
        number = min(int(self._random.paretovariate(0.9)) - 1, PREFIXES - 1)
        return Work(priority, at, 6_000, 300, f"p{number}", 5_500)

    def _arrive(self, work: Work, at: float) -> list[tuple[float, object]]:
        node = self._random.choice(self._nodes)
        name, lease = self._place(node, work)
        replica = self.replicas[name]
        replica.add(work)
        self._held = getattr(self, "_held", {})
        self._held[id(work)] = (work, node, lease, replica)
        return self._start(replica, at)

    def _place(self, node: Placement, work: Work) -> tuple[str, object]:
        names = sorted(self.replicas)
        if self._choose == "random":
            return self._random.choice(names), None
        if self._choose == "round_robin":
            return names[next(self._turn) % len(names)], None
        if self._choose == "least_loaded":
            loads = {n: self._seen.get(n, 0.0) for n in names}
            return min(names, key=lambda n: (loads[n], self._random.random())), None
        if self._choose == "rendezvous":
            key = work.prefix or str(self._random.random())
            return max(names, key=lambda n: hash((n, key)) & 0xFFFF_FFFF), None
        tokens = work.input_tokens + work.output_tokens
        lease = node.choose(GROUP, tokens, work.prefix, work.priority)
        return lease.replica.name, lease

    @property
    def _seen(self) -> dict[str, float]:
        return getattr(self, "_reported", {})

    def _start(self, replica: BenchReplica, at: float) -> list[tuple[float, object]]:
        started = []
        while (item := replica.start(at)) is not None:
            started.append((item[1], item[0]))
        return started

    def _finish(self, work: object, at: float) -> list[tuple[float, object]]:
        work, node, lease, replica = self._held.pop(id(work))
        replica.finish(work)
        if lease is not None:
            node.release(lease, False)
        if work.priority is Priority.INTERACTIVE:
            self.latencies.append(at - work.arrived_at)
        return self._start(replica, at)

    def _sample(
        self, step: object, seconds: float, at: float, events: object, order: object
    ) -> list[tuple[float, object]]:
        loads = [replica.work_tokens for replica in self.replicas.values()]
        mean = sum(loads) / len(loads)
        if mean > 0 and at > seconds * 0.2:
            self.imbalances.append(max(loads) / mean)
        self._history = getattr(self, "_history", [])
        self._history.append({r.name: r.work_tokens for r in self.replicas.values()})
        lagged = self._history[-1 - int(REPORT_LAG_S / SAMPLE_INTERVAL_S) :][0]
        if self._frozen and at > seconds / 2:
            return []
        self._reported = lagged
        for name, tokens in lagged.items():
            for node in self._nodes:
                node.record_load_report(name, tokens, REPORT_LAG_S)
        return []


def bench_placements(seeds: Sequence[int], seconds: float) -> dict[str, float]:
    """Return the keys of this part, averaged over seeds."""
    rows: dict[str, list[float]] = {}

    def note(name: str, value: float) -> None:
        rows.setdefault(name, []).append(value)

    mixed = Load(LOOKUP_RATE, READ_RATE, seconds)
    for seed in seeds:
        for choose in ("router", "random", "round_robin", "least_loaded", "rendezvous"):
            run = PlacementRun(choose, seed)
            run.run(mixed)
            prefix = "" if choose == "router" else f"{choose}_"
            note(f"{prefix}load_imbalance_p99_ratio", _quantile(run.imbalances, 0.99))
            note(f"{prefix}prefix_hit_ratio", run.hit_ratio())
            note(f"{prefix}lookup_p99_s", _quantile(run.latencies, 0.99))
        quiet = PlacementRun("router", seed)
        quiet.run(Load(LOOKUP_RATE, 0.0, seconds))
        note("lookup_p99_without_reads_s", _quantile(quiet.latencies, 0.99))
        frozen = PlacementRun("router", seed, frozen=True)
        frozen.run(mixed)
        note("frozen_reports_imbalance_p99_ratio", _quantile(frozen.imbalances, 0.99))
        note("oracle_prefix_hit_ratio", _oracle_hits(seed, mixed))
    figures = {name: sum(values) / len(values) for name, values in rows.items()}
    figures["prefix_hit_ratio_vs_oracle"] = (
        figures["prefix_hit_ratio"] / figures["oracle_prefix_hit_ratio"]
    )
    figures["lookup_p99_under_long_reads_ratio"] = (
        figures["lookup_p99_s"] / figures["lookup_p99_without_reads_s"]
    )
    return figures


def _oracle_hits(seed: int, load: Load) -> float:
    """Return the hits of one home replica per prefix, known to all nodes."""
    run = PlacementRun("router", seed)
    seen: set[str] = set()
    hits = lookups = 0
    for _, work in run._arrivals(load):
        if work.prefix:
            lookups += 1
            hits += work.prefix in seen
            seen.add(work.prefix)
    return hits / max(1, lookups)


def _quantile(values: Sequence[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
