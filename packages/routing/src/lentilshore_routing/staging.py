"""Stages by which a service's traffic moves to another software version.

Every node works from the same shared record. Any node may make the step that is
due, under the condition that the record has not changed since it was read, so
that no node has to hold the duty.
"""

from __future__ import annotations

import zlib

from .observations import Observations, is_worse
from .rollout_record import Rollout, RolloutState

# Shares of the traffic that go to the candidate, by stage. They are small so that the
# last may begin while there is time for answers at the base to end.
STAGE_SHARES = (0.02, 0.09, 1.0)
# From this stage on sessions move too. A node cannot tell a new session from one that
# others serve at the base, and in the first half of a roll-out those must stay.
FIRST_SESSION_STAGE = 1
LAST_STAGE = len(STAGE_SHARES) - 1
# Part of the ordered time at which that stage begins, past the half by the time in
# which two nodes may hear of the order.
SESSION_STAGE_START_SHARE = 0.52
# Traffic that the last stage may meet, as a multiple of that before.
LAST_STAGE_BURST_FACTOR = 1.3
# Part of the ordered time at which the roll-out is called completed, which leaves
# time to write that twice.
MIN_COMPLETION_START_SHARE = 0.965
# Parts of the time before the last stage from which nodes report what they have seen.
REPORT_TIME_SHARES = (0.77, 0.925)
# Part of that time over which nodes spread a report, so that one that is due later
# sees those before it.
REPORT_SPREAD_SHARE = 0.05
# Reports that are enough at each of these parts. Each wakes every node's watch, so
# that calls would grow with the square of the nodes.
MAX_REPORTS_PER_ROUND = 12


def last_stage_start(exposure_share: float) -> float:
    """Return the part of the ordered time at which the last stage begins.

    From then on the candidate gets everything. The start is so late that a bad
    version whose failures nobody notices stays within the exposure allowed.

    :param exposure_share: part of the requests in the ordered time that a bad
        version may get.
    """
    first, second, _ = STAGE_SHARES
    allowed = LAST_STAGE_BURST_FACTOR * (1 - exposure_share)
    spared = SESSION_STAGE_START_SHARE * (second - first)
    return (allowed - spared) / (allowed + exposure_share - second)


def completion_start(exposure_share: float) -> float:
    """Return the part of the ordered time at which the roll-out is completed."""
    return max(MIN_COMPLETION_START_SHARE, (1 + last_stage_start(exposure_share)) / 2)


def next_state(
    rollout: Rollout, age_s: float, own: Observations, node: str, exposure_share: float
) -> Rollout | None:
    """Return the record after the step that is due.

    :param rollout: the record.
    :param age_s: time since the order, seconds.
    :param own: what this node has seen of both versions.
    :param node: name of this node.
    :param exposure_share: part of the requests in the ordered time that a bad
        version may get.
    :returns: None if no step is due.
    """
    if rollout.ended:
        return None
    if rollout.state is None:
        return rollout._replace(state=RolloutState.RUNNING, stage=0, observations={})
    part = age_s / rollout.duration_s
    before_last = part / last_stage_start(exposure_share)
    since = before_last - REPORT_SPREAD_SHARE * _spot(node, rollout.name)
    own = own._replace(reports_due=sum(since >= due for due in REPORT_TIME_SHARES))
    observations = {**rollout.observations, node: own}
    if is_worse(observations.values(), rollout.stage >= LAST_STAGE):
        return rollout._replace(
            state=RolloutState.ROLLED_BACK, observations=observations
        )
    if rollout.stage >= LAST_STAGE and part >= completion_start(exposure_share):
        return rollout._replace(state=RolloutState.COMPLETED)
    if rollout.stage < LAST_STAGE and part >= last_stage_start(exposure_share):
        return rollout._replace(stage=LAST_STAGE)
    if rollout.stage < FIRST_SESSION_STAGE and part >= SESSION_STAGE_START_SHARE:
        return rollout._replace(stage=FIRST_SESSION_STAGE)
    if _has_news(rollout, own, node):
        return rollout._replace(observations=observations)
    return None


def _has_news(rollout: Rollout, own: Observations, node: str) -> bool:
    """Tell whether a node should report: at each failure, else now and then."""
    known = rollout.observations.get(node, Observations())
    if own.errors.bad > known.errors.bad:
        return True
    if own.reports_due <= known.reports_due or own.errors.total <= known.errors.total:
        return False
    others = rollout.observations.values()
    return sum(o.reports_due >= own.reports_due for o in others) < MAX_REPORTS_PER_ROUND


def _spot(node: str, name: str) -> float:
    """Return a node's place among all, evenly spread from 0 to 1."""
    return zlib.crc32(f"{name}/{node}".encode()) / 2**32
