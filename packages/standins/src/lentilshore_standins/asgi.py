"""Small helpers for the stand-ins' HTTP interfaces."""

from __future__ import annotations

import logging
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, contextmanager
from functools import partial
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote

import anyio
import msgspec
import uvicorn

from lentilshore_kernel.types import Address

Send = Callable[[Any], Awaitable[None]]


class HttpCall(NamedTuple):
    """A call received.

    :param method: HTTP method.
    :param path: path, decoded.
    :param query: last value of each query parameter.
    :param headers: headers, names in lower case.
    :param body: whole body.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return msgspec.json.decode(self.body)


class Reply:
    """Answer to a call.

    :param send: the ASGI server's function.
    """

    def __init__(self, send: Send) -> None:
        self._send = send

    async def json(
        self, value: Any, status: int = 200, headers: dict[str, str] | None = None
    ) -> None:
        """Send a JSON answer."""
        fields = {"content-type": "application/json"} | (headers or {})
        await self.start(status, fields)
        await self.body(msgspec.json.encode(value))

    async def empty(self, status: int) -> None:
        """Send an answer without a body."""
        await self.start(status, {})
        await self.body(b"")

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers."""
        fields = [(k.encode(), v.encode()) for k, v in headers.items()]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": fields}
        )

    async def body(self, data: bytes, more: bool = False) -> None:
        """Send a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )


Handler = Callable[[HttpCall, Reply], Awaitable[None]]


class ConnectionBreak(Exception):  # noqa: N818
    """Makes the server close the connection without an answer."""


def create_application(handler: Handler) -> Any:
    """Return an ASGI application that hands each call to a handler."""

    async def application(scope: Any, receive: Any, send: Send) -> None:
        body = b""
        more = True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        query = parse_qs(scope["query_string"].decode(), keep_blank_values=True)
        call = HttpCall(
            scope["method"],
            unquote(scope["raw_path"].decode().partition("?")[0]),
            {name: values[-1] for name, values in query.items()},
            {k.decode(): v.decode() for k, v in scope["headers"]},
            body,
        )
        try:
            await handler(call, Reply(send))
        except ConnectionBreak:
            scope["extensions"]["lentilshore.transport"]()

    return application


class _Server(uvicorn.Server):
    @contextmanager
    def capture_signals(self) -> Any:
        yield


def _protocol_class() -> Any:
    from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

    class Protocol(HttpToolsProtocol):
        """Lets an application close the connection without an answer."""

        def on_url(self, url: bytes) -> None:
            super().on_url(url)
            self.scope["extensions"] = {
                "lentilshore.transport": lambda: self.transport.abort()
            }

    return Protocol


@asynccontextmanager
async def serving(
    application: Any, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[Address]:
    """Serve an application while the body runs.

    :param application: ASGI application.
    :param host: IP number to listen on.
    :param port: port, 0 for one that the kernel chooses.
    :returns: where it listens.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(1024)
    config = uvicorn.Config(
        application,
        http=_protocol_class(),
        log_config=None,
        access_log=False,
        lifespan="off",
        proxy_headers=False,
        timeout_graceful_shutdown=1,
    )
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL + 1)
    server = _Server(config)
    async with anyio.create_task_group() as group:
        group.start_soon(partial(server.serve, sockets=[listener]))
        while not server.started:
            await anyio.sleep(0.005)
        yield Address(*listener.getsockname()[:2])
        server.should_exit = True
        server.force_exit = True
