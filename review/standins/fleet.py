"""A small deployment: gateway processes, a store, replicas and clients."""

from __future__ import annotations

import asyncio
import ipaddress
import os
import random
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

from standins.clients import HOST, KEY, Clients
from standins.gateway import Gateway
from standins.link import Link
from standins.record import Record
from standins.replica import WORK_S, Replica
from standins.store import Store

REPLICA_HOST = "127.0.0.1"
# Gateways register within a second, and list one another some seconds later.
ACQUAINTANCE_S = 6.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case did not come to what it is about."""


def trouble() -> bool:
    """Return whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name: str, prefix: str, service: str, kind: str = "idempotent") -> dict:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 800,
        "target_latency_ms": 125,
        "priority": 1,
        "max_attempts": 1 if kind == "non_idempotent" else 2,
        "public": False,
    }


def stream_route(name: str, prefix: str, service: str) -> dict:
    """Return a route of streams that may be resumed."""
    about = {"timeout_ms": 25_000, "target_latency_ms": 1000, "max_attempts": 3}
    more = {"resumable": True, "gap_aim_ms": 800, "sticky": True}
    return route(name, prefix, service, "streaming") | about | more


def config(version: int, routes: list[dict], keys: Sequence[str] = (KEY,)) -> dict:
    """Return a configuration with one tenant."""
    services = sorted({entry["service"] for entry in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": n, "health_path": "/health"} for n in services],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_048_576,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "tenant-one", "api_keys": list(keys)}],
    }


class Fleet:
    """What runs in a case.

    :param directory: temporary folder.
    :param record: receives what is sent, answered and run.
    """

    def __init__(self, directory: Path, record: Record) -> None:
        self._directory = directory
        self.record = record
        self.store = Store(record)
        self.clients = Clients(record)
        self.gateways = {}
        self.replicas = {}
        # Links between gateways, by the one that calls and the one that is called.
        self.links = {}
        # A part of the loopback range of its own, beside other runs.
        first = ipaddress.IPv4Address("127.64.0.0")
        self._hosts = first + 256 * random.SystemRandom().randrange(8_000)

    async def start(
        self,
        gateway_zones: dict[str, str],
        services: dict[str, int],
        first_config: dict,
        work_s: float,
    ) -> None:
        """Start all, and wait until the gateways are ready and know one another.

        :param gateway_zones: zone by name of a gateway.
        :param services: number of replicas by service.
        """
        await self.store.put("config", "main", first_config)
        for service, count in services.items():
            for number in range(1, count + 1):
                name = f"i-{service}-{number}"
                self.replicas[name] = Replica(
                    name, service, "zone-a", self.store, self.record, work_s
                )
                await self.replicas[name].start(gateway_zones, str(self._hosts + 200))
        for number, (name, zone) in enumerate(gateway_zones.items(), 1):
            gateway = Gateway(name, str(self._hosts + number), zone, self._directory)
            self.gateways[name] = gateway
        for gateway in self.gateways.values():
            await self._link(gateway)
        for name, gateway in self.gateways.items():
            gateway.write_settings(await self.store.open(name, REPLICA_HOST))
            await gateway.start()
        for gateway in self.gateways.values():
            await gateway.wait_until_ready()
        await asyncio.sleep(ACQUAINTANCE_S)

    async def _link(self, called: Gateway):
        """Have each other gateway reach one by a link of its own."""
        for caller in self.gateways:
            if caller == called.name:
                continue
            link = self.links[caller, called.name] = Link(called.host, called.peer_port)
            address = await link.open(REPLICA_HOST)
            self.store.paths[caller, called.name] = address

    def partition(self, name: str, cut: bool) -> None:
        """Begin or end a partition of a gateway from the other gateways."""
        for pair, link in self.links.items():
            if name in pair:
                link.set_cut(cut)

    async def stop(self) -> None:
        """End all processes, and keep their logs in the record."""
        for gateway in self.gateways.values():
            await gateway.stop()


@asynccontextmanager
async def running_fleet(
    case_file: str,
    gateway_zones: dict[str, str],
    services: dict[str, int],
    first_config: dict,
    work_s: float = WORK_S,
) -> AsyncIterator[Fleet]:
    """Run a deployment whose record stands beside the case."""
    name = os.environ.get("RECORD", "record.txt")
    record = Record(Path(case_file).with_name(name))
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), record)
        expiry = asyncio.create_task(fleet.store.expire())
        try:
            try:
                await fleet.start(gateway_zones, services, first_config, work_s)
            except (OSError, TimeoutError) as error:
                raise CouldNotRunError(f"no start: {error!r}") from error
            yield fleet
        finally:
            expiry.cancel()
            await fleet.stop()
            if os.environ.get("KEEP_LOGS"):
                for gateway in fleet.gateways.values():
                    Path(os.environ["KEEP_LOGS"], gateway.name + ".log").write_text(
                        "\n".join(gateway.log())
                    )


def run_case(play: Callable[[], Awaitable[list[str]]]) -> None:
    """Run a case and exit with its result.

    :param play: coroutine function that returns a list of breaches.
    """
    signal.signal(signal.SIGTERM, _interrupt)
    try:
        breaches = asyncio.run(play())
    except KeyboardInterrupt:
        sys.exit(COULD_NOT_RUN)
    except CouldNotRunError as error:
        print(f"could not run: {error}")
        sys.exit(COULD_NOT_RUN)
    for line in breaches[:10]:
        print(line)
    print(f"{'broken' if breaches else 'held'}: {len(breaches)}")
    sys.exit(BROKEN if breaches else HELD)


def _interrupt(number: int, frame: object) -> None:
    """Have a SIGTERM end the processes that the case has started."""
    raise KeyboardInterrupt
