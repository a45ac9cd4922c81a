"""Clients that keep their connections, and record how each request ends."""

from __future__ import annotations

import asyncio
import itertools
import random

from standins.gateway import Gateway
from standins.record import Record
from standins.wire import encode, read_message

HOST = "users.example"
KEY = "key-one"
GRACE_S = 1.0


class Clients:
    """Clients of several gateways.

    :param record: receives what is sent and answered.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._random = random.Random(7)
        self._numbers = itertools.count(1)
        # By id: gateway and time of sending; status, headers and time of the answer.
        self.sent = {}
        self.answers = {}

    async def run(
        self,
        gateway: Gateway,
        per_s: float,
        until: float,
        method: str = "GET",
        path: str = "/lookup/1",
        clump: int = 1,
        deadline_ms: int = 1500,
    ) -> None:
        """Send requests to one gateway until a time of the record.

        :param per_s: mean rate.
        :param clump: number of requests that come together; the clumps come at random.
        """
        tasks = set()
        while self._record.now < until:
            for _ in range(clump):
                task = asyncio.create_task(
                    self.send_one(gateway, method, path, deadline_ms=deadline_ms)
                )
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            pause_s = clump / per_s
            await asyncio.sleep(
                self._random.expovariate(1 / pause_s) if clump > 1 else pause_s
            )
        if tasks:
            await asyncio.wait(tasks)

    async def send_one(
        self,
        gateway: Gateway,
        method: str,
        path: str,
        key: str = KEY,
        deadline_ms: int = 1500,
    ) -> int | None:
        """Send a request on a connection of its own."""
        name = f"r-{next(self._numbers)}"
        fields = {
            "Host": HOST,
            "X-Attempt-Id": name,
            "X-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {key}",
        }
        about = {"id": name, "gateway": gateway.name}
        status, answer = None, None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + GRACE_S):
                reader, writer = await asyncio.open_connection(
                    gateway.host, gateway.port
                )
                try:
                    writer.write(encode(f"{method} {path} HTTP/1.1", fields))
                    at = self._record.write("sent", path=path, key=key, **about)
                    self.sent[name] = gateway.name, at
                    answer = await read_message(reader)
                finally:
                    writer.close()
        except (EOFError, OSError, TimeoutError) as error:
            about["error"] = type(error).__name__
        leaving = False
        body = ""
        if answer is not None:
            status = answer.status if answer.complete else None
            leaving = "server-leaving" in answer.fields
            body = answer.body[:80].decode("latin-1")
        at = self._record.write(
            "answered", status=status, leaving=leaving, body=body, **about
        )
        self.answers[name] = status, leaving, at, body
        return status
