"""When replicas have cut connections."""

from __future__ import annotations

from collections import OrderedDict

from lentilshore_kernel.clock import Clock
from lentilshore_routing.placement import Placement

# Data that a process had sent before it ended may arrive for this time.
IN_FLIGHT_S = 0.05
CUT_REPLICAS_LIMIT = 4_096


class CutTimes:
    """When each replica first cut a connection since it last answered.

    A process that ended then has not ended under requests that were sent later.

    :param placement: knows when replicas have answered.
    """

    def __init__(self, clock: Clock, placement: Placement) -> None:
        self._clock = clock
        self._placement = placement
        self._first_at: OrderedDict[str, float] = OrderedDict()

    def record(self, replica: str) -> float:
        """Record a cut; return the time of the first one since the last answer."""
        now = self._clock.monotonic()
        answered_at = now - self._placement.answer_age_s(replica)
        first_at = self._first_at.pop(replica, now)
        if first_at + IN_FLIGHT_S < answered_at:
            first_at = now
        self._first_at[replica] = first_at
        if len(self._first_at) > CUT_REPLICAS_LIMIT:
            self._first_at.popitem(last=False)
        return first_at
