from functools import partial

import anyio
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lentilshore_fleet import (
    Bill,
    BillCopyHolder,
    BillLine,
    Change,
    ClaimStore,
    ConfigurationStore,
    ConfigurationView,
    LeaseManager,
    Ledger,
    Member,
    Membership,
    MemberState,
    Replay,
    Snapshot,
    compact_bills,
    read_totals,
)
from lentilshore_fleet.leases import LEASE_DURATION_S, LEASE_MARGIN_S
from lentilshore_kernel.exceptions import (
    LeaseLostError,
    PeerUnavailableError,
    RefusalError,
    RevisionConflictError,
    StoreError,
)
from lentilshore_kernel.testing import FakeClock, run_with_clock
from lentilshore_kernel.types import Address, Execution, Incarnation, RefusalReason
from lentilshore_routing.quota_shares import NodeReport, ShareTable, allocate
from lentilshore_standins import Fault, FaultKind, MemoryObjectStore

PUT_FAULTS = (FaultKind.REFUSE, FaultKind.LOSE_ANSWER, FaultKind.STALL)


def make_store():
    clock = FakeClock()
    return clock, MemoryObjectStore(clock)


@pytest.mark.parametrize("kind", PUT_FAULTS)
def test_change_is_applied_once_despite_write_faults(kind):
    clock, store = make_store()
    store.faults.add(Fault(kind, "put", "config/head", seconds=3.0))
    configuration = ConfigurationStore(store, clock)
    change = Change("c1", 0, {"model/m": 1})

    async def run():
        try:
            return await configuration.change(change)
        except StoreError:
            return await configuration.change(change)

    assert run_with_clock(clock, run) == 1
    assert run_with_clock(clock, partial(configuration.change, change)) == 1
    assert store.objects["config/head"].value["revision"] == 1


def test_concurrent_change_raises_conflict_with_current_revision():
    clock, store = make_store()
    configuration = ConfigurationStore(store, clock)

    async def run():
        await configuration.change(Change("a", 0, {"model/m": 1}))
        await configuration.change(Change("b", 0, {"model/m": 2}))

    with pytest.raises(BaseExceptionGroup) as caught:
        run_with_clock(clock, run)
    found = caught.value.split(RevisionConflictError)[0].exceptions[0]
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    assert (found.expected, found.current) == (0, 1)


def test_large_configuration_is_split_and_read_whole():
    clock, store = make_store()
    configuration = ConfigurationStore(store, clock)
    records = {f"customer/c{n}": "x" * 2_000 for n in range(900)}

    async def run():
        await configuration.change(Change("a", 0, records))
        await configuration.change(Change("b", 1, {"model/m": 1}))
        return await configuration.read(Snapshot(0, {}))

    snapshot = run_with_clock(clock, run)
    assert snapshot.revision == 2
    assert snapshot.entries == records | {"model/m": 1}
    assert sum(key.startswith("config/part/") for key in store.objects) > 1


@pytest.mark.parametrize(
    ("state", "body", "expected"),
    [
        ("done", b"x", "replay"),
        ("dispatching", b"x", RefusalReason.OUTCOME_UNKNOWN),
        ("done", b"y", RefusalReason.IDEMPOTENCY_KEY_REUSED),
        ("abandoned", b"x", "claim"),
    ],
)
def test_second_use_of_an_idempotency_key(state, body, expected):
    clock, store = make_store()
    claims = ClaimStore(store, clock)

    async def run():
        claim = await claims.acquire("c", "k", b"x", "attempt-1")
        if state == "done":
            await claims.complete(claim, {"answer": 1}, 10)
        if state == "abandoned":
            await claims.abandon(claim)
        try:
            second = await claims.acquire("c", "k", body, "attempt-2")
        except RefusalError as error:
            return error.reason
        return "replay" if isinstance(second, Replay) else "claim"

    assert run_with_clock(clock, run) == expected


def test_who_loses_a_claim_that_is_taken_over_is_not_told_that_it_did_not_run():
    """Two attempts find an abandoned claim; the one that took it over may run."""
    clock, store = make_store()
    claims = ClaimStore(store, clock)
    put = store.put

    async def run():
        claim = await claims.acquire("c", "k", b"x", "attempt-1")
        await claims.abandon(claim)

        async def put_after_another(key, value, version):
            store.put = put
            await claims.acquire("c", "k", b"x", "attempt-2")
            return await put(key, value, version)

        # The first write of an attempt fails, as another claim stands there already.
        calls = iter([put, put_after_another])

        async def choose(key, value, version):
            return await next(calls)(key, value, version)

        store.put = choose
        with pytest.raises(RefusalError) as caught:
            await claims.acquire("c", "k", b"x", "attempt-3")
        return caught.value

    refusal = run_with_clock(clock, run)
    assert refusal.reason is RefusalReason.OUTCOME_UNKNOWN
    assert refusal.execution is Execution.UNKNOWN


def test_copies_accepted_while_others_are_written_are_written_too():
    clock, store = make_store()
    holder = BillCopyHolder(Incarnation("n2", 1), store, clock)
    owner = str(Incarnation("n1", 1))
    bills = [make_bill(sequence) for sequence in (1, 2)]
    holder.accept(owner, bills[:1], 0)
    put = store.put

    async def accept_and_put(key, value, version):
        store.put = put
        holder.accept(owner, bills[1:], 0)
        return await put(key, value, version)

    store.put = accept_and_put
    assert run_with_clock(clock, holder.write_to_store, owner)
    segments = [key for key in store.objects if owner in key]
    assert len(segments) == 2
    assert holder.owners == []


@pytest.mark.parametrize("kind", PUT_FAULTS)
def test_claim_is_granted_at_most_once_despite_write_faults(kind):
    clock, store = make_store()
    store.faults.add(Fault(kind, "put", "claims/", seconds=3.0))
    claims = ClaimStore(store, clock)
    granted = []

    async def acquire(attempt):
        try:
            granted.append(await claims.acquire("c", "k", b"x", attempt))
        except RefusalError as error:
            assert error.execution in (Execution.NOT_RUN, Execution.UNKNOWN)

    async def run():
        async with anyio.create_task_group() as group:
            group.start_soon(acquire, "a")
            group.start_soon(acquire, "b")

    run_with_clock(clock, run)
    assert len(granted) <= 1


def test_paused_holder_detects_that_its_lease_has_expired():
    clock, store = make_store()
    first = LeaseManager(store, clock, "leases/x", "a.1")
    second = LeaseManager(store, clock, "leases/x", "b.1")

    async def run():
        assert await first.try_acquire()
        assert not await second.try_acquire()
        clock.advance(LEASE_DURATION_S + LEASE_MARGIN_S)
        assert await second.try_acquire()
        with pytest.raises(LeaseLostError):
            first.check()
        return first.fencing_token, second.fencing_token

    assert run_with_clock(clock, run) == (1, 2)


class UnavailableBillCopier:
    async def copy(self, owner, bills, watermark):
        raise PeerUnavailableError("none")

    def enqueue(self, owner, bill, watermark):
        return


def make_bill(sequence):
    line = BillLine("m@1", "e1", 10, 5, 20.0, "served")
    return Bill(sequence, f"r{sequence}", "archive", True, (line,))


def test_compaction_counts_each_bill_once_even_if_interrupted():
    clock, store = make_store()
    ledger = Ledger(Incarnation("a", 1), store, clock, UnavailableBillCopier())
    lease = LeaseManager(store, clock, "leases/leader", "b.1")
    store.faults.add(Fault(FaultKind.REFUSE, "delete", "bills/"))

    async def run():
        for _ in range(5):
            assert await ledger.close(make_bill(ledger.open()))
        await lease.try_acquire()
        with pytest.raises(StoreError):
            await compact_bills(store, lease, "a.1")
        between = await read_totals(store)
        await compact_bills(store, lease, "a.1")
        return between, await read_totals(store)

    between, after = run_with_clock(clock, run)
    assert between == after
    assert after["customers"]["archive"]["requests"] == 5
    assert not [key for key in store.objects if key.startswith("bills/")]


def make_member(name, number=1, state=MemberState.ALIVE, refutation=0):
    address = Address("127.0.0.1", 1)
    return Member(Incarnation(name, number), "dc-1", address, state, refutation)


@pytest.mark.parametrize(
    ("record", "known", "newer"),
    [
        (make_member("a", 2), make_member("a", 1, MemberState.DEAD), True),
        (make_member("a", 1), make_member("a", 2), False),
        (make_member("a", 1, MemberState.SUSPECT), make_member("a"), True),
        (
            make_member("a", refutation=1),
            make_member("a", state=MemberState.DEAD),
            True,
        ),
        (
            make_member("a", refutation=9),
            make_member("a", state=MemberState.LEFT),
            False,
        ),
    ],
)
def test_newer_member_record_supersedes(record, known, newer):
    assert record.supersedes(known) is newer


def test_paused_node_suspects_no_member_on_resuming():
    clock = FakeClock()
    membership = Membership(make_member("own"), clock)
    membership.merge([make_member("other")])
    membership.detect_failures(["other"])
    clock.advance(60.0)
    assert membership.detect_failures(["other"]) == []


def test_link_count_stays_small_in_a_large_fleet():
    membership = Membership(make_member("n0"), FakeClock())
    membership.merge(make_member(f"n{index}") for index in range(340))
    assert len(membership.link_targets()) <= 9


class ShareMachine(RuleBasedStateMachine):
    """Nodes join, go, report late and ask for more; parts never sum above one."""

    def __init__(self):
        super().__init__()
        self.table = ShareTable(version=0, grants={})
        self.using = {}
        self.confirmed = {}
        self.demand = {}

    @rule(name=st.sampled_from("abcdefg"), demand=st.floats(0, 1e6))
    def report(self, name, demand):
        grants = self.table["grants"].get("c") or self.table["grants"].get("*", {})
        self.using[name] = grants[name]["granted"] if name in grants else 0.0
        self.confirmed[name] = self.table["version"]
        self.demand[name] = demand

    @rule()
    def lead(self):
        reports = {
            name: NodeReport(self.confirmed[name], {"c": demand})
            for name, demand in self.demand.items()
        }
        self.table = allocate(self.table, reports, ())

    @rule(name=st.sampled_from("abcdefg"))
    def go(self, name):
        self.using.pop(name, None)
        self.demand.pop(name, None)
        self.table = allocate(self.table, {}, (name,))

    @invariant()
    def never_above_one(self):
        assert sum(self.using.values()) <= 1.0 + 1e-9


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators race with lost answers; a view follows with stale reads."""

    def __init__(self):
        super().__init__()
        self.clock, self.store = make_store()
        self.writer = ConfigurationStore(self.store, self.clock)
        self.view = ConfigurationView(self.clock)
        self.made = {}
        self.number = 0

    @rule(lag=st.integers(0, 2), kind=st.sampled_from([None, *PUT_FAULTS]))
    def change(self, lag, kind):
        self.number += 1
        name = f"c{self.number}"
        if kind:
            self.store.faults.add(Fault(kind, "put", "config/head", seconds=1.0))
        head = self.store.objects.get("config/head")
        revision = head.value["revision"] if head else 0
        change = Change(name, max(0, revision - lag), {f"model/{name}": self.number})

        async def run():
            try:
                return await self.writer.change(change)
            except (StoreError, RevisionConflictError):
                return None

        made = run_with_clock(self.clock, run)
        self.store.faults.clear()
        if made:
            self.made[name] = made

    @rule(stale=st.booleans())
    def follow(self, stale):
        if stale:
            self.store.faults.add(Fault(FaultKind.STALE, "get", "config/head"))
        before = self.view.revision
        read = partial(self.writer.read, self.view.snapshot)
        self.view.adopt(run_with_clock(self.clock, read))
        self.store.faults.clear()
        assert self.view.revision >= before

    @invariant()
    def accepted_changes_are_kept(self):
        head = self.store.objects.get("config/head")
        changes = head.value["changes"] if head else {}
        assert all(changes.get(name) == made for name, made in self.made.items())
        assert len(set(self.made.values())) == len(self.made)


STATEFUL_SETTINGS = settings(
    max_examples=25,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    database=None,
)
TestShareMachine = ShareMachine.TestCase
TestShareMachine.settings = STATEFUL_SETTINGS
TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = STATEFUL_SETTINGS
