"""Stopping a gateway: requests that arrive while it drains are completed."""

import random
import signal
from unittest.mock import patch

import anyio
import pytest

from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock, run_with_clock
from lentilshore_kernel.types import Address
from lentilshore_node.programs.gateway_assembly import create_gateway
from lentilshore_node.programs.gateway_server import (
    STOP_MARGIN_S,
    GatewayAddresses,
    GatewayServer,
)
from lentilshore_node.state.gateway_context import BALANCER_REMOVAL_S
from lentilshore_platform import __main__ as entry_point
from lentilshore_platform import program
from tests.test_gateway import BOUNDS

ANY = Address("127.0.0.1", 0)


def create_server(clock):
    context = create_gateway(
        "n1", "dc", BOUNDS, clock, random.Random(1), ServedMetrics(), None, None
    )
    addresses = GatewayAddresses(ANY, ANY, None)
    return context, GatewayServer(context, None, addresses, lambda: None)


@pytest.mark.parametrize("arrives_after_s", [-0.1, 0.05, 0.25, 0.45])
def test_a_request_that_arrives_as_the_listener_closes_is_completed(arrives_after_s):
    """A connection accepted just before the listener closed may carry it."""
    clock = FakeClock()
    context, server = create_server(clock)
    completed = []

    async def serve_late_request():
        await clock.sleep(BALANCER_REMOVAL_S + arrives_after_s)
        context.in_flight += 1
        await clock.sleep(1.0)
        completed.append(True)
        context.in_flight -= 1

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(serve_late_request)
            await server._drain()
            group.cancel_scope.cancel()

    run_with_clock(clock, main)
    assert completed


def test_a_drain_ends_within_the_grace_period():
    clock = FakeClock()
    context, server = create_server(clock)
    context.in_flight = 1
    started_at = clock.monotonic()
    run_with_clock(clock, server._drain)
    assert clock.monotonic() - started_at <= BOUNDS.grace_s - STOP_MARGIN_S + 0.2


@pytest.fixture
def kept_handlers():
    numbers = (signal.SIGTERM, signal.SIGHUP)
    handlers = [signal.getsignal(number) for number in numbers]
    yield
    for number, handler in zip(numbers, handlers, strict=True):
        signal.signal(number, handler)


# A gateway ended by SIGHUP, sent after its drain, with a signal's exit status.
def test_signals_do_not_end_a_gateway_that_has_stopped(kept_handlers):
    _, server = create_server(FakeClock())

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(server._receive_signals)
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()

    anyio.run(main)
    assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    assert signal.getsignal(signal.SIGTERM) is signal.SIG_IGN


# A gateway ended by SIGHUP while it started.
def test_hangup_does_not_end_a_gateway_that_starts(kept_handlers):
    handlers = []
    with patch.object(
        program, "run_program", lambda: handlers.append(signal.getsignal(signal.SIGHUP))
    ):
        entry_point.main()
    assert handlers == [signal.SIG_IGN]
