"""Stand-in of a plain service that counts how often each call ran."""

from __future__ import annotations

from collections import Counter

from lentilshore_kernel.clock import Clock

from .asgi import ConnectionBreak, HttpCall, Reply
from .faults import Fault, FaultKind, FaultPlan


class ServiceStandIn:
    """A plain service in one process.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.faults = FaultPlan()
        self.run_counts: Counter[str] = Counter()

    async def handle(self, call: HttpCall, reply: Reply) -> None:
        """Answer a call over HTTP."""
        if call.path == "/counts":
            await reply.json(dict(self.run_counts))
            return
        if call.path == "/faults":
            body = call.json()
            count = body.pop("count", 1)
            self.faults.add(Fault(**body | {"kind": FaultKind(body["kind"])}), count)
            await reply.json({})
            return
        await self._run(call, reply)

    async def _run(self, call: HttpCall, reply: Reply) -> None:
        request = call.headers.get("x-request-id", "")
        fault = self.faults.strike("call", call.path)
        kind = fault.kind if fault else None
        if kind is FaultKind.REFUSE:
            await reply.json({"error": "unavailable"}, 503)
            return
        if kind is FaultKind.BREAK:
            raise ConnectionBreak
        self.run_counts[call.headers.get("idempotency-key") or request] += 1
        if fault is not None and kind is FaultKind.STALL:
            await self._clock.sleep(fault.seconds)
        if kind is FaultKind.LOSE_ANSWER:
            raise ConnectionBreak
        if kind is FaultKind.MISMATCH:
            request = "another"
        answer = {"path": call.path, "bytes": len(call.body)}
        await reply.json(answer, headers={"x-request-id": request})
