"""Choice of a model by its size and by its confidence in its answer."""

from __future__ import annotations

from collections.abc import Sequence

# Confidence, of 100, below which an answer is asked of a larger model
# (docs/PLATFORM.md).
UNLOADED_CONFIDENCE_THRESHOLD = 50.0
# The floor of engines that cannot keep up, where a run of the largest model makes
# several others late.
LOADED_CONFIDENCE_THRESHOLD = 20.0
# Pressures between which the floor falls. On calm days first events take an eighth of
# the objective.
UNLOADED_PRESSURE = 0.35
LOADED_PRESSURE = 0.9
# Weight of one first event in the pressure: about a second's worth of a node's.
PRESSURE_EMA_WEIGHT = 0.08
# Longest that one first event counts as, as a share of the objective.
FIRST_EVENT_SHARE_LIMIT = 3.0


class LoadPressure:
    """How late engines are: first events' times as shares of their objectives."""

    def __init__(self) -> None:
        self._value = 0.0

    @property
    def value(self) -> float:
        """Moving mean of the shares; 1 where first events just keep the objective."""
        return self._value

    def record_first_event(self, first_event_s: float, objective_s: float) -> None:
        """Take in the time to a first event, or to giving up on it."""
        share = min(FIRST_EVENT_SHARE_LIMIT, first_event_s / max(objective_s, 0.001))
        self._value += (share - self._value) * PRESSURE_EMA_WEIGHT


def first_model(models: Sequence[str]) -> str:
    """Return the model to begin with.

    :param models: names, smallest first.
    """
    return models[0]


def confidence_threshold(pressure: float) -> float:
    """Return the confidence below which a larger model is asked.

    :param pressure: value of a :class:`LoadPressure`.
    """
    load = (pressure - UNLOADED_PRESSURE) / (LOADED_PRESSURE - UNLOADED_PRESSURE)
    return UNLOADED_CONFIDENCE_THRESHOLD + (
        LOADED_CONFIDENCE_THRESHOLD - UNLOADED_CONFIDENCE_THRESHOLD
    ) * min(1.0, max(0.0, load))


def escalation_model(
    models: Sequence[str], model: str, confidence: int | None, pressure: float = 0.0
) -> str | None:
    """Return the model to ask instead, or None to keep the answer.

    The largest is asked, since one in between that fails as well costs a third
    run.

    :param models: names, smallest first.
    :param model: the model that answers.
    :param confidence: its confidence from 0 to 100, None if not told.
    :param pressure: value of a :class:`LoadPressure`.
    """
    if confidence is None or model == models[-1]:
        return None
    return models[-1] if confidence < confidence_threshold(pressure) else None
