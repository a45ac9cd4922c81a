"""Runs a node from start to stop."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, contextmanager
from functools import partial
from typing import Any, NamedTuple

import anyio
import capnp
import uvicorn
from anyio.abc import TaskGroup

from lentilshore_kernel import (
    Clock,
    Incarnation,
    Registry,
    Settings,
    log_event,
)
from lentilshore_kernel.exceptions import PeerUnavailableError
from lentilshore_kernel.metrics import flush_forever
from lentilshore_kernel.settings import PeerSetting
from lentilshore_kernel.tls import create_client_context, create_server_context
from lentilshore_kernel.types import Address

from ..callers.app import CallerApplication
from ..callers.caller_protocol import bind_caller_protocol
from ..clients.http_client import HttpClient
from ..peers.links import LinkBillCopier, LinkManager, PeerLink, connect_peer
from ..peers.peer_server import create_peer_bootstrap, serve_rpc_connection
from ..state.context import NodeContext
from .assembly import create_context, create_external_clients
from .background import BackgroundTasks
from .operators import OperatorServer
from .sockets import LISTEN_BACKLOG, create_listener


class NodeAddresses(NamedTuple):
    """Addresses at which a running node listens."""

    caller: Address
    operator: Address
    peer: Address


class _CallerServer(uvicorn.Server):
    """HTTP server for callers that leaves signal handling to the node."""

    @contextmanager
    def capture_signals(self) -> Any:
        yield

    def stop(self) -> None:
        """Close the listener and finish the requests in flight."""
        self.should_exit = True


class Node:
    """One node.

    :param settings: settings of the node.
    :param registry: registry of the plug-ins.
    :param clock: source of time.
    :param random_source: random numbers for identifiers, jitter and exploration; those
        of the operating system if None.
    """

    def __init__(
        self,
        settings: Settings,
        registry: Registry,
        clock: Clock,
        random_source: random.Random | None = None,
    ) -> None:
        self._random = random_source or random.SystemRandom()
        self._settings = settings
        self._registry = registry
        self._clock = clock
        self._http = HttpClient()
        # Listeners for callers, operators and peers, in this order.
        self._sockets = [
            create_listener(s.address) for s in _listener_settings(settings)
        ]
        self._stop = anyio.Event()
        self._skip_drain = anyio.Event()
        self._started = anyio.Event()
        self._context: NodeContext | None = None

    @property
    def addresses(self) -> NodeAddresses:
        """Addresses of the listeners, with the ports that the system has chosen."""
        return NodeAddresses(*(Address(*s.getsockname()[:2]) for s in self._sockets))

    @property
    def context(self) -> NodeContext:
        """Context of the node, once it has started.

        :raises RuntimeError: if it has not started.
        """
        if self._context is None:
            raise RuntimeError("the node has not started")
        return self._context

    async def wait_started(self) -> None:
        """Wait until the node is listening."""
        await self._started.wait()

    def stop(self) -> None:
        """Begin to drain; a second call ends the wait for requests in flight."""
        if self._stop.is_set():
            self._skip_drain.set()
        self._stop.set()

    async def run(self) -> bool:
        """Run until stopped.

        :returns: whether every request in flight was finished and every bill is stored
            by a peer or the platform.
        """
        incarnation = await self._choose_incarnation()
        copier = LinkBillCopier()
        context = self._context = create_context(
            self._settings,
            self._registry,
            self._clock,
            incarnation,
            self.addresses.peer,
            create_external_clients(self._settings, self._registry, self._http, copier),
            self._random,
        )
        links = LinkManager(context)
        background = BackgroundTasks(context, links, copier)
        async with anyio.create_task_group() as group:
            server = await self._start_listeners(group, context, links)
            background.start(group)
            self._started.set()
            caller = self.addresses.caller
            log_event("node_started", instance=incarnation, caller=caller)
            await self._stop.wait()
            clean = await background.drain(server.stop, self._skip_drain)
            clean &= await background.hand_over()
            group.cancel_scope.cancel()
        await self._http.close()
        log_event("node_stopped", instance=incarnation, whole=clean)
        return clean

    async def _choose_incarnation(self) -> Incarnation:
        """Return an incarnation later than any that the peers know of this node."""
        number = int(self._clock.wall() * 1000)
        last_known = 0
        for peer_setting in self._settings.peers:
            last_known = max(
                last_known, await self._fetch_last_incarnation_number(peer_setting)
            )
        return Incarnation(self._settings.instance, max(number, last_known + 1))

    async def _fetch_last_incarnation_number(self, peer_setting: PeerSetting) -> int:
        """Return this node's last incarnation number that a peer knows, 0 for none."""
        tls = create_client_context(self._settings.peer_tls)
        link = PeerLink(
            peer_setting.address, self._clock, partial(connect_peer, tls=tls)
        )
        try:
            await link.connect()
            members = await link.members()
        except PeerUnavailableError:
            return 0
        finally:
            link.close()
        own = self._settings.instance
        numbers = [m.incarnation.number for m in members if m.name == own]
        return max(numbers, default=0)

    async def _start_listeners(
        self, group: TaskGroup, context: NodeContext, links: LinkManager
    ) -> _CallerServer:
        peer_bootstrap = create_peer_bootstrap(context)
        operators = OperatorServer(context, links, self._registry)
        _, operator_socket, peer_socket = self._sockets
        group.start_soon(
            _serve_rpc,
            peer_socket,
            create_server_context(self._settings.peer_tls),
            lambda stream: serve_rpc_connection(stream, peer_bootstrap),
        )
        group.start_soon(
            _serve_rpc,
            operator_socket,
            create_server_context(self._settings.operator_tls),
            lambda stream: serve_rpc_connection(stream, operators.create_bootstrap()),
        )
        if self._settings.statsd is not None:
            address = self._settings.statsd.address
            group.start_soon(flush_forever, context.metrics, self._clock, address)
        return await self._start_caller_server(group, context)

    async def _start_caller_server(
        self, group: TaskGroup, context: NodeContext
    ) -> _CallerServer:
        config = uvicorn.Config(
            CallerApplication(context),
            log_config=None,
            access_log=False,
            lifespan="off",
            server_header=False,
            proxy_headers=False,
            date_header=False,
            http=bind_caller_protocol(
                context.metrics, self._settings.limits.head_bytes
            ),
            timeout_graceful_shutdown=max(1, int(self._settings.drain_limit_s)),
        )
        config.load()
        tls = create_server_context(self._settings.caller_tls)
        if tls is not None:
            config.ssl = tls
        server = _CallerServer(config)
        group.start_soon(partial(server.serve, sockets=[self._sockets[0]]))
        while not server.started:
            await anyio.sleep(0.005)
        return server


async def run_node(settings: Settings, registry: Registry, clock: Clock) -> bool:
    """Run a node until SIGTERM or SIGINT.

    :returns: whether every request in flight was finished and every bill is stored by
        a peer or the platform.
    """
    async with capnp.kj_loop():
        node = Node(settings, registry, clock)
        result: list[bool] = []
        async with anyio.create_task_group() as group:
            group.start_soon(_stop_on_signal, node.stop)
            result.append(await node.run())
            group.cancel_scope.cancel()
        return result[0]


@asynccontextmanager
async def running_node(
    settings: Settings,
    registry: Registry,
    clock: Clock,
    random_source: random.Random | None = None,
) -> AsyncIterator[Node]:
    """Run a node in this process while the body of the context runs.

    The context must be entered inside ``capnp.kj_loop()``.
    """
    node = Node(settings, registry, clock, random_source)
    async with anyio.create_task_group() as group:
        group.start_soon(node.run)
        await node.wait_started()
        yield node
        node.stop()


async def _stop_on_signal(stop: Callable[[], None]) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            log_event("signal_received", signal=number.name)
            stop()


async def _serve_rpc(listener: socket.socket, tls: Any, serve: Any) -> None:
    connections: set[Any] = set()

    async def serve_connection(stream: Any) -> None:
        # The event loop holds only weak references to tasks, and nothing else
        # refers to one that waits for the RPC library: it could be collected.
        task = asyncio.current_task()
        connections.add(task)
        try:
            await serve(stream)
        finally:
            connections.discard(task)

    server = await capnp.AsyncIoStream.create_server(
        serve_connection, sock=listener, ssl=tls, backlog=LISTEN_BACKLOG
    )
    async with server:
        await server.serve_forever()


def _listener_settings(settings: Settings) -> list[Any]:
    return [settings.caller, settings.operator, settings.peer]
