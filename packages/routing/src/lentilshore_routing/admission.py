"""Admission control: bounded concurrency and a bounded priority queue."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import Priority, RefusalReason

# Shares of the concurrency limit: the part reserved for interactive requests, the most
# that batch requests may use, and the most that one customer may use, from which
# interactive requests are exempt. CUSTOMER_LIMIT_SHARE is also the share of the queue
# limit that one customer's waiting requests may take, interactive ones included.
INTERACTIVE_RESERVE_SHARE = 0.1
BATCH_LIMIT_SHARE = 0.7
CUSTOMER_LIMIT_SHARE = 0.5
SERVICE_TIME_EMA_WEIGHT = 0.05


class _Waiter:
    def __init__(self, priority: Priority, customer: str) -> None:
        self.priority = priority
        self.customer = customer
        self.event = anyio.Event()
        self.admitted = False
        self.left_queue = False


class AdmissionQueue:
    """Bounds the requests in flight on a node and queues or refuses the others.

    :param clock: measures service times and waits.
    :param concurrency_limit: most requests in flight.
    :param queue_limit: most requests waiting.
    :param queue_timeout_s: longest wait in the queue, seconds.
    """

    def __init__(
        self,
        clock: Clock,
        concurrency_limit: int,
        queue_limit: int,
        queue_timeout_s: float,
    ) -> None:
        self._clock = clock
        self._concurrency_limit = concurrency_limit
        self._queue_limit = queue_limit
        self._queue_timeout_s = queue_timeout_s
        self._running = 0
        self._running_batch = 0
        self._running_by_customer: dict[str, int] = {}
        self._waiting: list[tuple[int, int, int, _Waiter]] = []
        self._waiting_count = 0
        self._sequence = itertools.count()
        self._mean_service_s = 0.0

    @property
    def running(self) -> int:
        """Number of requests in flight."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return self._waiting_count

    @asynccontextmanager
    async def slot(
        self, customer: str, priority: Priority, remaining_s: float
    ) -> AsyncIterator[None]:
        """Wait for a slot and hold it for the duration of the context.

        :param customer: name of the customer.
        :param priority: lower values are admitted first.
        :param remaining_s: time left until the deadline of the request, seconds.
        :raises RefusalError: ``queue_full`` if the queue or the customer's share of it
            is full or the wait timed out, ``deadline_unmeetable`` if the expected wait
            exceeds the time left.
        """
        await self._acquire(customer, priority, remaining_s)
        started = self._clock.monotonic()
        try:
            yield
        finally:
            elapsed = self._clock.monotonic() - started
            self._mean_service_s += SERVICE_TIME_EMA_WEIGHT * (
                elapsed - self._mean_service_s
            )
            self._release(customer, priority)

    async def _acquire(
        self, customer: str, priority: Priority, remaining_s: float
    ) -> None:
        if self._can_admit(customer, priority):
            self._admit(customer, priority)
            return
        expected_s = self._expected_wait_s(priority)
        waiting_of_customer = sum(
            item[3].customer == customer for item in self._waiting
        )
        limit = self._queue_limit * CUSTOMER_LIMIT_SHARE
        if self._waiting_count >= self._queue_limit or waiting_of_customer >= limit:
            raise RefusalError(
                RefusalReason.QUEUE_FULL,
                detail=f"{self._waiting_count} requests are waiting",
                retry_after_s=max(expected_s, 0.1),
            )
        if expected_s > remaining_s:
            raise RefusalError(
                RefusalReason.DEADLINE_UNMEETABLE,
                detail=f"expected wait is {expected_s:.2f} s, {remaining_s:.2f} s left",
                retry_after_s=expected_s,
            )
        waiter = _Waiter(priority, customer)
        self._enqueue(waiter)
        try:
            with self._clock.timeout(min(self._queue_timeout_s, remaining_s)):
                await waiter.event.wait()
        except BaseException:
            if waiter.admitted:
                self._release(customer, priority)
            raise
        finally:
            self._waiting_count -= 1
            waiter.left_queue = True
        if not waiter.admitted:
            raise RefusalError(
                RefusalReason.QUEUE_FULL,
                detail="no slot within "
                f"{min(self._queue_timeout_s, remaining_s):.2f} s",
                retry_after_s=self._queue_timeout_s,
            )

    def _enqueue(self, waiter: _Waiter) -> None:
        running_of_customer = self._running_by_customer.get(waiter.customer, 0)
        entry = (
            int(waiter.priority),
            running_of_customer,
            next(self._sequence),
            waiter,
        )
        heapq.heappush(self._waiting, entry)
        self._waiting_count += 1

    def _expected_wait_s(self, priority: Priority) -> float:
        ahead = sum(1 for item in self._waiting if item[0] <= priority)
        return self._mean_service_s * ahead / max(1, self._concurrency_limit)

    def _can_admit(self, customer: str, priority: Priority) -> bool:
        if self._running >= self._concurrency_limit:
            return False
        if priority is Priority.INTERACTIVE:
            return True
        unreserved = self._concurrency_limit * (1 - INTERACTIVE_RESERVE_SHARE)
        if self._running >= max(1.0, unreserved):
            return False
        running_of_customer = self._running_by_customer.get(customer, 0)
        if running_of_customer >= max(
            1.0, self._concurrency_limit * CUSTOMER_LIMIT_SHARE
        ):
            return False
        batch_limit = max(1.0, self._concurrency_limit * BATCH_LIMIT_SHARE)
        return priority is not Priority.BATCH or self._running_batch < batch_limit

    def _admit(self, customer: str, priority: Priority) -> None:
        self._running += 1
        self._running_batch += priority is Priority.BATCH
        self._running_by_customer[customer] = (
            self._running_by_customer.get(customer, 0) + 1
        )

    def _release(self, customer: str, priority: Priority) -> None:
        self._running -= 1
        self._running_batch -= priority is Priority.BATCH
        running_of_customer = self._running_by_customer[customer] - 1
        if running_of_customer:
            self._running_by_customer[customer] = running_of_customer
        else:
            del self._running_by_customer[customer]
        self._admit_waiting()

    def _admit_waiting(self) -> None:
        blocked = []
        while self._waiting and self._running < self._concurrency_limit:
            entry = heapq.heappop(self._waiting)
            waiter = entry[3]
            if waiter.left_queue:
                continue
            if not self._can_admit(waiter.customer, waiter.priority):
                blocked.append(entry)
                continue
            waiter.admitted = True
            self._admit(waiter.customer, waiter.priority)
            waiter.event.set()
        for entry in blocked:
            heapq.heappush(self._waiting, entry)
