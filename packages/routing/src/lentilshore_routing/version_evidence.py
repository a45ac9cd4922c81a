"""Evidence on versions from one node: failures and latencies relative to a baseline."""

from __future__ import annotations

import itertools
import math

from .observations import Moments, Observations
from .rollout_record import Rollout, evidence_key
from .rollouts import Tally
from .staging import TRIAL_STAGE

# Limits the replicas named in a report; the test for failures needs only two.
MAX_FAILED_REPLICAS = 4
# Minimum weight of a new latency in a moving mean.
MIN_MEAN_WEIGHT = 0.1
# An answer on trial that has not come after this multiple of its expected time counts
# as having taken the time so far: slow answers come too late for the verdict.
OVERDUE_FACTOR = 2.0


class VersionEvidence:
    """Failures and latencies of versions as one node has observed them."""

    def __init__(self) -> None:
        self._baseline = LatencyBaseline()
        self._errors: dict[str, Tally] = {}
        self._log_latencies: dict[str, Moments] = {}
        self._failed_replicas: dict[str, set[str]] = {}
        # Latency key, kind of work and start of each answer that is awaited.
        self._waits: dict[int, tuple[str, str, float]] = {}
        self._wait_numbers = itertools.count()

    def begin_wait(
        self,
        rollout: Rollout | None,
        upstream: tuple[str, str, str],
        kind: str,
        now: float,
    ) -> int | None:
        """Record that an answer of a candidate on trial is awaited.

        The other parameters are those of :meth:`record_latency`.

        :param now: time on the node's clock, seconds.
        :returns: number to pass to :meth:`end_wait`; None if there is no trial.
        """
        service, version, _ = upstream
        if rollout is None or rollout.stage != TRIAL_STAGE:
            return None
        if version != rollout.candidate:
            return None
        number = next(self._wait_numbers)
        key = _latency_key(rollout, evidence_key(rollout, service, version))
        self._waits[number] = (key, kind, now)
        return number

    def end_wait(self, number: int | None) -> None:
        """Record that an answer has come, or is no longer awaited."""
        if number is not None:
            self._waits.pop(number, None)

    def record_answer(
        self, rollout: Rollout | None, upstream: tuple[str, str, str], bad: bool
    ) -> None:
        """Count an answer as a success or a failure.

        :param rollout: the service's roll-out, if there is one.
        :param upstream: service, version and replica.
        :param bad: whether the answer is a failure.
        """
        service, version, replica = upstream
        key = evidence_key(rollout, service, version)
        self._errors[key] = self._errors.get(key, Tally()).add(bad)
        if bad:
            self._failed_replicas.setdefault(key, set()).add(replica)

    def record_latency(
        self,
        rollout: Rollout | None,
        upstream: tuple[str, str, str],
        kind: str,
        latency_s: float,
    ) -> None:
        """Record a latency as a multiple of the baseline.

        The latency of a base version is also added to the baseline.

        :param rollout: the service's roll-out, if there is one.
        :param upstream: service, version and replica.
        :param kind: kind of work; only latencies of one kind are compared.
        :param latency_s: time to the answer, to its first event or between events,
            seconds.
        """
        service, version, _ = upstream
        expected_s = self._baseline.expected_s(kind)
        if expected_s > 0 and latency_s > 0:
            key = _latency_key(rollout, evidence_key(rollout, service, version))
            log_latency = math.log(latency_s / expected_s)
            self._log_latencies[key] = self._log_latencies.get(key, Moments()).add(
                log_latency
            )
        if rollout is None or version != rollout.candidate:
            self._baseline.add(kind, latency_s)

    def observations(self, rollout: Rollout, now: float = 0.0) -> Observations:
        """Return the observations of a roll-out's candidate and base.

        During its trial, the latencies of the candidate are those of the trial only,
        with the time so far of answers that are overdue.

        :param now: time on the node's clock, seconds.
        """
        candidate, base = rollout.candidate_key, rollout.base_key
        latencies = _latency_key(rollout, candidate)
        failed = sorted(self._failed_replicas.get(candidate, ()))
        return Observations(
            self._errors.get(candidate, Tally()),
            self._errors.get(base, Tally()),
            self._with_overdue(latencies, now),
            self._log_latencies.get(base, Moments()),
            tuple(failed[:MAX_FAILED_REPLICAS]),
        )

    def _with_overdue(self, latency_key: str, now: float) -> Moments:
        found = self._log_latencies.get(latency_key, Moments())
        for key, kind, started_at in self._waits.values():
            expected_s = self._baseline.expected_s(kind)
            waited_s = now - started_at
            if key == latency_key and waited_s > OVERDUE_FACTOR * expected_s > 0:
                found = found.add(math.log(waited_s / expected_s))
        return found


def _latency_key(rollout: Rollout | None, key: str) -> str:
    """Return the key of latencies, which is another one for a candidate on trial."""
    if rollout is None or rollout.stage != TRIAL_STAGE or key != rollout.candidate_key:
        return key
    return f"{key}/trial"


class LatencyBaseline:
    """Moving means of the latencies of base versions, by kind of work."""

    def __init__(self) -> None:
        # Mean in seconds and number of latencies, by kind of work.
        self._means: dict[str, tuple[float, int]] = {}

    def add(self, kind: str, latency_s: float) -> None:
        """Add a latency of a base version.

        :param kind: kind of work.
        :param latency_s: the latency, seconds.
        """
        mean, count = self._means.get(kind, (latency_s, 0))
        mean += (latency_s - mean) * max(MIN_MEAN_WEIGHT, 1 / (count + 1))
        self._means[kind] = (mean, count + 1)

    def expected_s(self, kind: str) -> float:
        """Return the mean latency of a kind of work in seconds, 0 if none is known."""
        return self._means.get(kind, (0.0, 0))[0]


def latency_kind(route: str, model: str, prompt_tokens: int) -> str:
    """Return the kind of work, within which latencies may be compared.

    Latencies to the first event grow with the prompt, so prompts of different sizes
    are kept apart.
    """
    return f"{route}/{model}/{prompt_tokens.bit_length()}"
