"""Baseline relay that forwards each chunk unchecked, on uvicorn and httpcore.

Run as ``python -m bench.plain_relay UPSTREAM PORT``.
"""

from __future__ import annotations

import sys
from typing import Any

import httpcore
import uvicorn

POOL = httpcore.AsyncConnectionPool(
    max_connections=4096, max_keepalive_connections=4096
)


def create_application(upstream: str) -> Any:
    """Return an ASGI application that relays completions to an upstream.

    :param upstream: host and port of the upstream.
    """

    async def application(scope: Any, receive: Any, send: Any) -> None:
        body = b""
        more = True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        async with POOL.stream(
            "POST", f"http://{upstream}/v1/chat/completions", content=body
        ) as response:
            headers = [(b"content-type", b"text/event-stream")]
            await send(
                {"type": "http.response.start", "status": 200, "headers": headers}
            )
            async for chunk in response.aiter_stream():
                await send(
                    {"type": "http.response.body", "body": chunk, "more_body": True}
                )
        await send({"type": "http.response.body", "body": b""})

    return application


if __name__ == "__main__":
    uvicorn.run(
        create_application(sys.argv[1]),
        host="127.0.0.1",
        port=int(sys.argv[2]),
        log_config=None,
        access_log=False,
        lifespan="off",
    )
