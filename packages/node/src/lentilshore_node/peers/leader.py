"""Work of the leader: one node at a time, elected by a lease."""

from __future__ import annotations

from collections.abc import Collection

from lentilshore_fleet import (
    ConfigurationStore,
    LeaseManager,
    MemberState,
    compact_bills,
)
from lentilshore_fleet.documents import INSTANCES_DOCUMENT
from lentilshore_fleet.leases import RENEW_INTERVAL_S
from lentilshore_fleet.ledger import SEGMENT_PREFIX
from lentilshore_kernel import log_event, record_task_failure
from lentilshore_kernel.exceptions import LeaseLostError, StoreError

from ..state.context import NodeContext
from .reports import ReportMerger, merged_evidence
from .rollout_driver import RolloutDriver

LEADER_KEY = "leases/leader"
COMPACT_INTERVAL_S = 60.0


class Leader:
    """Tries to acquire the lease and does the leader's work while holding it.

    :param context: the node.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        store = context.platform.store
        self._lease = LeaseManager(
            store, context.clock, LEADER_KEY, str(context.incarnation)
        )
        self._merger = ReportMerger(store, self._lease)
        self._rollout_driver = RolloutDriver(
            ConfigurationStore(store, context.clock), self._lease
        )
        self._compacted_at = context.clock.monotonic()

    @property
    def lease(self) -> LeaseManager:
        """The leader's lease."""
        return self._lease

    async def run(self) -> None:
        """Acquire or renew the lease and work while it is held, until cancelled."""
        while True:
            await self._context.clock.sleep(RENEW_INTERVAL_S)
            if not self._context.membership.is_watcher():
                continue
            if await self._lease.try_acquire():
                await self.run_round()

    async def run_round(self) -> None:
        """Do one round of work; after a failure the rest is left to the next round."""
        try:
            merged = await self._merger.merge(gone_incarnations(self._context))
            await self._rollout_driver.step(
                self._context.catalog, merged_evidence(merged)
            )
            await self._compact()
        except (LeaseLostError, StoreError) as error:
            self._context.metrics.count("leader.interrupted")
            log_event("leader_interrupted", error=type(error).__name__, detail=error)
        except Exception as error:  # noqa: BLE001
            record_task_failure(self._context.metrics, error)

    async def _compact(self) -> None:
        now = self._context.clock.monotonic()
        if now - self._compacted_at < COMPACT_INTERVAL_S:
            return
        self._compacted_at = now
        store = self._context.platform.store
        gone = gone_incarnations(self._context)
        for incarnation in sorted(gone):
            if await store.list(f"{SEGMENT_PREFIX}{incarnation}/"):
                await compact_bills(store, self._lease, incarnation)


def gone_incarnations(context: NodeContext) -> Collection[str]:
    """Return incarnations that certainly no longer run.

    A node that has left announced that itself, and a superseded incarnation was
    replaced by a later one. A node that is considered dead counts only once the
    platform's list no longer has its instance.

    :param context: the node.
    """
    listed = {
        item["name"] for item in context.documents.value(INSTANCES_DOCUMENT) or ()
    }
    gone = {
        str(member.incarnation)
        for member in context.membership.members
        if member.state is MemberState.LEFT
        or (member.state is MemberState.DEAD and member.name not in listed)
    }
    return gone | context.membership.superseded
