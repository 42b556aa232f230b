"""Client of the discovery service: keeps the list of servers current by long polling while it is watched."""

import asyncio
from dataclasses import dataclass
from enum import Enum

import anyio
import msgspec
import structlog

from foxstep.node.config import ConfigError, ServerList, parse_address, server_lines
from foxstep.node.http import HttpConnectionError, connect
from foxstep.node.late_calls import Answer, Call, LateCalls

SECOND = 1_000_000  # microseconds
CONNECT_TIMEOUT_S = 1.0
# Of a call, beyond the time that discovery may wait for a change. Then another call is made, since the
# connection may be dead. It is below the 2 s that the protocol leaves discovery, so that the news is in time.
RESPONSE_TIMEOUT_S = 1.2
FULL_LIST_EXTRA_TIMEOUT_S = 1.0
# Of the grace, or of the time since changes may have been lost if that is longer: an attempt to connect while
# the network is cut must not delay the next one for long.
CATCH_UP_CONNECT_FRACTION = 0.2
MIN_CONNECT_TIMEOUT_S = 0.1
MAX_REASON_LENGTH = 200  # characters of an error's text in the log
DECODER = msgspec.json.Decoder(ServerList)
CALL_ERRORS = (
    HttpConnectionError,
    OSError,
    TimeoutError,
    ConfigError,
    msgspec.DecodeError,
    UnicodeError,
    RecursionError,
)


class RefusedError(Exception):
    """Discovery refused a call, or answered with a list that is rejected."""


class FailureKind(Enum):
    """The kind of a failed call, as the host knows it (`interface.DecisionModule.listed`)."""

    FAILED = "failed"  # refused, or no call was made: nothing was lost by it
    LOST = "lost"  # changes that discovery sent since the last accepted list may not have arrived


@dataclass(frozen=True, slots=True)
class PollEnd:
    """Why a series of calls ended. `kind` is None if no call failed: the list is no longer wanted."""

    reason: str = ""
    kind: FailureKind | None = None


def decode_answer(answer):
    """The ServerList of an answer. Raises RefusedError, or an error of decoding."""
    if answer.status != 200:
        raise RefusedError(f"discovery answered with HTTP status {answer.status}")
    return DECODER.decode(answer.body)


class DiscoveryClient:
    """Watches discovery's list of servers and reports it to the host.

    `addresses` maps each listed server to the address where it can be probed; `index` is the version of the
    last list that was accepted."""

    def __init__(self, host, discovery):
        self.host = host
        self.log = structlog.get_logger("foxstep.list")
        self.address = discovery
        self.index = None
        self.addresses = {}
        self.accepted_count = 0  # how many lists were accepted
        self.late_calls = LateCalls(self.receive_late)
        self.call_requested = anyio.Event()
        self.watching = False
        self.call_scope = None  # the cancel scope of the calls under way
        self.full_list_requested = False  # the next call asks for the full list
        # When a call first ended without a complete and valid answer since the last accepted list, on the
        # host's clock: changes that discovery sent in it may be lost. None: no call has. Until a list is
        # accepted, calls do not wait for a change.
        self.changes_lost_at = None
        self.outdated_since = None  # since when discovery has been answering with an older list than ours
        # Seconds that a long poll may wait for a change. It is short compared with `ask_within`, the time
        # after which a change of the list counts as known to the controller, so that a watch that has gone
        # silent is noticed in time. It is not shorter because each call costs discovery work.
        self.poll_wait_s = min(max(host.site.get("ask_within", 8 * SECOND) / SECOND / 2, 1.0), 20.0)
        # In seconds, of a call that does not wait for a change. Doubled with each one that times out until a
        # list is accepted, so that a slow answer is waited for in the end; at most the time-out of a watch.
        self.catch_up_timeout_s = RESPONSE_TIMEOUT_S
        self.renumbering_timeout_us = host.site.get("ask_within", 8 * SECOND)
        host.watch = self.set_watching
        host.fetch = self.request_full_list

    def load_known(self, known):
        """Reports the last list of servers from before this start, if there is one."""
        if known:
            self.index = known.index
            self.host.listed("remembered", self.apply(known))
        else:
            self.host.listed("remembered", [])

    def apply(self, server_list):
        """Updates `addresses`; returns the list as lines for the host. Raises ConfigError."""
        lines = server_lines(server_list, self.host.wall_offset)
        if server_list.snapshot:
            self.addresses = {}
        for server, line in zip(server_list.endpoints, lines, strict=True):
            self.addresses.pop(server.name, None)
            if line[4] != "gone":
                self.addresses[server.name] = server.address
        return lines

    def reason_to_reject(self, server_list):
        """Why an answer is not applied; "" if it is.

        Rejects lists that are older than the one already applied, or that have lost their servers: draining
        servers would return, new ones would disappear, and an empty list would leave no server to pick. The
        drawback is that the list of a discovery service that restarts its numbering is accepted only after
        `renumbering_timeout_us`, the time for which the settings allow a controller to go without a list."""
        if server_list.snapshot and not server_list.endpoints and self.addresses:
            self.full_list_requested = True
            return "the list is empty"
        if self.index is None or server_list.index >= self.index:
            self.outdated_since = None
            return ""
        now = self.host.clock()
        self.outdated_since = self.outdated_since or now
        if server_list.snapshot and now - self.outdated_since >= self.renumbering_timeout_us:
            self.outdated_since = None
            return ""
        self.full_list_requested = True
        return f"the index of the list went back from {self.index} to {server_list.index}"

    @property
    def changes_lost(self):
        """Whether discovery may have sent changes since the last accepted list that did not arrive."""
        return self.changes_lost_at is not None

    def record_lost_changes(self):
        """Notes that changes may be lost from now on, or still are."""
        if self.changes_lost_at is None:
            self.changes_lost_at = self.host.clock()

    def set_watching(self, on):
        """Starts the watch, or ends it after the call under way."""
        self.watching = on
        if on and not self.call_scope:
            self.call_requested.set()

    def request_full_list(self):
        """Asks for the full list at once."""
        self.full_list_requested = True
        self.restart_call()  # a long poll under way would delay the request

    def set_address(self, discovery):
        """Changes the address of discovery and keeps the list. A call under way is repeated at the new
        address; one that waits to be retried after a failure at the old address is made at once."""
        if parse_address(discovery, "discovery") != parse_address(self.address, "discovery"):
            self.address = discovery
            self.restart_call()

    def restart_call(self):
        """Repeats the call under way, or wakes the loop if there is none; it calls if the list is wanted."""
        if self.call_scope:
            self.record_lost_changes()  # the answer that may be on its way could be lost
            self.call_scope.cancel()
        else:
            self.call_requested.set()

    async def run(self):
        """Makes the requested calls until cancelled. Reports failures to the host, which orders retries."""
        try:
            while True:
                await self.call_requested.wait()
                self.call_requested = anyio.Event()
                end = await self.poll_until_end()
                if end.kind:
                    self.report_failure(end)
        finally:
            self.late_calls.end_all()

    async def poll_until_end(self):
        """Polls, again each time that the call under way is to be repeated; returns the PollEnd."""
        end = None
        while end is None:
            with anyio.CancelScope() as self.call_scope:
                end = await self.poll()
            if self.call_scope.cancel_called:  # also if the call ended in the same tick
                end = None
        self.call_scope = None
        return end

    def report_failure(self, end):
        """Logs a failed call, and reports it to the host."""
        self.log.warning(
            "list failed",
            why=end.reason,
            kind=end.kind.value,
            changes_lost=self.changes_lost,
        )
        self.host.listed(end.kind.value, [])

    async def poll(self):
        """Makes calls one after another on one connection until one fails or the list is no longer wanted;
        returns a PollEnd."""
        connection = None
        is_unanswered = False  # a call was made, and no valid answer to it has arrived
        initial = True  # the host waits for this answer, even if nothing has changed
        try:
            while self.watching or self.full_list_requested:
                if reused := connection is not None and connection.is_open:
                    connection.response_started = False
                else:
                    connection = await self.connect()
                is_unanswered = True
                try:
                    answer = await self.call(connection)
                except HttpConnectionError:
                    # A reused connection that closes between two calls, or before any byte of the answer,
                    # says nothing about discovery itself: retry on a new connection.
                    if reused and not connection.response_started:
                        self.record_lost_changes()
                        continue
                    raise
                self.accept(decode_answer(answer), answer.is_full_list, initial)
                is_unanswered = False
                initial = False
            return PollEnd()
        except RefusedError as error:
            return PollEnd(str(error), FailureKind.FAILED)
        except CALL_ERRORS as error:
            if is_unanswered:
                self.record_lost_changes()
            reason = f"{type(error).__name__}: {error}"[:MAX_REASON_LENGTH]
            return PollEnd(reason, FailureKind.LOST if self.changes_lost else FailureKind.FAILED)
        finally:
            if connection and not self.late_calls.holds(connection):
                connection.close()

    def receive_late(self, call, answer):
        """Takes the answer of a call that was given up, unless it is of no use any more.

        If a later call has been answered meanwhile, this answer says nothing about changes that may have been
        lost since then."""
        try:
            server_list = decode_answer(answer)
            if self.index is not None and server_list.index < self.index:
                return
            if call.accepted_before == self.accepted_count:
                self.accept(server_list, answer.is_full_list, initial=True)
            elif server_list.index > self.index:
                self.take_over(server_list, report_empty=True)
        except (RefusedError, *CALL_ERRORS) as error:
            self.log.warning("late answer rejected", why=str(error)[:MAX_REASON_LENGTH])

    def accept(self, server_list, is_full_list, initial):
        """Applies a list and reports it to the host, an empty one only if it is the initial answer. Raises
        RefusedError or ConfigError."""
        if reason := self.reason_to_reject(server_list):
            raise RefusedError(reason)
        self.take_over(server_list, report_empty=initial)
        self.accepted_count += 1
        self.catch_up_timeout_s = RESPONSE_TIMEOUT_S
        if self.changes_lost:
            self.changes_lost_at = None
            changed = len(server_list.endpoints)
            self.log.info("list current again", index=self.index, changed=changed)
        self.full_list_requested = self.full_list_requested and not is_full_list

    def take_over(self, server_list, report_empty):
        """Applies a list and reports it to the host; one without changes only if `report_empty` is set.

        Raises ConfigError."""
        lines = self.apply(server_list)
        self.index = server_list.index
        if lines or report_empty or server_list.snapshot:
            self.host.listed("whole" if server_list.snapshot else "changes", lines)

    def connect_timeout_s(self):
        """Seconds after which connecting is given up."""
        if not self.changes_lost:
            return CONNECT_TIMEOUT_S
        unknown_time_us = max(self.host.site["grace"], self.host.clock() - self.changes_lost_at)
        timeout_s = CATCH_UP_CONNECT_FRACTION * unknown_time_us / SECOND
        return min(max(timeout_s, MIN_CONNECT_TIMEOUT_S), CONNECT_TIMEOUT_S)

    async def connect(self):
        """Opens a connection to discovery. Raises OSError or TimeoutError."""
        with anyio.fail_after(self.connect_timeout_s()):
            return await connect(parse_address(self.address, "discovery"))

    async def call(self, connection):
        """Requests the full list, or the changes since the accepted one; returns the Answer. Raises
        HttpConnectionError or TimeoutError. A call that is given up goes to `late_calls`."""
        is_full_list = self.full_list_requested or self.index is None
        if is_full_list:
            path = "/v1/servers"
            timeout_s = RESPONSE_TIMEOUT_S + FULL_LIST_EXTRA_TIMEOUT_S
        elif self.changes_lost:
            path = self.changes_path(wait_s=0)
            timeout_s = self.catch_up_timeout_s
        else:
            path = self.changes_path(self.poll_wait_s)
            timeout_s = self.poll_wait_s + RESPONSE_TIMEOUT_S
        response = connection.get(path, self.address)
        try:
            with anyio.fail_after(timeout_s):
                status, body = await asyncio.shield(response)
        except TimeoutError:
            if self.changes_lost:
                self.catch_up_timeout_s = min(2 * timeout_s, self.poll_wait_s + RESPONSE_TIMEOUT_S)
            raise
        finally:
            if not response.done():
                self.late_calls.add(Call(connection, response, is_full_list, self.accepted_count))
        return Answer(is_full_list, status, body)

    def changes_path(self, wait_s):
        """The path that requests the changes since the accepted list, and waits so many seconds for one."""
        return f"/v1/servers?after={self.index}&wait_ms={round(wait_s * 1000)}"
