"""Processes of the project's own program, started as the deploy file says."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

from review.standins2.wire import read_head

REPOSITORY = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 20.0
# Bounds as on the sheet of the small site that the cases name.
SETTINGS = """
node_name = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
internal_ports = [{metrics}, {metrics}]
seeds = []
bootstrap = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
zone-a = "region-a"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
memory_mb = 300
max_fds = 4200
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stability_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_budget_ratio = 0.9
budget_window_s = 10
budget_extra = 52
expose_share = 0.15
expose_slack = 30
rollback_ms = 5000
recover_s = 12
pass_ms = 120
retry_after_s = 10
session_s = 5
[provider]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""
# Below the ports that the system gives to outgoing connections, so that none of these
# takes the port of a gateway while it starts again.
PORTS = range(21_000, 32_000)


def _free_port() -> int:
    """Return a port that nothing listens at."""
    while True:
        port = random.choice(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Gateway:
    """One machine of the system with its process.

    :param name: name of the machine.
    :param store: address of the platform's store.
    :param folder: folder for settings and output.
    """

    def __init__(self, name: str, store: str, folder: Path) -> None:
        self.name = name
        self.front, self.ready, metrics = (_free_port() for _ in range(3))
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                front=self.front,
                ready=self.ready,
                metrics=metrics,
                store=store,
            )
        )
        self._output = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start the process and wait until it says that it is ready."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["LENTILSHORE_CONFIG"] = str(self._settings)
        with self._output.open("ab") as output:
            self._process = subprocess.Popen(
                deploy["roles"]["gateway"]["run"].split(),
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready():
                if self._process.poll() is not None:
                    raise RuntimeError(f"{self.name} has ended while it started")
                await asyncio.sleep(0.1)

    async def is_ready(self) -> bool:
        """Ask the process once whether it is ready, as the platform does."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /lentilshore/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            async with asyncio.timeout(1.0):
                return (await read_head(reader)).start[1] == "200"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    @property
    def runs(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def memory_mb(self) -> float:
        """Return the memory that the process has resident, 0 if it has ended."""
        if not self.runs:
            return 0.0
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        lines = (line.split() for line in status.splitlines())
        return next((int(w[1]) / 1024 for w in lines if w[0] == "VmRSS:"), 0.0)

    def end(self) -> None:
        """End the process at once."""
        if self._process is not None:
            if self._process.poll() is None:
                self._process.kill()
            self._process.wait()
