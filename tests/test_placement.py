import random

import pytest

from lentilshore_kernel.testing import FakeClock
from lentilshore_kernel.types import Address
from lentilshore_routing.placement import UNREACHABLE_EJECTION_S, Placement, Replica


@pytest.fixture
def clock():
    return FakeClock()


def create(clock, names=("a", "b"), data_centre=""):
    placement = Placement("n", clock, random.Random(1), data_centre)
    placement.update(
        Replica(name, "forward", Address("10.0.0.1", 1), f"dc-{name}", ("g",))
        for name in names
    )
    return placement


def take(placement, name, excluded=()):
    """Take a place at one replica by name."""
    others = [other for other in "ab" if other != name]
    lease = placement.choose("g", 1.0, excluded=[*others, *excluded])
    assert lease.replica.name == name
    return lease


def chosen(placement, count=40):
    leases = [placement.choose("g", 1.0) for _ in range(count)]
    names = {lease.replica.name for lease in leases}
    for lease in leases:
        placement.release(lease, False)
    return names


def test_an_unreachable_replica_rests(clock):
    placement = create(clock)
    placement.release(take(placement, "a"), True, unreachable=True)
    assert chosen(placement) == {"b"}
    clock.advance(UNREACHABLE_EJECTION_S + 0.1)
    assert chosen(placement) == {"a", "b"}


def test_a_silent_request_at_a_replica_that_answers_others_is_no_reason(clock):
    placement = create(clock)
    silent = take(placement, "a")
    clock.advance(0.5)
    placement.record_answer("a")
    clock.advance(0.5)
    placement.release(silent, True, unreachable=True)
    assert chosen(placement) == {"a", "b"}


def test_where_every_replica_is_unreachable_all_are_tried(clock):
    placement = create(clock)
    for name in "ab":
        placement.release(take(placement, name), True, unreachable=True)
    assert chosen(placement) == {"a", "b"}


def test_a_replica_of_the_own_data_centre_is_preferred_when_loads_are_alike(clock):
    placement = create(clock, data_centre="dc-b")
    lease = placement.choose("g", 10.0)
    assert lease.replica.name == "b"
    assert placement.choose("g", 10.0).replica.name == "a"
