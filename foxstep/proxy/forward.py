"""Forwards ops: level, pick, try, perhaps a further try, answer. Bytes go on untouched."""

import asyncio
import base64
import re

from google.protobuf.message import DecodeError
from xds.data.orca.v3 import orca_load_report_pb2

from foxstep.proxy.upstream import Ended, Pool

TIMEOUT = re.compile(rb"(\d{1,8})([HMSmun])")
UNITS = {b"H": 3600.0, b"M": 60.0, b"S": 1.0, b"m": 1e-3, b"u": 1e-6, b"n": 1e-9}
HOP = {b"connection", b"te", b"grpc-timeout"}  # written anew for each try
UNAVAILABLE = 14
EXHAUSTED = 8
DEADLINE = 4
MICRO = 1_000_000
LOAD = b"endpoint-load-metrics-bin"


def timeout_of(headers):
    """Seconds that a client gives its op, or None."""
    for name, value in headers:
        if name == b"grpc-timeout":
            found = TIMEOUT.fullmatch(value)
            return int(found[1]) * UNITS[found[2]] if found else None
    return None


class Forwarder:
    """`op_types`: plain maps with `name`, `method`, `op_timeout` (microseconds). Times in `clock` are
    seconds."""

    def __init__(
        self,
        op_types,
        picker,
        tries,
        levels,
        reports,
        clock,
        keepalive=15.0,
        connect=0.25,
        connections=4,
        note=lambda *_, **__: None,
    ):
        self.op_types = op_types
        self.picker = picker
        self.tries = tries
        self.levels = levels
        self.reports = reports
        self.clock = clock
        self.note = note
        self.keepalive = keepalive
        self.connect = connect
        self.connections = connections
        self.pools = {}
        self.still_until = 0.0
        self.try_wait = {}  # op type -> seconds that a try has which may be followed after any failure
        self.by_method = {o["method"]: o for o in op_types if o.get("method")}
        self.by_name = {o["name"]: o for o in op_types if not o.get("method")}

    def op_type_of(self, path):
        return self.by_method.get(path) or self.by_name.get(path.rpartition("/")[2])

    def table(self, lines):
        """A new table: pools of servers that left end what they have under way and take no more."""
        self.picker.set(lines)
        for server in [s for s in self.pools if s not in lines]:
            self.pools.pop(server).close()

    def stand_still(self, seconds):
        """Nothing is picked for so long: what a table's lines cost the proxy."""
        self.still_until = max(self.still_until, self.clock()) + seconds

    def pool(self, server):
        if server not in self.pools:
            self.pools[server] = Pool(
                server, self.clock, self.connections, connect=self.connect, idle=self.keepalive
            )
        return self.pools[server]

    async def handle(self, op):
        """One op, from its coming to its final answer."""
        op_type = self.op_type_of(op.path)
        if op_type is None:
            op.refuse(12, f"no op type for {op.path[:80]}")
            return
        name = op_type["name"]
        came = self.clock()
        allowed, after = self.levels.let_in(round(came * MICRO), name)
        if not allowed:
            op.refuse(EXHAUSTED, "not let in", after)
            return
        limit = timeout_of(op.headers)
        limit = op_type["op_timeout"] / MICRO if limit is None else limit
        self.tries.first()
        tried = []
        further = 0
        first_sent = None
        while True:
            if self.clock() < self.still_until:
                await asyncio.sleep(self.still_until - self.clock())
            left = came + limit - self.clock()
            server = self.picker.pick(round(self.clock() * MICRO), tried)
            if left <= 0 or server is None:
                why = "no server left" if server is None else "no time left"
                op.refuse(DEADLINE if left <= 0 else UNAVAILABLE, why, self.levels.wait)
                return
            tried.append(server)
            wait = self.try_wait.get(name) if self.tries.most(name) > further else None
            began = self.clock()
            first_sent = began if first_sent is None else first_sent
            try:
                async with asyncio.timeout(min(left, wait or left)):
                    status, load = await self.once(op, name, server, left)
                ending = "error" if status else None
            except Ended as ended:
                status = UNAVAILABLE
                load = None
                ending = ended.ending
                why = ended.text
            except TimeoutError:
                status = DEADLINE
                load = None
                ending = "timeout"
                why = "no answer in time"
            took = self.clock() - began
            self.reports.tried(server, name, ending is None, took, load)
            if ending is None:
                self.picker.acked(server)
                return
            self.picker.failed(round(self.clock() * MICRO), server)
            since = round((self.clock() - first_sent) * MICRO)
            if op.gone:
                return
            if ending == "error" and op.began:
                return  # its error went to the client with its trailers
            if self.tries.again(name, "cut" if op.began else ending, further, since, op.began, op.replayable):
                further += 1
                continue
            if isinstance(status, list):  # an answer with an error status, not passed on yet
                op.head(status, True)
                return
            op.refuse(status, why, self.levels.wait if status == UNAVAILABLE else None)
            return

    async def once(self, op, name, server, left):
        """One try. Answers (0, load) for a good answer that was passed on, (True, load) for an error that
        was, (headers, load) for an error that is still to be. Raises Ended, TimeoutError."""
        connection = await self.pool(server).get(left)
        headers = [(k, v) for k, v in op.headers if k not in HOP]
        headers += [(b"te", b"trailers"), (b"grpc-timeout", b"%dm" % max(1, round(left * 1000)))]
        empty = op.ended and not op.kept and not op.forgotten
        under_way = connection.start(headers, empty)
        self.note("sent", server=server, op=op, op_type=name)
        sender = None if empty else asyncio.get_running_loop().create_task(self.send_body(op, under_way))
        try:
            return await self.read_answer(op, under_way)
        finally:
            if sender:
                sender.cancel()
            under_way.cancel()

    async def send_body(self, op, under_way):
        place = op.forgotten
        while True:
            part = op.part(place)
            if part is None:
                if op.ended:
                    await under_way.send(b"", True)
                    return
                op.more.clear()
                await op.more.wait()
                continue
            last = op.ended and op.part(place + 1) is None
            await under_way.send(part[0], last)
            op.passed(place)
            place += 1
            if last:
                return

    async def read_answer(self, op, under_way):
        failed = True
        load = None
        while True:
            event = await under_way.event()
            if event[0] == "headers":
                headers = [(k, v) for k, v in event[1] if k != b"connection"]
                if event[2]:  # trailers alone: a status without a message
                    status = dict(headers).get(b"grpc-status", b"2")
                    if status != b"0":
                        return headers, load_of(headers)
                    op.head(headers, True)
                    return 0, load_of(headers)
                op.head(headers)
            elif event[0] == "data":
                await op.send(event[1])
                under_way.taken(event[2])
            elif event[0] == "trailers":
                failed = dict(event[1]).get(b"grpc-status", b"2") != b"0"
                load = load_of(event[1])
                op.finish(event[1])
            else:
                if not failed:
                    return 0, load
                if op.gone or op.number not in op.client.ops:
                    return True, load  # the trailers went on
                raise Ended("cut", "the answer ended without a status")

    def close_idle(self):
        for pool in self.pools.values():
            pool.close_idle()


def load_of(headers):
    """A server's ORCA report among an answer's trailers, or None."""
    for name, value in headers:
        if name == LOAD:
            try:
                data = base64.b64decode(value + b"=" * (-len(value) % 4))
                return orca_load_report_pb2.OrcaLoadReport.FromString(data)
            except (ValueError, DecodeError):
                return None  # bytes that are no report say nothing
    return None
