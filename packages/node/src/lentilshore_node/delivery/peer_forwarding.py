"""Has other gateways serve a request that this gateway may send to no replica."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from functools import partial
from typing import NamedTuple, Protocol

from lentilshore_kernel.exceptions import RefusalError, UpstreamError
from lentilshore_kernel.logs import log_event
from lentilshore_kernel.metrics import retry_denial_counter
from lentilshore_kernel.types import Execution, RefusalReason, RetryDenial
from lentilshore_routing.routes import KeyOwner, Route

from ..clients.engine import raising_upstream_errors
from ..clients.event_splitter import EventPace
from ..clients.fleet_source import GatewayEntry
from ..clients.forwarded_requests import (
    REFUSED,
    RELAYED,
    ForwardedRequest,
    UnreadableForwardError,
    admission_checksum,
    answer_kind,
    decode_forwarded_refusal,
    encode_forwarded,
    without_answer_field,
)
from ..clients.forwarding import ForwardRequest
from ..clients.http_client import Call, encode_request
from ..clients.http_connection import Response
from ..state.gateway_context import (
    FORWARD_PATH,
    PEER_BODY_LIMIT_BYTES,
    GatewayContext,
)
from .answers import AnswerRelay
from .attempts import ExecutionProof
from .no_replica import unreachable_refusal

# Gateways that are tried for one request.
MAX_FORWARDS = 3
CONNECT_TIMEOUT_S = 0.3
# Interval at which a silent gateway is asked whether it still runs, and the longest
# wait for its answer.
CHECK_INTERVAL_S = 0.5
CHECK_TIMEOUT_S = 0.3
# Pause of a request that may have run before all gateways are tried again, before
# jitter.
PAUSE_S = 0.05
# Interval at which a retry is asked for that the budget denies.
BUDGET_INTERVAL_S = 0.1
# Longest idle time of a connection that is used again.
IDLE_LIMIT_S = 2.0
# The other gateway's time ends this long before the request's, so that its refusal
# arrives in time.
DEADLINE_MARGIN_S = 0.01
# Refusals after which another gateway may serve a request that has not run.
ELSEWHERE_REASONS = frozenset(
    (
        RefusalReason.CONFIGURATION_MISSING,
        RefusalReason.CONFIGURATION_STALE,
        RefusalReason.DRAINING,
        RefusalReason.KEY_UNPROVED,
        RefusalReason.NO_UPSTREAM,
        RefusalReason.QUEUE_FULL,
        RefusalReason.UPSTREAM_BUSY,
        RefusalReason.UPSTREAM_FAILED,
        RefusalReason.UPSTREAM_UNREACHABLE,
    )
)
# Refusals after which a gateway is asked last for a moment, since its replicas have no
# room or there is none.
FULL_REASONS = frozenset(
    (
        RefusalReason.NO_UPSTREAM,
        RefusalReason.QUEUE_FULL,
        RefusalReason.UPSTREAM_BUSY,
    )
)
# Refusals after which a gateway is used no longer for a while, since it can't serve.
UNFIT_REASONS = frozenset(
    (
        RefusalReason.CONFIGURATION_MISSING,
        RefusalReason.CONFIGURATION_STALE,
        RefusalReason.DRAINING,
        RefusalReason.KEY_UNPROVED,
        RefusalReason.UPSTREAM_UNREACHABLE,
    )
)
_call_ids = itertools.count(1)


class ForwardState(Protocol):
    """What forwarding needs to know of a request while it goes on."""

    @property
    def remaining_s(self) -> float:
        """Time until the request's deadline, seconds."""

    @property
    def attempts_left(self) -> int:
        """Number of attempts that may still run."""

    def retry_denial(self) -> RetryDenial | None:
        """Return what in the request itself denies another attempt."""

    def take_retry(self, execution: Execution) -> RetryDenial | None:
        """Take a retry from the budgets; return what denies it."""

    def record_forward(self, execution: Execution, attempts: int) -> None:
        """Record the end of a request's attempts at another gateway."""


class _StreamObserver:
    """Leaves the progress of a stream to the gateway that chose the replica."""

    def record_events(self) -> None:
        """Record that events have come."""

    def record_pace(self, pace: EventPace) -> None:
        """Record the pauses between the events so far."""


class _Forward(NamedTuple):
    """One call of another gateway."""

    call_id: int
    peer: GatewayEntry
    attempts: int


class PeerForwarding:
    """Sends one request to other gateways until one has served it.

    A gateway that has broken off may have run the request. It is then sent to another
    one only if it may be repeated.

    :param context: context of the gateway.
    :param check_key: raises RefusalError if the caller's key may have been withdrawn.
    :param request: the caller's request.
    :param route: route of the request.
    :param customer: customer that sent it, None on a public route.
    :param service: service that gets the request.
    :param relay: sends the answer to the caller.
    :param proof: is told of each call.
    :param state: the request's deadline and retries.
    """

    def __init__(
        self,
        context: GatewayContext,
        check_key: Callable[[Route], None],
        request: ForwardRequest,
        route: Route,
        customer: KeyOwner | None,
        service: str,
        relay: AnswerRelay,
        proof: ExecutionProof,
        state: ForwardState,
    ) -> None:
        self._context = context
        self._check_key = check_key
        self._request = request
        self._route = route
        self._customer = customer
        self._service = service
        self._relay = relay
        self._proof = proof
        self._state = state
        self._tried: set[str] = set()
        # Whether all gateways that may serve the request have been tried.
        self._exhausted = False
        # Whether the current call was sent, answered, and lost without an answer.
        self._sent = False
        self._answered = False
        self._lost = False
        # Whether this gateway or another one has counted the request meanwhile.
        self._counted = False
        # Whether another gateway has sent it to a replica and refused it.
        self._sent_elsewhere = False

    @property
    def available(self) -> bool:
        """Whether another gateway is known that serves what this one can't."""
        return self._context.serving_peers.has_any(self._service)

    @property
    def counted(self) -> bool:
        """Whether the request was counted for the retry budget meanwhile."""
        return self._counted

    async def run(self, counted: bool) -> int:
        """Return the status of the answer, which has been relayed.

        :param counted: whether the request counts already for the retry budget.
        :raises RefusalError: if no gateway serves it, or if this one may do so again.
        """
        while True:
            self._tried.clear()
            self._exhausted = False
            try:
                return await self._try_peers(counted)
            except RefusalError as refusal:
                counted = counted or self._counted
                if not self._may_wait_after(refusal):
                    raise
                random_share = 0.5 + self._context.random.random()
                await self._context.clock.sleep(PAUSE_S * random_share)
                if not self._context.serving_peers.must_serve(self._service):
                    raise

    async def _try_peers(self, counted: bool) -> int:
        last: RefusalError | None = None
        while len(self._tried) < MAX_FORWARDS:
            peer = self._context.serving_peers.choose(self._service, self._tried)
            if peer is None:
                break
            self._tried.add(peer.name)
            try:
                return await self._forward(peer, counted or self._counted)
            except RefusalError as refusal:
                last = refusal
                self._report_failure(peer, refusal)
                self._sent_elsewhere = self._sent_elsewhere or refusal.sent
                self._counted = self._counted or refusal.sent
                if not (counted or self._counted) and self._may_have_run:
                    # The gateway that has counted it may have ended.
                    self._context.retries.record_first_attempt(self._service)
                    self._counted = True
                if not await self._may_try_next(refusal):
                    raise
        self._exhausted = True
        if last is not None:
            raise last
        raise unreachable_refusal(self._service, self._proof.execution)

    @property
    def _may_have_run(self) -> bool:
        return self._proof.execution is not Execution.NOT_RUN

    def _may_wait_after(self, refusal: RefusalError) -> bool:
        """Return whether a request that no gateway has served waits for one.

        One that has not run is refused: its caller may come back for certain.
        """
        if not self._exhausted or not self._may_have_run:
            return False
        if refusal.reason not in ELSEWHERE_REASONS:
            return False
        repeatable = self._route.delivery_mode.repeatable
        return repeatable and self._state.retry_denial() is None

    async def _forward(self, peer: GatewayEntry, counted: bool) -> int:
        # One attempt is kept for the case that the other gateway breaks off.
        attempts = max(1, self._state.attempts_left - 1)
        forward = _Forward(next(_call_ids), peer, attempts)
        self._sent = self._answered = self._lost = False
        self._context.serving_peers.begin(peer)
        execution = Execution.NOT_RUN
        try:
            with raising_upstream_errors():
                call = await self._start(forward, counted)
                execution = Execution.UNKNOWN
                try:
                    status = await self._follow(forward, call)
                finally:
                    call.end()
            execution = Execution.RAN
            return status
        except UpstreamError as error:
            execution = error.execution
            self._lost = not self._answered
            raise RefusalError(error.reason, execution, error.detail) from error
        except RefusalError as refusal:
            execution = refusal.execution
            raise
        finally:
            self._context.serving_peers.end(peer)
            if self._sent:
                self._state.record_forward(execution, attempts)

    async def _start(self, forward: _Forward, counted: bool) -> Call:
        await self._check_answers(forward.peer)
        return await self._context.http.start(
            forward.peer.address,
            partial(self._encode, forward, counted),
            CONNECT_TIMEOUT_S,
            lambda headers, _: bool(answer_kind(headers, forward.call_id)),
            IDLE_LIMIT_S,
            partial(self._extend, forward.peer),
        )

    async def _check_answers(self, peer: GatewayEntry) -> None:
        """Check that a gateway answers before a new connection carries a request.

        A proxy on the way may accept a connection though the gateway is down.

        :raises UpstreamError: if it does not; nothing was sent.
        """
        http = self._context.http
        if http.has_idle(peer.address, IDLE_LIMIT_S):
            return
        if not await http.answers(peer.address, FORWARD_PATH, CHECK_TIMEOUT_S):
            raise UpstreamError(
                RefusalReason.UPSTREAM_FAILED,
                Execution.NOT_RUN,
                f"{peer.name} does not answer",
            )

    def _encode(self, forward: _Forward, counted: bool) -> bytes:
        self._check_key(self._route)
        remaining_s = self._state.remaining_s - DEADLINE_MARGIN_S
        if remaining_s <= 0:
            raise RefusalError(RefusalReason.DEADLINE_EXCEEDED, self._proof.execution)
        context, table = self._context, self._context.view.table
        scarce = context.replica_room.is_scarce(self._service)
        message = ForwardedRequest(
            forward.call_id,
            context.node_name,
            self._request._replace(resume_after=self._relay.resume_after),
            remaining_s,
            table.version if table else 0,
            admission_checksum(self._route, self._customer),
            forward.attempts,
            counted,
            context.replica_room.tell(self._service) if scarce else [],
            context.serving_peers.unfit if scarce else [],
        )
        body = encode_forwarded(message)
        fields = [
            (b"host", str(forward.peer.address).encode()),
            (b"content-type", b"application/msgpack"),
        ]
        data = encode_request(b"POST", FORWARD_PATH.encode(), fields, body)
        self._proof.begin()
        self._sent = True
        self._context.metrics.count("forward.sent")
        return data

    async def _extend(self, peer: GatewayEntry) -> float:
        """Return for how long to wait on for a silent gateway, 0 to give it up.

        Giving up helps only a request that may be repeated elsewhere.
        """
        repeatable = self._route.delivery_mode.repeatable
        if repeatable and not await self._context.http.answers(
            peer.address, FORWARD_PATH, CHECK_TIMEOUT_S
        ):
            return 0.0
        return max(0.0, min(CHECK_INTERVAL_S, self._state.remaining_s))

    async def _follow(self, forward: _Forward, call: Call) -> int:
        response = await call.wait_for_head(CHECK_INTERVAL_S)
        kind = answer_kind(response.headers, forward.call_id)
        self._answered = kind in (REFUSED, RELAYED)
        if kind == REFUSED:
            body = await response.read(PEER_BODY_LIMIT_BYTES)
            raise _read_refusal(body)
        if kind != RELAYED:
            raise UpstreamError(
                RefusalReason.UPSTREAM_GARBLED,
                Execution.UNKNOWN,
                f"{forward.peer.name} answered with status {response.status}",
            )
        await self._relay_answer(response)
        log_event(
            "request_forwarded",
            request=self._request.request_id,
            peer=forward.peer.name,
            status=response.status,
        )
        self._context.metrics.count("forward.answered")
        return response.status

    async def _relay_answer(self, response: Response) -> None:
        response.fields = without_answer_field(response.fields)
        if self._route.delivery_mode.streaming and response.status == 200:
            await self._relay.relay_stream(response, _StreamObserver())
            return
        if self._relay.started:
            raise UpstreamError(
                RefusalReason.UPSTREAM_GARBLED,
                Execution.UNKNOWN,
                f"status {response.status} does not resume a stream",
            )
        answer = self._relay.read_answer(response, await response.read())
        await self._relay.send_buffered(answer)

    async def _may_try_next(self, refusal: RefusalError) -> bool:
        if self._state.retry_denial() is not None:
            return False
        if not self._may_have_run:
            if refusal.reason not in ELSEWHERE_REASONS:
                return False
            return not self._sent_elsewhere or await self._take_retry(Execution.NOT_RUN)
        if not self._route.delivery_mode.repeatable:
            return False
        if refusal.execution is Execution.NOT_RUN:
            # The retry that was taken has reached no replica.
            return refusal.reason in ELSEWHERE_REASONS
        return await self._take_retry(refusal.execution)

    async def _take_retry(self, execution: Execution) -> bool:
        """Take a retry, waiting for one as long as the request has time."""
        while (denial := self._state.take_retry(execution)) is not None:
            if denial is not RetryDenial.BUDGET:
                break
            await self._context.clock.sleep(BUDGET_INTERVAL_S)
            if (denial := self._state.retry_denial()) is not None:
                break
        if denial is not None:
            self._context.metrics.count(retry_denial_counter(denial))
            log_event(
                "retry_denied",
                request=self._request.request_id,
                cause=denial.value,
                gateways=len(self._tried),
                remaining_ms=f"{self._state.remaining_s * 1000:.0f}",
            )
        return denial is None

    def _report_failure(self, peer: GatewayEntry, refusal: RefusalError) -> None:
        peers = self._context.serving_peers
        # One that has answered lives, even if a replica has failed there.
        if self._lost or (self._answered and refusal.reason in UNFIT_REASONS):
            peers.record_unfit(self._service, peer)
        elif self._answered and refusal.reason in FULL_REASONS:
            peers.record_full(peer)
        self._context.metrics.count(f"forward.failed.{refusal.reason.value}")
        log_event(
            "forward_failed",
            request=self._request.request_id,
            peer=peer.name,
            reason=refusal.reason.value,
            execution=refusal.execution.value,
            detail=refusal.detail,
        )


def _read_refusal(body: bytes) -> RefusalError:
    try:
        return decode_forwarded_refusal(body)
    except UnreadableForwardError as error:
        return RefusalError(
            RefusalReason.UPSTREAM_GARBLED, Execution.UNKNOWN, str(error)
        )
