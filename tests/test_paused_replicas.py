"""A replica that wants nothing from a gateway for some time gets nothing meanwhile."""

import math
import random
from unittest.mock import patch

import anyio
import pytest

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock, run_with_clock
from lentilshore_kernel.types import Execution, RefusalReason, RetryReason
from lentilshore_node.callers.gateway import GatewayApplication
from lentilshore_node.delivery import attempts
from lentilshore_node.delivery.attempt_sender import AttemptSender
from lentilshore_node.delivery.retry_reasons import retry_reason
from lentilshore_node.programs.gateway_assembly import create_gateway
from lentilshore_platform import translator
from lentilshore_platform.translator import HeaderTranslator
from lentilshore_routing import replica_pauses
from lentilshore_routing.placement import EJECTION_CONSECUTIVE_FAILURES, Placement
from lentilshore_routing.replica_pauses import MAX_PAUSE_S, ReplicaPauses
from lentilshore_routing.routes import CallerLimits, DeliveryMode, KeyOwner, RouteTable
from tests.limited_replicas import record
from tests.paused_replicas import (
    PausingHttpClient,
    PausingReplica,
    World,
    largest_share,
)
from tests.scripted import Late, answer
from tests.test_gateway import (
    BOUNDS,
    IDEMPOTENT_ROUTE,
    KEY,
    ONCE_ROUTE,
    RESUMABLE_ROUTE,
    SIGNED,
    Caller,
    GatewayHarness,
    event,
    route,
    signed,
    stream,
)
from tests.test_leaving_replicas import by_replica, call, echoed, replicas_called
from tests.test_placement import create_placement

BUSY = "503 Service Unavailable"
NOT_RUN = "X-Not-Executed: 1"
LATER_REQUESTS = 30
PAUSE_S = 20.0


def rejection(pause="20"):
    """Return a script: a rejection that asks for a pause."""
    return echoed(BUSY, NOT_RUN, f"Retry-After: {pause}")


def paused_replicas(harness):
    placement = harness.context.placement
    return [name for name in ("i-1", "i-2") if placement.paused(name)]


def serve_until_told(script, with_route, fields=()):
    """Send requests until replica i-1 has answered one, then some more.

    :returns: the harness, and the number of requests to i-1 after its first answer.
    """
    harness = GatewayHarness([script], with_route)

    async def act(harness, application, _):
        while "i-1" not in replicas_called(harness):
            await Caller(fields).send_to(application)
        told = replicas_called(harness).count("i-1")
        for _ in range(LATER_REQUESTS):
            await Caller(fields).send_to(application)
        harness.later = replicas_called(harness).count("i-1") - told
        harness.paused = paused_replicas(harness)
        harness.ejected = harness.context.placement.ejected()

    harness.run(Caller(), act)
    return harness, harness.later


# BUDGET: a replica that had turned a request away and named a time got more at once.
@pytest.mark.parametrize(
    ("busy", "with_route"),
    [
        (rejection(), ONCE_ROUTE),
        (rejection("19.5"), IDEMPOTENT_ROUTE),
        (rejection(), RESUMABLE_ROUTE),
        # A rejection that proves nothing asks for a pause all the same.
        (echoed(BUSY, "Retry-After: 20"), IDEMPOTENT_ROUTE),
        (echoed(BUSY, SIGNED, "retry-after: 20"), IDEMPOTENT_ROUTE),
    ],
)
def test_replica_that_asks_for_a_pause_gets_nothing_meanwhile(busy, with_route):
    streaming = with_route is RESUMABLE_ROUTE
    other = stream([1, 2], "whole") if streaming else signed()
    harness, later = serve_until_told(by_replica(busy, other), with_route)
    assert later == 0
    assert harness.paused == ["i-1"]
    assert harness.ejected == []
    assert harness.context.view.usable("i-1")


def test_escalated_requests_avoid_a_paused_replica():
    unsure = stream([1], "whole", ["X-Confidence: 5"])

    def busy(fields):
        wanted = rejection() if fields["x-model"] == "l" else unsure
        return wanted(fields)

    escalating = route(DeliveryMode.STREAM_RESUMABLE, models=("s", "l"))
    harness, later = serve_until_told(
        by_replica(busy, unsure), escalating, [(b"x-model", b"*")]
    )
    served = harness.server.requests
    told = next(
        n
        for n, (_, fields, _) in enumerate(served)
        if (fields["x-expect-instance"], fields["x-model"]) == ("i-1", "l")
    )
    later = [fields["x-expect-instance"] for _, fields, _ in served[told + 1 :]]
    assert later and "i-1" not in later


def test_resumed_stream_avoids_a_paused_replica():
    def script(fields):
        if fields["x-expect-instance"] == "i-1":
            return rejection()(fields)
        resumed = fields.get("last-event-id")
        return (stream([2], "whole") if resumed else stream([1], "reset"))(fields)

    harness = GatewayHarness([script], RESUMABLE_ROUTE)

    async def act(harness, application, _):
        harness.context.record_pause("i-1", PAUSE_S)
        caller = await Caller().send_to(application)
        assert (caller.body, caller.complete) == (event(1) + event(2), True)

    harness.run(Caller(), act)
    assert replicas_called(harness) == ["i-2", "i-2"]


@pytest.mark.parametrize(
    "sound",
    [
        signed(),
        signed(b"", "500 Error", extra=["Retry-After: 20"]),
        signed(extra=["Retry-After: 20"]),
        echoed(BUSY, NOT_RUN),
        echoed(BUSY, NOT_RUN, "Retry-After: 0"),
        echoed("429 Too Many Requests", NOT_RUN, "Retry-After: 20"),
        # The answer of another process says nothing of the chosen one.
        echoed("421 Misdirected Request", "Retry-After: 20"),
        # An answer to another request is skipped.
        lambda f: [
            answer(b"", BUSY, [NOT_RUN, "X-Attempt-Id: zz", "Retry-After: 20"]),
            *signed()(f),
        ],
    ],
)
def test_replica_that_asks_for_no_pause_is_not_paused(sound):
    harness, _ = serve_until_told(by_replica(sound, signed()), IDEMPOTENT_ROUTE)
    assert harness.paused == []


def test_extra_answer_on_a_kept_connection_does_not_pause_a_replica():
    extra = answer(b"", BUSY, [NOT_RUN, "X-Attempt-Id: old", "Retry-After: 20"])
    harness = GatewayHarness([lambda f: [*signed()(f), Late(extra)]], ONCE_ROUTE)

    async def act(harness, application, _):
        callers = await call(application, 6)
        assert [caller.status for caller in callers] == [200] * 6
        assert paused_replicas(harness) == []

    harness.run(Caller(), act)


@pytest.mark.parametrize(
    "text", ["soon", "-1", "1e3", "nan", "inf", "1,5", "", "9" * 99]
)
def test_pause_that_cannot_be_read_is_counted_and_changes_nothing(text):
    harness, _ = serve_until_told(by_replica(rejection(text), signed()), ONCE_ROUTE)
    assert harness.paused == []
    rendered = harness.context.metrics.render()
    assert 'lentilshore_replica_pauses_total{event="unreadable"}' in rendered


def test_date_in_place_of_seconds_cannot_be_read():
    headers = {"retry-after": "Fri, 04 Dec 2026 12:00:00 GMT"}
    assert math.isnan(HeaderTranslator().read_head(503, headers).pause_s)


def test_pause_is_logged_once():
    harness = GatewayHarness([signed()], ONCE_ROUTE)
    context = harness.assemble(FakeClock(), None) and harness.context
    for _ in range(3):
        context.record_pause("i-1", PAUSE_S)
    changes = 'lentilshore_belief_changes_total{change="replica_paused"} 1'
    assert changes in context.metrics.render()


@pytest.mark.parametrize("with_route", [ONCE_ROUTE, IDEMPOTENT_ROUTE, RESUMABLE_ROUTE])
def test_requests_are_refused_at_once_if_all_replicas_are_paused(with_route):
    harness = GatewayHarness([rejection("9")], with_route)

    async def act(harness, application, _):
        first = await Caller().send_to(application)
        assert (first.status, len(harness.server.requests)) == (503, 2)
        callers = await call(application, 5)
        assert len(harness.server.requests) == 2
        delays = [float(c.fields["retry-after"]) for c in (first, *callers)]
        assert all(c.status == 503 for c in callers)
        assert min(delays) >= 2.0 and max(delays) <= 3.0
        assert len(set(delays)) > 3

    harness.run(Caller(), act)
    rendered = harness.context.metrics.render()
    assert 'lentilshore_refusals_total{reason="upstream_paused"} 6' in rendered


def test_error_answer_is_relayed_if_all_replicas_are_paused_before_a_retry():
    harness = GatewayHarness([], IDEMPOTENT_ROUTE)

    def failing(fields):
        for name in ("i-1", "i-2"):
            harness.context.record_pause(name, PAUSE_S)
        return signed(b"error", "500 Error")(fields)

    harness.server._scripts.append(failing)
    caller = harness.run(Caller())
    assert (caller.status, caller.body) == (500, b"error")


def test_no_answer_is_dropped_for_a_larger_model_if_all_replicas_are_paused():
    escalating = route(DeliveryMode.STREAM_RESUMABLE, models=("s", "l"))
    harness = GatewayHarness([], escalating)

    def unsure(fields):
        for name in ("i-1", "i-2"):
            harness.context.record_pause(name, PAUSE_S)
        return stream([1], "whole", ["X-Confidence: 5"])(fields)

    harness.server._scripts.append(unsure)
    caller = harness.run(Caller([(b"x-model", b"*")]))
    assert (caller.status, caller.body) == (200, event(1))


def pause_while_connecting(names):
    """Send a request whose replica asks for a pause while a connection opens."""
    harness = GatewayHarness([signed()], ONCE_ROUTE)

    async def act(harness, application, caller):
        connect = harness.context.http._connect

        async def pause_and_connect(address, timeout_s):
            for name in names:
                harness.context.record_pause(name, PAUSE_S)
            return await connect(address, timeout_s)

        harness.context.http._connect = pause_and_connect
        await caller.send_to(application)
        assert harness.context.placement.ejected() == []

    return harness, harness.run(Caller(), act)


def test_request_is_not_sent_if_its_replica_pauses_while_it_connects():
    harness, caller = pause_while_connecting(["i-1", "i-2"])
    assert harness.server.requests == []
    assert caller.status == 503


def test_request_goes_elsewhere_if_its_replica_pauses_while_it_connects():
    statuses = []
    for paused, other in (("i-1", "i-2"), ("i-2", "i-1")):
        harness, caller = pause_while_connecting([paused])
        assert replicas_called(harness) == [other]
        statuses.append(caller.status)
    assert statuses == [200, 200]


def test_retry_after_a_pause_has_its_own_reason():
    error = UpstreamError(RefusalReason.UPSTREAM_PAUSED, Execution.NOT_RUN, "")
    assert retry_reason(error) is RetryReason.PAUSED


class Fleet:
    """Gateways with callers, before the same replicas, on one fake clock."""

    def __init__(self, with_route, gateways=7, replicas=4):
        self.clock = FakeClock()
        names = [f"i-{n}" for n in range(1, replicas + 1)]
        self.replicas = {name: PausingReplica(self.clock) for name in names}
        self._route = with_route
        self.statuses = []
        self.contexts = [self._create(f"n{n}") for n in range(gateways)]

    def _create(self, name):
        context = create_gateway(
            name,
            "dc",
            BOUNDS,
            self.clock,
            random.Random(name),
            ServedMetrics(),
            PausingHttpClient(name, self.replicas, self.clock),
            HeaderTranslator(),
        )
        context.view.replace_replicas(record(name) for name in self.replicas)
        keys = {KEY: KeyOwner("kerlann")}
        context.view.update_table(RouteTable(1, [self._route], keys, CallerLimits()))
        return context

    def run(self, busy, pause_s, busy_s):
        """Let some replicas be busy for a while."""
        run_with_clock(self.clock, self._run, busy, pause_s, busy_s)
        return self

    async def _run(self, busy, pause_s, busy_s):
        async with anyio.create_task_group() as group:
            for context in self.contexts:
                for _ in range(2):
                    group.start_soon(self._call_forever, context)
            await self.clock.sleep(1.0)
            for name in busy:
                self.replicas[name].pause_s = pause_s
            await self.clock.sleep(busy_s)
            for name in busy:
                self.replicas[name].pause_s = None
            await self.clock.sleep(2.0)
            group.cancel_scope.cancel()

    async def _call_forever(self, context):
        application = GatewayApplication(context)
        while True:
            context.view.confirm_table(1, self.clock.monotonic())
            caller = Caller(request_id=b"r%d" % len(self.statuses))
            await caller.send_to(application)
            self.statuses.append(caller.status)
            await self.clock.sleep(0.05 * context.random.uniform(0.5, 1.5))


@pytest.mark.parametrize("busy", [("i-1",), ("i-1", "i-2", "i-3", "i-4")])
@pytest.mark.parametrize("mode", [DeliveryMode.ONCE, DeliveryMode.IDEMPOTENT])
@pytest.mark.parametrize("pause_s", [0.7, 2.5])
def test_gateways_send_nothing_to_paused_replicas(pause_s, mode, busy):
    fleet = Fleet(route(mode)).run(busy, pause_s, 6.0)
    for name in busy:
        assert len(fleet.replicas[name].rejections) > 3
        assert fleet.replicas[name].excess() <= 0
        # Served again after its pause.
        assert fleet.replicas[name].arrivals[-1][1] > 8.0
    assert set(fleet.statuses) <= ({200} if len(busy) == 1 else {200, 503})
    for context in fleet.contexts:
        assert context.placement.ejected() == []


FLEETS = [(7, 60.0), (79, 400.0), (340, 1_500.0)]


# BUDGET: no more than two requests of each gateway reach a paused replica.
@pytest.mark.parametrize("busy_count", [1, 4])
@pytest.mark.parametrize(("count", "calls_per_s"), FLEETS)
def test_each_gateway_keeps_to_the_pauses_it_is_asked_for(
    count, calls_per_s, busy_count
):
    world = World(count, calls_per_s).run(1.0)
    busy = list(world.replicas.values())[:busy_count]
    for pause_s in (0.8, 3.0, 2.0):
        for replica in busy:
            replica.pause_s = pause_s
        world.run(3.0)
    for replica in busy:
        replica.pause_s = None
    world.run(4.0)
    rejecting = {r.gateway for replica in busy for r in replica.rejections}
    assert len(rejecting) == count
    assert all(replica.excess() <= 0 for replica in busy)
    assert bool(world.refused_at) == (busy_count == 4)


# Callers that all replicas turn away at one time do not come back at one time.
@pytest.mark.parametrize("pause_s", [0.3, 1.0, 10.0])
@pytest.mark.parametrize(("count", "calls_per_s"), FLEETS)
def test_callers_of_all_gateways_come_back_spread_out(count, calls_per_s, pause_s):
    world = World(count, calls_per_s).run(1.0)
    for placement in world.gateways.values():
        for replica in world.replicas:
            placement.pause(replica, pause_s)
    for _ in range(300):
        world._call(1)
    world._calls_per_s = 0.001
    world.run(0.2)
    world.returns.clear()
    began = world.clock.monotonic() - 0.2
    world.run(5.0)
    first = min(world.returns) - began
    assert first >= min(pause_s, 2.0) - 0.01
    assert largest_share(world.returns, 0.02) < 0.25


@pytest.mark.parametrize(
    ("pauses", "ends_s"),
    [
        ([(0.0, 5.0)], 5.0),
        # A pause is extended, and not shortened.
        ([(0.0, 5.0), (1.0, 9.0)], 10.0),
        ([(0.0, 5.0), (1.0, 1.0)], 5.0),
        ([(0.0, 5.0), (1.0, 0.0)], 5.0),
        ([(0.0, 1.0), (3.0, 2.0)], 5.0),
        ([(0.0, 0.0)], 0.0),
        ([(0.0, 1e15)], MAX_PAUSE_S),
    ],
)
def test_a_pause_ends_when_the_last_answer_that_asked_for_one_says(pauses, ends_s):
    clock = FakeClock()
    placement, started_at = create_placement(clock), clock.monotonic()
    for at, duration_s in pauses:
        clock.advance(started_at + at - clock.monotonic())
        placement.pause("a", duration_s)
    if ends_s:
        clock.advance(started_at + ends_s - 0.01 - clock.monotonic())
        assert placement.paused("a")
    clock.advance(0.52 + ends_s * 0.1)
    assert not placement.paused("a")
    assert placement.has_capacity("g")


def test_a_paused_replica_is_no_last_resort():
    clock = FakeClock()
    placement = create_placement(clock)
    placement.pause("a", PAUSE_S)
    for _ in range(EJECTION_CONSECUTIVE_FAILURES):
        lease = placement.choose("g", 1.0, excluded=["a"])
        placement.release(lease, True, unreachable=True)
    assert placement.ejected() == ["b"]
    # The ejected one is.
    assert placement.choose_untried_first("g", 1.0, tried=["b"]).replica.name == "b"
    placement.pause("b", PAUSE_S)
    assert placement.choose_untried_first("g", 1.0, tried=["b"]) is None
    assert not placement.has_capacity("g")


def test_a_pause_outlasts_the_absence_of_a_replica_from_the_list():
    clock = FakeClock()
    placement = create_placement(clock)
    listed = placement._groups["g"].replicas
    placement.pause("a", PAUSE_S)
    placement.update([])
    placement.update(listed)
    assert {placement.choose("g", 1.0).replica.name for _ in range(20)} == {"b"}


def test_another_process_of_the_replica_is_not_paused():
    clock = FakeClock()
    placement = create_placement(clock)
    placement.pause("a", PAUSE_S)
    later = [r._replace(name=f"{r.name}.2") for r in placement._groups["g"].replicas]
    placement.update(later)
    chosen = {placement.choose("g", 1.0).replica.name for _ in range(20)}
    assert chosen == {"a.2", "b.2"}


def test_prefixes_of_a_paused_replica_go_to_one_other():
    chosen = set()
    for seed in range(20):
        clock = FakeClock()
        names = [f"r{number}" for number in range(9)]
        placement = create_placement(clock, names, seed=seed)
        home = placement.choose("g", 10.0, "model/subject-7").replica.name
        placement.pause(home, PAUSE_S)
        chosen.add(placement.choose("g", 10.0, "model/subject-7").replica.name)
    assert len(chosen) == 1 and home not in chosen


@pytest.mark.parametrize(
    ("limited", "paused", "reason"),
    [
        ((), ("i-1", "i-2"), "upstream_paused"),
        (("i-1", "i-2"), (), "upstream_limited"),
        (("i-1",), ("i-2",), "upstream_limited"),
        (("i-1", "i-2"), ("i-1", "i-2"), "upstream_paused"),
    ],
)
def test_refusal_tells_why_no_replica_may_be_sent_anything(limited, paused, reason):
    harness = GatewayHarness([signed()], ONCE_ROUTE)

    async def act(harness, application, caller):
        for name in limited:
            harness.context.limits.observe(name, 0.05, 0.0)
        for name in paused:
            harness.context.record_pause(name, PAUSE_S)
        await caller.send_to(application)

    caller = harness.run(Caller(), act)
    assert caller.status == 503
    assert 0.1 <= float(caller.fields["retry-after"]) <= 3.0
    rendered = harness.context.metrics.render()
    assert f'lentilshore_refusals_total{{reason="{reason}"}} 1' in rendered


def test_number_of_remembered_pauses_is_bounded(monkeypatch):
    monkeypatch.setattr(replica_pauses, "MAX_PAUSES", 10)
    clock = FakeClock()
    pauses = ReplicaPauses(clock, random.Random(1))
    for number in range(100):
        pauses.pause(f"i-{number}", 1.0 + number)
    assert len(pauses._until) == 10
    # Those that last longest are kept.
    assert all(pauses.paused(f"i-{number}") for number in range(95, 100))


def sends_nothing_to_a_paused_replica():
    """A replica that asks for a pause gets nothing meanwhile."""
    script = by_replica(rejection(), signed())
    return serve_until_told(script, ONCE_ROUTE)[1] == 0


def pauses_only_the_replica_that_asks():
    """The answer of another process pauses nothing."""
    other = echoed("421 Misdirected Request", "Retry-After: 20")
    harness = GatewayHarness([by_replica(other, signed())], ONCE_ROUTE)

    async def act(harness, application, _):
        await call(application, LATER_REQUESTS)
        harness.paused = paused_replicas(harness)

    harness.run(Caller(), act)
    return "i-1" in replicas_called(harness) and not harness.paused


def checks_before_it_sends():
    """A pause that is asked for while a connection opens is kept to."""
    return pause_while_connecting(["i-1", "i-2"])[0].server.requests == []


def keeps_to_pauses():
    """No gateway of a fleet sends more than two requests into a pause."""
    world = World(79, 400.0).run(1.0)
    replica = world.replicas["i-0"]
    replica.pause_s = 3.0
    world.run(6.0)
    return replica.excess() <= 0


def uses_no_last_resort():
    """A paused replica is not chosen also if there is no other."""
    placement = create_placement(FakeClock(), ["a"])
    placement.pause("a", PAUSE_S)
    return placement.choose("g", 1.0) is None


def ends_pauses():
    """A replica is used again after its pause."""
    world = World(7, 60.0, replica_count=1)
    replica = world.replicas["i-0"]
    replica.pause_s = 1.0
    world.run(3.0)
    replica.pause_s = None
    served = world.run(2.0).served
    return world.run(2.0).served > served


def keeps_to_the_longest_pause():
    """A later answer does not shorten a pause."""
    placement = create_placement(FakeClock())
    placement.pause("a", 5.0)
    placement.pause("a", 0.5)
    placement._clock.advance(3.0)
    return placement.paused("a")


def ejects_no_paused_replica():
    """A pause while connections open does not eject a replica."""
    harness = GatewayHarness([signed()], ONCE_ROUTE)

    async def act(harness, application, caller):
        placement, connect = harness.context.placement, harness.context.http._connect

        async def pause_and_connect(address, timeout_s):
            placement.pause("i-1", PAUSE_S)
            return await connect(address, timeout_s)

        harness.context.http._connect = pause_and_connect
        for _ in range(40):
            placement._pauses._until.clear()
            harness.context.http.close_idle(harness.server.address)
            await Caller().send_to(application)
        assert placement.ejected() == []

    try:
        harness.run(Caller(), act)
    except AssertionError:
        return False
    return True


def tells_callers_different_times():
    """Callers that are refused for a pause are told different times."""
    placement = create_placement(FakeClock())
    placement.pause("a", 1.0)
    placement.pause("b", 1.0)
    return len({placement.pause_retry_after_s("g") for _ in range(20)}) > 10


GUARANTEES = (
    sends_nothing_to_a_paused_replica,
    pauses_only_the_replica_that_asks,
    checks_before_it_sends,
    keeps_to_pauses,
    uses_no_last_resort,
    ends_pauses,
    keeps_to_the_longest_pause,
    ejects_no_paused_replica,
    tells_callers_different_times,
)


def _believing_any_process(read_head):
    def read(self, status, headers):
        head = read_head(self, 503, headers)
        return head._replace(misdirected=False, not_run=True)

    return read


def _last_answer_counts(self, replica, duration_s):
    self._until[replica] = self._clock.monotonic() + duration_s
    return True


def _any_replica(self, group, prefix, excluded):
    usable = [i for i in group.subset if self._usable(i, excluded)]
    return usable or list(group.subset)


MUTANTS = {
    "the header is not read": (
        sends_nothing_to_a_paused_replica,
        patch.object(translator, "PAUSE_HEADER", "x-other"),
    ),
    "another process is believed": (
        pauses_only_the_replica_that_asks,
        patch.object(
            HeaderTranslator,
            "read_head",
            _believing_any_process(HeaderTranslator.read_head),
        ),
    ),
    "the choice is not checked before sending": (
        checks_before_it_sends,
        patch.object(AttemptSender, "_check_replica_usable", lambda *_: None),
    ),
    "placement knows of no pause": (
        keeps_to_pauses,
        patch.object(ReplicaPauses, "paused", lambda *_: False),
    ),
    "pauses end early": (
        keeps_to_pauses,
        patch.object(replica_pauses, "MAX_PAUSE_S", 0.3),
    ),
    "a paused replica is a last resort": (
        uses_no_last_resort,
        patch.object(Placement, "_candidates", _any_replica),
    ),
    "a pause never ends": (
        ends_pauses,
        patch.object(ReplicaPauses, "paused", lambda s, name: name in s._until),
    ),
    "the last answer counts": (
        keeps_to_the_longest_pause,
        patch.object(ReplicaPauses, "pause", _last_answer_counts),
    ),
    "a pause counts as a failure": (
        ejects_no_paused_replica,
        patch.object(attempts, "SOUND_REPLICA_REASONS", frozenset()),
    ),
    "callers are told one time": (
        tells_callers_different_times,
        patch.multiple(replica_pauses, RETRY_SPREAD_SHARE=0.0, MIN_RETRY_SPREAD_S=0.0),
    ),
}


@pytest.mark.parametrize("guarantee", GUARANTEES, ids=lambda g: g.__name__)
def test_the_guarantee_holds_without_a_fault(guarantee):
    assert guarantee()


@pytest.mark.parametrize("name", MUTANTS)
def test_a_fault_breaks_its_guarantee(name):
    guarantee, fault = MUTANTS[name]
    with fault:
        assert not guarantee()
