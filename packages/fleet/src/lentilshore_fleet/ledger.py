"""Ledger of one incarnation, which keeps each of its bills until the store has it.

A bill is copied to a peer in another data centre before the last byte of the answer is
sent, and is written to the store later in sealed segments. Segments are immutable and
bills have unique sequence numbers, so that a bill is counted once even if its segment
is written twice or a peer writes it for a dead node.
"""

from __future__ import annotations

import hashlib
import itertools
from collections import deque
from typing import NamedTuple, Protocol, TypedDict

import anyio

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.exceptions import (
    PeerUnavailableError,
    StoreAmbiguousError,
    StoreConflictError,
    StoreUnavailableError,
)
from lentilshore_kernel.types import Incarnation

from .bills import Bill, bills_to_text, decode_bills, encode_bills, prefer_final
from .store import ObjectStore, read_back

MAX_SEGMENT_BILLS = 2_000
FLUSH_INTERVAL_S = 30.0
MAX_FLUSH_SEGMENTS = 4
SEGMENT_PREFIX = "bills/"


class SegmentRecord(TypedDict):
    """A sealed segment in the store.

    :param incarnation: incarnation that issued the bills.
    :param writer: incarnation that wrote the segment: the issuer, or a peer that holds
        copies of the bills.
    :param bills: compressed bills as base64 text.
    """

    incarnation: str
    writer: str
    bills: str


class BillCopier(Protocol):
    """Sends copies of bills to a peer in another data centre."""

    async def copy(self, owner: str, bills: list[Bill], watermark: int) -> None:
        """Copy bills to a peer and wait until it confirms them.

        :param owner: incarnation that issued the bills.
        :param bills: the bills.
        :param watermark: sequence number below which every bill is in the store.
        :raises PeerUnavailableError: if no peer confirms them.
        """

    def enqueue(self, owner: str, bill: Bill, watermark: int) -> None:
        """Queue a bill for the next call to a peer, without waiting for the call.

        :param owner: incarnation that issued the bill.
        :param bill: the bill.
        :param watermark: sequence number below which every bill is in the store.
        """


class _SealedSegment(NamedTuple):
    """Store key, compressed bills and sequence numbers of a segment."""

    key: str
    data: bytes
    sequences: tuple[int, ...]


class Ledger:
    """Bills issued by this incarnation.

    :param incarnation: incarnation of this node.
    :param store: the object store.
    :param clock: clock for the delays between read-backs.
    :param copier: sends copies of bills to peers.
    """

    def __init__(
        self,
        incarnation: Incarnation,
        store: ObjectStore,
        clock: Clock,
        copier: BillCopier,
    ) -> None:
        self._owner = str(incarnation)
        self._store = store
        self._clock = clock
        self._copier = copier
        self._sequences = itertools.count(1)
        self._next_sequence = 1
        self._segment_numbers = itertools.count(1)
        # Sequence numbers of the bills, open or closed, that are not in the store yet.
        self._unstored: dict[int, None] = {}
        # Closed bills that are not in a sealed segment yet.
        self._pending: list[Bill] = []
        self._sealed: deque[_SealedSegment] = deque()
        self._uncopied: dict[int, Bill] = {}
        self._uncopied_flush_lock = anyio.Lock()

    @property
    def owner(self) -> str:
        """Incarnation that issues these bills."""
        return self._owner

    @property
    def watermark(self) -> int:
        """Sequence number below which every bill is in the store."""
        return next(iter(self._unstored), self._next_sequence)

    @property
    def held_bytes(self) -> int:
        """Compressed size of the sealed segments that wait for the store, bytes."""
        return sum(len(sealed.data) for sealed in self._sealed)

    @property
    def unwritten_count(self) -> int:
        """Number of closed bills that are not in the store yet."""
        sealed = sum(len(item.sequences) for item in self._sealed)
        return len(self._pending) + sealed

    @property
    def uncopied_count(self) -> int:
        """Number of closed bills that neither a peer nor the store has."""
        return len(self._uncopied)

    def open(self) -> int:
        """Reserve and return the sequence number of a new bill."""
        sequence = next(self._sequences)
        self._next_sequence = sequence + 1
        self._unstored[sequence] = None
        return sequence

    def discard(self, sequence: int) -> None:
        """Drop the reserved sequence number of a request that was not dispatched."""
        self._unstored.pop(sequence, None)

    def enqueue_open_bill(self, bill: Bill) -> None:
        """Queue a copy of an open bill, so that a peer can store it if this node dies.

        :param bill: the bill at dispatch, not final.
        """
        self._copier.enqueue(self._owner, bill, self.watermark)

    async def close(self, bill: Bill) -> bool:
        """Add a closed bill to the ledger and copy it to a peer.

        If no peer confirms the copy, the pending bills are flushed to the store, unless
        more than :data:`MAX_FLUSH_SEGMENTS` sealed segments already wait for it.

        :param bill: the bill, with a sequence number from :meth:`open`.
        :returns: whether a peer or the store has the bill.
        """
        self._pending.append(bill)
        if len(self._pending) >= MAX_SEGMENT_BILLS:
            self._seal()
        try:
            await self._copier.copy(self._owner, [bill], self.watermark)
        except PeerUnavailableError:
            self._uncopied[bill.sequence] = bill
            await self._flush_uncopied(bill.sequence)
            return bill.sequence not in self._uncopied
        return True

    async def flush(self, limit: int = MAX_FLUSH_SEGMENTS) -> int:
        """Seal the pending bills and write sealed segments to the store.

        :param limit: maximum number of segments to write.
        :returns: number of segments that the store confirmed.
        """
        self._seal()
        written = 0
        while self._sealed and written < limit:
            sealed = self._sealed[0]
            if not await self._write_segment(sealed):
                break
            if self._sealed and self._sealed[0] is sealed:
                self._sealed.popleft()
                self._mark_stored(sealed)
            written += 1
        return written

    async def copy_uncopied(self) -> bool:
        """Copy to a peer the bills that neither a peer nor the store has.

        :returns: whether every closed bill is now at a peer or in the store.
        """
        bills = list(self._uncopied.values())
        for start in range(0, len(bills), MAX_SEGMENT_BILLS):
            batch = bills[start : start + MAX_SEGMENT_BILLS]
            try:
                await self._copier.copy(self._owner, batch, self.watermark)
            except PeerUnavailableError:
                return False
            for bill in batch:
                self._uncopied.pop(bill.sequence, None)
        return not self._uncopied

    def mark_all_uncopied(self) -> None:
        """Mark every closed bill that is not in the store as not copied to a peer."""
        for sealed in self._sealed:
            for bill in decode_bills(sealed.data):
                self._uncopied[bill.sequence] = bill
        for bill in self._pending:
            self._uncopied[bill.sequence] = bill

    def _mark_stored(self, sealed: _SealedSegment) -> None:
        for sequence in sealed.sequences:
            self._uncopied.pop(sequence, None)
            self._unstored.pop(sequence, None)

    async def _flush_uncopied(self, sequence: int) -> None:
        """Flush the pending bills unless the given one has been stored meanwhile.

        The lock batches concurrent calls: one flush also writes the bills of the calls
        that wait for the lock.
        """
        async with self._uncopied_flush_lock:
            still_uncopied = sequence in self._uncopied
            if still_uncopied and len(self._sealed) <= MAX_FLUSH_SEGMENTS:
                await self.flush()

    def _seal(self) -> None:
        for start in range(0, len(self._pending), MAX_SEGMENT_BILLS):
            bills = self._pending[start : start + MAX_SEGMENT_BILLS]
            key = f"{SEGMENT_PREFIX}{self._owner}/{next(self._segment_numbers):08d}"
            sequences = tuple(bill.sequence for bill in bills)
            self._sealed.append(_SealedSegment(key, encode_bills(bills), sequences))
        self._pending = []

    async def _write_segment(self, sealed: _SealedSegment) -> bool:
        record = SegmentRecord(
            incarnation=self._owner,
            writer=self._owner,
            bills=bills_to_text(sealed.data),
        )
        return await write_once(self._store, self._clock, sealed.key, record)


class _OwnerCopies:
    """Copies of one owner's bills: recent ones uncompressed, older ones compressed."""

    def __init__(self) -> None:
        self.uncompressed: dict[int, Bill] = {}
        # Highest sequence number and compressed bills of each block.
        self.blocks: list[tuple[int, bytes]] = []
        self.watermark = 0

    def add(self, bill: Bill) -> None:
        if bill.sequence >= self.watermark:
            self.uncompressed[bill.sequence] = prefer_final(
                self.uncompressed.get(bill.sequence), bill
            )

    def drop_stored(self, watermark: int) -> None:
        if watermark <= self.watermark:
            return
        self.watermark = watermark
        self.uncompressed = {
            sequence: bill
            for sequence, bill in self.uncompressed.items()
            if sequence >= watermark
        }
        self.blocks = [block for block in self.blocks if block[0] >= watermark]

    def compress(self) -> None:
        if len(self.uncompressed) < MAX_SEGMENT_BILLS:
            return
        final = [bill for bill in self.uncompressed.values() if bill.final]
        highest_sequence = max((bill.sequence for bill in final), default=0)
        if final:
            self.blocks.append((highest_sequence, encode_bills(final)))
        self.uncompressed = {
            sequence: bill
            for sequence, bill in self.uncompressed.items()
            if not bill.final
        }

    def by_sequence(self) -> dict[int, Bill]:
        bills: dict[int, Bill] = {}
        for _, data in self.blocks:
            for bill in decode_bills(data):
                bills[bill.sequence] = prefer_final(bills.get(bill.sequence), bill)
        for bill in self.uncompressed.values():
            bills[bill.sequence] = prefer_final(bills.get(bill.sequence), bill)
        return {
            sequence: bill
            for sequence, bill in bills.items()
            if sequence >= self.watermark
        }


class BillCopyHolder:
    """Copies of other nodes' bills, written to the store if their owner dies.

    The owner of a bill is the incarnation that issued it.

    :param holder: incarnation of this node, which holds the copies.
    :param store: the object store.
    :param clock: clock for the delays between read-backs.
    """

    def __init__(self, holder: Incarnation, store: ObjectStore, clock: Clock) -> None:
        self._holder = str(holder)
        self._store = store
        self._clock = clock
        self._copies: dict[str, _OwnerCopies] = {}

    @property
    def held_bytes(self) -> int:
        """Size of the copies that are compressed, bytes."""
        blocks = (block for c in self._copies.values() for block in c.blocks)
        return sum(len(data) for _, data in blocks)

    @property
    def owners(self) -> list[str]:
        """Incarnations whose bills are held here, sorted."""
        return sorted(self._copies)

    def count(self, owner: str) -> int:
        """Return the number of an owner's bills that are held here."""
        copies = self._copies.get(owner)
        return len(copies.by_sequence()) if copies else 0

    def accept(self, owner: str, bills: list[Bill], watermark: int) -> None:
        """Keep copies of bills in memory, and drop those that the store has.

        :param owner: incarnation that issued the bills.
        :param bills: the bills.
        :param watermark: sequence number below which every bill is in the store.
        """
        copies = self._copies.setdefault(owner, _OwnerCopies())
        copies.drop_stored(watermark)
        for bill in bills:
            copies.add(bill)
        copies.compress()

    def release(self, owner: str) -> None:
        """Drop the copies of an owner that has drained and written its bills."""
        self._copies.pop(owner, None)

    async def write_to_store(self, owner: str) -> bool:
        """Write the copies of an owner's bills to the store, then drop them.

        :param owner: incarnation that issued the bills.
        :returns: whether the store has all of them.
        """
        copies = self._copies.get(owner)
        if copies is None:
            return True
        written: set[Bill] = set()
        # Copies may be accepted while earlier ones are written.
        while batch := sorted(set(copies.by_sequence().values()) - written):
            batch = batch[:MAX_SEGMENT_BILLS]
            data = encode_bills(batch)
            digest = hashlib.blake2b(data, digest_size=8).hexdigest()
            key = f"{SEGMENT_PREFIX}{owner}/copy-{self._holder}-{digest}"
            record = SegmentRecord(
                incarnation=owner, writer=self._holder, bills=bills_to_text(data)
            )
            if not await write_once(self._store, self._clock, key, record):
                return False
            written.update(batch)
        self._copies.pop(owner, None)
        return True


async def write_once(
    store: ObjectStore, clock: Clock, key: str, record: SegmentRecord
) -> bool:
    """Create the object of a segment; an equal one that exists counts as success.

    :param store: the object store.
    :param clock: clock for the delays between read-backs.
    :param key: key of the object.
    :param record: value of the object.
    :returns: whether the store has the object.
    """
    try:
        await store.put(key, record, 0)
        return True
    except StoreUnavailableError:
        return False
    except (StoreConflictError, StoreAmbiguousError):
        pass
    try:
        stored = await read_back(store, clock, key)
    except StoreAmbiguousError:
        return False
    return stored is not None and stored.value == record
