"""State of one request while it is served: its bill, deadline and explanation."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from lentilshore_fleet import Bill, BillLine, Session
from lentilshore_kernel import RetryReason, retry_counter
from lentilshore_kernel.exceptions import RefusalError, UpstreamError
from lentilshore_kernel.types import Execution, RefusalReason
from lentilshore_routing import Customer

from ..state.context import NodeContext
from ..state.explanations import AttemptRecord
from .attempts import ExecutionProof
from .requests import CallerHeaders

BILL_COPY_RETRY_AFTER_S = 2.0
# Time after which a caller may retry a request that found no replica, or whose last
# allowed attempt failed.
UPSTREAM_RETRY_AFTER_S = 1.0


class Job:
    """State of one request from its arrival until its bill is closed.

    :param context: the node.
    :param customer: customer that sent the request.
    :param headers: values of the request headers.
    :param requested: name of the model or operation in the request.
    """

    def __init__(
        self,
        context: NodeContext,
        customer: Customer,
        headers: CallerHeaders,
        requested: str,
    ) -> None:
        self._context = context
        self._bill_sequence = context.ledger.open()
        self._bill_lines: list[BillLine] = []
        self._started_at = context.clock.monotonic()
        self._bill_closed = False
        # False once the closed bill could not be copied. Starts as true, since a bill
        # without lines needs no copy.
        self._bill_copied = True
        self.customer = customer
        self.headers = headers
        # No session is known yet; one is set only for completions.
        self.session = Session("", customer.name)
        self.request_id = f"{context.incarnation}-{self._bill_sequence}"
        # Identifier of the bill that the answer refers to. If a stored answer is
        # replayed for an idempotency key, this becomes the identifier of the request
        # that ran the call.
        self.bill_reference = self.request_id
        # A request tree consists of the requests that one original request caused.
        # A request without a tree identifier is the original of its own tree.
        self.tree_id = headers.tree_id or self.request_id
        self._proof = ExecutionProof()
        self.attempts = 0
        self.explanation = context.explanations.open(
            self.request_id, customer.name, requested, context.catalog.revision
        )

    @property
    def execution(self) -> Execution:
        """Whether the request ran at an upstream, as far as that is proved."""
        return self._proof.execution

    @property
    def remaining_s(self) -> float:
        """Seconds until the caller's deadline."""
        elapsed_s = self._context.clock.monotonic() - self._started_at
        return self.headers.deadline_s - elapsed_s

    @property
    def elapsed_ms(self) -> float:
        """Milliseconds since arrival."""
        return (self._context.clock.monotonic() - self._started_at) * 1000

    @property
    def bill(self) -> Bill:
        """The bill as it is if closed now, with the lines added so far."""
        return Bill(
            self._bill_sequence,
            self.request_id,
            self.customer.name,
            True,  # final
            tuple(self._bill_lines),
        )

    def provisional_bill(self, line: BillLine) -> Bill:
        """Return the bill that is charged if this node crashes during an attempt.

        :param line: line of that attempt, added to the lines so far.
        """
        lines = (*self._bill_lines, line)
        # False: the bill is not final.
        return Bill(
            self._bill_sequence, self.request_id, self.customer.name, False, lines
        )

    def begin_attempt(self, version: str, replica_name: str) -> None:
        """Record that an attempt is sent; from now on the request may run.

        :param version: version, or service and operation, that the attempt runs.
        :param replica_name: name of the replica that it is sent to.
        """
        self.attempts += 1
        self._proof.begin()
        self.explanation["attempts"].append(
            AttemptRecord(
                version=version, upstream=replica_name, outcome="running", detail=""
            )
        )

    def end_attempt(self, outcome: str, execution: Execution, detail: str = "") -> None:
        """Record how the last attempt ended.

        A second call for the same attempt replaces its outcome and detail.

        :param outcome: outcome of the bill line, or the reason of the failure.
        :param execution: whether the attempt ran, as far as that is proved.
        :param detail: description of the failure.
        """
        self._proof.end(execution)
        self.explanation["attempts"][-1]["outcome"] = outcome
        self.explanation["attempts"][-1]["detail"] = detail

    def record_retry(self, reason: RetryReason) -> None:
        """Record and count a retry."""
        self.explanation["retries"].append(reason.value)
        self._context.metrics.count(retry_counter(reason))

    def no_upstream_refusal(self, service_or_version: str) -> RefusalError:
        """Return the refusal of a request for which no replica is available.

        :param service_or_version: name of the service or version.
        """
        return RefusalError(
            RefusalReason.NO_UPSTREAM,
            self.execution,
            f"no replica of {service_or_version} is available",
            UPSTREAM_RETRY_AFTER_S,
        )

    def refusal_after_failure(self, error: UpstreamError) -> RefusalError:
        """Return the refusal of a request whose last allowed attempt has failed."""
        return RefusalError(
            error.reason, self.execution, error.detail, UPSTREAM_RETRY_AFTER_S
        )

    def add_bill_line(self, line: BillLine) -> None:
        """Add the line of an attempt to the bill."""
        self._bill_lines.append(line)

    def set_last_bill_line_outcome(self, outcome: str) -> None:
        """Change the outcome of the last line of the bill."""
        self._bill_lines[-1] = self._bill_lines[-1]._replace(outcome=outcome)

    def set_escalated_bill_line_outcome(self, outcome: str) -> None:
        """Change the outcome of the last line that is marked ``escalated``."""
        for index in range(len(self._bill_lines) - 1, -1, -1):
            if self._bill_lines[index].outcome == "escalated":
                self._bill_lines[index] = self._bill_lines[index]._replace(
                    outcome=outcome
                )
                return

    async def close_bill(self) -> None:
        """Close the bill once; a bill without lines is discarded."""
        if self._bill_closed:
            return
        self._bill_closed = True
        if not self._bill_lines:
            self._context.ledger.discard(self._bill_sequence)
            return
        bill = self.bill
        self.explanation["cost"] = bill.cost
        self._context.metrics.observe("request.cost", bill.cost)
        self._bill_copied = await self._context.ledger.close(bill)
        if not self._bill_copied:
            self._context.metrics.count("bill.uncopied")

    async def require_bill_copy(self) -> None:
        """Close the bill, and refuse if no peer and no store holds a copy.

        :raises RefusalError: ``bill_copy_unavailable``; the request ran and its
            bill is kept only on this node, until its process ends.
        """
        await self.close_bill()
        if self._bill_copied or self._context.settings.serve_without_copies:
            return
        raise RefusalError(
            RefusalReason.BILL_COPY_UNAVAILABLE,
            Execution.RAN,
            "neither a peer nor the platform could store a copy of the bill",
            BILL_COPY_RETRY_AFTER_S,
        )

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[None]:
        """Close the bill and complete the explanation as the ``async with`` ends."""
        outcome, execution = "cancelled", Execution.UNKNOWN
        try:
            yield
            outcome, execution = "served", Execution.RAN
        except RefusalError as refusal:
            self._proof.apply_to(refusal)
            outcome, execution = refusal.reason.value, refusal.execution
            refusal.request_id = self.request_id
            raise
        finally:
            with anyio.CancelScope(shield=True):
                await self.close_bill()
            self.complete_explanation(outcome, execution)

    def complete_explanation(self, outcome: str, execution: Execution) -> None:
        """Complete the explanation of the request.

        :param outcome: ``served``, ``cancelled`` or the reason of the refusal.
        :param execution: whether the request ran, as far as that is proved.
        """
        self.explanation["outcome"] = outcome
        self.explanation["execution"] = execution.value
        self.explanation["duration_ms"] = self.elapsed_ms
        self._context.metrics.observe("request.duration_ms", self.elapsed_ms)
