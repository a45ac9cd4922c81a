"""Listening sockets."""

from __future__ import annotations

import socket

from lentilshore_kernel.types import Address

LISTEN_BACKLOG = 1024


def create_listener(address: Address) -> socket.socket:
    """Return a listening socket at an address; port 0 lets the kernel choose."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address.host, address.port))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener
