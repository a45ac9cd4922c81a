"""Upstream kind ``service``: operations of plain services over HTTP."""

from __future__ import annotations

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.registry import plugin
from lentilshore_kernel.types import Execution, RefusalReason
from lentilshore_routing.replicas import Replica

from .engine import raising_upstream_errors
from .http_client import HttpClient
from .upstreams import PlainService, ServiceAnswer, ServiceCall


class HttpService:
    """Client of plain services over HTTP.

    :param http: HTTP client.
    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def call(self, replica: Replica, call: ServiceCall) -> ServiceAnswer:
        """Call an operation.

        :raises UpstreamError: if there is no answer, a status of 500 or above, or an
            answer without the identifier of this request.
        """
        headers = {"content-type": call.content_type, "x-request-id": call.request_id}
        if call.idempotency_key:
            headers["idempotency-key"] = call.idempotency_key
        with raising_upstream_errors():
            answer = await self._http.request(
                "POST",
                replica.address,
                f"/{call.service}/{call.operation}",
                call.body,
                headers,
                call.timeout_s,
            )
        if answer.status >= 500:
            raise UpstreamError(
                RefusalReason.UPSTREAM_FAILED,
                Execution.UNKNOWN,
                f"service error: status {answer.status}",
            )
        if answer.headers.get("x-request-id") != call.request_id:
            raise UpstreamError(
                RefusalReason.ANSWER_MISMATCH,
                Execution.UNKNOWN,
                f"answer is for request {answer.headers.get('x-request-id')!r}",
            )
        content_type = answer.headers.get("content-type", "application/octet-stream")
        return ServiceAnswer(answer.status, content_type, answer.body)


@plugin("upstream", "service")
def create_service(http: HttpClient, stall_timeout_s: float) -> PlainService:
    """Create the client of plain services."""
    return HttpService(http)
