"""Configuration of the fleet, with one revision number that only rises.

A head object lists the stored parts of a snapshot and holds the deltas made since, so
that readers see a revision whole or not at all, regardless of its size.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.exceptions import (
    RevisionConflictError,
    StoreAmbiguousError,
    StoreConflictError,
)

from .store import VALUE_LIMIT_BYTES, ObjectStore, read_back

HEAD_KEY = "config/head"
MAX_PART_BYTES = VALUE_LIMIT_BYTES // 2
MAX_DELTAS = 64
MAX_DELTAS_BYTES = VALUE_LIMIT_BYTES // 4
MAX_CHANGE_IDS = 512


class Delta(TypedDict):
    """Difference between two consecutive revisions.

    :param revision: the later of the two revisions.
    :param change: identifier of the change that made the later revision.
    :param updated: records set, by key.
    :param removed: keys removed.
    """

    revision: int
    change: str
    updated: dict[str, Any]
    removed: list[str]


class Head(TypedDict):
    """Value of the stored object that determines the current revision.

    :param revision: the current revision.
    :param snapshot_revision: revision of the snapshot, 0 if there is none.
    :param snapshot_parts: store keys of the snapshot's parts.
    :param deltas: deltas since the snapshot, in order of revision.
    :param changes: revisions of recent changes, by identifier of the change.
    """

    revision: int
    snapshot_revision: int
    snapshot_parts: list[str]
    deltas: list[Delta]
    changes: dict[str, int]


class Change(NamedTuple):
    """A change to the configuration.

    :param change_id: identifier chosen by the author, the same for a retry.
    :param revision: revision on which the change is based.
    :param updated: records to set, by key.
    :param removed: keys to remove.
    """

    change_id: str
    revision: int
    updated: Mapping[str, Any]
    removed: tuple[str, ...] = ()


class Snapshot(NamedTuple):
    """A whole configuration.

    :param revision: revision of the configuration, 0 for the empty one.
    :param entries: records by key.
    """

    revision: int
    entries: dict[str, Any]


class ConfigurationStatus(TypedDict):
    """Revision and age of a node's configuration.

    :param revision: revision in force.
    :param age_s: seconds since the platform last confirmed a revision; missing before
        the first confirmation.
    """

    revision: int
    age_s: NotRequired[float]


class ConfigurationView:
    """The configuration in force on one node; its revision never falls.

    :param clock: clock that measures the age of the last confirmation.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._snapshot = Snapshot(0, {})
        self._deltas: list[Delta] = []
        self._confirmed_at: float | None = None
        self._listeners: list[Callable[[Snapshot], None]] = []

    @property
    def revision(self) -> int:
        """Revision in force, 0 before the first one."""
        return self._snapshot.revision

    @property
    def snapshot(self) -> Snapshot:
        """The configuration in force."""
        return self._snapshot

    @property
    def age_s(self) -> float | None:
        """Seconds since the platform last confirmed this or an older revision.

        None before the first confirmation.
        """
        if self._confirmed_at is None:
            return None
        return self._clock.monotonic() - self._confirmed_at

    def on_change(self, listener: Callable[[Snapshot], None]) -> None:
        """Register a function to call after each new revision.

        :param listener: receives the new snapshot.
        """
        self._listeners.append(listener)

    def confirm(self, age_s: float = 0.0) -> None:
        """Record that the revision in force was current some seconds ago.

        :param age_s: age of the confirmation as a peer reports it, seconds; 0 for an
            answer of the platform.
        """
        confirmed_at = self._clock.monotonic() - age_s
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def adopt(self, snapshot: Snapshot) -> bool:
        """Put a whole configuration in force if it is newer.

        :returns: whether it was newer.
        """
        if snapshot.revision <= self.revision:
            return False
        self._deltas.clear()
        self._install(snapshot)
        return True

    def apply(self, delta: Delta) -> bool:
        """Put the next revision in force by applying a delta.

        :returns: False if the delta is not the next one after the revision in force.
        """
        if delta["revision"] != self.revision + 1:
            return False
        entries = dict(self._snapshot.entries)
        apply_delta(entries, delta)
        self._deltas.append(delta)
        del self._deltas[:-MAX_DELTAS]
        self._install(Snapshot(delta["revision"], entries))
        return True

    def deltas_after(self, revision: int) -> list[Delta] | None:
        """Return the deltas between a revision and the one in force.

        :returns: the deltas in order; None if they are no longer kept.
        """
        if revision >= self.revision:
            return []
        deltas = [delta for delta in self._deltas if delta["revision"] > revision]
        if not deltas or deltas[0]["revision"] != revision + 1:
            return None
        return deltas

    def _install(self, snapshot: Snapshot) -> None:
        self._snapshot = snapshot
        for listener in self._listeners:
            listener(snapshot)


class ConfigurationStore:
    """Reads and changes the configuration in the platform's store.

    :param store: the object store.
    :param clock: clock for the delays between read-backs.
    """

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def read(self, known: Snapshot) -> Snapshot:
        """Return the current configuration, reading only what is not yet known.

        :param known: configuration that the caller has already.
        :raises StoreUnavailableError: if the store cannot be reached.
        """
        stored = await self._store.get(HEAD_KEY)
        return (
            known if stored is None else await self.load_snapshot(stored.value, known)
        )

    async def watch(self, known: Snapshot, head_version: int) -> tuple[Snapshot, int]:
        """Wait for a newer configuration.

        :param known: configuration that the caller has already.
        :param head_version: store version of the head object last read.
        :returns: the configuration and the store version of the head object.
        """
        stored = await self._store.watch(HEAD_KEY, head_version)
        if stored is None:
            return known, head_version
        return await self.load_snapshot(stored.value, known), stored.version

    async def change(self, change: Change) -> int:
        """Apply a change to the stored configuration once, even if it is retried.

        :param change: the change.
        :returns: the revision that the change made; the same one for a retry.
        :raises RevisionConflictError: if the change is not based on the current
            revision.
        :raises StoreAmbiguousError: if it is not known whether the change was made.
        """
        stored = await self._store.get(HEAD_KEY)
        head: Head = stored.value if stored else _empty_head()
        head_version = stored.version if stored else 0
        if change.change_id in head["changes"]:
            return head["changes"][change.change_id]
        if head["revision"] != change.revision:
            raise RevisionConflictError(change.revision, head["revision"])
        next_head = await self._build_next_head(head, change)
        try:
            await self._store.put(HEAD_KEY, next_head, head_version)
        except StoreConflictError as error:
            return await self._resolve_by_reading(change, error)
        except StoreAmbiguousError as error:
            return await self._resolve_by_reading(change, error)
        return next_head["revision"]

    async def _resolve_by_reading(self, change: Change, cause: Exception) -> int:
        """Return the change's revision after a write that was not confirmed.

        :param change: the change.
        :param cause: error of the write, raised if the store shows no other outcome.
        """
        stored = await read_back(self._store, self._clock, HEAD_KEY)
        head: Head = stored.value if stored else _empty_head()
        if change.change_id in head["changes"]:
            return head["changes"][change.change_id]
        if head["revision"] != change.revision:
            raise RevisionConflictError(change.revision, head["revision"]) from cause
        raise cause

    async def _build_next_head(self, head: Head, change: Change) -> Head:
        revision = head["revision"] + 1
        delta = Delta(
            revision=revision,
            change=change.change_id,
            updated=dict(change.updated),
            removed=list(change.removed),
        )
        deltas = [*head["deltas"], delta]
        changes = head["changes"] | {change.change_id: revision}
        changes = {k: r for k, r in changes.items() if r > revision - MAX_CHANGE_IDS}
        deltas_bytes = len(msgspec.json.encode(deltas))
        if len(deltas) <= MAX_DELTAS and deltas_bytes <= MAX_DELTAS_BYTES:
            return Head(
                revision=revision,
                snapshot_revision=head["snapshot_revision"],
                snapshot_parts=head["snapshot_parts"],
                deltas=deltas,
                changes=changes,
            )
        snapshot = await self.load_snapshot(head, Snapshot(0, {}))
        entries = dict(snapshot.entries)
        apply_delta(entries, delta)
        parts = await self._write_parts(entries, change.change_id, revision)
        return Head(
            revision=revision,
            snapshot_revision=revision,
            snapshot_parts=parts,
            deltas=[],
            changes=changes,
        )

    async def _write_parts(
        self, entries: dict[str, Any], change_id: str, revision: int
    ) -> list[str]:
        keys = []
        for index, part in enumerate(split_entries(entries)):
            key = f"config/part/{revision}-{change_id}-{index}"
            keys.append(key)
            try:
                await self._store.put(key, part, 0)
            except (StoreConflictError, StoreAmbiguousError) as error:
                stored = await read_back(self._store, self._clock, key)
                if stored is None or stored.value != part:
                    raise error
        return keys

    async def load_snapshot(self, head: Head, known: Snapshot) -> Snapshot:
        """Load the configuration that a head object describes.

        :param head: value of the head object.
        :param known: configuration that the caller has already.
        :returns: the configuration; ``known`` if it is not older than the head object
            or a part of the snapshot is missing.
        """
        if head["revision"] <= known.revision:
            return known
        entries: dict[str, Any]
        if known.revision >= head["snapshot_revision"]:
            entries, start_revision = dict(known.entries), known.revision
        else:
            entries, start_revision = {}, head["snapshot_revision"]
            for key in head["snapshot_parts"]:
                stored = await self._store.get(key)
                if stored is None:
                    return known
                entries.update(stored.value)
        for delta in head["deltas"]:
            if delta["revision"] > start_revision:
                apply_delta(entries, delta)
        return Snapshot(head["revision"], entries)


def apply_delta(entries: dict[str, Any], delta: Delta) -> None:
    """Apply a delta to records by key, in place."""
    entries.update(delta["updated"])
    for key in delta["removed"]:
        entries.pop(key, None)


def split_entries(entries: dict[str, Any]) -> list[dict[str, Any]]:
    """Split records into parts that are small enough for the store.

    :param entries: records by key.
    :returns: parts of at most :data:`MAX_PART_BYTES` encoded bytes each, unless
        one record alone is larger.
    """
    parts: list[dict[str, Any]] = [{}]
    part_bytes = 0
    for key in sorted(entries):
        entry_bytes = len(msgspec.json.encode({key: entries[key]}))
        if parts[-1] and part_bytes + entry_bytes > MAX_PART_BYTES:
            parts.append({})
            part_bytes = 0
        parts[-1][key] = entries[key]
        part_bytes += entry_bytes
    return parts


def _empty_head() -> Head:
    return Head(
        revision=0, snapshot_revision=0, snapshot_parts=[], deltas=[], changes={}
    )
