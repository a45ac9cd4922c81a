"""Faults that stand-ins bring about on request."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class FaultKind(StrEnum):
    """What a stand-in does wrong."""

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
    """A fault and the calls it strikes.

    :param kind: what goes wrong.
    :param operation: name of the operation struck, ``*`` for all.
    :param prefix: struck only where the key or path begins with it.
    :param seconds: length of a stall or delay.
    :param skip: matching calls left alone first.
    """

    kind: FaultKind
    operation: str = "*"
    prefix: str = ""
    seconds: float = 0.0
    skip: int = 0


class _Planned:
    def __init__(self, fault: Fault, count: int | None) -> None:
        self.fault = fault
        self.left = count
        self.skip = fault.skip


class FaultPlan:
    """Faults yet to strike."""

    def __init__(self) -> None:
        self._planned: list[_Planned] = []

    def add(self, fault: Fault, count: int | None = 1) -> None:
        """Plan a fault.

        :param fault: the fault.
        :param count: how many calls it strikes; None for every one.
        """
        self._planned.append(_Planned(fault, count))

    def clear(self) -> None:
        """Forget every planned fault."""
        self._planned.clear()

    def strike(self, operation: str, key: str) -> Fault | None:
        """Return the fault that strikes a call, if any, and use it up."""
        for planned in self._planned:
            fault = planned.fault
            if fault.operation not in ("*", operation):
                continue
            if not key.startswith(fault.prefix):
                continue
            if planned.skip:
                planned.skip -= 1
                continue
            if planned.left is not None:
                planned.left -= 1
                if planned.left <= 0:
                    self._planned.remove(planned)
            return fault
        return None
