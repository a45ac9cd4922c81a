"""Reports of nodes to the leader, and what the leader makes of them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Mapping
from typing import Any, NotRequired, TypedDict

from lentilshore_fleet import LeaseManager, ObjectStore, StoredObject
from lentilshore_fleet.documents import LEARNED, SHARES
from lentilshore_kernel.exceptions import (
    StoreAmbiguousError,
    StoreConflictError,
    StoreUnavailableError,
)
from lentilshore_routing.estimates import EstimateSummary, sum_estimates
from lentilshore_routing.quota_shares import NodeReport, ShareTable, allocate, shares_of
from lentilshore_routing.rollouts import Evidence, EvidenceBook, split_budget

from .context import NodeContext

REPORT_PREFIX = "reports/"
LEARNED_KEY = "learned/merged"
SHARES_KEY = "shares/table"
PUBLISHED_KEPT = 8
FOLDED_KEPT = 4_096


class Report(TypedDict):
    """What a node writes to the platform's store from time to time.

    :param sequence: rises with each report of the incarnation.
    :param revision: revision of the configuration in force on the node.
    :param estimates: its counts of answers and ratings.
    :param evidence: its tallies by version.
    :param demand: tokens a second asked for, by customer.
    :param shares_version: version of the share table that it applies.
    """

    sequence: int
    revision: int
    estimates: EstimateSummary
    evidence: dict[str, Evidence]
    demand: dict[str, float]
    shares_version: int


class Learned(TypedDict):
    """Sum of all reports, as the leader writes it.

    :param included: sequence of each report that is in the sum.
    :param estimates: summed counts.
    :param evidence: summed tallies by version.
    :param folded: incarnations that are gone and stay in the sum.
    :param base: sum of the folded incarnations alone.
    """

    included: dict[str, int]
    estimates: EstimateSummary
    evidence: dict[str, Evidence]
    folded: list[str]
    base: NotRequired[Any]


class Reporter:
    """Writes this node's reports and applies what the leader made of all.

    :param context: the node.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._key = f"{REPORT_PREFIX}{context.incarnation}"
        self._version = 0
        self._sequence = 0
        self._published: OrderedDict[int, EstimateSummary] = OrderedDict()
        context.documents.on_change(LEARNED, self._apply_learned)
        context.documents.on_change(SHARES, self._apply_shares)

    async def publish(self) -> bool:
        """Write a report.

        :returns: whether the store confirmed it.
        """
        report = self._build()
        try:
            self._version = await self._context.platform.store.put(
                self._key, report, self._version
            )
        except StoreUnavailableError:
            return False
        except (StoreAmbiguousError, StoreConflictError):
            return await self._recover()
        return True

    def _build(self) -> Report:
        context = self._context
        self._sequence += 1
        estimates = context.estimates.summary()
        self._published[self._sequence] = estimates
        if len(self._published) > PUBLISHED_KEPT:
            self._published.popitem(last=False)
        evidence = {v: context.evidence.export(v) for v in context.evidence.versions()}
        return Report(
            sequence=self._sequence,
            revision=context.configuration.revision,
            estimates=estimates,
            evidence=evidence,
            demand=context.quota.take_demand(),
            shares_version=context.documents.version(SHARES),
        )

    async def _recover(self) -> bool:
        try:
            stored = await self._context.platform.store.get(self._key)
        except StoreUnavailableError:
            return False
        self._version = stored.version if stored else 0
        return False

    def _apply_learned(self, learned: Learned) -> None:
        included = learned["included"].get(str(self._context.incarnation), 0)
        own = self._published.get(included)
        if included and own is None:
            return
        self._context.estimates.set_fleet(learned["estimates"], own)

    def _apply_shares(self, table: ShareTable) -> None:
        default, shares = shares_of(table, str(self._context.incarnation))
        self._context.quota.set_shares(default, shares)


class ReportMerger:
    """Sums reports; run by the leader under its lease.

    :param store: the object API.
    :param lease: the leader's lease, checked before each write.
    """

    def __init__(self, store: ObjectStore, lease: LeaseManager) -> None:
        self._store = store
        self._lease = lease

    async def merge(self, gone: Collection[str]) -> Learned:
        """Write the sum of all reports and the next share table.

        :param gone: incarnations whose instances no longer exist.
        :returns: the sum.
        :raises LeaseLostError: if the lease has run out.
        :raises StoreError: if the store fails; call again.
        """
        stored = await self._store.get(LEARNED_KEY)
        previous: Learned | None = stored.value if stored else None
        found = await self._store.list(REPORT_PREFIX)
        reports = {item.key[len(REPORT_PREFIX) :]: item for item in found}
        learned = build_learned(previous, reports, gone)
        if learned != previous:
            await self._put(LEARNED_KEY, learned, stored)
        await self._merge_shares(reports, gone)
        for incarnation in gone:
            if incarnation in reports:
                self._lease.check()
                await self._store.delete(
                    reports[incarnation].key, reports[incarnation].version
                )
        return learned

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


def build_learned(
    previous: Learned | None,
    reports: Mapping[str, StoredObject],
    gone: Collection[str],
) -> Learned:
    """Return the sum of all reports.

    Reports of incarnations that are gone are folded into the base once.

    :param previous: the last sum.
    :param reports: reports in the store, by incarnation.
    :param gone: incarnations whose instances no longer exist.
    """
    folded = list(previous["folded"]) if previous else []
    base = previous.get("base") if previous else None
    folding = [n for n in sorted(reports) if n in gone and n not in folded]
    live = {n: r.value for n, r in reports.items() if n not in gone}
    parts = ([base] if base else []) + [reports[n].value for n in folding]
    new_base = _sum_reports(parts) if parts else None
    total = _sum_reports(([new_base] if new_base else []) + list(live.values()))
    learned = Learned(
        included={name: report["sequence"] for name, report in sorted(live.items())},
        estimates=total["estimates"],
        evidence=total["evidence"],
        folded=(folded + folding)[-FOLDED_KEPT:],
    )
    if new_base:
        learned["base"] = new_base
    return learned


def apply_exposure_limits(context: NodeContext) -> None:
    """Set this node's part of the budgets of ungraded answers."""
    names = sorted(member.name for member in context.membership.live)
    rank = names.index(context.membership.own.name)
    limits = {}
    for model in context.catalog.names("rollout"):
        record = context.catalog.record("rollout", model)
        if record["state"] in ("running", "paused"):
            budget = record["ungraded_budget"]
            limits[record["candidate"]] = split_budget(budget, len(names), rank)
    context.exposure.set_limits(limits)


def book_of(learned: Learned) -> EvidenceBook:
    """Return the summed tallies as a book."""
    book = EvidenceBook()
    for version, evidence in learned["evidence"].items():
        book.merge(version, evidence)
    return book


def _sum_reports(parts: list[Any]) -> dict[str, Any]:
    book = EvidenceBook()
    for part in parts:
        for version, evidence in part["evidence"].items():
            book.merge(version, evidence)
    return {
        "estimates": sum_estimates(part["estimates"] for part in parts),
        "evidence": {v: book.export(v) for v in book.versions()},
    }
