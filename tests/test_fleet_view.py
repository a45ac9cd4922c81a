import random

import pytest

from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock
from lentilshore_kernel.types import Address
from lentilshore_node.fleet_view import FleetView, ReplicaRecord
from lentilshore_routing.placement import Placement, Replica
from lentilshore_routing.rollout_record import Rollout, RolloutState
from lentilshore_routing.routes import CallerLimits, RouteTable

VANISHED_S = 1.5


def table(version):
    return RouteTable(version, [], {}, CallerLimits())


def record(identity="i-1", version="v1", leaving=False, born=0, port=80):
    replica = Replica(
        f"{identity}.{born}",
        "forward",
        Address("10.0.0.1", port),
        "dc",
        (f"pool@{version}",),
        leaving,
        identity,
    )
    return ReplicaRecord(identity, born, "pool", version, replica)


def rollout(state, revision=5):
    return Rollout("pool", "v2", 20.0, state, 0, 0.0, {}, revision, "pool")


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def view(clock):
    return FleetView(
        clock, Placement("n", clock, random.Random(1)), VANISHED_S, ServedMetrics()
    )


def test_a_configuration_never_goes_back(view):
    assert view.update_table(table(5))
    assert not view.update_table(table(4))
    assert not view.update_table(table(5))
    assert view.table.version == 5


def test_a_proof_ages_from_when_the_read_began(view, clock):
    assert view.confirmed_age_s == float("inf")
    asked_at = clock.monotonic()
    clock.advance(1.0)
    view.confirm(asked_at)
    assert view.confirmed_age_s == 1.0
    view.confirm(asked_at - 3.0)
    assert view.confirmed_age_s == 1.0


def test_a_leaving_replica_gets_nothing(view):
    view.replace_replicas([record()])
    assert view.usable("i-1.0")
    view.update_replica(record(leaving=True))
    assert not view.usable("i-1.0")
    assert view.versions("pool") == {}


def test_a_vanished_replica_is_used_a_little_longer(view, clock):
    view.replace_replicas([record(), record("i-2")])
    view.remove_replica("i-1")
    clock.advance(VANISHED_S - 0.1)
    view.expire()
    assert view.usable("i-1.0")
    clock.advance(0.2)
    view.expire()
    assert not view.usable("i-1.0")


def test_a_vanished_replica_that_comes_back_stays(view, clock):
    view.replace_replicas([record(), record("i-2")])
    view.replace_replicas([record("i-2")])
    clock.advance(1.0)
    view.update_replica(record())
    clock.advance(VANISHED_S)
    view.expire()
    assert view.usable("i-1.0")


def test_a_leaving_replica_that_vanishes_is_gone_at_once(view):
    view.replace_replicas([record(leaving=True)])
    view.remove_replica("i-1")
    assert not view.usable("i-1.0")


def test_a_replica_born_again_is_another(view):
    view.replace_replicas([record(born=1)])
    view.update_replica(record(born=2))
    assert not view.usable("i-1.1")
    assert view.usable("i-1.2")


@pytest.mark.parametrize(
    ("state", "used"),
    [
        (None, {"i-1.0"}),
        (RolloutState.RUNNING, {"i-1.0", "i-2.0"}),
        (RolloutState.ROLLED_BACK, {"i-1.0"}),
        (RolloutState.COMPLETED, {"i-2.0"}),
    ],
)
def test_a_roll_out_says_which_replicas_may_be_used(view, state, used):
    view.replace_rollouts([rollout(state)])
    view.replace_replicas([record(), record("i-2", "v2")])
    names = ("i-1.0", "i-2.0")
    assert {name for name in names if view.usable(name)} == used


def test_an_older_roll_out_record_changes_nothing(view):
    view.update_rollout(rollout(RolloutState.ROLLED_BACK, 9))
    view.update_rollout(rollout(RolloutState.RUNNING, 8))
    assert view.rollouts["pool"].state is RolloutState.ROLLED_BACK


def test_a_removed_order_ends_the_roll_out(view):
    view.update_rollout(rollout(RolloutState.RUNNING))
    view.replace_rollouts([])
    assert not view.rollouts
