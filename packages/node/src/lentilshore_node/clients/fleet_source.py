"""Interface between a gateway and the platform's store."""

from __future__ import annotations

from typing import Generic, NamedTuple, Protocol, TypeVar

from lentilshore_kernel.types import Address, StoreRevision
from lentilshore_routing.rollout_record import Rollout
from lentilshore_routing.routes import RouteTable

T = TypeVar("T")


class Listing(NamedTuple, Generic[T]):
    """All items of a collection at one revision.

    :param items: the readable items.
    :param revision: revision of the store at which they were read.
    """

    items: list[T]
    revision: StoreRevision


class Change(NamedTuple, Generic[T]):
    """One change of a collection.

    :param name: name of the item.
    :param item: the item after the change, None if it was removed or is not valid.
    """

    name: str
    item: T | None


class Changes(NamedTuple, Generic[T]):
    """Changes of a collection, oldest first; an item may be removed and added again.

    :param changes: the changes.
    :param revision: revision up to which all changes are included.
    :param complete_at: time up to which they are known to be complete, on the node's
        clock, seconds; None if that is the beginning of the call.
    :param made_after: time after which all of them were made, as another gateway knows
        it, on the node's clock, seconds; None if the store itself was asked.
    """

    changes: list[Change[T]]
    revision: StoreRevision
    complete_at: float | None = None
    made_after: float | None = None


class TableReading(NamedTuple):
    """Result of a read of the configuration.

    :param table: the newest route table, None if there is none yet.
    :param age_s: time before the call began at which it was known to be the newest,
        seconds; 0 if the store itself was asked.
    """

    table: RouteTable | None
    age_s: float = 0.0


class GatewayEntry(NamedTuple):
    """A gateway that other gateways may ask for what it has read from the store.

    :param name: name of the instance.
    :param address: address for calls of other gateways.
    :param data_centre: data centre that it runs in.
    """

    name: str
    address: Address
    data_centre: str


class Collection(Protocol[T]):
    """Part of the store that is listed and watched.

    Every method raises StoreUnavailableError if the store cannot be reached.
    """

    async def list(self) -> Listing[T]:
        """Return all items."""

    async def watch(self, after: StoreRevision, wait_s: float) -> Changes[T]:
        """Return the changes after a revision, waiting for one if there is none.

        :param after: revision of the store up to which the changes are known.
        :param wait_s: longest wait, seconds.
        :raises StoreHistoryGoneError: if the store no longer has these changes, or has
            begun another era.
        """


class FleetSource(Protocol):
    """The platform's store in terms of the gateway's types."""

    @property
    def replicas(self) -> Collection:
        """Records of replicas; unreadable ones are left out."""

    @property
    def rollouts(self) -> Collection:
        """Records of roll-outs."""

    @property
    def closures(self) -> Collection:
        """Names of the closed data centres."""

    async def read_table(self) -> TableReading:
        """Return the newest route table, which is the fleet's configuration.

        :raises StoreUnavailableError: if it cannot be read.
        """

    @property
    def table_data(self) -> bytes:
        """The newest table that was read, as the store tells it; empty for none."""

    def decode_table(self, data: bytes) -> RouteTable:
        """Return a table that another gateway has read.

        :param data: the other gateway's :attr:`table_data`.
        :raises StoreUnavailableError: if it cannot be read.
        """

    async def write_rollout(self, rollout: Rollout) -> Rollout:
        """Write a roll-out's record if the stored one still has ``rollout.revision``.

        :returns: the record now stored: the one written or another writer's.
        :raises StoreError: if the stored record cannot be determined, or if the store
            has begun another era since the record was read.
        """

    async def register_gateway(self, entry: GatewayEntry) -> bool:
        """Write the entry of this gateway unless it stands there already.

        :returns: whether there was no entry of this name.
        :raises StoreError: if the store fails; call again.
        """

    async def list_gateways(self) -> list[GatewayEntry]:
        """Return all registered gateways; the list may be seconds old.

        :raises StoreError: if the store fails; call again.
        """
