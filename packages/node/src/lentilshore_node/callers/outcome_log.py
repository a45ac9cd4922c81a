"""Log lines and metrics of requests that were served."""

from __future__ import annotations

from typing import Any

from lentilshore_kernel import log_event
from lentilshore_routing.placement import ReplicaLease

from ..clients.forwarding import ForwardRequest
from ..delivery.outcome import Outcome
from ..state.gateway_context import GatewayContext


def log_outcome(
    context: GatewayContext,
    request: ForwardRequest,
    log_fields: dict[str, Any],
    outcome: Outcome | None,
) -> None:
    """Count and log how a request has ended that was not refused.

    :param log_fields: further keys and values of the log line.
    :param outcome: its result, None if its caller has left.
    """
    if outcome is None:
        context.metrics.count("request.cancelled")
        log_event("request_cancelled", request=request.request_id, **log_fields)
        return
    context.metrics.count("request.served")
    context.metrics.observe("request.first_s", outcome.first_s)
    context.metrics.observe("request.whole_s", outcome.total_s)
    if not context.log_sampler.should_log(request.request_id):
        context.metrics.count("log.sampled_out")
        return
    log_event(
        "request_served",
        request=request.request_id,
        **log_fields,
        status=outcome.status,
        attempts=outcome.attempts,
        **_lease_fields(outcome.lease),
        version=outcome.version or "-",
        session=request.session or "-",
        model=outcome.model or "-",
        first_ms=f"{outcome.first_s * 1000:.1f}",
        whole_ms=f"{outcome.total_s * 1000:.1f}",
    )


def _lease_fields(lease: ReplicaLease | None) -> dict[str, Any]:
    """Return log fields with the replica of a request and why it was chosen."""
    if lease is None:
        return {"replica": "-"}
    age_s = lease.report_age_s
    return {
        "replica": lease.replica.name,
        "data_centre": lease.replica.data_centre,
        "load_tokens": f"{lease.load_tokens:.0f}",
        "load_from": "own_work" if age_s is None else f"report_{age_s:.1f}_s_old",
        "cached": lease.cached,
    }
