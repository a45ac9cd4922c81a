"""Requests that may have run, and what other tries leave for them."""

import anyio
import pytest

from lentilshore_routing.retries import TokenBucketBudget
from tests.test_gateway import Caller, GatewayHarness, event, signed, stream
from tests.test_handover_races import rejection
from tests.test_retries_after_rejections import (
    ANSWER,
    FIELDS,
    STREAM,
    BusyReplicas,
    with_many_retries,
)

BROKEN = ["reset"]


# Guards against LOST: a replica that broke off once and has room again was never asked
# again, only the full one, until the deadline.
def test_a_replica_that_failed_once_is_asked_again_where_the_others_are_full():
    failed = []

    def replicas(fields):
        name = fields["x-expect-instance"]
        if not failed:
            failed.append(name)
            return BROKEN
        return signed(b"whole")(fields) if name == failed[0] else rejection(fields)

    harness = GatewayHarness([replicas], ANSWER)
    caller = harness.run(Caller(FIELDS), with_many_retries)
    assert (caller.status, caller.body) == (200, b"whole")


# Guards against LOST: with the budget of a gateway that has sent little, rejections in
# a row still ended a request after some tenths of a second.
@pytest.mark.parametrize("first", [BROKEN, ["hang"]], ids=["broken", "silent"])
def test_rejections_end_no_request_within_the_budget_of_a_quiet_gateway(first):
    replicas = BusyReplicas(first, rejection, signed(b"whole"), late_s=0.0)
    caller = GatewayHarness([replicas], ANSWER).run(Caller(FIELDS))
    assert (caller.status, caller.body) == (200, b"whole")


def first_ends(ends):
    """Return replicas that begin each request as stated, then answer it."""
    seen = set()

    def replicas(fields):
        name = fields["x-attempt-id"]
        begins = name not in seen
        seen.add(name)
        return ends(name, begins, fields)

    return replicas


# Guards against LOST: one request that full replicas reject used up the retries of its
# service, so that another one, which had broken off, was not sent again.
@pytest.mark.parametrize("first", [BROKEN, None], ids=["broken", "not_run"])
def test_one_rejected_request_leaves_retries_to_others(first):
    def ends(name, begins, fields):
        if name == "full":
            return first if begins and first else rejection(fields)
        return BROKEN if begins else signed(b"whole")(fields)

    async def act(harness, application, caller):
        rejected = Caller(FIELDS, request_id=b"full")
        await rejected.send_to(application)
        assert rejected.status in (502, 503, 504)
        await caller.send_to(application)

    caller = GatewayHarness([first_ends(ends)], ANSWER).run(Caller(FIELDS), act)
    assert (caller.status, caller.body) == (200, b"whole")


# Guards against LOST: a request that may have run ended at once where its replicas had
# left the list before the new ones were known.
def test_an_empty_list_of_replicas_ends_no_request_that_may_have_run():
    async def act(harness, application, caller):
        async with anyio.create_task_group() as group:
            group.start_soon(caller.send_to, application)
            await anyio.sleep(0.1)
            harness.context.view.replace_replicas([])
            await anyio.sleep(0.6)
            harness.context.view.replace_replicas([harness._record("i-3")])

    harness = GatewayHarness([[0.2, "reset"], signed(b"whole")], ANSWER)
    caller = harness.run(Caller(FIELDS), act)
    assert (caller.status, caller.body) == (200, b"whole")


def drain(harness):
    records = [harness._record(name) for name in ("i-1", "i-2")]
    harness.context.view.replace_replicas(
        [r._replace(replica=r.replica._replace(draining=True)) for r in records]
    )


def pause(harness):
    for name in ("i-1", "i-2"):
        harness.context.placement.pause(name, 0.5)


# Guards against LOST: a request that may have run ended at once where no replica might
# be sent anything for a while, though one was available long before its deadline.
@pytest.mark.parametrize("end_all", [drain, pause])
def test_a_time_without_replicas_ends_no_request_that_may_have_run(end_all):
    async def act(harness, application, caller):
        async with anyio.create_task_group() as group:
            group.start_soon(caller.send_to, application)
            await anyio.sleep(0.1)
            end_all(harness)
            await anyio.sleep(0.6)
            harness.context.view.replace_replicas([harness._record("i-3")])

    harness = GatewayHarness([[0.2, "reset"], signed(b"whole")], ANSWER)
    caller = harness.run(Caller(FIELDS), act)
    assert (caller.status, caller.body) == (200, b"whole")


# Guards against BUDGET and LOST: each answer to another request woke a rejected one at
# once, so that it was rejected a hundred times a second and used up the retries.
def test_answers_to_others_wake_a_rejected_request_seldom():
    tries = []

    def replicas(fields):
        if fields["x-attempt-id"] != "a1":
            return signed(b"other")(fields)
        tries.append(fields["x-expect-instance"])
        return BROKEN if len(tries) == 1 else rejection(fields)

    async def act(harness, application, caller):
        budget = TokenBucketBudget(reserve=500.0, capacity=500.0)
        harness.context.retries._create_budget = lambda: budget
        async with anyio.create_task_group() as group:
            group.start_soon(caller.send_to, application)
            for number in range(100):
                await Caller(FIELDS, request_id=b"o%d" % number).send_to(application)
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    GatewayHarness([replicas], ANSWER).run(Caller(FIELDS), act)
    assert len(tries) <= 20


class LaterBudget:
    """Retry budget that allows retries only from some time after its creation on."""

    def __init__(self):
        self._allowed_at = anyio.current_time() + 0.6

    def earn(self):
        """Count nothing."""

    def can_spend(self, after_rejection=False):
        """Allow retries from that time on."""
        return anyio.current_time() >= self._allowed_at

    def try_spend(self, after_rejection=False):
        """Allow retries from that time on."""
        return self.can_spend()

    def refund(self):
        """Count nothing."""


# Guards against LOST: a request that had broken off ended at once where the budget had
# no retry just then; only one that had been handed over waited.
@pytest.mark.parametrize(
    ("first", "last", "with_route", "body"),
    [
        (BROKEN, signed(b"whole"), ANSWER, b"whole"),
        (stream([1], "reset"), stream([2], "whole"), STREAM, event(1) + event(2)),
    ],
    ids=["answer", "stream"],
)
def test_a_budget_that_is_used_up_for_a_while_ends_no_broken_request(
    first, last, with_route, body
):
    async def act(harness, application, caller):
        harness.context.retries._create_budget = LaterBudget
        await caller.send_to(application)

    caller = GatewayHarness([first, last], with_route).run(Caller(FIELDS), act)
    assert (caller.status, caller.body, caller.complete) == (200, body, True)


# Guards against LOST: a replica that shows room wakes a request that it had failed, and
# the request asks it, not the full one.
def test_a_request_asks_the_replica_whose_room_woke_it():
    tries = []

    def replicas(fields):
        if fields["x-attempt-id"] != "a1":
            own = fields["x-expect-instance"] == tries[0]
            return signed(b"other")(fields) if own else rejection(fields)
        tries.append(fields["x-expect-instance"])
        if len(tries) == 1:
            return BROKEN
        return signed(b"whole")(fields) if tries[-1] == tries[0] else rejection(fields)

    async def act(harness, application, caller):
        async with anyio.create_task_group() as group:
            group.start_soon(with_many_retries, harness, application, caller)
            await anyio.sleep(0.5)
            for number in range(20):
                await Caller(FIELDS, request_id=b"o%d" % number).send_to(application)
                await anyio.sleep(0.01)

    caller = GatewayHarness([replicas], ANSWER).run(Caller(FIELDS), act)
    assert (caller.status, caller.body) == (200, b"whole")


# Guards against GONE: a caller that leaves during a pause ends the tries.
def test_a_caller_that_leaves_during_a_pause_leaves_nothing_behind():
    async def act(harness, application, caller):
        budget = TokenBucketBudget(reserve=500.0, capacity=500.0)
        harness.context.retries._create_budget = lambda: budget
        async with anyio.create_task_group() as group:
            group.start_soon(caller.send_to, application)
            await anyio.sleep(1.0)
            # A pause has a first part in which no replica ends it.
            with anyio.fail_after(1.0):
                while not harness.context.room._waiters:
                    await anyio.sleep(0.005)
            caller._disconnected.set()
        count = len(harness.server.requests)
        await anyio.sleep(0.7)
        assert len(harness.server.requests) == count
        assert not harness.context.room._waiters

    GatewayHarness([BROKEN, rejection], ANSWER).run(Caller(FIELDS), act)
