"""HTTP/1.1 messages over asyncio streams."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import NamedTuple

RESET_LINGER = struct.pack("ii", 1, 0)


class Message(NamedTuple):
    """A request or an answer.

    :param start: words of the first line.
    :param fields: headers, names in lower case.
    :param body: the body.
    :param complete: whether the whole message arrived.
    """

    start: list
    fields: dict
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start[1])

    @property
    def closes(self) -> bool:
        """Whether the connection ends after this message."""
        return "close" in self.fields.get("connection", "").lower()


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a first line and headers.

    :raises EOFError: if the connection ends before.
    """
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise EOFError("closed within a head") from error
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if line)
    fields = {name.strip().lower(): value.strip() for name, value in pairs}
    return Message(first.split(" ", 2), fields)


async def read_body(reader: asyncio.StreamReader, head: Message) -> Message:
    """Read the body that follows a head; return the whole message."""
    body = bytearray()
    try:
        if "chunked" in head.fields.get("transfer-encoding", ""):
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif "content-length" in head.fields:
            body += await reader.readexactly(int(head.fields["content-length"]))
        elif head.start[0].startswith("HTTP/"):
            while data := await reader.read(65_536):
                body += data
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return head._replace(body=bytes(body), complete=False)
    return head._replace(body=bytes(body))


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message; an answer without a length ends with its connection."""
    return await read_body(reader, await read_head(reader))


def encode(first_line: str, fields: dict, body: bytes = b"") -> bytes:
    """Return a message with the length of its body."""
    lines = [first_line, *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its peer sees a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()
