"""Which model answers: the cascade by confidence, calm and under load."""

import random

import pytest

from lentilshore_routing.model_choice import (
    CALM_FLOOR,
    LOADED_FLOOR,
    PressureGauge,
    confidence_floor,
    first_model,
    larger_model,
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
    assert larger_model(MODELS, model, confidence, pressure) == larger


def test_the_floor_falls_with_the_pressure_and_no_further():
    floors = [confidence_floor(pressure / 10) for pressure in range(20)]
    assert floors == sorted(floors, reverse=True)
    assert (floors[0], floors[-1]) == (CALM_FLOOR, LOADED_FLOOR)


def test_engines_that_cannot_keep_up_run_the_largest_model_less_often():
    """Pattern: two of five engines are lost, and first events take twice as long
    as allowed; with the load gone the largest model is asked as before."""
    rng = random.Random(7)
    gauge = PressureGauge()
    confidences = [rng.randrange(101) for _ in range(300)]

    def asked(first_s):
        count = 0
        for confidence in confidences:
            gauge.note(first_s, 1.0)
            larger = larger_model(MODELS, "small", confidence, gauge.value)
            count += larger is not None
        return count

    calm, loaded, after = asked(0.12), asked(2.0), asked(0.12)
    assert loaded < 0.6 * calm
    assert after > 0.8 * calm


def test_one_late_event_does_not_change_the_choice():
    gauge = PressureGauge()
    for _ in range(50):
        gauge.note(0.12, 1.0)
    gauge.note(30.0, 1.0)
    assert confidence_floor(gauge.value) > 0.9 * CALM_FLOOR
