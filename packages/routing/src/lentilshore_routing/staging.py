"""Stages by which a service's traffic moves from a base version to a candidate.

Every node works from the same shared record. Any node may take the next step, by a
write that is conditional on the record not having changed since it was read, so that
no leader is needed.
"""

from __future__ import annotations

import zlib

from .observations import Observations, is_worse
from .rollout_record import Rollout, RolloutState

# Share of the traffic that goes to the candidate, by stage. The first shares are small
# so that the last stage may begin early enough for answers at the base to end in time.
STAGE_SHARES = (0.02, 0.09, 1.0)
# From this stage on, sessions move to the candidate too. A node cannot tell a new
# session from one that other nodes serve on the base, and in the first half of a
# roll-out the latter must stay there.
FIRST_SESSION_STAGE = 1
LAST_STAGE = len(STAGE_SHARES) - 1
# Share of the roll-out's duration at which sessions begin to move. It exceeds one half
# by the difference in time at which two nodes may learn of the roll-out.
SESSION_STAGE_START_SHARE = 0.52
# Traffic that the service may receive in the last stage, as a multiple of that before.
LAST_STAGE_BURST_FACTOR = 1.3
# Share of the duration after which the roll-out is marked as completed. It leaves time
# for two attempts at that write.
MIN_COMPLETION_START_SHARE = 0.965
# Shares of the time before the last stage at which nodes report their observations.
REPORT_TIME_SHARES = (0.77, 0.925)
# The nodes' reports of a round are spread over this share of the time before the last
# stage, so that a node whose report is due later sees the reports before it.
REPORT_SPREAD_SHARE = 0.05
# Stops further reports of a round once this many nodes have reported. Each report wakes
# the watch of every node, so that calls would grow with the square of the number of
# nodes.
MAX_REPORTS_PER_ROUND = 12


def last_stage_start_share(exposure_share: float) -> float:
    """Return the share of the roll-out's duration at which the last stage begins.

    From then on the candidate receives all traffic. The start is late enough that a
    bad version stays within its exposure limit even if its failures go undetected.

    :param exposure_share: share of the requests during the roll-out that a bad
        version may receive.
    """
    first, second, _ = STAGE_SHARES
    last_stage_allowance = LAST_STAGE_BURST_FACTOR * (1 - exposure_share)
    saved = SESSION_STAGE_START_SHARE * (second - first)
    return (last_stage_allowance - saved) / (
        last_stage_allowance + exposure_share - second
    )


def completion_start_share(exposure_share: float) -> float:
    """Return the share of the roll-out's duration at which it is marked as completed.

    :param exposure_share: share of the requests during the roll-out that a bad
        version may receive.
    """
    return max(
        MIN_COMPLETION_START_SHARE, (1 + last_stage_start_share(exposure_share)) / 2
    )


def next_record(
    rollout: Rollout,
    age_s: float,
    own_observations: Observations,
    node: str,
    exposure_share: float,
) -> Rollout | None:
    """Return the record after the step that is due.

    :param rollout: the current record.
    :param age_s: time since the roll-out was requested, seconds.
    :param own_observations: this node's observations of both versions.
    :param node: name of this node.
    :param exposure_share: share of the requests during the roll-out that a bad
        version may receive.
    :returns: the new record, or None if no step is due.
    """
    if rollout.ended:
        return None
    if rollout.state is None:
        return rollout._replace(state=RolloutState.RUNNING, stage=0, observations={})
    elapsed_share = age_s / rollout.duration_s
    before_last_share = elapsed_share / last_stage_start_share(exposure_share)
    report_elapsed_share = before_last_share - REPORT_SPREAD_SHARE * _report_offset(
        node, rollout.name
    )
    own_observations = own_observations._replace(
        reports_due=sum(report_elapsed_share >= due for due in REPORT_TIME_SHARES)
    )
    observations = {**rollout.observations, node: own_observations}
    if is_worse(observations.values(), rollout.stage >= LAST_STAGE):
        return rollout._replace(
            state=RolloutState.ROLLED_BACK, observations=observations
        )
    if rollout.stage >= LAST_STAGE and elapsed_share >= completion_start_share(
        exposure_share
    ):
        return rollout._replace(state=RolloutState.COMPLETED)
    if rollout.stage < LAST_STAGE and elapsed_share >= last_stage_start_share(
        exposure_share
    ):
        return rollout._replace(stage=LAST_STAGE)
    if (
        rollout.stage < FIRST_SESSION_STAGE
        and elapsed_share >= SESSION_STAGE_START_SHARE
    ):
        return rollout._replace(stage=FIRST_SESSION_STAGE)
    if _should_report(rollout, own_observations, node):
        return rollout._replace(observations=observations)
    return None


def _should_report(rollout: Rollout, own_observations: Observations, node: str) -> bool:
    """Return whether a node should report a new failure, or because a report is due."""
    reported = rollout.observations.get(node, Observations())
    if own_observations.errors.bad > reported.errors.bad:
        return True
    if (
        own_observations.reports_due <= reported.reports_due
        or own_observations.errors.total <= reported.errors.total
    ):
        return False
    others = rollout.observations.values()
    return (
        sum(o.reports_due >= own_observations.reports_due for o in others)
        < MAX_REPORTS_PER_ROUND
    )


def _report_offset(node: str, rollout_name: str) -> float:
    """Return a node's offset in the spread of reports, from 0 to 1, by a hash."""
    return zlib.crc32(f"{rollout_name}/{node}".encode()) / 2**32
