"""HTTP/1.1 messages over asyncio streams."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

HEAD_LIMIT_BYTES = 65_536


class Message(NamedTuple):
    """A request or the head of an answer.

    :param start: words of the first line.
    :param fields: headers, names in lower case.
    :param body: the body, empty for a head.
    """

    start: list[str]
    fields: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a first line and headers.

    :raises asyncio.IncompleteReadError: if the connection ends before their end.
    """
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if line)
    fields = {name.strip().lower(): value.strip() for name, value in pairs}
    return Message(first.split(" ", 2), fields)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length, is chunked or is missing."""
    head = await read_head(reader)
    if "chunked" in head.fields.get("transfer-encoding", ""):
        body = bytearray()
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return head._replace(body=bytes(body))
    length = int(head.fields.get("content-length", 0))
    return head._replace(body=await reader.readexactly(length))


def encode(first_line: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with the length of its body."""
    lines = [first_line, *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
