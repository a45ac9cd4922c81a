"""Runs all benchmarks, prints a table and writes ``build/bench.json``."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from .cascades import bench_cascades
from .decisions import bench_decisions
from .escalations import bench_escalations
from .fleet import bench_fleet
from .limits import bench_limits
from .placements import bench_placements
from .relay import bench_relay
from .rollouts import bench_rollouts
from .targets import TARGETS
from .traces import HOLDOUT_SEEDS, TUNING_SEEDS

OUTPUT = Path("build/bench.json")


class RunSize(NamedTuple):
    """Sizes and durations of a run.

    :param seeds: number of tuning seeds and of holdout seeds.
    :param trace_requests: requests per cascade trace.
    :param rollouts: roll-outs per scenario and seed.
    :param placement_s: simulated seconds per placement run.
    :param retry_requests: requests per retry run.
    :param decisions: number of decisions timed.
    :param relay_s: seconds per relay measurement.
    :param fleet_s: seconds for which calls and processor use of a fleet are counted.
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
    """Run all benchmarks.

    :param size: sizes and durations.
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
    """Print each figure and its target.

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
    """Run the benchmarks.

    :param arguments: command line, None for that of the process.
    :returns: exit status, always 0: a missed target is printed but is no error.
    """
    parser = argparse.ArgumentParser(
        description="Measure routing decisions, the fleet and the data path."
    )
    parser.add_argument(
        "--quick",
        action="store_true",
        help="run for a shorter time; the figures have the same keys",
    )
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
        **bench_escalations(seeds, size.trace_requests),
        **bench_rollouts(seeds, size.rollouts),
        **bench_placements(seeds, size.placement_s),
        **bench_limits(seeds, size.retry_requests),
    }


if __name__ == "__main__":
    sys.exit(main())
