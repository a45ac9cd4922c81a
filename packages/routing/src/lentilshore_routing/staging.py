"""Stages by which a service's traffic moves to another software version.

Every node works from the same shared record. Any node may make the step that is
due, under the condition that the record has not changed since it was read, so
that no node has to hold the duty.
"""

from __future__ import annotations

import zlib

from .rollout_record import Rollout, RolloutState
from .sightings import Sightings, is_worse

# Shares of the traffic that go to the candidate, by stage. They are small so that the
# last may begin while there is time for answers at the base to end.
STAGE_SHARES = (0.02, 0.09, 1.0)
# From this stage on sessions move too. A node cannot tell a new session from one that
# others serve at the base, and in the first half of a roll-out those must stay.
SESSION_STAGE = 1
LAST_STAGE = len(STAGE_SHARES) - 1
# Part of the ordered time at which that stage begins, past the half by the time in
# which two nodes may hear of the order.
SESSION_STAGE_START = 0.52
# Traffic that the last stage may meet, as a multiple of that before.
LAST_STAGE_BURST = 1.3
# Part of the ordered time at which the roll-out is called completed, which leaves
# time to write that twice.
COMPLETION_START = 0.965
# Parts of the time before the last stage from which nodes report what they have seen.
REPORT_PARTS = (0.77, 0.925)
# Part of that time over which nodes spread a report, so that one that is due later
# sees those before it.
REPORT_SPREAD = 0.05
# Reports that are enough at each of these parts. Each wakes every node's watch, so
# that calls would grow with the square of the nodes.
REPORTS_ENOUGH = 12


def last_stage_start(exposure_share: float) -> float:
    """Return the part of the ordered time at which the last stage begins.

    From then on the candidate gets everything. The start is so late that a bad
    version whose failures nobody notices stays within the exposure allowed.

    :param exposure_share: part of the requests in the ordered time that a bad
        version may get.
    """
    first, second, _ = STAGE_SHARES
    allowed = LAST_STAGE_BURST * (1 - exposure_share)
    spared = SESSION_STAGE_START * (second - first)
    return (allowed - spared) / (allowed + exposure_share - second)


def completion_start(exposure_share: float) -> float:
    """Return the part of the ordered time at which the roll-out is completed."""
    return max(COMPLETION_START, (1 + last_stage_start(exposure_share)) / 2)


def next_state(
    rollout: Rollout, age_s: float, own: Sightings, node: str, exposure_share: float
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
        return rollout._replace(state=RolloutState.RUNNING, stage=0, sightings={})
    part = age_s / rollout.duration_s
    before_last = part / last_stage_start(exposure_share)
    since = before_last - REPORT_SPREAD * _spot(node, rollout.name)
    own = own._replace(reports=sum(since >= due for due in REPORT_PARTS))
    sightings = {**rollout.sightings, node: own}
    if is_worse(sightings.values(), rollout.stage >= LAST_STAGE):
        return rollout._replace(state=RolloutState.ROLLED_BACK, sightings=sightings)
    if rollout.stage >= LAST_STAGE and part >= completion_start(exposure_share):
        return rollout._replace(state=RolloutState.COMPLETED)
    if rollout.stage < LAST_STAGE and part >= last_stage_start(exposure_share):
        return rollout._replace(stage=LAST_STAGE)
    if rollout.stage < SESSION_STAGE and part >= SESSION_STAGE_START:
        return rollout._replace(stage=SESSION_STAGE)
    if _has_news(rollout, own, node):
        return rollout._replace(sightings=sightings)
    return None


def _has_news(rollout: Rollout, own: Sightings, node: str) -> bool:
    """Tell whether a node should report: at each failure, else now and then."""
    known = rollout.sightings.get(node, Sightings())
    if own.errors.bad > known.errors.bad:
        return True
    if own.reports <= known.reports or own.errors.total <= known.errors.total:
        return False
    others = rollout.sightings.values()
    return sum(o.reports >= own.reports for o in others) < REPORTS_ENOUGH


def _spot(node: str, name: str) -> float:
    """Return a node's place among all, evenly spread from 0 to 1."""
    return zlib.crc32(f"{name}/{node}".encode()) / 2**32
