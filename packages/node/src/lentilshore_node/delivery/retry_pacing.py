"""Pauses between tries of a request that replicas reject."""

from __future__ import annotations

import random

from lentilshore_kernel.logs import log_event
from lentilshore_kernel.metrics import Metrics

from ..state.room_queue import RoomQueue, WaitClaim

# The first pause; each later one is longer by the factor, up to the limit.
FIRST_PAUSE_S = 0.05
PAUSE_GROWTH_FACTOR = 2.0
PAUSE_LIMIT_S = 0.5
# Share of the time left that one pause takes at most, so that a try may follow it.
PAUSE_TIME_LEFT_SHARE = 0.5
# A pause lasts at least this share of its length, and is otherwise random.
PAUSE_MIN_SHARE = 0.5
# Share of a pause during which no replica that has room ends it: a replica that answers
# others may go on rejecting the request.
PAUSE_FIXED_SHARE = 0.5


class RetryPacing:
    """Pauses of one request, which end early where a replica has room.

    :param request_id: identifier of the request, for the log.
    :param room: queue in which the request waits for a replica with room.
    :param random_source: source of the jitter.
    :param metrics: receiver of counters.
    :param customer: customer that sent the request, empty for none.
    :param priority: priority of the request, 0 is the most urgent.
    """

    def __init__(
        self,
        request_id: str,
        room: RoomQueue,
        random_source: random.Random,
        metrics: Metrics,
        customer: str = "",
        priority: int = 0,
    ) -> None:
        self._request_id = request_id
        self._room = room
        self._random = random_source
        self._metrics = metrics
        self._customer = customer
        self._priority = priority
        self._length_s = FIRST_PAUSE_S

    async def pause(self, group: str, remaining_s: float) -> str:
        """Pause, and lengthen the next pause.

        :param group: group of the replicas that may serve the request.
        :param remaining_s: time until the request's deadline, seconds.
        :returns: name of a replica that has shown room meanwhile, empty if none has.
        """
        limit_s = remaining_s * PAUSE_TIME_LEFT_SHARE
        share = self._random.uniform(PAUSE_MIN_SHARE, 1.0)
        pause_s = min(self._length_s * share, limit_s)
        self._length_s = min(self._length_s * PAUSE_GROWTH_FACTOR, PAUSE_LIMIT_S)
        replica_name = await self._room.wait(
            group,
            pause_s,
            pause_s * PAUSE_FIXED_SHARE,
            WaitClaim(self._customer, self._priority, remaining_s),
        )
        self._metrics.count(f"retry_pause.{'room' if replica_name else 'time'}")
        log_event(
            "retry_paused",
            request=self._request_id,
            longest_ms=f"{pause_s * 1000:.0f}",
            room=replica_name or "-",
        )
        return replica_name

    def restart(self) -> None:
        """Begin with the shortest pause again, since a replica took the request up."""
        self._length_s = FIRST_PAUSE_S
