"""Commands for roll-outs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from .client import NotFoundError, OperatorClient
from .connection import (
    ChangeOptions,
    Connection,
    FileArgument,
    ModelArgument,
    operator_command,
)
from .output import print_fields
from .records import list_records, set_record


def change_rollout(command: Any) -> None:
    """Set the state of a roll-out, keeping the rest of its record."""

    async def action(client: OperatorClient) -> None:
        listing = await client.read("rollout")
        key = f"rollout/{command.model}"
        if key not in listing.records:
            raise NotFoundError(f"no roll-out of {command.model!r}")
        record = dict(listing.records[key]) | {"state": command.STATE}
        reason = getattr(command, "reason", None)
        if reason:
            record["reason"] = reason
        if command.revision is None:
            command.revision = listing.revision
        await command.apply(client, {key: record})

    command.run(action)


def show_rollout(command: Any) -> None:
    """Print a roll-out with its exposure and evidence."""

    async def action(client: OperatorClient) -> None:
        answer = await client.rollout(command.model)
        # pop runs first, so the right operand no longer holds the record.
        print_fields(answer.pop("record") | answer, command.output)

    command.run(action)


def _create_rollout_command(name: str, state: str, help_text: str) -> Any:
    command_class = type(
        f"Rollout{name.title()}",
        (ChangeOptions,),
        {
            "__annotations__": {
                "model": ModelArgument,
                "reason": Annotated[
                    str | None,
                    cappa.Arg(long=True, help="Reason, kept in the record."),
                ],
            },
            "__doc__": help_text,
            "STATE": state,
            "reason": None,
        },
    )
    command_class = dataclass(kw_only=True)(command_class)
    return operator_command(change_rollout, name=name, help=help_text)(command_class)


@operator_command(set_record, name="start", help="Start a roll-out from a YAML record.")
@dataclass(kw_only=True)
class RolloutStart(ChangeOptions):
    """Start a roll-out."""

    KIND = "rollout"
    # set_record takes the key of the record from this field; a roll-out's is its model.
    name: Annotated[str, cappa.Arg(value_name="MODEL", help="Name of the model.")]
    file: FileArgument


@operator_command(
    show_rollout, name="show", help="Show a roll-out, its exposure and evidence."
)
@dataclass(kw_only=True)
class RolloutShow(Connection):
    """Show a roll-out."""

    model: ModelArgument


@operator_command(list_records, name="list", help="List every roll-out.")
@dataclass(kw_only=True)
class RolloutList(Connection):
    """List roll-outs."""

    KIND = "rollout"
    COLUMNS = ("base", "candidate", "state", "stage", "reason")


RolloutHalt = _create_rollout_command(
    "halt", "halted", "Halt a roll-out: new sessions get the base version at once."
)
RolloutPause = _create_rollout_command(
    "pause",
    "paused",
    "Keep a roll-out at its stage; it still halts if the candidate is worse.",
)
RolloutResume = _create_rollout_command(
    "resume", "running", "Resume a halted or paused roll-out at its stage."
)
RolloutRollback = _create_rollout_command(
    "rollback", "rolled_back", "End a roll-out and return to its base version."
)


@cappa.command(name="rollouts", help="Start, show, halt, resume and end roll-outs.")
@dataclass
class RolloutCommands:
    """Manage roll-outs of versions."""

    command: cappa.Subcommands[
        RolloutList
        | RolloutStart
        | RolloutShow
        | RolloutHalt
        | RolloutPause
        | RolloutResume
        | RolloutRollback
    ]
