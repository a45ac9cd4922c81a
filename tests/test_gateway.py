"""A gateway between a caller and scripted replicas, over real sockets."""

import random

import anyio
import pytest

from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock
from lentilshore_kernel.types import Address
from lentilshore_node.fleet_view import ReplicaRecord
from lentilshore_node.forwarder import FIRST_READ_WAIT_S
from lentilshore_node.gateway import GatewayApplication
from lentilshore_node.gateway_assembly import create_gateway
from lentilshore_node.gateway_context import GatewayTimes
from lentilshore_node.http_client import HttpClient
from lentilshore_platform.translator import HeaderTranslator
from lentilshore_routing.placement import Replica
from lentilshore_routing.routes import (
    CallerLimits,
    DeliveryMode,
    KeyHolder,
    Route,
    RouteTable,
)
from tests.scripted import ScriptedServer, answer

TIMES = GatewayTimes(5.0, 2.0, 2.0, 5.0, 8.0, 0.9, 52.0, 10.0, 0.15)
SIGNED = "X-Response-Signature: s1"
KEY = "secret"


def route(repeat, models=(), attempts=3, public=False, objective_s=0.4):
    return Route(
        name="r",
        host="h.example",
        prefix="/p/",
        delivery_mode=repeat,
        timeout_s=2.0,
        objective_s=objective_s,
        pause_s=0.2,
        priority=1,
        max_attempts=attempts,
        public=public,
        models=tuple(models),
        weights=(("pool", 1.0),),
    )


def signed(body=b"ok", status="200 OK", extra=(), framed=True):
    def script(fields):
        echo = f"X-Attempt-Id: {fields['x-attempt-id']}"
        return [answer(body, status, [SIGNED, echo, *extra], framed)]

    return script


def not_run(status="503 Service Unavailable"):
    return [answer(b"", status, ["X-Not-Executed: 1"])]


def stream(events, end="close", extra=()):
    """Return a script that sends events by number and then breaks or ends."""

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
    """Sends one request to an application and gathers its answer."""

    def __init__(self, fields=(), body=b"", path="/p/x", leaves=None):
        self._fields = [
            (b"host", b"h.example"),
            (b"x-attempt-id", b"a1"),
            (b"x-deadline-ms", b"1500"),
            (b"authorization", b"Bearer " + KEY.encode()),
            *fields,
        ]
        self._body = body
        self._path = path
        self._leaves = leaves or anyio.Event()
        self._asked = False
        self.status = None
        self.fields = {}
        self.body = b""
        self.whole = False

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
        if not self._asked:
            self._asked = True
            return {"type": "http.request", "body": self._body, "more_body": False}
        await self._leaves.wait()
        return {"type": "http.disconnect"}

    async def _send(self, message):
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.fields = {k.decode(): v.decode() for k, v in message["headers"]}
            return
        self.body += message.get("body", b"")
        self.whole = not message.get("more_body")


class Bench:
    """A gateway before scripted replicas."""

    def __init__(self, scripts, with_route, confirmed=True):
        self.server = ScriptedServer(scripts)
        self._route = with_route
        self._confirmed = confirmed
        self.context = None

    def run(self, caller, act=None):
        return anyio.run(self._run, caller, act)

    async def _run(self, caller, act):
        async with self.server.running():
            application = self._assemble()
            if act is not None:
                await act(self, application, caller)
            else:
                with anyio.fail_after(20):
                    await caller.send_to(application)
            await self.context.http.close()
            return caller

    def _assemble(self):
        clock = _RealTime()
        self.context = create_gateway(
            "n1",
            "dc",
            TIMES,
            clock,
            random.Random(1),
            ServedMetrics(),
            HttpClient(),
            HeaderTranslator(),
        )
        view = self.context.view
        view.take_list([self._record("i-1"), self._record("i-2")])
        keys = {KEY: KeyHolder("kerlann")}
        view.take_table(RouteTable(1, [self._route], keys, CallerLimits(1000)))
        if self._confirmed:
            view.confirm(clock.monotonic())
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


class _RealTime(FakeClock):
    """Steady clock of the event loop, so that scripted waits end."""

    def monotonic(self):
        return anyio.current_time()

    async def sleep(self, seconds):
        await anyio.sleep(seconds)

    def timeout(self, seconds):
        return anyio.move_on_after(seconds)


ONCE = route(DeliveryMode.ONCE)
AGAIN = route(DeliveryMode.IDEMPOTENT)
RESUMABLE = route(DeliveryMode.STREAM_RESUMABLE)


def test_a_request_is_passed_on_unchanged_and_its_answer_back():
    bench = Bench([signed(b"body", extra=["X-Other: y", "Connection: z"])], ONCE)
    caller = bench.run(
        Caller([(b"x-kept", b"v"), (b"x-tenant", b"forged"), (b"x-hold", b"h")], b"in")
    )
    assert (caller.status, caller.body, caller.whole) == (200, b"body", True)
    assert caller.fields["x-response-signature"] == "s1"
    assert caller.fields["x-other"] == "y"
    assert "connection" not in caller.fields
    line, fields, body = bench.server.requests[0]
    assert (line, body) == ("POST /p/x?q=1 HTTP/1.1", b"in")
    assert fields["x-kept"] == "v"
    assert fields["x-tenant"] == "kerlann"
    assert fields["x-expect-instance"] in ("i-1", "i-2")
    assert 0 < int(fields["x-deadline-ms"]) <= 1500
    assert not {"authorization", "x-hold"} & set(fields)


@pytest.mark.parametrize(
    ("scripts", "with_route", "status", "runs"),
    [
        # A refusal by the replica is proved: another replica is asked.
        ([not_run(), signed()], ONCE, 200, 2),
        ([not_run("421 Misdirected Request"), signed()], ONCE, 200, 2),
        # What did not run is no run of the route's attempts.
        ([not_run()] * 3 + [signed()], ONCE, 200, 4),
        ([not_run()] * 3 + [signed()], route(DeliveryMode.ONCE, attempts=1), 200, 4),
        ([not_run()], ONCE, 503, 6),
        # What may have run is not repeated, and no promise is made.
        ([["reset"], signed()], ONCE, 502, 1),
        ([["close"], signed()], ONCE, 502, 1),
        ([[answer(b"", "503 Busy", [SIGNED])], signed()], ONCE, 502, 1),
        ([[answer(b"x")], signed()], ONCE, 502, 1),
        ([["hang"]], ONCE, 504, 1),
        ([signed(b"e", "500 Error")], ONCE, 500, 1),
        ([signed(b"e", extra=["Content-Encoding: gzip"])], ONCE, 502, 1),
        # Idempotent requests are repeated within the route's attempts.
        ([["reset"], signed()], AGAIN, 200, 2),
        ([["hang"], signed()], AGAIN, 200, 2),
        ([[answer(b"x")], signed()], AGAIN, 200, 2),
        ([signed(b"e", "500 Error"), signed()], AGAIN, 200, 2),
        ([signed(b"e", "500 Error")], AGAIN, 500, 3),
        ([["reset"]], AGAIN, 502, 3),
        ([["reset"], not_run()], AGAIN, 502, 6),
        ([["reset"], signed()], route(DeliveryMode.IDEMPOTENT, attempts=1), 502, 1),
        ([signed(b"n", "404 None")], AGAIN, 404, 1),
    ],
)
def test_repeats_and_promises(scripts, with_route, status, runs):
    bench = Bench(scripts, with_route)
    caller = bench.run(Caller())
    assert (caller.status, len(bench.server.requests)) == (status, runs)
    assert ("retry-after" in caller.fields) == (status == 503)


def test_a_refusal_where_nobody_listens_is_a_promise():
    async def act(bench, application, caller):
        bench.context.view.take_list(
            [
                record._replace(
                    replica=record.replica._replace(address=Address("127.0.0.1", 1))
                )
                for record in bench.context.view._records.values()
            ]
        )
        await caller.send_to(application)

    caller = Bench([[]], ONCE).run(Caller(), act)
    assert caller.status == 503
    assert float(caller.fields["retry-after"]) > 0


def test_an_answer_to_another_request_is_not_passed_on():
    foreign = answer(b"other", fields=[SIGNED, "X-Attempt-Id: zz"])
    bench = Bench([lambda f: [foreign, *signed(b"own")(f)]], ONCE)
    assert bench.run(Caller()).body == b"own"


@pytest.mark.parametrize(
    ("scripts", "events", "whole", "resumed"),
    [
        ([stream([1, 2, 3], "whole")], [1, 2, 3], True, [None]),
        ([stream([1, 2], "reset"), stream([3], "whole")], [1, 2, 3], True, [None, "2"]),
        ([stream([1, 2], "hang"), stream([3], "whole")], [1, 2, 3], True, [None, "2"]),
        ([["reset"], stream([1], "whole")], [1], True, [None, None]),
        ([not_run(), stream([1], "whole")], [1], True, [None, None]),
        ([stream([1], "reset"), ["reset"], ["reset"]], [1], False, [None, "1", "1"]),
    ],
)
def test_a_stream_goes_on_after_its_last_whole_event(scripts, events, whole, resumed):
    bench = Bench(scripts, RESUMABLE)
    caller = bench.run(Caller())
    assert caller.body == b"".join(event(n) for n in events)
    assert caller.whole is whole
    sent = [fields.get("last-event-id") for _, fields, _ in bench.server.requests]
    assert sent == resumed


def test_a_part_of_an_event_is_never_passed_on():
    def broken(fields):
        return [*stream([1], "close")(fields)[:-1], chunk(b"id: 2\nda"), "reset"]

    bench = Bench([broken, stream([2], "whole")], RESUMABLE)
    assert bench.run(Caller()).body == event(1) + event(2)


def test_a_stream_that_may_not_run_twice_is_cut_where_it_broke():
    bench = Bench(
        [stream([1], "reset"), stream([2], "whole")], route(DeliveryMode.STREAM_ONCE)
    )
    caller = bench.run(Caller())
    assert (caller.body, caller.whole) == (event(1), False)
    assert len(bench.server.requests) == 1


@pytest.mark.parametrize(
    ("confidence", "models"), [("80", ["s"]), ("20", ["s", "l"]), (None, ["s"])]
)
def test_an_unsure_answer_is_asked_of_the_largest_model(confidence, models):
    extra = [f"X-Confidence: {confidence}"] if confidence else []
    bench = Bench(
        [stream([1], "whole", extra)],
        route(DeliveryMode.STREAM_RESUMABLE, models=("s", "m", "l")),
    )
    caller = bench.run(Caller([(b"x-model", b"*")]))
    assert caller.body == event(1)
    assert [f["x-model"] for _, f, _ in bench.server.requests] == models


@pytest.mark.parametrize(
    ("fields", "path", "age_s", "status"),
    [
        ([(b"authorization", b"Bearer wrong")], "/p/x", 0.0, 401),
        ([(b"authorization", b"")], "/p/x", 0.0, 401),
        ([], "/other/x", 0.0, 404),
        ([(b"x-deadline-ms", b"soon")], "/p/x", 0.0, 400),
        # What is not known for certain is not denied.
        ([(b"authorization", b"Bearer wrong")], "/p/x", 3.0, 503),
        ([], "/other/x", 3.0, 503),
        # A key whose withdrawal may have been missed is not honoured.
        ([], "/p/x", 4.7, 503),
    ],
)
def test_what_is_refused_before_any_replica_is_asked(fields, path, age_s, status):
    async def act(bench, application, caller):
        now = bench.context.clock.monotonic()
        bench.context.view._confirmed_at = now - age_s
        await caller.send_to(application)

    bench = Bench([signed()], AGAIN)
    caller = bench.run(Caller(fields, path=path), act)
    assert (caller.status, bench.server.requests) == (status, [])


@pytest.mark.parametrize("withdrawn", ["proof", "replica"])
def test_what_changes_while_a_connection_opens_is_seen(withdrawn):
    """A key's proof runs out, or the replica leaves, before the bytes go out."""

    async def act(bench, application, caller):
        view, http = bench.context.view, bench.context.http
        connect = http._connect

        async def slow_connect(address, timeout_s):
            made = await connect(address, timeout_s)
            if withdrawn == "proof":
                view._confirmed_at = bench.context.clock.monotonic() - 4.7
            else:
                for record in list(view._records.values()):
                    leaving = record.replica._replace(leaving=True)
                    view.take_record(record._replace(replica=leaving))
            return made

        http._connect = slow_connect
        await caller.send_to(application)

    bench = Bench([signed()], ONCE)
    caller = bench.run(Caller(), act)
    assert (caller.status, bench.server.requests) == (503, [])


def test_a_body_over_the_limit_is_refused():
    bench = Bench([signed()], AGAIN)
    assert bench.run(Caller(body=b"x" * 1001)).status == 413


def test_without_a_configuration_nothing_is_denied():
    async def act(bench, application, caller):
        bench.context.view._table = None
        await caller.send_to(application)

    assert Bench([signed()], AGAIN).run(Caller(), act).status == 503


def test_the_first_requests_of_a_node_wait_for_its_first_read():
    async def act(bench, application, caller):
        view = bench.context.view
        table, view._table = view._table, None
        async with anyio.create_task_group() as group:
            group.start_soon(caller.send_to, application)
            await anyio.sleep(0.02)
            view._table = table

    assert Bench([signed()], AGAIN).run(Caller(), act).status == 200


def test_a_node_without_configuration_refuses_at_once_after_its_start():
    async def act(bench, application, caller):
        bench.context.view._table = None
        bench.context.view._started_at -= 1.0
        with anyio.fail_after(FIRST_READ_WAIT_S / 2):
            await caller.send_to(application)

    assert Bench([signed()], AGAIN).run(Caller(), act).status == 503


def test_a_caller_that_leaves_frees_the_replica():
    async def act(bench, application, caller):
        async with anyio.create_task_group() as group:
            group.start_soon(caller.send_to, application)
            while not bench.server.requests:
                await anyio.sleep(0.005)
            caller._leaves.set()
        assert bench.context.in_flight == 0

    caller = Bench([["hang"]], ONCE).run(Caller(), act)
    assert caller.status is None


def test_answers_of_a_stopping_node_end_their_connection():
    async def act(bench, application, caller):
        bench.context.draining = True
        await caller.send_to(application)

    assert Bench([signed()], ONCE).run(Caller(), act).fields["connection"] == "close"


def test_a_replaced_replica_rests_though_it_answered():
    async def act(bench, application, caller):
        await caller.send_to(application)
        first = bench.server.requests[0][1]["x-expect-instance"]
        assert bench.context.placement.ejected() == [first]

    Bench([not_run("421 Misdirected Request"), signed()], ONCE).run(Caller(), act)


@pytest.mark.parametrize(
    ("age_s", "ready", "connection"), [(2.0, True, None), (3.0, False, "close")]
)
def test_callers_are_sent_elsewhere_before_keys_are_refused(age_s, ready, connection):
    async def act(bench, application, caller):
        now = bench.context.clock.monotonic()
        bench.context.view._confirmed_at = now - age_s
        await caller.send_to(application)
        assert bench.context.ready is ready

    caller = Bench([signed()], AGAIN).run(Caller(), act)
    assert (caller.status, caller.fields.get("connection")) == (200, connection)


@pytest.mark.parametrize("repeat", [DeliveryMode.ONCE, DeliveryMode.IDEMPOTENT])
def test_a_replica_that_is_silent_until_the_deadline_rests(repeat):
    async def act(bench, application, caller):
        await caller.send_to(application)
        assert len(bench.context.placement.ejected()) == 1

    bench = Bench([["hang"]], route(repeat, attempts=1))
    deadline = (b"x-deadline-ms", b"200")
    caller = bench.run(Caller(fields=[deadline]), act)
    failed = 'lentilshore_failed_attempts_total{reason="upstream_stalled"} 1'
    assert failed in bench.context.metrics.render()
    assert caller.status == 504


@pytest.mark.parametrize(("answers_others", "runs"), [(True, 1), (False, 2)])
def test_a_loaded_replica_is_waited_for_and_a_silent_one_is_not(answers_others, runs):
    """Pattern: engines are loaded, and each prompt read twice makes it worse."""

    async def act(bench, application, caller):
        placement = bench.context.placement

        async def answer_others():
            while answers_others:
                for name in ("i-1", "i-2"):
                    placement.note_answer(name)
                await anyio.sleep(0.02)

        async with anyio.create_task_group() as group:
            group.start_soon(answer_others)
            await caller.send_to(application)
            group.cancel_scope.cancel()

    def late(fields):
        return [0.7, *stream([1], "whole")(fields)]

    scripts = [late, stream([1], "whole")]
    bench = Bench(scripts, route(DeliveryMode.STREAM_RESUMABLE, objective_s=0.4))
    caller = bench.run(Caller(), act)
    assert (caller.body, len(bench.server.requests)) == (event(1), runs)


def test_a_replica_that_left_gets_nothing():
    async def act(bench, application, caller):
        view = bench.context.view
        for record in list(view._records.values()):
            leaving = record.replica._replace(leaving=True)
            view.take_record(record._replace(replica=leaving))
        await caller.send_to(application)

    bench = Bench([signed()], AGAIN)
    assert bench.run(Caller(), act).status == 503
    assert bench.server.requests == []
