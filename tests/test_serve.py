"""`foxstep serve` as a process: how it starts on addresses in use, and how it ends while it has peers."""

import json
import signal
import socket
import subprocess
import sys

import anyio
import pytest
from live import SITE, anyio_backend, until  # noqa: F401

from foxstep.operate.service import PEERS_METHOD, call_controller
from foxstep.site.load import EXAMPLES
from foxstep.standins.ports import free_ports

PEERS_SITE = f"{EXAMPLES}/shared.jsonnet"
SERVE = [sys.executable, "-m", "foxstep", "--log", "json", "serve"]
STOP_TIMEOUT_S = 20


def start(*arguments):
    """Starts a controller with these arguments."""
    return subprocess.Popen(
        [*SERVE, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        stdin=subprocess.DEVNULL,
    )


async def stop(process):
    """Ends a controller with SIGTERM; returns its standard error."""
    process.send_signal(signal.SIGTERM)
    _, errors = await anyio.to_thread.run_sync(lambda: process.communicate(timeout=STOP_TIMEOUT_S))
    return errors


@pytest.mark.anyio
async def test_a_controller_that_ends_tells_its_peers_and_exits_with_0():
    # Guards against a notes socket that is closed before the last note, which ended the program with 1 and
    # left its peers to find out by themselves.
    addresses = [f"127.0.0.1:{port}" for port in free_ports(2)]
    notes = [f"127.0.0.1:{port}" for port in free_ports(2, socket.SOCK_DGRAM)]
    processes = []
    try:
        for me, other, zone in ((0, 1, "west"), (1, 0, "east")):
            peer = f"{other}={notes[other]},{addresses[other]},{zone}"
            numbers = ["--outside", "proxies=10", "--me", str(me)]
            listen = ["--listen", addresses[me], "--notes", notes[me], "--peer", peer]
            processes.append(start(PEERS_SITE, *numbers, *listen, "--tell"))
        for process in processes:
            await anyio.to_thread.run_sync(process.stdout.readline)
        with anyio.fail_after(30):
            for address in addresses:
                while (await call_controller(address, PEERS_METHOD))["alive"] != [0, 1]:
                    await anyio.sleep(0.1)
        errors = await stop(processes[0])
        assert processes[0].returncode == 0 and "Traceback" not in errors
        with anyio.fail_after(30):
            while (await call_controller(addresses[1], PEERS_METHOD))["alive"] != [1]:
                await anyio.sleep(0.1)
        errors = await stop(processes[1])
        assert processes[1].returncode == 0 and "Traceback" not in errors
        events = [json.loads(line) for line in errors.splitlines() if line.startswith("{")]
        states = [event["state"] for event in events if event["event"] == "peer"]
        # A peer that ends without a note is suspected before it is considered gone.
        assert states[-1] == "gone" and states[-2:-1] != ["suspected"]
    finally:
        for process in processes:
            process.kill()
            process.wait()


@pytest.mark.parametrize("option,kind", [("--listen", "tcp"), ("--sasp", "tcp"), ("--notes", "udp")])
def test_an_address_in_use_is_reported_in_one_line(option, kind):
    with socket.socket(type=socket.SOCK_STREAM if kind == "tcp" else socket.SOCK_DGRAM) as occupied:
        occupied.bind(("127.0.0.1", 0))
        if kind == "tcp":
            occupied.listen()
        address = f"127.0.0.1:{occupied.getsockname()[1]}"
        peer = ["--peer", "1=127.0.0.1:2,127.0.0.1:3,west"] if option == "--notes" else []
        process = start(SITE, option, address, *peer)
        _, errors = process.communicate(timeout=STOP_TIMEOUT_S)
    lines = [line for line in errors.splitlines() if line.startswith("foxstep: ")]
    assert process.returncode == 1 and "Traceback" not in errors
    assert len(lines) == 1 and f"{option} {address}: " in lines[0] and "in use" in lines[0]
