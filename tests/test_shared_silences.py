"""Silences of all replicas of a service at once, seen by all gateways."""

import asyncio

import pytest

from lentilshore_node.delivery.handover import TAKE_UP_S
from lentilshore_node.state.service_reach import Reach
from lentilshore_routing.timeouts import WHOLE_ANSWER_OBJECTIVE_FACTOR
from tests.gateway_fleet import (
    SERVICE,
    Callers,
    StandinReplica,
    running_fleet,
    send_one,
)

KINDS = ("once", "safe", "stream", "tail")
SILENCE_S = 1.0
# A request for which an answer is awaited goes to another replica within this time.
LONGEST_S = 0.4 * WHOLE_ANSWER_OBJECTIVE_FACTOR + TAKE_UP_S
LONG_SILENCE_S = 1.25

pytestmark = pytest.mark.usefixtures("early_gateway_lists")


def replicas(count=5):
    return [StandinReplica(f"i-{number}") for number in range(1, count + 1)]


async def silence(sound, lasts_s=SILENCE_S):
    """Have replicas stand still for a time."""
    for replica in sound:
        replica.awake.clear()
    await asyncio.sleep(lasts_s)
    for replica in sound:
        replica.awake.set()


async def states_of(gateways, lasts_s):
    """Return the states in which gateways have held the service."""
    loop = asyncio.get_running_loop()
    states, ends_at = set(), loop.time() + lasts_s
    while loop.time() < ends_at:
        states |= {gateway.context.reach.state(SERVICE) for gateway in gateways}
        await asyncio.sleep(0.01)
    return states


# LOST and BUDGET: gateways said that they reach the service by answers from before the
# silence, so that each other one took the silence for a cut of its own, gave attempts
# up, and had its requests sent to the same replicas by others.
@pytest.mark.parametrize("answering", [0, 1])
def test_a_silence_of_many_replicas_is_not_taken_for_a_cut(answering):
    async def main():
        async with running_fleet(4, replicas(9)) as fleet:
            callers = Callers()
            load = asyncio.create_task(callers.run(fleet.gateways * 6, 2.5, KINDS))
            await asyncio.sleep(0.5)
            states, _ = await asyncio.gather(
                states_of(fleet.gateways, 2.0), silence(fleet.replicas[answering:])
            )
            await load
            return states, callers.statuses_of_all()

    states, statuses = asyncio.run(main())
    assert Reach.CUT_OFF not in states
    assert set(statuses) == {200}


# BUDGET: in a silence of all replicas, each request was sent again to one that was as
# silent, which took it up by not rejecting it.
@pytest.mark.parametrize("kind", ["safe", "stream"])
def test_a_silence_of_all_replicas_repeats_no_request(kind):
    async def main():
        sound = replicas(3)
        for replica in sound:
            replica.work_s = 0.1
        async with running_fleet(2, sound) as fleet:
            callers = Callers()
            many = fleet.gateways * 10
            load = asyncio.create_task(callers.run(many, 2.6, [kind], pause_s=0.02))
            await asyncio.sleep(0.6)
            before = taken_up(fleet)
            for replica in sound:
                replica.awake.clear()
            await asyncio.sleep(LONG_SILENCE_S)
            repeats = taken_up(fleet) - before
            for replica in sound:
                replica.awake.set()
            await load
            return repeats, callers.statuses_of_all()

    repeats, statuses = asyncio.run(main())
    assert repeats == 0
    assert set(statuses) == {200}


def taken_up(fleet):
    return sum(gateway.count("taken_up_attempts") for gateway in fleet.gateways)


# A replica that answers others while one is silent takes its requests over.
def test_requests_of_a_silent_replica_go_to_those_that_answer():
    async def main():
        async with running_fleet(2, replicas(3)) as fleet:
            callers = Callers()
            load = asyncio.create_task(callers.run(fleet.gateways * 6, 2.6, ["safe"]))
            await asyncio.sleep(0.6)
            await silence(fleet.replicas[:1], LONG_SILENCE_S)
            await load
            return fleet, callers

    fleet, callers = asyncio.run(main())
    assert set(callers.statuses_of_all()) == {200}
    assert max(answer.took_s for answer in callers.answers) < LONGEST_S
    assert taken_up(fleet) > 0


async def lose_peers(gateway, other):
    """Cut a gateway off, by what it knows, with nobody left that serves for it."""
    gateway.context.reach.conclude(SERVICE, Reach.CUT_OFF, [])


async def have_peers_refuse(gateway, other):
    """Cut two gateways off, by what they know, that each ask the other."""
    for one, peer in ((gateway, other), (other, gateway)):
        one.context.reach.conclude(SERVICE, Reach.CUT_OFF, [peer.entry])


# LOST: a stream whose replica was silent was given up for another gateway, and ended
# where none would serve it, though this one reached the replicas again.
@pytest.mark.parametrize("circumstance", [lose_peers, have_peers_refuse])
@pytest.mark.parametrize("kind", ["safe", "stream"])
def test_a_silent_request_that_no_gateway_serves_goes_on_here(kind, circumstance):
    async def main():
        async with running_fleet(2, replicas(2)) as fleet:
            for replica in fleet.replicas:
                replica.work_s = replica.event_pause_s = 0.05
            gateway, other = fleet.gateways
            sending = asyncio.create_task(send_one(gateway, kind, deadline_s=3.0))
            await asyncio.sleep(0.1 if kind == "stream" else 0.02)
            for replica in fleet.replicas:
                replica.awake.clear()
            await circumstance(gateway, other)
            await asyncio.sleep(LONG_SILENCE_S)
            for one in fleet.gateways:
                one.context.reach.conclude(SERVICE, Reach.REACHED)
            for replica in fleet.replicas:
                replica.awake.set()
            return await sending

    answer = asyncio.run(main())
    assert (answer.status, answer.complete) == (200, True)
