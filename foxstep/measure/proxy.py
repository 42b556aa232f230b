"""`foxstep measure-proxy`: the proxy's overhead, compared with a direct client and a plain TCP relay."""

import asyncio
import os
import random
import subprocess
import sys
import time

import anyio
import click
import grpc
from hdrh.histogram import HdrHistogram

from foxstep.measure.fleet import process_usage
from foxstep.proxy.pick import Picker
from foxstep.proxy.program import Proxy
from foxstep.site import read_site
from foxstep.site.load import EXAMPLES
from foxstep.standins.list_service import ListService

# A gRPC server that echoes, and a TCP relay; each prints its port and runs in a process of its own.
SERVER_SOURCE = """
import asyncio, grpc, sys
async def main():
    server = grpc.aio.server()
    async def answer(request, context):
        return request
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(
        "any.Service", {"look-up": grpc.unary_unary_rpc_method_handler(answer)}),))
    print(server.add_insecure_port("127.0.0.1:0"), flush=True)
    await server.start()
    await server.wait_for_termination()
asyncio.run(main())
"""
RELAY_SOURCE = """
import asyncio, sys
async def pump(reader, writer):
    while data := await reader.read(65536):
        writer.write(data)
        await writer.drain()
    writer.close()
async def relay(reader, writer):
    there, onward = await asyncio.open_connection("127.0.0.1", int(sys.argv[1]))
    await asyncio.gather(pump(reader, onward), pump(there, writer))
async def main():
    server = await asyncio.start_server(relay, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()
asyncio.run(main())
"""


def start_process(*command):
    """Starts Python with a command; returns the process and the port that it prints."""
    child = subprocess.Popen(
        [sys.executable, *command], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
    )
    return child, child.stdout.readline().strip().rpartition(":")[2]


async def send_ops(port, seconds, concurrency):
    """Sends ops, `concurrency` at a time; returns (ops per second, histogram of microseconds)."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    end = time.perf_counter() + seconds
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        op = channel.unary_unary("/any.Service/look-up")

        async def send_in_turn():
            while (began := time.perf_counter()) < end:
                await op(b"x" * 100, timeout=10)
                histogram.record_value(max(1, round((time.perf_counter() - began) * 1e6)))

        await asyncio.gather(*(send_in_turn() for _ in range(concurrency)))
    return histogram.get_total_count() / seconds, histogram


def measure_paths(seconds):
    """Prints throughput, latency, CPU and memory of ops sent directly, over the relay and over the proxy."""
    servers = [start_process("-c", SERVER_SOURCE) for _ in range(4)]
    standing = [word for _, port in servers for word in ("--standing", f"127.0.0.1:{port}")]
    relay = start_process("-c", RELAY_SOURCE, servers[0][1])
    proxy = start_process(
        "-m",
        "foxstep",
        "--level",
        "error",
        "proxy",
        os.path.join(EXAMPLES, "loopback.jsonnet"),
        "--id",
        "p",
        "--controller",
        "127.0.0.1:9",
        "--tell",
        *standing,
    )
    click.echo("| path | concurrency | ops/s | p50, ms | p99, ms | p99.9, ms | CPU, us per op | MiB |")
    click.echo("|" + " --- |" * 8)
    try:
        for concurrency in (1, 32):
            for name, (child, port) in (
                ("direct", (None, servers[0][1])),
                ("pass-through", relay),
                ("proxy", proxy),
            ):
                before = process_usage(child.pid)[0] if child else 0.0
                rate, histogram = asyncio.run(send_ops(port, seconds, concurrency))
                after, resident = process_usage(child.pid) if child else (0.0, 0.0)
                latencies = " | ".join(
                    f"{histogram.get_value_at_percentile(p) / 1000:.2f}" for p in (50, 99, 99.9)
                )
                click.echo(
                    f"| {name} | {concurrency} | {rate:.0f} | {latencies} | "
                    f"{(after - before) / (rate * seconds) * 1e6:.0f} | {resident:.0f} |"
                )
    finally:
        for child, _ in (*servers, relay, proxy):
            child.terminate()
            child.wait()


def linear_scan_picker(lines):
    """Returns a function that makes the same picks by scanning for the server with the highest credit."""
    credit = dict.fromkeys(lines, 0.0)
    total = sum(lines.values())

    def pick():
        for server, weight in lines.items():
            credit[server] += weight / total
        best = max(credit, key=credit.get)
        credit[best] -= 1
        return best

    return pick


def measure_picks():
    """Prints the time of a pick and of a replaced table at several numbers of servers."""
    click.echo(
        "\n| servers | earliest deadline, us | linear scan, us | random.choices, us | table replaced, us |"
    )
    click.echo("|" + " --- |" * 5)
    for n in (10, 100, 1000, 10_000):
        lines = {f"10.0.{k // 250}.{k % 250}:80": 0.5 + k % 7 for k in range(n)}
        picker = Picker(1)
        picker.set(lines)
        names, weights, times = list(lines), list(lines.values()), []
        for pick, count in (
            (lambda p=picker: p.pick(0), 20_000),
            (linear_scan_picker(lines), max(20, 200_000 // n)),
            (lambda of=names, w=weights: random.choices(of, w), max(200, 200_000 // n)),
        ):
            began = time.perf_counter()
            for _ in range(count):
                pick()
            times.append((time.perf_counter() - began) / count * 1e6)
        began = time.perf_counter()
        for k in range(5):
            picker.set({s: w + k for s, w in lines.items()})
        times.append((time.perf_counter() - began) / 5 * 1e6)
        click.echo(f"| {n} | " + " | ".join(f"{t:.1f}" for t in times) + " |")


def run(seconds):
    """Measures paths for `seconds` each, then picks, then memory."""
    measure_paths(seconds)
    measure_picks()
    asyncio.run(measure_memory(50))


async def measure_memory(count):
    """Prints the MiB that each of `count` joined proxies in one process takes beyond the first."""
    path = os.path.join(EXAMPLES, "loopback.jsonnet")
    idents = [f"127.0.0.1:{7000 + k}" for k in range(110)]
    site = read_site(path)
    lists = ListService(lambda *_, **__: None, time.monotonic, 0.0)
    await lists.start()
    for ident in idents:
        lists.set(ident, "east", "plain", "open", at_once=True)
    controller, port = start_process(
        "-m", "foxstep", "--level", "error", "serve", path, "--tell", "--list", f"127.0.0.1:{lists.port}"
    )
    op_types = [{"name": o.name, "method": ""} for o in site.op_types]
    proxies, sizes = [], []
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(lists.run)
            for k in range(count):
                proxies.append(
                    Proxy(
                        f"p{k}",
                        "east",
                        site.settings_map(),
                        site.name,
                        op_types,
                        [f"127.0.0.1:{port}"],
                        [],
                        time.monotonic,
                    )
                )
                group.start_soon(proxies[-1].run)
                if k in (0, count - 1):
                    with anyio.fail_after(30):
                        while not all(p.table.lines for p in proxies):
                            await anyio.sleep(0.05)
                    sizes.append(process_usage(os.getpid())[1])
            group.cancel_scope.cancel()
    finally:
        controller.terminate()
        controller.wait()
        with anyio.CancelScope(shield=True):
            await lists.server.stop(None)
    click.echo(
        f"\n{count} joined proxies in one process, about {len(proxies[0].table.lines)} lines each: "
        f"{sizes[1]:.0f} MiB, {(sizes[1] - sizes[0]) / (count - 1):.2f} MiB per proxy beyond the first"
    )
