"""Requests that end each replica that begins to answer them, through gateways."""

import random

import anyio
import pytest

from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock, run_with_clock
from lentilshore_node.callers.gateway import GatewayApplication
from lentilshore_node.programs.gateway_assembly import create_gateway
from lentilshore_platform.translator import HeaderTranslator
from lentilshore_routing.routes import (
    CallerLimits,
    DeliveryMode,
    KeyOwner,
    RouteTable,
)
from tests.crashing_replicas import CrashingHttpClient, CrashingReplica
from tests.test_gateway import BOUNDS, KEY, Caller, route

BAD = "bad0"
STABILITY_S = 3.0
LASTS_S = 25.0
SOUND_PAUSE_S = 0.2


class Fleet:
    """Gateways that know the same five replicas.

    :param with_route: route of all requests.
    :param gateways: number of gateways.
    """

    def __init__(self, with_route, gateways=1):
        self.clock = FakeClock()
        self.arrivals = []
        self.sound_statuses, self.bad_statuses = [], []
        self.replicas = {
            replica.address: replica
            for replica in (CrashingReplica(n, self.clock) for n in range(1, 6))
        }
        self._route = with_route
        self._count = 0
        self._random = random.Random(1)
        self.gateways = [self._create(f"n{n}") for n in range(gateways)]

    def _create(self, name):
        http = CrashingHttpClient(name, self.replicas, self.clock, {BAD}, self.arrivals)
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
        keys = {KEY: KeyOwner("kerlann")}
        context.view.update_table(RouteTable(1, [self._route], keys, CallerLimits()))
        self._list_replicas(context)
        return context

    def _list_replicas(self, context):
        context.view.replace_replicas(r.record() for r in self.replicas.values())
        context.view.confirm_table(1, self.clock.monotonic())

    def run(self, bad_pause_s):
        run_with_clock(self.clock, self._run, bad_pause_s)
        return self

    async def _run(self, bad_pause_s):
        async with anyio.create_task_group() as group:
            group.start_soon(self._list_forever)
            for context in self.gateways:
                for _ in range(3):
                    group.start_soon(self._call_forever, context, SOUND_PAUSE_S, False)
            await self.clock.sleep(5.0)
            for context in self.gateways:
                pause_s = bad_pause_s * len(self.gateways)
                group.start_soon(self._call_forever, context, pause_s, True)
            await self.clock.sleep(LASTS_S)
            group.cancel_scope.cancel()

    async def _list_forever(self):
        while True:
            for context in self.gateways:
                self._list_replicas(context)
            await self.clock.sleep(0.5)

    async def _call_forever(self, context, pause_s, bad):
        application = GatewayApplication(context)
        statuses = self.bad_statuses if bad else self.sound_statuses
        while True:
            await self.clock.sleep(pause_s * self._random.uniform(0.5, 1.5))
            self._count += 1
            subject = BAD if bad else f"c{self._random.randrange(40)}"
            parts = f"a{self._random.randrange(3)}:300,{subject}:100,e{self._count}:50"
            caller = Caller(
                [(b"x-prompt-prefix", parts.encode())],
                request_id=b"r%d" % self._count,
            )
            await caller.send_to(application)
            whole = caller.status == 200 and caller.complete
            statuses.append((self.clock.monotonic(), caller.status if whole else 0))

    def late_sends(self):
        """Return the bad requests that reached replicas 3 s after the fifth crash."""
        crashes = sorted(at for r in self.replicas.values() for at in r.crashes)
        if len(crashes) < 5:
            return 0
        return sum(
            BAD in fields["x-prompt-prefix"] and at > crashes[4] + STABILITY_S
            for at, _, fields in self.arrivals
        )


# Requests with the part were sent to one replica after the other (BUDGET).
@pytest.mark.parametrize("bad_pause_s", [0.2, 1.0, 3.0])
def test_requests_that_end_replicas_are_soon_sent_no_more(bad_pause_s):
    fleet = Fleet(route(DeliveryMode.STREAM_RESUMABLE)).run(bad_pause_s)
    assert fleet.late_sends() <= 3


# One request ended three replicas within half a second (BUDGET).
def test_a_request_that_ended_a_replica_is_not_sent_to_another():
    fleet = Fleet(route(DeliveryMode.STREAM_RESUMABLE)).run(3.0)
    sent = [
        f["x-attempt-id"] for _, _, f in fleet.arrivals if BAD in f["x-prompt-prefix"]
    ]
    assert len(sent) == len(set(sent))
