"""The fleet view follows a store that changes, fails and discards its history."""

import itertools
import random

import anyio
import pytest

from lentilshore_kernel.exceptions import (
    StoreHistoryGoneError,
    StoreUnavailableError,
)
from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock, run_with_clock
from lentilshore_kernel.types import StoreRevision
from lentilshore_node.clients.fleet_source import Change, Changes, Listing, TableReading
from lentilshore_node.clients.http_client import HttpClient
from lentilshore_node.programs.gateway_assembly import create_gateway
from lentilshore_node.state.fleet_view_updater import BATCH_DELAY_S, FleetViewUpdater
from lentilshore_node.state.gateway_context import GatewayBounds
from lentilshore_routing.rollout_record import RolloutState
from lentilshore_routing.routes import CallerLimits, RouteTable
from tests.test_fleet_view import record, rollout

BOUNDS = GatewayBounds(5.0, 2.0, 2.0, 5.0, 8.0, 0.9, 52.0, 10.0, 0.15)
STORE_UNAVAILABLE = StoreUnavailableError("down")


class ScriptedCollection:
    """Returns scripted lists and watch results; further watches run into their wait."""

    def __init__(self, clock, lists=(), watches=()):
        self._clock = clock
        self._lists = list(lists)
        self._watches = list(watches)
        self.list_calls = 0
        self.waits = []

    async def list(self):
        self.list_calls += 1
        result = self._lists.pop(0) if self._lists else listed([], 1)
        if isinstance(result, Exception):
            raise result
        return result

    async def watch(self, after, wait_s):
        self.waits.append(wait_s)
        if not self._watches:
            await self._clock.sleep(wait_s)
            return Changes([], after)
        result = self._watches.pop(0)
        await self._clock.sleep(0.1)
        if isinstance(result, Exception):
            raise result
        return Changes(result, after._replace(number=after.number + 1))


class ScriptedSource:
    def __init__(self, clock, replicas=None, rollouts=None, tables=()):
        self.replicas = replicas or ScriptedCollection(clock)
        self.rollouts = rollouts or ScriptedCollection(clock)
        self._tables = list(tables)

    async def read_table(self):
        result = self._tables.pop(0) if len(self._tables) > 1 else self._tables[0]
        if isinstance(result, Exception):
            raise result
        return TableReading(result)


def listed(items, revision, era=0):
    return Listing(items, StoreRevision(era, revision))


def table(version):
    return RouteTable(version, [], {}, CallerLimits())


def follow(clock, source, seconds, bounds=BOUNDS):
    """Update a view from a source for some seconds and return it."""
    context = create_gateway(
        "n1",
        "dc",
        bounds,
        clock,
        random.Random(1),
        ServedMetrics(),
        HttpClient(),
        None,
    )

    async def main():
        async with anyio.create_task_group() as group:
            FleetViewUpdater(context, source).start(group)
            await clock.sleep(seconds)
            group.cancel_scope.cancel()

    run_with_clock(clock, main)
    return context.view


def test_a_replica_removed_and_added_again_in_one_batch_stays_usable():
    clock = FakeClock()
    batch = [Change("i-1", None), Change("i-1", record())]
    replicas = ScriptedCollection(clock, [listed([record()], 1)], [batch])
    view = follow(clock, ScriptedSource(clock, replicas, tables=[table(1)]), 6.0)
    assert view.usable("i-1.0")


def test_a_replica_added_and_removed_in_one_batch_is_not_usable():
    clock = FakeClock()
    batch = [Change("i-2", record("i-2")), Change("i-2", None)]
    replicas = ScriptedCollection(clock, [listed([record()], 1)], [batch])
    view = follow(clock, ScriptedSource(clock, replicas, tables=[table(1)]), 6.0)
    assert not view.usable("i-2.0")


def test_watches_after_a_failure_do_not_wait():
    clock = FakeClock()
    replicas = ScriptedCollection(clock, [], [STORE_UNAVAILABLE, STORE_UNAVAILABLE])
    follow(clock, ScriptedSource(clock, replicas, tables=[table(1)]), 8.0)
    assert replicas.waits[0] > 1.0
    assert replicas.waits[1:3] == [0.0, 0.0]
    assert replicas.waits[3] > 1.0


def test_an_unexpected_error_restarts_the_watch():
    clock = FakeClock()
    lists = [listed([record()], 1), listed([record(), record("i-2")], 2)]
    replicas = ScriptedCollection(clock, lists, [KeyError("unforeseen")])
    view = follow(clock, ScriptedSource(clock, replicas, tables=[table(1)]), 4.0)
    assert replicas.list_calls == 2
    assert view.usable("i-2.0")


def test_a_collection_is_listed_again_when_its_history_is_gone():
    clock = FakeClock()
    lists = [listed([record()], 1), listed([record("i-2")], 9)]
    replicas = ScriptedCollection(clock, lists, [StoreHistoryGoneError("gone")])
    view = follow(clock, ScriptedSource(clock, replicas, tables=[table(1)]), 4.0)
    assert replicas.list_calls == 2
    assert view.usable("i-2.0")
    assert not view.usable("i-1.0")


def test_roll_outs_are_read_before_a_new_version_is_used():
    clock = FakeClock()
    with_rollout = listed([rollout(None)], 2)
    rollouts = ScriptedCollection(clock, [listed([], 1), with_rollout])
    batch = [Change("i-2", record("i-2", "v2"))]
    replicas = ScriptedCollection(clock, [listed([record()], 1)], [batch])
    source = ScriptedSource(clock, replicas, rollouts, [table(1)])
    view = follow(clock, source, 1.0)
    assert not view.usable("i-2.0")
    assert view.usable("i-1.0")


def test_a_roll_out_is_removed_with_its_record():
    clock = FakeClock()
    lists = [listed([rollout(RolloutState.RUNNING)], 1)]
    rollouts = ScriptedCollection(clock, lists, [[Change("pool", None)]])
    source = ScriptedSource(clock, None, rollouts, [table(1)])
    assert not follow(clock, source, 1.0).rollouts


@pytest.mark.parametrize(
    ("tables", "version", "fresh"),
    [
        ([table(3), table(2)], 3, False),
        ([table(1), STORE_UNAVAILABLE], 1, False),
        ([STORE_UNAVAILABLE, STORE_UNAVAILABLE, table(4)], 4, True),
        ([None], None, False),
    ],
)
def test_older_configurations_are_ignored_and_failed_reads_confirm_nothing(
    tables, version, fresh
):
    clock = FakeClock()
    view = follow(clock, ScriptedSource(clock, tables=tables), 6.0)
    assert (view.table and view.table.version) == version
    assert (view.confirmed_age_s < 2.0) is fresh


def test_changes_in_a_burst_are_read_in_few_watches():
    clock = FakeClock()
    watches = [[Change(f"i-{n}", record(f"i-{n}"))] for n in range(2, 40)]
    replicas = ScriptedCollection(clock, [listed([record()], 1)], watches)
    follow(clock, ScriptedSource(clock, replicas, tables=[table(1)]), 4.0)
    assert len(replicas.waits) <= 4.0 / BATCH_DELAY_S


@pytest.mark.parametrize("config_apply_s", [1.0, 2.0, 3.0])
def test_the_configuration_is_read_twice_within_its_time_limit(config_apply_s):
    clock = FakeClock()
    source = ScriptedSource(clock, tables=[table(1)])
    reads = []
    read_table = source.read_table

    async def count_reads():
        reads.append(clock.monotonic())
        return await read_table()

    source.read_table = count_reads
    follow(clock, source, 12.0, BOUNDS._replace(config_apply_s=config_apply_s))
    gaps = [after - before for before, after in itertools.pairwise(reads)]
    assert max(gaps) * 2 <= config_apply_s
    assert len(reads) <= 12.0 / (config_apply_s * 0.4) + 1
