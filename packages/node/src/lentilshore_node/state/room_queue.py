"""Queue of the requests that wait until a replica has room for them."""

from __future__ import annotations

import math
from typing import NamedTuple, Protocol

import anyio

from lentilshore_kernel.clock import Clock
from lentilshore_routing.replicas import Replica


class WakeOrder(Protocol):
    """Order in which waiting requests are woken."""

    def wake_key(
        self, service: str, customer: str, priority: int, deadline_at: float
    ) -> tuple[float, ...]:
        """Return the place of a request; the lowest is woken first.

        :param deadline_at: end of its time on the clock, seconds.
        """


class WaitClaim(NamedTuple):
    """What decides when a request is woken.

    :param customer: customer that sent it, empty for none.
    :param priority: 0 is the most urgent.
    :param remaining_s: time until its deadline, seconds.
    """

    customer: str = ""
    priority: int = 0
    remaining_s: float = math.inf


class _Waiter:
    """One request that waits, and the replica that has room for it."""

    def __init__(self, claim: WaitClaim, deadline_at: float) -> None:
        self.claim = claim
        self.deadline_at = deadline_at
        self.woken = anyio.Event()
        self.replica_name = ""


class RoomQueue:
    """Requests that replicas have rejected, and that wait until one has room.

    A replica that has room wakes one request, since it may have room for one only: the
    first by the order, among equal ones the one that has waited longest.

    :param clock: measures the waiting times.
    :param order: order in which requests are woken; None for that of their waits.
    """

    def __init__(self, clock: Clock, order: WakeOrder | None = None) -> None:
        self._clock = clock
        self._order = order
        self._waiters: dict[str, list[_Waiter]] = {}

    def announce(self, replica: Replica) -> None:
        """Wake the first request that waits for a replica with room.

        :param replica: replica at which a request has just ended.
        """
        for group in replica.groups:
            waiting = [w for w in self._waiters.get(group, ()) if not w.replica_name]
            if not waiting:
                continue
            waiter = min(waiting, key=lambda item: self._wake_key(group, item))
            waiter.replica_name = replica.name
            waiter.woken.set()
            return

    async def wait(
        self,
        group: str,
        timeout_s: float,
        fixed_s: float = 0.0,
        claim: WaitClaim = WaitClaim(),
    ) -> str:
        """Wait until a replica of a group has room.

        :param group: version or service.
        :param timeout_s: longest time to wait, seconds.
        :param fixed_s: shortest time to wait, seconds; replicas that have room until
            then are left to others.
        :param claim: what decides when the request is woken.
        :returns: name of the replica, empty after the timeout.
        """
        deadline_at = self._clock.monotonic() + claim.remaining_s
        await self._clock.sleep(fixed_s)
        waiter = _Waiter(claim, deadline_at)
        waiters = self._waiters.setdefault(group, [])
        waiters.append(waiter)
        try:
            with self._clock.timeout(timeout_s - fixed_s):
                await waiter.woken.wait()
        finally:
            waiters.remove(waiter)
            if not waiters and self._waiters.get(group) is waiters:
                del self._waiters[group]
        return waiter.replica_name

    def _wake_key(self, group: str, waiter: _Waiter) -> tuple[float, ...]:
        if self._order is None:
            return ()
        claim, service = waiter.claim, group.partition("@")[0]
        return self._order.wake_key(
            service, claim.customer, claim.priority, waiter.deadline_at
        )
