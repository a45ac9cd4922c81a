"""How often escalated requests are answered in time, by service."""

from __future__ import annotations

import math

from lentilshore_kernel.clock import Clock

# Weight of the newest request. A gateway of a large fleet escalates about one a second.
OUTCOME_WEIGHT = 0.2
# Time in which the record of a service without escalations returns to the full share:
# an overload that ended must not keep requests from larger models for long.
RECOVERY_S = 5.0


class EscalationRecord:
    """Moving share of the escalated requests that were answered whole and in time.

    An escalated request takes a replica's time twice. Where replicas are overloaded,
    its first answer was dropped for one that comes late or never.

    :param clock: measures the age of outcomes.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Share and time of the last outcome, by service.
        self._shares: dict[str, tuple[float, float]] = {}

    def on_time_share(self, service: str) -> float:
        """Return the share that is expected to be answered in time, 0 to 1."""
        known = self._shares.get(service)
        if known is None:
            return 1.0
        share, recorded_at = known
        age_s = self._clock.monotonic() - recorded_at
        return 1.0 - (1.0 - share) * math.exp(-age_s / RECOVERY_S)

    def record(self, service: str, on_time: bool) -> None:
        """Record how an escalated request has ended.

        :param on_time: whether its answer began within the objective and was whole.
        """
        share = self.on_time_share(service)
        share += (float(on_time) - share) * OUTCOME_WEIGHT
        self._shares[service] = share, self._clock.monotonic()
