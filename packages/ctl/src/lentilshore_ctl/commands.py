"""Commands of the operators' program."""

from __future__ import annotations

import os
import secrets
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import anyio
import capnp
import cappa
import yaml

from lentilshore_kernel.exceptions import UsageError
from lentilshore_kernel.settings import TlsSetting
from lentilshore_kernel.tls import create_client_context
from lentilshore_kernel.types import Address

from .client import NotFoundError, OperatorClient, connect
from .output import OutputFormat, print_fields, print_json, print_rows

KEY_VARIABLE = "LENTILSHORE_KEY_FILE"
DEFAULT_NODE = "127.0.0.1:7101"
WATCH_TIMEOUT_S = 30.0


class RecordFileError(UsageError):
    """A record's file cannot be read or is not a YAML mapping."""


class AddressFormatError(UsageError):
    """A node's address is not an IP number and a port."""


@dataclass
class Connection:
    """How to reach a node; part of every command."""

    node: Annotated[
        str,
        cappa.Arg(
            long=True,
            value_name="IP:PORT",
            help="Operator listener of any node.",
        ),
    ] = DEFAULT_NODE
    key_file: Annotated[
        Path | None,
        cappa.Arg(
            long="--key-file",
            value_name="FILE",
            help=f"File with the operator's key; also from {KEY_VARIABLE}.",
        ),
    ] = None
    certificate: Annotated[
        Path | None,
        cappa.Arg(
            long=True, value_name="FILE", help="Client certificate for TLS, PEM."
        ),
    ] = None
    private_key: Annotated[
        Path | None,
        cappa.Arg(long="--private-key", value_name="FILE", help="Its key, PEM."),
    ] = None
    authority: Annotated[
        Path | None,
        cappa.Arg(long=True, value_name="FILE", help="Authority of the nodes, PEM."),
    ] = None
    output: Annotated[
        OutputFormat, cappa.Arg(long=True, help="How to print results.")
    ] = OutputFormat.TABLE

    def run(self, work: Callable[[OperatorClient], Awaitable[None]]) -> None:
        """Connect and do some work.

        :param work: receives the client.
        """
        anyio.run(self._run, work)

    async def _run(self, work: Callable[[OperatorClient], Awaitable[None]]) -> None:
        tls = None
        if self.certificate and self.private_key:
            tls = create_client_context(
                TlsSetting(
                    certificate=self.certificate,
                    key=self.private_key,
                    authority=self.authority,
                )
            )
        async with capnp.kj_loop():
            address = parse_address(self.node)
            async with connect(address, self._read_key(), tls) as client:
                await work(client)

    def _read_key(self) -> str:
        path = self.key_file or os.environ.get(KEY_VARIABLE)
        return Path(path).read_text().strip() if path else ""


@dataclass
class ChangeOptions(Connection):
    """Options of commands that change the configuration."""

    change: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            value_name="ID",
            help="Identifier of the change; repeat with the same to learn whether "
            "it was made. Random if not given.",
        ),
    ] = None
    revision: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help="Revision that the change is made against; the node's if not given.",
        ),
    ] = None

    async def apply(
        self,
        client: OperatorClient,
        updated: dict[str, Any],
        removed: tuple[str, ...] = (),
    ) -> None:
        """Make a change and print the revision that contains it."""
        change = self.change or secrets.token_hex(8)
        revision = self.revision
        if revision is None:
            revision = (await client.read("none")).revision
        print(f"change {change} against revision {revision}", file=sys.stderr)
        made = await client.change(change, revision, updated, removed)
        print_fields({"change": change, "revision": made}, self.output)


def list_records(command: Any) -> None:
    """Print the records of a kind."""

    async def work(client: OperatorClient) -> None:
        found = await client.read(command.KIND)
        rows = [
            {"name": key.partition("/")[2], **record}
            for key, record in found.records.items()
        ]
        columns = ["name", *command.COLUMNS]
        print_rows(rows, columns, command.output)

    command.run(work)


def show_record(command: Any) -> None:
    """Print one record."""

    async def work(client: OperatorClient) -> None:
        key = f"{command.KIND}/{command.name}"
        found = await client.read(command.KIND)
        if key not in found.records:
            raise NotFoundError(f"no {command.KIND} named {command.name!r}")
        print_fields(found.records[key], command.output)

    command.run(work)


def set_record(command: Any) -> None:
    """Create or replace one record from a file."""
    record = read_record(command.file)

    async def work(client: OperatorClient) -> None:
        await command.apply(client, {f"{command.KIND}/{command.name}": record})

    command.run(work)


def remove_record(command: Any) -> None:
    """Remove one record."""

    async def work(client: OperatorClient) -> None:
        await command.apply(client, {}, (f"{command.KIND}/{command.name}",))

    command.run(work)


def change_version_state(command: Any) -> None:
    """Set the state of a version."""

    async def work(client: OperatorClient) -> None:
        key = f"version/{command.name}"
        await command.apply(client, {key: {"state": command.STATE}})

    command.run(work)


def change_rollout(command: Any) -> None:
    """Change the state of a roll-out, from its record."""

    async def work(client: OperatorClient) -> None:
        found = await client.read("rollout")
        key = f"rollout/{command.model}"
        if key not in found.records:
            raise NotFoundError(f"no roll-out of {command.model!r}")
        record = dict(found.records[key]) | {"state": command.STATE}
        reason = getattr(command, "reason", None)
        if reason:
            record["reason"] = reason
        if command.revision is None:
            command.revision = found.revision
        await command.apply(client, {key: record})

    command.run(work)


def show_rollout(command: Any) -> None:
    """Print a roll-out with exposure and evidence."""

    async def work(client: OperatorClient) -> None:
        answer = await client.rollout(command.model)
        print_fields(answer.pop("record") | answer, command.output)

    command.run(work)


def show_status(command: Any) -> None:
    """Print what a node knows of itself and of the fleet."""

    async def work(client: OperatorClient) -> None:
        print_fields(await client.status(), command.output)

    command.run(work)


def watch_configuration(command: Any) -> None:
    """Print each new revision as it comes into force on the node."""

    async def work(client: OperatorClient) -> None:
        known = (await client.read("none")).revision
        seen = 0
        while command.count is None or seen < command.count:
            revision = await client.watch(known, WATCH_TIMEOUT_S)
            if revision > known:
                print(f"revision {revision}", flush=True)
                known, seen = revision, seen + 1

    command.run(work)


def explain_request(command: Any) -> None:
    """Print how a request was served."""

    async def work(client: OperatorClient) -> None:
        print_fields(await client.explain(command.request), command.output)

    command.run(work)


def show_bills(command: Any) -> None:
    """Print totals of bills, and how they compare with upstreams' counts."""

    async def work(client: OperatorClient) -> None:
        totals = await client.bills()
        counts = read_record(command.counts) if command.counts else None
        if command.output is OutputFormat.JSON:
            print_json(totals | {"differences": reconcile(totals, counts)})
            return
        columns = ["requests", "input_tokens", "output_tokens", "cost"]
        for kind in ("customers", "upstreams"):
            rows = [{"name": n, **total} for n, total in totals[kind].items()]
            print(f"{kind}:")
            print_rows(rows, ["name", *columns], command.output)
        if counts is not None:
            print("differences from upstreams' counts (billed minus counted):")
            print_rows(
                reconcile(totals, counts),
                ["name", "input_tokens", "output_tokens"],
                command.output,
            )

    command.run(work)


def reconcile(totals: Any, counts: dict[str, Any] | None) -> list[dict[str, Any]]:
    """Return billed minus counted tokens of each upstream.

    :param totals: totals of bills.
    :param counts: ``in`` and ``out`` tokens by upstream, None for no comparison.
    """
    if counts is None:
        return []
    rows = []
    for name in sorted(counts):
        billed = totals["upstreams"].get(name, {})
        rows.append(
            {
                "name": name,
                "input_tokens": billed.get("input_tokens", 0) - counts[name]["in"],
                "output_tokens": billed.get("output_tokens", 0) - counts[name]["out"],
            }
        )
    return rows


def read_record(path: Path) -> dict[str, Any]:
    """Return the YAML mapping of a file, of standard input for ``-``.

    :raises RecordFileError: if it cannot be read or is no mapping.
    """
    try:
        text = sys.stdin.read() if str(path) == "-" else path.read_text()
        record = yaml.safe_load(text)
    except (OSError, yaml.YAMLError) as error:
        mark = getattr(error, "problem_mark", None)
        place = f"{path}:{mark.line + 1}" if mark else str(path)
        raise RecordFileError(f"{place}: {error}") from error
    if not isinstance(record, dict):
        raise RecordFileError(f"{path}:1: expected a mapping, found {record!r}")
    return record


def parse_address(text: str) -> Address:
    """Return the address of a text such as ``127.0.0.1:7101``.

    :raises AddressFormatError: if it is not one.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise AddressFormatError(f"--node: expected IP:PORT, found {text!r}")
    return Address(host.strip("[]"), int(port))


NameArgument = Annotated[str, cappa.Arg(value_name="NAME", help="Name of the record.")]
ModelArgument = Annotated[str, cappa.Arg(value_name="MODEL", help="Name of the model.")]
FileArgument = Annotated[
    Path,
    cappa.Arg(
        long=True,
        value_name="FILE",
        help="YAML file with the record, - for standard input.",
    ),
]


def create_record_commands(kind: str, columns: tuple[str, ...], noun: str) -> type:
    """Return the command group of one kind of record.

    :param kind: kind of the records.
    :param columns: columns of the list.
    :param noun: what the help texts call a record of the kind.
    """
    base = {"KIND": kind, "COLUMNS": columns}

    def command(
        name: str, invoke: Any, help_text: str, fields: Any, parent: Any
    ) -> Any:
        namespace = {"__annotations__": dict(fields), "__doc__": help_text, **base}
        for field_name, annotation in fields:
            namespace.pop(field_name, None)
            del annotation
        made = type(
            f"{noun.title().replace(' ', '')}{name.title()}", (parent,), namespace
        )
        made = dataclass(kw_only=True)(made)
        return cappa.command(name=name, help=help_text, invoke=invoke)(made)

    list_command = command("list", list_records, f"List every {noun}.", (), Connection)
    show = command(
        "show", show_record, f"Show one {noun}.", (("name", NameArgument),), Connection
    )
    put = command(
        "set",
        set_record,
        f"Create or replace one {noun} from a YAML file.",
        (("name", NameArgument), ("file", FileArgument)),
        ChangeOptions,
    )
    remove = command(
        "remove",
        remove_record,
        f"Remove one {noun}.",
        (("name", NameArgument),),
        ChangeOptions,
    )
    subcommands = cappa.Subcommands[list_command | show | put | remove]
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


@cappa.command(
    invoke=change_version_state,
    help="Withdraw a version: no node sends it a new request, not even for sessions "
    "that started on it.",
)
@dataclass(kw_only=True)
class Withdraw(ChangeOptions):
    """Withdraw a version."""

    STATE = "withdrawn"
    name: Annotated[str, cappa.Arg(value_name="MODEL@VERSION", help="The version.")]


@cappa.command(
    invoke=change_version_state, help="Make a withdrawn or halted version active again."
)
@dataclass(kw_only=True)
class Restore(ChangeOptions):
    """Make a version active."""

    STATE = "active"
    name: Annotated[str, cappa.Arg(value_name="MODEL@VERSION", help="The version.")]


def _rollout_command(name: str, state: str, help_text: str) -> Any:
    made = type(
        f"Rollout{name.title()}",
        (ChangeOptions,),
        {
            "__annotations__": {
                "model": ModelArgument,
                "reason": Annotated[
                    str | None,
                    cappa.Arg(long=True, help="Why; kept in the record."),
                ],
            },
            "__doc__": help_text,
            "STATE": state,
            "reason": None,
        },
    )
    made = dataclass(kw_only=True)(made)
    return cappa.command(name=name, help=help_text, invoke=change_rollout)(made)


@cappa.command(
    name="start", invoke=set_record, help="Start a roll-out from a YAML record."
)
@dataclass(kw_only=True)
class RolloutStart(ChangeOptions):
    """Start a roll-out."""

    KIND = "rollout"
    name: Annotated[str, cappa.Arg(value_name="MODEL", help="Name of the model.")]
    file: FileArgument


@cappa.command(
    name="show", invoke=show_rollout, help="Show a roll-out, its exposure and evidence."
)
@dataclass(kw_only=True)
class RolloutShow(Connection):
    """Show a roll-out."""

    model: ModelArgument


@cappa.command(name="list", invoke=list_records, help="List every roll-out.")
@dataclass(kw_only=True)
class RolloutList(Connection):
    """List roll-outs."""

    KIND = "rollout"
    COLUMNS = ("base", "candidate", "state", "stage", "reason")


RolloutHalt = _rollout_command(
    "halt", "halted", "Halt a roll-out: new sessions get the base version at once."
)
RolloutPause = _rollout_command(
    "pause", "paused", "Keep a roll-out at its stage; it is still guarded."
)
RolloutResume = _rollout_command(
    "resume", "running", "Resume a halted or paused roll-out at its stage."
)
RolloutBack = _rollout_command(
    "rollback", "rolled_back", "End a roll-out in favour of its base version."
)


@cappa.command(name="rollouts", help="Start, show, halt, resume and end roll-outs.")
@dataclass
class RolloutCommands:
    """Roll-outs of versions."""

    command: cappa.Subcommands[
        RolloutList
        | RolloutStart
        | RolloutShow
        | RolloutHalt
        | RolloutPause
        | RolloutResume
        | RolloutBack
    ]


@cappa.command(
    invoke=show_status, help="Show what a node knows of itself and of the fleet."
)
@dataclass(kw_only=True)
class Status(Connection):
    """Show a node's status."""


@cappa.command(
    invoke=watch_configuration,
    help="Print each new revision as it comes into force on the node.",
)
@dataclass(kw_only=True)
class Watch(Connection):
    """Watch the configuration."""

    count: Annotated[
        int | None, cappa.Arg(long=True, help="Exit after so many revisions.")
    ] = None


@cappa.command(
    invoke=explain_request,
    help="Tell how a request was served: version, upstream, what else was weighed, "
    "what it cost, each retry with its reason.",
)
@dataclass(kw_only=True)
class Explain(Connection):
    """Explain a request."""

    request: Annotated[
        str,
        cappa.Arg(
            value_name="REQUEST", help="Value of the header Lentilshore-Request."
        ),
    ]


@cappa.command(
    invoke=show_bills,
    help="Print totals of bills; with --counts also the difference from upstreams' "
    "own counts.",
)
@dataclass(kw_only=True)
class Bills(Connection):
    """Print totals of bills."""

    counts: Annotated[
        Path | None,
        cappa.Arg(
            long=True,
            value_name="FILE",
            help="YAML file with `in` and `out` tokens by upstream.",
        ),
    ] = field(default=None)
