"""The list of servers, as a client of discovery: one watch, kept while the host wishes it."""

import anyio
import msgspec
import structlog

from foxstep.node.call import Broken, dial
from foxstep.node.told import Listed, Unsound, address, lines_of

SECOND = 1_000_000
DIAL_WITHIN = 1.0            # seconds
DECODER = msgspec.json.Decoder(Listed)
FAILED = (Broken, OSError, TimeoutError, Unsound, msgspec.DecodeError)


class Listing:
    """`addresses`: server -> where it listens, for probes."""

    def __init__(self, host, discovery):
        self.host, self.log = host, structlog.get_logger("foxstep.list")
        self.at, self.index = discovery, None
        self.addresses = {}
        self.wanted, self.watching, self.calling = anyio.Event(), False, None
        self.whole = False                      # the next call asks for all of the list
        # A watch may wait for so long: short beside the time after which its news counts as told, so that
        # one that has gone silent is noticed; no shorter, since each call is work for discovery.
        self.wait = min(max(host.site.get("ask_within", 8 * SECOND) / SECOND / 2, 1.0), 20.0)
        self.late = 1.2                         # seconds after that wait until the call counts as failed
        host.watch, host.fetch = self.watch, self.fetch

    def remember(self, known):
        """The list as it was last had, before this start."""
        if known:
            self.index = known.index
            self.host.listed("remembered", self.take(known))
        else:
            self.host.listed("remembered", [])

    def take(self, listed):
        lines = lines_of(listed, self.host.wall_offset)
        if listed.snapshot:
            self.addresses = {}
        for server, line in zip(listed.endpoints, lines, strict=True):
            self.addresses.pop(server.name, None)
            if line[4] != "gone":
                self.addresses[server.name] = server.address
        return lines

    def watch(self, on):
        self.watching = on
        if on:
            self.wanted.set()

    def fetch(self):
        self.whole = True
        self.wanted.set()
        self.call_anew()                        # one that waits would hold it up

    def move(self, discovery):
        """Discovery has another address now: the list stands, the call under way is made there anew."""
        if address(discovery, "discovery") != address(self.at, "discovery"):
            self.at = discovery
            self.call_anew()

    def call_anew(self):
        if self.calling:
            self.calling.cancel()

    async def run(self):
        while True:
            await self.wanted.wait()
            self.wanted = anyio.Event()
            reason = None
            while reason is None:
                with anyio.CancelScope() as self.calling:
                    reason = await self.follow()
            if reason:
                self.log.warning("list failed", why=reason)
                self.host.listed("failed", [])

    async def follow(self):
        """Calls one after another on one connection; answers why they failed, "" where none is wanted."""
        caller, asked = None, True              # `asked`: the host waits for this answer
        try:
            while self.watching or self.whole:
                if caller is None or not caller.open:
                    with anyio.fail_after(DIAL_WITHIN):
                        caller = await dial(address(self.at, "discovery"))
                whole = self.whole or self.index is None
                self.whole = False
                path = "/v1/servers" if whole else (
                    f"/v1/servers?after={self.index}&wait_ms={round(self.wait * 1000)}")
                with anyio.fail_after((0 if whole else self.wait) + self.late + whole):
                    status, body = await caller.get(path, self.at)
                if status != 200:
                    return f"answered {status}"
                listed = DECODER.decode(body)
                lines = self.take(listed)
                self.index = listed.index
                if lines or asked or listed.snapshot:
                    self.host.listed("whole" if listed.snapshot else "changes", lines)
                asked = False
            return ""
        except FAILED as error:
            return f"{type(error).__name__}: {error}"[:200]
        finally:
            if caller:
                caller.close()
