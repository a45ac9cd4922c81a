"""Gateways that exchange crashes without I/O, and the calls between them."""

import random
from typing import NamedTuple

import anyio

from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock, run_with_clock
from lentilshore_kernel.types import Address
from lentilshore_node.clients.fleet_source import GatewayEntry
from lentilshore_node.clients.http_client import HttpAnswer, encode_request
from lentilshore_node.clients.http_connection import (
    CallNotSentError,
    CallTimedOutError,
)
from lentilshore_node.peers.blame_exchange import BlameExchange, answer_call
from lentilshore_node.peers.blame_messages import UnreadableBlameError, decode_call
from lentilshore_node.peers.gateway_directory import GatewayDirectory
from lentilshore_node.programs.gateway_assembly import create_gateway
from lentilshore_routing.crash_causes import part_causes
from lentilshore_routing.routes import PromptPart
from tests.test_gateway import BOUNDS

ANSWER_HEAD = b"HTTP/1.1 200 OK\r\n"
CALL_DELAY_S = 0.003


class Call(NamedTuple):
    """One call between gateways, with its bytes in both directions."""

    at: float
    caller: str
    callee: str
    bears_news: bool
    sent: int
    received: int


def entry(number):
    return GatewayEntry(f"g{number}", Address("10.0.0.1", 1 + number), "dc")


def prompt(part, first="shared"):
    """Return the causes that a prompt bears; its last part is its own."""
    parts = [PromptPart(first, 100), PromptPart(part, 100), PromptPart("own", 10)]
    return part_causes(parts)


class Client:
    """HTTP client of one gateway, whose calls reach the others of the fleet."""

    def __init__(self, fleet, name):
        self._fleet, self._name = fleet, name

    async def request(
        self, method, address, path, body, headers, timeout_s, limit_bytes
    ):
        fleet, callee = self._fleet, f"g{address.port - 1}"
        started_at = fleet.clock.monotonic()
        if callee in fleet.dead:
            raise CallNotSentError("refused")
        if {callee, self._name} & fleet.silent:
            await fleet.clock.sleep(timeout_s)
            raise CallTimedOutError("silent")
        await fleet.clock.sleep(fleet.delay_s())
        try:
            answer = answer_call(fleet.contexts[callee], body)
        except UnreadableBlameError:
            return HttpAnswer(400, {}, b"")
        await fleet.clock.sleep(fleet.delay_s())
        assert len(answer) <= limit_bytes
        fields = [(b"host", str(address).encode())]
        fields += [(k.encode(), v.encode()) for k, v in headers.items()]
        sent = len(encode_request(method.encode(), path.encode(), fields, body))
        received = len(ANSWER_HEAD + b"content-length: %d\r\n\r\n" % len(answer))
        call = decode_call(body)
        fleet.calls.append(
            Call(
                started_at,
                self._name,
                callee,
                bool(call.news),
                sent,
                received + len(answer),
            )
        )
        return HttpAnswer(200, {}, answer)


class BlameFleet:
    """Gateways with their exchange; each has listed the others unless it is named.

    :param count: number of gateways.
    :param jitter_s: greatest additional delay of a call and of an answer, seconds.
    """

    def __init__(self, count, seed=1, jitter_s=0.0):
        self.clock = FakeClock()
        self.dead, self.silent = set(), set()
        self.calls = []
        self.names = [f"g{n}" for n in range(count)]
        self.entries = [entry(n) for n in range(count)]
        self.contexts, self.directories, self.scopes = {}, {}, {}
        self._random = random.Random(seed)
        self._jitter_s = jitter_s
        self._group = None
        for name in self.names:
            self._create(name)

    def _create(self, name):
        source = random.Random(self._random.random())
        context = create_gateway(
            name, "dc", BOUNDS, self.clock, source, ServedMetrics(), None, None
        )
        context.http = Client(self, name)
        self.contexts[name] = context
        self.directories[name] = GatewayDirectory(
            self.entries[self.names.index(name)],
            None,
            self.clock,
            source,
            context.metrics,
        )

    def delay_s(self):
        return CALL_DELAY_S + self._jitter_s * self._random.random()

    def run(self, steps):
        """Run all gateways until some steps are done."""

        async def main():
            async with anyio.create_task_group() as self._group:
                for name in self.names:
                    self.start(name)
                    self.list(name)
                await steps()
                self._group.cancel_scope.cancel()

        run_with_clock(self.clock, main)
        return self

    def start(self, name):
        exchange = BlameExchange(self.contexts[name], self.directories[name])
        self.scopes[name] = scope = anyio.CancelScope()

        async def run():
            with scope:
                await exchange.run()

        self._group.start_soon(run)

    def list(self, name):
        self.directories[name].update(self.entries)

    def kill(self, name):
        self.scopes[name].cancel()
        self.dead.add(name)

    def start_again(self, name):
        """Start a gateway that knows nothing; it lists the others later."""
        self._create(name)
        self.dead.discard(name)
        self.start(name)

    def crash(self, name, replica, part="bad", sent_before_s=0.1):
        sent_at = self.clock.monotonic() - sent_before_s
        self.contexts[name].record_crash(prompt(part), replica, sent_at)

    def knowing(self, crash_count=1, part_count=1):
        """Return the gateways that know a number of crashes of enough parts."""
        return [
            name
            for name, context in self.contexts.items()
            if sum(len(i.crashes) >= crash_count for i in context.blame.tell_all())
            >= part_count
        ]

    async def wait(self, seconds):
        await self.clock.sleep(seconds)

    async def wait_until(self, holds, at_most_s):
        """Wait until something holds; return the time that it took."""
        started_at = self.clock.monotonic()
        while not holds() and self.clock.monotonic() - started_at < at_most_s:
            await self.clock.sleep(0.01)
        assert holds()
        return self.clock.monotonic() - started_at
