"""Free loopback ports for processes that a drill or a measurement starts."""

import os
import socket
from contextlib import suppress


def free_ports(count, kind=socket.SOCK_STREAM):
    """Returns ports that are free now, for processes that start later and may restart.

    They are below the ephemeral range, from which the system could give one to another process meanwhile.
    """
    ports = []
    port = 12_000 + os.getpid() * 97 % 19_000
    while len(ports) < count:
        port = port + 1 if port < 32_000 else 12_000
        with socket.socket(type=kind) as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            ports.append(port)
    return ports
