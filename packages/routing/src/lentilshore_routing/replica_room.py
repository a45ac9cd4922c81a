"""Which node may send requests to replicas that bear few rejections, and how many.

Such a replica ends if it has to reject more than a few requests a second for want of
room. No node can keep that bound by what it sees alone. So each replica of the service
has one dispatcher among the nodes, which all nodes work out alike from their list
(rendezvous hashing) and which alone sends it requests, no more than it has places for.
The other nodes have it serve their requests. A node takes the place of one before it in
the order only if that one does not answer.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Collection, Iterable, Iterator, Sequence
from typing import NamedTuple

from lentilshore_kernel.clock import Clock

from .replicas import Replica

# What a replica has said counts for this time if nobody tells of it again.
NOTICE_S = 10.0
# Places assumed for a replica that states none.
UNKNOWN_PLACES = 1
# A dispatcher that takes over begins with this share of a replica's places, since
# requests of the one before it may still run. One that has dispatched from this time
# after the replicas spoke has all of them.
TAKEOVER_SHARE = 0.25
FIRST_START_S = 2.0
# A node watches those before it in the order of a replica if so many of them answer at
# most; the others would not take over soon.
WATCHED_ANSWERING_NODES = 2
# A replica that bears fewer rejections a second than this keeps one place free.
SPARE_PLACE_REJECTIONS = 2.0
# A replica that has rejected a request gets none for this time, and then keeps one
# place less than it had taken.
REJECTION_PAUSE_S = 1.0
# After a rejection, another place is tried after this number of requests without one.
REQUESTS_PER_NEW_PLACE = 20
# Places that a replica may state; more is taken for this.
MAX_PLACES = 100_000


class RoomNews(NamedTuple):
    """What one node tells others of a replica.

    :param replica: name of the replica.
    :param rejections_per_s: rejections that it bears, a second; negative if it no
        longer states a number.
    :param age_s: time since an answer of the replica said so, seconds.
    """

    replica: str
    rejections_per_s: float
    age_s: float


class _Notice:
    """What a replica has said last."""

    def __init__(self, rejections_per_s: float, observed_at: float) -> None:
        self.rejections_per_s = rejections_per_s
        self.observed_at = observed_at

    @property
    def stated(self) -> bool:
        return self.rejections_per_s >= 0


class _Dispatch:
    """Requests that a node sends one replica as its dispatcher."""

    def __init__(self, places: int) -> None:
        self.places = places
        self.ends = 0
        self.rejected = False
        self.paused_until = -math.inf


class ReplicaRoom:
    """Replicas that bear few rejections, their dispatchers and their places.

    :param node: name of this node in the list of nodes.
    :param clock: measures ages; must count time spent suspended.
    """

    def __init__(self, node: str, clock: Clock) -> None:
        self._node = node
        self._clock = clock
        self._notices: dict[str, _Notice] = {}
        self._replicas: dict[str, Replica] = {}
        self._names_by_service: dict[str, list[str]] = {}
        self._nodes: Sequence[str] = ()
        self._silent_nodes: set[str] = set()
        self._orders: dict[str, list[str]] = {}
        # Replicas that this node dispatches for, by service.
        self._own: dict[str, list[str]] = {}
        self._dispatches: dict[str, _Dispatch] = {}
        # Since when and until when services are known to bear few rejections.
        self._since: dict[str, float] = {}
        self._scarce_until: dict[str, float] = {}

    def set_nodes(self, nodes: Collection[str]) -> None:
        """Replace the list of nodes.

        :param nodes: names of all nodes; empty if they are not known.
        """
        if set(nodes) != set(self._nodes):
            self._nodes = sorted(nodes)
            self._orders.clear()
            self._own.clear()

    def set_silent_nodes(self, nodes: Collection[str]) -> None:
        """Replace the set of nodes that do not answer, as far as this one knows."""
        if set(nodes) != self._silent_nodes:
            self._silent_nodes = set(nodes)
            self._own.clear()

    def set_replicas(self, replicas: Iterable[Replica]) -> None:
        """Replace the list of replicas."""
        self._replicas = {replica.name: replica for replica in replicas}
        self._own.clear()
        self._names_by_service = {}
        for replica in self._replicas.values():
            for service in {_service_of(group) for group in replica.groups}:
                self._names_by_service.setdefault(service, []).append(replica.name)
        for name in self._notices.keys() - self._replicas.keys():
            del self._notices[name]
        for name in self._orders.keys() - self._replicas.keys():
            del self._orders[name]
        for name in self._dispatches.keys() - self._replicas.keys():
            del self._dispatches[name]

    def observe(
        self, replica: str, rejections_per_s: float | None, sent_at: float
    ) -> bool:
        """Record what an answer of a replica says.

        :param rejections_per_s: rejections that it bears, a second; None if it states
            no number.
        :param sent_at: time at which the request was sent, on the node's clock,
            seconds. An answer without a number ends what was stated before that.
        :returns: whether the replica has begun or ceased to state a number.
        """
        known = self._notices.get(replica)
        if rejections_per_s is None:
            if known is None or not known.stated or sent_at <= known.observed_at:
                return False
            self._notices[replica] = _Notice(-1.0, sent_at)
            self._shorten(replica)
            return True
        now = self._clock.monotonic()
        self._notices[replica] = _Notice(max(0.0, rejections_per_s), now)
        self._extend(replica, now)
        return known is None or not known.stated

    def is_scarce(self, service: str) -> bool:
        """Return whether a replica of a service bears few rejections.

        One that says so stands for all: the others may not have been asked.
        """
        return self._scarce_until.get(service, -math.inf) > self._clock.monotonic()

    def is_scarce_replica(self, replica: str) -> bool:
        """Return whether a replica belongs to a service that bears few rejections."""
        if not self._notices:
            return False
        return any(self.is_scarce(service) for service in self._services_of(replica))

    @property
    def scarce_services(self) -> list[str]:
        """Services that bear few rejections, sorted."""
        if not self._notices:
            return []
        return sorted(name for name in self._names_by_service if self.is_scarce(name))

    def dispatcher(self, replica: str) -> str:
        """Return the node that sends a replica its requests, empty if none is known."""
        return next(self.candidates(replica), "")

    def own_replicas(self, service: str) -> Sequence[str]:
        """Return the replicas of a service of which this node is the dispatcher."""
        own = self._own.get(service)
        if own is None:
            names = self._names_by_service.get(service, ())
            own = [name for name in names if self.dispatcher(name) == self._node]
            self._own[service] = own
        return own

    def candidates(self, replica: str) -> Iterator[str]:
        """Yield the nodes that may send a replica requests, best first.

        Those that don't answer are left out.
        """
        return (n for n in self._order(replica) if n not in self._silent_nodes)

    def predecessors(self) -> set[str]:
        """Return the nodes whose replicas this one takes over when they are silent."""
        found: set[str] = set()
        for service in self.scarce_services:
            for replica in self._names_by_service[service]:
                found.update(self._watched_before_own(self._order(replica)))
        return found

    def _watched_before_own(self, order: Sequence[str]) -> Sequence[str]:
        answering = 0
        for index, name in enumerate(order):
            if name == self._node:
                return order[:index]
            answering += name not in self._silent_nodes
            if answering > WATCHED_ANSWERING_NODES:
                break
        return ()

    def allows(self, replica: str, in_flight: int) -> bool:
        """Return whether this node may send a replica a request now.

        :param in_flight: number of this node's requests at the replica.
        """
        if not self._notices:
            return True
        scarce = [name for name in self._services_of(replica) if self.is_scarce(name)]
        if not scarce:
            return True
        if not any(replica in self.own_replicas(service) for service in scarce):
            return False
        dispatch = self._dispatch(replica)
        if dispatch.paused_until > self._clock.monotonic():
            return False
        return in_flight < dispatch.places

    def record_rejection(self, replica: str, in_flight: int) -> None:
        """Record that a replica has rejected a request for want of room.

        :param in_flight: number of this node's requests there, that one included.
        """
        if not self.is_scarce_replica(replica):
            return
        dispatch = self._dispatch(replica)
        dispatch.places = max(1, min(dispatch.places, in_flight) - 1)
        dispatch.ends, dispatch.rejected = 0, True
        dispatch.paused_until = self._clock.monotonic() + REJECTION_PAUSE_S

    def rejected_lately(self, replica: str) -> bool:
        """Return whether a replica may have ended because it had to reject requests."""
        dispatch = self._dispatches.get(replica)
        if dispatch is None or not self.is_scarce_replica(replica):
            return False
        return self._clock.monotonic() - dispatch.paused_until <= REJECTION_PAUSE_S

    def record_end(self, replica: str) -> None:
        """Record that a replica has answered a request that it ran."""
        dispatch = self._dispatches.get(replica)
        if dispatch is None:
            return
        dispatch.ends += 1
        needed = REQUESTS_PER_NEW_PLACE if dispatch.rejected else dispatch.places
        if dispatch.ends >= needed:
            dispatch.ends = 0
            dispatch.places = min(self._all_places(replica), dispatch.places + 1)

    def candidates_of(self, service: str) -> list[Iterator[str]]:
        """Return the candidates of each replica of a service, best first."""
        names = self._names_by_service.get(service, ())
        return [self.candidates(replica) for replica in names]

    def tell(self, service: str | None = None) -> list[RoomNews]:
        """Return what this node knows, for other nodes.

        :param service: service to tell of; None for all.
        """
        now = self._clock.monotonic()
        names = self._names_by_service.get(service, ()) if service else self._notices
        return [
            RoomNews(
                name,
                self._notices[name].rejections_per_s,
                now - self._notices[name].observed_at,
            )
            for name in names
            if name in self._notices
            and now - self._notices[name].observed_at < NOTICE_S
        ]

    def learn(self, news: Iterable[RoomNews], asked_at: float) -> list[str]:
        """Accept what another node knows.

        :param asked_at: time from which the ages count, on this node's clock, seconds.
        :returns: replicas that have begun or ceased to state a number.
        """
        return [item.replica for item in news if self._learn(item, asked_at)]

    def _learn(self, news: RoomNews, asked_at: float) -> bool:
        sound = math.isfinite(news.rejections_per_s) and 0 <= news.age_s <= NOTICE_S
        if not sound or news.replica not in self._replicas:
            return False
        observed_at = asked_at - news.age_s
        known = self._notices.get(news.replica)
        if known is not None and observed_at <= known.observed_at:
            return False
        was_stated = known is not None and known.stated
        told = self._notices[news.replica] = _Notice(news.rejections_per_s, observed_at)
        if told.stated:
            self._extend(news.replica, observed_at)
        else:
            self._shorten(news.replica)
        return told.stated is not was_stated

    def _bound(self, replica: str) -> float | None:
        """Return the rejections a second that a replica bears, None for any number."""
        notice = self._notices.get(replica)
        if notice is None or not notice.stated:
            return None
        if self._clock.monotonic() - notice.observed_at >= NOTICE_S:
            return None
        return notice.rejections_per_s

    def _services_of(self, replica: str) -> set[str]:
        known = self._replicas.get(replica)
        return {_service_of(group) for group in known.groups} if known else set()

    def _extend(self, replica: str, observed_at: float) -> None:
        """Record that a replica has stated a number."""
        for service in self._services_of(replica):
            if not self.is_scarce(service):
                self._since[service] = observed_at
                self._forget_dispatches(service)
            until = max(self._scarce_until.get(service, 0.0), observed_at + NOTICE_S)
            self._scarce_until[service] = until

    def _shorten(self, replica: str) -> None:
        """Record that a replica states no number any longer."""
        for service in self._services_of(replica):
            stated = [
                notice.observed_at + NOTICE_S
                for name in self._names_by_service.get(service, ())
                if (notice := self._notices.get(name)) is not None and notice.stated
            ]
            self._scarce_until[service] = max(stated, default=-math.inf)
            if not self.is_scarce(service):
                self._forget_dispatches(service)

    def _forget_dispatches(self, service: str) -> None:
        for name in self._names_by_service.get(service, ()):
            self._dispatches.pop(name, None)

    def _order(self, replica: str) -> list[str]:
        """Return all nodes in the order in which they dispatch for a replica."""
        order = self._orders.get(replica)
        if order is None:
            nodes = self._nodes or [self._node]
            order = sorted(nodes, key=lambda node: _hash(f"{replica}/{node}"))
            self._orders[replica] = order
        return order

    def _dispatch(self, replica: str) -> _Dispatch:
        dispatch = self._dispatches.get(replica)
        if dispatch is None:
            dispatch = _Dispatch(self._first_places(replica))
            self._dispatches[replica] = dispatch
        return dispatch

    def _first_places(self, replica: str) -> int:
        places = self._all_places(replica)
        services = self._services_of(replica)
        began_at = min(self._since.get(name, -math.inf) for name in services)
        is_first = bool(self._nodes) and self._order(replica)[0] == self._node
        if is_first and self._clock.monotonic() - began_at <= FIRST_START_S:
            return places
        return max(1, int(places * TAKEOVER_SHARE))

    def _all_places(self, replica: str) -> int:
        places = min(MAX_PLACES, self._replicas[replica].places or UNKNOWN_PLACES)
        bounds = [
            bound
            for service in self._services_of(replica)
            for name in self._names_by_service.get(service, ())
            if (bound := self._bound(name)) is not None
        ]
        if min(bounds, default=math.inf) < SPARE_PLACE_REJECTIONS:
            return max(1, places - 1)
        return places


def _service_of(group: str) -> str:
    return group.partition("@")[0]


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
