"""Control-plane cost of one node in a fleet of a given size, in one process."""

from __future__ import annotations

import random
import resource
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

import anyio
import capnp

from lentilshore_fleet import Bill, BillLine, Member, Snapshot
from lentilshore_fleet.bills import encode_bills
from lentilshore_fleet.membership import HEARTBEAT_INTERVAL_S
from lentilshore_kernel import Incarnation, Settings, SystemClock, load_plugins
from lentilshore_kernel.testing import FakeClock
from lentilshore_kernel.types import Address
from lentilshore_node.peers.links import LinkBillCopier, PeerLink, connect_peer
from lentilshore_node.peers.peer_messages import (
    apply_heartbeat,
    build_heartbeat,
    document_versions,
)
from lentilshore_node.peers.peer_server import (
    create_peer_bootstrap,
    serve_rpc_connection,
)
from lentilshore_node.programs.assembly import ExternalClients, create_context
from lentilshore_protocol import load_peer_schema
from lentilshore_standins import PlatformStandIn

DATA_CENTRES = 10
ROUNDS = 200
REQUESTS_PER_S_PER_NODE = 20.3
PARTITION_S = 6 * 3600
RPC_OVERHEAD_BYTES = 120
CONFIGURATION_ENTRIES = 600


def measure_control(nodes: int) -> dict[str, float]:
    """Return the control-plane cost of one node.

    :param nodes: number of nodes in the fleet.
    :returns: ``bytes_per_s`` sent and received, ``core_percent``, ``extra_mb``,
        ``links``, ``message_bytes``, ``exchange_us``, ``ledger_bytes_6h`` and
        ``copy_ms_p50``.
    """
    rss_before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    context = create_node_context(nodes)
    peer_context = create_node_context(nodes, number=1)
    links = len(context.membership.link_targets())
    message = build_heartbeat(context, "n1", 1, {})
    message_bytes = len(_encode_exchange(message)) + RPC_OVERHEAD_BYTES
    exchange_s = _median_exchange_s(context, peer_context)
    detect_failures_s = _median_s(
        lambda: context.membership.detect_failures(
            [m.name for m in _link_targets(context)]
        )
    )
    links_s = _median_s(lambda: context.membership.link_targets())
    watcher_s = _median_s(lambda: context.membership.is_watcher())
    copy_s = anyio.run(_median_copy_s, peer_context)
    exchanges_per_s = 2 * links / HEARTBEAT_INTERVAL_S
    core_share = (
        exchanges_per_s * (exchange_s + copy_s)
        + detect_failures_s
        + links_s
        + 5 * watcher_s
    )
    rss_after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return {
        "bytes_per_s": float(2 * exchanges_per_s * message_bytes),
        "core_percent": 100 * core_share,
        "extra_mb": (rss_after_kb - rss_before_kb) / 1024,
        "links": float(links),
        "message_bytes": float(message_bytes),
        "exchange_us": 1e6 * exchange_s,
        "ledger_bytes_6h": ledger_bytes(REQUESTS_PER_S_PER_NODE * PARTITION_S),
        "copy_ms_p50": 1000 * copy_s,
    }


def create_node_context(nodes: int, number: int = 0) -> Any:
    """Return the context of one node that knows all members of a fleet.

    :param nodes: number of nodes in the fleet.
    :param number: number of the node.
    """
    clock = FakeClock()
    platform = PlatformStandIn(clock)
    with tempfile.TemporaryDirectory() as directory:
        key_file = Path(directory, "key")
        key_file.write_text("bench")
        listener = {"host": "127.0.0.1", "port": 0}
        settings = Settings.model_validate(
            {
                "instance": f"n{number}",
                "data_centre": f"dc-{number % DATA_CENTRES}",
                "caller": listener,
                "operator": listener,
                "peer": listener,
                "platform": listener,
                "session_keys": [{"id": "k", "file": str(key_file)}],
            }
        )
        context = create_context(
            settings,
            load_plugins(),
            clock,
            Incarnation(f"n{number}", 1),
            Address("127.0.0.1", 1),
            ExternalClients(platform, None, None, LinkBillCopier()),  # type: ignore[arg-type]
            random.Random(number),
        )
    context.membership.merge(
        Member(
            Incarnation(f"n{index}", 1),
            f"dc-{index % DATA_CENTRES}",
            Address("127.0.0.1", 1 + index),
        )
        for index in range(nodes)
    )
    while context.membership.next_gossip():
        pass
    entries = {
        f"customer/c{index}": {"key_hashes": ["0" * 64], "models": ["m"]}
        for index in range(CONFIGURATION_ENTRIES)
    }
    context.configuration.adopt(Snapshot(1, entries))
    return context


def ledger_bytes(bill_count: float) -> float:
    """Return the encoded size of sealed bills, bytes, extrapolated from a sample."""
    rng = random.Random(3)
    sample = [
        Bill(
            number,
            f"node-017.1796330485681-{number}",
            f"customer-{rng.randrange(10)}",
            True,
            (
                BillLine(
                    "small@1",
                    f"engine-{rng.randrange(24)}",
                    rng.randrange(20, 6_000),
                    rng.randrange(10, 500),
                    float(rng.randrange(100, 9_000)),
                    "served",
                ),
            ),
        )
        for number in range(2_000)
    ]
    return len(encode_bills(sample)) / len(sample) * bill_count


def _link_targets(context: Any) -> list[Member]:
    return context.membership.link_targets()


def _encode_exchange(message: Any) -> bytes:
    return load_peer_schema().Exchange.new_message(**message).to_bytes()


def _median_exchange_s(context: Any, peer_context: Any) -> float:
    schema = load_peer_schema()

    def exchange() -> None:
        message = schema.Exchange.new_message(**build_heartbeat(context, "n1", 1, {}))
        apply_heartbeat(peer_context, message)
        document_versions(message)

    return _median_s(exchange)


def _median_s(operation: Any) -> float:
    durations = []
    for _ in range(ROUNDS):
        started_at = time.perf_counter()
        operation()
        durations.append(time.perf_counter() - started_at)
    return statistics.median(durations)


async def _median_copy_s(context: Any) -> float:
    """Return the median time to copy a bill over loopback, seconds.

    Both sides run in this process, so the time includes the work of both.
    """
    line = BillLine("small@1", "engine-1", 100, 100, 300.0, "served")
    bill = Bill(1, "node-017.1796330485681-1", "customer-1", True, (line,))
    bootstrap = create_peer_bootstrap(context)
    durations = []
    async with capnp.kj_loop():
        server = await capnp.AsyncIoStream.create_server(
            lambda stream: serve_rpc_connection(stream, bootstrap), "127.0.0.1", 0
        )
        async with server:
            address = Address(*server.sockets[0].getsockname()[:2])
            link = PeerLink(address, SystemClock(), connect_peer)
            await link.connect()
            for _ in range(ROUNDS):
                started_at = time.perf_counter()
                await link.copy_bills("n0.1", [bill], 1)
                durations.append(time.perf_counter() - started_at)
            link.close()
    return statistics.median(durations)
