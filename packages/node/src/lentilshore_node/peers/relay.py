"""Relay of what one gateway has read from the platform's store to the others.

Nothing is agreed on and nothing is kept: the store stays the only authority, and a
gateway that no other answers calls the store itself. Each answer carries the age of
the knowledge in it. The asker counts that age from before its own call, so that time
spent on the way or in a suspended process only makes the knowledge seem older.
"""

from __future__ import annotations

from urllib.parse import parse_qs

import msgspec

from lentilshore_kernel.types import StoreRevision

from ..clients.fleet_source import Changes, FleetSource
from ..state.change_log import ChangeLog
from ..state.fleet_view_updater import READ_INTERVAL_SHARE
from ..state.gateway_context import PEER_PATHS, GatewayBounds, GatewayContext
from .blame_exchange import BLAME_PATH, answer_call
from .limit_exchange import LIMITS_PATH, answer_limits
from .reach_monitor import REACH_PATH, ReachMonitor
from .relay_messages import ConfigurationState, compress_table, encode_changes
from .room_exchange import ROOM_PATH, RoomExchange

CONFIGURATION_PATH = PEER_PATHS + "configuration"
CHANGES_PATH = PEER_PATHS + "changes"
# Configurations known for longer than a peer's interval between reads and this are not
# relayed: the peer has lost the store.
CONFIGURATION_AGE_SLACK_S = 0.3
TIMEOUT_LIMIT_MS = 10_000
REVISION_LIMIT = 2**62


class RelayServer:
    """Answers other gateways from this gateway's view.

    :param context: the gateway.
    :param source: the platform's store, for its era.
    :param monitor: tells which services this gateway reaches; None where no other
        gateway is known.
    :param room: tells of replicas that bear few rejections; None likewise.
    """

    def __init__(
        self,
        context: GatewayContext,
        source: FleetSource,
        monitor: ReachMonitor | None = None,
        room: RoomExchange | None = None,
    ) -> None:
        self._context = context
        self._source = source
        self._monitor = monitor
        self._room = room
        # The newest table that was relayed, compressed, and its version.
        self._compressed: tuple[int, bytes] | None = None

    @property
    def _reaches_store(self) -> bool:
        """Whether this gateway's reads of the configuration succeed."""
        view, bounds = self._context.view, self._context.bounds
        fresh = view.confirmed_age_s <= configuration_max_age_s(bounds)
        # What other gateways tell one that the store refuses goes no further.
        failing = self._context.store_access.failing
        return fresh and not failing and not self._context.draining

    async def answer(self, path: str, query: bytes, body: bytes = b"") -> bytes | None:
        """Return the body of an answer, None if this gateway cannot tell.

        :param path: path of the call, which begins with :data:`PEER_PATHS`.
        :param query: query string of the call.
        :param body: body of the call.
        :raises LentilshoreError: if the body can't be read.
        """
        if path == CONFIGURATION_PATH:
            return self._configuration(query)
        if path == CHANGES_PATH:
            return await self._changes(query)
        if path == LIMITS_PATH:
            return answer_limits(self._context, query)
        if path == BLAME_PATH:
            return answer_call(self._context, body)
        if path == REACH_PATH and self._monitor is not None:
            return await self._monitor.answer(body)
        if path == ROOM_PATH and self._room is not None:
            return self._room.answer(body)
        return None

    def _configuration(self, query: bytes) -> bytes | None:
        view = self._context.view
        if view.table is None or not self._reaches_store:
            return None
        fields = parse_qs(query.decode("latin-1"))
        state = ConfigurationState(
            self._source.era, view.table.version, view.confirmed_age_s
        )
        if _read_number(fields, "version", REVISION_LIMIT) not in (None, state.version):
            state.data = self._compressed_table(state.version)
        return msgspec.msgpack.encode(state)

    def _compressed_table(self, version: int) -> bytes:
        if self._compressed is None or self._compressed[0] != version:
            self._compressed = (version, compress_table(self._source.table_data))
        return self._compressed[1]

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
        now = self._context.clock.monotonic()
        cold_remaining_s = self._context.view.cold_remaining_s
        return encode_changes(found, asked_at, now, cold_remaining_s)

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


def configuration_max_age_s(bounds: GatewayBounds) -> float:
    """Return the greatest age of a configuration that is relayed, seconds."""
    return bounds.config_apply_s * READ_INTERVAL_SHARE + CONFIGURATION_AGE_SLACK_S


def _read_number(fields: dict[str, list[str]], name: str, limit: int) -> int | None:
    text = fields.get(name, [""])[0]
    if not (text.isascii() and text.isdigit() and len(text) <= len(str(limit))):
        return None
    return min(limit, int(text))
