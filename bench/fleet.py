"""Fleet: propagation of configuration, calls to the platform, cost of control."""

from __future__ import annotations

import math
import statistics
import tempfile
import time
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import capnp
import httpcore
import msgspec

from lentilshore_ctl import connect
from lentilshore_fleet.ledger import FLUSH_INTERVAL_S
from lentilshore_kernel.types import Address
from lentilshore_node.maintenance import (
    MAX_FLEET_CALLS_PER_S,
    RATING_INTERVAL_S,
    REPORT_INTERVAL_S,
)
from lentilshore_node.platform import WATCH_TIMEOUT_S

from .control import measure_control
from .processes import (
    Process,
    listener,
    node_command,
    start_standin,
    started,
    wait_until,
    write_settings,
)

SIZES = (3, 6, 9)
TARGET_NODES = 340
TARGET_DATA_CENTRES = 10
DATA_CENTRES = 3
FIRST_PORT = 19_000
SETTLE_S = 6.0
COUNTED_S = 20.0
CHANGES = 12
WATCHERS = 2
REJOIN_WRITES_PER_NODE = 4


class FleetFigures(NamedTuple):
    """What was measured at one size.

    :param nodes: number of nodes.
    :param reads_per_s: reads of the platform a second, a waiting watch as one.
    :param writes_per_s: writes a second.
    :param propagation_s: times until a change was in force on every node.
    :param core_percent: processor use of an idle node, percent of a core.
    :param rss_mb: resident memory of a node, megabytes.
    """

    nodes: int
    reads_per_s: float
    writes_per_s: float
    propagation_s: list[float]
    core_percent: float
    rss_mb: float


def bench_fleet(counted_s: float = COUNTED_S) -> dict[str, float]:
    """Return the keys of this part.

    :param counted_s: time for which calls and processor use are counted, seconds.
    """
    measured = [measure_fleet(size, counted_s) for size in SIZES]
    last = measured[-1]
    watchers = WATCHERS * TARGET_DATA_CENTRES
    reads = _at_target(
        [(_watchers(m.nodes), m.reads_per_s) for m in measured], watchers
    )
    reads += _scaled_calls(RATING_INTERVAL_S)
    writes = measured[0].writes_per_s - measured[0].nodes / REPORT_INTERVAL_S
    writes = max(0.0, writes) + _scaled_calls(REPORT_INTERVAL_S)
    writes += TARGET_NODES / FLUSH_INTERVAL_S
    core = _at_target(
        [(_links(m.nodes), m.core_percent) for m in measured], _links(TARGET_NODES)
    )
    propagation = sorted(last.propagation_s)
    p99 = propagation[int(0.99 * len(propagation))]
    local = math.ceil(TARGET_NODES / TARGET_DATA_CENTRES)
    hops = 1 + math.ceil(math.log2(local))
    measured_hops = 1 + math.ceil(math.log2(max(2, last.nodes / DATA_CENTRES)))
    control = measure_control(TARGET_NODES)
    return {
        "config_propagation_s_p99": p99,
        "config_propagation_s_p99_at_340": p99 * hops / measured_hops,
        "platform_calls_per_s_at_9_nodes": last.reads_per_s + last.writes_per_s,
        "platform_reads_per_s_at_340_nodes": reads,
        "platform_writes_per_s_at_340_nodes": writes,
        "platform_calls_per_s_at_340_nodes": reads + writes,
        "rejoin_peak_calls_per_s_at_340_nodes": _rejoin_peak(),
        "control_bytes_per_s_per_node_at_340": control["bytes_per_s"],
        "control_core_percent_at_340": core,
        "control_core_percent_at_340_modelled": control["core_percent"],
        "control_rss_mb_at_340": last.rss_mb + control["extra_mb"],
        "idle_node_core_percent_at_9": last.core_percent,
        "ledger_bytes_after_6h_partition": control["ledger_bytes_6h"],
        "bill_copy_added_ms_p50": control["copy_ms_p50"],
    }


def measure_fleet(size: int, counted_s: float) -> FleetFigures:
    """Run a fleet of real processes and measure it.

    :param size: number of nodes.
    :param counted_s: time for which calls and processor use are counted, seconds.
    """
    with ExitStack() as stack:
        platform = start_standin(stack, "platform")
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        nodes = start_nodes(stack, directory, platform, size)
        time.sleep(SETTLE_S)
        before, used = _calls(platform), [n.processor_s() for n in nodes]
        time.sleep(counted_s)
        after, used_after = _calls(platform), [n.processor_s() for n in nodes]
        reads = sum(after.get(n, 0) - before.get(n, 0) for n in ("get", "list"))
        watches = WATCHERS * min(DATA_CENTRES, size) * 4
        writes = sum(after.get(n, 0) - before.get(n, 0) for n in ("put", "delete"))
        core = statistics.mean(b - a for a, b in zip(used, used_after, strict=True))
        return FleetFigures(
            size,
            reads / counted_s + watches / WATCH_TIMEOUT_S,
            writes / counted_s,
            anyio.run(_propagate, size),
            100 * core / counted_s,
            max(node.resident_mb() for node in nodes),
        )


def start_nodes(
    stack: ExitStack, directory: Path, platform: Address, size: int, **changes: Any
) -> list[Process]:
    """Start nodes that know one another and wait until they listen."""
    nodes = []
    for number in range(size):
        settings = node_settings(directory, platform, number, size, **changes)
        nodes.append(stack.enter_context(started(node_command(settings))))
    for number in range(size):
        wait_until(lambda port=node_port(number): listens(port))
    return nodes


def node_settings(
    directory: Path, platform: Address, number: int, size: int, **changes: Any
) -> Path:
    """Write the settings of one node of a fleet and return their path."""
    base = node_port(number)
    peers = [
        {
            "name": f"n{other}",
            "data_centre": f"dc-{other % DATA_CENTRES}",
            **listener(node_port(other) + 2),
        }
        for other in range(size)
        if other != number
    ]
    return write_settings(
        directory,
        f"n{number}",
        data_centre=f"dc-{number % DATA_CENTRES}",
        caller=listener(base),
        operator=listener(base + 1),
        peer=listener(base + 2),
        peers=peers,
        platform={"host": platform.host, "port": platform.port},
        **changes,
    )


def node_port(number: int) -> int:
    """Return the caller port of a node; operator and peer ports follow it."""
    return FIRST_PORT + 10 * number


def listens(port: int) -> bool:
    """Tell whether a node answers on its caller port."""
    try:
        with httpcore.ConnectionPool() as pool:
            pool.request("GET", f"http://127.0.0.1:{port}/healthz")
    except httpcore.NetworkError:
        return False
    return True


async def _propagate(size: int) -> list[float]:
    durations: list[float] = []
    async with capnp.kj_loop():
        for number in range(CHANGES):
            durations += await _propagate_once(size, number)
            await anyio.sleep(0.3)
    return durations


async def _propagate_once(size: int, number: int) -> list[float]:
    changed_at: list[float] = []
    durations: list[float] = []
    ready = anyio.Event()
    waiting: list[int] = []

    async def wait(node: int) -> None:
        address = Address("127.0.0.1", node_port(node) + 1)
        async with connect(address) as operator:
            waiting.append(node)
            if len(waiting) == size:
                ready.set()
            await operator.watch(number, 20.0)
            while not changed_at:
                await anyio.sleep(0.001)
            durations.append(time.perf_counter() - changed_at[0])

    async with anyio.create_task_group() as group:
        for node in range(size):
            group.start_soon(wait, node)
        await ready.wait()
        await anyio.sleep(0.1)
        address = Address("127.0.0.1", node_port(number % size) + 1)
        async with connect(address) as operator:
            price = {"input_price": float(number), "output_price": 1.0}
            changed_at.append(time.perf_counter())
            await operator.change(f"bench-{number}", number, {"model/m": price})
    return durations


def _calls(platform: Address) -> dict[str, int]:
    with httpcore.ConnectionPool() as pool:
        answer = pool.request("GET", f"http://{platform}/calls")
    return msgspec.json.decode(answer.content)


def _at_target(points: Sequence[tuple[float, float]], target: float) -> float:
    """Return the straight line through measured points at the target's size."""
    slope, intercept = statistics.linear_regression(*zip(*points, strict=True))
    return max(0.0, intercept + slope * target)


def _watchers(nodes: int) -> int:
    """Return how many nodes of a fleet of the bench watch the platform."""
    return min(nodes, WATCHERS * DATA_CENTRES)


def _links(nodes: int) -> float:
    """Return the links of a node: fingers in its data centre and remote ones."""
    data_centres = TARGET_DATA_CENTRES if nodes == TARGET_NODES else DATA_CENTRES
    local = max(1, nodes // data_centres)
    return math.ceil(math.log2(local)) + 2 if local > 1 else 2


def _scaled_calls(interval_s: float) -> float:
    """Return calls a second of work whose interval grows with the fleet."""
    return TARGET_NODES / max(interval_s, TARGET_NODES / MAX_FLEET_CALLS_PER_S)


def _rejoin_peak() -> float:
    """Return calls a second when all nodes meet the platform again at once.

    Watchers retry within six seconds; ledgers are flushed a few segments at a
    time in intervals of thirty seconds, with jitter; reports follow theirs.
    """
    watchers = WATCHERS * TARGET_DATA_CENTRES * 4 / 2.0
    ledgers = TARGET_NODES * REJOIN_WRITES_PER_NODE / (FLUSH_INTERVAL_S * 0.8)
    reports = _scaled_calls(REPORT_INTERVAL_S)
    ratings = _scaled_calls(RATING_INTERVAL_S)
    return watchers + ledgers + reports + ratings
