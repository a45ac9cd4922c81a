"""Mutation tests of blame: each fault must break one of its guarantees."""

import itertools
from contextlib import ExitStack, contextmanager
from unittest.mock import PropertyMock, patch

import pytest

from lentilshore_kernel.testing import FakeClock
from lentilshore_routing import crash_blame, crash_causes, crash_news
from lentilshore_routing.crash_blame import CrashBlame
from lentilshore_routing.crash_causes import CauseRecord, part_causes
from lentilshore_routing.crash_news import part_digest
from tests.crash_fleet import ALLOWED_SENDS, Traffic, World, whole_cause
from tests.test_crash_blame import (
    SOUND,
    Node,
    blame_part,
    blames_a_request_beside_blamed_ones,
    end_blame_by_time,
    meet_two_bad_parts,
    named,
    prompt,
)


def blames_the_cause():
    """Three crashes in a row blame the part that no sound request bears."""
    node = Node()
    blame_part(node, "f", "s")
    return named(node.blame.blamed) == ["s"]


def blames_a_first_part():
    """A first part is blamed if it alone explains all crashes."""
    node = Node()
    for second in ("s", "t", "s"):
        node.crash("f", second)
    return named(node.blame.blamed) == ["f"]


def blames_a_part_whose_crashes_overlap():
    """Five crashes blame a part, though only two of them followed one another."""
    node = Node()
    for _ in range(4):
        node.crash("f", "s", sent_ago_s=0.5, pause_s=0.01)
    return node.crash("f", "s", sent_ago_s=0.015, pause_s=0.02) == ["s"]


def blames_a_part_whose_crashes_all_overlap():
    """Five crashes that end apart blame a part, though none followed another."""
    node = Node()
    for number in range(5):
        node.crash("f", "s", sent_ago_s=0.2 + 0.02 * number, pause_s=0.05)
    return named(node.blame.blamed) == ["s"]


def spares_a_shared_part():
    """A first part that was answered is not blamed with the second ones."""
    node = Node()
    node.answer("f", "t")
    for number in range(12):
        node.crash("f", f"s{number % 4}")
    return "f" not in named(node.blame.blamed)


def spares_a_part_that_was_answered():
    """Crashes that blame a new part don't blame one that was answered before."""
    node = Node()
    node.answer("f", "s1")
    for second in ("s", "t", "u"):
        node.crash("f", second)
    return not node.blame.blamed


def blames_the_part_that_was_answered_less():
    """A part that was never answered is blamed, though it isn't the last one."""
    node = Node()
    node.answer("f1", "s")
    blame_part(node, "f", "s")
    return named(node.blame.blamed) == ["f"]


def spares_a_part_that_is_answered():
    """A part that is answered between the crashes is not blamed."""
    node = Node()
    for _ in range(4):
        node.crash("s")
        node.answer("s")
    return not node.blame.blamed


def spares_parts_of_replicas_lost_at_one_time():
    """Replicas lost at one time blame no part."""
    node = Node()
    for _ in range(5):
        node.crash("f", "s", pause_s=0.0)
    return not node.blame.blamed


def spares_a_part_whose_crashes_are_far_apart():
    """Crashes minutes apart blame no part."""
    node = Node()
    for _ in range(5):
        node.crash("s", pause_s=200.0)
    return not node.blame.blamed


def spares_the_last_part():
    """The last part of a prompt, which is the request's own, is not blamed."""
    node = Node()
    for _ in range(3):
        node.crash()
    return not node.blame.active


def counts_a_replica_once():
    """A replica that several nodes tell of counts once."""
    clock = FakeClock()
    nodes = [Node(clock) for _ in range(3)]
    for node in nodes:
        node.hear(*nodes)
        node.crash("s", replica="i-1", pause_s=0.2)
    return not nodes[2].blame.blamed


def hears_of_answers_elsewhere():
    """What another node has answered before protects a part here."""
    clock = FakeClock()
    node, other = Node(clock), Node(clock)
    other.answer("f", "t")
    node.crash("f", "s")
    other.hear(node)
    node.hear(other)
    for number in range(1, 4):
        node.crash("f", f"s{number}")
    return not node.blame.blamed


def tells_of_answers_to_explained_parts():
    """A node tells of an answered part though another one explains its crashes."""
    node = Node()
    node.answer("f1", "s")
    blame_part(node, "f", "s")
    return part_digest("s") in {item.cause for item in node.blame.tell()}


def lets_blamed_causes_explain_first():
    """A sound part that has met two bad ones doesn't hide the second one."""
    return meet_two_bad_parts(Node()) == ["f1", "f2"]


def blames_beside_blamed_requests():
    """Single crashes of blamed requests don't protect another one."""
    return blames_a_request_beside_blamed_ones(Node())


def does_not_retry_a_suspect():
    """A request that has crashed a replica is not sent to another one."""
    node = Node()
    node.crash("f", "s")
    return not node.blame.may_retry(prompt("f", "s"))


def retries_after_one_crash_of_an_answered_part():
    """A request is sent again whose parts were all answered before."""
    node = Node()
    node.answer("f", "s")
    node.crash("f", "s")
    return node.blame.may_retry(prompt("f", "s"))


def crash_whole(node, count, apart_s=0.1):
    """End replicas under a whole request, none of whose crashes followed another."""
    sent_at = node.clock.monotonic() - 0.1
    for number in range(count):
        node.clock.advance(apart_s)
        node.blame.record_crash([WHOLE], f"i-{number}", sent_at)


def blames_a_whole_request():
    """Three crashes that end apart blame a whole request."""
    node = Node()
    crash_whole(node, 3)
    return node.blame.blamed == [WHOLE.digest]


def spares_a_whole_request_at_replicas_lost_at_one_time():
    """Replicas lost at one time blame no whole request."""
    node = Node()
    crash_whole(node, 3, apart_s=0.0)
    return not node.blame.blamed


def spares_a_whole_request_that_is_answered():
    """A whole request that is answered after a crash is not blamed."""
    node = Node()
    crash_whole(node, 2)
    node.blame.record_answer([WHOLE], "r-1")
    crash_whole(node, 4)
    return not node.blame.blamed


def retries_a_whole_request_once():
    """A whole request is sent to one more replica after a crash, and to no third."""
    node = Node()
    crash_whole(node, 1)
    once = node.blame.may_retry([WHOLE])
    crash_whole(node, 2)
    return once and not node.blame.may_retry([WHOLE])


def tells_of_requests_taken_along_later():
    """Others are told of a whole request with one crash if no answer comes soon."""
    node = Node()
    crash_whole(node, 1)
    at_once = node.blame.tell()
    node.clock.advance(1.0)
    return not at_once and len(node.blame.tell()) == 1


def keeps_few_requests_taken_along():
    """Requests that replicas take along leave room for suspected parts."""
    node = Node()
    node.crash("f", "s")
    for number in range(600):
        node.blame.record_crash([whole_cause(str(number))], "i-1", 0.0)
    node.clock.advance(1.0)
    node.blame.tell()
    return (
        node.blame.may_retry(prompt("f", "s")) is False
        and len(node.blame._records) < 400
    )


def forgets_blame():
    """Blame ends when no request with the part comes any more."""
    node = Node()
    blame_part(node, "s")
    node.clock.advance(700.0)
    return not node.blame.active


def keeps_blame_while_requests_come():
    """Blame lasts while requests with the part are refused."""
    node = Node()
    blame_part(node, "f", "s")
    for _ in range(4):
        node.clock.advance(50.0)
        node.blamed("f", "s")
    return named(node.blame.blamed) == ["s"]


def ends_false_blame():
    """Requests with a blamed part pass again after some minutes."""
    node = Node()
    blame_part(node, "f", "s")
    try:
        end_blame_by_time(node)
    except AssertionError:
        return False
    return True


def renews_true_blame():
    """One crash is enough to blame a part again."""
    node = Node()
    blame_part(node, "f", "s")
    end_blame_by_time(node)
    return node.crash("f", "s") == ["s"]


def refuses_unsound_news():
    """News that can't be true is refused."""
    node = Node()
    node.blame.learn([SOUND._replace(cause="x")], node.clock.monotonic())
    return node.blame.unsound_count == 1


def is_bounded():
    """Many suspected parts don't make a node grow."""
    node = Node()
    for number in range(200):
        node.crash(f"s{number}", pause_s=0.01)
    return len(node.blame._records) <= 128 and len(node.blame.tell()) <= 32


def stops_a_fleet(count=7, per_s=1.0):
    """A fleet sends hardly any request with the part after the fifth crash."""
    world = World(count, Traffic(bad_per_s=per_s)).warm_up().start_bad().run(20.0)
    return world.late_sends("bad-0") <= ALLOWED_SENDS and not world.refused_sound


def tells_a_fleet_at_once():
    """All gateways of a fleet know of blame within a second."""
    world = World(79, Traffic()).warm_up().start_bad()
    for _ in range(400):
        world.run(0.05)
        if world.blamed():
            break
    world.run(1.0)
    return all(gateway.blame.blamed for gateway in world.gateways.values())


def any_crash_follows(self, sent_at):
    return 1 + len(self.crashes)


def new_digest(name):
    return f"{next(DIGESTS):08x}"


def includes_the_last(parts):
    return PART_CAUSES([*parts, None])


def earlier_part_first(self):
    answered, crashes, whole, position, digest = PREFERENCE(self)
    return answered, crashes, whole, -position, digest


def fewer_crashes_first(self):
    answered, crashes, whole, position, digest = PREFERENCE(self)
    return answered, whole, position, -crashes, digest


def ignores_what_was_answered(self):
    return PREFERENCE(self)[1:]


def no_refresh(self, causes):
    found = [cause for cause in causes if cause.digest in self._blamed]
    return found[0] if found else None


def keep_without_answers(self, record, now):
    self._records[record.digest] = record


def scores_once(self, condemned):
    return SCORE_CAUSES(self, set())


def blamed_causes_explain_as_others_do(self, condemned):
    CHECK_OTHER_CAUSES(self, set())


SCORE_CAUSES = CrashBlame._score_causes
CHECK_OTHER_CAUSES = CrashBlame._check_other_causes
PREFERENCE = CauseRecord.preference
PART_CAUSES = part_causes
DIGESTS = itertools.count()
WHOLE = whole_cause("bad")


@contextmanager
def constants(**values):
    """Replace constants in each module that uses them."""
    with ExitStack() as stack:
        for module in crash_blame, crash_causes, crash_news:
            for name in values.keys() & vars(module).keys():
                stack.enter_context(patch.object(module, name, values[name]))
        yield


def part_property(name, value):
    return patch.object(CauseRecord, name, PropertyMock(return_value=value))


MUTANTS = {
    "one more crash is needed": (blames_the_cause, constants(BLAME_CRASHES=4)),
    "the first part is preferred": (
        blames_the_cause,
        patch.object(CauseRecord, "preference", earlier_part_first),
    ),
    "the part with fewer crashes is preferred": (
        blames_a_first_part,
        patch.object(CauseRecord, "preference", fewer_crashes_first),
    ),
    "one crash makes a part suspect": (
        retries_after_one_crash_of_an_answered_part,
        constants(SUSPECT_CRASHES=1),
    ),
    "overlapping crashes never count": (
        blames_a_part_whose_crashes_overlap,
        constants(OVERLAPPING_BLAME_CRASHES=99),
    ),
    "crashes that end apart never count": (
        blames_a_part_whose_crashes_all_overlap,
        constants(APART_S=99.0),
    ),
    "crashes at one time are apart": (
        spares_parts_of_replicas_lost_at_one_time,
        constants(APART_S=0.0),
    ),
    "nothing is explained away": (
        spares_a_shared_part,
        part_property("explains_crashes", False),
    ),
    "answers before the crashes are ignored": (
        spares_a_part_that_was_answered,
        part_property("answered", False),
    ),
    "the order ignores what was answered": (
        blames_the_part_that_was_answered_less,
        patch.object(CauseRecord, "preference", ignores_what_was_answered),
    ),
    "answers are ignored": (
        spares_a_part_that_is_answered,
        patch.object(CrashBlame, "record_answer", lambda *_: None),
    ),
    "an answer outweighs no crash": (
        spares_a_part_that_is_answered,
        constants(CRASHES_PER_ANSWER=0, ANSWERED_BLAME_CRASHES=3),
    ),
    "crashes at one time are counted": (
        spares_parts_of_replicas_lost_at_one_time,
        patch.object(CauseRecord, "next_rank", any_crash_follows),
    ),
    "crashes are never too far apart": (
        spares_a_part_whose_crashes_are_far_apart,
        constants(SUSPECT_S=1e6),
    ),
    "the last part is a candidate": (
        spares_the_last_part,
        patch("tests.test_crash_blame.part_causes", includes_the_last),
    ),
    "each report is a crash": (
        counts_a_replica_once,
        patch.object(crash_blame, "short_digest", new_digest),
    ),
    "what was answered is not told": (
        hears_of_answers_elsewhere,
        patch.object(CrashBlame, "_keep", keep_without_answers),
    ),
    "parts that others explain are not told": (
        tells_of_answers_to_explained_parts,
        patch.object(CauseRecord, "is_told", lambda self, _: self.score.chained > 0),
    ),
    "suspected parts explain before blamed ones": (
        lets_blamed_causes_explain_first,
        patch.object(CrashBlame, "_score_causes", scores_once),
    ),
    "blamed requests explain no single crash": (
        blames_beside_blamed_requests,
        patch.object(
            CrashBlame, "_check_other_causes", blamed_causes_explain_as_others_do
        ),
    ),
    "whole requests need one more crash": (
        blames_a_whole_request,
        constants(BLAME_CRASHES=4),
    ),
    "only news puts crashes in a row": (
        blames_a_whole_request,
        constants(APART_S=99.0),
    ),
    "crashes of whole requests at one time count": (
        spares_a_whole_request_at_replicas_lost_at_one_time,
        constants(APART_S=0.0),
    ),
    "answers to whole requests are ignored": (
        spares_a_whole_request_that_is_answered,
        patch.object(CrashBlame, "record_answer", lambda *_: None),
    ),
    "a whole request is never retried": (
        retries_a_whole_request_once,
        patch.object(crash_blame, "_may_be_chance", lambda *_: False),
    ),
    "a whole request is always retried": (
        retries_a_whole_request_once,
        patch.object(crash_blame, "_may_be_chance", lambda *_: True),
    ),
    "requests taken along are told at once": (
        tells_of_requests_taken_along_later,
        constants(TAKEN_ALONG_DELAY_S=0.0),
    ),
    "requests taken along are never told": (
        tells_of_requests_taken_along_later,
        constants(TAKEN_ALONG_DELAY_S=1e9),
    ),
    "requests taken along are not bounded": (
        keeps_few_requests_taken_along,
        constants(MAX_TAKEN_ALONG=10_000),
    ),
    "suspects are retried": (
        does_not_retry_a_suspect,
        patch.object(CrashBlame, "may_retry", lambda *_: True),
    ),
    "no request is retried": (
        retries_after_one_crash_of_an_answered_part,
        part_property("answered", False),
    ),
    "blame never expires": (
        forgets_blame,
        constants(BLAME_QUIET_S=1e9, BLAME_MAX_S=1e9),
    ),
    "blame is not reviewed": (forgets_blame, constants(REVIEW_INTERVAL_S=1e9)),
    "refusals do not refresh": (
        keeps_blame_while_requests_come,
        patch.object(CrashBlame, "blamed_cause", no_refresh),
    ),
    "blame lasts as long as requests come": (
        ends_false_blame,
        constants(BLAME_MAX_S=1e9),
    ),
    "old crashes are forgotten": (renews_true_blame, constants(MAX_CRASH_AGE_S=60.0)),
    "all news is believed": (
        refuses_unsound_news,
        patch.object(crash_blame, "is_sound", lambda _: True),
    ),
    "parts are not bounded": (is_bounded, constants(MAX_CAUSES=10_000)),
    "news is not bounded": (is_bounded, constants(MAX_TOLD_CAUSES=10_000)),
    "news is not merged": (
        stops_a_fleet,
        patch.object(CrashBlame, "learn", lambda *_: []),
    ),
    "nothing is told": (stops_a_fleet, patch.object(CrashBlame, "tell", lambda _: [])),
    "blamed parts are not refused": (
        stops_a_fleet,
        patch.object(CrashBlame, "blamed_cause", lambda *_: None),
    ),
    "changes are not pushed": (
        tells_a_fleet_at_once,
        patch.object(World, "push_if_new", lambda *_: None),
    ),
}
GUARANTEES = list(dict.fromkeys(guarantee for guarantee, _ in MUTANTS.values()))


@pytest.mark.parametrize("guarantee", GUARANTEES, ids=lambda g: g.__name__)
def test_the_guarantee_holds_without_a_fault(guarantee):
    assert guarantee()


@pytest.mark.parametrize("name", MUTANTS)
def test_a_fault_breaks_its_guarantee(name):
    guarantee, fault = MUTANTS[name]
    with fault:
        assert not guarantee()
