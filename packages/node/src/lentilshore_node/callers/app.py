"""ASGI application that serves callers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import msgspec

from lentilshore_kernel import log_event, refusal_counter
from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import Execution, RefusalReason
from lentilshore_routing import Customer

from ..delivery.jobs import Job
from ..delivery.requests import (
    CallerHeaders,
    ServiceRequest,
    parse_completion,
    parse_headers,
)
from ..delivery.responder import (
    CLOSE_CONNECTION,
    AsgiResponder,
    Responder,
    encode_error_event,
    encode_refusal,
    send_json,
)
from ..state.context import NodeContext
from .completions import CompletionHandler
from .edge import Receive, Send, read_body, serve_until_disconnect
from .services import ServiceHandler

SERVICE_PREFIX = "/v1/services/"
SERVICE_PATH_PARTS = 2
LIMIT_CHECK_INTERVAL_S = 1.0


class CallerApplication:
    """Receives callers' requests and sends one answer or refusal to each.

    :param context: the node.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._completions = CompletionHandler(context)
        self._services = ServiceHandler(context)

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """Serve one HTTP request; other kinds of ASGI connection are ignored."""
        if scope["type"] != "http":
            return
        responder = AsgiResponder(send, self._context.clock)
        self._context.in_flight += 1
        try:
            await self._serve_or_refuse(scope, receive, responder)
        finally:
            self._context.in_flight -= 1

    async def _serve_or_refuse(
        self, scope: Any, receive: Receive, responder: Responder
    ) -> None:
        try:
            await self._route(scope, receive, responder)
        except RefusalError as refusal:
            await self._send_refusal(refusal, responder)
        except Exception as error:  # noqa: BLE001
            log_event("request_failed", error=type(error).__name__, detail=str(error))
            refusal = RefusalError(RefusalReason.INTERNAL, Execution.UNKNOWN)
            await self._send_refusal(refusal, responder)

    async def _route(self, scope: Any, receive: Receive, responder: Responder) -> None:
        method, path = scope["method"], scope["path"]
        if path in ("/healthz", "/readyz"):
            await self._answer_probe(path, responder)
            return
        headers = self._parse_headers(scope)
        if (method, path) == ("GET", "/v1/models"):
            await self._list_models(headers, responder)
        elif (method, path) == ("POST", "/v1/chat/completions"):
            await self._serve_completion(scope, headers, receive, responder)
        elif method == "POST" and path.startswith(SERVICE_PREFIX):
            await self._serve_service_call(scope, headers, receive, responder)
        else:
            raise RefusalError(
                RefusalReason.UNKNOWN_PATH, detail=f"{method} {path[:200]}"
            )

    async def _answer_probe(self, path: str, responder: Responder) -> None:
        healthy = path == "/healthz" or self._context.ready
        state = {"ready": self._context.ready, "draining": self._context.draining}
        await send_json(responder, 200 if healthy else 503, msgspec.json.encode(state))

    async def _list_models(self, headers: CallerHeaders, responder: Responder) -> None:
        customer = self._authenticate(headers)
        catalog = self._context.catalog
        names = [
            name
            for kind in ("cascade", "model")
            for name in catalog.names(kind)
            if _may_use(catalog, customer, name)
        ]
        models = [{"id": name, "object": "model"} for name in names]
        body = msgspec.json.encode({"object": "list", "data": models})
        await send_json(responder, 200, body)

    async def _serve_completion(
        self, scope: Any, headers: CallerHeaders, receive: Receive, responder: Responder
    ) -> None:
        customer = self._authenticate(headers)
        request = parse_completion(headers, await self._read_body(scope, receive))
        job = await self._run_until_disconnect(
            receive, responder, self._completions.serve, customer, request
        )
        self._log_outcome(job)

    async def _serve_service_call(
        self, scope: Any, headers: CallerHeaders, receive: Receive, responder: Responder
    ) -> None:
        customer = self._authenticate(headers)
        path_parts = scope["path"][len(SERVICE_PREFIX) :].split("/")
        if len(path_parts) != SERVICE_PATH_PARTS:
            raise RefusalError(
                RefusalReason.UNKNOWN_PATH,
                detail=f"expected {SERVICE_PREFIX}service/operation",
            )
        raw_headers = dict(scope["headers"])
        content_type = raw_headers.get(b"content-type", b"application/json").decode(
            "latin-1"
        )
        body = await self._read_body(scope, receive)
        request = ServiceRequest(
            headers, path_parts[0], path_parts[1], body, content_type
        )
        job = await self._run_until_disconnect(
            receive, responder, self._services.serve, customer, request
        )
        self._log_outcome(job)

    def _parse_headers(self, scope: Any) -> CallerHeaders:
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        return parse_headers(headers, self._context.settings.limits.request_s)

    def _authenticate(self, headers: CallerHeaders) -> Customer:
        self._context.require_ready()
        return self._context.catalog.authenticate(headers.api_key)

    async def _read_body(self, scope: Any, receive: Receive) -> bytes:
        limits = self._context.settings.limits
        return await read_body(
            receive,
            self._context.clock,
            limits.body_bytes,
            limits.caller_stall_s,
            scope["headers"],
        )

    async def _run_until_disconnect(
        self,
        receive: Receive,
        responder: Responder,
        serve: Callable[..., Awaitable[Job]],
        *args: Any,
    ) -> Job | None:
        """Serve a request until it ends, its caller disconnects or a limit is reached.

        :returns: the job, None if the caller disconnected.
        """
        return await serve_until_disconnect(
            receive,
            partial(serve, *args, responder),
            partial(self._wait_for_limit, responder),
        )

    async def _wait_for_limit(self, responder: Responder) -> RefusalError:
        """Wait until the drain limit has passed or the caller stops reading.

        :returns: the refusal that ends the request.
        """
        stall_s = self._context.settings.limits.caller_stall_s
        while not self._context.drain_expired.is_set():
            with self._context.clock.timeout(LIMIT_CHECK_INTERVAL_S):
                await self._context.drain_expired.wait()
            if responder.stalled_s > stall_s:
                detail = f"caller read nothing for {stall_s:.0f} s"
                return RefusalError(
                    RefusalReason.CALLER_TOO_SLOW, Execution.UNKNOWN, detail
                )
        detail = "the node stopped before the answer was complete"
        return RefusalError(RefusalReason.DRAINING, Execution.UNKNOWN, detail)

    async def _send_refusal(self, refusal: RefusalError, responder: Responder) -> None:
        self._context.metrics.count(refusal_counter(refusal.reason))
        log_event(
            "request_refused",
            reason=refusal.reason.value,
            execution=refusal.execution.value,
            request=refusal.request_id or "-",
            detail=refusal.detail,
        )
        if responder.started:
            if refusal.reason is not RefusalReason.CALLER_TOO_SLOW:
                await responder.finish(encode_error_event(refusal, refusal.request_id))
            return
        headers = [("lentilshore-execution", refusal.execution.value)]
        if refusal.request_id:
            headers.append(("lentilshore-request", refusal.request_id))
        if refusal.retry_after_s is not None:
            headers.append(("retry-after", str(max(1, round(refusal.retry_after_s)))))
        if refusal.reason is RefusalReason.BODY_TOO_LARGE:
            headers.append(CLOSE_CONNECTION)
        body = encode_refusal(refusal, refusal.request_id)
        await send_json(responder, refusal.status, body, headers)

    def _log_outcome(self, job: Job | None) -> None:
        # The caller disconnected.
        if job is None:
            self._context.metrics.count("request.cancelled")
            log_event("request_cancelled")
            return
        self._context.metrics.count("request.served")
        log_event(
            "request_served",
            request=job.request_id,
            customer=job.customer.name,
            served_by=job.explanation["served_by"] or job.explanation["asked"],
            attempts=job.attempts,
            cost=f"{job.explanation['cost']:.1f}",
            duration_ms=f"{job.explanation['duration_ms']:.1f}",
        )


def _may_use(catalog: Any, customer: Customer, name: str) -> bool:
    try:
        return bool(catalog.allowed_models(customer, name))
    except RefusalError:
        return False
