"""Checks the heads of answers to a request, and records what they say."""

from __future__ import annotations

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.types import Execution, RefusalReason
from lentilshore_routing.placement import ReplicaLease

from ..clients.forwarding import AnswerHead
from ..clients.http_connection import Response
from ..state.gateway_context import GatewayContext
from .answers import AnswerRelay, check_answer_head
from .attempt_sender import LOGGED_ID_LIMIT
from .handover import AttemptPlan
from .request_admission import RequestAdmission

# A replica answers with this status at the deadline. That is not counted as an error of
# the replica's version, since it says nothing about the version.
GATEWAY_TIMEOUT_STATUS = 504


class AnswerHeads:
    """Heads of the answers to one request.

    :param context: context of the gateway.
    :param service: service that gets the request.
    :param relay: knows whether a part of a stream was relayed.
    :param admission: is told what replicas did with the request; None not to.
    """

    def __init__(
        self,
        context: GatewayContext,
        service: str,
        relay: AnswerRelay,
        admission: RequestAdmission | None = None,
    ) -> None:
        self._admission = admission
        self._context = context
        self._service = service
        self._relay = relay
        self._log_fields: dict[ReplicaLease, dict[str, str | int]] = {}

    def log_fields(self, lease: ReplicaLease) -> dict[str, str | int]:
        """Return the log fields of the answer to an attempt, empty without one."""
        return self._log_fields.get(lease, {})

    def read(self, plan: AttemptPlan, response: Response, sent_at: float) -> AnswerHead:
        """Return the head of the answer to an attempt.

        :param sent_at: time at which the attempt began, on the node's clock, seconds.
        :raises UpstreamError: if the replica did not run the request.
        """
        head = self._context.translator.read_head(response.status, response.headers)
        self._log_fields[plan.lease] = {
            "answer_status": response.status,
            "answer_id": head.request_id[:LOGGED_ID_LIMIT] or "none",
            "connection_calls": response.connection_calls,
        }
        self._record_limit(plan.lease, head, sent_at)
        self._record_room(plan.lease, head, sent_at)
        if head.pause_s is not None and not head.misdirected:
            self._context.record_pause(plan.lease.replica.name, head.pause_s)
        if head.leaving and not head.misdirected:
            self._context.view.record_leaving(plan.lease.replica)
        if head.misdirected:
            raise UpstreamError(
                RefusalReason.UPSTREAM_REPLACED,
                Execution.NOT_RUN,
                "another replica answers at the address of the chosen one",
            )
        if head.not_run:
            cause = "room" if head.no_room else "other"
            self._context.metrics.count(f"rejection.{cause}")
            if head.no_room and self._admission is not None:
                self._admission.record_rejected()
            raise UpstreamError(
                RefusalReason.UPSTREAM_FULL,
                Execution.NOT_RUN,
                f"the replica did not run the request: status {response.status}",
            )
        if self._admission is not None:
            self._admission.record_begun()
        return head

    def check_taken_up(
        self, plan: AttemptPlan, response: Response, sent_at: float
    ) -> None:
        """Check that the answer to an attempt that was begun may be relayed.

        :param sent_at: time at which the attempt began, on the node's clock, seconds.
        :raises UpstreamError: if it may not.
        """
        head = self.read(plan, response, sent_at)
        check_answer_head(response, head)
        if response.status < 500:
            self.check_may_begin(response)
            return
        if response.status != GATEWAY_TIMEOUT_STATUS:
            source = (self._service, plan.version, plan.lease.replica.name)
            self._context.evidence.record_answer(plan.rollout, source, True)
        raise failed_answer_error(response.status)

    def check_may_begin(self, response: Response) -> None:
        """Check that only the rest of a stream follows a part of it.

        :raises UpstreamError: if another answer would.
        """
        if self._relay.started and response.status != 200 and response.status < 500:
            raise UpstreamError(
                RefusalReason.UPSTREAM_GARBLED,
                Execution.UNKNOWN,
                f"status {response.status} does not resume a stream",
            )

    def _record_room(
        self, lease: ReplicaLease, head: AnswerHead, sent_at: float
    ) -> None:
        """Record what the answer says of the replica's room, as with its limit."""
        name = lease.replica.name
        if head.misdirected:
            return
        if head.rejections_per_s is not None or head.unaltered:
            self._context.record_room(name, head.rejections_per_s, sent_at)
        if head.no_room:
            in_flight = self._context.placement.in_flight(name)
            self._context.replica_room.record_rejection(name, in_flight)
            self._context.placement.backlogs.record_rejection(name)
        elif head.unaltered:
            self._context.replica_room.record_end(name)

    def _record_limit(
        self, lease: ReplicaLease, head: AnswerHead, sent_at: float
    ) -> None:
        """Record whether the replica names a limit.

        Only an answer that bears its signature proves that it names none.
        """
        if head.misdirected or (head.limit_per_s is None and not head.unaltered):
            return
        self._context.record_limit(lease.replica.name, head.limit_per_s, sent_at)


def failed_answer_error(status: int) -> UpstreamError:
    """Return the failure of an attempt that a replica answered with an error.

    :param status: status of the answer, 500 or above.
    """
    return UpstreamError(
        RefusalReason.UPSTREAM_FAILED,
        Execution.RAN,
        f"the replica answered with status {status}",
    )
