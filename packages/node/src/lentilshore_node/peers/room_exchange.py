"""Exchange of what gateways know of replicas that bear few rejections."""

from __future__ import annotations

from collections.abc import Iterable

import anyio
import msgspec

from lentilshore_kernel.exceptions import LentilshoreError
from lentilshore_kernel.logs import log_event
from lentilshore_routing.replica_room import RoomNews

from ..clients.fleet_source import GatewayEntry
from ..clients.http_connection import CallBrokenError, CallNotSentError
from ..state.gateway_context import PEER_BODY_LIMIT_BYTES, PEER_PATHS, GatewayContext
from .gateway_directory import GatewayDirectory

ROOM_PATH = PEER_PATHS + "room"
HEADERS = {"content-type": "application/msgpack"}
CALL_TIMEOUT_S = 0.3
# Gateways told of a change at once; each that learns by it tells as many.
FAN_OUT = 4
# Interval at which a gateway takes up the list of the others, and at which it calls
# those before it in the order of a replica.
IDLE_INTERVAL_S = 1.0
WATCH_INTERVAL_S = 0.3
# Gateways called at once, and replicas and gateways told of in one message.
MAX_WATCHED = 16
MAX_TOLD = 128
# Calls in a row without an answer after which a gateway counts as silent.
SILENT_CALLS = 2


class UnreadableRoomError(LentilshoreError):
    """What a gateway has told of replicas' room can't be read."""


class RoomMessage(msgspec.Struct):
    """What a gateway knows, in a call and in its answer.

    :param news: what replicas have said.
    :param silent: names of gateways that do not answer it.
    """

    news: list[RoomNews]
    silent: list[str] = []


class RoomExchange:
    """Spreads news of replicas that bear few rejections, and watches dispatchers.

    :param context: the gateway.
    :param directory: the other gateways.
    """

    def __init__(self, context: GatewayContext, directory: GatewayDirectory) -> None:
        self._context = context
        self._directory = directory
        self._room = context.replica_room
        self._unanswered: dict[str, int] = {}

    async def run(self) -> None:
        """Tell and ask until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_forever)
            await self._directory.wait_for_others()
            self.take_up_gateways()
            group.start_soon(self._call_some, self._directory.random_peers(FAN_OUT))
            while True:
                await self._context.wait_for_room_news()
                peers = self._directory.next_peers(1)
                peers += self._directory.random_peers(FAN_OUT - 1)
                group.start_soon(self._call_some, peers)

    def take_up_gateways(self) -> None:
        """Take up the list of the other gateways, and which of them are silent."""
        self._room.set_nodes(self._directory.names)
        stopping = {self._context.node_name} if self._context.draining else set()
        self._room.set_silent_nodes(self.silent | stopping)
        self._context.serving_peers.set_gateways(self._directory.all_others)

    @property
    def silent(self) -> set[str]:
        """Names of the gateways that do not answer this one."""
        return {
            name for name, calls in self._unanswered.items() if calls >= SILENT_CALLS
        }

    def answer(self, body: bytes) -> bytes | None:
        """Accept what another gateway tells; return the body of the answer.

        :returns: None while this gateway stops, so that another one takes its place.
        :raises UnreadableRoomError: if the body can't be read.
        """
        if self._context.draining:
            return None
        self._learn(_decode(body), self._context.clock.monotonic(), "peer")
        return self._encode()

    async def _watch_forever(self) -> None:
        context = self._context
        while True:
            scarce = bool(self._room.scarce_services)
            interval_s = WATCH_INTERVAL_S if scarce else IDLE_INTERVAL_S
            await context.clock.sleep(interval_s * (0.5 + context.random.random()))
            self.take_up_gateways()
            if not scarce:
                self._unanswered.clear()
                self._context.silence_hints.clear()
                continue
            await self._call_some(self._watched())

    def _watched(self) -> list[GatewayEntry]:
        """Return the gateways that this one would replace, and a random one."""
        names = self._room.predecessors() | self._context.silence_hints
        entries = [e for e in self._directory.all_others if e.name in names]
        count = min(MAX_WATCHED, len(entries))
        watched = self._context.random.sample(entries, count)
        return watched + self._directory.random_peers(1)

    async def _call_some(self, peers: Iterable[GatewayEntry]) -> None:
        async with anyio.create_task_group() as group:
            for peer in peers:
                group.start_soon(self._call, peer)

    async def _call(self, peer: GatewayEntry) -> None:
        context = self._context
        asked_at = context.clock.monotonic()
        try:
            reply = await context.http.request(
                "POST",
                peer.address,
                ROOM_PATH,
                self._encode(),
                HEADERS,
                timeout_s=CALL_TIMEOUT_S,
                limit_bytes=PEER_BODY_LIMIT_BYTES,
            )
        except (CallNotSentError, CallBrokenError):
            context.metrics.count("relay.room_failed")
            calls = self._unanswered.get(peer.name, 0) + 1
            self._unanswered[peer.name] = calls
            if calls == SILENT_CALLS:
                log_event("gateway_silent", peer=peer.name)
            return
        if reply.status != 200:
            # A gateway of another release, or one that stops, sends no requests.
            self._unanswered[peer.name] = SILENT_CALLS
            return
        self._unanswered.pop(peer.name, None)
        context.silence_hints.discard(peer.name)
        try:
            self._learn(_decode(reply.body), asked_at, peer.name)
        except UnreadableRoomError as error:
            context.metrics.count("relay.room_unreadable")
            log_event("room_news_unreadable", peer=peer.name, detail=str(error))

    def _encode(self) -> bytes:
        news = self._room.tell()[:MAX_TOLD]
        silent = sorted(self.silent)[:MAX_TOLD]
        return msgspec.msgpack.encode(RoomMessage(news, silent))

    def _learn(self, message: RoomMessage, asked_at: float, source: str) -> None:
        self._context.silence_hints.update(message.silent[:MAX_WATCHED])
        changed = self._room.learn(message.news, asked_at)
        if changed:
            self._context.log_room(changed, source)


def _decode(body: bytes) -> RoomMessage:
    try:
        return msgspec.msgpack.decode(body, type=RoomMessage)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise UnreadableRoomError(f"news of replicas' room: {error}") from error
