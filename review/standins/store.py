"""Stand-in of the platform's metadata store, within the process of a case."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Sequence
from urllib.parse import parse_qs, urlsplit

from standins.record import Record
from standins.wire import Message, encode, read_message

OBJECTS_PATH = "/lentilshore/objects/"
HEARTBEAT_S = 1.2
# An entry of a replica is removed after three heartbeat intervals of silence.
SILENCE_S = 3 * HEARTBEAT_S
ANSWER_S = 0.004
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Store:
    """Objects by kind and name, with revisions and watches.

    Each gateway has an address of its own, so that it may be told other addresses of
    the replicas: those of its own paths to them.

    :param record: receives what is written.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._objects = {}
        self._events = []
        self._revision = 10
        self._beats = {}
        self._changed = asyncio.Condition()
        self._servers = []
        # Address of a replica or of another gateway as one gateway is told it, by the
        # gateway that is told and the name.
        self.paths = {}

    async def open(self, gateway: str, host: str) -> str:
        """Listen for one gateway; return the address."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
            await self._serve_connection(gateway, reader, writer)

        server = await asyncio.start_server(serve, host, 0)
        self._servers.append(server)
        return f"{host}:{server.sockets[0].getsockname()[1]}"

    async def expire(self) -> None:
        """Remove the entries of silent replicas until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            limit = time.monotonic() - SILENCE_S
            for name in [n for n, at in self._beats.items() if at < limit]:
                await self.remove("servers", name)

    def beat(self, name: str) -> None:
        """Take a heartbeat of a replica, which changes nothing but ``sequence``."""
        if name in self._beats:
            self._beats[name] = time.monotonic()

    async def put(self, kind: str, name: str, spec: dict) -> dict:
        """Write an object as the operator or a replica does; return its revision."""
        stored = self._objects.get((kind, name))
        if kind == "servers":
            self._beats[name] = time.monotonic()
        status = stored["status"] if stored else None
        return await self._put(kind, name, spec, status)

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._beats.pop(name, None)
        stored = self._objects.pop((kind, name), None)
        if stored is not None:
            self._revision += 1
            await self._notify(kind, stored, True)

    def status(self, kind: str, name: str) -> dict | None:
        """Return the status of an object."""
        return self._objects[kind, name]["status"]

    async def _serve_connection(
        self, gateway: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        try:
            while True:
                request = await read_message(reader)
                if not request.complete:
                    return
                await asyncio.sleep(ANSWER_S)
                status, value = await self._call(gateway, request)
                line = f"HTTP/1.1 {status} {REASONS[status]}"
                fields = {"Content-Type": "application/json", "Store-Era": "1"}
                writer.write(encode(line, fields, json.dumps(value).encode()))
                await writer.drain()
        except (EOFError, ConnectionError):
            return
        finally:
            writer.close()

    async def _call(self, gateway: str, request: Message):
        method, target, _ = request.start
        parts = urlsplit(target)
        kind, *names = parts.path.removeprefix(OBJECTS_PATH).split("/")
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if method == "GET":
            return await self._read(gateway, kind, names, query)
        value = json.loads(request.body)
        name = names[0] if names else value["metadata"]["name"]
        stored = self._objects.get((kind, name))
        if method == "POST" and stored is not None:
            return 409, stored
        if method == "PUT" and stored is None:
            return 404, None
        expected = value["metadata"].get("revision")
        if expected and stored and expected != stored["metadata"]["revision"]:
            return 409, stored
        self._record.write("store_write", by=gateway, kind=kind, name=name)
        if names[1:] == ["status"]:
            return 200, await self._put(kind, name, stored["spec"], value["status"])
        status = stored["status"] if stored else None
        code = 201 if stored is None else 200
        return code, await self._put(kind, name, value["spec"], status)

    async def _read(
        self, gateway: str, kind: str, names: Sequence[str], query: dict[str, str]
    ):
        if names:
            stored = self._objects.get((kind, names[0]))
            return (200, self._told(gateway, stored)) if stored else (404, None)
        if "watch" in query:
            after, wait_s = int(query["watch"]), int(query["wait_ms"]) / 1000
            return 200, await self._watch(gateway, kind, after, wait_s)
        items = [o for (k, _), o in sorted(self._objects.items()) if k == kind]
        items = [self._told(gateway, item) for item in items]
        return 200, {"items": items, "has_more": False, "as_of": self._revision}

    async def _watch(self, gateway: str, kind: str, after: int, wait_s: float):
        ends_at = time.monotonic() + wait_s
        while True:
            found = [e for e in self._events if e[0] > after and e[1] == kind]
            remaining_s = ends_at - time.monotonic()
            if found or remaining_s <= 0:
                events = [
                    {"object": self._told(gateway, stored), "deleted": deleted}
                    for _, _, stored, deleted in found
                ]
                return {"events": events, "as_of": self._revision}
            async with self._changed:
                try:
                    async with asyncio.timeout(remaining_s):
                        await self._changed.wait()
                except TimeoutError:
                    continue

    def _told(self, gateway: str, stored: dict):
        """Return an object with the address by which a gateway reaches a replica."""
        address = self.paths.get((gateway, stored["metadata"]["name"]))
        if address is None:
            return stored
        return stored | {"spec": stored["spec"] | {"address": address}}

    async def _put(self, kind: str, name: str, spec: dict, status: str):
        stored = self._objects.get((kind, name))
        if stored and (stored["spec"], stored["status"]) == (spec, status):
            return stored
        self._revision += 1
        created = stored["metadata"]["create_revision"] if stored else self._revision
        metadata = {
            "name": name,
            "revision": self._revision,
            "create_revision": created,
            "finalizers": [],
            "deleting": False,
        }
        changed = {"metadata": metadata, "spec": spec, "status": status}
        self._objects[kind, name] = changed
        await self._notify(kind, changed, False)
        return changed

    async def _notify(self, kind: str, stored: dict, deleted: bool):
        self._events.append((self._revision, kind, stored, deleted))
        async with self._changed:
            self._changed.notify_all()
