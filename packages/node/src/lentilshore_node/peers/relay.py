"""Relay of what one gateway has read from the platform's store to the others.

Nothing is agreed on and nothing is kept: the store stays the only authority, and a
gateway that no other answers calls the store itself. Each answer carries the age of
the knowledge in it. The asker counts that age from before its own call, so that time
spent on the way or in a suspended process only makes the knowledge seem older.
"""

from __future__ import annotations

from typing import Any, Generic, TypeVar
from urllib.parse import parse_qs, urlencode

import msgspec

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.metrics import Metrics
from lentilshore_kernel.types import StoreRevision
from lentilshore_routing.rollout_record import Rollout

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
from ..state.change_log import ChangeLog
from ..state.fleet_view_updater import READ_INTERVAL_SHARE, WATCH_WAIT_S
from ..state.gateway_context import (
    PEER_PATHS,
    REPLICAS_PART,
    ROLLOUTS_PART,
    GatewayBounds,
    GatewayContext,
)
from ..state.replica_record import ReplicaRecord
from .blame_exchange import BLAME_PATH, answer_call
from .gateway_directory import MAX_PEERS_ASKED, GatewayDirectory
from .limit_exchange import LIMITS_PATH, encode_limits
from .relay_messages import (
    ConfigurationState,
    RelayedChanges,
    decode_changes,
    encode_changes,
)

T = TypeVar("T")

CONFIGURATION_PATH = PEER_PATHS + "configuration"
CHANGES_PATH = PEER_PATHS + "changes"
# A gateway in the same data centre answers in a few milliseconds.
PEER_TIMEOUT_S = 0.3
# Longest time for which a peer waits for a change. A peer may lose the store meanwhile;
# the changes that it misses must still be known in time.
PEER_WAIT_S = 1.0
# Configurations known for longer than a peer's interval between reads and this are not
# relayed: the peer has lost the store.
CONFIGURATION_AGE_SLACK_S = 0.3
# Changes are complete up to the start of a peer's last watch call, which is known when
# it ends; the next one may wait as long.
CHANGES_MAX_AGE_S = 2 * WATCH_WAIT_S + 1.5
TIMEOUT_LIMIT_MS = 10_000
REVISION_LIMIT = 2**62


class RelayServer:
    """Answers other gateways from this gateway's view.

    :param context: the gateway.
    :param source: the platform's store, for its era.
    """

    def __init__(self, context: GatewayContext, source: FleetSource) -> None:
        self._context = context
        self._source = source

    @property
    def _reaches_store(self) -> bool:
        """Whether this gateway's reads of the configuration succeed."""
        view, bounds = self._context.view, self._context.bounds
        fresh = view.confirmed_age_s <= configuration_max_age_s(bounds)
        return fresh and not self._context.draining

    async def answer(self, path: str, query: bytes, body: bytes = b"") -> bytes | None:
        """Return the body of an answer, None if this gateway cannot tell.

        :param path: path of the call, which begins with :data:`PEER_PATHS`.
        :param query: query string of the call.
        :param body: body of the call.
        :raises UnreadableBlameError: if the body can't be read.
        """
        if path == CONFIGURATION_PATH:
            return self._configuration()
        if path == CHANGES_PATH:
            return await self._changes(query)
        if path == LIMITS_PATH:
            return encode_limits(self._context.limits)
        if path == BLAME_PATH:
            return answer_call(self._context, body)
        return None

    def _configuration(self) -> bytes | None:
        view = self._context.view
        if view.table is None or not self._reaches_store:
            return None
        state = ConfigurationState(
            self._source.era, view.table.version, view.confirmed_age_s
        )
        return msgspec.msgpack.encode(state)

    async def _changes(self, query: bytes) -> bytes | None:
        fields = parse_qs(query.decode("latin-1"))
        part = fields.get("part", [""])[0]
        era = _read_number(fields, "era", REVISION_LIMIT)
        number = _read_number(fields, "number", REVISION_LIMIT)
        timeout_ms = _read_number(fields, "timeout_ms", TIMEOUT_LIMIT_MS)
        log = self._context.change_logs.get(part)
        if log is None or era is None or number is None or timeout_ms is None:
            self._context.metrics.count("relay.malformed")
            return None
        asked_at = self._context.clock.monotonic()
        after = StoreRevision(era, number)
        found = await self._wait_for_changes(log, after, timeout_ms / 1000)
        if found is None or not self._reaches_store:
            return None
        return encode_changes(found, asked_at, self._context.clock.monotonic())

    async def _wait_for_changes(
        self, log: ChangeLog, after: StoreRevision, timeout_s: float
    ) -> Changes | None:
        """Return the changes after a revision, waiting for one if there is none.

        The wait ends early when this gateway no longer reaches the store.
        """
        clock, view = self._context.clock, self._context.view
        ends_at = clock.monotonic() + timeout_s
        max_age_s = configuration_max_age_s(self._context.bounds)
        while True:
            found = log.changes_after(after)
            if found is None or found.changes:
                return found
            wait_s = min(ends_at - clock.monotonic(), max_age_s - view.confirmed_age_s)
            if wait_s <= 0.0:
                return found
            await log.wait_for_change(wait_s)


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
        for peer in self._directory.peers_to_ask(max_peers):
            answer = await self._ask(peer, path, answer_type, wait_s)
            if answer is None or not 0.0 <= answer.age_s <= max_age_s:
                self._directory.record_failure(peer)
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
        except (CallNotSentError, CallBrokenError):
            return None
        except (msgspec.MsgspecError, RecursionError):
            self._metrics.count("relay.unreadable")
            return None


class RelayedCollection(Generic[T]):
    """Collection whose changes are read from other gateways where possible.

    :param collection: the collection in the store.
    :param part: name of the part of the store.
    :param item_type: type of its items.
    :param peers: the gateways to ask.
    :param clock: measures the time that gateways take to fail.
    """

    def __init__(
        self,
        collection: Collection[T],
        part: str,
        item_type: type[T],
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._collection = collection
        self._part = part
        self._answer_type = RelayedChanges[item_type]  # type: ignore[valid-type]
        self._peers = peers

    async def list(self) -> Listing[T]:
        """Return all items, read from the store."""
        return await self._collection.list()

    async def watch(self, after: StoreRevision, wait_s: float) -> Changes[T]:
        """Return the changes after a revision, see :class:`Collection`.

        A call that may not wait goes to the store: it is made to find out whether the
        store answers.
        """
        if wait_s <= 0.0:
            return await self._collection.watch(after, wait_s)
        asked_at = self._clock.monotonic()
        peer_wait_s = min(wait_s, PEER_WAIT_S)
        fields = {
            "part": self._part,
            "era": after.era,
            "number": after.number,
            "timeout_ms": int(peer_wait_s * 1000),
        }
        answer: RelayedChanges[T] | None = await self._peers.first_answer(
            f"{CHANGES_PATH}?{urlencode(fields)}",
            self._answer_type,
            CHANGES_MAX_AGE_S,
            peer_wait_s,
            max_peers=1,
        )
        now = self._clock.monotonic()
        if answer is None:
            changes = await self._collection.watch(after, wait_s)
            return changes._replace(complete_at=now)
        return decode_changes(answer, after, asked_at, now)


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
            source.replicas, REPLICAS_PART, ReplicaRecord, peers, context.clock
        )
        self._rollouts = RelayedCollection(
            source.rollouts, ROLLOUTS_PART, Rollout, peers, context.clock
        )

    @property
    def era(self) -> int:
        """Newest era of the store that this gateway has seen itself."""
        return self._source.era

    @property
    def replicas(self) -> Collection:
        """Replicas."""
        return self._replicas

    @property
    def rollouts(self) -> Collection:
        """Roll-outs."""
        return self._rollouts

    async def read_table(self) -> TableReading:
        """Return the table in force if a peer knows it as the newest, else read it.

        A peer that knows another version, or another era, makes this gateway read the
        store.
        """
        table = self._context.view.table
        if table is None:
            return await self._source.read_table()
        state: ConfigurationState | None = await self._peers.first_answer(
            CONFIGURATION_PATH,
            ConfigurationState,
            configuration_max_age_s(self._context.bounds),
        )
        known = (self._source.era, table.version)
        if state is None or (state.era, state.version) != known:
            return await self._source.read_table()
        return TableReading(table, state.age_s)

    async def write_rollout(self, rollout: Rollout) -> Rollout:
        """Write a roll-out to the store, see :class:`FleetSource`."""
        return await self._source.write_rollout(rollout)

    async def register_gateway(self, entry: GatewayEntry) -> bool:
        """Write a gateway's entry to the store, see :class:`FleetSource`."""
        return await self._source.register_gateway(entry)

    async def list_gateways(self) -> list[GatewayEntry]:
        """Return the registered gateways, see :class:`FleetSource`."""
        return await self._source.list_gateways()


def configuration_max_age_s(bounds: GatewayBounds) -> float:
    """Return the greatest age of a configuration that is relayed, seconds."""
    return bounds.config_apply_s * READ_INTERVAL_SHARE + CONFIGURATION_AGE_SLACK_S


def _read_number(fields: dict[str, list[str]], name: str, limit: int) -> int | None:
    text = fields.get(name, [""])[0]
    if not (text.isascii() and text.isdigit() and len(text) <= len(str(limit))):
        return None
    return min(limit, int(text))
