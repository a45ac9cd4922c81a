"""Checks of the soak, fed with made-up records: one that never fires is none."""

import asyncio
from itertools import count
from random import Random
from types import SimpleNamespace

import pytest

from tests.soak.budgets import Arrivals, budget_problems
from tests.soak.callers import KINDS, Callers, Seen, Sent
from tests.soak.checks import Checks
from tests.soak.crashes import CrashCheck, Prompt, Prompts
from tests.soak.gateway_cuts import Cut, recover_problems
from tests.soak.losses import Evidence, lost_problems
from tests.soak.proxy import Link
from tests.soak.repeats import Repeats
from tests.soak.wire import encode_in_chunks, read_message

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
        {"r", "z"},
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


# One that reached a replica was read, also if the replica did not run it.
def test_only_an_unread_request_may_cross_a_close():
    crossing, late, rejected = map(sent_request, "xyz")
    callers = records(
        (crossing, Seen(100.4)), (late, Seen(100.6)), (rejected, Seen(100.4))
    )
    problems = list(lost_problems(callers, evidence()))
    assert [problem.split()[1] for problem in problems] == ["y", "z"]


REQUEST, PART = ("request-0", True), ("bad0", False)


class CrashRecords:
    """Lines of replicas about requests that end them, and what callers sent."""

    def __init__(self, cause, whole):
        self._cause, self._whole = cause, whole
        self._numbers = count(1)
        self.callers = records()
        self.entries = []

    def send(self, at, crashes=False, name=None, kind="safe", **seen):
        """Record a request of the cause that arrives at a replica."""
        name = name or f"r{next(self._numbers)}"
        if name not in self.callers.sent:
            about = {"repeat": SimpleNamespace(cause=self._cause)}
            if not self._whole:
                about = {"prompt": Prompt("f0", "5ec0", self._cause)}
            self.callers.sent[name] = sent_request(name, kind, at, **about)
        entry = {"id": name, "replica": "i-1", "time": at}
        self.entries.append(entry | {"event": "arrival"})
        if crashes:
            crash = {"event": "crash", "cause": self._cause, "whole": self._whole}
            self.entries.append(entry | crash)

    def send_sound(self, at, status, number):
        """Record sound requests that end with a status."""
        for _ in range(number):
            name = f"s{next(self._numbers)}"
            self.callers.sent[name] = sent_request(name, "safe", at)
            self.callers.seen[name] = Seen(at + 0.1, status, {}, b"", True)

    def problems(self, in_touch=lambda gateway, at: True):
        """Return what the check finds."""
        return list(CrashCheck(self.callers, self.entries, in_touch).problems())


@pytest.mark.parametrize(
    ("cause", "crashes", "late_sends", "found"),
    [
        (REQUEST, 3, 4, True),
        (REQUEST, 3, 3, False),
        (REQUEST, 2, 9, False),
        (PART, 5, 4, True),
        (PART, 5, 3, False),
        (PART, 4, 9, False),
    ],
)
def test_more_than_three_late_sends_of_what_ends_replicas(
    cause, crashes, late_sends, found
):
    lines = CrashRecords(*cause)
    for number in range(crashes):
        lines.send(100.0 + number, crashes=True)
    for _ in range(9):
        lines.send(100.0 + crashes + 1.9)
    for number in range(late_sends):
        lines.send(100.0 + crashes + 2.1 + number)
    assert [p.split(":")[0] for p in lines.problems()] == [f"BUDGET {cause[0]}"] * found


def test_late_sends_by_gateways_out_of_touch_do_not_count():
    lines = CrashRecords(*REQUEST)
    for number in range(9):
        lines.send(100.0 + 2 * number, crashes=True)
    assert len(lines.problems()) == 1
    assert lines.problems(lambda gateway, at: at < 107.5) == []


def test_late_sends_of_another_cause_do_not_count():
    lines, others = CrashRecords(*REQUEST), CrashRecords("request-1", True)
    for number in range(3):
        lines.send(100.0 + number, crashes=True)
    for number in range(9):
        others.send(106.0 + number, name=f"other{number}")
    lines.callers.sent |= others.callers.sent
    lines.entries += others.entries
    assert lines.problems() == []


@pytest.mark.parametrize("cause", [REQUEST, PART])
def test_third_replica_that_ends_under_one_request(cause):
    lines = CrashRecords(*cause)
    lines.send(100.0, crashes=True, name="r")
    lines.send(100.1, crashes=True, name="r")
    assert lines.problems() == []
    lines.send(100.2, crashes=True, name="r")
    assert lines.problems() == ["BUDGET r: 3 replicas ended under one request"]


@pytest.mark.parametrize(("served", "found"), [(30, False), (10, True)])
def test_sound_requests_that_are_not_served_after_the_blame(served, found):
    lines = CrashRecords(*REQUEST)
    lines.send_sound(90.0, 200, 30)
    for number in range(3):
        lines.send(100.0 + number, crashes=True)
    lines.send_sound(110.0, 200, served)
    lines.send_sound(110.0, 503, 30)
    lines.send(120.0)
    assert [p.split(":")[0] for p in lines.problems()] == [
        "LOST safe with customer-0"
    ] * found


def checks_of_calm(sent, seen):
    """Return the checks of one request, nothing disturbed."""
    calm = SimpleNamespace(touch=lambda *span: False)
    fleet = SimpleNamespace(
        runs_file=SimpleNamespace(exists=lambda: False),
        gateways=(),
        disturbances=calm,
        silences=calm,
        gateway_cuts=[],
        brittle_times=[],
    )
    return Checks(records((sent, seen)), fleet, {})


def checks_of(sent, seen, runs=()):
    """Return the problems of the answer to one request, nothing disturbed."""
    checks = checks_of_calm(sent, seen)
    checks._runs.update({sent.name: list(runs)} if runs else {})
    return list(checks._check_answer(sent, seen))


BLAMED_BODIES = [
    b'{"error":{"type":"request_blamed","execution":"not_run"}}',
    b'{"error":{"type":"prompt_part_blamed","execution":"not_run"}}',
]


@pytest.mark.parametrize("body", BLAMED_BODIES)
def test_sound_request_that_is_blamed(body):
    seen = Seen(101.0, 503, {}, body, True)
    sound = sent_request(repeat=SimpleNamespace(cause=""))
    for sent in (sent_request(), sound, sent_request(prompt=Prompt("f0", "5ec0"))):
        (problem,) = checks_of(sent, seen)
        assert problem.startswith("BLAMED r")


@pytest.mark.parametrize("body", BLAMED_BODIES)
def test_blamed_request_that_ends_replicas_is_no_problem(body):
    seen = Seen(101.0, 503, {}, body, True)
    by_part = sent_request(prompt=Prompt("f0", "5ec0", "bad0"))
    by_request = sent_request(repeat=SimpleNamespace(cause="request-0"))
    assert checks_of(by_part, seen) == checks_of(by_request, seen) == []


@pytest.mark.parametrize(
    ("kind", "body", "found"),
    [
        ("slow", b'{"error":{"execution":"not_run"}}', True),
        ("slow", b'{"error":{"execution":"unknown"}}', False),
        ("slow-once", b"", True),
        ("slow", b"", False),
    ],
)
def test_refusal_as_not_run_of_a_request_that_ran(kind, body, found):
    sent = sent_request(kind=kind)
    seen = Seen(101.0, 503, {}, body, True)
    assert checks_of(sent, seen) == []
    problems = checks_of(sent, seen, [run_entry()])
    assert [p.split(" (")[0] for p in problems] == ["REFUSED r"] * found


# Sound requests that share all but one of path, customer and body with a request that
# ends replicas must not be taken for it, neither by gateways nor by the stand-ins.
def test_lookups_differ_from_what_ends_replicas():
    customers = ["customer-0", "customer-1", "customer-2"]
    for seed in range(20):
        prompts = Prompts(Random(seed), [])
        repeats = Repeats(Random(seed), 4, customers, prompts)
        crashing = {repeat.identity for repeat in repeats.crashing}
        sound = repeats._lookups
        assert len(crashing) == 4
        assert {repeat.kind for repeat in repeats.crashing} == {
            "safe",
            "once",
            "stream",
            "tail",
        }
        assert not crashing & {repeat.identity for repeat in sound}
        for identity in crashing:
            near = [
                sum(a == b for a, b in zip(identity, other.identity, strict=True))
                for other in sound
            ]
            assert near.count(2) >= 3


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_body_in_chunks_is_read_as_it_was_sent(size):
    body = Random(size).randbytes(600)

    async def read():
        reader = asyncio.StreamReader()
        reader.feed_data(encode_in_chunks("POST / HTTP/1.1", {}, body, size))
        return await read_message(reader)

    assert asyncio.run(read()).body == body


# Three streams worked on for 0.8 to 0.97 s after their next attempt had begun, on a
# loaded machine: what their replicas did meanwhile was not recorded (TWICE).
@pytest.mark.parametrize(
    ("stalled_s", "shown"), [(0.6, "0.60"), (2.0, "0.80"), (0, "0.00")]
)
def test_overlap_of_two_runs_says_for_how_long_the_replica_stood_still(
    stalled_s, shown
):
    sent = sent_request(kind="stream")
    checks = checks_of_calm(sent, Seen(102.0, 200, SIGNED, b"", True))
    runs = [run_entry(), run_entry("i-2") | {"time": 100.3}]
    checks._ends["i-1.1"] = {"time": 101.1}
    stall = {"replica": "i-1", "time": 101.1, "lasts_s": stalled_s}
    checks._stalls += [stall, stall | {"replica": "i-2", "lasts_s": 0.5}]
    (problem,) = checks._check_overlap(sent, runs)
    assert problem == (
        f"TWICE r (stream) by g-1: i-1 works on for 0.80 s, stalled for {shown}"
    )


def tries(gateway, number, served, at):
    """Return requests to a gateway at a time, of which some are served."""
    for index in range(number):
        sent = sent_request(f"{gateway}-{at}-{index}", "once", at)
        seen = Seen(at + 0.1, 200 if index < served else 503, SIGNED, b"", True)
        yield sent._replace(gateway=gateway), seen


CUT = Cut(frozenset({"g-1"}), "reset", 100.0, 108.0)


@pytest.mark.parametrize(
    ("here", "at", "disturbed", "problems"),
    [
        ((50, 10), 104.0, False, 1),
        ((50, 40), 104.0, False, 0),
        # No more failures than the rule bears: 10 and 1 in 50.
        ((10, 0), 104.0, False, 0),
        ((12, 0), 104.0, False, 1),
        # Before the rule counts, and after the cut has healed.
        ((50, 10), 102.9, False, 0),
        ((50, 10), 108.1, False, 0),
        ((50, 10), 104.0, True, 0),
    ],
)
def test_cut_gateways_that_serve_far_worse_are_found(here, at, disturbed, problems):
    number, served = here
    callers = records(*tries("g-1", number, served, at), *tries("g-2", 20, 19, at))
    found = list(recover_problems(callers, [CUT], lambda *_: not disturbed, {}))
    assert len(found) == problems


class BudgetRecords:
    """Requests and their arrivals at replicas, with what the budget allows."""

    def __init__(self, retry_budget=(0.0, 0.0), in_touch=True, lost_replicas=()):
        self.callers = records()
        self._runs = {}
        self._entries = []
        self._retry_budget = retry_budget
        self._in_touch = in_touch
        self._lost_replicas = lost_replicas

    def add(self, name, kind, at, arrivals, replicas=()):
        """Record a request.

        :param arrivals: time of each arrival and the time that it was given, seconds.
        :param replicas: names of the replicas that ran it.
        """
        self.callers.sent[name] = sent_request(name, kind, at)
        if replicas:
            self._runs[name] = [{"replica": name, "time": at} for name in replicas]
        self._entries += [
            {"id": name, "time": time, "deadline_s": given_s}
            for time, given_s in arrivals
        ]

    def problems(self):
        """Return the first words of what the checks find."""
        arrivals = Arrivals(
            self._runs,
            self._entries,
            dict.fromkeys(KINDS, 3) | {"once": 1},
            self._retry_budget,
            lambda replica, begin, end: replica in self._lost_replicas,
            lambda gateway, at: self._in_touch,
        )
        found = budget_problems(self.callers, arrivals)
        return [problem.split(" by ")[0] for problem in found]


@pytest.mark.parametrize(
    ("requests", "kind", "replicas", "lost_replicas", "found"),
    [
        (4, "safe", "abcd", "", True),
        (3, "safe", "abcd", "", False),
        (9, "safe", "abcc", "", False),
        (9, "safe", "abcd", "d", False),
        (4, "once", "ab", "", True),
        (9, "long", "abc", "", False),
    ],
)
def test_requests_that_run_on_more_replicas_than_their_attempts(
    requests, kind, replicas, lost_replicas, found
):
    lines = BudgetRecords((9.0, 99.0), lost_replicas=lost_replicas)
    for number in range(requests):
        lines.add(f"r{number}", kind, 100.0, [], replicas)
    assert bool(lines.problems()) is found


@pytest.mark.parametrize(
    ("requests", "late_repeats", "kind", "arrivals", "found"),
    [
        (21, 0, "safe", [(100.0, None)], True),
        (20, 0, "safe", [(100.0, None)], False),
        (21, 0, "safe", [(100.0, 2.1)], True),
        (21, 0, "safe", [(100.4, 1.5)], False),
        (21, 0, "once", [(100.0, 1.5), (100.6, 1.5)], True),
        (21, 0, "once", [(100.0, 1.5), (100.4, 1.5)], False),
        (21, 0, "safe", [(100.0, 1.5), (100.9, 1.0)], False),
        (21, 90, "safe", [(100.0, 1.5), (100.9, 1.5)], False),
        (21, 0, "stream", [(100.0, None)], False),
    ],
)
def test_requests_that_are_handed_on_with_more_time_than_is_left(
    requests, late_repeats, kind, arrivals, found
):
    for in_touch in (True, False):
        lines = BudgetRecords((9.0, 999.0), in_touch)
        for number in range(requests):
            lines.add(f"r{number}", kind, 100.0, arrivals)
        for number in range(late_repeats):
            lines.add(f"l{number}", "safe", 100.0, [(100.0, 1.5), (100.9, 0.6)])
        assert bool(lines.problems()) is (found and in_touch)


# Requests are counted in the window, the one before it or the one half before it.
@pytest.mark.parametrize(
    ("requests", "before_s", "repeats", "over_s", "found"),
    [
        (10, 0.0, 8, 9.0, True),
        (10, 0.0, 7, 9.0, False),
        (10, 0.0, 8, 12.0, False),
        (10, 4.0, 7, 9.0, False),
        (10, 9.0, 7, 0.9, False),
        (10, 19.0, 8, 9.0, True),
    ],
)
def test_more_repeats_in_a_window_than_the_budget_allows(
    requests, before_s, repeats, over_s, found
):
    lines = BudgetRecords((0.5, 2.0))
    for number in range(requests):
        lines.add(f"r{number}", "safe", 100.0 - before_s, [(100.0, 1.5)])
    times = [100.0 + over_s * number / (repeats - 1) for number in range(repeats)]
    for at in times:
        lines.add(f"x{at}", "safe", 0.0, [(at, 1.5), (at, 1.5)])
    assert ["BUDGET register" in problem for problem in lines.problems()] == (
        [True] * found
    )


def test_a_connection_that_a_gateway_refuses_carries_no_request():
    async def main():
        link = Link("127.0.0.1")
        await link.open()
        # Nobody listens there.
        link.target = "127.0.0.1:1"
        gateway = SimpleNamespace(name="g-1")
        fleet = SimpleNamespace(gateways=[gateway], links={"g-1": link})
        callers = Callers(fleet, {"key": "customer"}, Random(1), "r", {"safe": 1})
        load = asyncio.create_task(callers.run(2, 0.01))
        await asyncio.sleep(0.3)
        callers.stopping = True
        await load
        await link.close()
        return callers, len(link.refused)

    callers, refused = asyncio.run(main())
    assert (callers.sent, callers.seen) == ({}, {})
    assert refused > 2
