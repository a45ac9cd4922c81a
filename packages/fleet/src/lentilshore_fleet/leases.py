"""Leases with fencing tokens in the platform's store.

Leases do not depend on synchronised clocks. A holder measures its lease on its own
monotonic clock from before the call that renews it. A contender takes over only after
it has observed the same version of the stored lease for the whole duration, plus a
margin, on its own monotonic clock.
"""

from __future__ import annotations

from typing import NamedTuple, TypedDict

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.exceptions import (
    LeaseLostError,
    StoreAmbiguousError,
    StoreConflictError,
    StoreUnavailableError,
)

from .store import ObjectStore, StoredObject, read_back

LEASE_DURATION_S = 10.0
LEASE_MARGIN_S = 2.0
RENEW_INTERVAL_S = 3.0


class LeaseRecord(TypedDict):
    """A lease in the store.

    :param holder: incarnation of the holder, empty once released.
    :param fencing: fencing token, which rises with each change of holder.
    :param renewal: number of renewals, so that each renewal writes a new
        value and gets a new version.
    """

    holder: str
    fencing: int
    renewal: int


class _ObservedVersion(NamedTuple):
    """Stored version of another node's lease, and when this node first saw it."""

    version: int
    first_seen_at: float


class LeaseManager:
    """Acquires, renews and checks one lease.

    :param store: the object store.
    :param clock: clock that measures the lease.
    :param key: key of the lease in the store.
    :param holder: incarnation of this node, which is to hold the lease.
    """

    def __init__(self, store: ObjectStore, clock: Clock, key: str, holder: str) -> None:
        self._store = store
        self._clock = clock
        self._key = key
        self._holder = holder
        self._stored_version = 0
        self._fencing_token = 0
        self._valid_until: float | None = None
        self._observed: _ObservedVersion | None = None

    @property
    def fencing_token(self) -> int:
        """Fencing token of the lease last held."""
        return self._fencing_token

    @property
    def remaining_s(self) -> float:
        """Seconds for which the lease is certainly still held, 0 if it is not."""
        if self._valid_until is None:
            return 0.0
        return max(0.0, self._valid_until - self._clock.monotonic())

    def check(self, margin_s: float = LEASE_MARGIN_S) -> int:
        """Return the fencing token if the lease is held for long enough.

        Call this right before each action under the lease.

        :param margin_s: time that the action may take, seconds.
        :raises LeaseLostError: if no more than the margin remains.
        """
        if self.remaining_s <= margin_s:
            raise LeaseLostError(
                f"{self._key}: lease is held for only {self.remaining_s:.1f} s more"
            )
        return self._fencing_token

    async def try_acquire(self) -> bool:
        """Acquire or renew the lease.

        :returns: whether the lease is certainly held now; False also if the outcome
            of the write is unknown.
        """
        started_at = self._clock.monotonic()
        try:
            stored = await self._store.get(self._key)
        except StoreUnavailableError:
            return self.remaining_s > 0
        if stored is not None and not self._can_acquire(stored, started_at):
            return False
        return await self._write(stored, started_at)

    async def release(self) -> None:
        """Release the lease, so that another node can acquire it at once."""
        if self.remaining_s <= 0:
            return
        self._valid_until = None
        record = LeaseRecord(holder="", fencing=self._fencing_token, renewal=0)
        try:
            await self._store.put(self._key, record, self._stored_version)
        except (StoreUnavailableError, StoreConflictError, StoreAmbiguousError):
            return

    def _can_acquire(self, stored: StoredObject, now: float) -> bool:
        record: LeaseRecord = stored.value
        if record["holder"] in ("", self._holder):
            return True
        self._valid_until = None
        if self._observed is None or self._observed.version != stored.version:
            self._observed = _ObservedVersion(stored.version, now)
            return False
        return now - self._observed.first_seen_at >= LEASE_DURATION_S + LEASE_MARGIN_S

    async def _write(self, stored: StoredObject | None, started_at: float) -> bool:
        previous: LeaseRecord | None = stored.value if stored else None
        renewing = previous is not None and previous["holder"] == self._holder
        previous_fencing = previous["fencing"] if previous else 0
        record = LeaseRecord(
            holder=self._holder,
            fencing=previous_fencing if renewing else previous_fencing + 1,
            renewal=previous["renewal"] + 1 if previous else 1,
        )
        expected_version = stored.version if stored else 0
        try:
            self._stored_version = await self._store.put(
                self._key, record, expected_version
            )
        except (StoreConflictError, StoreAmbiguousError):
            if not await self._confirm_write(record):
                return False
        except StoreUnavailableError:
            return self.remaining_s > 0
        self._fencing_token = record["fencing"]
        self._valid_until = started_at + LEASE_DURATION_S
        return self.remaining_s > 0

    async def _confirm_write(self, record: LeaseRecord) -> bool:
        try:
            stored = await read_back(self._store, self._clock, self._key)
        except StoreAmbiguousError:
            return False
        if stored is None or stored.value != record:
            self._valid_until = None
            return False
        self._stored_version = stored.version
        return True
