"""Tests of which request an answer of a replica belongs to, and what it proves."""

import io
import shlex

import pytest

from lentilshore_kernel.logs import start_logging
from tests.scripted import Late, answer
from tests.test_gateway import (
    ONCE_ROUTE,
    Caller,
    GatewayHarness,
    signed,
)

BUSY = "503 Service Unavailable"


def not_run(request_id="", status=BUSY):
    """Return an answer that states that a request did not run."""
    echo = [f"X-Attempt-Id: {request_id}"] if request_id else []
    return answer(b"", status, ["X-Not-Executed: 1", *echo])


def serve(scripts, with_route, request_ids=(b"a0", b"a1")):
    """Send requests one after another.

    :returns: the callers, the scripted server, and the lines that were logged.
    """
    harness = GatewayHarness(scripts, with_route)
    callers = [Caller(request_id=request_id) for request_id in request_ids]
    stream = io.StringIO()

    async def act(harness, application, _):
        for caller in callers:
            await caller.send_to(application)

    stop_logging = start_logging(stream)
    try:
        harness.run(callers[0], act)
    finally:
        stop_logging()
    return callers, harness.server, stream.getvalue().splitlines()


def logged(lines, event):
    """Return the fields of each logged line of an event."""
    found = [line for line in lines if f" event={event} " in line]
    return [dict(word.split("=", 1) for word in shlex.split(line)) for line in found]


@pytest.mark.parametrize(
    ("scripts", "logged_answer"),
    [
        ([signed(), [not_run("a1")], signed()], ("503", "a1", "2")),
        ([["close"], [not_run("a1")], signed()], ("503", "a1", "1")),
        ([["close"], [not_run()], signed()], ("503", "none", "1")),
    ],
)
def test_failed_attempt_is_logged_with_its_answer_and_connection(
    scripts, logged_answer
):
    _, _, lines = serve(scripts, ONCE_ROUTE)
    failed = [f for f in logged(lines, "attempt_failed") if f["request"] == "a1"]
    names = ("answer_status", "answer_id", "connection_calls")
    assert [tuple(f[name] for name in names) for f in failed] == [logged_answer]


def test_skipped_answer_is_logged_with_its_identifier():
    scripts = [lambda f: [*signed()(f), Late(not_run("a0"))], signed()]
    callers, _, lines = serve(scripts, ONCE_ROUTE)
    assert callers[1].status == 200
    skipped = logged(lines, "answer_skipped")
    assert [(f["request"], f["answer_id"]) for f in skipped] == [("a1", "a0")]
