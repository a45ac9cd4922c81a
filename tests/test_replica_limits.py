"""A replica that names a limit gets no more from all gateways together."""

import random

import anyio
import pytest

from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock, run_with_clock
from lentilshore_node.callers.gateway import GatewayApplication
from lentilshore_node.programs.gateway_assembly import create_gateway
from lentilshore_platform.translator import HeaderTranslator
from lentilshore_routing.routes import CallerLimits, DeliveryMode, KeyOwner, RouteTable
from tests.limited_replicas import LimitedReplica, ReplicaHttpClient, record
from tests.test_gateway import BOUNDS, KEY, Caller, event, route

GATEWAYS = 7
LASTS_S = 25.0
NAMES_LIMIT_AT_S = 4.0
PAUSE_S = 0.05  # between the requests of a gateway


def plain(fields):
    return 200, {}, [b"ok"]


def failing(fields):
    return 500, {}, [b"error"]


def whole_stream(fields):
    return 200, {"x-confidence": "90"}, [event(1), event(2)]


def unsure_stream(fields):
    return 200, {"x-confidence": "5"}, [event(1)]


class Fleet:
    """Gateways with callers, before the same replicas, on one fake clock."""

    def __init__(self, with_route, answer, gateways=GATEWAYS, limited=("i-1",)):
        self.clock = FakeClock()
        names = [f"i-{n}" for n in range(1, 5)]
        self.replicas = {name: LimitedReplica(self.clock) for name in names}
        self._limited = limited
        self._route = with_route
        self._answer = answer
        self.gateways = {f"n{n}": self._create(f"n{n}") for n in range(gateways)}
        self.statuses = []
        self._count = 0

    def _create(self, name):
        http = ReplicaHttpClient(name, self.replicas, self.clock, self._answer)
        context = create_gateway(
            name,
            "dc",
            BOUNDS,
            self.clock,
            random.Random(name),
            ServedMetrics(),
            http,
            HeaderTranslator(),
        )
        context.view.replace_replicas(record(name) for name in self.replicas)
        keys = {KEY: KeyOwner("kerlann")}
        context.view.update_table(RouteTable(1, [self._route], keys, CallerLimits()))
        return context

    def run(self, limit, lasts_s=LASTS_S):
        run_with_clock(self.clock, self._run, limit, lasts_s)
        return self

    async def _run(self, limit, lasts_s):
        async with anyio.create_task_group() as group:
            for context in self.gateways.values():
                group.start_soon(self._call_forever, context)
            await self.clock.sleep(NAMES_LIMIT_AT_S)
            for name in self._limited:
                self.replicas[name].limit = limit
            await self.clock.sleep(lasts_s - NAMES_LIMIT_AT_S)
            group.cancel_scope.cancel()

    async def _call_forever(self, context):
        application = GatewayApplication(context)
        while True:
            context.view.confirm_table(1, self.clock.monotonic())
            self._count += 1
            caller = Caller([(b"x-model", b"*")], request_id=b"r%d" % self._count)
            await caller.send_to(application)
            self.statuses.append(caller.status)
            await self.clock.sleep(PAUSE_S * context.random.uniform(0.5, 1.5))


# The gateways sent a replica that named a limit as many requests as before (LIMIT).
@pytest.mark.parametrize(
    ("mode", "models", "answer"),
    [
        (DeliveryMode.ONCE, (), plain),
        (DeliveryMode.IDEMPOTENT, (), plain),
        (DeliveryMode.IDEMPOTENT, (), failing),
        (DeliveryMode.STREAM_RESUMABLE, (), whole_stream),
        (DeliveryMode.STREAM_RESUMABLE, ("s", "l"), unsure_stream),
    ],
    ids=["once", "idempotent", "retries", "streams", "escalations"],
)
@pytest.mark.parametrize("limit", [0.5, 2.6, 10.0])
def test_all_gateways_together_keep_to_the_limit_of_a_replica(
    limit, mode, models, answer
):
    fleet = Fleet(route(mode, models), answer).run(limit)
    assert fleet.replicas["i-1"].excess() <= 0
