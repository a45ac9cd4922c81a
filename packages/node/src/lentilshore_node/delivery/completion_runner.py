"""Runs completions at engines: attempts, resumed streams and bill lines."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from typing import NamedTuple, TypeVar

import anyio

from lentilshore_fleet import BillLine
from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.types import Execution, RetryDenial, RetryReason
from lentilshore_routing import ReplicaLease, prefix_hash

from ..clients.upstreams import EngineCall, StreamChunk, WholeAnswer
from ..state.context import NodeContext
from .attempts import AttemptLoop, RetryScope
from .jobs import Job
from .requests import CompletionRequest
from .version_options import VersionOption

CANCEL_TIMEOUT_S = 1.0

T = TypeVar("T")
# Called with the name of a replica and the events that it sent.
ChunkReceiver = Callable[[str, StreamChunk], Awaitable[None]]


class ServedCompletion(NamedTuple):
    """A whole answer and the replica that gave it.

    :param answer: the answer.
    :param replica_name: name of that replica.
    """

    answer: WholeAnswer
    replica_name: str


class CompletionRunner:
    """Runs one request at the replicas of one version.

    :param context: the node.
    :param job: the request being served.
    :param request: the parsed request.
    :param option: the version to run it on.
    """

    def __init__(
        self,
        context: NodeContext,
        job: Job,
        request: CompletionRequest,
        option: VersionOption,
    ) -> None:
        self._context = context
        self._job = job
        self._request = request
        self._version = option.cascade_option.version
        self._version_name = str(self._version)
        self._next_token_offset = 0

    async def run(self) -> ServedCompletion:
        """Run the request and return the whole answer.

        :raises RefusalError: once no further attempt is allowed.
        """
        return await self._run_attempts(self._complete)

    async def stream(self, receive: ChunkReceiver) -> None:
        """Run the request and relay its events.

        A stream that breaks is resumed at another replica after the last token that
        was received.

        :param receive: called with the events in order.
        :raises RefusalError: once no further attempt is allowed.
        """
        self._next_token_offset = 0

        async def send(lease: ReplicaLease) -> None:
            await self._stream(lease, receive)

        await self._run_attempts(send)

    def choose_replica(self, tried: Sequence[str]) -> ReplicaLease:
        """Choose a replica of the version.

        :param tried: names of replicas at which attempts have failed.
        :raises RefusalError: ``no_upstream`` if no replica is available.
        """
        input_tokens = self._request.input_tokens
        lease = self._context.placement.choose_untried_first(
            self._version_name,
            input_tokens + self._request.max_output_tokens,
            prefix_hash(self._request.prefix, input_tokens),
            self._job.headers.priority,
            tried,
        )
        if lease is None:
            raise self._job.no_upstream_refusal(self._version_name)
        return lease

    def record_failure(self, lease: ReplicaLease, error: UpstreamError) -> None:
        """Record a failed attempt.

        One that may have run counts as an error of the version.
        """
        self._job.end_attempt(error.reason.value, error.execution, error.detail)
        if error.execution is not Execution.NOT_RUN:
            customer = self._job.customer.name
            # True counts the attempt as an error.
            self._context.evidence.add(self._version_name, "error", customer, True)

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
        """Time until the request's deadline, seconds."""
        return self._job.remaining_s

    @property
    def replica_group(self) -> str:
        """Group of the replicas that may serve the request."""
        return self._version_name

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt has run, or is not proved not to have run."""
        return self._job.execution is not Execution.NOT_RUN

    def record_retry(self, reason: RetryReason) -> None:
        """Record that the request is sent again."""
        self._job.record_retry(reason)

    async def _run_attempts(self, send: Callable[[ReplicaLease], Awaitable[T]]) -> T:
        self._context.retries.record_first_attempt(self._version_name)
        # True: a completion may be run more than once.
        scope = RetryScope(
            self._job.request_id, self._job.tree_id, self._version_name, True
        )
        try:
            return await AttemptLoop(self._context, self, scope).run(send)
        except UpstreamError as error:
            raise self._job.refusal_after_failure(error) from error

    async def _complete(self, lease: ReplicaLease) -> ServedCompletion:
        async with self._billed_attempt(lease) as attempt_usage:
            answer = await self._context.engine.complete(
                lease.replica, self._engine_call(0)
            )
            attempt_usage.settle_served(
                answer.usage.input_tokens, answer.usage.output_tokens
            )
            return ServedCompletion(answer, lease.replica.name)

    async def _stream(self, lease: ReplicaLease, receive: ChunkReceiver) -> None:
        first_token_offset = self._next_token_offset
        async with (
            self._billed_attempt(lease) as attempt_usage,
            self._context.engine.stream(
                lease.replica, self._engine_call(first_token_offset)
            ) as chunks,
        ):
            async for chunk in chunks:
                self._next_token_offset = chunk.next_token_offset
                attempt_usage.output_tokens = (
                    self._next_token_offset - first_token_offset
                )
                if chunk.usage is not None:
                    tokens = chunk.usage.output_tokens - first_token_offset
                    attempt_usage.settle_served(chunk.usage.input_tokens, tokens)
                await receive(lease.replica.name, chunk)

    @asynccontextmanager
    async def _billed_attempt(
        self, lease: ReplicaLease
    ) -> AsyncIterator[_AttemptUsage]:
        """Bill an attempt that is sent within the context.

        A provisional bill is queued before the attempt is sent, and the bill line is
        added when the attempt ends. An attempt that has not run is not billed. Any
        other is billed for the output received and for its input, but a failed one
        without output is not billed for its input. A cancelled one is also cancelled at
        the engine.
        """
        self._job.begin_attempt(self._version_name, lease.replica.name)
        # The line that a peer bills if this node dies during the attempt.
        line = self._bill_line(lease, "interrupted", self._request.input_tokens, 0)
        self._context.ledger.enqueue_open_bill(self._job.provisional_bill(line))
        attempt_usage = _AttemptUsage(
            lambda *outcome_and_tokens: self._bill_and_end_attempt(
                lease, *outcome_and_tokens
            )
        )
        try:
            yield attempt_usage
        except UpstreamError as error:
            if error.execution is not Execution.NOT_RUN:
                input_tokens = (
                    self._request.input_tokens if attempt_usage.output_tokens else 0
                )
                attempt_usage.settle("failed", input_tokens)
            raise
        except BaseException:
            if not attempt_usage.settled:
                attempt_usage.settle("cancelled", self._request.input_tokens)
                await self._cancel(lease)
            raise

    def _engine_call(self, first_token_offset: int) -> EngineCall:
        return EngineCall(
            request_id=self._job.request_id,
            version=self._version_name,
            body=self._request.body,
            priority=self._job.headers.priority,
            timeout_s=max(0.001, self._job.remaining_s),
            first_token_offset=first_token_offset,
        )

    def _bill_line(
        self, lease: ReplicaLease, outcome: str, input_tokens: int, output_tokens: int
    ) -> BillLine:
        cost = self._context.catalog.price(
            self._version.model, input_tokens, output_tokens
        )
        return BillLine(
            self._version_name,
            lease.replica.name,
            input_tokens,
            output_tokens,
            cost,
            outcome,
        )

    def _bill_and_end_attempt(
        self, lease: ReplicaLease, outcome: str, input_tokens: int, output_tokens: int
    ) -> None:
        """Add the line of an attempt to the bill, and record the attempt's end.

        After a failure, :meth:`record_failure` records the end again with its reason.
        """
        self._job.add_bill_line(
            self._bill_line(lease, outcome, input_tokens, output_tokens)
        )
        execution = Execution.RAN if outcome == "served" else Execution.UNKNOWN
        self._job.end_attempt(outcome, execution)

    async def _cancel(self, lease: ReplicaLease) -> None:
        with (
            anyio.CancelScope(shield=True),
            self._context.clock.timeout(CANCEL_TIMEOUT_S),
        ):
            await self._context.engine.cancel(lease.replica, self._job.request_id)


class _AttemptUsage:
    """Tokens that one attempt has used; its outcome is settled once.

    :param on_settle: bills and ends the attempt; called with the outcome, input tokens
        and output tokens.
    """

    def __init__(self, on_settle: Callable[[str, int, int], None]) -> None:
        self._on_settle = on_settle
        self.output_tokens = 0
        self.settled = False

    def settle_served(self, input_tokens: int, output_tokens: int) -> None:
        """Settle an attempt that gave a whole answer."""
        self.output_tokens = output_tokens
        self.settle("served", input_tokens)

    def settle(self, outcome: str, input_tokens: int) -> None:
        """Settle the attempt with the output received, unless it is settled."""
        if not self.settled:
            self.settled = True
            self._on_settle(outcome, input_tokens, self.output_tokens)
