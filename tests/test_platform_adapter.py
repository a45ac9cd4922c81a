"""Decoding of the users' platform's settings and store objects."""

import contextlib

import anyio
import msgspec
import pytest

from lentilshore_kernel.exceptions import (
    SettingsError,
    StoreAmbiguousError,
    StoreError,
    StoreHistoryGoneError,
    StoreUnavailableError,
)
from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.types import Address, StoreRevision
from lentilshore_node.clients.fleet_source import GatewayEntry
from lentilshore_node.clients.http_client import HttpClient
from lentilshore_platform.documents import (
    StoreObject,
    decode_replica,
    decode_rollout,
    decode_table,
    encode_rollout_status,
)
from lentilshore_platform.settings import load_settings
from lentilshore_platform.store import ObjectStoreSource, StoreClient
from lentilshore_routing.observations import Moments, Observations
from lentilshore_routing.rollout_record import RolloutState
from lentilshore_routing.rollouts import Tally
from lentilshore_routing.routes import DeliveryMode, KeyOwner
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
SERVER_SPEC = {
    "service": "pool",
    "address": "10.1.0.1:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "sequence": 4,
}
ROLLOUT_ORDER = {"service": "pool", "target": "v2", "duration_s": 12}


OBSERVATIONS = Observations(
    Tally(1, 2), Tally(0, 9), Moments(1, 0.5, 0.25), Moments(), ("i-1",), 2
)


def stored_object(spec, status=None, name="i-1", revision=7):
    metadata = {"name": name, "revision": revision, "finalizers": [], "deleting": False}
    return {"metadata": metadata, "spec": spec, "status": status}


def decoded_object(*args, **kwargs):
    return msgspec.json.decode(
        msgspec.json.encode(stored_object(*args, **kwargs)), type=StoreObject
    )


def test_settings_are_read_under_gateway_names(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    settings = load_settings(path)
    assert settings.data_centre == "z1"
    assert settings.caller == Address("10.0.0.1", 80)
    assert settings.metrics == Address("10.0.0.1", 7340)
    assert settings.bounds.key_withdrawal_s == 5.0


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ('"10.0.0.1:80"', '"nowhere"', "listen.front"),
        ("drain_ms = 2000", 'drain_ms = "2 s"', "bounds.drain_ms"),
        ("session_s = 5", "session_s = true", "bounds.session_s"),
        ('zone = "z1"', "", "zone"),
        ('address = "10.0.0.9:90"', "", "provider.address"),
        ("[7340, 7355]", "[]", "internal_ports[0]"),
        ("[7340, 7355]", '["7340"]', "internal_ports[0]"),
        ("[7340, 7355]", "[734000]", "internal_ports[0]"),
    ],
)
def test_settings_error_lists_every_problem(tmp_path, old, new, key):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS.replace(old, new).replace("grace_s = 8", ""))
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    keys = {problem.path for problem in caught.value.problems}
    assert keys == {key, "bounds.grace_s"}


@pytest.mark.parametrize("content", [b"not = [toml", b'node_name = "\xff"', None])
def test_unreadable_settings_are_an_error(tmp_path, content):
    path = tmp_path / "node.toml"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(SettingsError):
        load_settings(path)


@pytest.mark.parametrize(
    ("spec_change", "draining", "name"),
    [
        ({}, False, "i-1"),
        ({"state": "draining"}, True, "i-1"),
        ({"born": 1700000000123}, False, "i-1.1700000000123"),
        ({"unknown": {"a": 1}}, False, "i-1"),
    ],
)
def test_replica_is_decoded(spec_change, draining, name):
    record = decode_replica(decoded_object(SERVER_SPEC | spec_change))
    assert (record.replica.draining, record.replica.name) == (draining, name)
    assert (record.identity, record.replica.identity) == ("i-1", "i-1")
    assert record.replica.groups == ("pool@v1",)


@pytest.mark.parametrize(
    "spec",
    [
        SERVER_SPEC | {"state": "resting"},
        SERVER_SPEC | {"address": "nowhere"},
        SERVER_SPEC | {"address": 7},
        SERVER_SPEC | {"slots": "many"},
        {k: v for k, v in SERVER_SPEC.items() if k != "service"},
        "text",
        None,
        [],
    ],
)
def test_invalid_server_object_gives_no_replica(spec):
    with contextlib.suppress(msgspec.MsgspecError):
        assert decode_replica(decoded_object(spec)) is None


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
def test_status_applies_only_to_its_own_order(status, state, stage):
    rollout = decode_rollout(decoded_object(ROLLOUT_ORDER, status))
    assert (rollout.state, rollout.stage) == (state, stage)
    assert (rollout.candidate, rollout.revision.number) == ("v2", 7)


def test_configuration_is_decoded_into_routes():
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
    table = decode_table(msgspec.json.encode(spec))
    first, second = table.match("h", "/a/x"), table.match("h", "/b/x")
    assert first.delivery_mode is DeliveryMode.STREAM_RESUMABLE
    assert (first.models, first.service_weights) == (("s", "l"), (("x", 9.0),))
    assert second.delivery_mode is DeliveryMode.ONCE
    assert (second.service_weights, second.public) == ((("y", 1.0),), True)
    assert table.find_customer("k2") == KeyOwner("t", 1)
    assert (table.limits.body_bytes, table.limits.idle_timeout_s) == (10, 15.0)


def call_source(scripts, call):
    async def serve_and_call():
        server = ScriptedServer(scripts)
        async with server.running():
            client = StoreClient(HttpClient(), server.address, ServedMetrics())
            result = await call(ObjectStoreSource(client))
            return result, [line for line, _, _ in server.requests]

    return anyio.run(serve_and_call)


def json_script(value):
    return [answer(msgspec.json.encode(value))]


def test_list_reads_all_pages_and_skips_unreadable_objects():
    pages = [
        {
            "items": [
                stored_object(SERVER_SPEC),
                stored_object({"odd": 1}, name="i-2"),
            ],
            "has_more": True,
            "as_of": 5,
        },
        {
            "items": [stored_object(SERVER_SPEC, name="i-3"), 7],
            "has_more": False,
            "as_of": 6,
        },
    ]
    listing, lines = call_source(
        [json_script(page) for page in pages], lambda s: s.replicas.list()
    )
    assert [item.identity for item in listing.items] == ["i-1", "i-3"]
    assert listing.revision == StoreRevision(0, 6)
    assert lines[1] == "GET /lentilshore/objects/servers?after=i-2 HTTP/1.1"


def test_changes_keep_their_order_and_mark_removals():
    page = {
        "events": [
            {"object": stored_object(SERVER_SPEC), "deleted": False},
            {"object": stored_object(SERVER_SPEC, name="i-2"), "deleted": True},
            {"object": stored_object({"state": "odd"}, name="i-3"), "deleted": False},
            {"object": stored_object(SERVER_SPEC, name="i-2"), "deleted": False},
        ],
        "as_of": 12,
    }
    changes, lines = call_source(
        [json_script(page)], lambda s: s.replicas.watch(StoreRevision(0, 9), 0.5)
    )
    assert [(name, item is not None) for name, item in changes.changes] == [
        ("i-1", True),
        ("i-2", False),
        ("i-3", False),
        ("i-2", True),
    ]
    assert changes.revision == StoreRevision(0, 12)
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
def test_failed_watch_raises_store_error(script, error):
    with pytest.raises(error):
        call_source([script], lambda s: s.replicas.watch(StoreRevision(0, 9), 0.01))


def running_rollout(name="pool"):
    return decode_rollout(decoded_object(ROLLOUT_ORDER, None, name))._replace(
        state=RolloutState.RUNNING, observations={"n1": OBSERVATIONS}
    )


@pytest.mark.parametrize("status", ["200 OK", "409 Conflict"])
def test_write_returns_the_stored_rollout(status):
    other = {"state": "rolled_back", "target": "v2"}
    current_object = msgspec.json.encode(stored_object(ROLLOUT_ORDER, other, "pool", 9))
    written, lines = call_source(
        [[answer(current_object, status)]], lambda s: s.write_rollout(running_rollout())
    )
    assert (written.state, written.revision.number) == (RolloutState.ROLLED_BACK, 9)
    assert lines == ["PUT /lentilshore/objects/rollouts/pool/status HTTP/1.1"]


@pytest.mark.parametrize(
    ("script", "error"),
    [
        (["reset"], StoreAmbiguousError),
        ([answer(b"{}", "503 Busy")], StoreUnavailableError),
        ([answer(b"{}", "429 Slow")], StoreUnavailableError),
        ([answer(b"{}", "400 Bad")], StoreUnavailableError),
        # The store failed while it may have applied the write.
        ([answer(b"{}", "500 Error")], StoreAmbiguousError),
        ([answer(b"{}", "504 Late")], StoreAmbiguousError),
        ([answer(b"{}", "404 None")], StoreUnavailableError),
        (json_script(stored_object(ROLLOUT_ORDER, {"stage": "x"})), StoreError),
        (json_script(stored_object({"service": 7})), StoreError),
    ],
)
def test_failed_write_raises_store_error(script, error):
    with pytest.raises(error):
        call_source([script], lambda s: s.write_rollout(running_rollout()))


def test_observations_survive_the_store():
    status = msgspec.json.decode(
        msgspec.json.encode(encode_rollout_status(running_rollout()))
    )
    assert decode_rollout(decoded_object(ROLLOUT_ORDER, status)).observations == {
        "n1": OBSERVATIONS
    }


GATEWAY = GatewayEntry("front-1", Address("10.0.0.1", 7340), "z1")


@pytest.mark.parametrize(
    ("stored_spec", "lines"),
    [
        (None, ["POST /lentilshore/objects/gateways HTTP/1.1"]),
        (
            {"address": "10.0.0.1:7340", "zone": "z1"},
            [
                "POST /lentilshore/objects/gateways HTTP/1.1",
                "GET /lentilshore/objects/gateways/front-1 HTTP/1.1",
            ],
        ),
        *(
            (
                spec,
                [
                    "POST /lentilshore/objects/gateways HTTP/1.1",
                    "GET /lentilshore/objects/gateways/front-1 HTTP/1.1",
                    "PUT /lentilshore/objects/gateways/front-1 HTTP/1.1",
                ],
            )
            for spec in ({"address": "10.0.0.7:1", "zone": "z1"}, {"address": 7})
        ),
    ],
)
def test_a_gateway_registers_itself_once(stored_spec, lines):
    stored = msgspec.json.encode(stored_object(stored_spec, name="front-1"))
    scripts = [[answer(stored, "409 Conflict")], [answer(stored)], [answer(stored)]]
    if stored_spec is None:
        scripts = [[answer(stored)]]
    _, sent = call_source(scripts, lambda s: s.register_gateway(GATEWAY))
    assert sent == lines


def test_gateways_are_listed_from_data_that_may_be_stale():
    page = {
        "items": [
            stored_object({"address": "10.0.0.1:7340", "zone": "z1"}, name="front-1"),
            stored_object({"address": "nowhere", "zone": "z1"}, name="front-2"),
            stored_object({"zone": 1}, name="front-3"),
        ],
        "as_of": 5,
    }
    entries, lines = call_source([json_script(page)], lambda s: s.list_gateways())
    assert entries == [GATEWAY]
    assert lines == ["GET /lentilshore/objects/gateways?stale_ok=1 HTTP/1.1"]
