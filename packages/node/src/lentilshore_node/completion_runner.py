"""Runs of completions at engines: attempts, resumption and their bill."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from typing import NamedTuple, TypeVar

import anyio

from lentilshore_fleet import BillLine
from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.types import Execution, RetryReason
from lentilshore_routing import Lease, prefix_hash

from .attempts import AttemptLoop, RetryScope
from .candidates import Option
from .context import NodeContext
from .jobs import Job
from .requests import CompletionRequest
from .upstreams import EngineCall, StreamChunk, WholeAnswer

CANCEL_TIMEOUT_S = 1.0

T = TypeVar("T")
# Receives a replica's name and the events that it sent.
Receiver = Callable[[str, StreamChunk], Awaitable[None]]


class Served(NamedTuple):
    """A whole answer and where it came from.

    :param answer: the answer.
    :param upstream: name of the replica.
    """

    answer: WholeAnswer
    upstream: str


class CompletionRunner:
    """Runs one request at replicas of one version.

    :param context: the node.
    :param job: the request being served.
    :param request: what the caller asked for.
    :param option: the version to run it on.
    """

    def __init__(
        self,
        context: NodeContext,
        job: Job,
        request: CompletionRequest,
        option: Option,
    ) -> None:
        self._context = context
        self._job = job
        self._request = request
        self._version = option.candidate.version
        self._group = str(self._version)
        self._offset = 0

    async def run(self) -> Served:
        """Run the request and return the whole answer.

        :raises RefusalError: once no further attempt is allowed.
        """
        return await self._attempt(self._complete)

    async def stream(self, receive: Receiver) -> None:
        """Run the request and pass its events on, resuming where it breaks.

        :param receive: gets the events in order.
        :raises RefusalError: once no further attempt is allowed.
        """
        self._offset = 0

        async def send(lease: Lease) -> None:
            await self._stream(lease, receive)

        await self._attempt(send)

    def place(self, tried: Sequence[str]) -> Lease:
        """Choose a replica of the version."""
        tokens = self._request.input_tokens
        lease = self._context.placement.place(
            self._group,
            tokens + self._request.output_tokens,
            prefix_hash(self._request.prefix, tokens),
            self._job.headers.priority,
            tried,
        )
        if lease is None:
            raise self._job.no_upstream(self._group)
        return lease

    def note_failure(self, lease: Lease, error: UpstreamError) -> None:
        """Note that an attempt has failed, which counts against the version."""
        self._job.note_outcome(error.reason.value, error.execution, error.detail)
        if error.execution is not Execution.NOT_RUN:
            customer = self._job.customer.name
            self._context.evidence.add(self._group, "error", customer, True)

    def may_retry(self) -> bool:
        """Allow attempts until the retry budget or the deadline ends."""
        return True

    def note_retry(self, reason: RetryReason) -> None:
        """Note that the request is sent again."""
        self._job.note_retry(reason)

    async def _attempt(self, send: Callable[[Lease], Awaitable[T]]) -> T:
        self._context.retries.note_first(self._group)
        scope = RetryScope(self._job.request, self._job.tree, self._group, True)
        try:
            return await AttemptLoop(self._context, self, scope).run(send)
        except UpstreamError as error:
            raise self._job.given_up(error) from error

    async def _complete(self, lease: Lease) -> Served:
        async with self._billed(lease) as use:
            answer = await self._context.engine.complete(lease.replica, self._call(0))
            use.serve(answer.usage.input_tokens, answer.usage.output_tokens)
            return Served(answer, lease.replica.name)

    async def _stream(self, lease: Lease, receive: Receiver) -> None:
        sent = self._offset
        async with (
            self._billed(lease) as use,
            self._context.engine.stream(lease.replica, self._call(sent)) as chunks,
        ):
            async for chunk in chunks:
                self._offset = chunk.next_offset
                use.outputs = self._offset - sent
                if chunk.usage is not None:
                    tokens = chunk.usage.output_tokens - sent
                    use.serve(chunk.usage.input_tokens, tokens)
                await receive(lease.replica.name, chunk)

    @asynccontextmanager
    async def _billed(self, lease: Lease) -> AsyncIterator[_Use]:
        """Put an attempt on the bill before it begins, and how it ended."""
        self._job.note_attempt(self._group, lease.replica.name)
        line = self._line(lease, "interrupted", self._request.input_tokens, 0)
        self._context.ledger.enqueue_open_bill(self._job.opening_bill(line))
        use = _Use(lambda *figures: self._settle(lease, *figures))
        try:
            yield use
        except UpstreamError as error:
            if error.execution is not Execution.NOT_RUN:
                inputs = self._request.input_tokens if use.outputs else 0
                use.settle("failed", inputs)
            raise
        except BaseException:
            if not use.settled:
                use.settle("cancelled", self._request.input_tokens)
                await self._cancel(lease)
            raise

    def _call(self, offset: int) -> EngineCall:
        return EngineCall(
            request=self._job.request,
            version=self._group,
            body=self._request.body,
            priority=self._job.headers.priority,
            timeout_s=max(0.001, self._job.remaining_s),
            offset=offset,
        )

    def _line(self, lease: Lease, outcome: str, inputs: int, outputs: int) -> BillLine:
        cost = self._context.catalog.price(self._version.model, inputs, outputs)
        return BillLine(self._group, lease.replica.name, inputs, outputs, cost, outcome)

    def _settle(self, lease: Lease, outcome: str, inputs: int, outputs: int) -> None:
        self._job.add_line(self._line(lease, outcome, inputs, outputs))
        ran = Execution.RAN if outcome == "served" else Execution.UNKNOWN
        self._job.note_outcome(outcome, ran)

    async def _cancel(self, lease: Lease) -> None:
        with (
            anyio.CancelScope(shield=True),
            self._context.clock.timeout(CANCEL_TIMEOUT_S),
        ):
            await self._context.engine.cancel(lease.replica, self._job.request)


class _Use:
    """What one attempt has consumed so far, put on the bill once.

    :param settle: takes the outcome, input tokens and output tokens.
    """

    def __init__(self, settle: Callable[[str, int, int], None]) -> None:
        self._settle = settle
        self.outputs = 0
        self.settled = False

    def serve(self, inputs: int, outputs: int) -> None:
        """Put the figures of a whole answer on the bill."""
        self.outputs = outputs
        self.settle("served", inputs)

    def settle(self, outcome: str, inputs: int) -> None:
        """Put the attempt on the bill unless it is there."""
        if not self.settled:
            self.settled = True
            self._settle(outcome, inputs, self.outputs)
