"""Checks of the soak, fed with made-up records: one that never fires is none."""

from types import SimpleNamespace

import pytest

from tests.soak.callers import KINDS, Seen, Sent
from tests.soak.losses import Evidence, lost_problems

SIGNED = {"x-response-signature": "a"}
DISTURBED_AT = 98.0


def sent_request(name="r", kind="slow", at=100.0, **values):
    """Return a request that a caller has sent at a time."""
    line = f"POST {KINDS[kind][0]}x HTTP/1.1"
    return Sent(name, kind, "g-1", "key-0", "customer-0", line, "h", at, **values)


def records(*pairs):
    """Return what callers sent and saw."""
    return SimpleNamespace(
        sent={sent.name: sent for sent, _ in pairs},
        seen={sent.name: seen for sent, seen in pairs if seen},
    )


def run_entry(replica="i-1", name="r"):
    """Return the line of a run."""
    return {"run": f"{replica}.1", "replica": replica, "time": 100.1, "id": name}


def evidence(end="left", disturbed=(), stops=(), crashes=()):
    """Return what explains the end of a request that ran at the replica i-1."""
    return Evidence(
        {"r": [run_entry()]},
        {"i-1.1": {"time": 101.0, "how": end}} if end else {},
        {"g-1": stops},
        lambda subjects, begin, end: bool(
            subjects.intersection(disturbed) and begin <= DISTURBED_AT <= end
        ),
        {"register": {"i-1", "i-2"}, "pool": {"i-3"}},
        [{"replica": replica, "time": 99.0} for replica in crashes],
    )


def lost(seen, kind="slow", **values):
    """Return the problems of one request that ran."""
    callers = records((sent_request(kind=kind), seen))
    return list(lost_problems(callers, evidence(**values)))


# A request that ended early, as a 502 or 504 of the gateway's own, closed or cut,
# without anything that explains it, is found in each kind of run.
@pytest.mark.parametrize(
    ("kind", "seen"),
    [
        ("slow", Seen(101.0, 502, {}, b"", True)),
        ("slow", Seen(104.8, 504, {}, b"", True)),
        ("slow", Seen(101.0, 500, {}, b"", True)),
        ("slow-once", Seen(101.0, 502, {}, b"", True)),
        ("long", Seen(101.0, 200, SIGNED, b"id: 1", False)),
        ("long", Seen(101.0)),
        ("safe", Seen(100.4, 502, {}, b"", True)),
        ("stream", Seen(103.4, 504, {}, b"", True)),
    ],
)
def test_unanswered_request_with_time_left_is_lost(kind, seen):
    (problem,) = lost(seen, kind)
    assert problem.startswith(f"LOST r ({kind}) by g-1: {seen.status or 'closed'}")


@pytest.mark.parametrize(
    ("kind", "seen"),
    [
        ("slow", Seen(101.0, 200, SIGNED, b"", True)),
        ("slow", Seen(101.0, 503, {}, b"", True)),
        ("slow", Seen(101.0, 502, SIGNED, b"", True)),
        ("slow", Seen(101.0, left=True)),
        ("slow", Seen(105.0, 504, {}, b"", True)),
        ("safe", Seen(100.5, 504, {}, b"", True)),
        ("stream", Seen(103.6, 504, {}, b"", True)),
    ],
)
def test_answered_late_or_refused_request_is_not_lost(kind, seen):
    assert lost(seen, kind) == []


BAD_GATEWAY = Seen(101.0, 502, {}, b"", True)


@pytest.mark.parametrize(
    "explanation",
    [
        {"end": None},
        {"end": "lost"},
        {"end": "hung"},
        {"end": "failed"},
        {"disturbed": {"g-1"}},
        {"disturbed": {"store"}},
        {"disturbed": {("peer", "g-1")}},
        {"disturbed": {"i-2"}},
        {"crashes": ["i-2-1"]},
    ],
    ids=str,
)
def test_explained_end_is_not_lost(explanation):
    assert lost(BAD_GATEWAY, **explanation) == []


def test_request_at_the_end_of_a_stop_is_not_lost():
    seen = BAD_GATEWAY._replace(at=104.0)
    assert lost(seen, stops=[98.5]) == []
    assert len(lost(seen, stops=[99.5])) == 1


# What happened to another gateway, another service or at another time explains nothing.
@pytest.mark.parametrize(
    "circumstance",
    [
        {"end": "answered"},
        {"disturbed": {"g-2"}},
        {"disturbed": {"i-3"}},
        {"crashes": ["i-3-1"]},
        {"stops": [95.0]},
        {"stops": [98.0]},
    ],
    ids=str,
)
def test_end_beside_what_does_not_explain_it_is_lost(circumstance):
    assert len(lost(BAD_GATEWAY, **circumstance)) == 1


def test_unread_request_that_crosses_a_close_is_not_lost():
    crossing, late = sent_request("x"), sent_request("y")
    callers = records((crossing, Seen(100.4)), (late, Seen(100.6)))
    problems = list(lost_problems(callers, evidence()))
    assert [problem.split()[1] for problem in problems] == ["y"]
