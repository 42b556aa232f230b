"""Ports on loopback for processes that a drill or a measurement starts."""

import os
import socket
from contextlib import suppress


def free_ports(n, kind=socket.SOCK_STREAM):
    """Ports for processes that start later, and again. They lie below those that the system gives out by
    itself: one of these could be another's by then."""
    found = []
    port = 12_000 + os.getpid() * 97 % 19_000
    while len(found) < n:
        port = port + 1 if port < 32_000 else 12_000
        with socket.socket(type=kind) as taken, suppress(OSError):
            taken.bind(("127.0.0.1", port))
            found.append(port)
    return found
