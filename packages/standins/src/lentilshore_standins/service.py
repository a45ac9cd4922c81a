"""Stand-in for a plain service that counts how often each request ran."""

from __future__ import annotations

from collections import Counter

from lentilshore_kernel.clock import Clock

from .asgi import ConnectionBreak, HttpRequest, ResponseSender
from .faults import Fault, FaultKind, FaultPlan


class ServiceStandIn:
    """Simulates a plain service in one process.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.faults = FaultPlan()
        self.run_counts: Counter[str] = Counter()

    async def handle(self, request: HttpRequest, response: ResponseSender) -> None:
        """Handle an HTTP request."""
        if request.path == "/counts":
            await response.send_json(dict(self.run_counts))
            return
        if request.path == "/faults":
            body = request.json()
            count = body.pop("count", 1)
            self.faults.add(Fault(**body | {"kind": FaultKind(body["kind"])}), count)
            await response.send_json({})
            return
        await self._run_operation(request, response)

    async def _run_operation(
        self, request: HttpRequest, response: ResponseSender
    ) -> None:
        request_id = request.headers.get("x-request-id", "")
        fault = self.faults.take_match("call", request.path)
        kind = fault.kind if fault else None
        if kind is FaultKind.REFUSE:
            await response.send_json({"error": "unavailable"}, 503)
            return
        if kind is FaultKind.BREAK:
            raise ConnectionBreak
        self.run_counts[request.headers.get("idempotency-key") or request_id] += 1
        if fault is not None and kind is FaultKind.STALL:
            await self._clock.sleep(fault.seconds)
        if kind is FaultKind.LOSE_ANSWER:
            raise ConnectionBreak
        if kind is FaultKind.MISMATCH:
            request_id = "another"
        answer = {"path": request.path, "bytes": len(request.body)}
        await response.send_json(answer, headers={"x-request-id": request_id})
