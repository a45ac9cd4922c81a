"""Replicas that fall over when they have to reject more than a few requests."""

import asyncio
import math

import pytest

from lentilshore_kernel.types import Address
from tests.gateway_fleet import Callers, StandinReplica, running_fleet
from tests.test_gateway import ONCE_ROUTE, Caller, GatewayHarness, signed

pytestmark = pytest.mark.usefixtures("early_gateway_lists")

# The replicas let fewer requests wait from this time after they have said so.
STABILITY_S = 3.0
LASTS_S = 4.0
SLOTS = 3
BRITTLE_QUEUE = 1
WORK_S = 0.05


def allowed_falls(replica_count):
    return math.floor(2 + 0.1 * replica_count)


async def load(fleet, caller_count, seconds):
    gateways = fleet.gateways * math.ceil(caller_count / len(fleet.gateways))
    callers = Callers()
    await callers.run(gateways[:caller_count], seconds, pause_s=0.01)
    return callers


async def play(gateway_count, replica_count, caller_count, rejections_per_s):
    """Return the falls, the share of the places in use, and what callers got."""
    replicas = [
        StandinReplica(f"i-{n}", WORK_S, SLOTS) for n in range(1, replica_count + 1)
    ]
    async with running_fleet(gateway_count, replicas) as fleet:
        await load(fleet, caller_count, 0.5)
        for replica in replicas:
            replica.bears = rejections_per_s
        await load(fleet, caller_count, STABILITY_S)
        for replica in replicas:
            replica.queue, replica.falls_over, replica.busy_s = BRITTLE_QUEUE, True, 0.0
        callers = await load(fleet, caller_count, LASTS_S)
    used = sum(r.busy_s for r in replicas) / (LASTS_S * SLOTS * replica_count)
    return sum(len(r.falls) for r in replicas), used, callers


# LIMIT: replicas that had named how few rejections they bear fell over, one after
# another, under the requests that all gateways together sent them.
@pytest.mark.parametrize("caller_count", [20, 40, 80])
def test_brittle_replicas_do_not_fall_over(caller_count):
    falls, _, callers = asyncio.run(play(7, 5, caller_count, 2))
    assert falls <= allowed_falls(5), callers.statuses_of_all()
    assert not callers.count(502)


# What can't be read is taken for the most careful value: no rejection at all.
@pytest.mark.parametrize(
    ("fields", "places"),
    [
        (["Server-Brittle: 2"], 4),
        (["Server-Brittle: 1e9"], 3),
        (["Server-Brittle: 1000000000"], 4),
        (["Server-Brittle: 0"], 3),
        (["Server-Brittle: -1"], 3),
        (["Server-Brittle: nan"], 3),
        (["Server-Brittle: "], 3),
        (["Server-Brittle: 2", "Server-Brittle: 3"], 3),
        (["Server-Brittle: 2", "Server-Brittle: 2"], 4),
        ([], 1_000),
    ],
)
def test_what_a_replica_says_of_its_room_is_read_carefully(fields, places):
    harness = GatewayHarness([signed(extra=fields)], ONCE_ROUTE)

    async def act(harness, application, caller):
        record = harness.context.view.find_replica(Address(*harness.server.address))
        roomy = record.replica._replace(places=4)
        view = harness.context.view
        view.replace_replicas([record._replace(replica=roomy)])
        room = harness.context.replica_room
        room.set_nodes(["n1"])
        await caller.send_to(application)
        harness.allowed = sum(room.allows(roomy.name, n) for n in range(1_000))

    harness.run(Caller(), act)
    assert harness.allowed == places
