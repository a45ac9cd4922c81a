"""Commands that tell of nodes, requests and bills."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa

from .client import OperatorClient
from .connection import Connection, command, read_record
from .output import OutputFormat, print_fields, print_json, print_rows

WATCH_TIMEOUT_S = 30.0


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


@command(show_status, help="Show what a node knows of itself and of the fleet.")
@dataclass(kw_only=True)
class Status(Connection):
    """Show a node's status."""


@command(
    watch_configuration,
    help="Print each new revision as it comes into force on the node.",
)
@dataclass(kw_only=True)
class Watch(Connection):
    """Watch the configuration."""

    count: Annotated[
        int | None, cappa.Arg(long=True, help="Exit after so many revisions.")
    ] = None


@command(
    explain_request,
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


@command(
    show_bills,
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
