"""HTTP server of the stand-ins, on ASGI and uvicorn."""

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

AsgiSend = Callable[[Any], Awaitable[None]]


class HttpRequest(NamedTuple):
    """A received HTTP request.

    :param method: HTTP method.
    :param path: percent-decoded path without the query.
    :param query: last value of each query parameter.
    :param headers: headers by name in lower case.
    :param body: complete body.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Decode the body from JSON."""
        return msgspec.json.decode(self.body)


class ResponseSender:
    """Sends the response to one HTTP request.

    :param send: the ASGI ``send`` callable.
    """

    def __init__(self, send: AsgiSend) -> None:
        self._send = send

    async def send_json(
        self, value: Any, status: int = 200, headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete response with a JSON body."""
        fields = {"content-type": "application/json"} | (headers or {})
        await self.send_start(status, fields)
        await self.send_body(msgspec.json.encode(value))

    async def send_empty(self, status: int) -> None:
        """Send a complete response without a body."""
        await self.send_start(status, {})
        await self.send_body(b"")

    async def send_start(self, status: int, headers: dict[str, str]) -> None:
        """Send the status and the headers."""
        fields = [(name.encode(), value.encode()) for name, value in headers.items()]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": fields}
        )

    async def send_body(self, data: bytes, more: bool = False) -> None:
        """Send a part of the body.

        :param more: whether more parts follow.
        """
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )


Handler = Callable[[HttpRequest, ResponseSender], Awaitable[None]]


class ConnectionBreak(Exception):  # noqa: N818
    """Makes the server abort the connection of the request that is being handled."""


def create_application(handler: Handler) -> Any:
    """Return an ASGI application that passes each request to a handler."""

    async def application(scope: Any, receive: Any, send: AsgiSend) -> None:
        body = b""
        more = True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        query = parse_qs(scope["query_string"].decode(), keep_blank_values=True)
        request = HttpRequest(
            scope["method"],
            unquote(scope["raw_path"].decode().partition("?")[0]),
            {name: values[-1] for name, values in query.items()},
            {header.decode(): value.decode() for header, value in scope["headers"]},
            body,
        )
        try:
            await handler(request, ResponseSender(send))
        except ConnectionBreak:
            # The extension of AbortableProtocol, which aborts the connection.
            scope["extensions"]["lentilshore.transport"]()

    return application


class _Server(uvicorn.Server):
    # Leaves the signals to the program that runs the server.
    @contextmanager
    def capture_signals(self) -> Any:
        yield


def _create_protocol_class() -> Any:
    from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

    class AbortableProtocol(HttpToolsProtocol):
        """HTTP protocol that lets the application abort the connection."""

        def on_url(self, url: bytes) -> None:
            super().on_url(url)
            self.scope["extensions"] = {
                "lentilshore.transport": lambda: self.transport.abort()
            }

    return AbortableProtocol


@asynccontextmanager
async def serving(
    application: Any, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[Address]:
    """Serve an application until the context exits.

    :param application: ASGI application.
    :param host: IP address to listen on.
    :param port: port to listen on, 0 to let the kernel choose one.
    :returns: context manager that yields the address on which the server
        listens.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(1024)
    config = uvicorn.Config(
        application,
        http=_create_protocol_class(),
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
