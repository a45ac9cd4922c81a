import random

import pytest

from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock
from lentilshore_kernel.types import Address, StoreRevision
from lentilshore_node.state.fleet_view import FleetView
from lentilshore_node.state.replica_record import ReplicaRecord
from lentilshore_routing.placement import Placement
from lentilshore_routing.replicas import Replica
from lentilshore_routing.rollout_record import Rollout, RolloutState
from lentilshore_routing.routes import CallerLimits, RouteTable

VANISHED_GRACE_S = 1.5


def table(version):
    return RouteTable(version, [], {}, CallerLimits())


def record(identity="i-1", version="v1", draining=False, started_ms=0, port=80):
    replica = Replica(
        f"{identity}.{started_ms}",
        "forward",
        Address("10.0.0.1", port),
        "dc",
        (f"pool@{version}",),
        draining,
        identity,
    )
    return ReplicaRecord(identity, started_ms, "pool", version, replica)


def rollout(state, revision=5, era=0, candidate="v2", stage=0):
    stored_at = StoreRevision(era, revision)
    return Rollout("pool", candidate, 20.0, state, stage, 0.0, {}, stored_at, "pool")


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def view(clock):
    return FleetView(
        clock,
        Placement("n", clock, random.Random(1)),
        VANISHED_GRACE_S,
        ServedMetrics(),
    )


def test_an_older_configuration_is_ignored(view):
    assert view.update_table(table(5))
    assert not view.update_table(table(4))
    assert not view.update_table(table(5))
    assert view.table.version == 5


def test_confirmed_age_counts_from_the_start_of_the_read(view, clock):
    assert view.confirmed_age_s == float("inf")
    read_started_at = clock.monotonic()
    clock.advance(1.0)
    view.update_table(table(5))
    view.confirm_table(5, read_started_at)
    assert view.confirmed_age_s == 1.0
    view.confirm_table(5, read_started_at - 3.0)
    assert view.confirmed_age_s == 1.0


def test_a_draining_replica_is_not_usable(view):
    view.replace_replicas([record()])
    assert view.usable("i-1.0")
    view.update_replica(record(draining=True))
    assert not view.usable("i-1.0")
    assert view.version_counts("pool") == {}


def test_a_vanished_replica_stays_usable_for_the_grace_period(view, clock):
    view.replace_replicas([record(), record("i-2")])
    view.remove_replica("i-1")
    clock.advance(VANISHED_GRACE_S - 0.1)
    view.expire_vanished_replicas()
    assert view.usable("i-1.0")
    clock.advance(0.2)
    view.expire_vanished_replicas()
    assert not view.usable("i-1.0")


def test_a_vanished_replica_that_returns_stays_usable(view, clock):
    view.replace_replicas([record(), record("i-2")])
    view.replace_replicas([record("i-2")])
    clock.advance(1.0)
    view.update_replica(record())
    clock.advance(VANISHED_GRACE_S)
    view.expire_vanished_replicas()
    assert view.usable("i-1.0")


def test_a_draining_replica_that_vanishes_is_removed_at_once(view):
    view.replace_replicas([record(draining=True)])
    view.remove_replica("i-1")
    assert not view.usable("i-1.0")


def test_a_restarted_replica_replaces_its_predecessor(view):
    view.replace_replicas([record(started_ms=1)])
    view.update_replica(record(started_ms=2))
    assert not view.usable("i-1.1")
    assert view.usable("i-1.2")


@pytest.mark.parametrize(
    ("state", "usable"),
    [
        (None, {"i-1.0"}),
        (RolloutState.RUNNING, {"i-1.0", "i-2.0"}),
        (RolloutState.ROLLED_BACK, {"i-1.0"}),
        (RolloutState.COMPLETED, {"i-2.0"}),
    ],
)
def test_roll_out_state_decides_which_replicas_are_usable(view, state, usable):
    view.replace_rollouts([rollout(state)])
    view.replace_replicas([record(), record("i-2", "v2")])
    names = ("i-1.0", "i-2.0")
    assert {name for name in names if view.usable(name)} == usable


def test_an_older_roll_out_record_is_ignored(view):
    view.update_rollout(rollout(RolloutState.ROLLED_BACK, 9))
    view.update_rollout(rollout(RolloutState.RUNNING, 8))
    assert view.rollouts["pool"].state is RolloutState.ROLLED_BACK


def test_a_roll_out_missing_from_the_list_is_removed(view):
    view.update_rollout(rollout(RolloutState.RUNNING))
    view.replace_rollouts([])
    assert not view.rollouts
