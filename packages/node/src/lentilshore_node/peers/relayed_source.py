"""Source of a gateway's fleet view that asks other gateways before the store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Generic, TypeVar
from urllib.parse import urlencode

import msgspec

from lentilshore_kernel.exceptions import (
    StoreError,
    StoreHistoryGoneError,
    StoreUnavailableError,
)
from lentilshore_kernel.logs import log_event
from lentilshore_kernel.metrics import Metrics
from lentilshore_kernel.types import StoreRevision
from lentilshore_routing.rollout_record import Rollout
from lentilshore_routing.routes import RouteTable

from ..clients.fleet_source import (
    Changes,
    Collection,
    FleetSource,
    GatewayEntry,
    Listing,
    TableReading,
)
from ..clients.http_client import HttpClient
from ..clients.http_connection import CallBrokenError, CallNotSentError
from ..state.fleet_view_updater import watch_wait_s
from ..state.gateway_context import (
    CLOSURES_PART,
    REPLICAS_PART,
    ROLLOUTS_PART,
    GatewayContext,
)
from ..state.replica_record import ReplicaRecord
from .gateway_directory import MAX_PEERS_ASKED, GatewayDirectory
from .relay import CHANGES_PATH, CONFIGURATION_PATH, configuration_max_age_s
from .relay_messages import (
    ConfigurationState,
    RelayedChanges,
    UnreadableTableError,
    decode_changes,
    decompress_table,
)

T = TypeVar("T")

# A gateway in the same data centre answers in a few milliseconds.
PEER_TIMEOUT_S = 0.3
# Longest time for which a peer waits for a change. A peer may lose the store meanwhile;
# the changes that it misses must still be known in time.
PEER_WAIT_S = 1.0
# Changes are complete up to the start of a peer's last watch call, which is known when
# it ends; the next one may wait as long. This is added for the calls themselves.
CHANGES_AGE_SLACK_S = 1.5
BACKOFF_REASON = "the store is left alone for a moment after a failed call"


class PeerClient:
    """Asks other gateways.

    :param directory: the gateways to ask.
    :param http: HTTP client.
    :param metrics: counts answers and failures.
    """

    def __init__(
        self, directory: GatewayDirectory, http: HttpClient, metrics: Metrics
    ) -> None:
        self._directory = directory
        self._http = http
        self._metrics = metrics

    async def first_answer(
        self,
        path: str,
        answer_type: Any,
        max_age_s: float,
        wait_s: float = 0.0,
        max_peers: int = MAX_PEERS_ASKED,
    ) -> Any:
        """Return the first usable answer of the gateways to ask, None if there is none.

        :param path: path of the call, with its query.
        :param answer_type: type of the answer, which has an ``age_s``.
        :param max_age_s: greatest age of a usable answer, seconds.
        :param wait_s: longest time for which a gateway may wait, seconds.
        :param max_peers: number of gateways to ask; fewer where the time that they
            take to fail matters.
        """
        peers = self._directory.peers_to_ask(max_peers)
        return await self._ask_in_turn(peers, path, answer_type, max_age_s, wait_s)

    @property
    def has_reader(self) -> bool:
        """Whether another gateway tells this one of the store's return."""
        return self._directory.has_reader

    async def fallback_answer(
        self, path: str, answer_type: Any, max_age_s: float, wait_s: float = 0.0
    ) -> Any:
        """Return an answer where the store refuses this gateway, None if there is none.

        See :meth:`first_answer`.
        """
        peers = self._directory.fallback_peers()
        answer = await self._ask_in_turn(peers, path, answer_type, max_age_s, wait_s)
        if answer is not None:
            self._metrics.count("relay.fallback_answered")
        return answer

    async def _ask_in_turn(
        self,
        peers: list[GatewayEntry],
        path: str,
        answer_type: Any,
        max_age_s: float,
        wait_s: float,
    ) -> Any:
        for peer in peers:
            try:
                answer = await self._ask(peer, path, answer_type, wait_s)
            except (CallNotSentError, CallBrokenError):
                self._directory.record_failure(peer)
                continue
            if answer is None or not 0.0 <= answer.age_s <= max_age_s:
                self._directory.record_stale_answer(peer)
                continue
            self._directory.record_answer(peer)
            self._metrics.count("relay.answered")
            return answer
        return None

    async def _ask(
        self, peer: GatewayEntry, path: str, answer_type: Any, wait_s: float
    ) -> Any:
        try:
            answer = await self._http.request(
                "GET", peer.address, path, timeout_s=wait_s + PEER_TIMEOUT_S
            )
            if answer.status != 200:
                return None
            return msgspec.msgpack.decode(answer.body, type=answer_type)
        except (msgspec.MsgspecError, RecursionError):
            self._metrics.count("relay.unreadable")
            return None


class RelayedCollection(Generic[T]):
    """Collection whose changes are read from other gateways where possible.

    :param collection: the collection in the store.
    :param part: name of the part of the store.
    :param item_type: type of its items.
    :param peers: the gateways to ask.
    :param context: the gateway.
    """

    def __init__(
        self,
        collection: Collection[T],
        part: str,
        item_type: type[T],
        peers: PeerClient,
        context: GatewayContext,
    ) -> None:
        self._context = context
        self._clock = context.clock
        self._access = context.store_access
        self._collection = collection
        self._part = part
        self._answer_type = RelayedChanges[item_type]  # type: ignore[valid-type]
        self._peers = peers

    async def list(self) -> Listing[T]:
        """Return all items, read from the store."""
        return await self._access.call(self._collection.list)

    async def watch(self, after: StoreRevision, wait_s: float) -> Changes[T]:
        """Return the changes after a revision, see :class:`Collection`.

        A call that may not wait goes to the store: it is made to find out whether the
        store answers. Where another gateway tells of that, it is asked.
        """
        watch_store = partial(self._collection.watch, after, wait_s)
        if wait_s <= 0.0 and not self._access.backing_off:
            return await self._watch_with_fallback(watch_store, after, wait_s)
        asked_at = self._clock.monotonic()
        peer_wait_s = min(wait_s, PEER_WAIT_S)
        answer: RelayedChanges[T] | None = await self._peers.first_answer(
            self._path(after, peer_wait_s),
            self._answer_type,
            self._max_age_s,
            peer_wait_s,
            max_peers=1,
        )
        now = self._clock.monotonic()
        if answer is None:
            changes = await self._watch_with_fallback(watch_store, after, peer_wait_s)
            if changes.complete_at is not None:
                return changes
            return changes._replace(complete_at=now)
        return decode_changes(answer, after, asked_at, now)

    async def _watch_with_fallback(
        self,
        watch_store: Callable[[], Awaitable[Changes[T]]],
        after: StoreRevision,
        peer_wait_s: float,
    ) -> Changes[T]:
        """Ask the store, or other gateways where it refuses this one."""
        if self._access.paused:
            changes = await self._ask_fallback_peers(after, peer_wait_s)
            if changes is not None:
                return changes
        if self._access.backing_off and self._peers.has_reader:
            raise StoreUnavailableError(f"{self._part}: {BACKOFF_REASON}")
        try:
            return await self._access.call(watch_store)
        except StoreHistoryGoneError:
            raise
        except StoreError:
            changes = await self._ask_fallback_peers(after, peer_wait_s)
            if changes is None:
                raise
            return changes

    async def _ask_fallback_peers(
        self, after: StoreRevision, wait_s: float
    ) -> Changes[T] | None:
        asked_at = self._clock.monotonic()
        answer = await self._peers.fallback_answer(
            self._path(after, wait_s), self._answer_type, self._max_age_s, wait_s
        )
        if answer is None:
            return None
        return decode_changes(answer, after, asked_at, self._clock.monotonic())

    @property
    def _max_age_s(self) -> float:
        """Greatest age of changes that another gateway tells, seconds."""
        wait_s = watch_wait_s(self._part, self._context.bounds)
        return 2 * wait_s + CHANGES_AGE_SLACK_S

    def _path(self, after: StoreRevision, wait_s: float) -> str:
        fields = {
            "part": self._part,
            "era": after.era,
            "number": after.number,
            "timeout_ms": int(wait_s * 1000),
        }
        return f"{CHANGES_PATH}?{urlencode(fields)}"


class RelayedSource:
    """Source of the fleet view that asks other gateways before it calls the store.

    :param source: the platform's store.
    :param peers: the gateways to ask.
    :param context: the gateway, for its bounds.
    """

    def __init__(
        self, source: FleetSource, peers: PeerClient, context: GatewayContext
    ) -> None:
        self._source = source
        self._peers = peers
        self._context = context
        self._replicas = RelayedCollection(
            source.replicas, REPLICAS_PART, ReplicaRecord, peers, context
        )
        self._rollouts = RelayedCollection(
            source.rollouts, ROLLOUTS_PART, Rollout, peers, context
        )
        self._closures = RelayedCollection(
            source.closures, CLOSURES_PART, str, peers, context
        )

    @property
    def era(self) -> int:
        """Newest era of the store that this gateway has seen itself."""
        return self._source.era

    @property
    def table_data(self) -> bytes:
        """The newest table that was read, see :class:`FleetSource`."""
        return self._source.table_data

    @property
    def replicas(self) -> Collection:
        """Replicas."""
        return self._replicas

    @property
    def rollouts(self) -> Collection:
        """Roll-outs."""
        return self._rollouts

    @property
    def closures(self) -> Collection:
        """Names of the closed data centres."""
        return self._closures

    def decode_table(self, data: bytes) -> RouteTable:
        """Return a table that another gateway has read, see :class:`FleetSource`."""
        return self._source.decode_table(data)

    async def read_table(self) -> TableReading:
        """Return the newest table, from another gateway or else from the store.

        A peer that knows another era makes this gateway read the store. Where the store
        refuses this gateway, those that come after it in the order are asked.
        """
        table, access = self._context.view.table, self._context.store_access
        if table is None:
            return await access.call(self._source.read_table)
        reading = await self._ask(self._peers.first_answer, table)
        if reading is not None:
            access.record_relayed_answer()
            return reading
        if access.paused:
            reading = await self._ask(self._peers.fallback_answer, table)
            if reading is not None:
                return reading
        if access.backing_off and self._peers.has_reader:
            raise StoreUnavailableError(f"configuration: {BACKOFF_REASON}")
        try:
            return await access.call(self._source.read_table)
        except StoreError:
            reading = await self._ask(self._peers.fallback_answer, table)
            if reading is None:
                raise
            return reading

    async def _ask(
        self,
        first_answer: Callable[[str, Any, float], Awaitable[ConfigurationState | None]],
        table: RouteTable,
    ) -> TableReading | None:
        """Return what other gateways know, None if that is of no use.

        :param first_answer: asks the gateways.
        :param table: the table in force.
        """
        state = await first_answer(
            f"{CONFIGURATION_PATH}?{urlencode({'version': table.version})}",
            ConfigurationState,
            configuration_max_age_s(self._context.bounds),
        )
        if state is None or state.era != self._source.era:
            return None
        if state.version == table.version:
            return TableReading(table, state.age_s)
        if state.version < table.version or not state.data:
            return None
        try:
            told = self._source.decode_table(decompress_table(state.data))
        except (UnreadableTableError, StoreError) as error:
            self._context.metrics.count("relay.unreadable")
            log_event("table_unreadable", version=state.version, detail=str(error))
            return None
        if told.version != state.version:
            self._context.metrics.count("relay.unreadable")
            log_event("table_unreadable", version=state.version, told=told.version)
            return None
        self._context.metrics.count("relay.table_received")
        return TableReading(told, state.age_s)

    async def write_rollout(self, rollout: Rollout) -> Rollout:
        """Write a roll-out to the store, see :class:`FleetSource`."""
        return await self._source.write_rollout(rollout)

    async def register_gateway(self, entry: GatewayEntry) -> bool:
        """Write a gateway's entry to the store, see :class:`FleetSource`."""
        return await self._source.register_gateway(entry)

    async def list_gateways(self) -> list[GatewayEntry]:
        """Return the registered gateways, see :class:`FleetSource`."""
        return await self._source.list_gateways()
