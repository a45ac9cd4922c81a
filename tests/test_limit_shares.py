"""Limits of replicas in fleets of many gateways, with their decisions but no I/O."""

import heapq
import itertools
import random

import pytest

from lentilshore_kernel.testing import FakeClock
from lentilshore_node.peers.gateway_directory import LONGEST_LIST_INTERVAL_S
from lentilshore_node.peers.limit_exchange import (
    ACTIVE_INTERVAL_S,
    IDLE_INTERVAL_S,
    decode_limits,
    encode_limits,
)
from lentilshore_routing import replica_limits
from lentilshore_routing.placement import Placement
from lentilshore_routing.replica_limits import ReplicaLimits
from tests.limited_replicas import SERVICE, LimitedReplica, record

GROUP = f"{SERVICE}@v1"
LIMITED, OTHERS = "i-1", [f"i-{n}" for n in range(2, 8)]
EXCHANGE_S = 0.003
MIN_USED_SHARE = 0.7


class Node:
    """A gateway's choice of replicas, with its list of gateways and its limits."""

    def __init__(self, world, name, is_new):
        self.name = name
        self.alive = True
        self.peers_reachable = True
        delay_s = LONGEST_LIST_INTERVAL_S if is_new else 0.0
        self.listed_from = world.clock.monotonic() + delay_s
        self.listed = []
        self.limits = ReplicaLimits(name, world.clock, world.random)
        self.placement = Placement(name, world.clock, world.random, "", self.limits)
        self.placement.update(record(n).replica for n in world.replicas)


class World:
    """Gateways, their replicas, and the events between them on a fake clock."""

    def __init__(self, count, demand_per_s, seed=1, is_new=False):
        self.clock = FakeClock()
        self.random = random.Random(seed)
        self.demand_per_s = demand_per_s
        self.replicas = {n: LimitedReplica(self.clock) for n in [LIMITED, *OTHERS]}
        self._events = []
        self._sequence = itertools.count()
        self.registered = [f"g-{n}" for n in range(count)]
        self.nodes = {}
        self.refused = 0
        for name in self.registered:
            self.start(name, is_new)

    @property
    def limited(self):
        return self.replicas[LIMITED]

    def start(self, name, is_new=False):
        """Start a gateway that knows nothing yet."""
        if name not in self.registered:
            self.registered.append(name)
        node = self.nodes[name] = Node(self, name, is_new)
        self.limited._told_at.pop(name, None)
        self._after(self.random.uniform(1, 4), self._list_nodes, node)
        self._after(self.random.random(), self._exchange, node)
        self._after(self.random.random(), self._request, node)

    def run(self, lasts_s):
        end = self.clock.monotonic() + lasts_s
        while self._events and self._events[0][0] <= end:
            at, _, action, args = heapq.heappop(self._events)
            self.clock.advance(at - self.clock.monotonic())
            action(*args)
        self.clock.advance(end - self.clock.monotonic())
        return self

    def at(self, delay_s, action, *args):
        self._after(delay_s, action, *args)

    def freeze(self, name, lasts_s):
        """Suspend a gateway; its own events come when it wakes."""
        node = self.nodes[name]
        node.alive = False
        self._after(lasts_s, self._wake, node)

    def kill(self, name, lasts_s):
        self.nodes[name].alive = False
        self._after(lasts_s, self.start, name)

    def remove(self, name):
        """End a gateway for good; its entry stays in the list."""
        self.nodes[name].alive = False

    def _wake(self, node):
        node.alive = True
        for action in (self._list_nodes, self._exchange, self._request):
            self._after(0.0, action, node)

    def _after(self, delay_s, action, *args):
        at = self.clock.monotonic() + delay_s
        heapq.heappush(self._events, (at, next(self._sequence), action, args))

    def _runs(self, node):
        return node.alive and self.nodes[node.name] is node

    def _list_nodes(self, node):
        if not self._runs(node):
            return
        node.listed = list(self.registered)
        self._after(self.random.uniform(10, 30), self._list_nodes, node)

    def _exchange(self, node):
        if not self._runs(node):
            return
        node.limits.set_nodes(node.listed, node.listed_from)
        asked_at = self.clock.monotonic()
        peer = self.nodes[self.random.choice(list(self.nodes))]
        reached = peer.alive and peer.peers_reachable and node.peers_reachable
        if node.listed and peer is not node and reached:
            node.limits.record_contact()
            node.limits.learn(
                decode_limits(encode_limits(peer.limits)), asked_at - EXCHANGE_S
            )
        base_s = ACTIVE_INTERVAL_S if node.limits.limited else IDLE_INTERVAL_S
        self._after(base_s * self.random.uniform(0.5, 1.5), self._exchange, node)

    def _request(self, node):
        if not self._runs(node):
            return
        self._send(node)
        if self.demand_per_s:
            pause_s = self.random.expovariate(self.demand_per_s)
            self._after(pause_s, self._request, node)
        else:
            self._after(1.0, self._request, node)

    def _send(self, node):
        if not self.demand_per_s:
            return
        lease = node.placement.choose(GROUP, 100.0)
        if lease is None:
            self.refused += 1
            return
        self.replicas[lease.replica.name].arrive(node.name)
        latency_s = self.random.uniform(0.05, 1.0)
        self._after(latency_s, self._answer, node, lease, self.clock.monotonic())

    def _answer(self, node, lease, sent_at):
        node.placement.release(lease, False)
        if not self._runs(node):
            return
        limit = self.replicas[lease.replica.name].tell(node.name)
        node.limits.observe(lease.replica.name, limit, sent_at)


def demand(count, limit):
    """Return the requests a second of a gateway with which it can use its share.

    Without limits, the limited replica would get more than its limit.
    """
    slots = min(count, int(limit) + replica_limits.EXTRA_SLOTS)
    fair_share = 1.5 * (len(OTHERS) + 1) * limit / count
    return max(2.0, 4 * limit / slots, fair_share)


def used_share(world, lasts_s):
    now = world.clock.monotonic()
    return world.limited.rate(now - lasts_s, now) / world.limited.limit


@pytest.mark.parametrize("limit", [0.5, 2.6, 12.5, 50.0])
@pytest.mark.parametrize("count", [7, 79, 340])
def test_a_limit_is_kept_and_used(count, limit):
    world = World(count, demand(count, limit)).run(15.0)
    world.limited.limit = limit
    lasts_s = max(40.0, 20 / limit)
    world.run(lasts_s)
    assert world.limited.excess() <= 0
    assert used_share(world, lasts_s - 10.0) >= MIN_USED_SHARE


# A fleet that has just started knows nothing of its gateways but the first list.
@pytest.mark.parametrize("count", [7, 79, 340])
@pytest.mark.parametrize("limit", [0.5, 2.6, 50.0])
def test_a_limit_is_kept_by_gateways_that_have_just_started(count, limit):
    world = World(count, demand(count, limit), is_new=True)
    world.limited.limit = limit
    world.run(70.0)
    assert world.limited.excess() <= 0


def churn(world, random_source):
    """Kill, freeze, cut, remove and add gateways for a minute."""
    names = list(world.registered)
    for _ in range(max(2, len(names) // 8)):
        name = random_source.choice(names)
        fault = random_source.choice(["kill", "freeze", "cut", "remove", "join"])
        delay_s = random_source.uniform(0, 60)
        lasts_s = random_source.uniform(2, 25)
        if fault == "kill":
            world.at(delay_s, world.kill, name, lasts_s)
        elif fault == "freeze":
            world.at(delay_s, world.freeze, name, lasts_s)
        elif fault == "cut":
            node = world.nodes[name]
            world.at(delay_s, setattr, node, "peers_reachable", False)
            world.at(delay_s + lasts_s, setattr, node, "peers_reachable", True)
        elif fault == "remove":
            world.at(delay_s, world.remove, name)
        else:
            world.at(delay_s, world.start, f"new-{random_source.random():.6f}", True)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("limit", [0.5, 2.6, 50.0])
@pytest.mark.parametrize("count", [7, 79, 340])
def test_a_limit_is_kept_and_used_while_gateways_come_and_go(count, limit, seed):
    world = World(count, demand(count, limit), seed).run(10.0)
    world.limited.limit = limit
    churn(world, random.Random(f"{count} {limit} {seed}"))
    # The shares of two neighbours that are gone take two timeouts to pass on.
    world.run(85.0 + 2 * replica_limits.SLOT_TIMEOUT_S)
    assert world.limited.excess() <= 0
    assert used_share(world, max(40.0, 30 / limit)) >= MIN_USED_SHARE


@pytest.mark.parametrize("count", [7, 79, 340])
def test_a_limit_that_ends_is_forgotten_by_all(count):
    world = World(count, 2.0).run(15.0)
    world.limited.limit = 2.6
    world.run(30.0)
    world.limited.limit = None
    world.run(30.0)
    assert not any(node.limits.limited for node in world.nodes.values())


@pytest.mark.parametrize("count", [7, 79])
def test_a_limit_that_ended_while_nobody_asked_does_not_stay(count):
    world = World(count, 2.0).run(15.0)
    world.limited.limit = 2.6
    world.run(20.0)
    world.demand_per_s = 0.0
    world.run(300.0)
    world.limited.limit = None
    world.demand_per_s = 2.0
    world.run(60.0)
    assert not any(node.limits.limited for node in world.nodes.values())


@pytest.mark.parametrize("count", [7, 79])
def test_the_share_of_gateways_that_are_gone_passes_on(count):
    """With all holders of a low limit removed the replica would get nothing."""
    world = World(count, 2.0).run(15.0)
    world.limited.limit = 0.5
    world.run(20.0)
    holders = [n for n in world.nodes.values() if n.limits.own_rate(LIMITED)]
    for node in holders[: count - 1]:
        world.remove(node.name)
    world.run(120.0)
    assert world.limited.excess() <= 0
    assert used_share(world, 60.0) >= MIN_USED_SHARE


def test_a_replica_that_is_reborn_has_no_limit():
    world = World(7, 2.0).run(15.0)
    world.limited.limit = 0.5
    world.run(20.0)
    world.replicas["i-99"] = LimitedReplica(world.clock)
    for node in world.nodes.values():
        node.placement.update(record(n).replica for n in ["i-99", *OTHERS])
    world.run(30.0)
    assert world.replicas["i-99"].rate(1035.0, 1065.0) > 0.5


def test_requests_are_refused_at_once_if_all_replicas_have_used_up_their_limits():
    world = World(7, 5.0).run(10.0)
    for replica in world.replicas.values():
        replica.limit = 1.0
    world.run(30.0)
    assert world.refused > 300
    assert all(replica.excess() <= 0 for replica in world.replicas.values())
    for node in world.nodes.values():
        node.placement._limits.take(LIMITED)
        assert 0.1 <= node.placement.limit_retry_after_s(GROUP) <= 2.0
