"""Exchange of crashes, under the causes that requests bear, between gateways.

A change is passed on to a few others at once, each of which passes on what is new to
it. Once in a while a gateway asks another one, and both tell what the other lacks.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import anyio
import msgspec

from lentilshore_kernel.logs import log_event
from lentilshore_routing.crash_news import BLAME_QUIET_S, CauseNews

from ..clients.fleet_source import GatewayEntry
from ..clients.http_connection import CallBrokenError, CallNotSentError
from ..state.gateway_context import PEER_BODY_LIMIT_BYTES, PEER_PATHS, GatewayContext
from .blame_messages import (
    BlameAnswer,
    BlameCall,
    Fact,
    Knowledge,
    Spread,
    UnreadableBlameError,
    changed_news,
    decode_answer,
    decode_call,
    decode_news,
    encode_news,
)
from .gateway_directory import MAX_FAILED_PEER_PAUSE_S, GatewayDirectory

BLAME_PATH = PEER_PATHS + "crashes"
# Number of gateways that are told of a change at once, and while much is told.
FAN_OUT = 4
BUSY_FAN_OUT = 2
# A crash breaks many requests at once; what they tell goes out together.
BATCH_DELAY_S = 0.02
# Shortest time between the calls that tell of changes.
PUSH_INTERVAL_S = 0.1
# Bytes of such calls after which fewer gateways are told, after which their interval
# grows, and bytes of them a second in the long run. A gateway receives as many.
BUSY_BYTES = 1_200
PUSH_BURST_BYTES = 2_000
PUSH_BYTES_PER_S = 2_500
# Bytes of the heads of a call and its answer.
HEAD_BYTES = 115
# A gateway that is told and does not answer may be cut off for a moment.
MAX_TELL_ATTEMPTS = 5
TELL_RETRY_INTERVAL_S = 0.7
# Interval between the calls of a gateway that suspects a cause, or that others may have
# been unable to tell, and of any other.
ACTIVE_INTERVAL_S = 1.0
IDLE_INTERVAL_S = 5.0
# Interval while no other gateway answers, and for a while after the start: those that
# answer first may have just started too.
RETRY_INTERVAL_S = 0.4
START_S = 2.0
CALL_TIMEOUT_S = 0.3
# Gateways to ask in turn for a first answer after the start.
MAX_FIRST_PEERS = 3
# Gateways of the ring to tell in turn until one answers.
MAX_NEXT_PEERS = 8
# Others leave a gateway alone for this time after it has been out of reach.
RECOVERY_S = MAX_FAILED_PEER_PAUSE_S
# Failed calls in a row after which a gateway takes itself to be out of reach.
OUT_OF_REACH_FAILURES = 2
# A wait that lasts longer by this time means that the process was suspended.
SUSPENSION_S = 1.0
# Older news is not told, since the clocks by which it ends differ a little.
MAX_TOLD_AGE_S = BLAME_QUIET_S - 5.0


class PushPace:
    """Bounds the bytes of the calls that tell of changes."""

    def __init__(self) -> None:
        self._bytes = 0.0
        self._counted_at = -math.inf

    def fan_out(self, now: float) -> int:
        """Return the number of gateways to tell.

        :param now: time, seconds.
        """
        return FAN_OUT if self._level(now) < BUSY_BYTES else BUSY_FAN_OUT

    def count(self, now: float, size: int) -> float:
        """Count bytes of calls; return the time to wait after them, seconds.

        :param now: time of the calls, seconds.
        :param size: bytes of all of them, heads included.
        """
        self._bytes = self._level(now) + size
        self._counted_at = now
        excess_s = (self._bytes - PUSH_BURST_BYTES) / PUSH_BYTES_PER_S
        return max(PUSH_INTERVAL_S, excess_s)

    def _level(self, now: float) -> float:
        return max(0.0, self._bytes - (now - self._counted_at) * PUSH_BYTES_PER_S)


class BlameExchange:
    """Tells other gateways which causes crash replicas, and asks them.

    :param context: the gateway.
    :param directory: the other gateways.
    """

    def __init__(self, context: GatewayContext, directory: GatewayDirectory) -> None:
        self._context = context
        self._directory = directory
        self._pushed_generation = 0
        self._spread = Spread()
        self._pace = PushPace()
        self._failures_in_a_row = 0
        # Until then others may not have been able to tell this gateway.
        self._recovering_until = 0.0
        self._starting_until = 0.0

    @property
    def _recovering(self) -> bool:
        """Whether others may have been unable to tell this gateway."""
        now = self._context.clock.monotonic()
        return self._failures_in_a_row > 0 or now < self._recovering_until

    async def run(self) -> None:
        """Tell and ask until cancelled."""
        clock = self._context.clock
        async with anyio.create_task_group() as group:
            group.start_soon(self._ask_forever)
            await self._directory.wait_for_others()
            while True:
                await self._context.wait_for_blame(self._pushed_generation)
                await clock.sleep(BATCH_DELAY_S)
                self._pushed_generation = self._context.blame.generation
                interval_s = PUSH_INTERVAL_S
                if changes := self._spread.take_changes(tell(self._context)):
                    call = self._push(changes)
                    size = len(msgspec.msgpack.encode(call)) + HEAD_BYTES
                    now = clock.monotonic()
                    fan_out = self._pace.fan_out(now)
                    # A gateway that hangs must not delay what others are told.
                    group.start_soon(self._tell_next, changes, call)
                    for peer in self._random_peers(fan_out - 1):
                        group.start_soon(self._tell, peer, changes, call)
                    interval_s = self._pace.count(now, fan_out * size)
                await clock.sleep(interval_s)

    async def ask(self, max_peers: int = 1) -> None:
        """Ask other gateways in turn until one has answered.

        :param max_peers: number of gateways to ask.
        """
        for peer in self._directory.random_peers(max_peers):
            answer = await self._call(peer, know(self._context).ask())
            if answer is None:
                continue
            if answer.differing:
                self._context.metrics.count("relay.blame_differed")
            reply = know(self._context).reply(answer)
            if reply is not None:
                await self._call(peer, reply)
            return

    async def _tell_next(
        self, changes: Mapping[str, frozenset[Fact]], call: BlameCall
    ) -> None:
        """Tell the next gateway of the ring that answers.

        Random ones alone would leave out some.
        """
        for peer in self._directory.next_peers(MAX_NEXT_PEERS):
            if await self._call(peer, call) is not None:
                return
            call = self._push(changes)

    async def _tell(
        self,
        peer: GatewayEntry,
        changes: Mapping[str, frozenset[Fact]],
        call: BlameCall,
    ) -> None:
        """Tell a gateway, again if it is out of reach for a moment."""
        for _ in range(MAX_TELL_ATTEMPTS):
            answer = await self._call(peer, call)
            # A gateway of another release is in reach, and answers nothing.
            if answer is not None or not self._directory.is_paused(peer):
                return
            delay_s = TELL_RETRY_INTERVAL_S * (0.5 + self._context.random.random())
            await self._context.clock.sleep(delay_s)
            # It may have missed other news meanwhile.
            news = [item for item in tell(self._context) if item.cause in changes]
            call = BlameCall([encode_news(item) for item in news])

    def _random_peers(self, limit: int) -> list[GatewayEntry]:
        """Return random gateways other than the next one of the ring."""
        following = self._directory.next_peers(1)
        peers = self._directory.random_peers(limit + 1)
        return [peer for peer in peers if peer not in following][:limit]

    def _push(self, changes: Mapping[str, frozenset[Fact]]) -> BlameCall:
        return BlameCall(changed_news(tell(self._context), changes))

    async def _ask_forever(self) -> None:
        clock = self._context.clock
        await self._directory.wait_for_others()
        self._starting_until = clock.monotonic() + START_S
        self._recovering_until = clock.monotonic() + RECOVERY_S
        await self.ask(MAX_FIRST_PEERS)
        while True:
            delay_s = self._interval_s() * (0.5 + self._context.random.random())
            due_at = clock.monotonic() + delay_s
            await clock.sleep(delay_s)
            if clock.monotonic() - due_at > SUSPENSION_S:
                self._recovering_until = clock.monotonic() + RECOVERY_S
            # What ends by time is logged, and what was recorded in between is pushed.
            self._context.log_blame("time")
            await self.ask()

    def _interval_s(self) -> float:
        starting = self._context.clock.monotonic() < self._starting_until
        if self._failures_in_a_row or starting:
            return RETRY_INTERVAL_S
        if self._context.blame.active or self._recovering:
            return ACTIVE_INTERVAL_S
        return IDLE_INTERVAL_S

    async def _call(self, peer: GatewayEntry, call: BlameCall) -> BlameAnswer | None:
        """Call a gateway; return its answer, None if there is none to use."""
        context, directory = self._context, self._directory
        was_paused = directory.is_paused(peer)
        if call.news:
            context.metrics.count("relay.blame_pushed")
        asked_at = context.clock.monotonic()
        try:
            reply = await context.http.request(
                "POST",
                peer.address,
                BLAME_PATH,
                msgspec.msgpack.encode(call),
                {},
                timeout_s=CALL_TIMEOUT_S,
                limit_bytes=PEER_BODY_LIMIT_BYTES,
            )
        except (CallNotSentError, CallBrokenError):
            self._record_failure(peer, was_paused)
            return None
        recovering = self._recovering
        self._failures_in_a_row = 0
        directory.record_answer(peer)
        if reply.status == 404:
            # A gateway of another release knows no such call.
            context.metrics.count("relay.blame_unsupported")
            return None
        try:
            answer = decode_answer(reply.status, reply.body)
        except UnreadableBlameError as error:
            context.metrics.count("relay.blame_unreadable")
            log_event("blame_unreadable", peer=peer.name, detail=str(error))
            return None
        context.metrics.count("relay.blame_answered")
        news = [decode_news(told) for told in answer.news]
        context.learn_crashes(news, asked_at, peer.name)
        if recovering:
            # Others have passed it on while this gateway was out of reach.
            self._spread.add(news)
        return answer

    def _record_failure(self, peer: GatewayEntry, was_paused: bool) -> None:
        self._failures_in_a_row += 1
        if self._failures_in_a_row >= OUT_OF_REACH_FAILURES:
            self._recovering_until = self._context.clock.monotonic() + RECOVERY_S
        if not was_paused:
            self._directory.record_failure(peer)


def answer_call(context: GatewayContext, body: bytes) -> bytes:
    """Accept what another gateway tells; return the body of the answer.

    :param context: the gateway that was called.
    :param body: body of the call.
    :raises UnreadableBlameError: if the body can't be read.
    """
    call = decode_call(body)
    if call.news:
        news = [decode_news(told) for told in call.news]
        context.learn_crashes(news, context.clock.monotonic(), "peer")
    if not (call.checksums or call.seen or call.wanted):
        return msgspec.msgpack.encode(BlameAnswer())
    return msgspec.msgpack.encode(know(context).answer(call))


def know(context: GatewayContext) -> Knowledge:
    """Return what a gateway knows, for the comparison with another one."""
    return Knowledge(tell(context), context.blame.blamed)


def tell(context: GatewayContext) -> list[CauseNews]:
    """Return what a gateway tells others of the causes that it knows."""
    return [item for item in context.blame.tell_all() if _age_s(item) <= MAX_TOLD_AGE_S]


def _age_s(item: CauseNews) -> float:
    return min((item.seen_age_s, *(crash.age_s for crash in item.crashes)))
