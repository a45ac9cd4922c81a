"""Commands that list, show, set and remove records."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from .client import NotFoundError, OperatorClient
from .connection import (
    ChangeOptions,
    Connection,
    FileArgument,
    NameArgument,
    operator_command,
    read_record,
)
from .output import print_fields, print_rows


def list_records(command: Any) -> None:
    """Print the records of a kind."""

    async def action(client: OperatorClient) -> None:
        listing = await client.read(command.KIND)
        rows = [
            {"name": key.partition("/")[2], **record}
            for key, record in listing.records.items()
        ]
        columns = ["name", *command.COLUMNS]
        print_rows(rows, columns, command.output)

    command.run(action)


def show_record(command: Any) -> None:
    """Print one record."""

    async def action(client: OperatorClient) -> None:
        key = f"{command.KIND}/{command.name}"
        listing = await client.read(command.KIND)
        if key not in listing.records:
            raise NotFoundError(f"no {command.KIND} named {command.name!r}")
        print_fields(listing.records[key], command.output)

    command.run(action)


def set_record(command: Any) -> None:
    """Create or replace one record from a YAML file."""
    record = read_record(command.file)

    async def action(client: OperatorClient) -> None:
        await command.apply(client, {f"{command.KIND}/{command.name}": record})

    command.run(action)


def remove_record(command: Any) -> None:
    """Remove one record."""

    async def action(client: OperatorClient) -> None:
        await command.apply(client, {}, (f"{command.KIND}/{command.name}",))

    command.run(action)


def change_version_state(command: Any) -> None:
    """Set the state of a version."""

    async def action(client: OperatorClient) -> None:
        key = f"version/{command.name}"
        await command.apply(client, {key: {"state": command.STATE}})

    command.run(action)


def create_record_commands(kind: str, columns: tuple[str, ...], noun: str) -> type:
    """Return the command group for one kind of record.

    :param kind: kind of the records, the prefix of their keys.
    :param columns: columns of the ``list`` command's table, besides the name.
    :param noun: name of such a record in help texts.
    """
    attributes = {"KIND": kind, "COLUMNS": columns}

    def create_command(
        name: str, invoke: Any, help_text: str, fields: Any, parent: Any
    ) -> Any:
        namespace = {
            "__annotations__": dict(fields),
            "__doc__": help_text,
            **attributes,
        }
        command_class = type(
            f"{noun.title().replace(' ', '')}{name.title()}", (parent,), namespace
        )
        command_class = dataclass(kw_only=True)(command_class)
        return operator_command(invoke, name=name, help=help_text)(command_class)

    list_command = create_command(
        "list", list_records, f"List every {noun}.", (), Connection
    )
    show_command = create_command(
        "show", show_record, f"Show one {noun}.", (("name", NameArgument),), Connection
    )
    set_command = create_command(
        "set",
        set_record,
        f"Create or replace one {noun} from a YAML file.",
        (("name", NameArgument), ("file", FileArgument)),
        ChangeOptions,
    )
    remove_command = create_command(
        "remove",
        remove_record,
        f"Remove one {noun}.",
        (("name", NameArgument),),
        ChangeOptions,
    )
    subcommands = cappa.Subcommands[
        list_command | show_command | set_command | remove_command
    ]
    group = dataclass(
        type(
            f"{noun.title().replace(' ', '')}Group",
            (),
            {"__annotations__": {"command": subcommands}, "__doc__": f"Each {noun}."},
        )
    )
    name = kind + "s"
    return cappa.command(name=name, help=f"List, show, set and remove {noun}s.")(group)


CustomerCommands = create_record_commands(
    "customer", ("models", "services", "quality_targets"), "customer"
)
ModelCommands = create_record_commands(
    "model", ("input_price", "output_price", "default"), "model"
)
CascadeCommands = create_record_commands("cascade", ("models",), "cascade")
ServiceCommands = create_record_commands("service", ("operations",), "service")
VersionCommands = create_record_commands("version", ("state",), "version")


@operator_command(
    change_version_state,
    help="Withdraw a version: it gets no new requests, not even those of sessions that "
    "started on it.",
)
@dataclass(kw_only=True)
class Withdraw(ChangeOptions):
    """Withdraw a version."""

    STATE = "withdrawn"
    name: Annotated[str, cappa.Arg(value_name="MODEL@VERSION", help="The version.")]


@operator_command(
    change_version_state, help="Make a withdrawn or halted version active again."
)
@dataclass(kw_only=True)
class Restore(ChangeOptions):
    """Make a version active again."""

    STATE = "active"
    name: Annotated[str, cappa.Arg(value_name="MODEL@VERSION", help="The version.")]
