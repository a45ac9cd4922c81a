"""Chooses the version and the replica that an attempt of a request is sent to."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from lentilshore_kernel.types import Execution
from lentilshore_routing.placement import ReplicaLease
from lentilshore_routing.routes import Route, shared_prefix
from lentilshore_routing.work_model import RequestWork, request_kind

from ..clients.forwarding import ForwardRequest
from ..state.gateway_context import GatewayContext
from ..state.service_reach import Reach
from .attempts import ExecutionProof
from .crash_watch import CrashWatch
from .handover import AttemptPlan
from .no_replica import no_replica_refusal, unreachable_refusal
from .request_admission import RequestAdmission

# Work that every request counts for when loads are compared; a call of a plain service
# counts for no more than this.
BASE_WORK_TOKENS = 16.0
# Replicas that fall silent together have sent their last data at different times.
SHARED_SILENCE_SHARE = 0.5
# An engine reads about this many prompt tokens in the time of generating one token.
PROMPT_TOKENS_PER_OUTPUT_TOKEN = 16.0


class AttemptPlanner:
    """Plans the attempts of one request.

    :param context: context of the gateway.
    :param check_key: raises RefusalError if the caller's key may have been withdrawn.
    :param request: the caller's request.
    :param route: route of the request.
    :param service: service that gets the request.
    :param proof: knows whether the request has run.
    :param crashes: knows whether the request bears a blamed cause.
    :param admission: refuses the request if its service lacks capacity for it.
    """

    def __init__(
        self,
        context: GatewayContext,
        check_key: Callable[[Route], None],
        request: ForwardRequest,
        route: Route,
        service: str,
        proof: ExecutionProof,
        crashes: CrashWatch,
        admission: RequestAdmission,
    ) -> None:
        self._context = context
        self._check_key = check_key
        self._request = request
        self._route = route
        self._service = service
        self._proof = proof
        self._crashes = crashes
        self._admission = admission

    def plan(
        self,
        model: str,
        tried: Sequence[str],
        excluded: str = "",
        silent_s: float = math.inf,
    ) -> AttemptPlan:
        """Choose a version and a replica for an attempt.

        :param model: model of the attempt, empty where the route names none.
        :param tried: names of replicas at which attempts have failed.
        :param excluded: name of a replica that must not be chosen, and besides which
            an ejected one is not chosen either; empty for none.
        :param silent_s: time for which that replica has been silent, seconds. One that
            has been silent for :data:`SHARED_SILENCE_SHARE` of it is not chosen either.
        :raises RefusalError: ``no_upstream`` if no replica is available,
            ``upstream_unreachable`` if only other gateways reach the service,
            ``key_unproved`` if the caller's key may have been withdrawn,
            ``prompt_part_blamed`` or ``request_blamed`` if it crashes replicas, or
            ``customer_over_share`` or ``deadline_unmeetable`` before its first attempt
            if the service lacks capacity for it.
        """
        self._check_key(self._route)
        self._crashes.check_blame()
        if self._context.reach.state(
            self._service
        ) is Reach.CUT_OFF and not self._context.replica_room.is_scarce(self._service):
            raise unreachable_refusal(self._service, self._proof.execution)
        not_run = self._proof.execution is Execution.NOT_RUN
        self._admission.check(self._work_tokens, not tried and not_run)
        view = self._context.view
        rollout = view.rollouts.get(self._service)
        version = self._context.version_chooser.choose(
            rollout,
            view.version_counts(self._service),
            self._request.session,
            self._context.random.random(),
            self._context.clock.monotonic(),
        )
        group = f"{self._service}@{version or ''}"
        lease = None
        if version is not None:
            lease = self._choose_replica(group, model, tried, excluded, silent_s)
        if lease is None:
            raise no_replica_refusal(
                self._context.placement, group, self._proof.execution
            )
        return AttemptPlan(rollout, version, model, lease)

    @property
    def _work_tokens(self) -> float:
        work = BASE_WORK_TOKENS
        if self._route.delivery_mode.streaming:
            work += self._request.prompt_tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN
            work += self._request.output_tokens
        return work

    def _choose_replica(
        self,
        group: str,
        model: str,
        tried: Sequence[str],
        excluded: str,
        silent_s: float,
    ) -> ReplicaLease | None:
        request, placement = self._request, self._context.placement
        prefix, shared_tokens = shared_prefix(request.parts, model)
        expected = self._estimate_work(group, model, shared_tokens)
        work = self._work_tokens
        if not excluded:
            return placement.choose_untried_first(
                group, work, prefix, tried=tried, work=expected
            )
        shared_s = silent_s * SHARED_SILENCE_SHARE
        unfit = [excluded, *placement.silent_replicas(group, shared_s)]
        for names in ([*tried, *unfit], unfit):
            if placement.has_usable(group, names):
                return placement.choose(
                    group, work, prefix, excluded=names, work=expected
                )
        return None

    def _estimate_work(
        self, group: str, model: str, shared_tokens: int
    ) -> RequestWork | None:
        """Return the expected work where requests are routed by it, else None."""
        context, request = self._context, self._request
        by_work = context.placement.routes_by_work(group)
        context.metrics.count(f"placement.{'work' if by_work else 'load'}")
        if not by_work:
            return None
        table = context.view.table
        work = context.work_model.estimate(
            self._service,
            model,
            request_kind(self._route.name, model, request.output_tokens),
            request.prompt_tokens,
            shared_tokens,
            table.model_costs if table is not None else {},
        )
        # The time to an answer that is not streamed includes the whole of it.
        return (
            work if self._route.delivery_mode.streaming else work._replace(answer_s=0.0)
        )
