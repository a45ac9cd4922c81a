"""Links to other nodes: one long-lived connection and one heartbeat task each."""

from __future__ import annotations

import ssl
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, NamedTuple

import anyio
import capnp
from anyio.abc import TaskGroup

from lentilshore_fleet import Bill, Member
from lentilshore_fleet.bills import encode_bills
from lentilshore_fleet.membership import HEARTBEAT_INTERVAL_S
from lentilshore_kernel import Clock, log_event
from lentilshore_kernel.exceptions import PeerUnavailableError
from lentilshore_kernel.tls import create_client_context
from lentilshore_kernel.types import Address, Incarnation
from lentilshore_protocol import load_peer_schema

from ..state.context import NodeContext
from .peer_messages import (
    apply_heartbeat,
    build_heartbeat,
    document_versions,
    member_from_message,
)

CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
PROBE_INTERVAL_S = 3.0
RECONNECT_MIN_S = 0.2
RECONNECT_MAX_S = 5.0
# Number of peers that are to hold a copy of each bill.
BILL_COPIES = 2
COPY_BATCH_BILLS = 256
QUEUE_LIMIT_BILLS = 4_096


class PeerConnection(NamedTuple):
    """An open connection to a peer.

    :param peer: object of the schema's ``Peer`` interface.
    :param close: closes the connection.
    """

    peer: Any
    close: Callable[[], None]


Connector = Callable[[Address], Awaitable[PeerConnection]]


async def connect_peer(
    address: Address, tls: ssl.SSLContext | None = None
) -> PeerConnection:
    """Open a connection to a peer over TCP.

    :param address: the peer's listener.
    :param tls: context for mutual TLS, None for plain TCP.
    """
    stream = await capnp.AsyncIoStream.create_connection(
        address.host, address.port, ssl=tls
    )
    client = capnp.TwoPartyClient(stream)
    peer = client.bootstrap().cast_as(load_peer_schema().Peer)
    return PeerConnection(peer, client.close)


class PeerLink:
    """Calls to one peer, each with a timeout.

    :param address: the peer's listener.
    :param clock: measures the timeouts of calls.
    :param connector: opens the connection.
    """

    def __init__(self, address: Address, clock: Clock, connector: Connector) -> None:
        self._address = address
        self._clock = clock
        self._connector = connector
        self._connection: PeerConnection | None = None

    @property
    def address(self) -> Address:
        """The peer's listener."""
        return self._address

    @property
    def connected(self) -> bool:
        """Whether the connection is open."""
        return self._connection is not None

    async def connect(self) -> None:
        """Open the connection.

        :raises PeerUnavailableError: if the peer cannot be reached.
        """
        self._connection = await self._call(
            self._connector(self._address), CONNECT_TIMEOUT_S
        )

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    async def exchange(self, message: dict[str, Any]) -> Any:
        """Send a heartbeat and wait for the peer's.

        :param message: this node's heartbeat.
        :returns: the peer's heartbeat.
        :raises PeerUnavailableError: if the peer does not answer.
        """
        return (await self._call(self._peer().exchange(message=message))).reply

    async def members(self) -> list[Member]:
        """Return every member that the peer knows.

        :raises PeerUnavailableError: if the peer does not answer.
        """
        answer = await self._call(self._peer().members())
        return [member_from_message(item) for item in answer.members]

    async def copy_bills(self, owner: str, bills: list[Bill], watermark: int) -> None:
        """Copy bills to the peer.

        :param owner: incarnation whose bills they are.
        :param bills: the bills.
        :param watermark: every bill with a lower number is in the store, so the
            peer may delete its copies of those.
        :raises PeerUnavailableError: if the peer does not confirm.
        """
        call = self._peer().copyBills(
            owner=owner, bills=encode_bills(bills), watermark=watermark
        )
        await self._call(call)

    async def release_bills(self, owner: str) -> None:
        """Let the peer delete its copies of an owner's bills.

        :raises PeerUnavailableError: if the peer does not confirm.
        """
        await self._call(self._peer().releaseBills(owner=owner))

    async def explain(self, request_id: str) -> bytes:
        """Return the record of a request that the peer served.

        :raises PeerUnavailableError: if the peer does not answer.
        """
        return (await self._call(self._peer().explain(request=request_id))).record

    def _peer(self) -> Any:
        if self._connection is None:
            raise PeerUnavailableError(f"{self._address}: not connected")
        return self._connection.peer

    async def _call(
        self, call: Awaitable[Any], timeout_s: float = CALL_TIMEOUT_S
    ) -> Any:
        try:
            with self._clock.timeout(timeout_s):
                return await call
        except (capnp.KjException, OSError) as error:
            detail = str(error).partition("\n")[0][:120]
            raise PeerUnavailableError(f"{self._address}: {detail}") from error
        # A timeout ends the ``with`` block above without an exception.
        raise PeerUnavailableError(f"{self._address}: no answer in {timeout_s:.0f} s")


class _HeartbeatTask:
    """Task that keeps one link connected and exchanges heartbeats over it."""

    def __init__(
        self,
        context: NodeContext,
        name: str,
        link: PeerLink,
        report_link_count: Callable[[], None],
    ) -> None:
        self._context = context
        self._report_link_count = report_link_count
        self._peer_name = name
        self._wake = anyio.Event()
        # Revision and document versions that the peer stated in its last heartbeat.
        self._peer_revision: int | None = None
        self._peer_document_versions: dict[str, int] = {}
        self.link = link
        self.scope = anyio.CancelScope()

    def wake(self) -> None:
        """Send the next heartbeat at once."""
        self._wake.set()

    async def run(self) -> None:
        """Reconnect with backoff and exchange heartbeats until cancelled."""
        with self.scope:
            delay_s = RECONNECT_MIN_S
            while True:
                try:
                    await self.link.connect()
                    delay_s = RECONNECT_MIN_S
                    await self._exchange_forever()
                except PeerUnavailableError as error:
                    self._context.metrics.count("peer.unavailable")
                    log_event("peer_unavailable", detail=str(error))
                finally:
                    self.link.close()
                    self._report_link_count()
                    self._peer_revision, self._peer_document_versions = None, {}
                jitter = self._context.random.uniform(0.5, 1.5)
                await self._context.clock.sleep(delay_s * jitter)
                delay_s = min(2 * delay_s, RECONNECT_MAX_S)

    async def _exchange_forever(self) -> None:
        while True:
            self._wake = anyio.Event()
            await self._exchange()
            # The peer's revision is known only from its reply. If the peer is behind, a
            # second heartbeat brings it the missing configuration at once.
            if self._peer_revision != self._context.configuration.revision:
                await self._exchange()
            jitter = self._context.random.uniform(0.9, 1.1)
            with self._context.clock.timeout(HEARTBEAT_INTERVAL_S * jitter):
                await self._wake.wait()

    async def _exchange(self) -> None:
        message = build_heartbeat(
            self._context,
            self._peer_name,
            self._peer_revision,
            self._peer_document_versions,
        )
        reply = await self.link.exchange(message)
        self._report_link_count()
        self._peer_revision = reply.revision
        self._peer_document_versions = document_versions(reply)
        apply_heartbeat(self._context, reply)


class LinkManager:
    """Keeps a link to each peer that membership selects.

    :param context: this node.
    :param connector: opens connections; None for TCP with the TLS of the settings.
    """

    def __init__(
        self, context: NodeContext, connector: Connector | None = None
    ) -> None:
        self._context = context
        self._connector = connector or partial(
            connect_peer, tls=create_client_context(context.settings.peer_tls)
        )
        self._heartbeats: dict[Incarnation, _HeartbeatTask] = {}
        context.configuration.on_change(lambda _: self.wake_all())

    @property
    def connected(self) -> list[Incarnation]:
        """Incarnations with an open connection, in order."""
        return sorted(
            incarnation
            for incarnation, heartbeat in self._heartbeats.items()
            if heartbeat.link.connected
        )

    def create_link(self, address: Address) -> PeerLink:
        """Return a new link for the caller to connect and close."""
        return PeerLink(address, self._context.clock, self._connector)

    def wake_all(self) -> None:
        """Send heartbeats on all links at once."""
        for heartbeat in self._heartbeats.values():
            heartbeat.wake()

    def links_in_copy_order(self) -> list[PeerLink]:
        """Return the links of :meth:`peers_in_copy_order`, without their peers."""
        return [link for _, link in self.peers_in_copy_order()]

    def peers_in_copy_order(self) -> list[tuple[Incarnation, PeerLink]]:
        """Return connected peers and their links in the order of copying bills.

        Peers in other data centres come first.
        """
        own = self._context.membership.own
        candidates = []
        for incarnation in self.connected:
            member = self._context.membership.find(incarnation.node)
            # False sorts before True, so peers in other data centres come first.
            local = member is None or member.data_centre == own.data_centre
            candidates.append((local, incarnation, self._heartbeats[incarnation].link))
        candidates.sort(key=lambda item: item[:2])
        return [(incarnation, link) for _, incarnation, link in candidates]

    async def send_heartbeat(self, link: PeerLink) -> None:
        """Exchange one heartbeat outside the regular interval.

        The heartbeat carries no configuration, since it is sent without the peer's
        revision.

        :raises PeerUnavailableError: if the peer does not answer.
        """
        message = build_heartbeat(self._context, "", None, {})
        apply_heartbeat(self._context, await link.exchange(message))

    async def run(self) -> None:
        """Open and close links as membership changes, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._probe_forever)
            while True:
                self._reconcile(group)
                self._report_link_count()
                linked_nodes = [incarnation.node for incarnation in self._heartbeats]
                for member in self._context.membership.detect_failures(linked_nodes):
                    state = member.state.name
                    log_event("member_changed", node=member.name, state=state)
                await self._context.clock.sleep(HEARTBEAT_INTERVAL_S)

    def _report_link_count(self) -> None:
        self._context.reachability.record_link_count(len(self.connected))

    async def _probe_forever(self) -> None:
        """Probe lost members, so that both sides of a healed partition reconnect."""
        while True:
            jitter = self._context.random.uniform(0.5, 1.5)
            await self._context.clock.sleep(PROBE_INTERVAL_S * jitter)
            lost = self._context.membership.probe_targets()
            if lost:
                await self._probe(self._context.random.choice(lost))

    async def _probe(self, member: Member) -> None:
        link = self.create_link(member.address)
        try:
            await link.connect()
            message = build_heartbeat(self._context, member.name, None, {})
            apply_heartbeat(self._context, await link.exchange(message))
            # The reply may say that the peer considers this node suspect or dead. The
            # second heartbeat then carries this node's refutation.
            await self.send_heartbeat(link)
        except PeerUnavailableError:
            self._context.metrics.count("peer.probe_failed")
        finally:
            link.close()

    def _reconcile(self, group: TaskGroup) -> None:
        wanted = {
            member.incarnation: member
            for member in self._context.membership.link_targets()
        }
        for incarnation in list(self._heartbeats):
            if incarnation not in wanted:
                self._heartbeats.pop(incarnation).scope.cancel()
        for incarnation, member in wanted.items():
            if incarnation not in self._heartbeats:
                link = self.create_link(member.address)
                heartbeat = _HeartbeatTask(
                    self._context, member.name, link, self._report_link_count
                )
                self._heartbeats[incarnation] = heartbeat
                group.start_soon(heartbeat.run)


class LinkBillCopier:
    """Copies bills to peers in batches.

    Bills that arrive during a call are sent together with the next call.
    """

    def __init__(self) -> None:
        self._links: LinkManager | None = None
        # Bills that nobody waits for.
        self._queued: list[Bill] = []
        # Bills that callers of copy() wait for, each with an event that is set once its
        # result is known. The result, whether a peer confirmed the bill, is the single
        # item of the list.
        self._waiting: list[tuple[Bill, anyio.Event, list[bool]]] = []
        self._owner = ""
        self._watermark = 0
        # Whether a call of :meth:`copy` is sending.
        self._sending = False
        # Peers that have confirmed copies.
        self._holders: set[Incarnation] = set()

    def attach(self, links: LinkManager) -> None:
        """Set the links over which bills are copied."""
        self._links = links

    def enqueue(self, owner: str, bill: Bill, watermark: int) -> None:
        """Queue a bill for the next call without waiting for it.

        A bill beyond :data:`QUEUE_LIMIT_BILLS` is not queued.
        """
        self._owner, self._watermark = owner, watermark
        if len(self._queued) < QUEUE_LIMIT_BILLS:
            self._queued.append(bill)

    async def copy(self, owner: str, bills: list[Bill], watermark: int) -> None:
        """Copy bills to peers and wait until at least one confirms.

        :raises PeerUnavailableError: if at least one of the bills has no peer that
            confirmed it.
        """
        self._owner, self._watermark = owner, watermark
        entries = [(bill, anyio.Event(), [False]) for bill in bills]
        self._waiting.extend(entries)
        if not self._sending:
            await self._send_waiting()
        for _, event, _ in entries:
            await event.wait()
        if not all(copied[0] for _, _, copied in entries):
            raise PeerUnavailableError("no connected peer confirmed the copies")

    def forget_lost_holders(self) -> bool:
        """Forget peers that hold copies and are no longer connected.

        :returns: whether there were any.
        """
        linked = set(self._links.connected) if self._links else set()
        lost = self._holders - linked
        self._holders -= lost
        return bool(lost)

    async def send_queued(self) -> None:
        """Send queued bills, unless :meth:`copy` is sending.

        :meth:`copy` sends the queued bills together with each of its batches.
        """
        if not self._queued or self._sending:
            return
        queued, self._queued = self._queued, []
        await self._send(queued)

    async def _send_waiting(self) -> None:
        self._sending = True
        try:
            while self._waiting:
                batch = self._waiting[:COPY_BATCH_BILLS]
                del self._waiting[:COPY_BATCH_BILLS]
                queued, self._queued = self._queued, []
                try:
                    confirmed = await self._send(
                        [bill for bill, _, _ in batch] + queued
                    )
                except BaseException:
                    self._resolve(batch, False)
                    raise
                self._resolve(batch, confirmed)
        finally:
            self._sending = False
            self._resolve(self._waiting, False)
            self._waiting = []

    def _resolve(
        self, batch: list[tuple[Bill, anyio.Event, list[bool]]], confirmed: bool
    ) -> None:
        for _, event, copied in batch:
            copied[0] = confirmed
            event.set()

    async def _send(self, bills: list[Bill]) -> bool:
        """Copy bills to :data:`BILL_COPIES` peers at once.

        Further peers are tried until enough have confirmed or none is left.

        :returns: whether at least one peer confirmed.
        """
        targets = self._links.peers_in_copy_order() if self._links else []
        confirmed: list[Incarnation] = []

        async def send(incarnation: Incarnation, link: PeerLink) -> None:
            try:
                await link.copy_bills(self._owner, bills, self._watermark)
                confirmed.append(incarnation)
            except PeerUnavailableError:
                return

        while targets and len(confirmed) < BILL_COPIES:
            receivers, targets = targets[:BILL_COPIES], targets[BILL_COPIES:]
            async with anyio.create_task_group() as group:
                for incarnation, link in receivers:
                    group.start_soon(send, incarnation, link)
        self._holders.update(confirmed)
        return bool(confirmed)
