"""The SASP front on real sockets: registrations, requested and pushed weights, and misbehaving peers."""

import os
from contextlib import asynccontextmanager, suppress

import anyio
import grpc
import pytest
from live import SERVERS, Client, controller, open_lines, until

from foxstep.sasp import wire
from foxstep.sasp.balancer import BalancerClient, member_of
from foxstep.sasp.front import SaspFront
from foxstep.sasp.wire import Code, Flag, Group, MemberState, Message, MessageType
from foxstep.tables.ledger import thousandths

pytestmark = pytest.mark.anyio
ADVICE = {"balancers": 8, "groups": 8, "members": 500, "message": 1 << 20, "keep": 60_000_000}


@asynccontextmanager
async def manager(**changes):
    """Yields (host, address) of a controller with a SASP front; `changes` override settings, `advice` too."""
    advice = {name: changes.pop(name, value) for name, value in ADVICE.items()}
    async with controller(**changes) as (host, grpc_address):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        front = host.sasp = SaspFront(host, advice)
        host.address = grpc_address
        async with listener, anyio.create_task_group() as group:
            group.start_soon(front.run, listener)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            yield host, f"127.0.0.1:{port}"
            group.cancel_scope.cancel()


def controller_channel(host):
    return grpc.aio.insecure_channel(host.address)


@asynccontextmanager
async def balancer(address, groups, ident="lb", **options):
    client = BalancerClient(ident, address, groups, **options)
    async with anyio.create_task_group() as group:
        group.start_soon(client.run)
        yield client
        group.cancel_scope.cancel()


class RawPeer:
    """A plain connection that sends only what a test asks for."""

    def __init__(self, stream):
        self.stream = stream
        self.buffer = bytearray()
        self.message_id = 0

    async def send(self, kind, **fields):
        self.message_id += 1
        await self.stream.send(wire.encode(Message(kind, self.message_id, **fields)))

    async def receive(self, timeout=3.0):
        with anyio.fail_after(timeout):
            while not (length := wire.frame_length(self.buffer, 1 << 24)) or len(self.buffer) < length:
                self.buffer += await self.stream.receive()
        message = wire.decode(bytes(self.buffer[:length]))
        del self.buffer[:length]
        return message

    async def request(self, kind, **fields):
        await self.send(kind, **fields)
        while (reply := await self.receive()).kind == MessageType.SEND_WEIGHTS:
            pass
        assert reply.message_id == self.message_id
        return reply

    async def register(self, servers, group=b"web", name=b"lb", flags=Flag.BALANCER):
        return (
            await self.request(
                MessageType.REGISTRATION_REQUEST,
                flags=flags,
                groups=((Group(name, group), tuple(map(member_of, servers))),),
            )
        ).code


@asynccontextmanager
async def peer(address):
    host, _, port = address.rpartition(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        yield RawPeer(stream)


def weights(client, group="web"):
    return {s: w for s, (w, _) in client.weights.get(group, {}).items()}


async def test_a_balancer_receives_the_shared_table_and_its_changes():
    async with manager() as (host, address):
        host.listed("whole", open_lines(*SERVERS[:4]))
        async with balancer(address, {"web": SERVERS[:3], "api": SERVERS[1:5]}) as client:
            await until(lambda: all(weights(client).get(s) for s in SERVERS[:3]))
            await until(lambda: weights(client, "api").get(SERVERS[1]))
            assert weights(client, "api")[SERVERS[4]] == 0  # registered, but not on the list
            assert weights(client) == {
                s: thousandths(host.controller.server_weights()[s][0]) for s in SERVERS[:3]
            }
            messages = client.messages
            host.listed("changes", open_lines(SERVERS[1], state="draining"))
            await until(lambda: weights(client)[SERVERS[1]] == 0 and weights(client, "api")[SERVERS[1]] == 0)
            assert client.weights["web"][SERVERS[1]][1] & Flag.QUIESCE
            assert client.messages <= messages + 2  # one message for each group, none without a change
            assert (
                host.table_manager.ledger.holder("sasp:lb").held
                == host.table_manager.ledger.table("sasp:lb").version
            )


async def test_a_get_weights_reply_has_the_current_weights():
    async with manager(grace=2_000_000) as (host, address), peer(address) as poller:
        host.listed("whole", open_lines(*SERVERS[:2]))
        assert await poller.register(SERVERS[:2]) == Code.SUCCESS
        await until(lambda: host.desired_state.holdings["sasp:lb"].lines)
        reply = await poller.request(MessageType.GET_WEIGHTS_REQUEST, groups=(Group(b"lb", b""),))
        ((group, entries),) = reply.groups
        assert group.name == b"web" and [w.weight for w in entries] == [1000, 1000] and reply.interval == 1
        host.listed("changes", open_lines(SERVERS[0], state="draining"))
        reply = await poller.request(MessageType.GET_WEIGHTS_REQUEST, groups=(Group(b"lb", b"web"),))
        assert reply.groups[0][1][0].weight == 0  # at once, even if the change still waits in the channel


async def test_a_message_that_arrives_byte_by_byte_is_read():
    async with manager() as (host, address), peer(address) as slow:
        data = wire.encode(
            Message(
                MessageType.REGISTRATION_REQUEST,
                7,
                flags=Flag.BALANCER,
                groups=((Group(b"lb", b"web"), tuple(map(member_of, SERVERS))),),
            )
        )
        for k in range(len(data)):
            await slow.stream.send(data[k : k + 1])
            if not k % 16:
                await anyio.sleep(0)
        assert (await slow.receive()).code == Code.SUCCESS
        assert host.sasp.registry.member_count == len(SERVERS)


@pytest.mark.parametrize(
    "offset, value",
    [(2, 0xFFFF), (5, 0xFFFF), (15, 3), (15, 0xFFFF), (18, 0xFFFF), (22, 1), (26, 0xFF), (33, 0xFFFF)],
)
async def test_wrong_lengths_and_counts_change_nothing(offset, value):
    async with manager() as (host, address), peer(address) as odd_peer:
        data = bytearray(
            wire.encode(
                Message(
                    MessageType.REGISTRATION_REQUEST,
                    7,
                    flags=Flag.BALANCER,
                    groups=((Group(b"lb", b"web"), tuple(map(member_of, SERVERS))),),
                )
            )
        )
        data[offset : offset + 2] = value.to_bytes(2, "big")
        await odd_peer.stream.send(bytes(data))
        try:  # a valid frame is answered; otherwise the connection is closed
            assert (await odd_peer.receive()).code == Code.NOT_UNDERSTOOD
        except anyio.EndOfStream:
            pass
        assert not host.sasp.registry.balancers and not host.joined_proxies


async def test_an_unsupported_version_is_answered_and_the_connection_closed():
    async with manager() as (_, address), peer(address) as newer:
        data = bytearray(wire.encode(Message(MessageType.SET_LB_STATE_REQUEST, 9, balancer=b"lb")))
        data[4] = 2
        await newer.stream.send(bytes(data))
        reply = await newer.receive()
        assert (reply.message_id, reply.code) == (9, Code.NOT_UNDERSTOOD)
        with pytest.raises(anyio.EndOfStream):
            await newer.receive()


async def test_too_many_members_are_refused_as_a_whole_and_a_server_may_be_in_two_groups():
    async with manager() as (host, address), peer(address) as registrant:
        host.listed("whole", open_lines(*SERVERS))
        many = [f"10.0.{k >> 8}.{k & 255}:80" for k in range(10_000)]
        assert await registrant.register(many) == Code.NOT_ACCEPTED
        assert host.sasp.registry.member_count == 0
        assert await registrant.register([SERVERS[0], SERVERS[0]]) == Code.DUPLICATE_IN_REQUEST
        assert await registrant.register(SERVERS[:2]) == Code.SUCCESS
        assert await registrant.register(SERVERS[1:3]) == Code.ALREADY_REGISTERED
        assert await registrant.register(SERVERS[1:3], group=b"api") == Code.SUCCESS
        assert host.sasp.registry.members_by_group("sasp:lb") == {
            "web": dict.fromkeys(SERVERS[:2], False),
            "api": dict.fromkeys(SERVERS[1:3], False),
        }


async def test_members_may_register_themselves_only_if_their_balancer_trusts_them():
    async with manager() as (host, address), peer(address) as member:
        host.listed("whole", open_lines(*SERVERS))
        assert await member.register(SERVERS[:1], flags=0) == Code.NO_CONTACT
        async with balancer(address, {"web": SERVERS[1:3]}, trust=False):
            await until(lambda: host.sasp.registry.member_count == 2)
            assert await member.register(SERVERS[:1], flags=0) == Code.NOT_ACCEPTED
        async with balancer(address, {"web": SERVERS[1:3]}) as client:
            await until(lambda: host.sasp.registry.balancers["sasp:lb"].trust)
            assert await member.register(SERVERS[:1], flags=0) == Code.SUCCESS
            await until(lambda: weights(client).get(SERVERS[0]))
            assert not client.weights["web"][SERVERS[0]][1] & Flag.REGISTRATION


async def test_member_states_for_two_balancers_are_independent():
    async with manager() as (host, address), peer(address) as member:
        host.listed("whole", open_lines(*SERVERS))
        async with (
            balancer(address, {"web": SERVERS[:3]}, "one") as one,
            balancer(address, {"web": SERVERS[:3]}, "two") as two,
        ):
            await until(lambda: weights(one).get(SERVERS[0]) and weights(two).get(SERVERS[0]))

            async def quiesce(name, flags):
                state = MemberState(member_of(SERVERS[0]), 5, flags)
                reply = await member.request(
                    MessageType.SET_MEMBER_STATE_REQUEST, groups=((Group(name, b"web"), (state,)),)
                )
                assert reply.code == Code.SUCCESS

            await quiesce(b"one", Flag.MEMBER_QUIESCE)
            await quiesce(b"two", 0)
            await until(lambda: weights(one)[SERVERS[0]] == 0)
            assert one.weights["web"][SERVERS[0]][1] & Flag.QUIESCE
            assert weights(two)[SERVERS[0]] > 0
            # If all members are quiesced, the open and warm ones still get weights.
            states = tuple(MemberState(member_of(s), 0, Flag.MEMBER_QUIESCE) for s in SERVERS[:3])
            await member.request(
                MessageType.SET_MEMBER_STATE_REQUEST, groups=((Group(b"one", b"web"), states),)
            )
            await until(lambda: weights(one)[SERVERS[0]] > 0)


async def test_registering_a_draining_member_does_not_end_its_drain():
    async with manager() as (host, address):
        host.listed("whole", open_lines(*SERVERS[:2]) + open_lines(SERVERS[2], state="draining"))
        async with balancer(address, {"web": SERVERS[:3]}) as client:
            await until(lambda: weights(client).get(SERVERS[0]))
            assert client.weights["web"][SERVERS[2]] == (0, Flag.CONTACT | Flag.QUIESCE | Flag.REGISTRATION)


async def test_a_new_session_of_a_balancer_ends_the_old_one_and_keeps_its_members():
    async with manager() as (host, address), peer(address) as older, peer(address) as newer:
        host.listed("whole", open_lines(*SERVERS))
        await older.register(SERVERS[:2])
        await newer.request(MessageType.SET_LB_STATE_REQUEST, balancer=b"lb", flags=Flag.PUSH)
        with pytest.raises(anyio.EndOfStream):
            while True:
                await older.receive()
        pushed = await newer.receive()
        assert [w.weight for w in pushed.groups[0][1]] == [1000, 1000]
        # The end of the old session has not removed the outlet of the new one.
        assert host.joined_proxies["sasp:lb"].stream.connection.outlets


async def test_a_deregistration_during_a_push_leaves_the_remaining_members():
    async with manager(lines_per_s=40.0) as (host, address):
        host.listed("whole", open_lines(*SERVERS))
        async with balancer(address, {"web": SERVERS}) as client, peer(address) as member:
            await until(lambda: host.table_manager.ledger.table("sasp:lb"))
            reply = await member.request(
                MessageType.DEREGISTRATION_REQUEST,
                groups=((Group(b"lb", b"web"), tuple(map(member_of, SERVERS[2:]))),),
            )
            assert reply.code == Code.SUCCESS
            remaining = [f"web {s}" for s in SERVERS[:2]]
            await until(lambda: sorted(host.table_manager.ledger.table("sasp:lb").lines) == remaining)
            await until(lambda: not host.channel.queue and all(weights(client).get(s) for s in SERVERS[:2]))
            assert sorted(host.desired_state.holdings["sasp:lb"].lines["advice"]) == remaining


async def test_a_stalled_reader_uses_bounded_memory_and_delays_no_other_balancer():
    async with manager() as (host, address), peer(address) as stalled:
        host.listed("whole", open_lines(*SERVERS))
        await stalled.request(MessageType.SET_LB_STATE_REQUEST, balancer=b"stalled", flags=Flag.PUSH)
        await stalled.register(SERVERS, name=b"stalled")
        outlet = host.joined_proxies["sasp:stalled"].stream

        async def never_returns(message):
            await anyio.sleep(60)

        await until(lambda: not outlet.changed)
        outlet.connection.send = never_returns
        async with balancer(address, {"web": SERVERS}) as client:
            for k in range(12):
                host.listed("changes", open_lines(SERVERS[k % 5], state="draining" if k % 2 else "open"))
                await anyio.sleep(0.02)
            host.listed("changes", open_lines(*SERVERS[:5], state="draining"))
            await until(lambda: sum(map(bool, weights(client).values())) == 1)
            assert 0 < len(outlet.changed) <= len(SERVERS)


async def test_weights_are_in_the_version_history_and_a_pin_applies_to_a_balancer():
    async with manager() as (host, address):
        host.listed("whole", open_lines(*SERVERS))
        async with balancer(address, {"web": SERVERS[:4]}) as client:
            await until(lambda: all(weights(client).get(s) for s in SERVERS[:4]))
            good = host.table_manager.ledger.newest()
            host.listed("changes", open_lines(SERVERS[0], state="draining"))
            await until(lambda: weights(client)[SERVERS[0]] == 0)
            host.listed("changes", open_lines(SERVERS[0]))
            zones = {ident: joined.zone for ident, joined in host.joined_proxies.items()}
            host.table_manager.roll_back(host.clock(), "proxy sasp:lb", str(good), zones, at_once=True)
            host.request_run("pin")
            await until(lambda: weights(client)[SERVERS[0]] > 0)
            await until(lambda: host.table_manager.holders(zones)["sasp:lb"]["rolled_back_to"] == str(good))
            host.listed("changes", open_lines(SERVERS[1], state="draining"))
            # A drain takes precedence over a pinned version.
            await until(lambda: weights(client)[SERVERS[1]] == 0)


async def test_a_balancer_disconnected_for_too_long_is_forgotten():
    async with manager(keep=200_000) as (host, address):
        async with balancer(address, {"web": SERVERS}):
            await until(lambda: host.sasp.registry.member_count)
        await until(lambda: not host.sasp.registry.balancers)
        assert host.sasp.registry.member_count == 0 and "sasp:lb" not in host.joined_proxies


async def test_the_sasp_and_xds_fronts_give_the_same_weights():
    async with manager(probes=False) as (host, address), controller_channel(host) as channel:
        now = host.clock() - host.site["ramp"] // 2
        host.listed(
            "whole",
            open_lines(*SERVERS[:4])
            + [
                (SERVERS[4], "east", "plain", 0, "open", 1.0, now),
                (SERVERS[5], "east", "plain", 0, "open", 2.0, 0),
            ],
        )
        client = Client(channel, "proxy")
        await client.ask()
        response, table = await client.table()
        await client.accept(response)
        async with balancer(address, {"web": SERVERS}) as client:
            await until(lambda: all(weights(client).get(s) for s in SERVERS))
            sasp_weights = weights(client)
            assert len(table) > 1
            for server, weight in table.items():
                if server != SERVERS[4]:  # a cold server's weight grows between the two writes
                    assert sasp_weights[server] == weight
            assert 0 < sasp_weights[SERVERS[4]] < sasp_weights[SERVERS[0]]


async def test_inputs_found_by_fuzzing_do_not_stop_the_front():
    corpus = os.path.join(os.path.dirname(__file__), "corpus")
    async with manager() as (host, address):
        host.listed("whole", open_lines(*SERVERS))
        for name in sorted(os.listdir(corpus)):
            with open(os.path.join(corpus, name), "rb") as file:
                async with peer(address) as raw:
                    await raw.stream.send(file.read())
                    with suppress(anyio.EndOfStream, anyio.BrokenResourceError, wire.MalformedMessage):
                        with anyio.move_on_after(0.05):
                            await raw.receive()
        async with balancer(address, {"web": SERVERS}, "well-behaved") as client:
            await until(lambda: all(weights(client).get(s) for s in SERVERS))
        await until(lambda: not host.joined_proxies and not host.sasp.connections)
