"""Gateways under crashing requests, with their decisions but no I/O."""

import heapq
import itertools
import random
from typing import NamedTuple

import msgspec

from lentilshore_kernel.testing import FakeClock
from lentilshore_node.peers.blame_exchange import (
    ACTIVE_INTERVAL_S,
    BATCH_DELAY_S,
    FAN_OUT,
    IDLE_INTERVAL_S,
    PUSH_INTERVAL_S,
    RETRY_INTERVAL_S,
    BlameAnswer,
    answer_call,
    checksum,
    create_call,
    tell,
)
from lentilshore_routing.crash_blame import CrashBlame
from lentilshore_routing.crash_causes import Cause, part_causes, whole_request_cause
from lentilshore_routing.routes import PromptPart

LOST_MESSAGES = 0.02
REBIRTH_S = 4.0
# Time in which news reaches all gateways that are in touch.
STABLE_S = 3.0
ALLOWED_SENDS = 3


class Traffic(NamedTuple):
    """Requests of a fleet: those that crash replicas, and the sound ones."""

    bad: tuple[str, ...] = ("bad-0",)
    bad_position: int = 1
    bad_per_s: float = 1.0
    sound_per_s: float = 20.0
    first_count: int = 12
    second_count: int = 300
    hot_share: float = 0.28
    nested: bool = True


class WholeTraffic(NamedTuple):
    """Requests without parts: those that crash replicas as a whole, and sound ones.

    :param bad: the bad requests; each comes again alike.
    :param sound_per_s: sound requests a second.
    :param alike_count: number of different ones among those that come again alike.
    :param alike_share: share of those that come again alike.
    """

    bad: tuple[str, ...] = ()
    bad_per_s: float = 1.0
    sound_per_s: float = 0.0
    alike_count: int = 20
    alike_share: float = 0.5


NO_WHOLE = WholeTraffic()


class Gateway:
    """A gateway with what it knows of causes; stands in for its context."""

    def __init__(self, world, name):
        self.name = name
        self.clock = world.clock
        self._world = world
        self.alive = True
        self.reachable = True
        self.excused_until = 0.0
        self.contacted = False
        self.pushing = False
        self.pushed_generation = 0
        self.pushed: dict[str, int] = {}
        self.bytes = 0
        self.blame = CrashBlame(world.clock, world.random)

    def learn_crashes(self, news, asked_at, source):
        self.blame.learn(news, asked_at)
        self._world.push_if_new(self)

    def take_changes(self):
        """Return the causes that have changed since they were pushed."""
        before = self.pushed
        self.pushed = {item.cause: checksum(item) for item in tell(self)}
        return {cause for cause, now in self.pushed.items() if before.get(cause) != now}


class Request(NamedTuple):
    identifier: str
    causes: list[Cause]
    bad: str | None
    gateway: Gateway
    attempts: int


class Attempt(NamedTuple):
    request: Request
    sent_at: float
    begins_at: float
    answered_at: float


class Send(NamedTuple):
    bad: str
    at: float
    excused: bool


def whole_cause(body):
    """Return the cause of a request with a body."""
    return whole_request_cause(b"POST", "h", b"/p", "customer", body.encode())


class World:
    """Gateways, replicas and callers on a fake clock."""

    def __init__(self, gateways, traffic, seed=1, replicas=5, whole=NO_WHOLE):
        self.clock = FakeClock()
        self.random = random.Random(f"{seed} {gateways} {traffic}")
        self.traffic = traffic
        self.gateways = {}
        self.replicas = {}
        self.sends: list[Send] = []
        self.whole = whole
        self.crashes: dict[str, list[float]] = {
            bad: [] for bad in traffic.bad + whole.bad
        }
        self.refused_sound = self.refused_bad = self.served = 0
        self.bad_stopped = False
        self._events = []
        self._sequence = itertools.count()
        self._names = itertools.count()
        for number in range(gateways):
            self.start(f"g-{number}", contacted=True)
        for _ in range(replicas):
            self.start_replica()

    def start(self, name, contacted=False):
        """Start a gateway that knows nothing."""
        gateway = self.gateways[name] = Gateway(self, name)
        gateway.contacted = contacted
        gateway.excused_until = self.now if contacted else self.now + 1.0
        self.after(self.random.uniform(0.05, 0.5), self._pull, gateway)

    def start_replica(self):
        self.replicas[f"i-{next(self._names)}"] = {}

    @property
    def now(self):
        return self.clock.monotonic()

    def after(self, delay_s, action, *args):
        event = (self.now + delay_s, next(self._sequence), action, args)
        heapq.heappush(self._events, event)

    def run(self, lasts_s):
        end = self.now + lasts_s
        while self._events and self._events[0][0] <= end:
            at, _, action, args = heapq.heappop(self._events)
            self.clock.advance(at - self.now)
            action(*args)
        self.clock.advance(end - self.now)
        return self

    def warm_up(self, lasts_s=10.0):
        """Serve sound requests only."""
        if self.traffic.sound_per_s:
            self._send_sound()
        if self.whole.sound_per_s:
            self._send_sound_whole()
        return self.run(lasts_s)

    def start_bad(self):
        for bad in self.traffic.bad:
            self.after(self.random.random() / self.traffic.bad_per_s, self._bad, bad)
        for bad in self.whole.bad:
            delay_s = self.random.random() / self.whole.bad_per_s
            self.after(delay_s, self._bad_whole, bad)
        return self

    def stop_bad(self):
        self.bad_stopped = True

    def cut(self, name, lasts_s):
        """Cut a gateway off from the others for a while."""
        gateway = self.gateways[name]
        gateway.reachable = False
        gateway.excused_until = self.now + lasts_s + STABLE_S
        self.after(lasts_s, setattr, gateway, "reachable", True)

    def kill(self, name, lasts_s):
        self.gateways[name].alive = False
        self.after(lasts_s, self.start, name)

    def crash_replicas(self, count):
        """Crash some replicas at this moment for no reason of the requests."""
        up = sorted(self.replicas)
        for name in self.random.sample(up, min(count, len(up))):
            self._crash(name)

    def late_sends(self, bad):
        """Return the sends of gateways in touch long after the last allowed crash."""
        allowed = 3 if bad in self.whole.bad else 5
        if len(self.crashes[bad]) < allowed:
            return 0
        known_at = self.crashes[bad][allowed - 1] + STABLE_S
        return sum(
            send.bad == bad and send.at > known_at and not send.excused
            for send in self.sends
        )

    def blamed(self):
        """Return the digests that any gateway blames."""
        running = (g for g in self.gateways.values() if g.alive)
        return set().union(*(gateway.blame.blamed for gateway in running))

    def _live_gateway(self):
        running = [gateway for gateway in self.gateways.values() if gateway.alive]
        return self.random.choice(running)

    def _draw_second(self):
        if self.random.random() < self.traffic.hot_share:
            return 0
        return self.random.randrange(self.traffic.second_count)

    def _draw_parts(self):
        second = self._draw_second()
        first = second if self.traffic.nested else self.random.randrange(10**6)
        return [f"first-{first % self.traffic.first_count}", f"second-{second}"]

    def _send_sound(self):
        self._request(self._draw_parts(), None)
        pause_s = self.random.expovariate(self.traffic.sound_per_s)
        self.after(pause_s, self._send_sound)

    def _bad(self, bad):
        if self.bad_stopped:
            return
        parts = self._draw_parts()
        parts[self.traffic.bad_position] = bad
        self._request(parts, bad)
        pause_s = self.random.expovariate(self.traffic.bad_per_s)
        self.after(pause_s, self._bad, bad)

    def _send_sound_whole(self):
        name = f"unique-{next(self._names)}"
        if self.random.random() < self.whole.alike_share:
            name = f"alike-{self.random.randrange(self.whole.alike_count)}"
        self._request([], None, name)
        pause_s = self.random.expovariate(self.whole.sound_per_s)
        self.after(pause_s, self._send_sound_whole)

    def _bad_whole(self, bad):
        if self.bad_stopped:
            return
        self._request([], bad, bad)
        pause_s = self.random.expovariate(self.whole.bad_per_s)
        self.after(pause_s, self._bad_whole, bad)

    def _request(self, names, bad, body=""):
        identifier = f"r-{next(self._names)}"
        parts = tuple(PromptPart(name, 100) for name in [*names, f"own-{identifier}"])
        causes = [*part_causes(parts), whole_cause(body or identifier)]
        request = Request(identifier, causes, bad, self._live_gateway(), 0)
        self._send(request)

    def _send(self, request):
        """Send a request, or refuse it; it waits while there is no replica."""
        gateway = request.gateway
        if not gateway.alive:
            return
        if gateway.blame.blamed_cause(request.causes) is not None:
            self.refused_sound += request.bad is None
            self.refused_bad += request.bad is not None
            return
        if not self.replicas:
            self.after(0.2, self._send, request)
            return
        name = self.random.choice(list(self.replicas))
        begins_s = self.random.uniform(0.06, 0.2)
        if request.bad in self.whole.bad:
            # It ends its replica before the head of an answer.
            begins_s = self.random.uniform(0.012, 0.09)
        event_s = begins_s + self.random.uniform(0.005, 0.03)
        attempt = Attempt(
            request._replace(attempts=request.attempts + 1),
            self.now,
            self.now + begins_s,
            self.now + event_s,
        )
        running = self.replicas[name]
        running[request.identifier] = attempt
        if request.bad is not None:
            excused = self.now < gateway.excused_until
            self.sends.append(Send(request.bad, self.now, excused))
            self.after(begins_s, self._run_bad, name, attempt)
        else:
            self.after(event_s, self._answer, name, attempt)

    def _run_bad(self, name, attempt):
        running = self.replicas.get(name, {})
        if running.get(attempt.request.identifier) is attempt:
            self.crashes[attempt.request.bad].append(self.now)
            self._crash(name)

    def _answer(self, name, attempt):
        running = self.replicas.get(name, {})
        request = attempt.request
        if running.get(request.identifier) is not attempt:
            return
        del running[request.identifier]
        self.served += 1
        if request.gateway.alive:
            request.gateway.blame.record_answer(request.causes, request.identifier)
            self.push_if_new(request.gateway)

    def _crash(self, name):
        """End a replica: requests with a head, but no event, count as crashed."""
        running = self.replicas.pop(name)
        self.after(REBIRTH_S, self.start_replica)
        for attempt in running.values():
            request = attempt.request
            gateway = request.gateway
            if not gateway.alive:
                continue
            causes = request.causes
            if attempt.begins_at > self.now or request.bad in self.whole.bad:
                # Without the head of an answer, the parts are not suspected.
                causes = causes[-1:]
            gateway.blame.record_crash(causes, name, attempt.sent_at)
            self.push_if_new(gateway)
            if gateway.blame.may_retry(causes):
                self._send(request)

    def push_if_new(self, gateway):
        blame = gateway.blame
        if not gateway.pushing and blame.generation != gateway.pushed_generation:
            gateway.pushing = True
            self.after(BATCH_DELAY_S, self._push, gateway)

    def _push(self, gateway):
        """Tell some gateways what has changed."""
        if not gateway.alive:
            return
        gateway.pushed_generation = gateway.blame.generation
        if changed := gateway.take_changes():
            self._call(gateway, self._next_peer(gateway), changed)
            for _ in range(FAN_OUT - 1):
                self._call(gateway, self._random_peer(gateway), changed)
        self.after(PUSH_INTERVAL_S, self._end_push, gateway)

    def _end_push(self, gateway):
        gateway.pushing = False
        self.push_if_new(gateway)

    def _pull(self, gateway):
        if not gateway.alive:
            return
        self._call(gateway, self._random_peer(gateway))
        interval_s = ACTIVE_INTERVAL_S if gateway.blame.active else IDLE_INTERVAL_S
        if not gateway.contacted:
            interval_s = RETRY_INTERVAL_S
        self.after(interval_s * self.random.uniform(0.5, 1.5), self._pull, gateway)

    def _next_peer(self, gateway):
        """Return the gateway that follows in the ring."""
        names = list(self.gateways)
        return self.gateways[names[names.index(gateway.name) - 1]]

    def _random_peer(self, gateway):
        others = [peer for peer in self.gateways.values() if peer is not gateway]
        return self.random.choice(others)

    def _call(self, gateway, peer, causes=()):
        """Call a gateway with news of some causes; it answers what it knows."""
        if not self._passes(gateway, peer):
            return
        body = msgspec.msgpack.encode(create_call(gateway, causes))
        gateway.bytes += len(body)
        arrival = (gateway, peer, body, self.now, not causes)
        self.after(self._delay_s(), self._called, *arrival)

    def _called(self, gateway, peer, body, asked_at, asks):
        if not peer.alive:
            return
        answer = answer_call(peer, body)
        peer.bytes += len(body) + len(answer)
        if self._passes(gateway, peer):
            arrival = (gateway, peer, answer, asked_at, asks)
            self.after(self._delay_s(), self._answered, *arrival)

    def _answered(self, gateway, peer, body, asked_at, asks):
        if not gateway.alive:
            return
        gateway.contacted = True
        gateway.bytes += len(body)
        answer = msgspec.msgpack.decode(body, type=BlameAnswer)
        if asks and answer.wanted:
            self._call(gateway, peer, answer.wanted)
        gateway.learn_crashes(answer.news, asked_at, peer.name)

    def _passes(self, gateway, peer):
        reached = gateway.alive and peer.alive
        in_touch = gateway.reachable and peer.reachable
        return reached and in_touch and self.random.random() >= LOST_MESSAGES

    def _delay_s(self):
        return self.random.uniform(0.001, 0.03)
