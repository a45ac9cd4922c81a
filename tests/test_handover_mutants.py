"""Mutants of the handover, each of which a test of handovers must catch."""

import pytest

from lentilshore_node.delivery import handover
from lentilshore_node.delivery.answer_heads import AnswerHeads
from lentilshore_node.delivery.delivery import Delivery
from lentilshore_node.delivery.handover import Handover
from lentilshore_routing.placement import Placement
from tests import test_handover_costs as costs
from tests import test_handover_races as races
from tests import test_silent_replicas as silent


async def _return_false(*_):
    return False


async def _return_none(*_):
    return None


def _do_nothing(*_):
    return None


def _never_last(_):
    return False


def _rejection_is_taken_up():
    silent.test_silence_of_a_replica_ends_no_answer_while_others_reject(
        silent.late_answer,
        silent.IDEMPOTENT,
        b"whole",
        silent.with_other_replicas,
    )


def _order():
    def stuttering(fields):
        steps = [s for n in range(1, 4) for s in (races.chunk(races.event(n)), 0.65)]
        return [races.stream_head(fields), *steps, b"0\r\n\r\n"]

    slow = races.after(0.3, races.stream([2, 3], "whole"))
    harness = races.GatewayHarness([stuttering, slow], races.RESUMABLE)
    caller = harness.run(races.Caller([(b"x-deadline-ms", b"5000")]))
    whole = b"".join(races.event(n) for n in range(1, 4))
    assert whole.startswith(caller.body)


MUTANTS = {
    "a handover is never settled": (
        Handover,
        "settle",
        _return_false,
        lambda: races.test_a_break_of_the_current_stream_ends_no_handover(None),
    ),
    "heads are not checked": (
        Handover,
        "_wait_for_rejection",
        _return_none,
        _rejection_is_taken_up,
    ),
    "failures take a request up": (
        AnswerHeads,
        "check_taken_up",
        AnswerHeads.read,
        lambda: races.test_an_answer_that_cannot_be_relayed_takes_no_request_up(
            races.failure,
            races.after(0.6, races.signed(b"whole")),
            races.TWO_ATTEMPTS,
            b"whole",
        ),
    ),
    "what is under way is never abandoned": (
        Handover,
        "abandon",
        _do_nothing,
        _order,
    ),
    "an attempt that was begun is not ended": (
        Handover,
        "_end",
        _do_nothing,
        lambda: races.test_a_caller_that_leaves_during_a_handover_leaves_nothing_behind(
            0.4, races.IDEMPOTENT, 0.0
        ),
    ),
    "attempts that were not followed do not count": (
        Delivery,
        "_record_unfollowed",
        _do_nothing,
        lambda: races.test_no_more_attempts_begin_than_the_route_allows(2),
    ),
    "the last attempt is handed over": (
        Delivery,
        "_is_last_attempt",
        property(_never_last),
        lambda: races.test_no_more_attempts_begin_than_the_route_allows(1),
    ),
    "a denied try uses up a limit": (
        handover.AttemptLoop,
        "retry_denial",
        _do_nothing,
        costs.test_a_denied_try_uses_up_no_limit_of_a_replica,
    ),
    "each try ejects": (
        Placement,
        "eject_unreachable",
        lambda *_: True,
        lambda: costs.test_a_silent_replica_is_reported_as_ejected_once("rejections"),
    ),
    "a stream takes any status": (
        AnswerHeads,
        "check_may_begin",
        _do_nothing,
        lambda: races.test_an_answer_with_another_status_does_not_resume_a_stream(
            "404 None"
        ),
    ),
    "two replicas work on": (
        handover,
        "TAKE_UP_S",
        0.9,
        races.test_a_replica_that_takes_a_request_up_soon_relieves_the_first,
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_each_mutant_of_the_handover_is_caught(name, monkeypatch):
    owner, attribute, replacement, check = MUTANTS[name]
    check()
    monkeypatch.setattr(owner, attribute, replacement)
    with pytest.raises((AssertionError, ValueError, BaseExceptionGroup)):
        check()
