"""What one node sees of versions: failures, and times beside the usual."""

from __future__ import annotations

import math

from .observations import Moments, Observations
from .rollout_record import Rollout, evidence_key
from .rollouts import Tally

# Names of failing replicas that a node reports.
MAX_FAILED_REPLICAS = 4
# Weight of a new time in a mean.
MIN_MEAN_WEIGHT = 0.1


class VersionEvidence:
    """What a node has seen of versions, by roll-out."""

    def __init__(self) -> None:
        self._usual = LatencyBaseline()
        self._errors: dict[str, Tally] = {}
        self._times: dict[str, Moments] = {}
        self._failing: dict[str, set[str]] = {}

    def record_answer(
        self, rollout: Rollout | None, place: tuple[str, str, str], bad: bool
    ) -> None:
        """Count an answer.

        :param rollout: the service's roll-out, if there is one.
        :param place: service, version and replica.
        :param bad: whether the answer is a failure.
        """
        service, version, replica = place
        key = evidence_key(rollout, service, version)
        self._errors[key] = self._errors.get(key, Tally()).add(bad)
        if bad:
            self._failing.setdefault(key, set()).add(replica)

    def record_latency(
        self,
        rollout: Rollout | None,
        place: tuple[str, str, str],
        kind: str,
        seconds: float,
    ) -> None:
        """Compare a time with the base's, or take it as one of the base's.

        :param kind: times of one kind may be compared.
        """
        service, version, _ = place
        usual_s = self._usual.expected_s(kind)
        if usual_s > 0 and seconds > 0:
            key = evidence_key(rollout, service, version)
            value = math.log(seconds / usual_s)
            self._times[key] = self._times.get(key, Moments()).add(value)
        if rollout is None or version != rollout.candidate:
            self._usual.add(kind, seconds)

    def observations(self, rollout: Rollout) -> Observations:
        """Return what was seen of a roll-out's versions."""
        candidate, base = rollout.candidate_key, rollout.base_key
        failing = sorted(self._failing.get(candidate, ()))
        return Observations(
            self._errors.get(candidate, Tally()),
            self._errors.get(base, Tally()),
            self._times.get(candidate, Moments()),
            self._times.get(base, Moments()),
            tuple(failing[:MAX_FAILED_REPLICAS]),
        )


class LatencyBaseline:
    """Mean time to an answer by kind of work."""

    def __init__(self) -> None:
        self._means: dict[str, tuple[float, int]] = {}

    def add(self, kind: str, seconds: float) -> None:
        """Take in an answer of the base version."""
        mean, count = self._means.get(kind, (seconds, 0))
        mean += (seconds - mean) * max(MIN_MEAN_WEIGHT, 1 / (count + 1))
        self._means[kind] = (mean, count + 1)

    def expected_s(self, kind: str) -> float:
        """Return the mean time to an answer, 0 if none is known."""
        return self._means.get(kind, (0.0, 0))[0]


def latency_kind(route: str, model: str, prompt_tokens: int) -> str:
    """Return the kind of work whose times may be compared.

    Times to the first event grow with the prompt, so that prompts of unlike
    sizes are kept apart.
    """
    return f"{route}/{model}/{prompt_tokens.bit_length()}"
