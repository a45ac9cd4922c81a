"""Admission of requests that are forwarded unchanged: their route and their key."""

from __future__ import annotations

from functools import partial

from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import RefusalReason
from lentilshore_routing.routes import KeyOwner, Route

from ..clients.forwarded_requests import ForwardedRequest, admission_checksum
from ..clients.forwarding import ForwardRequest
from ..delivery.delivery import Delivery, ForwardedTerms
from ..delivery.no_replica import OVERLOAD_RETRY_AFTER_S
from ..delivery.outcome import Outcome
from ..delivery.responder import Responder
from ..state.gateway_context import GatewayContext
from .edge import Receive, serve_until_disconnect

# Retry delay stated in refusals where this node lacks a configuration or its
# confirmation; the retry reaches another node, which most often has it.
OTHER_NODE_RETRY_AFTER_S = 0.1
# A first read of the store takes some milliseconds. A request that comes before its
# end waits for it, at most until this time after the node's start.
FIRST_READ_TIMEOUT_S = 0.25
FIRST_READ_POLL_S = 0.005
# Requests that a gateway serves at once in place of others, beside its own.
MAX_FORWARDED_IN_FLIGHT = 256


class Forwarder:
    """Admits requests and forwards them unchanged.

    :param context: context of the gateway.
    """

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    async def wait_for_first_read(self) -> None:
        """Wait for the first read of the store if the node has just started."""
        view = self._context.view
        while not view.complete and view.age_s < FIRST_READ_TIMEOUT_S:
            await self._context.clock.sleep(FIRST_READ_POLL_S)

    def route(self, request: ForwardRequest) -> tuple[Route, KeyOwner | None]:
        """Return the route of a request and the customer that sent it.

        :returns: the route and the customer, None on a public route.
        :raises RefusalError: if the request is not allowed, or if this node's
            configuration is too old to tell.
        """
        view, bounds = self._context.view, self._context.bounds
        table = view.table
        if table is None:
            raise RefusalError(
                RefusalReason.CONFIGURATION_MISSING,
                detail="this node has no configuration yet",
                retry_after_s=OTHER_NODE_RETRY_AFTER_S,
            )
        confirmed = view.confirmed_age_s < bounds.config_apply_s
        route = table.match(request.host, request.path)
        if route is None:
            if not confirmed:
                raise self._stale_refusal(RefusalReason.CONFIGURATION_STALE)
            raise RefusalError(
                RefusalReason.UNKNOWN_PATH,
                detail=f"no route for {request.host[:100]}{request.path[:200]}",
            )
        if route.public:
            return route, None
        self.require_key_proof(route)
        customer = table.find_customer(request.key)
        if customer is None:
            if not confirmed:
                raise self._stale_refusal(RefusalReason.KEY_UNPROVED)
            raise RefusalError(RefusalReason.UNAUTHENTICATED, detail="unknown API key")
        return route, customer

    def require_key_proof(self, route: Route) -> None:
        """Refuse if a key may have been withdrawn without this node knowing of it.

        :raises RefusalError: ``key_unproved``.
        """
        if route.public:
            return
        if (
            self._context.view.confirmed_age_s
            >= self._context.bounds.key_max_config_age_s
        ):
            raise self._stale_refusal(RefusalReason.KEY_UNPROVED)

    def check_accepts(self) -> None:
        """Refuse a request that comes too late before this node stops.

        :raises RefusalError: ``draining``.
        """
        if not self._context.accepts_requests:
            raise RefusalError(
                RefusalReason.DRAINING,
                detail="this node stops",
                retry_after_s=OTHER_NODE_RETRY_AFTER_S,
            )

    def check_may_serve(self, forwarded: ForwardedRequest) -> None:
        """Check that this gateway may serve a request in place of the sender.

        :raises RefusalError: if it may not; the request has not run.
        """
        context = self._context
        self.check_accepts()
        if context.forwarded_in_flight >= MAX_FORWARDED_IN_FLIGHT:
            raise RefusalError(
                RefusalReason.QUEUE_FULL,
                detail=f"{MAX_FORWARDED_IN_FLIGHT} requests of others are in flight",
                retry_after_s=OVERLOAD_RETRY_AFTER_S,
            )

    def create_delivery(
        self,
        request: ForwardRequest,
        route: Route,
        customer: KeyOwner | None,
        received_at: float,
        responder: Responder,
        forwarded: ForwardedTerms | None = None,
    ) -> Delivery:
        """Return the delivery of one request, which is not run yet.

        :param route: route of the request, as returned by :meth:`route`.
        :param customer: customer that sent it, None on a public route.
        :param received_at: time at which it was received, on the node's clock, seconds.
        :param responder: sends the answer to the caller.
        :param forwarded: set if another gateway has sent the request.
        """
        return Delivery(
            self._context,
            self.require_key_proof,
            request,
            route,
            customer,
            received_at,
            responder,
            forwarded,
        )

    def route_forwarded(
        self, forwarded: ForwardedRequest
    ) -> tuple[Route, KeyOwner | None]:
        """Return route and customer of a request that another gateway has admitted.

        Serving it by an older configuration that says otherwise would undo for the
        caller what the sender has put in force.

        :raises RefusalError: as :meth:`route`; ``configuration_stale`` if the sender's
            newer configuration says otherwise.
        """
        table = self._context.view.table
        is_older = table is not None and table.version < forwarded.table_version
        try:
            route, customer = self.route(forwarded.request)
        except RefusalError as refusal:
            if is_older:
                raise self._stale_refusal(
                    RefusalReason.CONFIGURATION_STALE
                ) from refusal
            raise
        if is_older and admission_checksum(route, customer) != forwarded.admission:
            raise self._stale_refusal(RefusalReason.CONFIGURATION_STALE)
        return route, customer

    async def serve(self, receive: Receive, delivery: Delivery) -> Outcome | None:
        """Run a delivery until its caller leaves or this node stops.

        :param receive: the ASGI server's function, after the body was read.
        :returns: None if the caller has left.
        :raises RefusalError: if the request is not served.
        """
        wait_for_stop = partial(self._wait_for_stop, delivery)
        return await serve_until_disconnect(receive, delivery.run, wait_for_stop)

    async def _wait_for_stop(self, delivery: Delivery) -> RefusalError:
        """Return the refusal of a request that is not completed when this node stops.

        Waits until then.
        """
        await self._context.grace_over.wait()
        return RefusalError(
            RefusalReason.DRAINING,
            delivery.execution,
            "this node stops before the request is completed",
            OTHER_NODE_RETRY_AFTER_S,
        )

    def _stale_refusal(self, reason: RefusalReason) -> RefusalError:
        age_s = self._context.view.confirmed_age_s
        return RefusalError(
            reason,
            detail=f"configuration was last confirmed {age_s:.1f} s ago",
            retry_after_s=OTHER_NODE_RETRY_AFTER_S,
        )
