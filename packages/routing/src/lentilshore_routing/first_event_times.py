"""Times to the first event of an answer, learned for each model of an engine."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

# Weight that older samples keep with each new one, so that about the last 33 of a model
# count: how fast an engine reads changes only with its hardware.
SAMPLE_DECAY = 0.97
# Weight of a new sample in the mean wait, so that it follows load within some ten
# first events of all models.
WAIT_WEIGHT = 0.1
# A model with fewer samples than this is estimated from the other models.
MIN_SAMPLES = 4.0
# A sample counts for at most this multiple of what was expected: one replica that
# answers late says little about the others.
MAX_EXCESS_FACTOR = 4.0
# A greater prompt size is a wrong statement of the caller, and must not move the line.
MAX_PROMPT_TOKENS = 1_000_000.0


class _Sums(NamedTuple):
    """Decayed sums over prompt sizes in tokens and times in seconds."""

    count: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    squared_tokens: float = 0.0
    tokens_seconds: float = 0.0

    def add(self, tokens: float, seconds: float, decay: float) -> _Sums:
        """Return the sums with one more sample."""
        sample = _Sums(1.0, tokens, seconds, tokens * tokens, tokens * seconds)
        return _Sums(*(a * decay + b for a, b in zip(self, sample, strict=True)))

    @property
    def seconds_per_token(self) -> float:
        """Slope of the regression line, at most that of a line without a wait."""
        variance = self.count * self.squared_tokens - self.tokens**2
        covariance = self.count * self.tokens_seconds - self.tokens * self.seconds
        if variance <= 0.0:
            return 0.0
        return min(max(0.0, covariance / variance), self.seconds / self.tokens)


class FirstEventTimes:
    """Estimates the time to a first event as a wait plus the time to read the prompt.

    The reading time grows with the prompt and differs between models. The wait is the
    same for all: requests of every model share the engines' batches. Memory is bounded
    by the number of models.

    :param sample_decay: weight that older samples keep with each new one.
    """

    def __init__(self, sample_decay: float = SAMPLE_DECAY) -> None:
        self._sample_decay = sample_decay
        self._sums_by_model: dict[str, _Sums] = {}
        self._wait_s = 0.0

    @property
    def wait_s(self) -> float:
        """Moving mean of first events' times without the reading, seconds."""
        return self._wait_s

    def record(self, model: str, tokens: float, first_event_s: float) -> None:
        """Add the time to a first event, or to the timeout if none arrived.

        :param model: name of the model.
        :param tokens: tokens of the prompt that the engine had to read.
        :param first_event_s: time from sending the request, seconds.
        """
        tokens = min(MAX_PROMPT_TOKENS, max(1.0, tokens))
        sums = self._sums_by_model.get(model, _Sums())
        reading_s = 0.0
        if _is_known(sums):
            reading_s = sums.seconds_per_token * tokens
            expected_s = max(self._wait_s + reading_s, sums.seconds / sums.count)
            first_event_s = min(first_event_s, MAX_EXCESS_FACTOR * expected_s)
        wait_s = max(0.0, first_event_s - reading_s)
        self._wait_s += (wait_s - self._wait_s) * WAIT_WEIGHT
        self._sums_by_model[model] = sums.add(tokens, first_event_s, self._sample_decay)

    def reading_s(
        self, model: str, tokens: float, model_costs: Mapping[str, float]
    ) -> float:
        """Return the expected time in which an engine reads a prompt, seconds.

        A model without samples is taken to be slower than the others by as much as it
        costs more.

        :param model: name of the model.
        :param tokens: tokens of the prompt.
        :param model_costs: cost of each model, in any unit.
        """
        own = self._sums_by_model.get(model, _Sums())
        if _is_known(own):
            return own.seconds_per_token * tokens
        cost = model_costs.get(model, 0.0)
        return max(
            (
                sums.seconds_per_token * tokens * cost / model_costs[other]
                for other, sums in self._sums_by_model.items()
                if _is_known(sums) and model_costs.get(other, 0.0) > 0.0
            ),
            default=0.0,
        )

    def expected_s(
        self, model: str, tokens: float, model_costs: Mapping[str, float]
    ) -> float:
        """Return the expected time to the first event, seconds.

        The parameters are those of :meth:`reading_s`.
        """
        return self._wait_s + self.reading_s(model, tokens, model_costs)


def _is_known(sums: _Sums) -> bool:
    return sums.count >= MIN_SAMPLES
