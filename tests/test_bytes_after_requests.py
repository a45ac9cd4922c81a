"""What follows a whole request on its connection does not take its answer away."""

import asyncio
import random

import anyio
import pytest

from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.types import Address
from lentilshore_node.clients.http_client import HttpClient
from lentilshore_node.programs.gateway_assembly import create_gateway
from lentilshore_node.programs.gateway_server import (
    HEAD_LIMIT_BYTES,
    GatewayAddresses,
    GatewayServer,
)
from lentilshore_platform.translator import HeaderTranslator
from lentilshore_routing.routes import CallerLimits, DeliveryMode, KeyOwner, RouteTable
from tests.scripted import ScriptedServer
from tests.test_gateway import (
    BOUNDS,
    KEY,
    GatewayHarness,
    _EventLoopClock,
    event,
    route,
    signed,
    stream,
)
from tests.test_handover_races import after

ANY = Address("127.0.0.1", 0)
HEAD = (
    b"POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n"
    b"Authorization: Bearer " + KEY.encode() + b"\r\nContent-Length: 2\r\n\r\n"
)
GARBAGE = {
    "no request": b"in" + b"garbage\r\n\r\n",
    "null bytes": b"in" + b"\0" * 10,
    "bad method": b"in" + b"NONE /p/x HTTP/9.9\r\n\r\n",
    "head too large": b"in"
    + b"GET /p/x HTTP/1.1\r\nX: "
    + b"x" * HEAD_LIMIT_BYTES
    + b"\r\n\r\n",
}


async def ask(script, with_route, data, after_s=0.0):
    """Return what a gateway sends for a request's head and the bytes after it."""
    replicas = ScriptedServer([script])
    harness = GatewayHarness([], with_route)
    async with replicas.running():
        harness.server = replicas
        context = create_gateway(
            "n1",
            "dc",
            BOUNDS,
            _EventLoopClock(),
            random.Random(1),
            ServedMetrics(),
            HttpClient(),
            HeaderTranslator(),
        )
        context.view.replace_replicas([harness._record("i-1")])
        keys = {KEY: KeyOwner("kerlann")}
        context.view.update_table(RouteTable(1, [with_route], keys, CallerLimits()))
        context.view.confirm_table(1, context.clock.monotonic())
        server = GatewayServer(
            context, None, GatewayAddresses(ANY, ANY, None), lambda: 0
        )
        port = server._sockets[0].getsockname()[1]
        async with anyio.create_task_group() as group:
            group.start_soon(lambda: server._server.serve(sockets=server._sockets))
            with anyio.fail_after(10):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(HEAD + data[:2])
                await anyio.sleep(after_s)
                writer.write(data[2:])
                received = await reader.read()
                writer.close()
            server._server.should_exit = True
        await context.http.close()
    return received, len(replicas.requests)


# Guards against LOST: bytes after a whole request that are no request closed its
# connection, though a replica was at work on it.
@pytest.mark.parametrize("after_s", [0.0, 0.15])
@pytest.mark.parametrize("name", GARBAGE)
def test_bytes_that_are_no_request_do_not_end_the_answer_before_them(name, after_s):
    script = after(0.3, signed(b"whole"))
    with_route = route(DeliveryMode.ONCE)
    received, requests = anyio.run(ask, script, with_route, GARBAGE[name], after_s)
    assert requests == 1
    assert received.startswith(b"HTTP/1.1 200")
    assert received.endswith(b"\r\n\r\nwhole")


# The same in the middle of a stream.
@pytest.mark.parametrize("name", GARBAGE)
def test_bytes_that_are_no_request_do_not_end_a_stream(name):
    def paused(fields):
        *steps, last_event, end = stream([1, 2], "whole")(fields)
        return [*steps, 0.3, last_event, end]

    with_route = route(DeliveryMode.STREAM_ONCE)
    received, _ = anyio.run(ask, paused, with_route, GARBAGE[name], 0.15)
    assert received.count(event(1)) == received.count(event(2)) == 1
    assert received.endswith(b"0\r\n\r\n")
