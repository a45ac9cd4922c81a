"""Engine stand-in of the data path: many paced streams at little cost."""

from __future__ import annotations

import asyncio
import sys

import httptools
import msgspec
import uvloop

LOAD_ANSWER = b'{"work_tokens":0,"age_s":0.0}'


class EngineProtocol(asyncio.Protocol):
    """Answers each completion with a paced stream of tokens."""

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._parser = httptools.HttpRequestParser(self)
        self._body = b""
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection."""
        self._transport = transport  # type: ignore[assignment]

    def connection_lost(self, error: Exception | None) -> None:
        """Stop the stream."""
        if self._timer:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Take in bytes of a request."""
        self._parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        """Take in a path."""
        self._url = url

    def on_body(self, body: bytes) -> None:
        """Take in a part of a body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Answer a request."""
        raw, self._body = self._body, b""
        body = msgspec.json.decode(raw) if raw else {}
        if "messages" not in body:
            answer = b"[]" if b"cache" in self._url else LOAD_ANSWER
            head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(answer)
            self._write(head + answer)
            return
        self._write(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            b"transfer-encoding: chunked\r\n\r\n"
        )
        self._request = body.get("request_id", "direct")
        self._count = body["max_tokens"]
        self._offset = 0
        loop = asyncio.get_running_loop()
        self._due = loop.time()
        self._next()

    def _next(self) -> None:
        if self._offset >= self._count:
            self._end()
            return
        data = b'{"id":"%b","choices":[{"index":0,"delta":{"content":"token "}}]}' % (
            self._request.encode()
        )
        self._chunk(b"id: %d\ndata: %b\n\n" % (self._offset, data))
        self._offset += 1
        self._due += self._interval_s
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(self._due, self._next)

    def _end(self) -> None:
        usage = {"prompt_tokens": 10, "completion_tokens": self._count}
        end = {"request_id": self._request, "usage": usage, "confidence": 0.9}
        self._chunk(b"event: end\ndata: " + msgspec.json.encode(end) + b"\n\n")
        self._chunk(b"data: [DONE]\n\n")
        self._write(b"0\r\n\r\n")

    def _chunk(self, data: bytes) -> None:
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
