"""Stand-in of the users' object store, run as a process."""

import asyncio
import copy
import json
import sys
import time
from urllib.parse import parse_qs, urlsplit

from tests.soak.wire import encode, read_message

OBJECTS_PATH = "/lentilshore/objects/"
CONTROL_PATH = "/soak/store"
ENTRY_LIFETIME_S = 3.2
HISTORY_LENGTH = 400
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone"}
# Kinds of object that are gone again after a restore unless they are written again.
SYSTEM_KINDS = ("gateways",)
# Kinds whose objects a write creates.
CREATED_KINDS = ("config", "rollouts", *SYSTEM_KINDS)


class Store:
    """Objects by kind and name, with revisions, watches and eras."""

    def __init__(self):
        self._objects = {}
        self._beats = {}
        self._events = []
        self._revision = 1
        self._era = 1
        self._backup = (1, {})
        self._changed = asyncio.Condition()
        # ok, busy, silent, slow or lossy.
        self._mode = "ok"
        # Addresses that are handed out in place of gateways' own.
        self._gateway_links = {}

    async def run(self, host):
        """Serve until the process is ended."""
        server = await asyncio.start_server(self._serve_connection, host, 0)
        print(f"listening {host}:{server.sockets[0].getsockname()[1]}", flush=True)
        while True:
            await asyncio.sleep(0.5)
            await self._expire()

    async def _expire(self):
        limit = time.monotonic() - ENTRY_LIFETIME_S
        for name in [n for n, beaten in self._beats.items() if beaten < limit]:
            del self._beats[name]
            await self._remove("servers", name)

    async def _serve_connection(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if not request.complete or not await self._serve(request, writer):
                    return
        except (EOFError, ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _serve(self, request, writer):
        method, target, _ = request.start
        if target == CONTROL_PATH:
            await self._control(json.loads(request.body))
            status, value = 200, None
        elif self._mode == "silent":
            await asyncio.sleep(30)
            return False
        elif self._mode == "busy":
            status, value = 503, None
        else:
            if self._mode == "slow":
                await asyncio.sleep(0.25)
            status, value = await self._call(method, target, request.body)
            if self._mode == "lossy" and method != "GET":
                return False
        fields = {"Store-Era": str(self._era), "Content-Type": "application/json"}
        line = f"HTTP/1.1 {status} {REASONS.get(status, 'Unavailable')}"
        writer.write(encode(line, fields, json.dumps(value).encode()))
        await writer.drain()
        return not request.closes

    async def _control(self, command):
        self._mode = command.get("mode", self._mode)
        self._gateway_links.update(command.get("links", {}))
        if command.get("back_up"):
            self._backup = copy.deepcopy((self._revision, self._objects))
        if command.get("restore"):
            await self._restore()

    async def _restore(self):
        kept = {k: v for k, v in self._objects.items() if k[0] not in SYSTEM_KINDS}
        self._revision, self._objects = copy.deepcopy(self._backup)
        self._events, self._era = [], self._era + 1
        for (kind, name), stored in kept.items():
            await self._put(kind, name, stored["spec"], None)

    async def _call(self, method, target, body):
        parts = urlsplit(target)
        kind, *names = parts.path.removeprefix(OBJECTS_PATH).split("/")
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if method == "GET":
            return await self._read(kind, names, query)
        value = json.loads(body)
        name = names[0] if names else value["metadata"]["name"]
        stored = self._objects.get((kind, name))
        if kind == "servers":
            self._beats[name] = time.monotonic()
        elif method == "POST" and stored is not None:
            return 409, stored
        elif stored is None and (names[1:] or kind not in CREATED_KINDS):
            return 404, None
        expected = value["metadata"].get("revision")
        if expected and stored and expected != stored["metadata"]["revision"]:
            return 409, stored
        if names[1:] == ["status"]:
            return 200, await self._put(kind, name, stored["spec"], value["status"])
        status = stored["status"] if stored else None
        return 200, await self._put(kind, name, value["spec"], status)

    async def _read(self, kind, names, query):
        if names:
            stored = self._objects.get((kind, names[0]))
            return (200, stored) if stored else (404, None)
        if "watch" in query:
            return await self._watch(
                kind, int(query["watch"]), int(query["wait_ms"]) / 1000
            )
        items = [o for (k, _), o in sorted(self._objects.items()) if k == kind]
        if kind == "gateways":
            items = [self._through_link(item) for item in items]
        return 200, {"items": items, "has_more": False, "as_of": self._revision}

    def _through_link(self, item):
        address = item["spec"]["address"]
        spec = item["spec"] | {"address": self._gateway_links.get(address, address)}
        return item | {"spec": spec}

    async def _watch(self, kind, after, wait_s):
        era, deadline = self._era, time.monotonic() + wait_s
        while True:
            oldest = self._events[0][0] if self._events else self._revision + 1
            if self._era != era or after > self._revision or after + 1 < oldest:
                return 410, None
            found = [e for e in self._events if e[0] > after and e[1] == kind]
            remaining_s = deadline - time.monotonic()
            if found or remaining_s <= 0:
                events = [{"object": o, "deleted": d} for _, _, o, d in found]
                return 200, {"events": events, "as_of": self._revision}
            async with self._changed:
                try:
                    async with asyncio.timeout(remaining_s):
                        await self._changed.wait()
                except TimeoutError:
                    continue

    async def _put(self, kind, name, spec, status):
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

    async def _remove(self, kind, name):
        stored = self._objects.pop((kind, name), None)
        if stored is None:
            return
        self._revision += 1
        await self._notify(kind, stored, True)

    async def _notify(self, kind, stored, deleted):
        self._events.append((self._revision, kind, stored, deleted))
        del self._events[:-HISTORY_LENGTH]
        async with self._changed:
            self._changed.notify_all()


if __name__ == "__main__":
    asyncio.run(Store().run(sys.argv[1]))
