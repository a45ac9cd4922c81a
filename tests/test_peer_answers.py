"""Faulty answers of a gateway that serves a request in place of another."""

import asyncio

import msgspec
import pytest

from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import Execution, RefusalReason
from lentilshore_node.clients.fleet_source import GatewayEntry
from lentilshore_node.clients.forwarded_requests import (
    REFUSED,
    RELAYED,
    answer_field,
    encode_forwarded_refusal,
)
from lentilshore_node.state.service_reach import Reach
from tests.gateway_fleet import (
    SERVICE,
    StandinReplica,
    event,
    events,
    running_fleet,
    send_one,
)
from tests.scripted import Late, ScriptedServer, answer
from tests.soak.wire import encode_chunk

pytestmark = pytest.mark.usefixtures("early_gateway_lists")

NOT_RUN = RefusalError(RefusalReason.UPSTREAM_FULL, Execution.NOT_RUN, "full", 0.1)
PING = [answer(b"", "404 None")]


class ScriptedGateway(ScriptedServer):
    """Gateway that answers the n-th call with the n-th script.

    A script is a function that returns the steps for the number of the call and the
    identifier of the request.
    """

    def __init__(self, scripts):
        super().__init__([self._answer])
        self._calls = scripts
        self._count = 0

    def _answer(self, fields):
        # The request is recorded before its script runs.
        line, _, body = self.requests[-1]
        if line.startswith("GET"):
            return PING
        call = msgspec.msgpack.decode(body)
        script = self._calls[min(self._count, len(self._calls) - 1)]
        self._count += 1
        return script(call["call_id"], call["request"][0])

    @property
    def entry(self):
        return GatewayEntry("scripted", self.address, "dc-1")


def head(call_id, kind, name, *fields):
    marked, value = answer_field(call_id, kind)
    signed = [f"X-Attempt-Id: {name}", "X-Response-Signature: s1"]
    return [f"{marked}: {value}", *(signed if kind == RELAYED else ()), *fields]


def plain(call_id, name):
    return answer(b"body of " + name.encode(), fields=head(call_id, RELAYED, name))


def refusal(call_id, name):
    body = encode_forwarded_refusal(NOT_RUN)
    return answer(body, "503 No", head(call_id, REFUSED, name))


def stream_head(call_id, name):
    fields = head(call_id, RELAYED, name, "Transfer-Encoding: chunked")
    return answer(b"", fields=fields, framed=False)


def chunk(name, number):
    return encode_chunk(event(name, number))


def play(scripts, *kinds):
    """Send requests one after another through a scripted gateway."""

    async def main():
        scripted = ScriptedGateway(scripts)
        async with (
            scripted.running(),
            running_fleet(1, [StandinReplica("i-1")]) as fleet,
        ):
            gateway = fleet.gateways[0]
            gateway.context.reach.conclude(SERVICE, Reach.CUT_OFF, [scripted.entry])
            return [
                await send_one(gateway, kind, f"p{n}") for n, kind in enumerate(kinds)
            ]

    return asyncio.run(main())


# MIXED: a second copy of an answer arrives where the next one is due.
def test_a_second_copy_of_an_answer_goes_to_nobody():
    def twice(call_id, name):
        copy = plain(call_id, name)
        return [copy, Late(copy)]

    answers = play([twice], "safe", "safe", "once")
    assert [a.body for a in answers] == [f"body of {a.name}".encode() for a in answers]


# REFUSED: a refusal of an earlier request arrives where an answer is due.
def test_a_second_copy_of_a_refusal_refuses_nothing_else():
    def refuse_twice(call_id, name):
        copy = refusal(call_id, name)
        return [copy, Late(copy)]

    first, second = play(
        [refuse_twice, lambda c, n: [0.05, plain(c, n)]], "once", "once"
    )
    assert first.status == 503 and b"not_run" in first.body
    assert second.served and second.body == f"body of {second.name}".encode()


# ORDER and MIXED: an error follows the beginning of a stream.
@pytest.mark.parametrize(
    "rest",
    [
        lambda c, n: ["reset"],
        lambda c, n: ["close"],
        lambda c, n: [refusal(c, n), "close"],
        lambda c, n: [answer(b"an error", "500 Error"), "close"],
    ],
)
@pytest.mark.parametrize("kind", ["stream", "tail"])
def test_only_events_follow_the_beginning_of_a_stream(kind, rest):
    def begin(call_id, name):
        begun = [stream_head(call_id, name), chunk(name, 1), chunk(name, 2)]
        return [*begun, 0.05, *rest(call_id, name)]

    (answered,) = play([begin, lambda c, n: [refusal(c, n)]], kind)
    assert answered.body == events(answered.name, 2)
    assert not answered.complete


def test_a_stream_that_breaks_off_goes_on_at_its_next_event():
    def begin(call_id, name):
        return [stream_head(call_id, name), chunk(name, 1)[:-4], "reset"]

    def whole(call_id, name):
        rest = [chunk(name, number) for number in (1, 2)]
        return [stream_head(call_id, name), *rest, b"0\r\n\r\n"]

    async def main():
        first, second = ScriptedGateway([begin]), ScriptedGateway([whole])
        async with (
            first.running(),
            second.running(),
            running_fleet(1, [StandinReplica("i-1")]) as fleet,
        ):
            gateway = fleet.gateways[0]
            peers = [first.entry, second.entry._replace(name="second")]
            gateway.context.reach.conclude(SERVICE, Reach.CUT_OFF, peers)
            return [await send_one(gateway, "stream", f"q{n}") for n in range(4)]

    for answered in asyncio.run(main()):
        assert answered.served and answered.body == events(answered.name, 2)


# Slow but sound streams were cut: pauses longer than the interval of the checks.
def test_a_slow_stream_is_not_cut():
    def slow(call_id, name):
        steps = [stream_head(call_id, name)]
        for number in (1, 2):
            steps += [0.6, chunk(name, number)]
        return [*steps, b"0\r\n\r\n"]

    (answered,) = play([slow], "stream")
    assert answered.served and answered.body == events(answered.name, 2)


# Stalled streams that sent a byte now and then never ended.
def test_a_stream_that_sends_a_byte_now_and_then_ends_with_its_time():
    def dribble(call_id, name):
        event_bytes = chunk(name, 1)
        begun = [stream_head(call_id, name), b"%x\r\n" % 60]
        return [*begun, *(s for n in range(40) for s in (0.2, event_bytes[4:5]))]

    (answered,) = play([dribble], "tail")
    assert answered.took_s < 2.0 and not answered.served


@pytest.mark.parametrize(
    "script",
    [
        lambda c, n: [answer(b"x", fields=[f"X-Attempt-Id: {n}"]), "close"],
        lambda c, n: [answer(b"x", fields=head(c + 1, RELAYED, n)), "close"],
        lambda c, n: [answer(b"x", fields=head(c, "other", n)), "close"],
        lambda c, n: [answer(b"\xc1", "503 No", head(c, REFUSED, n)), "close"],
        lambda c, n: [refusal(c, n)[:-4], "close"],
        lambda c, n: [plain(c, n)[:-4], "close"],
        lambda c, n: [plain(c, n)[:60], "close"],
        lambda c, n: ["reset"],
    ],
)
def test_an_answer_that_proves_nothing_promises_nothing(script):
    (answered,) = play([script], "once")
    assert answered.status in (502, 504)
    assert b'"execution":"unknown"' in answered.body


# A key that was withdrawn, or a configuration that is not read yet, after a restart.
def test_a_gateway_that_has_just_started_serves_nothing_yet():
    async def main():
        async with running_fleet(2, [StandinReplica("i-1")]) as fleet:
            cut, fresh = fleet.gateways
            cut.context.reach.conclude(SERVICE, Reach.CUT_OFF, [fresh.entry])
            fresh.context.view._table = None
            answered = await send_one(cut, "once", "fresh")
            return answered, fleet.replicas[0].runs

    answered, runs = asyncio.run(main())
    assert answered.status == 503 and b"not_run" in answered.body
    assert "fresh-1" not in runs
