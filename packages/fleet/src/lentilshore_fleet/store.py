"""Protocol of the platform's object API as the fleet uses it."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.exceptions import StoreAmbiguousError, StoreUnavailableError

VALUE_LIMIT_BYTES = 1_000_000
READ_BACK_DELAYS_S = (0.0, 0.05, 0.2, 0.5)


class StoredObject(NamedTuple):
    """An object as read from the store.

    :param key: its key.
    :param version: its version, 1 after creation and higher for each update.
    :param value: a JSON value.
    """

    key: str
    version: int
    value: Any


class ObjectStore(Protocol):
    """The platform's object API.

    Every method raises StoreUnavailableError if the call certainly had no
    effect; writes raise StoreAmbiguousError if it is not known whether they
    took effect and StoreConflictError if the version did not match.
    """

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if there is none."""

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return all objects whose keys begin with a prefix, by key."""

    async def put(self, key: str, value: Any, expected_version: int) -> int:
        """Write an object if its version is the expected one.

        :param expected_version: 0 to create.
        :returns: the new version.
        """

    async def delete(self, key: str, expected_version: int) -> None:
        """Delete an object if its version is the expected one."""

    async def watch(self, key: str, after_version: int) -> StoredObject | None:
        """Wait until an object is newer than a version.

        :returns: None if the store ended the wait before that.
        """


async def read_back(store: ObjectStore, clock: Clock, key: str) -> StoredObject | None:
    """Read an object to learn whether a write with a lost answer took effect.

    :param store: the object API.
    :param clock: paces the tries.
    :param key: key of the object.
    :returns: the object, or None if there is none.
    :raises StoreAmbiguousError: if no read succeeds.
    """
    for delay_s in READ_BACK_DELAYS_S:
        await clock.sleep(delay_s)
        try:
            return await store.get(key)
        except StoreUnavailableError:
            continue
    raise StoreAmbiguousError(f"{key}: outcome of the write could not be read back")
