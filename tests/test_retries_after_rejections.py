"""Requests that may have run and are then rejected, while there is time left."""

import anyio
import pytest

from lentilshore_kernel.types import Address
from lentilshore_node.delivery import retry_pacing
from lentilshore_routing.retries import TokenBucketBudget
from lentilshore_routing.routes import DeliveryMode
from tests.test_gateway import Caller, GatewayHarness, event, route, signed, stream
from tests.test_handover_races import rejection
from tests.test_late_rejections import RefillingBudget, silent_stream, unsure_stream

# The time for which replicas reject every request. It is longer than the quick tries
# of a request, and shorter than the deadlines below.
BUSY_S = 0.6
CLOSED_ADDRESS = Address("127.0.0.1", 1)
STREAM = route(DeliveryMode.STREAM_RESUMABLE)._replace(timeout_s=6.0)
ANSWER = route(DeliveryMode.IDEMPOTENT, latency_objective_s=0.1)
ANSWER = ANSWER._replace(timeout_s=6.0)
CASCADE = STREAM._replace(models=("s", "l"))
FIELDS = [(b"x-model", b"*"), (b"x-deadline-ms", b"5000")]


def replaced(fields):
    """Answer as another replica than the one that was asked for."""
    return [b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"]


class BusyReplicas:
    """Replicas of which one takes the request up, and that are busy afterwards.

    :param first: script of the replica that takes it up.
    :param busy: script of all others for :data:`BUSY_S`.
    :param last: script of all others afterwards.
    :param late_s: time after which the first of them rejects the request, seconds.
    """

    def __init__(self, first, busy, last, late_s):
        self._first = first
        self._busy = busy
        self._last = last
        self._late_s = late_s
        self._busy_since = None
        self._calls = 0

    def __call__(self, fields):
        self._calls += 1
        now = anyio.current_time()
        if self._calls == 1:
            return self._first(fields) if callable(self._first) else self._first
        if self._busy_since is None:
            self._busy_since = now
            return [self._late_s, *self._busy(fields)]
        if now - self._busy_since < self._late_s + BUSY_S:
            return self._busy(fields)
        return self._last(fields)


async def with_many_retries(harness, application, caller):
    harness.context.retries._create_budget = lambda: TokenBucketBudget(reserve=50.0)
    await caller.send_to(application)


# Guards against LOST: after a replica had fallen silent, five tries within some
# hundredths of a second, all rejected as not run, ended a request with seconds left.
@pytest.mark.parametrize("busy", [rejection, replaced], ids=["full", "replaced"])
@pytest.mark.parametrize(
    ("first", "last", "with_route", "body"),
    [
        (silent_stream, stream([2], "whole"), STREAM, event(1) + event(2)),
        (["hang"], signed(b"whole"), ANSWER, b"whole"),
        (unsure_stream, stream([1, 2], "whole"), CASCADE, event(1) + event(2)),
        (["reset"], signed(b"whole"), ANSWER, b"whole"),
    ],
    ids=["stream", "answer", "escalation", "broken"],
)
def test_rejections_in_a_row_end_no_request_that_has_time_left(
    first, last, with_route, body, busy
):
    replicas = BusyReplicas(first, busy, last, late_s=0.3)
    harness = GatewayHarness([replicas], with_route)
    caller = harness.run(Caller(FIELDS), with_many_retries)
    assert (caller.status, caller.body, caller.complete) == (200, body, True)


def place_replicas(harness, names, address):
    """Replace the replicas of the view by others at one address."""
    harness.context.view.replace_replicas(
        [
            record._replace(replica=record.replica._replace(address=address))
            for record in map(harness._record, names)
        ]
    )


# Guards against LOST: where a request's replica had ended, and nobody listened at the
# other addresses until the new replicas were known, it ended within some milliseconds.
def test_refused_connections_end_no_request_that_has_time_left():
    async def act(harness, application, caller):
        async with anyio.create_task_group() as group:
            group.start_soon(with_many_retries, harness, application, caller)
            await anyio.sleep(0.1)
            place_replicas(harness, ["i-1", "i-2"], CLOSED_ADDRESS)
            await anyio.sleep(BUSY_S)
            place_replicas(harness, ["i-3"], harness.server.address)

    harness = GatewayHarness([[0.2, "reset"], signed(b"whole")], ANSWER)
    caller = harness.run(Caller(FIELDS), act)
    assert (caller.status, caller.body) == (200, b"whole")


# Guards against LOST: requests at addresses where nobody listened used up the retries
# of their service, so that another request could not be sent again.
def test_refused_connections_use_up_no_retries_of_other_requests():
    async def act(harness, application, caller):
        place_replicas(harness, ["i-1", "i-2"], CLOSED_ADDRESS)
        for number in range(8):
            refused = Caller(FIELDS, request_id=b"r%d" % number)
            await refused.send_to(application)
            assert refused.status == 503
        (budget,) = harness.context.retries._budgets.values()
        assert not budget._retries
        place_replicas(harness, ["i-3", "i-4"], harness.server.address)
        await caller.send_to(application)

    harness = GatewayHarness([["reset"], signed(b"whole")], ANSWER)
    caller = harness.run(Caller(FIELDS), act)
    assert (caller.status, caller.body) == (200, b"whole")


# Guards against LOST: where a request's replica had broken off, and no other could be
# chosen at that moment, it ended with most of its time left.
@pytest.mark.parametrize("cause", ["gone", "paused"])
def test_a_moment_without_replicas_ends_no_request_that_has_time_left(cause):
    async def act(harness, application, caller):
        async with anyio.create_task_group() as group:
            group.start_soon(with_many_retries, harness, application, caller)
            await anyio.sleep(0.1)
            if cause == "paused":
                for name in ("i-1", "i-2"):
                    harness.context.placement.pause(name, BUSY_S)
                return
            harness.context.view._records.clear()
            harness.context.view._update_placement()
            await anyio.sleep(BUSY_S)
            place_replicas(harness, ["i-3"], harness.server.address)

    harness = GatewayHarness([[0.2, "reset"], signed(b"whole")], ANSWER)
    caller = harness.run(Caller(FIELDS), act)
    assert (caller.status, caller.body) == (200, b"whole")


# Guards against LOST: a rejection without a retry left in the budget at that moment
# ended a request that had been broken off before.
def test_a_rejection_without_a_retry_ends_no_request_that_has_time_left():
    async def act(harness, application, caller):
        harness.context.retries._create_budget = RefillingBudget
        await caller.send_to(application)

    harness = GatewayHarness([["reset"], rejection, signed(b"whole")], ANSWER)
    caller = harness.run(Caller(FIELDS), act)
    assert (caller.status, caller.body) == (200, b"whole")


# Guards against LOST: a request waited out its pause though a replica had just answered
# another request and had room again.
def test_an_answer_to_another_request_ends_the_pause(monkeypatch):
    monkeypatch.setattr(retry_pacing, "FIRST_PAUSE_S", 60.0)
    monkeypatch.setattr(retry_pacing, "PAUSE_TIME_LEFT_SHARE", 1.0)
    monkeypatch.setattr(retry_pacing, "PAUSE_FIXED_SHARE", 0.001)
    answered = []

    def replica(fields):
        if fields["x-attempt-id"] == "b1":
            answered.append(fields)
        elif not answered:
            return rejection(fields) if len(harness.server.requests) > 1 else ["reset"]
        return signed(b"whole")(fields)

    async def act(harness, application, caller):
        async with anyio.create_task_group() as group:
            group.start_soon(with_many_retries, harness, application, caller)
            await anyio.sleep(0.3)
            await Caller(FIELDS, request_id=b"b1").send_to(application)

    harness = GatewayHarness([replica], ANSWER)
    caller = harness.run(Caller(FIELDS), act)
    assert (caller.status, caller.body) == (200, b"whole")
