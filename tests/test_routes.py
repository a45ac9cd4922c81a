import pytest

from lentilshore_routing.routes import (
    CallerLimits,
    DeliveryMode,
    KeyOwner,
    PromptPart,
    Route,
    RouteTable,
    shared_prefix,
)


def route(name, prefix, weights=(("pool", 1.0),)):
    return Route(
        name, "h", prefix, DeliveryMode.ONCE, 1, 1, 1, 0, 1, False, (), tuple(weights)
    )


TABLE = RouteTable(
    7,
    [route("all", "/"), route("a", "/a/"), route("ab", "/a/b/")],
    {"k1": KeyOwner("kerlann")},
    CallerLimits(),
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h", "/a/b/c", "ab"),
        ("h", "/a/b", "a"),
        ("h", "/ab/", "all"),
        ("other", "/a/", None),
    ],
)
def test_the_longest_prefix_wins(host, path, name):
    found = TABLE.match(host, path)
    assert (found and found.name) == name


def test_a_key_is_looked_up_to_its_customer():
    assert TABLE.find_customer("k1") == KeyOwner("kerlann")
    assert TABLE.find_customer("") is None


@pytest.mark.parametrize(
    ("point", "service"), [(0.0, "a"), (0.89, "a"), (0.91, "b"), (0.999, "b")]
)
def test_requests_are_split_by_weight(point, service):
    split = route("r", "/", [("a", 90), ("b", 10)])
    assert split.pick_service(point) == service


@pytest.mark.parametrize(
    ("parts", "expected"),
    [
        ([], ("", 0)),
        ([("own", 9)], ("", 0)),
        ([("s", 800), ("t", 410), ("own", 9)], ("m/t", 1210)),
    ],
)
def test_the_last_part_of_a_prompt_is_not_shared(parts, expected):
    assert shared_prefix([PromptPart(*p) for p in parts], "m") == expected


@pytest.mark.parametrize(
    ("mode", "streaming", "repeatable"),
    [
        (DeliveryMode.IDEMPOTENT, False, True),
        (DeliveryMode.ONCE, False, False),
        (DeliveryMode.STREAM_ONCE, True, False),
        (DeliveryMode.STREAM_RESUMABLE, True, True),
    ],
)
def test_properties_of_delivery_modes(mode, streaming, repeatable):
    assert (mode.streaming, mode.repeatable) == (streaming, repeatable)
