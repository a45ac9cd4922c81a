"""Choice of the model by answer confidence and the time left, also under load."""

import random
from unittest.mock import patch

import pytest
from bench.escalations import (
    LOADS,
    SECONDS_PER_TOKEN,
    create_learned_policy,
    create_trace,
    escalate_below_threshold,
    never_escalate,
    run_policy,
)

from lentilshore_routing.first_event_times import FirstEventTimes
from lentilshore_routing.model_choice import (
    CONFIDENCE_THRESHOLD,
    confidence_threshold,
    first_model,
    larger_model,
    on_time_probability,
    should_escalate,
)

MODELS = ("small", "middle", "large")
COSTS = {"small": 0.02, "middle": 0.1, "large": 0.3}


def test_the_smallest_model_is_tried_first():
    assert first_model(MODELS) == "small"


@pytest.mark.parametrize(
    ("model", "larger"), [("small", "large"), ("middle", "large"), ("large", None)]
)
def test_an_answer_is_escalated_to_the_largest_model(model, larger):
    assert larger_model(MODELS, model) == larger


@pytest.mark.parametrize(
    ("confidence", "expected_s", "remaining_s", "escalated"),
    [
        (20, 0.0, 1.0, True),
        (49, 0.1, 1.0, True),
        (50, 0.0, 1.0, False),
        (49, 1.0, 1.0, False),
        (24, 1.0, 1.0, True),
        (26, 1.0, 1.0, False),
        (10, 2.0, 1.0, False),
        (2, 2.0, 1.0, True),
        (0, 0.1, -1.0, False),
        (0, 9.0, 0.0, False),
        (None, 0.0, 1.0, False),
    ],
)
def test_an_answer_is_escalated_if_the_larger_models_would_be_in_time(
    confidence, expected_s, remaining_s, escalated
):
    assert should_escalate(confidence, expected_s, remaining_s) is escalated


@pytest.mark.parametrize("expected_s", [-1.0, 0.0, 1e-9, 1.0, 1e9, float("inf")])
@pytest.mark.parametrize("remaining_s", [-1e9, 0.0, 1e-9, 1.0, 1e9])
def test_the_threshold_stays_within_its_bounds(expected_s, remaining_s):
    assert 0.0 <= on_time_probability(expected_s, remaining_s) <= 1.0
    threshold = confidence_threshold(expected_s, remaining_s)
    assert 0.0 <= threshold <= CONFIDENCE_THRESHOLD


def learn(seconds_per_token, wait_s=0.05, samples=200, seed=7):
    """Return times learned from an engine that reads at the given paces."""
    rng = random.Random(seed)
    times = FirstEventTimes()
    for _ in range(samples):
        model = rng.choice(list(seconds_per_token))
        tokens = rng.lognormvariate(8.0, 1.0)
        first_event_s = wait_s + tokens * seconds_per_token[model]
        times.record(model, tokens, first_event_s * rng.uniform(0.9, 1.1))
    return times


@pytest.mark.parametrize("speed", [0.33, 1.0, 3.0])
@pytest.mark.parametrize("cost_factor", [0.1, 10.0])
def test_the_longest_prompt_that_is_escalated_grows_with_the_engines_speed(
    speed, cost_factor
):
    """The decision depends on learned paces, not on a number of tokens."""
    paces = {"small": 2e-6 / speed, "large": 60e-6 / speed}
    costs = {name: cost * cost_factor for name, cost in COSTS.items()}
    times = learn(paces)
    escalated = [
        tokens
        for tokens in range(1_000, 200_000, 1_000)
        if should_escalate(35, times.expected_s("large", tokens, costs), 2.0)
    ]
    # 35 is below the threshold until the answer is late with a probability of 0.3.
    assert max(escalated) * paces["large"] == pytest.approx(1.6, rel=0.25)


def test_a_model_without_samples_is_slower_by_what_it_costs_more():
    times = learn({"small": 2e-6})
    small_s = times.reading_s("small", 10_000, COSTS)
    assert small_s == pytest.approx(0.02, rel=0.3)
    assert times.reading_s("large", 10_000, COSTS) == pytest.approx(15 * small_s)
    assert times.reading_s("large", 10_000, {}) == 0.0


def test_nothing_is_expected_before_the_first_sample():
    assert FirstEventTimes().expected_s("large", 10_000, COSTS) == 0.0


def test_load_reduces_escalations_until_it_ends():
    """Two of five engines are lost and first events take twice the objective.

    Once the load has ended, requests are escalated as often as before.
    """
    rng = random.Random(7)
    times = learn({"small": 2e-6, "large": 30e-6})
    requests = [(rng.randrange(101), rng.lognormvariate(8, 1)) for _ in range(300)]

    def escalations(wait_s):
        count = 0
        for confidence, tokens in requests:
            times.record("small", tokens, wait_s + tokens * 2e-6)
            expected_s = times.expected_s("large", tokens, COSTS)
            count += should_escalate(confidence, expected_s, 1.0)
        return count

    unloaded, loaded, after = escalations(0.1), escalations(2.0), escalations(0.1)
    assert loaded < 0.6 * unloaded
    assert after > 0.8 * unloaded


@pytest.mark.parametrize("speed", [0.33, 1.0, 3.0])
def test_overloaded_engines_are_not_kept_busy_by_escalations(speed):
    """Twice as much work as the engines can read arrives for minutes.

    Escalations into answers that come late anyway would delay every request behind
    them; the policy must not fall behind one that never escalates.
    """
    paces = {name: s / speed for name, s in SECONDS_PER_TOKEN.items()}
    with patch.dict(SECONDS_PER_TOKEN, paces):
        trace = create_trace(5, 2_000, LOADS["overload"])
        times = FirstEventTimes()
        learned = run_policy(trace, create_learned_policy(times), times)
        never = run_policy(trace, never_escalate, FirstEventTimes())
        fixed = run_policy(trace, escalate_below_threshold, FirstEventTimes())
    assert learned > 1.1 * never
    assert learned > 1.5 * fixed


def test_load_is_noticed_from_the_first_events_of_any_model():
    times = learn({"small": 2e-6, "large": 30e-6})
    for _ in range(20):
        times.record("small", 1_000, 1.5)
    assert times.expected_s("large", 1_000, COSTS) > 1.0


def test_one_late_first_event_hardly_changes_what_is_expected():
    times = learn({"small": 2e-6, "large": 30e-6})
    before_s = times.reading_s("large", 10_000, COSTS)
    times.record("large", 10_000, 30.0)
    for _ in range(40):
        times.record("small", 1_000, 0.05)
    assert times.wait_s < 0.2
    assert times.reading_s("large", 10_000, COSTS) < 1.5 * before_s


@pytest.mark.parametrize("tokens", [-5, 0, 1, 10**9, 10**15])
@pytest.mark.parametrize("first_event_s", [0.0, 1e-9, 1e6])
def test_absurd_samples_are_bounded(tokens, first_event_s):
    times = learn({"small": 2e-6, "large": 30e-6})
    times.record("large", tokens, first_event_s)
    assert 0.0 <= times.expected_s("large", 10_000, COSTS) < 1e7
