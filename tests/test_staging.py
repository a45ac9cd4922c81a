import math
import random

import pytest

from lentilshore_kernel.types import StoreRevision
from lentilshore_routing.observations import Moments, Observations
from lentilshore_routing.rollout_record import (
    Rollout,
    RolloutState,
    allowed_versions,
    evidence_key,
)
from lentilshore_routing.rollouts import Tally, excess_p_value
from lentilshore_routing.staging import (
    LAST_STAGE,
    LAST_STAGE_BURST_FACTOR,
    MAX_REPORTS_PER_ROUND,
    MAX_TRIAL_S,
    MIN_COMPLETION_START_SHARE,
    MIN_TRIAL_S,
    REPORT_SPREAD_SHARE,
    REPORT_TIME_SHARES,
    SESSION_STAGE_START_SHARE,
    SPARSE_TRIAL_S,
    STAGE_SHARES,
    TRIAL_STAGE,
    completion_start_share,
    last_stage_start_share,
    next_record,
)
from lentilshore_routing.version_choice import VersionChooser
from lentilshore_routing.version_evidence import (
    LatencyBaseline,
    VersionEvidence,
    latency_kind,
)

STORED_AT = StoreRevision(0, 5)
BOTH = {"v1": 3, "v2": 3}
DURATION_S = 24.0
EXPOSURE = 0.15
LAST = last_stage_start_share(EXPOSURE)


def rollout(state=RolloutState.RUNNING, stage=0, observations=None):
    return Rollout(
        "pool",
        "v2",
        DURATION_S,
        state,
        stage,
        0.0,
        observations or {},
        STORED_AT,
        "pool",
    )


def moments(mean, count, sd=0.5):
    return Moments(count, mean * count, (sd * sd + mean * mean) * count)


def observed(
    errors=(0, 0), base=(0, 200), latencies=(0.0, 0), at=("a", "b"), base_sd=0.3
):
    """Return the observations of one node.

    :param latencies: mean log latency of the candidate and number of latencies.
    :param at: replicas of the candidate that failed.
    :param base_sd: standard deviation of the base's log latencies, larger under load.
    """
    return Observations(
        Tally(*errors),
        Tally(*base),
        moments(*latencies),
        moments(-0.1, 200, base_sd),
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
def test_allowed_versions_follow_the_rollout_state(state, versions, allowed):
    assert set(allowed_versions(rollout(state), versions)) == allowed


def test_every_version_is_allowed_without_a_rollout():
    assert allowed_versions(None, BOTH) == BOTH


@pytest.mark.parametrize(
    ("stage", "elapsed_share", "expected"),
    [
        (0, 0.1, None),
        (0, 0.5, None),
        (0, SESSION_STAGE_START_SHARE + 0.001, (RolloutState.RUNNING, 1)),
        (0, 0.99, (RolloutState.RUNNING, 2)),
        (1, LAST - 0.01, None),
        (1, LAST + 0.001, (RolloutState.RUNNING, 2)),
        (3, MIN_COMPLETION_START_SHARE - 0.01, None),
        (3, MIN_COMPLETION_START_SHARE + 0.001, (RolloutState.COMPLETED, 3)),
    ],
)
def test_a_candidate_advances_by_time_up_to_its_trial(stage, elapsed_share, expected):
    due = next_record(
        rollout(stage=stage), elapsed_share * DURATION_S, observed(), "n1", EXPOSURE
    )
    assert (due and (due.state, due.stage)) == expected


def test_the_first_step_starts_the_rollout():
    due = next_record(rollout(None), 0.0, observed(), "n1", EXPOSURE)
    assert (due.state, due.stage) == (RolloutState.RUNNING, 0)


@pytest.mark.parametrize("state", [RolloutState.COMPLETED, RolloutState.ROLLED_BACK])
def test_an_ended_rollout_takes_no_further_step(state):
    assert (
        next_record(rollout(state), DURATION_S, observed((9, 9)), "n1", EXPOSURE)
        is None
    )


@pytest.mark.parametrize(
    ("observations", "worse"),
    [
        # Two failures from two replicas; the base has none.
        (observed((2, 10)), True),
        (observed((2, 10), at=["a"]), False),
        (observed((1, 10)), False),
        # Rare failures that occur only under load.
        (observed((2, 190), base=(0, 900)), True),
        (observed((2, 190), base=(1, 700)), False),
        # Failures of one replica only: significant only once there are enough of them.
        (observed((5, 60), base=(0, 900), at=["a"]), False),
        (observed((8, 60), base=(0, 900), at=["a"]), True),
        # The base fails as often.
        (observed((4, 12), base=(60, 200)), False),
        (observed((30, 200), base=(30, 200)), False),
        # Half of the answers take eight times as long as usual.
        (observed(latencies=(0.9, 20)), True),
        (observed(latencies=(0.9, 5)), False),
        (observed(latencies=(0.3, 60)), True),
        # As slow as the base, whose answers wait for a loaded engine.
        (observed(latencies=(0.05, 30), base_sd=0.8), True),
        (observed(latencies=(0.05, 30), base_sd=0.3), False),
        # A healthy candidate with little load, and the noise of few answers.
        (observed(latencies=(-0.7, 100), base_sd=0.8), False),
        (observed(latencies=(-0.4, 12), base_sd=0.8), False),
        (observed(latencies=(0.2, 12)), False),
    ],
)
def test_only_a_worse_candidate_is_rolled_back(observations, worse):
    due = next_record(rollout(), 3.0, observations, "n1", EXPOSURE)
    assert (due is not None and due.state is RolloutState.ROLLED_BACK) is worse


def test_a_first_failure_is_reported_and_added_to_those_of_other_nodes():
    own = observed((1, 4), at=["a"])
    due = next_record(rollout(), 3.0, own, "n1", EXPOSURE)
    assert due.state is RolloutState.RUNNING
    assert due.observations["n1"].errors == Tally(1, 4)
    assert next_record(due, 3.1, own, "n1", EXPOSURE) is None
    others = {"n2": observed((1, 4), at=["b"])}
    due = next_record(rollout(observations=others), 3.0, own, "n1", EXPOSURE)
    assert due.state is RolloutState.ROLLED_BACK


@pytest.mark.parametrize(
    ("candidate", "base", "p_value"),
    [
        (Tally(0, 0), Tally(5, 5), 1.0),
        (Tally(0, 5), Tally(5, 5), 1.0),
        (Tally(2, 50), Tally(0, 50), 0.25),
        (Tally(3, 25), Tally(0, 75), 1 / 64),
        (Tally(1, 50), Tally(1, 50), 0.75),
        (Tally(5, 5), Tally(0, 0), 1.0),
        # The binomial coefficients of many failures exceed the range of a float.
        (Tally(600, 1000), Tally(600, 1000), 0.5115),
        (Tally(9000, 10_000), Tally(0, 10_000), 0.0),
    ],
)
def test_p_value_of_an_excess_of_failures(candidate, base, p_value):
    assert excess_p_value(candidate, base) == pytest.approx(p_value, abs=1e-4)


def test_a_node_collects_observations_of_both_versions():
    evidence, current = VersionEvidence(), rollout()
    for _ in range(21):
        evidence.record_answer(current, ("pool", "v1", "r1"), False)
        evidence.record_latency(current, ("pool", "v1", "r1"), "k", 0.1)
    evidence.record_answer(current, ("pool", "v2", "r2"), True)
    evidence.record_latency(current, ("pool", "v2", "r3"), "k", 0.8)
    evidence.record_latency(
        current, ("pool", "v2", "r3"), "never seen at the base", 0.8
    )
    evidence.record_answer(current, ("other", "v2", "r9"), True)
    found = evidence.observations(current)
    assert (found.errors, found.base_errors) == (Tally(1, 1), Tally(0, 21))
    assert (found.log_latencies.count, found.base_log_latencies.count) == (1, 20)
    assert found.log_latencies.mean == pytest.approx(math.log(8))
    assert found.base_log_latencies.mean == pytest.approx(0.0)
    assert found.failed_replicas == ("r2",)


def test_a_node_reports_once_per_round_without_failures():
    current, writes = rollout(stage=1), []
    for step in range(90):
        own = observed((0, step))
        due = next_record(current, step / 100 * DURATION_S, own, "n1", EXPOSURE)
        if due is not None:
            writes.append(step)
            current = due
    assert len(writes) == len(REPORT_TIME_SHARES)
    for write, part in zip(writes, REPORT_TIME_SHARES, strict=True):
        assert (
            part * LAST * 100 <= write <= (part + REPORT_SPREAD_SHARE) * LAST * 100 + 1
        )


@pytest.mark.parametrize("nodes", [6, 88, 340])
def test_the_number_of_reports_is_limited_in_a_large_fleet(nodes):
    current, writes = rollout(stage=1), 0
    for step in range(1000):
        for node in range(nodes):
            age_s = step / 1000 * DURATION_S
            own = observed((0, 1 + step))
            due = next_record(current, age_s, own, f"n{node}", EXPOSURE)
            if due is None or (due.state, due.stage) != (current.state, current.stage):
                continue
            writes, current = writes + 1, due
    assert writes == min(nodes, MAX_REPORTS_PER_ROUND) * len(REPORT_TIME_SHARES)


def test_each_failure_is_reported_beyond_the_report_limit():
    others = {f"n{i}": observed((0, 5))._replace(reports_due=2) for i in range(40)}
    current = rollout(observations=others)
    due = next_record(current, 0.1, observed((1, 5)), "n99", EXPOSURE)
    assert due.observations["n99"].errors == Tally(1, 5)


@pytest.mark.parametrize("share", [0.0975, 0.15, 0.3])
@pytest.mark.parametrize("node", ["n1", "n2", "n3"])
def test_reports_end_before_the_last_stage(share, node):
    current, part = rollout(stage=1), last_stage_start_share(share) - 0.001
    due = next_record(current, part * DURATION_S, observed((0, 9)), node, share)
    assert due.stage == current.stage
    assert due.observations[node].reports_due == len(REPORT_TIME_SHARES)


def test_evidence_keys_of_candidate_and_base_differ():
    assert evidence_key(rollout(), "pool", "v2") == rollout().candidate_key
    assert evidence_key(rollout(), "pool", "v1") == rollout().base_key
    assert evidence_key(None, "pool", "v2") == rollout().base_key


def serve(chooser, current, sessions, start_s, count, rng):
    """Send requests of sessions without idle times; return the versions by session."""
    seen = {}
    for n in range(count):
        for session in sessions:
            now = start_s + n * 0.5
            version = chooser.choose(current, BOTH, session, rng.random(), now)
            seen.setdefault(session, []).append(version)
    return seen


def test_sessions_keep_their_version_before_the_session_stage():
    chooser, rng = VersionChooser(5.0), random.Random(1)
    sessions = [f"s{n}" for n in range(300)]
    before = serve(chooser, rollout(None), sessions, 0.0, 4, rng)
    assert {v for seen in before.values() for v in seen} == {"v1"}
    during = serve(chooser, rollout(), sessions, 2.0, 20, rng)
    assert {v for seen in during.values() for v in seen} == {"v1"}


def test_sessions_of_other_nodes_stay_on_the_base_before_the_session_stage():
    rng = random.Random(1)
    sessions = [f"s{n}" for n in range(300)]
    seen = serve(VersionChooser(5.0), rollout(), sessions, 2.0, 4, rng)
    assert {v for versions in seen.values() for v in versions} == {"v1"}


def test_requests_without_a_session_are_split_before_the_session_stage():
    chooser, rng = VersionChooser(5.0), random.Random(1)
    chosen = [
        chooser.choose(rollout(), BOTH, "", rng.random(), 1.0) for _ in range(3000)
    ]
    assert chosen.count("v2") / 3000 == pytest.approx(STAGE_SHARES[0], abs=0.01)


def test_sessions_are_split_in_the_session_stage_and_stay_pinned():
    chooser, rng = VersionChooser(5.0), random.Random(1)
    sessions = [f"n{n}" for n in range(2000)]
    seen = serve(chooser, rollout(stage=1), sessions, 0.0, 5, rng)
    assert all(len(set(versions)) == 1 for versions in seen.values())
    moved = sum(versions[0] == "v2" for versions in seen.values())
    assert moved / len(sessions) == pytest.approx(STAGE_SHARES[1], abs=0.03)


def test_a_session_never_returns_from_a_running_candidate():
    chooser, rng = VersionChooser(5.0), random.Random(1)
    sessions = [f"n{n}" for n in range(500)]
    for stage in range(len(STAGE_SHARES)):
        seen = serve(chooser, rollout(stage=stage), sessions, stage * 2.0, 3, rng)
        for versions in seen.values():
            assert sorted(versions) == versions
    assert all(versions[-1] == "v2" for versions in seen.values())


def test_all_nodes_split_sessions_alike():
    rng = random.Random(1)
    sessions = [f"n{n}" for n in range(200)]
    one = serve(VersionChooser(5.0), rollout(stage=1), sessions, 0.0, 1, rng)
    two = serve(VersionChooser(5.0), rollout(stage=1), sessions, 0.0, 1, rng)
    assert one == two


def test_a_session_expires_after_its_idle_time():
    chooser = VersionChooser(5.0)
    assert chooser.choose(rollout(None), BOTH, "s", 0.0, 0.0) == "v1"
    done = rollout(RolloutState.COMPLETED)
    assert chooser.choose(done, BOTH, "s", 0.0, 5.1) == "v2"


def test_prompts_of_different_sizes_have_different_latency_kinds():
    assert latency_kind("r", "m", 600) != latency_kind("r", "m", 40_000)
    assert latency_kind("r", "m", 600) == latency_kind("r", "m", 700)


def test_the_latency_baseline_is_known_after_one_answer():
    baseline = LatencyBaseline()
    assert baseline.expected_s("r") == 0.0
    baseline.add("r", 0.2)
    assert baseline.expected_s("r") == pytest.approx(0.2)


@pytest.mark.parametrize("exposure", [0.0975, 0.15, 0.3])
def test_an_undetected_bad_version_stays_within_its_exposure_limit(exposure):
    start = last_stage_start_share(exposure)
    assert 0.5 < start < completion_start_share(exposure) < 0.985
    for burst in (1.0, LAST_STAGE_BURST_FACTOR):
        requests = start + (1 - start) * burst
        exposed = STAGE_SHARES[0] * SESSION_STAGE_START_SHARE + (1 - start) * burst
        exposed += STAGE_SHARES[1] * (start - SESSION_STAGE_START_SHARE)
        assert exposed <= exposure * requests * (1 + 1e-9)


@pytest.mark.parametrize(("mean", "worse"), [(0.3, False), (0.6, True)])
def test_cold_caches_do_not_roll_back_the_last_stage(mean, worse):
    slower = observed(latencies=(mean, 100))
    due = next_record(rollout(stage=2), 22.0, slower, "n1", EXPOSURE)
    assert (due is not None and due.state is RolloutState.ROLLED_BACK) is worse


DONE_S = DURATION_S * (MIN_COMPLETION_START_SHARE + 0.001)


# A version that took three times as long for half of its answers was completed with 37
# answers seen, all of them at little load (EXPOSURE).
@pytest.mark.parametrize(
    ("times_as_long", "deviations", "counts", "stage"),
    [
        # Measured of slow versions beside a loaded base.
        (0.77, (0.50, 0.80), (36, 918), TRIAL_STAGE),
        (1.04, (0.67, 0.83), (34, 853), TRIAL_STAGE),
        (0.80, (0.60, 0.89), (33, 783), TRIAL_STAGE),
        # Measured of good versions.
        (0.55, (0.32, 0.80), (32, 930), LAST_STAGE),
        (0.52, (0.40, 0.73), (36, 825), LAST_STAGE),
        (0.39, (0.51, 0.91), (26, 697), LAST_STAGE),
        # As fast as a base that is hardly loaded; hardly seen.
        (0.90, (0.20, 0.20), (60, 300), LAST_STAGE),
        (0.20, (0.30, 0.80), (12, 900), TRIAL_STAGE),
        (1.00, (0.30, 0.80), (0, 900), TRIAL_STAGE),
    ],
)
def test_only_a_version_that_was_clearly_as_fast_skips_its_trial(
    times_as_long, deviations, counts, stage
):
    own = Observations(
        Tally(0, counts[0]),
        Tally(0, counts[1]),
        moments(math.log(times_as_long), counts[0], deviations[0]),
        moments(0.0, counts[1], deviations[1]),
    )
    due = next_record(rollout(stage=1), DURATION_S * 0.99, own, "n1", EXPOSURE)
    assert (due.state, due.stage) == (RolloutState.RUNNING, stage)


def test_a_trial_begins_without_the_latencies_seen_at_little_load():
    others = {"n2": observed((0, 40), latencies=(-0.3, 40))}
    current = rollout(stage=1, observations=others)
    own = observed(base_sd=0.8)
    due = next_record(current, DURATION_S * 0.99, own, "n1", EXPOSURE)
    assert due.stage == TRIAL_STAGE
    assert due.observations["n2"].log_latencies == Moments()
    assert due.observations["n2"].errors == Tally(0, 40)


@pytest.mark.parametrize(
    ("latencies", "stage_age_s", "expected"),
    [
        # Nothing is decided before the engines of the candidate are loaded.
        ((-0.3, 500), 0.1, None),
        ((-0.3, 500), MIN_TRIAL_S - 0.1, None),
        ((-0.3, 29), MIN_TRIAL_S + 0.1, None),
        ((-0.3, 7), SPARSE_TRIAL_S + 0.1, None),
        ((-0.3, 31), MIN_TRIAL_S + 0.1, RolloutState.COMPLETED),
        ((-0.3, 9), SPARSE_TRIAL_S + 0.1, RolloutState.COMPLETED),
        ((0.0, 0), MAX_TRIAL_S + 0.1, RolloutState.COMPLETED),
        ((0.3, 31), MIN_TRIAL_S + 0.1, RolloutState.ROLLED_BACK),
        ((0.3, 9), SPARSE_TRIAL_S + 0.1, RolloutState.ROLLED_BACK),
        ((1.1, 100), 0.5, RolloutState.ROLLED_BACK),
    ],
)
def test_a_trial_ends_when_enough_was_seen_under_load(latencies, stage_age_s, expected):
    current = rollout(stage=TRIAL_STAGE)
    own = observed(latencies=latencies, base_sd=0.8)
    due = next_record(current, DONE_S, own, "n1", EXPOSURE, stage_age_s)
    state = due.state if due is not None else None
    assert (None if state is RolloutState.RUNNING else state) is expected


def test_a_trial_after_a_silent_store_is_no_shorter():
    """The first gateway that reached the store again completed a bad version at once.

    A roll-out whose deadline passed meanwhile still gets its trial.
    """
    late_s = DURATION_S * 2
    due = next_record(rollout(stage=0), late_s, observed(), "n1", EXPOSURE)
    assert (due.state, due.stage) == (RolloutState.RUNNING, TRIAL_STAGE)
    assert next_record(due, late_s + 0.2, observed(), "n1", EXPOSURE, 0.2) is None
    slow = observed(latencies=(0.8, 40), base_sd=0.8)
    due = next_record(due, late_s + 2.1, slow, "n1", EXPOSURE, 2.1)
    assert due.state is RolloutState.ROLLED_BACK


def test_nodes_report_once_during_a_trial():
    current, writes = rollout(stage=TRIAL_STAGE), 0
    for step in range(19):
        for node in range(40):
            own = observed((0, 1 + step), latencies=(-0.3, step))
            due = next_record(current, DONE_S, own, f"n{node}", EXPOSURE, 0.1 * step)
            if due is not None:
                assert due.state is RolloutState.RUNNING
                writes, current = writes + 1, due
    assert writes == MAX_REPORTS_PER_ROUND


def test_a_candidate_on_trial_gets_all_requests():
    chooser, rng = VersionChooser(5.0), random.Random(1)
    current = rollout(stage=TRIAL_STAGE)
    assert {chooser.choose(current, BOTH, "", rng.random(), 1.0) for _ in range(9)} == {
        "v2"
    }


def test_latencies_on_trial_are_kept_apart_and_overdue_answers_count():
    """Slow answers, counted when they end, came too late for the verdict."""
    evidence, early, trial = VersionEvidence(), rollout(stage=1), rollout(stage=2)
    base, candidate = ("pool", "v1", "r1"), ("pool", "v2", "r2")
    for _ in range(40):
        evidence.record_latency(early, base, "k", 0.1)
        evidence.record_latency(early, candidate, "k", 0.05)
    assert evidence.observations(early).log_latencies.count == 40
    assert evidence.observations(trial).log_latencies.count == 0
    assert evidence.begin_wait(early, candidate, "k", 10.0) is None
    assert evidence.begin_wait(trial, base, "k", 10.0) is None
    first = evidence.begin_wait(trial, candidate, "k", 10.0)
    evidence.begin_wait(trial, candidate, "never seen at the base", 10.0)
    assert evidence.observations(trial, 10.15).log_latencies.count == 0
    found = evidence.observations(trial, 10.4).log_latencies
    assert (found.count, found.mean) == (1, pytest.approx(math.log(4)))
    evidence.end_wait(first)
    evidence.record_latency(trial, candidate, "k", 0.8)
    found = evidence.observations(trial, 11.0).log_latencies
    assert (found.count, found.mean) == (1, pytest.approx(math.log(8)))
