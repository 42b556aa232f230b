"""Incremental discovery over real sockets: small changes, hash checks, missed versions, NACKs, reconnects."""

import anyio
import grpc
import pytest
from envoy.config.endpoint.v3 import endpoint_components_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from live import anyio_backend, collect_garbage, controller, open_lines, until  # noqa: F401

from foxstep.tables.ledger import content_hash
from foxstep.xds import resources
from foxstep.xds.protocol import QUOTAS_FEATURE, TABLES_FEATURE

pytestmark = pytest.mark.anyio
SERVERS = [f"127.0.0.1:{9000 + k}" for k in range(30)]
PATTERN = resources.collection_name("loopback", resources.SHARED_ASSIGNMENT)


class IncrementalClient:
    """An incremental client, controlled by the test, that checks base and result hashes as specified."""

    def __init__(self, channel, ident, checks=True):
        self.node = resources.node(ident, "east")
        self.node.client_features.extend([QUOTAS_FEATURE, TABLES_FEATURE] if checks else [QUOTAS_FEATURE])
        self.call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).DeltaAggregatedResources()
        self.lines, self.sizes = {}, []

    async def ask(self, held_lines=None, held_version=""):
        if held_version:
            self.node.metadata["holds"] = held_version
        await self.call.write(
            discovery_pb2.DeltaDiscoveryRequest(
                node=self.node,
                type_url=resources.ENDPOINT_TYPE,
                resource_names_subscribe=[PATTERN],
                initial_resource_versions={
                    PATTERN[:-1] + s: str(resources.thousandths(w)) for s, w in (held_lines or {}).items()
                },
            )
        )

    async def read(self, timeout_s=5.0):
        with anyio.fail_after(timeout_s):
            response = await self.call.read()
        assert response is not grpc.aio.EOF
        self.sizes.append(response.ByteSize())
        return response

    def apply(self, response):
        """Applies a change; returns why it is rejected, or ""."""
        _, base, result = response.system_version_info.split(" ")
        if base not in ("-", content_hash(self.lines)):
            return f"base is {base}"
        lines = {} if base == "-" else dict(self.lines)
        for resource in response.resources:
            line = endpoint_components_pb2.LbEndpoint()
            assert resource.resource.Unpack(line)
            address = line.endpoint.address.socket_address
            assert resource.name == f"{PATTERN[:-1]}{address.address}:{address.port_value}"
            lines[resource.name.rpartition("/")[2]] = line.load_balancing_weight.value / 1000
        for name in response.removed_resources:
            del lines[name.rpartition("/")[2]]
        if content_hash(lines) != result:
            return f"result is {content_hash(lines)}"
        self.lines = lines
        return ""

    async def answer(self, response, rejection=""):
        request = discovery_pb2.DeltaDiscoveryRequest(
            type_url=resources.ENDPOINT_TYPE, response_nonce=response.nonce
        )
        if rejection:
            request.error_detail.message = rejection
        await self.call.write(request)

    async def receive(self):
        """Reads and answers one response; returns it and why it was rejected, or ""."""
        response = await self.read()
        rejection = self.apply(response)
        await self.answer(response, rejection)
        return response, rejection


def ordered_lines(host, ident="p"):
    return dict(host.table_manager.ledger.table(ident).lines)


def change_list(host, *drained):
    host.listed(
        "changes",
        [*open_lines(*(s for s in SERVERS if s not in drained)), *open_lines(*drained, state="draining")],
    )


async def test_a_change_contains_the_lines_the_channel_counts_and_far_fewer_bytes():
    async with controller(standing=25) as (host, address), grpc.aio.insecure_channel(address) as channel:
        change_list(host)
        client = IncrementalClient(channel, "p")
        await client.ask()
        response, rejection = await client.receive()
        assert rejection == "" and client.lines == ordered_lines(host)
        before = dict(client.lines)
        drained = sorted(before)[:2]
        sent = host.channel.sent_lines
        change_list(host, *drained)
        response, rejection = await client.receive()
        counted = int(response.nonce.split(".")[3])
        assert rejection == "" and counted == host.channel.sent_lines - sent
        assert len(response.resources) + len(response.removed_resources) == counted - host.desired_state.head
        assert client.lines == ordered_lines(host) and not set(drained) & set(client.lines)
        assert client.sizes[1] < client.sizes[0] / 4
        await until(
            lambda: str(host.table_manager.ledger.holder("p").held) == response.system_version_info.split()[0]
        )


async def test_a_proxy_that_missed_two_versions_sends_a_nack_and_gets_a_whole_table():
    async with controller(standing=25, cycle=100_000) as (host, address):
        async with grpc.aio.insecure_channel(address) as channel:
            change_list(host)
            client = IncrementalClient(channel, "p")
            await client.ask()
            await client.receive()
            for k in range(2):  # it sends an ACK for two changes without applying them
                change_list(host, *sorted(client.lines)[: k + 1])
                await client.answer(await client.read())
            change_list(host, *sorted(client.lines)[:3])
            response, rejection = await client.receive()
            assert rejection.startswith("base is")
            response, rejection = await client.receive()
            assert rejection == "" and response.system_version_info.split()[1] == "-"
            assert client.lines == ordered_lines(host) and host.joined_proxies["p"].refused == 1
            assert (
                host.table_manager.ledger.holder("p").refused is None
                or host.table_manager.ledger.holder("p").in_flight
            )


async def test_a_reconnect_sends_only_the_differences_and_hashes_reveal_a_false_claim():
    async with controller(standing=25) as (host, address), grpc.aio.insecure_channel(address) as channel:
        change_list(host)
        client = IncrementalClient(channel, "p")
        await client.ask()
        response, _ = await client.receive()
        name = response.system_version_info.split()[0]
        client.call.cancel()
        await until(lambda: not host.joined_proxies)
        drained = sorted(client.lines)[0]
        change_list(host, drained)
        second = IncrementalClient(channel, "p")
        second.lines = dict(client.lines)
        await second.ask(client.lines, name)
        response, rejection = await second.receive()
        assert rejection == "" and second.lines == ordered_lines(host) and drained not in second.lines
        assert len(response.resources) + len(response.removed_resources) <= 2
        second.call.cancel()
        await until(lambda: not host.joined_proxies)
        wrong = IncrementalClient(channel, "p")
        wrong.lines = {SERVERS[0]: 7.0}
        await wrong.ask(second.lines, name)  # it claims lines that it does not hold
        response, rejection = await wrong.receive()
        if rejection:  # nothing differed from the lines it claimed, so only the table's name was sent
            response, rejection = await wrong.receive()
        assert rejection == "" and wrong.lines == ordered_lines(host)


async def test_four_hundred_hash_mismatches_at_once_are_repaired_within_the_channels_limits():
    proxy_count = 400
    async with controller(
        standing=12, cycle=200_000, backlog=2000.0, lines_per_s=40_000.0, proxies=proxy_count
    ) as (
        host,
        address,
    ):
        async with grpc.aio.insecure_channel(address) as channel, anyio.create_task_group() as group:
            change_list(host)
            clients = [IncrementalClient(channel, f"p{k}") for k in range(proxy_count)]

            async def follow(client):
                await client.ask()
                while True:
                    response = await client.read(60)
                    await client.answer(response, client.apply(response))

            for client in clients:
                group.start_soon(follow, client)
            await until(lambda: all(c.lines for c in clients), 30)
            await until(lambda: not host.channel.queue, 10)
            for client in clients:  # each loses a line without noticing
                client.lines.pop(sorted(client.lines)[-1])
            change_list(host, *SERVERS[:3])
            await until(lambda: all(c.lines == ordered_lines(host, c.node.id) for c in clients), 30)
            assert sum(j.refused for j in host.joined_proxies.values()) > 50
            assert 0 < host.channel.max_waiting <= 2000
            for client in clients:
                client.call.cancel()
            group.cancel_scope.cancel()


async def test_a_client_without_hash_checks_gets_changes_only():
    async with controller(standing=25) as (host, address), grpc.aio.insecure_channel(address) as channel:
        change_list(host)
        client = IncrementalClient(channel, "p", checks=False)
        await client.ask()
        response, _ = await client.receive()
        assert response.system_version_info.split()[1] != "-"
        change_list(host, *sorted(client.lines)[:24])
        response, rejection = await client.receive()
        assert rejection == "" and len(response.removed_resources) == 24
