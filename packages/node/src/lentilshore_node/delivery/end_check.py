"""Tells a replica whose process has ended from one that only cut a connection."""

from __future__ import annotations

from typing import NamedTuple

from lentilshore_kernel.logs import log_event
from lentilshore_kernel.types import Address

from ..state.cut_times import IN_FLIGHT_S
from ..state.gateway_context import GatewayContext
from ..state.service_reach import Reach

# Times since the cut at which the address is asked whether it refuses connections. One
# that lingers may accept them for some tenths of a second.
REFUSAL_CHECK_DELAYS_S = (0.0, 0.05, 0.25)
# A process that is alive is given this time to answer any request. Its report needs no
# place, so that load does not delay it by as much.
ANSWER_CHECK_DELAY_S = 0.5
ANSWER_CHECK_TIMEOUT_S = 0.5


class CutAttempt(NamedTuple):
    """A failed attempt whose connection was cut.

    :param service: service of the replica.
    :param replica: name of the replica's process.
    :param cut_at: time of the cut on the node's clock, seconds.
    """

    service: str
    replica: str
    address: Address
    sent_at: float
    cut_at: float
    answer_begun: bool
    event_groups: int


class EndCheck:
    """Finds out, in steps, whether the process that cut an attempt has ended.

    It has ended if its address refuses connections, or if nothing that it is asked is
    answered from the cut on. A process that has answered since then has not.

    :param context: context of the gateway.
    :param attempt: the attempt.
    """

    def __init__(self, context: GatewayContext, attempt: CutAttempt) -> None:
        self._context = context
        self._attempt = attempt
        self._refusal_checks = 0

    async def refuses(self) -> bool | None:
        """Ask once whether the address refuses connections.

        :returns: whether the process has ended, None if that is still open.
        """
        delay_s = REFUSAL_CHECK_DELAYS_S[self._refusal_checks]
        self._refusal_checks += 1
        await self._wait_until(delay_s)
        if await self._context.http.is_refused(self._attempt.address):
            return True
        return False if self._has_answered() else None

    async def conclude(self) -> bool:
        """Return whether the process has ended, at most a second after the cut."""
        while self._refusal_checks < len(REFUSAL_CHECK_DELAYS_S):
            ended = await self.refuses()
            if ended is not None:
                return ended
        await self._wait_until(ANSWER_CHECK_DELAY_S)
        if self._has_answered() or await self._answers():
            return False
        # A gateway that is cut off from a service gets no answers from live processes.
        return self._context.reach.state(self._attempt.service) is Reach.REACHED

    async def _answers(self) -> bool:
        attempt = self._attempt
        answers = await self._context.http.answers(
            attempt.address,
            self._context.translator.report_path,
            ANSWER_CHECK_TIMEOUT_S,
            reuse=False,
        )
        if not answers:
            log_event("replica_unresponsive", replica=attempt.replica)
        return answers or self._has_answered()

    def _has_answered(self) -> bool:
        placement = self._context.placement
        since_cut_s = self._context.clock.monotonic() - self._attempt.cut_at
        answer_age_s = placement.answer_age_s(self._attempt.replica)
        return answer_age_s < since_cut_s - IN_FLIGHT_S

    async def _wait_until(self, delay_s: float) -> None:
        clock = self._context.clock
        remaining_s = self._attempt.cut_at + delay_s - clock.monotonic()
        if remaining_s > 0:
            await clock.sleep(remaining_s)
