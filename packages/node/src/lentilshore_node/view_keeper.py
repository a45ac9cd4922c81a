"""Keeps a gateway's beliefs up to date from the platform's store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from typing import Any

from anyio.abc import TaskGroup

from lentilshore_kernel.exceptions import StoreError, StoreHistoryGoneError
from lentilshore_kernel.metrics import keep_running, record_state_change
from lentilshore_kernel.types import StateChange
from lentilshore_routing.rollout_record import Rollout

from .fleet_source import Collection, FleetSource
from .fleet_view import ReplicaRecord
from .gateway_context import GatewayContext

# Part of the time in which a configuration must be in force after which it is read
# again, so that one read may fail.
READ_SHARE = 0.45
# A watch that went silent is noticed after this time and the call's own timeout.
WATCH_WAIT_S = 5.0
# After a failure the first watch returns at once, so that a silent store is not waited
# for once it is back.
PROBE_WAIT_S = 0.0
RETRY_S = 0.25
RETRY_LIMIT_S = 1.0
# Changes often come several at once, and one answer may bring them all: after a change
# the next watch begins so much later, seconds; a small part of the shortest bound.
GATHER_S = 0.25
EXPIRY_INTERVAL_S = 0.25


class ViewKeeper:
    """Reads configuration, replicas and roll-outs for as long as it runs.

    :param context: the gateway.
    :param source: the platform's store.
    """

    def __init__(self, context: GatewayContext, source: FleetSource) -> None:
        self._context = context
        self._source = source
        self._reached: dict[str, bool] = {}

    def start(self, group: TaskGroup) -> None:
        """Start one task for each part."""
        view = self._context.view
        self._start(group, self._keep_table)
        self._start(
            group,
            self._follow,
            "rollouts",
            self._source.rollouts,
            view.take_rollouts,
            self._take_rollout,
            view.drop_rollout,
        )
        self._start(
            group,
            self._follow,
            "replicas",
            self._source.replicas,
            view.take_list,
            self._take_replica,
            view.drop_record,
        )
        self._start(group, self._expire)

    def _start(self, group: TaskGroup, task: Any, *args: Any) -> None:
        metrics, clock = self._context.metrics, self._context.clock
        group.start_soon(keep_running, partial(task, *args), metrics, clock)

    async def _keep_table(self) -> None:
        clock, view = self._context.clock, self._context.view
        while True:
            asked_at = clock.monotonic()
            try:
                table = await self._source.read_table()
            except StoreError as error:
                self._note("configuration", error)
                await clock.sleep(RETRY_S * (0.5 + self._context.random.random()))
                continue
            self._note("configuration", None)
            if table is not None:
                view.take_table(table)
                view.confirm(asked_at)
            spent_s = clock.monotonic() - asked_at
            interval_s = self._context.bounds.apply_s * READ_SHARE
            await clock.sleep(max(RETRY_S, interval_s - spent_s))

    async def _follow(
        self,
        name: str,
        collection: Collection[Any],
        take_list: Callable[[Iterable[Any]], None],
        take: Callable[[Any], Awaitable[None]],
        drop: Callable[[str], None],
    ) -> None:
        revision: int | None = None
        delay_s, wait_s = RETRY_S, WATCH_WAIT_S
        while True:
            try:
                if revision is None:
                    listing = await collection.list()
                    take_list(listing.items)
                    revision = listing.revision
                else:
                    changes = await collection.watch(revision, wait_s)
                    for name_changed, item in changes.events:
                        if item is None:
                            drop(name_changed)
                        else:
                            await take(item)
                    revision = max(revision, changes.revision)
                    if changes.events:
                        await self._context.clock.sleep(GATHER_S)
                self._note(name, None)
                delay_s, wait_s = RETRY_S, WATCH_WAIT_S
            except StoreHistoryGoneError:
                record_state_change(
                    self._context.metrics,
                    StateChange.HISTORY_GONE,
                    part=name,
                    revision=revision,
                )
                revision = None
            except StoreError as error:
                self._note(name, error)
                wait_s = PROBE_WAIT_S
                jitter = 0.5 + self._context.random.random()
                await self._context.clock.sleep(delay_s * jitter)
                delay_s = min(RETRY_LIMIT_S, delay_s * 2)

    async def _take_rollout(self, rollout: Rollout) -> None:
        self._context.view.take_rollout(rollout)

    async def _take_replica(self, record: ReplicaRecord) -> None:
        view = self._context.view
        if not view.knows_version(record.service, record.version):
            # An order for this version may not have been seen yet.
            listing = await self._source.rollouts.list()
            view.take_rollouts(listing.items)
        view.take_record(record)

    async def _expire(self) -> None:
        while True:
            await self._context.clock.sleep(EXPIRY_INTERVAL_S)
            self._context.view.expire()

    def _note(self, name: str, error: StoreError | None) -> None:
        """Log and count each loss and return of a part."""
        reached = error is None
        if not reached:
            self._context.metrics.count(f"store.failed.{name}")
        if self._reached.get(name) == reached:
            return
        self._reached[name] = reached
        change = StateChange.STORE_REGAINED if reached else StateChange.STORE_LOST
        detail = str(error) if error else "-"
        record_state_change(self._context.metrics, change, part=name, detail=detail)
