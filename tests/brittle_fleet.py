"""Gateways before replicas that bear few rejections, in steps of time, without I/O."""

import heapq
import random
from collections import Counter, deque

from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock
from lentilshore_kernel.types import Address
from lentilshore_node.clients.fleet_source import GatewayEntry
from lentilshore_node.state.service_reach import ServiceReach
from lentilshore_node.state.serving_peers import ServingPeers
from lentilshore_routing.placement import Placement
from lentilshore_routing.replica_limits import ReplicaLimits
from lentilshore_routing.replica_room import ReplicaRoom
from lentilshore_routing.replicas import Replica

SERVICE = "pool"
GROUP = f"{SERVICE}@v1"
STEP_S = 0.005
FALL_S = 4.0
STABILITY_S = 3.0
# Delay of a message between gateways, and intervals as in the exchange.
HOP_S = 0.005
FAN_OUT = 4
WATCH_INTERVAL_S = 0.3
SILENT_AFTER_S = 2 * WATCH_INTERVAL_S
MAX_FORWARDS = 3


class Replicas:
    """One brittle service.

    :param count: number of replicas.
    :param places: requests that each runs at once.
    :param queue: requests that each lets wait once it is brittle.
    """

    def __init__(self, clock, count, places, queue=1, work_s=0.05):
        self.clock = clock
        self.places = places
        self.queue = queue
        self.work_s = work_s
        self.names = [f"i-{n}" for n in range(count)]
        self.in_flight = Counter()
        self.rejected = {name: deque() for name in self.names}
        self.down_until = Counter()
        self.falls = []
        self.bears = None
        # Those that say so; all if it is empty.
        self.telling = ()
        self.brittle_from = None

    def begin(self, bears, telling=()):
        self.bears, self.telling = bears, telling
        self.brittle_from = self.clock.monotonic() + STABILITY_S

    def end(self):
        self.bears = self.brittle_from = None

    def says(self, name):
        silent = self.telling and name not in self.telling
        return None if silent else self.bears

    def is_down(self, name):
        return self.down_until[name] > self.clock.monotonic()

    def take(self, name):
        """Return whether a replica takes a request; else it rejects it."""
        now = self.clock.monotonic()
        weak = self.brittle_from is not None and now >= self.brittle_from
        room = self.places + (self.queue if weak else 4 * self.places)
        if self.in_flight[name] < room:
            self.in_flight[name] += 1
            return True
        rejected = self.rejected[name]
        rejected.append(now)
        while rejected[0] <= now - 1.0:
            rejected.popleft()
        if weak and len(rejected) > self.bears:
            self.falls.append((now, name))
            self.down_until[name] = now + FALL_S
            self.in_flight[name] = 0
            rejected.clear()
        return False


class Gateway:
    """One gateway: what decides where its requests go."""

    def __init__(self, name, world):
        self.name = name
        self.world = world
        clock, source = world.clock, world.random
        self.room = ReplicaRoom(name, clock)
        self.placement = Placement(
            name, clock, source, "", ReplicaLimits(name, clock, source), self.room
        )
        self.placement.update(world.listed)
        reach = ServiceReach(clock, None, ServedMetrics())
        self.peers = ServingPeers(clock, source, reach, self.room, self.placement)
        self.alive = True
        self.known = True
        self.seen_at = {}
        self.take_up()

    def take_up(self):
        if not self.known:
            return
        world = self.world
        self.room.set_nodes([g.name for g in world.gateways] or [self.name])
        others = [g for g in world.gateways if g is not self]
        self.peers.set_gateways(
            GatewayEntry(g.name, Address("10.0.0.1", 1), "dc") for g in others
        )

    def watch(self):
        now = self.world.clock.monotonic()
        for name in self.room.predecessors():
            if self.world.by_name[name].alive:
                self.seen_at[name] = now
            else:
                self.seen_at.setdefault(name, now)
        silent = {n for n, at in self.seen_at.items() if now - at >= SILENT_AFTER_S}
        self.room.set_silent_nodes(silent)
        peer = self.world.random.choice(self.world.gateways)
        if peer.alive and peer.known:
            self.room.learn(peer.room.tell(), now)


class World:
    """Gateways, replicas and callers in one run."""

    def __init__(self, gateways, replicas, places, seed=1, **options):
        self.clock = FakeClock()
        self.random = random.Random(seed)
        self.replicas = Replicas(self.clock, replicas, places, **options)
        self.listed = [
            Replica(name, "f", Address("10.0.0.1", 1), "dc", (GROUP,), places=places)
            for name in self.replicas.names
        ]
        self.gateways = []
        self.gateways = [Gateway(f"g-{n}", self) for n in range(gateways)]
        self.by_name = {g.name: g for g in self.gateways}
        for gateway in self.gateways:
            gateway.take_up()
        self.outcomes = Counter()
        self.busy_s = 0.0
        self._events = []
        self._watch_at = 0.0
        self._sequence = 0

    def restart(self, gateway):
        """Replace a gateway by one that knows nothing of what was said."""
        new = Gateway(gateway.name, self)
        self.gateways[self.gateways.index(gateway)] = new
        self.by_name[gateway.name] = new
        new.take_up()
        return new

    def run(self, seconds, rate, act=None):
        """Run with some requests a second, at random gateways.

        :param act: called with the time since the beginning in every step.
        """
        began = self.clock.monotonic()
        while (elapsed := self.clock.monotonic() - began) < seconds:
            if act is not None:
                act(elapsed)
            self._end_due()
            if self.clock.monotonic() >= self._watch_at:
                self._watch_at = self.clock.monotonic() + WATCH_INTERVAL_S
                for gateway in self.gateways:
                    if gateway.alive:
                        gateway.watch()
            for _ in range(self._arrivals(rate * STEP_S)):
                alive = [g for g in self.gateways if g.alive]
                self._serve(self.random.choice(alive))
            self.busy_s += STEP_S * sum(
                min(n, self.replicas.places) for n in self.replicas.in_flight.values()
            )
            self.clock.advance(STEP_S)

    def used_share(self, seconds):
        total = len(self.replicas.names) * self.replicas.places * seconds
        return self.busy_s / total

    def _arrivals(self, mean):
        count, sum_s = 0, self.random.expovariate(1.0)
        while sum_s < mean:
            count += 1
            sum_s += self.random.expovariate(1.0)
        return count

    def _serve(self, gateway):
        elsewhere = gateway.peers.must_serve(SERVICE)
        sent = not elsewhere and self._send(gateway)
        if not sent and gateway.room.is_scarce(SERVICE):
            self._forward(gateway)

    def _forward(self, gateway):
        tried = set()
        while len(tried) < MAX_FORWARDS:
            peer = gateway.peers.choose(SERVICE, tried)
            if peer is None:
                break
            tried.add(peer.name)
            other = self.by_name[peer.name]
            if not other.alive:
                gateway.peers.record_unfit(SERVICE, peer)
                continue
            other.room.learn(gateway.room.tell(SERVICE), self.clock.monotonic())
            if self._send(other):
                return
            gateway.peers.record_full(peer)
        self.outcomes["refused"] += 1

    def _send(self, gateway):
        """Send a request to a replica; return whether one may be sent one."""
        lease = gateway.placement.choose(GROUP, 16.0)
        if lease is None:
            return False
        name = lease.replica.name
        if self.replicas.is_down(name):
            gateway.placement.release(lease, True, unreachable=True)
            self.outcomes["down"] += 1
            return True
        if not self.replicas.take(name):
            in_flight = gateway.placement.in_flight(name)
            self._hear(gateway, name, lease.taken_at)
            gateway.room.record_rejection(name, in_flight)
            gateway.placement.release(lease, False)
            self.outcomes["rejected"] += 1
            return True
        queued = max(1, self.replicas.in_flight[name] / self.replicas.places)
        work_s = self.replicas.work_s * queued * self.random.uniform(0.7, 1.3)
        self._at(work_s, self._end, gateway, lease, self.replicas.down_until[name])
        return True

    def _end(self, gateway, lease, down_until):
        name = lease.replica.name
        gateway.placement.release(lease, False)
        if self.replicas.down_until[name] != down_until:
            self.outcomes["broken"] += 1
            return
        self.replicas.in_flight[name] -= 1
        self.outcomes["served"] += 1
        self._hear(gateway, name, lease.taken_at)
        gateway.room.record_end(name)

    def _hear(self, gateway, name, sent_at):
        if gateway.room.observe(name, self.replicas.says(name), sent_at):
            self._spread(gateway)

    def _spread(self, gateway):
        others = [g for g in self.gateways if g is not gateway]
        for other in self.random.sample(others, min(FAN_OUT, len(others))):
            self._at(HOP_S, self._tell, other, gateway.room.tell())

    def _tell(self, gateway, news):
        if gateway.alive and gateway.room.learn(news, self.clock.monotonic()):
            self._spread(gateway)

    def _at(self, delay_s, action, *arguments):
        self._sequence += 1
        due = self.clock.monotonic() + delay_s
        heapq.heappush(self._events, (due, self._sequence, action, arguments))

    def _end_due(self):
        now = self.clock.monotonic()
        while self._events and self._events[0][0] <= now:
            _, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
