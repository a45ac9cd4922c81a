"""A gateway's current view of configuration, replicas and roll-outs."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from functools import partial
from typing import NamedTuple

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.metrics import Metrics, record_state_change
from lentilshore_kernel.types import StateChange
from lentilshore_routing.observations import merge_observations
from lentilshore_routing.placement import Placement, Replica
from lentilshore_routing.rollout_record import Rollout, allowed_versions
from lentilshore_routing.routes import RouteTable


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


class FleetView:
    """One gateway's copy of the store's state, each part at the newest revision read.

    :param clock: measures ages; must count time spent suspended.
    :param placement: receives the replicas and their changes.
    :param vanished_grace_s: how long a replica that vanished from the list
        without being marked as draining may still receive requests, seconds.
    :param metrics: counts the changes.
    """

    def __init__(
        self,
        clock: Clock,
        placement: Placement,
        vanished_grace_s: float,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._placement = placement
        self._vanished_grace_s = vanished_grace_s
        self._table: RouteTable | None = None
        self._confirmed_at: float | None = None
        self._records: dict[str, ReplicaRecord] = {}
        # Monotonic time at which each vanished replica was missed first, by identity.
        self._vanished_at: dict[str, float] = {}
        self._rollouts: dict[str, Rollout] = {}
        self._replicas_read = False
        self._started_at = clock.monotonic()
        # Number of non-draining replicas by service and version.
        self._version_counts: dict[str, dict[str, int]] = {}
        # Names of the replicas that are not draining and run an allowed version.
        self._usable_names: set[str] = set()
        self._log_change = partial(record_state_change, metrics)

    @property
    def table(self) -> RouteTable | None:
        """Configuration in force, None before the first one is read."""
        return self._table

    @property
    def rollouts(self) -> Mapping[str, Rollout]:
        """Roll-outs by service."""
        return self._rollouts

    @property
    def complete(self) -> bool:
        """Whether configuration and replicas have each been read at least once."""
        return self._table is not None and self._replicas_read

    @property
    def age_s(self) -> float:
        """Time since this view was created, seconds."""
        return self._clock.monotonic() - self._started_at

    @property
    def confirmed_age_s(self) -> float:
        """Time since the start of the last successful configuration read, seconds.

        Infinite before the first.
        """
        if self._confirmed_at is None:
            return float("inf")
        return self._clock.monotonic() - self._confirmed_at

    def confirm_table(self, read_started_at: float) -> None:
        """Record that a read has confirmed the configuration to be the newest.

        :param read_started_at: monotonic time at which the read began.
        """
        if self._confirmed_at is None or read_started_at > self._confirmed_at:
            self._confirmed_at = read_started_at

    def update_table(self, table: RouteTable) -> bool:
        """Put a configuration in force if it is newer than the current one.

        :returns: whether it was newer.
        """
        if self._table is not None and table.version <= self._table.version:
            return False
        previous_version = self._table.version if self._table else 0
        self._table = table
        self._log_change(
            StateChange.CONFIGURATION_TAKEN_UP,
            version=table.version,
            previous=previous_version,
            routes=table.route_count,
        )
        return True

    def version_counts(self, service: str) -> Mapping[str, int]:
        """Return the number of non-draining replicas of a service by version."""
        return self._version_counts.get(service, {})

    def knows_version(self, service: str, version: str) -> bool:
        """Return whether a replica of this version is known that is not draining."""
        return version in self._version_counts.get(service, {})

    def replace_replicas(self, records: Iterable[ReplicaRecord]) -> None:
        """Replace all replicas; those missing from the new list count as vanished.

        A vanished replica is kept until its grace period ends, unless it was draining.
        """
        listed = {record.identity: record for record in records}
        for identity in self._records.keys() - listed.keys():
            self._mark_vanished(identity)
        for record in listed.values():
            self._store_record(record)
        self._replicas_read = True
        self._update_placement()

    def update_replica(self, record: ReplicaRecord) -> None:
        """Add or replace one replica."""
        self._store_record(record)
        self._update_placement()

    def remove_replica(self, identity: str) -> None:
        """Handle the removal of a replica's record from the store.

        The replica is removed at once if it was draining, else marked as vanished.
        """
        if identity in self._records:
            self._mark_vanished(identity)
            self._update_placement()

    def replace_rollouts(self, rollouts: Iterable[Rollout]) -> None:
        """Replace all roll-outs; a known one at a newer revision is kept."""
        listed = {rollout.service: rollout for rollout in rollouts}
        for service in self._rollouts.keys() - listed.keys():
            self._log_change(StateChange.ROLLOUT_GONE, service=service)
            del self._rollouts[service]
        for rollout in listed.values():
            self.update_rollout(rollout)

    def update_rollout(self, rollout: Rollout) -> None:
        """Add or replace one roll-out unless the known one is at least as new."""
        known = self._rollouts.get(rollout.service)
        if known is not None and known.revision >= rollout.revision:
            return
        self._rollouts[rollout.service] = rollout
        self._log_change(
            StateChange.ROLLOUT_SEEN,
            service=rollout.service,
            candidate=rollout.candidate,
            state=rollout.state or "ordered",
            stage=rollout.stage,
            revision=rollout.revision,
            **_evidence_fields(rollout),
        )
        self._update_placement()

    def remove_rollout(self, service: str) -> None:
        """Remove the roll-out of a service, if one is known."""
        if self._rollouts.pop(service, None) is not None:
            self._log_change(StateChange.ROLLOUT_GONE, service=service)
            self._update_placement()

    def expire_vanished_replicas(self) -> None:
        """Remove replicas whose grace period after vanishing has ended."""
        vanished_until = self._clock.monotonic() - self._vanished_grace_s
        expired = [
            identity
            for identity, vanished_at in self._vanished_at.items()
            if vanished_at <= vanished_until
        ]
        for identity in expired:
            del self._vanished_at[identity]
            record = self._records.pop(identity)
            self._log_change(
                StateChange.REPLICA_GONE, replica=identity, service=record.service
            )
        if expired:
            self._update_placement()

    def usable(self, replica_name: str) -> bool:
        """Return whether requests may be sent to a replica.

        :param replica_name: name of the replica in placement.
        """
        return replica_name in self._usable_names

    def _store_record(self, record: ReplicaRecord) -> None:
        known = self._records.get(record.identity)
        self._vanished_at.pop(record.identity, None)
        self._records[record.identity] = record
        if known == record:
            return
        change = StateChange.REPLICA_SEEN
        if known is not None:
            same_process = known.started_ms == record.started_ms
            change = (
                StateChange.REPLICA_CHANGED
                if same_process
                else StateChange.REPLICA_REBORN
            )
        self._log_change(
            change,
            replica=record.identity,
            service=record.service,
            version=record.version,
            address=record.replica.address,
            leaving=record.replica.draining,
        )

    def _mark_vanished(self, identity: str) -> None:
        if identity in self._vanished_at:
            return
        record = self._records[identity]
        self._log_change(
            StateChange.REPLICA_VANISHED, replica=identity, service=record.service
        )
        if record.replica.draining:
            del self._records[identity]
            return
        self._vanished_at[identity] = self._clock.monotonic()

    def _update_placement(self) -> None:
        self._placement.update(record.replica for record in self._records.values())
        versions: dict[str, dict[str, int]] = {}
        for record in self._records.values():
            if record.replica.draining:
                continue
            counts = versions.setdefault(record.service, {})
            counts[record.version] = counts.get(record.version, 0) + 1
        self._version_counts = versions
        self._usable_names = {
            record.replica.name
            for record in self._records.values()
            if not record.replica.draining and self._is_version_allowed(record)
        }

    def _is_version_allowed(self, record: ReplicaRecord) -> bool:
        rollout = self._rollouts.get(record.service)
        versions = self._version_counts[record.service]
        return record.version in allowed_versions(rollout, versions)


def _evidence_fields(rollout: Rollout) -> dict[str, str]:
    """Return the evidence of a roll-out as fields of a log line."""
    sums = merge_observations(rollout.observations.values())
    excess = sums.log_latencies.mean - sums.base_log_latencies.mean
    return {
        "errors": f"{sums.errors.bad}/{sums.errors.total}",
        "base_errors": f"{sums.base_errors.bad}/{sums.base_errors.total}",
        "times_as_long": f"{math.exp(excess):.2f}",
        "spread": f"{sums.log_latencies.variance**0.5:.2f}/"
        f"{sums.base_log_latencies.variance**0.5:.2f}",
        "timed": f"{sums.log_latencies.count}/{sums.base_log_latencies.count}",
    }
