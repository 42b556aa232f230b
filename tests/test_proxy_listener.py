"""The proxy's listener limits what one client, or hundreds of half-written ones, can take from the others."""

import asyncio
import socket
from contextlib import asynccontextmanager

import anyio
import h2.config
import h2.connection
import h2.events
import h2.settings
import pytest
from frames import (
    CANCEL,
    CONTINUATION,
    DATA,
    END_HEADERS,
    HEADERS,
    PING,
    PREFACE,
    REQUEST,
    RESET,
    SETTINGS,
    field,
    frame,
    request,
)
from live import anyio_backend, collect_garbage, until  # noqa: F401
from test_proxy import RunningProxy, ScriptedServer

from foxstep.proxy import client_connection, inbound_frames, listener

pytestmark = pytest.mark.anyio


@asynccontextmanager
async def raw_client(running, *data):
    """Connects to the proxy and sends bytes after the preface and empty settings."""
    reader, writer = await asyncio.open_connection("127.0.0.1", running.proxy.listener.port)
    writer.write(PREFACE + frame(SETTINGS) + b"".join(data))
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


async def read_to_end(reader):
    """Reads until the proxy closes the connection."""
    with anyio.fail_after(5):
        try:
            while await reader.read(65536):
                pass
        except ConnectionError:
            pass


async def read_settings(reader, http2):
    """Reads until the settings of the proxy have arrived, which open the windows."""
    with anyio.fail_after(5):
        while http2.outbound_flow_control_window < 1_000_000:
            http2.receive_data(await reader.read(65536))


async def read_answer(reader, http2):
    """Reads the headers of the first answer."""
    with anyio.fail_after(5):
        while True:
            for event in http2.receive_data(await reader.read(65536)):
                if isinstance(event, h2.events.ResponseReceived):
                    return {bytes(name).decode(): bytes(value).decode() for name, value in event.headers}


# -- floods


FLOODS = {
    "ping": frame(PING, b"12345678"),
    "settings": frame(SETTINGS),
    "priority": frame(2, b"\0\0\0\0\1", 0, 1),
    "window update": frame(8, b"\0\0\0\1"),
    "empty data": frame(DATA, b"", 0, 1),
}


@pytest.mark.parametrize("kind", FLOODS)
async def test_client_that_sends_short_frames_leaves_every_turn_to_the_others(kind, monkeypatch):
    # Guards against ops that wait for seconds while one client's thousands of frames are parsed in one turn.
    parsed_in_turn, total = 0, 0
    max_in_turn = 0
    receive_data = h2.connection.H2Connection.receive_data

    def count_bytes(http2, data):
        nonlocal parsed_in_turn, total
        if http2.config is client_connection.CONFIG:  # not those of the server
            parsed_in_turn += len(data)
            total += len(data)
        return receive_data(http2, data)

    monkeypatch.setattr(h2.connection.H2Connection, "receive_data", count_bytes)
    flood = FLOODS[kind] * 6000
    server = await ScriptedServer("ok").open()
    async with RunningProxy([server.ident]) as running:
        opening = request(1, END_HEADERS)
        async with raw_client(running, opening, flood):
            while total < len(flood) // 2:
                parsed_in_turn = 0
                await asyncio.sleep(0)
                max_in_turn = max(max_in_turn, parsed_in_turn)
            # A turn has its work in frames at most; the first has the preface, settings and request, too.
            limit = inbound_frames.WORK_PER_TURN // inbound_frames.WORK_PER_FRAME * len(FLOODS[kind])
            assert max_in_turn <= limit + len(PREFACE + frame(SETTINGS) + opening)


async def test_op_that_is_reset_at_once_is_not_sent_on():
    # Guards against servers that get the ops of a client that resets each at once.
    server = await ScriptedServer("ok").open()
    async with RunningProxy([server.ident]) as running:
        await running.op()
        resets = [request(k) + frame(RESET, CANCEL, 0, k) for k in range(1, 20, 2)]
        async with raw_client(running, *resets):
            await until(
                lambda: any(c.http2.highest_inbound_stream_id == 19 for c in running.proxy.listener.clients)
            )
            await anyio.sleep(0.1)
            assert len(server.seen) == 1  # the op before
            assert (await running.op())[0]


async def test_nothing_is_read_from_a_client_that_does_not_read():
    # Guards against answers to pings that pile up for a client that reads nothing.
    server = await ScriptedServer("ok").open()
    async with RunningProxy([server.ident]) as running:
        async with raw_client(running) as (_, writer):
            (client,) = running.proxy.listener.clients
            await until(lambda: not client.frames.preface_left)
            client.pause_writing()
            received = client.frames
            writer.write(frame(PING, b"12345678") * 1000)
            await anyio.sleep(0.2)
            assert not received.data and not client.transport.is_reading()
            client.resume_writing()
            await until(client.transport.is_reading)


# -- half-written requests


@pytest.mark.parametrize(
    "block",
    [
        [REQUEST + field(b"a", b"b" * 100) * 100] + [field(b"a", b"b" * 100) * 50] * 8,
        [REQUEST] + [field(b"a", b"")] * 1000,
        [REQUEST + field(b"a", b"") * 600],
    ],
    ids=["long", "many frames", "short fields"],
)
async def test_long_or_numerous_header_fields_end_the_connection(block):
    # Guards against heads without an end, and of very many short fields, that fill the memory of the proxy.
    first, *others = block
    frames = [frame(HEADERS, first, 0 if others else END_HEADERS, 1)]
    frames += [frame(CONTINUATION, part, 0, 1) for part in others]
    if len(frames) > 1:
        frames.append(frame(CONTINUATION, b"", END_HEADERS, 1))
    async with RunningProxy(["127.0.0.1:9"]) as running:
        async with raw_client(running, *frames) as (reader, _):
            await read_to_end(reader)
        await until(lambda: not running.proxy.listener.clients)


@pytest.mark.parametrize("started", [PREFACE[:7], PREFACE + frame(SETTINGS) + frame(HEADERS, REQUEST, 0, 1)])
async def test_head_that_is_never_completed_ends_the_connection(started, monkeypatch):
    # Guards against clients that stop half way through a head and hold their connection for good.
    monkeypatch.setattr(client_connection, "HEAD_TIMEOUT_S", 0.2)
    async with RunningProxy(["127.0.0.1:9"]) as running:
        reader, writer = await asyncio.open_connection("127.0.0.1", running.proxy.listener.port)
        writer.write(started)
        await read_to_end(reader)
        writer.close()


async def test_connections_beyond_the_limit_take_the_place_of_idle_ones(monkeypatch):
    # Guards against hundreds of silent clients that use up the descriptors.
    monkeypatch.setattr(listener, "MAX_CLIENTS", 3)
    server = await ScriptedServer("silent").open()
    async with RunningProxy([server.ident]) as running:
        clients = running.proxy.listener.clients
        async with raw_client(running, request(1)):
            await until(lambda: any(client.ops for client in clients))
            async with raw_client(running) as (idle_reader, _), raw_client(running), raw_client(running):
                await read_to_end(idle_reader)
                assert len(clients) == 3 and any(client.ops for client in clients)


async def test_bodies_of_all_clients_are_bounded_together(monkeypatch):
    # Guards against hundreds of clients that stop half way through a large body and fill the memory.
    monkeypatch.setattr(listener, "MAX_HELD_BYTES", 200_000)
    server = await ScriptedServer("ok").open()
    async with RunningProxy([server.ident]) as running:
        part = b"x" * 16_000
        body = frame(DATA, part, 0, 1) * 2
        async with raw_client(running, request(1, END_HEADERS), body):
            await until(lambda: running.proxy.listener.held_bytes == 32_000)
            reader, writer = await asyncio.open_connection("127.0.0.1", running.proxy.listener.port)
            http2 = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
            http2.initiate_connection()
            http2.send_headers(
                1, [(":method", "POST"), (":scheme", "http"), (":authority", "x"), (":path", "/a/look-up")]
            )
            for size in (3, 8):  # parts; the initial window has room for the first
                for _ in range(size):
                    http2.send_data(1, part)
                writer.write(http2.data_to_send())
                await read_settings(reader, http2)
            answer = await read_answer(reader, http2)
            assert answer["grpc-status"] == "8"
            assert running.proxy.listener.held_bytes == 32_000
            assert (await running.op("pay-out"))[0]
            writer.close()
        await until(lambda: running.proxy.listener.held_bytes == 0)


async def test_window_of_a_connection_is_reopened_by_the_bodies_of_reset_ops():
    # Guards against a client that can send nothing more once it has reset ops with some megabytes of bodies.
    server = await ScriptedServer("silent").open()
    async with RunningProxy([server.ident]) as running:
        async with raw_client(running) as (_, writer):
            (client,) = running.proxy.listener.clients
            await until(lambda: not client.frames.preface_left)
            before = client.http2.inbound_flow_control_window
            for k in range(1, 40, 2):
                writer.write(request(k, END_HEADERS) + frame(DATA, b"x" * 16_000, 0, k) * 4)
                writer.write(frame(RESET, CANCEL, 0, k))
            await until(lambda: client.http2.highest_inbound_stream_id == 39 and not client.ops)
            await until(lambda: client.http2.inbound_flow_control_window > before - 200_000)
            assert running.proxy.listener.held_bytes == 0


# -- clients that leave


async def test_ops_of_a_client_that_has_left_are_not_sent_on():
    # Guards against an op that runs although its client has left, and again when the client comes back.
    server = await ScriptedServer("ok").open()
    async with RunningProxy([server.ident]) as running:
        await running.op()
        assert len(server.seen) == 1
        with socket.create_connection(("127.0.0.1", running.proxy.listener.port)) as client:
            client.sendall(PREFACE + frame(SETTINGS))
            await until(lambda: len(running.proxy.listener.clients) == 2)
            await anyio.sleep(0.05)
            # The event loop does not run between the requests and the end of the connection.
            client.sendall(b"".join(request(k) for k in range(1, 400, 2)))
        await until(lambda: len(running.proxy.listener.clients) == 1)
        await anyio.sleep(0.1)
        assert len(server.seen) == 1
        assert not running.proxy.listener.held_bytes
