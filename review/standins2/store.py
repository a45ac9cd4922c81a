"""Stand-in of the platform's store."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.standins2.wire import Message, encode, read_message

OBJECTS_PATH = "/lentilshore/objects/"
ANSWER_DELAY_S = 0.004
PAGE_ITEMS = 500
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Store:
    """Objects by kind and name, with revisions, pages and watches."""

    def __init__(self) -> None:
        self.address = ""
        self.revision = 1
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Condition()
        # Called with kind and last name after a page that others follow was answered.
        self.on_page: Callable[[str, str], Awaitable[None]] | None = None
        # Called with kind and object after a gateway has written it.
        self.on_write: Callable[[str, dict[str, Any]], Awaitable[None]] | None = None

    async def start(self) -> None:
        """Begin to listen at a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object."""
        return self._objects.get((kind, name))

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Write a spec as the operator or a replica does; keeps the status."""
        stored = self.get(kind, name)
        await self._store(kind, name, spec, stored["status"] if stored else None)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self._objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            await self._notify(kind, stored, True)

    async def _store(self, kind: str, name: str, spec: Any, status: Any) -> dict:
        stored = self.get(kind, name)
        if stored and (stored["spec"], stored["status"]) == (spec, status):
            return stored
        self.revision += 1
        created = (
            stored["metadata"]["create_revision"]
            if stored is not None
            else self.revision
        )
        metadata = {
            "name": name,
            "revision": self.revision,
            "create_revision": created,
            "finalizers": [],
            "deleting": False,
        }
        changed = {"metadata": metadata, "spec": spec, "status": status}
        self._objects[kind, name] = changed
        await self._notify(kind, changed, False)
        return changed

    async def _notify(self, kind: str, stored: dict[str, Any], deleted: bool) -> None:
        self._events.append((self.revision, kind, stored, deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_message(reader)
                await asyncio.sleep(ANSWER_DELAY_S)
                status, value, last = await self._call(request)
                line = f"HTTP/1.1 {status} {REASONS[status]}"
                fields = {"Content-Type": "application/json"}
                writer.write(encode(line, fields, json.dumps(value).encode()))
                await writer.drain()
                if last and self.on_page is not None:
                    await self.on_page(*last)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _call(self, request: Message) -> tuple[int, Any, tuple[str, str] | None]:
        parts = urlsplit(request.start[1])
        kind, *names = parts.path.removeprefix(OBJECTS_PATH).split("/")
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        method = request.start[0]
        if method == "GET" and names:
            stored = self.get(kind, names[0])
            return (200, stored, None) if stored else (404, None, None)
        if method == "GET" and "watch" in query:
            wait_s = int(query["wait_ms"]) / 1000
            return 200, await self._watch(kind, int(query["watch"]), wait_s), None
        if method == "GET":
            return self._list(kind, query.get("after", ""))
        return (*await self._write(method, kind, names, request), None)

    def _list(
        self, kind: str, after: str
    ) -> tuple[int, dict[str, Any], tuple[str, str] | None]:
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        page = names[:PAGE_ITEMS]
        has_more = len(names) > len(page)
        value = {
            "items": [self._objects[kind, name] for name in page],
            "has_more": has_more,
            "as_of": self.revision,
        }
        return 200, value, (kind, page[-1]) if has_more else None

    async def _watch(self, kind: str, after: int, wait_s: float) -> dict[str, Any]:
        ends_at = asyncio.get_running_loop().time() + wait_s
        while True:
            found = [e for e in self._events if e[0] > after and e[1] == kind]
            remaining_s = ends_at - asyncio.get_running_loop().time()
            if found or remaining_s <= 0:
                events = [{"object": o, "deleted": d} for _, _, o, d in found]
                return {"events": events, "as_of": self.revision}
            async with self._changed:
                try:
                    async with asyncio.timeout(remaining_s):
                        await self._changed.wait()
                except TimeoutError:
                    continue

    async def _write(
        self, method: str, kind: str, names: list[str], request: Message
    ) -> tuple[int, Any]:
        value = json.loads(request.body)
        name = names[0] if names else value["metadata"]["name"]
        stored = self.get(kind, name)
        if method == "POST" and stored is not None:
            return 409, stored
        if method == "PUT" and stored is None:
            return 404, None
        expected = value["metadata"].get("revision")
        if expected and stored and expected != stored["metadata"]["revision"]:
            return 409, stored
        if names[1:] == ["status"]:
            written = await self._store(kind, name, stored["spec"], value["status"])
        else:
            status = stored["status"] if stored else None
            written = await self._store(kind, name, value["spec"], status)
        if self.on_write is not None:
            await self.on_write(kind, written)
        return 201 if method == "POST" else 200, written
