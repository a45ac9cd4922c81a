"""Exchange of replicas' limits and of their speeds and backlogs between gateways."""

from __future__ import annotations

from typing import Any

import msgspec

from lentilshore_kernel.exceptions import LentilshoreError
from lentilshore_kernel.logs import log_event
from lentilshore_kernel.metrics import record_state_change
from lentilshore_kernel.types import StateChange
from lentilshore_routing.replica_backlog import WorkNews
from lentilshore_routing.replica_limits import LimitNews, ReplicaLimits

from ..clients.fleet_source import GatewayEntry
from ..clients.http_connection import CallBrokenError, CallNotSentError
from ..state.gateway_context import PEER_PATHS, GatewayContext
from .gateway_directory import GatewayDirectory

LIMITS_PATH = PEER_PATHS + "limits"
# Interval between the calls of a gateway while it knows of a limit, and while it knows
# of none. News reaches all of 340 gateways within about 15 of the former.
ACTIVE_INTERVAL_S = 1.0
IDLE_INTERVAL_S = 5.0
CALL_TIMEOUT_S = 0.5
# More than MAX_TOLD_LIMITS of the usual size need.
NEWS_LIMIT_BYTES = 131_072
# Query that asks for speeds and backlogs too. Gateways of earlier releases ignore it.
WORK_QUERY = "work=1"


class ReplicaNews(msgspec.Struct):
    """What a gateway tells one that routes by work.

    :param limits: limits of replicas.
    :param work: speeds and backlogs of replicas.
    """

    limits: list[LimitNews] = []
    work: list[WorkNews] = []


class UnreadableNewsError(LentilshoreError):
    """What a gateway has told of limits can't be read."""


class LimitExchange:
    """Asks one random gateway after the other which limits of replicas it knows.

    :param context: the gateway.
    :param directory: the other gateways.
    """

    def __init__(self, context: GatewayContext, directory: GatewayDirectory) -> None:
        self._context = context
        self._directory = directory
        # Versions and services whose requests are routed by work.
        self._groups_by_work: set[str] = set()

    async def run(self) -> None:
        """Ask until cancelled."""
        context = self._context
        while True:
            active = bool(context.limits.limited or self._groups_by_work)
            interval_s = ACTIVE_INTERVAL_S if active else IDLE_INTERVAL_S
            await context.clock.sleep(interval_s * (0.5 + context.random.random()))
            await self.ask()

    async def ask(self) -> None:
        """Ask one gateway, and take up the list of gateways."""
        context, directory = self._context, self._directory
        context.limits.set_nodes(directory.names, directory.listed_from)
        self._log_routing()
        peer = directory.random_peer()
        if peer is None:
            return
        asked_at = context.clock.monotonic()
        try:
            news = await self._call(peer)
        except UnreadableNewsError as error:
            # A gateway of another release may still answer all other calls.
            context.metrics.count("relay.limits_unreadable")
            log_event("limits_unreadable", peer=peer.name, detail=str(error))
            return
        except (CallNotSentError, CallBrokenError):
            directory.record_failure(peer)
            return
        context.metrics.count("relay.limits_answered")
        directory.record_answer(peer)
        context.limits.record_contact()
        for replica in context.limits.learn(news.limits, asked_at):
            context.log_limit(replica, peer.name)
        backlogs = context.placement.backlogs
        backlogs.learn(news.work, asked_at)
        for event, count in backlogs.take_events().items():
            context.metrics.count(f"work_news.{event}", count)

    def _log_routing(self) -> None:
        """Log the groups whose requests begin or cease to be routed by work."""
        known, context = self._groups_by_work, self._context
        self._groups_by_work = context.placement.groups_by_work
        for group in sorted(known ^ self._groups_by_work):
            record_state_change(
                context.metrics,
                StateChange.ROUTING_BY_WORK_CHANGED,
                group=group,
                by_work=group in self._groups_by_work,
                gateways=context.limits.node_count,
            )

    async def _call(self, peer: GatewayEntry) -> ReplicaNews:
        answer = await self._context.http.request(
            "GET",
            peer.address,
            f"{LIMITS_PATH}?{WORK_QUERY}" if self._groups_by_work else LIMITS_PATH,
            timeout_s=CALL_TIMEOUT_S,
            limit_bytes=NEWS_LIMIT_BYTES,
        )
        if answer.status != 200:
            raise UnreadableNewsError(f"{peer.name}: status {answer.status}")
        return decode_news(answer.body)


def answer_limits(context: GatewayContext, query: bytes) -> bytes:
    """Return the answer to another gateway's call.

    :param query: query string of the call.
    """
    if query != WORK_QUERY.encode():
        return encode_limits(context.limits)
    news = ReplicaNews(context.limits.tell(), context.placement.backlogs.tell())
    return msgspec.msgpack.encode(news)


def encode_limits(limits: ReplicaLimits) -> bytes:
    """Return what a gateway tells others of the limits that it knows."""
    return msgspec.msgpack.encode(limits.tell())


def decode_limits(body: bytes) -> list[LimitNews]:
    """Read what another gateway has told.

    :raises UnreadableNewsError: if it can't be read.
    """
    return decode_news(body).limits


def decode_news(body: bytes) -> ReplicaNews:
    """Read what another gateway has told, of limits alone or of work too.

    :raises UnreadableNewsError: if it can't be read.
    """
    try:
        news: Any = msgspec.msgpack.decode(body, type=list[LimitNews] | ReplicaNews)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise UnreadableNewsError(f"news of limits: {error}") from error
    return news if isinstance(news, ReplicaNews) else ReplicaNews(news)
