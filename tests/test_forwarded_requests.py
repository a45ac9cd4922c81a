"""Requests that one gateway serves in place of another, which reaches no replica."""

import asyncio
import math
import time

import msgspec
import pytest

from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import Execution, RefusalReason
from lentilshore_node.clients.forwarded_requests import (
    ForwardedRequest,
    UnreadableForwardError,
    decode_forwarded,
    decode_forwarded_refusal,
    encode_forwarded,
    encode_forwarded_refusal,
)
from lentilshore_node.clients.forwarding import ForwardRequest
from lentilshore_node.state.gateway_context import FORWARD_PATH
from lentilshore_node.state.service_reach import Reach
from lentilshore_routing.routes import CallerLimits, KeyOwner, RouteTable
from tests.gateway_fleet import (
    CALLER_PORT,
    DEADLINE_S,
    KEY,
    PEER_PORT,
    ROUTES,
    SERVICE,
    Callers,
    StandinReplica,
    events,
    running_fleet,
    send_one,
)
from tests.soak.wire import encode, read_message, reset

KNOWN_S = 1.0
CLOCK = time.CLOCK_BOOTTIME
LEFT_LIMIT_S = 0.5
# A gateway that is back serves for others from this time on.
BACK_AFTER_S, KNOWN_BACK_S = 5.0, 2.0


pytestmark = pytest.mark.usefixtures("early_gateway_lists")


def replicas(count=3, **options):
    return [StandinReplica(f"i-{number}", **options) for number in range(1, count + 1)]


async def cut_off(gateways, manner="reset", served=True):
    """Cut gateways off, and wait until they know it.

    :param served: whether other gateways serve what they get meanwhile.
    """
    for gateway in gateways:
        gateway.http.cut_off(manner)
    async with asyncio.timeout(3.0):
        await asyncio.gather(*(learn(gateway, served) for gateway in gateways))


async def learn(gateway, served):
    while gateway.context.reach.state(SERVICE) is not Reach.CUT_OFF:
        deadline_s = DEADLINE_S if served else 0.1
        name = f"learn-{gateway.name}"
        await send_one(gateway, "safe", name, deadline_s=deadline_s)
        await asyncio.sleep(0.05)


def runs_of(fleet, name):
    return [run for replica in fleet.replicas for run in replica.runs.get(name, ())]


@pytest.mark.parametrize("kind", ["once", "safe", "stream", "tail"])
def test_a_forwarded_request_reaches_the_replica_as_a_direct_one_does(kind):
    async def main():
        async with running_fleet(2, replicas()) as fleet:
            direct = await send_one(fleet.gateways[1], kind, "direct")
            await cut_off(fleet.gateways[:1])
            passed = await send_one(fleet.gateways[0], kind, "passed")
            return fleet, direct, passed

    fleet, direct, passed = asyncio.run(main())
    assert passed.served
    if kind in ("stream", "tail"):
        assert passed.body == events(passed.name, 5)
    dropped = ("x-attempt-id", "x-expect-instance", "x-deadline-ms")
    sent = [
        {k: v for k, v in runs_of(fleet, a.name)[0].fields.items() if k not in dropped}
        for a in (direct, passed)
    ]
    assert sent[0] == sent[1]
    assert "authorization" not in sent[1] and sent[1]["x-tenant"] == "customer"
    assert set(direct.fields) == set(passed.fields)
    (run,) = runs_of(fleet, passed.name)
    assert 1000 < int(run.fields["x-deadline-ms"]) <= 1500


def test_a_request_is_counted_once_for_the_retry_budget():
    async def main():
        async with running_fleet(2, replicas()) as fleet:
            cut, other = fleet.gateways
            await cut_off([cut])
            counted = []
            for gateway in fleet.gateways:
                policy = gateway.context.retries
                record = policy.record_first_attempt
                policy.record_first_attempt = lambda group, g=gateway, r=record: (
                    counted.append(g.name),
                    r(group),
                )
            await send_one(cut, "safe")
            return counted, other.name

    counted, other = asyncio.run(main())
    assert counted == [other]


# LOST: replicas that a gateway had lost were taken for crashed under its requests, so
# that sound ones were suspected and not sent again.
def test_replicas_that_a_gateway_loses_are_not_taken_for_crashed():
    slow = replicas(work_s=0.3)

    async def main():
        async with running_fleet(2, slow) as fleet:
            cut = fleet.gateways[0]
            # Earns retries for those that are cut.
            await asyncio.gather(*(send_one(cut, "safe", f"w{n}") for n in range(20)))
            sending = [
                asyncio.create_task(send_one(cut, "safe", f"lost{n}"))
                for n in range(20)
            ]
            while sum(len(replica.runs) for replica in slow) < 40:
                await asyncio.sleep(0.005)
            cut.http.cut_off("reset")
            answers = await asyncio.gather(*sending)
            return [a.status for a in answers], cut.count("replica_crashes")

    assert asyncio.run(main()) == ([200] * 20, 0)


# GONE: the caller of a cut gateway leaves, and the replica has to hear of it.
@pytest.mark.parametrize("kind", ["safe", "stream"])
def test_a_caller_that_leaves_ends_the_run_at_the_replica(kind):
    slow = replicas(work_s=1.2)
    for replica in slow:
        replica.event_pause_s = 0.4

    async def main():
        async with running_fleet(2, slow) as fleet:
            await cut_off(fleet.gateways[:1], served=False)
            reader, writer = await asyncio.open_connection(
                fleet.gateways[0].host, CALLER_PORT
            )
            sending = asyncio.create_task(
                Callers("gone").send(fleet.gateways[0], kind, reader, writer)
            )
            while not runs_of(fleet, "gone-1"):
                await asyncio.sleep(0.01)
            left_at = asyncio.get_running_loop().time()
            reset(writer)
            await sending
            await asyncio.sleep(LEFT_LIMIT_S)
            return left_at, [left for r in fleet.replicas for left in r.left]

    left_at, left = asyncio.run(main())
    ended = [at for name, at in left if name == "gone-1"]
    assert ended and ended[0] - left_at < LEFT_LIMIT_S


# TWICE and REFUSED: the gateway that serves a request may end with it.
@pytest.mark.parametrize(
    ("kind", "served"),
    [("once", False), ("tail", False), ("safe", True), ("stream", True)],
)
def test_a_gateway_that_ends_leaves_a_request_that_may_have_run(kind, served):
    slow = replicas(work_s=0.4)

    async def main():
        async with running_fleet(3, slow) as fleet:
            cut, *others = fleet.gateways
            await cut_off([cut])
            sending = asyncio.create_task(send_one(cut, kind, "broken"))
            while not runs_of(fleet, "broken-1"):
                await asyncio.sleep(0.005)
            if kind in ("stream", "tail"):
                await asyncio.sleep(0.05)
            serving = [g for g in others if g.context.forwarded_in_flight]
            assert len(serving) == 1
            await serving[0].kill()
            return fleet, await sending

    fleet, answered = asyncio.run(main())
    runs = runs_of(fleet, answered.name)
    if served:
        assert answered.served and len(runs) == 2
        if kind == "stream":
            assert answered.body == events(answered.name, 5)
        return
    assert len(runs) == 1 and not answered.served
    # A stream that has begun ends without its end; the other gets no promise.
    assert answered.status in ((200, None) if kind == "tail" else (502, 504))


# LOST: the budget of a gateway that forwards had no requests to allow retries for.
def test_all_that_was_under_way_at_a_gateway_that_ends_is_repeated():
    slow = replicas(work_s=0.4)

    async def main():
        async with running_fleet(3, slow) as fleet:
            cut, *others = fleet.gateways
            await cut_off([cut])
            sending = [
                asyncio.create_task(send_one(cut, "safe", f"many{n}"))
                for n in range(40)
            ]
            while sum(g.context.forwarded_in_flight for g in others) < 40:
                await asyncio.sleep(0.005)
            await others[0].kill()
            return await asyncio.gather(*sending)

    answers = asyncio.run(main())
    assert [a.status for a in answers] == [200] * 40


# A frozen gateway answers nothing; what may be repeated does not wait for it.
def test_a_gateway_that_stands_still_is_given_up():
    async def main():
        async with running_fleet(3, replicas()) as fleet:
            cut, frozen, _ = fleet.gateways
            await cut_off([cut])

            async def stand_still(*_):
                await asyncio.sleep(10)

            frozen.server._application._serve_internal = stand_still
            return [await send_one(cut, "safe", f"f{n}") for n in range(4)]

    answers = asyncio.run(main())
    assert all(a.served for a in answers)


def test_a_replica_that_is_down_for_all_is_no_cut():
    async def main():
        async with running_fleet(3, replicas()) as fleet:
            for replica in fleet.replicas:
                replica.stop()
            callers = Callers()
            await callers.run(fleet.gateways, 1.5)
            states = [g.context.reach.state(SERVICE) for g in fleet.gateways]
            sent = sum(g.count("forwarded_requests", "sent") for g in fleet.gateways)
            return states, sent, callers

    states, sent, callers = asyncio.run(main())
    assert states == [Reach.DOWN] * 3
    assert sent == 0
    assert all(a.status == 503 for a in callers.answers)


def test_replicas_that_come_back_after_all_were_down_are_used():
    async def main():
        async with running_fleet(3, replicas()) as fleet:
            for replica in fleet.replicas:
                replica.stop()
            await Callers("down").run(fleet.gateways, 0.8)
            for replica in fleet.replicas:
                await replica.start()
            await asyncio.sleep(KNOWN_S)
            callers = Callers()
            await callers.run(fleet.gateways, 0.5)
            return callers, [g.context.reach.state(SERVICE) for g in fleet.gateways]

    callers, states = asyncio.run(main())
    assert states == [Reach.REACHED] * 3
    assert all(a.served for a in callers.answers)


@pytest.mark.parametrize("manner", ["hang", "reset", "refuse"])
def test_an_idle_gateway_serves_the_first_request_after_a_cut(manner):
    async def main():
        async with running_fleet(3, replicas()) as fleet:
            cut = fleet.gateways[0]
            cut.http.cut_off(manner)
            return [await send_one(cut, kind, kind) for kind in ("once", "safe")]

    answers = asyncio.run(main())
    assert [a.status for a in answers] == [200, 200]


@pytest.mark.parametrize(
    ("count", "cut_count", "data_centres"), [(6, 5, 1), (6, 2, 3), (10, 1, 1)]
)
def test_who_serves_in_place_of_cut_gateways(count, cut_count, data_centres):
    """All gateways but one, a data centre, and a tenth are cut."""

    async def main():
        async with running_fleet(count, replicas(), data_centres) as fleet:
            if data_centres > 1:
                cut = [g for g in fleet.gateways if g.data_centre == "dc-1"]
            else:
                cut = fleet.gateways[:cut_count]
            assert len(cut) == cut_count
            await cut_off(cut)
            others = [g for g in fleet.gateways if g not in cut]
            callers = Callers()
            await callers.run(cut * 6 + others, 1.5)
            received = [g.count("forwarded_requests", "received") for g in others]
            return callers.served_share(cut), received

    share, received = asyncio.run(main())
    assert share >= 0.97
    # No gateway bears more than a fair share of the forwarded requests needs.
    assert max(received) <= 3 * sum(received) / len(received)


def test_requests_go_direct_again_within_a_second_of_healing():
    async def main():
        async with running_fleet(3, replicas()) as fleet:
            cut = fleet.gateways[0]
            await cut_off([cut], "hang")
            connections = sum(r.connections for r in fleet.replicas)
            cut.http.heal()
            await asyncio.sleep(KNOWN_S)
            sent = cut.count("forwarded_requests", "sent")
            callers = Callers()
            await callers.run([cut], 0.5)
            again = cut.count("forwarded_requests", "sent") - sent
            opened = sum(r.connections for r in fleet.replicas) - connections
            return callers, again, opened

    callers, again, opened = asyncio.run(main())
    assert all(a.served for a in callers.answers)
    assert again == 0
    # No stampede: probes of each replica, and a few calls.
    assert opened <= 12


# CONFIG: a gateway must not undo for a caller what its own gateway has put in force.
@pytest.mark.parametrize(
    ("routes", "served_by_old"),
    [
        (ROUTES, True),
        ([r._replace(timeout_s=1.9) for r in ROUTES], False),
        ([r._replace(prefix="/once/x") for r in ROUTES[:1]], False),
    ],
)
def test_an_older_configuration_is_used_only_where_it_says_the_same(
    routes, served_by_old
):
    async def main():
        async with running_fleet(3, replicas()) as fleet:
            cut, old, new = fleet.gateways
            await cut_off([cut])
            before = old.count("requests", "served")
            owners = {KEY: KeyOwner("customer", None)}
            newer = RouteTable(2, routes, owners, CallerLimits(), {})
            for gateway in (cut, new):
                gateway.context.view.update_table(newer)
            answers = [await send_one(cut, "once", f"n{n}") for n in range(12)]
            return answers, old.count("requests", "served") - before

    answers, by_old = asyncio.run(main())
    assert all(a.served for a in answers)
    assert bool(by_old) is served_by_old


# CONFIG: a key that the sender's newer configuration holds is no unknown one.
def test_a_gateway_that_does_not_know_the_key_yet_does_not_refuse_it_for_good():
    async def main():
        async with running_fleet(2, replicas()) as fleet:
            cut, other = fleet.gateways
            await cut_off([cut])
            owners = {KEY: KeyOwner("customer", None), "new": KeyOwner("other", None)}
            cut.context.view.update_table(
                RouteTable(2, ROUTES, owners, CallerLimits(), {})
            )
            return await send_one(cut, "once", "key", key="new")

    answered = asyncio.run(main())
    assert answered.status == 503 and b"configuration_stale" in answered.body


# CONFIG: a withdrawn key must not be accepted by way of another gateway.
def test_the_gateway_that_serves_checks_the_key_itself():
    async def main():
        async with running_fleet(2, replicas()) as fleet:
            cut, other = fleet.gateways
            await cut_off([cut])
            other.context.view.update_table(
                RouteTable(2, ROUTES, {}, CallerLimits(), {})
            )
            return fleet, await send_one(cut, "safe", "withdrawn")

    fleet, answered = asyncio.run(main())
    assert answered.status == 401
    assert not runs_of(fleet, answered.name)


# LOST: a stopping gateway must not take what it may have to cut.
def test_a_stopping_gateway_takes_no_forwarded_requests():
    async def main():
        async with running_fleet(3, replicas()) as fleet:
            cut, stopping, _ = fleet.gateways
            await cut_off([cut])
            stopping.context.stopping_since = time.clock_gettime(CLOCK) - 3.0
            answers = [await send_one(cut, "once", f"s{n}") for n in range(6)]
            served = stopping.count("requests", "served")
            return answers, served

    answers, served = asyncio.run(main())
    assert all(a.served for a in answers)
    assert served == 0


def test_a_gateway_that_stops_soon_serves_if_no_other_does():
    async def main():
        async with running_fleet(2, replicas()) as fleet:
            cut, stopping = fleet.gateways
            await cut_off([cut])
            stopping.context.begin_to_stop()
            await asyncio.sleep(KNOWN_S)
            return await send_one(cut, "once")

    assert asyncio.run(main()).served


def test_a_request_goes_through_one_gateway_at_most():
    """Two cut gateways that take each other for sound don't forward in a circle."""

    async def main():
        async with running_fleet(2, replicas()) as fleet:
            for gateway, peer in zip(
                fleet.gateways, reversed(fleet.gateways), strict=True
            ):
                gateway.http.cut_off("reset")
                gateway.context.reach.conclude(SERVICE, Reach.CUT_OFF, [peer.entry])
            answered = await send_one(fleet.gateways[0], "once", "circle")
            received = [
                g.count("forwarded_requests", "received") for g in fleet.gateways
            ]
            return answered, received

    answered, received = asyncio.run(main())
    assert answered.status == 503
    assert received == [0, 1]


REQUEST = ForwardRequest(
    "a1", b"POST", b"/p/x", "/p/x", "h", "k", 1.0, "", 0, 0, (), None, []
)
FORWARDED = ForwardedRequest(7, "g-1", REQUEST, 1.5, 3, 0, 2, False)


def test_a_forwarded_request_is_read_as_it_was_written():
    request = REQUEST._replace(body=b"\x00\xff", fields=[(b"a", b"\xe9")])
    told = decode_forwarded(
        encode_forwarded(ForwardedRequest(7, "g-1", request, 1.5, 3, 0, 2, True))
    )
    assert told.request == request
    assert (told.remaining_s, told.attempts_left, told.counted) == (1.5, 2, True)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xc1",
        b"\x91" * 100_000,
        msgspec.msgpack.encode({"call_id": "x"}),
        encode_forwarded(ForwardedRequest(7, "g-1", REQUEST, 0.0, 3, 0, 2, False)),
        encode_forwarded(ForwardedRequest(7, "g-1", REQUEST, -1.0, 3, 0, 2, False)),
        encode_forwarded(
            ForwardedRequest(7, "g-1", REQUEST, float("nan"), 3, 0, 2, False)
        ),
        encode_forwarded(
            ForwardedRequest(7, "g-1", REQUEST, float("inf"), 3, 0, 2, False)
        ),
        encode_forwarded(ForwardedRequest(7, "g-1", REQUEST, 1.0, 3, 0, 0, False)),
        encode_forwarded(ForwardedRequest(7, "g-1", REQUEST, 1.0, 3, 0, 2_000, False)),
    ],
)
def test_unreadable_forwarded_requests_are_refused(body):
    with pytest.raises(UnreadableForwardError):
        decode_forwarded(body)


def test_a_refusal_of_an_earlier_release_tells_of_nothing_sent():
    told = {
        "reason": "no_upstream",
        "execution": "not_run",
        "detail": "none",
        "retry_after_s": None,
    }
    refusal = decode_forwarded_refusal(msgspec.msgpack.encode(told))
    assert (refusal.reason, refusal.sent) == (RefusalReason.NO_UPSTREAM, False)


def test_a_refusal_keeps_what_it_proves():
    refusal = RefusalError(RefusalReason.UPSTREAM_FULL, Execution.UNKNOWN, "full", 0.3)
    told = decode_forwarded_refusal(encode_forwarded_refusal(refusal))
    assert (told.reason, told.execution) == (refusal.reason, refusal.execution)
    assert (told.detail, told.retry_after_s) == ("full", 0.3)


@pytest.mark.parametrize(
    ("body", "declared_bytes", "status"),
    [(b"\xc1", 1, 400), (b"\x00", 1_000_000_000, 413)],
)
def test_bad_messages_at_the_internal_port_close_the_connection(
    body, declared_bytes, status
):
    async def main():
        async with running_fleet(1, replicas(1)) as fleet:
            gateway = fleet.gateways[0]
            reader, writer = await asyncio.open_connection(gateway.host, PEER_PORT)
            fields = {"Host": "h", "Content-Length": str(declared_bytes)}
            writer.write(encode(f"POST {FORWARD_PATH} HTTP/1.1", fields) + body)
            answer = await read_message(reader)
            return answer, gateway.count("relay_calls", "malformed"), fleet

    answer, counted, fleet = asyncio.run(main())
    assert answer.status == status and answer.closes
    assert counted == 1
    assert not any(replica.runs for replica in fleet.replicas)


# RECOVER: a gateway was passed over since a replica had failed under a request that it
# served, so that those that came next were refused though it could serve them.
@pytest.mark.parametrize("kind", ["once", "tail"])
def test_a_gateway_at_which_a_replica_failed_serves_the_next_request(kind):
    slow = replicas(work_s=0.4)
    for replica in slow:
        replica.event_pause_s = 0.2

    async def main():
        async with running_fleet(2, slow) as fleet:
            cut = fleet.gateways[0]
            await cut_off([cut])
            sending = asyncio.create_task(send_one(cut, kind, "failing"))
            while not runs_of(fleet, "failing-1"):
                await asyncio.sleep(0.005)
            if kind == "tail":
                await asyncio.sleep(0.1)
            next(r for r in slow if "failing-1" in r.runs).stop()
            failed = await sending
            return failed, await send_one(cut, "safe", "next")

    failed, following = asyncio.run(main())
    assert not failed.served
    assert following.served, following.status


# RECOVER: gateways learned late that the only one which reached the replicas was back.
def test_a_gateway_that_is_back_soon_serves_for_those_that_are_cut_off():
    async def main():
        async with running_fleet(5, replicas()) as fleet:
            *cut, only = fleet.gateways
            await cut_off(cut)
            # Serves nothing, as one that is stopped and started again.
            only.context.stopping_since = 0.0
            await asyncio.sleep(BACK_AFTER_S)
            only.context.stopping_since = math.inf
            await asyncio.sleep(KNOWN_BACK_S)
            return [await send_one(gateway, "safe", gateway.name) for gateway in cut]

    assert [a.status for a in asyncio.run(main())] == [200] * 4
