"""Advances roll-outs; every gateway runs this, and the first write of a step wins."""

from __future__ import annotations

from lentilshore_kernel.exceptions import StoreError
from lentilshore_kernel.metrics import record_state_change
from lentilshore_kernel.types import StateChange
from lentilshore_routing.rollout_record import Rollout, RolloutState
from lentilshore_routing.staging import next_record

from ..clients.fleet_source import FleetSource
from .gateway_context import GatewayContext

CHECK_INTERVAL_S = 0.2
# Random delay before a write, so that usually one gateway writes a step and the others
# see it before they try.
STEP_JITTER_S = 0.3
EVIDENCE_WRITE_INTERVAL_S = 0.6


class RolloutController:
    """Starts, advances, completes and rolls back roll-outs.

    :param context: the gateway.
    :param source: the platform's store.
    """

    def __init__(self, context: GatewayContext, source: FleetSource) -> None:
        self._context = context
        self._source = source
        self._ordered_at: dict[tuple[str, str], float] = {}
        self._evidence_written_at: dict[str, float] = {}
        # Candidate and stage of each service's roll-out, and when they were first seen.
        self._stages: dict[str, tuple[tuple[str, int], float]] = {}

    async def run(self) -> None:
        """Check every roll-out until cancelled."""
        while True:
            await self._context.clock.sleep(CHECK_INTERVAL_S)
            view = self._context.view
            for rollout in list(view.rollouts.values()):
                if view.has_unwritten_progress(rollout.service):
                    await self._restore(rollout.service)
                elif not rollout.ended:
                    await self._check(rollout)

    async def _restore(self, service: str) -> None:
        """Write progress again that the store lost when it was restored."""
        view = self._context.view
        await self._context.clock.sleep(STEP_JITTER_S * self._context.random.random())
        rollout = view.rollouts.get(service)
        # Another node may have written it meanwhile.
        if rollout is not None and view.has_unwritten_progress(service):
            await self._write(rollout)

    async def _check(self, rollout: Rollout) -> None:
        """Write the next step if one is due, and the store can be reached."""
        if self._context.store_access.failing:
            return
        successor = self._find_step(rollout)
        if successor is None:
            return
        if not self._is_urgent(rollout, successor):
            delay_s = STEP_JITTER_S * self._context.random.random()
            await self._context.clock.sleep(delay_s)
            # Another node may have written the step meanwhile.
            current = self._context.view.rollouts.get(rollout.service)
            successor = self._find_step(current) if current is not None else None
        if successor is None or not self._may_write(successor):
            return
        await self._write(successor)

    def _is_urgent(self, rollout: Rollout, successor: Rollout) -> bool:
        """Return whether a rollback is based on evidence that only this node has."""
        node = self._context.node_name
        if successor.state is not RolloutState.ROLLED_BACK:
            return False
        return successor.observations.get(node) != rollout.observations.get(node)

    def _find_step(self, rollout: Rollout) -> Rollout | None:
        """Return the roll-out after the step that is due, None if none is."""
        age_s = self._age_s(rollout)
        own_observations = self._context.evidence.observations(
            rollout, self._context.clock.monotonic()
        )
        exposure_share = self._context.bounds.exposure_share
        successor = next_record(
            rollout,
            age_s,
            own_observations,
            self._context.node_name,
            exposure_share,
            self._stage_age_s(rollout),
        )
        if successor is not None and rollout.state is None:
            return successor._replace(started_at=self._context.clock.wall())
        return successor

    def _may_write(self, successor: Rollout) -> bool:
        """Return whether to write now; writes that only share evidence are spaced."""
        known = self._context.view.rollouts.get(successor.service)
        if known is None:
            return False
        if (known.state, known.stage) != (successor.state, successor.stage):
            return True
        now = self._context.clock.monotonic()
        if (
            now
            - self._evidence_written_at.get(
                successor.service, -EVIDENCE_WRITE_INTERVAL_S
            )
            < EVIDENCE_WRITE_INTERVAL_S
        ):
            return False
        self._evidence_written_at[successor.service] = now
        return True

    async def _write(self, successor: Rollout) -> None:
        try:
            written = await self._source.write_rollout(successor)
        except StoreError as error:
            record_state_change(
                self._context.metrics,
                StateChange.ROLLOUT_STEP_FAILED,
                service=successor.service,
                detail=str(error),
            )
            return
        self._context.view.update_rollout(written)
        # False if another node wrote another step first.
        is_own_step = (written.state, written.stage) == (
            successor.state,
            successor.stage,
        )
        record_state_change(
            self._context.metrics,
            StateChange.ROLLOUT_STEP,
            service=successor.service,
            candidate=successor.candidate,
            state=successor.state or "-",
            stage=successor.stage,
            own=is_own_step,
            errors=sum(o.errors.bad for o in successor.observations.values()),
        )

    def _stage_age_s(self, rollout: Rollout) -> float:
        """Return the time for which this node has known of the stage, seconds."""
        now = self._context.clock.monotonic()
        stage = (rollout.candidate, rollout.stage)
        known, since = self._stages.get(rollout.service, (None, now))
        if known != stage:
            since = now
        self._stages[rollout.service] = (stage, since)
        return now - since

    def _age_s(self, rollout: Rollout) -> float:
        """Return the time since the roll-out was requested, seconds.

        The wall clock is used once, to place that time on the monotonic clock.
        """
        key = (rollout.service, rollout.candidate)
        now = self._context.clock.monotonic()
        if key not in self._ordered_at:
            elapsed_s = 0.0
            if rollout.state is not None:
                elapsed_s = max(0.0, self._context.clock.wall() - rollout.started_at)
            self._ordered_at[key] = now - elapsed_s
        return now - self._ordered_at[key]
