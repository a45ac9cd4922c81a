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
    :param grants: grants by customer and by incarnation of the node; ``*`` stands for
        customers that are not named.
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
    :param reports: reports of nodes, by incarnation of the node.
    :param gone: incarnations whose instances no longer exist.
    """
    customers = {ANY_CUSTOMER, *table["grants"]}
    customers.update(name for report in reports.values() for name in report.demand)
    version = table["version"] + 1
    grants = {}
    for customer in sorted(customers):
        current = table["grants"].get(customer)
        if current is None:
            current = _default_grants(table)
        demand = {
            incarnation: r.demand.get(customer, 0.0)
            for incarnation, r in reports.items()
        }
        confirmed = {incarnation: r.confirmed for incarnation, r in reports.items()}
        grants[customer] = _allocate_customer(current, demand, confirmed, gone, version)
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
    return {incarnation: Grant(**grant) for incarnation, grant in default.items()}


def _allocate_customer(
    current: Mapping[str, Grant],
    demand: Mapping[str, float],
    confirmed: Mapping[str, int],
    gone: Collection[str],
    version: int,
) -> dict[str, Grant]:
    grants = {
        incarnation: _apply_confirmation(grant, confirmed.get(incarnation, 0))
        for incarnation, grant in current.items()
        if incarnation not in gone
    }
    for incarnation in demand:
        if incarnation not in gone:
            grants.setdefault(incarnation, Grant(granted=0.0, held=0.0, since=0))
    targets = _target_shares(demand, grants)
    for incarnation, grant in grants.items():
        if targets[incarnation] < grant["granted"]:
            grant["granted"], grant["since"] = targets[incarnation], version
    wanted_increase = {
        incarnation: max(0.0, targets[incarnation] - g["granted"])
        for incarnation, g in grants.items()
    }
    free_share = max(0.0, 1.0 - sum(grant["held"] for grant in grants.values()))
    wanted_beyond_held = {
        incarnation: max(0.0, targets[incarnation] - g["held"])
        for incarnation, g in grants.items()
    }
    scale = (
        min(1.0, free_share / sum(wanted_beyond_held.values()))
        if sum(wanted_beyond_held.values())
        else 0.0
    )
    for incarnation, grant in grants.items():
        if wanted_increase[incarnation] <= 0:
            continue
        reachable = grant["held"] + wanted_beyond_held[incarnation] * scale
        raised = min(targets[incarnation], max(grant["granted"], reachable))
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
    total_demand = sum(demand.values())
    even_share = 1.0 / len(grants) if grants else 0.0
    if total_demand <= 0:
        return dict.fromkeys(grants, even_share)
    return {
        incarnation: EVEN_SPLIT_WEIGHT * even_share
        + (1 - EVEN_SPLIT_WEIGHT) * demand.get(incarnation, 0.0) / total_demand
        for incarnation in grants
    }
