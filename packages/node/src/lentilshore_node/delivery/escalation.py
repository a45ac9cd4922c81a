"""Decides whether a request is repeated on a larger model."""

from __future__ import annotations

import math
from typing import NamedTuple

from lentilshore_kernel.logs import log_event
from lentilshore_kernel.metrics import retry_counter
from lentilshore_kernel.types import RetryReason
from lentilshore_routing.model_choice import larger_model, should_escalate
from lentilshore_routing.routes import Route

from ..clients.forwarding import AnswerHead, ForwardRequest
from ..state.gateway_context import GatewayContext
from .measurements import AttemptMeasurements


class LargerModel(NamedTuple):
    """Model that a request is repeated on.

    :param name: name of the model.
    :param expected_s: time that its answer takes to begin, seconds.
    :param remaining_s: time left until the latency objective, seconds.
    """

    name: str
    expected_s: float
    remaining_s: float


class Escalation:
    """Escalations of one request.

    :param context: context of the gateway.
    :param request: the caller's request.
    :param route: route of the request.
    :param measurements: knows how long larger models take.
    :param received_at: time at which the request was received, on the node's clock,
        seconds.
    """

    def __init__(
        self,
        context: GatewayContext,
        request: ForwardRequest,
        route: Route,
        measurements: AttemptMeasurements,
        received_at: float,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._measurements = measurements
        self._objective_at = received_at + route.latency_objective_s
        # Service whose replica of a larger model has taken the request up.
        self._escalated_service = ""
        # When the larger model's answer began, on the node's clock, if that is known.
        self._begun_at = -math.inf
        self._whole = False

    def choose_model(
        self, head: AnswerHead, model: str, group: str
    ) -> LargerModel | None:
        """Return the larger model to ask instead of relaying an answer, None for none.

        :param head: head of the answer.
        :param model: model of the answer.
        :param group: version or service whose replicas may serve the request.
        """
        context = self._context
        now = context.clock.monotonic()
        name = larger_model(self._route.models, model)
        if name is None:
            self._begun_at = now
        if name is None or not context.placement.has_capacity(group):
            return None
        expected_s = self._measurements.expected_first_event_s(name)
        remaining_s = self._objective_at - now
        on_time_share = 1.0
        if context.placement.routes_by_work(group):
            on_time_share = context.escalations.on_time_share(_service(group))
        if not should_escalate(head.confidence, expected_s, remaining_s, on_time_share):
            return None
        return LargerModel(name, expected_s, remaining_s)

    def record(
        self, head: AnswerHead, model: str, larger: LargerModel, group: str
    ) -> None:
        """Record that a replica of a larger model has taken the request up."""
        self._escalated_service = _service(group)
        self._context.metrics.count(retry_counter(RetryReason.ESCALATED))
        if not self._context.log_sampler.should_log(self._request.request_id):
            return
        log_event(
            "model_escalated",
            request=self._request.request_id,
            model=model,
            larger=larger.name,
            confidence=head.confidence,
            expected_ms=f"{larger.expected_s * 1000:.0f}",
            remaining_ms=f"{larger.remaining_s * 1000:.0f}",
        )

    def record_whole(self) -> None:
        """Record that the answer is whole."""
        self._whole = True

    def close(self) -> None:
        """Record whether an escalated request was answered in time.

        One that its caller has left within the objective tells nothing.
        """
        in_time = self._context.clock.monotonic() < self._objective_at
        if not self._escalated_service or (not self._whole and in_time):
            return
        on_time = self._whole and self._begun_at <= self._objective_at
        self._context.escalations.record(self._escalated_service, on_time)


def _service(group: str) -> str:
    return group.partition("@")[0]
