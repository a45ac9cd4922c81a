"""Division of customers' quotas among nodes; the shares never sum to more than one.

A share that is withdrawn from a node counts as in use until the node has confirmed
the smaller share or its instance is known to be gone. A node that cannot reach the
platform keeps its share, which is then granted to no other node.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple, TypedDict

# Share of each quota that is split evenly; the rest follows demand.
EVEN_SPLIT_WEIGHT = 0.5
ANY_CUSTOMER = "*"


class Grant(TypedDict):
    """One node's share of one quota.

    :param granted: share that the node is to use, 0 to 1.
    :param held: largest share that the node may still be using, 0 to 1.
    :param since: version of the table in which ``granted`` last changed.
    """

    granted: float
    held: float
    since: int


class ShareTable(TypedDict):
    """Shares of all nodes.

    :param version: number that rises with each change.
    :param grants: grants by customer and incarnation; ``*`` stands for customers that
        are not named.
    """

    version: int
    grants: dict[str, dict[str, Grant]]


class NodeReport(NamedTuple):
    """A node's report of its use of quotas.

    :param confirmed: version of the table that the node applies.
    :param demand: tokens per second requested, by customer.
    """

    confirmed: int
    demand: Mapping[str, float]


def allocate(
    table: ShareTable, reports: Mapping[str, NodeReport], gone: Collection[str]
) -> ShareTable:
    """Return the next table.

    :param table: the current table.
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
            known = _default_grants(table)
        demand = {name: r.demand.get(customer, 0.0) for name, r in reports.items()}
        confirmed = {name: r.confirmed for name, r in reports.items()}
        grants[customer] = _allocate_customer(known, demand, confirmed, gone, version)
    return ShareTable(version=version, grants=grants)


def node_shares(table: ShareTable, incarnation: str) -> tuple[float, dict[str, float]]:
    """Return a node's default share and its shares by customer.

    :param table: the current table.
    :param incarnation: incarnation of the node; one that is not in the table has no
        shares.
    """
    shares = {
        customer: grants[incarnation]["granted"] if incarnation in grants else 0.0
        for customer, grants in table["grants"].items()
    }
    return shares.pop(ANY_CUSTOMER, 0.0), shares


def _default_grants(table: ShareTable) -> dict[str, Grant]:
    """Return the grants that apply to a customer that has none of its own yet."""
    default = table["grants"].get(ANY_CUSTOMER, {})
    return {name: Grant(**grant) for name, grant in default.items()}


def _allocate_customer(
    known: Mapping[str, Grant],
    demand: Mapping[str, float],
    confirmed: Mapping[str, int],
    gone: Collection[str],
    version: int,
) -> dict[str, Grant]:
    grants = {
        name: _apply_confirmation(grant, confirmed.get(name, 0))
        for name, grant in known.items()
        if name not in gone
    }
    for name in demand:
        if name not in gone:
            grants.setdefault(name, Grant(granted=0.0, held=0.0, since=0))
    targets = _target_shares(demand, grants)
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


def _apply_confirmation(grant: Grant, confirmed: int) -> Grant:
    held = grant["granted"] if confirmed >= grant["since"] else grant["held"]
    return Grant(granted=grant["granted"], held=held, since=grant["since"])


def _target_shares(
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
