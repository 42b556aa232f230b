"""The list of servers, as a client of discovery: one watch, kept while the host wishes it."""

import anyio
import msgspec
import structlog

from foxstep.node.config import ConfigError, Listed, lines_of, parse_address
from foxstep.node.http import Broken, connect

SECOND = 1_000_000
CONNECT_TIMEOUT = 1.0  # seconds
DECODER = msgspec.json.Decoder(Listed)
FAILED = (Broken, OSError, TimeoutError, ConfigError, msgspec.DecodeError, UnicodeError, RecursionError)


class DiscoveryClient:
    """`addresses`: server -> where it listens, for probes."""

    def __init__(self, host, discovery):
        self.host, self.log = host, structlog.get_logger("foxstep.list")
        self.at, self.index = discovery, None
        self.addresses = {}
        self.wanted, self.watching, self.calling = anyio.Event(), False, None
        self.whole = False  # the next call asks for all of the list
        self.older_since = None  # since when discovery answers with an older list than ours
        # A watch may wait for so long: short beside the time after which its news counts as told, so that
        # one that has gone silent is noticed; no shorter, since each call is work for discovery.
        self.wait = min(max(host.site.get("ask_within", 8 * SECOND) / SECOND / 2, 1.0), 20.0)
        self.late = 1.2  # seconds after that wait until the call counts as failed
        self.renumbering_timeout = host.site.get("ask_within", 8 * SECOND)
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

    def reason_to_reject(self, listed):
        """Why an answer is not taken, or "".

        Guards against lists that lag behind what was told, or have lost it: servers that drain would come
        back, new ones would go, and of an empty one nothing would be left to pick. Harm: a discovery that
        numbers anew is believed only after as long as the settings let a controller go without it."""
        if listed.snapshot and not listed.endpoints and self.addresses:
            self.whole = True
            return "the list is empty"
        if self.index is None or listed.index >= self.index:
            self.older_since = None
            return ""
        now = self.host.clock()
        self.older_since = self.older_since or now
        if listed.snapshot and now - self.older_since >= self.renumbering_timeout:
            self.older_since = None
            return ""
        self.whole = True
        return f"the list went back from {self.index} to {listed.index}"

    def watch(self, on):
        self.watching = on
        if on and not self.calling:
            self.wanted.set()

    def fetch(self):
        self.whole = True
        self.wanted.set()
        self.restart_call()  # one that waits would hold it up

    def move(self, discovery):
        """Discovery has another address now: the list stands, the call under way is made there anew, and one
        that waits to be made again after a failure at the old address is made at once."""
        if parse_address(discovery, "discovery") != parse_address(self.at, "discovery"):
            self.at = discovery
            self.restart_call()

    def restart_call(self):
        if self.calling:
            self.calling.cancel()
        elif self.watching:
            self.wanted.set()

    async def run(self):
        while True:
            await self.wanted.wait()
            self.wanted = anyio.Event()
            reason = None
            while reason is None:
                with anyio.CancelScope() as self.calling:
                    reason = await self.follow()
                if self.calling.cancel_called:  # also where it ended in the tick in which it was called off
                    reason = None
            self.calling = None
            if reason:
                self.log.warning("list failed", why=reason)
                self.host.listed("failed", [])

    async def follow(self):
        """Calls one after another on one connection; answers why they failed, "" where none is wanted."""
        caller, asked = None, True  # `asked`: the host waits for this answer
        try:
            while self.watching or self.whole:
                if reused := caller is not None and caller.open:
                    caller.answer_began = False
                else:
                    with anyio.fail_after(CONNECT_TIMEOUT):
                        caller = await connect(parse_address(self.at, "discovery"))
                whole = self.whole or self.index is None
                path = (
                    "/v1/servers"
                    if whole
                    else (f"/v1/servers?after={self.index}&wait_ms={round(self.wait * 1000)}")
                )
                try:
                    with anyio.fail_after((0 if whole else self.wait) + self.late + whole):
                        status, body = await caller.get(path, self.at)
                except Broken:
                    # A connection that ends between two calls, or before any of an answer, tells of itself
                    # only; a new one tells of discovery.
                    if reused and not caller.answer_began:
                        continue
                    raise
                if status != 200:
                    return f"answered {status}"
                listed = DECODER.decode(body)
                if reason := self.reason_to_reject(listed):
                    return reason
                lines = self.take(listed)
                self.index, self.whole = listed.index, self.whole and not whole
                if lines or asked or listed.snapshot:
                    self.host.listed("whole" if listed.snapshot else "changes", lines)
                asked = False
            return ""
        except FAILED as error:
            return f"{type(error).__name__}: {error}"[:200]
        finally:
            if caller:
                caller.close()
