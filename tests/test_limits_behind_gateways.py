"""Limits by rate where requests reach replicas by ways other than a first attempt."""

import asyncio
import math
from collections import deque

import pytest

from tests.gateway_fleet import Callers, StandinReplica, running_fleet
from tests.limited_replicas import FACTOR, SLACK_REQUESTS, WINDOW_S

pytestmark = pytest.mark.usefixtures("early_gateway_lists")

# The limit has to be kept from this time after it was first named.
STABILITY_S = 3.0
LIMIT_PER_S = 2.6
KINDS = ("once", "safe", "stream", "tail")


def most_in_window(arrivals, since):
    window, most = deque(), 0
    for at in arrivals:
        if at < since:
            continue
        window.append(at)
        while window[0] <= at - WINDOW_S:
            window.popleft()
        most = max(most, len(window))
    return most


async def play(disturb, gateway_count=6):
    """Return the most arrivals in a window at each limited replica."""
    replicas = [StandinReplica(f"i-{n}") for n in range(1, 6)]
    async with running_fleet(gateway_count, replicas) as fleet:
        many = fleet.gateways * 3
        await Callers("warm").run(many, 0.5, KINDS)
        for replica in replicas[:2]:
            replica.limit = LIMIT_PER_S
        since = asyncio.get_running_loop().time() + STABILITY_S
        async with asyncio.TaskGroup() as group:
            group.create_task(Callers().run(many, STABILITY_S + 6.0, KINDS))
            group.create_task(disturb(fleet))
        return [most_in_window(r.arrived_at, since) for r in replicas[:2]]


async def leave_alone(fleet):
    pass


async def cut_gateways(fleet):
    for manner in ("reset", "hang"):
        for gateway in fleet.gateways[:2]:
            gateway.http.cut_off(manner)
        await asyncio.sleep(3.0)
        for gateway in fleet.gateways[:2]:
            gateway.http.heal()
        await asyncio.sleep(0.5)


async def silence_replicas(fleet):
    """Have a replica without a limit be silent, so that its requests move on."""
    for _ in range(4):
        for replica in fleet.replicas[2:4]:
            replica.work_s = replica.event_pause_s = 0.9
        await asyncio.sleep(1.0)
        for replica in fleet.replicas[2:4]:
            replica.work_s = replica.event_pause_s = 0.02
        await asyncio.sleep(1.0)


async def stop_others(fleet):
    """End all replicas without a limit, so that requests find limited ones only."""
    await asyncio.sleep(4.0)
    for replica in fleet.replicas[2:]:
        replica.stop()
    await asyncio.sleep(4.0)
    for replica in fleet.replicas[2:]:
        await replica.start()


# LIMIT: attempts that pass by the share of a gateway add up over all gateways.
@pytest.mark.parametrize(
    "disturb", [leave_alone, cut_gateways, silence_replicas, stop_others]
)
def test_no_way_to_a_replica_passes_by_its_limit(disturb):
    allowed = math.ceil(FACTOR * WINDOW_S * LIMIT_PER_S + SLACK_REQUESTS)
    assert max(asyncio.run(play(disturb))) <= allowed
