"""In-memory object API of the platform, with fault injection and call counts."""

from __future__ import annotations

import copy
from collections import Counter
from typing import Any

import anyio
import msgspec

from lentilshore_fleet.store import VALUE_LIMIT_BYTES, StoredObject
from lentilshore_kernel.clock import Clock
from lentilshore_kernel.exceptions import (
    StoreAmbiguousError,
    StoreConflictError,
    StoreUnavailableError,
    StoreValueTooLargeError,
)

from .faults import Fault, FaultKind, FaultPlan

WATCH_LIMIT_S = 25.0


class MemoryObjectStore:
    """Stores objects with versions, conditional updates and watches.

    :param clock: source of time for the limit of watches and for injected delays.
    :param faults: faults to inject into calls; the operations are ``get``, ``list``,
        ``put``, ``delete`` and ``watch``.
    """

    def __init__(self, clock: Clock, faults: FaultPlan | None = None) -> None:
        self._clock = clock
        self._objects: dict[str, StoredObject] = {}
        self._history: dict[str, list[StoredObject]] = {}
        self._changed = anyio.Event()
        self.faults = faults or FaultPlan()
        self.call_counts: Counter[str] = Counter()

    @property
    def objects(self) -> dict[str, StoredObject]:
        """All objects, by key."""
        return self._objects

    @property
    def history(self) -> dict[str, list[StoredObject]]:
        """All versions of all objects by key, oldest first."""
        return self._history

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        fault = await self._begin_call("get", key)
        if fault is not None and fault.kind is FaultKind.STALE:
            versions = self._history.get(key, [])
            return copy.deepcopy(versions[-2]) if len(versions) > 1 else None
        return copy.deepcopy(self._objects.get(key))

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return all objects whose keys begin with a prefix, by key."""
        await self._begin_call("list", prefix)
        return [
            copy.deepcopy(self._objects[key])
            for key in sorted(self._objects)
            if key.startswith(prefix)
        ]

    async def put(self, key: str, value: Any, expected_version: int) -> int:
        """Write an object if its version is the expected one."""
        fault = await self._begin_call("put", key)
        encoded = msgspec.json.encode(value)
        if len(encoded) > VALUE_LIMIT_BYTES:
            raise StoreValueTooLargeError(
                f"{key}: value has {len(encoded)} bytes, more than the limit"
            )
        self._check_version(key, expected_version)
        version = self._next_version(key)
        stored = StoredObject(key, version, msgspec.json.decode(encoded))
        self._objects[key] = stored
        self._history.setdefault(key, []).append(stored)
        self._notify_watchers()
        self._raise_if_answer_lost(fault, key)
        return version

    async def delete(self, key: str, expected_version: int) -> None:
        """Delete an object if its version is the expected one."""
        fault = await self._begin_call("delete", key)
        self._check_version(key, expected_version)
        del self._objects[key]
        self._notify_watchers()
        self._raise_if_answer_lost(fault, key)

    async def watch(self, key: str, after_version: int) -> StoredObject | None:
        """Wait until an object is newer than a version."""
        fault = await self._begin_call("watch", key)
        if fault is not None and fault.kind is FaultKind.BREAK:
            raise StoreUnavailableError(f"{key}: watch connection broke")
        with self._clock.timeout(WATCH_LIMIT_S):
            while True:
                stored = self._objects.get(key)
                if stored is not None and stored.version > after_version:
                    return copy.deepcopy(stored)
                await self._changed.wait()
        return None

    async def _begin_call(self, operation: str, key: str) -> Fault | None:
        self.call_counts[operation] += 1
        fault = self.faults.take_match(operation, key)
        if fault is None:
            return None
        if fault.kind is FaultKind.REFUSE:
            raise StoreUnavailableError(f"{operation} {key}: request refused")
        if fault.kind is FaultKind.STALL:
            await self._clock.sleep(fault.seconds)
            if operation in ("put", "delete"):
                raise StoreAmbiguousError(f"{operation} {key}: no answer")
            raise StoreUnavailableError(f"{operation} {key}: no answer")
        if fault.kind is FaultKind.SLOW:
            await self._clock.sleep(fault.seconds)
        return fault

    def _check_version(self, key: str, expected_version: int) -> None:
        stored = self._objects.get(key)
        current = stored.version if stored else 0
        if current != expected_version:
            raise StoreConflictError(key, current)

    def _next_version(self, key: str) -> int:
        versions = self._history.get(key)
        return versions[-1].version + 1 if versions else 1

    def _raise_if_answer_lost(self, fault: Fault | None, key: str) -> None:
        if fault is not None and fault.kind is FaultKind.LOSE_ANSWER:
            raise StoreAmbiguousError(f"{key}: answer to the write was lost")

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
