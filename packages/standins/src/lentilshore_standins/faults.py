"""Fault injection for the stand-ins."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class FaultKind(StrEnum):
    """Kind of fault that a stand-in injects.

    What a kind does depends on the stand-in and the operation; a stand-in ignores
    the kinds that it does not implement.
    """

    REFUSE = "refuse"
    STALL = "stall"
    SLOW = "slow"
    LOSE_ANSWER = "lose_answer"
    BREAK = "break"
    GARBLE = "garble"
    TRUNCATE = "truncate"
    MISMATCH = "mismatch"
    DUPLICATE = "duplicate"
    STALE = "stale"
    REORDER = "reorder"


class Fault(NamedTuple):
    """A fault and the calls that it is injected into.

    :param kind: what goes wrong.
    :param operation: operation to inject it into, ``*`` for all; engines have
        ``complete``, plain services ``call``, for the store see
        :class:`~lentilshore_standins.store.MemoryObjectStore`.
    :param prefix: inject it only if the key, path or request identifier starts with
        this.
    :param seconds: duration of a stall or delay.
    :param skip: number of matching calls to let through before the first fault.
    """

    kind: FaultKind
    operation: str = "*"
    prefix: str = ""
    seconds: float = 0.0
    skip: int = 0


class _PlannedFault:
    def __init__(self, fault: Fault, count: int | None) -> None:
        self.fault = fault
        self.remaining_calls = count
        self.remaining_skips = fault.skip


class FaultPlan:
    """Faults waiting to be injected."""

    def __init__(self) -> None:
        self._planned: list[_PlannedFault] = []

    def add(self, fault: Fault, count: int | None = 1) -> None:
        """Add a fault.

        :param fault: the fault.
        :param count: number of matching calls to inject it into; None for all.
        """
        self._planned.append(_PlannedFault(fault, count))

    def clear(self) -> None:
        """Remove all planned faults."""
        self._planned.clear()

    def take_match(self, operation: str, key: str) -> Fault | None:
        """Return the first fault that matches a call, or None, and count its use.

        A fault is removed once it has been returned for ``count`` calls.
        """
        for planned in self._planned:
            fault = planned.fault
            if fault.operation not in ("*", operation):
                continue
            if not key.startswith(fault.prefix):
                continue
            if planned.remaining_skips:
                planned.remaining_skips -= 1
                continue
            if planned.remaining_calls is not None:
                planned.remaining_calls -= 1
                if planned.remaining_calls <= 0:
                    self._planned.remove(planned)
            return fault
        return None
