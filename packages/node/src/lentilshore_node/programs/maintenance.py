"""Periodic tasks of every node: bills, ratings, replica load and reports."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from lentilshore_fleet.ledger import FLUSH_INTERVAL_S
from lentilshore_kernel import UpstreamError, log_event, record_task_failure
from lentilshore_kernel.exceptions import PeerUnavailableError, StoreError

from ..clients.platform import Rating
from ..peers.links import LinkBillCopier, LinkManager
from ..peers.reports import Reporter, apply_exposure_limits
from ..state.context import NodeContext

SEND_QUEUED_BILLS_INTERVAL_S = 0.2
RECOPY_INTERVAL_S = 1.0
DEAD_OWNER_CHECK_INTERVAL_S = 5.0
REPORT_INTERVAL_S = 10.0
RATING_INTERVAL_S = 5.0
# Limit on the platform calls per second of the whole fleet. It applies to the calls for
# reports and to those for ratings separately.
MAX_FLEET_CALLS_PER_S = 10.0
UPSTREAM_POLL_INTERVAL_S = 1.0


class Maintenance:
    """Periodic tasks of one node.

    The intervals of reports and ratings, which call the platform, grow with the
    number of nodes, so that the platform's load is limited.

    :param context: the node.
    :param links: links to other nodes.
    :param copier: copies bills over the links.
    """

    def __init__(
        self, context: NodeContext, links: LinkManager, copier: LinkBillCopier
    ) -> None:
        self._context = context
        self._links = links
        self._copier = copier
        self._reporter = Reporter(context)
        self._last_rating_sequence = 0
        # Sequence number of the last cache event seen, by name of the replica.
        self._last_cache_sequences: dict[str, int] = {}
        self._poll_index = 0

    def tasks(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the tasks, each of which runs until cancelled."""
        return [
            self._create_loop(self.flush_bills, lambda: FLUSH_INTERVAL_S),
            self._create_loop(self._recopy_bills, lambda: RECOPY_INTERVAL_S),
            self._create_loop(
                self._send_queued_bills, lambda: SEND_QUEUED_BILLS_INTERVAL_S
            ),
            self._create_loop(
                self.write_bills_of_dead_owners, lambda: DEAD_OWNER_CHECK_INTERVAL_S
            ),
            self._create_loop(
                self.report, lambda: self._scale_interval(REPORT_INTERVAL_S)
            ),
            self._create_loop(
                self.fetch_ratings, lambda: self._scale_interval(RATING_INTERVAL_S)
            ),
            self._create_loop(self.poll_upstream, lambda: UPSTREAM_POLL_INTERVAL_S),
        ]

    async def flush_bills(self) -> None:
        """Write unwritten bills, then tell peers which copies they may delete.

        Peers may delete their copies of bills below the watermark.
        """
        ledger = self._context.ledger
        await ledger.flush()
        for link in self._links.links_in_copy_order():
            try:
                # Without bills, the call only carries the watermark.
                await link.copy_bills(ledger.owner, [], ledger.watermark)
            except PeerUnavailableError:
                continue

    async def write_bills_of_dead_owners(self) -> None:
        """Write the bills held here for owners that are considered dead.

        The owner of a bill is the incarnation of the node that issued it.
        """
        copies = self._context.copies
        for owner in copies.owners:
            if self._context.membership.is_live(owner):
                continue
            count = copies.count(owner)
            if await copies.write_to_store(owner) and count:
                self._context.metrics.count("bill.written_for_dead", count)
                log_event("bills_written_for_dead", owner=owner, bills=count)

    async def report(self) -> None:
        """Update the exposure limits and write a report."""
        apply_exposure_limits(self._context)
        await self._reporter.publish()

    async def fetch_ratings(self) -> None:
        """Fetch and apply new ratings of this incarnation's answers."""
        incarnation = str(self._context.incarnation)
        ratings = await self._context.platform.ratings(
            self._last_rating_sequence, incarnation
        )
        for rating in ratings:
            self._apply_rating(rating)

    async def poll_upstream(self) -> None:
        """Fetch load and cache events from the next replica in turn."""
        replicas = self._context.placement.replicas("engine")
        if not replicas:
            return
        replica = replicas[self._poll_index % len(replicas)]
        self._poll_index += 1
        placement = self._context.placement
        after_sequence = self._last_cache_sequences.get(replica.name, 0)
        try:
            work_tokens, age_s = await self._context.engine.fetch_load(replica)
            events = await self._context.engine.fetch_cache_events(
                replica, after_sequence
            )
        except UpstreamError:
            self._context.metrics.count("upstream.poll_failed")
            return
        placement.record_load_report(replica.name, work_tokens, age_s)
        for event in events:
            self._last_cache_sequences[replica.name] = max(
                event["sequence"], self._last_cache_sequences.get(replica.name, 0)
            )
            record_event = (
                placement.add_prefix if event["held"] else placement.drop_prefix
            )
            record_event(replica.name, event["prefix"])

    async def _recopy_bills(self) -> None:
        """Copy the unwritten bills that no peer holds.

        If a peer that held copies was lost, all unwritten bills are copied again.
        """
        ledger = self._context.ledger
        if self._copier.forget_lost_holders():
            self._context.metrics.count("bill.holder_lost")
            ledger.mark_all_uncopied()
        if not await ledger.copy_uncopied():
            # Some closed bills are at no peer, so the unwritten ones are written now.
            await ledger.flush()

    async def _send_queued_bills(self) -> None:
        await self._copier.send_queued()

    def _apply_rating(self, rating: Rating) -> None:
        self._last_rating_sequence = max(self._last_rating_sequence, rating.sequence)
        applied = self._context.ratings.apply(rating)
        self._context.metrics.count("rating.applied" if applied else "rating.unknown")

    def _scale_interval(self, interval_s: float) -> float:
        node_count = len(self._context.membership.live)
        return max(interval_s, node_count / MAX_FLEET_CALLS_PER_S)

    def _create_loop(
        self, work: Callable[[], Awaitable[None]], get_interval_s: Callable[[], float]
    ) -> Callable[[], Awaitable[None]]:
        async def run() -> None:
            while True:
                jitter = self._context.random.uniform(0.8, 1.2)
                await self._context.clock.sleep(get_interval_s() * jitter)
                try:
                    await work()
                except StoreError as error:
                    self._context.metrics.count("platform.unavailable")
                    log_event("platform_unavailable", detail=error)
                except Exception as error:  # noqa: BLE001
                    record_task_failure(self._context.metrics, error)

        return run
