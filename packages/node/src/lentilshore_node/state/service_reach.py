"""Whether a node reaches the replicas of each service, and who else does."""

from __future__ import annotations

import math
from collections.abc import Sequence
from enum import StrEnum

import anyio

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.metrics import Metrics, record_state_change
from lentilshore_kernel.types import Address, StateChange
from lentilshore_routing.replicas import Replica

from ..clients.fleet_source import GatewayEntry
from .fleet_view import FleetView

# Failures within this time, at different replicas, make a service suspected.
FAILURE_WINDOW_S = 1.5
SUSPICIOUS_REPLICAS = 2
# An answer proves for this time that a service is in reach, which is no longer than the
# shortest timeout after which another gateway suspects it.
EVIDENCE_S = 0.25
# A service that was found in reach is not examined again for this time, which doubles
# with each needless examination.
EXAMINATION_PAUSE_S = 1.0
MAX_EXAMINATION_PAUSE_S = 8.0
# Longest wait of a failed request for the end of an examination.
VERDICT_WAIT_S = 0.6


class Reach(StrEnum):
    """What a node knows of its way to a service."""

    REACHED = "reached"
    SUSPECTED = "suspected"
    # No replica is reached, though other gateways reach some.
    CUT_OFF = "cut_off"
    # No replica is reached, and no other gateway is known to reach one.
    DOWN = "down"


class _Service:
    """What is known of one service."""

    def __init__(self) -> None:
        self.reach = Reach.REACHED
        # Time of the last failure by replica; whether it was silent.
        self.failures: dict[str, tuple[float, bool]] = {}
        self.proved_at = -math.inf
        self.peers: Sequence[GatewayEntry] = ()
        self.examined_at = -math.inf
        self.pause_s = EXAMINATION_PAUSE_S
        self.verdict = anyio.Event()


class ServiceReach:
    """Suspects a service when connections to its replicas fail or fall silent.

    Answers on old connections don't disprove failed connects: a cut may leave the
    former alive. Another component examines what is suspected, and tells the result.

    :param clock: measures ages.
    :param view: knows the replicas.
    :param metrics: counts the changes.
    """

    def __init__(
        self,
        clock: Clock,
        view: FleetView,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._view = view
        self._metrics = metrics
        self._services: dict[str, _Service] = {}
        self._unexamined: list[str] = []
        self._suspicion = anyio.Event()

    def state(self, service: str) -> Reach:
        """Return what is known of the way to a service."""
        known = self._services.get(service)
        return known.reach if known else Reach.REACHED

    def record_connect_failed(self, address: Address) -> None:
        """Record that a replica has refused a connection or did not answer."""
        record = self._view.find_replica(address)
        if record is not None:
            self._record_failure(record.service, record.replica.name, silent=False)

    def record_slow_connect(self, address: Address) -> None:
        """Record that a replica has not answered a connect for a while."""
        record = self._view.find_replica(address)
        if record is not None:
            self._record_failure(record.service, record.replica.name, silent=False)
            self._suspect(record.service)

    def record_connection_lost(self, address: Address) -> None:
        """Record that a connection to a replica was broken."""
        self.record_connect_failed(address)

    def record_answer(self, service: str, fresh_connection: bool) -> None:
        """Record that a replica has answered a request.

        :param fresh_connection: whether the connection was made for that request.
        """
        known = self._known(service)
        known.proved_at = self._clock.monotonic()
        known.failures = {
            name: failure
            for name, failure in known.failures.items()
            if not fresh_connection and not failure[1]
        }

    def record_silence(self, service: str, replica: str) -> None:
        """Record that a replica has not answered a request in time."""
        self._record_failure(service, replica, silent=True)

    def is_proved(self, service: str, within_s: float = EVIDENCE_S) -> bool:
        """Return whether a service is in reach and a replica has answered lately.

        :param within_s: how lately, seconds.
        """
        if self.state(service) is not Reach.REACHED:
            return False
        return self.answer_age_s(service) <= within_s

    def answer_age_s(self, service: str) -> float:
        """Return the time since a replica last answered, seconds.

        :returns: infinite if none has.
        """
        known = self._services.get(service)
        if known is None:
            return math.inf
        return self._clock.monotonic() - known.proved_at

    def peers(self, service: str) -> Sequence[GatewayEntry]:
        """Return the gateways that serve a service which this node can't reach."""
        known = self._services.get(service)
        return known.peers if known else ()

    def drop_peer(self, service: str, peer: GatewayEntry) -> None:
        """Use a gateway no longer until it is known again to reach the service."""
        known = self._known(service)
        known.peers = [p for p in known.peers if p.name != peer.name]

    @property
    def out_of_reach(self) -> list[str]:
        """Services that are suspected, or known to be out of reach."""
        return [
            name
            for name, known in self._services.items()
            if known.reach is not Reach.REACHED
        ]

    async def wait_for_suspicion(self) -> str:
        """Return the next service to examine, waiting for one."""
        while not self._unexamined:
            self._suspicion = anyio.Event()
            await self._suspicion.wait()
        return self._unexamined.pop()

    async def wait_for_verdict(self, service: str) -> None:
        """Wait until a suspected service has been examined."""
        known = self._known(service)
        if known.reach is Reach.SUSPECTED:
            with self._clock.timeout(VERDICT_WAIT_S):
                await known.verdict.wait()

    def replicas(self, service: str) -> list[Replica]:
        """Return the replicas of a service to which requests may be sent."""
        return self._view.service_replicas(service)

    def conclude(
        self, service: str, reach: Reach, peers: Sequence[GatewayEntry] = ()
    ) -> None:
        """Record the result of an examination.

        :param peers: gateways that reach the service, if this one does not.
        """
        known = self._known(service)
        answer_age_s = self.answer_age_s(service)
        changed = known.reach is not reach
        needless = known.reach is Reach.SUSPECTED and reach is Reach.REACHED
        known.reach, known.peers = reach, peers
        if reach is Reach.REACHED:
            now = self._clock.monotonic()
            known.proved_at = known.examined_at = now
            known.failures = {}
            known.pause_s = (
                min(MAX_EXAMINATION_PAUSE_S, 2 * known.pause_s)
                if needless
                else EXAMINATION_PAUSE_S
            )
        if changed and not needless:
            record_state_change(
                self._metrics,
                _CHANGES[reach],
                service=service,
                replicas=len(self.replicas(service)),
                peers=len(peers),
                answer_age_ms=f"{answer_age_s * 1000:.0f}",
            )
        known.verdict.set()

    def _known(self, service: str) -> _Service:
        return self._services.setdefault(service, _Service())

    def _record_failure(self, service: str, replica: str, silent: bool) -> None:
        now = self._clock.monotonic()
        known = self._known(service)
        known.failures = {
            name: failure
            for name, failure in known.failures.items()
            if now - failure[0] <= FAILURE_WINDOW_S
        }
        known.failures[replica] = now, silent
        enough = min(SUSPICIOUS_REPLICAS, len(self.replicas(service)))
        if len(known.failures) >= enough:
            self._suspect(service)

    def _suspect(self, service: str) -> None:
        known = self._known(service)
        paused = self._clock.monotonic() - known.examined_at < known.pause_s
        if known.reach is not Reach.REACHED or paused:
            return
        known.reach, known.verdict = Reach.SUSPECTED, anyio.Event()
        self._unexamined.append(service)
        self._suspicion.set()


_CHANGES = {
    Reach.REACHED: StateChange.SERVICE_REACHED,
    Reach.CUT_OFF: StateChange.SERVICE_CUT_OFF,
    Reach.DOWN: StateChange.SERVICE_DOWN,
}
