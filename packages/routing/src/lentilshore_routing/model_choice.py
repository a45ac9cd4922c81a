"""Choice of a model by its size and by its confidence in its answer."""

from __future__ import annotations

from collections.abc import Sequence

# Confidence, of 100, below which an answer is asked of a larger model. Floors of 30,
# 40, 50, 60 and 70 gave a worth of 0.735, 0.775, 0.790, 0.796 and 0.788 on a calm day,
# and 60 cost more on loaded days than it gave (docs/PLATFORM.md).
CONFIDENCE_FLOOR = 50


def first_model(models: Sequence[str]) -> str:
    """Return the model to begin with.

    :param models: names, smallest first.
    """
    return models[0]


def larger_model(
    models: Sequence[str], model: str, confidence: int | None
) -> str | None:
    """Return the model to ask instead, or None to keep the answer.

    The largest is asked, since one in between that fails as well costs a third
    run.

    :param models: names, smallest first.
    :param model: the model that answers.
    :param confidence: its confidence from 0 to 100, None if not told.
    """
    if confidence is None or confidence >= CONFIDENCE_FLOOR or model == models[-1]:
        return None
    return models[-1]
