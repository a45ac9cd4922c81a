"""The adapter to the users' platform: what it decodes, and from which bytes."""

import contextlib

import anyio
import msgspec
import pytest

from lentilshore_kernel.exceptions import (
    SettingsError,
    StoreAmbiguousError,
    StoreHistoryGoneError,
    StoreUnavailableError,
)
from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.types import Address
from lentilshore_node.http_client import HttpClient
from lentilshore_platform.documents import (
    StoreObject,
    decode_replica,
    decode_rollout,
    decode_table,
    encode_rollout_status,
)
from lentilshore_platform.settings import load_settings
from lentilshore_platform.store import ObjectStoreSource, StoreClient
from lentilshore_routing.rollout_record import RolloutState
from lentilshore_routing.rollouts import Tally
from lentilshore_routing.routes import KeyHolder, Repeat
from lentilshore_routing.sightings import Sightings, Spread
from tests.scripted import ScriptedServer, answer

SETTINGS = """\
node_name = "front-1"
zone = "z1"
internal_ports = [7340, 7355]
[listen]
front = "10.0.0.1:80"
ready = "10.0.0.1:81"
[bounds]
drain_ms = 2000
revoke_ms = 5000
config_apply_ms = 2000
session_s = 5
grace_s = 8
retry_budget_ratio = 0.9
budget_extra = 52
budget_window_s = 10
expose_share = 0.15
[provider]
address = "10.0.0.9:90"
value_bytes = 1048576
"""
SERVER = {
    "service": "pool",
    "address": "10.1.0.1:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "sequence": 4,
}
ORDER = {"service": "pool", "target": "v2", "duration_s": 12}


SEEN = Sightings(Tally(1, 2), Tally(0, 9), Spread(1, 0.5, 0.25), Spread(), ("i-1",), 2)


def stored(spec, status=None, name="i-1", revision=7):
    metadata = {"name": name, "revision": revision, "finalizers": [], "deleting": False}
    return {"metadata": metadata, "spec": spec, "status": status}


def decoded(*args, **kwargs):
    return msgspec.json.decode(
        msgspec.json.encode(stored(*args, **kwargs)), type=StoreObject
    )


def test_settings_are_read_in_our_names(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    settings = load_settings(path)
    assert settings.data_centre == "z1"
    assert settings.caller == Address("10.0.0.1", 80)
    assert settings.metrics == Address("10.0.0.1", 7340)
    assert settings.bounds.key_withdrawal_s == 5.0


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        ('"10.0.0.1:80"', '"nowhere"', "listen.front"),
        ("drain_ms = 2000", 'drain_ms = "2 s"', "bounds.drain_ms"),
        ("session_s = 5", "session_s = true", "bounds.session_s"),
        ('zone = "z1"', "", "zone"),
        ('address = "10.0.0.9:90"', "", "provider.address"),
    ],
)
def test_settings_name_every_problem(tmp_path, old, new, place):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS.replace(old, new).replace("grace_s = 8", ""))
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    places = {problem.path for problem in caught.value.problems}
    assert places == {place, "bounds.grace_s"}


@pytest.mark.parametrize("text", ["not = [toml", None])
def test_settings_that_cannot_be_read(tmp_path, text):
    path = tmp_path / "node.toml"
    if text is not None:
        path.write_text(text)
    with pytest.raises(SettingsError):
        load_settings(path)


@pytest.mark.parametrize(
    ("change", "leaving", "name"),
    [
        ({}, False, "i-1"),
        ({"state": "draining"}, True, "i-1"),
        ({"born": 1700000000123}, False, "i-1.1700000000123"),
        ({"unknown": {"a": 1}}, False, "i-1"),
    ],
)
def test_entries_of_replicas(change, leaving, name):
    record = decode_replica(decoded(SERVER | change))
    assert (record.replica.leaving, record.replica.name) == (leaving, name)
    assert (record.identity, record.replica.identity) == ("i-1", "i-1")
    assert record.replica.groups == ("pool@v1",)


@pytest.mark.parametrize(
    "spec",
    [
        SERVER | {"state": "resting"},
        SERVER | {"address": "nowhere"},
        SERVER | {"address": 7},
        SERVER | {"slots": "many"},
        {k: v for k, v in SERVER.items() if k != "service"},
        "text",
        None,
        [],
    ],
)
def test_entries_of_other_writers_name_no_replica(spec):
    with contextlib.suppress(msgspec.MsgspecError):
        assert decode_replica(decoded(spec)) is None


@pytest.mark.parametrize(
    ("status", "state", "stage"),
    [
        (None, None, 0),
        ({"state": "running", "target": "v2", "stage": 1}, RolloutState.RUNNING, 1),
        ({"state": "completed", "target": "v2"}, RolloutState.COMPLETED, 0),
        ({"state": "completed", "target": "v1", "stage": 2}, None, 0),
        ({"state": "odd", "target": "v2"}, None, 0),
    ],
)
def test_a_status_counts_for_its_own_order(status, state, stage):
    rollout = decode_rollout(decoded(ORDER, status))
    assert (rollout.state, rollout.stage) == (state, stage)
    assert (rollout.candidate, rollout.revision) == ("v2", 7)


def test_a_configuration_is_decoded_into_routes():
    spec = {
        "version": 9,
        "routes": [
            {
                "name": "a",
                "host": "h",
                "path_prefix": "/a/",
                "kind": "streaming",
                "timeout_ms": 2500,
                "sizes": ["s", "l"],
                "resumable": True,
                "traffic_split": [{"service": "x", "weight": 9}],
            },
            {
                "name": "b",
                "host": "h",
                "path_prefix": "/b/",
                "kind": "new_kind",
                "timeout_ms": 800,
                "service": "y",
                "public": True,
            },
        ],
        "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "priority": 1}],
        "limits": {"max_body_bytes": 10, "idle_timeout_ms": 15000},
    }
    table = decode_table(decoded(spec))
    first, second = table.match("h", "/a/x"), table.match("h", "/b/x")
    assert first.repeat is Repeat.STREAM_RESUMABLE
    assert (first.models, first.weights) == (("s", "l"), (("x", 9.0),))
    assert second.repeat is Repeat.ONCE
    assert (second.weights, second.public) == ((("y", 1.0),), True)
    assert table.holder("k2") == KeyHolder("t", 1)
    assert (table.limits.body_bytes, table.limits.idle_s) == (10, 15.0)


def ask(scripts, act):
    async def main():
        server = ScriptedServer(scripts)
        async with server.running():
            client = StoreClient(HttpClient(), server.address, ServedMetrics())
            result = await act(ObjectStoreSource(client))
            return result, [line for line, _, _ in server.requests]

    return anyio.run(main)


def body(value):
    return [answer(msgspec.json.encode(value))]


def test_a_list_is_read_page_by_page_without_what_is_unreadable():
    pages = [
        {
            "items": [stored(SERVER), stored({"odd": 1}, name="i-2")],
            "has_more": True,
            "as_of": 5,
        },
        {"items": [stored(SERVER, name="i-3"), 7], "has_more": False, "as_of": 6},
    ]
    listing, lines = ask([body(page) for page in pages], lambda s: s.replicas.list())
    assert [item.identity for item in listing.items] == ["i-1", "i-3"]
    assert listing.revision == 6
    assert lines[1] == "GET /lentilshore/objects/servers?after=i-2 HTTP/1.1"


def test_changes_keep_their_order_and_are_told_from_removals():
    page = {
        "events": [
            {"object": stored(SERVER), "deleted": False},
            {"object": stored(SERVER, name="i-2"), "deleted": True},
            {"object": stored({"state": "odd"}, name="i-3"), "deleted": False},
            {"object": stored(SERVER, name="i-2"), "deleted": False},
        ],
        "as_of": 12,
    }
    changes, lines = ask([body(page)], lambda s: s.replicas.watch(9, 0.5))
    assert [(name, item is not None) for name, item in changes.events] == [
        ("i-1", True),
        ("i-2", False),
        ("i-3", False),
        ("i-2", True),
    ]
    assert changes.revision == 12
    assert "watch=9&wait_ms=500" in lines[0]


@pytest.mark.parametrize(
    ("script", "error"),
    [
        ([answer(b"{}", "410 Gone")], StoreHistoryGoneError),
        ([answer(b"{}", "503 Busy")], StoreUnavailableError),
        ([answer(b"{}", "429 Slow")], StoreUnavailableError),
        ([answer(b"no json")], StoreUnavailableError),
        (["reset"], StoreUnavailableError),
    ],
)
def test_failures_of_a_watch(script, error):
    with pytest.raises(error):
        ask([script], lambda s: s.replicas.watch(9, 0.01))


def running(name="pool"):
    return decode_rollout(decoded(ORDER, None, name))._replace(
        state=RolloutState.RUNNING, sightings={"n1": SEEN}
    )


@pytest.mark.parametrize("status", ["200 OK", "409 Conflict"])
def test_a_write_returns_the_record_as_it_is(status):
    other = {"state": "rolled_back", "target": "v2"}
    stored_now = msgspec.json.encode(stored(ORDER, other, "pool", 9))
    written, lines = ask(
        [[answer(stored_now, status)]], lambda s: s.write_rollout(running())
    )
    assert (written.state, written.revision) == (RolloutState.ROLLED_BACK, 9)
    assert lines == ["PUT /lentilshore/objects/rollouts/pool/status HTTP/1.1"]


@pytest.mark.parametrize(
    ("script", "error"),
    [
        (["reset"], StoreAmbiguousError),
        ([answer(b"{}", "503 Busy")], StoreUnavailableError),
        ([answer(b"{}", "404 None")], StoreUnavailableError),
    ],
)
def test_failures_of_a_write(script, error):
    with pytest.raises(error):
        ask([script], lambda s: s.write_rollout(running()))


def test_sightings_survive_the_store():
    status = msgspec.json.decode(msgspec.json.encode(encode_rollout_status(running())))
    assert decode_rollout(decoded(ORDER, status)).sightings == {"n1": SEEN}
