"""Silences of all replicas of a service at once, seen by all gateways."""

import asyncio

import pytest

from lentilshore_node.state.service_reach import Reach
from tests.gateway_fleet import SERVICE, Callers, StandinReplica, running_fleet

KINDS = ("once", "safe", "stream", "tail")
SILENCE_S = 1.0

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
