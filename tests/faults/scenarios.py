"""One scenario for each path of the product."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import anyio

from lentilshore_fleet import Change, ConfigurationStore
from lentilshore_kernel.exceptions import (
    RevisionConflictError,
    StoreError,
)

from .records import CallerRecord, Withdrawal
from .world import NodeCrash, World, WorldNode, customer_record

NODES = {"a": "west-1", "b": "west-1", "c": "west-2", "d": "west-1"}
READY_CHECK_S = 0.2
WARM_UP_S = 4.0
RETRY_S = 1.5
TRIES = 6
SETTLE_S = 90.0

RECORDS: dict[str, Any] = {
    "model/small": {"input_price": 1.0, "output_price": 2.0},
    "model/large": {"input_price": 9.0, "output_price": 18.0, "default": "large@1"},
    "version/small@1": {"state": "active"},
    "version/large@1": {"state": "active"},
    "version/large@2": {"state": "active"},
    "cascade/answers": {"models": ["small", "large"]},
    "service/register": {"operations": {"tag": {"repeatable": False, "price": 5.0}}},
    "customer/archive": customer_record("key-archive", ["small", "large"]),
    "customer/bureau": customer_record("key-bureau", ["small"]),
}
GROUPS = ["small@1", "large@1", "large@2"]


class Path(NamedTuple):
    """A path of the product and its steps.

    :param scenario: runs the path in a world.
    :param node: name of the node that faults strike, or ``leader``.
    :param steps: steps at which faults strike.
    """

    scenario: Callable[[World], Awaitable[None]]
    node: str
    steps: tuple[str, ...]


async def prepare(world: World) -> None:
    """Start the nodes and wait until they serve."""
    world.platform.set_instances(instances())
    await world.change("setup", RECORDS)
    await world.start(NODES)
    while not all(_serves(node) for node in world.nodes.values()):
        await world.clock.sleep(READY_CHECK_S)
    await world.clock.sleep(WARM_UP_S)
    if world.armed is not None and world.armed.node == "leader":
        world.armed = world.armed._replace(node=leader(world).name)


def instances(leaving: str = "") -> list[dict[str, Any]]:
    """Return the instance list, with one replica leaving if named."""
    engines = [("e1", "engine", GROUPS), ("e2", "engine", GROUPS)]
    return [
        {
            "name": name,
            "role": role,
            "data_centre": "west-1",
            "host": "127.0.0.1",
            "port": 1,
            "groups": groups,
            "state": "leaving" if name == leaving else "live",
        }
        for name, role, groups in [*engines, ("s1", "service", ["register"])]
    ]


def leader(world: World) -> WorldNode:
    """Return the node that holds the leader's lease, else the first."""
    for node in world.nodes.values():
        if node.background.leader.lease.remaining_s > 0:
            return node
    return world.nodes["a"]


async def ask(
    world: World, names: str, prompt: str, model: str = "answers", **fields: Any
) -> CallerRecord:
    """Send a request as a patient caller does, to one node after another.

    :param names: nodes to try in turn, a letter each.
    """
    record = CallerRecord("", "", "", "", 0.0)
    for attempt in range(TRIES):
        name = names[min(attempt, len(names) - 1)]
        customer = prompt.partition("|")[0]
        record = CallerRecord(customer, prompt, model, name, 0.0, **fields)
        await world.send(world.nodes[name], record)
        if record.status == 200 and record.finished:
            break
        await world.clock.sleep(RETRY_S)
    return record


async def follow_session(world: World, record: CallerRecord, label: str) -> None:
    """Continue a session at every node."""
    token = record.headers.get("lentilshore-session", "")
    for number, name in enumerate("cab"):
        prompt = f"archive|easy|{label}#{number}"
        await ask(world, name, prompt, record.model, session=token)


async def operate(
    world: World, names: str, change: str, updated: dict[str, Any]
) -> None:
    """Make a change as an operator does, repeating it until it is made."""
    revision: int | None = None
    for attempt in range(4 * TRIES):
        node = world.nodes[names[attempt % len(names)]]
        if not node.alive:
            await world.clock.sleep(RETRY_S)
            continue
        store = ConfigurationStore(node.context.platform.store, node.clock)
        if revision is None:
            revision = node.context.configuration.revision
        made: list[int] = []
        node_scope = anyio.CancelScope()
        node.callers.add(node_scope)
        with node_scope:
            try:
                made.append(await store.change(Change(change, revision, updated)))
            except RevisionConflictError as error:
                revision = error.current
            except (StoreError, NodeCrash):
                pass
        node.callers.discard(node_scope)
        if made:
            world.history.accepted.append((world.clock.monotonic(), made[0]))
            return
        await world.clock.sleep(RETRY_S)


async def settle(world: World) -> None:
    """Heal everything, replace what has crashed, and let the fleet come to rest."""
    world.untrack()
    world.heal()
    await world.clock.sleep(SETTLE_S / 2)
    for node in list(world.nodes.values()):
        if not node.alive and node.name not in world.history.planned_stops:
            world.replace(node.name)
    await world.clock.sleep(SETTLE_S / 2)
    for node in world.nodes.values():
        if node.alive:
            await node.background.maintenance.flush_bills()


async def request_path(world: World) -> None:
    await prepare(world)
    world.track()
    record = await ask(world, "abc", "archive|easy|s1#0")
    await follow_session(world, record, "s1")
    await ask(world, "abc", "bureau|easy|s2#0")
    await settle(world)


async def stream_path(world: World) -> None:
    await prepare(world)
    world.track()
    record = await ask(world, "abc", "archive|easy|s1#0", "large", stream=True)
    await follow_session(world, record, "s1")
    await ask(world, "a", "archive|easy|s3#0", "large", stream=True, left=True)
    await settle(world)


async def session_path(world: World) -> None:
    await prepare(world)
    record = await ask(world, "a", "archive|easy|s1#0", "large")
    world.track()
    large = RECORDS["model/large"] | {"default": "large@2"}
    await operate(world, "bc", "default", {"model/large": large})
    await world.clock.sleep(5.0)
    await follow_session(world, record, "s1")
    await ask(world, "abc", "archive|easy|s5#0", "large")
    await world.clock.sleep(10.0)
    await follow_session(world, record, "s1")
    await settle(world)


async def cascade_path(world: World) -> None:
    await prepare(world)
    world.track()
    record = await ask(world, "abc", "archive|hard|s1#0")
    await ask(world, "abc", "archive|hard|s2#0", stream=True)
    await ask(world, "abc", "bureau|hard|s4#0")
    await follow_session(world, record, "s1")
    await settle(world)


async def single_run_path(world: World) -> None:
    await prepare(world)
    world.track()
    tag = {"service": True, "key": "tag-1"}
    await ask(world, "abc", "archive|tag|t1#0", "register/tag", **tag)
    await ask(world, "bca", "archive|tag|t1#0", "register/tag", **tag)
    async with anyio.create_task_group() as group:
        both = {"service": True, "key": "tag-2"}
        for name in ("a", "b"):

            async def send(name: str = name) -> None:
                await ask(world, name, "archive|tag|t2#0", "register/tag", **both)

            group.start_soon(send)
    await settle(world)


async def rollout_path(world: World) -> None:
    await prepare(world)
    record = {
        "base": "large@1",
        "candidate": "large@2",
        "shares": [0.5, 1.0],
        "stage": 0,
        "state": "running",
        "halted_sessions": "keep",
        "ungraded_budget": 60,
    }
    world.turn_bad("large@2")
    await operate(world, "b", "rollout", {"rollout/large": record})
    world.track()
    async with anyio.create_task_group() as group:
        for number in range(60):
            name = "abc"[number % 3]
            group.start_soon(ask, world, name, f"archive|easy|r{number}#0", "large")
            await world.clock.sleep(0.3)
    await world.clock.sleep(60.0)
    await settle(world)
    view = world.nodes["b"].context.catalog
    world.history.halts.append(("large@2", view.record("rollout", "large")["state"]))


async def withdrawal_path(world: World) -> None:
    await prepare(world)
    first = await ask(world, "b", "archive|easy|s1#0", "large")
    world.track()
    state = {"version/large@1": {"state": "withdrawn"}}
    await operate(world, "abc", "withdraw", state)
    world.history.withdrawals.append(Withdrawal(world.clock.monotonic(), "large@1"))
    token = first.headers.get("lentilshore-session", "")
    for number in range(8):
        for name in "abc":
            record = CallerRecord(
                "archive",
                f"archive|easy|s1#{number}",
                "large",
                name,
                0.0,
                session=token,
            )
            await world.send(world.nodes[name], record)
            fresh = CallerRecord(
                "archive", f"archive|easy|n{number}{name}#0", "large", name, 0.0
            )
            await world.send(world.nodes[name], fresh)
        await world.clock.sleep(2.0)
    await settle(world)


async def configuration_path(world: World) -> None:
    await prepare(world)
    world.track()
    async with anyio.create_task_group() as group:
        for name, price in (("ab", 3.0), ("ba", 4.0)):
            model = {"input_price": price, "output_price": 2.0}
            group.start_soon(
                operate, world, name, f"price-{name}", {"model/small": model}
            )
    bulk = {
        f"customer/bulk-{number}": customer_record(f"bulk-{number}", ["small"] * 400)
        for number in range(130)
    }
    await operate(world, "abc", "bulk", bulk)
    await ask(world, "abc", "archive|easy|s1#0")
    await world.clock.sleep(20.0)
    await settle(world)


async def lease_path(world: World) -> None:
    await prepare(world)
    world.track()
    for number in range(6):
        await ask(world, "abc"[number % 3], f"archive|easy|l{number}#0")
        await world.clock.sleep(6.0)
    await settle(world)


async def bill_path(world: World) -> None:
    await prepare(world)
    world.track()
    for number in range(4):
        await ask(world, "abc", f"archive|easy|b{number}#0")
    await world.clock.sleep(40.0)
    for number in range(4, 6):
        await ask(world, "abc", f"archive|easy|b{number}#0")
    await settle(world)


async def keeper_path(world: World) -> None:
    """The peer that holds copies stops, then the owner of the bills crashes.

    An owner that is cut off from everybody by then is spared: nobody else can
    have its bills.
    """
    await prepare(world)
    for number in range(3):
        await ask(world, "a", f"archive|easy|k{number}#0")
    world.track()
    world.history.planned_stops.add("c")
    await stop_node(world, world.nodes["c"])
    await world.clock.sleep(5.0)
    if not world.nodes["a"].isolated and world.nodes["a"].alive:
        world.nodes["a"].crash()
    world.history.planned_stops.discard("c")
    world.replace("c")
    await settle(world)


async def lost_keeper_path(world: World) -> None:
    """The peer that holds copies crashes, then the owner of the bills."""
    await prepare(world)
    for number in range(3):
        await ask(world, "a", f"archive|easy|k{number}#0")
    world.track()
    world.nodes["c"].crash()
    await world.clock.sleep(6.0)
    if not world.nodes["a"].isolated and world.nodes["a"].alive:
        world.nodes["a"].crash()
    await settle(world)


async def stop_path(world: World) -> None:
    await prepare(world)
    node = world.nodes["a"]
    await ask(world, "a", "archive|easy|p0#0")
    world.track()
    async with anyio.create_task_group() as group:
        for number in range(3):
            stream = number != 1
            prompt = f"archive|easy|p{number}#1"
            record = CallerRecord("archive", prompt, "large", "a", 0.0, stream=stream)
            group.start_soon(world.send, node, record)
        await world.clock.sleep(0.1)
        world.history.planned_stops.add("a")
        group.start_soon(stop_node, world, node)
    await ask(world, "bc", "archive|easy|p4#0")
    await settle(world)
    world.history.planned_stops.discard("a")
    if not world.nodes["a"].alive:
        world.replace("a")
    await world.clock.sleep(10.0)
    await ask(world, "ab", "archive|easy|p5#0")
    await world.clock.sleep(40.0)
    world.history.planned_stops.add("a")


async def stop_node(world: World, node: WorldNode) -> None:
    """Stop a node in good order."""
    scope = anyio.CancelScope()
    node.callers.add(scope)
    try:
        with scope:
            await node.background.drain(lambda: None, anyio.Event())
            await node.background.hand_over()
    except NodeCrash:
        return
    node.callers.discard(scope)
    if node.alive:
        node.alive = False
        node.scope.cancel()


async def rejoin_path(world: World) -> None:
    await prepare(world)
    node = world.nodes["a"]
    node.cut_off(("platform", "peers"))
    await operate(world, "bc", "during", {"model/small": {**RECORDS["model/small"]}})
    for number in range(4):
        await ask(world, "a", f"archive|easy|j{number}#0")
        tag = {"service": True, "key": f"cut-{number}"}
        record = CallerRecord(
            "archive", "archive|tag|x", "register/tag", "a", 0.0, **tag
        )
        await world.send(node, record)
        await world.clock.sleep(10.0)
    world.track()
    node.cut = set()
    await world.clock.sleep(8.0)
    await ask(world, "abc", "archive|easy|j9#0")
    await world.clock.sleep(35.0)
    await settle(world)


async def leaving_path(world: World) -> None:
    await prepare(world)
    await ask(world, "a", "archive|easy|v0#0")
    world.track()
    world.platform.set_instances(instances(leaving="e1"))
    world.history.departures.append(Withdrawal(world.clock.monotonic(), "e1"))
    for number in range(8):
        for name in "abc":
            await ask(world, name, f"archive|easy|v{number}{name}#0")
        await world.clock.sleep(1.0)
    await settle(world)


PATHS: dict[str, Path] = {
    "request": Path(request_path, "a", ("engine.complete", "peer.copy")),
    "stream": Path(
        stream_path, "a", ("engine.open", "engine.token#3", "engine.end", "peer.copy")
    ),
    "session": Path(session_path, "a", ("watch config/head", "engine.complete")),
    "cascade": Path(cascade_path, "a", ("engine.complete#1", "engine.complete#2")),
    "single_run": Path(
        single_run_path,
        "a",
        ("put claims#1", "service.call", "put claims#2", "peer.copy"),
    ),
    "rollout": Path(
        rollout_path,
        "leader",
        ("list reports", "put learned/merged", "put config/head", "put reports"),
    ),
    "withdrawal": Path(
        withdrawal_path,
        "a",
        ("get config/head", "put config/head", "watch config/head", "peer.exchange"),
    ),
    "configuration": Path(
        configuration_path,
        "a",
        (
            "get config/head",
            "put config/head",
            "put config/part",
            "get config/part",
            "watch config/head#2",
        ),
    ),
    "lease": Path(lease_path, "leader", ("get leases/leader", "put leases/leader")),
    "bill": Path(bill_path, "a", ("peer.copy#2", "put bills")),
    "keeper": Path(keeper_path, "c", ("put bills", "peer.exchange")),
    "lost_keeper": Path(lost_keeper_path, "a", ("peer.copy", "peer.exchange")),
    "stop": Path(
        stop_path,
        "a",
        ("engine.token#5", "peer.copy", "put bills", "peer.release", "peer.exchange"),
    ),
    "rejoin": Path(
        rejoin_path, "a", ("peer.connect", "peer.exchange", "put bills", "put reports")
    ),
    "leaving": Path(leaving_path, "a", ("watch instances", "peer.exchange")),
}


def _serves(node: WorldNode) -> bool:
    return node.context.ready and bool(node.context.placement.groups)
