"""Loopback addresses for processes that can't choose their ports."""

import itertools
import os
import socket
from contextlib import contextmanager

# Bound at the first address of a reserved prefix; nothing listens there.
RESERVATION_PORT = 7299
PREFIXES = 200 * 250
# Prefixes to try, each once a process: sockets that a test has left open still use its.
_numbers = itertools.count(os.getpid() * 251)


@contextmanager
def reserved_prefix(numbers=_numbers):
    """Reserve loopback addresses that no other test on this machine uses.

    :param numbers: yields numbers of prefixes, to be tried one after the other.
    :returns: prefix of the addresses, three numbers with dots.
    """
    for number in numbers:
        high, low = divmod(number % PREFIXES, 250)
        prefix = f"127.{high + 20}.{low}"
        lock = socket.socket()
        try:
            lock.bind((f"{prefix}.1", RESERVATION_PORT))
        except OSError:
            lock.close()
            continue
        with lock:
            yield prefix
        return
