"""Roll-outs as a gateway knows them, through restores of the store."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from functools import partial
from typing import NamedTuple

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.metrics import Metrics, record_state_change
from lentilshore_kernel.types import StateChange
from lentilshore_routing.observations import merge_observations
from lentilshore_routing.rollout_record import Rollout

# A restored store may lack a roll-out until the operators' system orders it again.
KEPT_ROLLOUT_S = 10.0


class KeptRollout(NamedTuple):
    """A roll-out that a restored store lacks and that stays in force for a while.

    :param until: monotonic time at which the store's record takes its place, seconds.
    :param stored: the store's record for the same service, None if there is none.
    """

    until: float
    stored: Rollout | None


class RolloutProgress:
    """The newest roll-out of each service.

    What a store lost when it was restored from a copy is kept: a version that was
    rolled back must not be exposed again, and one that was completed must not be
    undone.

    :param clock: measures for how long a lost roll-out is kept.
    :param metrics: counts the changes.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._by_service: dict[str, Rollout] = {}
        self._kept: dict[str, KeptRollout] = {}
        # Era into which a roll-out's progress was carried over, by service. In that
        # era its progress does not go back.
        self._carried_eras: dict[str, int] = {}
        # Services whose stored roll-out lacks progress that is known here.
        self._unwritten: set[str] = set()
        self._log_change = partial(record_state_change, metrics)

    @property
    def by_service(self) -> Mapping[str, Rollout]:
        """Roll-outs by service."""
        return self._by_service

    def has_unwritten_progress(self, service: str) -> bool:
        """Return whether the store lacks progress of a service's roll-out."""
        return service in self._unwritten and service not in self._kept

    def replace(self, rollouts: Iterable[Rollout], era: int) -> None:
        """Replace all roll-outs; a known one at a newer revision is kept.

        A roll-out of an earlier era that the store lacks, or has another order for, is
        kept for :data:`KEPT_ROLLOUT_S`: without it, its version would be allowed again.

        :param era: era of the store in which the roll-outs were listed.
        """
        listed = {rollout.service: rollout for rollout in rollouts}
        for known in list(self._by_service.values()):
            stored = listed.get(known.service)
            if stored is not None and stored.same_order(known):
                continue
            if era > known.revision.era:
                self._keep(known, stored)
                listed.pop(known.service, None)
            elif stored is None:
                self.remove(known.service)
        for rollout in listed.values():
            self.update(rollout)

    def update(self, rollout: Rollout) -> bool:
        """Add or replace one roll-out unless the known one is at least as new.

        The progress of an order that was known in an earlier era is carried over.

        :returns: whether it was newer.
        """
        known = self._by_service.get(rollout.service)
        if known is not None and known.revision >= rollout.revision:
            return False
        self._kept.pop(rollout.service, None)
        rollout = self._carry_over(known, rollout)
        self._by_service[rollout.service] = rollout
        self._log_change(
            StateChange.ROLLOUT_SEEN,
            service=rollout.service,
            candidate=rollout.candidate,
            state=rollout.state or "ordered",
            stage=rollout.stage,
            revision=rollout.revision,
            **_evidence_fields(rollout),
        )
        return True

    def remove(self, service: str) -> bool:
        """Remove the roll-out of a service; return whether one was known."""
        self._kept.pop(service, None)
        self._carried_eras.pop(service, None)
        self._unwritten.discard(service)
        if self._by_service.pop(service, None) is None:
            return False
        self._log_change(StateChange.ROLLOUT_GONE, service=service)
        return True

    def expire_kept(self) -> bool:
        """Replace kept roll-outs by the store's records once their time has passed.

        :returns: whether a roll-out was replaced.
        """
        now = self._clock.monotonic()
        expired = [name for name, kept in self._kept.items() if kept.until <= now]
        for service in expired:
            stored = self._kept[service].stored
            self.remove(service)
            if stored is not None:
                self.update(stored)
        return bool(expired)

    def _keep(self, known: Rollout, stored: Rollout | None) -> None:
        kept = self._kept.get(known.service)
        until = self._clock.monotonic() + KEPT_ROLLOUT_S
        if kept is None:
            self._log_change(
                StateChange.ROLLOUT_KEPT,
                service=known.service,
                candidate=known.candidate,
                stored=stored.candidate if stored else "-",
            )
        self._kept[known.service] = KeptRollout(kept.until if kept else until, stored)

    def _carry_over(self, known: Rollout | None, stored: Rollout) -> Rollout:
        """Return a stored roll-out with the progress made in an earlier era."""
        service = stored.service
        self._unwritten.discard(service)
        if known is None or not stored.same_order(known):
            self._carried_eras.pop(service, None)
            return stored
        if stored.revision.era > known.revision.era:
            self._carried_eras[service] = stored.revision.era
        if self._carried_eras.get(service) != stored.revision.era:
            return stored
        if stored.progress >= known.progress:
            return stored
        self._unwritten.add(service)
        return known._replace(revision=stored.revision)


def _evidence_fields(rollout: Rollout) -> dict[str, str]:
    """Return the evidence of a roll-out as fields of a log line."""
    sums = merge_observations(rollout.observations.values())
    excess = sums.log_latencies.mean - sums.base_log_latencies.mean
    return {
        "errors": f"{sums.errors.bad}/{sums.errors.total}",
        "base_errors": f"{sums.base_errors.bad}/{sums.base_errors.total}",
        "times_as_long": f"{math.exp(excess):.2f}",
        "spread": f"{sums.log_latencies.variance**0.5:.2f}/"
        f"{sums.base_log_latencies.variance**0.5:.2f}",
        "timed": f"{sums.log_latencies.count}/{sums.base_log_latencies.count}",
    }
