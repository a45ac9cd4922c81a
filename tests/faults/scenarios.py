"""Scenarios of the fault matrix, one for each code path of the product."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import anyio

from lentilshore_fleet import Change, ConfigurationStore
from lentilshore_kernel.exceptions import (
    RevisionConflictError,
    StoreError,
)

from .records import CallerRecord, Removal
from .world import NodeCrash, World, WorldNode, customer_record

NODES = {"a": "west-1", "b": "west-1", "c": "west-2", "d": "west-1"}
READY_POLL_INTERVAL_S = 0.2
WARM_UP_S = 4.0
RETRY_INTERVAL_S = 1.5
MAX_ATTEMPTS = 6
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


class Scenario(NamedTuple):
    """A scenario and the steps at which faults are injected into it.

    :param run: runs the scenario in a world.
    :param node: name of the node whose calls fail, or ``leader``.
    :param steps: names of the steps, as in :class:`ArmedFault`.
    """

    run: Callable[[World], Awaitable[None]]
    node: str
    steps: tuple[str, ...]


async def start_fleet(world: World) -> None:
    """Start the nodes, wait until they serve and resolve the node of the fault."""
    world.platform.set_instances(list_instances())
    await world.change("setup", RECORDS)
    await world.start(NODES)
    while not all(_is_serving(node) for node in world.nodes.values()):
        await world.clock.sleep(READY_POLL_INTERVAL_S)
    await world.clock.sleep(WARM_UP_S)
    if world.armed_fault is not None and world.armed_fault.node == "leader":
        world.armed_fault = world.armed_fault._replace(node=leader_node(world).name)


def list_instances(leaving: str = "") -> list[dict[str, Any]]:
    """Return the instance list of the platform.

    :param leaving: name of a replica that is leaving, empty for none.
    """
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


def leader_node(world: World) -> WorldNode:
    """Return the node that holds the leader lease, the first node if none does."""
    for node in world.nodes.values():
        if node.background.leader.lease.remaining_s > 0:
            return node
    return world.nodes["a"]


async def send_with_retries(
    world: World, node_names: str, prompt: str, model: str = "answers", **fields: Any
) -> CallerRecord:
    """Send a request until it is answered, at most :data:`MAX_ATTEMPTS` times.

    :param node_names: nodes to try in turn, a letter each; the last is tried again.
    :param fields: further fields of the :class:`CallerRecord`.
    :returns: record of the last attempt.
    """
    record = CallerRecord("", "", "", "", 0.0)
    for attempt in range(MAX_ATTEMPTS):
        name = node_names[min(attempt, len(node_names) - 1)]
        customer = prompt.partition("|")[0]
        record = CallerRecord(customer, prompt, model, name, 0.0, **fields)
        await world.send(world.nodes[name], record)
        if record.status == 200 and record.finished:
            break
        await world.clock.sleep(RETRY_INTERVAL_S)
    return record


async def continue_session(
    world: World, record: CallerRecord, session_name: str
) -> None:
    """Continue a session at nodes ``c``, ``a`` and ``b``."""
    token = record.headers.get("lentilshore-session", "")
    for number, name in enumerate("cab"):
        prompt = f"archive|easy|{session_name}#{number}"
        await send_with_retries(world, name, prompt, record.model, session=token)


async def change_configuration(
    world: World, node_names: str, change: str, updated: dict[str, Any]
) -> None:
    """Make an operator's change through nodes in turn until it is made.

    Gives up after four times :data:`MAX_ATTEMPTS` attempts.

    :param node_names: nodes to try in turn, a letter each.
    :param change: name of the change.
    :param updated: records to write, by key.
    """
    revision: int | None = None
    for attempt in range(4 * MAX_ATTEMPTS):
        node = world.nodes[node_names[attempt % len(node_names)]]
        if not node.alive:
            await world.clock.sleep(RETRY_INTERVAL_S)
            continue
        store = ConfigurationStore(node.context.platform.store, node.clock)
        if revision is None:
            revision = node.context.configuration.revision
        new_revisions: list[int] = []
        scope = anyio.CancelScope()
        node.request_scopes.add(scope)
        with scope:
            try:
                new_revisions.append(
                    await store.change(Change(change, revision, updated))
                )
            except RevisionConflictError as error:
                revision = error.current
            except (StoreError, NodeCrash):
                pass
        node.request_scopes.discard(scope)
        if new_revisions:
            world.history.accepted_changes.append(
                (world.clock.monotonic(), new_revisions[0])
            )
            return
        await world.clock.sleep(RETRY_INTERVAL_S)


async def settle(world: World) -> None:
    """End all faults, replace crashed nodes and wait until the fleet is stable."""
    world.disable_faults()
    world.heal()
    await world.clock.sleep(SETTLE_S / 2)
    for node in list(world.nodes.values()):
        if not node.alive and node.name not in world.history.planned_stops:
            world.replace(node.name)
    await world.clock.sleep(SETTLE_S / 2)
    for node in world.nodes.values():
        if node.alive:
            await node.background.maintenance.flush_bills()


async def request_scenario(world: World) -> None:
    await start_fleet(world)
    world.enable_faults()
    record = await send_with_retries(world, "abc", "archive|easy|s1#0")
    await continue_session(world, record, "s1")
    await send_with_retries(world, "abc", "bureau|easy|s2#0")
    await settle(world)


async def stream_scenario(world: World) -> None:
    await start_fleet(world)
    world.enable_faults()
    record = await send_with_retries(
        world, "abc", "archive|easy|s1#0", "large", stream=True
    )
    await continue_session(world, record, "s1")
    await send_with_retries(
        world, "a", "archive|easy|s3#0", "large", stream=True, disconnects_early=True
    )
    await settle(world)


async def session_scenario(world: World) -> None:
    await start_fleet(world)
    record = await send_with_retries(world, "a", "archive|easy|s1#0", "large")
    world.enable_faults()
    large = RECORDS["model/large"] | {"default": "large@2"}
    await change_configuration(world, "bc", "default", {"model/large": large})
    await world.clock.sleep(5.0)
    await continue_session(world, record, "s1")
    await send_with_retries(world, "abc", "archive|easy|s5#0", "large")
    await world.clock.sleep(10.0)
    await continue_session(world, record, "s1")
    await settle(world)


async def cascade_scenario(world: World) -> None:
    await start_fleet(world)
    world.enable_faults()
    record = await send_with_retries(world, "abc", "archive|hard|s1#0")
    await send_with_retries(world, "abc", "archive|hard|s2#0", stream=True)
    await send_with_retries(world, "abc", "bureau|hard|s4#0")
    await continue_session(world, record, "s1")
    await settle(world)


async def single_run_scenario(world: World) -> None:
    await start_fleet(world)
    world.enable_faults()
    tag = {"service": True, "idempotency_key": "tag-1"}
    await send_with_retries(world, "abc", "archive|tag|t1#0", "register/tag", **tag)
    await send_with_retries(world, "bca", "archive|tag|t1#0", "register/tag", **tag)
    async with anyio.create_task_group() as group:
        both = {"service": True, "idempotency_key": "tag-2"}
        for name in ("a", "b"):

            async def send(name: str = name) -> None:
                await send_with_retries(
                    world, name, "archive|tag|t2#0", "register/tag", **both
                )

            group.start_soon(send)
    await settle(world)


async def rollout_scenario(world: World) -> None:
    await start_fleet(world)
    record = {
        "base": "large@1",
        "candidate": "large@2",
        "shares": [0.5, 1.0],
        "stage": 0,
        "state": "running",
        "halted_sessions": "keep",
        "ungraded_budget": 60,
    }
    world.mark_bad("large@2")
    await change_configuration(world, "b", "rollout", {"rollout/large": record})
    world.enable_faults()
    async with anyio.create_task_group() as group:
        for number in range(60):
            name = "abc"[number % 3]
            group.start_soon(
                send_with_retries, world, name, f"archive|easy|r{number}#0", "large"
            )
            await world.clock.sleep(0.3)
    await world.clock.sleep(60.0)
    await settle(world)
    view = world.nodes["b"].context.catalog
    world.history.rollout_states.append(
        ("large@2", view.record("rollout", "large")["state"])
    )


async def withdrawal_scenario(world: World) -> None:
    await start_fleet(world)
    first_answer = await send_with_retries(world, "b", "archive|easy|s1#0", "large")
    world.enable_faults()
    state = {"version/large@1": {"state": "withdrawn"}}
    await change_configuration(world, "abc", "withdraw", state)
    world.history.withdrawals.append(Removal(world.clock.monotonic(), "large@1"))
    token = first_answer.headers.get("lentilshore-session", "")
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
            new_session = CallerRecord(
                "archive", f"archive|easy|n{number}{name}#0", "large", name, 0.0
            )
            await world.send(world.nodes[name], new_session)
        await world.clock.sleep(2.0)
    await settle(world)


async def configuration_scenario(world: World) -> None:
    await start_fleet(world)
    world.enable_faults()
    async with anyio.create_task_group() as group:
        for name, price in (("ab", 3.0), ("ba", 4.0)):
            model = {"input_price": price, "output_price": 2.0}
            group.start_soon(
                change_configuration,
                world,
                name,
                f"price-{name}",
                {"model/small": model},
            )
    bulk = {
        f"customer/bulk-{number}": customer_record(f"bulk-{number}", ["small"] * 400)
        for number in range(130)
    }
    await change_configuration(world, "abc", "bulk", bulk)
    await send_with_retries(world, "abc", "archive|easy|s1#0")
    await world.clock.sleep(20.0)
    await settle(world)


async def lease_scenario(world: World) -> None:
    await start_fleet(world)
    world.enable_faults()
    for number in range(6):
        await send_with_retries(world, "abc"[number % 3], f"archive|easy|l{number}#0")
        await world.clock.sleep(6.0)
    await settle(world)


async def bill_scenario(world: World) -> None:
    await start_fleet(world)
    world.enable_faults()
    for number in range(4):
        await send_with_retries(world, "abc", f"archive|easy|b{number}#0")
    await world.clock.sleep(40.0)
    for number in range(4, 6):
        await send_with_retries(world, "abc", f"archive|easy|b{number}#0")
    await settle(world)


async def copy_holder_scenario(world: World) -> None:
    """Drain the peer that holds bill copies, then crash the owner of the bills.

    An owner that is isolated by then does not crash, because no other node can
    have its bills.
    """
    await start_fleet(world)
    for number in range(3):
        await send_with_retries(world, "a", f"archive|easy|k{number}#0")
    world.enable_faults()
    world.history.planned_stops.add("c")
    await stop_node(world, world.nodes["c"])
    await world.clock.sleep(5.0)
    if not world.nodes["a"].isolated and world.nodes["a"].alive:
        world.nodes["a"].crash()
    world.history.planned_stops.discard("c")
    world.replace("c")
    await settle(world)


async def lost_copy_holder_scenario(world: World) -> None:
    """Crash the peer that holds bill copies, then the owner of the bills.

    An owner that is isolated by then does not crash.
    """
    await start_fleet(world)
    for number in range(3):
        await send_with_retries(world, "a", f"archive|easy|k{number}#0")
    world.enable_faults()
    world.nodes["c"].crash()
    await world.clock.sleep(6.0)
    if not world.nodes["a"].isolated and world.nodes["a"].alive:
        world.nodes["a"].crash()
    await settle(world)


async def stop_scenario(world: World) -> None:
    await start_fleet(world)
    node = world.nodes["a"]
    await send_with_retries(world, "a", "archive|easy|p0#0")
    world.enable_faults()
    async with anyio.create_task_group() as group:
        for number in range(3):
            stream = number != 1
            prompt = f"archive|easy|p{number}#1"
            record = CallerRecord("archive", prompt, "large", "a", 0.0, stream=stream)
            group.start_soon(world.send, node, record)
        await world.clock.sleep(0.1)
        world.history.planned_stops.add("a")
        group.start_soon(stop_node, world, node)
    await send_with_retries(world, "bc", "archive|easy|p4#0")
    await settle(world)
    world.history.planned_stops.discard("a")
    if not world.nodes["a"].alive:
        world.replace("a")
    await world.clock.sleep(10.0)
    await send_with_retries(world, "ab", "archive|easy|p5#0")
    await world.clock.sleep(40.0)
    world.history.planned_stops.add("a")


async def stop_node(world: World, node: WorldNode) -> None:
    """Drain a node, hand over its bills and stop it."""
    scope = anyio.CancelScope()
    node.request_scopes.add(scope)
    try:
        with scope:
            await node.background.drain(lambda: None, anyio.Event())
            await node.background.hand_over()
    except NodeCrash:
        return
    node.request_scopes.discard(scope)
    if node.alive:
        node.alive = False
        node.task_scope.cancel()


async def rejoin_scenario(world: World) -> None:
    await start_fleet(world)
    node = world.nodes["a"]
    node.partition_from(("platform", "peers"))
    await change_configuration(
        world, "bc", "during", {"model/small": {**RECORDS["model/small"]}}
    )
    for number in range(4):
        await send_with_retries(world, "a", f"archive|easy|j{number}#0")
        tag = {"service": True, "idempotency_key": f"cut-{number}"}
        record = CallerRecord(
            "archive", "archive|tag|x", "register/tag", "a", 0.0, **tag
        )
        await world.send(node, record)
        await world.clock.sleep(10.0)
    world.enable_faults()
    node.partitioned_from = set()
    await world.clock.sleep(8.0)
    await send_with_retries(world, "abc", "archive|easy|j9#0")
    await world.clock.sleep(35.0)
    await settle(world)


async def leaving_scenario(world: World) -> None:
    await start_fleet(world)
    await send_with_retries(world, "a", "archive|easy|v0#0")
    world.enable_faults()
    world.platform.set_instances(list_instances(leaving="e1"))
    world.history.departures.append(Removal(world.clock.monotonic(), "e1"))
    for number in range(8):
        for name in "abc":
            await send_with_retries(world, name, f"archive|easy|v{number}{name}#0")
        await world.clock.sleep(1.0)
    await settle(world)


SCENARIOS: dict[str, Scenario] = {
    "request": Scenario(request_scenario, "a", ("engine.complete", "peer.copy")),
    "stream": Scenario(
        stream_scenario,
        "a",
        ("engine.open", "engine.token#3", "engine.end", "peer.copy"),
    ),
    "session": Scenario(
        session_scenario, "a", ("watch config/head", "engine.complete")
    ),
    "cascade": Scenario(
        cascade_scenario, "a", ("engine.complete#1", "engine.complete#2")
    ),
    "single_run": Scenario(
        single_run_scenario,
        "a",
        ("put claims#1", "service.call", "put claims#2", "peer.copy"),
    ),
    "rollout": Scenario(
        rollout_scenario,
        "leader",
        ("list reports", "put learned/merged", "put config/head", "put reports"),
    ),
    "withdrawal": Scenario(
        withdrawal_scenario,
        "a",
        ("get config/head", "put config/head", "watch config/head", "peer.exchange"),
    ),
    "configuration": Scenario(
        configuration_scenario,
        "a",
        (
            "get config/head",
            "put config/head",
            "put config/part",
            "get config/part",
            "watch config/head#2",
        ),
    ),
    "lease": Scenario(
        lease_scenario, "leader", ("get leases/leader", "put leases/leader")
    ),
    "bill": Scenario(bill_scenario, "a", ("peer.copy#2", "put bills")),
    "copy_holder": Scenario(copy_holder_scenario, "c", ("put bills", "peer.exchange")),
    "lost_copy_holder": Scenario(
        lost_copy_holder_scenario, "a", ("peer.copy", "peer.exchange")
    ),
    "stop": Scenario(
        stop_scenario,
        "a",
        ("engine.token#5", "peer.copy", "put bills", "peer.release", "peer.exchange"),
    ),
    "rejoin": Scenario(
        rejoin_scenario,
        "a",
        ("peer.connect", "peer.exchange", "put bills", "put reports"),
    ),
    "leaving": Scenario(leaving_scenario, "a", ("watch instances", "peer.exchange")),
}


def _is_serving(node: WorldNode) -> bool:
    return node.context.ready and bool(node.context.placement.groups)
