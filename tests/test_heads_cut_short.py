"""Answers whose connection ends before their head does."""

import asyncio

import anyio
import pytest

from lentilshore_node.clients.http_client import HttpClient, encode_request
from lentilshore_node.clients.http_connection import CallBrokenError
from lentilshore_routing.routes import DeliveryMode
from tests.gateway_fleet import StandinReplica, running_fleet, send_one
from tests.scripted import ScriptedServer
from tests.test_forwarded_requests import cut_off
from tests.test_gateway import (
    IDEMPOTENT_ROUTE,
    ONCE_ROUTE,
    RESUMABLE_ROUTE,
    Caller,
    GatewayHarness,
    event,
    route,
    signed,
    stream,
)

REQUEST = encode_request(b"GET", b"/x", [(b"host", b"h")], None)
START = b"HTTP/1.1 200 OK\r\nX-Response-Signature: s1\r\nX-Attempt-Id: a1\r\n"
HEADS = {
    "length": START + b"Content-Length: 2\r\n\r\n",
    "chunks": START + b"Transfer-Encoding: chunked\r\n\r\n",
    "no length": START + b"Content-Type: text/plain\r\n\r\n",
    "interim": b"HTTP/1.1 103 Early\r\n\r\n" + START + b"X: y\r\n\r\n",
    "no body": b"HTTP/1.1 204 None\r\nX-Attempt-Id: a1\r\n\r\n",
}
STREAM_ONCE_ROUTE = route(DeliveryMode.STREAM_ONCE)


# MIXED and ORDER: a replica that stopped within a head became a 200 with no body.
@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("kind", HEADS)
def test_no_part_of_a_head_is_an_answer(kind, end):
    head = HEADS[kind]
    scripts = [[head[:size], end] for size in range(len(head))]

    async def main():
        async with ScriptedServer(scripts).running() as server:
            client = HttpClient()
            for size in range(len(head)):
                with anyio.fail_after(5), pytest.raises(CallBrokenError):
                    async with client.exchange(server.address, lambda: REQUEST, 2.0):
                        raise AssertionError(f"{head[:size]} is an answer")

    anyio.run(main)


@pytest.mark.parametrize("size", [5, 17, len(START) - 1, len(START), len(START) + 20])
@pytest.mark.parametrize("kind", ["length", "chunks", "no length"])
@pytest.mark.parametrize(
    ("with_route", "status"),
    [
        (ONCE_ROUTE, 502),
        (STREAM_ONCE_ROUTE, 502),
        (IDEMPOTENT_ROUTE, 200),
        (RESUMABLE_ROUTE, 200),
    ],
)
def test_a_head_cut_short_is_a_failed_attempt(size, kind, with_route, status):
    whole = signed()
    if with_route.delivery_mode.streaming:
        whole = stream([1, 2], "whole")
    harness = GatewayHarness([[HEADS[kind][:size], "close"], whole], with_route)
    caller = harness.run(Caller())
    assert caller.status == status
    if status == 200:
        assert caller.body in (b"ok", event(1) + event(2)) and caller.complete


class CutReplica(StandinReplica):
    """Replica that ends one answer within the head."""

    cuts_next = False

    async def _run(self, request, reader, writer):
        if self.cuts_next:
            self.cuts_next = False
            writer.write(START[:40])
            return False
        return await super()._run(request, reader, writer)


@pytest.mark.usefixtures("early_gateway_lists")
@pytest.mark.parametrize(("kind", "served"), [("once", False), ("safe", True)])
def test_a_head_cut_short_behind_another_gateway_is_a_failed_attempt(kind, served):
    async def main():
        replica = CutReplica("i-1")
        async with running_fleet(2, [replica]) as fleet:
            await cut_off(fleet.gateways[:1])
            replica.cuts_next = True
            return await send_one(fleet.gateways[0], kind, "head")

    answered = asyncio.run(main())
    assert answered.served is served
    if not served:
        assert answered.status == 502
