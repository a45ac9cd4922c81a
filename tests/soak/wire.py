"""HTTP/1.1 messages over asyncio streams, for the stand-ins and the callers."""

import asyncio
import socket
import struct
from typing import NamedTuple

HEAD_LIMIT_BYTES = 65_536
RESET_LINGER = struct.pack("ii", 1, 0)


class Message(NamedTuple):
    """A request or an answer.

    :param start: words of the first line.
    :param fields: headers, names in lower case.
    :param body: the body.
    :param complete: whether the whole message arrived.
    """

    start: list[str]
    fields: dict[str, str]
    body: bytes = b""
    complete: bool = True

    @property
    def status(self):
        """Status of an answer."""
        return int(self.start[1])

    @property
    def closes(self):
        """Whether the connection ends after this message."""
        return "close" in self.fields.get("connection", "").lower()


async def read_head(reader):
    """Read a first line and headers.

    :raises ConnectionError: if the connection ends before; ``EOFError`` if it ends
        before the first byte.
    """
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            raise EOFError("closed before the first byte") from error
        raise ConnectionError("closed within a head") from error
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if line)
    fields = {name.strip().lower(): value.strip() for name, value in pairs}
    return Message(first.split(" ", 2), fields)


async def read_message(reader):
    """Read a message; an answer without a length ends with its connection."""
    head = await read_head(reader)
    body = bytearray()
    try:
        if "chunked" in head.fields.get("transfer-encoding", ""):
            await _read_chunks(reader, body)
        elif "content-length" in head.fields:
            body += await reader.readexactly(int(head.fields["content-length"]))
        elif head.start[0].startswith("HTTP/"):
            while data := await reader.read(HEAD_LIMIT_BYTES):
                body += data
    except asyncio.IncompleteReadError as error:
        return head._replace(body=bytes(body + error.partial), complete=False)
    except (ConnectionError, ValueError):
        return head._replace(body=bytes(body), complete=False)
    return head._replace(body=bytes(body))


async def _read_chunks(reader, body):
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")


def encode(first_line, fields, body=None):
    """Return a message with the length of its body."""
    lines = [first_line, *(f"{name}: {value}" for name, value in fields.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + (body or b"")


def encode_in_chunks(first_line, fields, body, size):
    """Return a message whose body goes in chunks of a size, bytes."""
    fields = fields | {"Transfer-Encoding": "chunked"}
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    return encode(first_line, fields) + b"".join(map(encode_chunk, [*pieces, b""]))


def encode_chunk(data):
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def reset(writer):
    """Close a connection so that its peer sees a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()
