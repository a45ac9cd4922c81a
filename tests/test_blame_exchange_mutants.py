"""Mutation tests of the exchange: each fault must break one of its guarantees."""

from unittest.mock import patch

import pytest

from lentilshore_kernel.testing import FakeClock
from lentilshore_node.peers import blame_exchange, blame_messages
from lentilshore_node.peers.blame_exchange import PushPace, know, tell
from lentilshore_node.peers.blame_messages import Knowledge, Spread, facts
from lentilshore_routing.crash_blame import CrashBlame
from tests.blame_fleet import prompt
from tests.crash_fleet import World
from tests.test_blame_exchange import create_context
from tests.test_blame_storms import (
    CAUSES_PER_CRASH,
    MAX_BYTES_PER_S,
    QUIET,
    bytes_per_s,
    crash_at_three_gateways,
    share_after,
)


def keeps_the_bound():
    """A storm of very many causes with one crash each is within the bound."""
    world = World(40, QUIET).storm(3 * CAUSES_PER_CRASH, 6).run(6.0)
    return bytes_per_s(world, 6.0) <= MAX_BYTES_PER_S


def tells_at_once():
    """Most gateways blame a cause soon after crashes at three of them."""
    world = World(79, QUIET).run(5.0)
    crash_at_three_gateways(world)
    return share_after(world, 0.3) >= 0.9


def repairs_what_was_missed():
    """Gateways that were cut off learn of blame."""
    world = World(7, QUIET).run(5.0)
    world.cut("g-6", 4.0)
    crash_at_three_gateways(world)
    return share_after(world, 5.0) == 1.0


def stormed(count=40):
    """Return a fleet some seconds after a storm, with no bytes counted."""
    world = World(count, QUIET).storm(CAUSES_PER_CRASH, 4).run(10.0)
    for gateway in world.gateways.values():
        gateway.bytes = 0
    return world


def repairs_at_small_cost():
    """What two gateways know alike is not told again."""
    return bytes_per_s(stormed().run(10.0), 10.0) <= 400


def tells_only_changes():
    """A crash is told without what was known before."""
    world = stormed()
    world.crash("g-0", "bad", "r-0")
    return bytes_per_s(world.run(1.0), 1.0) <= 2_500


def tells_when_a_cause_was_seen():
    """A gateway tells that a blamed cause was seen since, though all else is alike."""
    clock = FakeClock()
    first, second = create_context(clock=clock), create_context(clock=clock)
    for number in range(3):
        first.record_crash(prompt("bad"), f"r{number}", clock.monotonic() - 0.1)
        clock.advance(0.5)
    second.learn_crashes(tell(first), clock.monotonic(), "g0")
    clock.advance(30.0)
    first.blame.blamed_cause(prompt("bad"))
    return bool(know(first).answer(know(second).ask()).news)


def tells_answers():
    """A gateway tells of answers to a cause of several crashes."""
    clock = FakeClock()
    first, second = create_context(clock=clock), create_context(clock=clock)
    for number in range(2):
        first.record_crash(prompt("s"), f"r{number}", clock.monotonic() - 0.1)
        clock.advance(0.5)
    second.learn_crashes(tell(first), clock.monotonic(), "g0")
    first.record_answer(prompt("s"), "q1")
    answer = know(second).answer(know(first).ask())
    return bool(answer.differing)


def spares_the_reborn():
    """Gateways that start again don't pass on what all others know."""
    world = stormed()
    for number in range(10, 30):
        world.kill(f"g-{number}", 0.5)
    return bytes_per_s(world.run(4.0), 4.0) <= 1_900


def all_facts(self, items):
    return {item.cause: facts(item) for item in items}


def crashes_only(item):
    found = {("crash", crash.replica, crash.rank) for crash in item.crashes}
    return frozenset(found)


def tells_all_groups(self, group):
    return 1 + id(self) % 2**31


MUTANTS = {
    "all that is known is told with each change": (
        tells_only_changes,
        patch.object(Spread, "take_changes", all_facts),
    ),
    "changes are not passed on": (
        tells_at_once,
        patch.object(Spread, "take_changes", lambda *_: {}),
    ),
    "calls have no pace": (
        keeps_the_bound,
        patch.multiple(
            PushPace,
            fan_out=lambda *_: blame_exchange.FAN_OUT,
            count=lambda *_: blame_exchange.PUSH_INTERVAL_S,
        ),
    ),
    "differences are not told": (
        repairs_what_was_missed,
        patch.object(Knowledge, "answer", lambda *_: blame_messages.BlameAnswer()),
    ),
    "all groups seem to differ": (
        repairs_at_small_cost,
        patch.object(Knowledge, "_checksum", tells_all_groups),
    ),
    "the time at which a cause was seen is not told": (
        tells_when_a_cause_was_seen,
        patch.object(Knowledge, "_seen_later", lambda *_: set()),
    ),
    "answers are not compared": (
        tells_answers,
        patch.object(blame_messages, "facts", crashes_only),
    ),
    "reborn gateways pass on all that they learn": (
        spares_the_reborn,
        patch.object(Spread, "add", lambda *_: None),
    ),
    "nothing is known": (
        tells_at_once,
        patch.object(CrashBlame, "tell_all", lambda _: []),
    ),
}
GUARANTEES = list(dict.fromkeys(guarantee for guarantee, _ in MUTANTS.values()))


@pytest.mark.parametrize("guarantee", GUARANTEES, ids=lambda g: g.__name__)
def test_the_guarantee_holds_without_a_fault(guarantee):
    assert guarantee()


@pytest.mark.parametrize("name", MUTANTS)
def test_a_fault_breaks_its_guarantee(name):
    guarantee, fault = MUTANTS[name]
    with fault:
        assert not guarantee()
