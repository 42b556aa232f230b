"""The node over real sockets: streams, discovery, signals and probes."""

import asyncio
import json
import signal
import subprocess
import sys
from contextlib import AsyncExitStack

import anyio
import pytest
from live import anyio_backend  # noqa: F401
from node import FakeDiscovery, endpoint, run_node, run_process, until, write_config

from foxstep.node.streams import Connection
from foxstep.standins.ports import free_ports

pytestmark = pytest.mark.anyio
A = "s-a"
B = "s-b"


async def test_proxy_receives_its_table_and_changes_and_answers_marks(tmp_path):
    discovery = FakeDiscovery(A, B)
    async with run_node(tmp_path, discovery, known=[A, "s-old"]) as running:
        proxy = await running.connect()
        await proxy.join(3)
        await proxy.receive_update()
        await until(lambda: running.host.listed_lines.get(B))
        while proxy.weights.keys() != {A, B}:  # the known list is replaced by the listed servers
            await proxy.receive_update()
        discovery.change(endpoint(B, "leaving"))
        while proxy.weights.keys() != {A}:
            parts = await proxy.receive_update()
        assert not parts[0].get("whole")
        while not (number := parts[-1].get("ticket")):
            discovery.change(endpoint(B, "leaving" if B in proxy.weights else "active"))
            parts = await proxy.receive_update()
        await proxy.send(
            {"@type": "applied", "node": 3, "nonce": number + 1, "latency": 1.0},
            {"@type": "applied", "node": 3, "nonce": number, "latency": 9e4},
            {"@type": "applied", "node": 3, "nonce": number, "latency": 2.5},
        )
        await until(lambda: running.host.joined_proxies[3].accepted)
        # It ignores an unwritten mark and an impossible latency.
        assert running.host.joined_proxies[3].accepted == 1


async def test_newer_stream_of_a_proxy_replaces_the_older_one(tmp_path):
    discovery = FakeDiscovery(A, B)
    async with run_node(tmp_path, discovery, known=[A, B]) as running:
        older, newer = await running.connect(), await running.connect()
        await older.join(3)
        await older.receive_update()
        await newer.join(3, cold=False)
        await newer.receive_update()
        while await older.receive() is not None:
            pass
        await anyio.sleep(0.1)
        assert set(running.host.joined_proxies) == {3} and running.host.controller.proxies[3].joined
        discovery.change(endpoint(A, "leaving"))
        while newer.weights.keys() != {B}:
            await newer.receive_update()


INVALID_HANDSHAKES = {
    "http": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "order": {"@type": "update", "whole": True, "lines": []},
    "report": {"@type": "usage", "node": 1, "route": "read", "total": 1, "errors": 0, "interval": 500.0},
    "no such proxy": {"@type": "joined", "node": 40, "locality": "east", "w": 1.0, "cold": True},
    "no such zone": {"@type": "collector", "locality": "north"},
    "invalid": {"@type": "joined", "node": 1},
    "endless": b"x" * 200_000,
    "half": b'{"@type":"joi',
    "silent": b"",
    "ping": {"@type": "ping"},
    "binary": bytes(range(256)),
    "long": b'{"@type":"joined","locality":"' + b"a" * 100_000,
}


@pytest.mark.parametrize("kind", INVALID_HANDSHAKES)
async def test_connection_without_a_valid_handshake_is_closed_and_leaves_no_state(tmp_path, kind):
    async with run_node(tmp_path, FakeDiscovery(A), known=[A]) as running:
        connection = await running.connect()
        try:
            await connection.send(INVALID_HANDSHAKES[kind])
        except ConnectionError:
            pass
        if kind == "ping":
            assert await connection.receive() == {"@type": "pong"}
        assert await connection.receive() in (None, {"@type": "refused"})
        await until(lambda: not running.acceptor.connections)
        assert not running.acceptor.pending_connections and not running.acceptor.partial_bytes
        assert not running.host.joined_proxies


async def test_many_silent_connections_do_not_block_a_proxy(tmp_path):
    async with (
        run_node(tmp_path, FakeDiscovery(A), known=[A], sockets=70) as running,
        AsyncExitStack() as stack,
    ):
        proxies = [await running.connect() for _ in range(10)]
        for number, proxy in enumerate(proxies):
            await proxy.join(number)
            await proxy.receive_update()
        for _ in range(200):
            stack.callback((await running.connect()).close)
        late = await running.connect()
        await late.join(30)
        await late.receive_update()
        assert set(running.host.joined_proxies) == {*range(10), 30}
        assert len(running.acceptor.connections) <= running.acceptor.max_connections
        await until(lambda: not running.acceptor.pending_connections)


async def test_invalid_messages_are_ignored_and_valid_ones_around_them_handled(tmp_path):
    async with run_node(tmp_path, FakeDiscovery(A), known=[A]) as running:
        heard = []
        used = []
        running.host.heard = lambda *args: heard.append(args)
        running.host.used = lambda *args: used.append(args)
        proxy, collector = await running.connect(), await running.connect()
        usage = {"@type": "usage", "node": 3, "route": "read", "total": 2, "errors": 5, "interval": 500.0}
        tries = {
            "@type": "heard",
            "locality": "east",
            "endpoint": A,
            "total": 4,
            "errors": 1,
            "rtt": 20.5,
            "interval": 500.0,
            "metrics": {"util": 0.5, "queue": 2, "strange": 1},
        }
        await proxy.join(3)
        await proxy.send(
            {**usage, "route": "none"}, {**usage, "node": 4}, {**usage, "total": -1}, [], 7, usage
        )
        await collector.send(
            {"@type": "collector", "locality": "west"},
            {**tries, "endpoint": "s-none"},
            {**tries, "locality": "north"},
            {**tries, "errors": 5},
            {**tries, "rtt": 0.0},  # of tries that were answered (review/6)
            {**tries, "rtt": 0.0004},  # less than a microsecond
            {**tries, "interval": 0},
            {"@type": "update"},
            {"@type": "joined", "node": 5},
            tries,
            {**tries, "errors": 4, "rtt": 0.0},  # no try was answered: there is no time to report
            {**usage, "node": 7},
        )
        await until(lambda: len(used) == 2 and heard)
        assert used == [(3, "read", 2, 5, 500_000), (7, "read", 2, 5, 500_000)]
        load = {"busy": 0.5, "waiting": 2}
        assert heard == [(A, "east", 4, 1, 20_500, 500_000, load), (A, "east", 4, 4, 0, 500_000, load)]
        assert set(running.host.joined_proxies) == {3} and len(running.acceptor.connections) == 2


async def test_stream_with_malformed_json_is_closed_and_its_proxy_leaves(tmp_path):
    async with run_node(tmp_path, FakeDiscovery(A), known=[A]) as running:
        proxy = await running.connect()
        await proxy.join(3)
        await proxy.receive_update()
        await proxy.send(b"\x00\x01 no json\n")
        await until(lambda: not running.host.joined_proxies and not running.acceptor.connections)
        assert not running.host.controller.proxies[3].joined


@pytest.mark.parametrize("how, kind", [("503", "failed"), ("reset", "lost"), ("silent", "lost")])
async def test_failure_of_discovery_is_reported_and_the_list_requested_again(tmp_path, how, kind):
    discovery = FakeDiscovery(A, B)
    discovery.failure = how
    async with run_node(tmp_path, discovery, known=[A]) as running:
        kinds = []
        listed = running.host.listed
        running.host.listed = lambda kind, lines: (kinds.append(kind), listed(kind, lines))
        await until(lambda: kinds, within=6.0)
        assert kinds[0] == kind
        discovery.failure = None
        await until(lambda: B in running.host.listed_lines, within=6.0)
        assert running.host.listed_lines[A][4] == "open"


async def test_state_of_gone_servers_is_deleted(tmp_path):
    discovery = FakeDiscovery(A)
    async with run_node(tmp_path, discovery, known=[A]) as running:
        proxy = await running.connect()
        await proxy.join(3)
        await proxy.receive_update()
        host = running.host
        host.gone_retention_us, host.controller.site["ramp"] = 100_000, 0
        for k in range(30):
            discovery.change(endpoint(f"s-{k}"))
            await until(lambda k=k: f"s-{k}" in host.listed_lines)
            discovery.change(endpoint(f"s-{k}", "left"))
            await until(lambda k=k: host.listed_lines.get(f"s-{k}", [""] * 5)[4] != "open")
        await anyio.sleep(2.5)
        discovery.change(endpoint("s-last"))
        await until(lambda: "s-last" in host.listed_lines)
        assert len(host.listed_lines) == 2 and len(host.controller.servers) < 10
        assert len(running.node.discovery.addresses) == 2
        assert not any("s-0" in lines for lines in host.desired_state.lines.values())


class BlockedTransport:
    """A transport whose peer reads nothing."""

    def __init__(self):
        self.written = []

    def set_write_buffer_limits(self, high):
        pass

    def write(self, data):
        self.written.append(data)


async def test_updates_for_a_peer_that_does_not_read_are_folded_into_one(tmp_path):
    async with run_node(tmp_path, FakeDiscovery(A), known=[A]) as running:
        connection, transport = Connection(running.acceptor), BlockedTransport()
        connection.connection_made(transport)
        connection.zone = "east"
        host, desired = running.host, running.host.desired_state
        host.joined(9, "east", 1.0, True, connection)
        desired.bind(0, 9, 9, 0)
        connection.pause_writing()
        for k in range(500):
            desired.weigh(0, 9, A, 1.0 + k)
            desired.mark(0, k, False)
            (message,) = [m for m in desired.close_batch() if m.proxy == 9]
            desired.holdings[9].apply(message)
            connection.deliver(desired.holdings[9], message)
        assert not transport.written
        connection.resume_writing()
        (data,) = transport.written
        (part,) = map(json.loads, data.splitlines())
        assert part == {"@type": "update", "whole": True, "lines": [[A, 500.0]], "ticket": 499}


async def wait_until_ready(port):
    """Waits until a node answers pings on this port."""
    with anyio.fail_after(10):
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b'{"@type":"ping"}\n')
                if await reader.readline() == b'{"@type":"pong"}\n':
                    return
            except OSError:
                await anyio.sleep(0.05)


async def test_signals_of_the_node_process(tmp_path):
    first, second = FakeDiscovery(A), FakeDiscovery(A, B)
    port, *discovery_ports = free_ports(3)
    async with (
        await asyncio.start_server(first.serve, "127.0.0.1", discovery_ports[0]),
        await asyncio.start_server(second.serve, "127.0.0.1", discovery_ports[1]),
    ):
        second.index = 6
        async with run_process(tmp_path, write_config(tmp_path, port, discovery_ports[0], [A])) as running:
            await wait_until_ready(port)
            await until(lambda: first.paths)
            proxy = await asyncio.open_connection("127.0.0.1", port)
            proxy[1].write(b'{"@type":"joined","node":1,"locality":"east","w":1.0,"cold":true}\n')
            assert b"s-a" in await proxy[0].readline()
            for invalid in (b"{", json.dumps({"name": "n0"}).encode()):
                (tmp_path / "config.json").write_bytes(invalid)
                running.send_signal(signal.SIGHUP)
                await anyio.sleep(0.3)
            assert running.poll() is None and not second.paths
            write_config(tmp_path, port, discovery_ports[1], [A])
            running.send_signal(signal.SIGHUP)
            await until(lambda: second.paths)
            assert "after=5" in second.paths[0]  # the list is kept: only changes are requested
            with anyio.fail_after(5):
                while b"s-b" not in await proxy[0].readline():
                    pass  # on the stream that was open before the reload
            running.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(running.wait, 3) == 0
    log = (tmp_path / "log").read_text()
    assert log.count("not taken") == 2 and "Traceback" not in log


@pytest.mark.parametrize("content", ["{", '{"name":"n0"}', None])
async def test_invalid_configuration_ends_the_program_with_one_line(tmp_path, content):
    path = tmp_path / "config.json"
    if content:
        path.write_text(content)
    async with run_process(tmp_path, path) as running:
        assert await asyncio.to_thread(running.wait, 10) == 2
    (line,) = (tmp_path / "log").read_text().splitlines()
    assert line.startswith("foxstep: ")


async def test_node_imports_no_heavy_library():
    heavy = (
        "grpc",
        "google.protobuf",
        "pyarrow",
        "envoy",
        "ddsketch",
        "sqlite3",
        "hdrh",
        "click",
        "_jsonnet",
        "foxstep.xds",
        "foxstep.sasp",
        "foxstep.store",
    )
    code = f"import foxstep.node.program, sys; print([m for m in {heavy} if m in sys.modules])"
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "[]", found


@pytest.mark.parametrize("body", ["util=0.61,queue=2", "cpu=0.61,waiting=2.000,active=7,strange=x"])
async def test_probe_reads_the_load_under_both_sets_of_names(tmp_path, body):
    async def serve(reader, writer):
        assert (await reader.readline()).startswith(b"GET /load ")
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())

    (port,), discovery = free_ports(1), FakeDiscovery(A, B)
    discovery.endpoints[A]["address"] = f"127.0.0.1:{port}"
    async with (
        await asyncio.start_server(serve, "127.0.0.1", port),
        run_node(tmp_path, discovery, known=[A]) as running,
    ):
        results, host = [], running.host
        host.probed = lambda *args: results.append(args)
        await until(lambda: B in running.node.discovery.addresses)
        for server in (A, B, "s-none"):
            host.probe(server)
        await until(lambda: len(results) == 3)
        found = {server: (outcome, load) for server, outcome, _, load in results}
        assert found[A][0] == "acked" and {"busy": 0.61, "waiting": 2.0}.items() <= found[A][1].items()
        assert found[B] == found["s-none"] == ("unreachable", None)
