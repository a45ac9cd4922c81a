"""Choice of the model by answer confidence, without load and under load."""

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


def test_the_smallest_model_is_tried_first():
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
def test_a_low_confidence_answer_is_escalated_to_the_largest_model(
    model, confidence, pressure, larger
):
    assert escalation_model(MODELS, model, confidence, pressure) == larger


def test_the_threshold_falls_with_load_pressure_to_its_minimum():
    thresholds = [confidence_threshold(pressure / 10) for pressure in range(20)]
    assert thresholds == sorted(thresholds, reverse=True)
    assert (thresholds[0], thresholds[-1]) == (
        UNLOADED_CONFIDENCE_THRESHOLD,
        LOADED_CONFIDENCE_THRESHOLD,
    )


def test_load_reduces_escalations_until_it_ends():
    """Two of five engines are lost and first events take twice the objective.

    Once the load has ended, requests are escalated as often as before.
    """
    rng = random.Random(7)
    load_pressure = LoadPressure()
    confidences = [rng.randrange(101) for _ in range(300)]

    def escalations(first_event_s):
        count = 0
        for confidence in confidences:
            load_pressure.record_first_event(first_event_s, 1.0)
            larger = escalation_model(MODELS, "small", confidence, load_pressure.value)
            count += larger is not None
        return count

    unloaded, loaded, after = escalations(0.12), escalations(2.0), escalations(0.12)
    assert loaded < 0.6 * unloaded
    assert after > 0.8 * unloaded


def test_one_late_first_event_hardly_lowers_the_threshold():
    load_pressure = LoadPressure()
    for _ in range(50):
        load_pressure.record_first_event(0.12, 1.0)
    load_pressure.record_first_event(30.0, 1.0)
    assert (
        confidence_threshold(load_pressure.value) > 0.9 * UNLOADED_CONFIDENCE_THRESHOLD
    )
