"""Stand-in for a model engine.

Simulates completions, a prefix cache with cache events, delayed load reports and
orders to load and unload versions.
"""

from __future__ import annotations

import hashlib
from collections import Counter, OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec

from lentilshore_kernel.clock import Clock

from .asgi import ConnectionBreak, HttpRequest, ResponseSender
from .faults import Fault, FaultKind, FaultPlan

CHARACTERS_PER_TOKEN = 4
MAX_CACHED_PREFIXES = 32
# Cache events and load reports that are kept, each.
MAX_HISTORY_ENTRIES = 256
# Every tenth cache event is left out of the answers.
MISSING_EVENT_INTERVAL = 10
CONFIDENCE_NOISE_WIDTH = 0.15

WORDS = ("the", "ship", "scheme", "lies", "north", "of", "rule", "seven", "and", "so")


class EngineOptions(NamedTuple):
    """Options of a stand-in engine.

    :param versions: versions that it serves, with the skill of each, 0 to 1: an
        answer is good if the skill is at least the difficulty of the prompt.
    :param token_interval_s: time between tokens in seconds.
    :param first_token_s: time to the first token in seconds.
    :param answer_tokens: maximum length of an answer in tokens.
    :param load_lag_s: minimum age of the load reports that it returns, in seconds.
    :param honours_fencing: whether it refuses orders with a fencing number lower
        than one that it has accepted.
    :param required_authorization: value that the authorization header of orders must
        have; empty to accept any.
    """

    versions: dict[str, float]
    token_interval_s: float = 0.001
    first_token_s: float = 0.002
    answer_tokens: int = 32
    load_lag_s: float = 1.0
    honours_fencing: bool = True
    required_authorization: str = ""


RatingSender = Callable[[str, bool], Awaitable[None]]


class EngineStandIn:
    """Simulates a model engine in one process.

    :param clock: source of time.
    :param options: how the engine behaves.
    :param send_rating: reports to the rating service whether an answer was good;
        None to send no ratings.
    """

    def __init__(
        self,
        clock: Clock,
        options: EngineOptions,
        send_rating: RatingSender | None = None,
    ) -> None:
        self._clock = clock
        self._options = options
        self._send_rating = send_rating
        # Number of tokens of each answer in progress, by request.
        self._running: dict[str, int] = {}
        # Skill of the version that each running request runs on.
        self._running_skills: dict[str, float] = {}
        self._cancelled_requests: set[str] = set()
        self._cached_prefixes: OrderedDict[str, None] = OrderedDict()
        self._cache_events: list[dict[str, Any]] = []
        self._last_event_sequence = 0
        # Time of each report and the tokens of the answers then in progress.
        self._load_reports: list[tuple[float, float]] = [(clock.monotonic(), 0.0)]
        self._highest_fencing = 0
        self.faults = FaultPlan()
        self.run_counts: Counter[str] = Counter()
        self.tokens_in = 0
        self.tokens_out = 0
        self.cancel_counts: Counter[str] = Counter()
        self.orders: list[dict[str, Any]] = []

    @property
    def running(self) -> list[str]:
        """Identifiers of the requests in progress, sorted."""
        return sorted(self._running)

    async def handle(self, request: HttpRequest, response: ResponseSender) -> None:
        """Handle an HTTP request."""
        if request.path == "/v1/chat/completions":
            await self._handle_completion(request.json(), response)
        elif request.path == "/v1/cancel":
            request_id = request.json()["request_id"]
            self.cancel_counts[request_id] += 1
            self._cancelled_requests.add(request_id)
            await response.send_json({})
        elif request.path == "/v1/load":
            await response.send_json(self.load_report())
        elif request.path == "/v1/cache-events":
            await response.send_json(self.cache_events(int(request.query["after"])))
        elif request.path == "/v1/orders":
            status, body = self.apply_order(
                request.json(), request.headers.get("authorization", "")
            )
            await response.send_json(body, status)
        elif request.path == "/v1/kv/export":
            await response.send_json({"prefixes": list(self._cached_prefixes)})
        elif request.path == "/v1/kv/import":
            for prefix in request.json()["prefixes"]:
                self._cache_prefix(prefix)
            await response.send_json({})
        elif request.path == "/counts":
            counts = {"in": self.tokens_in, "out": self.tokens_out}
            await response.send_json(counts | {"ran": dict(self.run_counts)})
        elif request.path == "/faults":
            body = request.json()
            count = body.pop("count", 1)
            self.faults.add(Fault(**body | {"kind": FaultKind(body["kind"])}), count)
            await response.send_json({})
        else:
            await response.send_empty(404)

    def load_report(self) -> dict[str, float]:
        """Return the latest load report that is at least ``load_lag_s`` old.

        If there is none yet, returns the oldest report.
        """
        now = self._clock.monotonic()
        visible = [
            report
            for report in self._load_reports
            if report[0] <= now - self._options.load_lag_s
        ]
        reported_at, work_tokens = visible[-1] if visible else self._load_reports[0]
        return {"work_tokens": work_tokens, "age_s": now - reported_at}

    def cache_events(self, after: int) -> list[dict[str, Any]]:
        """Return the cache events after a sequence number, without every tenth one."""
        return [
            event
            for event in self._cache_events
            if event["sequence"] > after and event["sequence"] % MISSING_EVENT_INTERVAL
        ]

    def apply_order(
        self, order: dict[str, Any], authorization: str
    ) -> tuple[int, dict[str, Any]]:
        """Apply an order to load or unload a version.

        A version that is newly loaded gets a skill of 0.5.

        :param order: ``action``, ``version`` and ``fencing``.
        :param authorization: value of the authorization header.
        :returns: HTTP status and body; on success the versions that are loaded.
        """
        if (
            self._options.required_authorization
            and authorization != self._options.required_authorization
        ):
            return 403, {"error": "caller"}
        if self._options.honours_fencing and order["fencing"] < self._highest_fencing:
            return 409, {"error": "fencing", "fencing": self._highest_fencing}
        self._highest_fencing = max(self._highest_fencing, order["fencing"])
        self.orders.append(order)
        if order["action"] == "load":
            self._options.versions.setdefault(order["version"], 0.5)
        elif order["action"] == "unload":
            self._options.versions.pop(order["version"], None)
        return 200, {"versions": sorted(self._options.versions)}

    async def _handle_completion(
        self, body: dict[str, Any], response: ResponseSender
    ) -> None:
        request_id, version = body["request_id"], body["model"]
        fault = self.faults.take_match("complete", request_id)
        if fault is not None and fault.kind is FaultKind.REFUSE:
            await response.send_json({"error": "overloaded"}, 503)
            return
        # A break without a duration happens here, before the request runs; with one,
        # it happens during or after the generation of the answer.
        if fault is not None and fault.kind is FaultKind.BREAK and not fault.seconds:
            raise ConnectionBreak
        if version not in self._options.versions:
            await response.send_json({"error": "version not loaded"}, 404)
            return
        self.run_counts[request_id] += 1
        tokens = self._generate_tokens(body)
        self._running[request_id] = len(tokens)
        # A version may be unloaded while its requests run.
        self._running_skills[request_id] = self._options.versions[version]
        self._record_load()
        try:
            await self._prefill(body)
            if body.get("stream"):
                await self._stream_answer(body, tokens, fault, response)
            else:
                await self._send_answer(body, tokens, fault, response)
        finally:
            self._running.pop(request_id, None)
            self._running_skills.pop(request_id, None)
            self._record_load()

    async def _prefill(self, body: dict[str, Any]) -> None:
        prefix = hashlib.blake2b(
            "".join(m["content"] for m in body["messages"][:-1]).encode(), digest_size=8
        ).hexdigest()
        self._cache_prefix(prefix)
        self.tokens_in += _count_prompt_tokens(body)
        await self._clock.sleep(self._options.first_token_s)

    async def _send_answer(
        self,
        body: dict[str, Any],
        tokens: list[str],
        fault: Fault | None,
        response: ResponseSender,
    ) -> None:
        for _ in tokens:
            if body["request_id"] in self._cancelled_requests:
                raise ConnectionBreak
            await self._clock.sleep(self._options.token_interval_s)
            self.tokens_out += 1
        await self._rate_answer(body)
        answer = self._completion_object(body, len(tokens))
        answer["choices"] = [{"message": {"content": " ".join(tokens)}}]
        kind = fault.kind if fault else None
        if kind is FaultKind.BREAK:
            raise ConnectionBreak
        if kind is FaultKind.STALL:
            await self._clock.sleep(fault.seconds if fault else 0)
        if kind is FaultKind.MISMATCH:
            answer["request_id"] = "another"
        if kind is FaultKind.GARBLE:
            await response.send_start(200, {"content-type": "application/json"})
            await response.send_body(b'{"choices": [')
            return
        await response.send_json(answer)

    async def _stream_answer(
        self,
        body: dict[str, Any],
        tokens: list[str],
        fault: Fault | None,
        response: ResponseSender,
    ) -> None:
        await response.send_start(200, {"content-type": "text/event-stream"})
        kind = fault.kind if fault else None
        fault_offset = len(tokens) // 2
        for offset in range(body.get("offset", 0), len(tokens)):
            if body["request_id"] in self._cancelled_requests:
                raise ConnectionBreak
            if offset == fault_offset and kind is FaultKind.BREAK:
                raise ConnectionBreak
            if offset == fault_offset and kind is FaultKind.TRUNCATE:
                await response.send_body(b"")
                return
            if offset == fault_offset and kind is FaultKind.STALL and fault:
                await self._clock.sleep(fault.seconds)
            event = _token_event(body, offset, tokens[offset])
            if kind is FaultKind.GARBLE and offset == fault_offset:
                event = b"data: \xff\n\n"
            if kind is FaultKind.REORDER and offset == fault_offset:
                event = b""
            await response.send_body(event, True)
            if kind is FaultKind.DUPLICATE:
                await response.send_body(event, True)
            self.tokens_out += 1
            await self._clock.sleep(self._options.token_interval_s)
        await self._rate_answer(body)
        end = self._completion_object(body, len(tokens))
        if kind is FaultKind.MISMATCH:
            end["request_id"] = "another"
        encoded = msgspec.json.encode(end)
        await response.send_body(b"event: end\ndata: " + encoded + b"\n\n", True)
        await response.send_body(b"data: [DONE]\n\n")

    def _completion_object(
        self, body: dict[str, Any], token_count: int
    ) -> dict[str, Any]:
        return {
            "id": body["request_id"],
            "request_id": body["request_id"],
            "model": body["model"],
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            "usage": {
                "prompt_tokens": _count_prompt_tokens(body),
                "completion_tokens": token_count,
            },
            "confidence": self._confidence(body),
        }

    def _generate_tokens(self, body: dict[str, Any]) -> list[str]:
        count = min(body.get("max_tokens", 512), self._options.answer_tokens)
        start = int(_uniform_hash(body, "words") * len(WORDS))
        return [WORDS[(start + index) % len(WORDS)] for index in range(count)]

    def _confidence(self, body: dict[str, Any]) -> float:
        skill = self._running_skills[body["request_id"]]
        margin = skill - _uniform_hash(body, "difficulty")
        noise = (_uniform_hash(body, body["model"]) - 0.5) * CONFIDENCE_NOISE_WIDTH
        return min(1.0, max(0.0, 0.5 + margin + noise))

    async def _rate_answer(self, body: dict[str, Any]) -> None:
        if self._send_rating is None:
            return
        skill = self._running_skills[body["request_id"]]
        good = skill >= _uniform_hash(body, "difficulty")
        await self._send_rating(body["request_id"], good)

    def _cache_prefix(self, prefix: str) -> None:
        self._cached_prefixes[prefix] = None
        self._cached_prefixes.move_to_end(prefix)
        self._record_cache_event(prefix, True)
        if len(self._cached_prefixes) > MAX_CACHED_PREFIXES:
            evicted, _ = self._cached_prefixes.popitem(last=False)
            self._record_cache_event(evicted, False)

    def _record_cache_event(self, prefix: str, held: bool) -> None:
        self._last_event_sequence += 1
        self._cache_events.append(
            {"sequence": self._last_event_sequence, "prefix": prefix, "held": held}
        )
        del self._cache_events[:-MAX_HISTORY_ENTRIES]

    def _record_load(self) -> None:
        self._load_reports.append(
            (self._clock.monotonic(), float(sum(self._running.values())))
        )
        del self._load_reports[:-MAX_HISTORY_ENTRIES]


def _token_event(body: dict[str, Any], offset: int, token: str) -> bytes:
    choice = {"index": 0, "delta": {"content": token + " "}}
    data = msgspec.json.encode({"id": body["request_id"], "choices": [choice]})
    return b"id: %d\ndata: %b\n\n" % (offset, data)


def _count_prompt_tokens(body: dict[str, Any]) -> int:
    characters = sum(len(message["content"]) for message in body["messages"])
    return 1 + characters // CHARACTERS_PER_TOKEN


def _uniform_hash(body: dict[str, Any], purpose: str) -> float:
    """Return a number from 0 to 1 that depends only on the purpose and the prompt."""
    text = purpose + "".join(message["content"] for message in body["messages"])
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64
