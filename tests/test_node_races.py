"""Race conditions of the node, forced over loopback by the order of bytes and events.

Each test ends a connection, call, process or list while something that depends on it is still pending. The
table of these cases is in `docs/design/node.md`.
"""

import asyncio
import json
import signal
import socket
import time

import anyio
import pytest
from live import FAILED_KINDS, anyio_backend, record_list_kinds, record_retry_delays  # noqa: F401
from node import SETTINGS, FakeDiscovery, endpoint, run_node, run_process, until, write_config
from structlog.testing import capture_logs
from test_node import BlockedTransport, wait_until_ready

from foxstep.node import config as configs
from foxstep.node import discovery as discovery_module
from foxstep.node import late_calls
from foxstep.node.discovery import CONNECT_TIMEOUT_S, RESPONSE_TIMEOUT_S, FailureKind, PollEnd
from foxstep.node.late_calls import Answer, Call
from foxstep.node.streams import HANDSHAKE_TIMEOUT_S, READ_BYTES_PER_TURN, Connection
from foxstep.standins.ports import free_ports

pytestmark = pytest.mark.anyio
A = "s-a"
B = "s-b"
C = "s-c"
DEEPLY_NESTED = b'{"a":' * 5000 + b"1" + b"}" * 5000


def handshake(number):
    return b'{"@type":"joined","node":%d,"locality":"east","w":1.0,"cold":true}\n' % number


def settings_with(**guarantees):
    """The settings with other guarantees."""
    return {**SETTINGS, "guarantees": {**SETTINGS["guarantees"], **guarantees}}


# -- streams


async def test_delayed_handshake_of_a_reconnected_proxy_does_not_end_its_new_stream(tmp_path):
    discovery = FakeDiscovery(A, B)
    async with run_node(tmp_path, discovery, known=[A, B]) as running:
        older, data = await running.connect(), handshake(3)
        await older.send(data[:20])
        await until(lambda: running.acceptor.partial_bytes == 20)
        newer = await running.connect()
        await newer.join(3)
        await newer.receive_update()
        await older.send(data[20:])
        assert await older.receive() in (None, {"@type": "refused"})
        discovery.change(endpoint(A, "leaving"))
        while newer.weights.keys() != {B}:
            await newer.receive_update()
        assert set(running.host.joined_proxies) == {3}


async def test_pending_connection_with_an_unread_handshake_is_not_closed_for_another(tmp_path):
    async with run_node(tmp_path, FakeDiscovery(A), known=[A], sockets=48) as running:
        acceptor, proxy = running.acceptor, socket.create_connection(("127.0.0.1", running.port))
        await until(lambda: acceptor.pending_connections)
        others = [await running.connect() for _ in range(acceptor.max_connections - 1)]
        await until(lambda: len(acceptor.pending_connections) == acceptor.max_connections)
        (first, second, *_) = acceptor.pending_connections
        proxy.sendall(handshake(3))  # the event loop does not run before the next line, so it can't read this
        assert acceptor.ensure_capacity()
        assert not first.closed and second.closed
        await until(lambda: 3 in running.host.joined_proxies)
        for client in (proxy, *others):
            client.close()


async def test_handshake_timeout_due_in_the_same_tick_as_the_handshake(tmp_path):
    async with run_node(tmp_path, FakeDiscovery(A), known=[A]) as running:
        with socket.create_connection(("127.0.0.1", running.port)) as proxy:
            await until(lambda: running.acceptor.pending_connections)
            proxy.sendall(handshake(3))
            time.sleep(HANDSHAKE_TIMEOUT_S + 0.1)  # both are due when the event loop runs again
            await until(lambda: 3 in running.host.joined_proxies)
            await anyio.sleep(0)
            assert len(running.acceptor.connections) == 1 and not running.acceptor.pending_connections


async def test_pongs_do_not_accumulate_for_a_peer_that_does_not_read(tmp_path):
    async with run_node(tmp_path, FakeDiscovery(A), known=[A]) as running:
        connection, transport = Connection(running.acceptor), BlockedTransport()
        connection.connection_made(transport)
        ping = b'{"@type":"ping"}\n' * 200
        running.acceptor.buffer[: len(ping)] = ping
        for _ in range(15):
            connection.buffer_updated(len(ping))
        assert len(transport.written) == 3000
        connection.pause_writing()
        for _ in range(15):
            connection.buffer_updated(len(ping))
        assert len(transport.written) == 3000
        connection.resume_writing()
        connection.buffer_updated(17)
        assert len(transport.written) == 3001
        connection.end_handshake()


async def test_client_that_sends_short_lines_leaves_every_turn_to_the_others(tmp_path, monkeypatch):
    # Guards against clients that wait while one client's 20,000 short lines are handled in one turn.
    handled_in_turn, turns = 0, []
    receive_line = Connection.receive_line

    def count_line(connection, line):
        nonlocal handled_in_turn
        handled_in_turn += 1
        receive_line(connection, line)

    monkeypatch.setattr(Connection, "receive_line", count_line)
    async with run_node(tmp_path, FakeDiscovery(A), known=[A]) as running:
        collector = await running.connect()
        await collector.send({"@type": "collector", "locality": "east"})
        collector.writer.write(b"{}\n" * 30_000)
        while sum(turns) < 30_001:
            handled_in_turn = 0
            await anyio.sleep(0)
            turns.append(handled_in_turn)
        assert max(turns) <= READ_BYTES_PER_TURN < 5_000


async def test_mark_of_a_reset_stream_cannot_be_answered_on_the_next_stream(tmp_path):
    discovery = FakeDiscovery(A, B)
    async with run_node(tmp_path, discovery, known=[A, B]) as running:
        older = await running.connect()
        await older.join(3)
        parts = await older.receive_update()
        await until(lambda: running.node.discovery.index == 5)
        while not (number := parts[-1].get("ticket")):
            discovery.change(endpoint(B, "leaving" if B in older.weights else "active"))
            parts = await older.receive_update()
        older.writer.transport.abort()
        await until(lambda: not running.host.joined_proxies)
        newer = await running.connect()
        await newer.join(3, cold=False)
        (first, *_) = await newer.receive_update()
        assert first["whole"]  # nothing pending on the older stream counts as delivered
        await newer.send(
            {"@type": "applied", "node": 3, "nonce": number, "latency": 1.0},
            {"@type": "usage", "node": 3, "route": "read", "total": 1, "errors": 0, "interval": 9.0},
        )
        await until(lambda: any(bucket[0] for bucket in running.host.controller.proxies[3].usage[0].buckets))
        assert not running.host.joined_proxies[3].accepted


async def test_pending_update_is_dropped_with_its_stream(tmp_path):
    async with run_node(tmp_path, FakeDiscovery(A, B), known=[A, B]) as running:
        proxy = await running.connect()
        await proxy.join(3)
        await proxy.receive_update()
        await until(lambda: running.node.discovery.index == 5)
        connection = running.host.joined_proxies[3].stream
        connection.pause_writing()
        running.host.listed("changes", [(A, "east", "std", 0, "draining", 1.0, 0)])
        await until(lambda: connection.pending)
        proxy.writer.transport.abort()
        await until(lambda: not running.host.joined_proxies)
        assert connection.pending is None and not connection.marks and not running.host.desired_state.holdings
        again = await running.connect()
        await again.join(3, cold=False)
        assert (await again.receive_update())[0]["whole"] and again.weights.keys() == {B}


async def test_complete_messages_count_if_a_collector_disconnects_in_the_middle_of_a_line(tmp_path):
    async with run_node(tmp_path, FakeDiscovery(A), known=[A]) as running:
        heard = []
        running.host.heard = lambda *args: heard.append(args)
        collector = await running.connect()
        message = (
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
        await collector.send({"@type": "collector", "locality": "east"}, message + message[:-2])
        await until(lambda: heard and running.acceptor.partial_bytes)
        collector.close()
        await until(lambda: not running.acceptor.connections)
        assert len(heard) == 1 and not running.acceptor.partial_bytes


async def test_all_proxies_join_a_controller_that_has_just_started(tmp_path):
    async with run_node(tmp_path, FakeDiscovery(A, B), known=[A, B]) as running:
        number = SETTINGS["familyInfo"]["agents"]
        proxies = [await running.connect() for _ in range(number)]
        for k, proxy in enumerate(proxies):
            await proxy.join(k, cold=bool(k % 2))
        connection = await running.connect()
        await connection.send({"@type": "ping"})
        assert await connection.receive() == {"@type": "pong"}
        for proxy in proxies:
            await proxy.receive_update()
            assert proxy.weights
        assert set(running.host.joined_proxies) == set(range(number))


# -- discovery


async def test_empty_list_leaves_the_proxies_lines_unchanged(tmp_path):
    discovery = FakeDiscovery(A, B)
    async with run_node(tmp_path, discovery, known=[A, B]) as running:
        proxy, kinds = await running.connect(), record_list_kinds(running.host)
        await proxy.join(3)
        await proxy.receive_update()
        await until(lambda: discovery.paths)
        discovery.replace(9)
        await until(lambda: "failed" in kinds)
        discovery.replace(10, endpoint(A))
        discovery.fail_once = True
        while proxy.weights.keys() != {A}:
            await proxy.receive_update(within=5)
            assert proxy.weights
        assert running.host.listed_lines[B][4] == "gone"


async def test_older_list_is_rejected_until_it_has_persisted(tmp_path):
    discovery = FakeDiscovery(A, B)
    async with run_node(tmp_path, discovery, known=[A, B]) as running:
        proxy, kinds, client = (
            await running.connect(),
            record_list_kinds(running.host),
            running.node.discovery,
        )
        await proxy.join(3)
        discovery.change(endpoint(B, "leaving"), endpoint(C))
        while proxy.weights.keys() != {A, C}:
            await proxy.receive_update()
        await until(lambda: client.index == 6)
        # An outdated list, from before C was added and B began to leave.
        discovery.replace(2, endpoint(A), endpoint(B))
        await until(lambda: kinds.count("failed") >= 2, within=9)
        assert client.index == 6 and running.host.listed_lines[B][4] == "draining"
        assert running.host.listed_lines[C][4] == "open"
        # As if the older list had persisted for as long as the settings allow.
        client.renumbering_timeout_us = 0
        await until(lambda: client.index == 2, within=9)
        assert running.host.listed_lines[B][4] == "open" and running.host.listed_lines[C][4] == "gone"


async def test_discovery_connection_that_closes_between_two_calls_is_not_a_failure(tmp_path):
    discovery = FakeDiscovery(A)
    async with run_node(tmp_path, discovery, known=[A]) as running:
        kinds = record_list_kinds(running.host)
        await until(lambda: "after=5&" in "".join(discovery.paths))  # this long poll is waiting
        discovery.fail_once, discovery.failure = True, "reset"
        discovery.change(endpoint(B))  # reported; the next call finds its connection reset
        await until(lambda: discovery.failure is None)
        discovery.change(endpoint(C))
        await until(lambda: C in running.host.listed_lines)
        assert not FAILED_KINDS & set(kinds)


async def test_drain_lost_in_a_network_cut_is_requested_again_within_the_grace(tmp_path):
    # Guards against ops to a drained server: after a cut the next call came as late as a second failure in a
    # row allows, while the lost change already counted as known.
    discovery, settings = FakeDiscovery(A, B), settings_with(askWithin=2000.0, drainGrace=1500.0)
    async with run_node(tmp_path, discovery, known=[A, B], settings=settings) as running:
        proxy, delays = await running.connect(), record_retry_delays(running.host)
        await proxy.join(3)
        await until(lambda: "after=5&" in "".join(discovery.paths))  # this long poll is waiting
        discovery.cut_off()
        discovery.change(endpoint(A, "leaving"))  # its news is lost
        await until(lambda: discovery.cut_connections)
        discovery.heal()  # resets the first retry
        while proxy.weights.keys() != {B}:
            await proxy.receive_update(within=9)
        site = running.host.site
        assert len(delays) >= 2 and min(delays) > 0
        assert max(delays) < site["grace"] - site["transit_most"]


async def test_connecting_while_the_network_is_cut_is_given_up_within_the_grace(tmp_path, monkeypatch):
    # Guards against a call that waits for a connection which never comes up when the network is back.
    discovery, settings = FakeDiscovery(A), settings_with(askWithin=2000.0, drainGrace=1500.0)
    timeouts = []

    async def never_connect(address):
        timeouts.append(anyio.current_effective_deadline() - anyio.current_time())
        await anyio.sleep_forever()

    async with run_node(tmp_path, discovery, known=[A], settings=settings) as running:
        delays = record_retry_delays(running.host)
        await until(lambda: "after=5&" in "".join(discovery.paths))
        monkeypatch.setattr(discovery_module, "connect", never_connect)
        discovery.cut_off()
        await until(lambda: len(timeouts) >= 2 and len(delays) >= 2, within=9)
        site = running.host.site
        available_s = (site["grace"] - site["transit_most"]) / 1_000_000
        assert max(timeouts[:2]) + max(delays[:2]) / 1_000_000 < available_s
        # A connection that takes long to come up is waited for in the end.
        running.node.discovery.changes_lost_at -= 60_000_000
        attempts = len(timeouts)
        await until(lambda: len(timeouts) > attempts, within=9)
        assert timeouts[-1] > 0.9 * CONNECT_TIMEOUT_S


async def test_first_call_after_lost_changes_does_not_wait_for_a_change(tmp_path):
    # Guards against a second long poll that is silent, too, and not given up for seconds.
    discovery, settings = FakeDiscovery(A), settings_with(askWithin=2000.0)
    async with run_node(tmp_path, discovery, known=[A], settings=settings) as running:
        await until(lambda: "after=5&" in "".join(discovery.paths))
        discovery.fail_once, discovery.failure = True, b"no list"
        discovery.change(endpoint(B))  # reported; the answer to the next call is not valid
        await until(lambda: len(discovery.paths) >= 5, within=9)
        assert [path.rpartition("=")[2] for path in discovery.paths[-3:]] == ["1000", "0", "1000"]
        assert not running.node.discovery.changes_lost


async def test_slow_answer_after_lost_changes_is_waited_for_in_the_end(tmp_path):
    # Guards against calls to a slow service that are all given up before their answers arrive.
    discovery, settings = FakeDiscovery(A), settings_with(askWithin=2000.0)
    async with run_node(tmp_path, discovery, known=[A], settings=settings) as running:
        kinds = record_list_kinds(running.host)
        await until(lambda: "after=5&" in "".join(discovery.paths))
        discovery.fail_once, discovery.failure = True, b"no list"
        discovery.change(endpoint(B))  # reported; the answer to the next call is not valid
        await until(lambda: "lost" in kinds)
        discovery.delay = 1.1 * RESPONSE_TIMEOUT_S
        discovery.change(endpoint(C))
        await until(lambda: C in running.host.listed_lines, within=15)
        assert kinds.count("lost") == 2  # the first call that was answered late was given up


async def test_answer_that_comes_after_its_call_was_given_up_is_taken(tmp_path):
    # Guards against ops to a drained server: the answers of a busy discovery were given up just before they
    # came, within the 2 s that the protocol leaves them (review/9).
    discovery, settings = FakeDiscovery(A, B), settings_with(askWithin=2000.0, drainGrace=1500.0)
    async with run_node(tmp_path, discovery, known=[A, B], settings=settings) as running:
        client, kinds = running.node.discovery, record_list_kinds(running.host)
        proxy = await running.connect()
        await proxy.join(3)
        await until(lambda: "after=5&" in "".join(discovery.paths))
        await anyio.sleep(0.6 * client.poll_wait_s)
        discovery.delay = 1.9  # below the 2 s after which the news counts as told
        discovery.change(endpoint(A, "leaving"))  # the answer comes 1.5 s after the long poll's wait
        changed_at = time.monotonic()
        while proxy.weights.keys() != {B}:
            await proxy.receive_update(within=9)
        assert time.monotonic() - changed_at < discovery.delay + running.host.site["grace"] / 1_000_000
        assert "lost" in kinds and not client.changes_lost


async def test_late_answer_of_an_older_list_changes_nothing(tmp_path):
    # Guards against a late answer that undoes what a later call has told.
    discovery, settings = FakeDiscovery(A, B), settings_with(askWithin=2000.0)
    async with run_node(tmp_path, discovery, known=[A, B], settings=settings) as running:
        await until(lambda: "after=5&" in "".join(discovery.paths))
        client = running.node.discovery
        discovery.change(endpoint(A, "leaving"))
        await until(lambda: client.index == 6)
        before, accepted = dict(running.host.listed_lines), client.accepted_count
        older = {"index": 5, "snapshot": True, "endpoints": [endpoint(A), endpoint(C)]}
        call = Call(None, None, True, accepted)
        client.receive_late(call, Answer(True, 200, json.dumps(older).encode()))
        assert client.index == 6 and running.host.listed_lines == before
        # An answer of the same time as the accepted list says nothing about changes that were lost since.
        client.record_lost_changes()
        same = {"index": 6, "snapshot": False, "endpoints": []}
        client.receive_late(
            Call(None, None, False, accepted - 1), Answer(False, 200, json.dumps(same).encode())
        )
        assert client.changes_lost
        client.receive_late(call, Answer(False, 200, json.dumps(same).encode()))
        assert not client.changes_lost
        client.receive_late(call, Answer(False, 200, b"no list"))
        client.receive_late(call, Answer(False, 503, b""))
        assert client.index == 6 and running.host.listed_lines == before


async def test_late_calls_are_bounded_in_number_and_time(tmp_path, monkeypatch):
    # Guards against connections that pile up while discovery answers nothing.
    monkeypatch.setattr(late_calls, "LATE_ANSWER_TIMEOUT_S", 0.3)
    discovery = FakeDiscovery(A)
    async with run_node(tmp_path, discovery, known=[A]) as running:
        client = running.node.discovery
        await until(lambda: "after=5&" in "".join(discovery.paths))
        discovery.failure = "silent"
        for _ in range(3 * late_calls.MAX_LATE_CALLS):
            paths = len(discovery.paths)
            client.request_full_list()
            await until(lambda before=paths: len(discovery.paths) > before)
        assert len(client.late_calls.deadlines) == late_calls.MAX_LATE_CALLS
        held = list(client.late_calls.deadlines)
        await until(lambda: not client.late_calls.deadlines)
        assert not any(call.connection.is_open for call in held)


async def test_calls_that_are_reset_do_not_lengthen_the_wait_for_an_answer(tmp_path):
    # Guards against a lost answer that is noticed seconds late because calls before it were reset.
    discovery, settings = FakeDiscovery(A), settings_with(askWithin=2000.0)
    discovery.failure = "reset"
    async with run_node(tmp_path, discovery, known=[A], settings=settings) as running:
        client, kinds = running.node.discovery, record_list_kinds(running.host)
        await until(lambda: kinds.count("lost") >= 4)
        assert client.catch_up_timeout_s == RESPONSE_TIMEOUT_S
        discovery.failure = "silent"
        await until(lambda: client.catch_up_timeout_s > RESPONSE_TIMEOUT_S)


async def test_refusal_after_lost_changes_is_not_an_answer(tmp_path):
    # Guards against a refused call that ends the haste although the lost changes are still unknown.
    discovery, settings = FakeDiscovery(A), settings_with(askWithin=2000.0)
    async with run_node(tmp_path, discovery, known=[A], settings=settings) as running:
        client, kinds = running.node.discovery, record_list_kinds(running.host)
        await until(lambda: "after=5&" in "".join(discovery.paths))
        discovery.failure = b"no list"
        discovery.change(endpoint(B))
        await until(lambda: "lost" in kinds)
        discovery.failure = "503"
        with capture_logs() as events:
            await until(lambda: "failed" in kinds)
        assert client.changes_lost
        refusals = [event for event in events if event.get("kind") == "failed"]
        assert refusals and all(event["changes_lost"] for event in refusals)
        discovery.failure = "reset"
        await until(lambda: kinds[-1] == "lost")
        discovery.failure = None
        discovery.change(endpoint(C))
        await until(lambda: C in running.host.listed_lines)
        assert not client.changes_lost


@pytest.mark.parametrize(
    "how",
    [
        "cut",
        b'{"index":99',
        b'{"index":99,"snapshot":true,"endpoints":[{}]}',
        b'{"index":99,"snapshot":true,"endpoints":[],"x":' + DEEPLY_NESTED + b"}",
        b"\xff\xfe",
    ],
)
async def test_truncated_or_invalid_answer_of_discovery_is_not_partly_applied(tmp_path, how):
    discovery = FakeDiscovery(A, B)
    async with run_node(tmp_path, discovery, known=[A, B]) as running:
        kinds = record_list_kinds(running.host)
        await until(lambda: "after=5&" in "".join(discovery.paths))  # this long poll is waiting
        discovery.fail_once, discovery.failure = True, how
        discovery.change(endpoint(C))
        await until(lambda: "lost" in kinds)
        assert running.node.discovery.index == 6 and running.host.listed_lines[A][4] == "open"
        discovery.change(endpoint(B, "leaving"))
        await until(lambda: running.host.listed_lines[B][4] == "draining")
        # The same changes are requested again.
        assert [path for path in discovery.paths if "after=6&" in path][1:]


async def test_new_address_of_discovery_is_called_at_once_while_a_retry_is_pending(tmp_path):
    discovery, second = FakeDiscovery(A), FakeDiscovery(A, B)
    second.index, discovery.failure, (second_port,) = 6, "503", free_ports(1)
    async with (
        await asyncio.start_server(second.serve, "127.0.0.1", second_port),
        run_node(tmp_path, discovery, known=[A]) as running,
    ):
        await until(lambda: discovery.paths)
        running.host.controller.list_subscription.due_at = running.host.clock() + 10**9
        await until(lambda: running.node.discovery.call_scope is None)
        write_config(tmp_path, running.port, second_port, [A])
        running.node.reload()
        running.node.reload()  # the second reload finds no change
        await until(lambda: B in running.host.listed_lines, within=1.0)
        assert len(discovery.paths) == 1 and "after=1&" in second.paths[0]
        await until(lambda: "after=6&" in "".join(second.paths))
        under_way = running.node.discovery.call_scope
        running.node.reload()  # the address is unchanged: the watch continues
        assert running.node.discovery.call_scope is under_way and not under_way.cancel_called


async def test_call_that_fails_in_the_tick_of_its_cancellation_is_repeated(tmp_path):
    async with run_node(tmp_path, FakeDiscovery(A), known=[A]) as running:
        client, kinds, calls = running.node.discovery, record_list_kinds(running.host), []
        await until(lambda: client.index == 5)

        async def poll():
            calls.append(client.address)
            if len(calls) == 1:
                client.restart_call()
                return PollEnd("reset", FailureKind.LOST)
            await anyio.sleep_forever()

        client.poll = poll
        client.restart_call()
        await until(lambda: len(calls) == 2)
        assert not FAILED_KINDS & set(kinds)


async def test_full_list_requested_during_a_call_keeps_the_delay_after_a_failure(tmp_path):
    # Guards against a request that cancels the call under way and also wakes the loop: when the repeated call
    # failed, the next one followed at once.
    discovery = FakeDiscovery(A)
    async with run_node(tmp_path, discovery, known=[A]) as running:
        client, woken, listed = running.node.discovery, [], running.host.listed
        await until(lambda: "after=5&" in "".join(discovery.paths))  # this long poll is waiting
        discovery.failure = "503"
        running.host.listed = lambda kind, lines: (
            woken.append(client.call_requested.is_set()),
            listed(kind, lines),
        )
        client.request_full_list()
        await until(lambda: woken)
        assert woken[0] is False and discovery.paths[-1] == "/v1/servers"
        discovery.failure = None
        discovery.replace(9, endpoint(A), endpoint(B))
        await until(lambda: B in running.host.listed_lines)
        assert discovery.paths.count("/v1/servers") == 2


async def test_full_list_is_requested_at_once_while_no_call_is_under_way(tmp_path):
    discovery = FakeDiscovery(A)
    discovery.failure, discovery.fail_once = "503", True
    async with run_node(tmp_path, discovery, known=[A]) as running:
        client = running.node.discovery
        await until(lambda: discovery.paths)
        running.host.controller.list_subscription.due_at = running.host.clock() + 10**9
        await until(lambda: client.call_scope is None)
        client.request_full_list()
        await until(lambda: client.index == 5)
        assert discovery.paths[1] == "/v1/servers"


async def test_server_that_left_returns_as_a_new_process(tmp_path):
    discovery = FakeDiscovery(A, B)
    async with run_node(tmp_path, discovery, known=[A, B]) as running:
        proxy = await running.connect()
        await proxy.join(3)
        await proxy.receive_update()
        for status, state in (("leaving", "draining"), ("left", "gone")):
            discovery.change(endpoint(B, status))
            await until(lambda state=state: running.host.listed_lines[B][4] == state)
        while B in proxy.weights:
            await proxy.receive_update()
        discovery.change(endpoint(B, since_ms=time.time() * 1000))
        await until(lambda: running.host.listed_lines[B][4] == "open")
        server = running.host.controller.servers[B]
        assert server.started and running.host.controller.warm_fraction(server) < 1 and not server.withdrawals


# -- probes


async def test_probe_of_a_process_that_has_ended_is_not_reported_for_the_next_one(tmp_path):
    requests, may_answer = [], asyncio.Event()

    async def serve(reader, writer):
        requests.append(await reader.readline())
        if len(requests) == 1:
            await may_answer.wait()
        status = b"503 no" if len(requests) == 1 else b"200 OK"
        writer.write(b"HTTP/1.1 %b\r\nContent-Length: 8\r\n\r\nutil=0.5" % status)

    (port,), discovery = free_ports(1), FakeDiscovery(A)
    discovery.endpoints[A]["address"] = f"127.0.0.1:{port}"
    async with (
        await asyncio.start_server(serve, "127.0.0.1", port),
        run_node(tmp_path, discovery, known=[A]) as running,
    ):
        results, host = [], running.host
        await until(lambda: running.node.discovery.index == 5)
        host.probed = lambda *args: results.append(args[:2])
        host.probe(A)
        await until(lambda: requests)
        host.probe(A)  # the controller orders another probe: the server has restarted
        may_answer.set()
        await until(lambda: results)
        assert results == [(A, "acked")] and len(requests) == 2 and not running.node.prober.repeat_requested


# -- settings and shutdown


INVALID_SETTINGS = {
    "deep": DEEPLY_NESTED,
    "count given": {"services.count": 10**9},
    "not a list": {"services": {"count": 10**9}},
    "rate is not a number": {"familyInfo": {**SETTINGS["familyInfo"], "egressPerS": "nan"}},
    "head is infinite": {"familyInfo": {**SETTINGS["familyInfo"], "head": "inf"}},
    "head is negative": {"familyInfo": {**SETTINGS["familyInfo"], "head": -1.0}},
}


@pytest.mark.parametrize("kind", INVALID_SETTINGS)
async def test_invalid_settings_are_reported_in_one_line(tmp_path, kind):
    path = write_config(tmp_path, 7000, 8500)
    if isinstance(INVALID_SETTINGS[kind], bytes):
        (tmp_path / "config.json").write_bytes(INVALID_SETTINGS[kind])
    else:
        write_config(tmp_path, 7000, 8500, settings={**SETTINGS, **INVALID_SETTINGS[kind]})
    with pytest.raises(configs.ConfigError) as raised:
        configs.read_config(path)
    assert "\n" not in str(raised.value)


async def test_sigterm_while_orders_marks_probes_and_a_watch_are_pending(tmp_path):
    async def silent(reader, writer):
        await reader.read()

    discovery, (port, discovery_port, probed_port) = FakeDiscovery(A, B), free_ports(3)
    for server in discovery.endpoints.values():
        server["address"] = f"127.0.0.1:{probed_port}"
    settings = {
        **SETTINGS,
        "allowed": {**SETTINGS["allowed"], "probes": True},
        "familyInfo": {**SETTINGS["familyInfo"], "egressPerS": 20.0},
    }
    async with (
        await asyncio.start_server(discovery.serve, "127.0.0.1", discovery_port),
        await asyncio.start_server(silent, "127.0.0.1", probed_port),
        run_process(
            tmp_path, write_config(tmp_path, port, discovery_port, [A], settings=settings)
        ) as running,
    ):
        await wait_until_ready(port)
        streams = [await asyncio.open_connection("127.0.0.1", port) for _ in range(20)]
        for number, (_, writer) in enumerate(streams):
            writer.write(handshake(number))
        assert b"update" in await streams[0][0].readline()
        await until(lambda: discovery.paths)
        (tmp_path / "config.json").write_bytes(DEEPLY_NESTED)
        running.send_signal(signal.SIGHUP)  # an invalid file, while orders wait in the channel
        await until(lambda: "not taken" in (tmp_path / "log").read_text())
        assert running.poll() is None
        running.send_signal(signal.SIGTERM)
        assert await asyncio.to_thread(running.wait, 3) == 0
        for reader, _ in streams:  # each stream is closed, not left open
            with anyio.fail_after(3):
                try:
                    while await reader.read(65_536):
                        pass
                except ConnectionError:
                    pass
    assert "Traceback" not in (tmp_path / "log").read_text()
