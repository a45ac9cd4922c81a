"""Server process of a gateway: start, signals, reload and drain."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable
from contextlib import contextmanager
from functools import partial
from typing import Any, NamedTuple

import anyio
import uvicorn

from lentilshore_kernel import StateChange, log_event, record_state_change
from lentilshore_kernel.metrics import keep_running
from lentilshore_kernel.types import Address

from ..callers.caller_protocol import bind_caller_protocol
from ..callers.gateway import GatewayApplication
from ..clients.fleet_source import FleetSource, GatewayEntry
from ..peers.blame_exchange import BlameExchange
from ..peers.gateway_directory import GatewayDirectory
from ..peers.limit_exchange import LimitExchange
from ..peers.reach_monitor import ReachMonitor
from ..peers.relay import RelayServer
from ..peers.relayed_source import PeerClient, RelayedSource
from ..peers.room_exchange import RoomExchange
from ..state.fleet_view_updater import FleetViewUpdater
from ..state.gateway_context import BALANCER_REMOVAL_S, GatewayContext
from ..state.rollout_controller import RolloutController
from .sockets import create_listener

HEAD_LIMIT_BYTES = 65_536  # request line and headers together
# Idle connections stay open for this multiple of the limit announced to callers.
IDLE_TIMEOUT_FACTOR = 1.5
DRAIN_POLL_S = 0.1
# A stopping node ends once no request has been in flight for this time: a connection
# accepted just before the listener closed may still carry one.
DRAIN_QUIET_S = 0.5
# Reserved at the end of the grace period for a stop, to close the remaining
# connections.
STOP_MARGIN_S = 0.7
# Time in which requests that are not completed get their last answer.
LAST_ANSWERS_S = 0.2
LIMITS_POLL_S = 0.5
# Well below the time that a changed setting may take until it is in force.
SETTINGS_POLL_S = 1.0


class GatewayAddresses(NamedTuple):
    """Addresses at which a gateway listens.

    :param caller: address for callers.
    :param ready: address for the balancer's readiness probes.
    :param metrics: address for metrics and for calls of other gateways, None for none.
    """

    caller: Address
    ready: Address
    metrics: Address | None


class _Server(uvicorn.Server):
    """HTTP server that leaves signals to the gateway."""

    @contextmanager
    def capture_signals(self) -> Any:
        yield


class GatewayServer:
    """One running gateway.

    :param context: components of the gateway.
    :param source: the platform's store.
    :param addresses: addresses at which the gateway listens.
    :param reload: applies changed settings; called at SIGHUP and periodically, since
        settings may change without a signal.
    """

    def __init__(
        self,
        context: GatewayContext,
        source: FleetSource,
        addresses: GatewayAddresses,
        reload: Callable[[], None],
    ) -> None:
        self._context = context
        self._source = source
        self._reload = reload
        self._stop = anyio.Event()
        listening = [a for a in addresses if a is not None]
        self._sockets = [create_listener(address) for address in listening]
        # In the order of the fields of GatewayAddresses.
        ports = [s.getsockname()[1] for s in self._sockets]
        metrics_port = ports[2] if addresses.metrics else 0
        self._directory: GatewayDirectory | None = None
        self._monitor: ReachMonitor | None = None
        self._room: RoomExchange | None = None
        if addresses.metrics is not None:
            self._directory = _create_directory(context, source, addresses.metrics)
            self._monitor = ReachMonitor(context, self._directory)
            self._room = RoomExchange(context, self._directory)
            context.http.report_connections(context.reach)
        relay = RelayServer(context, source, self._monitor, self._room)
        self._application = GatewayApplication(
            context, ports[1], metrics_port, relay.answer
        )
        if self._directory is not None:
            peers = PeerClient(self._directory, context.http, context.metrics)
            self._source = RelayedSource(source, peers, context)
        self._uvicorn_config = _server_config(self._application, context)
        self._server = _Server(self._uvicorn_config)

    async def run(self) -> bool:
        """Run until SIGTERM or SIGINT, then drain.

        :returns: whether all requests in flight were completed.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self._receive_signals)
            FleetViewUpdater(self._context, self._source).start(group)
            controller = RolloutController(self._context, self._source)
            tasks = [controller.run, self._apply_limits, self._poll_settings]
            if self._directory is not None:
                limits = LimitExchange(self._context, self._directory)
                blame = BlameExchange(self._context, self._directory)
                tasks += [self._directory.run, limits.run, blame.run]
            for component in (self._monitor, self._room):
                if component is not None:
                    tasks.append(component.run)
            for task in tasks:
                group.start_soon(
                    keep_running, task, self._context.metrics, self._context.clock
                )
            group.start_soon(partial(self._server.serve, sockets=self._sockets))
            gc.collect()
            gc.freeze()
            log_event("node_started", node=self._context.node_name)
            await self._stop.wait()
            await self._drain()
            group.cancel_scope.cancel()
        all_completed = self._context.in_flight == 0
        log_event(
            "node_stopped",
            node=self._context.node_name,
            whole=all_completed,
            in_flight=self._context.in_flight,
        )
        return all_completed

    async def _receive_signals(self) -> None:
        numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        try:
            with anyio.open_signal_receiver(*numbers) as signals:
                async for number in signals:
                    log_event("signal_received", signal=number.name)
                    if number is signal.SIGHUP:
                        self._reload()
                    else:
                        self._stop.set()
        finally:
            # Their default action would end the process before it has stopped.
            for number in (signal.SIGTERM, signal.SIGHUP):
                signal.signal(number, signal.SIG_IGN)

    async def _apply_limits(self) -> None:
        """Apply the configured idle timeout of connections; log changed readiness."""
        logged_ready = False
        while True:
            route_table = self._context.view.table
            if route_table is not None:
                idle_timeout_s = (
                    int(route_table.limits.idle_timeout_s * IDLE_TIMEOUT_FACTOR) + 1
                )
                self._uvicorn_config.timeout_keep_alive = idle_timeout_s
            if logged_ready != self._context.ready:
                logged_ready = self._context.ready
                record_state_change(
                    self._context.metrics,
                    StateChange.READINESS_CHANGED,
                    ready=logged_ready,
                    confirmed_age_s=f"{self._context.view.confirmed_age_s:.2f}",
                )
            await self._context.clock.sleep(LIMITS_POLL_S)

    async def _poll_settings(self) -> None:
        while True:
            await self._context.clock.sleep(SETTINGS_POLL_S)
            self._reload()

    async def _drain(self) -> None:
        """Serve until the balancer has removed the node, then complete requests."""
        clock = self._context.clock
        started_at = clock.monotonic()
        self._context.begin_to_stop()
        log_event("draining", in_flight=self._context.in_flight)
        await clock.sleep(BALANCER_REMOVAL_S)
        self._server.should_exit = True
        grace_s = self._context.bounds.grace_s
        ends_at = started_at + grace_s - STOP_MARGIN_S - LAST_ANSWERS_S
        last_active_at = clock.monotonic()
        # The HTTP server closes the idle connections meanwhile.
        while clock.monotonic() < min(ends_at, last_active_at + DRAIN_QUIET_S):
            await clock.sleep(DRAIN_POLL_S)
            if self._context.in_flight:
                last_active_at = clock.monotonic()
        self._context.grace_over.set()
        if self._context.in_flight:
            await clock.sleep(LAST_ANSWERS_S)


def _create_directory(
    context: GatewayContext, source: FleetSource, address: Address
) -> GatewayDirectory:
    entry = GatewayEntry(context.node_name, address, context.data_centre)
    return GatewayDirectory(
        entry, source, context.clock, context.random, context.metrics
    )


def _server_config(
    application: GatewayApplication, context: GatewayContext
) -> uvicorn.Config:
    return uvicorn.Config(
        application,
        loop="asyncio",
        http=bind_caller_protocol(context.metrics, HEAD_LIMIT_BYTES),
        ws="none",
        log_config=None,
        log_level="critical",
        access_log=False,
        lifespan="off",
        server_header=False,
        proxy_headers=False,
        date_header=False,
        timeout_keep_alive=60,
    )
