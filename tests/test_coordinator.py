"""Controllers that share proxies, on real sockets: membership, redirects, and orders of an old epoch."""

import time
from contextlib import asynccontextmanager

import anyio
import grpc
import pytest
from live import SERVERS, Client, clock, controller, open_lines, until

from foxstep.operate.service import PEERS_METHOD, call_controller
from foxstep.peers.coordinator import PeerCoordinator
from foxstep.peers.fact_exchange import FactExchange
from foxstep.peers.facts import FactPublisher, PeerFacts
from foxstep.peers.replica import Replica
from foxstep.proxy.program import Proxy
from foxstep.proxy.table import ChangeRejected, Table, content_hash
from foxstep.site import read_site
from foxstep.site.load import EXAMPLES
from foxstep.xds.protocol import HOME_FEATURE, HOME_METADATA_KEY

pytestmark = pytest.mark.anyio


class Pair:
    """Two controllers that are peers, the first in zone east, the second in zone west."""

    def __init__(self, hosts, addresses, coordinators):
        self.hosts, self.addresses, self.coordinators = hosts, addresses, coordinators


@asynccontextmanager
async def pair(**changes):
    async with (
        controller(me=0, zone="east", grace=800_000, **changes) as (one, at_one),
        controller(me=1, zone="west", grace=800_000, **changes) as (two, at_two),
        await anyio.create_udp_socket(local_host="127.0.0.1") as socket_of_one,
        await anyio.create_udp_socket(local_host="127.0.0.1") as socket_of_two,
    ):
        sockets = [socket_of_one, socket_of_two]
        addresses = [f"127.0.0.1:{s.extra(anyio.abc.SocketAttribute.local_port)}" for s in sockets]
        coordinators = [
            PeerCoordinator(
                one, FactExchange(one, 0), "loopback", 0, {1: (addresses[1], at_two, "west")}, sockets[0]
            ),
            PeerCoordinator(
                two, FactExchange(two, 1), "loopback", 1, {0: (addresses[0], at_one, "east")}, sockets[1]
            ),
        ]
        for host, coordinator in zip((one, two), coordinators, strict=True):
            host.operator.peer_coordinator = coordinator
            host.listed("whole", open_lines(*SERVERS))
        async with anyio.create_task_group() as group:
            for coordinator in coordinators:
                group.start_soon(coordinator.run)
            await until(lambda: all(coordinator.membership.alive() == [0, 1] for coordinator in coordinators))
            yield Pair((one, two), (at_one, at_two), coordinators)
            group.cancel_scope.cancel()


@asynccontextmanager
async def proxy(peers, zone, ident="proxy", first=0, rate=0.0):
    site = read_site(f"{EXAMPLES}/loopback.jsonnet")
    addresses = [*peers.addresses[first:], *peers.addresses[:first]]
    one = Proxy(
        ident,
        zone,
        site.settings_map(),
        site.name,
        [{"name": o.name, "method": ""} for o in site.op_types],
        addresses,
        SERVERS[:1],
        lambda: clock() / 1e6,
        rate,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(one.run)
        yield one
        group.cancel_scope.cancel()


async def test_a_proxy_is_redirected_to_its_zone_and_keeps_its_table():
    async with pair() as peers, proxy(peers, "west") as one:
        await until(lambda: "proxy" in peers.hosts[1].joined_proxies, 6)
        await until(lambda: "proxy" not in peers.hosts[0].joined_proxies and one.table.name)
        assert len(one.table.lines) > 1 and one.control.refusals == 0


async def test_a_redirected_proxy_connects_to_the_given_controller_and_not_to_the_next_address():
    async with pair() as peers, controller(me=2, zone="east") as (other, at_other):
        peers.addresses = (peers.addresses[0], at_other, peers.addresses[1])
        async with proxy(peers, "east") as one:
            await until(lambda: one.table.name)
            peers.hosts[0].redirect("proxy", peers.addresses[2])
            await until(lambda: "proxy" in peers.hosts[1].joined_proxies)
            assert "proxy" not in other.joined_proxies and one.control.dials == 0


@pytest.mark.parametrize("answers", [True, False])
async def test_a_redirect_is_sent_once_all_responses_are_answered_or_a_tenth_of_the_grace_has_passed(answers):
    # Guards against a redirect that crosses an answer: grpcio can lose the status with the redirect then.
    async with controller(grace=20_000_000) as (host, address), grpc.aio.insecure_channel(address) as channel:
        host.listed("whole", open_lines(*SERVERS))
        client = Client(channel, "p")
        client.node.client_features.append(HOME_FEATURE)
        await client.ask()
        response, _ = await client.table()
        redirected_at = clock()
        host.redirect("p", "127.0.0.1:1")
        await anyio.sleep(0.1)
        assert not client.call.done()
        if answers:
            await client.accept(response)
        with pytest.raises(grpc.aio.AioRpcError) as ended:
            await client.response(timeout_s=10)
        assert ended.value.code() == grpc.StatusCode.ABORTED
        assert (HOME_METADATA_KEY, "127.0.0.1:1") in [*ended.value.trailing_metadata()]
        if not answers:
            assert clock() - redirected_at >= 0.1 * host.site["grace"]


async def test_the_successor_uses_a_later_epoch_than_its_predecessor():
    async with pair() as peers, proxy(peers, "east") as one:
        await until(lambda: one.table.name)
        before = one.table.epoch
        peers.hosts[0].redirect("proxy", peers.addresses[1])
        await until(lambda: "proxy" in peers.hosts[1].joined_proxies and one.table.epoch > before)


def test_a_proxy_refuses_an_order_of_an_earlier_epoch():
    table = Table()
    whole = content_hash({"a": 1000})
    table.apply(f"70.1 - {whole}", {"a": 1000}, [])
    with pytest.raises(ChangeRejected, match="epoch 69 is over"):
        table.apply(f"69.9 {whole} {content_hash({'a': 2000})}", {"a": 2000}, [])
    assert table.lines == {"a": 1000} and table.name == "70.1"
    table.apply(f"71.1 {whole} {content_hash({'a': 2000})}", {"a": 2000}, [])
    assert table.lines == {"a": 2000}


async def test_an_operator_can_view_drain_and_move():
    async with pair() as peers, proxy(peers, "east") as one:
        await until(lambda: one.table.name)
        seen = await call_controller(peers.addresses[0], PEERS_METHOD)
        assert seen["alive"] == [0, 1] and list(seen["proxies"]) == ["proxy"]
        with pytest.raises(grpc.RpcError, match="no controller 7"):
            await call_controller(peers.addresses[0], PEERS_METHOD, {"proxy": "proxy", "to": 7})
        await call_controller(peers.addresses[0], PEERS_METHOD, {"drain": True})
        await until(lambda: "proxy" in peers.hosts[1].joined_proxies, 6)
        await until(lambda: not peers.hosts[0].joined_proxies)


async def test_a_peer_that_leaves_is_gone_at_once_and_malformed_datagrams_are_dropped():
    async with pair() as peers:
        port = int(peers.coordinators[1].membership.members[0].address.rpartition(":")[2])
        async with await anyio.create_udp_socket(local_host="127.0.0.1") as socket:
            for data in (b"", b"x" * 9000, bytes(40), b"\xff" * 30):
                await socket.sendto(data, "127.0.0.1", port)
        await peers.coordinators[1].leave()
        await until(lambda: peers.coordinators[0].membership.alive() == [0])


async def test_a_drain_known_only_to_the_peer_is_applied_until_the_own_list_reports_a_change():
    async with pair() as peers, proxy(peers, "west", first=1) as one:
        await until(lambda: SERVERS[0] in one.table.lines)
        peers.hosts[0].listed("changes", open_lines(SERVERS[0], state="draining"))
        await until(lambda: SERVERS[0] not in one.table.lines)
        assert peers.hosts[1].listed_lines[SERVERS[0]][4] == "open", "its own list has not reported the drain"
        peers.hosts[1].listed("changes", open_lines(SERVERS[0], state="draining"))
        peers.hosts[0].listed("changes", open_lines(SERVERS[0]))
        await anyio.sleep(0.5)
        assert SERVERS[0] not in one.table.lines, (
            "a peer cannot open a server that the own list reports as draining"
        )
        peers.hosts[1].listed("changes", open_lines(SERVERS[0]))
        await until(lambda: peers.hosts[1].controller.servers[SERVERS[0]].state == "open")


async def test_weights_and_capacity_reach_a_successor_and_survive_a_restart(tmp_path):
    async with pair() as peers, proxy(peers, "east") as one:
        await until(lambda: one.table.name)
        module = peers.hosts[0].controller
        module.servers[SERVERS[1]].weight, module.capacity = 2.0, 300.0
        assert module.measured_weights(clock()) == {}, "a server without any tries has no weight to publish"
        module.heard(clock(), SERVERS[1], "east", 60, 0, 1000, 500_000, None)
        await until(lambda: (peers.hosts[1].controller.servers[SERVERS[1]].weight or 1) > 1.9)
        await until(lambda: peers.coordinators[1].fact_exchange.summary_of(clock(), 0)["proxies"] == 1)
        peers.hosts[0].redirect("proxy", peers.addresses[1])
        await until(lambda: peers.hosts[1].controller.capacity and peers.hosts[1].controller.capacity > 250)
        fact_exchange = peers.coordinators[0].fact_exchange
        saved = (
            time.time_ns() // 1000,
            [
                {k: f.value for k, f in fact_exchange.replica.lane_by_key[0, n].live().items()}
                for n in (0, 1, 2)
            ],
        )
    for wall_step, weight in ((0, 2.0), (-3600, 1.5)):
        async with controller() as (host, _):
            host.wall = lambda step=wall_step: time.time_ns() // 1000 + step * 1_000_000
            host.store.facts = saved
            host.listed("remembered", open_lines(*SERVERS))
            FactExchange(host, 0).exchange()
            assert host.controller.servers[SERVERS[1]].weight == pytest.approx(weight, abs=0.02)


async def test_a_controller_restarted_from_an_old_store_exceeds_the_epoch_its_peers_know():
    async with pair() as peers:
        first = peers.coordinators[0].fact_exchange
        await until(
            lambda: peers.coordinators[1].fact_exchange.summary_of(clock(), 0)["servers"] == len(SERVERS)
        )
        epoch = peers.hosts[0].epoch
        # The same epoch again, as after a restart from a store that does not contain it.
        first.replica = peers.coordinators[0].transport.replica = Replica(0, epoch, 3, 16_000, clock())
        first.publisher = FactPublisher(first.replica)
        first.peer_facts = PeerFacts(first.replica, peers.hosts[0].site)
        await until(lambda: peers.hosts[0].table_manager.ledger.epoch > epoch, 6)
        held = peers.coordinators[1].fact_exchange.replica
        await until(lambda: held.lane(0, 0).epoch > epoch and len(held.lane(0, 0).live()) == len(SERVERS), 6)
