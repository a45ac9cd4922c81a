"""Runs a command-line program and turns errors into messages and exit codes."""

from __future__ import annotations

import os
import sys
from typing import Any

import cappa

from .exceptions import LentilshoreError

EXIT_FAILURE = 1


def run_program(command: Any, arguments: list[str] | None = None) -> None:
    """Run a command-line program.

    :param command: class of the program's command.
    :param arguments: arguments without the program's name; those of the process
        if None.
    :raises SystemExit: with the exit code of an error that ended the program.
    """
    argv = sys.argv[1:] if arguments is None else arguments
    try:
        cappa.invoke(command, argv=argv)
        sys.stdout.flush()
    except LentilshoreError as error:
        print(f"Error: {error.format_message()}", file=sys.stderr)
        sys.exit(error.exit_code)
    except BrokenPipeError:
        # The reader of the output, such as head, has closed the pipe. What is still
        # buffered goes to /dev/null, so that the flush at exit does not fail.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    except OSError as error:
        print(f"Error: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILURE)
