import random

import anyio
import pytest

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.metrics import MetricsRecorder
from lentilshore_kernel.testing import FakeClock
from lentilshore_kernel.types import Address, Execution, RefusalReason, RetryReason
from lentilshore_node.attempts import AttemptLoop, ExecutionProof, RetryScope
from lentilshore_node.gateway_assembly import create_budget
from lentilshore_routing.placement import Placement, Replica
from lentilshore_routing.retries import RetryPolicy
from tests.test_gateway import TIMES

NOT_RUN, UNKNOWN, RAN = Execution.NOT_RUN, Execution.UNKNOWN, Execution.RAN


class Parts:
    def __init__(self):
        self.metrics = MetricsRecorder()
        self.retries = RetryPolicy()
        self.placement = Placement("n", FakeClock(), random.Random(1))
        self.placement.update(
            Replica(name, "forward", Address("127.0.0.1", 1), "z", ("g",))
            for name in ("a", "b")
        )


class Work:
    def __init__(self, parts, repeatable=True, attempts=10):
        self.scope = RetryScope("r-1", "r-1", "g", repeatable)
        self.retried = []
        self._parts = parts
        self._left = attempts

    def place(self, tried):
        return self._parts.placement.place("g", 1.0, tried=tried)

    def note_failure(self, lease, error):
        self._left -= 1

    def may_go_on(self):
        return self._left > 0

    def note_retry(self, reason):
        self.retried.append(reason)


def run(parts, work, failures):
    """Let attempts fail one after the other, and return where they were sent."""
    sent = []

    async def send(lease):
        sent.append(lease.replica.name)
        if len(sent) <= len(failures):
            raise UpstreamError(*failures[len(sent) - 1], "made up")
        return "answer"

    async def main():
        return await AttemptLoop(parts, work, work.scope).run(send)

    return anyio.run(main), sent


def test_another_replica_is_tried_before_the_same_one_again():
    parts = Parts()
    failures = [(RefusalReason.UPSTREAM_GARBLED, UNKNOWN)] * 2
    answer, sent = run(parts, Work(parts), failures)
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
def test_reason_of_the_retry(failure, reason):
    parts = Parts()
    work = Work(parts)
    run(parts, work, [failure])
    assert work.retried == [reason]


@pytest.mark.parametrize("execution", [UNKNOWN, RAN])
def test_a_request_that_may_have_run_is_not_repeated(execution):
    parts = Parts()
    work = Work(parts, repeatable=False)
    with pytest.raises(UpstreamError):
        run(parts, work, [(RefusalReason.UPSTREAM_FAILED, execution)])
    assert work.retried == []


def test_a_request_that_did_not_run_is_repeated_though_it_may_run_once():
    parts = Parts()
    answer, sent = run(
        parts,
        Work(parts, repeatable=False),
        [(RefusalReason.UPSTREAM_FAILED, NOT_RUN)],
    )
    assert answer == "answer"
    assert len(sent) == 2


def test_no_retry_is_spent_where_the_request_may_not_go_on():
    parts = Parts()
    with pytest.raises(UpstreamError):
        run(
            parts,
            Work(parts, attempts=1),
            [(RefusalReason.UPSTREAM_FAILED, NOT_RUN)],
        )
    assert parts.retries.allow("r-1", "g", True, NOT_RUN)
    assert parts.retries.allow("r-1", "g", True, NOT_RUN)
    assert parts.retries.allow("r-1", "g", True, NOT_RUN)


def test_an_unreachable_replica_rests_and_that_is_counted():
    parts = Parts()
    _, sent = run(parts, Work(parts), [(RefusalReason.UPSTREAM_STALLED, UNKNOWN)])
    assert parts.metrics.totals["belief.replica_rested"] == 1
    assert {parts.placement.choose("g", 1.0).replica.name for _ in range(8)} == {
        sent[1]
    }


def test_a_full_replica_does_not_rest():
    parts = Parts()
    run(parts, Work(parts), [(RefusalReason.UPSTREAM_FULL, NOT_RUN)])
    assert "belief.replica_rested" not in parts.metrics.totals


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
def test_what_is_proved(ended, under_way, proved):
    proof = ExecutionProof()
    for execution in ended:
        proof.begin()
        proof.end(execution)
    if under_way:
        proof.begin()
    assert proof.execution is proved


@pytest.mark.parametrize("nodes", [6, 88, 340])
def test_nodes_together_keep_to_the_budget_of_the_fleet(nodes):
    """However long they were idle before, and in each window of a storm."""
    clock = FakeClock()
    times = TIMES._replace(retry_extra=2.0 * nodes)
    budgets = [create_budget(times, clock) for _ in range(nodes)]
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
        assert spent <= times.retry_ratio * 40 * nodes + times.retry_extra
        assert spent >= 0.7 * 40 * nodes
        clock.advance(10.0)


def test_a_node_that_has_just_started_may_repeat_a_request():
    budget = create_budget(TIMES, FakeClock())
    assert [budget.try_spend() for _ in range(5)] == [True] * 4 + [False]
