"""Expected work of requests, learned from the answers that a gateway observes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .first_event_times import FirstEventTimes

# Weight that older first events keep with each new one. About 200 samples of a model
# count: with the 33 of the timeouts' estimate, waits of 0.5 s that differ at random
# hide the reading time of a prompt of 5,000 tokens.
READING_SAMPLE_DECAY = 0.995
# Weight of a new answer in the mean pause and in the mean number of events.
ANSWER_WEIGHT = 0.05
# Kinds of requests whose answers are learned. Further ones count like the mean of all.
MAX_KINDS = 1_000
# A pause or an answer counts for at most this multiple of the mean.
MAX_EXCESS_FACTOR = 4.0
ALL_KINDS = ""


def request_kind(route: str, model: str, max_output_tokens: int) -> str:
    """Return the type of a request: answers of a type are of similar length.

    :param route: name of the route.
    :param model: model, empty where the route names none.
    :param max_output_tokens: what the caller states as the maximum; its magnitude
        counts.
    """
    return f"{route}/{model}/{max_output_tokens.bit_length()}"


class RequestWork(NamedTuple):
    """Expected work of one request at a replica of mean speed.

    :param wait_s: mean wait before prompts are read, seconds.
    :param reading_s: time to read the whole prompt, seconds.
    :param saved_s: part of it that a cached prefix saves, seconds.
    :param answer_s: time from the first event to the last one, seconds.
    """

    wait_s: float = 0.0
    reading_s: float = 0.0
    saved_s: float = 0.0
    answer_s: float = 0.0


class _Mean:
    """Moving mean that begins as a plain one and limits what a sample adds."""

    def __init__(self) -> None:
        self.value = 0.0
        self._count = 0

    def add(self, value: float) -> None:
        if self.value:
            value = min(value, MAX_EXCESS_FACTOR * self.value)
        self._count += 1
        self.value += (value - self.value) * max(ANSWER_WEIGHT, 1 / self._count)


class WorkModel:
    """Learns what requests cost at a replica of mean speed.

    The fixed part is the mean wait, the same for all models of a service; the time for
    each prompt token and each event of an answer is learned for each service and model.
    Answers are counted in events: an engine sends the same number of tokens with each.
    """

    def __init__(self) -> None:
        self._first_events: dict[str, FirstEventTimes] = {}
        self._pauses: dict[tuple[str, str], _Mean] = {}
        self._events: dict[str, _Mean] = {}

    def record_first_event(
        self, service: str, model: str, tokens: float, seconds: float
    ) -> None:
        """Add the time to a first event.

        :param tokens: tokens of the prompt that the replica had to read.
        :param seconds: time from sending the request, seconds.
        """
        times = self._first_events.get(service)
        if times is None:
            times = self._first_events[service] = FirstEventTimes(READING_SAMPLE_DECAY)
        times.record(model, tokens, seconds)

    def record_pause(self, service: str, model: str, pause_s: float) -> None:
        """Add the mean pause between the events of an answer, seconds."""
        if pause_s > 0.0:
            self._pauses.setdefault((service, model), _Mean()).add(pause_s)

    def record_events(self, kind: str, events: int) -> None:
        """Add the number of events of a whole answer.

        :param kind: type of the request.
        """
        for key in (kind, ALL_KINDS):
            if key in self._events or len(self._events) < MAX_KINDS:
                self._events.setdefault(key, _Mean()).add(events)

    def pause_s(self, service: str, model: str) -> float:
        """Return the mean pause between events, seconds; 0 if it is not known."""
        mean = self._pauses.get((service, model))
        return mean.value if mean is not None else 0.0

    def estimate(
        self,
        service: str,
        model: str,
        kind: str,
        prompt_tokens: float,
        shared_tokens: float,
        model_costs: Mapping[str, float],
    ) -> RequestWork:
        """Return the expected work of a request.

        :param kind: type of the request.
        :param prompt_tokens: tokens of the prompt.
        :param shared_tokens: tokens of its prefix that other prompts share.
        :param model_costs: cost of each model, in any unit.
        """
        events = self._events.get(kind) or self._events.get(ALL_KINDS)
        answer_s = self.pause_s(service, model) * (events.value if events else 0.0)
        times = self._first_events.get(service)
        if times is None:
            return RequestWork(answer_s=answer_s)
        return RequestWork(
            times.wait_s,
            times.reading_s(model, prompt_tokens, model_costs),
            times.reading_s(model, shared_tokens, model_costs),
            answer_s,
        )
