"""Log of the latest changes of a collection, from which peers are served."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

import anyio

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.types import StoreRevision

from ..clients.fleet_source import Change, Changes

T = TypeVar("T")

# Older changes are dropped; a peer that lacks them asks the store.
LOGGED_CHANGES_LIMIT = 512


class ChangeLog(Generic[T]):
    """Changes of one collection since some revision, and the age of this knowledge.

    :param clock: measures the age.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Each change with the revision up to which its batch was complete.
        self._entries: deque[tuple[StoreRevision, Change[T]]] = deque()
        # All changes after this revision are logged; None before the first list.
        self._start: StoreRevision | None = None
        self._revision: StoreRevision | None = None
        self._confirmed_at = 0.0
        self._changed = anyio.Event()

    @property
    def age_s(self) -> float:
        """Time since all changes were known for certain, seconds."""
        if self._revision is None:
            return float("inf")
        return self._clock.monotonic() - self._confirmed_at

    def restart(self, revision: StoreRevision, confirmed_at: float) -> None:
        """Begin anew after the collection was listed.

        :param revision: revision of the list.
        :param confirmed_at: monotonic time at which the call began.
        """
        self._entries.clear()
        self._start = self._revision = revision
        self._confirmed_at = confirmed_at
        self._wake()

    def append(self, batch: Changes[T], confirmed_at: float) -> None:
        """Add changes that were read after those known.

        :param batch: the changes.
        :param confirmed_at: monotonic time up to which they are known to be complete.
        """
        self._entries.extend((batch.revision, change) for change in batch.changes)
        while len(self._entries) > LOGGED_CHANGES_LIMIT:
            # A batch is dropped as a whole: its changes share one revision.
            self._start, _ = self._entries.popleft()
            while self._entries and self._entries[0][0] == self._start:
                self._entries.popleft()
        self._revision = batch.revision
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        if batch.changes:
            self._wake()

    def changes_after(self, revision: StoreRevision) -> Changes[T] | None:
        """Return the changes after a revision, None if they are not all known."""
        if self._start is None or self._revision is None:
            return None
        if revision.era != self._revision.era or revision < self._start:
            return None
        # Only the last change of each item: an item may be known at a later state than
        # an earlier change of it.
        latest = {c.name: c for known, c in self._entries if known > revision}
        return Changes(list(latest.values()), max(revision, self._revision), self.age_s)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until a change is added, for at most ``timeout_s`` seconds."""
        with self._clock.timeout(timeout_s):
            await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
