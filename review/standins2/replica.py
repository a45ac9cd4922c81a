"""Stand-in of a replica."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Awaitable, Callable
from typing import Any

from review.standins2.record import Record
from review.standins2.store import Store
from review.standins2.wire import Message, encode, read_message

REPORT = {"stage": "unified", "models": [], "busy": False, "waiting": 0, "running": 0}
_numbers = itertools.count(1)

# Returns status and body of the answer to a request, after the work on it.
Work = Callable[[Message], Awaitable[tuple[int, bytes]]]


class Replica:
    """One replica, which lists itself in the store.

    :param store: the platform's store.
    :param record: is told of what arrives and runs.
    :param work: works on a request.
    :param identity: its id; empty for a new one.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        service: str,
        version: str,
        work: Work,
        identity: str = "",
    ) -> None:
        self._store = store
        self._record = record
        self.service = service
        self.version = version
        self._work = work
        self.identity = identity or f"i-{next(_numbers):010x}"
        self._address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.state = "ready"

    async def start(self) -> None:
        """Listen at a free port and be listed."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        await self._list()

    async def _list(self) -> None:
        spec = {
            "service": self.service,
            "address": self._address,
            "zone": "zone-a",
            "version": self.version,
            "slots": 128,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        await self._store.put("servers", self.identity, spec)

    async def drain(self) -> None:
        """Report that it leaves; returns once the store has acknowledged that."""
        self.state = "draining"
        await self._list()
        self._record.write("draining_acknowledged", replica=self.identity)

    async def stop(self) -> None:
        """End at once."""
        self._record.write("replica_ends", replica=self.identity, version=self.version)
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await self._store.delete("servers", self.identity)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self._answer(request))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        if request.start[1] == "/lentilshore/report":
            return encode("HTTP/1.1 200 OK", {}, json.dumps(REPORT).encode())
        if request.start[1] == "/health":
            ready = self.state == "ready"
            line = "HTTP/1.1 200 OK" if ready else "HTTP/1.1 503 Unavailable"
            return encode(line, {"X-Replica-Id": self.identity})
        attempt = request.fields.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": attempt}
        if not attempt:
            return encode("HTTP/1.1 400 Bad Request", {"X-Not-Executed": "1"})
        if request.fields.get("x-expect-instance", self.identity) != self.identity:
            fields = echo | {"X-Replica-Id": self.identity}
            return encode("HTTP/1.1 421 Misdirected Request", fields)
        told: dict[str, Any] = {
            "id": attempt,
            "replica": self.identity,
            "version": self.version,
        }
        self._record.write("runs", **told)
        status, body = await self._work(request)
        self._record.write("run_ended", status=status, **told)
        signed = echo | {"X-Response-Signature": f"{self.identity}.{attempt}"}
        return encode(f"HTTP/1.1 {status} Answer", signed, body)
