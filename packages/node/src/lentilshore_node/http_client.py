"""HTTP calls over kept connections, with errors that say what was sent."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import httptools
import msgspec

from lentilshore_kernel.exceptions import LentilshoreError
from lentilshore_kernel.types import Address

CONNECT_TIMEOUT_S = 1.0
# Kept shorter than the idle limits of common servers, which start at 5 s.
KEEP_ALIVE_S = 4.0
# Closes a connection before the server does, by the usual spread of delays.
KEEP_ALIVE_MARGIN_S = 1.0
IDLE_LIMIT = 64
ANSWER_LIMIT_BYTES = 16_777_216
# Reading pauses while this much of an answer waits for its reader.
READ_BUFFER_BYTES = 262_144
# Probes begin after 1 s without a byte; two lost ones, or bytes that nobody took for
# 2 s, end the connection. Replicas that leave must be known to have left in 2 s.
SILENCE_OPTIONS = {
    socket.TCP_KEEPIDLE: 1,
    socket.TCP_KEEPINTVL: 1,
    socket.TCP_KEEPCNT: 2,
    socket.TCP_USER_TIMEOUT: 2000,
}
BODILESS_STATUSES = (204, 304)
NO_TOKEN_BYTES = b"\r\n\0"

HeaderFields = Sequence[tuple[bytes, bytes]]
Accept = Callable[[dict[str, str]], bool]
# Returns the whole request, or raises to send nothing.
Encode = Callable[[], bytes]
# Tells after a timeout for how many more seconds to wait, 0 for none.
Extend = Callable[[], float]


class CallNotSentError(LentilshoreError):
    """No connection was made, so no byte of the request was sent."""

    exit_code = 3


class CallBrokenError(LentilshoreError):
    """The connection failed after bytes may have been sent."""

    exit_code = 3


class CallTimedOutError(CallBrokenError):
    """No answer came in time after bytes may have been sent."""


class CallGarbledError(CallBrokenError):
    """What came back is no HTTP answer."""


class AnswerTooLargeError(CallBrokenError):
    """The answer is larger than is taken from any server."""


class HttpAnswer(NamedTuple):
    """A whole HTTP answer.

    :param status: status code.
    :param headers: headers, names in lower case.
    :param body: the body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON.

        :raises msgspec.DecodeError: if it is not JSON.
        """
        return msgspec.json.decode(self.body)


class _Connection(asyncio.Protocol):
    """One connection, which serves one call at a time."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: Any = None
        self._parser = httptools.HttpResponseParser(self)
        self._wakeup: asyncio.Future[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._error: CallBrokenError | None = None
        self._closed = False
        self._busy = False
        self._reusable = True
        self._accept: Accept | None = None
        self._extend: Extend | None = None
        self._idle_since = 0.0
        self._keep_alive_s = KEEP_ALIVE_S
        self._clear()

    @property
    def idle_s(self) -> float:
        """Seconds since the last call ended."""
        return self._loop.time() - self._idle_since

    @property
    def usable(self) -> bool:
        """Whether another call may be made."""
        if self._closed or not self._reusable or self._busy:
            return False
        return self.idle_s < self._keep_alive_s

    def _clear(self) -> None:
        self._status = 0
        self._headers: dict[str, str] = {}
        self._fields: list[tuple[bytes, bytes]] = []
        self._parts: deque[bytes] = deque()
        self._buffered = 0
        self._headers_done = False
        self._complete = False
        self._framed = False
        self._skipping = False
        self._beyond = False

    def connection_made(self, transport: Any) -> None:
        """Take over the transport."""
        self._transport = transport
        _watch_silence(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the answer; bytes nobody asked for end the connection."""
        if not self._busy or self._complete:
            self._reusable = False
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(CallGarbledError("the server changed the protocol"))
        except httptools.HttpParserError as error:
            self._fail(CallGarbledError(f"not an HTTP answer: {error}"))
        self._wake()

    def eof_received(self) -> bool:
        """Note the end; it ends an answer that has no length."""
        unframed = self._headers_done and not self._framed
        if unframed and not self._skipping:
            self._complete = True
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is gone."""
        self._closed = True
        if not self._complete:
            self._fail(CallBrokenError(f"connection lost: {error or 'closed'}"))
        self._writable.set()
        self._wake()

    def pause_writing(self) -> None:
        """Hold writers back."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writable.set()

    def on_message_begin(self) -> None:
        """Note an answer that follows the one asked for."""
        if self._complete:
            self._beyond, self._reusable = True, False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in one header."""
        if not self._beyond:
            self._fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Take in the head of an answer."""
        if self._beyond:
            return
        self._status = self._parser.get_status_code()
        self._headers = {
            k.decode("latin-1").lower(): v.decode("latin-1") for k, v in self._fields
        }
        if 100 <= self._status < 200:
            self._fields = []
            return
        names = self._headers
        self._framed = (
            "content-length" in names
            or "chunked" in names.get("transfer-encoding", "").lower()
            or self._status in BODILESS_STATUSES
        )
        if not self._framed or not self._parser.should_keep_alive():
            self._reusable = False
        self._note_keep_alive(names.get("keep-alive", ""))
        if self._accept is not None and not self._accept(names):
            self._skipping, self._reusable = True, False
            return
        self._headers_done = True

    def on_body(self, data: bytes) -> None:
        """Take in a part of the body."""
        if self._skipping or self._beyond:
            return
        self._parts.append(data)
        self._buffered += len(data)
        if self._buffered > READ_BUFFER_BYTES and not self._closed:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Note the end of an answer."""
        if self._beyond or 100 <= self._status < 200:
            return
        if self._skipping:
            self._clear()
            return
        self._complete = True

    def send(self, data: bytes, accept: Accept | None, extend: Extend | None) -> None:
        """Begin a call.

        :param data: the whole request.
        :param accept: tells by its headers whether an answer belongs to the call.
        :param extend: tells how much longer to wait for a late answer.
        """
        self._clear()
        self._parser = httptools.HttpResponseParser(self)
        self._accept, self._extend, self._busy = accept, extend, True
        self._transport.write(data)

    async def head(self, timeout_s: float) -> None:
        """Wait for the head of the answer.

        :raises CallBrokenError: if it does not come.
        """
        deadline = self._loop.time() + timeout_s
        while not self._headers_done:
            if self._error is not None:
                raise self._error
            deadline = await self._wait(deadline)

    async def part(self, timeout_s: float) -> bytes:
        """Return the next part of the body, empty at the end.

        :raises CallBrokenError: if the connection broke before the end.
        """
        deadline = self._loop.time() + timeout_s
        while not self._parts:
            if self._complete:
                return b""
            if self._error is not None:
                raise self._error
            deadline = await self._wait(deadline)
        data = self._parts.popleft() if len(self._parts) == 1 else b"".join(self._parts)
        self._parts.clear()
        self._buffered = 0
        if not self._closed:
            self._transport.resume_reading()
        return data

    def end_call(self) -> None:
        """End the call; a connection whose answer is not whole is closed."""
        whole = self._complete and not self._parts and self._error is None
        self._busy = False
        self._idle_since = self._loop.time()
        if not whole or not self._writable.is_set():
            self._reusable = False

    def close(self) -> None:
        """Close the connection at once."""
        self._reusable = False
        if self._transport is not None and not self._closed:
            self._transport.abort()

    async def _wait(self, deadline: float) -> float:
        """Wait until something has come, and return the deadline, moved if need be."""
        now = self._loop.time()
        if now >= deadline:
            more_s = self._extend() if self._extend is not None else 0.0
            if more_s <= 0:
                self._reusable = False
                raise CallTimedOutError("no answer in time")
            deadline = now + more_s
        self._wakeup = self._loop.create_future()
        timer = self._loop.call_at(deadline, self._wake)
        try:
            await self._wakeup
        finally:
            timer.cancel()
            self._wakeup = None
        return deadline

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)

    def _fail(self, error: CallBrokenError) -> None:
        self._reusable = False
        if self._error is None:
            self._error = error

    def _note_keep_alive(self, text: str) -> None:
        for item in text.split(","):
            name, _, value = item.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdigit():
                limit = float(value) - KEEP_ALIVE_MARGIN_S
                self._keep_alive_s = min(KEEP_ALIVE_S, max(0.0, limit))


class Reply:
    """Answer whose body is still to be read.

    :param connection: where it comes from.
    :param timeout_s: longest silence of the server, seconds.
    """

    def __init__(self, connection: _Connection, timeout_s: float) -> None:
        self._connection = connection
        self.timeout_s = timeout_s
        self.status = connection._status
        self.headers = connection._headers
        self.fields: HeaderFields = connection._fields

    async def aiter_stream(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they come."""
        while data := await self._connection.part(self.timeout_s):
            yield data

    async def read(self) -> bytes:
        """Return the whole body.

        :raises AnswerTooLargeError: if it exceeds :data:`ANSWER_LIMIT_BYTES`.
        """
        parts = []
        size = 0
        async for data in self.aiter_stream():
            size += len(data)
            if size > ANSWER_LIMIT_BYTES:
                raise AnswerTooLargeError(f"answer has over {size} bytes")
            parts.append(data)
        return b"".join(parts)


class HttpClient:
    """Client for servers that are named by IP number and port."""

    def __init__(self) -> None:
        self._idle: dict[Address, list[_Connection]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Connections opened since the start."""
        return self._opened

    async def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.forget(address)

    def forget(self, address: Address) -> None:
        """Close the idle connections to a server."""
        for connection in self._idle.pop(address, []):
            connection.close()

    async def request(
        self,
        method: str,
        address: Address,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> HttpAnswer:
        """Make a call and read the whole answer.

        :param timeout_s: longest silence of the server, seconds.
        :raises CallNotSentError: if nothing was sent.
        :raises CallBrokenError: if the call failed after that.
        """
        async with self.open(method, address, path, body, headers, timeout_s) as reply:
            return HttpAnswer(reply.status, reply.headers, await reply.read())

    @asynccontextmanager
    async def open(
        self,
        method: str,
        address: Address,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> AsyncIterator[Reply]:
        """Make a call and leave the answer's body to be read.

        :raises CallNotSentError: if nothing was sent.
        :raises CallBrokenError: if the call failed after that.
        """
        names = {"host": str(address)}
        if body is not None:
            names["content-type"] = "application/json"
        names.update(headers or {})
        fields = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in names.items()]
        data = encode_request(method.encode(), path.encode(), fields, body)
        async with self.exchange(address, lambda: data, timeout_s) as reply:
            yield reply

    @asynccontextmanager
    async def exchange(
        self,
        address: Address,
        encode: Encode,
        timeout_s: float,
        accept: Accept | None = None,
        idle_limit_s: float = KEEP_ALIVE_S,
        extend: Extend | None = None,
    ) -> AsyncIterator[Reply]:
        """Send a request and leave the answer's body to be read.

        Leaving the context before the answer is whole closes the connection.

        :param encode: called once a connection is open, right before the bytes go
            out, so that what it checks still holds.
        :param timeout_s: longest silence of the server, seconds.
        :param accept: tells by its headers whether an answer belongs to the call;
            others are skipped.
        :param idle_limit_s: a connection idle for longer is not used, seconds.
        :param extend: tells how much longer to wait for a late answer.
        :raises CallNotSentError: if nothing was sent.
        :raises CallBrokenError: if the call failed after that.
        """
        connection = self._take(address, idle_limit_s)
        if connection is None:
            connection = await self._connect(address, timeout_s)
        try:
            connection.send(encode(), accept, extend)
            await connection.head(timeout_s)
            yield Reply(connection, timeout_s)
        finally:
            connection.end_call()
            self._give_back(address, connection)

    def _take(self, address: Address, idle_limit_s: float) -> _Connection | None:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.usable and connection.idle_s < idle_limit_s:
                return connection
            connection.close()
        return None

    def _give_back(self, address: Address, connection: _Connection) -> None:
        idle = self._idle.setdefault(address, [])
        if not connection.usable or len(idle) >= IDLE_LIMIT:
            connection.close()
            return
        idle.append(connection)

    async def _connect(self, address: Address, timeout_s: float) -> _Connection:
        loop = asyncio.get_running_loop()
        self._opened += 1
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_S, timeout_s)):
                _, connection = await loop.create_connection(
                    _Connection, address.host, address.port
                )
        except TimeoutError as error:
            raise CallNotSentError(f"{address}: no connection in time") from error
        except OSError as error:
            raise CallNotSentError(f"{address}: not connected: {error}") from error
        return connection


def _watch_silence(connection: socket.socket) -> None:
    """Let the kernel notice that the other side has gone without a word."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in SILENCE_OPTIONS.items():
        connection.setsockopt(socket.IPPROTO_TCP, name, value)


def encode_request(
    method: bytes, target: bytes, fields: HeaderFields, body: bytes | None
) -> bytes:
    """Return a whole request, framed by its length.

    :param fields: headers other than those of framing.
    :raises ValueError: if a header holds a line end.
    """
    lines = [method + b" " + target + b" HTTP/1.1"]
    for name, value in fields:
        if any(byte in NO_TOKEN_BYTES for byte in name + value):
            raise ValueError(f"header {name!r} holds a line end")
        lines.append(name + b": " + value)
    if body is not None:
        lines.append(b"content-length: " + str(len(body)).encode())
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")
