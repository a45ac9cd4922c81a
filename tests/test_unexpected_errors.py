"""Requests whose handling fails with an error that nothing expects."""

import asyncio

import anyio
import eliot
import pytest

from lentilshore_kernel.testing import FakeClock
from lentilshore_node.callers.app import CallerApplication
from lentilshore_node.callers.forwarder import Forwarder
from lentilshore_node.delivery.delivery import Delivery
from lentilshore_routing.routes import DeliveryMode
from tests.test_gateway import Caller, GatewayHarness, event, route, signed, stream

ERRORS = [
    AttributeError("a"),
    IndexError("i"),
    LookupError("l"),
    RuntimeError("r"),
    RecursionError("c"),
    ZeroDivisionError("z"),
    AssertionError("s"),
    StopAsyncIteration("p"),
    EOFError("e"),
    MemoryError("m"),
    UnicodeDecodeError("utf-8", b"", 0, 1, "u"),
    asyncio.InvalidStateError("v"),
    asyncio.IncompleteReadError(b"", 1),
    anyio.ClosedResourceError("o"),
    ExceptionGroup("g", [IndexError("i")]),
]
IDEMPOTENT = route(DeliveryMode.IDEMPOTENT)


def _name(error):
    return type(error).__name__


def _kinds(events):
    return [event["message_type"] for event in events]


@pytest.fixture
def events():
    """Return the list to which the logged events of requests are appended."""
    logged = []

    def collect(message):
        if message["message_type"].startswith("request_"):
            logged.append(message)

    eliot.add_destinations(collect)
    logged.clear()  # what earlier tests have logged
    yield logged
    eliot.remove_destination(collect)


# Guards against LOST: a whole request whose handling failed with an error of another
# type than those named got neither an answer, nor a log line, nor a counter.
@pytest.mark.parametrize("error", ERRORS, ids=_name)
@pytest.mark.parametrize("step", ["route", "serve", "wait_for_first_read"])
def test_an_unexpected_error_is_answered_logged_and_counted(
    error, step, monkeypatch, events
):
    def fail(*_):
        raise error

    monkeypatch.setattr(Forwarder, step, fail)
    harness = GatewayHarness([signed()], IDEMPOTENT)
    caller = harness.run(Caller())
    assert (caller.status, caller.complete) == (500, True)
    failed, refused = events
    assert (failed["message_type"], failed["error"]) == ("request_failed", _name(error))
    assert (refused["message_type"], refused["reason"]) == (
        "request_refused",
        "internal",
    )
    assert failed["request"] == refused["request"] == "a1"
    assert 'lentilshore_refusals_total{reason="internal"} 1' in (
        harness.context.metrics.render()
    )
    assert harness.context.in_flight == 0


# The same after the answer has begun: it is cut and looks incomplete.
def test_an_unexpected_error_within_an_answer_leaves_it_incomplete(monkeypatch, events):
    def fail(*_):
        raise IndexError("i")

    monkeypatch.setattr(Delivery, "record_pace", fail)
    harness = GatewayHarness(
        [stream([1, 2], "whole")], route(DeliveryMode.STREAM_RESUMABLE)
    )
    caller = harness.run(Caller())
    assert (caller.status, caller.complete) == (200, False)
    assert event(1) in caller.body
    assert _kinds(events) == ["request_failed", "request_refused"]
    assert events[1]["cut"] is True


@pytest.mark.parametrize("error", ERRORS, ids=_name)
def test_an_unexpected_error_of_the_own_interface_is_answered(
    error, monkeypatch, events
):
    async def fail(*_):
        raise error

    monkeypatch.setattr(CallerApplication, "_route", fail)
    harness = GatewayHarness([], IDEMPOTENT)
    harness.assemble(FakeClock(), None)
    application = CallerApplication.__new__(CallerApplication)
    application._context = harness.context
    caller = anyio.run(Caller().send_to, application)
    assert (caller.status, caller.complete) == (500, True)
    assert _kinds(events) == ["request_failed", "request_refused"]
