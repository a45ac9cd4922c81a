import math
import random

import pytest

from lentilshore_routing.observations import Moments, Observations
from lentilshore_routing.rollout_record import (
    Rollout,
    RolloutState,
    allowed_versions,
    evidence_key,
)
from lentilshore_routing.rollouts import Tally, excess_p_value
from lentilshore_routing.staging import (
    LAST_STAGE_BURST_FACTOR,
    MAX_REPORTS_PER_ROUND,
    MIN_COMPLETION_START_SHARE,
    REPORT_SPREAD_SHARE,
    REPORT_TIME_SHARES,
    SESSION_STAGE_START_SHARE,
    STAGE_SHARES,
    completion_start,
    last_stage_start,
    next_state,
)
from lentilshore_routing.version_choice import VersionChooser
from lentilshore_routing.version_evidence import (
    LatencyBaseline,
    VersionEvidence,
    latency_kind,
)

BOTH = {"v1": 3, "v2": 3}
DURATION_S = 24.0
EXPOSURE = 0.15
LAST = last_stage_start(EXPOSURE)


def rollout(state=RolloutState.RUNNING, stage=0, observations=None):
    return Rollout(
        "pool", "v2", DURATION_S, state, stage, 0.0, observations or {}, 5, "pool"
    )


def spread(mean, count, sd=0.5):
    return Moments(count, mean * count, (sd * sd + mean * mean) * count)


def seen(errors=(0, 0), base=(0, 200), times=(0.0, 0), at=("a", "b"), load=0.3):
    """Return observations.

    Times are a mean logarithm and a count; load is how far the base's spread.
    """
    return Observations(
        Tally(*errors),
        Tally(*base),
        spread(*times),
        spread(-0.1, 200, load),
        tuple(at),
    )


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
        (0, 0.5, None),
        (0, SESSION_STAGE_START_SHARE + 0.001, (RolloutState.RUNNING, 1)),
        (0, 0.99, (RolloutState.RUNNING, 2)),
        (1, LAST - 0.01, None),
        (1, LAST + 0.001, (RolloutState.RUNNING, 2)),
        (2, MIN_COMPLETION_START_SHARE - 0.01, None),
        (2, MIN_COMPLETION_START_SHARE + 0.001, (RolloutState.COMPLETED, 2)),
    ],
)
def test_a_good_version_advances_by_time(stage, part, expected):
    due = next_state(rollout(stage=stage), part * DURATION_S, seen(), "n1", EXPOSURE)
    assert (due and (due.state, due.stage)) == expected


def test_an_order_is_taken_up_first():
    due = next_state(rollout(None), 0.0, seen(), "n1", EXPOSURE)
    assert (due.state, due.stage) == (RolloutState.RUNNING, 0)


@pytest.mark.parametrize("state", [RolloutState.COMPLETED, RolloutState.ROLLED_BACK])
def test_nothing_follows_an_end(state):
    assert next_state(rollout(state), DURATION_S, seen((9, 9)), "n1", EXPOSURE) is None


@pytest.mark.parametrize(
    ("sighting", "worse"),
    [
        # Two failures from two replicas, where the base has none.
        (seen((2, 10)), True),
        (seen((2, 10), at=["a"]), False),
        (seen((1, 10)), False),
        # Rare failures, which come only under load.
        (seen((2, 190), base=(0, 900)), True),
        (seen((2, 190), base=(1, 700)), False),
        # One replica at fault, until it has failed too often for that.
        (seen((5, 60), base=(0, 900), at=["a"]), False),
        (seen((8, 60), base=(0, 900), at=["a"]), True),
        # A base that fails as often.
        (seen((4, 12), base=(60, 200)), False),
        (seen((30, 200), base=(30, 200)), False),
        # Half of the answers take eight times as long.
        (seen(times=(0.9, 20)), True),
        (seen(times=(0.9, 5)), False),
        (seen(times=(0.3, 60)), True),
        # As long as the base's, where those wait for a loaded engine.
        (seen(times=(0.05, 30), load=0.8), True),
        (seen(times=(0.05, 30), load=0.3), False),
        # A good version with little to do, and the noise of few answers.
        (seen(times=(-0.7, 100), load=0.8), False),
        (seen(times=(-0.4, 12), load=0.8), False),
        (seen(times=(0.2, 12)), False),
    ],
)
def test_a_worse_version_is_told_from_one_that_is_not(sighting, worse):
    due = next_state(rollout(), 3.0, sighting, "n1", EXPOSURE)
    assert (due is not None and due.state is RolloutState.ROLLED_BACK) is worse


def test_a_first_failure_is_shared_and_counts_together():
    own = seen((1, 4), at=["a"])
    due = next_state(rollout(), 3.0, own, "n1", EXPOSURE)
    assert due.state is RolloutState.RUNNING
    assert due.observations["n1"].errors == Tally(1, 4)
    assert next_state(due, 3.1, own, "n1", EXPOSURE) is None
    others = {"n2": seen((1, 4), at=["b"])}
    due = next_state(rollout(observations=others), 3.0, own, "n1", EXPOSURE)
    assert due.state is RolloutState.ROLLED_BACK


@pytest.mark.parametrize(
    ("candidate", "base", "chance"),
    [
        (Tally(0, 0), Tally(5, 5), 1.0),
        (Tally(0, 5), Tally(5, 5), 1.0),
        (Tally(2, 50), Tally(0, 50), 0.25),
        (Tally(3, 25), Tally(0, 75), 1 / 64),
        (Tally(1, 50), Tally(1, 50), 0.75),
    ],
)
def test_the_chance_of_an_excess(candidate, base, chance):
    assert excess_p_value(candidate, base) == pytest.approx(chance)


def test_a_node_gathers_what_it_sees_of_both_versions():
    evidence, order = VersionEvidence(), rollout()
    for _ in range(21):
        evidence.record_answer(order, ("pool", "v1", "r1"), False)
        evidence.record_latency(order, ("pool", "v1", "r1"), "k", 0.1)
    evidence.record_answer(order, ("pool", "v2", "r2"), True)
    evidence.record_latency(order, ("pool", "v2", "r3"), "k", 0.8)
    evidence.record_latency(order, ("pool", "v2", "r3"), "never seen at the base", 0.8)
    evidence.record_answer(order, ("other", "v2", "r9"), True)
    found = evidence.observations(order)
    assert (found.errors, found.base_errors) == (Tally(1, 1), Tally(0, 21))
    assert (found.log_latencies.count, found.base_log_latencies.count) == (1, 20)
    assert found.log_latencies.mean == pytest.approx(math.log(8))
    assert found.base_log_latencies.mean == pytest.approx(0.0)
    assert found.failed_replicas == ("r2",)


def test_every_node_reports_a_few_times_where_nothing_fails():
    order, writes = rollout(stage=1), []
    for step in range(90):
        own = seen((0, step))
        due = next_state(order, step / 100 * DURATION_S, own, "n1", EXPOSURE)
        if due is not None:
            writes.append(step)
            order = due
    assert len(writes) == len(REPORT_TIME_SHARES)
    for write, part in zip(writes, REPORT_TIME_SHARES, strict=True):
        assert (
            part * LAST * 100 <= write <= (part + REPORT_SPREAD_SHARE) * LAST * 100 + 1
        )


@pytest.mark.parametrize("nodes", [6, 88, 340])
def test_reports_do_not_grow_with_the_nodes(nodes):
    order, writes = rollout(stage=1), 0
    for step in range(1000):
        for node in range(nodes):
            age_s = step / 1000 * DURATION_S
            own = seen((0, 1 + step))
            due = next_state(order, age_s, own, f"n{node}", EXPOSURE)
            if due is None or (due.state, due.stage) != (order.state, order.stage):
                continue
            writes, order = writes + 1, due
    assert writes == min(nodes, MAX_REPORTS_PER_ROUND) * len(REPORT_TIME_SHARES)


def test_each_failure_is_reported_however_many_have_reported():
    others = {f"n{i}": seen((0, 5))._replace(reports_due=2) for i in range(40)}
    order = rollout(observations=others)
    due = next_state(order, 0.1, seen((1, 5)), "n99", EXPOSURE)
    assert due.observations["n99"].errors == Tally(1, 5)


@pytest.mark.parametrize("share", [0.0975, 0.15, 0.3])
@pytest.mark.parametrize("node", ["n1", "n2", "n3"])
def test_reports_end_before_the_last_stage(share, node):
    order, part = rollout(stage=1), last_stage_start(share) - 0.001
    due = next_state(order, part * DURATION_S, seen((0, 9)), node, share)
    assert due.stage == order.stage
    assert due.observations[node].reports_due == len(REPORT_TIME_SHARES)


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


def test_sessions_that_another_node_served_stay_in_the_first_half():
    rng = random.Random(1)
    sessions = [f"s{n}" for n in range(300)]
    seen = serve(VersionChooser(5.0), rollout(), sessions, 2.0, 4, rng)
    assert {v for versions in seen.values() for v in versions} == {"v1"}


def test_requests_without_a_session_are_divided_in_the_first_half():
    chooser, rng = VersionChooser(5.0), random.Random(1)
    chosen = [
        chooser.choose(rollout(), BOTH, "", rng.random(), 1.0) for _ in range(3000)
    ]
    assert chosen.count("v2") / 3000 == pytest.approx(STAGE_SHARES[0], abs=0.01)


def test_sessions_are_divided_in_the_second_half_and_stay():
    chooser, rng = VersionChooser(5.0), random.Random(1)
    sessions = [f"n{n}" for n in range(2000)]
    seen = serve(chooser, rollout(stage=1), sessions, 0.0, 5, rng)
    assert all(len(set(versions)) == 1 for versions in seen.values())
    moved = sum(versions[0] == "v2" for versions in seen.values())
    assert moved / len(sessions) == pytest.approx(STAGE_SHARES[1], abs=0.03)


def test_a_session_never_goes_back_from_a_running_candidate():
    chooser, rng = VersionChooser(5.0), random.Random(1)
    sessions = [f"n{n}" for n in range(500)]
    for stage in range(len(STAGE_SHARES)):
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


def test_prompts_of_unlike_sizes_are_not_compared():
    assert latency_kind("r", "m", 600) != latency_kind("r", "m", 40_000)
    assert latency_kind("r", "m", 600) == latency_kind("r", "m", 700)


def test_the_usual_time_is_known_after_one_answer():
    baseline = LatencyBaseline()
    assert baseline.expected_s("r") == 0.0
    baseline.add("r", 0.2)
    assert baseline.expected_s("r") == pytest.approx(0.2)


@pytest.mark.parametrize("exposure", [0.0975, 0.15, 0.3])
def test_a_bad_version_that_nobody_notices_stays_within_its_exposure(exposure):
    start = last_stage_start(exposure)
    assert 0.5 < start < completion_start(exposure) < 0.985
    for burst in (1.0, LAST_STAGE_BURST_FACTOR):
        requests = start + (1 - start) * burst
        exposed = STAGE_SHARES[0] * SESSION_STAGE_START_SHARE + (1 - start) * burst
        exposed += STAGE_SHARES[1] * (start - SESSION_STAGE_START_SHARE)
        assert exposed <= exposure * requests * (1 + 1e-9)


@pytest.mark.parametrize(("mean", "worse"), [(0.3, False), (0.6, True)])
def test_cold_caches_do_not_halt_the_last_stage(mean, worse):
    slower = seen(times=(mean, 100))
    due = next_state(rollout(stage=2), 22.0, slower, "n1", EXPOSURE)
    assert (due is not None and due.state is RolloutState.ROLLED_BACK) is worse
