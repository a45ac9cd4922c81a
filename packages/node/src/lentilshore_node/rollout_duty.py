"""Makes the steps of roll-outs that are due, whichever node comes first."""

from __future__ import annotations

from lentilshore_kernel.exceptions import StoreError
from lentilshore_kernel.metrics import record_state_change
from lentilshore_kernel.types import StateChange
from lentilshore_routing.rollout_record import Rollout, RolloutState
from lentilshore_routing.staging import next_state

from .fleet_source import FleetSource
from .gateway_context import GatewayContext

CHECK_INTERVAL_S = 0.2
# Spreads the nodes' tries, so that one write usually makes a step.
STEP_SPREAD_S = 0.3
SHARE_INTERVAL_S = 0.6


class RolloutDuty:
    """Advances, completes and rolls back roll-outs.

    :param context: the gateway.
    :param source: the platform's store.
    """

    def __init__(self, context: GatewayContext, source: FleetSource) -> None:
        self._context = context
        self._source = source
        self._started: dict[tuple[str, str], float] = {}
        self._shared_at: dict[str, float] = {}

    async def run(self) -> None:
        """Check every roll-out until cancelled."""
        while True:
            await self._context.clock.sleep(CHECK_INTERVAL_S)
            for rollout in list(self._context.view.rollouts.values()):
                if not rollout.ended:
                    await self._check(rollout)

    async def _check(self, rollout: Rollout) -> None:
        due = self._due(rollout)
        if due is None:
            return
        if not self._urgent(rollout, due):
            spread_s = STEP_SPREAD_S * self._context.random.random()
            await self._context.clock.sleep(spread_s)
            current = self._context.view.rollouts.get(rollout.service)
            due = self._due(current) if current is not None else None
        if due is None or not self._may_write(due):
            return
        await self._write(due)

    def _urgent(self, rollout: Rollout, due: Rollout) -> bool:
        """Tell whether only this node knows why a version must be rolled back."""
        node = self._context.node
        if due.state is not RolloutState.ROLLED_BACK:
            return False
        return due.sightings.get(node) != rollout.sightings.get(node)

    def _due(self, rollout: Rollout) -> Rollout | None:
        age_s = self._age_s(rollout)
        own = self._context.evidence.sightings(rollout)
        share = self._context.bounds.exposure_share
        due = next_state(rollout, age_s, own, self._context.node, share)
        if due is not None and rollout.state is None:
            return due._replace(started_at=self._context.clock.wall())
        return due

    def _may_write(self, due: Rollout) -> bool:
        """Space out writes that only share evidence."""
        known = self._context.view.rollouts.get(due.service)
        if known is None:
            return False
        if (known.state, known.stage) != (due.state, due.stage):
            return True
        now = self._context.clock.monotonic()
        if now - self._shared_at.get(due.service, -SHARE_INTERVAL_S) < SHARE_INTERVAL_S:
            return False
        self._shared_at[due.service] = now
        return True

    async def _write(self, due: Rollout) -> None:
        try:
            written = await self._source.write_rollout(due)
        except StoreError as error:
            record_state_change(
                self._context.metrics,
                StateChange.ROLLOUT_STEP_FAILED,
                service=due.service,
                detail=str(error),
            )
            return
        self._context.view.take_rollout(written)
        own = (written.state, written.stage) == (due.state, due.stage)
        record_state_change(
            self._context.metrics,
            StateChange.ROLLOUT_STEP,
            service=due.service,
            candidate=due.candidate,
            state=due.state or "-",
            stage=due.stage,
            own=own,
            errors=sum(seen.errors.bad for seen in due.sightings.values()),
        )

    def _age_s(self, rollout: Rollout) -> float:
        """Return the time since the order, by the steady clock once it is known."""
        key = (rollout.service, rollout.candidate)
        now = self._context.clock.monotonic()
        if key not in self._started:
            passed_s = 0.0
            if rollout.state is not None:
                passed_s = max(0.0, self._context.clock.wall() - rollout.started_at)
            self._started[key] = now - passed_s
        return now - self._started[key]
