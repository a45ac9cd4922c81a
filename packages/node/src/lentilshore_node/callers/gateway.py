"""ASGI application of a gateway that forwards callers' requests unchanged."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from lentilshore_kernel import log_event, refusal_counter
from lentilshore_kernel.exceptions import (
    STATUS_BY_REASON,
    LentilshoreError,
    RefusalError,
)
from lentilshore_kernel.types import Execution, RefusalReason
from lentilshore_routing.placement import ReplicaLease
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
from ..clients.forwarding import ForwardRequest
from ..clients.http_connection import HeaderFields
from ..delivery.delivery import ForwardedTerms
from ..delivery.outcome import Outcome
from ..delivery.responder import (
    CLOSE_CONNECTION,
    AsgiResponder,
    FieldAddingResponder,
    encode_refusal,
    send_json,
)
from ..state.gateway_context import (
    CALLER_BODY_TIMEOUT_S,
    FORWARD_PATH,
    PEER_BODY_LIMIT_BYTES,
    PEER_BODY_TIMEOUT_S,
    PEER_PATHS,
    GatewayContext,
)
from .edge import Receive, Send, read_body
from .forwarder import Forwarder

# Statuses that tell the caller that the request did not run and will not run.
NOT_RUN_STATUSES = (400, 401, 403, 404, 408, 413, 421, 429, 431, 503)
UNAVAILABLE_STATUS = 503
BAD_GATEWAY_STATUS = 502
GATEWAY_TIMEOUT_STATUS = 504
# Names of silent gateways that are taken from one forwarded request.
MAX_SILENCE_HINTS = 16

# Returns the body of the answer to a path, its query and a body, None if there is none.
PeerAnswer = Callable[[str, bytes, bytes], Awaitable[bytes | None]]


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
        self._answer_peer = answer_peer

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
        if self._answer_peer is None or not scope["path"].startswith(PEER_PATHS):
            await self._send_metrics(responder)
            return
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
        self._log_outcome(request, log_fields, outcome)

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
        self._log_outcome(head, log_fields, outcome)

    def _log_outcome(
        self, head: ForwardRequest, log_fields: dict[str, Any], outcome: Outcome | None
    ) -> None:
        if outcome is None:
            self._context.metrics.count("request.cancelled")
            log_event("request_cancelled", request=head.request_id, **log_fields)
            return
        self._context.metrics.count("request.served")
        self._context.metrics.observe("request.first_s", outcome.first_s)
        self._context.metrics.observe("request.whole_s", outcome.total_s)
        if not self._context.log_sampler.should_log(head.request_id):
            self._context.metrics.count("log.sampled_out")
            return
        log_event(
            "request_served",
            request=head.request_id,
            **log_fields,
            status=outcome.status,
            attempts=outcome.attempts,
            **_lease_fields(outcome.lease),
            version=outcome.version or "-",
            session=head.session or "-",
            model=outcome.model or "-",
            first_ms=f"{outcome.first_s * 1000:.1f}",
            whole_ms=f"{outcome.total_s * 1000:.1f}",
        )

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


def _lease_fields(lease: ReplicaLease | None) -> dict[str, Any]:
    """Return log fields with the replica of a request and why it was chosen."""
    if lease is None:
        return {"replica": "-"}
    age_s = lease.report_age_s
    return {
        "replica": lease.replica.name,
        "data_centre": lease.replica.data_centre,
        "load_tokens": f"{lease.load_tokens:.0f}",
        "load_from": "own_work" if age_s is None else f"report_{age_s:.1f}_s_old",
        "cached": lease.cached,
    }
