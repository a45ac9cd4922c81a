"""Commands that show nodes, requests and bills."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa

from .client import OperatorClient
from .connection import Connection, operator_command, read_record
from .output import OutputFormat, print_fields, print_json, print_rows

WATCH_TIMEOUT_S = 30.0


def show_status(command: Any) -> None:
    """Print the status of a node, and of the fleet as the node sees it."""

    async def action(client: OperatorClient) -> None:
        print_fields(await client.status(), command.output)

    command.run(action)


def watch_configuration(command: Any) -> None:
    """Print each new revision when it takes effect on the node."""

    async def action(client: OperatorClient) -> None:
        # No record is of the kind "none": only the revision is read.
        known_revision = (await client.read("none")).revision
        printed = 0
        while command.count is None or printed < command.count:
            revision = await client.watch(known_revision, WATCH_TIMEOUT_S)
            if revision > known_revision:
                print(f"revision {revision}", flush=True)
                known_revision, printed = revision, printed + 1

    command.run(action)


def explain_request(command: Any) -> None:
    """Print how a request was served."""

    async def action(client: OperatorClient) -> None:
        print_fields(await client.explain(command.request), command.output)

    command.run(action)


def show_bills(command: Any) -> None:
    """Print billed totals, and how they differ from the upstreams' own counts."""

    async def action(client: OperatorClient) -> None:
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

    command.run(action)


def reconcile(totals: Any, counts: dict[str, Any] | None) -> list[dict[str, Any]]:
    """Return billed minus counted tokens of each upstream.

    :param totals: billed totals.
    :param counts: ``in`` and ``out`` tokens by upstream; None to compare nothing.
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


@operator_command(
    show_status, help="Show the status of a node, and of the fleet as the node sees it."
)
@dataclass(kw_only=True)
class Status(Connection):
    """Show a node's status."""


@operator_command(
    watch_configuration,
    help="Print each new revision when it takes effect on the node.",
)
@dataclass(kw_only=True)
class Watch(Connection):
    """Watch the configuration."""

    count: Annotated[
        int | None, cappa.Arg(long=True, help="Exit after this number of revisions.")
    ] = None


@operator_command(
    explain_request,
    help="Show how a request was served: version, upstream, alternatives considered, "
    "cost, and each retry with its reason.",
)
@dataclass(kw_only=True)
class Explain(Connection):
    """Show how a request was served."""

    request: Annotated[
        str,
        cappa.Arg(
            value_name="REQUEST", help="Value of the Lentilshore-Request header."
        ),
    ]


@operator_command(
    show_bills,
    help="Print billed totals; with --counts also their difference from the "
    "upstreams' own counts.",
)
@dataclass(kw_only=True)
class Bills(Connection):
    """Print billed totals."""

    counts: Annotated[
        Path | None,
        cappa.Arg(
            long=True,
            value_name="FILE",
            help="YAML file with `in` and `out` token counts by upstream.",
        ),
    ] = field(default=None)
