"""Messages in which gateways tell one another what they have read from the store."""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable, Mapping
from typing import Any, Generic, TypeVar

import msgspec

from lentilshore_kernel.exceptions import LentilshoreError
from lentilshore_kernel.types import StoreRevision

from ..clients.fleet_source import Change, Changes
from ..state.replica_record import ReplicaRecord

T = TypeVar("T")

# Largest compressed configuration that is relayed. One gateway tells all others of its
# data centre, so that larger ones would fill its link.
TABLE_LIMIT_BYTES = 24_576
DECOMPRESSED_LIMIT_BYTES = 1_048_576


# Fields of a replica's record in a message. Gateways of earlier releases reject a
# record that has more, so that later fields have a place of their own.
RECORD_FIELDS = 5


class UnreadableTableError(LentilshoreError):
    """A configuration that a gateway has told can't be read."""


class ConfigurationState(msgspec.Struct):
    """Newest configuration that a gateway knows.

    :param era: era of the store.
    :param version: version of the configuration.
    :param age_s: time since it was known to be the newest, seconds.
    :param data: the configuration as the store tells it, compressed; empty if the
        asker knows it, or if it is too large.
    """

    era: int
    version: int
    age_s: float
    data: bytes = b""


class RelayedChanges(msgspec.Struct, Generic[T]):
    """Changes of a collection after a revision.

    :param number: revision up to which they are complete, in the era asked for.
    :param age_s: time since they were known to be complete, seconds.
    :param changes: the latest change of each item.
    :param news_age_s: greatest time since one of them was made, seconds; None if it
        isn't known.
    :param waited_s: time from the call until the ages were determined, seconds.
    :param cold_s: for how long replicas among them stay cold, by name of the item,
        seconds.
    """

    number: int
    age_s: float
    changes: list[Change[T]]
    news_age_s: float | None = None
    waited_s: float = 0.0
    cold_s: dict[str, float] = {}


def compress_table(data: bytes) -> bytes:
    """Return a configuration for other gateways; empty if it is too large."""
    compressed = zlib.compress(data)
    return compressed if len(compressed) <= TABLE_LIMIT_BYTES else b""


def decompress_table(data: bytes) -> bytes:
    """Return the configuration that another gateway has compressed.

    :raises UnreadableTableError: if it can't be decompressed, or is too large.
    """
    decompressor = zlib.decompressobj()
    try:
        table = decompressor.decompress(data, DECOMPRESSED_LIMIT_BYTES)
    except zlib.error as error:
        raise UnreadableTableError(str(error)) from error
    if not decompressor.eof:
        raise UnreadableTableError(
            f"{len(data)} bytes are truncated, or over {DECOMPRESSED_LIMIT_BYTES} bytes"
        )
    return table


def encode_changes(
    found: Changes,
    asked_at: float,
    now: float,
    cold_remaining_s: Callable[[str], float] = lambda _: 0.0,
) -> bytes:
    """Return the body of an answer with changes.

    :param asked_at: time at which the call came, on the node's clock, seconds.
    :param now: present time, on the same clock, seconds.
    :param cold_remaining_s: returns for how long a replica stays cold, seconds.
    """
    records = [c.name for c in found.changes if isinstance(c.item, ReplicaRecord)]
    made_after = found.made_after if found.changes else None
    answer = RelayedChanges(
        found.revision.number,
        now - found.complete_at if found.complete_at is not None else math.inf,
        [_as_told(change) for change in found.changes],
        now - made_after if made_after is not None else None,
        now - asked_at,
        {name: left_s for name in records if (left_s := cold_remaining_s(name)) > 0},
    )
    return msgspec.msgpack.encode(answer)


def decode_changes(
    answer: RelayedChanges[T], after: StoreRevision, asked_at: float, now: float
) -> Changes[T]:
    """Return the changes of another gateway's answer.

    Ages count from when they were determined; what isn't known of that makes them
    older.

    :param after: revision that was asked for.
    :param asked_at: time at which it was asked, on the node's clock, seconds.
    :param now: present time, on the same clock, seconds.
    """
    waited_s = answer.waited_s if 0.0 <= answer.waited_s <= now - asked_at else 0.0
    told_at = asked_at + waited_s
    news_age_s = answer.news_age_s
    if news_age_s is None or not news_age_s >= 0.0:
        news_age_s = math.inf
    return Changes(
        [_with_cold(change, answer.cold_s) for change in answer.changes],
        StoreRevision(after.era, max(after.number, answer.number)),
        told_at - answer.age_s,
        told_at - news_age_s,
    )


def _as_told(change: Change[Any]) -> Change[Any]:
    if not isinstance(change.item, ReplicaRecord):
        return change
    return change._replace(item=change.item[:RECORD_FIELDS])


def _with_cold(change: Change[T], cold_s: Mapping[str, float]) -> Change[T]:
    if not isinstance(change.item, ReplicaRecord) or change.name not in cold_s:
        return change
    record = change.item._replace(cold_remaining_s=cold_s[change.name])
    return change._replace(item=record)
