"""Answers that end with their connection are whole only if it ends in order."""

import re

import anyio
import pytest

from lentilshore_node.clients.event_splitter import EventSplitter
from lentilshore_node.clients.http_client import HttpClient, encode_request
from lentilshore_node.clients.http_connection import (
    AnswerTooLargeError,
    CallBrokenError,
    CallCutError,
    CallTimedOutError,
)
from lentilshore_node.delivery import delivery
from lentilshore_routing.routes import DeliveryMode
from tests.scripted import Late, ScriptedServer, answer
from tests.test_gateway import (
    IDEMPOTENT_ROUTE,
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

HEAD = b"HTTP/1.1 200 OK\r\n"
BARE = HEAD + b"\r\n"
OLD = b"HTTP/1.0 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
REQUEST = encode_request(b"GET", b"/x", [(b"host", b"h")], None)
LARGE = b"x" * 1_500_000
STREAM_ONCE_ROUTE = route(DeliveryMode.STREAM_ONCE)


async def read(client, address, timeout_s=1.0, limit_bytes=10_000_000):
    async with client.exchange(
        address,
        lambda: REQUEST,
        timeout_s,
        lambda headers, _: headers.get("request-id") != "old",
    ) as response:
        return await response.read(limit_bytes)


def read_answers(scripts, count=1, **options):
    """Read answers one after another; return them or their errors, and the server."""

    async def main():
        async with ScriptedServer(scripts).running() as server:
            client, answers = HttpClient(), []
            for _ in range(count):
                try:
                    with anyio.fail_after(10):
                        answers.append(await read(client, server.address, **options))
                except CallBrokenError as error:
                    answers.append(type(error))
            await client.close()
            return answers, server

    return anyio.run(main)


@pytest.mark.parametrize(
    ("steps", "body"),
    [
        ([BARE, b"abc", "close"], b"abc"),
        ([BARE + b"abc", "close"], b"abc"),
        (["cork", BARE + b"abc", "close"], b"abc"),
        ([BARE, "cork", b"abc", "close"], b"abc"),
        ([BARE, 0.02, b"abc", 0.02, "close"], b"abc"),
        ([BARE + b"abc", 0.05, b"def", "close"], b"abcdef"),
        ([BARE, "close"], b""),
        (["cork", BARE, "close"], b""),
        ([BARE, 0.05, "close"], b""),
        ([*[BARE[n : n + 1] for n in range(len(BARE))], b"a", "close"], b"a"),
        ([BARE + LARGE, "close"], LARGE),
        ([BARE, LARGE[:300_000], 0.05, LARGE[300_000:], "close"], LARGE),
        ([HEAD + b"Connection: close\r\n\r\nabc", "close"], b"abc"),
        ([HEAD + b"Connection: keep-alive\r\n\r\nabc", "close"], b"abc"),
        ([HEAD + b"Transfer-Encoding: identity\r\n\r\nabc", "close"], b"abc"),
        ([OLD + b"\r\nabc", "close"], b"abc"),
        ([OLD + b"\r\n", "close"], b""),
        # A body that looks like an answer is a body.
        ([BARE + BARE, "close"], BARE),
        # Framed answers are whole before their connection ends, however it does.
        ([OLD + b"Content-Length: 3\r\n\r\nabc", "close"], b"abc"),
        ([OLD + b"Content-Length: 3\r\n\r\nabc", 0.1, "reset"], b"abc"),
        (
            [HEAD + b"Connection: close\r\nContent-Length: 3\r\n\r\nabc", "close"],
            b"abc",
        ),
        ([HEAD + b"Content-Length: 0\r\n\r\n", 0.1, "reset"], b""),
        ([b"HTTP/1.1 204 No Content\r\n\r\n", "hang"], b""),
        ([CHUNKED + b"3\r\nabc\r\n0\r\n\r\n", 0.1, "reset"], b"abc"),
        ([b"HTTP/1.1 100 Continue\r\n\r\n" + BARE + b"abc", "close"], b"abc"),
    ],
)
def test_answer_whose_connection_ends_in_order_is_whole(steps, body):
    answers, _ = read_answers([steps])
    assert answers == [body]


# MIXED: an answer that was reset on the way passed for a whole one.
@pytest.mark.parametrize(
    "steps",
    [
        ["reset"],
        ["close"],
        [BARE, "reset"],
        [BARE, 0.05, "reset"],
        [BARE + b"abc", "reset"],
        [BARE + b"abc", 0.05, "reset"],
        [BARE + LARGE, "reset"],
        [BARE, LARGE, 0.1, "reset"],
        [OLD + b"\r\nabc", 0.05, "reset"],
        [HEAD + b"Connection: close\r\n\r\nabc", 0.05, "reset"],
        [HEAD + b"Transfer-Encoding: identity\r\n\r\nabc", 0.05, "reset"],
        # The head is not whole.
        [HEAD, "close"],
        [HEAD[:9], "close"],
        [HEAD + b"X-Part", "close"],
        [HEAD + b"X-Part: a\r\n", "close"],
        [HEAD + b"Connection: close\r\n", "close"],
        [b"HTTP/1.1 100 Continue\r\n\r\n", "close"],
        # The body is shorter than its frame.
        [HEAD + b"Content-Length: 4\r\n\r\nabc", "close"],
        [HEAD + b"Connection: close\r\nContent-Length: 4\r\n\r\nabc", "close"],
        [OLD + b"Content-Length: 4\r\n\r\nabc", "close"],
        [CHUNKED, "close"],
        [CHUNKED + b"3\r\nabc\r\n", "close"],
        [CHUNKED + b"3\r\nab", "close"],
        [CHUNKED + b"3\r\nabc\r\n0\r\n", "close"],
        # An answer to another request that ends with the connection.
        [HEAD + b"Request-Id: old\r\n\r\nabc", "close"],
    ],
)
def test_answer_whose_connection_breaks_is_not_whole(steps):
    answers, _ = read_answers([steps])
    assert answers == [CallCutError]


@pytest.mark.parametrize(
    ("steps", "error"),
    [
        ([BARE, "hang"], CallTimedOutError),
        ([BARE + b"abc", "hang"], CallTimedOutError),
        ([BARE + b"abc" * 1000, "close"], AnswerTooLargeError),
        ([BARE, *[b"abc" * 100] * 10, "hang"], AnswerTooLargeError),
    ],
)
def test_unframed_answer_is_bounded_in_time_and_bytes(steps, error):
    answers, _ = read_answers([steps], timeout_s=0.2, limit_bytes=1000)
    assert answers == [error]


FRAMED = HEAD + b"Content-Length: 2\r\n\r\nok"
EXTRA = HEAD + b"Request-Id: old\r\nContent-Length: 3\r\n\r\nold"


@pytest.mark.parametrize(
    ("scripts", "answers", "connections"),
    [
        ([[FRAMED], [BARE + b"abc", "close"]], [b"ok", b"abc"], 1),
        ([[FRAMED], [BARE + b"abc", 0.05, "reset"]], [b"ok", CallCutError], 1),
        ([[FRAMED, Late(EXTRA)], [BARE + b"abc", "close"]], [b"ok", b"abc"], 1),
        ([[FRAMED], [EXTRA + BARE + b"abc", "close"]], [b"ok", b"abc"], 1),
        ([[FRAMED], [EXTRA, "close"]], [b"ok", CallCutError], 1),
        ([[FRAMED], [EXTRA, HEAD, "close"]], [b"ok", CallCutError], 1),
        # No call follows an unframed answer on its connection.
        ([[BARE + b"abc", "close"], [FRAMED]], [b"abc", b"ok"], 2),
        ([[OLD + b"Content-Length: 2\r\n\r\nok"], [FRAMED]], [b"ok", b"ok"], 2),
    ],
)
def test_unframed_answer_on_a_kept_connection(scripts, answers, connections):
    found, server = read_answers(scripts, count=2)
    assert (found, server.connections) == (answers, connections)


def unframed(body=b"", *end, status="200 OK", fields=(SIGNED,), protocol="1.1"):
    """Return a script: an answer that ends with its connection, in order if at all."""

    def script(request):
        echo = f"X-Attempt-Id: {request['x-attempt-id']}"
        head = answer(b"", status, [*fields, echo], framed=False)
        head = head.replace(b"HTTP/1.1", f"HTTP/{protocol}".encode())
        return [head + body, *(end or ("close",))]

    return script


NOT_RUN = "X-Not-Executed: 1"
BUSY = "503 Service Unavailable"


@pytest.mark.parametrize(
    ("scripts", "with_route", "status", "body", "runs"),
    [
        ([unframed(b"abc")], ONCE_ROUTE, 200, b"abc", 1),
        ([unframed(b"abc", protocol="1.0")], ONCE_ROUTE, 200, b"abc", 1),
        ([unframed(b"abc", 0.05, b"def", "close")], ONCE_ROUTE, 200, b"abcdef", 1),
        ([unframed()], ONCE_ROUTE, 200, b"", 1),
        ([unframed(b"none", status="404 None")], ONCE_ROUTE, 404, b"none", 1),
        ([unframed(b"e", status="500 Error")], ONCE_ROUTE, 500, b"e", 1),
        ([unframed(b"abc", "reset"), signed()], ONCE_ROUTE, 502, None, 1),
        ([unframed(b"abc", 0.05, "reset"), signed()], ONCE_ROUTE, 502, None, 1),
        ([unframed(b"", 0.05, "reset"), signed()], ONCE_ROUTE, 502, None, 1),
        ([unframed(b"abc", 0.05, "reset"), signed()], IDEMPOTENT_ROUTE, 200, b"ok", 2),
        ([unframed(b"abc", "hang"), signed()], ONCE_ROUTE, 504, None, 1),
        ([unframed(b"abc", "hang"), signed()], IDEMPOTENT_ROUTE, 200, b"ok", 2),
        ([[HEAD, "close"], signed()], ONCE_ROUTE, 502, None, 1),
        ([[HEAD, "close"], signed()], IDEMPOTENT_ROUTE, 200, b"ok", 2),
        # A rejection stands once its head is whole, whatever becomes of its body.
        *(
            ([unframed(b"", *end, status=BUSY, fields=[NOT_RUN]), signed()], *expected)
            for end in (["close"], [0.05, "reset"], ["hang"])
            for expected in [(ONCE_ROUTE, 200, b"ok", 2)]
        ),
        ([unframed(status="421 Other"), signed()], ONCE_ROUTE, 502, None, 1),
        (
            [unframed(status="421 Other", fields=[]), signed()],
            ONCE_ROUTE,
            200,
            b"ok",
            2,
        ),
        ([unframed(status=BUSY, fields=[]), signed()], ONCE_ROUTE, 502, None, 1),
    ],
)
def test_unframed_answer_is_relayed_only_if_it_is_whole(
    scripts, with_route, status, body, runs
):
    harness = GatewayHarness(scripts, with_route)
    caller = harness.run(Caller())
    assert (caller.status, len(harness.server.requests)) == (status, runs)
    assert caller.complete
    if body is not None:
        assert caller.body == body
        assert caller.fields["content-length"] == str(len(body))


def test_unframed_answer_over_the_limit_is_not_relayed(monkeypatch):
    monkeypatch.setattr(delivery, "BUFFERED_ANSWER_LIMIT_BYTES", 1000)
    scripts = [unframed(b"x" * 2000), signed()]
    harness = GatewayHarness(scripts, IDEMPOTENT_ROUTE)
    assert harness.run(Caller()).body == b"ok"


def test_unframed_answers_are_no_reason_to_mistake_extra_ones():
    extra = answer(b"old", fields=[SIGNED, "X-Attempt-Id: old"])
    scripts = [lambda f: [*signed()(f), Late(extra)], unframed(b"own")]
    harness = GatewayHarness(scripts, ONCE_ROUTE)
    callers = [Caller(request_id=name) for name in (b"a0", b"a1")]

    async def act(harness, application, _):
        for caller in callers:
            await caller.send_to(application)

    harness.run(callers[0], act)
    assert [caller.body for caller in callers] == [b"ok", b"own"]
    assert harness.server.connections == 1


# Whole streams: the body of the one replica, and its end.
WHOLE_STREAMS = {
    "events": event(1) + event(2),
    "no event": b"",
    "crlf": b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
    "cr": b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
    "mixed": b"id: 1\ndata: a\n\r\nid: 2\r\ndata: b\r\n\rid: 3\rdata: c\r\n\n",
    "extra empty lines": event(1) + b"\n\r\n\n" + event(2) + b"\n",
    "comment event": event(1) + b": ping\n\n",
    "comment line": event(1) + b": ping\n",
    "empty comment": event(1) + b":\r\n",
    "no identifier": b"data: a\n\ndata: b\n\n",
}


@pytest.mark.parametrize("body", WHOLE_STREAMS.values(), ids=WHOLE_STREAMS)
@pytest.mark.parametrize("with_route", [STREAM_ONCE_ROUTE, RESUMABLE_ROUTE])
@pytest.mark.parametrize("framed", [False, True])
def test_stream_that_ends_between_events_is_whole(body, with_route, framed):
    scripts = [unframed(body), stream([9], "whole")]
    if framed:
        scripts[0] = signed(body)
    harness = GatewayHarness(scripts, with_route)
    caller = harness.run(Caller())
    assert (caller.status, caller.body, caller.complete) == (200, body, True)
    assert len(harness.server.requests) == 1


# Streams that were broken off: what was received, and the part of it that is relayed.
BROKEN_STREAMS = {
    "data": (event(1) + b"id: 2\ndata: t", event(1)),
    "identifier": (event(1) + b"id: 2\n", event(1)),
    "identifier without line end": (event(1) + b"id: 2", event(1)),
    "no empty line": (event(1) + b"id: 2\ndata: t2\n", event(1)),
    "no empty line, crlf": (event(1) + b"id: 2\r\ndata: t2\r\n", event(1)),
    "no empty line, cr": (event(1) + b"id: 2\rdata: t2\r", event(1)),
    "field after a comment": (event(1) + b": ping\nid: 2\n", event(1)),
    "comment without line end": (event(1) + b": pi", event(1)),
    "first event": (b"id: 1\ndata: t1\n", b""),
    "cr": (b"id: 1\rdata: a\r\rid: 2\rda", b"id: 1\rdata: a\r\r"),
}


@pytest.mark.parametrize(
    ("received", "relayed"), BROKEN_STREAMS.values(), ids=BROKEN_STREAMS
)
@pytest.mark.parametrize("end", [["close"], [0.05, "reset"]], ids=["FIN", "reset"])
def test_stream_that_ends_inside_an_event_is_resumed(received, relayed, end):
    scripts = [unframed(received, *end), stream([2], "whole")]
    harness = GatewayHarness(scripts, RESUMABLE_ROUTE)
    caller = harness.run(Caller())
    assert (caller.body, caller.complete) == (relayed + event(2), True)
    after = harness.server.requests[1][1].get("last-event-id")
    assert after == ("1" if relayed else None)


@pytest.mark.parametrize(
    ("received", "relayed"), BROKEN_STREAMS.values(), ids=BROKEN_STREAMS
)
def test_stream_that_may_not_be_resumed_does_not_look_complete(received, relayed):
    scripts = [unframed(received), stream([2], "whole")]
    harness = GatewayHarness(scripts, STREAM_ONCE_ROUTE)
    caller = harness.run(Caller())
    assert len(harness.server.requests) == 1
    if relayed:
        assert (caller.status, caller.body, caller.complete) == (200, relayed, False)
    else:
        assert caller.status == 502


# MIXED: a stream that was reset between two events passed for a whole one.
@pytest.mark.parametrize("body", WHOLE_STREAMS.values(), ids=WHOLE_STREAMS)
def test_stream_that_is_reset_between_events_is_not_whole(body):
    scripts = [unframed(body, 0.05, "reset"), stream([2], "whole")]
    caller = GatewayHarness(scripts, STREAM_ONCE_ROUTE).run(Caller())
    assert not caller.complete or caller.status == 502


def test_stream_that_is_reset_between_events_is_resumed():
    scripts = [unframed(event(1), 0.05, "reset"), stream([2], "whole")]
    harness = GatewayHarness(scripts, RESUMABLE_ROUTE)
    caller = harness.run(Caller())
    assert (caller.body, caller.complete) == (event(1) + event(2), True)
    assert harness.server.requests[1][1]["last-event-id"] == "1"


def test_unframed_stream_that_falls_silent_is_resumed():
    scripts = [unframed(event(1), "hang"), stream([2], "whole")]
    caller = GatewayHarness(scripts, RESUMABLE_ROUTE).run(Caller())
    assert (caller.body, caller.complete) == (event(1) + event(2), True)


def test_resumed_stream_may_end_with_its_connection():
    scripts = [stream([1], "close"), unframed(event(2), 0.02, event(3), "close")]
    harness = GatewayHarness(scripts, RESUMABLE_ROUTE)
    caller = harness.run(Caller())
    assert (caller.body, caller.complete) == (event(1) + event(2) + event(3), True)


LINE_ENDS = [b"\n", b"\r\n", b"\r"]
# CR and LF together are one line end.
PAIRS = [(a, b) for a in LINE_ENDS for b in LINE_ENDS if a + b != b"\r\n"]


@pytest.mark.parametrize(("first", "second"), PAIRS)
@pytest.mark.parametrize("size", [1, 2, 3, 100])
def test_events_are_split_at_empty_lines_of_any_line_end(first, second, size):
    parts = [
        b"id: %d%sdata: a%s%s" % (number, second, first, second) for number in (1, 2)
    ]
    whole = b"".join(parts)
    splitter, out = EventSplitter(), b""
    for start in range(0, len(whole), size):
        out += splitter.feed(whole[start : start + size])
        assert whole.startswith(out)
        # What was returned ends between two events, a line end of the next aside.
        assert out in _boundaries(parts)
    assert out + splitter.partial_event == whole
    assert splitter.partial_event in (b"", b"\n")
    assert splitter.last_id == 2


def _boundaries(parts):
    found, whole = {b""}, b""
    for part in parts:
        whole += part
        found |= {whole, re.sub(rb"\r\n\Z", b"\r", whole)}
    return found
