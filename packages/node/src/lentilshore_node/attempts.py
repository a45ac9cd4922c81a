"""Attempts at engines: placement, retries on other replicas, resumption."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio

from lentilshore_fleet import BillLine
from lentilshore_kernel.exceptions import RefusalError, UpstreamError
from lentilshore_kernel.types import Execution, RefusalReason, RetryReason
from lentilshore_routing import Lease, prefix_hash

from .candidates import Option
from .context import NodeContext
from .jobs import Job
from .requests import CompletionRequest
from .retry_reasons import RETRY_REASONS
from .upstreams import EngineCall, StreamChunk, WholeAnswer

CANCEL_TIMEOUT_S = 1.0
NO_UPSTREAM_RETRY_S = 1.0


class Served(NamedTuple):
    """A whole answer and where it came from.

    :param answer: the answer.
    :param upstream: name of the replica.
    """

    answer: WholeAnswer
    upstream: str


class AttemptRunner:
    """Runs one request at replicas of one version.

    :param context: the node.
    :param job: the request being served.
    :param request: what the caller asked for.
    """

    def __init__(
        self, context: NodeContext, job: Job, request: CompletionRequest
    ) -> None:
        self._context = context
        self._job = job
        self._request = request
        self._excluded: list[str] = []

    async def run(self, option: Option) -> Served:
        """Run the request and return the whole answer.

        :param option: the version to run it on.
        :raises RefusalError: once no further attempt is allowed.
        """
        self._begin(option)
        while True:
            lease = self._place(option)
            try:
                answer = await self._run_at(option, lease)
                return Served(answer, lease.replica.name)
            except UpstreamError as error:
                self._fail(option, lease, error)

    async def stream(self, option: Option) -> AsyncIterator[tuple[str, StreamChunk]]:
        """Run the request and yield its events, resuming where it breaks.

        :param option: the version to run it on.
        :returns: the replica's name with each chunk.
        :raises RefusalError: once no further attempt is allowed.
        """
        self._begin(option)
        offset = 0
        while True:
            lease = self._place(option)
            failed, settled, sent = True, False, offset
            try:
                call = self._call(option, offset)
                self._announce(option, lease)
                async with self._context.engine.stream(lease.replica, call) as chunks:
                    async for chunk in chunks:
                        offset = chunk.next_offset
                        if chunk.usage is not None:
                            tokens = chunk.usage.output_tokens - sent
                            inputs = chunk.usage.input_tokens
                            self._settle(option, lease, "served", inputs, tokens)
                            settled, failed = True, False
                        yield lease.replica.name, chunk
                return
            except UpstreamError as error:
                if error.execution is not Execution.NOT_RUN:
                    inputs = self._request.input_tokens if offset > sent else 0
                    self._settle(option, lease, "failed", inputs, offset - sent)
                settled = True
                self._fail(option, lease, error, release=False)
            finally:
                if not settled:
                    inputs = self._request.input_tokens
                    self._settle(option, lease, "cancelled", inputs, offset - sent)
                    await self._cancel(lease)
                    failed = False
                self._context.placement.release(lease, failed)

    def _begin(self, option: Option) -> None:
        self._excluded = []
        self._context.retries.note_first(str(option.candidate.version))

    async def _run_at(self, option: Option, lease: Lease) -> WholeAnswer:
        settled = False
        try:
            self._announce(option, lease)
            answer = await self._context.engine.complete(
                lease.replica, self._call(option, 0)
            )
            usage = answer.usage
            self._settle(
                option, lease, "served", usage.input_tokens, usage.output_tokens
            )
            self._context.placement.release(lease, False)
            settled = True
            return answer
        except UpstreamError as error:
            settled = True
            if error.execution is not Execution.NOT_RUN:
                self._settle(option, lease, "failed", 0, 0)
            raise
        finally:
            if not settled:
                inputs = self._request.input_tokens
                self._settle(option, lease, "cancelled", inputs, 0)
                self._context.placement.release(lease, False)
                await self._cancel(lease)

    def _place(self, option: Option) -> Lease:
        version = str(option.candidate.version)
        tokens = self._request.input_tokens
        prefix = prefix_hash(self._request.prefix, tokens)
        work = tokens + self._request.output_tokens
        priority = self._job.headers.priority
        choose = self._context.placement.choose
        lease = choose(version, work, prefix, priority, self._excluded)
        lease = lease or choose(version, work, prefix, priority)
        if lease is None:
            raise RefusalError(
                RefusalReason.NO_UPSTREAM,
                self._job.execution,
                f"no replica of {version} is available",
                NO_UPSTREAM_RETRY_S,
            )
        self._job.note_attempt(version, lease.replica.name)
        return lease

    def _announce(self, option: Option, lease: Lease) -> None:
        tokens = self._request.input_tokens
        line = self._line(option, lease, "interrupted", tokens, 0)
        self._context.ledger.announce(self._job.opening_bill(line))

    def _call(self, option: Option, offset: int) -> EngineCall:
        return EngineCall(
            request=self._job.request,
            version=str(option.candidate.version),
            body=self._request.body,
            priority=self._job.headers.priority,
            timeout_s=max(0.001, self._job.remaining_s),
            offset=offset,
        )

    def _line(
        self, option: Option, lease: Lease, outcome: str, inputs: int, outputs: int
    ) -> BillLine:
        version = option.candidate.version
        cost = self._context.catalog.price(version.model, inputs, outputs)
        return BillLine(
            str(version), lease.replica.name, inputs, outputs, cost, outcome
        )

    def _settle(
        self, option: Option, lease: Lease, outcome: str, inputs: int, outputs: int
    ) -> None:
        self._job.add_line(self._line(option, lease, outcome, inputs, outputs))
        ran = Execution.RAN if outcome == "served" else Execution.UNKNOWN
        self._job.note_outcome(outcome, ran)

    def _fail(
        self, option: Option, lease: Lease, error: UpstreamError, release: bool = True
    ) -> None:
        version = str(option.candidate.version)
        if release:
            self._context.placement.release(lease, True)
        self._excluded.append(lease.replica.name)
        self._job.note_outcome(error.reason.value, error.execution, error.detail)
        if error.execution is not Execution.NOT_RUN:
            customer = self._job.customer.name
            self._context.evidence.add(version, "error", customer, True)
        if not self._context.retries.allow(
            self._job.tree, version, True, error.execution
        ):
            raise RefusalError(
                error.reason,
                self._job.execution,
                error.detail,
                NO_UPSTREAM_RETRY_S,
            ) from error
        not_run = error.execution is Execution.NOT_RUN
        reason = RetryReason.CONNECT_FAILED if not_run else RETRY_REASONS[error.reason]
        self._job.note_retry(reason)

    async def _cancel(self, lease: Lease) -> None:
        with (
            anyio.CancelScope(shield=True),
            self._context.clock.timeout(CANCEL_TIMEOUT_S),
        ):
            await self._context.engine.cancel(lease.replica, self._job.request)
