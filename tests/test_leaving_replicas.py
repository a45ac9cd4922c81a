"""A replica that says in an answer that it leaves gets no further requests."""

import random
from unittest.mock import patch

import anyio
import pytest

from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock
from lentilshore_node.state import replica_record
from lentilshore_node.state.fleet_view import FleetView
from lentilshore_node.state.replica_record import AnnouncedDepartures
from lentilshore_platform import translator
from lentilshore_platform.translator import HeaderTranslator
from lentilshore_routing.placement import Placement
from lentilshore_routing.routes import DeliveryMode
from tests.scripted import Late, answer
from tests.test_fleet_view import VANISHED_GRACE_S, record
from tests.test_gateway import (
    IDEMPOTENT_ROUTE,
    ONCE_ROUTE,
    RESUMABLE_ROUTE,
    SIGNED,
    Caller,
    GatewayHarness,
    chunk,
    event,
    route,
    signed,
    stream,
)

LEAVING = "Server-Leaving: 1"
NOT_RUN = "X-Not-Executed: 1"
BUSY = "503 Service Unavailable"
LATER_REQUESTS = 30


def by_replica(leaving, other=None):
    """Return a script: replica i-1 answers with one script, i-2 with another."""

    def script(fields):
        chosen = leaving if fields["x-expect-instance"] == "i-1" else other
        return chosen(fields) if callable(chosen) else chosen

    return script


def echoed(status, *fields):
    """Return a script that answers with a status and the request's identifier."""

    def script(request):
        echo = f"X-Attempt-Id: {request['x-attempt-id']}"
        return [answer(b"", status, [echo, *fields])]

    return script


async def call(application, count=1):
    """Send requests one after another."""
    callers = [Caller(request_id=b"r%d" % number) for number in range(count)]
    for caller in callers:
        await caller.send_to(application)
    return callers


def replicas_called(harness):
    return [fields["x-expect-instance"] for _, fields, _ in harness.server.requests]


def serve_until_told(script, with_route):
    """Send requests until replica i-1 has answered one, then some more.

    :returns: the harness, and the number of requests to i-1 after its first answer.
    """
    harness = GatewayHarness([script], with_route)

    async def act(harness, application, _):
        while "i-1" not in replicas_called(harness):
            await call(application)
        told = replicas_called(harness).count("i-1")
        await call(application, LATER_REQUESTS)
        harness.later = replicas_called(harness).count("i-1") - told

    harness.run(Caller(), act)
    return harness, harness.later


# DRAIN: a replica that left was known to leave only once the store listed it so.
@pytest.mark.parametrize(
    ("leaving", "with_route"),
    [
        (signed(extra=[LEAVING]), ONCE_ROUTE),
        (signed(b"", "204 No Content", extra=[LEAVING]), ONCE_ROUTE),
        (signed(b"none", "404 Not Found", extra=[LEAVING]), ONCE_ROUTE),
        (signed(b"error", "500 Error", extra=[LEAVING]), IDEMPOTENT_ROUTE),
        (signed(b"late", "504 Late", extra=[LEAVING]), ONCE_ROUTE),
        (stream([1, 2], "whole", [LEAVING]), RESUMABLE_ROUTE),
        (stream([1], "reset", [LEAVING]), RESUMABLE_ROUTE),
        (echoed(BUSY, NOT_RUN, LEAVING), ONCE_ROUTE),
        (echoed("429 Too Many", NOT_RUN, LEAVING), ONCE_ROUTE),
        (echoed(BUSY, LEAVING), IDEMPOTENT_ROUTE),
        (echoed("200 OK", LEAVING), IDEMPOTENT_ROUTE),
        (signed(extra=[LEAVING, "Content-Encoding: gzip"]), IDEMPOTENT_ROUTE),
        (signed(extra=[LEAVING.lower(), "Connection: close"]), ONCE_ROUTE),
    ],
)
def test_replica_that_says_it_leaves_gets_nothing_more(leaving, with_route):
    streaming = with_route is RESUMABLE_ROUTE
    other = stream([1, 2], "whole") if streaming else signed()
    harness, later = serve_until_told(by_replica(leaving, other), with_route)
    assert later == 0
    assert not harness.context.view.usable("i-1")
    assert harness.context.view.usable("i-2")


@pytest.mark.parametrize(
    "staying",
    [
        signed(),
        signed(extra=["Server-Leaving: 0"]),
        signed(extra=["Server-Leaving:"]),
        signed(extra=["Connection: close"]),
        # The answer of another process says nothing of the chosen one.
        echoed("421 Misdirected Request", LEAVING),
        # An answer to another request is skipped.
        lambda f: [
            answer(b"", fields=[SIGNED, "X-Attempt-Id: zz", LEAVING]),
            *signed()(f),
        ],
    ],
)
def test_replica_that_does_not_say_that_it_leaves_stays_usable(staying):
    harness, _ = serve_until_told(by_replica(staying, signed()), ONCE_ROUTE)
    assert harness.context.view.usable("i-1")


def test_extra_answer_on_a_kept_connection_does_not_tell_of_a_leaving_replica():
    extra = answer(b"", fields=[SIGNED, "X-Attempt-Id: old", LEAVING])
    harness = GatewayHarness([lambda f: [*signed()(f), Late(extra)]], ONCE_ROUTE)

    async def act(harness, application, _):
        callers = await call(application, 6)
        assert [caller.status for caller in callers] == [200] * 6

    harness.run(Caller(), act)
    assert harness.context.view.usable("i-1")
    assert harness.context.view.usable("i-2")


@pytest.mark.parametrize(
    "last", [signed(extra=[LEAVING]), echoed(BUSY, NOT_RUN, LEAVING)]
)
def test_requests_are_refused_at_once_if_all_replicas_leave(last):
    harness = GatewayHarness([last], ONCE_ROUTE)

    async def act(harness, application, _):
        while len(set(replicas_called(harness))) < 2:
            await call(application)
        told = len(harness.server.requests)
        callers = await call(application, 5)
        assert len(harness.server.requests) == told
        for caller in callers:
            assert caller.status == 503
            assert 0 < float(caller.fields["retry-after"]) <= 2

    harness.run(Caller(), act)
    rendered = harness.context.metrics.render()
    assert 'lentilshore_refusals_total{reason="no_upstream"}' in rendered


# A caller got 502 though a replica had answered: the only other one was leaving.
def test_error_answer_is_relayed_if_no_replica_is_left_for_a_retry():
    failing = signed(b"error", "500 Error", extra=[LEAVING])
    caller = GatewayHarness([failing], IDEMPOTENT_ROUTE).run(Caller())
    assert (caller.status, caller.body) == (500, b"error")


def test_streams_go_on_at_a_leaving_replica():
    def slow(fields):
        first, second, end = stream([1, 2], "whole", [LEAVING])(fields)[1:]
        head = stream([], "whole", [LEAVING])(fields)[0]
        return [0.05, head, first, 0.1, second, end]

    harness = GatewayHarness([slow], route(DeliveryMode.STREAM_ONCE))
    callers = [Caller(request_id=b"r%d" % number) for number in range(8)]

    async def act(harness, application, _):
        async with anyio.create_task_group() as group:
            for caller in callers:
                group.start_soon(caller.send_to, application)

    harness.run(callers[0], act)
    assert [c.body for c in callers] == [event(1) + event(2)] * 8
    assert all(caller.complete for caller in callers)


# A stream was ended for a silence that other replicas were allowed: placement forgot a
# replica that leaves, and with it that it answers other requests.
@pytest.mark.parametrize("fields", [[], [LEAVING]])
def test_timeout_of_a_stream_is_extended_at_a_leaving_replica_too(fields):
    async def act(harness, application, caller):
        async def answer_others():
            while True:
                for name in ("i-1", "i-2"):
                    harness.context.placement.record_answer(name)
                await anyio.sleep(0.02)

        async with anyio.create_task_group() as group:
            group.start_soon(answer_others)
            await caller.send_to(application)
            group.cancel_scope.cancel()

    def late(request):
        head, first, second, end = stream([1, 2], "whole", fields)(request)
        return [head, first, 0.55, second, end]

    # The timeout is 0.38 s, extended to 0.9 s.
    with_route = RESUMABLE_ROUTE._replace(pause_objective_s=0.3)
    harness = GatewayHarness([late, stream([2], "whole")], with_route)
    caller = harness.run(Caller(), act)
    assert (caller.body, len(harness.server.requests)) == (event(1) + event(2), 1)


def test_request_is_not_sent_if_its_replica_announces_while_it_connects():
    harness = GatewayHarness([signed()], ONCE_ROUTE)

    async def act(harness, application, caller):
        view, connect = harness.context.view, harness.context.http._connect

        async def announce_and_connect(address, timeout_s):
            for known in list(view._records.values()):
                view.record_leaving(known.replica)
            return await connect(address, timeout_s)

        harness.context.http._connect = announce_and_connect
        await caller.send_to(application)

    assert harness.run(Caller(), act).status == 503
    assert harness.server.requests == []


def test_stream_is_resumed_elsewhere_than_at_the_leaving_replica():
    broken = stream([1], "reset", [LEAVING])

    def script(fields):
        resumed = fields.get("last-event-id")
        return (stream([2], "whole") if resumed else broken)(fields)

    harness = GatewayHarness([script], RESUMABLE_ROUTE)
    caller = harness.run(Caller())
    assert (caller.body, caller.complete) == (event(1) + event(2), True)
    assert len(set(replicas_called(harness))) == 2


def test_partial_event_of_a_leaving_replica_is_not_relayed():
    def broken(fields):
        steps = stream([1], "close", [LEAVING])(fields)[:-1]
        return [*steps, chunk(b"id: 2\n"), "close"]

    script = [broken, stream([2], "whole")]
    caller = GatewayHarness(script, RESUMABLE_ROUTE).run(Caller())
    assert (caller.body, caller.complete) == (event(1) + event(2), True)


def create_view():
    clock = FakeClock()
    placement = Placement("n", clock, random.Random(1))
    view = FleetView(clock, placement, VANISHED_GRACE_S, ServedMetrics())
    return view, placement, clock


def announce(view, started_ms=5):
    """Let a replica be listed and say that it leaves."""
    leaving = record(started_ms=started_ms)
    view.replace_replicas([leaving, record("i-2")], 1)
    view.record_leaving(leaving.replica)
    return leaving


LISTINGS = {
    "listed again": lambda view, leaving: view.replace_replicas([leaving], 1),
    "restored": lambda view, leaving: view.replace_replicas([leaving], 2),
    "changed": lambda view, leaving: view.update_replica(leaving),
    "registered again": lambda view, leaving: (
        view.remove_replica("i-1"),
        view.update_replica(leaving),
    ),
    "missing, then restored": lambda view, leaving: (
        view.replace_replicas([], 1),
        view.replace_replicas([leaving], 2),
    ),
    "said again": lambda view, leaving: view.record_leaving(leaving.replica),
    "restored from before its start": lambda view, _: view.replace_replicas(
        [record(started_ms=4)], 2
    ),
}


# DRAIN: a store that was away, restored or late listed a leaving replica as ready.
@pytest.mark.parametrize("listing", LISTINGS)
def test_leaving_replica_stays_unusable_whatever_the_store_lists(listing):
    view, placement, clock = create_view()
    leaving = announce(view)
    for _ in range(2):
        LISTINGS[listing](view, leaving)
        assert not view.usable("i-1.5")
        assert not view.usable("i-1.4")
        lease = placement.choose("pool@v1", 1.0, excluded=["i-2.0"])
        assert lease is None
        clock.advance(60.0)
        view.expire_vanished_replicas()


@pytest.mark.parametrize(
    ("later", "usable"),
    [
        (record(started_ms=6), True),
        (record("i-3", started_ms=0), True),
        (record(started_ms=5), False),
        (record(started_ms=4), False),
        (record(started_ms=6, draining=True), False),
    ],
)
@pytest.mark.parametrize("how", ["update", "replace"])
def test_later_process_is_used_although_its_predecessor_left(later, usable, how):
    view, _, _ = create_view()
    announce(view)
    if how == "update":
        view.update_replica(later)
    else:
        view.replace_replicas([later], 1)
    assert view.usable(later.replica.name) is usable


def test_late_answer_of_an_earlier_process_does_not_stop_its_successor():
    view, _, _ = create_view()
    view.replace_replicas([record(started_ms=5)], 1)
    view.update_replica(record(started_ms=6))
    view.record_leaving(record(started_ms=5).replica)
    assert view.usable("i-1.6")


def test_replica_that_announces_after_it_vanished_is_not_used_again():
    view, _, clock = create_view()
    leaving = record(started_ms=5)
    view.replace_replicas([leaving], 1)
    view.remove_replica("i-1")
    view.record_leaving(leaving.replica)
    assert not view.usable("i-1.5")
    clock.advance(60.0)
    view.expire_vanished_replicas()
    view.update_replica(leaving)
    assert not view.usable("i-1.5")


def test_replica_that_announces_after_its_removal_is_not_used_again():
    view, _, _ = create_view()
    leaving = record(started_ms=5)
    view.replace_replicas([], 1)
    view.record_leaving(leaving.replica)
    view.update_replica(leaving)
    assert not view.usable("i-1.5")


def test_leaving_replica_does_not_count_for_its_version():
    view, _, _ = create_view()
    leaving = record(version="v2", started_ms=5)
    view.replace_replicas([leaving, record("i-2")], 1)
    view.record_leaving(leaving.replica)
    assert view.version_counts("pool") == {"v1": 1}


def test_number_of_remembered_departures_is_bounded(monkeypatch):
    monkeypatch.setattr(replica_record, "ANNOUNCED_DEPARTURES_LIMIT", 10)
    announced = AnnouncedDepartures()
    for number in range(100):
        known = record(f"i-{number}", started_ms=1)
        announced.record(known.replica.name)
        assert announced.apply(known).replica.draining
    assert len(announced._names) == len(announced._started_ms) == 10


def sends_nothing_more():
    """A replica that says that it leaves gets nothing more."""
    script = by_replica(signed(extra=[LEAVING]), signed())
    return serve_until_told(script, ONCE_ROUTE)[1] == 0


def trusts_no_other_process():
    """The answer of another process at the address says nothing of a replica."""
    script = by_replica(echoed("421 Misdirected Request", LEAVING), signed())
    return serve_until_told(script, ONCE_ROUTE)[0].context.view.usable("i-1")


def outlasts_the_store():
    """A restored store does not make a leaving replica usable."""
    view, _, _ = create_view()
    view.update_replica(announce(view))
    return not view.usable("i-1.5")


def uses_later_processes():
    """A later process is used."""
    view, _, _ = create_view()
    announce(view)
    view.update_replica(record(started_ms=6))
    return view.usable("i-1.6")


GUARANTEES = (
    sends_nothing_more,
    trusts_no_other_process,
    outlasts_the_store,
    uses_later_processes,
)


def _all_draining(self, listed):
    return listed._replace(replica=listed.replica._replace(draining=True))


def _misdirected_too(read_head):
    def read(self, status, headers):
        head = read_head(self, status, headers)
        return head._replace(misdirected=False) if head.leaving else head

    return read


MUTANTS = {
    "the header is not read": (
        sends_nothing_more,
        patch.object(translator, "LEAVING_HEADER", "x-other"),
    ),
    "the view is not told": (
        sends_nothing_more,
        patch.object(FleetView, "record_leaving", lambda *_: None),
    ),
    "another process is believed": (
        trusts_no_other_process,
        patch.object(
            HeaderTranslator, "read_head", _misdirected_too(HeaderTranslator.read_head)
        ),
    ),
    "the store is believed": (
        outlasts_the_store,
        patch.object(AnnouncedDepartures, "apply", lambda _, listed: listed),
    ),
    "a later process is not told apart": (
        uses_later_processes,
        patch.object(AnnouncedDepartures, "apply", _all_draining),
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
