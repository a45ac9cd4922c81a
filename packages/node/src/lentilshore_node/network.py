"""Network backend of the HTTP library with little work per read.

The library's own backend enters a cancel scope for each read, which costs more
than the read itself where every token is one. Here a connection has one timer,
which is moved on lazily.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Iterable
from typing import Any

import httpcore

READ_BUFFER_BYTES = 65_536


class LeanStream(httpcore.AsyncNetworkStream):
    """One connection.

    :param reader: its incoming bytes.
    :param writer: its outgoing bytes.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._loop = asyncio.get_running_loop()
        self._deadline: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return bytes as they come; empty at the end.

        :param timeout: longest wait, seconds.
        :raises httpcore.ReadTimeout: if none came in time.
        :raises httpcore.ReadError: if the connection broke.
        """
        if timeout is not None:
            self._deadline = self._loop.time() + timeout
            if self._timer is None:
                self._timer = self._loop.call_at(self._deadline, self._check)
        try:
            return await self._reader.read(max_bytes)
        except OSError as error:
            raise httpcore.ReadError(str(error)) from error
        finally:
            self._deadline = None

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes.

        :raises httpcore.WriteTimeout: if the other side did not take them.
        :raises httpcore.WriteError: if the connection broke.
        """
        if not buffer:
            return
        try:
            self._writer.write(buffer)
            await asyncio.wait_for(self._writer.drain(), timeout)
        except TimeoutError as error:
            raise httpcore.WriteTimeout("write timed out") from error
        except OSError as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        """Close the connection."""
        if self._timer is not None:
            self._timer.cancel()
        self._writer.close()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Start TLS on the connection."""
        await asyncio.wait_for(
            self._writer.start_tls(ssl_context, server_hostname=server_hostname),
            timeout,
        )
        return self

    def get_extra_info(self, info: str) -> Any:
        """Return what the library asks about the connection."""
        if info == "is_readable":
            return self._reader.at_eof() or self._reader.exception() is not None
        return None

    def _check(self) -> None:
        """Fail a read whose deadline has passed, else wait on."""
        self._timer = None
        if self._deadline is None:
            return
        if self._loop.time() >= self._deadline:
            self._reader.set_exception(TimeoutReadError("read timed out"))
            self._writer.transport.abort()
            return
        self._timer = self._loop.call_at(self._deadline, self._check)


class TimeoutReadError(httpcore.ReadTimeout):
    """No byte came within the timeout."""


class LeanBackend(httpcore.AsyncNetworkBackend):
    """Opens TCP connections."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection.

        :raises httpcore.ConnectTimeout: if it did not open in time.
        :raises httpcore.ConnectError: if it was refused.
        """
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, port, limit=READ_BUFFER_BYTES), timeout
            )
        except TimeoutError as error:
            raise httpcore.ConnectTimeout("connect timed out") from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        return LeanStream(reader, writer)

    async def sleep(self, seconds: float) -> None:
        """Wait."""
        await asyncio.sleep(seconds)
