"""Loopback ports of processes that a drill or a measurement starts."""

import os
import socket
from contextlib import suppress

import anyio

POLL_INTERVAL_S = 0.05


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


async def wait_until_listening(port, timeout_s):
    """Waits until connections to a TCP port on loopback are accepted. Raises TimeoutError."""
    with anyio.fail_after(timeout_s):
        while True:
            with suppress(OSError):
                async with await anyio.connect_tcp("127.0.0.1", port):
                    return
            await anyio.sleep(POLL_INTERVAL_S)
