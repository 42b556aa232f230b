"""Faults and limits of a running controller, over real sockets."""

import sqlite3

import anyio
import grpc
import pytest
from envoy.config.endpoint.v3 import load_report_pb2
from envoy.service.load_stats.v3 import lrs_pb2, lrs_pb2_grpc
from envoy.service.rate_limit_quota.v3 import rlqs_pb2, rlqs_pb2_grpc
from live import SERVERS, Client, anyio_backend, collect_garbage, controller, open_lines, until  # noqa: F401

from foxstep.xds import resources

pytestmark = pytest.mark.anyio


async def test_a_refused_table_is_followed_by_a_full_one():
    async with controller() as (host, address), grpc.aio.insecure_channel(address) as channel:
        host.listed("whole", open_lines(*SERVERS[:3]))
        client = Client(channel, "p")
        await client.ask()
        response, held = await client.table()
        assert set(held) == set(SERVERS[:3])
        await client.refuse(response, "no room")
        again, held = await client.table()
        assert again.nonce != response.nonce and set(held) == set(SERVERS[:3])
        assert host.joined_proxies["p"].refused == 1 and host.joined_proxies["p"].last_refusal == "no room"
        await client.accept(again)
        await until(lambda: host.joined_proxies["p"].accepted == 1)
        assert not host.repairs.refusals


async def test_refusals_in_a_row_increase_the_repair_delay():
    async with controller(cycle=50_000) as (host, address), grpc.aio.insecure_channel(address) as channel:
        host.listed("whole", open_lines(*SERVERS[:2]))
        client = Client(channel, "p")
        await client.ask()
        waits = []
        for _ in range(4):
            response, _ = await client.table()
            await client.refuse(response, "never")
            await until(lambda: host.repairs.due)
            waits.append(host.repairs.due["p"] - host.clock())
        assert all(later > 1.5 * sooner for sooner, later in zip(waits, waits[1:], strict=False))


async def test_a_client_that_never_answers_is_still_sent_drains():
    async with controller() as (host, address), grpc.aio.insecure_channel(address) as channel:
        host.listed("whole", open_lines(*SERVERS[:4]))
        client = Client(channel, "p")
        await client.ask()
        await client.table()
        host.listed("changes", open_lines(SERVERS[0], state="draining"))
        _, held = await client.table()
        assert set(held) == set(SERVERS[1:4])
        assert host.joined_proxies["p"].accepted == 0


async def test_joining_twice_ends_the_older_stream_and_serves_the_newer():
    async with controller() as (host, address), grpc.aio.insecure_channel(address) as channel:
        host.listed("whole", open_lines(*SERVERS[:3]))
        older, newer = Client(channel, "p"), Client(channel, "p")
        await older.ask()
        await older.table()
        await newer.ask()
        _, held = await newer.table()
        assert set(held) == set(SERVERS[:3])
        with pytest.raises(grpc.RpcError) as ended:
            await older.response()
        assert ended.value.code() == grpc.StatusCode.ABORTED and "newer stream" in ended.value.details()
        host.listed("changes", open_lines(SERVERS[0], state="draining"))
        _, held = await newer.table()
        assert set(held) == set(SERVERS[1:3]) and set(host.joined_proxies) == {"p"}


async def test_a_stream_that_breaks_before_its_answer_leaves_no_state():
    async with controller() as (host, address), grpc.aio.insecure_channel(address) as channel:
        host.listed("whole", open_lines(*SERVERS[:3]))
        client = Client(channel, "p")
        await client.ask()
        await client.table()
        client.call.cancel()
        await until(lambda: not host.joined_proxies)
        assert not host.desired_state.holdings and not host.desired_state.bindings and not host.channel.queue
        host.listed("changes", open_lines(SERVERS[2], state="draining"))
        client = Client(channel, "p")
        await client.ask()
        _, held = await client.table()
        assert set(held) == set(SERVERS[:2])


async def test_the_queue_stays_within_the_backlog_while_two_hundred_proxies_join():
    async with controller(backlog=300.0, lines_per_s=3000.0, proxies=200) as (host, address):
        host.listed("whole", open_lines(*SERVERS))
        async with grpc.aio.insecure_channel(address) as channel:
            clients = [Client(channel, f"p{k}") for k in range(200)]
            tables = {}

            async def one(client, k):
                await client.ask()
                tables[k] = (await client.table(10.0))[1]

            async with anyio.create_task_group() as group:
                for k, client in enumerate(clients):
                    group.start_soon(one, client, k)
            assert len(tables) == 200 and all(tables.values())
            assert 0 < host.channel.max_waiting <= 300


async def test_a_stalled_reader_delays_no_other_and_its_queue_is_bounded():
    many = [f"127.0.0.1:{8000 + k}" for k in range(60)]
    fixed_window = [("grpc.http2.bdp_probe", 0), ("grpc.use_local_subchannel_pool", 1)]
    async with (
        controller(standing=50, backlog=4000.0, lines_per_s=20_000.0) as (host, address),
        grpc.aio.insecure_channel(address, options=fixed_window) as one,
        grpc.aio.insecure_channel(address, options=fixed_window) as two,
    ):
        host.listed("whole", open_lines(*many))
        stalled, other = Client(one, "stalled"), Client(two, "other")
        for client in (stalled, other):
            await client.ask()
            _, held = await client.table()
        restored, subscription = (
            many[-1],
            host.front.streams["stalled"].session.subscriptions[resources.ASSIGNMENT_TYPE],
        )
        # More than the flow-control window of the stalled client, so that its writer waits.
        for turn in range(120):
            drained = sorted(held)[turn % len(held)]
            host.listed("changes", [*open_lines(drained, state="draining"), *open_lines(restored)])
            while drained in held:
                _, held = await other.table()
            restored = drained
        assert subscription.version < host.joined_proxies["stalled"].delivered - 20, (
            "the client was never stalled"
        )
        assert subscription.is_due and len(subscription.marks) <= 64 and len(subscription.unanswered) <= 64
        assert len(host.channel.queue) <= 2 and not host.channel.deferred


async def test_after_a_restart_the_stored_list_is_used_and_the_epoch_has_grown(tmp_path):
    async with controller(directory=str(tmp_path)) as (host, address):
        host.listed("whole", open_lines(*SERVERS[:3]))
        first = host.epoch
    async with controller(directory=str(tmp_path)) as (host, address):
        async with grpc.aio.insecure_channel(address) as channel:
            client = Client(channel, "p")
            await client.ask(version_info=f"{first}.7")
            response, held = await client.table()
            assert set(held) == set(SERVERS[:3]) and host.epoch > first
            assert response.version_info.startswith(f"{host.epoch}.")


async def test_a_truncated_stored_list_is_not_used(tmp_path):
    async with controller(directory=str(tmp_path)) as (host, _):
        host.listed("whole", open_lines(*SERVERS[:3]))
    database = sqlite3.connect(tmp_path / "tables.db")
    database.execute("UPDATE servers SET body = substr(body, 1, length(body) - 5)")
    database.commit()
    database.close()
    async with controller(directory=str(tmp_path)) as (host, _):
        assert host.listed_lines == {} and "server list: checksum mismatch" in host.store.damage[0]


def stats(name="look-up", seconds=1, **locality):
    cluster_stats = load_report_pb2.ClusterStats(cluster_name=name)
    cluster_stats.load_report_interval.seconds = seconds
    if locality:
        server = locality.pop("server", SERVERS[0])
        cluster_stats.upstream_locality_stats.add(**locality).locality.sub_zone = server
    return cluster_stats


@pytest.mark.parametrize(
    "bad,reason",
    [
        (stats(seconds=-1, total_successful_requests=3), "window"),
        (stats(seconds=10**6, total_successful_requests=3), "window"),
        (stats(total_successful_requests=2**63), "count"),
        (stats(server="127.0.0.1:9", total_successful_requests=3), "server"),
        (stats(name="no-such-op", total_successful_requests=3), "op type"),
    ],
)
async def test_an_invalid_report_is_refused_and_a_valid_one_sent_with_it_counts(bad, reason):
    async with controller(cycle=60_000_000) as (host, address), grpc.aio.insecure_channel(address) as channel:
        host.listed("whole", open_lines(*SERVERS[:2]))
        client = Client(channel, "p", quotas=False)
        await client.ask()
        await client.table()
        await client.report(
            bad, stats(total_successful_requests=5, total_issued_requests=5, server=SERVERS[1])
        )
        assert host.intake.refused[reason] >= 1
        await until(lambda: host.intake.sums.server_sums)
        assert host.intake.sums.server_sums[SERVERS[1], "east"][:2] == [5, 0]
        assert host.intake.sums.proxy_sums["p", "look-up"][0] >= 5


async def test_too_many_resource_names_end_the_stream_with_a_reason():
    async with controller() as (host, address), grpc.aio.insecure_channel(address) as channel:
        host.listed("whole", open_lines(*SERVERS[:2]))
        client = Client(channel, "p")
        await client.ask(names=[f"n{k}" for k in range(3000)])
        with pytest.raises(grpc.RpcError) as ended:
            await client.response()
        assert "3000 resource names" in ended.value.details()
        await until(lambda: not host.joined_proxies)


async def test_a_share_level_reaches_a_stock_client_as_drops():
    async with controller(level="share") as (host, address), grpc.aio.insecure_channel(address) as channel:
        host.listed("whole", open_lines(*SERVERS[:2]))
        client = Client(channel, "p", quotas=False)
        await client.ask()
        await client.table()
        now = host.clock()
        host.desired_state.admit(now, "p", 1, 0.25, 0)
        for message in host.desired_state.close_batch():
            host.channel.offer(now, message)
        host.request_run("test")
        response, held = await client.table()
        assignment = resources.endpoint_pb2.ClusterLoadAssignment()
        response.resources[0].Unpack(assignment)
        assert assignment.policy.drop_overloads[0].drop_percentage.numerator == 750_000
        assert set(held) == set(SERVERS[:2])


async def test_a_level_of_a_previous_controller_is_lifted_if_the_new_one_has_none():
    async with controller() as (host, address), grpc.aio.insecure_channel(address) as channel:
        host.listed("whole", open_lines(*SERVERS[:2]))
        client = Client(channel, "p")
        quotas = rlqs_pb2_grpc.RateLimitQuotaServiceStub(channel).StreamRateLimitQuotas()
        report = rlqs_pb2.RateLimitQuotaUsageReports(domain="loopback")
        report.bucket_quota_usages.add().bucket_id.bucket.update({"proxy": "p", "op_type": "look-up"})
        await quotas.write(report)  # a proxy that still holds levels of the previous controller
        await client.ask()
        await client.table()
        with anyio.fail_after(3):
            answer = await quotas.read()
        strategy = answer.bucket_action[0].quota_assignment_action.rate_limit_strategy
        assert strategy.HasField("blanket_rule") and strategy.blanket_rule == 0
        host.desired_state.admit(host.clock(), "p", 1, 2.5, 0)
        for message in host.desired_state.close_batch():
            host.channel.offer(host.clock(), message)
        host.request_run("test")
        with anyio.fail_after(3):
            answer = await quotas.read()
        bucket = answer.bucket_action[0].quota_assignment_action.rate_limit_strategy.token_bucket
        assert bucket.fill_interval.ToNanoseconds() == 400_000_000 and bucket.max_tokens == 2


async def test_under_load_reports_are_requested_less_often_and_later_more_often_again():
    """The cost of a line, which depends on the machine, is fixed so that the test depends on counts only."""
    async with controller(cycle=100_000) as (host, address), grpc.aio.insecure_channel(address) as channel:
        host.intake.pace.record_cost = lambda lines, took: None
        host.intake.pace.line_cost_us = 100.0  # 400 lines fit into a cycle, and about 10 reports
        host.listed("whole", open_lines(*SERVERS))
        client = Client(channel, "p")
        await client.ask()
        await client.table()
        call = lrs_pb2_grpc.LoadReportingServiceStub(channel).StreamLoadStats()
        await call.write(lrs_pb2.LoadStatsRequest(node=client.node))
        intervals = [(await call.read()).load_reporting_interval.ToMicroseconds()]
        assert intervals == [100_000]

        async def read_answers():
            while (answer := await call.read()) is not grpc.aio.EOF:
                intervals.append(answer.load_reporting_interval.ToMicroseconds())

        async with anyio.create_task_group() as group:
            group.start_soon(read_answers)
            for _ in range(300):
                await call.write(
                    lrs_pb2.LoadStatsRequest(
                        node=client.node,
                        cluster_stats=[stats(server=s, total_successful_requests=5) for s in SERVERS * 3],
                    )
                )
                await anyio.sleep(0.004)
            await until(lambda: len(intervals) >= 2)
            assert intervals[1] > intervals[0] * 1.7
            assert host.intake.skipped_lines > 0
            await until(lambda: intervals[-1] == 100_000, 15)
            group.cancel_scope.cancel()
