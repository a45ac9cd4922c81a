"""Stand-in for an engine that paces many streams at a low processor cost.

Run as ``python -m bench.upstream TOKEN_INTERVAL_S``; prints the address on which it
listens.
"""

from __future__ import annotations

import asyncio
import sys

import httptools
import msgspec
import uvloop

LOAD_RESPONSE = b'{"work_tokens":0,"age_s":0.0}'


class EngineProtocol(asyncio.Protocol):
    """Answers each completion with a paced stream of tokens.

    The parser calls the ``on_`` methods.

    :param interval_s: time between two tokens of a stream, seconds.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._parser = httptools.HttpRequestParser(self)
        self._body = b""
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the connection."""
        self._transport = transport  # type: ignore[assignment]

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the next token of the stream."""
        if self._timer:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the HTTP parser."""
        self._parser.feed_data(data)

    def on_url(self, path: bytes) -> None:
        """Store the path of a request."""
        self._path = path

    def on_body(self, body: bytes) -> None:
        """Append to the body of a request."""
        self._body += body

    def on_message_complete(self) -> None:
        """Start the stream of a completion, or answer a load or cache request."""
        raw_body, self._body = self._body, b""
        body = msgspec.json.decode(raw_body) if raw_body else {}
        if "messages" not in body:
            payload = b"[]" if b"cache" in self._path else LOAD_RESPONSE
            head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(payload)
            self._write(head + payload)
            return
        self._write(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            b"transfer-encoding: chunked\r\n\r\n"
        )
        self._request_id = body.get("request_id", "direct")
        self._token_count = body["max_tokens"]
        self._tokens_sent = 0
        loop = asyncio.get_running_loop()
        self._next_token_at = loop.time()
        self._send_next_token()

    def _send_next_token(self) -> None:
        if self._tokens_sent >= self._token_count:
            self._send_end()
            return
        data = b'{"id":"%b","choices":[{"index":0,"delta":{"content":"token "}}]}' % (
            self._request_id.encode()
        )
        self._write_chunk(b"id: %d\ndata: %b\n\n" % (self._tokens_sent, data))
        self._tokens_sent += 1
        self._next_token_at += self._interval_s
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(self._next_token_at, self._send_next_token)

    def _send_end(self) -> None:
        usage = {"prompt_tokens": 10, "completion_tokens": self._token_count}
        end = {"request_id": self._request_id, "usage": usage, "confidence": 0.9}
        self._write_chunk(b"event: end\ndata: " + msgspec.json.encode(end) + b"\n\n")
        self._write_chunk(b"data: [DONE]\n\n")
        self._write(b"0\r\n\r\n")

    def _write_chunk(self, data: bytes) -> None:
        self._write(b"%x\r\n%b\r\n" % (len(data), data))

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)


async def _main(interval_s: float) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: EngineProtocol(interval_s), "127.0.0.1", 0, backlog=2048
    )
    host, port = server.sockets[0].getsockname()
    print(f"listening {host}:{port}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(_main(float(sys.argv[1])))
