"""Queue of the requests that wait until a replica has room for them."""

from __future__ import annotations

import anyio

from lentilshore_kernel.clock import Clock
from lentilshore_routing.replicas import Replica


class _Waiter:
    """One request that waits, and the replica that has room for it."""

    def __init__(self) -> None:
        self.woken = anyio.Event()
        self.replica_name = ""


class RoomQueue:
    """Requests that replicas have rejected, in the order in which they began to wait.

    A replica that has room wakes one request, since it may have room for one only.

    :param clock: measures the waiting times.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiters: dict[str, list[_Waiter]] = {}

    def announce(self, replica: Replica) -> None:
        """Wake the request that has waited longest for a replica with room.

        :param replica: replica at which a request has just ended.
        """
        for group in replica.groups:
            for waiter in self._waiters.get(group, ()):
                if not waiter.replica_name:
                    waiter.replica_name = replica.name
                    waiter.woken.set()
                    return

    async def wait(self, group: str, timeout_s: float, fixed_s: float = 0.0) -> str:
        """Wait until a replica of a group has room.

        :param group: version or service.
        :param timeout_s: longest time to wait, seconds.
        :param fixed_s: shortest time to wait, seconds; replicas that have room until
            then are left to others.
        :returns: name of the replica, empty after the timeout.
        """
        await self._clock.sleep(fixed_s)
        waiter = _Waiter()
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
