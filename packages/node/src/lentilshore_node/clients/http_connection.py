"""One HTTP/1.1 connection to a server, which carries one call at a time.

Its errors tell whether a request may have been sent.
"""

from __future__ import annotations

import asyncio
import math
import socket
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any

import httptools

from lentilshore_kernel.exceptions import LentilshoreError

# Below the keep-alive timeouts of common servers, which start at 5 s.
KEEP_ALIVE_TIMEOUT_S = 4.0
# Closes a connection this long before the server would; covers the usual spread of
# delays.
KEEP_ALIVE_MARGIN_S = 1.0
# Default limit of a body that is read as a whole.
ANSWER_LIMIT_BYTES = 16_777_216
# Limit of all bodies together that a client is reading as a whole. It leaves most of
# the memory of a small machine free.
BUFFERED_LIMIT_BYTES = 67_108_864
# Limit of a status line and headers together, interim answers included, and of bytes
# that frame a body between two parts of it.
HEAD_LIMIT_BYTES = 65_536
# Limit of the answers that one call skips because they belong to others.
SKIPPED_LIMIT_BYTES = 1_048_576
# Bytes of a header line beside its name and value: colon, space and line end.
HEADER_LINE_OVERHEAD_BYTES = 4
# Time added to a timeout in which data has arrived.
READ_AGAIN_S = 0.01
# Pauses reading from the socket while more than this of an answer is buffered.
READ_BUFFER_LIMIT_BYTES = 262_144
# Starts probing after 1 s without a byte, and ends the connection after two lost
# probes or when bytes stay unacknowledged for 2 s. A replica that leaves must be
# detected within 2 s.
DEAD_PEER_OPTIONS = {
    socket.TCP_KEEPIDLE: 1,
    socket.TCP_KEEPINTVL: 1,
    socket.TCP_KEEPCNT: 2,
    socket.TCP_USER_TIMEOUT: 2000,  # milliseconds; the times above are in seconds
}
BODILESS_STATUSES = (204, 304)

HeaderFields = Sequence[tuple[bytes, bytes]]
# Tells whether an answer belongs to the call, from its headers, names in lower case,
# and from whether its connection has carried other calls.
AnswerFilter = Callable[[dict[str, str], bool], bool]
# Called at a timeout; returns for how many more seconds to wait, 0 to give up. It may
# take its time, and is cancelled if data arrives meanwhile.
TimeoutExtension = Callable[[], Awaitable[float]]


class CallNotSentError(LentilshoreError):
    """The connection failed to open, so no byte of the request was sent."""

    exit_code = 3


class CallBrokenError(LentilshoreError):
    """The call failed after bytes may have been sent."""

    exit_code = 3


class CallCutError(CallBrokenError):
    """The connection ended before the answer did."""


class CallTimedOutError(CallBrokenError):
    """The timeout passed without an answer; bytes may have been sent."""


class CallGarbledError(CallBrokenError):
    """The received bytes are not a valid HTTP answer."""


class AnswerTooLargeError(CallBrokenError):
    """A part of the answer exceeds its limit.

    :param part: the part of the answer.
    :param limit_bytes: its limit.
    """

    def __init__(self, part: str, limit_bytes: int) -> None:
        super().__init__(f"{part} exceeds {limit_bytes} bytes")


class BufferBudget:
    """Bytes of bodies that a client holds in memory."""

    def __init__(self) -> None:
        self.used_bytes = 0

    def take(self, size: int) -> None:
        """Count bytes that were received.

        :raises AnswerTooLargeError: if all bodies together exceed
            :data:`BUFFERED_LIMIT_BYTES`.
        """
        self.used_bytes += size
        if self.used_bytes > BUFFERED_LIMIT_BYTES:
            raise AnswerTooLargeError("all answers together", BUFFERED_LIMIT_BYTES)

    def release(self, size: int) -> None:
        """Count bytes that are no longer held."""
        self.used_bytes -= size


class Connection(asyncio.Protocol):
    """One connection, which carries one call at a time."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: Any = None
        self._parser = httptools.HttpResponseParser(self)
        self._wakeup: asyncio.Future[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._error: CallBrokenError | None = None
        self._closed = False
        self._busy = False
        self._calls = 0
        self._reusable = True
        self._belongs_to_call: AnswerFilter | None = None
        self._extend_timeout: TimeoutExtension | None = None
        self._idle_since = 0.0
        self._keep_alive_s = KEEP_ALIVE_TIMEOUT_S
        self._on_lost: Callable[[], None] | None = None
        # Bytes of the current call before the body of its answer.
        self._bytes_before_body = 0
        self._skipped_answers = False
        # Bytes since the last part of the body.
        self._framing_bytes = 0
        self._reset_answer()

    @property
    def idle_s(self) -> float:
        """Seconds since the last call ended."""
        return self._loop.time() - self._idle_since

    @property
    def calls(self) -> int:
        """Number of calls that were sent, the current one included."""
        return self._calls

    @property
    def answer_complete(self) -> bool:
        """Whether the whole answer has arrived."""
        return self._answer_complete

    @property
    def usable(self) -> bool:
        """Whether another call may be sent on this connection."""
        if self._closed or not self._reusable or self._busy:
            return False
        return self.idle_s < self._keep_alive_s

    def _reset_answer(self) -> None:
        self._status = 0
        self._headers: dict[str, str] = {}
        self._fields: list[tuple[bytes, bytes]] = []
        self._body_parts: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._headers_done = False
        self._answer_complete = False
        # Whether the headers of the answer tell where its body ends.
        self._framed = False
        self._skipping_answer = False
        # Whether bytes of another answer follow the complete one.
        self._extra_answer = False

    def connection_made(self, transport: Any) -> None:
        """Store the transport and enable the detection of a dead peer."""
        self._transport = transport
        _enable_dead_peer_detection(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the answer; bytes outside an answer prevent reuse."""
        if not self._busy or self._answer_complete:
            # Nothing can be done with such bytes, and there may be no end to them.
            self.close()
            return
        if self._error is not None:
            return
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(CallGarbledError("the server switched to another protocol"))
        except httptools.HttpParserError as error:
            self._fail(CallGarbledError(f"not an HTTP answer: {error}"))
        self._check_framing(len(data))
        self._wake_reader()

    def _check_framing(self, received_bytes: int) -> None:
        """Fail the call if what precedes or frames its body has no end in sight."""
        if self._answer_complete:
            return
        if self._headers_done:
            if self._framing_bytes > HEAD_LIMIT_BYTES:
                self._fail(AnswerTooLargeError("framing of the body", HEAD_LIMIT_BYTES))
            return
        self._bytes_before_body += received_bytes
        if self._skipped_answers or self._skipping_answer:
            if self._bytes_before_body > SKIPPED_LIMIT_BYTES:
                part = "answers to other requests"
                self._fail(AnswerTooLargeError(part, SKIPPED_LIMIT_BYTES))
        elif self._bytes_before_body > HEAD_LIMIT_BYTES:
            self._fail(AnswerTooLargeError("head", HEAD_LIMIT_BYTES))

    def eof_received(self) -> bool:
        """End an answer that has neither a length nor chunks."""
        unframed = self._headers_done and not self._framed
        if unframed and not self._skipping_answer:
            self._answer_complete = True
        return False

    def report_loss(self, on_lost: Callable[[], None]) -> None:
        """Have a function called if the network or the server breaks the connection."""
        self._on_lost = on_lost

    def connection_lost(self, error: Exception | None) -> None:
        """Fail an unfinished call and wake its reader."""
        self._closed = True
        if error is not None and self._on_lost is not None:
            self._on_lost()
        if not self._answer_complete:
            self._fail(CallCutError(f"connection lost: {error or 'closed'}"))
        self._writable.set()
        self._wake_reader()

    def pause_writing(self) -> None:
        """Record that the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Record that the write buffer has space again."""
        self._writable.set()

    def on_message_begin(self) -> None:
        """Detect an extra answer that follows the one to the request."""
        if self._answer_complete:
            self._extra_answer, self._reusable = True, False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header."""
        if not self._extra_answer:
            self._fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Read the status and headers of an answer, and decide whether to skip it."""
        if self._extra_answer:
            return
        size = sum(
            len(n) + len(v) + HEADER_LINE_OVERHEAD_BYTES for n, v in self._fields
        )
        if size > HEAD_LIMIT_BYTES:
            self._fail(AnswerTooLargeError("head", HEAD_LIMIT_BYTES))
            return
        self._status = self._parser.get_status_code()
        self._headers = _combine(self._fields)
        if 100 <= self._status < 200:
            self._fields = []
            return
        headers = self._headers
        self._framed = (
            "content-length" in headers
            or "chunked" in headers.get("transfer-encoding", "").lower()
            or self._status in BODILESS_STATUSES
        )
        if not self._framed or not self._parser.should_keep_alive():
            self._reusable = False
        self._apply_keep_alive(headers.get("keep-alive", ""))
        if self._belongs_to_call is not None and not self._belongs_to_call(
            headers, self._calls > 1
        ):
            self._skipping_answer, self._reusable = True, False
            return
        self._headers_done = True

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body; a full buffer pauses reading."""
        if self._skipping_answer or self._extra_answer:
            return
        self._framing_bytes = 0
        self._body_parts.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > READ_BUFFER_LIMIT_BYTES and not self._closed:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Mark the answer as complete; one that was skipped is discarded."""
        if self._extra_answer or 100 <= self._status < 200:
            return
        if self._skipping_answer:
            self._skipped_answers = True
            self._reset_answer()
            return
        self._answer_complete = True

    def send(
        self,
        data: bytes,
        belongs_to_call: AnswerFilter | None,
        extend_timeout: TimeoutExtension | None,
    ) -> None:
        """Begin a call.

        :param data: the whole request.
        :param belongs_to_call: tells whether an answer belongs to the call.
        :param extend_timeout: called at a timeout; returns how much longer to wait.
        """
        self._reset_answer()
        self._bytes_before_body = self._framing_bytes = 0
        self._skipped_answers = False
        self._calls += 1
        self._parser = httptools.HttpResponseParser(self)
        self._belongs_to_call, self._extend_timeout, self._busy = (
            belongs_to_call,
            extend_timeout,
            True,
        )
        self._transport.write(data)

    async def wait_for_head(self, timeout_s: float) -> None:
        """Wait for the status and headers of the answer.

        :raises CallBrokenError: if the connection fails or the timeout passes.
        """
        deadline = self._loop.time() + timeout_s
        while not self._headers_done:
            if self._error is not None:
                raise self._error
            deadline = await self._wait_for_data(deadline)

    async def read_part(self, timeout_s: float) -> bytes:
        """Return the next part of the body, empty at the end.

        :raises CallBrokenError: if the connection fails or the timeout passes before
            the end.
        """
        deadline = self._loop.time() + timeout_s
        while not self._body_parts:
            if self._answer_complete:
                return b""
            if self._error is not None:
                raise self._error
            deadline = await self._wait_for_data(deadline)
        data = (
            self._body_parts.popleft()
            if len(self._body_parts) == 1
            else b"".join(self._body_parts)
        )
        self._body_parts.clear()
        self._buffered_bytes = 0
        if not self._closed:
            self._transport.resume_reading()
        return data

    def allow_extension(self, extend_timeout: TimeoutExtension | None) -> None:
        """Replace what is called at a timeout of the call."""
        self._extend_timeout = extend_timeout

    def raise_if_broken(self) -> None:
        """Raise the failure of the call if it has failed."""
        if self._error is not None:
            raise self._error

    def end_call(self) -> None:
        """End the call; an incomplete request or answer prevents reuse."""
        answer_consumed = (
            self._answer_complete and not self._body_parts and self._error is None
        )
        self._busy = False
        self._idle_since = self._loop.time()
        # Until the write buffer has space again, part of the request is unsent.
        if not answer_consumed or not self._writable.is_set():
            self._reusable = False

    def close(self) -> None:
        """Close the connection at once."""
        self._reusable = False
        if self._transport is not None and not self._closed:
            self._transport.abort()

    async def extend(self) -> float:
        """Ask for how many more seconds to wait after a timeout, 0 to give up."""
        if self._extend_timeout is None:
            return 0.0
        question = asyncio.ensure_future(self._extend_timeout())
        self._wakeup = self._loop.create_future()
        try:
            await asyncio.wait(
                {question, self._wakeup}, return_when=asyncio.FIRST_COMPLETED
            )
            # Data that has arrived meanwhile is read first.
            return question.result() if question.done() else READ_AGAIN_S
        finally:
            self._wakeup = None
            question.cancel()

    async def _wait_for_data(self, deadline: float) -> float:
        """Wait for data, and return the deadline, which may have been extended.

        :raises CallTimedOutError: if the deadline has passed and is not extended.
        """
        if self._loop.time() >= deadline:
            extension_s = await self.extend()
            if extension_s <= 0:
                raise CallTimedOutError("no data from the server before the timeout")
            return self._loop.time() + extension_s
        self._wakeup = self._loop.create_future()
        timer = self._loop.call_at(deadline, self._wake_reader)
        try:
            await self._wakeup
        finally:
            timer.cancel()
            self._wakeup = None
        return deadline

    def _wake_reader(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)

    def _fail(self, error: CallBrokenError) -> None:
        self._reusable = False
        if self._error is None:
            self._error = error

    def _apply_keep_alive(self, text: str) -> None:
        for item in text.split(","):
            name, _, value = item.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdigit():
                limit_s = float(value) - KEEP_ALIVE_MARGIN_S
                self._keep_alive_s = min(KEEP_ALIVE_TIMEOUT_S, max(0.0, limit_s))


class Response:
    """Answer whose body is read while it arrives.

    :param connection: connection that receives it.
    :param timeout_s: longest time without data from the server, seconds.
    :param budget: counts the bytes of bodies that are read as a whole.

    The attribute ``connection_calls`` holds the number of calls that were sent on the
    connection, this one included.
    """

    def __init__(
        self, connection: Connection, timeout_s: float, budget: BufferBudget
    ) -> None:
        self._connection = connection
        self._budget = budget
        self.timeout_s = timeout_s
        self.status = connection._status
        self.headers = connection._headers
        self.connection_calls = connection.calls
        # The headers as received, in order and with those that are repeated.
        self.fields: HeaderFields = connection._fields

    def raise_if_broken(self) -> None:
        """Raise the failure of the call if it has failed, though parts are unread.

        :raises CallBrokenError: if the connection has failed.
        """
        self._connection.raise_if_broken()

    async def aiter_stream(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive."""
        while data := await self._connection.read_part(self.timeout_s):
            yield data

    async def read(
        self, limit_bytes: int = ANSWER_LIMIT_BYTES, total_s: float | None = None
    ) -> bytes:
        """Return the whole body.

        :param limit_bytes: size of the largest body that is accepted.
        :param total_s: longest time until its end, seconds; None for no limit beside
            the time without data.
        :raises AnswerTooLargeError: if it exceeds its limit, or all bodies theirs.
        :raises CallTimedOutError: if it does not end in time.
        """
        parts: list[bytes] = []
        size = 0
        loop = asyncio.get_running_loop()
        ends_at = math.inf if total_s is None else loop.time() + total_s
        try:
            while data := await self._read_part(ends_at):
                size += len(data)
                self._budget.take(len(data))
                if size > limit_bytes:
                    raise AnswerTooLargeError("body", limit_bytes)
                parts.append(data)
                if loop.time() >= ends_at and not self._connection.answer_complete:
                    ends_at = await self._extend(total_s)
        finally:
            self._budget.release(size)
        return b"".join(parts)

    async def _read_part(self, ends_at: float) -> bytes:
        remaining_s = ends_at - asyncio.get_running_loop().time()
        return await self._connection.read_part(min(self.timeout_s, remaining_s))

    async def _extend(self, total_s: float | None) -> float:
        extension_s = await self._connection.extend()
        if extension_s <= 0:
            raise CallTimedOutError(f"no end of the body in {total_s:.2f} s")
        return asyncio.get_running_loop().time() + extension_s


def _combine(fields: HeaderFields) -> dict[str, str]:
    """Return headers by name in lower case; unequal values of one name are joined."""
    headers: dict[str, str] = {}
    for raw_name, raw_value in fields:
        name, value = raw_name.decode("latin-1").lower(), raw_value.decode("latin-1")
        known = headers.get(name, value)
        headers[name] = value if known == value else f"{known}, {value}"
    return headers


def _enable_dead_peer_detection(tcp_socket: socket.socket) -> None:
    """Enable the detection of a peer that vanished without closing the connection."""
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in DEAD_PEER_OPTIONS.items():
        tcp_socket.setsockopt(socket.IPPROTO_TCP, name, value)
