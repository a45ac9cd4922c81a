"""Runs a command line and turns errors into messages and exit codes."""

from __future__ import annotations

import os
import sys
from typing import Any

import cappa

from .exceptions import LentilshoreError

EXIT_FAILURE = 1


def run_program(command: Any, arguments: list[str] | None = None) -> None:
    """Run a program.

    :param command: class of the program's command.
    :param arguments: arguments without the program's name; those of the process
        if None.
    """
    argv = sys.argv[1:] if arguments is None else arguments
    try:
        cappa.invoke(command, argv=argv)
        sys.stdout.flush()
    except LentilshoreError as error:
        print(f"Error: {error.format_message()}", file=sys.stderr)
        sys.exit(error.exit_code)
    except BrokenPipeError:
        # The reader, such as head, has seen enough; the rest has nowhere to go.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    except OSError as error:
        print(f"Error: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILURE)
