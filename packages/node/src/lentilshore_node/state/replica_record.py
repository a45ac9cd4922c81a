"""Records of replicas in the store, and which of their processes have left."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from lentilshore_routing.replicas import Replica

# Replicas that have left are remembered, since a restored store may list them again.
DEPARTED_REPLICAS_LIMIT = 1024


class ReplicaRecord(NamedTuple):
    """A replica as registered in the store.

    :param identity: identifier of the process.
    :param started_ms: start of the process, milliseconds since the Unix epoch;
        distinguishes restarts under the same identifier. 0 if not known.
    :param service: service that the process serves.
    :param version: version of the process's software.
    :param replica: the replica as passed to placement.
    """

    identity: str
    started_ms: int
    service: str
    version: str
    replica: Replica


class DepartureLog:
    """Processes of replicas that have left, with the era of the store at that time."""

    def __init__(self) -> None:
        # By identity and start time, oldest first.
        self._eras: OrderedDict[tuple[str, int], int] = OrderedDict()

    def record(self, record: ReplicaRecord, era: int) -> None:
        """Record that a process has left, or has begun to."""
        self._eras[record.identity, record.started_ms] = era
        if len(self._eras) > DEPARTED_REPLICAS_LIMIT:
            self._eras.popitem(last=False)

    def forget(self, record: ReplicaRecord) -> None:
        """Record that a process serves again."""
        self._eras.pop((record.identity, record.started_ms), None)

    def apply(self, record: ReplicaRecord, era: int) -> ReplicaRecord:
        """Return a listed replica, as draining if it left in an earlier era.

        :param era: era of the store in which the replica was listed.
        """
        if record.replica.draining:
            self.record(record, era)
            return record
        if self._eras.get((record.identity, record.started_ms), era) >= era:
            self.forget(record)
            return record
        return record._replace(replica=record.replica._replace(draining=True))
