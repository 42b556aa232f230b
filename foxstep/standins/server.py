"""A test double of a server: a gRPC service that simulates cores, a queue, a cold start and overload crashes.

It sends ORCA reports and records the effect of each op.
"""

import asyncio
import json
import math
import random

import anyio
import grpc
from xds.data.orca.v3 import orca_load_report_pb2
from xds.service.orca.v3 import orca_pb2

from foxstep.standins.tcp_relay import TcpRelay

ORCA = "/xds.service.orca.v3.OpenRcaService/StreamCoreMetrics"


class Server:
    """One server.

    `work`: op type -> mean work in seconds on one warm core. `cold`: (initial speed as a fraction of the warm
    one, ramp in seconds, multiple of its capacity that a cold process bears, window in seconds over which
    that is measured). `record(kind, **columns)` stores a row. `queue`: ops that may wait for a core.
    `connections`: maximum number of clients within 15 seconds; ops beyond that are aborted.
    `on_fall(server)` is called when it crashes under overload.

    Faults can be injected: `silent` (an event that all answers wait for), `slowdown` (a factor on durations),
    `error_rates` (op type -> fraction of errors) and `answer_loss` (fraction of answers that are held
    back for 30 s, longer than clients wait).
    """

    def __init__(self, name, zone, cores, work, cold, record, clock, seed, queue=64, connections=300):
        self.name = name
        self.zone = zone
        self.cores = cores
        self.work = work
        self.cold = cold
        self.record = record
        self.clock = clock
        self.rng = random.Random(seed)
        self.queue = queue
        self.connections = connections
        self.on_fall = lambda server: None
        self.relay = TcpRelay()
        self.server = None
        self.started = 0.0
        self.state = "down"
        self.waiting = self.running = 0
        self.utilization = 0.0
        self.utilization_at = 0.0
        self.client_last_seen = {}
        self.recent_work = []
        self.silent = None
        self.slowdown = 1.0
        self.error_rates = {}
        self.answer_loss = 0.0
        self.running_ops = set()

    @property
    def ident(self):
        return f"127.0.0.1:{self.relay.port}"

    async def start(self, cold=True):
        """Listens on its port, a free one the first time. `cold`: it starts cold, else it is warm."""
        self.server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
        self.server.add_generic_rpc_handlers((self,))
        port = self.server.add_insecure_port("127.0.0.1:0")
        await self.server.start()
        await self.relay.start(port)
        self.slots = asyncio.Semaphore(self.cores)
        self.started = self.clock() if cold else 0.0
        self.answer_loss = 0.0
        self.error_rates = {}
        self.waiting = self.running = 0
        self.recent_work = []
        self.client_last_seen = {}
        self.silent = None
        self.state = "up"
        capacity = self.cores / (sum(self.work.values()) / len(self.work))
        self.record(
            "started",
            server=self.ident,
            name=self.name,
            zone=self.zone,
            cold=cold,
            capacity=capacity,
            cores=float(self.cores),
        )

    async def crash(self, state="down"):
        """Stops at once: resets connections and cancels the running ops."""
        self.state = state
        for task in list(self.running_ops):
            task.cancel()
        self.relay.refuse_connections()
        await self.server.stop(None)
        self.record("stopped", server=self.ident)

    def warm_fraction(self):
        """The current speed as a fraction of a warm process's."""
        cold_share, ramp, _, _ = self.cold
        age = self.clock() - self.started
        return 1.0 if not self.started or age >= ramp else cold_share + (1 - cold_share) * age / ramp

    def is_overloaded(self, work):
        """Whether the work received within the window is more than a cold process bears. Never if warm."""
        _, _, multiple, span = self.cold
        now = self.clock()
        self.recent_work.append((now, work))
        while self.recent_work[0][0] < now - span:
            self.recent_work.pop(0)
        if self.warm_fraction() == 1.0:
            return False
        max_work = multiple * self.cores * self.warm_fraction() * span + 3 * max(
            w for _, w in self.recent_work
        )
        return sum(w for _, w in self.recent_work) > max_work

    def service(self, details):
        """gRPC's lookup of the handler of a method."""
        if details.method == ORCA:
            return grpc.unary_stream_rpc_method_handler(
                self.stream_load,
                orca_pb2.OrcaLoadReportRequest.FromString,
                orca_load_report_pb2.OrcaLoadReport.SerializeToString,
            )
        op_type = details.method.rpartition("/")[2]
        if op_type not in self.work:
            return None

        async def handle(request, context):
            return await self.op(op_type, request, context)

        return grpc.unary_unary_rpc_method_handler(handle)

    def update_utilization(self, change):
        """Updates the moving average (1 s) of core utilization; `change` is added to the running ops."""
        now = self.clock()
        decay = math.exp(self.utilization_at - now)
        self.utilization = self.utilization * decay + self.running / self.cores * (1 - decay)
        self.utilization_at = now
        self.running += change

    def load(self):
        """The current ORCA report."""
        self.update_utilization(0)
        report = orca_load_report_pb2.OrcaLoadReport(cpu_utilization=min(self.utilization, 1.0))
        report.named_metrics["waiting"] = self.waiting
        return report

    async def stream_load(self, request, context):
        if self.silent:
            await self.silent.wait()
        await anyio.sleep(0.003)
        yield self.load()

    async def run_op(self, op_type, payload, work):
        """Simulates the work of an op on a core and records its effect."""
        try:
            await anyio.sleep(work * self.slowdown / self.warm_fraction())
            self.record(
                "effect", server=self.ident, op=payload["id"], op_type=op_type, proxy=payload["proxy"]
            )
        finally:
            self.update_utilization(-1)
            self.slots.release()

    async def op(self, op_type, request, context):
        payload = json.loads(request)
        now = self.clock()
        work = self.rng.lognormvariate(-0.1, 0.45) * self.work[op_type]
        self.record(
            "received",
            server=self.ident,
            proxy=payload["proxy"],
            op=payload["id"],
            op_type=op_type,
            work=work,
        )
        self.client_last_seen[context.peer()] = now
        if len(self.client_last_seen) > self.connections:
            self.client_last_seen = {p: t for p, t in self.client_last_seen.items() if t > now - 15}
            if len(self.client_last_seen) > self.connections:
                await context.abort(grpc.StatusCode.UNAVAILABLE, "too many connections")
        if self.silent:
            await self.silent.wait()
        if self.is_overloaded(work):
            self.record("fell", server=self.ident)
            self.on_fall(self)
            asyncio.get_running_loop().create_task(self.crash("fallen"))
            await context.abort(grpc.StatusCode.UNAVAILABLE, "fallen")
        if self.rng.random() < self.error_rates.get(op_type, 0.0):
            await context.abort(grpc.StatusCode.INTERNAL, "failing")
        if self.waiting >= self.queue:
            self.record("turned", server=self.ident, op=payload["id"])
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "full")
        began = self.clock()
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.update_utilization(1)
        # Work that has started runs to its end and takes effect even if the client gives up.
        task = asyncio.get_running_loop().create_task(self.run_op(op_type, payload, work))
        self.running_ops.add(task)
        task.add_done_callback(self.running_ops.discard)
        await asyncio.shield(task)
        if self.rng.random() < self.answer_loss:
            await anyio.sleep(30)
        report = self.load()
        report.named_metrics["foxstep.latency_us"] = (self.clock() - began) * 1e6
        context.set_trailing_metadata((("endpoint-load-metrics-bin", report.SerializeToString()),))
        return b"ok"
