"""Totals of bills, and compaction of old bill segments into accounts."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import TypedDict

from lentilshore_kernel.exceptions import StoreConflictError

from .bills import Bill, bills_from_text, prefer_final
from .leases import LeaseManager
from .ledger import SEGMENT_PREFIX
from .store import ObjectStore, StoredObject

ACCOUNT_PREFIX = "accounts/"


class Total(TypedDict):
    """Sum of bills.

    :param requests: number of billed requests.
    :param input_tokens: number of prompt tokens.
    :param output_tokens: number of answer tokens.
    :param cost: price in micro-units of money.
    """

    requests: int
    input_tokens: int
    output_tokens: int
    cost: float


class AccountRecord(TypedDict):
    """Compacted bills of one incarnation.

    :param covered: ranges of the sequence numbers of the bills in the totals, first and
        last number included.
    :param customers: totals by customer.
    :param upstreams: totals by upstream.
    :param fencing: fencing token of the writer's lease.
    """

    covered: list[list[int]]
    customers: dict[str, Total]
    upstreams: dict[str, Total]
    fencing: int


class AccountTotals(TypedDict):
    """Totals over all incarnations, by customer and by upstream."""

    customers: dict[str, Total]
    upstreams: dict[str, Total]


async def read_totals(store: ObjectStore) -> AccountTotals:
    """Return the totals of all bills in the store, with each bill counted once.

    :param store: the object store.
    :raises StoreUnavailableError: if the store cannot be reached.
    """
    totals = AccountTotals(customers={}, upstreams={})
    segments = _group_by_incarnation(await store.list(SEGMENT_PREFIX))
    accounts = {
        stored.key[len(ACCOUNT_PREFIX) :]: stored.value
        for stored in await store.list(ACCOUNT_PREFIX)
    }
    for incarnation in sorted(segments.keys() | accounts.keys()):
        account = accounts.get(incarnation, _empty_account())
        _add_totals(totals["customers"], account["customers"])
        _add_totals(totals["upstreams"], account["upstreams"])
        bills = _uncovered_bills(segments.get(incarnation, []), account)
        _add_bills(totals["customers"], totals["upstreams"], bills)
    return totals


async def compact_bills(
    store: ObjectStore, lease: LeaseManager, incarnation: str
) -> int:
    """Add the bill segments of a stopped incarnation to its account and delete them.

    A crash between the two steps leaves segments whose bills the account already
    covers. Readers skip them, and the next compaction deletes them.

    :param store: the object store.
    :param lease: the leader's lease, checked before each write.
    :param incarnation: incarnation whose segments are compacted.
    :returns: number of segments deleted.
    :raises LeaseLostError: if the lease has expired.
    :raises StoreError: if the store fails; call again.
    """
    key = f"{ACCOUNT_PREFIX}{incarnation}"
    stored = await store.get(key)
    account: AccountRecord = stored.value if stored else _empty_account()
    segments = await store.list(f"{SEGMENT_PREFIX}{incarnation}/")
    bills = _uncovered_bills(segments, account)
    fencing = lease.check()
    # A higher fencing token in the account is that of a later holder of the lease.
    if fencing < account["fencing"]:
        return 0
    if bills:
        record = _add_to_account(account, bills, fencing)
        await store.put(key, record, stored.version if stored else 0)
    deleted = 0
    for segment in segments:
        lease.check()
        try:
            await store.delete(segment.key, segment.version)
        except StoreConflictError:
            continue
        deleted += 1
    return deleted


def _add_to_account(
    account: AccountRecord, bills: list[Bill], fencing: int
) -> AccountRecord:
    customers = {name: Total(**total) for name, total in account["customers"].items()}
    upstreams = {name: Total(**total) for name, total in account["upstreams"].items()}
    _add_bills(customers, upstreams, bills)
    sequences = {n for low, high in account["covered"] for n in range(low, high + 1)}
    sequences.update(bill.sequence for bill in bills)
    return AccountRecord(
        covered=_to_covered_ranges(sequences),
        customers=customers,
        upstreams=upstreams,
        fencing=fencing,
    )


def _uncovered_bills(
    segments: list[StoredObject], account: AccountRecord
) -> list[Bill]:
    bills: dict[int, Bill] = {}
    for segment in segments:
        for bill in bills_from_text(segment.value["bills"]):
            if not _covers(account["covered"], bill.sequence):
                bills[bill.sequence] = prefer_final(bills.get(bill.sequence), bill)
    return list(bills.values())


def _covers(ranges: list[list[int]], sequence: int) -> bool:
    return any(low <= sequence <= high for low, high in ranges)


def _to_covered_ranges(sequences: Iterable[int]) -> list[list[int]]:
    ranges: list[list[int]] = []
    for sequence in sorted(sequences):
        if ranges and ranges[-1][1] == sequence - 1:
            ranges[-1][1] = sequence
        else:
            ranges.append([sequence, sequence])
    return ranges


def _group_by_incarnation(
    segments: list[StoredObject],
) -> dict[str, list[StoredObject]]:
    groups: dict[str, list[StoredObject]] = defaultdict(list)
    for segment in segments:
        groups[segment.value["incarnation"]].append(segment)
    return groups


def _add_bills(
    customers: dict[str, Total], upstreams: dict[str, Total], bills: Iterable[Bill]
) -> None:
    for bill in bills:
        customer = customers.setdefault(bill.customer, _empty_total())
        customer["requests"] += 1
        for line in bill.lines:
            upstream = upstreams.setdefault(line.upstream, _empty_total())
            upstream["requests"] += 1
            for total in (customer, upstream):
                total["input_tokens"] += line.input_tokens
                total["output_tokens"] += line.output_tokens
                total["cost"] += line.cost


def _add_totals(into: dict[str, Total], totals: dict[str, Total]) -> None:
    for name, total in totals.items():
        known = into.setdefault(name, _empty_total())
        known["requests"] += total["requests"]
        known["input_tokens"] += total["input_tokens"]
        known["output_tokens"] += total["output_tokens"]
        known["cost"] += total["cost"]


def _empty_total() -> Total:
    return Total(requests=0, input_tokens=0, output_tokens=0, cost=0.0)


def _empty_account() -> AccountRecord:
    return AccountRecord(covered=[], customers={}, upstreams={}, fencing=0)
