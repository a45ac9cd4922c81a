"""Serves completions: options, cascade, answer and bill."""

from __future__ import annotations

from typing import Any

import msgspec

from lentilshore_fleet import Session
from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import Execution, RefusalReason, RetryReason
from lentilshore_routing import (
    Customer,
    Features,
    Query,
    Tried,
    answer_cell,
    length_class,
)

from .completion_runner import CompletionRunner, Served
from .context import NodeContext
from .jobs import Job
from .ratings import ServedAnswer
from .requests import SESSION_HEADER, CompletionRequest
from .responder import EVENT_STREAM, Responder, send_json
from .upstreams import StreamChunk, Usage
from .version_options import VersionOption, list_version_options, rollout_base_option

EXPOSURE_RETRY_S = 5.0
SESSION_BITS = 96


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

        :param customer: who asks.
        :param request: what it asks for.
        :param responder: receives the answer.
        :returns: the job, for the log.
        :raises RefusalError: if the request is not served.
        """
        context = self._context
        job = Job(context, customer, request.headers, request.model)
        try:
            async with job.serving():
                await self._admit(job, request, responder)
        finally:
            if job.explanation["outcome"] != "served":
                context.exposure.grade(job.request_id)
        return job

    async def _admit(
        self, job: Job, request: CompletionRequest, responder: Responder
    ) -> None:
        context = self._context
        job.session = self._session(job.customer, request)
        options = list_version_options(
            context.catalog, job.customer, job.session, request
        )
        headers = request.headers
        async with context.queue.slot(
            job.customer.name, headers.priority, job.remaining_s
        ):
            with context.clock.timeout(max(0.0, job.remaining_s)) as scope:
                await _Cascade(context, job, request, options, responder).run()
            if scope.cancelled_caught:
                raise RefusalError(
                    RefusalReason.DEADLINE_EXCEEDED,
                    job.execution,
                    f"deadline of {headers.deadline_s:.3f} s passed",
                )

    def _session(self, customer: Customer, request: CompletionRequest) -> Session:
        token = request.headers.session
        if token:
            return self._context.signer.verify(token, customer.name)
        identifier = self._context.random.getrandbits(SESSION_BITS)
        return Session(f"{identifier:x}", customer.name)


class _Cascade:
    """One request going through its options."""

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
        self._candidates = [option.candidate for option in options]
        self._responder = responder
        self._tried: list[Tried] = []
        self._query = self._build_query()

    async def run(self) -> None:
        """Try options until an answer is accepted, and send it."""
        policy = self._context.policy
        self._note_weighed()
        index: int | None = policy.first(self._query, self._candidates)
        served: Served | None = None
        while index is not None:
            final = not policy.may_escalate(self._query, self._candidates, index)
            if self._request.stream and served is None and final:
                await self._stream(index)
                return
            try:
                served = await self._try(index)
            except RefusalError as refusal:
                index = self._fallback(index, refusal, served)
                continue
            index = policy.escalate(self._query, self._candidates, self._tried)
            if index is not None:
                self._job.mark_last_line("escalated")
                self._job.note_retry(RetryReason.ESCALATED)
        if served is not None:
            await self._send_whole(served)

    def _fallback(
        self, index: int, refusal: RefusalError, served: Served | None
    ) -> int | None:
        if served is not None:
            self._job.restore_line("served")
            return None
        if index + 1 < len(self._options) and refusal.reason is not (
            RefusalReason.QUOTA_CUSTOMER
        ):
            return index + 1
        raise refusal

    async def _try(self, index: int) -> Served:
        option = self._expose(index)
        reservation = self._reserve()
        used = 0
        try:
            served = await self._runner(option).run()
            used = served.answer.usage.input_tokens + served.answer.usage.output_tokens
        finally:
            self._context.quota.settle(reservation, used)
        self._tried.append(Tried(index, served.answer.usage.confidence))
        return served

    async def _stream(self, index: int) -> None:
        option = self._expose(index)
        reservation = self._reserve()
        used = 0

        async def receive(upstream: str, chunk: StreamChunk) -> None:
            nonlocal used
            if not self._responder.started:
                await self._start(option, upstream, EVENT_STREAM)
            if chunk.usage is None:
                await self._responder.send(chunk.data)
                used = self._request.input_tokens + chunk.next_offset
                return
            used = chunk.usage.input_tokens + chunk.usage.output_tokens
            await self._accept(index, chunk.usage)
            await self._responder.finish(chunk.data)

        try:
            await self._runner(option).stream(receive)
        finally:
            self._context.quota.settle(reservation, used)

    async def _send_whole(self, served: Served) -> None:
        index = self._tried[-1].index
        await self._accept(index, served.answer.usage, whole=True)
        body = served.answer.body
        if not self._request.stream:
            headers = self._headers(self._options[index], served.upstream)
            await send_json(self._responder, 200, msgspec.json.encode(body), headers)
            return
        await self._start(self._options[index], served.upstream, EVENT_STREAM)
        await self._responder.finish(_as_events(served))

    async def _accept(self, index: int, usage: Usage, whole: bool = False) -> None:
        if not whole:
            self._tried.append(Tried(index, usage.confidence))
        version = str(self._candidates[index].version)
        context = self._context
        cell = answer_cell(self._query, self._candidates, self._tried)
        context.policy.served(self._query, self._candidates, self._tried)
        answer = ServedAnswer(self._job.customer.name, cell)
        context.ratings.served(self._job.request_id, answer)
        self._note_evidence(version)
        await self._job.secure_bill()

    def _note_evidence(self, version: str) -> None:
        customer = self._job.customer.name
        self._context.evidence.add(version, "error", customer, False)
        slow = self._job.remaining_s < 0.5 * self._job.headers.deadline_s
        self._context.evidence.add(version, "latency", customer, slow)

    def _runner(self, option: VersionOption) -> CompletionRunner:
        return CompletionRunner(self._context, self._job, self._request, option)

    def _expose(self, index: int) -> VersionOption:
        option = self._options[index]
        version = str(option.candidate.version)
        if not option.rolling:
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
                f"too many answers of {version} wait for a rating",
                EXPOSURE_RETRY_S,
            )
        self._options[index] = base
        self._candidates[index] = base.candidate
        return base

    def _reserve(self) -> Any:
        headers = self._request.headers
        tokens = self._request.input_tokens + self._request.output_tokens
        return self._context.quota.reserve(
            self._job.customer, headers.user, self._job.tree, tokens
        )

    async def _start(
        self, option: VersionOption, upstream: str, content_type: str
    ) -> None:
        fields = [
            ("content-type", content_type),
            ("cache-control", "no-store"),
            *self._headers(option, upstream),
        ]
        await self._responder.start(200, fields)

    def _headers(self, option: VersionOption, upstream: str) -> list[tuple[str, str]]:
        version = option.candidate.version
        job = self._job
        job.explanation["served_by"] = f"{version} at {upstream}"
        session = job.session.pin(version)
        return [
            ("lentilshore-request", job.request_id),
            ("lentilshore-model", version.model),
            ("lentilshore-version", version.version),
            ("lentilshore-upstream", upstream),
            ("lentilshore-attempts", str(job.attempts)),
            ("lentilshore-bill", job.bill_reference),
            ("lentilshore-execution", Execution.RAN.value),
            (SESSION_HEADER, self._context.signer.sign(session)),
        ]

    def _build_query(self) -> Query:
        headers = self._request.headers
        target = headers.quality_target
        if target is None:
            target = self._context.catalog.quality_target(
                self._job.customer, headers.kind
            )
        features = Features(headers.kind, length_class(self._request.input_tokens))
        return Query(self._job.customer.name, features, target, self._job.remaining_s)

    def _note_weighed(self) -> None:
        self._job.explanation["weighed"] = [
            {
                "version": str(option.candidate.version),
                "expected_cost": option.candidate.cost,
                "expected_s": option.candidate.duration_s,
                "pinned": option.pinned,
                "rolling_out": option.rolling,
            }
            for option in self._options
        ]


def _as_events(served: Served) -> bytes:
    body = served.answer.body
    choice: dict[str, Any] = {"index": 0, "delta": {"content": served.answer.text}}
    token = msgspec.json.encode({"id": body.get("id"), "choices": [choice]})
    end = {
        "id": body.get("id"),
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": body["usage"],
        "request_id": body["request_id"],
    }
    encoded = msgspec.json.encode(end)
    return b"".join(
        [
            b"id: 0\ndata: " + token + b"\n\n",
            b"event: end\ndata: " + encoded + b"\n\n",
            b"data: [DONE]\n\n",
        ]
    )
