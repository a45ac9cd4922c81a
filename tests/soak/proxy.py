"""Loopback proxy of one link, which delays, resets, silences or cuts one way."""

import asyncio
from typing import NamedTuple

from tests.soak.wire import reset

BLOCK_BYTES = 65_536
POLL_S = 0.02


class LinkFault(NamedTuple):
    """What a link does to the bytes of its connections.

    :param delay_s: time by which bytes are delayed, seconds.
    :param holds: directions in which bytes are held until the fault ends: ``up``
        towards the server, ``down`` towards the client.
    :param refuses: whether new connections are reset.
    """

    delay_s: float = 0.0
    holds: tuple[str, ...] = ()
    refuses: bool = False


class Link:
    """Forwards the connections to one address.

    :param host: address on which the link listens, at a port that the kernel chooses.
    """

    def __init__(self, host):
        self._host = host
        self._server = None
        # Hosts that called, by writer.
        self._writers = {}
        self.address = ""
        # Addresses of callers whose connections the target has refused.
        self.refused = set()
        # Address to which connections are forwarded; None refuses them.
        self.target = None
        self.fault = LinkFault()
        # Faults of the connections from one host each, in place of the fault of all.
        self.source_faults = {}

    async def open(self):
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        self.address = f"{self._host}:{self._server.sockets[0].getsockname()[1]}"

    async def close(self):
        """Stop to listen and end all connections."""
        self._server.close()
        self.reset()

    def reset(self, source=None):
        """Reset all connections, or those from one host."""
        for writer, host in list(self._writers.items()):
            if source in (None, host):
                reset(writer)

    def _fault_of(self, source):
        return self.source_faults.get(source, self.fault)

    async def _serve(self, reader, writer):
        caller = writer.get_extra_info("peername")
        source = caller[0]
        # Its port may have been another connection's.
        self.refused.discard(caller)
        if self._fault_of(source).refuses or self.target is None:
            reset(writer)
            return
        host, port = self.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self.refused.add(caller)
            reset(writer)
            return
        ends = {writer, far_writer}
        self._writers |= dict.fromkeys(ends, source)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, "up", source),
                self._pump(far_reader, writer, "down", source),
            )
        except (ConnectionError, asyncio.CancelledError):
            for end in ends:
                reset(end)
        finally:
            for end in ends:
                self._writers.pop(end, None)
                end.close()

    async def _pump(self, reader, writer, direction, source):
        while data := await reader.read(BLOCK_BYTES):
            if delay_s := self._fault_of(source).delay_s:
                await asyncio.sleep(delay_s)
            while direction in self._fault_of(source).holds:
                await asyncio.sleep(POLL_S)
            writer.write(data)
            await writer.drain()
        while direction in self._fault_of(source).holds:
            await asyncio.sleep(POLL_S)
        # A half-closed connection stays open in the other direction only while a
        # caller reads; these peers close both at once.
        writer.close()
