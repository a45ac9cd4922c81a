"""Many causes at once, each with a crash at some gateway; 2 % of messages are lost."""

import pytest

from lentilshore_routing.crash_news import part_digest
from tests.blame_fleet import BlameFleet
from tests.crash_fleet import Traffic, World

MAX_BYTES_PER_S = 8_000  # of one gateway, in both directions
CAUSES_PER_CRASH = 12
QUIET = Traffic(bad=(), sound_per_s=0.0)
BLAMED = [part_digest("bad")]


def bytes_per_s(world, lasts_s):
    total = sum(gateway.bytes for gateway in world.gateways.values())
    return total / len(world.gateways) / lasts_s


def crash_at_three_gateways(world):
    """Crash replicas under one part, a second apart, the last one now."""
    for number in range(3):
        if number:
            world.run(1.0)
        world.crash(f"g-{2 * number}", "bad", f"r-{number}")


def share_after(world, seconds):
    return world.run(seconds).share_that_blames()


# Of one crash, all told all that they knew: 28 KB a second of a gateway (BUDGET).
@pytest.mark.parametrize(("count", "lasts_s"), [(7, 20), (79, 20), (340, 6)])
def test_a_storm_of_single_crashes_is_within_the_bound(count, lasts_s):
    world = World(count, QUIET).storm(CAUSES_PER_CRASH, lasts_s).run(lasts_s)
    assert bytes_per_s(world, lasts_s) <= MAX_BYTES_PER_S
    assert all(g.blame.active for g in world.gateways.values())
    assert world.blamed() == set()


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("count", [7, 79, 340])
def test_crashes_at_three_gateways_count_together_in_a_storm(count, seed):
    world = World(count, QUIET, seed).storm(CAUSES_PER_CRASH, 6).run(2.0)
    crash_at_three_gateways(world)
    assert share_after(world, 0.3) >= 0.9
    assert share_after(world, 1.2) == 1.0
    assert {tuple(g.blame.blamed) for g in world.gateways.values()} == {tuple(BLAMED)}


@pytest.mark.parametrize("count", [7, 79])
def test_gateways_that_are_cut_off_or_reborn_in_a_storm_learn_of_blame(count):
    world = World(count, QUIET).storm(CAUSES_PER_CRASH, 20).run(2.0)
    names = list(world.gateways)[-max(2, count // 8) :]
    for name in names[::2]:
        world.cut(name, 6.0)
    for name in names[1::2]:
        world.kill(name, 3.0)
    crash_at_three_gateways(world)
    world.run(4.0 + 2.0)
    assert world.share_that_blames() == 1.0
    world.run(10.0)
    assert world.share_that_blames() == 1.0
    assert bytes_per_s(world, 20.0) <= MAX_BYTES_PER_S


@pytest.mark.parametrize(("count", "lasts_s"), [(7, 20), (79, 6)])
def test_a_storm_beyond_the_budget_is_told_slowly(count, lasts_s):
    """Calls become fewer, and what comes after the storm is told soon."""
    world = World(count, QUIET).storm(3 * CAUSES_PER_CRASH, lasts_s).run(lasts_s)
    assert bytes_per_s(world, lasts_s) <= MAX_BYTES_PER_S
    world.run(20.0)
    crash_at_three_gateways(world)
    assert share_after(world, 1.5) == 1.0


# 44.9 KB a second of a gateway for 3 s (BUDGET).
@pytest.mark.parametrize("count", [7, 79])
def test_many_parts_of_three_crashes_each_are_within_the_bound(count):
    fleet = BlameFleet(count)

    async def steps():
        await fleet.wait(80.0)
        fleet.calls.clear()
        for crash in range(3):
            for part in range(32):
                name = fleet.names[(7 * part + crash) % count]
                fleet.crash(name, f"r{crash}-{part % 5}", part=f"p{part}")
            await fleet.wait(1.0)
        total = sum(call.sent + call.received for call in fleet.calls)
        assert 2 * total / count / 3.0 <= MAX_BYTES_PER_S
        assert all(c.blame.blamed for c in fleet.contexts.values())

    fleet.run(steps)
