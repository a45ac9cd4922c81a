"""Tests of a gateway between a caller and scripted replicas, over real sockets."""

import random

import anyio
import pytest

from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock, run_with_clock
from lentilshore_kernel.types import Address
from lentilshore_node.callers.forwarder import FIRST_READ_TIMEOUT_S
from lentilshore_node.callers.gateway import GatewayApplication
from lentilshore_node.clients.http_client import HttpClient
from lentilshore_node.clients.http_connection import CallTimedOutError
from lentilshore_node.programs.gateway_assembly import create_gateway
from lentilshore_node.state.gateway_context import GatewayBounds
from lentilshore_node.state.replica_record import ReplicaRecord
from lentilshore_platform.translator import HeaderTranslator
from lentilshore_routing.replicas import Replica
from lentilshore_routing.routes import (
    CallerLimits,
    DeliveryMode,
    KeyOwner,
    Route,
    RouteTable,
)
from tests.scripted import ScriptedServer, answer

BOUNDS = GatewayBounds(5.0, 2.0, 2.0, 5.0, 8.0, 0.9, 52.0, 10.0, 0.15)
SIGNED = "X-Response-Signature: s1"
REJECTED = "X-Not-Executed: 1"
KEY = "secret"


def route(delivery_mode, models=(), attempts=3, public=False, latency_objective_s=0.4):
    return Route(
        name="r",
        host="h.example",
        prefix="/p/",
        delivery_mode=delivery_mode,
        timeout_s=2.0,
        latency_objective_s=latency_objective_s,
        pause_objective_s=0.2,
        priority=1,
        max_attempts=attempts,
        public=public,
        models=tuple(models),
        service_weights=(("pool", 1.0),),
    )


def signed(body=b"ok", status="200 OK", extra=(), framed=True):
    def script(fields):
        echo = f"X-Attempt-Id: {fields['x-attempt-id']}"
        return [answer(body, status, [SIGNED, echo, *extra], framed)]

    return script


def not_run(status="503 Service Unavailable"):
    return [answer(b"", status, ["X-Not-Executed: 1"])]


def stream(events, end="close", extra=()):
    """Return a script that sends numbered events, then ends or breaks the stream."""

    def script(fields):
        echo = f"X-Attempt-Id: {fields['x-attempt-id']}"
        heads = [SIGNED, echo, "Transfer-Encoding: chunked", *extra]
        head = answer(b"", fields=heads, framed=False)
        steps = [head, *(chunk(event(n)) for n in events)]
        return [*steps, b"0\r\n\r\n"] if end == "whole" else [*steps, end]

    return script


def event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Caller:
    """Sends one request to an application and collects its answer."""

    def __init__(
        self,
        fields=(),
        body=b"",
        path="/p/x",
        disconnected=None,
        request_id=b"a1",
    ):
        self._fields = [
            (b"host", b"h.example"),
            *([(b"x-attempt-id", request_id)] if request_id else []),
            (b"x-deadline-ms", b"1500"),
            (b"authorization", b"Bearer " + KEY.encode()),
            *fields,
        ]
        self._body = body
        self._path = path
        self._disconnected = disconnected or anyio.Event()
        self._body_sent = False
        self.status = None
        self.fields = {}
        self.body = b""
        self.complete = False

    async def send_to(self, application):
        scope = {
            "type": "http",
            "method": "POST",
            "path": self._path,
            "raw_path": self._path.encode(),
            "query_string": b"q=1",
            "headers": self._fields,
            "server": ("127.0.0.1", 1),
        }
        await application(scope, self._receive, self._send)
        return self

    async def _receive(self):
        if not self._body_sent:
            self._body_sent = True
            return {"type": "http.request", "body": self._body, "more_body": False}
        await self._disconnected.wait()
        return {"type": "http.disconnect"}

    async def _send(self, message):
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.fields = {k.decode(): v.decode() for k, v in message["headers"]}
            return
        self.body += message.get("body", b"")
        self.complete = not message.get("more_body")


class GatewayHarness:
    """Runs a gateway with two replicas, both served by one scripted server."""

    def __init__(self, scripts, with_route, confirmed=True):
        self.server = ScriptedServer(scripts)
        self._route = with_route
        self._confirmed = confirmed
        self.context = None

    def run(self, caller, act=None):
        return anyio.run(self._run, caller, act)

    async def _run(self, caller, act):
        async with self.server.running():
            application = self.assemble(_EventLoopClock(), HttpClient())
            if act is not None:
                await act(self, application, caller)
            else:
                with anyio.fail_after(20):
                    await caller.send_to(application)
            await self.context.http.close()
            return caller

    def assemble(self, clock, http):
        self.context = create_gateway(
            "n1",
            "dc",
            BOUNDS,
            clock,
            random.Random(1),
            ServedMetrics(),
            http,
            HeaderTranslator(),
            started_at=clock.monotonic() - BOUNDS.retry_window_s,
        )
        view = self.context.view
        view.replace_replicas([self._record("i-1"), self._record("i-2")])
        keys = {KEY: KeyOwner("kerlann")}
        view.update_table(RouteTable(1, [self._route], keys, CallerLimits(1000)))
        if self._confirmed:
            view.confirm_table(1, clock.monotonic())
        return GatewayApplication(self.context)

    def _record(self, identity):
        replica = Replica(
            identity,
            "forward",
            Address(*self.server.address),
            "dc",
            ("pool@v1",),
            identity=identity,
        )
        return ReplicaRecord(identity, 0, "pool", "v1", replica)


class _EventLoopClock(FakeClock):
    """Clock of the event loop, so that timeouts elapse while scripts wait."""

    def monotonic(self):
        return anyio.current_time()

    async def sleep(self, seconds):
        await anyio.sleep(seconds)

    def timeout(self, seconds):
        return anyio.move_on_after(seconds)


ONCE_ROUTE = route(DeliveryMode.ONCE)
IDEMPOTENT_ROUTE = route(DeliveryMode.IDEMPOTENT)
RESUMABLE_ROUTE = route(DeliveryMode.STREAM_RESUMABLE)


def test_a_request_and_its_answer_are_forwarded_unchanged():
    harness = GatewayHarness(
        [signed(b"body", extra=["X-Other: y", "Connection: z"])], ONCE_ROUTE
    )
    caller = harness.run(
        Caller([(b"x-kept", b"v"), (b"x-tenant", b"forged"), (b"x-hold", b"h")], b"in")
    )
    assert (caller.status, caller.body, caller.complete) == (200, b"body", True)
    assert caller.fields["x-response-signature"] == "s1"
    assert caller.fields["x-other"] == "y"
    assert "connection" not in caller.fields
    line, fields, body = harness.server.requests[0]
    assert (line, body) == ("POST /p/x?q=1 HTTP/1.1", b"in")
    assert fields["x-kept"] == "v"
    assert fields["x-tenant"] == "kerlann"
    assert fields["x-expect-instance"] in ("i-1", "i-2")
    assert 0 < int(fields["x-deadline-ms"]) <= 1500
    assert not {"authorization", "x-hold"} & set(fields)


@pytest.mark.parametrize(
    ("scripts", "with_route", "status", "runs"),
    [
        # The replica states that the request did not run: it is sent to another.
        ([not_run(), signed()], ONCE_ROUTE, 200, 2),
        ([not_run("421 Misdirected Request"), signed()], ONCE_ROUTE, 200, 2),
        # Attempts that did not run do not count towards the route's attempts.
        ([not_run()] * 3 + [signed()], ONCE_ROUTE, 200, 4),
        ([not_run()] * 3 + [signed()], route(DeliveryMode.ONCE, attempts=1), 200, 4),
        ([not_run()], ONCE_ROUTE, 503, 6),
        # What may have run is not repeated, and no status says that it did not run.
        ([["reset"], signed()], ONCE_ROUTE, 502, 1),
        ([["close"], signed()], ONCE_ROUTE, 502, 1),
        ([[answer(b"", "503 Busy", [SIGNED])], signed()], ONCE_ROUTE, 502, 1),
        ([[answer(b"x")], signed()], ONCE_ROUTE, 502, 1),
        # A rejection that bears the signature of a run proves nothing.
        ([[answer(b"", "503 Busy", [SIGNED, REJECTED])], signed()], ONCE_ROUTE, 502, 1),
        ([[answer(b"", "421 Wrong", [SIGNED])], signed()], ONCE_ROUTE, 502, 1),
        ([["hang"]], ONCE_ROUTE, 504, 1),
        ([signed(b"e", "500 Error")], ONCE_ROUTE, 500, 1),
        ([signed(b"e", extra=["Content-Encoding: gzip"])], ONCE_ROUTE, 502, 1),
        # Idempotent requests are repeated up to the route's attempts.
        ([["reset"], signed()], IDEMPOTENT_ROUTE, 200, 2),
        ([["hang"], signed()], IDEMPOTENT_ROUTE, 200, 2),
        ([[answer(b"x")], signed()], IDEMPOTENT_ROUTE, 200, 2),
        ([signed(b"e", "500 Error"), signed()], IDEMPOTENT_ROUTE, 200, 2),
        ([signed(b"e", "500 Error")], IDEMPOTENT_ROUTE, 500, 3),
        ([["reset"]], IDEMPOTENT_ROUTE, 502, 3),
        ([["reset"], not_run()], IDEMPOTENT_ROUTE, 502, 6),
        ([["reset"], signed()], route(DeliveryMode.IDEMPOTENT, attempts=1), 502, 1),
        ([signed(b"n", "404 None")], IDEMPOTENT_ROUTE, 404, 1),
    ],
)
def test_retries_and_statuses_by_failure(scripts, with_route, status, runs):
    harness = GatewayHarness(scripts, with_route)
    caller = harness.run(Caller())
    assert (caller.status, len(harness.server.requests)) == (status, runs)
    assert ("retry-after" in caller.fields) == (status == 503)


def test_a_refused_connection_proves_that_the_request_did_not_run():
    async def act(harness, application, caller):
        harness.context.view.replace_replicas(
            [
                record._replace(
                    replica=record.replica._replace(address=Address("127.0.0.1", 1))
                )
                for record in harness.context.view._records.values()
            ]
        )
        await caller.send_to(application)

    caller = GatewayHarness([[]], ONCE_ROUTE).run(Caller(), act)
    assert caller.status == 503
    assert float(caller.fields["retry-after"]) > 0


def test_an_answer_to_another_request_is_not_relayed():
    foreign = answer(b"other", fields=[SIGNED, "X-Attempt-Id: zz"])
    harness = GatewayHarness([lambda f: [foreign, *signed(b"own")(f)]], ONCE_ROUTE)
    assert harness.run(Caller()).body == b"own"


@pytest.mark.parametrize(
    ("scripts", "events", "complete", "resumed"),
    [
        ([stream([1, 2, 3], "whole")], [1, 2, 3], True, [None]),
        ([stream([1, 2], "reset"), stream([3], "whole")], [1, 2, 3], True, [None, "2"]),
        ([stream([1, 2], "hang"), stream([3], "whole")], [1, 2, 3], True, [None, "2"]),
        ([["reset"], stream([1], "whole")], [1], True, [None, None]),
        ([not_run(), stream([1], "whole")], [1], True, [None, None]),
        ([stream([1], "reset"), ["reset"], ["reset"]], [1], False, [None, "1", "1"]),
    ],
)
def test_a_stream_resumes_after_its_last_whole_event(
    scripts, events, complete, resumed
):
    harness = GatewayHarness(scripts, RESUMABLE_ROUTE)
    caller = harness.run(Caller())
    assert caller.body == b"".join(event(n) for n in events)
    assert caller.complete is complete
    sent = [fields.get("last-event-id") for _, fields, _ in harness.server.requests]
    assert sent == resumed


def test_a_stream_with_an_endless_event_is_resumed_elsewhere():
    def endless(fields):
        part = chunk(b"x" * 65_536)
        return [*stream([1])(fields)[:-1], *[part] * 17, "hang"]

    scripts = [endless, stream([2], "whole")]
    harness = GatewayHarness(scripts, RESUMABLE_ROUTE)
    caller = harness.run(Caller())
    assert (caller.body, caller.complete) == (event(1) + event(2), True)
    assert harness.server.requests[1][1]["last-event-id"] == "1"


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("x-length-hint", b"9" * 5000),
        ("x-length-hint", b"many"),
        ("x-deadline-ms", b"9" * 5000),
        ("last-event-id", b"-1"),
    ],
)
def test_a_malformed_number_is_refused_before_any_attempt(name, value):
    harness = GatewayHarness([signed()], RESUMABLE_ROUTE)
    caller = harness.run(Caller(fields=[(name.encode(), value)]))
    assert caller.status == 400
    assert harness.server.requests == []


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("x-token-usage", b"0,0"),
        ("x-token-usage", b"9" * 5000 + b",1"),
        ("x-token-usage", b"1000000000,1000000000"),
        ("x-prompt-prefix", b"a:" + b"9" * 5000),
    ],
)
def test_a_size_beyond_reason_fails_no_request(name, value):
    harness = GatewayHarness([stream([1], "whole")], RESUMABLE_ROUTE)
    assert harness.run(Caller(fields=[(name.encode(), value)])).body == event(1)


@pytest.mark.parametrize("confidence", ["", "high", "-3", "9" * 5000, "\u0665"])
def test_an_unreadable_confidence_keeps_the_answer(confidence):
    headers = {"x-confidence": confidence}
    assert HeaderTranslator().read_head(200, headers).confidence is None


def test_a_partial_event_is_never_relayed():
    def broken(fields):
        return [*stream([1], "close")(fields)[:-1], chunk(b"id: 2\nda"), "reset"]

    harness = GatewayHarness([broken, stream([2], "whole")], RESUMABLE_ROUTE)
    assert harness.run(Caller()).body == event(1) + event(2)


def test_a_broken_stream_that_may_run_once_is_cut_off():
    harness = GatewayHarness(
        [stream([1], "reset"), stream([2], "whole")], route(DeliveryMode.STREAM_ONCE)
    )
    caller = harness.run(Caller())
    assert (caller.body, caller.complete) == (event(1), False)
    assert len(harness.server.requests) == 1


@pytest.mark.parametrize(
    ("confidence", "models"), [("80", ["s"]), ("20", ["s", "l"]), (None, ["s"])]
)
def test_an_answer_of_low_confidence_is_escalated_to_the_largest_model(
    confidence, models
):
    extra = [f"X-Confidence: {confidence}"] if confidence else []
    harness = GatewayHarness(
        [stream([1], "whole", extra)],
        route(DeliveryMode.STREAM_RESUMABLE, models=("s", "m", "l")),
    )
    caller = harness.run(Caller([(b"x-model", b"*")]))
    assert caller.body == event(1)
    assert [f["x-model"] for _, f, _ in harness.server.requests] == models


@pytest.mark.parametrize(
    ("fields", "path", "age_s", "status"),
    [
        ([(b"authorization", b"Bearer wrong")], "/p/x", 0.0, 401),
        ([(b"authorization", b"")], "/p/x", 0.0, 401),
        ([], "/other/x", 0.0, 404),
        ([(b"x-deadline-ms", b"soon")], "/p/x", 0.0, 400),
        # An old configuration is no ground for a denial: 503 instead of 401 or 404.
        ([(b"authorization", b"Bearer wrong")], "/p/x", 3.0, 503),
        ([], "/other/x", 3.0, 503),
        # A key that may have been withdrawn meanwhile is refused.
        ([], "/p/x", 4.7, 503),
    ],
)
def test_requests_that_are_refused_without_an_attempt(fields, path, age_s, status):
    async def act(harness, application, caller):
        now = harness.context.clock.monotonic()
        harness.context.view._confirmed_at = now - age_s
        await caller.send_to(application)

    harness = GatewayHarness([signed()], IDEMPOTENT_ROUTE)
    caller = harness.run(Caller(fields, path=path), act)
    assert (caller.status, harness.server.requests) == (status, [])


@pytest.mark.parametrize("withdrawn", ["proof", "replica"])
def test_changes_while_a_connection_opens_stop_the_request(withdrawn):
    """The configuration gets too old to prove the key, or the replica drains."""

    async def act(harness, application, caller):
        view, http = harness.context.view, harness.context.http
        connect = http._connect

        async def slow_connect(address, timeout_s):
            made = await connect(address, timeout_s)
            if withdrawn == "proof":
                view._confirmed_at = harness.context.clock.monotonic() - 4.7
            else:
                for record in list(view._records.values()):
                    draining = record.replica._replace(draining=True)
                    view.update_replica(record._replace(replica=draining))
            return made

        http._connect = slow_connect
        await caller.send_to(application)

    harness = GatewayHarness([signed()], ONCE_ROUTE)
    caller = harness.run(Caller(), act)
    assert (caller.status, harness.server.requests) == (503, [])


def test_a_body_over_the_limit_is_refused():
    harness = GatewayHarness([signed()], IDEMPOTENT_ROUTE)
    assert harness.run(Caller(body=b"x" * 1001)).status == 413


def test_a_node_without_configuration_answers_503_and_not_401_or_404():
    async def act(harness, application, caller):
        harness.context.view._table = None
        await caller.send_to(application)

    assert GatewayHarness([signed()], IDEMPOTENT_ROUTE).run(Caller(), act).status == 503


def test_first_requests_wait_for_the_first_read_of_the_store():
    async def act(harness, application, caller):
        view = harness.context.view
        table, view._table = view._table, None
        async with anyio.create_task_group() as group:
            group.start_soon(caller.send_to, application)
            await anyio.sleep(0.02)
            view._table = table

    assert GatewayHarness([signed()], IDEMPOTENT_ROUTE).run(Caller(), act).status == 200


def test_a_node_without_configuration_refuses_at_once_when_its_start_is_over():
    async def act(harness, application, caller):
        harness.context.view._table = None
        harness.context.view._started_at -= 1.0
        with anyio.fail_after(FIRST_READ_TIMEOUT_S / 2):
            await caller.send_to(application)

    assert GatewayHarness([signed()], IDEMPOTENT_ROUTE).run(Caller(), act).status == 503


def test_a_disconnect_of_the_caller_cancels_the_request():
    async def act(harness, application, caller):
        async with anyio.create_task_group() as group:
            group.start_soon(caller.send_to, application)
            while not harness.server.requests:
                await anyio.sleep(0.005)
            caller._disconnected.set()
        assert harness.context.in_flight == 0

    caller = GatewayHarness([["hang"]], ONCE_ROUTE).run(Caller(), act)
    assert caller.status is None


def test_answers_of_a_draining_node_close_their_connection():
    async def act(harness, application, caller):
        harness.context.begin_to_stop()
        await caller.send_to(application)

    assert (
        GatewayHarness([signed()], ONCE_ROUTE).run(Caller(), act).fields["connection"]
        == "close"
    )


def test_a_replaced_replica_is_ejected_though_its_address_answers():
    async def act(harness, application, caller):
        await caller.send_to(application)
        first = harness.server.requests[0][1]["x-expect-instance"]
        assert harness.context.placement.ejected() == [first]

    GatewayHarness([not_run("421 Misdirected Request"), signed()], ONCE_ROUTE).run(
        Caller(), act
    )


@pytest.mark.parametrize(
    ("age_s", "ready", "connection"), [(2.0, True, None), (3.0, False, "close")]
)
def test_callers_are_sent_to_other_nodes_before_keys_are_refused(
    age_s, ready, connection
):
    async def act(harness, application, caller):
        now = harness.context.clock.monotonic()
        harness.context.view._confirmed_at = now - age_s
        await caller.send_to(application)
        assert harness.context.ready is ready

    caller = GatewayHarness([signed()], IDEMPOTENT_ROUTE).run(Caller(), act)
    assert (caller.status, caller.fields.get("connection")) == (200, connection)


class SilentHttpClient:
    """HTTP client whose server accepts requests and never answers."""

    def __init__(self, clock):
        self._clock = clock

    async def start(self, address, encode, timeout_s, *_, **__):
        encode()
        return self

    async def wait_for_head(self, timeout_s, extend_timeout=None):
        await self._clock.sleep(timeout_s)
        raise CallTimedOutError("no data from the server before the timeout")

    def end(self):
        pass

    async def close(self):
        pass


@pytest.mark.parametrize("delivery_mode", [DeliveryMode.ONCE, DeliveryMode.IDEMPOTENT])
def test_a_replica_that_is_silent_until_the_deadline_is_ejected(delivery_mode):
    """On a fake clock: a stalled event loop would reach both timeouts at once."""
    clock = FakeClock()
    harness = GatewayHarness([["hang"]], route(delivery_mode, attempts=1))
    application = harness.assemble(clock, SilentHttpClient(clock))
    deadline = (b"x-deadline-ms", b"200")
    caller = run_with_clock(clock, Caller(fields=[deadline]).send_to, application)
    assert len(harness.context.placement.ejected()) == 1
    failed = 'lentilshore_failed_attempts_total{reason="upstream_stalled"} 1'
    assert failed in harness.context.metrics.render()
    assert caller.status == 504


@pytest.mark.parametrize(("answers_others", "runs"), [(True, 1), (False, 2)])
def test_the_timeout_of_a_loaded_replica_is_extended_but_not_of_a_silent_one(
    answers_others, runs
):
    """If all engines are loaded, reading a prompt on a second one adds to the load."""

    async def act(harness, application, caller):
        placement = harness.context.placement

        async def answer_others():
            while answers_others:
                for name in ("i-1", "i-2"):
                    placement.record_answer(name)
                await anyio.sleep(0.02)

        async with anyio.create_task_group() as group:
            group.start_soon(answer_others)
            await caller.send_to(application)
            group.cancel_scope.cancel()

    def late(fields):
        return [0.7, *stream([1], "whole")(fields)]

    scripts = [late, stream([1], "whole")]
    harness = GatewayHarness(
        scripts, route(DeliveryMode.STREAM_RESUMABLE, latency_objective_s=0.4)
    )
    caller = harness.run(Caller(), act)
    assert (caller.body, len(harness.server.requests)) == (event(1), runs)


def test_a_draining_replica_gets_no_requests():
    async def act(harness, application, caller):
        view = harness.context.view
        for record in list(view._records.values()):
            draining = record.replica._replace(draining=True)
            view.update_replica(record._replace(replica=draining))
        await caller.send_to(application)

    harness = GatewayHarness([signed()], IDEMPOTENT_ROUTE)
    assert harness.run(Caller(), act).status == 503
    assert harness.server.requests == []
