"""Rollbacks by a running controller's operator service, over real sockets."""

import sys

import anyio
import grpc
import pytest
from live import SERVERS, Client, anyio_backend, collect_garbage, controller, open_lines, until  # noqa: F401

from foxstep.operate.service import TABLE_METHODS, OperatorService, call_controller

pytestmark = pytest.mark.anyio


class Answering(Client):
    """Accepts every table, or refuses it while `refusal` is set, and records what it held."""

    def __init__(self, channel, ident, zone="east"):
        super().__init__(channel, ident, zone)
        self.held, self.held_version, self.versions, self.refusal = {}, "", [], ""

    async def run(self, version=""):
        await self.ask(version_info=version)
        while True:
            response, held = await self.table(60)
            if self.refusal:
                await self.refuse(response, self.refusal)
                continue
            self.held, self.held_version = held, response.version_info.partition("/")[0]
            self.versions.append(self.held_version)
            await self.accept(response)


async def fleet(group, channel, host, n, zones=("east", "west")):
    """Joins `n` clients; returns them once each holds its table."""
    clients = [Answering(channel, f"p{k}", zones[k % len(zones)]) for k in range(n)]
    for client in clients:
        group.start_soon(client.run)
    await until(lambda: all(c.held for c in clients) and not host.table_manager.ledger.proxies_behind(), 20)
    return clients


def order(host, verb, **question):
    """Calls the operator service's method for a table verb."""
    return getattr(OperatorService(host), f"tables_{verb}")(question)


def change(host, *drained):
    """Lists all servers as open, except the drained ones."""
    host.listed(
        "whole",
        [*open_lines(*(s for s in SERVERS if s not in drained)), *open_lines(*drained, state="draining")],
    )


async def test_a_bad_table_is_rolled_back_to_a_version_that_all_proxies_then_hold():
    async with controller(transit_most=20_000, cycle=100_000) as (host, address):
        change(host)
        async with grpc.aio.insecure_channel(address) as channel, anyio.create_task_group() as group:
            clients = await fleet(group, channel, host, 12)
            good = str(host.table_manager.ledger.newest())
            before = {c.node.id: c.held for c in clients}
            order(host, "put", scope="fleet", lines={SERVERS[0]: 1.0})
            await until(lambda: all(set(c.held) == {SERVERS[0]} for c in clients), 20)
            answer = order(host, "rollback", scope="fleet", version=good)
            assert answer["version"] == good and answer["bound_ms"] > 0
            await until(lambda: all(c.held_version.endswith(f"@{good}") for c in clients), 20)
            assert {c.node.id: c.held for c in clients} == before
            late = Answering(channel, "late", "east")
            group.start_soon(late.run)
            await until(lambda: late.held_version.endswith(f"@{good}"), 20)
            order(host, "unpin", scope="fleet")
            await until(lambda: all("@" not in c.held_version for c in clients), 20)
            group.cancel_scope.cancel()


async def test_drained_servers_leave_a_pinned_table_which_is_never_empty():
    async with controller(transit_most=20_000, cycle=100_000) as (host, address):
        change(host)
        async with grpc.aio.insecure_channel(address) as channel, anyio.create_task_group() as group:
            clients = await fleet(group, channel, host, 4)
            order(host, "put", scope="fleet", lines={SERVERS[0]: 1.0, SERVERS[1]: 3.0})
            await until(lambda: all(set(c.held) == set(SERVERS[:2]) for c in clients), 20)
            change(host, SERVERS[0])
            await until(lambda: all(SERVERS[0] not in c.held and SERVERS[1] in c.held for c in clients), 20)
            assert all(len(c.held) == 2 for c in clients), "a removed line is replaced by an ordinary one"
            change(host, *SERVERS[:2])
            await until(lambda: all(not {*SERVERS[:2]} & {*c.held} and c.held for c in clients), 20)
            change(host)
            await until(lambda: all(set(c.held) == set(SERVERS[:2]) for c in clients), 20)
            group.cancel_scope.cancel()


async def test_a_rollback_stops_if_its_first_wave_refuses_and_the_others_keep_their_tables():
    async with controller(transit_most=20_000, cycle=100_000) as (host, address):
        change(host)
        async with grpc.aio.insecure_channel(address) as channel, anyio.create_task_group() as group:
            clients = await fleet(group, channel, host, 8)
            good = str(host.table_manager.ledger.newest())
            order(host, "put", scope="fleet", lines={SERVERS[3]: 1.0})
            await until(lambda: all(set(c.held) == {SERVERS[3]} for c in clients), 20)
            first = next(iter(host.joined_proxies))
            next(c for c in clients if c.node.id == first).refusal = "not today"
            order(host, "rollback", scope="fleet", version=good)
            zones = {c.node.id: c.node.locality.zone for c in clients}
            await until(lambda: host.table_manager.progress(zones)[-1]["state"] == "stopped", 20)
            progress = host.table_manager.progress(zones)[-1]
            assert first in progress["why"] and "not today" in progress["why"] and progress["reached"] == 1
            assert all(set(c.held) == {SERVERS[3]} for c in clients if c.node.id != first)
            group.cancel_scope.cancel()


async def test_a_newer_rollback_of_the_same_scope_wins_and_a_narrower_one_stays():
    async with controller(transit_most=20_000, cycle=100_000) as (host, address):
        change(host)
        async with grpc.aio.insecure_channel(address) as channel, anyio.create_task_group() as group:
            clients = await fleet(group, channel, host, 8)
            first = str(host.table_manager.ledger.newest())
            change(host, SERVERS[5])
            await until(lambda: all(SERVERS[5] not in c.held for c in clients), 20)
            change(host)
            second = str(host.table_manager.ledger.newest())
            order(host, "pin", scope="proxy p3", version=first)
            order(host, "rollback", scope="fleet", version=first)
            order(host, "rollback", scope="fleet", version=second)
            await until(
                lambda: all(c.held_version.endswith(f"@{second}") for c in clients if c.node.id != "p3"), 20
            )
            assert clients[3].held_version.endswith(f"@{first}")
            group.cancel_scope.cancel()


async def test_the_epoch_rises_above_that_of_a_proxy_of_a_previous_controller():
    async with controller() as (host, address):
        change(host)
        async with grpc.aio.insecure_channel(address) as channel, anyio.create_task_group() as group:
            ahead = host.epoch + 1000
            client = Answering(channel, "p")
            group.start_soon(client.run, f"{ahead}.5")
            await until(lambda: client.held)
            epoch = int(client.held_version.split(".")[0])
            assert epoch > ahead and host.table_manager.ledger.epoch == epoch
            group.cancel_scope.cancel()


async def test_an_invalid_operator_order_is_answered_in_one_line_and_changes_nothing():
    async with controller() as (host, address):
        change(host)
        for verb, question, expected in [
            ("rollback", {"scope": "fleet", "version": "9.9"}, "no version 9.9 in the history"),
            ("rollback", {"scope": "fleet", "version": "yesterday"}, "expected a version such as"),
            ("rollback", {"scope": "fleet", "version": "last-good"}, "good for long enough"),
            ("pin", {"scope": "zone north", "version": "last-good"}, 'expected "fleet", "zone NAME"'),
            ("put", {"scope": "fleet", "lines": {"127.0.0.1:1": 1}}, "no such server"),
            ("unpin", {"scope": "fleet"}, "nothing holds"),
            ("diff", {"old": "1.1"}, "'new' is missing"),
        ]:
            with pytest.raises(grpc.RpcError) as error:
                await call_controller(address, TABLE_METHODS[verb], question)
            assert expected in error.value.details() and "\n" not in error.value.details()
        assert not host.table_manager.rollbacks.all


async def test_the_command_line_lists_shows_compares_rolls_back_and_unpins():
    async def foxstep(*words, exits=0):
        done = await anyio.run_process([sys.executable, "-m", "foxstep", *words], check=False)
        text = (done.stdout + done.stderr).decode()
        assert done.returncode == exits, text
        return text

    async with controller(transit_most=20_000, cycle=100_000) as (host, address):
        change(host)
        async with grpc.aio.insecure_channel(address) as channel, anyio.create_task_group() as group:
            clients = await fleet(group, channel, host, 4)
            good = str(host.table_manager.ledger.newest())
            output = await foxstep("tables", "put", address, f"{SERVERS[0]}=1", f"{SERVERS[1]}=2.5")
            assert "4 of 4 hold it, done" in output
            assert f"{SERVERS[1]:24} 2.5" in await foxstep("tables", "show", address, "p1")
            assert f"{SERVERS[1]} 1 to 2.5" in await foxstep(
                "tables", "diff", address, good, str(host.table_manager.ledger.newest())
            )
            output = await foxstep("tables", "rollback", address, good, "--zone", "east")
            assert f"zone east to {good}, within" in output and "2 of 2 hold it, done" in output
            assert {c.node.id for c in clients if c.held_version.endswith(f"@{good}")} == {"p0", "p2"}
            output = await foxstep("tables", "list", address)
            assert "by hand" in output and f"rollback 2: zone east to {good}: done; 2 of 2" in output
            output = await foxstep("tables", "show", address)
            assert output.count(" of " + good) == 2 and "0 joined proxies do not hold" in output
            assert "2 ended" in await foxstep("tables", "unpin", address)
            await until(lambda: all("@" not in c.held_version for c in clients), 20)
            output = await foxstep("tables", "rollback", address, "9.9", exits=2)
            assert output.startswith(f"foxstep: {address}: no version 9.9 in the history")
            assert output.count("\n") == 1
            output = await foxstep("tables", "put", address, "x=heavy", exits=2)
            assert "expected SERVER=WEIGHT" in output
            assert "channel 0 of" in await foxstep("inspect", address)
            group.cancel_scope.cancel()
