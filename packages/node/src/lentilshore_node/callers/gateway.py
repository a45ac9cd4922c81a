"""ASGI application of a gateway that forwards callers' requests unchanged."""

from __future__ import annotations

from typing import Any

from lentilshore_kernel import log_event, refusal_counter
from lentilshore_kernel.exceptions import (
    STATUS_BY_REASON,
    RefusalError,
)
from lentilshore_kernel.types import Execution, RefusalReason
from lentilshore_routing.routes import CallerLimits

from ..clients.forwarding import ForwardRequest
from ..clients.http_connection import HeaderFields
from ..delivery.responder import (
    CLOSE_CONNECTION,
    AsgiResponder,
    encode_refusal,
    send_json,
)
from ..state.gateway_context import (
    CALLER_BODY_TIMEOUT_S,
    PEER_PATHS,
    GatewayContext,
)
from .edge import Receive, Send, read_body
from .forwarder import Forwarder
from .outcome_log import log_outcome
from .peer_edge import PeerAnswer, PeerEdge

# Statuses that tell the caller that the request did not run and will not run.
NOT_RUN_STATUSES = (400, 401, 403, 404, 408, 413, 421, 429, 431, 503)
UNAVAILABLE_STATUS = 503
BAD_GATEWAY_STATUS = 502
GATEWAY_TIMEOUT_STATUS = 504


class GatewayApplication:
    """Receives callers' requests and answers each once.

    :param context: context of the gateway.
    :param ready_port: port for the balancer's readiness probes, 0 for any port.
    :param metrics_port: port at which metrics are served and other gateways call, 0
        for none.
    :param answer_peer: returns the body of the answer to another gateway's call.
    """

    def __init__(
        self,
        context: GatewayContext,
        ready_port: int = 0,
        metrics_port: int = 0,
        answer_peer: PeerAnswer | None = None,
    ) -> None:
        self._context = context
        self._forwarder = Forwarder(context)
        self._ready_port = ready_port
        self._metrics_port = metrics_port
        self._peer_edge: PeerEdge | None = None
        if answer_peer is not None:
            self._peer_edge = PeerEdge(context, self._forwarder, answer_peer)

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """Serve one request of the ASGI server."""
        if scope["type"] != "http":
            return
        responder = AsgiResponder(send, self._context.clock, self._closes_connections)
        port = scope["server"][1] if scope.get("server") else 0
        if self._metrics_port and port == self._metrics_port:
            await self._serve_internal(scope, receive, responder)
            return
        is_ready_probe = scope["path"] == self._context.translator.ready_path
        if is_ready_probe and self._ready_port in (0, port):
            await self._send_ready(responder)
            return
        self._context.in_flight += 1
        try:
            await self._serve_or_refuse(scope, receive, responder)
        finally:
            self._context.in_flight -= 1

    def _closes_connections(self) -> bool:
        return self._context.closes_connections

    async def _send_ready(self, responder: AsgiResponder) -> None:
        status = 200 if self._context.ready else UNAVAILABLE_STATUS
        await send_json(responder, status, b"{}")

    async def _serve_internal(
        self, scope: Any, receive: Receive, responder: AsgiResponder
    ) -> None:
        if self._peer_edge is None or not scope["path"].startswith(PEER_PATHS):
            await self._send_metrics(responder)
            return
        await self._peer_edge.serve(scope, receive, responder)

    async def _send_metrics(self, responder: AsgiResponder) -> None:
        body = self._context.metrics.render().encode()
        fields = [
            ("content-type", "text/plain; version=0.0.4"),
            ("content-length", str(len(body))),
        ]
        await responder.start(200, fields)
        await responder.finish(body)

    async def _serve_or_refuse(
        self, scope: Any, receive: Receive, responder: Any
    ) -> None:
        request_id = ""
        try:
            head = self._read_head(scope)
            request_id = head.request_id
            await self._serve(head, scope["headers"], receive, responder)
        except RefusalError as refusal:
            await self._refuse(refusal, request_id, responder)
        except Exception as error:  # noqa: BLE001
            log_event(
                "request_failed",
                request=request_id or "-",
                error=type(error).__name__,
                detail=str(error),
            )
            refusal = RefusalError(RefusalReason.INTERNAL, Execution.UNKNOWN)
            await self._refuse(refusal, request_id, responder)

    def _read_head(self, scope: Any) -> ForwardRequest:
        target = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        return self._context.translator.read_request(
            scope["method"], target, scope["path"], scope["headers"]
        )

    async def _serve(
        self,
        head: ForwardRequest,
        headers: HeaderFields,
        receive: Receive,
        responder: AsgiResponder,
    ) -> None:
        received_at = self._context.clock.monotonic()
        self._forwarder.check_accepts()
        await self._forwarder.wait_for_first_read()
        route, customer = self._forwarder.route(head)
        table = self._context.view.table
        proof_age_s = self._context.view.confirmed_age_s
        limits = table.limits if table else CallerLimits()
        body = await read_body(
            receive,
            self._context.clock,
            limits.body_bytes,
            CALLER_BODY_TIMEOUT_S,
            headers,
        )
        if body:
            head = head._replace(body=body)
        delivery = self._forwarder.create_delivery(
            head, route, customer, received_at, responder
        )
        outcome = await self._forwarder.serve(receive, delivery)
        log_fields = {
            "route": route.name,
            "configuration": table.version if table else 0,
            "proof_age_ms": f"{proof_age_s * 1000:.0f}",
        }
        log_outcome(self._context, head, log_fields, outcome)

    async def _refuse(
        self, refusal: RefusalError, request_id: str, responder: AsgiResponder
    ) -> None:
        self._context.metrics.count(refusal_counter(refusal.reason))
        status = refusal_status(refusal)
        log_event(
            "request_refused",
            request=request_id or "-",
            reason=refusal.reason.value,
            execution=refusal.execution.value,
            status=status,
            cut=responder.started,
            detail=refusal.detail,
            retry_after_s=refusal.retry_after_s or "-",
        )
        if responder.started:
            # Leaving the answer unfinished makes the server close the connection,
            # so that the caller sees that the answer is incomplete.
            return
        fields = self._context.translator.refusal_fields(refusal, request_id)
        if refusal.retry_after_s is not None and status == UNAVAILABLE_STATUS:
            fields = [*fields, ("retry-after", f"{refusal.retry_after_s:g}")]
        if refusal.reason is RefusalReason.BODY_TOO_LARGE:
            fields = [*fields, CLOSE_CONNECTION]
        await send_json(responder, status, encode_refusal(refusal, request_id), fields)


def refusal_status(refusal: RefusalError) -> int:
    """Return the status of a refusal.

    A status that tells the caller that the request did not run is used only if that is
    proved.
    """
    status = STATUS_BY_REASON[refusal.reason]
    if refusal.execution is Execution.NOT_RUN:
        return status if status in NOT_RUN_STATUSES else UNAVAILABLE_STATUS
    if refusal.reason is RefusalReason.DEADLINE_EXCEEDED:
        return GATEWAY_TIMEOUT_STATUS
    return BAD_GATEWAY_STATUS if status in NOT_RUN_STATUSES else status
