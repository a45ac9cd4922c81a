"""Ledger of one incarnation: each bill is kept until the store has it.

A bill is copied to a peer in another data centre before the last byte of the
answer goes out, and written to the store later in sealed segments. Segments
are immutable and bills carry unique numbers, so that a segment written twice,
or by a peer for a dead node, counts once.
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

SEAL_BILLS = 2_000
SEGMENT_BYTES = 600_000
FLUSH_INTERVAL_S = 30.0
FLUSH_SEGMENTS = 4
SEGMENT_PREFIX = "bills/"


class SegmentRecord(TypedDict):
    """A sealed segment in the store.

    :param incarnation: whose bills they are.
    :param writer: incarnation that wrote the segment.
    :param bills: compressed bills as text.
    """

    incarnation: str
    writer: str
    bills: str


class BillCopier(Protocol):
    """Sends copies of bills to a peer in another data centre."""

    async def copy(self, owner: str, bills: list[Bill], watermark: int) -> None:
        """Copy bills to a peer.

        :param owner: incarnation whose bills they are.
        :param bills: the bills.
        :param watermark: every bill with a lower number is in the store.
        :raises PeerUnavailableError: if no peer has them.
        """

    def enqueue(self, owner: str, bill: Bill, watermark: int) -> None:
        """Copy a bill with the next call to a peer, without waiting for it."""


class _Sealed(NamedTuple):
    key: str
    data: bytes
    sequences: tuple[int, ...]


class Ledger:
    """Bills issued by this incarnation.

    :param incarnation: this life of the instance.
    :param store: the object API.
    :param clock: paces writes.
    :param copier: sends copies to a peer.
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
        self._sequence = itertools.count(1)
        self._next = 1
        self._segment = itertools.count(1)
        self._unsettled: dict[int, None] = {}
        self._pending: list[Bill] = []
        self._sealed: deque[_Sealed] = deque()
        self._uncopied: dict[int, Bill] = {}
        self._direct = anyio.Lock()

    @property
    def owner(self) -> str:
        """Incarnation whose bills these are."""
        return self._owner

    @property
    def watermark(self) -> int:
        """Number below which every bill is in the store."""
        return next(iter(self._unsettled), self._next)

    @property
    def held_bytes(self) -> int:
        """Bytes of sealed segments that wait for the store."""
        return sum(len(sealed.data) for sealed in self._sealed)

    @property
    def unwritten(self) -> int:
        """Bills that the store does not have yet."""
        sealed = sum(len(item.sequences) for item in self._sealed)
        return len(self._pending) + sealed

    @property
    def uncopied(self) -> int:
        """Bills that neither a peer nor the store has."""
        return len(self._uncopied)

    def open(self) -> int:
        """Return the number of a new bill."""
        sequence = next(self._sequence)
        self._next = sequence + 1
        self._unsettled[sequence] = None
        return sequence

    def discard(self, sequence: int) -> None:
        """Forget a bill of a request that was not dispatched."""
        self._unsettled.pop(sequence, None)

    def enqueue_open_bill(self, bill: Bill) -> None:
        """Copy an open bill, so that a peer can bill the request if we die.

        :param bill: the bill as it stands at dispatch; not final.
        """
        self._copier.enqueue(self._owner, bill, self.watermark)

    async def close(self, bill: Bill) -> bool:
        """Keep a closed bill and copy it.

        :param bill: the bill; its number came from :meth:`open`.
        :returns: whether a peer or the store has it.
        """
        self._pending.append(bill)
        if len(self._pending) >= SEAL_BILLS:
            self._seal()
        try:
            await self._copier.copy(self._owner, [bill], self.watermark)
        except PeerUnavailableError:
            self._uncopied[bill.sequence] = bill
            await self._write_directly(bill.sequence)
            return bill.sequence not in self._uncopied
        return True

    async def flush(self, limit: int = FLUSH_SEGMENTS) -> int:
        """Write what is pending to the store.

        :param limit: most segments to write.
        :returns: segments that the store confirmed.
        """
        self._seal()
        written = 0
        while self._sealed and written < limit:
            sealed = self._sealed[0]
            if not await self._write(sealed):
                break
            if self._sealed and self._sealed[0] is sealed:
                self._sealed.popleft()
                self._settle(sealed)
            written += 1
        return written

    async def copy_uncopied(self) -> bool:
        """Copy the bills that nobody else has, if there are any.

        :returns: whether a peer or the store has every bill now.
        """
        bills = list(self._uncopied.values())
        for start in range(0, len(bills), SEAL_BILLS):
            part = bills[start : start + SEAL_BILLS]
            try:
                await self._copier.copy(self._owner, part, self.watermark)
            except PeerUnavailableError:
                return False
            for bill in part:
                self._uncopied.pop(bill.sequence, None)
        return not self._uncopied

    def mark_all_uncopied(self) -> None:
        """Take every bill that is not in the store as not copied."""
        for sealed in self._sealed:
            for bill in decode_bills(sealed.data):
                self._uncopied[bill.sequence] = bill
        for bill in self._pending:
            self._uncopied[bill.sequence] = bill

    def _settle(self, sealed: _Sealed) -> None:
        for sequence in sealed.sequences:
            self._uncopied.pop(sequence, None)
            self._unsettled.pop(sequence, None)

    async def _write_directly(self, sequence: int) -> None:
        """Write a bill that no peer has; bills that wait go out together."""
        async with self._direct:
            wanted = sequence in self._uncopied
            if wanted and len(self._sealed) <= FLUSH_SEGMENTS:
                await self.flush()

    def _seal(self) -> None:
        for start in range(0, len(self._pending), SEAL_BILLS):
            bills = self._pending[start : start + SEAL_BILLS]
            key = f"{SEGMENT_PREFIX}{self._owner}/{next(self._segment):08d}"
            sequences = tuple(bill.sequence for bill in bills)
            self._sealed.append(_Sealed(key, encode_bills(bills), sequences))
        self._pending = []

    async def _write(self, sealed: _Sealed) -> bool:
        record = SegmentRecord(
            incarnation=self._owner,
            writer=self._owner,
            bills=bills_to_text(sealed.data),
        )
        return await write_once(self._store, self._clock, sealed.key, record)


class _CopiedBills:
    """Copies held for one owner: recent ones plain, older ones compressed."""

    def __init__(self) -> None:
        self.plain: dict[int, Bill] = {}
        self.blocks: list[tuple[int, bytes]] = []
        self.watermark = 0

    def add(self, bill: Bill) -> None:
        if bill.sequence >= self.watermark:
            self.plain[bill.sequence] = prefer_final(
                self.plain.get(bill.sequence), bill
            )

    def trim(self, watermark: int) -> None:
        if watermark <= self.watermark:
            return
        self.watermark = watermark
        self.plain = {n: bill for n, bill in self.plain.items() if n >= watermark}
        self.blocks = [block for block in self.blocks if block[0] >= watermark]

    def compress(self) -> None:
        if len(self.plain) < SEAL_BILLS:
            return
        final = [bill for bill in self.plain.values() if bill.final]
        highest = max((bill.sequence for bill in final), default=0)
        if final:
            self.blocks.append((highest, encode_bills(final)))
        self.plain = {n: bill for n, bill in self.plain.items() if not bill.final}

    def all(self) -> dict[int, Bill]:
        bills: dict[int, Bill] = {}
        for _, data in self.blocks:
            for bill in decode_bills(data):
                bills[bill.sequence] = prefer_final(bills.get(bill.sequence), bill)
        for bill in self.plain.values():
            bills[bill.sequence] = prefer_final(bills.get(bill.sequence), bill)
        return {n: bill for n, bill in bills.items() if n >= self.watermark}


class BillCopyHolder:
    """Copies of other nodes' bills, written to the store if their owner dies.

    :param keeper: incarnation of this node.
    :param store: the object API.
    :param clock: paces read-backs.
    """

    def __init__(self, keeper: Incarnation, store: ObjectStore, clock: Clock) -> None:
        self._keeper = str(keeper)
        self._store = store
        self._clock = clock
        self._copies: dict[str, _CopiedBills] = {}

    @property
    def held_bytes(self) -> int:
        """Bytes of compressed copies."""
        blocks = (block for c in self._copies.values() for block in c.blocks)
        return sum(len(data) for _, data in blocks)

    @property
    def owners(self) -> list[str]:
        """Incarnations whose bills are held, sorted."""
        return sorted(self._copies)

    def count(self, owner: str) -> int:
        """Return how many copies of an owner's bills are held."""
        copies = self._copies.get(owner)
        return len(copies.all()) if copies else 0

    def accept(self, owner: str, bills: list[Bill], watermark: int) -> None:
        """Hold copies of bills.

        :param owner: incarnation whose bills they are.
        :param bills: the bills.
        :param watermark: every bill with a lower number is in the store.
        """
        copies = self._copies.setdefault(owner, _CopiedBills())
        copies.trim(watermark)
        for bill in bills:
            copies.add(bill)
        copies.compress()

    def release(self, owner: str) -> None:
        """Forget the copies of an owner that has stopped in good order."""
        self._copies.pop(owner, None)

    async def write_to_store(self, owner: str) -> bool:
        """Write the bills of a dead incarnation to the store.

        :param owner: the dead incarnation.
        :returns: whether the store has them all.
        """
        copies = self._copies.get(owner)
        if copies is None:
            return True
        bills = sorted(copies.all().values())
        for index in range(0, len(bills), SEAL_BILLS):
            part = bills[index : index + SEAL_BILLS]
            data = encode_bills(part)
            digest = hashlib.blake2b(data, digest_size=8).hexdigest()
            key = f"{SEGMENT_PREFIX}{owner}/copy-{self._keeper}-{digest}"
            record = SegmentRecord(
                incarnation=owner, writer=self._keeper, bills=bills_to_text(data)
            )
            if not await write_once(self._store, self._clock, key, record):
                return False
        self._copies.pop(owner, None)
        return True


async def write_once(
    store: ObjectStore, clock: Clock, key: str, record: SegmentRecord
) -> bool:
    """Create an object, taking an equal one that is there already as success.

    :returns: whether the store has it.
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
