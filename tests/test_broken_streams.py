"""Streams that have begun and break off, and what the next replica answers."""

import itertools

import pytest

from lentilshore_routing.routes import DeliveryMode
from tests.scripted import answer
from tests.test_gateway import (
    SIGNED,
    Caller,
    GatewayHarness,
    chunk,
    event,
    not_run,
    route,
    signed,
    stream,
)

RESUMABLE = route(DeliveryMode.STREAM_RESUMABLE)
ONCE = route(DeliveryMode.STREAM_ONCE)
ERROR = b"boom: no such engine"
BEGUN = event(1) + event(2)


def chunked_error(fields):
    echo = f"X-Attempt-Id: {fields['x-attempt-id']}"
    heads = [SIGNED, echo, "Transfer-Encoding: chunked"]
    head = answer(b"", "500 Internal Server Error", heads, framed=False)
    return [head, chunk(ERROR), b"0\r\n\r\n"]


def head_in_two_parts(fields):
    whole = signed(ERROR, "500 Internal Server Error")(fields)[0]
    return [whole[:20], 0.01, whole[20:]]


def error_as_event(fields):
    text = b"id: 3\ndata: %s\n\n" % ERROR
    return signed(text, "502 Bad Gateway")(fields)


ERRORS = {
    "500": signed(ERROR, "500 Internal Server Error"),
    "400": signed(ERROR, "400 Bad Request"),
    "404 unframed": signed(ERROR, "404 Not Found", framed=False),
    "500 chunked": chunked_error,
    "500 in two parts": head_in_two_parts,
    "502 with an event": error_as_event,
    "503 not run": not_run(),
    "429 not run": not_run("429 Too Many Requests"),
    "204": signed(b"", "204 No Content"),
    "no HTTP": [b"boom\r\n\r\n" + ERROR],
}


def run(scripts, with_route):
    rest = itertools.repeat(scripts[-1], 10)
    return GatewayHarness([*scripts, *rest], with_route).run(Caller())


# Guards against ORDER and MIXED: callers found the text of an error, or its head, in
# the middle of their stream, or a stream that seemed to be complete.
@pytest.mark.parametrize("error", ERRORS)
@pytest.mark.parametrize("broken", ["reset", "close"])
def test_an_error_of_the_next_replica_is_no_part_of_a_stream(error, broken):
    caller = run([stream([1, 2], broken), ERRORS[error]], RESUMABLE)
    assert (caller.status, caller.body, caller.complete) == (200, BEGUN, False)


@pytest.mark.parametrize("error", ERRORS)
def test_a_stream_goes_on_at_a_replica_after_one_that_answers_an_error(error):
    rest = stream([3], "whole")
    caller = run([stream([1, 2], "reset"), ERRORS[error], rest], RESUMABLE)
    assert caller.body in (BEGUN, BEGUN + event(3))
    assert caller.complete == (caller.body == BEGUN + event(3))


@pytest.mark.parametrize("error", ERRORS)
def test_a_stream_that_may_run_once_is_cut_off_without_another_answer(error):
    caller = run([stream([1, 2], "reset"), ERRORS[error]], ONCE)
    assert (caller.status, caller.body, caller.complete) == (200, BEGUN, False)
