"""Configuration propagation, platform calls and idle cost of a fleet of nodes.

Measures fleets of real processes and extrapolates to the target size.
"""

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
from lentilshore_node.clients.platform import WATCH_TIMEOUT_S
from lentilshore_node.programs.maintenance import (
    MAX_FLEET_CALLS_PER_S,
    RATING_INTERVAL_S,
    REPORT_INTERVAL_S,
)

from .control import measure_control
from .processes import (
    Process,
    listener_settings,
    node_command,
    running_process,
    start_standin,
    wait_until,
    write_settings,
)

FLEET_SIZES = (3, 6, 9)
TARGET_NODES = 340
TARGET_DATA_CENTRES = 10
DATA_CENTRES = 3
FIRST_PORT = 19_000
SETTLE_S = 6.0
MEASUREMENT_S = 20.0
CONFIGURATION_CHANGES = 12
WATCHERS_PER_DATA_CENTRE = 2
REJOIN_WRITES_PER_NODE = 4


class FleetFigures(NamedTuple):
    """Measurements of a fleet of one size.

    :param nodes: number of nodes.
    :param reads_per_s: reads of the platform per second, each watch request as one.
    :param writes_per_s: writes to the platform per second.
    :param propagation_s: times until each change was in force on each node, seconds.
    :param core_percent: mean processor use of an idle node, percent of a core.
    :param rss_mb: largest resident memory of a node, megabytes.
    """

    nodes: int
    reads_per_s: float
    writes_per_s: float
    propagation_s: list[float]
    core_percent: float
    rss_mb: float


def bench_fleet(measure_s: float = MEASUREMENT_S) -> dict[str, float]:
    """Return the fleet figures, measured and extrapolated to the target size.

    :param measure_s: time for which calls and processor use are counted, seconds.
    """
    measured = [measure_fleet(size, measure_s) for size in FLEET_SIZES]
    largest = measured[-1]
    watcher_count = WATCHERS_PER_DATA_CENTRE * TARGET_DATA_CENTRES
    reads_per_s = _extrapolate(
        [(_watcher_count(m.nodes), m.reads_per_s) for m in measured], watcher_count
    )
    reads_per_s += _scaled_calls_per_s(RATING_INTERVAL_S)
    # Reports are scaled apart: in a large fleet each node sends them more rarely.
    writes_per_s = measured[0].writes_per_s - measured[0].nodes / REPORT_INTERVAL_S
    writes_per_s = max(0.0, writes_per_s) + _scaled_calls_per_s(REPORT_INTERVAL_S)
    writes_per_s += TARGET_NODES / FLUSH_INTERVAL_S
    core_percent = _extrapolate(
        [(_peer_link_count(m.nodes), m.core_percent) for m in measured],
        _peer_link_count(TARGET_NODES),
    )
    propagation_s = sorted(largest.propagation_s)
    propagation_p99_s = propagation_s[int(0.99 * len(propagation_s))]
    local_nodes = math.ceil(TARGET_NODES / TARGET_DATA_CENTRES)
    hops = 1 + math.ceil(math.log2(local_nodes))
    measured_hops = 1 + math.ceil(math.log2(max(2, largest.nodes / DATA_CENTRES)))
    control = measure_control(TARGET_NODES)
    return {
        "config_propagation_s_p99": propagation_p99_s,
        "config_propagation_s_p99_at_340": propagation_p99_s * hops / measured_hops,
        "platform_calls_per_s_at_9_nodes": largest.reads_per_s + largest.writes_per_s,
        "platform_reads_per_s_at_340_nodes": reads_per_s,
        "platform_writes_per_s_at_340_nodes": writes_per_s,
        "platform_calls_per_s_at_340_nodes": reads_per_s + writes_per_s,
        "rejoin_peak_calls_per_s_at_340_nodes": _rejoin_peak_calls_per_s(),
        "control_bytes_per_s_per_node_at_340": control["bytes_per_s"],
        "control_core_percent_at_340": core_percent,
        "control_core_percent_at_340_modelled": control["core_percent"],
        "control_rss_mb_at_340": largest.rss_mb + control["extra_mb"],
        "idle_node_core_percent_at_9": largest.core_percent,
        "ledger_bytes_after_6h_partition": control["ledger_bytes_6h"],
        "bill_copy_added_ms_p50": control["copy_ms_p50"],
    }


def measure_fleet(size: int, measure_s: float) -> FleetFigures:
    """Run a fleet of real processes and measure it.

    :param size: number of nodes.
    :param measure_s: time for which calls and processor use are counted, seconds.
    """
    with ExitStack() as stack:
        platform = start_standin(stack, "platform")
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        nodes = start_nodes(stack, directory, platform, size)
        time.sleep(SETTLE_S)
        calls_before, cpu_before_s = (
            _read_call_counts(platform),
            [n.cpu_time_s() for n in nodes],
        )
        time.sleep(measure_s)
        calls_after, cpu_after_s = (
            _read_call_counts(platform),
            [n.cpu_time_s() for n in nodes],
        )
        reads = sum(
            calls_after.get(n, 0) - calls_before.get(n, 0) for n in ("get", "list")
        )
        watches = WATCHERS_PER_DATA_CENTRE * min(DATA_CENTRES, size) * 4
        writes = sum(
            calls_after.get(n, 0) - calls_before.get(n, 0) for n in ("put", "delete")
        )
        cpu_used_s = statistics.mean(
            after - before
            for before, after in zip(cpu_before_s, cpu_after_s, strict=True)
        )
        return FleetFigures(
            size,
            reads / measure_s + watches / WATCH_TIMEOUT_S,
            writes / measure_s,
            anyio.run(_measure_propagation, size),
            100 * cpu_used_s / measure_s,
            max(node.resident_mb() for node in nodes),
        )


def start_nodes(
    stack: ExitStack, directory: Path, platform: Address, size: int, **overrides: Any
) -> list[Process]:
    """Start nodes that are peers of one another and wait until they listen.

    :param stack: ends the nodes.
    :param directory: where the settings files go.
    :param platform: address of the platform.
    :param size: number of nodes.
    :param overrides: settings beyond those of :func:`node_settings`.
    """
    nodes = []
    for number in range(size):
        settings = node_settings(directory, platform, number, size, **overrides)
        nodes.append(stack.enter_context(running_process(node_command(settings))))
    for number in range(size):
        wait_until(lambda port=node_port(number): is_listening(port))
    return nodes


def node_settings(
    directory: Path, platform: Address, number: int, size: int, **overrides: Any
) -> Path:
    """Write the settings file of one node of a fleet.

    :param directory: where the file goes.
    :param platform: address of the platform.
    :param number: number of the node.
    :param size: number of nodes.
    :param overrides: further settings.
    :returns: path of the file.
    """
    caller_port = node_port(number)
    peers = [
        {
            "name": f"n{other}",
            "data_centre": f"dc-{other % DATA_CENTRES}",
            **listener_settings(node_port(other) + 2),
        }
        for other in range(size)
        if other != number
    ]
    return write_settings(
        directory,
        f"n{number}",
        data_centre=f"dc-{number % DATA_CENTRES}",
        caller=listener_settings(caller_port),
        operator=listener_settings(caller_port + 1),
        peer=listener_settings(caller_port + 2),
        peers=peers,
        platform={"host": platform.host, "port": platform.port},
        **overrides,
    )


def node_port(number: int) -> int:
    """Return the caller port of a node; its operator and peer ports are the next."""
    return FIRST_PORT + 10 * number


def is_listening(port: int) -> bool:
    """Return whether a node answers on its caller port."""
    try:
        with httpcore.ConnectionPool() as pool:
            pool.request("GET", f"http://127.0.0.1:{port}/healthz")
    except httpcore.NetworkError:
        return False
    return True


async def _measure_propagation(size: int) -> list[float]:
    durations: list[float] = []
    async with capnp.kj_loop():
        for number in range(CONFIGURATION_CHANGES):
            durations += await _measure_one_propagation(size, number)
            await anyio.sleep(0.3)
    return durations


async def _measure_one_propagation(size: int, number: int) -> list[float]:
    """Make a change and return the seconds until it is in force, one value per node.

    :param size: number of nodes.
    :param number: number of the change, which is also the revision before the change.
    """
    changed_at: list[float] = []
    durations: list[float] = []
    all_connected = anyio.Event()
    connected_nodes: list[int] = []

    async def wait_for_change(node: int) -> None:
        address = Address("127.0.0.1", node_port(node) + 1)
        async with connect(address) as operator:
            connected_nodes.append(node)
            if len(connected_nodes) == size:
                all_connected.set()
            await operator.watch(number, 20.0)
            while not changed_at:
                await anyio.sleep(0.001)
            durations.append(time.perf_counter() - changed_at[0])

    async with anyio.create_task_group() as group:
        for node in range(size):
            group.start_soon(wait_for_change, node)
        await all_connected.wait()
        await anyio.sleep(0.1)
        address = Address("127.0.0.1", node_port(number % size) + 1)
        async with connect(address) as operator:
            price = {"input_price": float(number), "output_price": 1.0}
            changed_at.append(time.perf_counter())
            await operator.change(f"bench-{number}", number, {"model/m": price})
    return durations


def _read_call_counts(platform: Address) -> dict[str, int]:
    with httpcore.ConnectionPool() as pool:
        response = pool.request("GET", f"http://{platform}/calls")
    return msgspec.json.decode(response.content)


def _extrapolate(points: Sequence[tuple[float, float]], target: float) -> float:
    """Return the value at ``target`` of a linear regression, at least zero."""
    slope, intercept = statistics.linear_regression(*zip(*points, strict=True))
    return max(0.0, intercept + slope * target)


def _watcher_count(nodes: int) -> int:
    """Return the number of nodes that watch the platform in a measured fleet."""
    return min(nodes, WATCHERS_PER_DATA_CENTRE * DATA_CENTRES)


def _peer_link_count(nodes: int) -> float:
    """Return the peer links of a node: fingers in its data centre and two remote."""
    data_centres = TARGET_DATA_CENTRES if nodes == TARGET_NODES else DATA_CENTRES
    local_nodes = max(1, nodes // data_centres)
    return math.ceil(math.log2(local_nodes)) + 2 if local_nodes > 1 else 2


def _scaled_calls_per_s(interval_s: float) -> float:
    """Return the fleet's calls per second of a task whose interval grows with it."""
    return TARGET_NODES / max(interval_s, TARGET_NODES / MAX_FLEET_CALLS_PER_S)


def _rejoin_peak_calls_per_s() -> float:
    """Return the calls per second when all nodes reconnect to the platform at once.

    Watchers retry within six seconds. Ledgers are flushed a few segments at a time
    every thirty seconds, with jitter. Reports and ratings keep their intervals.
    """
    watch_calls_per_s = WATCHERS_PER_DATA_CENTRE * TARGET_DATA_CENTRES * 4 / 2.0
    ledger_writes_per_s = (
        TARGET_NODES * REJOIN_WRITES_PER_NODE / (FLUSH_INTERVAL_S * 0.8)
    )
    reports_per_s = _scaled_calls_per_s(REPORT_INTERVAL_S)
    rating_calls_per_s = _scaled_calls_per_s(RATING_INTERVAL_S)
    return watch_calls_per_s + ledger_writes_per_s + reports_per_s + rating_calls_per_s
