"""Reports of nodes and their merge by the leader."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Mapping
from typing import Any, NotRequired, TypedDict

from lentilshore_fleet import LeaseManager, ObjectStore, StoredObject
from lentilshore_fleet.documents import MERGED_REPORTS_DOCUMENT, SHARES_DOCUMENT
from lentilshore_kernel.exceptions import (
    StoreAmbiguousError,
    StoreConflictError,
    StoreUnavailableError,
)
from lentilshore_routing.estimates import EstimateSummary, sum_estimates
from lentilshore_routing.quota_shares import (
    NodeReport,
    ShareTable,
    allocate,
    node_shares,
)
from lentilshore_routing.rollouts import Evidence, OutcomeTallies, split_budget

from ..state.context import NodeContext

REPORT_PREFIX = "reports/"
LEARNED_KEY = "learned/merged"
SHARES_KEY = "shares/table"
# Own estimates kept by report, to subtract from a merged sum those that it includes.
PUBLISHED_ESTIMATES_LIMIT = 8
# Incarnations remembered as folded, so that no report of theirs is added twice.
FOLDED_INCARNATIONS_LIMIT = 4_096


class Report(TypedDict):
    """Periodic report of a node, written to the platform's store.

    :param sequence: number of the report, counted from 1 in each incarnation.
    :param revision: revision of the configuration in force on the node.
    :param estimates: the node's counts of answers and ratings.
    :param evidence: the node's tallies by version.
    :param demand: requested tokens per second, by customer.
    :param shares_version: version of the share table in force on the node.
    """

    sequence: int
    revision: int
    estimates: EstimateSummary
    evidence: dict[str, Evidence]
    demand: dict[str, float]
    shares_version: int


class MergedReports(TypedDict):
    """Sum of all reports, written by the leader.

    :param included: sequence number of each live incarnation's included report.
    :param estimates: summed counts.
    :param evidence: summed tallies by version.
    :param folded: incarnations that are gone and whose last reports are part of
        ``base``.
    :param base: sum of the last reports of all incarnations that are gone.
    """

    included: dict[str, int]
    estimates: EstimateSummary
    evidence: dict[str, Evidence]
    folded: list[str]
    base: NotRequired[Any]


class Reporter:
    """Writes this node's reports and applies the merged reports and shares.

    :param context: the node.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._key = f"{REPORT_PREFIX}{context.incarnation}"
        self._stored_version = 0
        self._sequence = 0
        self._published_estimates: OrderedDict[int, EstimateSummary] = OrderedDict()
        context.documents.on_change(MERGED_REPORTS_DOCUMENT, self._apply_merged)
        context.documents.on_change(SHARES_DOCUMENT, self._apply_shares)

    async def publish(self) -> bool:
        """Write a report.

        :returns: whether the store confirmed it.
        """
        report = self._build_report()
        try:
            self._stored_version = await self._context.platform.store.put(
                self._key, report, self._stored_version
            )
        except StoreUnavailableError:
            return False
        except (StoreAmbiguousError, StoreConflictError):
            return await self._refresh_version()
        return True

    def _build_report(self) -> Report:
        context = self._context
        self._sequence += 1
        estimates = context.estimates.summary()
        self._published_estimates[self._sequence] = estimates
        if len(self._published_estimates) > PUBLISHED_ESTIMATES_LIMIT:
            self._published_estimates.popitem(last=False)
        evidence = {
            version: context.evidence.export(version)
            for version in context.evidence.versions()
        }
        return Report(
            sequence=self._sequence,
            revision=context.configuration.revision,
            estimates=estimates,
            evidence=evidence,
            demand=context.quota.collect_demand(),
            shares_version=context.documents.version(SHARES_DOCUMENT),
        )

    async def _refresh_version(self) -> bool:
        try:
            stored = await self._context.platform.store.get(self._key)
        except StoreUnavailableError:
            return False
        self._stored_version = stored.version if stored else 0
        return False

    def _apply_merged(self, merged: MergedReports) -> None:
        included_sequence = merged["included"].get(str(self._context.incarnation), 0)
        own_estimates = self._published_estimates.get(included_sequence)
        if included_sequence and own_estimates is None:
            # This node's part of the sum is no longer known, so it can't be
            # distinguished from that of the other nodes.
            return
        self._context.estimates.set_fleet_counts(merged["estimates"], own_estimates)

    def _apply_shares(self, table: ShareTable) -> None:
        default_share, shares = node_shares(table, str(self._context.incarnation))
        self._context.quota.set_shares(default_share, shares)


class ReportMerger:
    """Merges reports; run by the leader while it holds its lease.

    :param store: the object store.
    :param lease: the leader's lease, checked before each write.
    """

    def __init__(self, store: ObjectStore, lease: LeaseManager) -> None:
        self._store = store
        self._lease = lease

    async def merge(self, gone: Collection[str]) -> MergedReports:
        """Write the sum of all reports and the next share table.

        Reports of gone incarnations are deleted once they are in the sum.

        :param gone: incarnations whose instances no longer exist.
        :returns: the sum.
        :raises LeaseLostError: if the lease has run out.
        :raises StoreError: if the store fails; call again.
        """
        stored = await self._store.get(LEARNED_KEY)
        previous: MergedReports | None = stored.value if stored else None
        objects = await self._store.list(REPORT_PREFIX)
        reports = {item.key[len(REPORT_PREFIX) :]: item for item in objects}
        merged = merge_reports(previous, reports, gone)
        if merged != previous:
            await self._put(LEARNED_KEY, merged, stored)
        await self._merge_shares(reports, gone)
        for incarnation in gone:
            if incarnation in reports:
                self._lease.check()
                await self._store.delete(
                    reports[incarnation].key, reports[incarnation].version
                )
        return merged

    async def _merge_shares(
        self, reports: Mapping[str, StoredObject], gone: Collection[str]
    ) -> None:
        stored = await self._store.get(SHARES_KEY)
        table: ShareTable = stored.value if stored else ShareTable(version=0, grants={})
        node_reports = {
            name: NodeReport(item.value["shares_version"], item.value["demand"])
            for name, item in reports.items()
            if name not in gone
        }
        version = stored.version if stored else 0
        successor = allocate(
            ShareTable(version=version, grants=table["grants"]), node_reports, gone
        )
        if successor["grants"] != table["grants"]:
            await self._put(SHARES_KEY, successor, stored)

    async def _put(self, key: str, value: Any, stored: StoredObject | None) -> None:
        self._lease.check()
        await self._store.put(key, value, stored.version if stored else 0)


def merge_reports(
    previous: MergedReports | None,
    reports: Mapping[str, StoredObject],
    gone: Collection[str],
) -> MergedReports:
    """Return the sum of all reports.

    The report of an incarnation that is gone is folded into the field ``base`` exactly
    once.

    :param previous: the last sum, None if there is none.
    :param reports: reports in the store, by incarnation.
    :param gone: incarnations whose instances no longer exist.
    """
    folded = list(previous["folded"]) if previous else []
    base = previous.get("base") if previous else None
    newly_folded = [
        name for name in sorted(reports) if name in gone and name not in folded
    ]
    live = {name: item.value for name, item in reports.items() if name not in gone}
    parts = ([base] if base else []) + [reports[name].value for name in newly_folded]
    new_base = _sum_reports(parts) if parts else None
    total = _sum_reports(([new_base] if new_base else []) + list(live.values()))
    merged = MergedReports(
        included={name: report["sequence"] for name, report in sorted(live.items())},
        estimates=total["estimates"],
        evidence=total["evidence"],
        folded=(folded + newly_folded)[-FOLDED_INCARNATIONS_LIMIT:],
    )
    if new_base:
        merged["base"] = new_base
    return merged


def apply_exposure_limits(context: NodeContext) -> None:
    """Set this node's part of the fleet-wide budgets of unrated answers."""
    names = sorted(member.name for member in context.membership.live)
    rank = names.index(context.membership.own.name)
    limits = {}
    for model in context.catalog.names("rollout"):
        record = context.catalog.record("rollout", model)
        if record["state"] in ("running", "paused"):
            budget = record["ungraded_budget"]
            limits[record["candidate"]] = split_budget(budget, len(names), rank)
    context.exposure.set_limits(limits)


def merged_evidence(merged: MergedReports) -> OutcomeTallies:
    """Return the evidence of merged reports."""
    outcomes = OutcomeTallies()
    for version, evidence in merged["evidence"].items():
        outcomes.merge(version, evidence)
    return outcomes


def _sum_reports(parts: list[Any]) -> dict[str, Any]:
    outcomes = OutcomeTallies()
    for part in parts:
        for version, evidence in part["evidence"].items():
            outcomes.merge(version, evidence)
    return {
        "estimates": sum_estimates(part["estimates"] for part in parts),
        "evidence": {
            version: outcomes.export(version) for version in outcomes.versions()
        },
    }
