"""Serves completions: version options, cascade, answer and bill."""

from __future__ import annotations

from typing import Any

import msgspec

from lentilshore_fleet import Session
from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import Execution, RefusalReason, RetryReason
from lentilshore_routing import (
    CascadeRequest,
    Customer,
    Features,
    TriedAnswer,
    calibration_cell,
    length_class,
)

from ..clients.upstreams import StreamChunk, Usage
from ..delivery.completion_runner import CompletionRunner, ServedCompletion
from ..delivery.jobs import Job
from ..delivery.requests import SESSION_HEADER, CompletionRequest
from ..delivery.responder import EVENT_STREAM, Responder, send_json
from ..delivery.version_options import (
    VersionOption,
    list_version_options,
    rollout_base_option,
)
from ..state.context import NodeContext
from ..state.ratings import ServedAnswer

EXPOSURE_RETRY_AFTER_S = 5.0
SESSION_ID_BITS = 96


class CompletionHandler:
    """Serves completions on one node.

    :param context: the node.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    async def serve(
        self, customer: Customer, request: CompletionRequest, responder: Responder
    ) -> Job:
        """Serve one completion.

        :param customer: customer that sent the request.
        :param request: the parsed request.
        :param responder: receives the answer.
        :returns: the job, from which the log line is made.
        :raises RefusalError: if the request is not served.
        """
        context = self._context
        job = Job(context, customer, request.headers, request.model)
        try:
            async with job.serving():
                await self._serve_in_queue_slot(job, request, responder)
        finally:
            # An answer that was not served will not be rated: its exposure budget is
            # released.
            if job.explanation["outcome"] != "served":
                context.exposure.release(job.request_id)
        return job

    async def _serve_in_queue_slot(
        self, job: Job, request: CompletionRequest, responder: Responder
    ) -> None:
        context = self._context
        job.session = self._open_session(job.customer, request)
        options = list_version_options(
            context.catalog, job.customer, job.session, request
        )
        headers = request.headers
        async with context.queue.slot(
            job.customer.name, headers.priority, job.remaining_s
        ):
            with context.clock.timeout(max(0.0, job.remaining_s)) as deadline_scope:
                await _CascadeRun(context, job, request, options, responder).run()
            if deadline_scope.cancelled_caught:
                raise RefusalError(
                    RefusalReason.DEADLINE_EXCEEDED,
                    job.execution,
                    f"no whole answer within {headers.deadline_s:.3f} s",
                )

    def _open_session(self, customer: Customer, request: CompletionRequest) -> Session:
        token = request.headers.session_token
        if token:
            return self._context.signer.verify(token, customer.name)
        identifier = self._context.random.getrandbits(SESSION_ID_BITS)
        return Session(f"{identifier:x}", customer.name)


class _CascadeRun:
    """Runs one request on one version option after another."""

    def __init__(
        self,
        context: NodeContext,
        job: Job,
        request: CompletionRequest,
        options: list[VersionOption],
        responder: Responder,
    ) -> None:
        self._context = context
        self._job = job
        self._request = request
        self._options = options
        # The versions of the options as the cascade policy sees them, at the same
        # indexes; none of them need be the candidate of a roll-out.
        self._cascade_options = [option.cascade_option for option in options]
        self._responder = responder
        self._tried_answers: list[TriedAnswer] = []
        # The request as the cascade policy sees it.
        self._cascade_request = self._build_cascade_request()

    async def run(self) -> None:
        """Run the request until an answer is accepted, and send that answer."""
        policy = self._context.policy
        self._record_options()
        index: int | None = policy.choose_first(
            self._cascade_request, self._cascade_options
        )
        # The last whole answer, kept while a better version is tried.
        last_answer: ServedCompletion | None = None
        while index is not None:
            is_final = not policy.may_escalate(
                self._cascade_request, self._cascade_options, index
            )
            # Events are relayed as they arrive only if no other answer may be sent in
            # place of this one.
            if self._request.stream and last_answer is None and is_final:
                await self._run_streamed(index)
                return
            try:
                last_answer = await self._run_buffered(index)
            except RefusalError as refusal:
                index = self._index_after_refusal(index, refusal, last_answer)
                continue
            index = policy.escalate(
                self._cascade_request, self._cascade_options, self._tried_answers
            )
            if index is not None:
                self._job.set_last_bill_line_outcome("escalated")
                self._job.record_retry(RetryReason.ESCALATED)
        if last_answer is not None:
            await self._send_buffered(last_answer)

    def _index_after_refusal(
        self, index: int, refusal: RefusalError, last_answer: ServedCompletion | None
    ) -> int | None:
        if last_answer is not None:
            # The better version was refused, so the answer kept from before is sent:
            # its bill line is no longer marked as escalated.
            self._job.set_escalated_bill_line_outcome("served")
            return None
        # Every version takes as many tokens from the customer's quota: another one
        # would be refused as well.
        if index + 1 < len(self._options) and refusal.reason is not (
            RefusalReason.QUOTA_CUSTOMER
        ):
            return index + 1
        raise refusal

    async def _run_buffered(self, index: int) -> ServedCompletion:
        option = self._admit_to_rollout(index)
        reservation = self._reserve_quota()
        used_tokens = 0
        try:
            served = await self._create_runner(option).run()
            used_tokens = (
                served.answer.usage.input_tokens + served.answer.usage.output_tokens
            )
        finally:
            self._context.quota.settle(reservation, used_tokens)
        self._tried_answers.append(TriedAnswer(index, served.answer.usage.confidence))
        return served

    async def _run_streamed(self, index: int) -> None:
        option = self._admit_to_rollout(index)
        reservation = self._reserve_quota()
        used_tokens = 0

        async def relay(replica_name: str, chunk: StreamChunk) -> None:
            nonlocal used_tokens
            if not self._responder.started:
                await self._start_response(option, replica_name, EVENT_STREAM)
            if chunk.usage is None:
                await self._responder.send(chunk.data)
                # The offset of the next token is the number of output tokens so far.
                used_tokens = self._request.input_tokens + chunk.next_token_offset
                return
            used_tokens = chunk.usage.input_tokens + chunk.usage.output_tokens
            # The bill is closed and copied before the caller gets the end event.
            await self._record_accepted(index, chunk.usage)
            await self._responder.finish(chunk.data)

        try:
            await self._create_runner(option).stream(relay)
        finally:
            self._context.quota.settle(reservation, used_tokens)

    async def _send_buffered(self, served: ServedCompletion) -> None:
        index = self._tried_answers[-1].index
        await self._record_accepted(index, served.answer.usage, listed_as_tried=True)
        body = served.answer.body
        if not self._request.stream:
            headers = self._response_headers(self._options[index], served.replica_name)
            await send_json(self._responder, 200, msgspec.json.encode(body), headers)
            return
        await self._start_response(
            self._options[index], served.replica_name, EVENT_STREAM
        )
        await self._responder.finish(_encode_as_events(served))

    async def _record_accepted(
        self, index: int, usage: Usage, listed_as_tried: bool = False
    ) -> None:
        if not listed_as_tried:
            self._tried_answers.append(TriedAnswer(index, usage.confidence))
        version = str(self._cascade_options[index].version)
        context = self._context
        rating_cell = calibration_cell(
            self._cascade_request, self._cascade_options, self._tried_answers
        )
        context.policy.record_accepted(
            self._cascade_request, self._cascade_options, self._tried_answers
        )
        answer = ServedAnswer(self._job.customer.name, rating_cell)
        context.ratings.add_answer(self._job.request_id, answer)
        self._record_evidence(version)
        await self._job.require_bill_copy()

    def _record_evidence(self, version: str) -> None:
        customer = self._job.customer.name
        # False counts the answer as one without an error.
        self._context.evidence.add(version, "error", customer, False)
        # Counts an answer as slow if it took more than half of its deadline.
        is_slow = self._job.remaining_s < 0.5 * self._job.headers.deadline_s
        self._context.evidence.add(version, "latency", customer, is_slow)

    def _create_runner(self, option: VersionOption) -> CompletionRunner:
        return CompletionRunner(self._context, self._job, self._request, option)

    def _admit_to_rollout(self, index: int) -> VersionOption:
        """Return the option to run.

        A roll-out's candidate is replaced by the roll-out's base version if the
        candidate's exposure budget is exhausted and its version is not pinned.

        :raises RefusalError: ``exposure_exhausted`` if the candidate can't be replaced.
        """
        option = self._options[index]
        version = str(option.cascade_option.version)
        if not option.in_rollout:
            return option
        if self._context.exposure.admit(version, self._job.request_id, option.pinned):
            return option
        base = None
        if not option.pinned:
            base = rollout_base_option(self._context.catalog, self._request, option)
        if base is None:
            raise RefusalError(
                RefusalReason.EXPOSURE_EXHAUSTED,
                self._job.execution,
                f"too many answers of roll-out candidate {version} wait for a rating",
                EXPOSURE_RETRY_AFTER_S,
            )
        self._options[index] = base
        self._cascade_options[index] = base.cascade_option
        return base

    def _reserve_quota(self) -> Any:
        headers = self._request.headers
        tokens = self._request.input_tokens + self._request.max_output_tokens
        return self._context.quota.reserve(
            self._job.customer, headers.user, self._job.tree_id, tokens
        )

    async def _start_response(
        self, option: VersionOption, replica_name: str, content_type: str
    ) -> None:
        fields = [
            ("content-type", content_type),
            ("cache-control", "no-store"),
            *self._response_headers(option, replica_name),
        ]
        await self._responder.start(200, fields)

    def _response_headers(
        self, option: VersionOption, replica_name: str
    ) -> list[tuple[str, str]]:
        version = option.cascade_option.version
        job = self._job
        job.explanation["served_by"] = f"{version} at {replica_name}"
        session = job.session.pin(version)
        return [
            ("lentilshore-request", job.request_id),
            ("lentilshore-model", version.model),
            ("lentilshore-version", version.version),
            ("lentilshore-upstream", replica_name),
            ("lentilshore-attempts", str(job.attempts)),
            ("lentilshore-bill", job.bill_reference),
            ("lentilshore-execution", Execution.RAN.value),
            (SESSION_HEADER, self._context.signer.sign(session)),
        ]

    def _build_cascade_request(self) -> CascadeRequest:
        headers = self._request.headers
        target = headers.quality_target
        if target is None:
            target = self._context.catalog.quality_target(
                self._job.customer, headers.request_kind
            )
        features = Features(
            headers.request_kind, length_class(self._request.input_tokens)
        )
        return CascadeRequest(
            self._job.customer.name, features, target, self._job.remaining_s
        )

    def _record_options(self) -> None:
        self._job.explanation["weighed"] = [
            {
                "version": str(option.cascade_option.version),
                "expected_cost": option.cascade_option.cost,
                "expected_s": option.cascade_option.duration_s,
                "pinned": option.pinned,
                "rolling_out": option.in_rollout,
            }
            for option in self._options
        ]


def _encode_as_events(served: ServedCompletion) -> bytes:
    body = served.answer.body
    choice: dict[str, Any] = {"index": 0, "delta": {"content": served.answer.text}}
    text_event = msgspec.json.encode({"id": body.get("id"), "choices": [choice]})
    end_event = {
        "id": body.get("id"),
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": body["usage"],
        "request_id": body["request_id"],
    }
    encoded_end = msgspec.json.encode(end_event)
    return b"".join(
        [
            b"id: 0\ndata: " + text_event + b"\n\n",
            b"event: end\ndata: " + encoded_end + b"\n\n",
            b"data: [DONE]\n\n",
        ]
    )
