"""Forwards ops: admission level, server pick, try, possibly a retry, answer. Payloads pass unchanged."""

import asyncio
import base64
import re

from google.protobuf.message import DecodeError
from xds.data.orca.v3 import orca_load_report_pb2

from foxstep.proxy.status import DEADLINE_EXCEEDED, RESOURCE_EXHAUSTED, UNAVAILABLE, UNIMPLEMENTED
from foxstep.proxy.upstream import Pool, TryFailed

TIMEOUT_HEADER = re.compile(rb"(\d{1,8})([HMSmun])")
TIMEOUT_UNITS_S = {b"H": 3600.0, b"M": 60.0, b"S": 1.0, b"m": 1e-3, b"u": 1e-6, b"n": 1e-9}
REPLACED_HEADERS = {b"connection", b"te", b"grpc-timeout"}  # set for each try by the proxy itself
US_PER_SECOND = 1_000_000
ORCA_TRAILER = b"endpoint-load-metrics-bin"


class ClientLeftError(Exception):
    """The client has closed its connection: it may try the op again elsewhere, so it is not sent on."""


def parse_timeout(headers):
    """The timeout of the client's `grpc-timeout` header in seconds, or None."""
    for name, value in headers:
        if name == b"grpc-timeout":
            found = TIMEOUT_HEADER.fullmatch(value)
            return int(found[1]) * TIMEOUT_UNITS_S[found[2]] if found else None
    return None


class Forwarder:
    """Forwards each op to a server of the table.

    `op_types`: dicts with `name`, `method` and `op_timeout` (microseconds). `clock` returns seconds.
    `keepalive`: seconds after which an idle connection to a server is closed. `connect_timeout`: in seconds.
    `connections`: maximum number of connections to one server. `note(kind, ...)` is called for each try
    that is sent.
    """

    def __init__(
        self,
        op_types,
        picker,
        retry_policy,
        levels,
        reports,
        clock,
        keepalive=15.0,
        connect_timeout=0.25,
        connections=4,
        note=lambda *_, **__: None,
    ):
        self.op_types = op_types
        self.picker = picker
        self.retry_policy = retry_policy
        self.levels = levels
        self.reports = reports
        self.clock = clock
        self.note = note
        self.keepalive = keepalive
        self.connect_timeout = connect_timeout
        self.connections = connections
        self.pools = {}
        self.stalled_until = 0.0
        self.try_timeouts = {}  # op type -> timeout in seconds of a try that may still be retried
        self.by_method = {o["method"]: o for o in op_types if o.get("method")}
        self.by_name = {o["name"]: o for o in op_types if not o.get("method")}

    def op_type_of(self, path):
        """The op type of a request's path: by its gRPC method, else by the path's last part."""
        return self.by_method.get(path) or self.by_name.get(path.rpartition("/")[2])

    def set_table(self, lines):
        """Takes over a new table. Pools of servers that left it are drained."""
        self.picker.set(lines)
        for server in [s for s in self.pools if s not in lines]:
            self.pools.pop(server).close()

    def stall(self, seconds):
        """Picks no server for this long: models what it costs the proxy to apply a table."""
        self.stalled_until = max(self.stalled_until, self.clock()) + seconds

    def pool(self, server):
        if server not in self.pools:
            self.pools[server] = Pool(
                server,
                self.clock,
                self.connections,
                connect_timeout=self.connect_timeout,
                idle_timeout=self.keepalive,
            )
        return self.pools[server]

    async def handle(self, op):
        """Processes one op from its arrival to its final answer."""
        op_type = self.op_type_of(op.path)
        if op_type is None:
            op.fail(UNIMPLEMENTED, f"no op type for {op.path[:80]}")
            return
        name = op_type["name"]
        arrived = self.clock()
        admitted, retry_after = self.levels.admit(round(arrived * US_PER_SECOND), name)
        if not admitted:
            op.fail(RESOURCE_EXHAUSTED, "not let in", retry_after)
            return
        timeout = parse_timeout(op.headers)
        timeout = op_type["op_timeout"] / US_PER_SECOND if timeout is None else timeout
        self.retry_policy.record_first_try()
        tried = []
        retry_count = 0
        first_sent = None
        while True:
            if self.clock() < self.stalled_until:
                await asyncio.sleep(self.stalled_until - self.clock())
            remaining = arrived + timeout - self.clock()
            server = self.picker.pick(round(self.clock() * US_PER_SECOND), tried)
            if remaining <= 0 or server is None:
                reason = "no server left" if server is None else "no time left"
                op.fail(DEADLINE_EXCEEDED if remaining <= 0 else UNAVAILABLE, reason, self.levels.retry_after)
                return
            tried.append(server)
            try_timeout = (
                self.try_timeouts.get(name) if self.retry_policy.max_retries(name) > retry_count else None
            )
            began = self.clock()
            first_sent = began if first_sent is None else first_sent
            try:
                async with asyncio.timeout(min(remaining, try_timeout or remaining)):
                    status, load = await self.send_try(op, name, server, remaining)
                failure = "error" if status else None
            except ClientLeftError:
                return
            except TryFailed as error:
                status = UNAVAILABLE
                load = None
                failure = error.failure
                reason = error.text
            except TimeoutError:
                status = DEADLINE_EXCEEDED
                load = None
                failure = "timeout"
                reason = "no answer in time"
            took = self.clock() - began
            self.reports.record_try(server, name, failure is None, took, load)
            if failure is None:
                self.picker.acked(server)
                return
            self.picker.failed(round(self.clock() * US_PER_SECOND), server)
            since = round((self.clock() - first_sent) * US_PER_SECOND)
            if op.cancelled:
                return
            if failure == "error" and op.answer_began:
                return  # the trailers passed the server's error on to the client
            if self.retry_policy.allow_retry(
                name,
                "cut" if op.answer_began else failure,
                retry_count,
                since,
                op.answer_began,
                op.replayable,
            ):
                retry_count += 1
                continue
            if isinstance(status, list):  # trailers-only answer with an error status, not passed on yet
                op.send_head(status, True)
                return
            op.fail(status, reason, self.levels.retry_after if status == UNAVAILABLE else None)
            return

    async def send_try(self, op, name, server, remaining):
        """Sends one try and relays its answer.

        Returns (0, load) if a successful answer was passed on, (True, load) if an error was passed on, and
        (headers, load) for an error that was not. Raises TryFailed, TimeoutError, and ClientLeftError before
        anything was sent.
        """
        connection = await self.pool(server).get(remaining)
        if op.client_has_left():
            raise ClientLeftError
        headers = [(k, v) for k, v in op.headers if k not in REPLACED_HEADERS]
        headers += [(b"te", b"trailers"), (b"grpc-timeout", b"%dm" % max(1, round(remaining * 1000)))]
        empty = op.body_ended and not op.parts and not op.released
        stream = connection.open_stream(headers, empty)
        self.note("sent", server=server, op=op, op_type=name)
        sender = None if empty else asyncio.get_running_loop().create_task(self.send_body(op, stream))
        try:
            return await self.read_answer(op, stream)
        finally:
            if sender:
                sender.cancel()
            stream.cancel()

    async def send_body(self, op, stream):
        """Sends the op's body from its first part, waiting for parts that have not arrived yet."""
        index = op.released
        while True:
            part = op.body_part(index)
            if part is None:
                if op.body_ended:
                    await stream.send(b"", True)
                    return
                op.body_changed.clear()
                await op.body_changed.wait()
                continue
            last = op.body_ended and op.body_part(index + 1) is None
            await stream.send(part[0], last)
            op.part_sent(index)
            index += 1
            if last:
                return

    async def read_answer(self, op, stream):
        """Relays the server's answer to the client; returns as `send_try` does."""
        failed = True
        load = None
        while True:
            event = await stream.next_event()
            if event[0] == "headers":
                headers = [(k, v) for k, v in event[1] if k != b"connection"]
                if event[2]:  # trailers-only: a status without a message
                    status = dict(headers).get(b"grpc-status", b"2")
                    if status != b"0":
                        return headers, parse_orca_report(headers)
                    op.send_head(headers, True)
                    return 0, parse_orca_report(headers)
                op.send_head(headers)
            elif event[0] == "data":
                await op.send(event[1])
                stream.acknowledge(event[2])
            elif event[0] == "trailers":
                failed = dict(event[1]).get(b"grpc-status", b"2") != b"0"
                load = parse_orca_report(event[1])
                op.finish(event[1])
            else:
                if not failed:
                    return 0, load
                if op.cancelled or op.stream_id not in op.client.ops:
                    return True, load  # the trailers were passed on
                raise TryFailed("cut", "the answer ended without a status")

    def close_idle(self):
        """Closes idle connections of all pools."""
        for pool in self.pools.values():
            pool.close_idle()


def parse_orca_report(headers):
    """The server's ORCA report in an answer's trailers, or None."""
    for name, value in headers:
        if name == ORCA_TRAILER:
            try:
                data = base64.b64decode(value + b"=" * (-len(value) % 4))
                return orca_load_report_pb2.OrcaLoadReport.FromString(data)
            except (ValueError, DecodeError):
                return None  # a malformed report is ignored
    return None
