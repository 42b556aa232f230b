"""What is still owed at the instant in which something ends, forced over loopback by the order of bytes and
events. The table of these crossings stands in `docs/design/node.md`."""

import asyncio
import json
import signal
import socket
import time

import anyio
import pytest
from live import anyio_backend  # noqa: F401
from node import SETTINGS, Discovery, config, entry, node, process, until
from test_node import Slow, ready

from foxstep.node import config as configs
from foxstep.node.streams import JOIN_TIMEOUT, Connection
from foxstep.standins.ports import free_ports

pytestmark = pytest.mark.anyio
A, B, C = "s-a", "s-b", "s-c"
NEST = b'{"a":' * 5000 + b"1" + b"}" * 5000


def joined(number):
    return b'{"@type":"joined","node":%d,"locality":"east","w":1.0,"cold":true}\n' % number


def noted(running):
    """How the list was told to the host, call by call."""
    kinds, listed = [], running.host.listed
    running.host.listed = lambda how, lines: (kinds.append(how), listed(how, lines))
    return kinds


# -- streams


async def test_first_words_held_up_until_the_proxy_has_dialled_anew_end_no_good_stream(tmp_path):
    discovery = Discovery(A, B)
    async with node(tmp_path, discovery, known=[A, B]) as running:
        older, words = await running.dial(), joined(3)
        await older.say(words[:20])
        await until(lambda: running.acceptor.partial_bytes == 20)
        newer = await running.dial()
        await newer.join(3)
        await newer.update()
        await older.say(words[20:])
        assert await older.line() in (None, {"@type": "refused"})
        discovery.change(entry(A, "leaving"))
        while newer.held.keys() != {B}:
            await newer.update()
        assert set(running.host.joins) == {3}


async def test_a_stranger_whose_words_are_not_read_yet_makes_room_for_nobody(tmp_path):
    async with node(tmp_path, Discovery(A), known=[A], sockets=48) as running:
        acceptor, proxy = running.acceptor, socket.create_connection(("127.0.0.1", running.port))
        await until(lambda: acceptor.strangers)
        others = [await running.dial() for _ in range(acceptor.most - 1)]
        await until(lambda: len(acceptor.strangers) == acceptor.most)
        (first, second, *_) = acceptor.strangers
        proxy.sendall(joined(3))  # the loop gets no turn to read it before this:
        assert acceptor.make_room()
        assert not first.closed and second.closed
        await until(lambda: 3 in running.host.joins)
        for end in (proxy, *others):
            end.close()


async def test_the_time_out_of_a_stranger_fires_in_the_tick_of_its_words(tmp_path):
    async with node(tmp_path, Discovery(A), known=[A]) as running:
        with socket.create_connection(("127.0.0.1", running.port)) as proxy:
            await until(lambda: running.acceptor.strangers)
            proxy.sendall(joined(3))
            time.sleep(JOIN_TIMEOUT + 0.1)  # both are due when the loop turns again
            await until(lambda: 3 in running.host.joins)
            await anyio.sleep(0)
            assert len(running.acceptor.connections) == 1 and not running.acceptor.strangers


async def test_pongs_do_not_pile_up_for_one_who_reads_none(tmp_path):
    async with node(tmp_path, Discovery(A), known=[A]) as running:
        connection, slow = Connection(running.acceptor), Slow()
        connection.connection_made(slow)
        ping = b'{"@type":"ping"}\n' * 3000
        running.acceptor.buffer[: len(ping)] = ping
        connection.buffer_updated(len(ping))
        assert len(slow.written) == 3000
        connection.pause_writing()
        connection.buffer_updated(len(ping))
        assert len(slow.written) == 3000
        connection.resume_writing()
        connection.buffer_updated(17)
        assert len(slow.written) == 3001
        connection.known()


async def test_a_mark_of_a_stream_that_was_reset_is_not_answered_on_the_next(tmp_path):
    discovery = Discovery(A, B)
    async with node(tmp_path, discovery, known=[A, B]) as running:
        older = await running.dial()
        await older.join(3)
        parts = await older.update()
        await until(lambda: running.node.discovery.index == 5)
        while not (number := parts[-1].get("ticket")):
            discovery.change(entry(B, "leaving" if B in older.held else "active"))
            parts = await older.update()
        older.writer.transport.abort()
        await until(lambda: not running.host.joins)
        newer = await running.dial()
        await newer.join(3, cold=False)
        (first, *_) = await newer.update()
        assert first["whole"]  # nothing of what the older was owed is taken for granted
        await newer.say(
            {"@type": "applied", "node": 3, "nonce": number, "latency": 1.0},
            {"@type": "usage", "node": 3, "route": "read", "total": 1, "errors": 0, "interval": 9.0},
        )
        await until(lambda: any(bucket[0] for bucket in running.host.controller.proxies[3].usage[0].buckets))
        assert not running.host.joins[3].accepted


async def test_what_waits_for_a_reader_ends_with_its_stream(tmp_path):
    async with node(tmp_path, Discovery(A, B), known=[A, B]) as running:
        proxy = await running.dial()
        await proxy.join(3)
        await proxy.update()
        await until(lambda: running.node.discovery.index == 5)
        connection = running.host.joins[3].outlet
        connection.pause_writing()
        running.host.listed("changes", [(A, "east", "std", 0, "draining", 1.0, 0)])
        await until(lambda: connection.pending)
        proxy.writer.transport.abort()
        await until(lambda: not running.host.joins)
        assert connection.pending is None and not connection.marks and not running.host.book.holdings
        again = await running.dial()
        await again.join(3, cold=False)
        assert (await again.update())[0]["whole"] and again.held.keys() == {B}


async def test_a_collector_that_ends_in_the_middle_of_a_line_has_said_what_was_whole(tmp_path):
    async with node(tmp_path, Discovery(A), known=[A]) as running:
        heard = []
        running.host.heard = lambda *args: heard.append(args)
        collector = await running.dial()
        met = (
            json.dumps(
                {
                    "@type": "heard",
                    "locality": "east",
                    "endpoint": A,
                    "total": 4,
                    "errors": 1,
                    "rtt": 20.5,
                    "interval": 500.0,
                }
            ).encode()
            + b"\n"
        )
        await collector.say({"@type": "collector", "locality": "east"}, met + met[:-2])
        await until(lambda: heard and running.acceptor.partial_bytes)
        collector.close()
        await until(lambda: not running.acceptor.connections)
        assert len(heard) == 1 and not running.acceptor.partial_bytes


async def test_all_proxies_come_to_a_controller_that_has_just_started(tmp_path):
    async with node(tmp_path, Discovery(A, B), known=[A, B]) as running:
        number = SETTINGS["familyInfo"]["agents"]
        proxies = [await running.dial() for _ in range(number)]
        for k, proxy in enumerate(proxies):
            await proxy.join(k, cold=bool(k % 2))
        stranger = await running.dial()
        await stranger.say({"@type": "ping"})
        assert await stranger.line() == {"@type": "pong"}
        for proxy in proxies:
            await proxy.update()
            assert proxy.held
        assert set(running.host.joins) == set(range(number))


# -- discovery


async def test_an_empty_list_leaves_every_proxy_its_lines(tmp_path):
    discovery = Discovery(A, B)
    async with node(tmp_path, discovery, known=[A, B]) as running:
        proxy, kinds = await running.dial(), noted(running)
        await proxy.join(3)
        await proxy.update()
        await until(lambda: discovery.paths)
        discovery.replace(9)
        await until(lambda: "failed" in kinds)
        discovery.replace(10, entry(A))
        discovery.once = True
        while proxy.held.keys() != {A}:
            await proxy.update(within=5)
            assert proxy.held
        assert running.host.listed_lines[B][4] == "gone"


async def test_a_list_that_went_back_brings_nothing_back_until_it_stays(tmp_path):
    discovery = Discovery(A, B)
    async with node(tmp_path, discovery, known=[A, B]) as running:
        proxy, kinds, client = await running.dial(), noted(running), running.node.discovery
        await proxy.join(3)
        discovery.change(entry(B, "leaving"), entry(C))
        while proxy.held.keys() != {A, C}:
            await proxy.update()
        await until(lambda: client.index == 6)
        discovery.replace(2, entry(A), entry(B))  # one that lags: C has not come, B is not leaving yet
        await until(lambda: kinds.count("failed") >= 2, within=9)
        assert client.index == 6 and running.host.listed_lines[B][4] == "draining"
        assert running.host.listed_lines[C][4] == "open"
        client.renumbering_timeout = 0  # it has stayed so for as long as the settings allow
        await until(lambda: client.index == 2, within=9)
        assert running.host.listed_lines[B][4] == "open" and running.host.listed_lines[C][4] == "gone"


async def test_a_connection_to_discovery_that_ends_between_two_calls_is_no_failure(tmp_path):
    discovery = Discovery(A)
    async with node(tmp_path, discovery, known=[A]) as running:
        kinds = noted(running)
        await until(lambda: "after=5&" in "".join(discovery.paths))  # this watch is out and waits
        discovery.once, discovery.fail = True, "reset"
        discovery.change(entry(B))  # told; the call after it finds its connection reset
        await until(lambda: discovery.fail is None)
        discovery.change(entry(C))
        await until(lambda: C in running.host.listed_lines)
        assert "failed" not in kinds


@pytest.mark.parametrize(
    "how",
    [
        "cut",
        b'{"index":99',
        b'{"index":99,"snapshot":true,"endpoints":[{}]}',
        b'{"index":99,"snapshot":true,"endpoints":[],"x":' + NEST + b"}",
        b"\xff\xfe",
    ],
)
async def test_an_answer_of_discovery_that_is_cut_or_spoilt_is_not_half_applied(tmp_path, how):
    discovery = Discovery(A, B)
    async with node(tmp_path, discovery, known=[A, B]) as running:
        kinds = noted(running)
        await until(lambda: "after=5&" in "".join(discovery.paths))  # this watch is out and waits
        discovery.once, discovery.fail = True, how
        discovery.change(entry(C))
        await until(lambda: "failed" in kinds)
        assert running.node.discovery.index == 6 and running.host.listed_lines[A][4] == "open"
        discovery.change(entry(B, "leaving"))
        await until(lambda: running.host.listed_lines[B][4] == "draining")
        assert [path for path in discovery.paths if "after=6&" in path][1:]  # asked again for the same


async def test_a_moved_discovery_is_asked_at_once_even_while_a_failed_call_waits(tmp_path):
    discovery, second = Discovery(A), Discovery(A, B)
    second.index, discovery.fail, (at,) = 6, "503", free_ports(1)
    async with (
        await asyncio.start_server(second.serve, "127.0.0.1", at),
        node(tmp_path, discovery, known=[A]) as running,
    ):
        await until(lambda: discovery.paths)
        running.host.controller.ask_again = running.host.clock() + 10**9
        await until(lambda: running.node.discovery.calling is None)
        config(tmp_path, running.port, at, [A])
        running.node.reload()
        running.node.reload()  # twice in a row: the second finds nothing new
        await until(lambda: B in running.host.listed_lines, within=1.0)
        assert len(discovery.paths) == 1 and "after=1&" in second.paths[0]
        await until(lambda: "after=6&" in "".join(second.paths))
        under_way = running.node.discovery.calling
        running.node.reload()  # the same address once more: its watch goes on
        assert running.node.discovery.calling is under_way and not under_way.cancel_called


async def test_a_call_that_fails_in_the_tick_in_which_it_is_called_off_is_made_anew(tmp_path):
    async with node(tmp_path, Discovery(A), known=[A]) as running:
        client, kinds, calls = running.node.discovery, noted(running), []
        await until(lambda: client.index == 5)

        async def follow():
            calls.append(client.at)
            if len(calls) == 1:
                client.restart_call()
                return "reset"
            await anyio.sleep_forever()

        client.follow = follow
        client.restart_call()
        await until(lambda: len(calls) == 2)
        assert "failed" not in kinds


async def test_a_server_leaves_goes_and_comes_back_as_a_new_process(tmp_path):
    discovery = Discovery(A, B)
    async with node(tmp_path, discovery, known=[A, B]) as running:
        proxy = await running.dial()
        await proxy.join(3)
        await proxy.update()
        for status, ours in (("leaving", "draining"), ("left", "gone")):
            discovery.change(entry(B, status))
            await until(lambda ours=ours: running.host.listed_lines[B][4] == ours)
        while B in proxy.held:
            await proxy.update()
        discovery.change(entry(B, since_ms=time.time() * 1000))
        await until(lambda: running.host.listed_lines[B][4] == "open")
        server = running.host.controller.servers[B]
        assert server.started and running.host.controller.warmth(server) < 1 and not server.strikes


# -- probes


async def test_a_probe_of_a_process_that_has_ended_says_nothing_of_the_next(tmp_path):
    asked, answer = [], asyncio.Event()

    async def serve(reader, writer):
        asked.append(await reader.readline())
        if len(asked) == 1:
            await answer.wait()
        status = b"503 no" if len(asked) == 1 else b"200 OK"
        writer.write(b"HTTP/1.1 %b\r\nContent-Length: 8\r\n\r\nutil=0.5" % status)

    (port,), discovery = free_ports(1), Discovery(A)
    discovery.entries[A]["address"] = f"127.0.0.1:{port}"
    async with (
        await asyncio.start_server(serve, "127.0.0.1", port),
        node(tmp_path, discovery, known=[A]) as running,
    ):
        told, host = [], running.host
        await until(lambda: running.node.discovery.index == 5)
        host.probed = lambda *args: told.append(args[:2])
        host.probe(A)
        await until(lambda: asked)
        host.probe(A)  # the module asks again: the server has started anew
        answer.set()
        await until(lambda: told)
        assert told == [(A, "acked")] and len(asked) == 2 and not running.node.prober.waiting


# -- settings, and the end


SPOILT = {
    "deep": NEST,
    "counted": {"services.count": 10**9},
    "a map": {"services": {"count": 10**9}},
    "no pace": {"familyInfo": {**SETTINGS["familyInfo"], "egressPerS": "nan"}},
    "no head": {"familyInfo": {**SETTINGS["familyInfo"], "head": "inf"}},
    "below 0": {"familyInfo": {**SETTINGS["familyInfo"], "head": -1.0}},
}


@pytest.mark.parametrize("kind", SPOILT)
async def test_settings_that_cannot_be_meant_are_told_in_one_line(tmp_path, kind):
    path = config(tmp_path, 7000, 8500)
    if isinstance(SPOILT[kind], bytes):
        (tmp_path / "config.json").write_bytes(SPOILT[kind])
    else:
        config(tmp_path, 7000, 8500, settings={**SETTINGS, **SPOILT[kind]})
    with pytest.raises(configs.ConfigError) as unsound:
        configs.read(path)
    assert "\n" not in str(unsound.value)


async def test_sigterm_with_orders_marks_probes_and_a_watch_out(tmp_path):
    async def silent(reader, writer):
        await reader.read()

    discovery, (port, at, probed) = Discovery(A, B), free_ports(3)
    for server in discovery.entries.values():
        server["address"] = f"127.0.0.1:{probed}"
    settings = {
        **SETTINGS,
        "allowed": {**SETTINGS["allowed"], "probes": True},
        "familyInfo": {**SETTINGS["familyInfo"], "egressPerS": 20.0},
    }
    async with (
        await asyncio.start_server(discovery.serve, "127.0.0.1", at),
        await asyncio.start_server(silent, "127.0.0.1", probed),
        process(tmp_path, config(tmp_path, port, at, [A], settings=settings)) as running,
    ):
        await ready(port)
        streams = [await asyncio.open_connection("127.0.0.1", port) for _ in range(20)]
        for number, (_, writer) in enumerate(streams):
            writer.write(joined(number))
        assert b"update" in await streams[0][0].readline()
        await until(lambda: discovery.paths)
        (tmp_path / "config.json").write_bytes(NEST)
        running.send_signal(signal.SIGHUP)  # unsound, while orders wait in the channel
        await until(lambda: "not taken" in (tmp_path / "log").read_text())
        assert running.poll() is None
        running.send_signal(signal.SIGTERM)
        assert await asyncio.to_thread(running.wait, 3) == 0
        for reader, _ in streams:  # the end of each stream is told, not left open
            with anyio.fail_after(3):
                try:
                    while await reader.read(65_536):
                        pass
                except ConnectionError:
                    pass
    assert "Traceback" not in (tmp_path / "log").read_text()
