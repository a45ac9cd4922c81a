"""Routes of plain and streaming requests that are forwarded unchanged."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple


class DeliveryMode(StrEnum):
    """Whether a request may be sent again, and whether its answer is a stream.

    It decides what happens to a request that may already have run.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM_ONCE = "stream_once"
    STREAM_RESUMABLE = "stream_resumable"

    @property
    def streaming(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in (DeliveryMode.STREAM_ONCE, DeliveryMode.STREAM_RESUMABLE)

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self in (DeliveryMode.IDEMPOTENT, DeliveryMode.STREAM_RESUMABLE)


class KeyOwner(NamedTuple):
    """Customer that a key belongs to.

    :param name: name of the customer.
    :param priority: priority that overrides that of the route, None not to.
    """

    name: str
    priority: int | None = None


class Route(NamedTuple):
    """Services for the requests of one host and path prefix, and their limits.

    :param name: name of the route.
    :param host: value of the Host header.
    :param prefix: path prefix, which begins and ends with a slash.
    :param delivery_mode: whether a request may be repeated or resumed.
    :param timeout_s: timeout of a request, all attempts included, seconds.
    :param latency_objective_s: target time to the answer, or to its first event,
        seconds.
    :param pause_objective_s: target for the longest pause between events of a stream,
        seconds.
    :param priority: priority, 0 is the most urgent.
    :param max_attempts: maximum number of replicas that one request is sent to.
    :param public: whether requests need no key.
    :param models: names of models to choose from, smallest first; empty where the
        request names its model or has none.
    :param service_weights: names of services with their weights.
    """

    name: str
    host: str
    prefix: str
    delivery_mode: DeliveryMode
    timeout_s: float
    latency_objective_s: float
    pause_objective_s: float
    priority: int
    max_attempts: int
    public: bool
    models: tuple[str, ...]
    service_weights: tuple[tuple[str, float], ...]

    def pick_service(self, point: float) -> str:
        """Return the service at a point of the cumulative weights.

        :param point: point as a share of the total weight, 0 to 1; random or hashed.
        """
        total = sum(weight for _, weight in self.service_weights)
        cumulative = 0.0
        for service, weight in self.service_weights:
            cumulative += weight
            if point * total < cumulative:
                return service
        return self.service_weights[-1][0]

    def priority_for(self, customer: KeyOwner | None) -> int:
        """Return the priority of a customer's request, None for a public route."""
        if customer is not None and customer.priority is not None:
            return customer.priority
        return self.priority


class CallerLimits(NamedTuple):
    """Limits for callers.

    :param body_bytes: maximum size of a request body, bytes.
    :param idle_timeout_s: timeout of an idle connection, seconds.
    """

    body_bytes: int = 4_194_304
    idle_timeout_s: float = 60.0


class ColdPhase(NamedTuple):
    """Time after the start of a replica in which it takes few requests.

    :param duration_s: length of the phase, seconds.
    :param rate_per_s: requests a second that the replica takes meanwhile.
    """

    duration_s: float
    rate_per_s: float


class RouteTable:
    """Routes, keys and limits of one version of the operators' configuration.

    :param version: number that rises with each configuration.
    :param routes: routes of all hosts.
    :param customers: customers by caller's key.
    :param limits: limits for callers.
    :param model_costs: cost per 1,000 tokens generated, by model.
    :param cold_phases: cold phases of replicas, by service; none for services whose
        replicas take their usual requests from the start.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        customers: Mapping[str, KeyOwner],
        limits: CallerLimits,
        model_costs: Mapping[str, float] | None = None,
        cold_phases: Mapping[str, ColdPhase] | None = None,
    ) -> None:
        self._version = version
        self._customers = dict(customers)
        self._limits = limits
        self._model_costs = dict(model_costs or {})
        self._cold_phases = dict(cold_phases or {})
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: -len(route.prefix))

    @property
    def version(self) -> int:
        """Version number of the configuration."""
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
    def cold_phases(self) -> Mapping[str, ColdPhase]:
        """Cold phases of replicas, by service."""
        return self._cold_phases

    @property
    def route_count(self) -> int:
        """Number of routes."""
        return sum(len(host_routes) for host_routes in self._by_host.values())

    def match(self, host: str, path: str) -> Route | None:
        """Return the route whose path prefix is the longest that matches, or None.

        :param host: value of the Host header.
        :param path: path of the request.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_customer(self, key: str) -> KeyOwner | None:
        """Return the customer that a key belongs to, or None."""
        return self._customers.get(key)


class PromptPart(NamedTuple):
    """Part of a prompt that may be shared with other prompts.

    :param name: identifier of the part.
    :param tokens: length of the part, tokens.
    """

    name: str
    tokens: int


def shared_prefix(parts: Sequence[PromptPart], model: str) -> tuple[str, int]:
    """Return a cache key of the shared prefix of a prompt, and its length in tokens.

    The last part belongs to the request itself and is not shared.

    :param parts: parts of the prompt in order.
    :param model: name of the model; an engine's cache entries hold for one model only.
    :returns: an empty key and 0 if nothing is shared.
    """
    shared = parts[:-1]
    if not shared:
        return "", 0
    return f"{model}/{shared[-1].name}", sum(part.tokens for part in shared)
