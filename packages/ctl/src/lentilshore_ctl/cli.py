"""Command line of the operators' program."""

from __future__ import annotations

import sys
from dataclasses import dataclass

import cappa

from lentilshore_kernel.exceptions import LentilshoreError

from .commands import (
    Bills,
    CascadeCommands,
    CustomerCommands,
    Explain,
    ModelCommands,
    Restore,
    RolloutCommands,
    ServiceCommands,
    Status,
    VersionCommands,
    Watch,
    Withdraw,
)

EXIT_CODES = (
    "Exit codes: 0 success, 1 failure or not found, 2 bad usage or an invalid record, "
    "3 the node or the platform was not reached, or the outcome of a change is not "
    "known, 4 the change was made against an old revision, 5 the key may not do this."
)


@cappa.command(
    name="lentilshorectl",
    help="Operate a fleet of lentilshore nodes through any one of them.",
    description=EXIT_CODES,
)
@dataclass
class Lentilshorectl:
    """The operators' program."""

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
    ]


def main(arguments: list[str] | None = None) -> None:
    """Run the program.

    :param arguments: arguments without the program's name; those of the process
        if None.
    """
    argv = sys.argv[1:] if arguments is None else arguments
    try:
        cappa.invoke(Lentilshorectl, argv=argv)
    except LentilshoreError as error:
        print(f"Error: {error.format_message()}", file=sys.stderr)
        sys.exit(error.exit_code)
    except OSError as error:
        print(f"Error: {error}", file=sys.stderr)
        sys.exit(1)
