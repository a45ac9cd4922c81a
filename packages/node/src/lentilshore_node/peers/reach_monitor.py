"""Examines whether a gateway is cut off from a service, and asks others."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

import anyio
import msgspec

from lentilshore_kernel.exceptions import LentilshoreError
from lentilshore_kernel.logs import log_event
from lentilshore_routing.replicas import Replica

from ..clients.fleet_source import GatewayEntry
from ..clients.http_connection import CallBrokenError, CallNotSentError
from ..state.gateway_context import PEER_BODY_LIMIT_BYTES, PEER_PATHS, GatewayContext
from ..state.service_reach import EVIDENCE_S, Reach
from .gateway_directory import GatewayDirectory

T = TypeVar("T")

REACH_PATH = PEER_PATHS + "reach"
HEADERS = {"content-type": "application/msgpack"}
# Longest wait for a replica to accept a connection, and as long to answer on it.
PROBE_TIMEOUT_S = 0.25
# Replicas probed at once. All of them must fail before a service counts as cut off.
PROBED_REPLICAS = 4
CALL_TIMEOUT_S = 0.3
# Answers of the last replicas before a silence of all come at most this far apart.
SAME_SILENCE_S = 0.3
# Pause between two examinations of a service that is out of reach, before jitter. It
# doubles, up to the limit, while no other gateway is known to reach it either.
EXAMINATION_INTERVAL_S = 0.3
MAX_EXAMINATION_INTERVAL_S = 1.0
# Gateways asked at once, and names of further ones that an answer gives.
ASKED_PEERS = 8
TOLD_PEERS = 8
# Gateways kept to share the requests among. Once so many are known, one more is asked
# at a time.
KEPT_PEERS = 8
ENOUGH_PEERS = 4


class UnreadableReachError(LentilshoreError):
    """What a gateway has told of its reach can't be read."""


class ReachQuestion(msgspec.Struct):
    """Asks whether a gateway reaches a service.

    :param service: name of the service.
    :param answer_age_s: time since a replica last answered the sender, seconds; None if
        none has, or if the sender does not tell.
    """

    service: str
    answer_age_s: float | None = None


class ReachAnswer(msgspec.Struct):
    """What a gateway knows of a service.

    :param reached: whether it reaches a replica of the service and takes requests.
    :param peers: names of other gateways that do, as it was told.
    :param stopping: whether it stops soon.
    """

    reached: bool
    peers: list[str] = []
    stopping: bool = False


class ReachMonitor:
    """Examines services that this gateway suspects to be out of its reach.

    :param context: the gateway.
    :param directory: the other gateways.
    """

    def __init__(self, context: GatewayContext, directory: GatewayDirectory) -> None:
        self._context = context
        self._directory = directory
        self._reach = context.reach
        # Gateways that stop soon, as they said when they were asked last.
        self._stopping: set[str] = set()
        # Gateways of which others have told, by service.
        self._told: dict[str, set[str]] = {}

    async def run(self) -> None:
        """Examine suspected services until cancelled."""
        async with anyio.create_task_group() as group:
            # Left over if this task has failed before.
            for service in self._reach.out_of_reach:
                group.start_soon(self._examine, service)
            while True:
                service = await self._reach.wait_for_suspicion()
                group.start_soon(self._examine, service)

    async def answer(self, body: bytes) -> bytes:
        """Return the body of the answer to another gateway's question.

        :raises UnreadableReachError: if the question can't be read.
        """
        question = _decode(body, ReachQuestion)
        reached = await self._reaches(question)
        peers = [peer.name for peer in self._reach.peers(question.service)]
        stopping = self._context.draining
        return msgspec.msgpack.encode(
            ReachAnswer(reached, peers[:TOLD_PEERS], stopping)
        )

    async def _reaches(self, question: ReachQuestion) -> bool:
        service = question.service
        if not self._context.accepts_requests or not self._context.view.complete:
            return False
        if self._reach.state(service) is not Reach.REACHED:
            return False
        if self._reach.is_proved(service, _proof_age_s(question.answer_age_s)):
            return True
        return bool(await self._probe_some(service))

    async def _examine(self, service: str) -> None:
        """Examine a service until this gateway reaches it."""
        context = self._context
        interval_s = EXAMINATION_INTERVAL_S
        while True:
            reached, peers = await self._look_around(service)
            if reached or not self._reach.replicas(service):
                self._readmit(service, reached)
                return
            was_cut_off = self._reach.state(service) is Reach.CUT_OFF
            reach = Reach.CUT_OFF if peers else Reach.DOWN
            self._reach.conclude(service, reach, peers)
            if peers and not was_cut_off:
                self._abandon_connections(service)
            await context.clock.sleep(interval_s * (0.5 + context.random.random()))
            interval_s = (
                EXAMINATION_INTERVAL_S
                if peers
                else min(MAX_EXAMINATION_INTERVAL_S, 2 * interval_s)
            )

    async def _look_around(
        self, service: str
    ) -> tuple[list[Replica], list[GatewayEntry]]:
        """Probe replicas and ask gateways at the same time; return who answered."""
        reached: list[Replica] = []
        peers: list[GatewayEntry] = []

        async def probe() -> None:
            reached.extend(await self._probe_some(service))

        async def ask() -> None:
            peers.extend(await self._ask_some(service))

        async with anyio.create_task_group() as group:
            group.start_soon(probe)
            group.start_soon(ask)
        return reached, peers

    def _readmit(self, service: str, reached: Iterable[Replica]) -> None:
        """Send requests to replicas again that are in reach after a cut."""
        if self._reach.state(service) is Reach.CUT_OFF:
            for replica in reached:
                self._context.placement.readmit(replica.name)
        self._told.pop(service, None)
        self._reach.conclude(service, Reach.REACHED)

    def _abandon_connections(self, service: str) -> None:
        for replica in self._reach.replicas(service):
            self._context.http.abandon_connects(replica.address)
            self._context.http.close_idle(replica.address)

    async def _probe_some(self, service: str) -> list[Replica]:
        """Return those of a few random replicas that are in reach."""
        replicas = self._reach.replicas(service)
        count = min(PROBED_REPLICAS, len(replicas))
        chosen = self._context.random.sample(replicas, count)
        return await _select(chosen, self._answers)

    async def _answers(self, replica: Replica) -> bool:
        """Return whether a replica answers a request that does not wait its turn.

        A connection alone proves little, since a proxy on the way may have accepted it;
        an old one may live on though new ones fail.
        """
        path = self._context.translator.report_path
        return await self._context.http.answers(
            replica.address, path, PROBE_TIMEOUT_S, reuse=False
        )

    async def _ask_some(self, service: str) -> list[GatewayEntry]:
        """Return the gateways that say that they reach a service, near ones first."""
        known = self._reach.peers(service)
        told = self._told.pop(service, ())
        others = self._directory.others()
        chosen = {entry.name: entry for entry in known[:KEPT_PEERS]}
        named = [entry for entry in others if entry.name in told]
        limit = ASKED_PEERS if len(known) < ENOUGH_PEERS else 1
        for group in (named, others):
            count = min(limit, len(group))
            for entry in self._context.random.sample(group, count):
                chosen.setdefault(entry.name, entry)
        own = self._context.data_centre
        reached = await _select(
            list(chosen.values()), lambda peer: self._ask(service, peer)
        )
        lasting = [entry for entry in reached if entry.name not in self._stopping]
        reached = lasting or reached
        near = [entry for entry in reached if entry.data_centre == own]
        # One gateway alone would bear all requests of a cut data centre.
        return (near if len(near) > 1 else reached)[:KEPT_PEERS]

    async def _ask(self, service: str, peer: GatewayEntry) -> bool:
        context = self._context
        age_s = self._reach.answer_age_s(service)
        question = ReachQuestion(service, age_s if age_s < math.inf else None)
        body = msgspec.msgpack.encode(question)
        try:
            reply = await context.http.request(
                "POST",
                peer.address,
                REACH_PATH,
                body,
                HEADERS,
                timeout_s=CALL_TIMEOUT_S,
                limit_bytes=PEER_BODY_LIMIT_BYTES,
            )
        except (CallNotSentError, CallBrokenError):
            self._directory.record_failure(peer)
            return False
        if reply.status != 200:
            # A gateway of another release, or one that is starting.
            return False
        try:
            answer = _decode(reply.body, ReachAnswer)
        except UnreadableReachError as error:
            context.metrics.count("relay.reach_unreadable")
            log_event("reach_unreadable", peer=peer.name, detail=str(error))
            return False
        self._directory.record_answer(peer)
        self._stopping.discard(peer.name)
        if answer.stopping:
            self._stopping.add(peer.name)
        self._told.setdefault(service, set()).update(answer.peers[:TOLD_PEERS])
        return answer.reached


def _proof_age_s(answer_age_s: float | None) -> float:
    """Return up to which age an answer here proves that only the asker is cut off.

    Replicas that have fallen silent for all answered both until the same moment.
    """
    if answer_age_s is None or math.isnan(answer_age_s):
        return EVIDENCE_S
    return min(EVIDENCE_S, answer_age_s - SAME_SILENCE_S)


async def _select(items: list[T], accepts: Callable[[T], Awaitable[bool]]) -> list[T]:
    """Return the items that are accepted, all being asked at the same time."""
    accepted: set[int] = set()

    async def ask(index: int) -> None:
        if await accepts(items[index]):
            accepted.add(index)

    async with anyio.create_task_group() as group:
        for index in range(len(items)):
            group.start_soon(ask, index)
    return [items[index] for index in sorted(accepted)]


def _decode(body: bytes, message_type: type[T]) -> T:
    try:
        return msgspec.msgpack.decode(body, type=message_type)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise UnreadableReachError(f"reach of a service: {error}") from error
