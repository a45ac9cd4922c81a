"""Command-line program of the node."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from importlib.metadata import entry_points, version
from pathlib import Path
from typing import Annotated

import anyio
import cappa

from lentilshore_kernel import SystemClock, load_plugins, load_settings, start_logging
from lentilshore_kernel.exceptions import UsageError
from lentilshore_kernel.program import run_program

from .server import run_node

DEMO_ENTRY_POINT_GROUP = "lentilshore.demo"
EXIT_INTERRUPTED_REQUESTS = 6

SettingsPath = Annotated[
    Path, cappa.Arg(help="Path of the YAML settings file of this node.")
]


class DemoMissingError(UsageError):
    """The stand-ins that the demonstration needs are not installed."""


def serve(command: Serve) -> None:
    """Run a node until SIGTERM or SIGINT."""
    settings = load_settings(command.settings)
    registry = load_plugins()
    start_logging(sys.stderr)
    clean = anyio.run(run_node, settings, registry, SystemClock())
    if not clean:
        raise cappa.Exit(
            "stopped before every request was finished and every bill copied or stored",
            code=EXIT_INTERRUPTED_REQUESTS,
        )


def check(command: Check) -> None:
    """Validate a settings file and print a summary."""
    settings = load_settings(command.settings)
    for secret in (*settings.session_keys, *settings.operator_keys):
        secret.read()
    print(
        f"{command.settings}: ok, instance {settings.instance} "
        f"in data centre {settings.data_centre}"
    )


def demo(command: Demo) -> None:
    """Run the demonstration."""
    run = load_demo()
    raise cappa.Exit(code=run(verbose=command.verbose))


def show_version(command: Version) -> None:
    """Print the version."""
    print(f"lentilshore {version('lentilshore-node')}")


def load_demo() -> Callable[..., int]:
    """Return the function that runs the demonstration, which returns an exit code.

    :raises DemoMissingError: if the stand-ins are not installed.
    """
    for entry_point in entry_points(group=DEMO_ENTRY_POINT_GROUP):
        return entry_point.load()
    raise DemoMissingError(
        "the demonstration needs the stand-ins; install the package "
        "lentilshore-standins"
    )


@cappa.command(invoke=serve, help="Run a node until SIGTERM, then drain and exit.")
@dataclass
class Serve:
    """Run a node."""

    settings: SettingsPath


@cappa.command(
    invoke=check, help="Check a settings file and list every problem it has."
)
@dataclass
class Check:
    """Check settings."""

    settings: SettingsPath


@cappa.command(
    invoke=demo,
    help="Start one node with stand-ins, send requests through every kind of path "
    "and show what each did and cost.",
)
@dataclass
class Demo:
    """Run the demonstration."""

    verbose: Annotated[
        bool, cappa.Arg(long=True, help="Print the node's log as well.")
    ] = False


@cappa.command(invoke=show_version, help="Print the version and exit.")
@dataclass
class Version:
    """Print the version."""


@cappa.command(
    name="lentilshore",
    help="Route requests to language models and versions at the lowest cost that "
    "meets each customer's quality target.",
    description="Exit codes: 0 success, 1 failure, 2 bad usage or settings, 3 a "
    "service was not reached, 6 stopped before every request was finished.",
)
@dataclass
class Lentilshore:
    """Top-level command of the node's program."""

    command: cappa.Subcommands[Serve | Check | Demo | Version]


def main(arguments: list[str] | None = None) -> None:
    """Run the program.

    :param arguments: arguments without the program's name; those of the process
        if None.
    """
    run_program(Lentilshore, arguments)
