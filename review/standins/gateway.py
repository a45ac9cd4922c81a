"""Gateways of the deploy file, each as a process with loopback addresses."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import tomllib
from pathlib import Path

from standins.wire import encode, read_message

ROOT = Path(__file__).resolve().parents[2]
READY_PATH = "/lentilshore/ready"
START_LIMIT_S = 30.0
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stability_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.9,
    "budget_window_s": 10,
    "budget_extra": 52,
    "expose_share": 0.15,
    "expose_slack": 30,
    "rollback_ms": 5000,
    "recover_s": 12,
    "pass_ms": 120,
    "retry_after_s": 10,
    "session_s": 5,
}


def free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free at a host."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((host, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Gateway:
    """One gateway process.

    :param name: its name.
    :param host: loopback address of its own.
    :param zone: its zone.
    :param directory: temporary folder for its settings and its log.
    """

    def __init__(self, name: str, host: str, zone: str, directory: Path) -> None:
        self.name = name
        self.host = host
        self._zone = zone
        self._settings = directory / f"{name}.toml"
        self._log = directory / f"{name}.log"
        self.port, self._ready_port, self.peer_port = free_ports(host, 3)
        self._process = None

    def write_settings(self, store: str) -> None:
        """Write the settings file.

        :param store: address of the store.
        """
        bounds = "\n".join(f"{k} = {str(v).lower()}" for k, v in BOUNDS.items())
        self._settings.write_text(
            f'''node_name = "{self.name}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "{self.host}"
zone = "{self._zone}"
region = "region-1"
internal_ports = [{self.peer_port},{self.peer_port}]
seeds = []
bootstrap = true
heartbeat_ms = 1200
[listen]
front = "{self.host}:{self.port}"
ready = "{self.host}:{self._ready_port}"
[limits]
memory_mb = 300
max_fds = 4200
[bounds]
{bounds}
[provider]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
'''
        )

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["LENTILSHORE_CONFIG"] = str(self._settings)
        with open(self._log, "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self) -> None:
        """Wait until the gateway says that it is ready.

        :raises TimeoutError: if it isn't in time.
        """
        async with asyncio.timeout(START_LIMIT_S):
            while not await self._is_ready():
                await asyncio.sleep(0.1)

    async def _is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self._ready_port)
        except OSError:
            return False
        try:
            writer.write(encode(f"GET {READY_PATH} HTTP/1.1", {"Host": self.host}))
            return (await read_message(reader)).status == 200
        except (EOFError, ConnectionError):
            return False
        finally:
            writer.close()

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.running:
            self._process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        if self.running:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        if self._process is not None:
            await self._process.wait()

    def log(self) -> list[str]:
        """Return the lines of the log."""
        return self._log.read_text(errors="replace").splitlines()
