"""Which model answers: the cascade by confidence, calm and under load."""

import random

import pytest

from lentilshore_routing.model_choice import (
    LOADED_CONFIDENCE_THRESHOLD,
    UNLOADED_CONFIDENCE_THRESHOLD,
    LoadPressure,
    confidence_threshold,
    escalation_model,
    first_model,
)

MODELS = ("small", "middle", "large")


def test_the_smallest_model_is_asked_first():
    assert first_model(MODELS) == "small"


@pytest.mark.parametrize(
    ("model", "confidence", "pressure", "larger"),
    [
        ("small", 20, 0.0, "large"),
        ("small", 49, 0.3, "large"),
        ("small", 50, 0.0, None),
        ("small", 49, 0.9, None),
        ("small", 19, 0.9, "large"),
        ("small", 19, 3.0, "large"),
        ("small", None, 0.0, None),
        ("large", 5, 0.0, None),
    ],
)
def test_an_unsure_answer_is_asked_of_the_largest(model, confidence, pressure, larger):
    assert escalation_model(MODELS, model, confidence, pressure) == larger


def test_the_floor_falls_with_the_pressure_and_no_further():
    floors = [confidence_threshold(pressure / 10) for pressure in range(20)]
    assert floors == sorted(floors, reverse=True)
    assert (floors[0], floors[-1]) == (
        UNLOADED_CONFIDENCE_THRESHOLD,
        LOADED_CONFIDENCE_THRESHOLD,
    )


def test_engines_that_cannot_keep_up_run_the_largest_model_less_often():
    """Pattern: two of five engines are lost, and first events take twice as long
    as allowed; with the load gone the largest model is asked as before."""
    rng = random.Random(7)
    gauge = LoadPressure()
    confidences = [rng.randrange(101) for _ in range(300)]

    def asked(first_s):
        count = 0
        for confidence in confidences:
            gauge.record_first_event(first_s, 1.0)
            larger = escalation_model(MODELS, "small", confidence, gauge.value)
            count += larger is not None
        return count

    calm, loaded, after = asked(0.12), asked(2.0), asked(0.12)
    assert loaded < 0.6 * calm
    assert after > 0.8 * calm


def test_one_late_event_does_not_change_the_choice():
    gauge = LoadPressure()
    for _ in range(50):
        gauge.record_first_event(0.12, 1.0)
    gauge.record_first_event(30.0, 1.0)
    assert confidence_threshold(gauge.value) > 0.9 * UNLOADED_CONFIDENCE_THRESHOLD
