"""Starts and stops the processes of a benchmark, all on loopback."""

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
# Enough of the standard error of a failed process to show its traceback.
STDERR_LINES_SHOWN = 12
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class ProcessFailedError(LentilshoreError):
    """A process ended before it listened.

    :param arguments: program and arguments.
    :param exit_status: exit status of the process.
    :param stderr_lines: last lines of its standard error.
    """

    def __init__(
        self, arguments: Sequence[str], exit_status: int, stderr_lines: list[str]
    ) -> None:
        self.stderr_lines = stderr_lines
        command = " ".join(map(str, arguments))
        shown = "".join(f"\n  {line}" for line in stderr_lines)
        super().__init__(
            f"{command} ended before it listened, exit status {exit_status}:{shown}"
        )


class Process:
    """A child process, started at once.

    Its standard error goes to the file named by the environment variable
    ``BENCH_LOG``, else to a temporary file.

    :param arguments: program and arguments.
    :param cores: processor cores that it may use, None for all.
    """

    def __init__(
        self, arguments: Sequence[str], cores: Sequence[int] | None = None
    ) -> None:
        self._arguments = arguments
        self._log = _open_log()
        self._log_start_offset = self._log.tell()
        self._process = subprocess.Popen(
            arguments, stdout=subprocess.PIPE, stderr=self._log, text=True
        )
        if cores is not None:
            os.sched_setaffinity(self._process.pid, cores)

    @property
    def pid(self) -> int:
        """Process identifier."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    def read_address(self) -> Address:
        """Return the address that the process prints once it listens.

        :raises ProcessFailedError: if the process ends before it prints an address;
            contains the last lines of the process's standard error.
        """
        line = self._process.stdout.readline()  # type: ignore[union-attr]
        if not line.strip():
            raise ProcessFailedError(self._arguments, self.wait(), self._last_lines())
        host, _, port = line.split()[-1].rpartition(":")
        return Address(host, int(port))

    def _last_lines(self) -> list[str]:
        with open(self._log.name, "rb") as log:
            log.seek(self._log_start_offset)
            return (
                log.read().decode(errors="replace").splitlines()[-STDERR_LINES_SHOWN:]
            )

    def cpu_time_s(self) -> float:
        """Return the processor time used so far, user and system, seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def resident_mb(self) -> float:
        """Return the resident memory, megabytes; 0 if the process has none."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0

    def read_output(self) -> str:
        """Wait until the process ends and return its standard output."""
        return self._process.communicate()[0]

    def terminate(self) -> int:
        """Send SIGTERM and wait until the process ends.

        :returns: the exit status; -9 if the process had to be killed.
        """
        self._process.terminate()
        return self.wait()

    def kill(self) -> None:
        """Kill the process and wait until it ends."""
        self._process.kill()
        self._process.wait()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until the process ends, and kill it after a timeout.

        :param timeout_s: timeout, seconds.
        :returns: the exit status; -9 if the process had to be killed.
        """
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return -9


def _open_log() -> Any:
    """Open the file of ``BENCH_LOG`` to append, else a temporary file."""
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
    """Run a process while the body runs; it is killed at the end of the body.

    :param arguments: program and arguments.
    :param cores: processor cores that it may use, None for all.
    """
    process = Process(arguments, cores)
    try:
        yield process
    finally:
        if process.running:
            process.kill()


def start_standin(stack: ExitStack, *arguments: str) -> Address:
    """Start a stand-in and return the address on which it listens.

    :param stack: ends the stand-in.
    :param arguments: command line of ``lentilshore_standins``.
    """
    command = [sys.executable, "-m", "lentilshore_standins", *arguments]
    return stack.enter_context(running_process(command)).read_address()


def write_settings(directory: Path, name: str, **settings_overrides: Any) -> Path:
    """Write the settings file of a node.

    :param directory: where the settings file and the session key file go.
    :param name: name of the instance.
    :param settings_overrides: settings beyond the required ones, or instead of them.
    :returns: path of the file.
    """
    key_file = directory / "session.key"
    key_file.write_text("bench session key")
    settings = {
        "instance": name,
        "data_centre": "dc-1",
        "session_keys": [{"id": "k1", "file": str(key_file)}],
        **settings_overrides,
    }
    path = directory / f"{name}.yaml"
    path.write_text(yaml.safe_dump(settings))
    return path


def node_command(settings: Path) -> list[str]:
    """Return the command that starts a node with a settings file."""
    program = Path(sys.executable).parent / "lentilshore"
    return [str(program), "serve", str(settings)]


def listener_settings(port: int) -> dict[str, Any]:
    """Return the settings of a listener on loopback."""
    return {"host": "127.0.0.1", "port": port}


def instance_entry(
    name: str, role: str, address: Address, groups: Sequence[str]
) -> Any:
    """Return an entry of the platform's instance list, in data centre ``dc-1``.

    :param name: name of the instance.
    :param role: role of the instance, such as ``engine``.
    :param address: address on which it listens.
    :param groups: model versions that it serves, or names of its groups.
    """
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
    """Poll a condition until it holds.

    :param condition: callable without parameters.
    :param timeout_s: timeout, seconds.
    :raises TimeoutError: if the condition does not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(
                "condition of wait_until did not hold before the timeout"
            )
        time.sleep(0.05)
