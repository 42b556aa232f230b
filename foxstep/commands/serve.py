"""`foxstep serve`: runs one controller until SIGTERM or ctrl-C."""

import asyncio
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
from foxstep.peers.coordinator import PeerCoordinator
from foxstep.peers.fact_exchange import FactExchange
from foxstep.sasp.front import SaspFront
from foxstep.xds.front import MAX_REPORT_BYTES, Front
from foxstep.xds.listing import ListClient
from foxstep.xds.probes import Prober

STOP_TIMEOUT_S = 0.3  # for the last notes to peers, and again for calls that are open
CALL_TASKS_TIMEOUT_S = 2.0  # for grpcio to end the tasks of cancelled calls
SERVER_OPTIONS = [
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MAX_REPORT_BYTES),
    ("grpc.max_concurrent_streams", 10_000),
    ("grpc.keepalive_time_ms", 5_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    ("grpc.http2.ping_timeout_ms", 2_000),
    ("grpc.http2.max_pings_without_data", 0),
    # Proxies ping often, also between two streams; gRPC must not close their connections for it.
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 50),
    ("grpc.http2.max_ping_strikes", 0),
]


async def wait_for_signal(scope):
    """Cancels `scope` on SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()
            return


async def stop_server(server):
    """Stops the gRPC server, and waits until grpcio has ended the tasks of its calls.

    `server.stop` returns before they have ended. A task that still waits for the last event of its call when
    the event loop closes is cancelled, and grpcio prints a traceback. Nothing else may run on the loop.
    """
    await server.stop(STOP_TIMEOUT_S)
    call_tasks = asyncio.all_tasks() - {asyncio.current_task()}
    if call_tasks:
        await asyncio.wait(call_tasks, timeout=CALL_TASKS_TIMEOUT_S)


def capturing(make, folder, writers):
    """Wraps `make` so that the module's inputs and orders are captured in `folder`.

    The CaptureWriter is appended to `writers`, for the caller to close.
    """

    def make_captured(now, site, seed):
        writers.append(CaptureWriter(folder, now, site, seed))
        return CapturedModule(make(now, site, seed), writers[0])

    return make_captured


async def serve(
    site,
    listen,
    list_address,
    state,
    seed,
    make,
    print_address,
    disabled_guards=(),
    sasp=None,
    shared=None,
    capture=None,
):
    """Runs a controller of `site` on the address `listen`, until a signal ends it.

    `list_address`: address of the list service, or None; `state`: folder for the state kept across restarts,
    or None; `make(now, site, seed)` creates the decision module; `sasp`: address for SASP, or None; `shared`:
    this controller's number and zone, its peers, its address for notes and the fraction of notes to drop;
    `capture`: folder to capture to, or None. The log event `ready` has the addresses.
    """
    log = structlog.get_logger("foxstep")
    shared = shared or {}
    me = shared.get("me", site.controllers.me)
    settings = {**site.settings_map(), "me": me, "zone": shared.get("zone") or site.zone}
    capture_writers = []
    make = capturing(make, capture, capture_writers) if capture else make
    host = ServingHost(settings, seed, clock, wall, state, disabled_guards, make, site.reports.cpu_part)
    op_types = [
        {"name": o.name, "method": o.method, "try_wait": round(site.proxies.try_aims * o.target_latency)}
        for o in site.op_types
    ]
    front = Front(host, site.name, op_types)
    server = grpc.aio.server(options=SERVER_OPTIONS)
    front.add_to(server)
    coordinator = None
    fact_exchange = FactExchange(host, me, site.controllers.exchange)
    if shared.get("peers"):
        notes_host, _, notes_port = shared["notes"].rpartition(":")
        notes = await anyio.create_udp_socket(local_host=notes_host, local_port=int(notes_port))
        coordinator = PeerCoordinator(
            host, fact_exchange, site.name, me, shared["peers"], notes, shared.get("lose", 0.0)
        )
    server.add_generic_rpc_handlers((OperatorService(host, coordinator),))
    port = server.add_insecure_port(listen)
    prober = Prober(host)
    await server.start()
    sasp_listener = None
    sasp_fields = {}
    if sasp:
        sasp_host, _, sasp_port = sasp.rpartition(":")
        sasp_listener = await anyio.create_tcp_listener(local_host=sasp_host, local_port=int(sasp_port))
        sasp_fields = {"sasp": f"{sasp_host}:{sasp_listener.extra(anyio.abc.SocketAttribute.local_port)}"}
    if print_address:
        print(f"{listen.rpartition(':')[0]}:{port}", flush=True)
    log.info(
        "ready",
        address=f"{listen.rpartition(':')[0]}:{port}",
        site=site.name,
        epoch=host.epoch,
        me=me,
        **sasp_fields,
    )
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(wait_for_signal, group.cancel_scope)
            group.start_soon(host.run)
            group.start_soon(prober.run)
            group.start_soon(coordinator.run if coordinator else fact_exchange.run)
            if sasp_listener:
                limits = msgspec.structs.asdict(site.advice)
                group.start_soon(SaspFront(host, limits).run, sasp_listener)
            if list_address:
                group.start_soon(
                    ListClient(host, list_address, site.server_list.cluster, f"controller-{me}").run
                )
    finally:
        with anyio.CancelScope(shield=True):
            if coordinator:
                with anyio.move_on_after(STOP_TIMEOUT_S):
                    await coordinator.leave()
            await stop_server(server)
            host.store.close()
            for writer in capture_writers:
                writer.close()
        log.info("stopped", orders=host.order_count, messages=host.channel.sent_messages)


def run(
    site,
    listen,
    list_address,
    state,
    seed,
    decider="balance",
    print_address=False,
    disabled_guards=(),
    sasp=None,
    shared=None,
    capture=None,
):
    """Runs `serve` with the decision module of that name; see there for the arguments."""
    make = Controller
    if decider == "even":
        from foxstep.drills.round_robin import RoundRobin as make
    anyio.run(
        serve,
        site,
        listen,
        list_address,
        state,
        seed,
        make,
        print_address,
        tuple(disabled_guards),
        sasp,
        shared,
        capture,
    )
