"""Links to other nodes: one long-lived connection and one task each."""

from __future__ import annotations

import random
from collections.abc import Awaitable
from typing import Any

import anyio
import capnp
from anyio.abc import TaskGroup

from lentilshore_fleet import Bill, Member
from lentilshore_fleet.bills import encode_bills
from lentilshore_fleet.membership import HEARTBEAT_INTERVAL_S
from lentilshore_kernel import log_event
from lentilshore_kernel.exceptions import PeerUnavailableError
from lentilshore_kernel.tls import create_client_context
from lentilshore_kernel.types import Address, Incarnation
from lentilshore_protocol import load_peer_schema

from .context import NodeContext
from .peer_messages import (
    apply_exchange,
    build_exchange,
    document_versions,
    member_from_message,
)

CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
RECONNECT_MIN_S = 0.2
RECONNECT_MAX_S = 5.0
COPY_BATCH_BILLS = 256
POSTED_LIMIT = 4_096


class PeerLink:
    """Connection to one other node.

    :param context: this node.
    :param address: the other's peer listener.
    """

    def __init__(self, context: NodeContext, address: Address) -> None:
        self._context = context
        self._address = address
        self._peer: Any = None
        self._client: Any = None
        self._wake = anyio.Event()
        self._revision: int | None = None
        self._versions: dict[str, int] = {}

    @property
    def connected(self) -> bool:
        """Whether calls can be made."""
        return self._peer is not None

    def wake(self) -> None:
        """Send the next heartbeat at once."""
        self._wake.set()

    async def run(self) -> None:
        """Keep the connection and exchange heartbeats until cancelled."""
        delay_s = RECONNECT_MIN_S
        while True:
            try:
                await self.connect()
                delay_s = RECONNECT_MIN_S
                await self._exchange_forever()
            except PeerUnavailableError as error:
                self._context.metrics.count("peer.unavailable")
                log_event("peer_unavailable", peer=self._address, detail=str(error))
            finally:
                self.close()
            await self._context.clock.sleep(delay_s * random.uniform(0.5, 1.5))
            delay_s = min(2 * delay_s, RECONNECT_MAX_S)

    async def connect(self) -> None:
        """Open the connection.

        :raises PeerUnavailableError: if the other is not reached.
        """
        tls = create_client_context(self._context.settings.peer_tls)
        host, port = self._address
        stream = await self._within(
            capnp.AsyncIoStream.create_connection(host, port, ssl=tls),
            CONNECT_TIMEOUT_S,
        )
        self._client = capnp.TwoPartyClient(stream)
        self._peer = self._client.bootstrap().cast_as(load_peer_schema().Peer)

    def close(self) -> None:
        """Close the connection."""
        if self._client is not None:
            self._client.close()
        self._client = self._peer = None
        self._revision = None
        self._versions = {}

    async def exchange(self) -> None:
        """Exchange one heartbeat.

        :raises PeerUnavailableError: if the other does not answer.
        """
        message = build_exchange(self._context, self._revision, self._versions)
        answer = await self._within(self._call().exchange(message=message))
        self._revision = answer.reply.revision
        self._versions = document_versions(answer.reply)
        apply_exchange(self._context, answer.reply)

    async def members(self) -> list[Member]:
        """Return every member that the other knows.

        :raises PeerUnavailableError: if the other does not answer.
        """
        answer = await self._within(self._call().members())
        return [member_from_message(item) for item in answer.members]

    async def copy_bills(self, owner: str, bills: list[Bill], watermark: int) -> None:
        """Have the other hold copies of bills.

        :raises PeerUnavailableError: if the other does not confirm.
        """
        call = self._call().copyBills(
            owner=owner, bills=encode_bills(bills), watermark=watermark
        )
        await self._within(call)

    async def release_bills(self, owner: str) -> None:
        """Have the other forget copies.

        :raises PeerUnavailableError: if the other does not confirm.
        """
        await self._within(self._call().releaseBills(owner=owner))

    async def explain(self, request: str) -> bytes:
        """Return the record of a request that the other served.

        :raises PeerUnavailableError: if the other does not answer.
        """
        return (await self._within(self._call().explain(request=request))).record

    async def _exchange_forever(self) -> None:
        while True:
            self._wake = anyio.Event()
            await self.exchange()
            if self._revision != self._context.configuration.revision:
                await self.exchange()
            with self._context.clock.timeout(
                HEARTBEAT_INTERVAL_S * random.uniform(0.9, 1.1)
            ):
                await self._wake.wait()

    def _call(self) -> Any:
        if self._peer is None:
            raise PeerUnavailableError(f"{self._address}: not connected")
        return self._peer

    async def _within(
        self, call: Awaitable[Any], timeout_s: float = CALL_TIMEOUT_S
    ) -> Any:
        try:
            with self._context.clock.timeout(timeout_s):
                return await call
        except (capnp.KjException, OSError) as error:
            detail = str(error).partition("\n")[0][:120]
            raise PeerUnavailableError(f"{self._address}: {detail}") from error
        raise PeerUnavailableError(f"{self._address}: no answer in {timeout_s:.0f} s")


class LinkManager:
    """Keeps the links that membership asks for.

    :param context: this node.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._links: dict[Incarnation, tuple[PeerLink, anyio.CancelScope]] = {}
        context.configuration.on_change(lambda _: self.wake_all())

    @property
    def connected(self) -> list[Incarnation]:
        """Incarnations with a working link, by name."""
        return sorted(i for i, (link, _) in self._links.items() if link.connected)

    def link(self, incarnation: Incarnation) -> PeerLink | None:
        """Return the link to an incarnation, if it works."""
        link = self._links.get(incarnation, (None, None))[0]
        return link if link is not None and link.connected else None

    def wake_all(self) -> None:
        """Send heartbeats on all links at once."""
        for link, _ in self._links.values():
            link.wake()

    def copy_targets(self) -> list[PeerLink]:
        """Return working links in the order in which bills are copied to them.

        Peers in other data centres come first.
        """
        own = self._context.membership.own
        found = []
        for incarnation in self.connected:
            member = self._context.membership.find(incarnation.node)
            local = member is None or member.data_centre == own.data_centre
            found.append((local, incarnation, self._links[incarnation][0]))
        return [link for _, _, link in sorted(found, key=lambda item: item[:2])]

    async def run(self) -> None:
        """Open and close links as membership changes, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self._reconcile(group)
                names = [incarnation.node for incarnation in self._links]
                for member in self._context.membership.tick(names):
                    log_event(
                        "member_changed", node=member.name, state=member.state.name
                    )
                await self._context.clock.sleep(HEARTBEAT_INTERVAL_S)

    def _reconcile(self, group: TaskGroup) -> None:
        wanted = {m.incarnation: m for m in self._context.membership.links()}
        for incarnation in list(self._links):
            if incarnation not in wanted:
                self._links.pop(incarnation)[1].cancel()
        for incarnation, member in wanted.items():
            if incarnation not in self._links:
                scope = anyio.CancelScope()
                link = PeerLink(self._context, member.address)
                self._links[incarnation] = (link, scope)
                group.start_soon(_run_in_scope, link, scope)


class LinkCopier:
    """Copies bills over links, many with one call.

    While a call is on its way, the bills that come are gathered for the next.
    """

    def __init__(self) -> None:
        self._links: LinkManager | None = None
        self._posted: list[Bill] = []
        self._waiting: list[tuple[Bill, anyio.Event, list[bool]]] = []
        self._owner = ""
        self._watermark = 0
        self._sending = False

    def attach(self, links: LinkManager) -> None:
        """Set the links to copy over."""
        self._links = links

    def post(self, owner: str, bill: Bill, watermark: int) -> None:
        """Copy a bill with the next call, without waiting for it."""
        self._owner, self._watermark = owner, watermark
        if len(self._posted) < POSTED_LIMIT:
            self._posted.append(bill)

    async def copy(self, owner: str, bills: list[Bill], watermark: int) -> None:
        """Copy bills to a peer.

        :raises PeerUnavailableError: if no peer has them.
        """
        self._owner, self._watermark = owner, watermark
        entries = [(bill, anyio.Event(), [False]) for bill in bills]
        self._waiting.extend(entries)
        if not self._sending:
            await self._send_waiting()
        for _, event, _ in entries:
            await event.wait()
        if not all(done[0] for _, _, done in entries):
            raise PeerUnavailableError("no peer took a copy of the bill")

    async def send_posted(self) -> None:
        """Send posted bills, unless a call that takes them along is under way."""
        if not self._posted or self._sending:
            return
        posted, self._posted = self._posted, []
        await self._send(posted)

    async def _send_waiting(self) -> None:
        self._sending = True
        try:
            while self._waiting:
                batch = self._waiting[:COPY_BATCH_BILLS]
                del self._waiting[:COPY_BATCH_BILLS]
                posted, self._posted = self._posted, []
                try:
                    sent = await self._send([bill for bill, _, _ in batch] + posted)
                except BaseException:
                    self._release(batch, False)
                    raise
                self._release(batch, sent)
        finally:
            self._sending = False
            self._release(self._waiting, False)
            self._waiting = []

    def _release(
        self, batch: list[tuple[Bill, anyio.Event, list[bool]]], sent: bool
    ) -> None:
        for _, event, done in batch:
            done[0] = sent
            event.set()

    async def _send(self, bills: list[Bill]) -> bool:
        targets = self._links.copy_targets() if self._links else []
        for link in targets:
            try:
                await link.copy_bills(self._owner, bills, self._watermark)
                return True
            except PeerUnavailableError:
                continue
        return False


async def _run_in_scope(link: PeerLink, scope: anyio.CancelScope) -> None:
    with scope:
        await link.run()
