"""A store restored from a copy: what the gateway keeps, drops and writes again."""

import random
from unittest.mock import patch

import anyio
import pytest

from lentilshore_kernel.exceptions import StoreAmbiguousError, StoreUnavailableError
from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock, run_with_clock
from lentilshore_kernel.types import Address, StoreRevision
from lentilshore_node.clients.http_client import HttpAnswer
from lentilshore_node.programs.gateway_assembly import create_gateway
from lentilshore_node.state.fleet_view import RESTORED_REPLICA_GRACE_S, FleetView
from lentilshore_node.state.fleet_view_updater import FleetViewUpdater
from lentilshore_node.state.rollout_controller import RolloutController
from lentilshore_node.state.rollout_progress import KEPT_ROLLOUT_S, RolloutProgress
from lentilshore_platform.store import ObjectStoreSource, StoreClient
from lentilshore_routing.placement import Placement
from lentilshore_routing.rollout_record import RolloutState
from tests.store_standin import StoreStandin
from tests.test_fleet_view import record, rollout, table
from tests.test_fleet_view_updater import BOUNDS
from tests.test_platform_adapter import SERVER_SPEC, running_rollout

ADDRESS = Address("10.0.0.9", 90)
ORDER = {"service": "pool", "target": "v2", "duration_s": 1000}


class Harness:
    """A gateway's view that follows a store, with its roll-out controller."""

    def __init__(self):
        self.clock = FakeClock()
        self.store = StoreStandin(self.clock)
        self.store.put("config", "main", {"version": 5})
        self.store.put("servers", "i-1", SERVER_SPEC)
        self.store.put("servers", "i-2", SERVER_SPEC | {"version": "v2"})
        metrics = ServedMetrics()
        self.context = create_gateway(
            "n1", "dc", BOUNDS, self.clock, random.Random(1), metrics, None, None
        )
        self._source = ObjectStoreSource(StoreClient(self.store, ADDRESS, metrics))
        self.view = self.context.view

    def run(self, steps):
        async def main():
            async with anyio.create_task_group() as group:
                FleetViewUpdater(self.context, self._source).start(group)
                controller = RolloutController(self.context, self._source)
                group.start_soon(controller.run)
                await steps(self)
                group.cancel_scope.cancel()

        run_with_clock(self.clock, main)
        return self

    async def roll_back(self):
        """Order a roll-out, and roll it back as another node would."""
        self.store.put("rollouts", "pool", ORDER)
        await self.clock.sleep(1.0)
        status = {"state": "rolled_back", "target": "v2"}
        stored = self.store._objects["rollouts", "pool"]
        self.store._store("rollouts", "pool", stored["spec"], status)
        await self.clock.sleep(1.0)


def writes_an_ended_roll_out_again():
    """A rollback that the store lost is written again, and exposes nobody meanwhile."""
    exposed = []

    async def steps(harness):
        await harness.clock.sleep(0.5)
        harness.store.put("rollouts", "pool", ORDER)
        backup = harness.store.copy()
        await harness.roll_back()
        harness.store.restore(backup)
        for _ in range(40):
            await harness.clock.sleep(0.1)
            exposed.append(harness.view.usable("i-2"))

    harness = Harness().run(steps)
    status = harness.store.status("rollouts", "pool") or {}
    return status.get("state") == "rolled_back" and not any(exposed)


def ignores_answers_of_an_earlier_era():
    """A configuration read before a restore, answered late, is not believed."""

    class Delayed:
        eras = iter(("3", "2"))

        async def request(self, *args, **kwargs):
            headers = {"store-era": next(self.eras)}
            return HttpAnswer(200, headers, b'{"metadata":{"name":"main"},"spec":{}}')

    async def main():
        client = StoreClient(Delayed(), ADDRESS, ServedMetrics())
        await client.read("/config/main")
        try:
            await client.read("/config/main")
        except StoreUnavailableError:
            return True
        return False

    return anyio.run(main)


def orders_revisions_by_era_first():
    """A record of a new era replaces one whose revision number is greater."""
    view = create_view(FakeClock())
    view.update_rollout(rollout(RolloutState.RUNNING, 90, 1))
    view.update_rollout(rollout(RolloutState.ROLLED_BACK, 8, 2))
    return view.rollouts["pool"].state is RolloutState.ROLLED_BACK


def proves_no_key_by_an_older_configuration():
    """A configuration older than the one in force does not renew the proof of keys."""

    async def steps(harness):
        backup = harness.store.copy()
        await harness.clock.sleep(1.0)
        harness.store.put("config", "main", {"version": 7})
        await harness.clock.sleep(2.0)
        harness.store.restore(backup)
        await harness.clock.sleep(4.0)

    view = Harness().run(steps).view
    return view.table.version == 7 and view.confirmed_age_s > 3.0


GUARANTEES = [
    writes_an_ended_roll_out_again,
    ignores_answers_of_an_earlier_era,
    orders_revisions_by_era_first,
    proves_no_key_by_an_older_configuration,
]


@pytest.mark.parametrize("guarantee", GUARANTEES)
def test_a_restored_store_breaks_no_guarantee(guarantee):
    assert guarantee()


def _renew_any_proof(self, version, read_started_at):
    self._confirmed_at = read_started_at


MUTANTS = [
    (
        ignores_answers_of_an_earlier_era,
        StoreClient,
        "_update_era",
        lambda self, answer: 0,
    ),
    (
        orders_revisions_by_era_first,
        StoreRevision,
        "__ge__",
        lambda self, other: self.number >= other.number,
    ),
    (
        writes_an_ended_roll_out_again,
        FleetView,
        "has_unwritten_progress",
        lambda self, service: False,
    ),
    (
        writes_an_ended_roll_out_again,
        RolloutProgress,
        "_carry_over",
        lambda self, known, stored: stored,
    ),
    (
        proves_no_key_by_an_older_configuration,
        FleetView,
        "confirm_table",
        _renew_any_proof,
    ),
]


@pytest.mark.parametrize(("guarantee", "target", "name", "replacement"), MUTANTS)
def test_each_mutant_breaks_its_guarantee(guarantee, target, name, replacement):
    with patch.object(target, name, replacement):
        assert not guarantee()


def create_view(clock):
    placement = Placement("n", clock, random.Random(1))
    return FleetView(clock, placement, 1.5, ServedMetrics())


def test_a_write_prepared_in_an_earlier_era_is_not_sent():
    clock = FakeClock()
    store = StoreStandin(clock)

    async def main():
        source = ObjectStoreSource(StoreClient(store, ADDRESS, ServedMetrics()))
        store.put("rollouts", "pool", ORDER)
        await source.rollouts.list()
        store.era = 2
        await source.rollouts.list()
        stale = running_rollout()._replace(revision=StoreRevision(1, store.revision))
        with pytest.raises(StoreUnavailableError):
            await source.write_rollout(stale)

    run_with_clock(clock, main)
    assert store.writes == []


def test_a_write_answered_in_an_earlier_era_may_be_lost():
    class Store:
        def __init__(self):
            self._eras = iter(("3", "2"))

        async def request(self, *args, **kwargs):
            return HttpAnswer(200, {"store-era": next(self._eras)}, b"{}")

    async def main():
        client = StoreClient(Store(), ADDRESS, ServedMetrics())
        await client.read("/rollouts")
        with pytest.raises(StoreAmbiguousError):
            await client.write("PUT", "/rollouts/pool/status", {})

    anyio.run(main)


@pytest.mark.parametrize("era", ["", "many", "-1", "9" * 40, "\u0663"])
def test_an_unreadable_era_counts_as_the_newest(era):
    class Store:
        def __init__(self):
            self._eras = iter(("3", era))

        async def request(self, *args, **kwargs):
            return HttpAnswer(200, {"store-era": next(self._eras)}, b"{}")

    async def main():
        client = StoreClient(Store(), ADDRESS, ServedMetrics())
        await client.read("/config/main")
        return (await client.read("/config/main")).era

    assert anyio.run(main) == 3


def test_changes_of_a_new_era_are_listed_and_not_watched():
    async def steps(harness):
        await harness.clock.sleep(1.0)
        backup = harness.store.copy()
        for version in range(6, 20):
            harness.store.put("config", "main", {"version": version})
        await harness.clock.sleep(1.0)
        harness.store.restore(backup)
        harness.store.put("servers", "i-3", SERVER_SPEC)
        await harness.clock.sleep(3.0)

    assert Harness().run(steps).view.usable("i-3")


def test_a_replica_that_a_restored_store_lacks_is_kept_for_two_seconds():
    clock = FakeClock()
    view = create_view(clock)
    view.replace_replicas([record(), record("i-2")], 1)
    view.replace_replicas([record()], 2)
    clock.advance(2.0)
    view.expire_vanished_replicas()
    assert view.usable("i-2.0")
    clock.advance(RESTORED_REPLICA_GRACE_S - 2.0)
    view.expire_vanished_replicas()
    assert not view.usable("i-2.0")


@pytest.mark.parametrize("vanishes", [False, True])
def test_a_replica_that_left_stays_unusable_until_it_registers_again(vanishes):
    view = create_view(FakeClock())
    view.replace_replicas([record(), record("i-2")], 1)
    view.update_replica(record(draining=True))
    if vanishes:
        view.remove_replica("i-1")
    for _ in range(2):
        view.replace_replicas([record(), record("i-2")], 2)
        assert not view.usable("i-1.0")
        assert view.usable("i-2.0")
    view.update_replica(record())
    assert view.usable("i-1.0")


def test_a_restarted_process_does_not_inherit_a_departure():
    view = create_view(FakeClock())
    view.replace_replicas([record(started_ms=1)], 1)
    view.update_replica(record(started_ms=1, draining=True))
    view.replace_replicas([record(started_ms=2)], 2)
    assert view.usable("i-1.2")


@pytest.mark.parametrize("stored", [[], [rollout(None, 3, 2, "v0")]])
def test_a_lost_order_stays_in_force_for_a_while(stored):
    clock = FakeClock()
    view = create_view(clock)
    view.replace_replicas([record(), record("i-2", "v2")], 1)
    view.update_rollout(rollout(RolloutState.ROLLED_BACK, 9, 1))
    view.replace_rollouts(stored, 2)
    assert not view.usable("i-2.0")
    assert not view.has_unwritten_progress("pool")
    clock.advance(KEPT_ROLLOUT_S)
    view.expire_kept_rollouts()
    assert view.usable("i-2.0")
    assert [r.candidate for r in view.rollouts.values()] == ["v0"] * len(stored)


def test_a_lost_order_that_is_given_again_keeps_its_end():
    view = create_view(FakeClock())
    view.update_rollout(rollout(RolloutState.ROLLED_BACK, 9, 1))
    view.replace_rollouts([], 2)
    view.update_rollout(rollout(None, 4, 2))
    assert view.rollouts["pool"].state is RolloutState.ROLLED_BACK
    assert view.has_unwritten_progress("pool")
    # A node that started after the restore knows nothing of the end.
    view.update_rollout(rollout(RolloutState.RUNNING, 5, 2))
    assert view.rollouts["pool"].state is RolloutState.ROLLED_BACK
    assert view.rollouts["pool"].revision == StoreRevision(2, 5)
    view.update_rollout(rollout(RolloutState.ROLLED_BACK, 6, 2))
    assert not view.has_unwritten_progress("pool")


def test_a_new_order_after_a_restore_begins_anew():
    view = create_view(FakeClock())
    view.update_rollout(rollout(RolloutState.ROLLED_BACK, 9, 1))
    view.replace_rollouts([], 2)
    view.update_rollout(rollout(None, 4, 2, "v3"))
    assert view.rollouts["pool"].state is None
    assert view.rollouts["pool"].candidate == "v3"


def test_an_order_removed_in_the_new_era_is_gone():
    view = create_view(FakeClock())
    view.update_rollout(rollout(RolloutState.ROLLED_BACK, 9, 1))
    view.replace_rollouts([], 2)
    view.remove_rollout("pool")
    view.update_rollout(rollout(None, 6, 2))
    assert view.rollouts["pool"].state is None


def test_a_roll_out_missing_from_the_list_frees_its_version():
    view = create_view(FakeClock())
    view.replace_replicas([record(), record("i-2", "v2")])
    view.replace_rollouts([rollout(RolloutState.ROLLED_BACK)])
    assert not view.usable("i-2.0")
    view.replace_rollouts([])
    assert view.usable("i-2.0")


def test_a_configuration_in_force_is_confirmed_by_its_own_version_only():
    clock = FakeClock()
    view = create_view(clock)
    view.update_table(table(5))
    view.confirm_table(4, clock.monotonic())
    assert view.confirmed_age_s == float("inf")
    view.confirm_table(5, clock.monotonic())
    assert view.confirmed_age_s == 0.0
