"""Stages by which a service's traffic moves from a base version to a candidate.

Every node works from the same shared record. Any node may take the next step, by a
write that is conditional on the record not having changed since it was read, so that
no leader is needed.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping

from .observations import (
    MIN_LATENCIES,
    MIN_TRIAL_LATENCIES,
    Moments,
    Observations,
    count_latencies,
    is_clearly_as_fast,
    is_slower_on_trial,
    is_worse,
)
from .rollout_record import Rollout, RolloutState

# Share of the traffic that goes to the candidate, by stage. The first shares are small
# so that the last stage may begin early enough for answers at the base to end in time.
STAGE_SHARES = (0.02, 0.09, 1.0, 1.0)
# From this stage on, sessions move to the candidate too. A node cannot tell a new
# session from one that other nodes serve on the base, and in the first half of a
# roll-out the latter must stay there.
FIRST_SESSION_STAGE = 1
# From this stage on, the candidate receives all traffic. In this stage it is on trial:
# its few answers before did not show that it is as fast as the base.
TRIAL_STAGE = 2
# The candidate waits for its completion. It gets here at once if it was clearly as fast
# as the base before.
LAST_STAGE = len(STAGE_SHARES) - 1
# A trial lasts at least this time: the candidate's engines fill up first. It is judged
# then, or at the later time with fewer latencies.
MIN_TRIAL_S = 2.0
SPARSE_TRIAL_S = 3.0
# A trial ends after this time if the service is hardly used.
MAX_TRIAL_S = 10.0
# Time in a trial at which a node reports its observations, and their spread.
TRIAL_REPORT_S = 1.2
TRIAL_REPORT_SPREAD_S = 0.6
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
    first, second = STAGE_SHARES[:2]
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
    stage_age_s: float = 0.0,
) -> Rollout | None:
    """Return the record after the step that is due.

    :param rollout: the current record.
    :param age_s: time since the roll-out was requested, seconds.
    :param own_observations: this node's observations of both versions.
    :param node: name of this node.
    :param exposure_share: share of the requests during the roll-out that a bad
        version may receive.
    :param stage_age_s: time for which this node has known of the current stage,
        seconds.
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
    reports_due = sum(report_elapsed_share >= due for due in REPORT_TIME_SHARES)
    if rollout.stage == TRIAL_STAGE:
        reports_due = _trial_reports_due(rollout, node, stage_age_s)
    own_observations = own_observations._replace(reports_due=reports_due)
    observations = {**rollout.observations, node: own_observations}
    if is_worse(observations.values(), rollout.stage >= TRIAL_STAGE):
        return rollout._replace(
            state=RolloutState.ROLLED_BACK, observations=observations
        )
    completion_due = elapsed_share >= completion_start_share(exposure_share)
    if rollout.stage >= LAST_STAGE and completion_due:
        return rollout._replace(state=RolloutState.COMPLETED)
    if rollout.stage == TRIAL_STAGE and completion_due:
        verdict = _judge_trial(observations, stage_age_s)
        if verdict is not None:
            return rollout._replace(state=verdict, observations=observations)
    if rollout.stage < TRIAL_STAGE and elapsed_share >= last_stage_start_share(
        exposure_share
    ):
        if is_clearly_as_fast(observations.values()):
            return rollout._replace(stage=LAST_STAGE, observations=observations)
        return rollout._replace(
            stage=TRIAL_STAGE, observations=_without_latencies(observations)
        )
    if (
        rollout.stage < FIRST_SESSION_STAGE
        and elapsed_share >= SESSION_STAGE_START_SHARE
    ):
        return rollout._replace(stage=FIRST_SESSION_STAGE)
    if _should_report(rollout, own_observations, node):
        return rollout._replace(observations=observations)
    return None


def _judge_trial(
    observations: Mapping[str, Observations], stage_age_s: float
) -> RolloutState | None:
    """Return how a roll-out ends after its trial, None while the trial goes on."""
    count = count_latencies(observations.values())
    if stage_age_s < MIN_TRIAL_S:
        return None
    if stage_age_s < SPARSE_TRIAL_S and count < MIN_TRIAL_LATENCIES:
        return None
    if stage_age_s < MAX_TRIAL_S and count < MIN_LATENCIES:
        return None
    if is_slower_on_trial(observations.values()):
        return RolloutState.ROLLED_BACK
    return RolloutState.COMPLETED


def _trial_reports_due(rollout: Rollout, node: str, stage_age_s: float) -> int:
    """Return the number of a node's reports that are due in a trial."""
    offset_s = TRIAL_REPORT_SPREAD_S * _report_offset(node, rollout.name)
    if stage_age_s >= TRIAL_REPORT_S + offset_s:
        return len(REPORT_TIME_SHARES) + 1
    return rollout.observations.get(node, Observations()).reports_due


def _without_latencies(
    observations: Mapping[str, Observations],
) -> dict[str, Observations]:
    """Return observations without the latencies of the candidate before its trial."""
    return {
        node: item._replace(log_latencies=Moments())
        for node, item in observations.items()
    }


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
