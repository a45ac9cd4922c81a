"""Pauses between rejections, the queue of those that wait, and mutants of both."""

import random

import anyio
import pytest

from lentilshore_kernel.metrics import MetricsRecorder
from lentilshore_kernel.testing import FakeClock
from lentilshore_kernel.types import Address
from lentilshore_node.delivery import attempts, retry_pacing
from lentilshore_node.delivery.attempts import AttemptLoop
from lentilshore_node.delivery.retry_pacing import (
    FIRST_PAUSE_S,
    PAUSE_LIMIT_S,
    PAUSE_MIN_SHARE,
    PAUSE_TIME_LEFT_SHARE,
    RetryPacing,
)
from lentilshore_node.state.room_queue import RoomQueue
from lentilshore_routing.replicas import Replica
from lentilshore_routing.retries import SlidingWindowBudget
from tests import test_retries_after_rejections as cases
from tests.retry_storm import Storm

REPLICA = Replica("a", "forward", Address("127.0.0.1", 1), "z", ("g",))


def pauses(seed, remaining_s, count=12):
    """Return the lengths of the pauses of one request."""

    async def main(clock):
        pacing = RetryPacing("r", room, random.Random(seed), MetricsRecorder())
        lengths = []
        for _ in range(count):
            began_at = clock.monotonic()
            assert await pacing.pause("g", remaining_s) == ""
            lengths.append(clock.monotonic() - began_at)
        return lengths

    clock = FakeClock()
    room = RoomQueue(clock)
    return anyio.run(clock.run, main, clock)


@pytest.mark.parametrize("remaining_s", [0.05, 0.5, 5.0])
@pytest.mark.parametrize("seed", range(20))
def test_pauses_grow_up_to_a_limit_and_leave_time_for_a_try(seed, remaining_s):
    longest_s = remaining_s * PAUSE_TIME_LEFT_SHARE
    for number, length_s in enumerate(pauses(seed, remaining_s)):
        whole_s = min(FIRST_PAUSE_S * 2**number, PAUSE_LIMIT_S)
        assert length_s <= min(whole_s, longest_s) + 1e-9
        assert length_s >= min(whole_s * PAUSE_MIN_SHARE, longest_s) - 1e-9


# Requests that wait at one time must not all be sent again at the same moments.
def test_pauses_of_different_requests_differ():
    assert len({tuple(pauses(seed, 5.0)) for seed in range(20)}) == 20


def test_room_wakes_the_request_that_has_waited_longest_and_no_other():
    clock = FakeClock()
    room = RoomQueue(clock)
    woken = []

    async def wait(name, group):
        woken.append((name, await room.wait(group, 1.0), clock.monotonic() - 1_000.0))

    async def main():
        async with anyio.create_task_group() as group:
            for name, waits_for in (("other", "h"), ("first", "g"), ("second", "g")):
                group.start_soon(wait, name, waits_for)
                await clock.sleep(0.1)
            room.announce(REPLICA)

    anyio.run(clock.run, main)
    assert [item[:2] for item in woken] == [
        ("first", "a"),
        ("other", ""),
        ("second", ""),
    ]
    assert woken[0][2] == pytest.approx(0.3)
    assert room._waiters == {}


def _busy():
    cases.test_rejections_in_a_row_end_no_request_that_has_time_left(
        ["reset"], cases.signed(b"whole"), cases.ANSWER, b"whole", cases.rejection
    )


def _woken():
    with pytest.MonkeyPatch.context() as patch:
        cases.test_an_answer_to_another_request_ends_the_pause(patch)


def _storm():
    result = Storm(6, "silent_then_full", seed=3, retry_ratio=0.9).run()
    assert result.worst_share <= 1.0


def _return_false(*_):
    return False


def _return_true(*_):
    return True


def _do_nothing(*_):
    return None


MUTANTS = {
    "rejections count as runs": (AttemptLoop, "_return_rejections", _do_nothing, _busy),
    "nothing pauses": (AttemptLoop, "_rejected_by_all", _return_false, _busy),
    "nothing waits": (
        AttemptLoop,
        "_may_wait",
        _return_false,
        cases.test_a_rejection_without_a_retry_ends_no_request_that_has_time_left,
    ),
    "no replica is no reason to wait": (
        attempts,
        "NO_REPLICA_REASONS",
        frozenset(),
        lambda: cases.test_a_moment_without_replicas_ends_no_request_that_has_time_left(
            "paused"
        ),
    ),
    "what reached no replica is paid": (
        attempts,
        "reached_no_replica",
        _return_false,
        cases.test_refused_connections_use_up_no_retries_of_other_requests,
    ),
    "nothing is paid": (attempts, "reached_no_replica", _return_true, _storm),
    "the budget has no bound": (SlidingWindowBudget, "can_spend", _return_true, _storm),
    "an answer wakes nobody": (
        RoomQueue,
        "announce",
        _do_nothing,
        _woken,
    ),
    "pauses don't grow": (
        retry_pacing,
        "PAUSE_GROWTH_FACTOR",
        1.0,
        lambda: test_pauses_grow_up_to_a_limit_and_leave_time_for_a_try(1, 5.0),
    ),
    "pauses have no jitter": (
        retry_pacing,
        "PAUSE_MIN_SHARE",
        1.0,
        test_pauses_of_different_requests_differ,
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_each_mutant_of_the_pauses_is_caught(name, monkeypatch):
    owner, attribute, replacement, check = MUTANTS[name]
    check()
    monkeypatch.setattr(owner, attribute, replacement)
    with pytest.raises((AssertionError, BaseExceptionGroup)):
        check()
