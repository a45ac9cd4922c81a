"""Load generator of the data path: concurrent streams, timed token by token.

Run as ``python -m bench.load PORT STREAMS TOKENS SECONDS``; prints its figures as
JSON.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time

import uvloop

REQUEST_TEMPLATE = (
    "POST /v1/chat/completions HTTP/1.1\r\nhost: bench\r\n"
    "authorization: Bearer bench\r\nlentilshore-deadline-ms: 600000\r\n"
    "content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
)

# Up to this many streams are started one by one, more in batches of four.
PACED_MAX_STREAMS = 50
PACED_START_INTERVAL_S = 0.05
RAMP_BATCH_INTERVAL_S = 0.01


class StreamingClientProtocol(asyncio.Protocol):
    """Requests streams one after another over one connection.

    :param max_tokens: tokens requested per stream.
    :param end_at: no request is sent after this time of ``time.perf_counter``.
    :param results: where the measurements are recorded.
    """

    def __init__(self, max_tokens: int, end_at: float, results: LoadResults) -> None:
        self._end_at = end_at
        self._results = results
        body = json.dumps(
            {
                "model": "m",
                "messages": [{"role": "user", "content": "bench"}],
                "max_tokens": max_tokens,
                "stream": True,
            }
        )
        self._request = REQUEST_TEMPLATE.format(length=len(body), body=body).encode()
        self._transport: asyncio.Transport | None = None
        self._tail = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        self._transport = transport  # type: ignore[assignment]
        self._send_request()

    def connection_lost(self, error: Exception | None) -> None:
        """Count a connection that was lost before the end of the run."""
        if time.perf_counter() < self._end_at:
            self._results.lost_connections += 1

    def data_received(self, data: bytes) -> None:
        """Count and time the tokens received; start the next stream after the last.

        The last bytes are kept, because the ``id`` field of a token may span two reads.
        """
        now = time.perf_counter()
        results = self._results
        received = self._tail + data
        count = received.count(b"\nid: ")
        self._tail = received[-4:] if not received.endswith(b"\nid: ") else b""
        if count and self._last_token_at is None:
            results.first_token_latencies_s.append(now - self._sent_at)
            self._last_token_at = now
        elif count and self._last_token_at is not None:
            if now > results.measure_from:
                results.token_gaps_s.append(now - self._last_token_at)
            self._last_token_at = now
        if now > results.measure_from:
            results.tokens += count
        if b"data: [DONE]" in received or b"event: error" in received:
            results.errors += b"event: error" in received
            self._tail = b""
            self._send_request()

    def _send_request(self) -> None:
        if time.perf_counter() > self._end_at or self._transport is None:
            return
        self._last_token_at: float | None = None
        self._sent_at = time.perf_counter()
        self._transport.write(self._request)


class LoadResults:
    """Measurements of all streams.

    First-token latencies cover the whole run; gaps and tokens are counted from
    ``measure_from`` on.

    :param measure_from: time of ``time.perf_counter`` at which the warm-up ends.
    """

    def __init__(self, measure_from: float) -> None:
        self.measure_from = measure_from
        self.first_token_latencies_s: list[float] = []
        self.token_gaps_s: list[float] = []
        self.tokens = 0
        self.errors = 0
        self.lost_connections = 0


async def _main(port: int, streams: int, max_tokens: int, seconds: float) -> None:
    loop = asyncio.get_running_loop()
    started_at = time.perf_counter()
    warm_up_s = 1.5 + streams * (
        PACED_START_INTERVAL_S
        if streams <= PACED_MAX_STREAMS
        else RAMP_BATCH_INTERVAL_S / 4
    )
    results = LoadResults(started_at + warm_up_s)
    end_at = started_at + warm_up_s + seconds
    for index in range(streams):
        await loop.create_connection(
            lambda: StreamingClientProtocol(max_tokens, end_at, results),
            "127.0.0.1",
            port,
        )
        if streams <= PACED_MAX_STREAMS:
            await asyncio.sleep(PACED_START_INTERVAL_S)
        elif index % 4 == 0:
            await asyncio.sleep(RAMP_BATCH_INTERVAL_S)
    await asyncio.sleep(max(0.0, end_at - time.perf_counter()))
    token_gaps_s, first_token_latencies_s = (
        sorted(results.token_gaps_s),
        sorted(results.first_token_latencies_s),
    )
    measured_s = time.perf_counter() - max(results.measure_from, started_at)
    figures = {
        "tokens_per_s": results.tokens / measured_s,
        "gap_ms_p50": _quantile(token_gaps_s, 0.5) * 1000,
        "gap_ms_p95": _quantile(token_gaps_s, 0.95) * 1000,
        "first_ms_p50": _quantile(first_token_latencies_s, 0.5) * 1000,
        "first_ms_p99": _quantile(first_token_latencies_s, 0.99) * 1000,
        "elapsed_s": time.perf_counter() - started_at,
        "streams": len(first_token_latencies_s),
        "errors": results.errors + results.lost_connections,
    }
    print(json.dumps(figures), flush=True)


def _quantile(ordered: list[float], quantile: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


if __name__ == "__main__":
    uvloop.run(
        _main(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]))
    )
