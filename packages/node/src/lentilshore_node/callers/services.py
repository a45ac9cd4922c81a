"""Serves calls of plain services; runs those not repeatable at most once."""

from __future__ import annotations

import base64
from collections.abc import Sequence
from typing import Any

import anyio

from lentilshore_fleet import BillLine, Claim, Replay
from lentilshore_kernel.exceptions import RefusalError, UpstreamError
from lentilshore_kernel.types import Execution, RefusalReason, RetryDenial, RetryReason
from lentilshore_routing import Customer, ReplicaLease

from ..clients.upstreams import ServiceAnswer, ServiceCall
from ..delivery.attempts import AttemptLoop, RetryScope
from ..delivery.jobs import Job
from ..delivery.requests import IDEMPOTENCY_KEY_HEADER, ServiceRequest
from ..delivery.responder import Responder
from ..state.context import NodeContext

# Work that one call adds to a replica's load, in tokens.
CALL_WORK_TOKENS = 16.0


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

        :param customer: customer that sent the request.
        :param request: the parsed request.
        :param responder: receives the answer.
        :returns: the job, from which the log line is made.
        :raises RefusalError: if the call is not served.
        """
        requested = f"{request.service}/{request.operation}"
        job = Job(self._context, customer, request.headers, requested)
        async with job.serving():
            operation = self._find_operation(customer, request)
            async with self._context.queue.slot(
                customer.name, request.headers.priority, job.remaining_s
            ):
                call = _ServiceCallRun(self._context, job, request, operation)
                answer = await call.run()
            await self._send_answer(job, answer, responder)
        return job

    def _find_operation(self, customer: Customer, request: ServiceRequest) -> Any:
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
                f"expected a header {IDEMPOTENCY_KEY_HEADER}",
            )
        return operation

    async def _send_answer(
        self, job: Job, answer: ServiceAnswer, responder: Responder
    ) -> None:
        await job.require_bill_copy()
        headers = [
            ("content-type", answer.content_type),
            ("content-length", str(len(answer.body))),
            ("lentilshore-request", job.request_id),
            ("lentilshore-attempts", str(job.attempts)),
            ("lentilshore-bill", job.bill_reference),
            ("lentilshore-execution", Execution.RAN.value),
        ]
        await responder.start(answer.status, headers)
        await responder.finish(answer.body)


class _ServiceCallRun:
    """Runs one call, under a claim if it is not repeatable."""

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

    def choose_replica(self, tried: Sequence[str]) -> ReplicaLease:
        """Choose a replica of the service.

        :param tried: names of replicas at which attempts have failed.
        :raises RefusalError: ``no_upstream`` if no replica is available.
        """
        group, priority = self._request.service, self._request.headers.priority
        placement = self._context.placement
        # The empty prefix: a call shares no prefix with others.
        lease = placement.choose_untried_first(
            group, CALL_WORK_TOKENS, "", priority, tried
        )
        if lease is None:
            raise self._job.no_upstream_refusal(group)
        return lease

    def record_failure(self, lease: ReplicaLease, error: UpstreamError) -> None:
        """Record a failed attempt.

        One that may have run is recorded in the bill, at no cost.
        """
        self._job.end_attempt(error.reason.value, error.execution, error.detail)
        if error.execution is not Execution.NOT_RUN:
            self._job.add_bill_line(
                self._bill_line(lease, "unknown")._replace(cost=0.0)
            )

    def retry_denial(self) -> RetryDenial | None:
        """Return None: only the retry budget and the deadline bound the attempts."""
        return None

    async def wait_for_budget(self) -> bool:
        """Return False: a retry that is denied is not asked for again."""
        return False

    async def next_has_begun(self) -> bool:
        """Return False: attempts follow one another."""
        return False

    @property
    def remaining_s(self) -> float:
        """Time until the call's deadline, seconds."""
        return self._job.remaining_s

    @property
    def replica_group(self) -> str:
        """Group of the replicas that may serve the call."""
        return self._request.service

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt has run, or is not proved not to have run."""
        return self._job.execution is not Execution.NOT_RUN

    def record_retry(self, reason: RetryReason) -> None:
        """Record that the call is sent again."""
        self._job.record_retry(reason)

    async def run(self) -> ServiceAnswer:
        """Return the answer; a call that is not repeatable runs at most once."""
        if self._repeatable:
            return await self._run_within_deadline()
        # Shielded: a caller that disconnects must not interrupt a claimed call.
        with anyio.CancelScope(shield=True):
            return await self._run_at_most_once()

    async def _run_at_most_once(self) -> ServiceAnswer:
        """Run the call under a claim, or return the answer stored for its key.

        The claim is abandoned only if the call is proved not to have run.
        """
        claimed = await self._context.claims.acquire(
            self._job.customer.name,
            f"{self._job.explanation['asked']}/{self._request.headers.idempotency_key}",
            self._request.body,
            self._job.request_id,
        )
        if isinstance(claimed, Replay):
            answer = _replayed_answer(claimed)
            # The bill of the request that ran the call.
            self._job.bill_reference = claimed.answer["request"]
            return answer
        try:
            answer = await self._run_within_deadline()
        except BaseException:
            if self._job.execution is Execution.NOT_RUN:
                await self._context.claims.abandon(claimed)
            raise
        await self._job.close_bill()
        await self._complete_claim(claimed, answer)
        return answer

    async def _complete_claim(self, claim: Claim, answer: ServiceAnswer) -> None:
        stored = {
            "request": self._job.request_id,
            "status": answer.status,
            "content_type": answer.content_type,
            "body": base64.b64encode(answer.body).decode(),
        }
        if not await self._context.claims.complete(claim, stored, len(answer.body)):
            self._context.metrics.count("claim.incomplete")

    async def _run_within_deadline(self) -> ServiceAnswer:
        remaining_s = self._job.remaining_s
        if remaining_s <= 0:
            raise RefusalError(
                RefusalReason.DEADLINE_EXCEEDED,
                detail="deadline passed before the first attempt was sent",
            )
        with self._context.clock.timeout(remaining_s):
            return await self._run_attempts()
        # Reached at the timeout, which ends the block above without an exception.
        raise RefusalError(
            RefusalReason.DEADLINE_EXCEEDED,
            self._job.execution,
            f"no answer within {self._request.headers.deadline_s:.3f} s",
        )

    async def _run_attempts(self) -> ServiceAnswer:
        group, job = self._request.service, self._job
        self._context.retries.record_first_attempt(group)
        scope = RetryScope(job.request_id, job.tree_id, group, self._repeatable)
        try:
            return await AttemptLoop(self._context, self, scope).run(self._attempt)
        except UpstreamError as error:
            raise self._job.refusal_after_failure(error) from error

    async def _attempt(self, lease: ReplicaLease) -> ServiceAnswer:
        self._job.begin_attempt(self._job.explanation["asked"], lease.replica.name)
        # The line that a peer bills if this node dies during the attempt.
        line = self._bill_line(lease, "interrupted")
        self._context.ledger.enqueue_open_bill(self._job.provisional_bill(line))
        call = ServiceCall(
            request_id=self._job.request_id,
            service=self._request.service,
            operation=self._request.operation,
            body=self._request.body,
            content_type=self._request.content_type,
            idempotency_key=self._request.headers.idempotency_key,
            timeout_s=max(0.001, self._job.remaining_s),
        )
        answer = await self._context.service.call(lease.replica, call)
        self._job.end_attempt("served", Execution.RAN)
        self._job.add_bill_line(self._bill_line(lease, "served"))
        return answer

    def _bill_line(self, lease: ReplicaLease, outcome: str) -> BillLine:
        requested = self._job.explanation["asked"]
        return BillLine(requested, lease.replica.name, 0, 0, self._price, outcome)


def _replayed_answer(replay: Replay) -> ServiceAnswer:
    if replay.answer is None:
        raise RefusalError(
            RefusalReason.OUTCOME_UNKNOWN,
            Execution.RAN,
            "a call with this idempotency key ran before; its answer was too large to "
            "be stored",
        )
    return ServiceAnswer(
        replay.answer["status"],
        replay.answer["content_type"],
        base64.b64decode(replay.answer["body"]),
    )
