"""Measures how costs grow with size and writes the table of docs/CAPACITY.md."""

from __future__ import annotations

import json
import math
import statistics
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from .control import ledger_bytes, measure_control
from .decisions import bench_decisions
from .slopes import measure_apply_ms, measure_entry_bytes, measure_placement_ms

PAGE = Path("docs/CAPACITY.md")
OUTPUT = Path("build/capacity.json")
PLOT = Path("build/capacity.png")
BEGIN_MARKER, END_MARKER = "<!-- measured: begin -->", "<!-- measured: end -->"
NODES, REPLICAS, DATA_CENTRES = 340, 3_700, 10
REQUESTS_PER_S, TOKENS_PER_S = 6_900, 3_000_000
CHANGES_PER_DAY, RESTARTS_PER_DAY = 4_300, 520


class Slope(NamedTuple):
    """Linear fit of a cost over size.

    :param name: name of the cost, with its unit.
    :param over: name of the size that is varied.
    :param points: measured pairs of size and cost.
    :param target: size of the target.
    """

    name: str
    over: str
    points: list[tuple[float, float]]
    target: float

    @property
    def fit(self) -> tuple[float, float]:
        """Slope and intercept of the linear regression."""
        slope, intercept = statistics.linear_regression(*zip(*self.points, strict=True))
        return slope, intercept

    @property
    def value(self) -> float:
        """Cost at the target size."""
        slope, intercept = self.fit
        return intercept + slope * self.target

    @property
    def error_percent(self) -> float:
        """Largest residual of a point, percent of the largest measured cost."""
        slope, intercept = self.fit
        worst = max(abs(y - intercept - slope * x) for x, y in self.points)
        return 100 * worst / max(abs(y) for _, y in self.points)


def measure_slopes() -> list[Slope]:
    """Measure every cost at several sizes."""
    sizes = (9, 85, 170, 340)
    control = {size: measure_control(size) for size in sizes}
    log_local_nodes = {size: math.log2(max(2.0, size / DATA_CENTRES)) for size in sizes}

    def over_log(name: str, key: str) -> Slope:
        points = [(log_local_nodes[size], control[size][key]) for size in sizes]
        return Slope(
            name, "log2 of nodes a data centre", points, log_local_nodes[NODES]
        )

    return [
        over_log("peer links of a node", "links"),
        over_log("control bytes a second, node", "bytes_per_s"),
        over_log("control core percent, heartbeats", "core_percent"),
        _measure_over(
            "instance list applied, ms", "replicas", measure_placement_ms, REPLICAS
        ),
        _measure_over("change applied, ms", "records", measure_apply_ms, 2_000),
        _measure_over(
            "configuration held, bytes", "records", measure_entry_bytes, 2_000
        ),
        # 438,480 bills: six hours at 20.3 requests per second.
        _measure_over("ledger held, bytes", "bills", ledger_bytes, 438_480),
    ]


def write_page(slopes: Sequence[Slope], figures: dict[str, float]) -> None:
    """Replace the measured part of the page, between its markers.

    :param slopes: fits of the first table.
    :param figures: figures of the second table.
    """
    lines = [
        "| figure | measured over | points (size: value) | at the target | fit error |",
        "|---|---|---|---|---|",
    ]
    for slope in slopes:
        points = ", ".join(f"{x:.4g}: {y:.4g}" for x, y in slope.points)
        lines.append(
            f"| {slope.name} | {slope.over} | {points} | "
            f"{slope.value:.4g} at {slope.target:.4g} | {slope.error_percent:.1f} % |"
        )
    lines += ["", "| figure of the bench | value |", "|---|---|"]
    lines += [f"| `{name}` | {value:.4g} |" for name, value in figures.items()]
    page = PAGE.read_text()
    head, _, rest = page.partition(BEGIN_MARKER)
    tail = rest.partition(END_MARKER)[2]
    PAGE.write_text("\n".join([head + BEGIN_MARKER, "", *lines, "", END_MARKER]) + tail)


def main() -> int:
    """Measure and write the page, the JSON file and the plot."""
    slopes = measure_slopes()
    figures = bench_decisions(4_000)
    bench_file = Path("build/bench.json")
    if bench_file.exists():
        bench_figures = json.loads(bench_file.read_text())
        figures |= {
            name: bench_figures[name] for name in _BENCH_KEYS if name in bench_figures
        }
    OUTPUT.parent.mkdir(exist_ok=True)
    values = {slope.name: slope._asdict() | {"value": slope.value} for slope in slopes}
    OUTPUT.write_text(json.dumps({"slopes": values, "bench": figures}, indent=2))
    write_page(slopes, figures)
    _draw(slopes)
    print(f"capacity: {len(slopes)} slopes, see {PAGE}, {OUTPUT} and {PLOT}")
    return 0


_BENCH_KEYS = (
    "config_propagation_s_p99",
    "config_propagation_s_p99_at_340",
    "platform_calls_per_s_at_9_nodes",
    "platform_reads_per_s_at_340_nodes",
    "platform_writes_per_s_at_340_nodes",
    "rejoin_peak_calls_per_s_at_340_nodes",
    "control_core_percent_at_340",
    "control_bytes_per_s_per_node_at_340",
    "control_rss_mb_at_340",
    "ledger_bytes_after_6h_partition",
    "bill_copy_added_ms_p50",
    "added_first_token_ms_p50",
    "added_first_token_ms_p99",
    "added_intertoken_ms_p95",
    "relay_us_per_token",
    "relay_tokens_per_s_per_core",
    "plain_relay_tokens_per_s_per_core",
    "rss_mb_at_500_streams",
)


def _measure_over(
    name: str, over: str, measure: Callable[[int], float], target: int
) -> Slope:
    sizes = [target // 4, target // 2, target]
    return Slope(name, over, [(size, measure(size)) for size in sizes], target)


def _draw(slopes: Sequence[Slope]) -> None:
    figure, axes = pyplot.subplots(2, 4, figsize=(16, 7))
    for slope, axis in zip(slopes, axes.flat, strict=False):
        gradient, intercept = slope.fit
        xs = [x for x, _ in slope.points]
        axis.plot(xs, [y for _, y in slope.points], "o")
        axis.plot(xs, [intercept + gradient * x for x in xs])
        axis.set_title(slope.name, fontsize=9)
        axis.set_xlabel(slope.over, fontsize=8)
    figure.tight_layout()
    figure.savefig(PLOT, dpi=80)


if __name__ == "__main__":
    sys.exit(main())
