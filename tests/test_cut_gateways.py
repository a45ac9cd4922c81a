"""Gateways that lose all replicas, while callers and other gateways reach them."""

import asyncio

import pytest

from tests.gateway_fleet import Callers, StandinReplica, running_fleet

# From this time after the cut the cut gateways serve as the others do.
KNOWN_S = 1.0
SERVED_RATIO = 0.97
KINDS = ("once", "safe", "stream", "tail")


pytestmark = pytest.mark.usefixtures("early_gateway_lists")


def replicas(count=5):
    return [StandinReplica(f"i-{number}") for number in range(1, count + 1)]


# RECOVER: callers of gateways that had lost their replicas got 502, 503 and 504.
@pytest.mark.parametrize("manner", ["hang", "reset", "refuse"])
def test_cut_gateways_serve_like_the_others(manner):
    async def main():
        async with running_fleet(7, replicas()) as fleet:
            cut, others = fleet.gateways[:2], fleet.gateways[2:]
            await Callers("warm").run(fleet.gateways, 0.5, KINDS)
            for gateway in cut:
                gateway.http.cut_off(manner)
            # More requests at once than there are open connections.
            many = fleet.gateways * 6
            await Callers("first").run(many, KNOWN_S, KINDS)
            callers = Callers()
            await callers.run(many, 2.0, KINDS)
            return callers, cut, others

    callers, cut, others = asyncio.run(main())
    share, usual = callers.served_share(cut), callers.served_share(others)
    assert share >= SERVED_RATIO * usual, callers.statuses(cut)
