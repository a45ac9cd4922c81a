"""Recurring work of every node: bills, ratings, load, reports."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from lentilshore_fleet.ledger import FLUSH_INTERVAL_S
from lentilshore_kernel import UpstreamError, log_event, record_task_failure
from lentilshore_kernel.exceptions import PeerUnavailableError, StoreError

from .context import NodeContext
from .links import LinkCopier, LinkManager
from .platform import Rating
from .reports import Reporter, apply_exposure_limits

POST_INTERVAL_S = 0.2
SECURE_INTERVAL_S = 1.0
COPY_CHECK_INTERVAL_S = 5.0
REPORT_INTERVAL_S = 10.0
RATING_INTERVAL_S = 5.0
NODES_PER_INTERVAL_SECOND = 10.0
UPSTREAM_POLL_INTERVAL_S = 1.0


class Upkeep:
    """Recurring work of one node.

    Intervals of work that calls the platform grow with the fleet, so that the
    platform's load does not.

    :param context: the node.
    :param links: links to other nodes.
    :param copier: copies bills over them.
    """

    def __init__(
        self, context: NodeContext, links: LinkManager, copier: LinkCopier
    ) -> None:
        self._context = context
        self._links = links
        self._copier = copier
        self._reporter = Reporter(context)
        self._rated = 0
        self._cache_sequences: dict[str, int] = {}
        self._poll_index = 0

    def tasks(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the tasks to run until cancelled."""
        return [
            self._loop(self.flush_bills, lambda: FLUSH_INTERVAL_S),
            self._loop(self._secure_bills, lambda: SECURE_INTERVAL_S),
            self._loop(self._post_bills, lambda: POST_INTERVAL_S),
            self._loop(self.write_for_dead, lambda: COPY_CHECK_INTERVAL_S),
            self._loop(self.report, lambda: self._scaled(REPORT_INTERVAL_S)),
            self._loop(self.fetch_ratings, lambda: self._scaled(RATING_INTERVAL_S)),
            self._loop(self.poll_upstream, lambda: UPSTREAM_POLL_INTERVAL_S),
        ]

    async def flush_bills(self) -> None:
        """Write pending bills and tell peers what they may forget."""
        ledger = self._context.ledger
        await ledger.flush()
        for link in self._links.copy_targets():
            try:
                await link.copy_bills(ledger.owner, [], ledger.watermark)
            except PeerUnavailableError:
                continue

    async def write_for_dead(self) -> None:
        """Write the bills of owners that are believed dead."""
        copies = self._context.copies
        for owner in copies.owners:
            if self._context.membership.is_live(owner):
                continue
            count = copies.held(owner)
            if await copies.write_for(owner) and count:
                self._context.metrics.count("bill.written_for_dead", count)
                log_event("bills_written_for_dead", owner=owner, bills=count)

    async def report(self) -> None:
        """Write a report and renew the exposure limits."""
        apply_exposure_limits(self._context)
        await self._reporter.publish()

    async def fetch_ratings(self) -> None:
        """Apply the ratings of this incarnation's answers."""
        incarnation = str(self._context.incarnation)
        ratings = await self._context.platform.ratings(self._rated, incarnation)
        for rating in ratings:
            self._apply_rating(rating)

    async def poll_upstream(self) -> None:
        """Ask one replica for its load and cache events, in turn."""
        replicas = self._context.placement.replicas("engine")
        if not replicas:
            return
        replica = replicas[self._poll_index % len(replicas)]
        self._poll_index += 1
        placement = self._context.placement
        after = self._cache_sequences.get(replica.name, 0)
        try:
            work_tokens, age_s = await self._context.engine.load(replica)
            events = await self._context.engine.cache_events(replica, after)
        except UpstreamError:
            self._context.metrics.count("upstream.poll_failed")
            return
        placement.report_load(replica.name, work_tokens, age_s)
        for event in events:
            self._cache_sequences[replica.name] = max(
                event["sequence"], self._cache_sequences.get(replica.name, 0)
            )
            apply = placement.note_prefix if event["held"] else placement.drop_prefix
            apply(replica.name, event["prefix"])

    async def _secure_bills(self) -> None:
        """Copy again what a lost peer held, and what nobody holds."""
        ledger = self._context.ledger
        if self._copier.lost_holder():
            self._context.metrics.count("bill.holder_lost")
            ledger.forget_copies()
        if not await ledger.secure():
            await ledger.flush()

    async def _post_bills(self) -> None:
        await self._copier.send_posted()

    def _apply_rating(self, rating: Rating) -> None:
        self._rated = max(self._rated, rating.sequence)
        known = self._context.ratings.apply(rating)
        self._context.metrics.count("rating.applied" if known else "rating.unknown")

    def _scaled(self, interval_s: float) -> float:
        nodes = len(self._context.membership.live)
        return max(interval_s, nodes / NODES_PER_INTERVAL_SECOND)

    def _loop(
        self, work: Callable[[], Awaitable[None]], interval_s: Callable[[], float]
    ) -> Callable[[], Awaitable[None]]:
        async def run() -> None:
            while True:
                jitter = self._context.random.uniform(0.8, 1.2)
                await self._context.clock.sleep(interval_s() * jitter)
                try:
                    await work()
                except StoreError as error:
                    self._context.metrics.count("platform.unavailable")
                    log_event("platform_unavailable", detail=error)
                except Exception as error:  # noqa: BLE001
                    record_task_failure(self._context.metrics, error)

        return run
