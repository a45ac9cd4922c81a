"""HTTP calls over pooled connections, with errors that say what was sent."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import anyio
import httpcore
import msgspec

from lentilshore_kernel.exceptions import LentilshoreError
from lentilshore_kernel.types import Address

from .network import LeanBackend

CONNECT_TIMEOUT_S = 1.0
KEEP_ALIVE_S = 30.0
IDLE_LIMIT = 64
ANSWER_LIMIT_BYTES = 16_777_216


class CallNotSentError(LentilshoreError):
    """No connection was made, so no byte of the request was sent."""

    exit_code = 3


class CallBrokenError(LentilshoreError):
    """The connection failed after bytes may have been sent."""

    exit_code = 3


class CallTimedOutError(CallBrokenError):
    """No answer came in time after bytes may have been sent."""


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


class _ConnectionList:
    """Idle connections by address; each stream has a connection of its own.

    The library's pool looks at every connection for each request, which costs
    more than the relay itself once there are hundreds of streams.
    """

    def __init__(self) -> None:
        self._idle: dict[Address, list[httpcore.AsyncHTTPConnection]] = {}
        self._backend = LeanBackend()

    def take(self, address: Address) -> httpcore.AsyncHTTPConnection:
        """Return an idle connection that is still open, else a new one."""
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_idle() and not connection.has_expired():
                return connection
        host = f"[{address.host}]" if ":" in address.host else address.host
        origin = httpcore.Origin(b"http", host.encode(), address.port)
        return httpcore.AsyncHTTPConnection(
            origin, keepalive_expiry=KEEP_ALIVE_S, network_backend=self._backend
        )

    async def give_back(
        self, address: Address, connection: httpcore.AsyncHTTPConnection
    ) -> None:
        """Keep a connection for the next request if it can serve one."""
        idle = self._idle.setdefault(address, [])
        if connection.is_idle() and len(idle) < IDLE_LIMIT:
            idle.append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.aclose()

    async def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            for connection in idle:
                await connection.aclose()
        self._idle.clear()


class HttpClient:
    """Client for servers that are named by IP number and port."""

    def __init__(self) -> None:
        self._connections = _ConnectionList()

    async def close(self) -> None:
        """Close every idle connection."""
        await self._connections.close()

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
            parts = []
            size = 0
            with _translated_errors():
                async for part in reply.aiter_stream():
                    size += len(part)
                    if size > ANSWER_LIMIT_BYTES:
                        raise AnswerTooLargeError(f"{address}: over {size} bytes")
                    parts.append(part)
            names = _header_dict(reply.headers)
            return HttpAnswer(reply.status, names, b"".join(parts))

    @asynccontextmanager
    async def open(
        self,
        method: str,
        address: Address,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> AsyncIterator[httpcore.Response]:
        """Make a call and leave the answer's body to be read.

        :raises CallNotSentError: if nothing was sent.
        :raises CallBrokenError: if the call failed after that.
        """
        timeouts = {
            "connect": min(CONNECT_TIMEOUT_S, timeout_s),
            "pool": timeout_s,
            "read": timeout_s,
            "write": timeout_s,
        }
        fields = {} if body is None else {"content-type": "application/json"}
        fields.update(headers or {})
        request = _build_request(method, address, path, body, fields, timeouts)
        connection = self._connections.take(address)
        try:
            with _translated_errors():
                reply = await connection.handle_async_request(request)
            try:
                yield reply
            finally:
                await reply.aclose()
        finally:
            await self._connections.give_back(address, connection)


def _build_request(
    method: str,
    address: Address,
    path: str,
    body: bytes | None,
    fields: Mapping[str, str],
    timeouts: Mapping[str, float],
) -> httpcore.Request:
    url = httpcore.URL(
        scheme=b"http",
        host=address.host.encode(),
        port=address.port,
        target=path.encode(),
    )
    headers = [(b"host", f"{address.host}:{address.port}".encode())]
    headers += [(k.encode("latin-1"), v.encode("latin-1")) for k, v in fields.items()]
    if body is not None:
        headers.append((b"content-length", str(len(body)).encode()))
    extensions = {"timeout": timeouts}
    return httpcore.Request(
        method, url, headers=headers, content=body, extensions=extensions
    )


class _translated_errors:  # noqa: N801
    """Context that turns errors of the HTTP library into those of this module."""

    def __enter__(self) -> None:
        return None

    def __exit__(self, kind: Any, error: Any, trace: Any) -> bool:
        if error is None or isinstance(error, LentilshoreError):
            return False
        if isinstance(
            error,
            (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout),
        ):
            raise CallNotSentError(f"not connected: {error}") from error
        if isinstance(error, httpcore.TimeoutException):
            raise CallTimedOutError("no answer in time") from error
        if isinstance(
            error,
            (httpcore.NetworkError, httpcore.ProtocolError),
        ):
            raise CallBrokenError(f"connection broke: {error}") from error
        return False


translated_errors = _translated_errors


def _header_dict(headers: list[tuple[bytes, bytes]]) -> dict[str, str]:
    return {k.decode("latin-1").lower(): v.decode("latin-1") for k, v in headers}
