"""Latency that the router adds to streams, and its throughput per core.

Compares the router with direct streams and with the baseline relay.
"""

from __future__ import annotations

import json
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import capnp
import httpcore
import msgspec

from lentilshore_ctl import connect
from lentilshore_kernel.types import Address
from lentilshore_routing import hash_key

from .processes import (
    Process,
    instance_entry,
    listener_settings,
    node_command,
    running_process,
    start_standin,
    wait_until,
    write_settings,
)

UPSTREAMS = 2
TOKEN_INTERVAL_S = 0.04
# Core 1 runs the baseline relay and the router's peer.
ROUTER_CORE = [0]
OTHER_CORES = [2, 3, 4, 5, 6, 7]
STREAM_TOKENS = 100
# About one node's share of the target, 3,000,000 tokens/s over 340 nodes, with one
# token per TOKEN_INTERVAL_S and stream.
NODE_SHARE_STREAMS = 352
RATES_TOKENS_PER_S = (2_500, 5_000, 8_800, 12_500, 17_500, 25_000)
MAX_TOKEN_GAP_MS = 45.0
LOW_LOAD_STREAMS = 20
# The operator and peer ports of a node are the two after its caller port. PORT_COPIES
# is the caller port of the peer, which holds copies of the router's bills.
PORT_CALLER, PORT_OPERATOR, PORT_PLAIN, PORT_COPIES = 18_080, 18_081, 18_089, 18_084
SETTLE_S = 3.0

CONFIGURATION_RECORDS: dict[str, Any] = {
    "model/m": {"input_price": 1.0, "output_price": 2.0},
    "version/m@1": {"state": "active"},
    "customer/bench": {"key_hashes": [hash_key("bench")], "models": ["m"]},
}


class Measurement(NamedTuple):
    """Measurement of one path: direct, through the router or the baseline relay.

    :param load_figures: figures that the load generator printed.
    :param cpu_share: processor seconds that the relay used per second.
    """

    load_figures: dict[str, float]
    cpu_share: float


def bench_relay(seconds: float) -> dict[str, float]:
    """Return the figures of the data path.

    :param seconds: length of each measurement, seconds.
    """
    with ExitStack() as stack:
        engines = [_start_upstream(stack) for _ in range(UPSTREAMS)]
        router = _start_router(stack, engines)
        plain_relay = _start_plain_relay(stack, engines[0])
        direct_port = engines[0].port

        def measure(
            port: int, streams: int, process: Process | None = None
        ) -> Measurement:
            return _measure(port, streams, seconds, process)

        figures = _latency_figures(measure, direct_port, router)
        figures["relay_tokens_per_s_per_core"] = _highest_rate(
            measure, PORT_CALLER, router
        )
        figures["plain_relay_tokens_per_s_per_core"] = _highest_rate(
            measure, PORT_PLAIN, plain_relay
        )
        figures["relay_vs_plain_ratio"] = figures["relay_tokens_per_s_per_core"] / max(
            1.0, figures["plain_relay_tokens_per_s_per_core"]
        )
        measure(PORT_CALLER, 500, router)
        figures["rss_mb_at_500_streams"] = router.resident_mb()
        return figures


def _latency_figures(
    measure: Callable[..., Measurement], direct_port: int, router: Process
) -> dict[str, float]:
    low_direct = measure(direct_port, LOW_LOAD_STREAMS).load_figures
    low_routed = measure(PORT_CALLER, LOW_LOAD_STREAMS, router).load_figures
    busy_direct = measure(direct_port, NODE_SHARE_STREAMS).load_figures
    busy_routed = measure(PORT_CALLER, NODE_SHARE_STREAMS, router)
    tokens_per_s = busy_routed.load_figures["tokens_per_s"]
    return {
        "direct_first_token_ms_p50": low_direct["first_ms_p50"],
        "added_first_token_ms_p50": low_routed["first_ms_p50"]
        - low_direct["first_ms_p50"],
        "added_first_token_ms_p99": low_routed["first_ms_p99"]
        - low_direct["first_ms_p99"],
        "added_intertoken_ms_p95": busy_routed.load_figures["gap_ms_p95"]
        - busy_direct["gap_ms_p95"],
        "node_share_tokens_per_s": tokens_per_s,
        "node_share_core_percent": 100 * busy_routed.cpu_share,
        "relay_us_per_token": 1e6 * busy_routed.cpu_share / max(1.0, tokens_per_s),
        "relay_errors": busy_routed.load_figures["errors"],
    }


def _highest_rate(
    measure: Callable[..., Measurement], port: int, relay: Process
) -> float:
    """Return the highest rate that a relay delivers.

    A rate is missed if the p95 gap between tokens exceeds ``MAX_TOKEN_GAP_MS`` or if
    less than 90 % of the rate is delivered.

    :returns: tokens per second.
    """
    highest = 0.0
    for rate in RATES_TOKENS_PER_S:
        measurement = measure(port, int(rate * TOKEN_INTERVAL_S), relay)
        tokens_late = measurement.load_figures["gap_ms_p95"] > MAX_TOKEN_GAP_MS
        if tokens_late or measurement.load_figures["tokens_per_s"] < 0.9 * rate:
            break
        highest = max(highest, measurement.load_figures["tokens_per_s"])
    return highest


def _measure(
    port: int, streams: int, seconds: float, relay: Process | None
) -> Measurement:
    command = [sys.executable, "-m", "bench.load", str(port), str(streams)]
    command += [str(STREAM_TOKENS), str(seconds)]
    cpu_before_s = relay.cpu_time_s() if relay else 0.0
    with running_process(command, OTHER_CORES) as load_generator:
        load_figures = json.loads(load_generator.read_output())
    cpu_s = relay.cpu_time_s() - cpu_before_s if relay else 0.0
    return Measurement(load_figures, cpu_s / load_figures["elapsed_s"])


def _start_upstream(stack: ExitStack) -> Address:
    command = [sys.executable, "-m", "bench.upstream", str(TOKEN_INTERVAL_S)]
    return stack.enter_context(running_process(command, OTHER_CORES)).read_address()


def _start_plain_relay(stack: ExitStack, upstream: Address) -> Process:
    command = [sys.executable, "-m", "bench.plain_relay", str(upstream)]
    command.append(str(PORT_PLAIN))
    relay = stack.enter_context(running_process(command, [1]))
    wait_until(lambda: _is_answering(PORT_PLAIN, "/"))
    return relay


def _start_router(stack: ExitStack, engines: Sequence[Address]) -> Process:
    """Start the router and a peer that holds copies of its bills."""
    platform = start_standin(stack, "platform")
    directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    processes = []
    for name, caller_port, cores in (
        ("bench", PORT_CALLER, ROUTER_CORE),
        ("copies", PORT_COPIES, [1]),
    ):
        peer_port = PORT_COPIES if caller_port == PORT_CALLER else PORT_CALLER
        peer = {
            "name": f"peer-{peer_port}",
            "data_centre": "dc-2",
            **listener_settings(peer_port + 2),
        }
        settings = write_settings(
            directory,
            name,
            data_centre="dc-1" if caller_port == PORT_CALLER else "dc-2",
            caller=listener_settings(caller_port),
            operator=listener_settings(caller_port + 1),
            peer=listener_settings(caller_port + 2),
            peers=[peer],
            platform={"host": platform.host, "port": platform.port},
            limits={"concurrent_requests": 2_000},
        )
        processes.append(
            stack.enter_context(running_process(node_command(settings), cores))
        )
    instances = [
        instance_entry(f"e{number}", "engine", address, ["m@1"])
        for number, address in enumerate(engines)
    ]
    _post(platform, "/instances", instances)
    for caller_port in (PORT_CALLER, PORT_COPIES):
        wait_until(lambda port=caller_port: _is_answering(port, "/healthz"))
    anyio.run(_configure)
    wait_until(lambda: _is_answering(PORT_CALLER, "/readyz"))
    time.sleep(SETTLE_S)
    return processes[0]


async def _configure() -> None:
    async with capnp.kj_loop():
        address = Address("127.0.0.1", PORT_OPERATOR)
        async with connect(address) as operator:
            await operator.change("bench", 0, CONFIGURATION_RECORDS)


def _post(address: Address, path: str, body: Any) -> None:
    with httpcore.ConnectionPool() as pool:
        pool.request(
            "POST", f"http://{address}{path}", content=msgspec.json.encode(body)
        )


def _is_answering(port: int, path: str) -> bool:
    try:
        with httpcore.ConnectionPool() as pool:
            response = pool.request("GET", f"http://127.0.0.1:{port}{path}")
    except httpcore.NetworkError:
        return False
    return response.status in (200, 404, 500)
