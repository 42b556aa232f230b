"""Controllers that share proxies, on real sockets: who is alive, who is sent home, whose order is refused."""

import time
from contextlib import asynccontextmanager

import anyio
import grpc
import pytest
from live import SERVERS, clock, controller, open_lines, until

from foxstep.operate.service import PEERS, ask
from foxstep.peers.learning import Learning
from foxstep.peers.learnt import Hearsay, Teller
from foxstep.peers.replica import Replica
from foxstep.peers.sharing import Sharing
from foxstep.proxy.program import Proxy
from foxstep.proxy.table import Refused, Table, content_hash
from foxstep.site import read_site
from foxstep.site.load import EXAMPLES

pytestmark = pytest.mark.anyio


class Pair:
    """Two controllers that know of each other, the first in the east."""

    def __init__(self, hosts, addresses, sharing):
        self.hosts, self.addresses, self.sharing = hosts, addresses, sharing


@asynccontextmanager
async def pair(**changes):
    async with (
        controller(me=0, zone="east", grace=800_000, **changes) as (one, at_one),
        controller(me=1, zone="west", grace=800_000, **changes) as (two, at_two),
    ):
        sockets = [await anyio.create_udp_socket(local_host="127.0.0.1") for _ in range(2)]
        notes = [f"127.0.0.1:{s.extra(anyio.abc.SocketAttribute.local_port)}" for s in sockets]
        sharing = [
            Sharing(one, Learning(one, 0), "loopback", 0, {1: (notes[1], at_two, "west")}, sockets[0]),
            Sharing(two, Learning(two, 1), "loopback", 1, {0: (notes[0], at_one, "east")}, sockets[1]),
        ]
        for host, part in zip((one, two), sharing, strict=True):
            host.operator.sharing = part
            host.listed("whole", open_lines(*SERVERS))
        async with anyio.create_task_group() as group:
            for part in sharing:
                group.start_soon(part.run)
            await until(lambda: all(part.membership.alive() == [0, 1] for part in sharing))
            yield Pair((one, two), (at_one, at_two), sharing)
            group.cancel_scope.cancel()


@asynccontextmanager
async def proxy(made, zone, ident="proxy", first=0, rate=0.0):
    site = read_site(f"{EXAMPLES}/loopback.jsonnet")
    addresses = [*made.addresses[first:], *made.addresses[:first]]
    one = Proxy(
        ident,
        zone,
        site.plain(),
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


async def test_a_proxy_is_sent_home_to_its_zone_and_keeps_its_table_on_the_way():
    async with pair() as made, proxy(made, "west") as one:
        await until(lambda: "proxy" in made.hosts[1].joins, 6)
        await until(lambda: "proxy" not in made.hosts[0].joins and one.table.name)
        assert len(one.table.lines) > 1 and one.control.refusals == 0


async def test_a_proxy_that_is_sent_home_dials_there_and_not_the_next_in_turn():
    async with pair() as made, controller(me=2, zone="east") as (other, at_other):
        made.addresses = (made.addresses[0], at_other, made.addresses[1])
        async with proxy(made, "east") as one:
            await until(lambda: one.table.name)
            made.hosts[0].send_home("proxy", made.addresses[2])
            await until(lambda: "proxy" in made.hosts[1].joins)
            assert "proxy" not in other.joins and one.control.dials == 0


async def test_the_successor_ranks_above_whom_it_takes_over_from():
    async with pair() as made, proxy(made, "east") as one:
        await until(lambda: one.table.name)
        before = one.table.epoch
        made.hosts[0].send_home("proxy", made.addresses[1])
        await until(lambda: "proxy" in made.hosts[1].joins and one.table.epoch > before)


def test_an_order_of_an_epoch_that_is_over_is_refused_by_the_receiver():
    table = Table()
    whole = content_hash({"a": 1000})
    table.take(f"70.1 - {whole}", {"a": 1000}, [])
    with pytest.raises(Refused, match="epoch 69 is over"):
        table.take(f"69.9 {whole} {content_hash({'a': 2000})}", {"a": 2000}, [])
    assert table.lines == {"a": 1000} and table.name == "70.1"
    table.take(f"71.1 {whole} {content_hash({'a': 2000})}", {"a": 2000}, [])
    assert table.lines == {"a": 2000}


async def test_an_operator_sees_drains_and_moves():
    async with pair() as made, proxy(made, "east") as one:
        await until(lambda: one.table.name)
        seen = await ask(made.addresses[0], PEERS)
        assert seen["alive"] == [0, 1] and list(seen["proxies"]) == ["proxy"]
        with pytest.raises(grpc.RpcError, match="no controller 7"):
            await ask(made.addresses[0], PEERS, {"proxy": "proxy", "to": 7})
        await ask(made.addresses[0], PEERS, {"drain": True})
        await until(lambda: "proxy" in made.hosts[1].joins, 6)
        await until(lambda: not made.hosts[0].joins)


async def test_a_peer_that_leaves_is_known_to_be_gone_at_once_and_odd_notes_are_dropped():
    async with pair() as made:
        port = int(made.sharing[1].membership.members[0].address.rpartition(":")[2])
        async with await anyio.create_udp_socket(local_host="127.0.0.1") as odd:
            for data in (b"", b"x" * 9000, bytes(40), b"\xff" * 30):
                await odd.sendto(data, "127.0.0.1", port)
        await made.sharing[1].leave()
        await until(lambda: made.sharing[0].membership.alive() == [0])


async def test_a_drain_that_only_the_other_has_heard_of_is_kept_and_ends_with_the_own_lists_word():
    async with pair() as made, proxy(made, "west", first=1) as one:
        await until(lambda: SERVERS[0] in one.table.lines)
        made.hosts[0].listed("changes", open_lines(SERVERS[0], state="draining"))
        await until(lambda: SERVERS[0] not in one.table.lines)
        assert made.hosts[1].listed_lines[SERVERS[0]][4] == "open", "its own list has not told it"
        made.hosts[1].listed("changes", open_lines(SERVERS[0], state="draining"))
        made.hosts[0].listed("changes", open_lines(SERVERS[0]))
        await anyio.sleep(0.5)
        assert SERVERS[0] not in one.table.lines, "of its own list's word nobody else's makes an open server"
        made.hosts[1].listed("changes", open_lines(SERVERS[0]))
        await until(lambda: made.hosts[1].controller.servers[SERVERS[0]].state == "open")


async def test_weights_and_c_come_to_a_successor_and_to_the_next_life(tmp_path):
    async with pair() as made, proxy(made, "east") as one:
        await until(lambda: one.table.name)
        module = made.hosts[0].controller
        module.servers[SERVERS[1]].weight, module.capacity = 2.0, 300.0
        assert module.measured_weights(clock()) == {}, "nothing is told of what no try speaks of"
        module.heard(clock(), SERVERS[1], "east", 60, 0, 1000, 500_000, None)
        await until(lambda: (made.hosts[1].controller.servers[SERVERS[1]].weight or 1) > 1.9)
        await until(lambda: made.sharing[1].learning.facts_of(clock(), 0)["proxies"] == 1)
        made.hosts[0].send_home("proxy", made.addresses[1])
        await until(lambda: made.hosts[1].controller.capacity and made.hosts[1].controller.capacity > 250)
        facts = made.sharing[0].learning
        kept = (
            time.time_ns() // 1000,
            [{k: f.value for k, f in facts.replica.of[0, n].live().items()} for n in (0, 1, 2)],
        )
    for wall_step, weight in ((0, 2.0), (-3600, 1.5)):
        async with controller() as (host, _):
            host.wall = lambda step=wall_step: time.time_ns() // 1000 + step * 1_000_000
            host.store.facts = kept
            host.listed("remembered", open_lines(*SERVERS))
            Learning(host, 0).exchange()
            assert host.controller.servers[SERVERS[1]].weight == pytest.approx(weight, abs=0.02)


async def test_one_that_comes_back_from_an_old_store_goes_above_what_others_have_heard_of_it():
    async with pair() as made:
        first = made.sharing[0].learning
        await until(lambda: made.sharing[1].learning.facts_of(clock(), 0)["servers"] == len(SERVERS))
        epoch = made.hosts[0].epoch
        # The same epoch once more, as after a start from a store that had not seen it.
        first.replica = made.sharing[0].notes.replica = Replica(0, epoch, 3, 16_000, clock())
        first.teller, first.hearsay = Teller(first.replica), Hearsay(first.replica, made.hosts[0].site)
        await until(lambda: made.hosts[0].desk.ledger.epoch > epoch, 6)
        held = made.sharing[1].learning.replica
        await until(lambda: held.lane(0, 0).epoch > epoch and len(held.lane(0, 0).live()) == len(SERVERS), 6)
