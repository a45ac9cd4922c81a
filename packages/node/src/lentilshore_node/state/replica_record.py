"""Records of replicas in the store, and which of their processes have left."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, NamedTuple

from lentilshore_routing.replicas import Replica

# Replicas that have left are remembered, since a restored store may list them again.
DEPARTED_REPLICAS_LIMIT = 1024
# More than leave in a day: one that is forgotten would be used again while it leaves.
ANNOUNCED_DEPARTURES_LIMIT = 8192


class ReplicaRecord(NamedTuple):
    """A replica as registered in the store.

    :param identity: identifier of the process.
    :param started_ms: start of the process, milliseconds since the Unix epoch;
        distinguishes restarts under the same identifier. 0 if not known.
    :param service: service that the process serves.
    :param version: version of the process's software.
    :param replica: the replica as passed to placement.
    :param cold_remaining_s: time for which it stays cold, as of when its entry was
        written, seconds; 0 if it is not cold.
    """

    identity: str
    started_ms: int
    service: str
    version: str
    replica: Replica
    cold_remaining_s: float = 0.0


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


class AnnouncedDepartures:
    """Processes of replicas that have said themselves that they leave.

    They stay departed whatever the store lists, since it may learn of it later or
    lose it again.
    """

    def __init__(self) -> None:
        # Names of the processes, oldest first.
        self._names: OrderedDict[str, None] = OrderedDict()
        # Start of the latest such process of an identity, where it is known.
        self._started_ms: OrderedDict[str, int] = OrderedDict()

    def record(self, replica_name: str) -> bool:
        """Record that a process has said that it leaves.

        :param replica_name: name of the replica in placement.
        :returns: whether that was not known.
        """
        if replica_name in self._names:
            return False
        self._names[replica_name] = None
        _trim(self._names)
        return True

    def apply(self, record: ReplicaRecord) -> ReplicaRecord:
        """Return a listed replica, as draining unless its process started later."""
        if record.replica.name in self._names:
            self._set_started(record.identity, record.started_ms)
        if record.started_ms > self._started_ms.get(record.identity, -1):
            return record
        return record._replace(replica=record.replica._replace(draining=True))

    def _set_started(self, identity: str, started_ms: int) -> None:
        known_ms = self._started_ms.pop(identity, started_ms)
        self._started_ms[identity] = max(known_ms, started_ms)
        _trim(self._started_ms)


def _trim(announced: OrderedDict[str, Any]) -> None:
    if len(announced) > ANNOUNCED_DEPARTURES_LIMIT:
        announced.popitem(last=False)
