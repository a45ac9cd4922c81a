"""Replicas that reject a request late, after the one before was given up for them."""

import anyio
import pytest

from lentilshore_routing.routes import DeliveryMode
from tests.test_gateway import Caller, GatewayHarness, event, route, signed, stream
from tests.test_handover_races import after, chunk, rejection, stream_head

STREAM = route(DeliveryMode.STREAM_RESUMABLE)
ANSWER = route(DeliveryMode.IDEMPOTENT, latency_objective_s=0.1)
CASCADE = route(DeliveryMode.STREAM_RESUMABLE, models=("s", "l"))


def silent_stream(fields):
    return [stream_head(fields), chunk(event(1)), "hang"]


def unsure_stream(fields):
    return stream([1, 2], "whole", ["X-Confidence: 10"])(fields)


class RefillingBudget:
    """Retry budget that allows a second retry some time after the first."""

    refill_s = 0.5

    def __init__(self):
        self._spent_at = None

    def earn(self):
        """Count nothing."""

    def can_spend(self, after_rejection=False):
        """Allow a retry unless one was counted lately."""
        if self._spent_at is None:
            return True
        return anyio.current_time() > self._spent_at + self.refill_s

    def try_spend(self, after_rejection=False):
        """Count a retry."""
        allowed = self.can_spend()
        if allowed:
            self._spent_at = anyio.current_time()
        return allowed


# Guards against LOST: an attempt, or an answer in hand, was given up for a replica that
# rejected the request after 0.3 s; the budget had no retry then, and the request ended
# with most of its time left.
@pytest.mark.parametrize(
    ("first", "last", "with_route", "body"),
    [
        (silent_stream, stream([2], "whole"), STREAM, event(1) + event(2)),
        (["hang"], signed(b"whole"), ANSWER, b"whole"),
        (unsure_stream, stream([1, 2], "whole"), CASCADE, event(1) + event(2)),
    ],
    ids=["stream", "answer", "escalation"],
)
def test_a_late_rejection_ends_no_request_that_has_time_left(
    first, last, with_route, body
):
    async def act(harness, application, caller):
        harness.context.retries._create_budget = RefillingBudget
        await caller.send_to(application)

    harness = GatewayHarness([first, after(0.3, rejection), last], with_route)
    caller = harness.run(Caller([(b"x-model", b"*")]), act)
    assert (caller.status, caller.body, caller.complete) == (200, body, True)


class SlowBudget(RefillingBudget):
    """Retry budget that allows a second retry after the wait of other requests."""

    refill_s = 3.5


# Guards against LOST: a request was ended 3 s after a late rejection, with time left.
# Its caller can't be told that it has not run, or that its stream goes on elsewhere.
@pytest.mark.parametrize(
    ("first", "last", "with_route"),
    [
        (silent_stream, stream([2], "whole"), STREAM),
        (["hang"], signed(b"whole"), ANSWER),
    ],
    ids=["begun", "not begun"],
)
def test_a_request_waits_for_a_retry_of_the_budget_while_it_has_time(
    first, last, with_route, monkeypatch
):
    monkeypatch.setattr("lentilshore_node.delivery.attempts.WAIT_LIMIT_S", 0.0)

    async def act(harness, application, caller):
        harness.context.retries._create_budget = SlowBudget
        await caller.send_to(application)

    patient = with_route._replace(timeout_s=6.0)
    harness = GatewayHarness([first, after(0.3, rejection), last], patient)
    caller = harness.run(Caller([(b"x-deadline-ms", b"6000")]), act)
    assert (caller.status, caller.complete) == (200, True)
