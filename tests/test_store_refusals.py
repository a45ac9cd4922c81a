"""A store that refuses some gateways, and configurations that gateways relay."""

import random
import zlib

import anyio
import msgspec
import pytest

from lentilshore_kernel.exceptions import StoreUnavailableError
from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock
from lentilshore_node.clients.fleet_source import Change
from lentilshore_node.peers.gateway_directory import (
    FAILED_PEER_PAUSE_S,
    STALE_PEER_PAUSE_S,
    GatewayDirectory,
)
from lentilshore_node.peers.relay_messages import (
    DECOMPRESSED_LIMIT_BYTES,
    TABLE_LIMIT_BYTES,
    ConfigurationState,
    UnreadableTableError,
    compress_table,
    decompress_table,
)
from lentilshore_node.state.rollout_controller import RolloutController
from tests.test_fleet_view import record, rollout
from tests.test_fleet_view_updater import BOUNDS
from tests.test_relay import NAMES, Fleet, entry, wait

READY_AGE_S = 2.5


# Guards against calls of the store that grow with the gateways: each one read a new
# configuration itself.
@pytest.mark.parametrize("versions", [1, 5])
def test_a_new_configuration_is_read_by_one_gateway(versions):
    async def steps(fleet):
        await wait(fleet, 5.0)
        calls = {name: fleet.sources[name].calls for name in NAMES}
        for _ in range(versions):
            fleet.store.version += 1
            await wait(fleet, BOUNDS.config_apply_s)
            for name in NAMES:
                assert fleet.view(name).table.version == fleet.store.version
        for name in (fleet.follower, fleet.last):
            assert fleet.sources[name].calls == calls[name]

    Fleet().run(steps)


# Guards against gateways that leave the balancer, and call a store that refuses them
# four times a second, though the others could tell them all.
@pytest.mark.parametrize("role", ["reader", "follower", "last"])
def test_a_gateway_that_the_store_refuses_learns_from_the_others(role):
    ages = []

    async def steps(fleet):
        name = getattr(fleet, role)
        await wait(fleet, 5.0)
        fleet.sources[name].cut = True
        calls = fleet.sources[name].calls
        for step in range(100):
            if step == 50:
                fleet.store.version += 1
            await wait(fleet, 0.1)
            ages.append(fleet.view(name).confirmed_age_s)
        assert fleet.view(name).table.version == fleet.store.version
        # Three parts of the store are read.
        assert fleet.sources[name].calls - calls <= 3 * (10.0 / 2.0 + 1)

    Fleet().run(steps)
    assert max(ages) < READY_AGE_S


def test_a_refused_gateway_learns_of_replicas_that_leave_in_time():
    async def steps(fleet):
        await wait(fleet, 5.0)
        fleet.sources[fleet.reader].cut = True
        await wait(fleet, 3.0)
        fleet.store.number += 1
        leaving = Change("i-1", record(draining=True))
        fleet.store.events.append((fleet.store.number, leaving))
        await wait(fleet, BOUNDS.replica_drain_s - 0.3)
        for name in NAMES:
            assert not fleet.view(name).usable("i-1.0")

    Fleet().run(steps)


# Proofs of keys must not go round among gateways that the store refuses.
def test_gateways_that_are_all_refused_believe_nothing():
    async def steps(fleet):
        await wait(fleet, 5.0)
        for name in NAMES:
            fleet.sources[name].cut = True
        for step in range(60):
            await wait(fleet, 0.1)
            for name in NAMES:
                age_s = fleet.view(name).confirmed_age_s
                assert age_s >= 0.1 * (step + 1) - 0.01
        for name in NAMES:
            fleet.sources[name].cut = False
        await wait(fleet, 2.0)
        for name in NAMES:
            assert fleet.view(name).confirmed_age_s < READY_AGE_S

    Fleet().run(steps)


def test_what_a_refused_gateway_was_told_goes_no_further():
    async def steps(fleet):
        await wait(fleet, 5.0)
        fleet.sources[fleet.reader].cut = True
        await wait(fleet, 3.0)
        server = fleet.network.servers[fleet.reader]
        assert fleet.view(fleet.reader).confirmed_age_s < READY_AGE_S
        assert await server.answer("/relay/configuration", b"") is None

    Fleet().run(steps)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"no zlib",
        zlib.compress(b"7")[:-2],
        zlib.compress(b"x" * (DECOMPRESSED_LIMIT_BYTES + 1)),
        zlib.compress(b"3"),
    ],
    ids=["none", "malformed", "truncated", "too large", "other version"],
)
def test_a_table_that_cannot_be_read_is_read_from_the_store(data):
    async def steps(fleet):
        await wait(fleet, 5.0)
        fleet.store.version = 7
        state = ConfigurationState(1, 7, 0.01, data)
        for name in NAMES:
            if name != fleet.last:
                fleet.network.replies[name] = msgspec.msgpack.encode(state)
        await wait(fleet, BOUNDS.config_apply_s)
        assert fleet.view(fleet.last).table.version == 7

    Fleet().run(steps)


def test_large_tables_are_not_relayed():
    noise = random.Random(1).randbytes(TABLE_LIMIT_BYTES + 1)
    assert compress_table(noise) == b""
    assert decompress_table(compress_table(b"x" * 100_000)) == b"x" * 100_000
    with pytest.raises(UnreadableTableError):
        decompress_table(b"")


def directory():
    own = GatewayDirectory(
        entry("n1"), None, FakeClock(), random.Random(1), ServedMetrics()
    )
    others = [entry(f"n{n}") for n in (2, 3)]
    own.update([entry("n1"), *others, *(entry(f"n{n}", "far") for n in (4, 5))])
    return own


# Guards against a reader left alone for a minute after one moment of silence: the calls
# that failed together doubled its pause each.
def test_calls_that_fail_together_pause_a_gateway_once():
    own = directory()
    peer = entry("n2")
    for _ in range(6):
        own.record_failure(peer)
    own._clock.advance(FAILED_PEER_PAUSE_S + 0.01)
    assert not own.is_paused(peer)
    own.record_failure(peer)
    own._clock.advance(FAILED_PEER_PAUSE_S + 0.01)
    assert own.is_paused(peer)


def test_a_gateway_that_knows_less_is_paused_no_longer_each_time():
    own = directory()
    for _ in range(6):
        own.record_stale_answer(entry("n2"))
        assert own.is_paused(entry("n2"))
        own._clock.advance(STALE_PEER_PAUSE_S + 0.01)
        assert not own.is_paused(entry("n2"))


def test_fallback_peers_are_not_those_asked_first_and_one_is_elsewhere():
    own = directory()
    names = {peer.name for peer in own.fallback_peers()}
    assert names & {"n4", "n5"}
    assert not names & {peer.name for peer in own.peers_to_ask()}
    own.record_failure(entry("n4"))
    own.record_failure(entry("n5"))
    assert {peer.name for peer in own.fallback_peers()} <= {"n2", "n3"}


def test_a_store_that_is_away_is_called_again_after_its_return():
    async def steps(fleet):
        await wait(fleet, 5.0)
        for name in NAMES:
            fleet.sources[name].silent = True
        await wait(fleet, 8.0)
        for name in NAMES:
            fleet.sources[name].silent = False
        fleet.store.version += 1
        with anyio.fail_after(60):
            await wait(fleet, 3.0)
        for name in NAMES:
            assert fleet.view(name).table.version == fleet.store.version

    Fleet().run(steps)


# Guards against a storm of calls: each gateway called a store that was away six times a
# second, so that a third of the calls of a day were made in eight seconds.
@pytest.mark.parametrize("fault", ["cut", "silent"])
def test_a_store_that_is_away_is_called_by_one_gateway_of_a_data_centre(fault):
    async def steps(fleet):
        await wait(fleet, 5.0)
        for name in NAMES:
            setattr(fleet.sources[name], fault, True)
        await wait(fleet, 2.0)
        calls = {name: fleet.sources[name].calls for name in NAMES}
        await wait(fleet, 10.0)
        for name in (fleet.follower, fleet.last):
            # One call in FOLLOWER_BACKOFF_S, which may be shorter by half.
            assert fleet.sources[name].calls - calls[name] <= 10.0 / 0.75 + 1
        for name in NAMES:
            setattr(fleet.sources[name], fault, False)
        fleet.store.version += 1
        await wait(fleet, 2.5)
        for name in NAMES:
            assert fleet.view(name).table.version == fleet.store.version
            assert fleet.view(name).confirmed_age_s < READY_AGE_S

    Fleet().run(steps)


def test_a_gateway_whose_reader_is_lost_calls_a_store_that_is_away_itself():
    async def steps(fleet):
        await wait(fleet, 5.0)
        for name in NAMES:
            fleet.sources[name].cut = True
        fleet.network.unreachable |= {fleet.reader, fleet.follower}
        await wait(fleet, 3.0)
        fleet.sources[fleet.last].cut = False
        await wait(fleet, 1.5)
        assert fleet.view(fleet.last).confirmed_age_s < READY_AGE_S

    Fleet().run(steps)


# Guards against a storm of calls: all gateways wrote the step that was due again and
# again while the store was away.
def test_no_step_of_a_rollout_is_written_while_the_store_cannot_be_reached():
    written = []

    async def steps(fleet):
        context = fleet.contexts[fleet.reader]

        async def write_rollout(record):
            written.append(record)
            raise StoreUnavailableError("away")

        fleet.relayed[fleet.reader].write_rollout = write_rollout
        await wait(fleet, 5.0)
        context.view.update_rollout(rollout(None, 5))
        fleet.sources[fleet.reader].cut = True
        fleet.network.unreachable |= {fleet.follower, fleet.last}
        await wait(fleet, 3.0)
        controller = RolloutController(context, fleet.relayed[fleet.reader])
        with fleet.clock.timeout(3.0):
            await controller.run()
        assert written == []
        fleet.sources[fleet.reader].cut = False
        with fleet.clock.timeout(3.0):
            await controller.run()
        assert written

    Fleet().run(steps)


def test_a_follower_that_failed_serves_others_once_its_reader_is_back():
    async def steps(fleet):
        await wait(fleet, 5.0)
        for name in NAMES:
            fleet.sources[name].cut = True
        await wait(fleet, 5.0)
        for name in NAMES:
            fleet.sources[name].cut = False
        await wait(fleet, 3.0)
        server = fleet.network.servers[fleet.follower]
        assert await server.answer("/relay/configuration", b"") is not None

    Fleet().run(steps)
