"""Server side of the peer protocol."""

from __future__ import annotations

from typing import Any

import capnp
import msgspec

from lentilshore_fleet.bills import decode_bills
from lentilshore_protocol import load_peer_schema

from ..state.context import NodeContext
from .peer_messages import (
    apply_heartbeat,
    build_heartbeat,
    document_versions,
    member_to_message,
)


def create_peer_bootstrap(context: NodeContext) -> Any:
    """Return the RPC object that other nodes call.

    :param context: the node.
    """
    return _create_server_class()(context)


def _create_server_class() -> type:
    schema = load_peer_schema()

    class PeerServer(schema.Peer.Server):  # type: ignore[misc]
        """Answers the calls of other nodes."""

        def __init__(self, context: NodeContext) -> None:
            self._context = context

        async def exchange(self, message: Any, _context: Any, **_: Any) -> Any:
            """Apply a peer's heartbeat and return this node's."""
            apply_heartbeat(self._context, message)
            versions = document_versions(message)
            sender = message.sender.incarnation.node
            return build_heartbeat(self._context, sender, message.revision, versions)

        async def members(self, _context: Any, **_: Any) -> Any:
            """Return every known member."""
            return [member_to_message(m) for m in self._context.membership.members]

        async def copyBills(  # noqa: N802
            self, owner: str, bills: bytes, watermark: int, _context: Any, **_: Any
        ) -> None:
            """Store copies of another node's bills."""
            self._context.copies.accept(owner, decode_bills(bills), watermark)

        async def releaseBills(  # noqa: N802
            self, owner: str, _context: Any, **_: Any
        ) -> None:
            """Delete the copies of the bills of a node that has drained."""
            self._context.copies.release(owner)

        async def explain(self, request: str, _context: Any, **_: Any) -> bytes:
            """Return the explanation of a request as JSON, empty if it is not kept."""
            record = self._context.explanations.find(request)
            return b"" if record is None else msgspec.json.encode(record)

    return PeerServer


async def serve_rpc_connection(stream: Any, bootstrap: Any) -> None:
    """Serve one connection until it closes or fails.

    :param stream: the connection.
    :param bootstrap: the RPC object that the other side calls.
    """
    try:
        server = capnp.TwoPartyServer(stream, bootstrap=bootstrap)
        await server.on_disconnect()
    except capnp.KjException:
        return
