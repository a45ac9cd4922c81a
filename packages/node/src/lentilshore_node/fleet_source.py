"""What a gateway reads from the platform's store, and the little that it writes."""

from __future__ import annotations

from typing import Generic, NamedTuple, Protocol, TypeVar

from lentilshore_routing.rollout_record import Rollout
from lentilshore_routing.routes import RouteTable

T = TypeVar("T")


class Listing(NamedTuple, Generic[T]):
    """Everything in a collection.

    :param items: the readable items.
    :param revision: revision of the store that it shows.
    """

    items: list[T]
    revision: int


class Change(NamedTuple, Generic[T]):
    """One change of a collection.

    :param name: name of the item.
    :param item: the item as it is now, None if it was removed or names nothing.
    """

    name: str
    item: T | None


class Changes(NamedTuple, Generic[T]):
    """Changes of a collection, oldest first; an item may leave and come back.

    :param events: the changes.
    :param revision: revision up to which all changes are included.
    """

    events: list[Change[T]]
    revision: int


class Collection(Protocol[T]):
    """Part of the store that is listed and watched.

    Every method raises StoreUnavailableError if the store is not reached.
    """

    async def list(self) -> Listing[T]:
        """Return everything."""

    async def watch(self, after: int, wait_s: float) -> Changes[T]:
        """Return the changes after a revision, waiting for one if need be.

        :raises StoreHistoryGoneError: if they are no longer known.
        """


class FleetSource(Protocol):
    """The store, in the product's types."""

    @property
    def replicas(self) -> Collection:
        """Entries of replicas; unreadable ones are left out."""

    @property
    def rollouts(self) -> Collection:
        """Orders of roll-outs."""

    async def read_table(self) -> RouteTable | None:
        """Return the newest configuration, or None if there is none yet.

        :raises StoreUnavailableError: if it cannot be read.
        """

    async def write_rollout(self, rollout: Rollout) -> Rollout:
        """Write a roll-out's record if it is still at the revision named.

        :returns: the record as it is now: the one written, or another's.
        :raises StoreError: if that cannot be told.
        """
