"""Link between two gateways, which can be cut."""

from __future__ import annotations

import asyncio

from standins.wire import reset

BLOCK_BYTES = 65_536


class Link:
    """Forwards connections to one address.

    While it is cut, nothing gets through and nobody answers. What was held up is lost.

    :param host: address to which connections are forwarded, and its port.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._writers = set()
        self._cut = False

    async def open(self, host: str) -> str:
        """Listen; return the address."""
        server = await asyncio.start_server(self._serve, host, 0)
        return f"{host}:{server.sockets[0].getsockname()[1]}"

    def set_cut(self, cut: bool) -> None:
        """Begin or end a cut; open connections are reset at its end."""
        self._cut = cut
        if not cut:
            for writer in list(self._writers):
                reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        ends = {writer}
        self._writers.add(writer)
        try:
            if self._cut:
                await reader.read()
                return
            far_reader, far_writer = await asyncio.open_connection(
                self._host, self._port
            )
            ends.add(far_writer)
            self._writers.add(far_writer)
            await asyncio.gather(
                self._pump(reader, far_writer), self._pump(far_reader, writer)
            )
        except OSError:
            reset(writer)
        finally:
            for end in ends:
                self._writers.discard(end)
                end.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        while data := await reader.read(BLOCK_BYTES):
            if not self._cut:
                writer.write(data)
                await writer.drain()
        if not self._cut:
            writer.close()
