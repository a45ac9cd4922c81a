"""Choice of the gateway that serves a request in place of this one."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection, Iterable

from lentilshore_kernel.clock import Clock
from lentilshore_routing.placement import Placement
from lentilshore_routing.replica_room import ReplicaRoom

from ..clients.fleet_source import GatewayEntry
from .service_reach import Reach, ServiceReach

# A gateway whose replicas had no room is asked last for this time.
FULL_S = 0.05
# A gateway that stops or has not answered is passed over for this time.
UNFIT_S = 1.0


class ServingPeers:
    """Gateways that serve requests in place of this one.

    That is so for a service whose replicas only they reach, and for one whose replicas
    bear few rejections, so that each has one gateway that sends it requests.

    :param clock: measures for how long a gateway is avoided.
    :param random_source: chooses among gateways.
    :param reach: services that this gateway does not reach.
    :param replica_room: replicas that bear few rejections.
    :param placement: knows whether this gateway may send a replica a request.
    """

    def __init__(
        self,
        clock: Clock,
        random_source: random.Random,
        reach: ServiceReach,
        replica_room: ReplicaRoom,
        placement: Placement,
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._reach = reach
        self._replica_room = replica_room
        self._placement = placement
        self._entries: dict[str, GatewayEntry] = {}
        self._in_flight: Counter[str] = Counter()
        self._full_until: dict[str, float] = {}
        self._unfit_until: dict[str, float] = {}

    @property
    def unfit(self) -> list[str]:
        """Names of the gateways that are passed over now."""
        now = self._clock.monotonic()
        return [name for name, until in self._unfit_until.items() if until > now]

    @property
    def gateway_count(self) -> int:
        """Number of known gateways, this one included."""
        return len(self._entries) + 1

    def set_gateways(self, entries: Iterable[GatewayEntry]) -> None:
        """Replace the list of the other gateways."""
        self._entries = {entry.name: entry for entry in entries}
        for known in (self._full_until, self._unfit_until):
            for name in known.keys() - self._entries.keys():
                del known[name]

    def must_serve(self, service: str) -> bool:
        """Return whether a request is served elsewhere without a try here."""
        if self._replica_room.is_scarce(service):
            return not self._placement.has_place(service) and bool(self._known(service))
        return self._reach.state(service) is Reach.CUT_OFF

    def has_any(self, service: str) -> bool:
        """Return whether a gateway is known that may serve a request."""
        return bool(self._known(service))

    def choose(self, service: str, excluded: Collection[str]) -> GatewayEntry | None:
        """Return the better of two random gateways, None if there is none.

        :param excluded: names of gateways that must not be chosen.
        """
        usable = [p for p in self._known(service) if p.name not in excluded]
        now = self._clock.monotonic()
        free = [p for p in usable if self._full_until.get(p.name, 0.0) <= now]
        usable = free or usable
        if not usable:
            return None
        pair = self._random.sample(usable, min(2, len(usable)))
        return min(pair, key=lambda peer: self._in_flight[peer.name])

    def begin(self, peer: GatewayEntry) -> None:
        """Count a request that a gateway begins to serve in place of this one."""
        self._in_flight[peer.name] += 1

    def end(self, peer: GatewayEntry) -> None:
        """Count the end of such a request."""
        self._in_flight[peer.name] -= 1
        if self._in_flight[peer.name] <= 0:
            del self._in_flight[peer.name]

    def record_full(self, peer: GatewayEntry) -> None:
        """Record that the replicas to which a gateway sends have no room."""
        self._full_until[peer.name] = self._clock.monotonic() + FULL_S

    def record_unfit(self, service: str, peer: GatewayEntry) -> None:
        """Record that a gateway stops, has not answered or can't serve a service."""
        self._unfit_until[peer.name] = self._clock.monotonic() + UNFIT_S
        self._reach.drop_peer(service, peer)

    def _known(self, service: str) -> list[GatewayEntry]:
        if not self._replica_room.is_scarce(service):
            return list(self._reach.peers(service))
        unfit = self.unfit
        names = {
            next((name for name in candidates if name not in unfit), "")
            for candidates in self._replica_room.candidates_of(service)
        }
        return [self._entries[name] for name in sorted(names) if name in self._entries]
