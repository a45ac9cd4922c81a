"""Division of customers' quotas among nodes; the parts never sum above one.

A part that is taken from a node counts as used until the node has confirmed
the smaller part or its instance is known to be gone. A node that cannot reach
the platform keeps its part, and nobody else gets it.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple, TypedDict

EVEN_SPLIT_WEIGHT = 0.5
ANY_CUSTOMER = "*"


class Grant(TypedDict):
    """One node's part of one quota.

    :param granted: part that the node is to use, 0 to 1.
    :param held: largest part that it may still be using, 0 to 1.
    :param since: version of the table in which ``granted`` last changed.
    """

    granted: float
    held: float
    since: int


class ShareTable(TypedDict):
    """Parts of all nodes.

    :param version: rises with each change.
    :param grants: by customer and incarnation; ``*`` for customers not named.
    """

    version: int
    grants: dict[str, dict[str, Grant]]


class NodeReport(NamedTuple):
    """What a node tells of its use of quotas.

    :param confirmed: version of the table that it applies.
    :param demand: tokens a second asked for, by customer.
    """

    confirmed: int
    demand: Mapping[str, float]


def allocate(
    table: ShareTable, reports: Mapping[str, NodeReport], gone: Collection[str]
) -> ShareTable:
    """Return the next table.

    :param table: the table in force.
    :param reports: reports of nodes, by incarnation.
    :param gone: incarnations whose instances no longer exist.
    """
    customers = {ANY_CUSTOMER, *table["grants"]}
    customers.update(name for report in reports.values() for name in report.demand)
    version = table["version"] + 1
    grants = {}
    for customer in sorted(customers):
        known = table["grants"].get(customer)
        if known is None:
            known = _named_from_default(table)
        demand = {name: r.demand.get(customer, 0.0) for name, r in reports.items()}
        confirmed = {name: r.confirmed for name, r in reports.items()}
        grants[customer] = _allocate_one(known, demand, confirmed, gone, version)
    return ShareTable(version=version, grants=grants)


def shares_of(table: ShareTable, incarnation: str) -> tuple[float, dict[str, float]]:
    """Return a node's default part and its parts by customer.

    :param table: the table in force.
    :param incarnation: whose parts; a node that is not in the table has none.
    """
    parts = {
        customer: grants[incarnation]["granted"] if incarnation in grants else 0.0
        for customer, grants in table["grants"].items()
    }
    return parts.pop(ANY_CUSTOMER, 0.0), parts


def _named_from_default(table: ShareTable) -> dict[str, Grant]:
    """Return the grants that a customer had before it was named."""
    default = table["grants"].get(ANY_CUSTOMER, {})
    return {name: Grant(**grant) for name, grant in default.items()}


def _allocate_one(
    known: Mapping[str, Grant],
    demand: Mapping[str, float],
    confirmed: Mapping[str, int],
    gone: Collection[str],
    version: int,
) -> dict[str, Grant]:
    grants = {
        name: _confirm(grant, confirmed.get(name, 0))
        for name, grant in known.items()
        if name not in gone
    }
    for name in demand:
        if name not in gone:
            grants.setdefault(name, Grant(granted=0.0, held=0.0, since=0))
    targets = _targets(demand, grants)
    for name, grant in grants.items():
        if targets[name] < grant["granted"]:
            grant["granted"], grant["since"] = targets[name], version
    wanted = {n: max(0.0, targets[n] - g["granted"]) for n, g in grants.items()}
    free = max(0.0, 1.0 - sum(grant["held"] for grant in grants.values()))
    missing = {n: max(0.0, targets[n] - g["held"]) for n, g in grants.items()}
    scale = min(1.0, free / sum(missing.values())) if sum(missing.values()) else 0.0
    for name, grant in grants.items():
        if wanted[name] <= 0:
            continue
        reachable = grant["held"] + missing[name] * scale
        raised = min(targets[name], max(grant["granted"], reachable))
        if raised > grant["granted"]:
            grant["granted"], grant["since"] = raised, version
            grant["held"] = max(grant["held"], raised)
    return grants


def _confirm(grant: Grant, confirmed: int) -> Grant:
    held = grant["granted"] if confirmed >= grant["since"] else grant["held"]
    return Grant(granted=grant["granted"], held=held, since=grant["since"])


def _targets(
    demand: Mapping[str, float], grants: Mapping[str, Grant]
) -> dict[str, float]:
    total = sum(demand.values())
    even = 1.0 / len(grants) if grants else 0.0
    if total <= 0:
        return dict.fromkeys(grants, even)
    return {
        name: EVEN_SPLIT_WEIGHT * even
        + (1 - EVEN_SPLIT_WEIGHT) * demand.get(name, 0.0) / total
        for name in grants
    }
