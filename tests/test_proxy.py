"""The proxy over real sockets: retries, levels, cancellation, drains, tables of a controller."""

import asyncio
import time

import anyio
import grpc
import h2.config
import h2.connection
import h2.errors
import h2.events
import pytest
from envoy.service.discovery.v3 import discovery_pb2
from live import (  # noqa: F401
    SITE,
    anyio_backend,
    collect_garbage,
    controller,
    open_lines,
    serve_grpc,
    until,
)

from foxstep.proxy.control import REDIRECT_METADATA, ROUTES_TYPE
from foxstep.proxy.program import Proxy
from foxstep.site import read_site

pytestmark = pytest.mark.anyio
OP_TYPES = [{"name": name, "method": ""} for name in ("look-up", "note-down", "pay-out")]


class ScriptedServer:
    """An HTTP/2 server that answers each op as its script says; `seen` lists the ops that reached it."""

    def __init__(self, *script):
        self.script = list(script)
        self.seen = []
        self.port = 0
        self.server = None
        self.writers = []

    async def open(self):
        self.server = await asyncio.start_server(self.talk, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def ident(self):
        return f"127.0.0.1:{self.port}"

    async def talk(self, reader, writer):
        self.writers.append(writer)
        wire = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False, header_encoding=None))
        wire.initiate_connection()
        writer.write(wire.data_to_send())
        try:
            while data := await reader.read(65536):
                for event in wire.receive_data(data):
                    if isinstance(event, h2.events.DataReceived) and event.flow_controlled_length:
                        wire.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                    if isinstance(event, h2.events.StreamEnded):
                        await self.answer(wire, writer, event.stream_id)
                writer.write(wire.data_to_send())
        except (ConnectionError, h2.exceptions.ProtocolError):
            pass

    async def answer(self, wire, writer, stream_id):
        how = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        self.seen.append(how)
        if how == "refuse-stream":
            wire.reset_stream(stream_id, h2.errors.ErrorCodes.REFUSED_STREAM)
        elif how == "reset":
            wire.reset_stream(stream_id, h2.errors.ErrorCodes.INTERNAL_ERROR)
        elif how == "goaway-before":
            wire.close_connection(last_stream_id=0)
        elif how == "goaway-after":
            wire.close_connection(last_stream_id=stream_id)
            writer.write(wire.data_to_send())
            await writer.drain()
            writer.close()
        elif how == "drop":
            writer.transport.abort()
        elif how == "silent":
            return
        elif how == "error":
            wire.send_headers(
                stream_id,
                [
                    (b":status", b"200"),
                    (b"content-type", b"application/grpc"),
                    (b"grpc-status", b"13"),
                    (b"grpc-message", b"broken within"),
                ],
                True,
            )
        else:
            wire.send_headers(stream_id, [(b":status", b"200"), (b"content-type", b"application/grpc")])
            body = how[3:].encode() if how.startswith("ok ") else b"fine"
            wire.send_data(stream_id, b"\x00" + len(body).to_bytes(4, "big") + body)
            if how == "cut":
                writer.write(wire.data_to_send())
                await writer.drain()
                writer.transport.abort()
                return
            wire.send_headers(stream_id, [(b"grpc-status", b"0")], True)


class RunningProxy:
    """A proxy on a static table without a controller, with a stock gRPC client connected to it."""

    def __init__(self, servers, **changes):
        site = read_site(SITE)
        # Nothing listens at the controller's address: the proxy keeps its static table.
        self.proxy = Proxy(
            "p",
            "east",
            {**site.settings_map(), **changes},
            site.name,
            OP_TYPES,
            ["127.0.0.1:9"],
            servers,
            time.monotonic,
        )

    async def __aenter__(self):
        self.group = anyio.create_task_group()
        await self.group.__aenter__()
        ready = anyio.Event()
        self.group.start_soon(lambda: self.proxy.run(started=lambda port: ready.set(), drain=0.3))
        await ready.wait()
        self.channel = grpc.aio.insecure_channel(
            f"127.0.0.1:{self.proxy.listener.port}",
            options=[("grpc.enable_retries", 0), ("grpc.use_local_subchannel_pool", 1)],
        )
        return self

    async def __aexit__(self, *error):
        await self.channel.close()
        self.group.cancel_scope.cancel()
        await self.group.__aexit__(None, None, None)

    async def op(self, op_type="pay-out", body=b"x", timeout=2.0):
        """Returns (answer or status name, details, trailers)."""
        call = self.channel.unary_unary(f"/any.Service/{op_type}")(body, timeout=timeout)
        try:
            return await call, "", {}
        except grpc.RpcError as error:
            trailers = dict(error.trailing_metadata() or ())
            return error.code().name, error.details(), trailers


@pytest.mark.parametrize(
    "ending,proof",
    [
        ("refuse-stream", True),
        ("goaway-before", True),
        ("goaway-after", False),
        ("reset", False),
        ("drop", False),
        ("error", False),
        ("cut", False),
    ],
)
async def test_a_once_only_op_is_retried_only_if_it_was_provably_not_executed(ending, proof):
    first = await ScriptedServer(ending).open()
    other = await ScriptedServer("ok done").open()
    async with RunningProxy([first.ident, other.ident], usual_tries=2) as running:
        running.proxy.forwarder.retry_policy.modes.update(dict.fromkeys(("pay-out", "look-up"), 2))
        outcomes = [(await running.op())[0] for _ in range(6)]
        if proof:
            assert outcomes == [b"done"] * 6 and first.seen
        else:
            assert set(outcomes) == {b"done", {"error": "INTERNAL"}.get(ending, "UNAVAILABLE")}
            assert len(first.seen) + len(other.seen) == 6, "no op was sent twice"


@pytest.mark.parametrize("ending", ["goaway-after", "reset", "drop", "error"])
async def test_a_retryable_op_is_retried_after_any_failure_if_its_mode_says_so(ending):
    first = await ScriptedServer(ending).open()
    other = await ScriptedServer("ok done").open()
    async with RunningProxy([first.ident, other.ident]) as running:
        running.proxy.forwarder.retry_policy.modes["look-up"] = 2
        assert [(await running.op("look-up"))[0] for _ in range(4)] == [b"done"] * 4
        running.proxy.forwarder.retry_policy.modes["look-up"] = 1
        assert b"done" != {(await running.op("look-up"))[0] for _ in range(4)}


async def test_a_refused_connection_is_retried_and_the_server_ejected_after_consecutive_failures():
    gone = await ScriptedServer("ok").open()
    gone.server.close()
    await gone.server.wait_closed()
    other = await ScriptedServer("ok done").open()
    async with RunningProxy([gone.ident, other.ident], fails_to_shun=3) as running:
        assert [(await running.op())[0] for _ in range(10)] == [b"done"] * 10
        assert gone.ident in running.proxy.forwarder.picker.ejected
        assert running.proxy.reports.sums[gone.ident, "pay-out"][1] == 3


async def test_a_server_that_never_answers_fails_only_its_own_ops_and_nothing_is_sent_twice():
    silent = await ScriptedServer("silent").open()
    other = await ScriptedServer("ok done").open()
    async with RunningProxy([silent.ident, other.ident]) as running:
        outcomes = [(await running.op(timeout=0.3))[0] for _ in range(4)]
        assert sorted(map(str, outcomes)) == ["DEADLINE_EXCEEDED"] * 2 + ["b'done'"] * 2
        assert len(silent.seen) == 2 and len(other.seen) == 2


async def test_an_op_that_is_not_admitted_is_rejected_at_once_with_a_retry_delay():
    server = await ScriptedServer("ok done").open()
    async with RunningProxy([server.ident]) as running:
        running.proxy.forwarder.levels.set_rate(round(time.monotonic() * 1e6), "pay-out", 0.1, 1)
        outcomes = [await running.op() for _ in range(3)]
        assert [o[0] for o in outcomes] == [b"done", "RESOURCE_EXHAUSTED", "RESOURCE_EXHAUSTED"]
        assert 0 < int(outcomes[1][2]["grpc-retry-pushback-ms"]) <= 10_000
        assert running.proxy.forwarder.levels.take_counts()["pay-out"] == (1, 2)
        assert (await running.op("no-such-op"))[0] == "UNIMPLEMENTED"


async def test_an_empty_table_rejects_ops_at_once_with_a_retry_delay():
    async with RunningProxy([]) as running:
        status, text, trailers = await running.op()
        assert status == "UNAVAILABLE" and "no server left" in text and "grpc-retry-pushback-ms" in trailers


async def test_an_op_that_its_client_cancels_is_not_retried():
    first = await ScriptedServer("silent").open()
    other = await ScriptedServer("ok done").open()
    async with RunningProxy([first.ident, other.ident]) as running:
        running.proxy.forwarder.set_table({first.ident: 1000})
        call = running.channel.unary_unary("/any.Service/look-up")(b"x", timeout=5)
        await until(lambda: first.seen)
        call.cancel()
        running.proxy.forwarder.set_table({other.ident: 1000})
        await until(lambda: not any(c.ops for c in running.proxy.listener.clients))
        assert not other.seen and (await running.op())[0] == b"done"


async def test_streams_larger_than_all_flow_control_windows_pass_unchanged_both_ways():
    parts = [bytes([k % 251]) * 70_000 for k in range(30)]

    async def echo(requests, context):
        async for part in requests:
            yield part

    server = grpc.aio.server()
    handler = grpc.method_handlers_generic_handler(
        "any.Service", {"look-up": grpc.stream_stream_rpc_method_handler(echo)}
    )
    server.add_generic_rpc_handlers((handler,))
    async with serve_grpc(server) as port, RunningProxy([f"127.0.0.1:{port}"]) as running:
        call = running.channel.stream_stream("/any.Service/look-up")(timeout=20)

        async def send():
            for part in parts:
                await call.write(part)
            await call.done_writing()

        got = []
        async with anyio.create_task_group() as group:
            group.start_soon(send)
            async for part in call:
                got.append(part)
        assert got == parts


async def test_a_drain_ends_ops_in_flight_with_unavailable_after_its_timeout():
    server = await ScriptedServer("silent").open()
    async with RunningProxy([server.ident]) as running:
        call = running.channel.unary_unary("/any.Service/look-up")(b"x", timeout=5)
        await until(lambda: server.seen)
        closing = asyncio.get_running_loop().create_task(running.proxy.listener.close(0.2))
        with pytest.raises(grpc.RpcError) as ended:
            await call
        assert ended.value.code() == grpc.StatusCode.UNAVAILABLE
        await closing


async def test_it_applies_tables_of_a_live_controller_and_keeps_its_table_when_the_stream_ends():
    servers = [await ScriptedServer("ok done").open() for _ in range(4)]
    idents = [server.ident for server in servers]
    site = read_site(SITE)
    async with controller(cycle=100_000) as (host, address):
        host.listed("whole", open_lines(*idents))
        proxy = Proxy("p", "east", site.settings_map(), site.name, OP_TYPES, [address], [], time.monotonic)
        async with anyio.create_task_group() as group:
            group.start_soon(proxy.run)
            await until(lambda: set(proxy.table.lines) == set(idents))
            async with grpc.aio.insecure_channel(f"127.0.0.1:{proxy.listener.port}") as channel:
                op = channel.unary_unary("/any.Service/pay-out")
                for _ in range(40):
                    assert await op(b"x", timeout=2) == b"done"
                assert all(len(server.seen) == 10 for server in servers), "evenly, by weight"
                host.listed("changes", open_lines(idents[0], state="draining"))
                await until(lambda: idents[0] not in proxy.table.lines)
                await until(lambda: str(host.table_manager.ledger.holder("p").held) == proxy.table.name)
                seen = len(servers[0].seen)
                await until(lambda: host.controller.acked > 0, 5)
                host.front.streams["p"].end("gone for the test")
                await until(lambda: not proxy.control.joined)
                for _ in range(9):
                    assert await op(b"x", timeout=2) == b"done"
                assert len(servers[0].seen) == seen
                await until(lambda: proxy.control.joined)
                assert proxy.control.refusals == 0
            group.cancel_scope.cancel()


class SilentCall:
    """A stream on which nothing is read or written."""

    async def write(self, request):
        await anyio.sleep_forever()

    async def read(self):
        await anyio.sleep_forever()


class RedirectedCall:
    """A stream that delivers one response; then writes to it fail, and a read tells the redirect."""

    def __init__(self, target):
        self.redirect = grpc.aio.AioRpcError(
            grpc.StatusCode.ABORTED, grpc.aio.Metadata(), grpc.aio.Metadata((REDIRECT_METADATA, target))
        )
        self.responses = [discovery_pb2.DeltaDiscoveryResponse(type_url=ROUTES_TYPE, nonce="1")]
        self.write_failed = anyio.Event()

    async def write(self, request):
        if not self.responses:
            self.write_failed.set()
            raise asyncio.InvalidStateError("RPC already finished.")

    async def read(self):
        if self.responses:
            return self.responses.pop()
        await self.write_failed.wait()
        raise self.redirect


class RedirectedChannel:
    """A channel whose stream of tables is a RedirectedCall; all others are silent."""

    def __init__(self, target):
        self.target = target

    async def channel_ready(self):
        pass

    def stream_stream(self, method, **options):
        is_tables = method.endswith("/DeltaAggregatedResources")
        return lambda: RedirectedCall(self.target) if is_tables else SilentCall()


async def test_a_redirect_is_read_although_the_write_of_an_answer_fails(monkeypatch):
    # Guards against a proxy that connects to the next address: only a read tells the status of a stream.
    site, target = read_site(SITE), "127.0.0.1:2"
    addresses = ["127.0.0.1:1", "127.0.0.1:3", target]
    proxy = Proxy("p", "east", site.settings_map(), site.name, OP_TYPES, addresses, [], time.monotonic)
    monkeypatch.setattr(proxy.control, "channel", lambda address: RedirectedChannel(target))
    with anyio.fail_after(3):
        await proxy.control.dial(addresses[0])
    assert proxy.control.redirect_to == target


async def test_bytes_that_are_not_http2_close_only_their_connection():
    server = await ScriptedServer("ok done").open()

    async def babble(reader, writer):
        writer.write(b"HTTP/1.1 400 what\r\n\r\n" * 50)

    other = await asyncio.start_server(babble, "127.0.0.1", 0)
    bad = f"127.0.0.1:{other.sockets[0].getsockname()[1]}"
    async with RunningProxy([server.ident, bad]) as running:
        outcomes = [(await running.op())[0] for _ in range(6)]
        assert outcomes.count(b"done") >= 3 and len(server.seen) == outcomes.count(b"done")
        reader, writer = await asyncio.open_connection("127.0.0.1", running.proxy.listener.port)
        writer.write(b"\x00\xff" * 2000)
        assert await asyncio.wait_for(reader.read(), 3) is not None
        writer.close()
        running.proxy.forwarder.set_table({server.ident: 1})
        assert (await running.op())[0] == b"done"
    other.close()


async def test_an_admission_share_is_applied_from_an_assignments_drop_overloads():
    server = await ScriptedServer("ok done").open()
    site = read_site(SITE)
    async with controller(level="share", cycle=100_000) as (host, address):
        host.listed("whole", open_lines(server.ident))
        proxy = Proxy("p", "east", site.settings_map(), site.name, OP_TYPES, [address], [], time.monotonic)
        async with anyio.create_task_group() as group:
            group.start_soon(proxy.run)
            await until(lambda: server.ident in proxy.table.lines)

            def order(quota):
                host.desired_state.admit(host.clock(), "p", 4, quota, 0)
                for message in host.desired_state.close_batch():
                    host.channel.offer(host.clock(), message)
                host.request_run("test")

            order(0.0)
            await until(lambda: proxy.forwarder.levels.shares.get("pay-out") == 0.0)
            async with grpc.aio.insecure_channel(f"127.0.0.1:{proxy.listener.port}") as channel:
                with pytest.raises(grpc.RpcError) as refused:
                    await channel.unary_unary("/any.Service/pay-out")(b"x", timeout=2)
                assert refused.value.code() == grpc.StatusCode.RESOURCE_EXHAUSTED
                assert await channel.unary_unary("/any.Service/look-up")(b"x", timeout=2) == b"done"
                order(1.0)
                await until(lambda: proxy.forwarder.levels.shares.get("pay-out") == 1.0)
                assert await channel.unary_unary("/any.Service/pay-out")(b"x", timeout=2) == b"done"
            group.cancel_scope.cancel()


async def test_after_the_loss_of_a_controller_it_takes_the_table_of_the_next():
    servers = [await ScriptedServer("ok done").open() for _ in range(3)]
    idents = [server.ident for server in servers]
    site = read_site(SITE)
    async with controller(cycle=100_000) as (first, one), controller(cycle=100_000, me=1) as (second, two):
        first.listed("whole", open_lines(*idents))
        second.listed("whole", open_lines(*idents[:2]))
        proxy = Proxy(
            "p",
            "east",
            site.settings_map(),
            site.name,
            OP_TYPES,
            ["127.0.0.1:9", one, two],
            [],
            time.monotonic,
            redial_delay=(0.05, 0.1),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(proxy.run)
            await until(lambda: "p" in first.joined_proxies and set(proxy.table.lines) == set(idents), 10)
            held = proxy.table.name
            first.front.streams["p"].end("gone for the test")
            await until(
                lambda: "p" in second.joined_proxies and set(proxy.table.lines) == set(idents[:2]), 10
            )
            assert proxy.table.name != held and proxy.control.refusals == 0
            assert second.table_manager.ledger.epoch >= first.table_manager.ledger.epoch, (
                "what the proxy held is outranked by the second epoch"
            )
            group.cancel_scope.cancel()


async def test_it_stalls_for_each_line_and_applies_a_burst_of_tables_in_order():
    servers = [await ScriptedServer("ok done").open() for _ in range(6)]
    idents = [server.ident for server in servers]
    site = read_site(SITE)
    now = [100.0]
    async with controller(cycle=100_000, lines_per_s=50_000.0) as (host, address):
        host.listed("whole", open_lines(*idents))
        proxy = Proxy(
            "p",
            "east",
            site.settings_map(),
            site.name,
            OP_TYPES,
            [address],
            [],
            lambda: now[0],
            stall_per_line=0.25,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(proxy.run)
            await until(lambda: proxy.table.lines)
            lines = len(proxy.table.lines)
            assert proxy.forwarder.stalled_until == 100.0 + 0.25 * lines
            for k in range(40):
                host.listed(
                    "changes",
                    [*open_lines(idents[k % 6], state="draining"), *open_lines(idents[(k - 1) % 6])],
                )
                time.sleep(0.002)  # blocks the event loop, so that assignments queue up
            await until(
                lambda: (
                    idents[39 % 6] not in proxy.table.lines and not host.table_manager.ledger.proxies_behind()
                )
            )
            assert proxy.table.lines == {
                s: round(w * 1000) for s, w in host.table_manager.ledger.table("p").lines.items()
            }
            assert proxy.control.refusals == 0
            group.cancel_scope.cancel()


async def test_idle_connections_and_those_of_servers_that_left_are_closed():
    first = await ScriptedServer("ok done").open()
    other = await ScriptedServer("ok done").open()
    async with RunningProxy([first.ident, other.ident]) as running:
        forwarder = running.proxy.forwarder
        assert [(await running.op())[0] for _ in range(4)] == [b"done"] * 4
        pool = forwarder.pools[first.ident]
        assert len(pool.connections) == 1
        forwarder.close_idle()
        assert len(pool.connections) == 1, "not idle for long enough"
        pool.idle_timeout = -1.0
        forwarder.close_idle()
        await until(lambda: not pool.connections)
        gone = forwarder.pools[other.ident]
        forwarder.set_table({first.ident: 1000})
        await until(lambda: not gone.connections)
        assert (await running.op())[0] == b"done"


async def test_a_server_that_restarts_at_its_address_is_connected_to_again():
    server = await ScriptedServer("ok done").open()
    async with RunningProxy([server.ident]) as running:
        assert (await running.op())[0] == b"done"
        server.server.close()
        for writer in server.writers:
            writer.transport.abort()
        await until(lambda: not running.proxy.forwarder.pools[server.ident].connections)
        assert (await running.op())[0] == "UNAVAILABLE"
        await server.open()
        assert (await running.op())[0] == b"done"
