"""Choice of a model by size, answer confidence and the time left."""

from __future__ import annotations

from collections.abc import Sequence

# On a scale of 0 to 100, an answer below this confidence is escalated to a larger
# model if its answer would be on time (docs/DECISIONS.md).
CONFIDENCE_THRESHOLD = 50.0
# Exponent of the log-logistic distribution that first events' times follow around
# their expected value.
LATENCY_SHAPE = 4.0


def first_model(models: Sequence[str]) -> str:
    """Return the model that a request is sent to first.

    :param models: names, smallest first.
    """
    return models[0]


def on_time_probability(expected_s: float, remaining_s: float) -> float:
    """Return the probability that a first event arrives in time.

    :param expected_s: expected time to the first event, seconds.
    :param remaining_s: time left until the latency objective, seconds.
    """
    if remaining_s <= 0.0:
        return 0.0
    return 1.0 / (1.0 + (max(0.0, expected_s) / remaining_s) ** LATENCY_SHAPE)


def confidence_threshold(expected_s: float, remaining_s: float) -> float:
    """Return the confidence, 0 to 100, below which an answer is escalated.

    It falls with the probability that the larger model's answer is late: a late one is
    worth less, and reading it delays every request behind it.

    :param expected_s: expected time to the larger model's first event, seconds.
    :param remaining_s: time left until the latency objective, seconds.
    """
    return CONFIDENCE_THRESHOLD * on_time_probability(expected_s, remaining_s)


def larger_model(models: Sequence[str], model: str) -> str | None:
    """Return the model that an answer of a model may be escalated to.

    That is the largest, since a medium one whose answer is also rejected would cost a
    third run.

    :param models: names, smallest first.
    :param model: the model that gave the answer.
    """
    return None if model == models[-1] else models[-1]


def should_escalate(
    confidence: int | None,
    expected_s: float,
    remaining_s: float,
    on_time_share: float = 1.0,
) -> bool:
    """Return whether to send a request again to a larger model.

    :param confidence: confidence of the answer at hand, 0 to 100; None if not reported.
    :param expected_s: expected time to the larger model's first event, seconds.
    :param remaining_s: time left until the latency objective, seconds.
    :param on_time_share: share of the escalated requests that are answered in time.
    """
    if confidence is None:
        return False
    threshold = confidence_threshold(expected_s, remaining_s) * on_time_share
    return confidence < threshold
