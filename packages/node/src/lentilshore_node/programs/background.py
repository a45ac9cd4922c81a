"""Background tasks of a node, and its draining."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from lentilshore_kernel import log_event
from lentilshore_kernel.exceptions import PeerUnavailableError

from ..peers.leader import Leader
from ..peers.links import LinkBillCopier, LinkManager
from ..state.context import NodeContext
from ..state.watcher import STORE_KEYS_BY_DOCUMENT, Watcher
from .maintenance import Maintenance

DRAIN_CHECK_S = 0.05
ABORT_TIMEOUT_S = 2.0
HAND_OVER_RETRY_S = 1.0
# Most bill segments that one flush writes while the node drains.
FINAL_FLUSH_SEGMENTS = 1_000
FINAL_FLUSH_TIMEOUT_S = 10.0


class BackgroundTasks:
    """Everything that a node runs besides serving calls, and its draining.

    :param context: the node.
    :param links: links to other nodes.
    :param copier: copies bills over the links.
    """

    def __init__(
        self, context: NodeContext, links: LinkManager, copier: LinkBillCopier
    ) -> None:
        self._context = context
        self._links = links
        self._leader = Leader(context)
        self._maintenance = Maintenance(context, links, copier)
        copier.attach(links)

    @property
    def leader(self) -> Leader:
        """The leader's work, done while this node holds the lease."""
        return self._leader

    @property
    def maintenance(self) -> Maintenance:
        """The node's periodic tasks."""
        return self._maintenance

    def start(self, group: TaskGroup) -> None:
        """Start every task.

        :param group: task group that runs them and whose cancellation ends them.
        """
        watcher = Watcher(self._context)
        group.start_soon(self._links.run)
        group.start_soon(watcher.run_configuration)
        group.start_soon(watcher.run_instances)
        for name in STORE_KEYS_BY_DOCUMENT:
            group.start_soon(watcher.run_document, name)
        for task in self._maintenance.tasks():
            group.start_soon(task)
        group.start_soon(self._leader.run)

    async def drain(
        self, stop_accepting: Callable[[], None], skip_wait: anyio.Event
    ) -> bool:
        """Stop accepting requests, then wait for those in flight.

        :param stop_accepting: closes the callers' listener.
        :param skip_wait: ends the waits once it is set.
        :returns: whether every request in flight finished in time.
        """
        context = self._context
        context.drain_announced = True
        log_event("drain_started", in_flight=context.in_flight)
        with context.clock.timeout(context.settings.drain_notice_s):
            await skip_wait.wait()
        context.draining = True
        stop_accepting()
        all_finished = await self._wait_idle(context.settings.drain_limit_s, skip_wait)
        if not all_finished:
            context.drain_expired.set()
            await self._wait_idle(ABORT_TIMEOUT_S, anyio.Event())
        return all_finished

    async def _wait_idle(self, limit_s: float, skip_wait: anyio.Event) -> bool:
        """Wait for requests in flight; return whether all of them have ended."""
        clock = self._context.clock
        deadline = clock.monotonic() + limit_s
        while self._context.in_flight and clock.monotonic() < deadline:
            if skip_wait.is_set():
                break
            await clock.sleep(DRAIN_CHECK_S)
        return self._context.in_flight == 0

    async def hand_over(self) -> bool:
        """Release the lease, write all bills and announce the departure to peers.

        :returns: whether every bill is at a peer or in the store.
        """
        context = self._context
        with context.clock.timeout(FINAL_FLUSH_TIMEOUT_S):
            await self._leader.lease.release()
            await context.ledger.flush(FINAL_FLUSH_SEGMENTS)
        with context.clock.timeout(context.settings.hand_over_limit_s):
            while context.ledger.uncopied_count:
                await context.clock.sleep(HAND_OVER_RETRY_S)
                await context.ledger.copy_uncopied()
                await context.ledger.flush(FINAL_FLUSH_SEGMENTS)
        with context.clock.timeout(FINAL_FLUSH_TIMEOUT_S):
            await self._write_bill_copies()
        links = self._links.links_in_copy_order()
        if not context.ledger.unwritten_count:
            context.membership.leave()
        with context.clock.timeout(FINAL_FLUSH_TIMEOUT_S):
            for link in links:
                try:
                    if not context.ledger.unwritten_count:
                        await link.release_bills(context.ledger.owner)
                    await self._links.send_heartbeat(link)
                except PeerUnavailableError:
                    continue
        return context.ledger.uncopied_count == 0

    async def _write_bill_copies(self) -> None:
        """Write the bills that this node holds for others."""
        copies = self._context.copies
        for owner in copies.owners:
            await copies.write_to_store(owner)
