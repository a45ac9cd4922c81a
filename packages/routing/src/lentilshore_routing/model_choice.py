"""Choice of a model by size, answer confidence and load pressure."""

from __future__ import annotations

from collections.abc import Sequence

# On a scale of 0 to 100, an answer below this confidence is escalated to a larger
# model (docs/PLATFORM.md).
UNLOADED_CONFIDENCE_THRESHOLD = 50.0
# Threshold while engines cannot keep up: then each run of the largest model delays
# several other requests.
LOADED_CONFIDENCE_THRESHOLD = 20.0
# The threshold falls linearly between these two load pressures. Without load, first
# events take about an eighth of the route's latency objective.
UNLOADED_PRESSURE = 0.35
LOADED_PRESSURE = 0.9
# Weight of one first event in the moving average, so that the average covers about one
# second of a node's first events.
PRESSURE_EMA_WEIGHT = 0.08
# Caps how many times the objective a single late first event counts as.
FIRST_EVENT_SHARE_LIMIT = 3.0


class LoadPressure:
    """Moving average of times to first event, as shares of their objectives."""

    def __init__(self) -> None:
        self._value = 0.0

    @property
    def value(self) -> float:
        """Current average; 1 if first events arrive exactly at the objective."""
        return self._value

    def record_first_event(
        self, first_event_s: float, latency_objective_s: float
    ) -> None:
        """Add the time to a first event, or to the timeout if none arrived.

        :param first_event_s: time from sending the request, seconds.
        :param latency_objective_s: the route's latency objective, seconds.
        """
        share = min(
            FIRST_EVENT_SHARE_LIMIT, first_event_s / max(latency_objective_s, 0.001)
        )
        self._value += (share - self._value) * PRESSURE_EMA_WEIGHT


def first_model(models: Sequence[str]) -> str:
    """Return the model that a request is sent to first.

    :param models: names, smallest first.
    """
    return models[0]


def confidence_threshold(pressure: float) -> float:
    """Return the confidence, 0 to 100, below which an answer is escalated.

    :param pressure: value of a :class:`LoadPressure`.
    """
    load = (pressure - UNLOADED_PRESSURE) / (LOADED_PRESSURE - UNLOADED_PRESSURE)
    return UNLOADED_CONFIDENCE_THRESHOLD + (
        LOADED_CONFIDENCE_THRESHOLD - UNLOADED_CONFIDENCE_THRESHOLD
    ) * min(1.0, max(0.0, load))


def escalation_model(
    models: Sequence[str], model: str, confidence: int | None, pressure: float = 0.0
) -> str | None:
    """Return the model to escalate to, or None to keep the answer.

    Escalation goes straight to the largest model, since a medium one whose answer is
    also rejected would cost a third run.

    :param models: names, smallest first.
    :param model: the model that gave the answer.
    :param confidence: confidence of that answer, 0 to 100; None if not reported.
    :param pressure: value of a :class:`LoadPressure`.
    """
    if confidence is None or model == models[-1]:
        return None
    return models[-1] if confidence < confidence_threshold(pressure) else None
