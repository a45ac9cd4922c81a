"""A replica that names a limit gets no more from all gateways together."""

import math
import random

import anyio
import msgspec
import pytest

from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock, run_with_clock
from lentilshore_kernel.types import Address
from lentilshore_node.callers.gateway import GatewayApplication
from lentilshore_node.clients.fleet_source import GatewayEntry
from lentilshore_node.clients.http_client import HttpAnswer
from lentilshore_node.clients.http_connection import CallNotSentError, CallTimedOutError
from lentilshore_node.delivery.answer_heads import AnswerHeads
from lentilshore_node.peers.limit_exchange import LimitExchange, encode_limits
from lentilshore_node.programs.gateway_assembly import create_gateway
from lentilshore_platform.translator import HeaderTranslator
from lentilshore_routing.placement import ReplicaLease
from lentilshore_routing.replica_limits import LimitNews, ReplicaLimits, SlotNews
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


@pytest.mark.parametrize("limited", [("i-1",), ("i-1", "i-2", "i-3", "i-4")])
def test_what_exceeds_the_limits_is_served_elsewhere_or_refused_at_once(limited):
    fleet = Fleet(route(DeliveryMode.ONCE), plain, limited=limited).run(1.0)
    assert set(fleet.statuses) <= ({200} if len(limited) == 1 else {200, 503})
    assert all(fleet.replicas[name].excess() <= 0 for name in limited)
    for context in fleet.gateways.values():
        assert context.placement.ejected() == []
        rendered = context.metrics.render()
        assert "lentilshore_failed_attempts_total{" not in rendered
        assert ('reason="upstream_limited"' in rendered) == (len(limited) == 4)


def test_a_refusal_for_a_limit_tells_callers_different_times_to_come_back():
    fleet = Fleet(route(DeliveryMode.ONCE), plain, gateways=1)
    context = fleet.gateways["n0"]
    for name in fleet.replicas:
        context.limits.observe(name, 0.5, 0.0)
    context.limits.set_nodes(["n0"], 0.0)

    async def call():
        callers = [Caller() for _ in range(3)]
        context.view.confirm_table(1, fleet.clock.monotonic())
        return [await c.send_to(GatewayApplication(context)) for c in callers]

    callers = run_with_clock(fleet.clock, call)
    assert [caller.status for caller in callers] == [503] * 3
    delays = [float(caller.fields["retry-after"]) for caller in callers]
    assert delays == sorted(set(delays))
    assert 0.1 <= delays[0] <= delays[-1] <= 2.0


def test_an_error_of_a_replica_is_relayed_if_limits_allow_no_second_attempt():
    fleet = Fleet(route(DeliveryMode.IDEMPOTENT), failing, gateways=1)
    context = fleet.gateways["n0"]

    def failing_and_limiting(fields):
        for name in fleet.replicas:
            context.limits.observe(name, 0.5, 0.0)
        return failing(fields)

    context.http._answer = failing_and_limiting
    context.limits._random.random = lambda: 0.0

    async def call():
        context.view.confirm_table(1, fleet.clock.monotonic())
        return await Caller().send_to(GatewayApplication(context))

    caller = run_with_clock(fleet.clock, call)
    assert (caller.status, caller.body) == (500, b"error")


def test_no_answer_is_dropped_for_a_larger_model_that_no_replica_may_run():
    fleet = Fleet(
        route(DeliveryMode.STREAM_RESUMABLE, ("s", "l")), unsure_stream, gateways=1
    )
    context = fleet.gateways["n0"]

    def limiting(fields):
        for name in fleet.replicas:
            context.limits.observe(name, 0.5, 0.0)
        return unsure_stream(fields)

    context.http._answer = limiting
    context.limits._random.random = lambda: 0.0

    async def call():
        context.view.confirm_table(1, fleet.clock.monotonic())
        caller = Caller([(b"x-model", b"*")])
        return await caller.send_to(GatewayApplication(context))

    caller = run_with_clock(fleet.clock, call)
    assert (caller.status, caller.body) == (200, event(1))


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("2.6", 2.6),
        ("7", 7.0),
        (" 0.5 ", 0.5),
        (".5", 0.5),
        ("0", 0.0),
        ("", math.nan),
        (".", math.nan),
        ("-1", math.nan),
        ("nan", math.nan),
        ("inf", math.nan),
        ("1e3", math.nan),
        ("2,5", math.nan),
        ("2.5.1", math.nan),
        ("9" * 5000, math.nan),
        ("\u0665", math.nan),
        ("999999999999999", 999999999999999.0),
    ],
)
def test_the_limit_in_an_answer_is_a_decimal_number_or_unreadable(text, expected):
    read = HeaderTranslator().read_head(200, {"server-limit": text}).limit_per_s
    assert read == expected or math.isnan(read) and math.isnan(expected)


def test_an_answer_without_a_limit_names_none():
    assert HeaderTranslator().read_head(200, {}).limit_per_s is None


def test_a_limit_that_cannot_be_read_changes_nothing():
    context = Fleet(route(DeliveryMode.ONCE), plain, gateways=1).gateways["n0"]
    context.record_limit("i-1", 2.5, 0.0)
    context.record_limit("i-1", math.nan, 0.0)
    assert context.limits.limit_per_s("i-1") == 2.5
    assert 'lentilshore_replica_limits_total{event="unreadable"}' in (
        context.metrics.render()
    )


@pytest.mark.parametrize(
    ("headers", "status", "ends"),
    [
        ({"x-response-signature": "s"}, 200, True),
        ({"x-response-signature": "s"}, 500, True),
        ({"x-not-executed": "1"}, 503, False),
        ({}, 503, False),
        ({"x-response-signature": "s"}, 421, True),
        ({"x-not-executed": "1"}, 421, False),
    ],
)
def test_only_a_signed_answer_ends_a_limit(headers, status, ends):
    fleet = Fleet(route(DeliveryMode.ONCE), plain, gateways=1)
    context = fleet.gateways["n0"]
    context.record_limit("i-1", 2.5, 0.0)
    fleet.clock.advance(1.0)
    head = HeaderTranslator().read_head(status, headers)
    heads = AnswerHeads(context, "pool", None)
    lease = ReplicaLease(record("i-1").replica, 0, False, 0)
    heads._record_limit(lease, head, fleet.clock.monotonic())
    assert (context.limits.limit_per_s("i-1") is None) is ends


def test_an_answer_to_a_request_sent_before_the_limit_was_named_does_not_end_it():
    clock = FakeClock()
    limits = ReplicaLimits("n0", clock, random.Random(1))
    sent_at = clock.monotonic()
    clock.advance(1.0)
    limits.observe("i-1", 2.5, clock.monotonic())
    assert not limits.observe("i-1", None, sent_at)
    clock.advance(1.0)
    assert limits.observe("i-1", None, clock.monotonic())
    assert limits.allows("i-1")


@pytest.mark.parametrize("limit", [0.0, 1e-9, 999999999999999.0])
def test_an_absurd_limit_costs_neither_memory_nor_the_replica(limit):
    clock = FakeClock()
    limits = ReplicaLimits("n0", clock, random.Random(1))
    limits.set_nodes([f"n{n}" for n in range(340)], 0.0)
    limits.set_replicas(["i-1"])
    limits.record_contact()
    limits.observe("i-1", limit, clock.monotonic())
    assert limits.own_rate("i-1") <= limit or limit < 0.05
    assert len(encode_limits(limits)) < 1000
    if limit > 1:
        assert limits.own_rate("i-1") > 1000
        clock.advance(1.0)
        assert limits.allows("i-1")


class OnePeer:
    """HTTP client whose only peer answers with given bytes, or fails."""

    def __init__(self, clock, status, body, error=None):
        self._clock, self._status, self._body = clock, status, body
        self._error = error

    async def request(self, method, address, path, timeout_s, limit_bytes):
        await self._clock.sleep(0.01)
        if self._error is not None:
            raise self._error
        return HttpAnswer(self._status, {}, self._body)


class Directory:
    """Directory with one peer."""

    names = ["n0", "n1"]
    listed_from = 0.0

    def __init__(self):
        self.failures = 0

    def random_peer(self):
        return GatewayEntry("n1", Address("10.0.0.9", 1), "dc")

    def record_failure(self, peer):
        self.failures += 1

    def record_answer(self, peer):
        pass


NEWS = [LimitNews("i-1", 2.5, 0.5, (SlotNews(1, 0.2),))]


@pytest.mark.parametrize(
    ("status", "body", "error", "learned", "failures"),
    [
        (200, msgspec.msgpack.encode(NEWS), None, True, 0),
        # A peer of an earlier release knows no such call.
        (404, b"", None, False, 0),
        (200, b"\xc1", None, False, 0),
        (200, b"\x91" * 100_000, None, False, 0),
        (200, msgspec.msgpack.encode([("i-1", -1.0, 0.5, ())]), None, False, 0),
        (200, msgspec.msgpack.encode([("i-1", math.nan, 0.5, ())]), None, False, 0),
        (200, msgspec.msgpack.encode([("i-1", 2.5, -9.0, ())]), None, False, 0),
        (200, msgspec.msgpack.encode([("i-1", 2.5, 900.0, ())]), None, False, 0),
        (200, msgspec.msgpack.encode([("other", 2.5, 0.5, ())]), None, False, 0),
        (200, b"", CallTimedOutError("silent"), False, 1),
        (200, b"", CallNotSentError("refused"), False, 1),
    ],
)
def test_gateways_learn_limits_from_one_another(status, body, error, learned, failures):
    fleet = Fleet(route(DeliveryMode.ONCE), plain, gateways=1)
    context, directory = fleet.gateways["n0"], Directory()
    context.http = OnePeer(fleet.clock, status, body, error)
    run_with_clock(fleet.clock, LimitExchange(context, directory).ask)
    assert (context.limits.limit_per_s("i-1") == 2.5) is learned
    assert len(context.limits.tell()) == learned
    assert directory.failures == failures


def test_a_gateway_asks_others_more_often_while_it_knows_of_a_limit():
    fleet = Fleet(route(DeliveryMode.ONCE), plain, gateways=1)
    context = fleet.gateways["n0"]
    context.http = OnePeer(fleet.clock, 200, msgspec.msgpack.encode([]))
    exchange = LimitExchange(context, Directory())
    asked = []
    ask = exchange.ask

    async def count():
        asked.append(fleet.clock.monotonic())
        await ask()

    async def run():
        exchange.ask = count
        with fleet.clock.timeout(50.0):
            await exchange.run()
        idle = len(asked)
        context.limits.observe("i-1", 2.5, 0.0)
        with fleet.clock.timeout(50.0):
            await exchange.run()
        return idle, len(asked) - idle

    idle, active = run_with_clock(fleet.clock, run)
    assert 7 <= idle <= 15
    assert 40 <= active <= 65
