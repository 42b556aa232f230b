"""A controller with foreign or misbehaving peers: the stock gRPC client, list services; and signals."""

import json
import signal
import subprocess
import sys
import time

import anyio
import grpc
import pytest
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.endpoint.v3 import eds_pb2_grpc
from live import (  # noqa: F401
    SERVERS,
    SITE,
    Client,
    anyio_backend,
    collect_garbage,
    controller,
    open_lines,
    record_list_kinds,
    record_retry_delays,
    serve_grpc,
    until,
)

from foxstep.standins.server import Server
from foxstep.standins.tcp_relay import CHUNK_BYTES, TcpRelay
from foxstep.xds.listing import ListClient

pytestmark = pytest.mark.anyio
LATE_BY_S = 0.3  # a "late" list, beyond the time after which the client gives up
TYPES = {"look-up": 0.002, "note-down": 0.002, "pay-out": 0.002}


class Recorder(list):
    """Records the events of stand-in servers."""

    def __call__(self, kind, **row):
        self.append((kind, row))

    def ops(self, server, since=0):
        return sum(1 for kind, row in self[since:] if kind == "received" and row["server"] == server.ident)


async def test_the_stock_client_applies_weights_withdrawals_and_drops_and_its_reports_arrive():
    events, inputs = Recorder(), []
    servers = [
        Server(f"s{k}", "east", 4, TYPES, (1.0, 1.0, 9.0, 1.0), events, time.monotonic, k) for k in range(3)
    ]
    for server in servers:
        await server.start(cold=False)
    async with controller(level="share", cycle=100_000) as (host, address):
        a, b, c = (s.ident for s in servers)
        host.listed("whole", open_lines(a, b, c))
        module = host.controller
        module.heard = lambda *args: inputs.append(args)
        module.used = lambda *args: inputs.append(args)
        process = await anyio.open_process(
            [sys.executable, "-m", "foxstep.standins.stock_client"], stderr=subprocess.DEVNULL
        )
        settings = {
            "controller": address,
            "node": "stock",
            "zone": "east",
            "rate": 300,
            "seed": 1,
            "mix": {"look-up": 1},
            "target": "loopback",
            "service": "foxstep.Ops",
            "seconds": 60,
            "timeouts": {"look-up": 3.0},
        }
        await process.stdin.send(json.dumps(settings).encode() + b"\n")
        try:
            await until(lambda: all(events.ops(s) > 20 for s in servers), 20)
            # From here on the decision module issues no orders; the test does.
            module.next_order = lambda now: None

            def order(verb, *args):
                getattr(host.desired_state, verb)(host.clock(), *args)
                for message in host.desired_state.close_batch():
                    host.channel.offer(host.clock(), message)
                host.request_run("test")

            accepted = host.joined_proxies["stock"].accepted
            order("weigh", "stock", a, 8)
            await until(lambda: host.joined_proxies["stock"].accepted > accepted)
            await anyio.sleep(0.2)
            since = len(events)
            await until(lambda: sum(events.ops(s, since) for s in servers) > 400, 20)
            assert 0.65 < events.ops(servers[0], since) / sum(events.ops(s, since) for s in servers) < 0.95

            accepted = host.joined_proxies["stock"].accepted
            order("withdraw", a, True)
            await until(lambda: host.joined_proxies["stock"].accepted > accepted)
            await anyio.sleep(0.3)
            since = len(events)
            await until(lambda: events.ops(servers[1], since) > 60, 20)
            assert events.ops(servers[0], since) == 0

            accepted, inputs_before = host.joined_proxies["stock"].accepted, len(inputs)
            order("admit", "stock", 0, 0.0, 0)
            await until(lambda: host.joined_proxies["stock"].accepted > accepted)
            await anyio.sleep(0.3)
            since = len(events)
            await until(lambda: any(len(h) == 6 and h[3] > 0 for h in inputs[inputs_before:]), 20)
            await anyio.sleep(0.5)
            assert sum(events.ops(s, since) for s in servers) == 0
            used = [h for h in inputs if len(h) == 6 and h[1:3] == ("stock", "look-up")]
            assert used[-1][3] > 0, "dropped ops still count as demand"
            assert {h[1] for h in inputs if len(h) == 8} == {a, b, c}
            assert all(0 < h[5] < 3_000_000 for h in inputs if len(h) == 8 and h[4] < h[3])
            assert host.joined_proxies["stock"].refused == 0
        finally:
            process.kill()
            await process.wait()
            for server in servers:
                await server.server.stop(None)


class ScriptedListService(eds_pb2_grpc.EndpointDiscoveryServiceServicer):
    """Answers each call by the next of its scripts: "never", "abort", "half" (with an invalid endpoint),
    "late", "ended" (right after the list) or "whole"; the last one is repeated."""

    def __init__(self, *scripts, late_after_s=0.0):
        self.scripts = list(scripts)
        self.late_after_s = late_after_s
        self.error_details = []
        self.calls = 0

    async def StreamEndpoints(self, request_iterator, context):
        requests = aiter(request_iterator)
        await anext(requests)
        self.calls += 1
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        if script == "never":
            await anyio.sleep(60)
        if script == "abort":
            await context.abort(grpc.StatusCode.UNAVAILABLE, "out of order")
        if script == "late":
            await anyio.sleep(self.late_after_s)
        assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name="servers")
        for server in SERVERS[:3]:
            address = assignment.endpoints.add().lb_endpoints.add().endpoint.address.socket_address
            address.address, address.port_value = "127.0.0.1", int(server.rsplit(":")[-1])
        if script == "half":
            assignment.endpoints[2].lb_endpoints[0].endpoint.address.socket_address.port_value = 0
        response = discovery_pb2.DiscoveryResponse(version_info="1", nonce="1")
        response.resources.add().Pack(assignment)
        await context.write(response)
        answer = await anext(requests)
        self.error_details.append(answer.error_detail.message)
        if script != "whole":
            return
        await anyio.sleep(60)


async def test_a_late_invalid_or_missing_list_never_empties_the_fleet():
    ask_within_us = 2_000_000  # the client waits for half of it
    late_after_s = ask_within_us / 1_000_000 / 2 + LATE_BY_S
    service = ScriptedListService("never", "half", "late", "whole", late_after_s=late_after_s)
    server = grpc.aio.server()
    eds_pb2_grpc.add_EndpointDiscoveryServiceServicer_to_server(service, server)
    async with (
        serve_grpc(server) as port,
        controller(list_asked=True, ask_within=ask_within_us) as (host, address),
    ):
        known = open_lines(*SERVERS[:2])
        host.listed("remembered", known)
        states = []
        original = host.controller.listed
        host.controller.listed = lambda now, how, lines: (
            states.append((how, len(lines))),
            original(now, how, lines),
        )
        async with anyio.create_task_group() as group:
            follower = ListClient(host, f"127.0.0.1:{port}", "servers", "me")
            follower.watch(True)
            group.start_soon(follower.run)
            # The client applies a list before it sends its answer, which is still on its way then.
            await until(lambda: service.calls >= 4 and len(service.error_details) >= 2, 20)
            group.cancel_scope.cancel()
        first_list = states.index(("whole", 3))
        assert states[0] == ("failed", 0)
        assert all(state == ("failed", 0) for state in states[:first_list])
        assert set(states[first_list:]) == {("whole", 3)}
        assert "without an address" in service.error_details[0] and set(service.error_details[1:]) == {""}
        assert [line[4] for line in host.listed_lines.values()] == ["open"] * 3


async def test_the_list_is_requested_again_within_the_grace_after_its_subscription_ended():
    # Guards against sends to a drained server whose news was lost with the subscription: the delay of a
    # refused request doubles and can be longer than the grace.
    service, server = ScriptedListService("ended", "abort", "abort", "whole"), grpc.aio.server()
    eds_pb2_grpc.add_EndpointDiscoveryServiceServicer_to_server(service, server)
    async with (
        serve_grpc(server) as port,
        controller(list_asked=True, grace=1_500_000, transit_most=500_000) as (host, address),
    ):
        delays = record_retry_delays(host)
        async with anyio.create_task_group() as group:
            group.start_soon(ListClient(host, f"127.0.0.1:{port}", "servers", "me").run)
            host.request_run("test")
            await until(lambda: service.calls >= 4 and service.error_details[1:], 20)
            group.cancel_scope.cancel()
        assert len(delays) >= 3 and min(delays) > 0
        assert max(delays) < host.site["grace"] - host.site["transit_most"]


class SilentRelay(TcpRelay):
    """A TCP relay that, once `is_silent` is set, keeps its connections open and passes nothing on."""

    is_silent = False

    async def copy(self, reader, writer):
        while data := await reader.read(CHUNK_BYTES):
            if not self.is_silent:
                writer.write(data)
                await writer.drain()


async def test_a_list_service_that_goes_silent_is_noticed_within_half_of_the_stated_time():
    # Guards against changes that are lost unnoticed for a minute: a quiet connection was hardly ever probed.
    service, server = ScriptedListService("whole"), grpc.aio.server()
    eds_pb2_grpc.add_EndpointDiscoveryServiceServicer_to_server(service, server)
    async with (
        serve_grpc(server) as port,
        controller(list_asked=True, ask_within=2_000_000) as (host, address),
    ):
        relay, kinds = SilentRelay(), record_list_kinds(host)
        await relay.start(port)
        list_client = ListClient(host, f"127.0.0.1:{relay.port}", "servers", "me")
        options = dict(list_client.channel_options())
        silence_ms = options["grpc.keepalive_time_ms"] + options["grpc.http2.ping_timeout_ms"]
        assert silence_ms <= host.site["ask_within"] / 1000 / 2
        async with anyio.create_task_group() as group:
            list_client.watch(True)
            group.start_soon(list_client.run)
            await until(lambda: "whole" in kinds, 20)
            relay.is_silent = True
            await until(lambda: "lost" in kinds, 20)
            group.cancel_scope.cancel()
        relay.refuse_connections()


async def test_a_restart_clears_withdrawals_held_by_proxies():
    async with controller() as (host, address):
        host.listed("whole", open_lines(*SERVERS[:3]))
        async with grpc.aio.insecure_channel(address) as channel:
            client = Client(channel, "p")
            await client.ask()
            await client.table()
            host.desired_state.withdraw(host.clock(), SERVERS[0], True)
            for message in host.desired_state.close_batch():
                host.channel.offer(host.clock(), message)
            host.request_run("test")
            response, held = await client.table()
            assert set(held) == set(SERVERS[1:3])
    async with controller() as (host, address):
        host.listed("whole", open_lines(*SERVERS[:3]))
        async with grpc.aio.insecure_channel(address) as channel:
            client = Client(channel, "p")
            await client.ask(version_info=response.version_info)
            _, held = await client.table()
            assert set(held) == set(SERVERS[:3])


@pytest.mark.parametrize("stop_signal", [signal.SIGTERM, signal.SIGINT])
async def test_a_signal_stops_the_controller_cleanly_while_a_proxy_is_joined(stop_signal):
    process = subprocess.Popen(
        [sys.executable, "-m", "foxstep", "--log", "json", "serve", SITE, "--tell"],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    address = process.stdout.readline().strip()
    async with grpc.aio.insecure_channel(address) as channel:
        client = Client(channel, "p")
        await client.ask()
        await anyio.sleep(0.2)
        process.send_signal(stop_signal)
        _, errors = await anyio.to_thread.run_sync(lambda: process.communicate(timeout=10))
    events = [json.loads(line) for line in errors.splitlines() if line.startswith("{")]
    assert process.returncode == 0 and "Traceback" not in errors
    assert events[0]["event"] == "ready" and events[0]["address"] == address
    assert {"left", "stopped"} <= {e["event"] for e in events}
