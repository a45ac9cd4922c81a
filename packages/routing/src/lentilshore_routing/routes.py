"""Routes of plain and streaming requests that are passed on unchanged."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple


class DeliveryMode(StrEnum):
    """What may be done about a request whose first run is in doubt."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM_ONCE = "stream_once"
    STREAM_RESUMABLE = "stream_resumable"

    @property
    def streaming(self) -> bool:
        """Whether the answer is a series of events."""
        return self in (DeliveryMode.STREAM_ONCE, DeliveryMode.STREAM_RESUMABLE)

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self in (DeliveryMode.IDEMPOTENT, DeliveryMode.STREAM_RESUMABLE)


class Route(NamedTuple):
    """Where requests of one host and path prefix go, and within which limits.

    :param name: name of the route.
    :param host: value of the Host header.
    :param prefix: start of the path, which begins and ends with a slash.
    :param delivery_mode: what may be repeated.
    :param timeout_s: longest time that a request is kept, seconds.
    :param objective_s: time to the answer, or to its first event, seconds.
    :param pause_s: longest pause between events of a timely stream, seconds.
    :param priority: rank, 0 is the most urgent.
    :param max_attempts: most replicas that one request is sent to.
    :param public: whether no key is needed.
    :param models: names of models to choose from, smallest first; empty where the
        request names its model or has none.
    :param weights: share of each service.
    """

    name: str
    host: str
    prefix: str
    delivery_mode: DeliveryMode
    timeout_s: float
    objective_s: float
    pause_s: float
    priority: int
    max_attempts: int
    public: bool
    models: tuple[str, ...]
    weights: tuple[tuple[str, float], ...]

    def pick_service(self, point: float) -> str:
        """Return the service at a point of the weights.

        :param point: from 0 to 1.
        """
        total = sum(weight for _, weight in self.weights)
        passed = 0.0
        for service, weight in self.weights:
            passed += weight
            if point * total < passed:
                return service
        return self.weights[-1][0]


class KeyHolder(NamedTuple):
    """Customer that a key belongs to.

    :param name: name of the customer.
    :param priority: rank that takes precedence over the route's, if there is one.
    """

    name: str
    priority: int | None = None


class CallerLimits(NamedTuple):
    """What a caller may send.

    :param body_bytes: largest body.
    :param idle_s: how long an idle connection stays open, seconds.
    """

    body_bytes: int = 4_194_304
    idle_s: float = 60.0


class RouteTable:
    """One version of the operators' configuration.

    :param version: number that rises with each configuration.
    :param routes: all routes.
    :param holders: customers by key.
    :param limits: limits for callers.
    :param model_costs: cost per 1,000 tokens generated, by model.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        holders: Mapping[str, KeyHolder],
        limits: CallerLimits,
        model_costs: Mapping[str, float] | None = None,
    ) -> None:
        self._version = version
        self._holders = dict(holders)
        self._limits = limits
        self._model_costs = dict(model_costs or {})
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for found in self._by_host.values():
            found.sort(key=lambda route: -len(route.prefix))

    @property
    def version(self) -> int:
        """Number of the configuration."""
        return self._version

    @property
    def limits(self) -> CallerLimits:
        """Limits for callers."""
        return self._limits

    @property
    def model_costs(self) -> Mapping[str, float]:
        """Cost per 1,000 tokens generated, by model."""
        return self._model_costs

    @property
    def route_count(self) -> int:
        """Number of routes."""
        return sum(len(found) for found in self._by_host.values())

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def holder(self, key: str) -> KeyHolder | None:
        """Return the customer that a key belongs to, or None."""
        return self._holders.get(key)


class PrefixPart(NamedTuple):
    """Part of a prompt that other prompts may begin with as well.

    :param name: identifier of the part.
    :param tokens: its length.
    """

    name: str
    tokens: int


def shared_prefix(parts: Sequence[PrefixPart], model: str) -> tuple[str, int]:
    """Return a key of the shared start of a prompt and its length in tokens.

    The last part belongs to the request itself.

    :param parts: parts in order.
    :param model: what an engine caches holds for one model only.
    """
    shared = parts[:-1]
    if not shared:
        return "", 0
    return f"{model}/{shared[-1].name}", sum(part.tokens for part in shared)
