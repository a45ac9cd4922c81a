import pytest

from lentilshore_routing.model_choice import first_model, larger_model

MODELS = ("small", "middle", "large")


def test_the_smallest_model_is_asked_first():
    assert first_model(MODELS) == "small"


@pytest.mark.parametrize(
    ("model", "confidence", "larger"),
    [
        ("small", 20, "large"),
        ("small", 49, "large"),
        ("small", 50, None),
        ("small", None, None),
        ("large", 5, None),
    ],
)
def test_an_unsure_answer_is_asked_of_the_largest(model, confidence, larger):
    assert larger_model(MODELS, model, confidence) == larger
