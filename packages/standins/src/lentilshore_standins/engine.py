"""Stand-in of a model engine: batches, prefix cache, late events, orders."""

from __future__ import annotations

import hashlib
from collections import Counter, OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec

from lentilshore_kernel.clock import Clock

from .asgi import ConnectionBreak, HttpCall, Reply
from .faults import Fault, FaultKind, FaultPlan

CHARACTERS_PER_TOKEN = 4
PREFIXES_HELD = 32
EVENTS_HELD = 256
EVENT_GAP = 10
CONFIDENCE_NOISE = 0.15

WORDS = ("the", "ship", "scheme", "lies", "north", "of", "rule", "seven", "and", "so")


class EngineOptions(NamedTuple):
    """How a stand-in engine behaves.

    :param versions: versions that it serves, with the skill of each, 0 to 1.
    :param token_interval_s: time between tokens, seconds.
    :param first_token_s: time to the first token, seconds.
    :param answer_tokens: longest answer, tokens.
    :param load_lag_s: age of load reports, seconds.
    :param honours_fencing: whether orders with an old number are refused.
    :param checks_caller: key that orders must carry, empty for none.
    """

    versions: dict[str, float]
    token_interval_s: float = 0.001
    first_token_s: float = 0.002
    answer_tokens: int = 32
    load_lag_s: float = 1.0
    honours_fencing: bool = True
    checks_caller: str = ""


Rate = Callable[[str, bool], Awaitable[None]]


class EngineStandIn:
    """A model engine in one process.

    :param clock: source of time.
    :param options: how it behaves.
    :param rate: tells the rating service whether an answer was good.
    """

    def __init__(
        self, clock: Clock, options: EngineOptions, rate: Rate | None = None
    ) -> None:
        self._clock = clock
        self._options = options
        self._rate = rate
        self._running: dict[str, int] = {}
        self._cancelled: set[str] = set()
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: list[dict[str, Any]] = []
        self._event_sequence = 0
        self._reports: list[tuple[float, float]] = [(clock.monotonic(), 0.0)]
        self._fencing = 0
        self.faults = FaultPlan()
        self.run_counts: Counter[str] = Counter()
        self.tokens_in = 0
        self.tokens_out = 0
        self.cancelled: Counter[str] = Counter()
        self.orders: list[dict[str, Any]] = []

    @property
    def running(self) -> list[str]:
        """Requests being run, sorted."""
        return sorted(self._running)

    async def handle(self, call: HttpCall, reply: Reply) -> None:
        """Answer a call over HTTP."""
        if call.path == "/v1/chat/completions":
            await self._complete(call.json(), reply)
        elif call.path == "/v1/cancel":
            request = call.json()["request_id"]
            self.cancelled[request] += 1
            self._cancelled.add(request)
            await reply.json({})
        elif call.path == "/v1/load":
            await reply.json(self.load())
        elif call.path == "/v1/cache-events":
            await reply.json(self.cache_events(int(call.query["after"])))
        elif call.path == "/v1/orders":
            status, body = self.order(
                call.json(), call.headers.get("authorization", "")
            )
            await reply.json(body, status)
        elif call.path == "/v1/kv/export":
            await reply.json({"prefixes": list(self._prefixes)})
        elif call.path == "/v1/kv/import":
            for prefix in call.json()["prefixes"]:
                self._hold_prefix(prefix)
            await reply.json({})
        elif call.path == "/counts":
            counts = {"in": self.tokens_in, "out": self.tokens_out}
            await reply.json(counts | {"ran": dict(self.run_counts)})
        elif call.path == "/faults":
            body = call.json()
            count = body.pop("count", 1)
            self.faults.add(Fault(**body | {"kind": FaultKind(body["kind"])}), count)
            await reply.json({})
        else:
            await reply.empty(404)

    def load(self) -> dict[str, float]:
        """Return a load report as old as the lag."""
        now = self._clock.monotonic()
        due = [r for r in self._reports if r[0] <= now - self._options.load_lag_s]
        at, work = due[-1] if due else self._reports[0]
        return {"work_tokens": work, "age_s": now - at}

    def cache_events(self, after: int) -> list[dict[str, Any]]:
        """Return cache events after a number; every tenth is missing."""
        return [
            event
            for event in self._events
            if event["sequence"] > after and event["sequence"] % EVENT_GAP
        ]

    def order(self, order: dict[str, Any], caller: str) -> tuple[int, dict[str, Any]]:
        """Carry out an order.

        :param order: ``action``, ``version`` and ``fencing``.
        :param caller: authorization header.
        :returns: status and the engine's state.
        """
        if self._options.checks_caller and caller != self._options.checks_caller:
            return 403, {"error": "caller"}
        if self._options.honours_fencing and order["fencing"] < self._fencing:
            return 409, {"error": "fencing", "fencing": self._fencing}
        self._fencing = max(self._fencing, order["fencing"])
        self.orders.append(order)
        if order["action"] == "load":
            self._options.versions.setdefault(order["version"], 0.5)
        elif order["action"] == "unload":
            self._options.versions.pop(order["version"], None)
        return 200, {"versions": sorted(self._options.versions)}

    async def _complete(self, body: dict[str, Any], reply: Reply) -> None:
        request, version = body["request_id"], body["model"]
        fault = self.faults.strike("complete", request)
        if fault is not None and fault.kind is FaultKind.REFUSE:
            await reply.json({"error": "overloaded"}, 503)
            return
        if fault is not None and fault.kind is FaultKind.BREAK and not fault.seconds:
            raise ConnectionBreak
        if version not in self._options.versions:
            await reply.json({"error": "version not loaded"}, 404)
            return
        self.run_counts[request] += 1
        tokens = self._tokens(body)
        self._running[request] = len(tokens)
        self._note_load()
        try:
            await self._prefill(body)
            if body.get("stream"):
                await self._stream(body, tokens, fault, reply)
            else:
                await self._answer(body, tokens, fault, reply)
        finally:
            self._running.pop(request, None)
            self._note_load()

    async def _prefill(self, body: dict[str, Any]) -> None:
        prefix = hashlib.blake2b(
            "".join(m["content"] for m in body["messages"][:-1]).encode(), digest_size=8
        ).hexdigest()
        self._hold_prefix(prefix)
        self.tokens_in += _prompt_tokens(body)
        await self._clock.sleep(self._options.first_token_s)

    async def _answer(
        self, body: dict[str, Any], tokens: list[str], fault: Fault | None, reply: Reply
    ) -> None:
        for _ in tokens:
            if body["request_id"] in self._cancelled:
                raise ConnectionBreak
            await self._clock.sleep(self._options.token_interval_s)
            self.tokens_out += 1
        await self._rate_answer(body)
        answer = self._end(body, len(tokens))
        answer["choices"] = [{"message": {"content": " ".join(tokens)}}]
        kind = fault.kind if fault else None
        if kind is FaultKind.BREAK:
            raise ConnectionBreak
        if kind is FaultKind.STALL:
            await self._clock.sleep(fault.seconds if fault else 0)
        if kind is FaultKind.MISMATCH:
            answer["request_id"] = "another"
        if kind is FaultKind.GARBLE:
            await reply.start(200, {"content-type": "application/json"})
            await reply.body(b'{"choices": [')
            return
        await reply.json(answer)

    async def _stream(
        self, body: dict[str, Any], tokens: list[str], fault: Fault | None, reply: Reply
    ) -> None:
        await reply.start(200, {"content-type": "text/event-stream"})
        kind = fault.kind if fault else None
        half = len(tokens) // 2
        for offset in range(body.get("offset", 0), len(tokens)):
            if body["request_id"] in self._cancelled:
                raise ConnectionBreak
            if offset == half and kind is FaultKind.BREAK:
                raise ConnectionBreak
            if offset == half and kind is FaultKind.TRUNCATE:
                await reply.body(b"")
                return
            if offset == half and kind is FaultKind.STALL and fault:
                await self._clock.sleep(fault.seconds)
            event = _token_event(body, offset, tokens[offset])
            if kind is FaultKind.GARBLE and offset == half:
                event = b"data: \xff\n\n"
            if kind is FaultKind.REORDER and offset == half:
                event = b""
            await reply.body(event, True)
            if kind is FaultKind.DUPLICATE:
                await reply.body(event, True)
            self.tokens_out += 1
            await self._clock.sleep(self._options.token_interval_s)
        await self._rate_answer(body)
        end = self._end(body, len(tokens))
        if kind is FaultKind.MISMATCH:
            end["request_id"] = "another"
        encoded = msgspec.json.encode(end)
        await reply.body(b"event: end\ndata: " + encoded + b"\n\n", True)
        await reply.body(b"data: [DONE]\n\n")

    def _end(self, body: dict[str, Any], count: int) -> dict[str, Any]:
        return {
            "id": body["request_id"],
            "request_id": body["request_id"],
            "model": body["model"],
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            "usage": {
                "prompt_tokens": _prompt_tokens(body),
                "completion_tokens": count,
            },
            "confidence": self._confidence(body),
        }

    def _tokens(self, body: dict[str, Any]) -> list[str]:
        count = min(body.get("max_tokens", 512), self._options.answer_tokens)
        start = int(_uniform(body, "words") * len(WORDS))
        return [WORDS[(start + index) % len(WORDS)] for index in range(count)]

    def _confidence(self, body: dict[str, Any]) -> float:
        margin = self._options.versions[body["model"]] - _uniform(body, "difficulty")
        noise = (_uniform(body, body["model"]) - 0.5) * CONFIDENCE_NOISE
        return min(1.0, max(0.0, 0.5 + margin + noise))

    async def _rate_answer(self, body: dict[str, Any]) -> None:
        if self._rate is None:
            return
        skill = self._options.versions[body["model"]]
        good = skill >= _uniform(body, "difficulty")
        await self._rate(body["request_id"], good)

    def _hold_prefix(self, prefix: str) -> None:
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        self._publish(prefix, True)
        if len(self._prefixes) > PREFIXES_HELD:
            dropped, _ = self._prefixes.popitem(last=False)
            self._publish(dropped, False)

    def _publish(self, prefix: str, held: bool) -> None:
        self._event_sequence += 1
        self._events.append(
            {"sequence": self._event_sequence, "prefix": prefix, "held": held}
        )
        del self._events[:-EVENTS_HELD]

    def _note_load(self) -> None:
        self._reports.append(
            (self._clock.monotonic(), float(sum(self._running.values())))
        )
        del self._reports[:-EVENTS_HELD]


def _token_event(body: dict[str, Any], offset: int, token: str) -> bytes:
    choice = {"index": 0, "delta": {"content": token + " "}}
    data = msgspec.json.encode({"id": body["request_id"], "choices": [choice]})
    return b"id: %d\ndata: %b\n\n" % (offset, data)


def _prompt_tokens(body: dict[str, Any]) -> int:
    characters = sum(len(message["content"]) for message in body["messages"])
    return 1 + characters // CHARACTERS_PER_TOKEN


def _uniform(body: dict[str, Any], purpose: str) -> float:
    text = purpose + "".join(message["content"] for message in body["messages"])
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64
