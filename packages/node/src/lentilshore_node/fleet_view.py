"""What a node believes of configuration, replicas and roll-outs, and since when."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from functools import partial
from typing import NamedTuple

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.metrics import Metrics, record_state_change
from lentilshore_kernel.types import StateChange
from lentilshore_routing.placement import Placement, Replica
from lentilshore_routing.rollout_record import Rollout, allowed_versions
from lentilshore_routing.routes import RouteTable
from lentilshore_routing.sightings import join_sightings


class ReplicaRecord(NamedTuple):
    """An entry of the list of replicas.

    :param identity: identifier of the process.
    :param born: start of the process, milliseconds since the Unix epoch; tells
        apart two lives under one identifier. 0 if not told.
    :param service: service that it serves.
    :param version: version of its software.
    :param replica: the replica as placement knows it.
    """

    identity: str
    born: int
    service: str
    version: str
    replica: Replica


class FleetView:
    """Beliefs of one node, each as new as the newest revision it has read.

    :param clock: tells the age of beliefs; counts time spent suspended.
    :param placement: gets the replicas.
    :param vanished_s: how long a replica that vanished from the list without
        leaving may still get requests, seconds.
    :param metrics: counts the changes.
    """

    def __init__(
        self,
        clock: Clock,
        placement: Placement,
        vanished_s: float,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._placement = placement
        self._vanished_s = vanished_s
        self._table: RouteTable | None = None
        self._confirmed_at: float | None = None
        self._records: dict[str, ReplicaRecord] = {}
        self._vanished: dict[str, float] = {}
        self._rollouts: dict[str, Rollout] = {}
        self._listed = False
        self._started_at = clock.monotonic()
        self._versions: dict[str, dict[str, int]] = {}
        self._usable: set[str] = set()
        self._note = partial(record_state_change, metrics)

    @property
    def table(self) -> RouteTable | None:
        """Configuration in force, None before the first."""
        return self._table

    @property
    def rollouts(self) -> Mapping[str, Rollout]:
        """Roll-outs by service."""
        return self._rollouts

    @property
    def complete(self) -> bool:
        """Whether configuration and replicas have been read."""
        return self._table is not None and self._listed

    @property
    def age_s(self) -> float:
        """Time since the node's start, seconds."""
        return self._clock.monotonic() - self._started_at

    @property
    def confirmed_age_s(self) -> float:
        """Age of the newest proof that the configuration is current, seconds."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock.monotonic() - self._confirmed_at

    def confirm(self, asked_at: float) -> None:
        """Note that a read that began then has returned the newest configuration."""
        if self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at

    def take_table(self, table: RouteTable) -> bool:
        """Take up a configuration unless it is older than the one in force."""
        if self._table is not None and table.version <= self._table.version:
            return False
        previous = self._table.version if self._table else 0
        self._table = table
        self._note(
            StateChange.CONFIGURATION_TAKEN_UP,
            version=table.version,
            previous=previous,
            routes=table.route_count,
        )
        return True

    def versions(self, service: str) -> Mapping[str, int]:
        """Return the number of usable replicas of a service by version."""
        return self._versions.get(service, {})

    def knows_version(self, service: str, version: str) -> bool:
        """Tell whether a version of a service has been seen before."""
        return version in self._versions.get(service, {})

    def take_list(self, records: Iterable[ReplicaRecord]) -> None:
        """Replace the list of replicas; those missing have vanished."""
        found = {record.identity: record for record in records}
        for identity in self._records.keys() - found.keys():
            self._vanish(identity)
        for record in found.values():
            self._enter(record)
        self._listed = True
        self._apply()

    def take_record(self, record: ReplicaRecord) -> None:
        """Take in a new or changed entry."""
        self._enter(record)
        self._apply()

    def drop_record(self, identity: str) -> None:
        """Note that an entry was removed."""
        if identity in self._records:
            self._vanish(identity)
            self._apply()

    def take_rollouts(self, rollouts: Iterable[Rollout]) -> None:
        """Replace the roll-outs, keeping any that is newer."""
        found = {rollout.service: rollout for rollout in rollouts}
        for service in self._rollouts.keys() - found.keys():
            self._note(StateChange.ROLLOUT_GONE, service=service)
            del self._rollouts[service]
        for rollout in found.values():
            self.take_rollout(rollout)

    def take_rollout(self, rollout: Rollout) -> None:
        """Take in a roll-out unless an equally new one is known."""
        known = self._rollouts.get(rollout.service)
        if known is not None and known.revision >= rollout.revision:
            return
        self._rollouts[rollout.service] = rollout
        self._note(
            StateChange.ROLLOUT_SEEN,
            service=rollout.service,
            candidate=rollout.candidate,
            state=rollout.state or "ordered",
            stage=rollout.stage,
            revision=rollout.revision,
            **_shown(rollout),
        )
        self._apply()

    def drop_rollout(self, service: str) -> None:
        """Note that a roll-out's order was removed."""
        if self._rollouts.pop(service, None) is not None:
            self._note(StateChange.ROLLOUT_GONE, service=service)
            self._apply()

    def expire(self) -> None:
        """Drop replicas that vanished too long ago."""
        limit = self._clock.monotonic() - self._vanished_s
        expired = [name for name, at in self._vanished.items() if at <= limit]
        for name in expired:
            del self._vanished[name]
            record = self._records.pop(name)
            self._note(StateChange.REPLICA_GONE, replica=name, service=record.service)
        if expired:
            self._apply()

    def usable(self, record_name: str) -> bool:
        """Tell whether a replica may still get requests."""
        return record_name in self._usable

    def _enter(self, record: ReplicaRecord) -> None:
        known = self._records.get(record.identity)
        self._vanished.pop(record.identity, None)
        self._records[record.identity] = record
        if known == record:
            return
        change = StateChange.REPLICA_SEEN
        if known is not None:
            same = known.born == record.born
            change = StateChange.REPLICA_CHANGED if same else StateChange.REPLICA_REBORN
        self._note(
            change,
            replica=record.identity,
            service=record.service,
            version=record.version,
            address=record.replica.address,
            leaving=record.replica.leaving,
        )

    def _vanish(self, identity: str) -> None:
        if identity in self._vanished:
            return
        record = self._records[identity]
        self._note(
            StateChange.REPLICA_VANISHED, replica=identity, service=record.service
        )
        if record.replica.leaving:
            del self._records[identity]
            return
        self._vanished[identity] = self._clock.monotonic()

    def _apply(self) -> None:
        self._placement.update(record.replica for record in self._records.values())
        versions: dict[str, dict[str, int]] = {}
        for record in self._records.values():
            if record.replica.leaving:
                continue
            counts = versions.setdefault(record.service, {})
            counts[record.version] = counts.get(record.version, 0) + 1
        self._versions = versions
        self._usable = {
            record.replica.name
            for record in self._records.values()
            if not record.replica.leaving and self._allowed(record)
        }

    def _allowed(self, record: ReplicaRecord) -> bool:
        rollout = self._rollouts.get(record.service)
        versions = self._versions[record.service]
        return record.version in allowed_versions(rollout, versions)


def _shown(rollout: Rollout) -> dict[str, str]:
    """Return the evidence of a roll-out for a log line."""
    seen = join_sightings(rollout.sightings.values())
    excess = seen.times.mean - seen.base_times.mean
    return {
        "errors": f"{seen.errors.bad}/{seen.errors.total}",
        "base_errors": f"{seen.base_errors.bad}/{seen.base_errors.total}",
        "times_as_long": f"{math.exp(excess):.2f}",
        "spread": f"{seen.times.variance**0.5:.2f}/{seen.base_times.variance**0.5:.2f}",
        "timed": f"{seen.times.count}/{seen.base_times.count}",
    }
