"""HTTP protocol of callers' connections, with typed refusals of invalid heads."""

from __future__ import annotations

from functools import partial
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from lentilshore_kernel import log_event, refusal_counter
from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.metrics import Metrics
from lentilshore_kernel.types import RefusalReason

from ..delivery.responder import encode_refusal

REASON_PHRASES = {
    RefusalReason.MALFORMED_REQUEST: "Bad Request",
    RefusalReason.HEAD_TOO_LARGE: "Request Header Fields Too Large",
}
# Bytes of a header line beside its name and value: colon, space and line end.
HEADER_LINE_OVERHEAD_BYTES = 4
# A connection that was refused discards what still arrives for this time. Closing it
# with unread bytes would reset it, and the answer could be lost.
LINGER_S = 1.0


class CallerProtocol(HttpToolsProtocol):
    """Connection that bounds the head of each request.

    What the parser refuses gets the same kind of answer, counter and log line as a
    request that the application refuses.

    :param metrics: counts the refusals.
    :param head_limit_bytes: largest request line and headers together, and largest
        framing of a body between two parts of it.
    """

    def __init__(
        self, *args: Any, metrics: Metrics, head_limit_bytes: int, **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self._metrics = metrics
        self._head_limit_bytes = head_limit_bytes
        # Bytes received of a head that is not complete.
        self._partial_head_bytes = 0
        self._head_complete = False
        # Bytes since the head or the last part of the body: framing and trailers.
        self._framing_bytes = 0
        self._head_too_large = False
        self._refused = False
        # When the last answer ended, on the event loop's clock, seconds.
        self._idle_since = self.loop.time()

    @property
    def _answer_due(self) -> bool:
        """Whether the last request was read as a whole and is not answered yet."""
        cycle = self.cycle
        return not (cycle is None or cycle.response_complete or cycle.more_body)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; end the connection if a head is invalid."""
        if self._refused or self.transport.is_closing():
            return
        self._framing_bytes += len(data)
        super().data_received(data)
        if self._refused:
            return
        if not self._head_complete:
            self._partial_head_bytes += len(data)
        if max(self._partial_head_bytes, self._framing_bytes) > self._head_limit_bytes:
            self._head_too_large = True
            self.send_400_response("")

    def on_message_begin(self) -> None:
        """Begin to count the bytes of a head."""
        self._partial_head_bytes, self._head_complete = 0, False
        self._framing_bytes = 0
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Pass the request on if its head is within the limit."""
        self._head_complete = True
        self._partial_head_bytes = self._framing_bytes = 0
        size = len(self.url) + sum(
            len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES
            for name, value in self.headers
        )
        if size > self._head_limit_bytes:
            self._head_too_large = True
            # The parser reports an error raised here as an invalid request.
            raise ValueError("head too large")
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body; its size is limited by the application."""
        self._framing_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End a request."""
        self._framing_bytes = 0
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Begin to wait for the next request, for as long as is configured now."""
        self._idle_since = self.loop.time()
        self.timeout_keep_alive = self.config.timeout_keep_alive
        super().on_response_complete()

    def timeout_keep_alive_handler(self) -> None:
        """Close the connection unless it may be idle for longer by now."""
        ends_at = self._idle_since + self.config.timeout_keep_alive
        remaining_s = ends_at - self.loop.time()
        if remaining_s <= 0:
            super().timeout_keep_alive_handler()
            return
        self.timeout_keep_alive_task = self.loop.call_later(
            remaining_s, self.timeout_keep_alive_handler
        )

    def send_400_response(self, msg: str) -> None:
        """Refuse what the parser could not read, and close the connection.

        :param msg: the parser's message.
        """
        refusal = RefusalError(RefusalReason.MALFORMED_REQUEST, detail=msg)
        if self._head_too_large:
            refusal = RefusalError(
                RefusalReason.HEAD_TOO_LARGE,
                detail=f"head exceeds {self._head_limit_bytes} bytes",
            )
        self._metrics.count(refusal_counter(refusal.reason))
        log_event(
            "request_refused",
            request="-",
            reason=refusal.reason.value,
            execution=refusal.execution.value,
            status=refusal.status,
            detail=refusal.detail,
        )
        self._refused = True
        if self._answer_due:
            # The answer to the whole request before ends the connection.
            self.cycle.keep_alive = False
            return
        # An answer under way must not be followed by bytes of another one.
        if self.cycle is None or self.cycle.response_complete:
            self.transport.write(_encode_answer(refusal))
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(LINGER_S, self.transport.close)


def bind_caller_protocol(metrics: Metrics, head_limit_bytes: int) -> Any:
    """Return the protocol factory to pass to the HTTP server.

    :param metrics: counts the refusals.
    :param head_limit_bytes: largest request line and headers together.
    """
    return partial(CallerProtocol, metrics=metrics, head_limit_bytes=head_limit_bytes)


def _encode_answer(refusal: RefusalError) -> bytes:
    body = encode_refusal(refusal, "")
    head = (
        f"HTTP/1.1 {refusal.status} {REASON_PHRASES[refusal.reason]}\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(body)}\r\n"
        "connection: close\r\n\r\n"
    )
    return head.encode() + body
