"""Background tasks of a node, and its orderly stop."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from lentilshore_kernel import log_event
from lentilshore_kernel.exceptions import PeerUnavailableError

from .context import NodeContext
from .leading import Leader
from .links import LinkCopier, LinkManager
from .upkeep import Upkeep
from .watching import STORED_DOCUMENTS, Watcher

DRAIN_CHECK_S = 0.05
ABORT_LIMIT_S = 2.0
HAND_OVER_RETRY_S = 1.0
FINAL_FLUSH_SEGMENTS = 1_000
FINAL_FLUSH_LIMIT_S = 10.0


class Background:
    """Everything that a node does besides serving calls.

    :param context: the node.
    :param links: links to other nodes.
    :param copier: copies bills over them.
    """

    def __init__(
        self, context: NodeContext, links: LinkManager, copier: LinkCopier
    ) -> None:
        self._context = context
        self._links = links
        self._leader = Leader(context)
        self._upkeep = Upkeep(context, links, copier)
        copier.attach(links)

    @property
    def leader(self) -> Leader:
        """The node's contender for the leader's work."""
        return self._leader

    @property
    def upkeep(self) -> Upkeep:
        """The node's recurring work."""
        return self._upkeep

    def start(self, group: TaskGroup) -> None:
        """Start every task.

        :param group: task group whose cancellation ends them.
        """
        watcher = Watcher(self._context)
        group.start_soon(self._links.run)
        group.start_soon(watcher.run_configuration)
        group.start_soon(watcher.run_instances)
        for name in STORED_DOCUMENTS:
            group.start_soon(watcher.run_document, name)
        for task in self._upkeep.tasks():
            group.start_soon(task)
        group.start_soon(self._leader.run)

    async def drain(
        self, stop_accepting: Callable[[], None], urgent: anyio.Event
    ) -> bool:
        """Stop taking requests, then finish those in flight.

        :param stop_accepting: closes the callers' listener.
        :param urgent: ends the waiting once it is set.
        :returns: whether every request in flight was finished.
        """
        context = self._context
        context.drain_announced = True
        log_event("drain_started", in_flight=context.in_flight)
        with context.clock.timeout(context.settings.drain_notice_s):
            await urgent.wait()
        context.draining = True
        stop_accepting()
        whole = await self._wait_idle(context.settings.drain_limit_s, urgent)
        if not whole:
            context.drain_expired.set()
            await self._wait_idle(ABORT_LIMIT_S, anyio.Event())
        return whole

    async def _wait_idle(self, limit_s: float, urgent: anyio.Event) -> bool:
        clock = self._context.clock
        until = clock.monotonic() + limit_s
        while self._context.in_flight and clock.monotonic() < until:
            if urgent.is_set():
                break
            await clock.sleep(DRAIN_CHECK_S)
        return self._context.in_flight == 0

    async def hand_over(self) -> bool:
        """Give up the lease, write the ledger and tell the peers.

        :returns: whether a peer or the store has every bill.
        """
        context = self._context
        with context.clock.timeout(FINAL_FLUSH_LIMIT_S):
            await self._leader.lease.release()
            await context.ledger.flush(FINAL_FLUSH_SEGMENTS)
        with context.clock.timeout(context.settings.hand_over_limit_s):
            while context.ledger.uncopied:
                await context.clock.sleep(HAND_OVER_RETRY_S)
                await context.ledger.secure()
                await context.ledger.flush(FINAL_FLUSH_SEGMENTS)
        with context.clock.timeout(FINAL_FLUSH_LIMIT_S):
            await self._write_copies()
        targets = self._links.copy_targets()
        if not context.ledger.unwritten:
            context.membership.leave()
        with context.clock.timeout(FINAL_FLUSH_LIMIT_S):
            for link in targets:
                try:
                    if not context.ledger.unwritten:
                        await link.release_bills(context.ledger.owner)
                    await self._links.tell(link)
                except PeerUnavailableError:
                    continue
        return context.ledger.uncopied == 0

    async def _write_copies(self) -> None:
        """Write the bills that this node holds for others."""
        copies = self._context.copies
        for owner in copies.owners:
            await copies.write_for(owner)
