"""Load of the data path: many streams, timed token by token."""

from __future__ import annotations

import asyncio
import json
import sys
import time

import uvloop

REQUEST = (
    "POST /v1/chat/completions HTTP/1.1\r\nhost: bench\r\n"
    "authorization: Bearer bench\r\nlentilshore-deadline-ms: 600000\r\n"
    "content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
)


PACED_STREAMS = 50
PACED_INTERVAL_S = 0.05
RAMP_INTERVAL_S = 0.01


class StreamProtocol(asyncio.Protocol):
    """One caller that asks for streams one after another."""

    def __init__(self, tokens: int, until: float, results: Results) -> None:
        self._until = until
        self._results = results
        body = json.dumps(
            {
                "model": "m",
                "messages": [{"role": "user", "content": "bench"}],
                "max_tokens": tokens,
                "stream": True,
            }
        )
        self._request = REQUEST.format(length=len(body), body=body).encode()
        self._transport: asyncio.Transport | None = None
        self._tail = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        self._transport = transport  # type: ignore[assignment]
        self._ask()

    def connection_lost(self, error: Exception | None) -> None:
        """Count a connection that was lost."""
        if time.perf_counter() < self._until:
            self._results.broken += 1

    def data_received(self, data: bytes) -> None:
        """Time the tokens."""
        now = time.perf_counter()
        results = self._results
        text = self._tail + data
        count = text.count(b"\nid: ")
        self._tail = text[-4:] if not text.endswith(b"\nid: ") else b""
        if count and self._last is None:
            results.first.append(now - self._asked)
            self._last = now
        elif count and self._last is not None:
            if now > results.counted_from:
                results.gaps.append(now - self._last)
            self._last = now
        if now > results.counted_from:
            results.tokens += count
        if b"data: [DONE]" in text or b"event: error" in text:
            results.errors += b"event: error" in text
            self._tail = b""
            self._ask()

    def _ask(self) -> None:
        if time.perf_counter() > self._until or self._transport is None:
            return
        self._last: float | None = None
        self._asked = time.perf_counter()
        self._transport.write(self._request)


class Results:
    """What the load saw."""

    def __init__(self, counted_from: float) -> None:
        self.counted_from = counted_from
        self.first: list[float] = []
        self.gaps: list[float] = []
        self.tokens = 0
        self.errors = 0
        self.broken = 0


async def _main(port: int, streams: int, tokens: int, seconds: float) -> None:
    loop = asyncio.get_running_loop()
    begin = time.perf_counter()
    warm_s = 1.5 + streams * (
        PACED_INTERVAL_S if streams <= PACED_STREAMS else RAMP_INTERVAL_S / 4
    )
    results = Results(begin + warm_s)
    until = begin + warm_s + seconds
    for number in range(streams):
        await loop.create_connection(
            lambda: StreamProtocol(tokens, until, results), "127.0.0.1", port
        )
        if streams <= PACED_STREAMS:
            await asyncio.sleep(PACED_INTERVAL_S)
        elif number % 4 == 0:
            await asyncio.sleep(RAMP_INTERVAL_S)
    await asyncio.sleep(max(0.0, until - time.perf_counter()))
    gaps, first = sorted(results.gaps), sorted(results.first)
    counted_s = time.perf_counter() - max(results.counted_from, begin)
    figures = {
        "tokens_per_s": results.tokens / counted_s,
        "gap_ms_p50": _quantile(gaps, 0.5) * 1000,
        "gap_ms_p95": _quantile(gaps, 0.95) * 1000,
        "first_ms_p50": _quantile(first, 0.5) * 1000,
        "first_ms_p99": _quantile(first, 0.99) * 1000,
        "elapsed_s": time.perf_counter() - begin,
        "streams": len(first),
        "errors": results.errors + results.broken,
    }
    print(json.dumps(figures), flush=True)


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


if __name__ == "__main__":
    uvloop.run(
        _main(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]))
    )
