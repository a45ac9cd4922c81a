"""Exchange of crashes, under the causes that requests bear, between gateways.

One call carries news both ways. The caller lists the causes that it knows, with a
checksum of each, so that only what differs is told.
"""

from __future__ import annotations

import zlib
from collections.abc import Collection
from typing import Any, NamedTuple

import anyio
import msgspec

from lentilshore_kernel.exceptions import LentilshoreError
from lentilshore_kernel.logs import log_event
from lentilshore_routing.crash_news import BLAME_QUIET_S, CauseNews

from ..clients.fleet_source import GatewayEntry
from ..clients.http_connection import CallBrokenError, CallNotSentError
from ..state.gateway_context import PEER_BODY_LIMIT_BYTES, PEER_PATHS, GatewayContext
from .gateway_directory import MAX_FAILED_PEER_PAUSE_S, GatewayDirectory

BLAME_PATH = PEER_PATHS + "blame"
# Number of gateways that are told of a change at once.
FAN_OUT = 4
# A crash breaks many requests at once; what they tell goes out together.
BATCH_DELAY_S = 0.02
# Shortest time between the calls that tell of changes.
PUSH_INTERVAL_S = 0.2
# A gateway that is told and does not answer may be cut off for a moment.
MAX_TELL_ATTEMPTS = 5
TELL_RETRY_INTERVAL_S = 0.7
# Interval between the calls of a gateway that suspects a cause, or that others may have
# been unable to tell, and of any other.
ACTIVE_INTERVAL_S = 1.0
IDLE_INTERVAL_S = 5.0
# Interval while no other gateway answers.
RETRY_INTERVAL_S = 0.4
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
# A cause is told again if it was seen more recently than the other gateway knows, by
# more than this time.
SEEN_STEP_S = 15.0
# Causes that are not blamed in one answer. Where more are suspected than a gateway
# tells, two gateways seldom list the same ones.
MAX_SUSPECTS_TOLD = 6
# Older news is not told, since the clocks by which it ends differ a little.
MAX_TOLD_AGE_S = BLAME_QUIET_S - 5.0
HEADERS = {"content-type": "application/msgpack"}


class UnreadableBlameError(LentilshoreError):
    """What a gateway has told of crashes can't be read."""


class KnownCause(NamedTuple):
    """What the caller knows of a cause.

    :param cause: digest of the cause.
    :param checksum: checksum of the crashes and answers that are known.
    :param seen_age_s: time since a request with the cause was last seen, seconds.
    """

    cause: str
    checksum: int
    seen_age_s: int


class BlameCall(NamedTuple):
    """What the caller tells.

    :param known: the causes that it tells of, or all that it knows if it tells of none.
    :param news: what it tells of them unasked.
    """

    known: list[KnownCause]
    news: list[CauseNews]


class BlameAnswer(NamedTuple):
    """What the other gateway answers.

    :param news: what it knows of the causes that the caller knows otherwise or not.
    :param wanted: digests of the causes that it knows otherwise or not itself.
    """

    news: list[CauseNews]
    wanted: list[str]


class BlameExchange:
    """Tells other gateways which causes crash replicas, and asks them.

    :param context: the gateway.
    :param directory: the other gateways.
    """

    def __init__(self, context: GatewayContext, directory: GatewayDirectory) -> None:
        self._context = context
        self._directory = directory
        self._pushed_generation = 0
        # Checksums of the causes as they were pushed last.
        self._pushed: dict[str, int] = {}
        self._failures_in_a_row = 0
        # Until then others may not have been able to tell this gateway.
        self._recovering_until = 0.0

    async def run(self) -> None:
        """Tell and ask until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._ask_forever)
            await self._directory.wait_for_others()
            while True:
                await self._context.wait_for_blame(self._pushed_generation)
                await self._context.clock.sleep(BATCH_DELAY_S)
                self._pushed_generation = self._context.blame.generation
                # A gateway that hangs must not delay what others are told.
                if changed := self._take_changes():
                    group.start_soon(self._tell_next, changed)
                    for peer in self._directory.random_peers(FAN_OUT - 1):
                        group.start_soon(self._tell, peer, changed)
                await self._context.clock.sleep(PUSH_INTERVAL_S)

    async def ask(self, max_peers: int = 1) -> None:
        """Ask other gateways in turn until one has answered.

        :param max_peers: number of gateways to ask.
        """
        for peer in self._directory.random_peers(max_peers):
            answer = await self._call(peer)
            if answer is None:
                continue
            told = {item.cause: checksum(item) for item in answer.news}
            wanted = set(answer.wanted)
            news = [
                item
                for item in tell(self._context)
                if item.cause in wanted and checksum(item) != told.get(item.cause)
            ]
            if news:
                causes = {item.cause for item in _select(self._context, news)}
                await self._call(peer, causes)
            return

    async def _tell_next(self, causes: Collection[str]) -> None:
        """Tell the next gateway of the ring that answers.

        Random ones alone would leave out some.
        """
        for peer in self._directory.next_peers(MAX_NEXT_PEERS):
            if await self._call(peer, causes) is not None:
                return

    async def _tell(self, peer: GatewayEntry, causes: Collection[str]) -> None:
        """Tell a gateway, again if it is out of reach for a moment."""
        for _ in range(MAX_TELL_ATTEMPTS):
            answer = await self._call(peer, causes)
            # A gateway of another release is in reach, and answers nothing.
            if answer is not None or not self._directory.is_paused(peer):
                return
            delay_s = TELL_RETRY_INTERVAL_S * (0.5 + self._context.random.random())
            await self._context.clock.sleep(delay_s)

    async def _ask_forever(self) -> None:
        clock = self._context.clock
        await self._directory.wait_for_others()
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
        if self._failures_in_a_row:
            return RETRY_INTERVAL_S
        now = self._context.clock.monotonic()
        if self._context.blame.active or now < self._recovering_until:
            return ACTIVE_INTERVAL_S
        return IDLE_INTERVAL_S

    def _take_changes(self) -> set[str]:
        """Return the causes that have changed since they were pushed."""
        before = self._pushed
        self._pushed = {item.cause: checksum(item) for item in tell(self._context)}
        return {
            cause for cause, now in self._pushed.items() if before.get(cause) != now
        }

    async def _call(
        self, peer: GatewayEntry, causes: Collection[str] = ()
    ) -> BlameAnswer | None:
        """Call a gateway; return its answer, None if there is none to use.

        :param causes: causes to tell of unasked.
        """
        context, directory = self._context, self._directory
        was_paused = directory.is_paused(peer)
        if causes:
            context.metrics.count("relay.blame_pushed")
        call = create_call(context, causes)
        asked_at = context.clock.monotonic()
        try:
            reply = await context.http.request(
                "POST",
                peer.address,
                BLAME_PATH,
                msgspec.msgpack.encode(call),
                HEADERS,
                timeout_s=CALL_TIMEOUT_S,
                limit_bytes=PEER_BODY_LIMIT_BYTES,
            )
        except (CallNotSentError, CallBrokenError):
            self._record_failure(peer, was_paused)
            return None
        self._failures_in_a_row = 0
        directory.record_answer(peer)
        if reply.status == 404:
            # A gateway of another release knows no such call.
            context.metrics.count("relay.blame_unsupported")
            return None
        try:
            answer = _decode_answer(reply.status, reply.body)
        except UnreadableBlameError as error:
            context.metrics.count("relay.blame_unreadable")
            log_event("blame_unreadable", peer=peer.name, detail=str(error))
            return None
        context.metrics.count("relay.blame_answered")
        context.learn_crashes(answer.news, asked_at, peer.name)
        return answer

    def _record_failure(self, peer: GatewayEntry, was_paused: bool) -> None:
        self._failures_in_a_row += 1
        if self._failures_in_a_row >= OUT_OF_REACH_FAILURES:
            self._recovering_until = self._context.clock.monotonic() + RECOVERY_S
        if not was_paused:
            self._directory.record_failure(peer)


def create_call(context: GatewayContext, causes: Collection[str]) -> BlameCall:
    """Return what a gateway tells in a call.

    :param causes: causes to tell of unasked; none to ask of all.
    """
    told = tell(context)
    if not causes:
        return BlameCall([_known(item) for item in told], [])
    news = [item for item in told if item.cause in causes]
    return BlameCall([_known(item) for item in news], news)


def answer_call(context: GatewayContext, body: bytes) -> bytes:
    """Accept what another gateway tells; return the body of the answer.

    :param context: the gateway that was called.
    :param body: body of the call.
    :raises UnreadableBlameError: if the body can't be read.
    """
    call: BlameCall = _decode(body, BlameCall)
    context.learn_crashes(call.news, context.clock.monotonic(), "peer")
    known = {item.cause: item for item in call.known}
    told = {item.cause: item for item in tell(context)}
    if call.news:
        told = {cause: told[cause] for cause in known.keys() & told.keys()}
    news = [item for item in told.values() if _adds(item, known.get(item.cause))]
    wanted = [item.cause for item in call.known if _lacks(told.get(item.cause), item)]
    return msgspec.msgpack.encode(BlameAnswer(_select(context, news), wanted))


def tell(context: GatewayContext) -> list[CauseNews]:
    """Return what a gateway tells others of the causes that it knows."""
    return [item for item in context.blame.tell() if _age_s(item) <= MAX_TOLD_AGE_S]


def checksum(item: CauseNews) -> int:
    """Return a checksum of what is known of a cause, its times excepted."""
    crashes = sorted((crash.replica, crash.rank) for crash in item.crashes)
    # Each gateway gets other answers to a cause that all are served.
    known = () if item.settled else item.answers
    answers = sorted(answer.request for answer in known)
    content = (item.position, item.answered_before, crashes, answers)
    return zlib.crc32(repr(content).encode())


def _select(context: GatewayContext, items: list[CauseNews]) -> list[CauseNews]:
    """Return what is told at once: all blamed causes and a few of the others."""
    blamed = set(context.blame.blamed)
    others = [item for item in items if item.cause not in blamed]
    return [i for i in items if i.cause in blamed] + others[:MAX_SUSPECTS_TOLD]


def _age_s(item: CauseNews) -> float:
    return min((item.seen_age_s, *(crash.age_s for crash in item.crashes)))


def _known(item: CauseNews) -> KnownCause:
    return KnownCause(item.cause, checksum(item), int(item.seen_age_s))


def _adds(item: CauseNews, known: KnownCause | None) -> bool:
    """Return whether an item tells more than another gateway knows."""
    if known is None or checksum(item) != known.checksum:
        return True
    return known.seen_age_s - item.seen_age_s > SEEN_STEP_S


def _lacks(item: CauseNews | None, known: KnownCause) -> bool:
    """Return whether another gateway knows more than an item tells."""
    if item is None or checksum(item) != known.checksum:
        return True
    return item.seen_age_s - known.seen_age_s > SEEN_STEP_S


def _decode_answer(status: int, body: bytes) -> BlameAnswer:
    if status != 200:
        raise UnreadableBlameError(f"status {status}")
    answer: BlameAnswer = _decode(body, BlameAnswer)
    return answer


def _decode(body: bytes, message_type: Any) -> Any:
    try:
        return msgspec.msgpack.decode(body, type=message_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise UnreadableBlameError(f"news of crashes: {error}") from error
