"""Stand-in of a sound replica of a plain service, within the process of a case."""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections.abc import Iterable

from standins.record import Record
from standins.store import HEARTBEAT_S, Store
from standins.wire import Message, encode, read_message, reset

WORK_S = 0.0225
SLOTS, QUEUE = 6, 24
# Requests that a brittle replica lets wait, from the stability window on.
BRITTLE_QUEUE = 1
DOWN_S = 4.0
STREAM_PREFIX = "/stream/"
# Requests that crash each replica that begins to run them, after this time.
CRASHING_PREFIX = "/lookup/crashing-"
CRASH_AFTER_S = 0.05
EVENTS = 40
EVENT_S = 0.1
NOT_RUN = {"X-Not-Executed": "1"}
PLAIN_PATHS = ("/lentilshore/report", "/health")


class Replica:
    """One replica, which each gateway reaches by a path of its own.

    :param name: its id.
    :param service: its service.
    :param zone: its zone.
    :param store: the platform's store.
    :param record: receives what arrives and runs.
    :param work_s: time of a run, seconds.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        store: Store,
        record: Record,
        work_s: float = WORK_S,
    ) -> None:
        self.name = name
        self.service = service
        self._zone = zone
        self._store = store
        self._record = record
        self._work_s = work_s
        self._born = int(time.time() * 1000)
        self._slots = asyncio.Semaphore(SLOTS)
        self._waiting = 0
        self._servers: dict[str, asyncio.Server] = {}
        self._host = ""
        # Open connections, by writer: the gateway.
        self._writers = {}
        self._beating = None
        # Gateways that are partitioned from this replica.
        self.cut = set()
        self.leaving = False
        self.ended = False
        # Rejections a second that it bears and says so, None for any number.
        self.bears = None
        # Whether it lets fewer requests wait.
        self.weak = False
        # Time and gateway of what it rejected lately.
        self._rejected = []
        self.falls = []

    @property
    def spec(self) -> dict:
        """Entry of the replica in the store."""
        return {
            "service": self.service,
            "address": "127.0.0.1:1",  # each gateway is told another one
            "zone": self._zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self._born,
        }

    async def start(self, gateways: Iterable[str], host: str) -> None:
        """Listen for each gateway, and register in the store."""
        self._host = host
        for gateway in gateways:
            await self._open_path(gateway)
        await self._store.put("servers", self.name, self.spec)
        self._beating = asyncio.create_task(self._beat())

    async def _open_path(self, gateway: str) -> None:
        """Listen for a gateway, at the port of an earlier process if there was one."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve_connection(gateway, reader, writer)

        known = self._store.paths.get((gateway, self.name), ":0")
        port = int(known.rpartition(":")[2])
        server = await asyncio.start_server(serve, self._host, port)
        self._servers[gateway] = server
        address = f"{self._host}:{server.sockets[0].getsockname()[1]}"
        self._store.paths[gateway, self.name] = address

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._store.beat(self.name)

    def fall_silent(self) -> None:
        """Write to the store no more."""
        self._beating.cancel()

    def partition(self, gateway: str) -> None:
        """Reset the connections of a gateway, and all that it opens from now on."""
        self.cut.add(gateway)
        for writer, caller in list(self._writers.items()):
            if caller == gateway:
                reset(writer)

    def heal(self, gateway: str) -> None:
        """End a partition."""
        self.cut.discard(gateway)

    def end(self) -> None:
        """End as a process does that has completed its requests."""
        self.ended = True
        self._beating.cancel()
        for server in self._servers.values():
            server.close()
        for writer in list(self._writers):
            writer.close()

    async def _crash(self, slots: asyncio.Semaphore, path: str, about: dict) -> None:
        """Crash under a request unless the process has ended before."""
        await asyncio.sleep(CRASH_AFTER_S)
        if slots is self._slots and not self.ended:
            self._record.write("crash", path=path, **about)
            self._fall_over()

    def _fall_over(self):
        """End as a crash does; it is back after some seconds."""
        gateways = [gateway for _, gateway in self._rejected]
        at = self._record.write("falls_over", replica=self.name, rejected=gateways)
        self.falls.append((at, gateways))
        self.ended = True
        self._rejected = []
        self._beating.cancel()
        for server in self._servers.values():
            server.close()
        for writer in list(self._writers):
            reset(writer)
        asyncio.get_running_loop().call_later(DOWN_S, self._come_back)

    def _come_back(self):
        self._born = int(time.time() * 1000)
        self._slots = asyncio.Semaphore(SLOTS)
        self._waiting = 0
        self._rejected = []
        self.ended = False
        self._beating = asyncio.create_task(self._register_and_beat())

    async def _register_and_beat(self):
        for gateway in list(self._servers):
            await self._open_path(gateway)
        self._record.write("back", replica=self.name)
        await self._store.put("servers", self.name, self.spec)
        await self._beat()

    async def _serve_connection(
        self, gateway: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        if gateway in self.cut or self.ended:
            reset(writer)
            return
        self._writers[writer] = gateway
        try:
            while True:
                request = await read_message(reader)
                if not request.complete:
                    return
                if request.start[1].startswith(STREAM_PREFIX):
                    if not await self._stream(gateway, request, reader, writer):
                        return
                    continue
                born = self._born
                data = await self._answer(gateway, request)
                if self.ended or born != self._born:
                    return
                writer.write(data)
                await writer.drain()
        except (EOFError, ConnectionError):
            return
        finally:
            self._writers.pop(writer, None)
            writer.close()

    async def _answer(self, gateway: str, request: Message):
        path = request.start[1].partition("?")[0]
        if path in PLAIN_PATHS:
            status = "503 Leaving" if self.leaving else "200 OK"
            if path != "/health":
                status = "200 OK"
            return self._encode(status, {"X-Replica-Id": self.name}, b"{}")
        attempt = request.fields.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": attempt}
        about = {"id": attempt, "replica": self.name, "gateway": gateway}
        self._record.write("arrival", leaving=self.leaving, **about)
        if request.fields.get("x-expect-instance", self.name) != self.name:
            return self._encode("421 Misdirected Request", echo, b"")
        if not attempt:
            return self._encode("400 Bad Request", NOT_RUN, b"")
        queue = BRITTLE_QUEUE if self.weak else QUEUE
        if self._slots.locked() and self._waiting >= queue:
            self._record.write("rejection", **about)
            self._reject(gateway)
            return self._encode("503 Full", echo | NOT_RUN, b"")
        slots = self._slots
        self._waiting += 1
        async with slots:
            if slots is not self._slots or self.ended:
                return b""
            self._waiting -= 1
            self._record.write("run", service=self.service, **about)
            if request.start[1].startswith(CRASHING_PREFIX):
                await self._crash(slots, request.start[1], about)
                return b""
            await asyncio.sleep(self._work_s)
        body = f"{attempt} by {self.name}".encode()
        signature = hashlib.sha256(body).hexdigest()
        return self._encode("200 OK", echo | {"X-Response-Signature": signature}, body)

    async def _stream(
        self,
        gateway: str,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ):
        """Send a stream of events; return whether the connection stays open."""
        attempt = request.fields["x-attempt-id"]
        if request.fields.get("x-expect-instance", self.name) != self.name:
            fields = {"X-Attempt-Id": attempt}
            writer.write(self._encode("421 Misdirected Request", fields, b""))
            return True
        about = {"id": attempt, "replica": self.name, "gateway": gateway}
        first = int(request.fields.get("last-event-id", 0)) + 1
        self._record.write("run", service=self.service, first=first, **about)
        fields = {
            "X-Attempt-Id": attempt,
            "X-Response-Signature": hashlib.sha256(attempt.encode()).hexdigest(),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        head = [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *head, "", ""]).encode())
        gone = asyncio.create_task(reader.read(1))
        how = "left"
        number = first
        try:
            for number in range(first, EVENTS + 1):
                await asyncio.wait({gone}, timeout=EVENT_S)
                if gone.done():
                    return False
                event = b"id: %d\ndata: %s/%d\n\n" % (number, attempt.encode(), number)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            how = "complete"
            return False
        finally:
            gone.cancel()
            self._record.write("run_end", how=how, last=number, **about)

    def _reject(self, gateway: str):
        now = self._record.now
        recent = [entry for entry in self._rejected if entry[0] > now - 1.0]
        self._rejected = [*recent, (now, gateway)]
        if self.weak and not self.ended and len(self._rejected) > self.bears:
            self._fall_over()

    def _encode(self, status: str, fields: dict[str, str], body: bytes):
        if self.leaving:
            fields = fields | {"Server-Leaving": "1"}
        if self.bears is not None:
            fields = fields | {"Server-Brittle": str(self.bears)}
        return encode(f"HTTP/1.1 {status}", fields, body)
