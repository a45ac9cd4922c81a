"""HTTP client with kept-alive connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from functools import partial
from typing import Any, NamedTuple, Protocol

from lentilshore_kernel.json import decode_json
from lentilshore_kernel.types import Address

from .http_connection import (
    ANSWER_LIMIT_BYTES,
    KEEP_ALIVE_TIMEOUT_S,
    AnswerFilter,
    BufferBudget,
    CallBrokenError,
    CallNotSentError,
    Connection,
    HeaderFields,
    Response,
    TimeoutExtension,
)

CONNECT_TIMEOUT_S = 1.0
# A connect that takes longer is reported, and may be abandoned.
SLOW_CONNECT_S = 0.25
# Longest wait for a server to refuse or accept a connection that is a probe.
PROBE_TIMEOUT_S = 0.2
PROBE_LIMIT_BYTES = 65_536
# Limit per server.
MAX_IDLE_CONNECTIONS = 64
# A large body on a slow link takes longer than a server may be silent.
WHOLE_BODY_TIMEOUTS = 4
FORBIDDEN_HEADER_BYTES = b"\r\n\0"

# Returns the whole request, or raises an error so that nothing is sent.
RequestEncoder = Callable[[], bytes]


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
        return decode_json(self.body)


class ConnectionObserver(Protocol):
    """Is told of connections to servers that fail."""

    def record_connect_failed(self, address: Address) -> None:
        """Record that a server refused a connection or did not answer."""

    def record_slow_connect(self, address: Address) -> None:
        """Record that a connect has taken :data:`SLOW_CONNECT_S` so far."""

    def record_connection_lost(self, address: Address) -> None:
        """Record that a connection was reset, or that its other end has vanished."""


class Call:
    """A request that was sent, until its answer has ended or is no longer wanted.

    :param connection: connection that carries it.
    :param budget: counts the bytes of bodies that are read as a whole.
    :param on_end: called once with the connection at the end.
    """

    def __init__(
        self,
        connection: Connection,
        budget: BufferBudget,
        on_end: Callable[[Connection], None],
    ) -> None:
        self._connection = connection
        self._budget = budget
        self._on_end = on_end
        self._ended = False

    async def wait_for_head(
        self, timeout_s: float, extend_timeout: TimeoutExtension | None = None
    ) -> Response:
        """Return the answer once its status and headers have arrived, its body unread.

        After a timeout the call goes on, and may be waited for again.

        :param timeout_s: longest time without data from the server, seconds.
        :param extend_timeout: replaces what is called at a timeout; None to keep it.
        :raises CallTimedOutError: if the timeout passes.
        :raises CallBrokenError: if the connection fails.
        """
        if extend_timeout is not None:
            self._connection.allow_extension(extend_timeout)
        await self._connection.wait_for_head(timeout_s)
        return Response(self._connection, timeout_s, self._budget)

    def end(self) -> None:
        """End the call; an answer that is not complete closes the connection."""
        if self._ended:
            return
        self._ended = True
        self._on_end(self._connection)


class HttpClient:
    """Client for servers given by IP address and port."""

    def __init__(self) -> None:
        self._idle_connections: dict[Address, list[Connection]] = {}
        self._connections_opened = 0
        self._budget = BufferBudget()
        self._observer: ConnectionObserver | None = None
        self._connecting: dict[Address, set[asyncio.Timeout]] = {}

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the bodies that are being read as a whole."""
        return self._budget.used_bytes

    @property
    def connections_opened(self) -> int:
        """Number of connections opened by this client."""
        return self._connections_opened

    def report_connections(self, observer: ConnectionObserver) -> None:
        """Tell an observer of connections that fail from now on."""
        self._observer = observer

    async def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle_connections):
            self.close_idle(address)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to a server."""
        for connection in self._idle_connections.pop(address, []):
            connection.close()

    async def request(
        self,
        method: str,
        address: Address,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 10.0,
        limit_bytes: int = ANSWER_LIMIT_BYTES,
    ) -> HttpAnswer:
        """Send a request and read the whole answer.

        :param timeout_s: longest time without data from the server, seconds; the whole
            body may take :data:`WHOLE_BODY_TIMEOUTS` times as long.
        :param limit_bytes: size of the largest body that is accepted.
        :raises CallNotSentError: if no connection was made, so nothing was sent.
        :raises CallBrokenError: if the call failed after bytes may have been sent.
        """
        async with self.open(
            method, address, path, body, headers, timeout_s
        ) as response:
            content = await response.read(limit_bytes, timeout_s * WHOLE_BODY_TIMEOUTS)
            return HttpAnswer(response.status, response.headers, content)

    @asynccontextmanager
    async def open(
        self,
        method: str,
        address: Address,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> AsyncIterator[Response]:
        """Send a request and yield the answer, its body unread.

        :raises CallNotSentError: if no connection was made, so nothing was sent.
        :raises CallBrokenError: if the call failed after bytes may have been sent.
        """
        all_headers = {"host": str(address)}
        if body is not None:
            all_headers["content-type"] = "application/json"
        all_headers.update(headers or {})
        fields = [
            (k.encode("latin-1"), v.encode("latin-1")) for k, v in all_headers.items()
        ]
        data = encode_request(method.encode(), path.encode(), fields, body)
        async with self.exchange(address, lambda: data, timeout_s) as response:
            yield response

    @asynccontextmanager
    async def exchange(
        self,
        address: Address,
        encode: RequestEncoder,
        timeout_s: float,
        belongs_to_call: AnswerFilter | None = None,
        max_idle_s: float = KEEP_ALIVE_TIMEOUT_S,
        extend_timeout: TimeoutExtension | None = None,
        reuse: bool = True,
    ) -> AsyncIterator[Response]:
        """Send an encoded request and yield the answer, its body unread.

        Leaving the context before the answer is complete closes the connection.

        :param encode: returns the request; called when a connection is open, right
            before the bytes are sent, so that what it checks still holds.
        :param timeout_s: longest time without data from the server, seconds.
        :param belongs_to_call: tells whether an answer belongs to the call; others are
            skipped.
        :param max_idle_s: longest idle time of a connection that is used, seconds.
        :param extend_timeout: called at a timeout; returns how much longer to wait.
        :param reuse: whether a connection that has carried other calls will do.
        :raises CallNotSentError: if no connection was made, so nothing was sent.
        :raises CallBrokenError: if the call failed after bytes may have been sent.
        """
        call = await self.start(
            address,
            encode,
            timeout_s,
            belongs_to_call,
            max_idle_s,
            extend_timeout,
            reuse,
        )
        try:
            yield await call.wait_for_head(timeout_s)
        finally:
            call.end()

    async def start(
        self,
        address: Address,
        encode: RequestEncoder,
        timeout_s: float,
        belongs_to_call: AnswerFilter | None = None,
        max_idle_s: float = KEEP_ALIVE_TIMEOUT_S,
        extend_timeout: TimeoutExtension | None = None,
        reuse: bool = True,
    ) -> Call:
        """Send an encoded request, see :meth:`exchange`.

        :returns: the call, which must be ended.
        """
        connection = self._take_idle(address, max_idle_s) if reuse else None
        if connection is None:
            connection = await self._connect(address, timeout_s)
        call = Call(connection, self._budget, partial(self._end_call, address))
        try:
            connection.send(encode(), belongs_to_call, extend_timeout)
        except BaseException:
            call.end()
            raise
        return call

    def has_idle(self, address: Address, max_idle_s: float) -> bool:
        """Return whether a connection to a server may be used again.

        :param max_idle_s: longest time since its last call, seconds.
        """
        idle = self._idle_connections.get(address, [])
        return any(c.usable and c.idle_s < max_idle_s for c in idle)

    def abandon_connects(self, address: Address) -> None:
        """Fail the connects to a server that are under way."""
        now = asyncio.get_running_loop().time()
        for scope in list(self._connecting.get(address, ())):
            scope.reschedule(now)

    async def answers(
        self, address: Address, path: str, timeout_s: float, reuse: bool = True
    ) -> bool:
        """Return whether a server answers a GET of a path, with any status.

        :param timeout_s: longest wait for a connection, and for the answer, seconds.
        :param reuse: whether a connection that has carried other calls will do.
        """
        fields = [(b"host", str(address).encode())]
        data = encode_request(b"GET", path.encode(), fields, None)
        try:
            async with self.exchange(
                address, lambda: data, timeout_s, reuse=reuse
            ) as response:
                await response.read(PROBE_LIMIT_BYTES)
                return True
        except (CallNotSentError, CallBrokenError):
            return False

    async def is_refused(self, address: Address) -> bool:
        """Return whether a server refuses connections: its process has ended."""
        try:
            connection = await self._connect(address, PROBE_TIMEOUT_S)
        except CallNotSentError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        connection.end_call()
        self._return_connection(address, connection)
        return False

    def _end_call(self, address: Address, connection: Connection) -> None:
        connection.end_call()
        self._return_connection(address, connection)

    def _take_idle(self, address: Address, max_idle_s: float) -> Connection | None:
        idle = self._idle_connections.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.usable and connection.idle_s < max_idle_s:
                return connection
            connection.close()
        return None

    def _return_connection(self, address: Address, connection: Connection) -> None:
        idle = self._idle_connections.setdefault(address, [])
        if not connection.usable or len(idle) >= MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        idle.append(connection)

    async def _connect(self, address: Address, timeout_s: float) -> Connection:
        observer = self._observer
        try:
            connection = await self._open_connection(address, timeout_s)
        except CallNotSentError:
            if observer is not None:
                observer.record_connect_failed(address)
            raise
        if observer is not None:
            connection.report_loss(partial(observer.record_connection_lost, address))
        return connection

    async def _open_connection(self, address: Address, timeout_s: float) -> Connection:
        loop = asyncio.get_running_loop()
        self._connections_opened += 1
        slow = None
        if self._observer is not None:
            slow = loop.call_later(
                SLOW_CONNECT_S, self._observer.record_slow_connect, address
            )
        scopes = self._connecting.setdefault(address, set())
        scope = asyncio.timeout(min(CONNECT_TIMEOUT_S, timeout_s))
        scopes.add(scope)
        try:
            async with scope:
                return await self._dial(address)
        except TimeoutError as error:
            raise CallNotSentError(f"{address}: connection timed out") from error
        except (OSError, OverflowError, ValueError) as error:
            # The last two: the port is out of range, or the host is no name.
            raise CallNotSentError(f"{address}: connection failed: {error}") from error
        finally:
            if slow is not None:
                slow.cancel()
            scopes.discard(scope)
            if not scopes and self._connecting.get(address) is scopes:
                del self._connecting[address]

    async def _dial(self, address: Address) -> Connection:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            Connection, address.host, address.port
        )
        return connection


def encode_request(
    method: bytes, target: bytes, fields: HeaderFields, body: bytes | None
) -> bytes:
    """Return a whole HTTP/1.1 request with the length of its body.

    :param fields: headers other than ``content-length``.
    :raises ValueError: if a header holds a line end or a null byte.
    """
    lines = [method + b" " + target + b" HTTP/1.1"]
    for name, value in fields:
        if any(byte in FORBIDDEN_HEADER_BYTES for byte in name + value):
            raise ValueError(f"header {name!r} holds a line end or a null byte")
        lines.append(name + b": " + value)
    if body is not None:
        lines.append(b"content-length: " + str(len(body)).encode())
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")
