"""Runs the bench, prints a table and writes ``build/bench.json``."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from .cascades import bench_cascades
from .decisions import bench_decisions
from .fleet import bench_fleet
from .limits import bench_limits
from .placements import bench_placements
from .relay import bench_relay
from .rollouts import bench_rollouts
from .targets import TARGETS
from .traces import HOLDOUT_SEEDS, TUNING_SEEDS

OUTPUT = Path("build/bench.json")


class RunSize(NamedTuple):
    """How long the bench runs.

    :param seeds: number of tuning and of holdout seeds.
    :param trace: requests of a cascade trace.
    :param rollouts: roll-outs of each sort and seed.
    :param seconds: simulated seconds of a placement run.
    :param attempts: requests of a retry run.
    :param decisions: decisions timed.
    :param relay_s: seconds of each relay measurement.
    :param fleet_s: seconds for which the platform's calls are counted.
    """

    seeds: int
    trace_requests: int
    rollouts: int
    placement_s: float
    retry_requests: int
    decisions: int
    relay_s: float
    fleet_s: float


QUICK = RunSize(1, 8_000, 8, 30.0, 4_000, 2_000, 1.5, 4.0)
FULL = RunSize(2, 30_000, 40, 120.0, 20_000, 20_000, 5.0, 20.0)


def run_bench(size: RunSize) -> dict[str, float]:
    """Run every part.

    :param size: how long to run.
    :returns: figures by key.
    """
    tuning, holdout = TUNING_SEEDS[: size.seeds], HOLDOUT_SEEDS[: size.seeds]
    figures = _run_seeded(tuning, size)
    for name, value in _run_seeded(holdout, size).items():
        figures[f"holdout_{name}"] = value
    figures |= bench_decisions(size.decisions)
    figures |= bench_fleet(size.fleet_s)
    figures |= bench_relay(size.relay_s)
    return figures


def print_table(figures: dict[str, float]) -> int:
    """Print each figure beside its target.

    :returns: number of targets missed.
    """
    missed = 0
    for name, value in figures.items():
        target = TARGETS.get(name.removeprefix("holdout_"))
        state = ""
        if target is not None:
            met = target.is_met(value)
            missed += not met
            state = f"{target!s:<12}{'ok' if met else 'MISSED'}"
        print(f"{name:<52}{value:>14.4g}  {state}".rstrip())
    return missed


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the bench.

    :returns: exit status 0; a missed target is reported, not an error.
    """
    parser = argparse.ArgumentParser(
        description="Measure decisions, fleet and data path."
    )
    parser.add_argument("--quick", action="store_true", help="shorter runs, same keys")
    options = parser.parse_args(arguments)
    figures = run_bench(QUICK if options.quick else FULL)
    missed = print_table(figures)
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(figures, indent=2) + "\n")
    print(f"bench: {len(figures)} figures, {missed} targets missed, see {OUTPUT}")
    return 0


def _run_seeded(seeds: Sequence[int], size: RunSize) -> dict[str, float]:
    return {
        **bench_cascades(seeds, size.trace_requests),
        **bench_rollouts(seeds, size.rollouts),
        **bench_placements(seeds, size.placement_s),
        **bench_limits(seeds, size.retry_requests),
    }


if __name__ == "__main__":
    sys.exit(main())
