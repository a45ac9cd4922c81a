"""Sound replicas that fall silent for a while and go on, while others are busy."""

import pytest

from lentilshore_node.delivery.delivery import Delivery
from lentilshore_node.delivery.handover import Handover
from lentilshore_routing.routes import DeliveryMode
from tests.scripted import answer
from tests.test_gateway import (
    REJECTED,
    SIGNED,
    Caller,
    GatewayHarness,
    chunk,
    event,
    route,
    signed,
)

# Longer than the timeouts of the routes below, shorter than their deadlines.
SILENCE_S = 0.7
RESUMABLE = route(DeliveryMode.STREAM_RESUMABLE)
IDEMPOTENT = route(DeliveryMode.IDEMPOTENT, latency_objective_s=0.1)
CASCADE = route(DeliveryMode.STREAM_RESUMABLE, models=("s", "l"))


def silent_stream(fields):
    """Return a stream that pauses before its last event."""
    return [*_head(fields), chunk(event(1)), SILENCE_S, chunk(event(2)), b"0\r\n\r\n"]


def late_stream(fields):
    """Return a stream whose first event is late."""
    return [SILENCE_S, *_head(fields), chunk(event(1)), b"0\r\n\r\n"]


def unsure_stream(fields):
    """Return a whole stream whose model has little confidence in it."""
    head = _head(fields, "X-Confidence: 10")
    return [*head, chunk(event(1)), 0.1, chunk(event(2)), b"0\r\n\r\n"]


def late_answer(fields):
    return [SILENCE_S, *signed(b"whole")(fields)]


def halting_answer(fields):
    """Return an answer whose body pauses in the middle."""
    data = signed(b"whole")(fields)[0]
    return [data[:-2], SILENCE_S, data[-2:]]


def rejected(fields):
    echo = f"X-Attempt-Id: {fields['x-attempt-id']}"
    return [answer(b"", "503 Service Unavailable", [REJECTED, echo])]


def _head(fields, *extra):
    echo = f"X-Attempt-Id: {fields['x-attempt-id']}"
    heads = [SIGNED, echo, "Transfer-Encoding: chunked", *extra]
    return [answer(b"", fields=heads, framed=False)]


class NoRetries:
    """Retry budget that is used up."""

    def earn(self):
        """Count nothing."""

    def can_spend(self, after_rejection=False):
        """Allow no retry."""
        return False

    try_spend = can_spend


async def without_budget(harness, application, caller):
    harness.context.retries._create_budget = NoRetries
    await caller.send_to(application)


async def without_other_replica(harness, application, caller):
    view = harness.context.view
    view._records.pop("i-2")
    view._update_placement()
    await caller.send_to(application)


async def with_other_replicas(harness, application, caller):
    await caller.send_to(application)


# Guards against LOST: an attempt was given up, or an answer dropped, before it was
# known that another may begin, so that a sound replica's silence ended the answer.
@pytest.mark.parametrize(
    "surroundings",
    [without_budget, without_other_replica, with_other_replicas],
    ids=lambda value: value.__name__,
)
@pytest.mark.parametrize(
    ("silent", "with_route", "body"),
    [
        pytest.param(silent_stream, RESUMABLE, event(1) + event(2), id="silent_stream"),
        pytest.param(late_stream, RESUMABLE, event(1), id="late_stream"),
        pytest.param(late_answer, IDEMPOTENT, b"whole", id="late_answer"),
        pytest.param(halting_answer, IDEMPOTENT, b"whole", id="halting_answer"),
        pytest.param(unsure_stream, CASCADE, event(1) + event(2), id="unsure_stream"),
    ],
)
def test_silence_of_a_replica_ends_no_answer_while_others_reject(
    silent, with_route, body, surroundings
):
    harness = GatewayHarness([silent, rejected], with_route)
    caller = harness.run(Caller([(b"x-model", b"*")]), surroundings)
    assert (caller.status, caller.body, caller.complete) == (200, body, True)


def accepted(fields):
    """Take a request up and answer nothing."""
    return ["hang"]


# The first replica answers while the second one has taken the request up: its answer
# counts, and the second one's connection is closed.
@pytest.mark.parametrize(
    ("silence_s", "with_route", "body", "runs"),
    [
        (0.7, RESUMABLE, event(1) + event(2), 2),
        (0.3, IDEMPOTENT, b"whole", 2),
        (0.3, RESUMABLE, event(1) + event(2), 1),
    ],
)
def test_an_answer_that_comes_during_a_handover_is_taken(
    silence_s, with_route, body, runs
):
    def halting(fields):
        if with_route is IDEMPOTENT:
            return [silence_s, *signed(b"whole")(fields)]
        pause = [chunk(event(1)), silence_s, chunk(event(2))]
        return [*_head(fields), *pause, b"0\r\n\r\n"]

    harness = GatewayHarness([halting, accepted], with_route)
    caller = harness.run(Caller())
    assert (caller.status, caller.body, caller.complete) == (200, body, True)
    assert len(harness.server.requests) == runs


def test_a_request_is_handed_over_to_a_replica_that_takes_it_up():
    harness = GatewayHarness([late_answer, signed(b"other")], IDEMPOTENT)
    assert harness.run(Caller()).body == b"other"


def test_replicas_that_stay_silent_end_a_request_at_its_time_limit():
    harness = GatewayHarness([accepted], IDEMPOTENT)
    caller = harness.run(Caller([(b"x-deadline-ms", b"900")]))
    assert (caller.status, len(harness.server.requests)) == (504, 2)


# Guards against TWICE: after a second replica had run the request and failed, the first
# one worked on alone for a quarter of a second before a third was asked.
def test_a_third_replica_is_asked_at_once_after_the_second_has_failed():
    failed = signed(b"failed", "500 Error")
    harness = GatewayHarness([accepted, failed, signed(b"whole")], IDEMPOTENT)
    # The deadline comes before the usual time between two tries.
    caller = harness.run(Caller([(b"x-deadline-ms", b"450")]))
    assert (caller.status, caller.body) == (200, b"whole")
    assert len(harness.server.requests) == 3


async def _return_zero(*_):
    return 0.0


async def _return_none(*_):
    return None


@pytest.mark.parametrize(
    ("silent", "with_route", "owner", "name", "replacement"),
    [
        (silent_stream, RESUMABLE, Delivery, "_extend_timeout", _return_zero),
        (late_answer, IDEMPOTENT, Delivery, "_extend_timeout", _return_zero),
        (silent_stream, RESUMABLE, Handover, "_wait_for_rejection", _return_none),
        (unsure_stream, CASCADE, Handover, "_wait_for_rejection", _return_none),
    ],
)
def test_each_mutant_ends_an_answer(
    silent, with_route, owner, name, replacement, monkeypatch
):
    monkeypatch.setattr(owner, name, replacement)
    harness = GatewayHarness([silent, rejected], with_route)
    caller = harness.run(Caller([(b"x-model", b"*")]))
    assert caller.status != 200 or not caller.complete
