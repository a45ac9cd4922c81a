"""In-process stand-in of the platform's object store that can be restored."""

import copy
from urllib.parse import parse_qs, urlsplit

import msgspec

from lentilshore_node.clients.http_client import HttpAnswer

PREFIX = "/lentilshore/objects/"


class StoreStandin:
    """Object store of one process, called in place of an HTTP client.

    :param clock: clock of the gateway under test; a waiting watch sleeps on it.
    """

    def __init__(self, clock):
        self._clock = clock
        self.era = 1
        self.revision = 10
        self._objects = {}
        self._events = []
        self.writes = []

    def put(self, kind, name, spec):
        """Write an object as the operators' system or a replica does."""
        known = self._objects.get((kind, name), {"status": None})
        self._store(kind, name, spec, known["status"])

    def delete(self, kind, name):
        stored = self._objects.pop((kind, name))
        self.revision += 1
        self._events.append((self.revision, kind, stored, True))

    def status(self, kind, name):
        return self._objects[kind, name]["status"]

    def copy(self):
        return copy.deepcopy((self.revision, self._objects))

    def restore(self, backup):
        """Begin a new era with the content of a copy and no history."""
        self.revision, self._objects = copy.deepcopy(backup)
        self._events = []
        self.era += 1

    async def request(self, method, address, path, body=None, timeout_s=1.0):
        await self._clock.sleep(0.004)
        parts = urlsplit(path)
        kind, *names = parts.path.removeprefix(PREFIX).split("/")
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if method == "PUT":
            status, value = self._put_status(kind, names[0], msgspec.json.decode(body))
        elif names:
            stored = self._objects.get((kind, names[0]))
            status, value = (200, stored) if stored else (404, None)
        elif "watch" in query:
            status, value = await self._watch(
                kind, int(query["watch"]), int(query["wait_ms"]) / 1000
            )
        else:
            items = [o for (k, _), o in self._objects.items() if k == kind]
            status, value = 200, {"items": items, "as_of": self.revision}
        headers = {"store-era": str(self.era)}
        return HttpAnswer(status, headers, msgspec.json.encode(value))

    async def _watch(self, kind, after, wait_s):
        era, waited_s = self.era, 0.0
        while True:
            if after > self.revision or self.era != era:
                return 410, None
            found = [e for e in self._events if e[0] > after and e[1] == kind]
            if found or waited_s >= wait_s:
                events = [{"object": o, "deleted": d} for _, _, o, d in found]
                return 200, {"events": events, "as_of": self.revision}
            await self._clock.sleep(0.05)
            waited_s += 0.05

    def _put_status(self, kind, name, value):
        stored = self._objects.get((kind, name))
        if stored is None:
            return 404, None
        if value["metadata"]["revision"] != stored["metadata"]["revision"]:
            return 409, stored
        self.writes.append((self.era, name, value["status"]["state"]))
        return 200, self._store(kind, name, stored["spec"], value["status"])

    def _store(self, kind, name, spec, status):
        self.revision += 1
        metadata = {"name": name, "revision": self.revision}
        stored = {"metadata": metadata, "spec": spec, "status": status}
        self._objects[kind, name] = stored
        self._events.append((self.revision, kind, stored, False))
        return stored
