"""`foxstep serve`: one controller, until SIGTERM or ctrl-C."""

import signal

import anyio
import anyio.abc
import grpc
import msgspec
import structlog

from foxstep.balance import Controller
from foxstep.capture.storage import CapturedModule, CaptureWriter
from foxstep.live.clocks import clock, wall
from foxstep.live.serving import ServingHost
from foxstep.operate.service import OperatorService
from foxstep.peers.learning import Learning
from foxstep.peers.sharing import Sharing
from foxstep.sasp.front import SaspFront
from foxstep.xds.front import MOST_REPORT, Front
from foxstep.xds.listing import ListClient
from foxstep.xds.probes import Prober

STOP_WITHIN = 0.3
OPTIONS = [
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MOST_REPORT),
    ("grpc.max_concurrent_streams", 10_000),
    ("grpc.keepalive_time_ms", 5_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    ("grpc.http2.ping_timeout_ms", 2_000),
    ("grpc.http2.max_pings_without_data", 0),
    # Proxies ping often, also in the moment between two streams: that ends no connection.
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 50),
    ("grpc.http2.max_ping_strikes", 0),
]


async def wait_for_signal(scope):
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()
            return


def taping(make, folder, tapes):
    """`make`, with all that the module is told and orders going to a tape in `folder`, added to `tapes`."""

    def taped(now, plain, seed):
        tapes.append(CaptureWriter(folder, now, plain, seed))
        return CapturedModule(make(now, plain, seed), tapes[0])

    return taped


async def serve(
    site, listen, list_address, state, seed, make, tell, off=(), sasp=None, shared=None, capture=None
):
    """Runs a controller of `site` on `listen`, and its SASP front on `sasp` where that is given; the log's
    `ready` event tells the addresses."""
    log = structlog.get_logger("foxstep")
    shared = shared or {}
    me = shared.get("me", site.controllers.me)
    plain = {**site.plain(), "me": me, "zone": shared.get("zone") or site.zone}
    tapes = []
    make = taping(make, capture, tapes) if capture else make
    host = ServingHost(plain, seed, clock, wall, state, off, make, site.reports.cpu_part)
    op_types = [
        {"name": o.name, "method": o.method, "try_wait": round(site.proxies.try_aims * o.target_latency)}
        for o in site.op_types
    ]
    front = Front(host, site.name, op_types)
    server = grpc.aio.server(options=OPTIONS)
    front.add_to(server)
    sharing, learning = None, Learning(host, me, site.controllers.exchange)
    if shared.get("peers"):
        notes_host, _, notes_port = shared["notes"].rpartition(":")
        notes = await anyio.create_udp_socket(local_host=notes_host, local_port=int(notes_port))
        sharing = Sharing(host, learning, site.name, me, shared["peers"], notes, shared.get("lose", 0.0))
    server.add_generic_rpc_handlers((OperatorService(host, sharing),))
    port = server.add_insecure_port(listen)
    prober = Prober(host)
    await server.start()
    asking, advised = None, {}
    if sasp:
        host_part, _, port_part = sasp.rpartition(":")
        asking = await anyio.create_tcp_listener(local_host=host_part, local_port=int(port_part))
        advised = {"sasp": f"{host_part}:{asking.extra(anyio.abc.SocketAttribute.local_port)}"}
    if tell:
        print(f"{listen.rpartition(':')[0]}:{port}", flush=True)
    log.info(
        "ready",
        address=f"{listen.rpartition(':')[0]}:{port}",
        site=site.name,
        epoch=host.epoch,
        me=me,
        **advised,
    )
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(wait_for_signal, group.cancel_scope)
            group.start_soon(host.run)
            group.start_soon(prober.run)
            group.start_soon(sharing.run if sharing else learning.run)
            if asking:
                advice = msgspec.structs.asdict(site.advice)
                group.start_soon(SaspFront(host, advice).run, asking)
            if list_address:
                group.start_soon(
                    ListClient(host, list_address, site.server_list.cluster, f"controller-{me}").run
                )
    finally:
        with anyio.CancelScope(shield=True):
            if sharing:
                with anyio.move_on_after(STOP_WITHIN):
                    await sharing.leave()
            await server.stop(STOP_WITHIN)
            host.store.close()
            for tape in tapes:
                tape.close()
        log.info("stopped", orders=host.orders, messages=host.channel.sent_messages)


def run(
    site,
    listen,
    list_address,
    state,
    seed,
    decider="balance",
    tell=False,
    off=(),
    sasp=None,
    shared=None,
    capture=None,
):
    make = Controller
    if decider == "even":
        from foxstep.drills.even import Even as make
    anyio.run(serve, site, listen, list_address, state, seed, make, tell, tuple(off), sasp, shared, capture)
