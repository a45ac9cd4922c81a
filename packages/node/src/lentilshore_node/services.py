"""Serves calls of plain services, at most once where they are not repeatable."""

from __future__ import annotations

import base64
from collections.abc import Sequence
from typing import Any

import anyio

from lentilshore_fleet import BillLine, Claim, Replay
from lentilshore_kernel.exceptions import RefusalError, UpstreamError
from lentilshore_kernel.types import Execution, RefusalReason, RetryReason
from lentilshore_routing import Customer, Lease

from .attempts import AttemptLoop, RetryScope
from .context import NodeContext
from .jobs import Job
from .requests import KEY_HEADER, ServiceRequest
from .responder import Responder
from .upstreams import ServiceAnswer, ServiceCall

WORK_TOKENS = 16.0


class ServiceHandler:
    """Serves calls of plain services on one node.

    :param context: the node.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    async def serve(
        self, customer: Customer, request: ServiceRequest, responder: Responder
    ) -> Job:
        """Serve one call.

        :param customer: who asks.
        :param request: what it asks for.
        :param responder: receives the answer.
        :returns: the job, for the log.
        :raises RefusalError: if the call is not served.
        """
        asked = f"{request.service}/{request.operation}"
        job = Job(self._context, customer, request.headers, asked)
        async with job.serving():
            operation = self._operation(customer, request)
            async with self._context.queue.slot(
                customer.name, request.headers.priority, job.remaining_s
            ):
                call = _Call(self._context, job, request, operation)
                answer = await call.run()
            await self._send(job, answer, responder)
        return job

    def _operation(self, customer: Customer, request: ServiceRequest) -> Any:
        record = self._context.catalog.record("service", request.service)
        operation = (record or {"operations": {}})["operations"].get(request.operation)
        if operation is None:
            raise RefusalError(
                RefusalReason.UNKNOWN_OPERATION,
                detail=f"{request.service}/{request.operation} is not known",
            )
        if request.service not in customer.record.get("services", []):
            raise RefusalError(
                RefusalReason.VERSION_FORBIDDEN,
                detail=f"customer {customer.name} may not use {request.service!r}",
            )
        if not operation["repeatable"] and not request.headers.idempotency_key:
            raise RefusalError(
                RefusalReason.IDEMPOTENCY_KEY_REQUIRED,
                detail=f"{request.service}/{request.operation} may not be repeated; "
                f"send a header {KEY_HEADER}",
            )
        return operation

    async def _send(
        self, job: Job, answer: ServiceAnswer, responder: Responder
    ) -> None:
        await job.secure_bill()
        headers = [
            ("content-type", answer.content_type),
            ("content-length", str(len(answer.body))),
            ("lentilshore-request", job.request),
            ("lentilshore-attempts", str(job.attempts)),
            ("lentilshore-bill", job.bill_reference),
            ("lentilshore-execution", Execution.RAN.value),
        ]
        await responder.start(answer.status, headers)
        await responder.finish(answer.body)


class _Call:
    """One call being served."""

    def __init__(
        self,
        context: NodeContext,
        job: Job,
        request: ServiceRequest,
        operation: Any,
    ) -> None:
        self._context = context
        self._job = job
        self._request = request
        self._repeatable = operation["repeatable"]
        self._price = operation.get("price", 0.0)

    def place(self, tried: Sequence[str]) -> Lease:
        """Choose a replica of the service."""
        group, priority = self._request.service, self._request.headers.priority
        placement = self._context.placement
        lease = placement.place(group, WORK_TOKENS, "", priority, tried)
        if lease is None:
            raise self._job.no_upstream(group)
        return lease

    def note_failure(self, lease: Lease, error: UpstreamError) -> None:
        """Note that an attempt has failed; nothing is charged for it."""
        self._job.note_outcome(error.reason.value, error.execution, error.detail)
        if error.execution is not Execution.NOT_RUN:
            self._job.add_line(self._line(lease, "unknown")._replace(cost=0.0))

    def may_retry(self) -> bool:
        """Allow attempts until the retry budget or the deadline ends."""
        return True

    def note_retry(self, reason: RetryReason) -> None:
        """Note that the call is sent again."""
        self._job.note_retry(reason)

    async def run(self) -> ServiceAnswer:
        """Return the answer, running the call at most once if need be."""
        if self._repeatable:
            return await self._dispatch_within_deadline()
        with anyio.CancelScope(shield=True):
            return await self._run_once()

    async def _run_once(self) -> ServiceAnswer:
        claimed = await self._context.claims.acquire(
            self._job.customer.name,
            f"{self._job.explanation['asked']}/{self._request.headers.idempotency_key}",
            self._request.body,
            self._job.request,
        )
        if isinstance(claimed, Replay):
            answer = _replayed(claimed)
            self._job.bill_reference = claimed.answer["request"]
            return answer
        try:
            answer = await self._dispatch_within_deadline()
        except BaseException:
            if self._job.execution is Execution.NOT_RUN:
                await self._context.claims.abandon(claimed)
            raise
        await self._job.close_bill()
        await self._complete(claimed, answer)
        return answer

    async def _complete(self, claim: Claim, answer: ServiceAnswer) -> None:
        stored = {
            "request": self._job.request,
            "status": answer.status,
            "content_type": answer.content_type,
            "body": base64.b64encode(answer.body).decode(),
        }
        if not await self._context.claims.complete(claim, stored, len(answer.body)):
            self._context.metrics.count("claim.incomplete")

    async def _dispatch_within_deadline(self) -> ServiceAnswer:
        remaining_s = self._job.remaining_s
        if remaining_s <= 0:
            raise RefusalError(
                RefusalReason.DEADLINE_EXCEEDED,
                detail="deadline passed before dispatch",
            )
        with self._context.clock.timeout(remaining_s):
            return await self._dispatch()
        raise RefusalError(
            RefusalReason.DEADLINE_EXCEEDED,
            self._job.execution,
            f"no answer within {self._request.headers.deadline_s:.3f} s",
        )

    async def _dispatch(self) -> ServiceAnswer:
        group, job = self._request.service, self._job
        self._context.retries.note_first(group)
        scope = RetryScope(job.request, job.tree, group, self._repeatable)
        try:
            return await AttemptLoop(self._context, self, scope).run(self._attempt)
        except UpstreamError as error:
            raise self._job.given_up(error) from error

    async def _attempt(self, lease: Lease) -> ServiceAnswer:
        self._job.note_attempt(self._job.explanation["asked"], lease.replica.name)
        line = self._line(lease, "interrupted")
        self._context.ledger.enqueue_open_bill(self._job.opening_bill(line))
        call = ServiceCall(
            request=self._job.request,
            service=self._request.service,
            operation=self._request.operation,
            body=self._request.body,
            content_type=self._request.content_type,
            key=self._request.headers.idempotency_key,
            timeout_s=max(0.001, self._job.remaining_s),
        )
        answer = await self._context.service.call(lease.replica, call)
        self._job.note_outcome("served", Execution.RAN)
        self._job.add_line(self._line(lease, "served"))
        return answer

    def _line(self, lease: Lease, outcome: str) -> BillLine:
        asked = self._job.explanation["asked"]
        return BillLine(asked, lease.replica.name, 0, 0, self._price, outcome)


def _replayed(replay: Replay) -> ServiceAnswer:
    if replay.answer is None:
        raise RefusalError(
            RefusalReason.OUTCOME_UNKNOWN,
            Execution.RAN,
            "the call with this key ran; its answer was too large to keep",
        )
    return ServiceAnswer(
        replay.answer["status"],
        replay.answer["content_type"],
        base64.b64decode(replay.answer["body"]),
    )
