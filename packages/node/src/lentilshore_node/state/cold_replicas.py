"""Which replicas are cold, and until when."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import NamedTuple

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.metrics import Metrics, record_state_change
from lentilshore_kernel.types import StateChange
from lentilshore_routing.replica_limits import ReplicaLimits
from lentilshore_routing.routes import ColdPhase

from .replica_record import ReplicaRecord

# Longer times are taken for this one: an entry that is wrong must not keep a replica
# from serving for long.
MAX_COLD_S = 60.0
# Processes that have been listed are remembered, since one that is listed again has not
# just started. More than twice the replicas of the largest fleet.
KNOWN_REPLICAS_LIMIT = 8192
# Share of the bound that nodes with the same list of nodes use together. The rest
# covers those that know another list or have just started.
SETTLED_BOUND_SHARE = 0.5


class ColdBounds(NamedTuple):
    """Bound of the requests in any second to a cold replica, over all gateways.

    :param over: multiple of the rate that the replica takes.
    :param slack: requests in addition.
    """

    over: float
    slack: float


class _Known:
    """What is known of one process.

    :param service: service that it serves.
    :param started_at: time at which it started, as far as that may still be of
        interest, on the node's clock, seconds; minus infinity if it is long ago.
    """

    def __init__(self, service: str, started_at: float) -> None:
        self.service = service
        self.started_at = started_at
        # Time until which it is cold as its entry says, and what the entry said.
        self.listed_until = -math.inf
        self.listed_s = 0.0

    def until(self, phase: ColdPhase) -> float:
        return max(self.listed_until, self.started_at + phase.duration_s)


class ColdReplicas:
    """Finds out which replicas are cold, and limits the requests to them.

    :param clock: measures times; its wall time is compared with starts of replicas.
    :param limits: receives the limits.
    :param metrics: counts the changes.
    :param read_bounds: returns the bounds of the deployment; None where it sets none,
        so that no replica counts as cold.
    """

    def __init__(
        self,
        clock: Clock,
        limits: ReplicaLimits,
        metrics: Metrics,
        read_bounds: Callable[[], ColdBounds | None],
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._metrics = metrics
        self._read_bounds = read_bounds
        self._phases: Mapping[str, ColdPhase] = {}
        # By name of the replica in placement, the latest listed last.
        self._known: OrderedDict[str, _Known] = OrderedDict()
        self._cold: set[str] = set()

    def remaining_s(self, replica: str) -> float:
        """Return for how long a replica stays cold, seconds; 0 if it is not cold."""
        return max(0.0, self._limits.cold_until(replica) - self._clock.monotonic())

    def set_phases(self, phases: Mapping[str, ColdPhase]) -> None:
        """Replace the cold phases of replicas, by service."""
        self._phases = phases
        for name, known in self._known.items():
            self._apply(name, known)

    def note(self, record: ReplicaRecord, list_known: bool, written: bool) -> None:
        """Record that a replica is listed.

        :param list_known: whether the list of replicas was known before, so that a
            process that was not in it has just started.
        :param written: whether its entry has just been written. One that is only read
            again counts if it says another time than before.
        """
        now, name = self._clock.monotonic(), record.replica.name
        known = self._known.get(name)
        if known is None:
            started_at = now if list_known else self._stated_start(record, now)
            known = self._known[name] = _Known(record.service, started_at)
            if len(self._known) > KNOWN_REPLICAS_LIMIT:
                self._known.popitem(last=False)
        self._known.move_to_end(name)
        listed_s = record.cold_remaining_s
        if listed_s > 0 and (written or listed_s != known.listed_s):
            until = now + min(MAX_COLD_S, listed_s)
            known.listed_until = max(known.listed_until, until)
        known.listed_s = listed_s
        self._apply(name, known)

    def expire(self) -> None:
        """Log which replicas are no longer cold."""
        for name in [name for name in self._cold if not self.remaining_s(name)]:
            self._cold.remove(name)
            change = StateChange.REPLICA_WARM
            record_state_change(self._metrics, change, replica=name)

    def _stated_start(self, record: ReplicaRecord, now: float) -> float:
        """Return when a process started as its entry says, on the node's clock.

        A time in the future shows that clocks differ, and counts as unknown.
        """
        age_s = self._clock.wall() - record.started_ms / 1000
        return now - age_s if age_s >= 0 else -math.inf

    def _apply(self, name: str, known: _Known) -> None:
        phase, bounds = self._phases.get(known.service), self._read_bounds()
        if phase is None or bounds is None:
            return
        until = known.until(phase)
        if until <= self._clock.monotonic():
            return
        bound = phase.rate_per_s * bounds.over + bounds.slack
        rate_per_s = min(phase.rate_per_s, SETTLED_BOUND_SHARE * bound)
        if self._limits.set_cold(name, rate_per_s, until):
            self._cold.add(name)
            record_state_change(
                self._metrics,
                StateChange.REPLICA_COLD,
                replica=name,
                service=known.service,
                cold_s=f"{self.remaining_s(name):.2f}",
                rate_per_s=f"{rate_per_s:g}",
                own_per_s=f"{self._limits.own_rate(name):.3g}",
            )
