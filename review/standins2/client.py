"""Stand-in of a client."""

from __future__ import annotations

import asyncio
import socket
from typing import NamedTuple

from review.standins2.case import HOST, KEY
from review.standins2.wire import encode, read_message

# Size of the receive buffer and of the segments of a client on a slow, distant link.
SLOW_BUFFER_BYTES = 4096
SLOW_SEGMENT_BYTES = 536
READS_PER_S = 10


class Answer(NamedTuple):
    """How a request ended.

    :param status: status, 0 if no head has come.
    :param received_bytes: bytes of the body that have come.
    :param length: bytes of the body that the head announces.
    :param ended: how the connection ended, empty if the answer is complete.
    """

    status: int
    received_bytes: int = 0
    length: int = 0
    ended: str = ""
    body: bytes = b""


def request_bytes(
    method: str, path: str, attempt: str, deadline_ms: int, **fields: str
) -> bytes:
    """Return a request of a client."""
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
        **fields,
    }
    return encode(f"{method} {path} HTTP/1.1", headers)


async def send(port: int, data: bytes, timeout_s: float) -> Answer:
    """Send a request on a connection of its own and read the whole answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(data)
                answer = await read_message(reader)
                body = answer.body
                return Answer(int(answer.start[1]), len(body), len(body), body=body)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return Answer(0, ended=type(error).__name__)


class SlowClient:
    """Client that reads its answer at a steady low rate.

    :param port: port of the gateway.
    :param bytes_per_s: rate at which it reads.
    """

    def __init__(self, port: int, bytes_per_s: int) -> None:
        self._port = port
        self._bytes_per_s = bytes_per_s
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
        self._socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, SLOW_SEGMENT_BYTES
        )
        self._socket.setblocking(False)

    async def send(self, data: bytes) -> Answer:
        """Send a request and read the answer to its end or that of the connection."""
        loop = asyncio.get_running_loop()
        # The head and what has come with it; of the rest only the size is kept.
        begun, size, ended = bytearray(), 0, ""
        piece = self._bytes_per_s // READS_PER_S
        try:
            await loop.sock_connect(self._socket, ("127.0.0.1", self._port))
            await loop.sock_sendall(self._socket, data)
            wanted = 0
            while not wanted or size < wanted:
                data = await loop.sock_recv(self._socket, piece)
                if not data:
                    ended = "closed"
                    break
                size += len(data)
                if not wanted:
                    begun += data
                    wanted = _whole_length(begun)
                await asyncio.sleep(len(data) / self._bytes_per_s)
        except OSError as error:
            ended = type(error).__name__
        finally:
            self._socket.close()
        head, separator, _ = bytes(begun).partition(b"\r\n\r\n")
        if not separator:
            return Answer(0, ended=ended)
        status = int(head.split(b" ", 2)[1])
        body_bytes = size - len(head) - len(separator)
        return Answer(status, body_bytes, _length(head), ended)


def _length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name == b"content-length":
            return int(value)
    return 0


def _whole_length(received: bytearray) -> int:
    """Return the bytes of the whole answer, 0 while its head is not whole."""
    head, separator, _ = bytes(received).partition(b"\r\n\r\n")
    return len(head) + len(separator) + _length(head) if separator else 0
