"""When a service is suspected to be out of reach, and when not."""

import math

import anyio
import msgspec
import pytest

from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock, run_with_clock
from lentilshore_kernel.types import Address
from lentilshore_node.clients.fleet_source import GatewayEntry
from lentilshore_node.peers.reach_monitor import ReachMonitor, UnreadableReachError
from lentilshore_node.peers.room_exchange import RoomExchange, UnreadableRoomError
from lentilshore_node.state.service_reach import (
    EXAMINATION_PAUSE_S,
    FAILURE_WINDOW_S,
    Reach,
    ServiceReach,
)
from lentilshore_routing.replicas import Replica
from tests.test_gateway import ONCE_ROUTE, GatewayHarness

PEER = GatewayEntry("g-2", Address("10.0.0.9", 1), "dc")


class View:
    """Replicas of one service."""

    def __init__(self, count):
        self._replicas = [
            Replica(f"i-{n}", "f", Address("10.0.0.1", n), "dc", ("pool@v1",))
            for n in range(1, count + 1)
        ]

    def find_replica(self, address):
        for replica in self._replicas:
            if replica.address == address:
                return _Record(replica)
        return None

    def service_replicas(self, service):
        return self._replicas


class _Record:
    service = "pool"

    def __init__(self, replica):
        self.replica = replica


def create_reach(count=3):
    clock = FakeClock()
    return clock, ServiceReach(clock, View(count), ServedMetrics())


def at(number):
    return Address("10.0.0.1", number)


@pytest.mark.parametrize(
    ("count", "steps", "suspected"),
    [
        (3, [("failed", 1)], False),
        (3, [("failed", 1), ("failed", 1)], False),
        (3, [("failed", 1), ("failed", 2)], True),
        (3, [("lost", 1), ("failed", 2)], True),
        (3, [("silent", 1), ("silent", 2)], True),
        (1, [("failed", 1)], True),
        (3, [("slow", 1)], True),
        (3, [("failed", 9), ("failed", 8)], False),
        # Answers of old connections disprove silence, not failed connects.
        (3, [("failed", 1), ("old answer", 3), ("failed", 2)], True),
        (3, [("silent", 1), ("old answer", 3), ("silent", 2)], False),
        (3, [("failed", 1), ("new answer", 3), ("failed", 2)], False),
        (3, [("failed", 1), ("wait", FAILURE_WINDOW_S + 0.1), ("failed", 2)], False),
    ],
)
def test_what_makes_a_service_suspected(count, steps, suspected):
    clock, reach = create_reach(count)
    actions = {
        "failed": lambda n: reach.record_connect_failed(at(n)),
        "lost": lambda n: reach.record_connection_lost(at(n)),
        "slow": lambda n: reach.record_slow_connect(at(n)),
        "silent": lambda n: reach.record_silence("pool", f"i-{n}"),
        "old answer": lambda n: reach.record_answer("pool", False),
        "new answer": lambda n: reach.record_answer("pool", True),
        "wait": clock.advance,
    }
    for step, value in steps:
        actions[step](value)
    assert (reach.state("pool") is Reach.SUSPECTED) is suspected


def test_needless_examinations_grow_rare():
    clock, reach = create_reach()
    for pause_s in (EXAMINATION_PAUSE_S, 2 * EXAMINATION_PAUSE_S):
        reach.record_slow_connect(at(1))
        assert reach.state("pool") is Reach.SUSPECTED
        reach.conclude("pool", Reach.REACHED)
        clock.advance(pause_s)
        reach.record_slow_connect(at(1))
        assert reach.state("pool") is Reach.REACHED
        clock.advance(pause_s + 0.1)


def test_a_failed_request_waits_for_the_end_of_an_examination():
    clock, reach = create_reach()

    async def conclude():
        assert await reach.wait_for_suspicion() == "pool"
        await clock.sleep(0.2)
        reach.conclude("pool", Reach.CUT_OFF, [PEER])

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(conclude)
            reach.record_slow_connect(at(1))
            await reach.wait_for_verdict("pool")
        return clock.monotonic()

    begun_at = clock.monotonic()
    assert 0.2 <= run_with_clock(clock, main) - begun_at < 0.3
    assert list(reach.peers("pool")) == [PEER]
    reach.drop_peer("pool", PEER)
    assert list(reach.peers("pool")) == []


@pytest.mark.parametrize("body", [b"", b"\xc1", b"\x91" * 100_000, b"\x81\xa1x\x01"])
def test_unreadable_questions_of_other_gateways_are_refused(body):
    harness = GatewayHarness([], ONCE_ROUTE)
    harness.assemble(FakeClock(), None)

    async def main():
        with pytest.raises(UnreadableReachError):
            await ReachMonitor(harness.context, None).answer(body)
        with pytest.raises(UnreadableRoomError):
            RoomExchange(harness.context, None).answer(body)

    anyio.run(main)


# An answer from before the asker's silence proves nothing. Senders of earlier releases
# tell no age, and are answered as before.
@pytest.mark.parametrize(
    ("own_age_s", "told_age_s", "probed"),
    [
        (0.0, 1.0, False),
        (0.2, 0.4, True),
        (0.2, 0.6, False),
        (0.0, 0.2, True),
        (0.2, 9.0, False),
        (0.3, 9.0, True),
        (0.2, None, False),
        (0.3, None, True),
        (0.2, math.nan, False),
    ],
)
def test_which_answers_prove_that_only_the_asker_is_cut_off(
    own_age_s, told_age_s, probed
):
    clock = FakeClock()
    harness = GatewayHarness([], ONCE_ROUTE)
    harness.assemble(clock, None)
    monitor = ReachMonitor(harness.context, None)
    probes = []

    async def probe(service):
        probes.append(service)
        return []

    monitor._probe_some = probe
    harness.context.reach.record_answer("pool", fresh_connection=True)
    clock.advance(own_age_s)
    question = {"service": "pool", "answer_age_s": told_age_s}
    answer = anyio.run(monitor.answer, msgspec.msgpack.encode(question))
    assert msgspec.msgpack.decode(answer)["reached"] is not probed
    assert bool(probes) is probed


def test_a_question_of_an_earlier_release_is_read():
    harness = GatewayHarness([], ONCE_ROUTE)
    harness.assemble(FakeClock(), None)
    harness.context.reach.record_answer("pool", fresh_connection=True)
    monitor = ReachMonitor(harness.context, None)
    answer = anyio.run(monitor.answer, msgspec.msgpack.encode({"service": "pool"}))
    assert msgspec.msgpack.decode(answer)["reached"]
