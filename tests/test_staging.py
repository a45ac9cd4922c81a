import random

import pytest

from lentilshore_routing.rollouts import EvidenceBook
from lentilshore_routing.staging import (
    COMPLETION_START,
    STAGE_SHARES,
    STAGE_STARTS,
    Failures,
    LatencyBaseline,
    Rollout,
    RolloutState,
    VersionChooser,
    allowed_versions,
    evidence_key,
    latency_kind,
    next_state,
)

BOTH = {"v1": 3, "v2": 3}
DURATION_S = 24.0


def rollout(state=RolloutState.RUNNING, stage=0, failures=None):
    return Rollout(
        "pool", "v2", DURATION_S, state, stage, 0.0, failures or {}, 5, "pool"
    )


def book(base=(0, 200), candidate=(0, 0)):
    made = EvidenceBook()
    for key, (bad, total) in (("pool/", base), ("pool/v2", candidate)):
        for n in range(total):
            made.add(key, "error", "", n < bad)
    return made


@pytest.mark.parametrize(
    ("state", "versions", "allowed"),
    [
        (None, BOTH, {"v1"}),
        (RolloutState.RUNNING, BOTH, {"v1", "v2"}),
        (RolloutState.ROLLED_BACK, BOTH, {"v1"}),
        (RolloutState.COMPLETED, BOTH, {"v2"}),
        (RolloutState.COMPLETED, {"v1": 3}, {"v1"}),
        (None, {"v2": 3}, set()),
    ],
)
def test_versions_that_may_be_used(state, versions, allowed):
    assert set(allowed_versions(rollout(state), versions)) == allowed


def test_without_an_order_every_version_may_be_used():
    assert allowed_versions(None, BOTH) == BOTH


@pytest.mark.parametrize(
    ("stage", "part", "expected"),
    [
        (0, 0.1, None),
        (0, 0.49, None),
        (0, STAGE_STARTS[1], (RolloutState.RUNNING, 1)),
        (1, STAGE_STARTS[2] - 0.01, None),
        (1, STAGE_STARTS[2], (RolloutState.RUNNING, 2)),
        (0, 0.95, (RolloutState.RUNNING, 1)),
        (2, COMPLETION_START - 0.01, None),
        (2, COMPLETION_START, (RolloutState.COMPLETED, 2)),
    ],
)
def test_a_good_version_advances_by_time(stage, part, expected):
    due = next_state(rollout(stage=stage), part * DURATION_S, book(), "n1")
    assert (due and (due.state, due.stage)) == expected


def test_an_order_is_taken_up_first():
    due = next_state(rollout(None), 0.0, book(), "n1")
    assert (due.state, due.stage) == (RolloutState.RUNNING, 0)


@pytest.mark.parametrize("state", [RolloutState.COMPLETED, RolloutState.ROLLED_BACK])
def test_nothing_follows_an_end(state):
    assert next_state(rollout(state), DURATION_S, book(candidate=(9, 9)), "n1") is None


def test_a_bad_version_is_rolled_back_from_the_first_stage():
    due = next_state(rollout(), 3.0, book(candidate=(5, 10)), "n1")
    assert due.state is RolloutState.ROLLED_BACK
    assert due.failures == {"n1": Failures(5, 0, 10)}


def test_a_version_no_worse_than_a_failing_base_is_kept():
    failing = book(base=(60, 200), candidate=(4, 12))
    due = next_state(rollout(), 3.0, failing, "n1")
    assert due is None or due.state is RolloutState.RUNNING


def test_a_few_failures_are_shared_and_count_together():
    seen = book(candidate=(2, 4))
    due = next_state(rollout(), 3.0, seen, "n1")
    assert (due.state, due.failures) == (
        RolloutState.RUNNING,
        {"n1": Failures(2, 0, 4)},
    )
    assert next_state(due, 3.1, seen, "n1") is None
    others = {"n2": Failures(2, 0, 4), "n3": Failures(2, 0, 4)}
    due = next_state(rollout(failures=others), 3.0, seen, "n1")
    assert due.state is RolloutState.ROLLED_BACK


def test_evidence_is_kept_apart_from_the_base():
    assert evidence_key(rollout(), "pool", "v2") == rollout().candidate_key
    assert evidence_key(rollout(), "pool", "v1") == rollout().base_key
    assert evidence_key(None, "pool", "v2") == rollout().base_key


def serve(chooser, order, sessions, start_s, count, rng):
    """Send requests of sessions that never pause; return the versions of each."""
    seen = {}
    for n in range(count):
        for session in sessions:
            now = start_s + n * 0.5
            version = chooser.choose(order, BOTH, session, rng.random(), now)
            seen.setdefault(session, []).append(version)
    return seen


def test_sessions_keep_their_version_in_the_first_half():
    chooser, rng = VersionChooser(5.0), random.Random(1)
    sessions = [f"s{n}" for n in range(300)]
    before = serve(chooser, rollout(None), sessions, 0.0, 4, rng)
    assert {v for seen in before.values() for v in seen} == {"v1"}
    during = serve(chooser, rollout(), sessions, 2.0, 20, rng)
    assert {v for seen in during.values() for v in seen} == {"v1"}


def test_new_sessions_are_divided_and_stay():
    chooser, rng = VersionChooser(5.0), random.Random(1)
    sessions = [f"n{n}" for n in range(2000)]
    seen = serve(chooser, rollout(), sessions, 0.0, 5, rng)
    assert all(len(set(versions)) == 1 for versions in seen.values())
    moved = sum(versions[0] == "v2" for versions in seen.values())
    assert moved / len(sessions) == pytest.approx(STAGE_SHARES[0], abs=0.03)


def test_a_session_never_goes_back_from_a_running_candidate():
    chooser, rng = VersionChooser(5.0), random.Random(1)
    sessions = [f"n{n}" for n in range(500)]
    for stage in range(3):
        seen = serve(chooser, rollout(stage=stage), sessions, stage * 2.0, 3, rng)
        for versions in seen.values():
            assert sorted(versions) == versions
    assert all(versions[-1] == "v2" for versions in seen.values())


def test_another_node_divides_sessions_alike():
    rng = random.Random(1)
    sessions = [f"n{n}" for n in range(200)]
    one = serve(VersionChooser(5.0), rollout(stage=1), sessions, 0.0, 1, rng)
    two = serve(VersionChooser(5.0), rollout(stage=1), sessions, 0.0, 1, rng)
    assert one == two


def test_a_session_that_paused_is_new():
    chooser = VersionChooser(5.0)
    assert chooser.choose(rollout(None), BOTH, "s", 0.0, 0.0) == "v1"
    done = rollout(RolloutState.COMPLETED)
    assert chooser.choose(done, BOTH, "s", 0.0, 5.1) == "v2"


@pytest.mark.parametrize(
    ("mean", "seconds", "slow"),
    [
        (0.1, 0.1, False),
        (0.1, 0.3, False),
        (0.1, 0.8, True),
        # Small models make an event in some milliseconds.
        (0.008, 0.03, False),
        (0.008, 0.064, True),
    ],
)
def test_slow_means_several_times_the_mean(mean, seconds, slow):
    baseline = LatencyBaseline()
    assert not baseline.slow("r", seconds)
    for _ in range(20):
        baseline.add("r", mean)
    assert baseline.slow("r", seconds) is slow


def test_large_prompts_do_not_make_a_version_look_slow():
    baseline = LatencyBaseline()
    small, large = latency_kind("r", "m", 600), latency_kind("r", "m", 40_000)
    for _ in range(20):
        baseline.add(small, 0.03)
        baseline.add(large, 0.4)
    assert not baseline.slow(large, 0.5)
    assert baseline.slow(small, 0.5)


def test_slow_answers_of_other_nodes_are_no_errors():
    cold = {f"n{n}": Failures(0, 1, 20) for n in range(2, 7)}
    base = book()
    for n in range(400):
        base.add("pool/", "latency", "", n < 20)
    assert next_state(rollout(failures=cold), 3.0, base, "n1") is None


def test_the_usual_time_is_known_after_one_answer():
    baseline = LatencyBaseline()
    assert baseline.expected_s("r") == 0.0
    baseline.add("r", 0.2)
    assert baseline.expected_s("r") == pytest.approx(0.2)
