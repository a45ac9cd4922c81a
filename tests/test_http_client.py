import anyio
import pytest

from lentilshore_kernel.types import Address
from lentilshore_node.clients.http_client import HttpClient, encode_request
from lentilshore_node.clients.http_connection import (
    CallBrokenError,
    CallCutError,
    CallGarbledError,
    CallNotSentError,
    CallTimedOutError,
)
from tests.scripted import ScriptedServer, answer

CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUEST = encode_request(b"GET", b"/x", [(b"host", b"h")], None)


def encode():
    return REQUEST


def run_calls(scripts, calls=1, belongs_to_call=None, timeout_s=2.0, pause_s=0.0):
    """Return what each call gave, and how many connections were made."""

    async def main():
        server = ScriptedServer(scripts)
        async with server.running():
            client = HttpClient()
            results = [
                await call(client, server.address, belongs_to_call, timeout_s, pause_s)
                for _ in range(calls)
            ]
            await client.close()
            return results, server.connections

    return anyio.run(main)


async def call(client, address, belongs_to_call, timeout_s, pause_s=0.0):
    try:
        async with client.exchange(
            address, encode, timeout_s, belongs_to_call
        ) as response:
            return response.status, await response.read()
    except (CallNotSentError, CallBrokenError) as error:
        return type(error)
    finally:
        await anyio.sleep(pause_s)


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        ([answer(b"abc")], (200, b"abc")),
        ([answer(b"ab")[:-1], 0.01, b"b"], (200, b"ab")),
        ([CHUNKED.encode() + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"], (200, b"abc")),
        ([b"HTTP/1.1 100 Continue\r\n\r\n", answer(b"abc")], (200, b"abc")),
        ([answer(b"", "204 No Content", framed=False)], (204, b"")),
        ([answer(b"abc", framed=False), "close"], (200, b"abc")),
        ([answer(b"abc", framed=False), 0.02, "reset"], CallCutError),
        ([answer(b"abc")[:-1], "close"], CallCutError),
        ([CHUNKED.encode() + b"2\r\nab\r\n", "close"], CallCutError),
        ([b"no answer at all\r\n\r\n", "hang"], CallGarbledError),
        (["close"], CallCutError),
        (["reset"], CallCutError),
    ],
)
def test_exchange_returns_whole_answer_or_raises(script, expected):
    results, _ = run_calls([script])
    assert results == [expected]


def test_silent_server_raises_timeout():
    results, _ = run_calls([["hang"]], timeout_s=0.05)
    assert results == [CallTimedOutError]


def test_refused_connection_raises_not_sent():
    async def main():
        server = ScriptedServer([[answer()]])
        async with server.running():
            address = server.address
        return await call(HttpClient(), Address(*address), None, 1.0)

    assert anyio.run(main) is CallNotSentError


@pytest.mark.parametrize(
    ("script", "connections"),
    [
        ([answer()], 1),
        ([answer(fields=["Connection: close"])], 2),
        ([answer(fields=["Keep-Alive: timeout=1"])], 2),
        ([answer(fields=["Keep-Alive: timeout=30"])], 1),
        ([answer(), answer(b"not asked for")], 2),
        ([answer(), 0.01, b"stray bytes"], 2),
        ([answer(framed=False), "close"], 2),
    ],
)
def test_connection_is_reused_only_after_clean_answer(script, connections):
    results, connections_made = run_calls([script], calls=2, pause_s=0.05)
    assert results == [(200, b"ok")] * 2
    assert connections_made == connections


def test_late_answer_to_another_request_is_skipped():
    late = answer(b"other", fields=["Request-Id: old"])
    own = answer(b"own", fields=["Request-Id: new"])
    results, connections_made = run_calls(
        [[late, own]], calls=2, belongs_to_call=lambda h, _: h["request-id"] == "new"
    )
    assert results == [(200, b"own")] * 2
    assert connections_made == 2


def test_leaving_before_the_end_closes_connection():
    async def main():
        server = ScriptedServer([[CHUNKED.encode() + b"1\r\na\r\n", "hang"]])
        async with server.running():
            client = HttpClient()
            async with client.exchange(server.address, encode, 1.0) as response:
                first = await anext(response.aiter_stream())
            await call(client, server.address, None, 0.05)
            return first, server.connections

    assert anyio.run(main) == (b"a", 2)


@pytest.mark.parametrize("value", [b"a\r\nb: c", b"a\nb", b"a\0"])
def test_header_with_line_end_or_null_is_rejected(value):
    with pytest.raises(ValueError, match="line end"):
        encode_request(b"GET", b"/", [(b"x", value)], None)


def test_request_is_encoded_after_connecting():
    events = []

    class NotAllowedError(Exception):
        pass

    async def main():
        server = ScriptedServer([[answer()]])

        def refuse():
            events.append("checked")
            raise NotAllowedError

        async with server.running():
            with pytest.raises(NotAllowedError):
                async with HttpClient().exchange(server.address, refuse, 1.0):
                    pass
            await anyio.sleep(0.02)
            return server.connections, server.requests

    assert anyio.run(main) == (1, [])
    assert events == ["checked"]
