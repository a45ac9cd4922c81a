"""A replica whose bytes have no end costs neither memory nor the caller's answer."""

import asyncio

import anyio
import pytest

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.types import Address
from lentilshore_node.clients import http_connection
from lentilshore_node.clients.event_splitter import EVENT_LIMIT_BYTES, EventSplitter
from lentilshore_node.clients.http_client import HttpClient, encode_request
from lentilshore_node.clients.http_connection import (
    AnswerTooLargeError,
    CallBrokenError,
    CallGarbledError,
    CallTimedOutError,
)
from lentilshore_routing.routes import DeliveryMode
from tests.test_gateway import (
    IDEMPOTENT_ROUTE,
    RESUMABLE_ROUTE,
    SIGNED,
    Caller,
    GatewayHarness,
    chunk,
    event,
    route,
    signed,
    stream,
)

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SKIPPED = HEAD + b"Content-Length: 2\r\nRequest-Id: old\r\n\r\nxx"
REQUEST = encode_request(b"GET", b"/x", [(b"host", b"h")], None)
BLOCK_BYTES = 65_536
# What the buffers of two sockets hold beyond what the client reads.
SOCKET_BYTES = 8_000_000

# First bytes, and those that follow without end.
ENDLESS = {
    "fields": (HEAD, b"X-Filler: abcdefgh\r\n"),
    "value": (HEAD + b"X-Filler: ", b"a"),
    "name": (HEAD, b"a"),
    "status line": (b"HTTP/1.1 200 ", b"a"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim fields": (b"HTTP/1.1 100 Continue\r\n", b"X-F: a\r\n"),
    "other answers": (b"", SKIPPED),
    "another answer": (HEAD + b"Request-Id: old\r\nConnection: close\r\n\r\n", b"a"),
    "body": (CHUNKED, b"4\r\nabcd\r\n"),
    "body without a length": (HEAD + b"\r\n", b"a"),
    "chunk extension": (CHUNKED + b"4;", b"a"),
    "chunk size": (CHUNKED, b"0"),
    "trailers": (CHUNKED + b"1\r\na\r\n0\r\n", b"X-Filler: abcdefgh\r\n"),
}


class EndlessServer:
    """Sends bytes without end in answer to its first request, then whole answers."""

    def __init__(self, first, repeated, whole=None):
        self._first, self._repeated, self._whole = first, repeated, whole
        self.sent_bytes = 0
        self.requests = 0
        self.address = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = Address(host, port)
        return self

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        block = self._repeated * (BLOCK_BYTES // len(self._repeated))
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            if self.requests > 1 and self._whole is not None:
                writer.write(self._whole)
                await reader.read()
                return
            writer.write(self._first)
            while True:
                writer.write(block)
                await writer.drain()
                self.sent_bytes += len(block)
                if self.sent_bytes > 20 * SOCKET_BYTES:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def call(client, address, timeout_s=5.0, limit_bytes=1_000_000):
    async with client.exchange(
        address,
        lambda: REQUEST,
        timeout_s,
        lambda headers, _: headers.get("request-id") != "old",
    ) as response:
        return await response.read(limit_bytes)


# A head with fields without end grew a gateway by 798 MB in 1.5 s.
@pytest.mark.parametrize("kind", ENDLESS)
def test_an_answer_without_end_is_given_up_after_a_bounded_number_of_bytes(kind):
    async def main():
        async with EndlessServer(*ENDLESS[kind]) as server:
            client = HttpClient()
            with pytest.raises((CallGarbledError, AnswerTooLargeError)):
                await call(client, server.address)
            await anyio.sleep(0.05)
            await client.close()
            return server.sent_bytes

    assert anyio.run(main) < SOCKET_BYTES


def test_bytes_on_an_idle_connection_close_it():
    async def main():
        whole = HEAD + b"Content-Length: 2\r\n\r\nok"
        async with EndlessServer(whole, b"stray") as server:
            client = HttpClient()
            assert await call(client, server.address) == b"ok"
            await anyio.sleep(0.3)
            await client.close()
            return server.sent_bytes

    assert anyio.run(main) < SOCKET_BYTES


def test_a_body_that_trickles_in_has_a_deadline_as_a_whole():
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(CHUNKED)
        try:
            for _ in range(200):
                writer.write(b"1\r\na\r\n")
                await writer.drain()
                await asyncio.sleep(0.02)
        except ConnectionError:
            pass
        writer.close()

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname())
        try:
            with pytest.raises(CallTimedOutError):
                async with HttpClient().exchange(
                    address, lambda: REQUEST, 0.2
                ) as response:
                    await response.read(total_s=0.2)
        finally:
            server.close()

    anyio.run(main)


def test_answers_that_are_read_at_once_share_a_limit(monkeypatch):
    """Many bodies, each within its own limit, exceeded the memory of a machine."""
    monkeypatch.setattr(http_connection, "BUFFERED_LIMIT_BYTES", 300_000)

    async def main():
        body = b"a" * 100_000
        head = HEAD + b"Content-Length: 100001\r\n\r\n"
        client = HttpClient()
        outcomes = []

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head + body)
            await reader.read()
            writer.close()

        async def one():
            try:
                await call(client, address, timeout_s=0.5)
            except CallBrokenError as error:
                outcomes.append(type(error))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname())
        async with anyio.create_task_group() as group:
            for _ in range(5):
                group.start_soon(one)
        server.close()
        assert client.buffered_bytes == 0
        return outcomes

    outcomes = anyio.run(main)
    assert outcomes.count(AnswerTooLargeError) == 2
    assert outcomes.count(CallTimedOutError) == 3


def endless(first, repeated):
    """Return a script that sends 2 MB at the most."""

    def script(fields):
        echo = f"X-Attempt-Id: {fields['x-attempt-id']}"
        head = "\r\n".join([HEAD.decode().strip(), SIGNED, echo, ""]).encode()
        count = 2_000_000 // len(repeated)
        return [head + first, *[repeated * (count // 30)] * 30, "hang"]

    return script


CHUNKED_FIELD = b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("first", "repeated"),
    [
        (b"", b"X-Filler: abcdefgh\r\n"),
        (b"X-Filler: ", b"a"),
        (CHUNKED_FIELD + b"4;", b"a"),
        (CHUNKED_FIELD + b"1\r\na\r\n0\r\n", b"X-Filler: abcdefgh\r\n"),
    ],
    ids=["fields", "value", "chunk extension", "trailers"],
)
@pytest.mark.parametrize("with_route", [IDEMPOTENT_ROUTE, RESUMABLE_ROUTE])
def test_the_next_replica_answers_instead_of_an_endless_one(
    first, repeated, with_route
):
    whole = signed() if with_route is IDEMPOTENT_ROUTE else stream([1], "whole")
    harness = GatewayHarness([endless(first, repeated), whole], with_route)
    caller = harness.run(Caller())
    body = b"ok" if with_route is IDEMPOTENT_ROUTE else event(1)
    assert (caller.status, caller.body, caller.complete) == (200, body, True)
    assert len(harness.server.requests) == 2


def test_an_endless_answer_to_a_request_that_may_run_once_denies_nothing():
    script = endless(b"", b"X-Filler: abcdefgh\r\n")
    harness = GatewayHarness([script, signed()], route(DeliveryMode.ONCE))
    assert harness.run(Caller()).status == 502
    assert len(harness.server.requests) == 1


def test_a_stream_of_bytes_that_complete_no_event_is_resumed_elsewhere():
    """Each byte restarted the timeout, so that the stream hung until its deadline."""

    def trickling(fields):
        steps = stream([1])(fields)[:-1]
        return [*steps, *[chunk(b"x"), 0.05] * 60, "hang"]

    harness = GatewayHarness(
        [trickling, stream([2], "whole")], route(DeliveryMode.STREAM_RESUMABLE)
    )
    caller = harness.run(Caller())
    assert (caller.body, caller.complete) == (event(1) + event(2), True)


def test_an_event_without_end_is_an_error_at_its_limit():
    splitter = EventSplitter()
    with pytest.raises(UpstreamError):
        for _ in range(EVENT_LIMIT_BYTES // 1000 + 1):
            splitter.feed(b"x" * 1000)
    assert EVENT_LIMIT_BYTES <= 262_144
