"""Comparison of the replicas that a request may be sent to."""

from __future__ import annotations

import random
from typing import NamedTuple, Protocol

from lentilshore_kernel.types import Priority

from .replica_backlog import ReplicaBacklogs
from .replicas import Replica
from .work_model import RequestWork

# The share of the requests that a replica gets falls with this power of its expected
# time. Nodes that read the same news must not all choose the same replica: where all
# take the least expected time, most replicas of a simulated load stood idle while
# others rejected a tenth of the requests; with 4, first events were later than with 2.
PREFERENCE_POWER = 2.0
# Work added to the load of a replica in another data centre, as a share of the work of
# the request: transferring its bytes costs about a tenth of what processing it does.
REMOTE_WORK_SHARE = 0.1


class ScoredRequest(NamedTuple):
    """What is known of a request when its replica is chosen.

    :param work_tokens: expected tokens of prompt and answer.
    :param prefix: hash of the prompt's shared prefix, empty for none.
    :param priority: priority of the request.
    :param work: its expected work; None if it is not estimated.
    """

    work_tokens: float
    prefix: str
    priority: Priority
    work: RequestWork | None = None


class ReplicaScorer(Protocol):
    """Compares replicas; the one with the lowest score is chosen."""

    def score(self, replica: Replica, request: ScoredRequest, cached: bool) -> float:
        """Return the score of a replica for a request.

        :param cached: whether it is expected to have the prompt's prefix cached.
        """


class WorkScorer:
    """Scores replicas by the time until they have done the request's work.

    :param backlogs: speeds and backlogs of the replicas.
    :param random_source: breaks ties.
    :param data_centre: data centre of this node; empty for no preference.
    """

    def __init__(
        self,
        backlogs: ReplicaBacklogs,
        random_source: random.Random,
        data_centre: str,
    ) -> None:
        self._backlogs = backlogs
        self._random = random_source
        self._data_centre = data_centre

    def score(self, replica: Replica, request: ScoredRequest, cached: bool) -> float:
        """Return the expected time until the work is done, randomized, seconds.

        The least of exponential variates is each in proportion to its rate.
        """
        work = work_at(request.work or RequestWork(), cached)
        expected_s = self._backlogs.expected_s(replica.name, work, replica.places)
        if self._data_centre not in ("", replica.data_centre):
            expected_s += work.reading_s * REMOTE_WORK_SHARE
        return expected_s * self._random.expovariate(1.0) ** (1.0 / PREFERENCE_POWER)


def work_at(work: RequestWork, cached: bool) -> RequestWork:
    """Return the work that is left where the prompt's prefix is cached or not."""
    if not cached:
        return work
    reading_s = max(0.0, work.reading_s - work.saved_s)
    return work._replace(reading_s=reading_s, saved_s=0.0)
