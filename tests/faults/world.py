"""Runs nodes of production code against fakes of everything outside them.

A fake clock drives each run. Every call that a node makes passes through
:meth:`World.call`, which injects the armed fault at its step. The fakes
re-implement no decision of the product.
"""

from __future__ import annotations

import random
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import msgspec

from lentilshore_fleet import Change, ConfigurationStore
from lentilshore_fleet.store import StoredObject
from lentilshore_kernel import Incarnation, Settings, load_plugins
from lentilshore_kernel.exceptions import (
    RefusalReason,
    StoreAmbiguousError,
    StoreUnavailableError,
    UpstreamError,
)
from lentilshore_kernel.testing import FakeClock
from lentilshore_kernel.types import Address, Execution
from lentilshore_node.callers.app import CallerApplication
from lentilshore_node.clients.platform import Rating
from lentilshore_node.clients.upstreams import (
    ServiceAnswer,
    StreamChunk,
    Usage,
    WholeAnswer,
)
from lentilshore_node.peers.links import LinkBillCopier, LinkManager, PeerConnection
from lentilshore_node.peers.peer_server import create_peer_bootstrap
from lentilshore_node.programs.assembly import ExternalClients, create_context
from lentilshore_node.programs.background import BackgroundTasks
from lentilshore_protocol import load_peer_schema
from lentilshore_routing import hash_key
from lentilshore_standins import PlatformStandIn

from .records import (
    CallerRecord,
    EngineRun,
    History,
    Removal,
    RevisionSample,
    ServiceRun,
)

CALL_LATENCY_S = 0.001
STALL_S = 30.0
SLOW_CALL_S = 0.8
PAUSE_S = 40.0
PARTITION_S = 45.0
REORDER_DELAY_S = 2.0
SAMPLE_INTERVAL_S = 0.5
SCENARIO_TIMEOUT_S = 1_200.0
ANSWER_TOKENS = 8
TOKEN_INTERVAL_S = 0.05
FIRST_PORT = 20_000

FAULT_KINDS = (
    "refuse",
    "stall",
    "slow",
    "lost",
    "duplicate",
    "reorder",
    "stale",
    "pause",
    "pause_after",
    "crash",
    "crash_after",
    "replace",
    "cut_platform",
    "cut_peers",
    "cut_upstream",
    "cut_both",
    "refuse_twice",
    "lost_twice",
)
PARTITIONS = {
    "cut_platform": ("platform",),
    "cut_peers": ("peers",),
    "cut_upstream": ("upstream",),
    "cut_both": ("platform", "peers"),
}


class RunTooLongError(Exception):
    """A scenario did not end within :data:`SCENARIO_TIMEOUT_S`."""


class NodeCrash(BaseException):  # noqa: N818
    """Stops the code of a crashed node, also inside shielded cancel scopes."""


class ArmedFault(NamedTuple):
    """A fault that is injected at one step of one node.

    :param node: name of the node.
    :param step: name of the step; ``#`` and a number, from 1, select one of its
        calls, the first by default.
    :param kind: one of :data:`FAULT_KINDS`.
    """

    node: str
    step: str
    kind: str


class NodeClock:
    """Clock of one node, whose tasks wait while the node is paused."""

    def __init__(self, world: World, node: WorldNode) -> None:
        self._world = world
        self._node = node
        self._paused_until = 0.0

    def pause(self, seconds: float) -> None:
        """Pause each task of the node at its next wait.

        :param seconds: length of the pause, 0 to end it.
        """
        self._paused_until = self._world.clock.monotonic() + seconds

    def monotonic(self) -> float:
        return self._world.clock.monotonic()

    def wall(self) -> float:
        return self._world.clock.wall()

    async def sleep(self, seconds: float) -> None:
        await self._world.clock.sleep(seconds)
        await self.wait_while_paused()
        if not self._node.alive:
            raise NodeCrash(self._node.name)

    async def wait_while_paused(self) -> None:
        """Wait while the node is paused."""
        while self._paused_until > self._world.clock.monotonic():
            await self._world.clock.sleep(self._paused_until - self.monotonic())

    @contextmanager
    def timeout(self, seconds: float) -> Any:
        with self._world.clock.timeout(seconds) as scope:
            yield scope


class WorldNode:
    """One incarnation of a node: its production parts and its simulated state.

    ``partitioned_from`` names what the node cannot reach: any of ``platform``,
    ``peers`` and ``upstream``.
    """

    def __init__(self, world: World, name: str, data_centre: str, port: int) -> None:
        self.world = world
        self.name = name
        self.data_centre = data_centre
        self.address = Address("127.0.0.1", port)
        self.clock = NodeClock(world, self)
        self.partitioned_from: set[str] = set()
        self.alive = True
        self.task_scope = anyio.CancelScope()
        self.long_polls: set[anyio.CancelScope] = set()
        self.request_scopes: set[anyio.CancelScope] = set()
        self.context: Any = None
        self.background: Any = None
        self.application: Any = None
        self.bootstrap: Any = None

    @property
    def isolated(self) -> bool:
        """Whether the node reaches neither the platform nor its peers."""
        return {"platform", "peers"} <= self.partitioned_from

    def assemble(self, number: int) -> None:
        """Create the production parts of an incarnation of this instance.

        :param number: number of the incarnation.
        """
        world = self.world
        incarnation = Incarnation(self.name, number)
        copier = LinkBillCopier()
        external_clients = ExternalClients(
            NodePlatform(self), NodeEngine(self), NodeService(self), copier
        )
        self.context = create_context(
            world.settings_for(self),
            world.registry,
            self.clock,
            incarnation,
            self.address,
            external_clients,
            random.Random(world.seed * 1000 + number),
        )
        links = LinkManager(self.context, self.connect)
        self.background = BackgroundTasks(self.context, links, copier)
        self.application = CallerApplication(self.context)
        self.bootstrap = create_peer_bootstrap(self.context)
        samples = world.history.samples
        self.context.configuration.on_change(
            lambda _: samples.append(self.sample_revision())
        )

    def sample_revision(self) -> RevisionSample:
        """Return the configuration revision that the node has now."""
        return RevisionSample(
            self.world.clock.monotonic(),
            self.name,
            str(self.context.incarnation),
            self.context.configuration.revision,
            self.isolated,
        )

    async def run(self) -> None:
        """Run the background tasks until the node crashes or is stopped."""
        try:
            with self.task_scope:
                async with anyio.create_task_group() as group:
                    self.background.start(group)
        except BaseExceptionGroup as error:
            if error.split(NodeCrash)[1] is not None:
                raise

    def crash(self) -> None:
        """Cancel the node's background tasks and requests without a drain."""
        self.alive = False
        self.world.history.crashed_incarnations.add(str(self.context.incarnation))
        self.task_scope.cancel()
        for scope in list(self.request_scopes):
            scope.cancel()

    def partition_from(self, targets: tuple[str, ...]) -> None:
        """Partition the node from the platform, its peers or its upstreams.

        :param targets: any of ``platform``, ``peers`` and ``upstream``.
        """
        self.partitioned_from |= set(targets)
        if "platform" in targets:
            for scope in list(self.long_polls):
                scope.cancel()

    async def connect(self, address: Address) -> PeerConnection:
        """Open a link to another node.

        :raises OSError: if that node is down or partitioned.
        """
        await self.world.call(self, "peer.connect", _no_effect, OSError, OSError)
        target = self.world.node_at(address)
        if (
            target is None
            or not target.alive
            or "peers" in (self.partitioned_from | target.partitioned_from)
        ):
            raise OSError("peer is down or partitioned")
        return PeerConnection(FakePeer(self, target), lambda: None)


class FakePeer:
    """Peer protocol between two nodes, which passes message objects in memory."""

    def __init__(self, source: WorldNode, target: WorldNode) -> None:
        self._source = source
        self._target = target
        self._bootstrap = target.bootstrap

    async def exchange(self, message: Any) -> Any:
        schema = load_peer_schema()

        async def effect() -> Any:
            request = schema.Exchange.new_message(**message)
            reply = await self._bootstrap.exchange(request, None)
            return _Reply(reply=schema.Exchange.new_message(**reply))

        return await self._call("peer.exchange", effect)

    async def copyBills(self, owner: str, bills: bytes, watermark: int) -> None:  # noqa: N802
        async def effect() -> None:
            await self._bootstrap.copyBills(owner, bills, watermark, None)

        await self._call("peer.copy", effect)

    async def releaseBills(self, owner: str) -> None:  # noqa: N802
        async def effect() -> None:
            await self._bootstrap.releaseBills(owner, None)

        await self._call("peer.release", effect)

    async def _call(self, step: str, effect: Callable[[], Awaitable[Any]]) -> Any:
        async def deliver() -> Any:
            same_incarnation = self._target.bootstrap is self._bootstrap
            partitioned = "peers" in (
                self._source.partitioned_from | self._target.partitioned_from
            )
            if not self._target.alive or partitioned or not same_incarnation:
                raise OSError("peer is down, replaced or partitioned")
            await self._target.clock.wait_while_paused()
            return await effect()

        return await self._source.world.call(
            self._source, step, deliver, OSError, OSError
        )


class _Reply(NamedTuple):
    reply: Any


class NodePlatform:
    """The platform, as one node calls it."""

    def __init__(self, node: WorldNode) -> None:
        self._node = node
        self._platform = node.world.platform
        self.store = NodeStore(node)

    async def instances(self, after: int) -> Any:
        return await long_poll(
            self._node, "watch instances", lambda: self._platform.instances(after)
        )

    async def ratings(self, after: int, incarnation: str) -> list[Rating]:
        async def effect() -> list[Rating]:
            return [Rating(**r) for r in self._platform.ratings(after, incarnation)]

        return await long_poll(self._node, "get ratings", effect)


class NodeStore:
    """The object API of the platform, as one node calls it."""

    def __init__(self, node: WorldNode) -> None:
        self._node = node
        self._store = node.world.platform.store

    async def get(self, key: str) -> Any:
        return await self._read(
            f"get {_object_kind(key)}", lambda: self._store.get(key)
        )

    async def list(self, prefix: str) -> Any:
        return await self._read(
            f"list {_object_kind(prefix)}", lambda: self._store.list(prefix)
        )

    async def put(self, key: str, value: Any, expected_version: int) -> Any:
        return await self._write(
            f"put {_object_kind(key)}",
            lambda: self._store.put(key, value, expected_version),
        )

    async def delete(self, key: str, expected_version: int) -> None:
        await self._write(
            f"delete {_object_kind(key)}",
            lambda: self._store.delete(key, expected_version),
        )

    async def watch(self, key: str, after_version: int) -> Any:
        return await long_poll(
            self._node,
            f"watch {_object_kind(key)}",
            lambda: self._store.watch(key, after_version),
        )

    async def _read(self, step: str, effect: Callable[[], Awaitable[Any]]) -> Any:
        lost_error = StoreUnavailableError
        return await self._node.world.call(
            self._node, step, effect, lost_error, lost_error
        )

    async def _write(self, step: str, effect: Callable[[], Awaitable[Any]]) -> Any:
        return await self._node.world.call(
            self._node, step, effect, StoreUnavailableError, StoreAmbiguousError
        )


class NodeEngine:
    """Engines, as one node calls them."""

    def __init__(self, node: WorldNode) -> None:
        self._node = node
        self._world = node.world

    async def complete(self, replica: Any, call: Any) -> WholeAnswer:
        async def effect() -> WholeAnswer:
            self._record_run(replica, call)
            tokens = expected_tokens(call.version, prompt_of(call.body))
            await self._world.clock.sleep(TOKEN_INTERVAL_S * len(tokens))
            body = self._completion_body(call, len(tokens))
            text = " ".join(tokens)
            body["choices"] = [{"message": {"content": text}}]
            self._world.rate_answer(call)
            usage = Usage(10, len(tokens), confidence_of(call))
            return WholeAnswer(body, text, usage)

        return await self._world.call(
            self._node,
            "engine.complete",
            effect,
            _not_run_error,
            _unknown_execution_error,
        )

    @asynccontextmanager
    async def stream(self, replica: Any, call: Any) -> Any:
        async def open_stream() -> None:
            self._record_run(replica, call)

        await self._world.call(
            self._node,
            "engine.open",
            open_stream,
            _not_run_error,
            _unknown_execution_error,
        )
        yield self._chunks(call)

    async def _chunks(self, call: Any) -> Any:
        tokens = expected_tokens(call.version, prompt_of(call.body))
        for offset in range(call.first_token_offset, len(tokens)):
            if self._world.upstreams_unreachable(self._node):
                raise _unknown_execution_error("connection to the engine was lost")

            async def token(offset: int = offset) -> StreamChunk:
                await self._world.clock.sleep(TOKEN_INTERVAL_S)
                return StreamChunk(token_event(offset, tokens[offset]), offset + 1)

            yield await self._world.call(
                self._node,
                "engine.token",
                token,
                _unknown_execution_error,
                _unknown_execution_error,
            )

        async def end() -> StreamChunk:
            self._world.rate_answer(call)
            usage = Usage(10, len(tokens), confidence_of(call))
            return StreamChunk(b"event: end\n\ndata: [DONE]\n\n", len(tokens), usage)

        yield await self._world.call(
            self._node,
            "engine.end",
            end,
            _unknown_execution_error,
            _unknown_execution_error,
        )

    async def cancel(self, replica: Any, request_id: str) -> None:
        await self._world.clock.sleep(CALL_LATENCY_S)

    async def fetch_load(self, replica: Any) -> tuple[float, float]:
        return 0.0, 1.0

    async def fetch_cache_events(self, replica: Any, after: int) -> list[Any]:
        return []

    def _record_run(self, replica: Any, call: Any) -> None:
        world, node = self._world, self._node
        world.history.engine_runs.append(
            EngineRun(
                world.clock.monotonic(),
                node.name,
                call.request_id,
                call.version,
                prompt_of(call.body).partition("|")[0],
                replica.name,
                node.isolated,
            )
        )

    def _completion_body(self, call: Any, count: int) -> dict[str, Any]:
        usage = {"prompt_tokens": 10, "completion_tokens": count}
        return {"id": call.request_id, "request_id": call.request_id, "usage": usage}


class NodeService:
    """Plain services, as one node calls them."""

    def __init__(self, node: WorldNode) -> None:
        self._node = node

    async def call(self, replica: Any, call: Any) -> ServiceAnswer:
        async def effect() -> ServiceAnswer:
            world = self._node.world
            run = ServiceRun(
                world.clock.monotonic(), call.idempotency_key, call.request_id
            )
            world.history.service_runs.append(run)
            await world.clock.sleep(TOKEN_INTERVAL_S)
            return ServiceAnswer(200, "application/json", b'{"ok":true}')

        return await self._node.world.call(
            self._node, "service.call", effect, _not_run_error, _unknown_execution_error
        )


class World:
    """Nodes, platform and callers of one run.

    :param seed: seed of every random choice.
    :param armed_fault: the fault to inject, None for a run without one.
    """

    def __init__(self, seed: int, armed_fault: ArmedFault | None = None) -> None:
        self.seed = seed
        self.armed_fault = armed_fault
        self.injections = 0
        self.clock = FakeClock()
        self.history = History()
        self.platform = PlatformStandIn(self.clock, rating_lag_s=3.0)
        self.registry = load_plugins()
        self.nodes: dict[str, WorldNode] = {}
        self.steps: Counter[tuple[str, str]] = Counter()
        self.group: Any = None
        self._incarnation_count = 0
        self._faults_enabled = False
        self._bad_versions: set[str] = set()
        self._last_port = FIRST_PORT
        random.seed(seed)

    async def start(self, data_centres: dict[str, str]) -> None:
        """Start the nodes and the sampling of their revisions.

        :param data_centres: data centre by name of the instance.
        """
        for name, data_centre in data_centres.items():
            self._last_port += 1
            self.nodes[name] = WorldNode(self, name, data_centre, self._last_port)
        for node in self.nodes.values():
            self._start_node(node)
        self.group.start_soon(self._sample_revisions)

    def replace(self, name: str) -> None:
        """Start a new incarnation of an instance."""
        old = self.nodes[name]
        node = WorldNode(self, name, old.data_centre, old.address.port)
        self.nodes[name] = node
        self._start_node(node)

    def _start_node(self, node: WorldNode) -> None:
        self._incarnation_count += 1
        node.assemble(int(self.clock.wall() * 1000) + self._incarnation_count)
        self.group.start_soon(node.run)

    def settings_for(self, node: WorldNode) -> Settings:
        """Return the settings of a node, with all other nodes as its peers."""
        listener = {"host": "127.0.0.1", "port": 0}
        return Settings.model_validate(
            {
                "instance": node.name,
                "data_centre": node.data_centre,
                "caller": listener,
                "operator": listener,
                "peer": listener,
                "platform": listener,
                "session_keys": [{"id": "k1", "file": str(_session_key_file())}],
                "peers": [
                    {
                        "name": other.name,
                        "data_centre": other.data_centre,
                        "host": other.address.host,
                        "port": other.address.port,
                    }
                    for other in self.nodes.values()
                    if other is not node
                ],
            }
        )

    def node_at(self, address: Address) -> WorldNode | None:
        """Return the node that listens at an address, None if there is none."""
        found = (node for node in self.nodes.values() if node.address == address)
        return next(found, None)

    def enable_faults(self) -> None:
        """Start counting steps, so that the armed fault can be injected."""
        self.steps.clear()
        self._faults_enabled = True

    def disable_faults(self) -> None:
        """Stop counting steps, so that no fault is injected any more."""
        self._faults_enabled = False

    async def call(
        self,
        node: WorldNode,
        step: str,
        effect: Callable[[], Awaitable[Any]],
        refused_error: Callable[..., Exception],
        lost_error: Callable[..., Exception],
    ) -> Any:
        """Make a call of a node and inject the fault that is armed for its step.

        :param node: the node that makes the call.
        :param step: name of the step.
        :param effect: performs the call at its receiver and returns the reply.
        :param refused_error: error of a call that certainly had no effect.
        :param lost_error: error of a call whose reply was lost.
        :returns: the reply.
        :raises NodeCrash: if the node crashes before the call returns.
        """
        self._require_alive(node)
        await self.clock.sleep(CALL_LATENCY_S)
        await node.clock.wait_while_paused()
        self._require_alive(node)
        kind = self._next_fault(node, step)
        if kind in PARTITIONS:
            node.partition_from(PARTITIONS[kind])
            self.group.start_soon(self._heal_later, node, PARTITIONS[kind])
        if self._is_partitioned(node, step):
            raise refused_error("network partition")
        if kind in ("refuse", "refuse_twice"):
            raise refused_error("injected fault: call refused")
        if kind == "stall":
            await self.clock.sleep(STALL_S)
            raise lost_error("injected fault: no reply")
        if kind == "slow":
            await self.clock.sleep(SLOW_CALL_S)
        if kind == "pause":
            node.clock.pause(PAUSE_S)
            await node.clock.wait_while_paused()
        if kind == "reorder":
            self.group.start_soon(self._apply_late, effect)
            raise lost_error("injected fault: reply lost, effect delayed")
        if kind in ("crash", "replace"):
            await self._crash_node(node, kind)
        result = await effect()
        if kind == "stale":
            result = self._oldest_version(result)
        if kind == "duplicate":
            await self._apply_again(step, effect)
        if kind == "crash_after":
            await self._crash_node(node, "crash")
        if kind in ("lost", "lost_twice"):
            raise lost_error("injected fault: reply lost")
        if kind == "pause_after":
            node.clock.pause(PAUSE_S)
        await node.clock.wait_while_paused()
        self._require_alive(node)
        return result

    def _require_alive(self, node: WorldNode) -> None:
        if not node.alive:
            raise NodeCrash(node.name)

    def heal(self) -> None:
        """End every partition and every pause."""
        for node in self.nodes.values():
            node.partitioned_from = set()
            node.clock.pause(0.0)

    def rate_answer(self, call: Any) -> None:
        """Have the rating service rate an answer."""
        self.platform.add_rating(
            call.request_id, call.version not in self._bad_versions
        )

    def mark_bad(self, version: str) -> None:
        """Have the rating service rate every answer of a version as bad."""
        self._bad_versions.add(version)

    def upstreams_unreachable(self, node: WorldNode) -> bool:
        """Return whether a node is partitioned from its upstreams."""
        return "upstream" in node.partitioned_from

    async def change(self, name: str, updated: dict[str, Any]) -> int:
        """Make an operator's change directly in the platform's store.

        :returns: the new revision.
        """
        store = ConfigurationStore(self.platform.store, self.clock)
        stored = await self.platform.store.get("config/head")
        revision = stored.value["revision"] if stored else 0
        new_revision = await store.change(Change(name, revision, updated))
        self.history.accepted_changes.append((self.clock.monotonic(), new_revision))
        return new_revision

    def record_withdrawal(self, version: str) -> None:
        """Record that a withdrawal was accepted now."""
        self.history.withdrawals.append(Removal(self.clock.monotonic(), version))

    async def send(self, node: WorldNode, record: CallerRecord) -> CallerRecord:
        """Send a caller's request to a node and wait for its end."""
        record.sent_at = self.clock.monotonic()
        self.history.caller_records.append(record)
        if not node.alive:
            record.interrupted = True
            return record
        scope = anyio.CancelScope()
        node.request_scopes.add(scope)
        try:
            with scope:
                await self._serve(node, record)
        except (NodeCrash, BaseExceptionGroup):
            if node.alive:
                raise
        node.request_scopes.discard(scope)
        record.interrupted = not record.finished
        record.finished_at = self.clock.monotonic()
        return record

    async def _serve(self, node: WorldNode, record: CallerRecord) -> None:
        sent = anyio.Event()
        disconnected = anyio.Event()

        async def receive() -> Any:
            if not sent.is_set():
                sent.set()
                return {"type": "http.request", "body": _request_body(record)}
            await disconnected.wait()
            return {"type": "http.disconnect"}

        async def send(message: Any) -> None:
            await self.clock.sleep(CALL_LATENCY_S)
            if message["type"] == "http.response.start":
                record.status = message["status"]
                record.headers = {
                    k.decode().lower(): v.decode() for k, v in message["headers"]
                }
                return
            record.body += message["body"]
            record.finished = not message["more_body"]

        async def disconnect() -> None:
            await self.clock.sleep(3 * TOKEN_INTERVAL_S)
            disconnected.set()

        async with anyio.create_task_group() as group:
            if record.disconnects_early:
                group.start_soon(disconnect)
            await node.application(_http_scope(record), receive, send)
            group.cancel_scope.cancel()

    def _next_fault(self, node: WorldNode, step: str) -> str:
        if not self._faults_enabled:
            return ""
        self.steps[node.name, step] += 1
        armed_fault = self.armed_fault
        if armed_fault is None or armed_fault.node != node.name:
            return ""
        name, _, number = armed_fault.step.partition("#")
        count = self.steps[node.name, step]
        first = int(number or 1)
        last = first + 1 if armed_fault.kind.endswith("_twice") else first
        if name != step or not first <= count <= last:
            return ""
        self.injections += 1
        return armed_fault.kind

    def _is_partitioned(self, node: WorldNode, step: str) -> bool:
        if step.startswith(("engine", "service")):
            return "upstream" in node.partitioned_from
        if step.startswith("peer"):
            return "peers" in node.partitioned_from
        return "platform" in node.partitioned_from

    def _oldest_version(self, result: Any) -> Any:
        """Return the oldest version of an object, as a lagging store may."""
        if not isinstance(result, StoredObject):
            return result
        versions = self.platform.store.history[result.key]
        return versions[0]

    async def _apply_late(self, effect: Callable[[], Awaitable[Any]]) -> None:
        await self.clock.sleep(REORDER_DELAY_S)
        try:
            await effect()
        except (Exception, NodeCrash):  # noqa: BLE001
            return

    async def _apply_again(
        self, step: str, effect: Callable[[], Awaitable[Any]]
    ) -> None:
        if step.startswith(("engine", "service", "watch")):
            return
        try:
            await effect()
        except Exception:  # noqa: BLE001
            return

    async def _crash_node(self, node: WorldNode, kind: str) -> None:
        node.crash()
        if kind == "replace":
            self.group.start_soon(self._replace_later, node)
        raise NodeCrash(node.name)

    async def _replace_later(self, node: WorldNode) -> None:
        await self.clock.sleep(0.5)
        self.replace(node.name)

    async def _heal_later(self, node: WorldNode, targets: tuple[str, ...]) -> None:
        await self.clock.sleep(PARTITION_S)
        node.partitioned_from -= set(targets)

    async def _sample_revisions(self) -> None:
        until = self.clock.monotonic() + SCENARIO_TIMEOUT_S
        while True:
            if self.clock.monotonic() > until:
                raise RunTooLongError("scenario did not end within SCENARIO_TIMEOUT_S")
            await self.clock.sleep(SAMPLE_INTERVAL_S)
            for node in self.nodes.values():
                paused = node.clock._paused_until > self.clock.monotonic()
                if not node.alive or paused:
                    continue
                self.history.samples.append(node.sample_revision())


async def long_poll(
    node: WorldNode, step: str, effect: Callable[[], Awaitable[Any]]
) -> Any:
    """Make a long poll that fails once the node is partitioned from the platform."""

    async def wait() -> Any:
        with anyio.CancelScope() as scope:
            node.long_polls.add(scope)
            try:
                return await effect()
            finally:
                node.long_polls.discard(scope)
        raise StoreUnavailableError("long poll was interrupted by a partition")

    lost_error = StoreUnavailableError
    return await node.world.call(node, step, wait, lost_error, lost_error)


def run_world(world: World, scenario: Callable[[World], Awaitable[None]]) -> History:
    """Run a scenario and return what was observed from outside the nodes."""

    async def run() -> None:
        async with anyio.create_task_group() as group:
            world.group = group
            await scenario(world)
            group.cancel_scope.cancel()

    anyio.run(world.clock.run, run)
    store = world.platform.store
    world.history.objects = {k: v.value for k, v in store.objects.items()}
    world.history.object_values = {
        key: [item.value for item in items] for key, items in store.history.items()
    }
    return world.history


def prompt_of(body: dict[str, Any]) -> str:
    """Return the prompt of a completion's body."""
    return body["messages"][-1]["content"]


def expected_tokens(version: str, prompt: str) -> list[str]:
    """Return the one correct answer of a version to a prompt, token by token."""
    return [f"{version}:{prompt}:{index}" for index in range(ANSWER_TOKENS)]


def token_event(offset: int, token: str) -> bytes:
    """Return the server-sent event of a token."""
    return b"id: %d\ndata: %b\n\n" % (offset, token.encode())


def confidence_of(call: Any) -> float:
    """Return the confidence of an answer, low for hard prompts on ``small``."""
    hard = "|hard|" in prompt_of(call.body) and call.version.startswith("small")
    return 0.05 if hard else 0.95


def customer_record(key: str, models: list[str]) -> dict[str, Any]:
    """Return the configuration record of a customer."""
    return {
        "key_hashes": [hash_key(key)],
        "models": models,
        "services": ["register"],
    }


def _request_body(record: CallerRecord) -> bytes:
    if record.service:
        return msgspec.json.encode({"entry": record.prompt})
    return msgspec.json.encode(
        {
            "model": record.model,
            "messages": [{"role": "user", "content": record.prompt}],
            "max_tokens": 16,
            "stream": record.stream,
        }
    )


def _http_scope(record: CallerRecord) -> dict[str, Any]:
    headers = {"authorization": f"Bearer key-{record.customer}"}
    if record.session:
        headers["lentilshore-session"] = record.session
    if record.idempotency_key:
        headers["idempotency-key"] = record.idempotency_key
    path = f"/v1/services/{record.model}" if record.service else "/v1/chat/completions"
    return {
        "type": "http",
        "method": "POST",
        "path": path,
        "headers": [(k.encode(), v.encode()) for k, v in headers.items()],
    }


def _object_kind(key: str) -> str:
    if key in ("config/head", "learned/merged", "shares/table", "leases/leader"):
        return key
    return key.partition("/")[0] if not key.startswith("config/") else "config/part"


def _not_run_error(detail: str) -> UpstreamError:
    return UpstreamError(RefusalReason.UPSTREAM_FAILED, Execution.NOT_RUN, detail)


def _unknown_execution_error(detail: str) -> UpstreamError:
    return UpstreamError(RefusalReason.UPSTREAM_FAILED, Execution.UNKNOWN, detail)


async def _no_effect() -> None:
    return None


def _session_key_file() -> Path:
    path = Path(tempfile.gettempdir()) / "lentilshore-test-session.key"
    if not path.exists():
        path.write_text("test session key")
    return path
