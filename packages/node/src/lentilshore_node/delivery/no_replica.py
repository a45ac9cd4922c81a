"""Refusals of requests that no replica may be sent."""

from __future__ import annotations

from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import Execution, RefusalReason
from lentilshore_routing.placement import Placement

# Retry delay stated in refusals where replicas are full: about the time of a few plain
# calls.
OVERLOAD_RETRY_AFTER_S = 0.3
# Retry delay stated in refusals where no replica is available: a new replica or
# configuration is usually known by then.
NO_UPSTREAM_RETRY_AFTER_S = 1.0
# Retry delay stated where other gateways serve what this one can't: the caller's next
# request reaches one of them.
UNREACHABLE_RETRY_AFTER_S = 0.1
# Retry delay stated where all replicas are in closed data centres: one that is opened
# again is known a little later than this.
EVACUATED_RETRY_AFTER_S = 1.0
# Reasons for which no replica may be sent a request.
NO_REPLICA_REASONS = frozenset(
    (
        RefusalReason.NO_UPSTREAM,
        RefusalReason.UPSTREAM_LIMITED,
        RefusalReason.UPSTREAM_PAUSED,
        RefusalReason.UPSTREAM_EVACUATED,
    )
)


def no_replica_refusal(
    placement: Placement, group: str, execution: Execution
) -> RefusalError:
    """Return the refusal of a request for which no replica could be chosen.

    :param placement: what this node knows of the replicas.
    :param group: version or service whose replicas may serve the request.
    :param execution: whether the request has run in an earlier attempt.
    """
    if placement.is_closed(group):
        return RefusalError(
            RefusalReason.UPSTREAM_EVACUATED,
            execution,
            f"all replicas of {group.partition('@')[0]} are in closed data centres",
            EVACUATED_RETRY_AFTER_S,
        )
    limit_retry_after_s = placement.limit_retry_after_s(group)
    pause_retry_after_s = placement.pause_retry_after_s(group)
    known = [s for s in (limit_retry_after_s, pause_retry_after_s) if s is not None]
    if placement.is_scarce(group):
        return RefusalError(
            RefusalReason.UPSTREAM_BUSY,
            execution,
            f"all places of {group} that this node may use are taken",
            OVERLOAD_RETRY_AFTER_S,
        )
    if not known:
        return RefusalError(
            RefusalReason.NO_UPSTREAM,
            execution,
            f"no replica of {group.partition('@')[0]} is available",
            NO_UPSTREAM_RETRY_AFTER_S,
        )
    reason = RefusalReason.UPSTREAM_LIMITED
    detail = f"all replicas of {group} have limits or are cold, and are used up"
    if limit_retry_after_s is None:
        reason = RefusalReason.UPSTREAM_PAUSED
        detail = f"all replicas of {group} want nothing from this node for some time"
    return RefusalError(reason, execution, detail, round(min(known), 2))


def unreachable_refusal(service: str, execution: Execution) -> RefusalError:
    """Return the refusal of a request whose service only other gateways reach.

    :param execution: whether the request has run in an earlier attempt.
    """
    return RefusalError(
        RefusalReason.UPSTREAM_UNREACHABLE,
        execution,
        f"this node reaches no replica of {service}",
        UNREACHABLE_RETRY_AFTER_S,
    )


def overload_retry_after_s(placement: Placement, group: str) -> float:
    """Return when a caller may come back whose request the replicas rejected, seconds.

    :param placement: what this node knows of the replicas.
    :param group: version or service whose replicas may serve the request.
    """
    if placement.has_capacity(group):
        return OVERLOAD_RETRY_AFTER_S
    pause_retry_after_s = placement.pause_retry_after_s(group)
    if pause_retry_after_s is None:
        return OVERLOAD_RETRY_AFTER_S
    return round(pause_retry_after_s, 2)
