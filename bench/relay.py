"""Data path: what the router adds to first tokens and between tokens."""

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
    listener,
    node_command,
    start_standin,
    started,
    wait_until,
    write_settings,
)

UPSTREAMS = 2
TOKEN_INTERVAL_S = 0.04
ROUTER_CORE = [0]
OTHER_CORES = [2, 3, 4, 5, 6, 7]
STREAM_TOKENS = 100
NODE_RATE_STREAMS = 352
RATES_TOKENS_PER_S = (2_500, 5_000, 8_800, 12_500, 17_500, 25_000)
GAP_LIMIT_MS = 45.0
QUIET_STREAMS = 20
PORT_CALLER, PORT_OPERATOR, PORT_PLAIN, PORT_COPIES = 18_080, 18_081, 18_089, 18_084
SETTLE_S = 3.0

RECORDS: dict[str, Any] = {
    "model/m": {"input_price": 1.0, "output_price": 2.0},
    "version/m@1": {"state": "active"},
    "customer/bench": {"key_hashes": [hash_key("bench")], "models": ["m"]},
}


class Measured(NamedTuple):
    """What the load saw of one way, and what the relay used.

    :param seen: figures of the load.
    :param processor_s: processor seconds of the relay a second.
    """

    seen: dict[str, float]
    processor_s: float


def bench_relay(seconds: float) -> dict[str, float]:
    """Return the keys of the data path.

    :param seconds: length of each measurement.
    """
    with ExitStack() as stack:
        engines = [_start_upstream(stack) for _ in range(UPSTREAMS)]
        router = _start_router(stack, engines)
        plain = _start_plain(stack, engines[0])
        direct_port = engines[0].port

        def measure(
            port: int, streams: int, process: Process | None = None
        ) -> Measured:
            return _measure(port, streams, seconds, process)

        figures = _latency_figures(measure, direct_port, router)
        figures["relay_tokens_per_s_per_core"] = _highest_rate(
            measure, PORT_CALLER, router
        )
        figures["plain_relay_tokens_per_s_per_core"] = _highest_rate(
            measure, PORT_PLAIN, plain
        )
        figures["relay_vs_plain_ratio"] = figures["relay_tokens_per_s_per_core"] / max(
            1.0, figures["plain_relay_tokens_per_s_per_core"]
        )
        measure(PORT_CALLER, 500, router)
        figures["rss_mb_at_500_streams"] = router.resident_mb()
        return figures


def _latency_figures(
    measure: Callable[..., Measured], direct_port: int, router: Process
) -> dict[str, float]:
    direct = measure(direct_port, QUIET_STREAMS).seen
    routed = measure(PORT_CALLER, QUIET_STREAMS, router).seen
    busy_direct = measure(direct_port, NODE_RATE_STREAMS).seen
    busy = measure(PORT_CALLER, NODE_RATE_STREAMS, router)
    tokens = busy.seen["tokens_per_s"]
    return {
        "direct_first_token_ms_p50": direct["first_ms_p50"],
        "added_first_token_ms_p50": routed["first_ms_p50"] - direct["first_ms_p50"],
        "added_first_token_ms_p99": routed["first_ms_p99"] - direct["first_ms_p99"],
        "added_intertoken_ms_p95": busy.seen["gap_ms_p95"] - busy_direct["gap_ms_p95"],
        "node_share_tokens_per_s": tokens,
        "node_share_core_percent": 100 * busy.processor_s,
        "relay_us_per_token": 1e6 * busy.processor_s / max(1.0, tokens),
        "relay_errors": busy.seen["errors"],
    }


def _highest_rate(
    measure: Callable[..., Measured], port: int, process: Process
) -> float:
    """Return the highest rate delivered with tokens close enough together."""
    best = 0.0
    for rate in RATES_TOKENS_PER_S:
        measured = measure(port, int(rate * TOKEN_INTERVAL_S), process)
        late = measured.seen["gap_ms_p95"] > GAP_LIMIT_MS
        if late or measured.seen["tokens_per_s"] < 0.9 * rate:
            break
        best = max(best, measured.seen["tokens_per_s"])
    return best


def _measure(
    port: int, streams: int, seconds: float, process: Process | None
) -> Measured:
    command = [sys.executable, "-m", "bench.load", str(port), str(streams)]
    command += [str(STREAM_TOKENS), str(seconds)]
    before = process.processor_s() if process else 0.0
    with started(command, OTHER_CORES) as load:
        seen = json.loads(load.output())
    used = process.processor_s() - before if process else 0.0
    return Measured(seen, used / seen["elapsed_s"])


def _start_upstream(stack: ExitStack) -> Address:
    command = [sys.executable, "-m", "bench.upstream", str(TOKEN_INTERVAL_S)]
    return stack.enter_context(started(command, OTHER_CORES)).read_address()


def _start_plain(stack: ExitStack, upstream: Address) -> Process:
    command = [sys.executable, "-m", "bench.plain_relay", str(upstream)]
    command.append(str(PORT_PLAIN))
    process = stack.enter_context(started(command, [1]))
    wait_until(lambda: _answers(PORT_PLAIN, "/"))
    return process


def _start_router(stack: ExitStack, engines: Sequence[Address]) -> Process:
    """Start the router and a peer that takes copies of its bills."""
    platform = start_standin(stack, "platform")
    directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    processes = []
    for name, base, cores in (
        ("bench", PORT_CALLER, ROUTER_CORE),
        ("copies", PORT_COPIES, [1]),
    ):
        other = PORT_COPIES if base == PORT_CALLER else PORT_CALLER
        peer = {"name": f"peer-{other}", "data_centre": "dc-2", **listener(other + 2)}
        settings = write_settings(
            directory,
            name,
            data_centre="dc-1" if base == PORT_CALLER else "dc-2",
            caller=listener(base),
            operator=listener(base + 1),
            peer=listener(base + 2),
            peers=[peer],
            platform={"host": platform.host, "port": platform.port},
            limits={"concurrent_requests": 2_000},
        )
        processes.append(stack.enter_context(started(node_command(settings), cores)))
    instances = [
        instance_entry(f"e{number}", "engine", address, ["m@1"])
        for number, address in enumerate(engines)
    ]
    _post(platform, "/instances", instances)
    for base in (PORT_CALLER, PORT_COPIES):
        wait_until(lambda port=base: _answers(port, "/healthz"))
    anyio.run(_configure)
    wait_until(lambda: _answers(PORT_CALLER, "/readyz"))
    time.sleep(SETTLE_S)
    return processes[0]


async def _configure() -> None:
    async with capnp.kj_loop():
        address = Address("127.0.0.1", PORT_OPERATOR)
        async with connect(address) as operator:
            await operator.change("bench", 0, RECORDS)


def _post(address: Address, path: str, body: Any) -> None:
    with httpcore.ConnectionPool() as pool:
        pool.request(
            "POST", f"http://{address}{path}", content=msgspec.json.encode(body)
        )


def _answers(port: int, path: str) -> bool:
    try:
        with httpcore.ConnectionPool() as pool:
            answer = pool.request("GET", f"http://127.0.0.1:{port}{path}")
    except httpcore.NetworkError:
        return False
    return answer.status in (200, 404, 500)
