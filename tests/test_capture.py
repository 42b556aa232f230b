"""Capture and replay of the decision module: a replay gives the same orders or the first difference."""

import os

import grpc
import msgspec
import pyarrow.parquet as pq
import pytest
from click.testing import CliRunner
from envoy.service.load_stats.v3 import lrs_pb2
from live import SERVERS, Client, controller, open_lines, until

from foxstep.balance import Controller
from foxstep.capture.replay import Replay
from foxstep.capture.storage import CapturedModule, CaptureWriter, InvalidCapture, read_rows, read_start
from foxstep.commands.line import main

SECOND = 1_000_000


def write_capture(folder, rows_per_part=50):
    """Captures a module that is driven for one simulated minute without a host."""
    from test_scenarios import default_site

    site = {**default_site(), "me": 0, "controllers": 1}
    writer = CaptureWriter(folder, 50 * SECOND, site, 7, rows_per_part)
    module = CapturedModule(Controller(50 * SECOND, site, 7), writer)
    now = 50 * SECOND
    module.listed(now, "whole", [(s, "east", "plain", 0, "open", 1.0, 0) for s in SERVERS])
    for k in range(8):
        module.joined(now, f"p{k}", "east", 10.0, True)
    for turn in range(120):
        now += SECOND // 2
        for k, server in enumerate(SERVERS):
            module.heard(
                now,
                server,
                "east",
                20 + k,
                turn % 7 == 0 and k,
                200_000 + 1000 * k,
                SECOND // 2,
                {"busy": 0.3 + 0.1 * k, "waiting": 0.5 * k},
            )
        for k in range(8):
            module.used(now, f"p{k}", "read", 5 + (turn if k == 3 else 0), 0, SECOND // 2)
        while module.next_order(now) is not None:
            pass
        if turn == 60:
            module.left(now, "p5")
    writer.close()
    return writer


def run_replay(folder, make=Controller, **options):
    replay = Replay(read_start(folder), read_rows(folder), make)
    lines = []
    replay.run(lines.append, **options)
    return replay, lines


def test_replay_gives_the_captured_orders_for_any_part_size(tmp_path):
    write_capture(str(tmp_path / "a"))
    write_capture(str(tmp_path / "b"), rows_per_part=10_000)
    first, first_lines = run_replay(str(tmp_path / "a"))
    second, second_lines = run_replay(str(tmp_path / "b"))
    assert first.difference is None and second.difference is None and first.incomplete == ""
    assert first_lines == second_lines and len(first_lines) > 100
    assert first.inputs["heard"] == 120 * len(SERVERS)
    assert len([p for p in os.listdir(tmp_path / "a") if p.startswith("part")]) > 5


def test_replay_finds_the_first_difference_of_another_version_and_the_inputs_before_it(tmp_path):
    write_capture(str(tmp_path / "a"))

    class OtherController(Controller):
        def adjust_weights(self):
            if self.now < 56 * SECOND:
                super().adjust_weights()

    replay, lines = run_replay(str(tmp_path / "a"), OtherController)
    difference = replay.difference
    assert (
        difference is not None
        and 56 * SECOND <= difference.at
        and difference.captured != difference.replayed
        and len(difference.inputs) == 5
    )
    rows = list(read_rows(str(tmp_path / "a")))
    assert rows[difference.row][0] == difference.at
    complete, _ = run_replay(str(tmp_path / "a"), OtherController, continue_after_difference=True)
    assert complete.inputs["heard"] == 120 * len(SERVERS) and complete.difference.row == difference.row


def test_unfinished_part_is_ignored_and_truncated_part_is_reported(tmp_path):
    folder = str(tmp_path / "a")
    write_capture(folder)
    parts = sorted(p for p in os.listdir(folder) if p.startswith("part"))
    with open(os.path.join(folder, parts[-1] + ".new"), "wb") as file:
        file.write(b"PAR1 incomplete part left by a crash")
    assert run_replay(folder)[0].difference is None
    with open(os.path.join(folder, parts[2]), "r+b") as file:
        file.truncate(100)
    with pytest.raises(InvalidCapture, match="part-000002"):
        run_replay(folder)
    result = CliRunner().invoke(main, ["replay", folder])
    assert result.exit_code == 1 and "part-000002" in result.output and "Traceback" not in result.output
    with pytest.raises(InvalidCapture, match="not the start of a capture"):
        read_start(str(tmp_path))
    with pytest.raises(FileExistsError):
        CaptureWriter(folder, 0, {}, 1)


def test_slow_disk_drops_rows_without_blocking_the_caller(tmp_path):
    writer = CaptureWriter(str(tmp_path / "a"), 0, {}, 1, rows_per_part=2)
    writer.pending_parts.maxsize = 1
    for k in range(20_000):
        writer.append(k, "end", "", None)
    writer.close()
    rows = list(read_rows(str(tmp_path / "a")))
    assert writer.lost_rows > 0 and any(verb == "lost" for _, verb, _, _ in rows)


@pytest.mark.anyio
async def test_capture_of_a_live_controller_replays_without_difference(tmp_path):
    folder = str(tmp_path / "a")
    writers = []

    def make(now, site, seed):
        writers.append(CaptureWriter(folder, now, site, seed, 100))
        return CapturedModule(Controller(now, site, seed), writers[0])

    async with (
        controller(make=make, cycle=100_000) as (host, address),
        grpc.aio.insecure_channel(address) as channel,
    ):
        host.listed("whole", open_lines(*SERVERS))
        client = Client(channel, "p", quotas=False)
        await client.ask()
        response, held = await client.table()
        await client.accept(response)
        load_report = lrs_pb2.LoadStatsRequest().cluster_stats.add(cluster_name="look-up")
        load_report.load_report_interval.FromMicroseconds(100_000)
        for server in held:
            server_stats = load_report.upstream_locality_stats.add(
                total_successful_requests=20, total_issued_requests=20
            )
            server_stats.locality.sub_zone = server
        lines_before = host.intake.accepted_lines
        await client.report(load_report)
        await until(lambda: host.intake.accepted_lines > lines_before)
        host.listed("changes", open_lines(SERVERS[0], state="draining"))
        await client.table()
        await until(lambda: len([v for v in writers[0].columns[1] if v == "heard"]) or writers[0].part_count)
    writers[0].close()
    replay, lines = run_replay(folder)
    assert replay.difference is None and replay.inputs["heard"] > 0 and len(lines) > 5
    result = CliRunner().invoke(main, ["replay", folder, "--orders", str(tmp_path / "orders")])
    assert result.exit_code == 0 and "all orders are the same as captured" in result.output
    assert (tmp_path / "orders").read_text().splitlines() == lines
    summary = CliRunner().invoke(main, ["capture", folder])
    assert summary.exit_code == 0 and "heard" in summary.output
    table = pq.read_table(os.path.join(folder, "part-000000.parquet"))
    assert set(table.column("verb").to_pylist()) >= {"listed", "order"}
    assert msgspec.msgpack.decode(table.column("told")[0].as_py())
