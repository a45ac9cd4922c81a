import random

import pytest

from lentilshore_kernel.testing import FakeClock
from lentilshore_kernel.types import Address
from lentilshore_routing.placement import (
    EJECTION_CONSECUTIVE_FAILURES,
    UNREACHABLE_EJECTION_S,
    Placement,
)
from lentilshore_routing.replicas import Replica


@pytest.fixture
def clock():
    return FakeClock()


def create_placement(clock, names=("a", "b"), data_centre="", seed=1):
    placement = Placement("n", clock, random.Random(seed), data_centre)
    placement.update(
        Replica(name, "forward", Address("10.0.0.1", 1), f"dc-{name}", ("g",))
        for name in names
    )
    return placement


def take_lease(placement, name, excluded=()):
    """Return a lease at the replica of the given name."""
    others = [other for other in "ab" if other != name]
    lease = placement.choose("g", 1.0, excluded=[*others, *excluded])
    assert lease.replica.name == name
    return lease


def chosen_replicas(placement, count=40):
    leases = [placement.choose("g", 1.0) for _ in range(count)]
    names = {lease.replica.name for lease in leases}
    for lease in leases:
        placement.release(lease, False)
    return names


def test_an_unreachable_replica_is_ejected(clock):
    placement = create_placement(clock)
    placement.release(take_lease(placement, "a"), True, unreachable=True)
    assert chosen_replicas(placement) == {"b"}
    clock.advance(UNREACHABLE_EJECTION_S + 0.1)
    assert chosen_replicas(placement) == {"a", "b"}


def test_a_replica_that_answers_other_requests_is_not_ejected_for_a_timeout(clock):
    placement = create_placement(clock)
    timed_out = take_lease(placement, "a")
    clock.advance(0.5)
    placement.record_answer("a")
    clock.advance(0.5)
    placement.release(timed_out, True, unreachable=True)
    assert chosen_replicas(placement) == {"a", "b"}


def test_a_replica_that_is_no_longer_listed_is_known_while_it_serves(clock):
    placement = create_placement(clock)
    lease, others = take_lease(placement, "a"), placement._groups["g"].replicas[1:]
    placement.update(others)
    placement.record_answer("a")
    assert placement.in_flight("a") == 1
    assert placement.answered_within("a", 0.1)
    assert chosen_replicas(placement) == {"b"}
    placement.release(lease, False)
    placement.update(others)
    assert "a" not in placement._states


def test_nodes_that_know_nothing_of_each_other_send_a_prefix_to_one_replica(clock):
    """Each of many nodes sees a prefix once; the replicas still get it cached."""
    names = [f"r{number:02d}" for number in range(40)]
    chosen = set()
    for seed in range(30):
        placement = create_placement(clock, names, seed=seed)
        chosen.add(placement.choose("g", 10.0, "model/subject-7").replica.name)
    assert len(chosen) == 1


def test_different_prefixes_are_spread_over_the_replicas(clock):
    names = [f"r{number:02d}" for number in range(40)]
    placement = create_placement(clock, names)
    chosen = {
        placement.choose("g", 10.0, f"model/subject-{number}").replica.name
        for number in range(200)
    }
    assert len(chosen) > 30


def test_a_loaded_replica_is_not_preferred_for_its_prefixes(clock):
    placement = create_placement(clock, [f"r{number:02d}" for number in range(40)])
    home = placement.choose("g", 10.0, "model/subject-7").replica.name
    assert placement.choose("g", 10.0, "model/subject-7").replica.name == home
    assert placement.choose("g", 10.0, "model/subject-7").replica.name != home


def test_the_next_replica_on_the_ring_replaces_one_that_is_ejected(clock):
    names = [f"r{number:02d}" for number in range(40)]
    chosen = set()
    for seed in range(10):
        placement = create_placement(clock, names, seed=seed)
        lease = placement.choose("g", 10.0, "model/subject-7")
        placement.release(lease, True, unreachable=True)
        chosen.add(placement.choose("g", 10.0, "model/subject-7").replica.name)
    assert len(chosen) == 1
    assert lease.replica.name not in chosen


def test_a_timeout_does_not_shorten_the_ejection_for_failures(clock):
    placement = create_placement(clock)
    leases = [take_lease(placement, "a") for _ in range(6)]
    for lease in leases[:EJECTION_CONSECUTIVE_FAILURES]:
        placement.release(lease, True)
    placement.release(leases[-1], True, unreachable=True)
    clock.advance(UNREACHABLE_EJECTION_S + 1.0)
    assert placement.ejected() == ["a"]


def test_all_replicas_are_tried_if_all_are_unreachable(clock):
    placement = create_placement(clock)
    for name in "ab":
        placement.release(take_lease(placement, name), True, unreachable=True)
    assert chosen_replicas(placement) == {"a", "b"}


def test_a_replica_in_the_same_data_centre_is_preferred_at_similar_load(clock):
    placement = create_placement(clock, data_centre="dc-b")
    lease = placement.choose("g", 10.0)
    assert lease.replica.name == "b"
    assert placement.choose("g", 10.0).replica.name == "a"


def test_a_replica_that_returns_takes_its_share_at_once(clock):
    """Two of three replicas were lost; the third is loaded when they come back."""
    placement = create_placement(clock, ["a"])
    leases = [placement.choose("g", 10.0) for _ in range(6)]
    placement.update(
        Replica(name, "forward", Address("10.0.0.1", 1), "dc", ("g",)) for name in "abc"
    )
    chosen = [placement.choose("g", 10.0).replica.name for _ in range(10)]
    assert len(leases) == 6
    assert "a" not in chosen
