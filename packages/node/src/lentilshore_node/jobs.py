"""State of one request while it is served: its bill, deadline and record."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from lentilshore_fleet import Bill, BillLine, Session
from lentilshore_kernel import RetryReason, retry_counter
from lentilshore_kernel.exceptions import RefusalError, UpstreamError
from lentilshore_kernel.types import Execution, RefusalReason
from lentilshore_routing import Customer

from .attempts import ExecutionProof
from .context import NodeContext
from .explanations import AttemptRecord
from .requests import CallerHeaders

COPY_RETRY_S = 2.0
# A caller may come back after this time where no replica could answer, seconds.
NO_UPSTREAM_RETRY_S = 1.0


class Job:
    """One request being served.

    :param context: the node.
    :param customer: who asks.
    :param headers: the caller's headers.
    :param asked: model or operation asked for.
    """

    def __init__(
        self,
        context: NodeContext,
        customer: Customer,
        headers: CallerHeaders,
        asked: str,
    ) -> None:
        self._context = context
        self._sequence = context.ledger.open()
        self._lines: list[BillLine] = []
        self._started_at = context.clock.monotonic()
        self._closed = False
        self._secured = True
        self.customer = customer
        self.headers = headers
        self.session = Session("", customer.name)
        self.request_id = f"{context.incarnation}-{self._sequence}"
        self.bill_reference = self.request_id
        self.tree = headers.tree or self.request_id
        self._proof = ExecutionProof()
        self.attempts = 0
        self.explanation = context.explanations.open(
            self.request_id, customer.name, asked, context.catalog.revision
        )

    @property
    def execution(self) -> Execution:
        """What is proved about whether the request ran."""
        return self._proof.execution

    @property
    def remaining_s(self) -> float:
        """Seconds until the caller's deadline."""
        elapsed = self._context.clock.monotonic() - self._started_at
        return self.headers.deadline_s - elapsed

    @property
    def elapsed_ms(self) -> float:
        """Milliseconds since arrival."""
        return (self._context.clock.monotonic() - self._started_at) * 1000

    @property
    def bill(self) -> Bill:
        """The bill as it stands, final."""
        return Bill(
            self._sequence,
            self.request_id,
            self.customer.name,
            True,
            tuple(self._lines),
        )

    def opening_bill(self, line: BillLine) -> Bill:
        """Return the bill that stands if this node dies now."""
        lines = (*self._lines, line)
        return Bill(self._sequence, self.request_id, self.customer.name, False, lines)

    def note_attempt(self, version: str, upstream: str) -> None:
        """Note that an attempt begins; from now on the request may run."""
        self.attempts += 1
        self._proof.begin()
        self.explanation["attempts"].append(
            AttemptRecord(
                version=version, upstream=upstream, outcome="running", detail=""
            )
        )

    def note_outcome(
        self, outcome: str, execution: Execution, detail: str = ""
    ) -> None:
        """Note how the last attempt ended and what is proved about it."""
        self._proof.end(execution)
        self.explanation["attempts"][-1]["outcome"] = outcome
        self.explanation["attempts"][-1]["detail"] = detail

    def note_retry(self, reason: RetryReason) -> None:
        """Count a retry."""
        self.explanation["retries"].append(reason.value)
        self._context.metrics.count(retry_counter(reason))

    def no_upstream(self, group: str) -> RefusalError:
        """Return the refusal of a request that no replica can take.

        :param group: a version or service name.
        """
        return RefusalError(
            RefusalReason.NO_UPSTREAM,
            self.execution,
            f"no replica of {group} is available",
            NO_UPSTREAM_RETRY_S,
        )

    def given_up(self, error: UpstreamError) -> RefusalError:
        """Return the refusal of a request whose last attempt has failed."""
        return RefusalError(
            error.reason, self.execution, error.detail, NO_UPSTREAM_RETRY_S
        )

    def add_line(self, line: BillLine) -> None:
        """Add an attempt to the bill."""
        self._lines.append(line)

    def mark_last_line(self, outcome: str) -> None:
        """Change the outcome of the last attempt on the bill."""
        self._lines[-1] = self._lines[-1]._replace(outcome=outcome)

    def restore_line(self, outcome: str) -> None:
        """Change the outcome of the last escalated attempt on the bill."""
        for index in range(len(self._lines) - 1, -1, -1):
            if self._lines[index].outcome == "escalated":
                self._lines[index] = self._lines[index]._replace(outcome=outcome)
                return

    async def close_bill(self) -> None:
        """Keep the bill, once; nothing is billed where nothing was run."""
        if self._closed:
            return
        self._closed = True
        if not self._lines:
            self._context.ledger.discard(self._sequence)
            return
        bill = self.bill
        self.explanation["cost"] = bill.cost
        self._context.metrics.observe("request.cost", bill.cost)
        self._secured = await self._context.ledger.close(bill)
        if not self._secured:
            self._context.metrics.count("bill.uncopied")

    async def secure_bill(self) -> None:
        """Keep the bill, and refuse if nobody else could be given a copy.

        :raises RefusalError: ``bill_copy_unavailable``; the request ran and its
            bill is kept for as long as this node lives.
        """
        await self.close_bill()
        if self._secured or self._context.settings.serve_without_copies:
            return
        raise RefusalError(
            RefusalReason.BILL_COPY_UNAVAILABLE,
            Execution.RAN,
            "neither a peer nor the platform could hold the bill",
            COPY_RETRY_S,
        )

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[None]:
        """Close the bill and the record when the body ends, however it does."""
        outcome, execution = "cancelled", Execution.UNKNOWN
        try:
            yield
            outcome, execution = "served", Execution.RAN
        except RefusalError as refusal:
            outcome, execution = refusal.reason.value, refusal.execution
            refusal.request = self.request_id
            raise
        finally:
            with anyio.CancelScope(shield=True):
                await self.close_bill()
            self.finish(outcome, execution)

    def finish(self, outcome: str, execution: Execution) -> None:
        """Complete the record of the request.

        :param outcome: ``served``, ``cancelled`` or the reason of the refusal.
        :param execution: what is proved.
        """
        self.explanation["outcome"] = outcome
        self.explanation["execution"] = execution.value
        self.explanation["duration_ms"] = self.elapsed_ms
        self._context.metrics.observe("request.duration_ms", self.elapsed_ms)
