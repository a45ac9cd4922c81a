"""Keeps a gateway's fleet view up to date from the platform's store."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from typing import Any

import anyio
from anyio.abc import TaskGroup

from lentilshore_kernel.exceptions import StoreError, StoreHistoryGoneError
from lentilshore_kernel.metrics import keep_running, record_state_change
from lentilshore_kernel.types import StateChange, StoreRevision
from lentilshore_routing.rollout_record import Rollout

from ..clients.fleet_source import Collection, FleetSource
from .change_log import read_times
from .gateway_context import (
    CLOSURES_PART,
    REPLICAS_PART,
    ROLLOUTS_PART,
    GatewayBounds,
    GatewayContext,
)
from .replica_record import ReplicaRecord

# Interval between configuration reads, as a share of the time within which a new
# configuration must be in force. It is below one half, so that the limit is met even if
# one read fails.
READ_INTERVAL_SHARE = 0.45
# Interval after a read that another gateway has answered, as a share of the interval
# after a read of the store: both delays add up.
RELAYED_INTERVAL_SHARE = 0.5
# Longest wait of a watch call. A watch that no longer answers is detected after this
# time plus the call's own timeout.
WATCH_WAIT_S = 5.0
# Longest wait of a watch call for closures, as a share of the time within which they
# must be known. A watch that no longer answers is detected after the wait and the
# call's own timeout of 1.2 s, and 1.3 s remain of 5 s to read the change.
CLOSURE_WAIT_SHARE = 0.5
# Shortest such wait, so that a short time in the settings makes few calls.
CLOSURE_WAIT_MIN_S = 0.5
# Interval between checks of whether the settings have switched closures on or off.
SWITCH_INTERVAL_S = 1.0
# Wait of a watch call after a failure. The call returns at once, so that the store's
# recovery is noticed without waiting for a change.
PROBE_WAIT_S = 0.0
# First delay after a failed read, before jitter; also the shortest pause between two
# successful reads of the configuration.
RETRY_MIN_S = 0.25
RETRY_MAX_S = 1.0  # limit of the doubled delays of a watch, before jitter
# Delay between a change and the next watch call. Changes often come in bursts, and a
# delayed call returns all of them at once. Small against the shortest time limit that
# applies to a change.
BATCH_DELAY_S = 0.25
# If the store fails and the configuration could not be read for this time, the entries
# of live replicas may have lapsed, and return within ``RETURN_S`` of the store.
STORE_AWAY_S = 2.4
RETURN_S = 2.0
# Interval between checks for vanished replicas whose grace period has ended.
EXPIRY_INTERVAL_S = 0.25


class FleetViewUpdater:
    """Polls the configuration and watches replicas, roll-outs and closures.

    :param context: the gateway.
    :param source: the platform's store.
    """

    def __init__(self, context: GatewayContext, source: FleetSource) -> None:
        self._context = context
        self._source = source
        # Whether the last read of each part of the store succeeded, by part.
        self._reached: dict[str, bool] = {}
        # Beginning of the last configuration read that the store itself answered.
        self._store_answered_at = -math.inf
        # When the store returned after it was away.
        self._returned_at = -math.inf

    def start(self, group: TaskGroup) -> None:
        """Start a task for each part of the view and one that expires replicas."""
        view = self._context.view
        self._start_task(group, self._poll_table)
        self._start_task(
            group,
            self._watch_collection,
            ROLLOUTS_PART,
            self._source.rollouts,
            self._replace_rollouts,
            self._update_rollout,
            self._remove_rollout,
        )
        self._start_task(
            group,
            self._watch_collection,
            REPLICAS_PART,
            self._source.replicas,
            view.replace_replicas,
            self._update_replica,
            view.remove_replica,
        )
        self._start_task(group, self._follow_closures)
        self._start_task(group, self._expire_replicas)

    def _start_task(self, group: TaskGroup, task: Any, *args: Any) -> None:
        metrics, clock = self._context.metrics, self._context.clock
        group.start_soon(keep_running, partial(task, *args), metrics, clock)

    async def _poll_table(self) -> None:
        clock, view = self._context.clock, self._context.view
        while True:
            read_started_at = clock.monotonic()
            try:
                table, age_s = await self._source.read_table()
            except StoreError as error:
                self._report_store_state("configuration", error)
                await clock.sleep(RETRY_MIN_S * (0.5 + self._context.random.random()))
                continue
            if self._is_store_away():
                self._returned_at = clock.monotonic()
            self._report_store_state("configuration", None)  # the read succeeded
            if age_s == 0.0:
                self._store_answered_at = read_started_at
            if table is not None:
                view.update_table(table)
                view.confirm_table(table.version, read_started_at - age_s)
            spent_s = clock.monotonic() - read_started_at
            interval_s = self._context.bounds.config_apply_s * READ_INTERVAL_SHARE
            if age_s > 0.0:
                interval_s *= RELAYED_INTERVAL_SHARE
            # A read that took most of the interval is still followed by a pause.
            await clock.sleep(max(RETRY_MIN_S, interval_s - spent_s))

    async def _follow_closures(self) -> None:
        """Watch the closures while the settings ask for it.

        Without the setting no call of the store is made for them.
        """
        while True:
            await self._wait_for_switch(True)
            async with anyio.create_task_group() as group:
                self._start_task(
                    group,
                    self._watch_collection,
                    CLOSURES_PART,
                    self._source.closures,
                    self._replace_closures,
                    self._update_closure,
                    self._remove_closure,
                )
                await self._wait_for_switch(False)
                group.cancel_scope.cancel()
            self._context.view.forget_closures()

    async def _wait_for_switch(self, on: bool) -> None:
        while (self._context.bounds.evacuation_s is not None) is not on:
            await self._context.clock.sleep(SWITCH_INTERVAL_S)

    async def _watch_collection(
        self,
        part: str,
        collection: Collection[Any],
        replace_all: Callable[[Iterable[Any], int, float | None], None],
        update: Callable[[Any], Awaitable[None]],
        remove: Callable[[str, float | None], None],
    ) -> None:
        log = self._context.change_logs[part]
        revision: StoreRevision | None = None
        delay_s, wait_s = RETRY_MIN_S, self._watch_wait_s(part)
        while True:
            started_at = self._context.clock.monotonic()
            try:
                if revision is None:
                    listing = await collection.list()
                    removed_after = self._removed_after(log.confirmed_at)
                    replace_all(listing.items, listing.revision.era, removed_after)
                    self._context.view.expire_vanished_replicas()
                    revision = listing.revision
                    log.restart(revision, started_at)
                else:
                    batch = await collection.watch(revision, wait_s)
                    times = read_times(
                        batch,
                        started_at,
                        log.confirmed_at,
                        self._store_answered_at,
                        self._context.clock.monotonic(),
                    )
                    for item_name, item in batch.changes:
                        if item is None:
                            remove(item_name, self._removed_after(times.made_after))
                        else:
                            await update(item)
                    revision = max(revision, batch.revision)
                    log.append(batch, times)
                    if batch.changes:
                        self._context.view.expire_vanished_replicas()
                        await self._context.clock.sleep(BATCH_DELAY_S)
                self._report_store_state(part, None)  # the read succeeded
                delay_s, wait_s = RETRY_MIN_S, self._watch_wait_s(part)
            except StoreHistoryGoneError:
                record_state_change(
                    self._context.metrics,
                    StateChange.HISTORY_GONE,
                    part=part,
                    revision=revision,
                )
                revision = None
            except StoreError as error:
                self._report_store_state(part, error)
                wait_s = PROBE_WAIT_S
                jitter = 0.5 + self._context.random.random()
                await self._context.clock.sleep(delay_s * jitter)
                delay_s = min(RETRY_MAX_S, delay_s * 2)

    def _watch_wait_s(self, part: str) -> float:
        return watch_wait_s(part, self._context.bounds)

    def _is_store_away(self) -> bool:
        has_failed = self._reached.get("configuration") is False
        return has_failed and self._context.view.confirmed_age_s > STORE_AWAY_S

    def _removed_after(self, made_after: float) -> float | None:
        """Return the time from which the grace of a removed replica counts.

        :param made_after: time after which it was removed, on the node's clock,
            seconds.
        :returns: that time; None for the present, if the entry may return.
        """
        returned_s = self._context.clock.monotonic() - self._returned_at
        if self._is_store_away() or returned_s <= RETURN_S:
            return None
        return made_after

    def _replace_rollouts(
        self, rollouts: Iterable[Rollout], era: int, removed_after: float | None
    ) -> None:
        self._context.view.replace_rollouts(rollouts, era)

    async def _update_rollout(self, rollout: Rollout) -> None:
        self._context.view.update_rollout(rollout)

    def _remove_rollout(self, name: str, removed_after: float | None) -> None:
        self._context.view.remove_rollout(name)

    def _replace_closures(
        self, names: Iterable[str], era: int, removed_after: float | None
    ) -> None:
        self._context.view.replace_closures(names, era)

    async def _update_closure(self, name: str) -> None:
        self._context.view.update_closure(name)

    def _remove_closure(self, name: str, removed_after: float | None) -> None:
        self._context.view.remove_closure(name)

    async def _update_replica(self, record: ReplicaRecord) -> None:
        view = self._context.view
        if not view.knows_version(record.service, record.version):
            # The record of a roll-out to this version may not have been read yet.
            listing = await self._source.rollouts.list()
            view.replace_rollouts(listing.items, listing.revision.era)
        view.update_replica(record)

    async def _expire_replicas(self) -> None:
        while True:
            await self._context.clock.sleep(EXPIRY_INTERVAL_S)
            self._context.view.expire_vanished_replicas()
            self._context.view.expire_kept_rollouts()
            self._context.view.expire_kept_closures()
            self._context.view.expire_cold_replicas()

    def _report_store_state(self, part: str, error: StoreError | None) -> None:
        """Count failed reads; log when a part of the store is lost or regained.

        :param part: part of the store that was read.
        :param error: why the read failed; None if it succeeded.
        """
        reached = error is None
        if not reached:
            self._context.metrics.count(f"store.failed.{part}")
        if self._reached.get(part) == reached:
            return
        self._reached[part] = reached
        change = StateChange.STORE_REGAINED if reached else StateChange.STORE_LOST
        detail = str(error) if error else "-"
        record_state_change(self._context.metrics, change, part=part, detail=detail)


def watch_wait_s(part: str, bounds: GatewayBounds) -> float:
    """Return the longest wait of a watch call, seconds.

    :param part: part of the store that is watched.
    """
    if part != CLOSURES_PART or bounds.evacuation_s is None:
        return WATCH_WAIT_S
    wait_s = max(CLOSURE_WAIT_MIN_S, bounds.evacuation_s * CLOSURE_WAIT_SHARE)
    return min(WATCH_WAIT_S, wait_s)
