"""Watches whether a replica ends as it begins the answer to a request."""

from __future__ import annotations

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.logs import log_event
from lentilshore_kernel.types import RefusalReason
from lentilshore_routing.crash_causes import Cause, part_causes

from ..clients.forwarding import ForwardRequest
from ..clients.http_connection import CallCutError
from ..state.gateway_context import GatewayContext
from .handover import AttemptPlan

# An answer that has brought so many groups of events is past its beginning.
BEGINNING_EVENT_GROUPS = 2
# A replica that ends may accept connections for a moment after it has cut one.
SECOND_PROBE_DELAY_S = 0.05
# Characters of a prompt's parts that are logged; a caller may send any.
LOGGED_PARTS_LIMIT = 120


class CrashWatch:
    """Tells whether one request has ended a replica.

    A replica has ended if it cuts the connection as it begins the answer, and its
    address refuses connections from then on.

    :param context: context of the gateway.
    :param request: the request.
    """

    def __init__(self, context: GatewayContext, request: ForwardRequest) -> None:
        self._context = context
        self._request = request
        self._causes = part_causes(request.parts)
        self._plan: AttemptPlan | None = None
        self._sent_at = 0.0
        self._answer_begun = False
        self._event_groups = 0
        self._seen_crash = False

    @property
    def suspected(self) -> bool:
        """Whether the request has ended a replica and may end others."""
        if not self._seen_crash:
            return False
        return not self.may_retry

    @property
    def may_retry(self) -> bool:
        """Whether the request may be sent again after a replica has ended."""
        return self._context.blame.may_retry(self._causes)

    @property
    def blamed(self) -> Cause | None:
        """The blamed cause that the request bears, None if there is none."""
        return self._context.blame.blamed_cause(self._causes)

    def begin(self, plan: AttemptPlan, sent_at: float) -> None:
        """Watch an attempt.

        :param sent_at: time at which it began, on the node's clock, seconds.
        """
        self._plan = plan
        self._sent_at = sent_at
        self._answer_begun = False
        self._event_groups = 0

    def record_head(self) -> None:
        """Record that the answer has begun."""
        self._answer_begun = True

    def record_events(self) -> None:
        """Record that events have come together."""
        self._event_groups += 1
        if self._event_groups == BEGINNING_EVENT_GROUPS:
            self._record_answer()

    def record_whole(self) -> None:
        """Record that the answer is whole."""
        if self._event_groups < BEGINNING_EVENT_GROUPS:
            self._record_answer()

    async def check(self, error: UpstreamError) -> None:
        """Find out whether the replica of a failed attempt has ended.

        :param error: how the attempt failed.
        """
        if not self._ended_at_beginning(error) or not self._causes:
            return
        if not await self._refuses_connections():
            return
        self._seen_crash = True
        replica = self._plan.lease.replica.name
        parts = ",".join(part.name for part in self._request.parts)
        self._context.metrics.count("crash.answer_beginning")
        log_event(
            "replica_ended",
            request=self._request.request_id,
            replica=replica,
            parts=parts[:LOGGED_PARTS_LIMIT],
            events=self._event_groups,
        )
        self._context.record_crash(self._causes, replica, self._sent_at)

    def _ended_at_beginning(self, error: UpstreamError) -> bool:
        if not self._answer_begun or self._event_groups >= BEGINNING_EVENT_GROUPS:
            return False
        truncated = error.reason is RefusalReason.UPSTREAM_TRUNCATED
        return truncated or isinstance(error.__cause__, CallCutError)

    async def _refuses_connections(self) -> bool:
        address = self._plan.lease.replica.address
        if await self._context.http.is_refused(address):
            return True
        await self._context.clock.sleep(SECOND_PROBE_DELAY_S)
        return await self._context.http.is_refused(address)

    def _record_answer(self) -> None:
        self._context.record_answer(self._causes, self._request.request_id)
