"""Mutation tests of the gateway: each fault must break a guarantee to callers."""

import random
from unittest.mock import patch

import anyio
import pytest

from lentilshore_kernel.types import Execution
from lentilshore_node.callers import forwarder
from lentilshore_node.delivery import answers, attempt_sender, attempts, delivery
from lentilshore_node.state import fleet_view_updater
from lentilshore_platform.translator import HeaderTranslator
from lentilshore_routing import retries, staging, version_choice
from lentilshore_routing.observations import Observations
from lentilshore_routing.rollouts import Tally
from lentilshore_routing.routes import DeliveryMode
from lentilshore_routing.version_choice import VersionChooser
from tests.scripted import answer
from tests.test_fleet_view import record
from tests.test_fleet_view_updater import (
    Change,
    FakeClock,
    ScriptedCollection,
    ScriptedSource,
    follow,
    listed,
    table,
)
from tests.test_gateway import (
    IDEMPOTENT_ROUTE,
    ONCE_ROUTE,
    RESUMABLE_ROUTE,
    Caller,
    GatewayHarness,
    chunk,
    event,
    route,
    signed,
    stream,
)
from tests.test_staging import BOTH, DURATION_S, EXPOSURE, rollout


def sends_unrepeatable_requests_once():
    """A request that may not be repeated is sent once, even if it fails."""
    harness = GatewayHarness([["reset"], signed()], ONCE_ROUTE)
    harness.run(Caller())
    return len(harness.server.requests) == 1


def denies_execution_only_if_proved():
    """A request that may have run is not answered with a status that denies it."""
    return GatewayHarness([["reset"]], ONCE_ROUTE).run(Caller()).status == 502


def keeps_to_the_attempt_limit():
    """The number of attempts stays within the route's limit."""
    harness = GatewayHarness([["reset"]], route(DeliveryMode.IDEMPOTENT, attempts=2))
    harness.run(Caller())
    return len(harness.server.requests) == 2


def relays_only_genuine_answers():
    """An answer without the replica's signature is not relayed."""
    return (
        GatewayHarness([[answer(b"x")], signed()], IDEMPOTENT_ROUTE).run(Caller()).body
        == b"ok"
    )


def relays_only_answers_to_the_request():
    """An answer to another request is not relayed."""

    def other(fields):
        return [answer(b"x", "200 OK", ["X-Response-Signature: s", "X-Attempt-Id: z"])]

    return (
        GatewayHarness([other, signed()], IDEMPOTENT_ROUTE).run(Caller()).body == b"ok"
    )


def resumes_after_whole_events():
    """A stream resumes after the last event that the caller has received whole."""
    harness = GatewayHarness(
        [stream([1, 2], "close"), stream([3], "whole")], RESUMABLE_ROUTE
    )
    harness.run(Caller())
    return harness.server.requests[1][1].get("last-event-id") == "2"


def relays_only_whole_events():
    """No partial event is relayed if a stream breaks."""
    cut = stream([1], "close")

    def broken(fields):
        return [*cut(fields)[:-1], chunk(event(2)[:4]), "close"]

    caller = GatewayHarness([broken], route(DeliveryMode.STREAM_ONCE)).run(Caller())
    return caller.body in (b"", event(1))


def refuses_unproved_keys():
    """A key that may have been withdrawn without the node knowing is refused."""

    async def act(harness, application, caller):
        harness.context.view._confirmed_at -= 4.9
        await caller.send_to(application)

    return GatewayHarness([signed()], IDEMPOTENT_ROUTE).run(Caller(), act).status == 503


def avoids_draining_replicas():
    """A replica that begins to drain while a connection opens gets no request."""

    async def act(harness, application, caller):
        view, connect = harness.context.view, harness.context.http._connect

        async def drain_and_connect(address, timeout_s):
            for known in list(view._records.values()):
                draining = known.replica._replace(draining=True)
                view.update_replica(known._replace(replica=draining))
            return await connect(address, timeout_s)

        harness.context.http._connect = drain_and_connect
        await caller.send_to(application)

    harness = GatewayHarness([signed()], ONCE_ROUTE)
    harness.run(Caller(), act)
    return harness.server.requests == []


def keeps_sessions_on_the_base():
    """Sessions that others serve stay on the base in a roll-out's first half."""
    chooser, rng = VersionChooser(5.0), random.Random(1)
    names = [f"s{n}" for n in range(300)]
    chosen = {chooser.choose(rollout(), BOTH, n, rng.random(), 1.0) for n in names}
    return chosen == {"v1"}


def rolls_back_bad_versions():
    """A version that fails is rolled back."""
    bad = Observations(Tally(9, 9), Tally(0, 90), failed_replicas=("a", "b"))
    due = staging.next_record(rollout(), 0.2 * DURATION_S, bad, "n1", EXPOSURE)
    return due is not None and due.state == "rolled_back"


def applies_changes_in_order():
    """A replica that expires and returns in one batch of changes stays in the view."""
    clock = FakeClock()
    batch = [Change("i-1", None), Change("i-1", record())]
    replicas = ScriptedCollection(clock, [listed([record()], 1)], [batch])
    view = follow(clock, ScriptedSource(clock, replicas, tables=[table(1)]), 6.0)
    return view.usable("i-1.0")


def lists_again_after_a_history_gap():
    """Changes missed because the store dropped its history are read from the list."""
    clock = FakeClock()
    gone = fleet_view_updater.StoreHistoryGoneError("gone")
    lists = [listed([record()], 1), listed([], 9)]
    replicas = ScriptedCollection(clock, lists, [gone])
    view = follow(clock, ScriptedSource(clock, replicas, tables=[table(1)]), 8.0)
    return not view.usable("i-1.0")


def _return_false(*_, **__):
    return False


def _return_none(*_, **__):
    return None


def _always_genuine(read_head):
    def read(self, status, headers):
        return read_head(self, status, headers)._replace(unaltered=True)

    return read


def _without_request_id(read_head):
    def read(self, status, headers):
        return read_head(self, status, headers)._replace(request_id="")

    return read


async def _follow_out_of_order(self, part, collection, replace_all, update, remove):
    listing = await collection.list()
    replace_all(listing.items, 0)
    changes = await collection.watch(listing.revision, 5.0)
    for _, item in changes.changes:
        if item is not None:
            await update(item)
    for item_name, item in changes.changes:
        if item is None:
            remove(item_name)


async def _follow_without_listing_again(
    self, part, collection, replace_all, update, remove
):
    replace_all((await collection.list()).items, 0)
    await anyio.sleep_forever()


MUTANTS = [
    (sends_unrepeatable_requests_once, retries.RetryPolicy, "take", _return_none),
    (
        denies_execution_only_if_proved,
        attempts.ExecutionProof,
        "execution",
        property(lambda self: Execution.NOT_RUN),
    ),
    (keeps_to_the_attempt_limit, delivery.Delivery, "retry_denial", _return_none),
    (
        relays_only_genuine_answers,
        HeaderTranslator,
        "read_head",
        _always_genuine(HeaderTranslator.read_head),
    ),
    (
        relays_only_answers_to_the_request,
        HeaderTranslator,
        "read_head",
        _without_request_id(HeaderTranslator.read_head),
    ),
    (resumes_after_whole_events, answers.EventSplitter, "last_id", None),
    (relays_only_whole_events, answers.EventSplitter, "feed", lambda self, data: data),
    (refuses_unproved_keys, forwarder.Forwarder, "require_key_proof", _return_none),
    (
        avoids_draining_replicas,
        attempt_sender.AttemptSender,
        "_check_replica_usable",
        _return_none,
    ),
    (keeps_sessions_on_the_base, version_choice, "FIRST_SESSION_STAGE", 0),
    (rolls_back_bad_versions, staging, "is_worse", _return_false),
    (
        applies_changes_in_order,
        fleet_view_updater.FleetViewUpdater,
        "_watch_collection",
        _follow_out_of_order,
    ),
    (
        lists_again_after_a_history_gap,
        fleet_view_updater.FleetViewUpdater,
        "_watch_collection",
        _follow_without_listing_again,
    ),
]


@pytest.mark.parametrize("guarantee", [row[0] for row in MUTANTS])
def test_the_gateway_keeps_its_guarantee(guarantee):
    assert guarantee()


@pytest.mark.parametrize(("guarantee", "target", "name", "replacement"), MUTANTS)
def test_each_mutant_breaks_its_guarantee(guarantee, target, name, replacement):
    with patch.object(target, name, replacement):
        assert not guarantee()
