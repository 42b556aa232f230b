"""`foxstep serve`: runs one controller until SIGTERM or ctrl-C."""

import asyncio
import signal

import anyio
import msgspec
import structlog

from foxstep.balance import Controller
from foxstep.capture.storage import CapturedModule, CaptureWriter
from foxstep.commands.listeners import open_listeners
from foxstep.live.clocks import clock, wall
from foxstep.live.serving import ServingHost
from foxstep.operate.service import OperatorService
from foxstep.peers.coordinator import PeerCoordinator
from foxstep.peers.fact_exchange import FactExchange
from foxstep.sasp.front import SaspFront
from foxstep.xds.front import Front
from foxstep.xds.listing import ListClient
from foxstep.xds.probes import Prober

STOP_TIMEOUT_S = 0.3  # for the last notes to peers, and again for calls that are open
CALL_TASKS_TIMEOUT_S = 2.0  # for grpcio to end the tasks of cancelled calls
LOG = structlog.get_logger("foxstep")


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
    shared = shared or {}
    me = shared.get("me", site.controllers.me)
    settings = {**site.settings_map(), "me": me, "zone": shared.get("zone") or site.zone}
    notes = shared["notes"] if shared.get("peers") else ""
    capture_writers = []
    make = capturing(make, capture, capture_writers) if capture else make
    host = ServingHost(settings, seed, clock, wall, state, disabled_guards, make, site.reports.cpu_part)
    try:
        # After the host, which may have a long history to read: until then, proxies are to go elsewhere.
        async with open_listeners(listen, notes, sasp) as listeners:
            await run_controller(host, site, me, shared, list_address, listeners, print_address)
    finally:
        host.store.close()
        for writer in capture_writers:
            writer.close()
    LOG.info("stopped", orders=host.order_count, messages=host.channel.sent_messages)


async def run_controller(host, site, me, shared, list_address, listeners, print_address):
    """Serves on the `listeners` until a signal; see `serve` for the arguments."""
    fact_exchange = FactExchange(host, me, site.controllers.exchange)
    coordinator = None
    if listeners.notes:
        peers, drop_ratio = shared["peers"], shared.get("lose", 0.0)
        coordinator = PeerCoordinator(host, fact_exchange, site.name, me, peers, listeners.notes, drop_ratio)
    prober = Prober(host)
    try:
        await start_server(listeners.server, host, site, coordinator)
        announce(listeners, host, site, me, print_address)
        async with anyio.create_task_group() as group:
            group.start_soon(wait_for_signal, group.cancel_scope)
            group.start_soon(host.run)
            group.start_soon(prober.run)
            group.start_soon(coordinator.run if coordinator else fact_exchange.run)
            if listeners.sasp:
                limits = msgspec.structs.asdict(site.advice)
                group.start_soon(SaspFront(host, limits).run, listeners.sasp)
            if list_address:
                list_client = ListClient(host, list_address, site.server_list.cluster, f"controller-{me}")
                group.start_soon(list_client.run)
    finally:
        with anyio.CancelScope(shield=True):
            if coordinator:
                with anyio.move_on_after(STOP_TIMEOUT_S):
                    await coordinator.leave()
            await stop_server(listeners.server)


async def start_server(server, host, site, coordinator):
    """Starts the gRPC server with the front for proxies and the service for operators."""
    op_types = [
        {"name": o.name, "method": o.method, "try_wait": round(site.proxies.try_aims * o.target_latency)}
        for o in site.op_types
    ]
    Front(host, site.name, op_types).add_to(server)
    server.add_generic_rpc_handlers((OperatorService(host, coordinator),))
    await server.start()


def announce(listeners, host, site, me, print_address):
    """Logs that the controller is ready, and prints its address if that is asked for."""
    if print_address:
        print(listeners.address, flush=True)
    sasp_fields = {"sasp": listeners.sasp_address} if listeners.sasp else {}
    LOG.info("ready", address=listeners.address, site=site.name, epoch=host.epoch, me=me, **sasp_fields)


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
