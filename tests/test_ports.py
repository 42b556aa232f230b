"""Waiting for a process that listens late."""

import socket

import anyio
import pytest
from live import anyio_backend  # noqa: F401

from foxstep.standins.ports import free_ports, wait_until_listening

pytestmark = pytest.mark.anyio


async def test_waiting_ends_once_connections_are_accepted():
    # Guards against drills whose proxies connect before the controllers are there, and go to another one.
    (port,) = free_ports(1)
    waited = anyio.Event()

    async def wait():
        await wait_until_listening(port, timeout_s=20)
        waited.set()

    async with anyio.create_task_group() as group:
        group.start_soon(wait)
        await anyio.sleep(0.3)
        assert not waited.is_set()
        with socket.create_server(("127.0.0.1", port)):
            with anyio.fail_after(20):
                await waited.wait()


async def test_waiting_for_nobody_times_out():
    (port,) = free_ports(1)
    with pytest.raises(TimeoutError):
        await wait_until_listening(port, timeout_s=0.2)
