"""Interface of the platform's object store."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.exceptions import StoreAmbiguousError, StoreUnavailableError

VALUE_LIMIT_BYTES = 1_000_000
READ_BACK_DELAYS_S = (0.0, 0.05, 0.2, 0.5)


class StoredObject(NamedTuple):
    """An object as read from the store.

    :param key: key of the object.
    :param version: version of the object, 1 after creation and higher for each update.
    :param value: JSON value of the object.
    """

    key: str
    version: int
    value: Any


class ObjectStore(Protocol):
    """The platform's object store.

    Every method raises StoreUnavailableError if the call certainly had no effect.
    Writes raise StoreAmbiguousError if it is not known whether they took effect, and
    StoreConflictError if the version did not match.
    """

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return all objects whose keys begin with a prefix, sorted by key."""

    async def put(self, key: str, value: Any, expected_version: int) -> int:
        """Write an object if its version is the expected one.

        :param key: key of the object.
        :param value: JSON value to write.
        :param expected_version: expected current version, 0 to create the object.
        :returns: the new version.
        """

    async def delete(self, key: str, expected_version: int) -> None:
        """Delete an object if its version is the expected one."""

    async def watch(self, key: str, after_version: int) -> StoredObject | None:
        """Wait until an object has a newer version than the given one.

        :returns: the object; None if the store ended the wait before that.
        """


async def read_back(store: ObjectStore, clock: Clock, key: str) -> StoredObject | None:
    """Read an object after a write whose outcome is unknown.

    Retries after the delays in :data:`READ_BACK_DELAYS_S` while the store is
    unavailable.

    :param store: the object store.
    :param clock: clock for the delays between reads.
    :param key: key of the object.
    :returns: the object, or None if it does not exist.
    :raises StoreAmbiguousError: if every read fails.
    """
    for delay_s in READ_BACK_DELAYS_S:
        await clock.sleep(delay_s)
        try:
            return await store.get(key)
        except StoreUnavailableError:
            continue
    raise StoreAmbiguousError(f"{key}: outcome of the write could not be read back")
