"""Entry point of the operators' command line."""

from __future__ import annotations

from dataclasses import dataclass

import cappa

from lentilshore_kernel.program import run_program

from .fleet import Bills, Explain, Status, Watch
from .logfiles import Reasons, Story
from .records import (
    CascadeCommands,
    CustomerCommands,
    ModelCommands,
    Restore,
    ServiceCommands,
    VersionCommands,
    Withdraw,
)
from .rollouts import RolloutCommands

EXIT_CODES = (
    "Exit codes: 0 success, 1 failure or not found, 2 bad usage or an invalid record, "
    "3 the node or the platform could not be reached, or the outcome of a change is "
    "unknown, 4 the change was made against an old revision, 5 the key is unknown or "
    "does not permit the command."
)


@cappa.command(
    name="lentilshorectl",
    help="Operate a fleet of lentilshore nodes through any one of them.",
    description=EXIT_CODES,
)
@dataclass
class Lentilshorectl:
    """Operate a fleet of lentilshore nodes."""

    command: cappa.Subcommands[
        CustomerCommands
        | ModelCommands
        | VersionCommands
        | CascadeCommands
        | ServiceCommands
        | RolloutCommands
        | Withdraw
        | Restore
        | Status
        | Watch
        | Explain
        | Bills
        | Story
        | Reasons
    ]


def main(arguments: list[str] | None = None) -> None:
    """Run the program.

    :param arguments: arguments without the program's name; those of the process
        if None.
    """
    run_program(Lentilshorectl, arguments)
