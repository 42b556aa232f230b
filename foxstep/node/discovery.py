"""Client of the discovery service: keeps the list of servers current by long polling while it is watched."""

import anyio
import msgspec
import structlog

from foxstep.node.config import ConfigError, ServerList, parse_address, server_lines
from foxstep.node.http import HttpConnectionError, connect

SECOND = 1_000_000  # microseconds
CONNECT_TIMEOUT_S = 1.0
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
        self.call_requested = anyio.Event()
        self.watching = False
        self.call_scope = None  # the cancel scope of the calls under way
        self.full_list_requested = False  # the next call asks for the full list
        self.outdated_since = None  # since when discovery has been answering with an older list than ours
        # Seconds that a long poll may wait for a change. It is short compared with `ask_within`, the time
        # after which a change of the list counts as known to the controller, so that a watch that has gone
        # silent is noticed in time. It is not shorter because each call costs discovery work.
        self.poll_wait_s = min(max(host.site.get("ask_within", 8 * SECOND) / SECOND / 2, 1.0), 20.0)
        self.response_timeout_s = 1.2  # seconds after the long poll's wait until the call counts as failed
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

    def set_watching(self, on):
        """Starts the watch, or ends it after the call under way."""
        self.watching = on
        if on and not self.call_scope:
            self.call_requested.set()

    def request_full_list(self):
        """Asks for the full list at once."""
        self.full_list_requested = True
        self.call_requested.set()
        self.restart_call()  # a long poll under way would delay the request

    def set_address(self, discovery):
        """Changes the address of discovery and keeps the list. A call under way is repeated at the new
        address; one that waits to be retried after a failure at the old address is made at once."""
        if parse_address(discovery, "discovery") != parse_address(self.address, "discovery"):
            self.address = discovery
            self.restart_call()

    def restart_call(self):
        """Cancels and repeats the call under way; without one, starts a call if the list is watched."""
        if self.call_scope:
            self.call_scope.cancel()
        elif self.watching:
            self.call_requested.set()

    async def run(self):
        """Makes the requested calls until cancelled. Reports failures to the host, which orders retries."""
        while True:
            await self.call_requested.wait()
            self.call_requested = anyio.Event()
            reason = None
            while reason is None:
                with anyio.CancelScope() as self.call_scope:
                    reason = await self.poll()
                if self.call_scope.cancel_called:  # also if the call ended in the same tick
                    reason = None
            self.call_scope = None
            if reason:
                self.log.warning("list failed", why=reason)
                self.host.listed("failed", [])

    async def poll(self):
        """Makes calls one after another on one connection. Returns why a call failed, or "" once the list is
        no longer wanted."""
        connection = None
        initial = True  # the host waits for this answer, even if nothing has changed
        try:
            while self.watching or self.full_list_requested:
                if reused := connection is not None and connection.is_open:
                    connection.response_started = False
                else:
                    with anyio.fail_after(CONNECT_TIMEOUT_S):
                        connection = await connect(parse_address(self.address, "discovery"))
                full = self.full_list_requested or self.index is None
                path = (
                    "/v1/servers"
                    if full
                    else (f"/v1/servers?after={self.index}&wait_ms={round(self.poll_wait_s * 1000)}")
                )
                try:
                    with anyio.fail_after((0 if full else self.poll_wait_s) + self.response_timeout_s + full):
                        status, body = await connection.get(path, self.address)
                except HttpConnectionError:
                    # A reused connection that closes between two calls, or before any byte of the answer,
                    # says nothing about discovery itself: retry on a new connection.
                    if reused and not connection.response_started:
                        continue
                    raise
                if status != 200:
                    return f"discovery answered with HTTP status {status}"
                server_list = DECODER.decode(body)
                if reason := self.reason_to_reject(server_list):
                    return reason
                lines = self.apply(server_list)
                self.index = server_list.index
                self.full_list_requested = self.full_list_requested and not full
                if lines or initial or server_list.snapshot:
                    self.host.listed("whole" if server_list.snapshot else "changes", lines)
                initial = False
            return ""
        except CALL_ERRORS as error:
            return f"{type(error).__name__}: {error}"[:200]
        finally:
            if connection:
                connection.close()
