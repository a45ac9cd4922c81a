"""Admission of one request while its service lacks capacity."""

from __future__ import annotations

import math

from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import RefusalReason
from lentilshore_routing.routes import KeyOwner, Route

from ..clients.forwarding import ForwardRequest
from ..state.gateway_context import GatewayContext

# A request that ends with less time left has waited for all of its time, seconds.
DEADLINE_MARGIN_S = 0.1
_DETAILS = {
    RefusalReason.CUSTOMER_OVER_SHARE: "the customer uses more than its share of a "
    "service that lacks capacity",
    RefusalReason.DEADLINE_UNMEETABLE: "the expected wait exceeds the time left",
}


class RequestAdmission:
    """Asks the gateway's shortage control about a request, and reports its attempts.

    A request is refused before its first attempt only, since a refusal states that it
    has not run. One that another gateway has sent here was admitted there; one that
    resumes a stream has used capacity already.

    :param context: context of the gateway.
    :param service: service that gets the request.
    :param request: the caller's request.
    :param route: route of the request.
    :param customer: customer that sent it, None on a public route.
    :param deadline_at: when the caller's time is up, on the node's clock, seconds.
    :param forwarded: whether another gateway has sent it.
    """

    def __init__(
        self,
        context: GatewayContext,
        service: str,
        request: ForwardRequest,
        route: Route,
        customer: KeyOwner | None,
        deadline_at: float,
        forwarded: bool,
    ) -> None:
        self._context = context
        self._service = service
        self._customer = customer.name if customer is not None else ""
        self._priority = route.priority_for(customer)
        self._deadline_at = deadline_at
        self._work = 0.0
        self._decided = forwarded or request.resume_after is not None
        self._arrived_at = context.clock.monotonic()
        # Whether the wait until a replica begins the request is still to be recorded.
        self._waits = False
        self._begun = False
        # Whether this gateway has counted the request for its retry budget.
        self._counted = False

    def record_counted(self) -> None:
        """Record that the request counts for this gateway's retry budget."""
        self._counted = True

    def check(self, work: float, first_attempt: bool) -> None:
        """Decide whether the request may be sent, at the first call only.

        :param work: expected work of the request, tokens.
        :param first_attempt: whether the request was never sent, or provably not run
            by another gateway.
        :raises RefusalError: ``customer_over_share`` or ``deadline_unmeetable``.
        """
        self._work = work
        if self._decided:
            return
        self._decided = True
        if not first_attempt:
            return
        now = self._context.clock.monotonic()
        admission = self._context.shortage.admit(
            self._service,
            self._customer,
            self._priority,
            self._work,
            self._deadline_at - now,
        )
        self._context.log_shortage()
        if admission.short:
            kept = "kept" if admission.kept else "admitted"
            self._context.metrics.count(f"shortage.{admission.refusal or kept}")
        if admission.refusal is not None:
            if self._counted:
                self._context.retries.withdraw_first_attempt(self._service)
            raise RefusalError(
                admission.refusal,
                detail=_DETAILS[admission.refusal],
                retry_after_s=admission.retry_after_s,
            )

    def record_sent(self) -> None:
        """Record that an attempt is sent."""
        self._waits = self._waits or not self._begun
        self._context.shortage.record_sent(self._service, self._customer, self._work)

    def record_rejected(self) -> None:
        """Record that a replica has rejected an attempt for lack of capacity."""
        self._context.shortage.record_rejected(
            self._service, self._customer, self._work
        )

    def record_begun(self) -> None:
        """Record that a replica has begun the answer."""
        self._record_wait(self._context.clock.monotonic() - self._arrived_at)

    def end(self) -> None:
        """Record the end of the request, whose answer may not have begun."""
        now = self._context.clock.monotonic()
        if now >= self._deadline_at - DEADLINE_MARGIN_S:
            self._record_wait(math.inf)
        else:
            self._record_wait(now - self._arrived_at)

    def _record_wait(self, waited_s: float) -> None:
        if self._waits:
            self._waits = False
            self._begun = True
            self._context.shortage.record_done(self._service, self._priority, waited_s)
