"""Tests of which request an answer of a replica belongs to, and what it proves."""

import io
import itertools
import shlex
from collections import Counter

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilshore_kernel.logs import start_logging
from tests.scripted import Late, answer
from tests.test_gateway import (
    IDEMPOTENT_ROUTE,
    ONCE_ROUTE,
    SIGNED,
    Caller,
    GatewayHarness,
    signed,
)

RETRIES_PER_REQUEST = 5
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

    # The first stream also receives what earlier tests of the process have logged.
    start_logging(io.StringIO())()
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


def test_connection_of_an_earlier_attempt_is_left_to_other_requests():
    scripts = [[not_run("a1")], signed(), signed()]
    _, server, _ = serve(scripts, ONCE_ROUTE, (b"a1", b"a2"))
    assert server.connections == 2


def requests_with(server, request_id):
    return [f for _, f, _ in server.requests if f.get("x-attempt-id", "") == request_id]


def extra_answer(extra):
    """Return a script: an answer, and an extra one before that to the next request."""
    return lambda fields: [*signed()(fields), Late(extra)]


def slowly(script):
    return lambda fields: [0.05, *script(fields)]


# TWICE: a request that may run once ran at two replicas, because an extra answer to an
# earlier request on the connection was taken for its own.
@pytest.mark.parametrize("status", [BUSY, "421 Misdirected Request"])
@pytest.mark.parametrize("request_id", ["a1", ""])
def test_extra_answer_without_identifier_does_not_repeat_a_running_request(
    status, request_id
):
    scripts = [extra_answer(not_run(status=status)), slowly(signed(b"own"))]
    if not request_id:
        scripts[1] = [0.05, answer(b"own", fields=[SIGNED])]
    callers, server, _ = serve(scripts, ONCE_ROUTE, (b"a0", request_id.encode()))
    assert len(requests_with(server, request_id)) == 1
    assert (callers[1].status, callers[1].body) == (200, b"own")


# TWICE: as above, by an extra answer to an earlier attempt of the same request.
def test_extra_answer_to_an_earlier_attempt_does_not_repeat_a_running_request():
    first = [not_run("a1"), Late(not_run("a1"))]
    scripts = [first, slowly(signed(b"own")), signed()]
    callers, server, _ = serve(scripts, ONCE_ROUTE, (b"a1",))
    assert len(requests_with(server, "a1")) == 2
    assert callers[0].body == b"own"


# REFUSED: a caller was promised that its request did not run, while it was running.
def test_extra_answer_does_not_refuse_a_running_request():
    last_but_one = [not_run("a1"), Late(not_run("a1"))]
    rejections = [[not_run("a1")]] * (RETRIES_PER_REQUEST - 1)
    scripts = [*rejections, last_but_one, slowly(signed(b"own"))]
    callers, _, _ = serve(scripts, ONCE_ROUTE, (b"a1",))
    assert (callers[0].status, callers[0].body) == (200, b"own")


def test_replica_that_sends_no_identifiers_holds_up_one_request_only():
    callers = [Caller(request_id=name) for name in (b"a0", b"b0", b"a1", b"a2")]

    async def act(harness, application, _):
        # The first two are served at once, so that two connections are kept.
        async with anyio.create_task_group() as group:
            group.start_soon(callers[0].send_to, application)
            group.start_soon(callers[1].send_to, application)
            await anyio.sleep(0.2)
            group.start_soon(callers[2].send_to, application)
            await anyio.sleep(0.2)
            await callers[3].send_to(application)

    rejections = [[not_run()], [not_run()]]
    scripts = [slowly(signed()), slowly(signed()), *rejections, signed(b"own")]
    harness = GatewayHarness(scripts, ONCE_ROUTE)
    harness.run(callers[0], act)
    assert [caller.status for caller in callers] == [200, 200, 504, 200]
    assert callers[3].body == b"own"


# MIXED: a caller got the answer to another request.
def test_extra_success_without_identifier_is_not_relayed():
    extra = answer(b"other", fields=[SIGNED])
    scripts = [extra_answer(extra), slowly(signed(b"own"))]
    callers, _, _ = serve(scripts, ONCE_ROUTE)
    assert callers[1].body == b"own"


# REFUSED: a refusal between two attempts promised that the request did not run, though
# the first attempt may have run.
def test_refusal_after_an_attempt_that_may_have_run_does_not_deny_it():
    harness = GatewayHarness([], IDEMPOTENT_ROUTE)

    def lose_proof_of_keys(fields):
        harness.context.view._confirmed_at -= 4.9
        return ["reset"]

    harness.server._scripts.append(lose_proof_of_keys)
    assert harness.run(Caller()).status == 502


EXTRA_ANSWERS = {
    "repeated": lambda name, own: own,
    "rejection": lambda name, own: not_run(name),
    "unidentified rejection": lambda name, own: not_run(),
    "unidentified 421": lambda name, own: not_run(status="421 Misdirected Request"),
    "unidentified success": lambda name, own: answer(b"other", fields=[SIGNED]),
}


# TWICE, REFUSED and MIXED: whatever extra answers follow whichever answers, no request
# runs twice, is denied although it ran, or is answered with another one's answer.
@settings(max_examples=40, deadline=None, derandomize=True, database=None)
@given(
    st.lists(
        st.tuples(
            st.booleans(),
            st.lists(st.sampled_from(sorted(EXTRA_ANSWERS)), max_size=2),
        ),
        min_size=2,
        max_size=7,
    )
)
def test_no_extra_answer_is_taken_for_the_one_in_flight(answers):
    """An answer of the replicas is a rejection or not, and the extra ones after it."""
    runs, upcoming = Counter(), itertools.cycle(answers)

    def script(fields):
        name = fields["x-attempt-id"]
        rejects, extras = next(upcoming)
        runs[name] += not rejects
        own = not_run(name) if rejects else signed(name.encode())(fields)[0]
        late = [Late(EXTRA_ANSWERS[extra](name, own)) for extra in extras]
        return [0.002, own, *late]

    callers, _, _ = serve([script], ONCE_ROUTE, (b"a0", b"a1", b"a2", b"a3"))
    for number, caller in enumerate(callers):
        name = f"a{number}"
        assert runs[name] <= 1
        if caller.status == 200:
            assert caller.body == name.encode()
        if caller.status == 503:
            assert runs[name] == 0
