"""Processes of a measurement: stand-ins, routers and load, on loopback."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

import yaml

from lentilshore_kernel.exceptions import LentilshoreError
from lentilshore_kernel.types import Address

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
# Lines of a process that ended instead of listening, enough for a trace.
STDERR_LINES_SHOWN = 12
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class ProcessFailedError(LentilshoreError):
    """A process of a measurement ended instead of listening.

    :param arguments: program and arguments.
    :param status: its exit status.
    :param lines: the last that it wrote to its standard error.
    """

    def __init__(
        self, arguments: Sequence[str], exit_status: int, stderr_lines: list[str]
    ) -> None:
        self.stderr_lines = stderr_lines
        command = " ".join(map(str, arguments))
        shown = "".join(f"\n  {line}" for line in stderr_lines)
        super().__init__(f"{command} ended with {exit_status}:{shown}")


class Process:
    """A process that was started for a measurement.

    :param arguments: program and arguments.
    :param cores: processor cores it may use, None for all.
    """

    def __init__(
        self, arguments: Sequence[str], cores: Sequence[int] | None = None
    ) -> None:
        self._arguments = arguments
        self._log = _open_log()
        self._log_start = self._log.tell()
        self._process = subprocess.Popen(
            arguments, stdout=subprocess.PIPE, stderr=self._log, text=True
        )
        if cores is not None:
            os.sched_setaffinity(self._process.pid, cores)

    @property
    def pid(self) -> int:
        """Identifier of the process."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self._process.poll() is None

    def read_address(self) -> Address:
        """Return the address that the process prints once it listens.

        :raises ProcessFailedError: if it ends before, with its own last lines.
        """
        line = self._process.stdout.readline()  # type: ignore[union-attr]
        if not line.strip():
            raise ProcessFailedError(self._arguments, self.wait(), self._last_lines())
        host, _, port = line.split()[-1].rpartition(":")
        return Address(host, int(port))

    def _last_lines(self) -> list[str]:
        with open(self._log.name, "rb") as log:
            log.seek(self._log_start)
            return (
                log.read().decode(errors="replace").splitlines()[-STDERR_LINES_SHOWN:]
            )

    def cpu_time_s(self) -> float:
        """Return the processor time used so far, seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def resident_mb(self) -> float:
        """Return the resident memory, megabytes."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0

    def read_output(self) -> str:
        """Wait for the end of the process and return what it printed."""
        return self._process.communicate()[0]

    def terminate(self) -> int:
        """Stop the process in good order.

        :returns: its exit status; killed if it does not end.
        """
        self._process.terminate()
        return self.wait()

    def kill(self) -> None:
        """End the process at once."""
        self._process.kill()
        self._process.wait()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Return the exit status; the process is killed past the limit."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return -9


def _open_log() -> Any:
    """Return where standard error goes: the file that is set, else a temporary one."""
    path = os.environ.get("BENCH_LOG")
    if path is not None:
        log = open(path, "ab")  # noqa: SIM115
        log.seek(0, os.SEEK_END)
        return log
    return tempfile.NamedTemporaryFile(prefix="bench-")  # noqa: SIM115


@contextmanager
def running_process(
    arguments: Sequence[str], cores: Sequence[int] | None = None
) -> Iterator[Process]:
    """Run a process while the body runs."""
    process = Process(arguments, cores)
    try:
        yield process
    finally:
        if process.running:
            process.kill()


def start_standin(stack: ExitStack, *arguments: str) -> Address:
    """Start a stand-in and return where it listens."""
    command = [sys.executable, "-m", "lentilshore_standins", *arguments]
    return stack.enter_context(running_process(command)).read_address()


def write_settings(directory: Path, name: str, **settings_overrides: Any) -> Path:
    """Write the settings file of a node.

    :param directory: where the file and the session key go.
    :param name: name of the instance.
    :param changes: settings beyond the needed ones.
    :returns: path of the file.
    """
    key = directory / "session.key"
    key.write_text("bench session key")
    settings = {
        "instance": name,
        "data_centre": "dc-1",
        "session_keys": [{"id": "k1", "file": str(key)}],
        **settings_overrides,
    }
    path = directory / f"{name}.yaml"
    path.write_text(yaml.safe_dump(settings))
    return path


def node_command(settings: Path) -> list[str]:
    """Return the command of a node."""
    program = Path(sys.executable).parent / "lentilshore"
    return [str(program), "serve", str(settings)]


def listener_settings(port: int) -> dict[str, Any]:
    """Return the setting of a listener on loopback."""
    return {"host": "127.0.0.1", "port": port}


def instance_entry(
    name: str, role: str, address: Address, groups: Sequence[str]
) -> Any:
    """Return an entry of the instance list."""
    return {
        "name": name,
        "role": role,
        "data_centre": "dc-1",
        "host": address.host,
        "port": address.port,
        "groups": list(groups),
        "state": "live",
    }


def wait_until(condition: Any, timeout_s: float = START_TIMEOUT_S) -> None:
    """Wait until a check holds.

    :raises TimeoutError: if it does not in time.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError("a process did not come up")
        time.sleep(0.05)
