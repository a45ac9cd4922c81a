"""Sends the attempts of one request to replicas."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.logs import log_event
from lentilshore_kernel.types import Address, Execution, RefusalReason
from lentilshore_routing.replicas import Replica
from lentilshore_routing.routes import KeyOwner, Route

from ..clients.forwarding import Attempt, ForwardRequest
from ..clients.http_client import Call
from ..clients.http_connection import Response, TimeoutExtension
from ..state.gateway_context import GatewayContext
from .answers import AnswerRelay
from .attempts import ExecutionProof
from .crash_watch import CrashWatch
from .handover import AttemptPlan, BegunAttempt

# Longest idle time of a connection that is used again. It is shorter for a request that
# may not be repeated, so that the server does not close the connection meanwhile.
UNREPEATABLE_IDLE_LIMIT_S = 1.0
REPEATABLE_IDLE_LIMIT_S = 4.0
# Characters of an answer's identifier that are logged; a replica may send any.
LOGGED_ID_LIMIT = 64


class AttemptSender:
    """Sends the attempts of one request, and tells its answers from others.

    :param context: context of the gateway.
    :param check_key: raises RefusalError if the caller's key may have been withdrawn.
    :param request: the caller's request.
    :param route: route of the request.
    :param customer: customer that sent it, None on a public route.
    :param deadline_at: when the caller's time is up, on the node's clock, seconds.
    :param relay: knows which events the caller has.
    :param proof: is told of each attempt that is sent.
    :param crashes: knows whether the request bears a blamed cause.
    :param record_send: called right before each attempt is sent.
    """

    def __init__(
        self,
        context: GatewayContext,
        check_key: Callable[[Route], None],
        request: ForwardRequest,
        route: Route,
        customer: KeyOwner | None,
        deadline_at: float,
        relay: AnswerRelay,
        proof: ExecutionProof,
        crashes: CrashWatch,
        record_send: Callable[[], None],
    ) -> None:
        self._context = context
        self._check_key = check_key
        self._request = request
        self._route = route
        self._customer = customer
        self._deadline_at = deadline_at
        self._relay = relay
        self._proof = proof
        self._crashes = crashes
        self._record_send = record_send
        # Addresses that the request was sent to.
        self._sent_to: set[Address] = set()

    @asynccontextmanager
    async def exchange(
        self,
        plan: AttemptPlan,
        begun: BegunAttempt | None,
        timeout_s: float,
        extend_timeout: TimeoutExtension | None,
    ) -> AsyncIterator[Response]:
        """Send an attempt, or go on with one that was begun, and yield its answer.

        :param begun: the attempt if it was begun, else None.
        :param timeout_s: longest time without data from the replica, seconds.
        :param extend_timeout: called at a timeout; returns how much longer to wait.
        """
        call = begun.call if begun is not None else None
        if call is None:
            call = await self.start(plan, timeout_s)
        try:
            yield await call.wait_for_head(timeout_s, extend_timeout)
        finally:
            call.end()

    async def start(self, plan: AttemptPlan, timeout_s: float) -> Call:
        """Send an attempt, whose answer is not waited for yet.

        :returns: the call, which must be ended.
        """
        address = plan.lease.replica.address
        return await self._context.http.start(
            address,
            partial(self._encode, plan),
            timeout_s,
            partial(self._is_own_answer, plan),
            self._max_idle_s,
            reuse=self._may_reuse_connection(address),
        )

    @property
    def _max_idle_s(self) -> float:
        if self._route.delivery_mode.repeatable:
            return REPEATABLE_IDLE_LIMIT_S
        return UNREPEATABLE_IDLE_LIMIT_S

    def _encode(self, plan: AttemptPlan) -> bytes:
        """Return the bytes for a replica, after checking that they may still be sent.

        The HTTP client calls this once a connection is open, right before it sends.

        :raises RefusalError: if the caller's key may have been withdrawn, or if the
            request crashes replicas.
        :raises UpstreamError: if the replica may no longer be used.
        """
        self._check_key(self._route)
        self._crashes.check_blame()
        self._check_replica_usable(plan.lease.replica)
        attempt = Attempt(
            replica=plan.lease.replica,
            customer=self._customer,
            remaining_s=self._deadline_at - self._context.clock.monotonic(),
            priority=self._route.priority_for(self._customer),
            model=plan.model,
            resume_after=self._relay.resume_after,
        )
        data = self._context.translator.encode_attempt(self._request, attempt)
        self._record_send()
        self._proof.begin()
        self._sent_to.add(plan.lease.replica.address)
        return data

    def _check_replica_usable(self, replica: Replica) -> None:
        view = self._context.view
        if replica.data_centre in view.closed_data_centres:
            self._context.metrics.count("closure.attempt_stopped")
            raise UpstreamError(
                RefusalReason.NO_UPSTREAM,
                Execution.NOT_RUN,
                f"data centre {replica.data_centre} of the replica is closed",
            )
        if not view.usable(replica.name):
            raise UpstreamError(
                RefusalReason.NO_UPSTREAM,
                Execution.NOT_RUN,
                "the replica is draining, removed or of a version no longer allowed",
            )
        if self._context.placement.paused(replica.name):
            raise UpstreamError(
                RefusalReason.UPSTREAM_PAUSED,
                Execution.NOT_RUN,
                "the replica wants nothing from this node for some time",
            )

    def _may_reuse_connection(self, address: Address) -> bool:
        """Return whether this request may go out on a connection that carried others.

        Its answer must be told from an extra one to an earlier call by the identifier.
        """
        if not self._request.request_id or address in self._sent_to:
            return False
        return self._context.may_reuse_connections(address)

    def _is_own_answer(
        self, plan: AttemptPlan, headers: dict[str, str], connection_reused: bool
    ) -> bool:
        # The identifier does not depend on the status: 0 stands for any.
        answer_id = self._context.translator.read_head(0, headers).request_id
        if answer_id == self._request.request_id:
            return True
        if not answer_id and not connection_reused:
            return True
        cause = "other_request"
        if not answer_id:
            cause = "unidentified"
            self._context.require_fresh_connections(plan.lease.replica.address)
        self._context.metrics.count(f"answer.skipped.{cause}")
        log_event(
            "answer_skipped",
            request=self._request.request_id,
            replica=plan.lease.replica.name,
            answer_id=answer_id[:LOGGED_ID_LIMIT] or "none",
        )
        return False
