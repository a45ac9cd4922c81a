"""A gateway's current view of configuration, replicas and roll-outs."""

from __future__ import annotations

import math
from collections import OrderedDict
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

# A replica that a restored store no longer lists registers again within two seconds.
RESTORED_REPLICA_GRACE_S = 2.5
# A restored store may lack a roll-out until the operators' system orders it again.
KEPT_ROLLOUT_S = 10.0
# Replicas that have left are remembered, since a restored store may list them again.
DEPARTED_REPLICAS_LIMIT = 1024


class KeptRollout(NamedTuple):
    """A roll-out that a restored store lacks and that stays in force for a while.

    :param until: monotonic time at which the store's record takes its place, seconds.
    :param stored: the store's record for the same service, None if there is none.
    """

    until: float
    stored: Rollout | None


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
        # Monotonic time until which each vanished replica is kept, by identity.
        self._vanished_until: dict[str, float] = {}
        self._rollouts: dict[str, Rollout] = {}
        # Era of the store in which the replicas were listed last.
        self._replica_era = 0
        # Era in which each replica began to leave, by identity and start time.
        self._departure_eras: OrderedDict[tuple[str, int], int] = OrderedDict()
        self._kept_rollouts: dict[str, KeptRollout] = {}
        # Era into which a roll-out's progress was carried over, by service. In that
        # era its progress does not go back.
        self._carried_eras: dict[str, int] = {}
        # Services whose stored roll-out lacks progress that this view has.
        self._unwritten: set[str] = set()
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

    def replace_replicas(self, records: Iterable[ReplicaRecord], era: int = 0) -> None:
        """Replace all replicas; those missing from the new list count as vanished.

        A vanished replica is kept until its grace period ends, unless it was draining.
        A replica that was draining or gone stays unusable if a restored store lists it
        as usable, until it registers again.

        :param era: era of the store in which the replicas were listed.
        """
        restored = self._replicas_read and era > self._replica_era
        self._replica_era = era
        listed = {r.identity: self._apply_departure(r, era) for r in records}
        grace_s = self._vanished_grace_s
        if restored:
            grace_s = max(grace_s, RESTORED_REPLICA_GRACE_S)
        for identity in self._records.keys() - listed.keys():
            self._mark_vanished(identity, grace_s)
        for record in listed.values():
            self._store_record(record)
        self._replicas_read = True
        self._update_placement()

    def update_replica(self, record: ReplicaRecord) -> None:
        """Add or replace one replica after a change of its record in the store."""
        if record.replica.draining:
            self._record_departure(record, self._replica_era)
        else:
            self._departure_eras.pop((record.identity, record.started_ms), None)
        self._store_record(record)
        self._update_placement()

    def remove_replica(self, identity: str) -> None:
        """Handle the removal of a replica's record from the store.

        The replica is removed at once if it was draining, else marked as vanished.
        """
        if identity in self._records:
            self._mark_vanished(identity, self._vanished_grace_s)
            self._update_placement()

    def replace_rollouts(self, rollouts: Iterable[Rollout], era: int = 0) -> None:
        """Replace all roll-outs; a known one at a newer revision is kept.

        A roll-out of an earlier era that the store lacks, or has another order for, is
        kept for :data:`KEPT_ROLLOUT_S`: without it, its version would be allowed again.

        :param era: era of the store in which the roll-outs were listed.
        """
        listed = {rollout.service: rollout for rollout in rollouts}
        for known in list(self._rollouts.values()):
            stored = listed.get(known.service)
            if stored is not None and stored.same_order(known):
                continue
            if era > known.revision.era:
                self._keep_rollout(known, stored)
                listed.pop(known.service, None)
            elif stored is None:
                self.remove_rollout(known.service)
        for rollout in listed.values():
            self.update_rollout(rollout)

    def update_rollout(self, rollout: Rollout) -> None:
        """Add or replace one roll-out unless the known one is at least as new.

        The progress of an order that was known in an earlier era is carried over.
        """
        known = self._rollouts.get(rollout.service)
        if known is not None and known.revision >= rollout.revision:
            return
        self._kept_rollouts.pop(rollout.service, None)
        rollout = self._carry_over(known, rollout)
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
        self._kept_rollouts.pop(service, None)
        self._carried_eras.pop(service, None)
        self._unwritten.discard(service)
        if self._rollouts.pop(service, None) is not None:
            self._log_change(StateChange.ROLLOUT_GONE, service=service)
            self._update_placement()

    def has_unwritten_progress(self, service: str) -> bool:
        """Return whether the store lacks progress of a service's roll-out."""
        return service in self._unwritten and service not in self._kept_rollouts

    def expire_kept_rollouts(self) -> None:
        """Replace kept roll-outs by the store's records once their time has passed."""
        now = self._clock.monotonic()
        for service, kept in list(self._kept_rollouts.items()):
            if kept.until > now:
                continue
            self.remove_rollout(service)
            if kept.stored is not None:
                self.update_rollout(kept.stored)

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
            self._record_departure(record, self._replica_era)
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

    def _mark_vanished(self, identity: str, grace_s: float) -> None:
        if identity in self._vanished_until:
            return
        record = self._records[identity]
        self._log_change(
            StateChange.REPLICA_VANISHED, replica=identity, service=record.service
        )
        if record.replica.draining:
            del self._records[identity]
            self._record_departure(record, self._replica_era)
            return
        self._vanished_until[identity] = self._clock.monotonic() + grace_s

    def _record_departure(self, record: ReplicaRecord, era: int) -> None:
        self._departure_eras[record.identity, record.started_ms] = era
        if len(self._departure_eras) > DEPARTED_REPLICAS_LIMIT:
            self._departure_eras.popitem(last=False)

    def _apply_departure(self, record: ReplicaRecord, era: int) -> ReplicaRecord:
        """Return a listed replica, as draining if it left in an earlier era."""
        if record.replica.draining:
            self._record_departure(record, era)
            return record
        key = record.identity, record.started_ms
        if self._departure_eras.get(key, era) >= era:
            self._departure_eras.pop(key, None)
            return record
        return record._replace(replica=record.replica._replace(draining=True))

    def _keep_rollout(self, known: Rollout, stored: Rollout | None) -> None:
        kept = self._kept_rollouts.get(known.service)
        until = self._clock.monotonic() + KEPT_ROLLOUT_S
        if kept is None:
            self._log_change(
                StateChange.ROLLOUT_KEPT,
                service=known.service,
                candidate=known.candidate,
                stored=stored.candidate if stored else "-",
            )
        self._kept_rollouts[known.service] = KeptRollout(
            kept.until if kept else until, stored
        )

    def _carry_over(self, known: Rollout | None, stored: Rollout) -> Rollout:
        """Return a stored roll-out with the progress made in an earlier era."""
        service = stored.service
        self._unwritten.discard(service)
        if known is None or not stored.same_order(known):
            self._carried_eras.pop(service, None)
            return stored
        if stored.revision.era > known.revision.era:
            self._carried_eras[service] = stored.revision.era
        if self._carried_eras.get(service) != stored.revision.era:
            return stored
        if stored.progress >= known.progress:
            return stored
        self._unwritten.add(service)
        return known._replace(revision=stored.revision)

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
