"""Log of the latest changes of a collection, from which peers are served."""

from __future__ import annotations

import math
from collections import deque
from typing import Generic, NamedTuple, TypeVar

import anyio

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.types import StoreRevision

from ..clients.fleet_source import Change, Changes

T = TypeVar("T")

# Older changes are dropped; a peer that lacks them asks the store.
LOGGED_CHANGES_LIMIT = 512
# The store answers a call that waits within this time after a change, while it answers
# other calls.
ANSWER_DELAY_S = 0.25


class ReadTimes(NamedTuple):
    """What is known of the time of changes that were read, on the node's clock.

    :param complete_at: time up to which they are complete, seconds.
    :param made_after: time after which they were made, seconds.
    """

    complete_at: float
    made_after: float


class _Entry(NamedTuple, Generic[T]):
    """A change as it was read.

    :param revision: revision up to which its batch was complete.
    :param made_after: time after which it was made, on the node's clock, seconds.
    """

    revision: StoreRevision
    made_after: float
    change: Change[T]


class ChangeLog(Generic[T]):
    """Changes of one collection since some revision, and the age of this knowledge.

    :param clock: measures the age.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: deque[_Entry[T]] = deque()
        # All changes after this revision are logged; None before the first list.
        self._start: StoreRevision | None = None
        self._revision: StoreRevision | None = None
        self._confirmed_at = -math.inf
        self._changed = anyio.Event()

    @property
    def confirmed_at(self) -> float:
        """Time up to which all changes are known, on the node's clock, seconds.

        Minus infinity before the first list.
        """
        return self._confirmed_at

    def restart(self, revision: StoreRevision, confirmed_at: float) -> None:
        """Begin anew after the collection was listed.

        :param revision: revision of the list.
        :param confirmed_at: monotonic time at which the call began.
        """
        self._entries.clear()
        self._start = self._revision = revision
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        self._wake()

    def append(self, batch: Changes[T], times: ReadTimes) -> None:
        """Add changes that were read after those known."""
        self._entries.extend(
            _Entry(batch.revision, times.made_after, change) for change in batch.changes
        )
        while len(self._entries) > LOGGED_CHANGES_LIMIT:
            # A batch is dropped as a whole: its changes share one revision.
            self._start = self._entries.popleft().revision
            while self._entries and self._entries[0].revision == self._start:
                self._entries.popleft()
        self._revision = batch.revision
        self._confirmed_at = max(self._confirmed_at, times.complete_at)
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
        found = [entry for entry in self._entries if entry.revision > revision]
        latest = {entry.change.name: entry.change for entry in found}
        made_after = min((entry.made_after for entry in found), default=-math.inf)
        return Changes(
            list(latest.values()),
            max(revision, self._revision),
            self._confirmed_at,
            made_after,
        )

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until a change is added, for at most ``timeout_s`` seconds."""
        with self._clock.timeout(timeout_s):
            await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def read_times(
    batch: Changes, asked_at: float, confirmed_at: float, proved_at: float, now: float
) -> ReadTimes:
    """Return what is known of the time of changes that have just been read.

    They were made after the changes before them were known to be complete, over all
    calls since. If the store itself let a call wait, they were made after the last call
    meanwhile that it answered: they would have come before that answer.

    :param batch: the changes.
    :param asked_at: time at which the call began, on the node's clock, seconds.
    :param confirmed_at: time up to which all changes were known before, seconds.
    :param proved_at: beginning of the last other call that the store itself has
        answered, seconds.
    :param now: time at which they were read, seconds.
    """
    complete_at = asked_at if batch.complete_at is None else batch.complete_at
    if batch.made_after is not None:
        return ReadTimes(complete_at, max(confirmed_at, batch.made_after))
    unchanged_until = min(proved_at, now - ANSWER_DELAY_S)
    if unchanged_until < complete_at:
        return ReadTimes(complete_at, confirmed_at)
    return ReadTimes(unchanged_until, max(confirmed_at, unchanged_until))
