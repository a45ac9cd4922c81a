"""Which gateways there are, and which of them read the platform's store for others."""

from __future__ import annotations

import bisect
import math
import random

import anyio

from lentilshore_kernel import log_event
from lentilshore_kernel.clock import Clock
from lentilshore_kernel.exceptions import StoreError
from lentilshore_kernel.metrics import Metrics
from lentilshore_routing.version_choice import hash_fraction

from ..clients.fleet_source import FleetSource, GatewayEntry

# Random delay of the first registration: all gateways of a fleet may start together.
REGISTRATION_SPREAD_S = 1.0
# The first list follows when gateways that started together have registered.
FIRST_LIST_DELAY_S = 2.0
# A gateway that was registered before it started lists the others within this time,
# since those have registered too.
RETURN_LIST_SPREAD_S = 0.3
LIST_INTERVAL_S = 20.0
# Time within which each gateway reads the list again; the store's may be seconds old.
LONGEST_LIST_INTERVAL_S = 1.5 * LIST_INTERVAL_S + 5.0
# A gateway that did not answer is not asked again for this time. It doubles with each
# further failure, since entries of removed instances stay in the store.
FAILED_PEER_PAUSE_S = 3.0
MAX_FAILED_PEER_PAUSE_S = 60.0
# A gateway that has answered, and has lost the store itself, is asked again after this
# time: it tells of the store's return.
STALE_PEER_PAUSE_S = 0.3
MAX_DOUBLINGS = 16  # keeps the power small; the pause reaches its limit before
# A gateway asks this many others in turn before it calls the store itself.
MAX_PEERS_ASKED = 2


class GatewayDirectory:
    """Gateways that registered in the platform's store, in the order to ask them.

    In each data centre all gateways order one another alike, by a hash of their names.
    The first one reads the store; the others ask those before them, so that calls of
    the store grow with the data centres and not with the gateways.

    :param own: this gateway's entry.
    :param source: the platform's store, in which gateways register.
    :param clock: source of time.
    :param random_source: spreads calls of the store.
    :param metrics: counts failures.
    """

    def __init__(
        self,
        own: GatewayEntry,
        source: FleetSource,
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
    ) -> None:
        self._own = own
        self._source = source
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._preferred: list[GatewayEntry] = []
        self._others: list[GatewayEntry] = []
        self._registered = False
        # Whether there is an entry of this gateway's name, perhaps of another address.
        self._listed = False
        # Whether the entry of this gateway is older than its process.
        self._returns = False
        self._others_listed = anyio.Event()
        # From this time on, all others have had time to list this gateway.
        self._listed_from = math.inf
        self._paused_until: dict[str, float] = {}
        self._consecutive_failures: dict[str, int] = {}

    def peers_to_ask(self, limit: int = MAX_PEERS_ASKED) -> list[GatewayEntry]:
        """Return the gateways to ask instead of the store, best first.

        :param limit: greatest number of gateways.
        """
        usable = [entry for entry in self._preferred if not self.is_paused(entry)]
        return usable[:limit]

    @property
    def has_reader(self) -> bool:
        """Whether a gateway that reads the store before this one answers calls."""
        failures = self._consecutive_failures
        return any(entry.name not in failures for entry in self._preferred)

    def fallback_peers(self, limit: int = MAX_PEERS_ASKED) -> list[GatewayEntry]:
        """Return the gateways to ask where the store refuses this one.

        Those of the same data centre come first, in the order in which they read the
        store.

        :param limit: greatest number of gateways.
        """
        own_rank = _rank(self._own)
        usable = self._usable_others()
        near = [e for e in usable if e.data_centre == self._own.data_centre]
        near = sorted((e for e in near if _rank(e) > own_rank), key=_rank)
        far = [e for e in usable if e.data_centre != self._own.data_centre]
        far = self._random.sample(far, min(limit, len(far)))
        return (near[: limit - 1] + far)[:limit] if far else near[:limit]

    @property
    def names(self) -> list[str]:
        """Names of all gateways, this one included; empty while it is not listed."""
        if not self._listed:
            return []
        return [self._own.name, *(entry.name for entry in self._others)]

    @property
    def all_others(self) -> list[GatewayEntry]:
        """All other gateways, whether they answer or not."""
        return list(self._others)

    def others(self) -> list[GatewayEntry]:
        """Return the other gateways that answer, as far as is known."""
        return self._usable_others()

    @property
    def listed_from(self) -> float:
        """Time from which the others know of this gateway, on the node's clock."""
        return self._listed_from

    def random_peer(self) -> GatewayEntry | None:
        """Return a random one of the other gateways that answer, None for none."""
        usable = self._usable_others()
        return self._random.choice(usable) if usable else None

    def random_peers(self, limit: int) -> list[GatewayEntry]:
        """Return random ones of the other gateways that answer.

        If none of them answers, any may be returned: it may answer again.

        :param limit: greatest number of gateways.
        """
        usable = self._usable_others() or self._others
        return self._random.sample(usable, min(limit, len(usable)))

    def next_peers(self, limit: int) -> list[GatewayEntry]:
        """Return the other gateways that answer and follow this one in a ring.

        All gateways form the ring alike, so that each is the next one of another.

        :param limit: greatest number of gateways.
        """
        usable = sorted(self._usable_others() or self._others, key=_rank)
        start = bisect.bisect(usable, _rank(self._own), key=_rank)
        return (usable[start:] + usable[:start])[:limit]

    async def wait_for_others(self) -> None:
        """Wait until other gateways have been listed, since the start."""
        await self._others_listed.wait()

    def is_paused(self, peer: GatewayEntry) -> bool:
        """Return whether a gateway has failed so recently that it is left alone."""
        return self._paused_until.get(peer.name, 0.0) > self._clock.monotonic()

    def record_failure(self, peer: GatewayEntry) -> None:
        """Record that a gateway did not answer.

        Calls that were made together count once.
        """
        self._metrics.count("relay.peer_failed")
        if self.is_paused(peer):
            return
        failures = self._consecutive_failures.get(peer.name, 0)
        self._consecutive_failures[peer.name] = failures + 1
        doublings = min(failures, MAX_DOUBLINGS)
        pause_s = min(MAX_FAILED_PEER_PAUSE_S, FAILED_PEER_PAUSE_S * 2**doublings)
        self._paused_until[peer.name] = self._clock.monotonic() + pause_s
        # At most one line a pause and peer.
        log_event("peer_unusable", peer=peer.name, pause_s=f"{pause_s:g}")

    def record_stale_answer(self, peer: GatewayEntry) -> None:
        """Record that a gateway has answered, and knows less than this one."""
        self._metrics.count("relay.peer_stale")
        self._consecutive_failures.pop(peer.name, None)
        self._paused_until[peer.name] = self._clock.monotonic() + STALE_PEER_PAUSE_S

    def record_answer(self, peer: GatewayEntry) -> None:
        """Record that a gateway has answered."""
        self._consecutive_failures.pop(peer.name, None)

    async def run(self) -> None:
        """Register this gateway and keep the list up to date until cancelled."""
        await self._clock.sleep(REGISTRATION_SPREAD_S * self._random.random())
        has_listed = False
        while True:
            try:
                if not self._registered:
                    await self._register()
                await self._clock.sleep(self._list_delay_s(has_listed))
                self.update(await self._source.list_gateways())
                has_listed = True
            except StoreError as error:
                log_event("gateways_not_listed", detail=str(error))
                await self._clock.sleep(FIRST_LIST_DELAY_S)

    async def _register(self) -> None:
        is_new = await self._source.register_gateway(self._own)
        if self._listed_from == math.inf:
            delay_s = LONGEST_LIST_INTERVAL_S if is_new else 0.0
            self._listed_from = self._clock.monotonic() + delay_s
            self._returns = not is_new

    def _list_delay_s(self, has_listed: bool) -> float:
        if not has_listed and self._returns:
            return RETURN_LIST_SPREAD_S * self._random.random()
        mean_s = LIST_INTERVAL_S if has_listed else FIRST_LIST_DELAY_S
        return mean_s * (0.5 + self._random.random())

    def _usable_others(self) -> list[GatewayEntry]:
        return [entry for entry in self._others if not self.is_paused(entry)]

    def update(self, entries: list[GatewayEntry]) -> None:
        """Replace the known gateways.

        :param entries: all gateways that are registered.
        """
        # A store that was restored from a copy may have lost this gateway's entry.
        self._registered = self._own in entries
        self._listed = any(entry.name == self._own.name for entry in entries)
        self._others = [entry for entry in entries if entry.name != self._own.name]
        if self._others:
            self._others_listed.set()
        self._preferred = sorted(
            (
                entry
                for entry in entries
                if entry.data_centre == self._own.data_centre
                and _rank(entry) < _rank(self._own)
            ),
            key=_rank,
        )
        for name in self._paused_until.keys() - {entry.name for entry in entries}:
            del self._paused_until[name]
            self._consecutive_failures.pop(name, None)


def _rank(entry: GatewayEntry) -> tuple[float, str]:
    """Return the sort key by which all gateways order one another alike."""
    return hash_fraction(f"reader/{entry.name}"), entry.name
