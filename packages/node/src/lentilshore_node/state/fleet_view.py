"""A gateway's current view of configuration, replicas and roll-outs."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import partial

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.metrics import Metrics, record_state_change
from lentilshore_kernel.types import Address, StateChange
from lentilshore_routing.placement import Placement
from lentilshore_routing.replicas import Replica
from lentilshore_routing.rollout_record import Rollout, allowed_versions
from lentilshore_routing.routes import RouteTable

from .cold_replicas import ColdReplicas
from .data_centre_closures import DataCentreClosures
from .replica_record import AnnouncedDepartures, DepartureLog, ReplicaRecord
from .rollout_progress import RolloutProgress

# A replica that a restored store no longer lists registers again within two seconds.
RESTORED_REPLICA_GRACE_S = 2.5


class FleetView:
    """One gateway's copy of the store's state, each part at the newest revision read.

    :param clock: measures ages; must count time spent suspended.
    :param placement: receives the replicas and their changes.
    :param vanished_grace_s: how long a replica that vanished from the list
        without being marked as draining may still receive requests, seconds.
    :param metrics: counts the changes.
    :param cold: receives the replicas, and limits the requests to cold ones; None
        where no replica is cold.
    """

    def __init__(
        self,
        clock: Clock,
        placement: Placement,
        vanished_grace_s: float,
        metrics: Metrics,
        cold: ColdReplicas | None = None,
    ) -> None:
        self._cold = cold
        self._clock = clock
        self._placement = placement
        self._vanished_grace_s = vanished_grace_s
        self._table: RouteTable | None = None
        self._confirmed_at: float | None = None
        self._records: dict[str, ReplicaRecord] = {}
        # Monotonic time until which each vanished replica is kept, by identity.
        self._vanished_until: dict[str, float] = {}
        self._rollouts = RolloutProgress(clock, metrics)
        self._closures = DataCentreClosures(clock, metrics)
        # Era of the store in which the replicas were listed last.
        self._replica_era = 0
        self._departures = DepartureLog()
        self._announced = AnnouncedDepartures()
        self._replicas_read = False
        self._started_at = clock.monotonic()
        # Number of non-draining replicas by service and version.
        self._version_counts: dict[str, dict[str, int]] = {}
        # The same of those that may be used, while data centres are closed.
        self._open_version_counts = self._version_counts
        # Names of the replicas that are not draining, run an allowed version and are in
        # no closed data centre.
        self._usable_names: set[str] = set()
        self._records_by_address: dict[Address, ReplicaRecord] = {}
        self._log_change = partial(record_state_change, metrics)

    @property
    def table(self) -> RouteTable | None:
        """Configuration in force, None before the first one is read."""
        return self._table

    @property
    def rollouts(self) -> Mapping[str, Rollout]:
        """Roll-outs by service."""
        return self._rollouts.by_service

    @property
    def complete(self) -> bool:
        """Whether all that requests need has been read at least once.

        That is the configuration, the replicas and, if required, the closures.
        """
        if self._closures.missing:
            return False
        return self._table is not None and self._replicas_read

    @property
    def closed_data_centres(self) -> frozenset[str]:
        """Data centres to whose replicas nothing may be sent."""
        return self._closures.closed

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

    def confirm_table(self, version: int, read_started_at: float) -> None:
        """Record that a read has confirmed the configuration to be the newest.

        A read of an older version, from a restored store, confirms nothing.

        :param version: version that was read.
        :param read_started_at: monotonic time at which the read began.
        """
        if self._table is None or version < self._table.version:
            return
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
        if self._cold is not None:
            self._cold.set_phases(table.cold_phases)
        self._log_change(
            StateChange.CONFIGURATION_TAKEN_UP,
            version=table.version,
            previous=previous_version,
            routes=table.route_count,
        )
        return True

    def version_counts(self, service: str) -> Mapping[str, int]:
        """Return the number of non-draining replicas of a service by version.

        While data centres are closed, only replicas that may be used count.
        """
        return self._open_version_counts.get(service, {})

    def knows_version(self, service: str, version: str) -> bool:
        """Return whether a replica of this version is known that is not draining."""
        return version in self._version_counts.get(service, {})

    def replace_replicas(
        self,
        records: Iterable[ReplicaRecord],
        era: int = 0,
        removed_after: float | None = None,
    ) -> None:
        """Replace all replicas; those missing from the new list count as vanished.

        A vanished replica is kept until its grace period ends, unless it was draining.
        A replica that was draining or gone stays unusable if a restored store lists it
        as usable, until it registers again.

        :param era: era of the store in which the replicas were listed.
        :param removed_after: see :meth:`remove_replica`.
        """
        restored = self._replicas_read and era > self._replica_era
        self._replica_era = era
        listed = {r.identity: self._departures.apply(r, era) for r in records}
        kept_until = self._vanished_until_after(removed_after)
        if restored:
            restored_until = self._clock.monotonic() + RESTORED_REPLICA_GRACE_S
            kept_until = max(kept_until, restored_until)
        for identity in self._records.keys() - listed.keys():
            self._mark_vanished(identity, kept_until)
        for record in listed.values():
            self._store_record(record, written=False)
        self._replicas_read = True
        self._update_placement()

    def update_replica(self, record: ReplicaRecord) -> None:
        """Add or replace one replica after a change of its record in the store."""
        if record.replica.draining:
            self._departures.record(record, self._replica_era)
        else:
            self._departures.forget(record)
        self._store_record(record, written=True)
        self._update_placement()

    def remove_replica(self, identity: str, removed_after: float | None = None) -> None:
        """Handle the removal of a replica's record from the store.

        The replica is removed at once if it was draining, else marked as vanished.

        :param removed_after: time after which the record was removed, from which the
            grace period counts, on the node's clock, seconds; None to count it from
            now.
        """
        if identity in self._records:
            kept_until = self._vanished_until_after(removed_after)
            self._mark_vanished(identity, kept_until)
            self._update_placement()

    def record_leaving(self, replica: Replica) -> None:
        """Record that a replica has said in an answer that it leaves.

        It stays unusable, whatever the store lists, until a later process registers.
        """
        if not self._announced.record(replica.name):
            return
        identity = replica.identity or replica.name
        self._log_change(StateChange.REPLICA_LEAVING, replica=identity)
        record = self._records.get(identity)
        if record is None or record.replica.name != replica.name:
            return
        record = self._records[identity] = self._announced.apply(record)
        if self._vanished_until.pop(identity, None) is not None:
            del self._records[identity]
            self._departures.record(record, self._replica_era)
        self._update_placement()

    def replace_rollouts(self, rollouts: Iterable[Rollout], era: int = 0) -> None:
        """Replace all roll-outs, see :meth:`RolloutProgress.replace`.

        :param era: era of the store in which the roll-outs were listed.
        """
        self._rollouts.replace(rollouts, era)
        self._update_placement()

    def update_rollout(self, rollout: Rollout) -> None:
        """Add or replace one roll-out unless the known one is at least as new."""
        if self._rollouts.update(rollout):
            self._update_placement()

    def remove_rollout(self, service: str) -> None:
        """Remove the roll-out of a service, if one is known."""
        if self._rollouts.remove(service):
            self._update_placement()

    def require_closures(self, required: bool) -> None:
        """Set whether no replica may be used until the closures have been read.

        A gateway that serves requests already goes on until it has read them.
        """
        self._closures.require(required and not self.complete)
        self._update_placement()

    def replace_closures(self, names: Iterable[str], era: int = 0) -> None:
        """Replace all closures, see :meth:`DataCentreClosures.replace`."""
        self._closures.replace(names, era)
        self._update_placement()

    def update_closure(self, name: str) -> None:
        """Close a data centre: nothing more is sent to its replicas."""
        self._closures.update(name)
        self._update_placement()

    def remove_closure(self, name: str) -> None:
        """Open a data centre."""
        self._closures.remove(name)
        self._update_placement()

    def forget_closures(self) -> None:
        """Open all data centres, since closures are no longer read."""
        self._closures.forget()
        self._update_placement()

    def expire_kept_closures(self) -> None:
        """Open data centres whose closure a restored store has lacked for a while."""
        closed = self.closed_data_centres
        self._closures.expire_kept()
        if self.closed_data_centres != closed:
            self._update_placement()

    def has_unwritten_progress(self, service: str) -> bool:
        """Return whether the store lacks progress of a service's roll-out."""
        return self._rollouts.has_unwritten_progress(service)

    def expire_kept_rollouts(self) -> None:
        """Replace kept roll-outs by the store's records once their time has passed."""
        if self._rollouts.expire_kept():
            self._update_placement()

    def expire_vanished_replicas(self) -> None:
        """Remove replicas whose grace period after vanishing has ended."""
        now = self._clock.monotonic()
        expired = [
            identity
            for identity, expires_at in self._vanished_until.items()
            if expires_at <= now
        ]
        for identity in expired:
            del self._vanished_until[identity]
            record = self._records.pop(identity)
            self._departures.record(record, self._replica_era)
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

    def service_replicas(self, service: str) -> list[Replica]:
        """Return the replicas of a service to which requests may be sent."""
        return [
            record.replica
            for record in self._records.values()
            if record.service == service and self.usable(record.replica.name)
        ]

    def find_replica(self, address: Address) -> ReplicaRecord | None:
        """Return the replica that listens at an address, None if none is known."""
        return self._records_by_address.get(address)

    def cold_remaining_s(self, identity: str) -> float:
        """Return for how long a replica stays cold, seconds; 0 if it is not cold."""
        record = self._records.get(identity)
        if record is None or self._cold is None:
            return 0.0
        return self._cold.remaining_s(record.replica.name)

    def expire_cold_replicas(self) -> None:
        """Log which replicas are no longer cold."""
        if self._cold is not None:
            self._cold.expire()

    def _store_record(self, listed: ReplicaRecord, written: bool) -> None:
        known = self._records.get(listed.identity)
        if self._cold is not None:
            same_process = (
                known is not None and known.replica.name == listed.replica.name
            )
            list_known = self._replicas_read and not same_process
            self._cold.note(listed, list_known, written)
        record = self._announced.apply(listed)
        self._vanished_until.pop(record.identity, None)
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

    def _vanished_until_after(self, removed_after: float | None) -> float:
        now = self._clock.monotonic()
        return (
            now if removed_after is None else removed_after
        ) + self._vanished_grace_s

    def _mark_vanished(self, identity: str, kept_until: float) -> None:
        if identity in self._vanished_until:
            return
        record = self._records[identity]
        kept_s = max(0.0, kept_until - self._clock.monotonic())
        self._log_change(
            StateChange.REPLICA_VANISHED,
            replica=identity,
            service=record.service,
            kept_s="0" if record.replica.draining else f"{kept_s:.2f}",
        )
        if record.replica.draining:
            del self._records[identity]
            self._departures.record(record, self._replica_era)
            return
        self._vanished_until[identity] = kept_until

    def _update_placement(self) -> None:
        closed = self.closed_data_centres
        known = [] if self._closures.missing else list(self._records.values())
        self._placement.set_closed(closed)
        self._placement.update(record.replica for record in known)
        active = [r for r in self._records.values() if not r.replica.draining]
        self._version_counts = _count_versions(active)
        self._records_by_address = {
            record.replica.address: record for record in self._records.values()
        }
        usable = [
            record
            for record in known
            if not record.replica.draining
            and record.replica.data_centre not in closed
            and self._is_version_allowed(record)
        ]
        self._usable_names = {record.replica.name for record in usable}
        self._open_version_counts = (
            _count_versions(usable) if closed else self._version_counts
        )

    def _is_version_allowed(self, record: ReplicaRecord) -> bool:
        rollout = self.rollouts.get(record.service)
        versions = self._version_counts[record.service]
        return record.version in allowed_versions(rollout, versions)


def _count_versions(records: Iterable[ReplicaRecord]) -> dict[str, dict[str, int]]:
    """Return the number of replicas by service and version."""
    versions: dict[str, dict[str, int]] = {}
    for record in records:
        counts = versions.setdefault(record.service, {})
        counts[record.version] = counts.get(record.version, 0) + 1
    return versions
