"""Listening sockets."""

from __future__ import annotations

import socket

from lentilshore_kernel.types import Address

LISTEN_BACKLOG = 1024


def create_listener(address: Address) -> socket.socket:
    """Return a non-blocking socket that listens at an address.

    :param address: IP address and port; the system chooses a port if it is 0.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address.host, address.port))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener
