"""Deliberate breaks of the gateway, each of which a promise to callers must show."""

import random
from unittest.mock import patch

import anyio
import pytest

from lentilshore_kernel.types import Execution
from lentilshore_node import attempts, delivery, forwarder, view_keeper
from lentilshore_platform.translator import HeaderTranslator
from lentilshore_routing import retries, staging, version_choice
from lentilshore_routing.observations import Observations
from lentilshore_routing.rollouts import Tally
from lentilshore_routing.routes import DeliveryMode
from lentilshore_routing.version_choice import VersionChooser
from tests.scripted import answer
from tests.test_fleet_view import record
from tests.test_gateway import (
    AGAIN,
    ONCE,
    RESUMABLE,
    Bench,
    Caller,
    chunk,
    event,
    route,
    signed,
    stream,
)
from tests.test_staging import BOTH, DURATION_S, EXPOSURE, rollout
from tests.test_view_keeper import (
    Change,
    FakeClock,
    Listing,
    ScriptedCollection,
    ScriptedSource,
    follow,
    table,
)


def runs_once():
    """A request that may not be repeated runs once, whatever becomes of it."""
    bench = Bench([["reset"], signed()], ONCE)
    bench.run(Caller())
    return len(bench.server.requests) == 1


def promises_truly():
    """Nobody is told that a request did not run which may have."""
    return Bench([["reset"]], ONCE).run(Caller()).status == 502


def stays_within_attempts():
    """A route's attempts are not exceeded."""
    bench = Bench([["reset"]], route(DeliveryMode.IDEMPOTENT, attempts=2))
    bench.run(Caller())
    return len(bench.server.requests) == 2


def passes_only_genuine_answers():
    """An answer without the replica's signature is not passed on."""
    return Bench([[answer(b"x")], signed()], AGAIN).run(Caller()).body == b"ok"


def answers_the_right_request():
    """An answer to another request is not passed on."""

    def other(fields):
        return [answer(b"x", "200 OK", ["X-Response-Signature: s", "X-Attempt-Id: z"])]

    return Bench([other, signed()], AGAIN).run(Caller()).body == b"ok"


def resumes_after_whole_events():
    """A stream goes on after the last event that the caller has whole."""
    bench = Bench([stream([1, 2], "close"), stream([3], "whole")], RESUMABLE)
    bench.run(Caller())
    return bench.server.requests[1][1].get("last-event-id") == "2"


def sends_whole_events_only():
    """No part of an event reaches the caller where a stream breaks."""
    cut = stream([1], "close")

    def broken(fields):
        return [*cut(fields)[:-1], chunk(event(2)[:4]), "close"]

    caller = Bench([broken], route(DeliveryMode.STREAM_ONCE)).run(Caller())
    return caller.body in (b"", event(1))


def refuses_unproved_keys():
    """A key that may have been withdrawn unseen is refused."""

    async def act(bench, application, caller):
        bench.context.view._confirmed_at -= 4.9
        await caller.send_to(application)

    return Bench([signed()], AGAIN).run(Caller(), act).status == 503


def avoids_replicas_that_left():
    """A replica that leaves while a connection opens gets nothing."""

    async def act(bench, application, caller):
        view, connect = bench.context.view, bench.context.http._connect

        async def leave(address, timeout_s):
            for known in list(view._records.values()):
                gone = known.replica._replace(leaving=True)
                view.take_record(known._replace(replica=gone))
            return await connect(address, timeout_s)

        bench.context.http._connect = leave
        await caller.send_to(application)

    bench = Bench([signed()], ONCE)
    bench.run(Caller(), act)
    return bench.server.requests == []


def keeps_sessions():
    """Sessions that others serve stay in the first half of a roll-out."""
    chooser, rng = VersionChooser(5.0), random.Random(1)
    names = [f"s{n}" for n in range(300)]
    chosen = {chooser.choose(rollout(), BOTH, n, rng.random(), 1.0) for n in names}
    return chosen == {"v1"}


def stops_bad_versions():
    """A version that fails is rolled back."""
    bad = Observations(Tally(9, 9), Tally(0, 90), failed_replicas=("a", "b"))
    due = staging.next_state(rollout(), 0.2 * DURATION_S, bad, "n1", EXPOSURE)
    return due is not None and due.state == "rolled_back"


def follows_the_list():
    """An entry that lapsed and came back in one answer of a watch stays."""
    clock = FakeClock()
    batch = [Change("i-1", None), Change("i-1", record())]
    replicas = ScriptedCollection(clock, [Listing([record()], 1)], [batch])
    view = follow(clock, ScriptedSource(clock, replicas, tables=[table(1)]), 6.0)
    return view.usable("i-1.0")


def lists_anew_after_a_gap():
    """What changed in a history that is gone is read from the list."""
    clock = FakeClock()
    gone = view_keeper.StoreHistoryGoneError("gone")
    lists = [Listing([record()], 1), Listing([], 9)]
    replicas = ScriptedCollection(clock, lists, [gone])
    view = follow(clock, ScriptedSource(clock, replicas, tables=[table(1)]), 8.0)
    return not view.usable("i-1.0")


def _never(*_, **__):
    return False


def _always(*_, **__):
    return True


def _nothing(*_, **__):
    return None


def _genuine(read_head):
    def read(self, status, headers):
        return read_head(self, status, headers)._replace(genuine=True)

    return read


def _anyone(read_head):
    def read(self, status, headers):
        return read_head(self, status, headers)._replace(request="")

    return read


async def _deaf_to_order(self, name, collection, take_list, take, drop):
    listing = await collection.list()
    take_list(listing.items)
    changes = await collection.watch(listing.revision, 5.0)
    for _, item in changes.events:
        if item is not None:
            await take(item)
    for name_changed, item in changes.events:
        if item is None:
            drop(name_changed)


async def _deaf_after_a_gap(self, name, collection, take_list, take, drop):
    take_list((await collection.list()).items)
    await anyio.sleep_forever()


MUTANTS = [
    (runs_once, retries.RetryPolicy, "allow", _always),
    (
        promises_truly,
        attempts.ExecutionProof,
        "execution",
        property(lambda self: Execution.NOT_RUN),
    ),
    (stays_within_attempts, delivery.Delivery, "may_go_on", _always),
    (
        passes_only_genuine_answers,
        HeaderTranslator,
        "read_head",
        _genuine(HeaderTranslator.read_head),
    ),
    (
        answers_the_right_request,
        HeaderTranslator,
        "read_head",
        _anyone(HeaderTranslator.read_head),
    ),
    (resumes_after_whole_events, delivery.EventSplitter, "last_id", None),
    (sends_whole_events_only, delivery.EventSplitter, "feed", lambda self, data: data),
    (refuses_unproved_keys, forwarder.Forwarder, "require_key_proof", _nothing),
    (avoids_replicas_that_left, delivery.Delivery, "_check_still_allowed", _nothing),
    (keeps_sessions, version_choice, "FIRST_SESSION_STAGE", 0),
    (stops_bad_versions, staging, "is_worse", _never),
    (follows_the_list, view_keeper.ViewKeeper, "_follow", _deaf_to_order),
    (lists_anew_after_a_gap, view_keeper.ViewKeeper, "_follow", _deaf_after_a_gap),
]


@pytest.mark.parametrize("promise", [row[0] for row in MUTANTS])
def test_the_gateway_keeps_its_promise(promise):
    assert promise()


@pytest.mark.parametrize(("promise", "target", "name", "broken"), MUTANTS)
def test_a_broken_gateway_is_caught(promise, target, name, broken):
    with patch.object(target, name, broken):
        assert not promise()
