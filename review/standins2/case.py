"""What the scripts share: record, temporary folder, configuration, exit status."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.standins2.gateway import Gateway
from review.standins2.record import Record
from review.standins2.store import Store

HOST = "case.example"
KEY = "key-of-the-tenant"
LONGEST_S = 115.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Case:
    """One run of a script.

    :param record: what was sent, answered and run.
    :param folder: temporary folder.
    :param trouble: whether the disruption comes.
    """

    def __init__(self, record: Record, folder: Path, trouble: bool) -> None:
        self.record = record
        self.trouble = trouble
        self.store = Store()
        self._folder = folder
        self.gateways: list[Gateway] = []

    async def start_gateways(self, count: int) -> None:
        """Start gateways and wait until all of them are ready."""
        for number in range(count):
            name = f"front-a-{number + 1}"
            self.gateways.append(Gateway(name, self.store.address, self._folder))
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        self.record.write("gateways_ready", count=count)

    def end(self) -> None:
        """End all processes that were started."""
        for gateway in self.gateways:
            gateway.end()


def route(name: str, kind: str, service: str, **values: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 25000,
        "target_latency_ms": 1000,
        "priority": 1,
        "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
        "public": False,
        **values,
    }


def configuration(routes: list[dict[str, Any]], version: int = 7) -> dict[str, Any]:
    """Return a configuration with one tenant."""
    services = sorted({r["service"] for r in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 600}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "tenant-1", "api_keys": [KEY], "priority": 1}],
    }


def run_case(play: Callable[[Case], Awaitable[bool]], script: str) -> None:
    """Play a case and exit with its status.

    :param play: plays it; returns whether the rule held.
    :param script: path of the script, beside which the record is written.
    """
    record = Record(Path(script).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("begins", trouble=trouble)
    with tempfile.TemporaryDirectory() as folder:
        case = Case(record, Path(folder), trouble)
        try:
            held = asyncio.run(_play(play, case))
            status = HELD if held else BROKEN
        except Exception:  # noqa: BLE001
            traceback.print_exc()
            status = NOT_RUN
        finally:
            case.end()
            for gateway in case.gateways:
                log = Path(folder) / f"{gateway.name}.log"
                if log.exists() and os.environ.get("KEEP_LOGS"):
                    target = Path(os.environ["KEEP_LOGS"]) / log.name
                    target.write_bytes(log.read_bytes())
    record.write("ends", status=status)
    sys.exit(status)


async def _play(play: Callable[[Case], Awaitable[bool]], case: Case) -> bool:
    async with asyncio.timeout(LONGEST_S):
        await case.store.start()
        return await play(case)
