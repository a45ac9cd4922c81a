import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilshore_kernel.testing import FakeClock
from lentilshore_routing import crash_blame, crash_news
from lentilshore_routing.crash_blame import CrashBlame
from lentilshore_routing.crash_causes import part_causes, whole_request_cause
from lentilshore_routing.crash_news import (
    AnswerNews,
    CauseNews,
    CrashNews,
    part_digest,
)
from lentilshore_routing.routes import PromptPart

RUNS_S = 0.1


class Node:
    """Blame of one node, and the requests that it sends."""

    def __init__(self, clock=None):
        self.clock = clock or FakeClock()
        self.blame = CrashBlame(self.clock, random.Random(1))
        self._count = 0

    def crash(self, *names, replica=None, sent_ago_s=RUNS_S, pause_s=RUNS_S):
        """Crash a replica under a request, some time after the crash before."""
        self.clock.advance(pause_s)
        self._count += 1
        replica = replica or f"i-{id(self)}-{self._count}"
        sent_at = self.clock.monotonic() - sent_ago_s + 0.001
        return named(self.blame.record_crash(prompt(*names), replica, sent_at))

    def answer(self, *names, count=1):
        for _ in range(count):
            self._count += 1
            self.blame.record_answer(prompt(*names), f"r-{id(self)}-{self._count}")

    def blamed(self, *names):
        found = self.blame.blamed_cause(prompt(*names))
        return None if found is None else named([found.digest])[0]

    def hear(self, *others, delay_s=0.0):
        """Learn what other nodes know."""
        asked_at = self.clock.monotonic()
        told = [other.blame.tell() for other in others]
        self.clock.advance(delay_s)
        found = []
        for news in told:
            found += self.blame.learn(news, asked_at)
        return named(found)


NAMES = [f"{letter}{n}" for letter in "fs" for n in range(200)] + [
    "f",
    "s",
    "t",
    "u",
    "own",
]
BY_DIGEST = {part_digest(name): name for name in NAMES}


def named(digests):
    return [BY_DIGEST[digest] for digest in digests]


def prompt(*names):
    """Return the causes of a prompt with some shared parts and one of its own."""
    return part_causes([PromptPart(name, 100) for name in (*names, "own")])


def blame_part(node, *names):
    for _ in range(3):
        node.crash(*names)


def meet_two_bad_parts(node):
    """Blame two first parts that a sound part has met; return what is blamed."""
    node.crash("f1", "s")
    for first in ("f2", "f3", "f4"):
        node.crash(first, "s", pause_s=RUNS_S if first == "f2" else 0.0)
    for names in ("f1", "t"), ("f1", "u"), ("f1", "s1"), ("f2", "s2"), ("f2", "s3"):
        node.crash(*names)
    return sorted(named(node.blame.blamed))


def blames_a_request_beside_blamed_ones(node):
    """Crash replicas under a request, and one each under two that are blamed."""
    early, other, late = (
        whole_request_cause(b"GET", "", target, "", b"")
        for target in (b"/early", b"/other", b"/late")
    )
    for cause in [*[early, other] * 3, late, early, other, late, late]:
        node.clock.advance(RUNS_S)
        replica = f"i-{node.clock.monotonic()}"
        sent_at = node.clock.monotonic() - RUNS_S / 2
        node.blame.record_crash([cause], replica, sent_at)
    return late.digest in node.blame.blamed


# Each crash is the parts of its request; each answer is marked by "+".
@pytest.mark.parametrize(
    ("history", "blamed"),
    [
        ([("f", "s")] * 2, []),
        ([("f", "s")] * 3, ["s"]),
        ([("s",)] * 3, ["s"]),
        ([()] * 5, []),
        ([("f", "s"), ("f", "t"), ("f", "u")], ["f"]),
        ([("f", "s"), ("f", "t"), ("f", "s")], ["f"]),
        ([("+", "f", "u"), ("f", "s"), ("f", "t"), ("f", "s")], []),
        ([("f1", "s"), ("f2", "s"), ("f3", "s")], ["s"]),
        ([("f", "s", "t")] * 3, ["t"]),
        # An answer since the first crash takes five crashes to outweigh.
        ([("f", "s"), ("+", "f", "s"), *[("f", "s")] * 3], []),
        ([("f", "s"), ("+", "f", "s"), *[("f", "s")] * 4], ["s"]),
        ([("f", "s"), *[("+", "f", "s")] * 2, *[("f", "s")] * 7], []),
        # Answers before the first crash, too.
        ([("+", "f", "s"), *[("f", "s")] * 4], []),
        ([("+", "f", "s"), *[("f", "s")] * 5], ["s"]),
        ([("+", "f", "u"), ("f", "s"), ("f", "t"), ("f", "u")], []),
        # The part that was answered less is blamed, not the later one.
        ([("+", "f1", "s"), *[("f", "s")] * 3], ["f"]),
        # Crashes that a blamed part explains don't count for others.
        ([("+", "f", "s1"), *[("f", "s")] * 3, ("f", "t"), ("f", "u")], ["s"]),
        # One part that was never answered explains all crashes.
        ([*[("f", "s")] * 3, ("f", "t")], ["f"]),
        ([("+", "f", "s1"), *[("f", "s"), ("f", "t")] * 3], ["s", "t"]),
        ([("+", "f", "s1"), *[("f", f"s{n % 4 + 2}") for n in range(12)]],
         ["s2", "s3", "s4", "s5"]),
    ],
)  # fmt: skip
def test_which_part_is_blamed(history, blamed):
    node = Node()
    for names in history:
        if names[:1] == ("+",):
            node.answer(*names[1:])
        else:
            node.crash(*names)
    assert sorted(named(node.blame.blamed)) == blamed


# Crashes were too few in a row, since the requests overlapped.
def test_overlapping_crashes_blame_a_part_from_the_fifth_on():
    node = Node()
    for replica in range(4):
        node.crash("f", "s", sent_ago_s=0.5, pause_s=0.01, replica=f"i-{replica}")
    assert node.crash("f", "s", sent_ago_s=0.015, pause_s=0.02) == ["s"]


# Five replicas crashed within 0.2 s, under requests that were sent before the first one
# had crashed, and requests with the part were sent on (BUDGET).
def test_crashes_that_all_overlap_blame_a_part():
    node = Node()
    for number in range(5):
        node.crash("f", "s", sent_ago_s=0.2 + 0.02 * number, pause_s=0.05)
    assert named(node.blame.blamed) == ["s"]


@pytest.mark.parametrize("count", [5, 8])
def test_replicas_lost_at_one_time_blame_no_part(count):
    node = Node()
    for _ in range(count):
        node.crash("f", "s", pause_s=0.0)
    assert node.blame.blamed == []


def test_a_replica_counts_once_whoever_tells_of_it():
    clock = FakeClock()
    nodes = [Node(clock) for _ in range(3)]
    for node in nodes:
        node.hear(*nodes)
        node.crash("f", "s", replica="i-1", pause_s=0.2)
    assert nodes[0].hear(*nodes[1:]) == []
    assert nodes[2].blame.blamed == []


def test_crashes_seen_by_several_nodes_add_up():
    clock = FakeClock()
    nodes = [Node(clock) for _ in range(3)]
    for node in nodes:
        node.hear(*nodes)
        node.crash("f", "s")
    assert nodes[2].blamed("f", "s") == "s"
    assert nodes[0].hear(nodes[2]) == ["s"]
    assert nodes[0].blamed("f1", "s") == "s"
    assert nodes[0].blamed("f", "t") is None


# A first part that sound requests bear must never be blamed (LOST).
@pytest.mark.parametrize("pause_s", [0.1, 0.25, 4.0])
def test_a_first_part_with_rare_sound_requests_is_not_blamed(pause_s):
    node = Node()
    for number in range(15):
        node.answer("f", f"s{number}")
        node.clock.advance(4.0)
    for number in range(8):
        node.crash("f", "s" if number < 3 else f"s{100 + number % 3}", pause_s=pause_s)
        assert "f" not in named(node.blame.blamed)


# The first part of a bad one was blamed where its answers were known only elsewhere.
def test_answers_that_other_nodes_got_before_protect_a_part():
    clock = FakeClock()
    node, other = Node(clock), Node(clock)
    other.answer("f", "t")
    node.crash("f", "s")
    other.hear(node)
    node.hear(other)
    for number in range(1, 4):
        node.crash("f", f"s{number}")
    assert node.blame.blamed == []


def test_answers_soon_before_news_of_a_crash_count():
    clock = FakeClock()
    node, other = Node(clock), Node(clock)
    node.crash("f", "s")
    clock.advance(0.1)
    other.answer("f", "s")
    other.hear(node)
    assert other.blame.tell()[0].answers


def test_sound_requests_that_meet_two_crashes_of_the_cause_are_not_blamed():
    node = Node()
    for number in range(3):
        node.crash("f", "s", replica=f"i-{number}")
        if number < 2:
            node.crash("f1", "t", replica=f"i-{number}", pause_s=0.0)
    assert named(node.blame.blamed) == ["s"]
    assert node.blamed("f1", "t") is None


# A sound part that had met two bad ones explained a crash of the one not yet blamed.
def test_a_blamed_part_explains_crashes_before_a_suspected_one():
    assert meet_two_bad_parts(Node()) == ["f1", "f2"]


# A request went on to end replicas, since late crashes of requests that were blamed
# before it counted as crashes for other reasons.
def test_single_crashes_of_blamed_requests_do_not_protect_another_one():
    assert blames_a_request_beside_blamed_ones(Node())


@pytest.mark.parametrize(
    ("history", "allowed"),
    [
        ([], True),
        ([("f", "s")], False),
        ([("+", "f", "s"), ("f", "s")], True),
        ([("+", "f", "t"), ("f", "s")], False),
        ([("+", "f", "s"), ("f", "s"), ("f", "s")], False),
        ([("f", "s"), ("+", "f", "s")], True),
        ([("+", "f", "s"), *[("f", "t")] * 3, ("f", "s")], True),
        ([("f", "s")] * 3, False),
    ],
)
def test_a_request_is_not_retried_while_it_is_suspected(history, allowed):
    node = Node()
    for names in history:
        if names[:1] == ("+",):
            node.answer(*names[1:])
        else:
            node.crash(*names)
    assert node.blame.may_retry(prompt("f", "s")) is allowed


def test_blame_ends_after_quiet():
    node = Node()
    blame_part(node, "f", "s")
    node.clock.advance(crash_news.BLAME_QUIET_S + 1)
    assert node.blame.blamed == []
    assert not node.blame.active


def test_refusals_keep_blame():
    clock = FakeClock()
    node, other = Node(clock), Node(clock)
    blame_part(node, "f", "s")
    for _ in range(4):
        clock.advance(50.0)
        assert node.blamed("f", "s") == "s"
    other.hear(node)
    clock.advance(50.0)
    assert named(other.blame.blamed) == ["s"]


def test_answers_end_false_blame():
    node = Node()
    blame_part(node, "f", "s")
    node.answer("f", "s")
    assert node.blame.blamed == []


def end_blame_by_time(node):
    for _ in range(31):
        node.clock.advance(10.0)
        node.blamed("f", "s")
    assert node.blame.blamed == []


def test_blame_ends_in_time_and_answers_clear_the_part():
    node = Node()
    blame_part(node, "f", "s")
    end_blame_by_time(node)
    node.answer("f", "s", count=2)
    node.crash("f", "s")
    assert node.blame.blamed == []


def test_the_next_crash_renews_blame_that_has_ended_by_time():
    node = Node()
    blame_part(node, "f", "s")
    end_blame_by_time(node)
    assert node.crash("f", "s") == ["s"]


def test_crashes_far_apart_blame_no_part():
    node = Node()
    for _ in range(5):
        node.crash("f", "s", pause_s=crash_news.SUSPECT_S + 1)
    assert node.blame.blamed == []


def test_suspicion_ends():
    node = Node()
    node.crash("f", "s")
    assert node.blame.active
    node.clock.advance(crash_news.SUSPECT_S + 1)
    assert not node.blame.active


def test_what_is_kept_and_told_is_bounded():
    node = Node()
    blame_part(node, "f", "s")
    for number in range(150):
        for _ in range(2):
            node.crash(f"s{number}", pause_s=0.05)
            node.answer(f"s{number}", count=3)
    told = node.blame.tell()
    assert len(node.blame._records) == crash_blame.MAX_CAUSES
    assert len(told) == crash_blame.MAX_TOLD_CAUSES
    assert part_digest("s") in {item.cause for item in told}
    for _ in range(20):
        node.crash("t")
    news = next(i for i in node.blame.tell() if i.cause == part_digest("t"))
    assert len(news.crashes) == crash_news.MAX_CRASHES


ALIKE = (b"POST", "h", b"/p?q=1", "kerlann", b"{}")


# The digest must not depend on what differs between requests that are alike.
def test_whole_requests_are_alike_in_five_things():
    causes = {whole_request_cause(*ALIKE)}
    for position, other in enumerate((b"PUT", "i", b"/p?q=2", "other", b"{ }")):
        changed = [*ALIKE[:position], other, *ALIKE[position + 1 :]]
        causes.add(whole_request_cause(*changed))
    assert whole_request_cause(*ALIKE) in causes
    assert len(causes) == 6
    assert all(cause.is_whole_request for cause in causes)


def test_the_limits_of_neighbouring_values_count():
    split = whole_request_cause(b"POST", "h", b"/p", "ab", b"c")
    assert split != whole_request_cause(b"POST", "h", b"/p", "a", b"bc")


def test_remembered_answers_are_bounded():
    node = Node()
    for number in range(crash_blame.MAX_ANSWERED_CAUSES + 10):
        node.answer(f"p{number}")
    assert len(node.blame._answered) == crash_blame.MAX_ANSWERED_CAUSES


SOUND = CauseNews("0" * 16, 1, (CrashNews("0" * 8, 1, 0.1),), (), 0, 0.1)


def test_sound_news_is_accepted():
    node = Node()
    node.blame.learn([SOUND], node.clock.monotonic())
    assert node.blame.active
    assert node.blame.unsound_count == 0


@pytest.mark.parametrize(
    "changes",
    [
        {"cause": "0" * 15},
        {"cause": "0" * 15 + "\n"},
        {"cause": "g" * 16},
        {"position": -1},
        {"position": 10**9},
        {"crashes": ()},
        {"crashes": (CrashNews("0" * 8, 1, -0.1),)},
        {"crashes": (CrashNews("0" * 8, 1, math.nan),)},
        {"crashes": (CrashNews("0" * 8, 1, math.inf),)},
        {"crashes": (CrashNews("0" * 8, 0, 0.1),)},
        {"crashes": (CrashNews("0" * 8, 10**9, 0.1),)},
        {"crashes": (CrashNews("0" * 9, 1, 0.1),)},
        {"crashes": tuple(CrashNews(f"{n:08x}", 1, 0.1) for n in range(9))},
        {"answers": (AnswerNews("0", 0.1),)},
        {"answers": (AnswerNews("0" * 8, -1.0),)},
        {"answers": tuple(AnswerNews(f"{n:08x}", 0.1) for n in range(9))},
        {"answered_before": -1},
        {"answered_before": 10**9},
        {"seen_age_s": -1.0},
        {"seen_age_s": math.nan},
    ],
)
def test_unsound_news_is_refused_and_counted(changes):
    node = Node()
    node.blame.learn([SOUND._replace(**changes)], node.clock.monotonic())
    assert not node.blame.active
    assert node.blame.unsound_count == 1


@pytest.mark.parametrize(
    ("age_s", "seen_age_s"),
    [(crash_news.SUSPECT_S + 1, crash_news.BLAME_QUIET_S + 1), (1e9, 0.0)],
)
def test_old_news_is_ignored(age_s, seen_age_s):
    node = Node()
    crashes = tuple(CrashNews(f"{n:08x}", n + 1, age_s) for n in range(3))
    news = SOUND._replace(crashes=crashes, seen_age_s=seen_age_s)
    node.blame.learn([news], node.clock.monotonic())
    assert not node.blame.active


def test_generation_rises_with_what_others_should_hear_of():
    clock = FakeClock()
    node, other = Node(clock), Node(clock)
    node.crash("f", "s")
    other.hear(node)
    known = other.blame.generation
    assert node.blame.generation == known == 1
    other.hear(node)
    assert other.blame.generation == known


# What happened, by replica and request: the part that it belongs to, and when.
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["crash", "answer"]),
        st.integers(0, 2),  # node that sees it
        st.sampled_from([("f", "s"), ("f", "t"), ("u", "s")]),
    ),
    min_size=1,
    max_size=24,
)


def played(events):
    """Return three nodes that have seen some events."""
    clock = FakeClock()
    nodes = [Node(clock) for _ in range(3)]
    for kind, index, names in events:
        clock.advance(0.2)
        if kind == "crash":
            nodes[index].crash(*names)
        else:
            nodes[index].answer(*names)
    return nodes


def state(node):
    """Return all that a node knows, without its own memory of answers."""
    return {
        digest: (
            part.position,
            part.answered_before,
            {(c.replica, c.rank) for c in part.crashes.values()},
            set(part.answers),
        )
        for digest, part in node.blame._records.items()
    }, node.blame.blamed


@settings(derandomize=True, deadline=None)
@given(EVENTS)
def test_merging_news_is_commutative(events):
    nodes = played(events)
    forwards, backwards = Node(nodes[0].clock), Node(nodes[0].clock)
    forwards.hear(*nodes)
    backwards.hear(*reversed(nodes))
    assert state(forwards) == state(backwards)


@settings(derandomize=True, deadline=None)
@given(EVENTS)
def test_merging_news_again_changes_nothing(events):
    nodes = played(events)
    node = Node(nodes[0].clock)
    node.hear(*nodes)
    known, generation = state(node), node.blame.generation
    for _ in range(3):
        node.hear(*nodes, delay_s=0.02)
    assert (state(node), node.blame.generation) == (known, generation)
