"""Roll-out steps that the leader writes as configuration changes."""

from __future__ import annotations

from typing import Any

from lentilshore_fleet import Change, ConfigurationStore, LeaseManager
from lentilshore_kernel import log_event
from lentilshore_kernel.exceptions import RevisionConflictError
from lentilshore_routing import Catalog
from lentilshore_routing.catalog import RolloutRecord
from lentilshore_routing.rollouts import OutcomeTallies, evaluate_candidate, next_stage


class RolloutDriver:
    """Halts and advances roll-outs.

    A step's change identifier is derived from its content, so that a step
    repeated by a later leader or after a lost answer is applied only once.

    :param store: changes the configuration.
    :param lease: the leader's lease, checked before each step.
    """

    def __init__(self, store: ConfigurationStore, lease: LeaseManager) -> None:
        self._store = store
        self._lease = lease

    async def step(self, catalog: Catalog, outcomes: OutcomeTallies) -> int:
        """Write the first step that is due.

        :param catalog: configuration in force.
        :param outcomes: outcomes of all nodes.
        :returns: number of steps written, 0 or 1; 0 also if another change of the
            configuration came first.
        :raises LeaseLostError: if the lease has run out.
        :raises StoreError: if the store fails; call again.
        """
        steps = 0
        for model in catalog.names("rollout"):
            record: RolloutRecord = catalog.record("rollout", model)
            successor = decide_step(record, outcomes)
            if successor is None:
                continue
            steps += await self._write_step(catalog, model, record, successor)
            break
        return steps

    async def _write_step(
        self, catalog: Catalog, model: str, record: RolloutRecord, successor: Any
    ) -> int:
        step = f"{record['candidate']}-{successor['state']}-{successor['stage']}"
        change = Change(
            change_id=f"rollout-{step}-from-{record['stage']}-{catalog.revision}",
            revision=catalog.revision,
            updated={f"rollout/{model}": successor},
        )
        self._lease.check()
        try:
            await self._store.change(change)
        except RevisionConflictError:
            return 0
        log_event(
            "rollout_step",
            model=model,
            candidate=record["candidate"],
            state=successor["state"],
            stage=successor["stage"],
            reason=successor.get("reason", ""),
        )
        return 1


def decide_step(
    record: RolloutRecord, outcomes: OutcomeTallies
) -> RolloutRecord | None:
    """Return a roll-out's record after the step that is due.

    A paused roll-out can be halted but does not advance.

    :param record: the roll-out's record.
    :param outcomes: outcomes of both versions.
    :returns: the new record, None if no step is due.
    """
    if record["state"] not in ("running", "paused"):
        return None
    base, candidate = record["base"], record["candidate"]
    verdict = evaluate_candidate(outcomes, base, candidate)
    if verdict.halt:
        return RolloutRecord(
            **record | {"state": "halted", "reason": verdict.explain()}
        )
    if record["state"] == "paused":
        return None
    stage_count = len(record["shares"])
    stage = next_stage(outcomes, base, candidate, record["stage"], stage_count)
    if stage == record["stage"]:
        return None
    if stage >= stage_count:
        last_stage = stage_count - 1
        return RolloutRecord(**record | {"state": "done", "stage": last_stage})
    return RolloutRecord(**record | {"stage": stage})
