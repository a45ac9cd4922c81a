"""Data centres that the operator has closed, as far as a gateway knows."""

from __future__ import annotations

from collections.abc import Iterable

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.metrics import Metrics, record_state_change
from lentilshore_kernel.types import StateChange

# A store that is restored from a copy may lack closures of the time after the copy.
# They stay in force for this time, as lost roll-outs do, until they are written again.
RESTORED_CLOSURE_GRACE_S = 10.0


class DataCentreClosures:
    """The closed data centres at the newest revision of the store that was read.

    :param clock: measures the grace period after a restore.
    :param metrics: counts the changes.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._closed: frozenset[str] = frozenset()
        self._required = False
        self._read = False
        # Era of the store in which the closures were listed last.
        self._era = 0
        # Monotonic time until which closures are kept that a restored store lacks.
        self._kept_until: dict[str, float] = {}

    @property
    def closed(self) -> frozenset[str]:
        """Names of the closed data centres."""
        return self._closed

    @property
    def missing(self) -> bool:
        """Whether no replica may be used, since the closures were never read."""
        return self._required and not self._read

    def require(self, required: bool) -> None:
        """Set whether replicas may be used only once the closures have been read."""
        self._required = required

    def forget(self) -> None:
        """Open all data centres, since closures are no longer read."""
        self._read = False
        self._kept_until.clear()
        self._set_closed(frozenset())

    def replace(self, names: Iterable[str], era: int) -> None:
        """Replace all closures.

        :param names: names of the closed data centres.
        :param era: era of the store in which they were listed.
        """
        listed = frozenset(names)
        restored = self._read and era > self._era
        self._read, self._era = True, era
        now = self._clock.monotonic()
        kept_until = {
            name: now + RESTORED_CLOSURE_GRACE_S
            if restored
            else self._kept_until.get(name, now)
            for name in self._closed - listed
        }
        self._kept_until = {n: until for n, until in kept_until.items() if until > now}
        self._set_closed(listed | self._kept_until.keys())

    def update(self, name: str) -> None:
        """Close a data centre."""
        self._kept_until.pop(name, None)
        self._set_closed(self._closed | {name})

    def remove(self, name: str) -> None:
        """Open a data centre."""
        self._kept_until.pop(name, None)
        self._set_closed(self._closed - {name})

    def expire_kept(self) -> None:
        """Open the data centres whose grace period after a restore has ended."""
        now = self._clock.monotonic()
        for name in [n for n, until in self._kept_until.items() if until <= now]:
            self.remove(name)

    def _set_closed(self, closed: frozenset[str]) -> None:
        previous, self._closed = self._closed, closed
        for change, names in (
            (StateChange.DATA_CENTRE_CLOSED, closed - previous),
            (StateChange.DATA_CENTRE_OPENED, previous - closed),
        ):
            for name in sorted(names):
                record_state_change(self._metrics, change, data_centre=name)
