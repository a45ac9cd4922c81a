"""Stand-ins under changes that come while they are in use."""

import anyio
import msgspec

from lentilshore_kernel.testing import FakeClock, run_with_clock
from lentilshore_node.clients.http_client import HttpClient
from lentilshore_node.clients.platform import HttpObjectStore
from lentilshore_standins.asgi import HttpRequest
from lentilshore_standins.engine import EngineOptions, EngineStandIn
from tests.scripted import ScriptedServer, answer


class CollectingResponse:
    """Response whose status and JSON body are kept."""

    def __init__(self):
        self.status = None
        self.value = None

    async def send_json(self, value, status=200, headers=None):
        self.value, self.status = value, status


def test_a_version_unloaded_while_a_request_runs_still_answers_it():
    clock = FakeClock()
    ratings = []

    async def send_rating(request_id, good):
        ratings.append((request_id, good))

    engine = EngineStandIn(clock, EngineOptions({"m@1": 1.0}), send_rating)
    body = {
        "request_id": "r1",
        "model": "m@1",
        "messages": [{"role": "user", "content": "which ship"}],
    }
    request = HttpRequest("POST", "/v1/chat/completions", {}, {}, b"")
    response = CollectingResponse()

    async def main():
        complete = request._replace(body=msgspec.json.encode(body))
        async with anyio.create_task_group() as group:
            group.start_soon(engine.handle, complete, response)
            await clock.sleep(0.01)
            order = {"action": "unload", "version": "m@1", "fencing": 1}
            assert engine.running == ["r1"]
            assert engine.apply_order(order, "") == (200, {"versions": []})

    run_with_clock(clock, main)
    assert (response.status, response.value["model"]) == (200, "m@1")
    assert ratings == [("r1", True)]
    assert engine.running == []


def test_a_watch_of_a_removed_object_returns_nothing():
    async def main():
        server = ScriptedServer([[answer(b'{"error": "no object"}', "404 Not Found")]])
        async with server.running():
            store = HttpObjectStore(HttpClient(), server.address, 2.0)
            return await store.watch("config/head", 3)

    assert anyio.run(main) is None
