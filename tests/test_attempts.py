import random

import anyio
import eliot
import pytest

from lentilshore_kernel.exceptions import RefusalError, UpstreamError
from lentilshore_kernel.metrics import MetricsRecorder
from lentilshore_kernel.testing import FakeClock
from lentilshore_kernel.types import (
    Address,
    Execution,
    RefusalReason,
    RetryDenial,
    RetryReason,
)
from lentilshore_node.delivery.attempted_request import RetryScope
from lentilshore_node.delivery.attempts import AttemptLoop, ExecutionProof
from lentilshore_node.programs.gateway_assembly import create_retry_budget
from lentilshore_node.state.room_queue import RoomQueue
from lentilshore_routing.placement import Placement
from lentilshore_routing.replicas import Replica
from lentilshore_routing.retries import RetryPolicy
from tests.test_gateway import BOUNDS

NOT_RUN, UNKNOWN, RAN = Execution.NOT_RUN, Execution.UNKNOWN, Execution.RAN


class FakeContext:
    def __init__(self):
        self.metrics = MetricsRecorder()
        self.retries = RetryPolicy()
        self.random = random.Random(2)
        self.room = RoomQueue(FakeClock())
        self.placement = Placement("n", FakeClock(), random.Random(1))
        self.placement.update(
            Replica(name, "forward", Address("127.0.0.1", 1), "z", ("g",))
            for name in ("a", "b")
        )


class FakeRequest:
    remaining_s = 5.0
    replica_group = "g"

    def __init__(self, context, repeatable=True, attempts=10):
        self.scope = RetryScope("r-1", "r-1", "g", repeatable)
        self.retried = []
        self.may_have_run = False
        self._context = context
        self._left = attempts

    def choose_replica(self, tried):
        return self._context.placement.choose_untried_first("g", 1.0, tried=tried)

    def record_failure(self, lease, error):
        self._left -= 1
        self.may_have_run |= error.execution is not NOT_RUN

    def retry_denial(self):
        return None if self._left > 0 else RetryDenial.ROUTE_ATTEMPTS

    def record_retry(self, reason):
        self.retried.append(reason)

    async def wait_for_budget(self):
        return False

    async def next_has_begun(self):
        return False


def run(context, request, failures):
    """Return the answer after the given failures, and the replicas that were tried."""
    sent = []

    async def send(lease):
        sent.append(lease.replica.name)
        if len(sent) <= len(failures):
            raise UpstreamError(*failures[len(sent) - 1], "made up")
        return "answer"

    async def main():
        return await AttemptLoop(context, request, request.scope).run(send)

    return anyio.run(main), sent


def test_another_replica_is_tried_before_the_same_one_again():
    context = FakeContext()
    failures = [(RefusalReason.UPSTREAM_GARBLED, UNKNOWN)] * 2
    answer, sent = run(context, FakeRequest(context), failures)
    assert answer == "answer"
    assert set(sent[:2]) == {"a", "b"}


@pytest.mark.parametrize(
    ("failure", "reason"),
    [
        ((RefusalReason.UPSTREAM_FAILED, NOT_RUN), RetryReason.CONNECT_FAILED),
        ((RefusalReason.UPSTREAM_FAILED, UNKNOWN), RetryReason.FAILED),
        ((RefusalReason.UPSTREAM_FULL, NOT_RUN), RetryReason.OVERLOADED),
        ((RefusalReason.UPSTREAM_STALLED, UNKNOWN), RetryReason.STALLED),
        ((RefusalReason.NO_UPSTREAM, NOT_RUN), RetryReason.CONNECT_FAILED),
    ],
)
def test_retry_reason_by_failure(failure, reason):
    context = FakeContext()
    request = FakeRequest(context)
    run(context, request, [failure])
    assert request.retried == [reason]


@pytest.mark.parametrize("execution", [UNKNOWN, RAN])
def test_a_request_that_may_have_run_is_not_repeated(execution):
    context = FakeContext()
    request = FakeRequest(context, repeatable=False)
    with pytest.raises(UpstreamError):
        run(context, request, [(RefusalReason.UPSTREAM_FAILED, execution)])
    assert request.retried == []


def test_a_request_that_did_not_run_is_repeated_even_if_it_may_run_only_once():
    context = FakeContext()
    answer, sent = run(
        context,
        FakeRequest(context, repeatable=False),
        [(RefusalReason.UPSTREAM_FAILED, NOT_RUN)],
    )
    assert answer == "answer"
    assert len(sent) == 2


def test_no_retry_is_spent_if_the_request_allows_no_other_attempt():
    context = FakeContext()
    with pytest.raises(UpstreamError):
        run(
            context,
            FakeRequest(context, attempts=1),
            [(RefusalReason.UPSTREAM_FAILED, NOT_RUN)],
        )
    assert context.retries.take("r-1", "g", True, NOT_RUN) is None
    assert context.retries.take("r-1", "g", True, NOT_RUN) is None
    assert context.retries.take("r-1", "g", True, NOT_RUN) is None


def test_an_unreachable_replica_is_ejected_and_counted():
    context = FakeContext()
    _, sent = run(
        context, FakeRequest(context), [(RefusalReason.UPSTREAM_STALLED, UNKNOWN)]
    )
    assert context.metrics.totals["belief.replica_rested"] == 1
    assert {context.placement.choose("g", 1.0).replica.name for _ in range(8)} == {
        sent[1]
    }


def test_a_full_replica_is_not_ejected():
    context = FakeContext()
    run(context, FakeRequest(context), [(RefusalReason.UPSTREAM_FULL, NOT_RUN)])
    assert "belief.replica_rested" not in context.metrics.totals


@pytest.mark.parametrize(
    ("ended", "under_way", "proved"),
    [
        ([], False, NOT_RUN),
        ([], True, UNKNOWN),
        ([NOT_RUN], False, NOT_RUN),
        ([NOT_RUN], True, UNKNOWN),
        ([UNKNOWN, NOT_RUN], False, UNKNOWN),
        ([RAN, UNKNOWN], True, RAN),
    ],
)
def test_proof_of_execution_over_several_attempts(ended, under_way, proved):
    proof = ExecutionProof()
    for execution in ended:
        proof.begin()
        proof.end(execution)
    if under_way:
        proof.begin()
    assert proof.execution is proved


@pytest.mark.parametrize("nodes", [6, 88, 340])
def test_retries_of_all_nodes_stay_within_the_budget_of_the_fleet(nodes):
    """The budget holds after idle time, and in each window of many failures."""
    clock = FakeClock()
    bounds = BOUNDS._replace(extra_retries=2.0 * nodes)
    budgets = [create_retry_budget(bounds, clock) for _ in range(nodes)]
    for budget in budgets:
        for _ in range(400):
            budget.earn()
    clock.advance(30.0)
    for _ in range(3):
        spent = 0
        for budget in budgets:
            for _ in range(40):
                budget.earn()
                spent += budget.try_spend() + budget.try_spend() + budget.try_spend()
        assert spent <= bounds.retry_ratio * 40 * nodes + bounds.extra_retries
        assert spent >= 0.7 * 40 * nodes
        clock.advance(10.0)


# A process before it may have made extra retries in the window of the fleet.
@pytest.mark.parametrize(
    ("age_s", "requests", "retries"),
    [(0.0, 0, 0), (0.0, 2, 1), (9.9, 2, 1), (10.0, 0, 4), (10.0, 2, 6)],
)
def test_a_node_makes_extra_retries_once_it_has_run_for_a_window(
    age_s, requests, retries
):
    clock = FakeClock()
    budget = create_retry_budget(BOUNDS, clock, started_at=clock.monotonic())
    clock.advance(age_s)
    for _ in range(requests):
        budget.earn()
    assert [budget.try_spend() for _ in range(retries + 1)] == (
        [True] * retries + [False]
    )


# REFUSED: a refusal that does not know of the attempts denied one that ran.
@pytest.mark.parametrize(
    ("ended", "in_flight", "claimed", "expected"),
    [
        ([], False, NOT_RUN, NOT_RUN),
        ([NOT_RUN], False, NOT_RUN, NOT_RUN),
        ([NOT_RUN], True, NOT_RUN, UNKNOWN),
        ([UNKNOWN], False, NOT_RUN, UNKNOWN),
        ([RAN, NOT_RUN], False, UNKNOWN, RAN),
        ([], False, UNKNOWN, UNKNOWN),
        ([NOT_RUN], False, RAN, RAN),
    ],
)
def test_refusal_denies_no_more_than_the_attempts_prove(
    ended, in_flight, claimed, expected
):
    proof = ExecutionProof()
    for execution in ended:
        proof.begin()
        proof.end(execution)
    if in_flight:
        proof.begin()
    refusal = RefusalError(RefusalReason.KEY_UNPROVED, claimed)
    proof.apply_to(refusal)
    assert refusal.execution is expected


@pytest.mark.parametrize(
    ("repeatable", "attempts", "trees", "failures", "denial"),
    [
        (False, 9, 9, [(RefusalReason.UPSTREAM_STALLED, UNKNOWN)], "unrepeatable"),
        (True, 1, 9, [(RefusalReason.UPSTREAM_STALLED, UNKNOWN)], "route_attempts"),
        (True, 9, 1, [(RefusalReason.UPSTREAM_FULL, NOT_RUN)] * 2, "tree_limit"),
        (True, 20, 20, [(RefusalReason.UPSTREAM_FULL, NOT_RUN)] * 11, "budget"),
    ],
)
def test_what_denies_a_retry_is_counted(repeatable, attempts, trees, failures, denial):
    context = FakeContext()
    context.retries = RetryPolicy(trees)
    request = FakeRequest(context, repeatable, attempts)
    with pytest.raises(UpstreamError):
        run(context, request, failures)
    assert context.metrics.totals[f"retry_denied.{denial}"] == 1


# The line of a denied retry tells what did not run, and what was not tried.
def test_a_denied_retry_is_logged_with_what_was_tried():
    context, lines = FakeContext(), []
    failures = [(RefusalReason.UPSTREAM_STALLED, UNKNOWN)]
    failures.append((RefusalReason.UPSTREAM_FULL, NOT_RUN))
    eliot.add_destinations(lines.append)
    lines.clear()  # what earlier tests have logged
    try:
        with pytest.raises(UpstreamError):
            run(context, FakeRequest(context, attempts=2), failures)
    finally:
        eliot.remove_destination(lines.append)
    line = next(m for m in lines if m["message_type"] == "retry_denied")
    told = {name: line[name] for name in ("attempts", "not_run", "replicas", "untried")}
    assert told == {"attempts": 2, "not_run": 1, "replicas": 2, "untried": 0}
    assert line["remaining_ms"] == "5000"
