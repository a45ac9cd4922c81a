"""Calls of other gateways, among them requests to serve in their place."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from lentilshore_kernel import log_event
from lentilshore_kernel.exceptions import LentilshoreError, RefusalError
from lentilshore_kernel.types import Execution, RefusalReason
from lentilshore_routing.routes import CallerLimits

from ..clients.forwarded_requests import (
    MESSAGE_OVERHEAD_BYTES,
    REFUSED,
    RELAYED,
    ForwardedRequest,
    answer_field,
    decode_forwarded,
    encode_forwarded_refusal,
)
from ..delivery.delivery import ForwardedTerms
from ..delivery.responder import CLOSE_CONNECTION, AsgiResponder, FieldAddingResponder
from ..state.gateway_context import (
    FORWARD_PATH,
    PEER_BODY_LIMIT_BYTES,
    PEER_BODY_TIMEOUT_S,
    GatewayContext,
)
from .edge import Receive, read_body
from .forwarder import Forwarder
from .outcome_log import log_outcome

UNAVAILABLE_STATUS = 503
# Names of silent gateways that are taken from one forwarded request.
MAX_SILENCE_HINTS = 16

# Returns the body of the answer to a path, its query and a body, None if there is none.
PeerAnswer = Callable[[str, bytes, bytes], Awaitable[bytes | None]]


class PeerEdge:
    """Answers other gateways, and serves requests in their place.

    :param context: context of the gateway.
    :param forwarder: admits requests and forwards them to replicas.
    :param answer_peer: returns the body of the answer to any other call.
    """

    def __init__(
        self, context: GatewayContext, forwarder: Forwarder, answer_peer: PeerAnswer
    ) -> None:
        self._context = context
        self._forwarder = forwarder
        self._answer_peer = answer_peer

    async def serve(
        self, scope: Any, receive: Receive, responder: AsgiResponder
    ) -> None:
        """Serve one call."""
        if scope["path"] == FORWARD_PATH and scope["method"] == "POST":
            await self._serve_forwarded(scope, receive, responder)
            return
        try:
            body = await read_body(
                receive,
                self._context.clock,
                PEER_BODY_LIMIT_BYTES,
                PEER_BODY_TIMEOUT_S,
                scope["headers"],
            )
            content = await self._answer_peer(
                scope["path"], scope["query_string"], body
            )
        except LentilshoreError as error:
            await self._refuse_peer(scope["path"], error, responder)
            return
        status = 404 if content is None else 200
        fields = [
            ("content-type", "application/msgpack"),
            ("content-length", str(len(content or b""))),
        ]
        await responder.start(status, fields)
        await responder.finish(content or b"")

    async def _serve_forwarded(
        self, scope: Any, receive: Receive, responder: AsgiResponder
    ) -> None:
        """Serve a request in place of another gateway."""
        context = self._context
        table = context.view.table
        limits = table.limits if table else CallerLimits()
        try:
            body = await read_body(
                receive,
                context.clock,
                limits.body_bytes + MESSAGE_OVERHEAD_BYTES,
                PEER_BODY_TIMEOUT_S,
                scope["headers"],
            )
            forwarded = decode_forwarded(body)
        except LentilshoreError as error:
            await self._refuse_peer(scope["path"], error, responder)
            return
        context.metrics.count("forward.received")
        context.in_flight += 1
        try:
            await self._serve_in_place(forwarded, receive, responder)
        finally:
            context.in_flight -= 1

    async def _serve_in_place(
        self, forwarded: ForwardedRequest, receive: Receive, responder: AsgiResponder
    ) -> None:
        context, request_id = self._context, forwarded.request.request_id
        learned = context.replica_room.learn(forwarded.room, context.clock.monotonic())
        if learned:
            context.log_room(learned, forwarded.sender)
        context.silence_hints.update(forwarded.silent[:MAX_SILENCE_HINTS])
        try:
            self._forwarder.check_may_serve(forwarded)
            context.forwarded_in_flight += 1
            try:
                await self._serve_for_sender(forwarded, receive, responder)
            finally:
                context.forwarded_in_flight -= 1
        except RefusalError as refusal:
            await self._refuse_sender(refusal, forwarded, responder)
        except Exception as error:  # noqa: BLE001
            log_event(
                "request_failed",
                request=request_id or "-",
                error=type(error).__name__,
                detail=str(error),
            )
            refusal = RefusalError(RefusalReason.INTERNAL, Execution.UNKNOWN)
            await self._refuse_sender(refusal, forwarded, responder)

    async def _serve_for_sender(
        self, forwarded: ForwardedRequest, receive: Receive, responder: AsgiResponder
    ) -> None:
        received_at = self._context.clock.monotonic()
        request = forwarded.request._replace(deadline_s=forwarded.remaining_s)
        route, customer = self._forwarder.route_forwarded(forwarded)
        table = self._context.view.table
        delivery = self._forwarder.create_delivery(
            request,
            route,
            customer,
            received_at,
            FieldAddingResponder(responder, answer_field(forwarded.call_id, RELAYED)),
            ForwardedTerms(forwarded.attempts_left, forwarded.counted),
        )
        outcome = await self._forwarder.serve(receive, delivery)
        log_fields = {
            "route": route.name,
            "configuration": table.version if table else 0,
            "sender": forwarded.sender,
        }
        log_outcome(self._context, request, log_fields, outcome)

    async def _refuse_sender(
        self,
        refusal: RefusalError,
        forwarded: ForwardedRequest,
        responder: AsgiResponder,
    ) -> None:
        self._context.metrics.count(f"forward.refused.{refusal.reason.value}")
        log_event(
            "forwarded_request_refused",
            request=forwarded.request.request_id or "-",
            sender=forwarded.sender,
            reason=refusal.reason.value,
            execution=refusal.execution.value,
            cut=responder.started,
            detail=refusal.detail,
        )
        if responder.started:
            # The sender sees that the answer is incomplete.
            return
        body = encode_forwarded_refusal(refusal)
        fields = [
            answer_field(forwarded.call_id, REFUSED),
            ("content-length", str(len(body))),
        ]
        await responder.start(UNAVAILABLE_STATUS, fields)
        await responder.finish(body)

    async def _refuse_peer(
        self, path: str, error: LentilshoreError, responder: AsgiResponder
    ) -> None:
        status = error.status if isinstance(error, RefusalError) else 400
        self._context.metrics.count("relay.malformed")
        log_event(
            "peer_call_refused",
            path=path,
            error=type(error).__name__,
            status=status,
            detail=str(error),
        )
        # The rest of a body may still arrive on this connection.
        await responder.start(status, [("content-length", "0"), CLOSE_CONNECTION])
        await responder.finish()
