"""Retries of all gateways together, against what the deployment allows."""

import asyncio
import random

import pytest

from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock
from lentilshore_kernel.types import Address, Execution
from lentilshore_node.clients.fleet_source import GatewayEntry
from lentilshore_node.programs.gateway_assembly import create_gateway
from lentilshore_node.state.service_reach import Reach
from lentilshore_platform.translator import HeaderTranslator
from tests.gateway_fleet import SERVICE, StandinReplica, running_fleet, send_one
from tests.test_gateway import BOUNDS

WINDOW_S = BOUNDS.retry_window_s


class BudgetFleet:
    """Gateways that know one another, and send as many retries as they may.

    :param count: number of gateways.
    :param extra_retries: retries beside the share of the requests.
    """

    def __init__(self, count, extra_retries):
        self.clock = FakeClock()
        self._bounds = BOUNDS._replace(extra_retries=extra_retries, retry_ratio=0.9)
        self._entries = [
            GatewayEntry(f"g-{n}", Address("10.0.0.1", n), "dc") for n in range(count)
        ]
        self.gateways = [self._create(entry) for entry in self._entries]
        self._trees = 0

    def _create(self, entry):
        context = create_gateway(
            entry.name,
            entry.data_centre,
            self._bounds,
            self.clock,
            random.Random(entry.name),
            ServedMetrics(),
            None,
            HeaderTranslator(),
        )
        others = [other for other in self._entries if other is not entry]
        context.serving_peers.set_gateways(others)
        return context

    def restart(self):
        """Replace all gateways by new processes."""
        self.gateways = [self._create(entry) for entry in self._entries]

    def send(self, requests):
        """Send requests, spread over the gateways, and each retry that is allowed."""
        for number in range(requests):
            gateway = self.gateways[number % len(self.gateways)]
            gateway.retries.record_first_attempt(SERVICE)
        return sum(self._retry(gateway) for gateway in self.gateways)

    def _retry(self, gateway):
        retries = 0
        while True:
            self._trees += 1
            denial = gateway.retries.take(
                f"t{self._trees}", SERVICE, True, Execution.UNKNOWN
            )
            if denial is not None:
                return retries
            retries += 1

    def allowed(self, requests):
        return self._bounds.extra_retries + self._bounds.retry_ratio * requests


# BUDGET: each gateway added a fixed number of retries, however many there were, so that
# a service with few requests got more repeats than allowed.
@pytest.mark.parametrize("requests", [0, 30, 300])
@pytest.mark.parametrize(("count", "extra"), [(6, 52), (24, 58), (79, 198), (195, 430)])
def test_retries_of_a_fleet_stay_within_its_budget(count, extra, requests):
    fleet = BudgetFleet(count, extra)
    fleet.clock.advance(WINDOW_S)
    assert fleet.send(requests) <= fleet.allowed(requests)


# BUDGET: a gateway that started again had its fixed number of retries once more.
@pytest.mark.parametrize("requests", [0, 30, 300])
@pytest.mark.parametrize(("count", "extra"), [(6, 52), (9, 58), (79, 198)])
def test_retries_of_restarted_gateways_stay_within_the_budget(count, extra, requests):
    fleet = BudgetFleet(count, extra)
    fleet.clock.advance(WINDOW_S)
    retries = fleet.send(requests)
    for _ in range(3):
        fleet.clock.advance(2.0)
        fleet.restart()
        retries += fleet.send(0)
    assert retries <= fleet.allowed(requests)


# Gateways that have run for a window may repeat a request though they got no others.
@pytest.mark.parametrize(("count", "extra"), [(6, 52), (24, 58), (79, 198)])
def test_gateways_with_few_requests_may_repeat_some(count, extra):
    fleet = BudgetFleet(count, extra)
    fleet.clock.advance(WINDOW_S)
    assert fleet.send(0) >= count


# BUDGET: each gateway that refused a forwarded request counted it as a request of its
# own, and earned retries with it.
def test_a_forwarded_request_that_gateways_refuse_earns_no_retries():
    async def main():
        replicas = [StandinReplica("i-1"), StandinReplica("i-2")]
        async with running_fleet(4, replicas) as fleet:
            counted = []
            for gateway in fleet.gateways:
                others = [g.entry for g in fleet.gateways if g is not gateway]
                gateway.context.reach.conclude(SERVICE, Reach.CUT_OFF, others)
                gateway.context.retries.record_first_attempt = counted.append
            answer = await send_one(fleet.gateways[0], "safe")
            return answer.status, counted

    status, counted = asyncio.run(main())
    assert (status, len(counted)) == (503, 0)
