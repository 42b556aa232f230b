"""Runs one decision module: calls its inputs as events arrive and carries out its orders.

The fronts, the servers of the wire protocols, call the inputs below from the event loop and pass a
`ProxyStream` for each stream. Its `deliver(holding, message)` must not block: it only notes that the proxy is
to be written. This module knows no wire protocol and makes no decisions: orders of the decision module go to
the channel, and what the channel releases is written.

This is all that a controller needs if it keeps nothing across restarts and receives its reports summed;
`foxstep/live/serving.py` adds versions, a store and the intake of raw reports.
"""

import heapq
from itertools import count
from typing import Protocol

import anyio
import structlog

from foxstep.balance import Controller
from foxstep.live.channel import Channel
from foxstep.live.desired_state import DesiredState, Holding, Message

SECOND_US = 1_000_000
MAX_LOGGED_CAUSES = 12  # inputs that the log names as the cause of one batch of orders


class ProxyStream(Protocol):
    """The stream of one proxy, as its front implements it."""

    def deliver(self, holding: Holding, message: Message) -> None: ...

    def end(self, reason: str) -> None: ...

    # If true, the stream also has `redirect(address)`: it ends the stream, and the proxy dials that address.
    accepts_redirect: bool


class JoinedProxy:
    """A client with an open stream: a proxy or, if `rate` is None, an advised balancer.

    An advised balancer is sent weights for groups of servers that it names itself (`foxstep/advice/`).
    """

    def __init__(self, ident, zone, rate, stream):
        self.ident, self.zone, self.rate, self.stream = ident, zone, rate, stream
        self.delivered = self.accepted = self.refused = 0
        self.last_refusal = ""


class Host:
    """`clock` returns monotonic microseconds, `wall` wall-clock microseconds.

    Other modules set the callbacks: `probe(server)` starts a probe, `watch(on)` and `fetch()` ask the list
    service, `tell(peer or None, payload)` sends a note to one or all peers. `disabled_guards` names the
    guards that a drill switches off.
    """

    def __init__(self, site, seed, clock, wall, disabled_guards=(), make=Controller):
        self.site, self.seed, self.clock, self.disabled_guards = site, seed, clock, frozenset(disabled_guards)
        self.log = structlog.get_logger("foxstep.live")
        now = clock()
        self.wall, self.wall_offset = wall, wall() - now
        # With its "queue" guard disabled, the decision module gets settings without channel limits.
        module_site = (
            {**site, "backlog": 1e9, "lines_per_s": 1e9} if "queue" in self.disabled_guards else site
        )
        self.controller = make(now, module_site, seed)
        self.op_type_count = len(site["op_types"])
        self.effects = [o["effect"] for o in site["op_types"]]
        self.op_type_names = [o["name"] for o in site["op_types"]]
        self.desired_state = DesiredState(self.op_type_count, int(site["head"]))
        lines_per_s = site["lines_per_s"] / (8 if "queue" in self.disabled_guards else 1)
        self.channel = Channel(
            lines_per_s,
            site["backlog"],
            site["messages_most"],
            site["messages_window"],
            bounded="queue" not in self.disabled_guards,
        )
        self.listed_lines, self.state_since = {}, {}  # server -> its list line; since when it is as listed
        self.line_overrides = {}  # server -> the line that replaces its list line (see `override_lines`)
        self.joined_proxies = {}  # ident -> JoinedProxy
        self.timers, self.timer_count = [], count()
        self.retry_orders_at = None
        self.run_requested = anyio.Event()
        self.causes, self.order_count = [], 0
        self.last_note = ""
        self.probe = self.watch = self.fetch = self.tell = lambda *_: None
        max_timeout = max((o["op_timeout"] for o in site["op_types"]), default=0)
        self.gone_retention_us = site["grace"] + max_timeout + site.get("transit_most", 0) + 2 * site["cycle"]

    def request_run(self, cause):
        """Requests a turn; the log names `cause` with the orders that follow."""
        if len(self.causes) < MAX_LOGGED_CAUSES:
            self.causes.append(cause)
        self.run_requested.set()

    # -- inputs ----------------------------------------------------------------------------------------------

    def listed(self, how, lines):
        """The list of servers: lines as `interface.ListedServer`, start times on the host's clock."""
        if "cold" in self.disabled_guards:
            lines = [(*line[:6], 0) for line in lines]
        if "drain" in self.disabled_guards and how in ("whole", "changes"):
            listed = {line[0] for line in lines}
            unlisted = [line for ident, line in self.listed_lines.items() if ident not in listed]
            lines = [(*line[:4], "open", *line[5:]) for line in [*lines, *unlisted]]
        if how in ("whole", "remembered"):
            listed = {line[0] for line in lines}
            for ident, line in self.listed_lines.items():
                if ident not in listed and line[4] != "gone":
                    self.listed_lines[ident] = (*line[:4], "gone", *line[5:])
                    self.state_since[ident] = self.clock()
                    self.line_overrides.pop(ident, None)
        for line in lines:
            known = self.listed_lines.get(line[0])
            if known is None or known[4] != line[4] or abs(known[6] - line[6]) > self.site["cycle"]:
                self.state_since[line[0]] = 0 if how == "remembered" else self.clock()
                self.line_overrides.pop(line[0], None)
        self.listed_lines.update((line[0], line) for line in lines)
        self.controller.listed(self.clock(), how, [self.line_overrides.get(line[0], line) for line in lines])
        self.forget_gone()
        self.request_run(f"listed {how} {len(lines)}")

    def forget_gone(self):
        """Forgets servers that have been gone for longer than any report about them can be under way.

        This bounds the memory if a list names ever new servers. The drawback: later reports about a forgotten
        server are ignored.
        """
        before = self.clock() - self.gone_retention_us
        for ident in [i for i, line in self.listed_lines.items() if line[4] == "gone"]:
            if self.state_since[ident] < before:
                del self.listed_lines[ident], self.state_since[ident]

    def joined(self, ident, zone, rate, fresh, stream, held_version=""):
        """A proxy's stream is up; `held_version` is the version that it says it holds.

        An older stream with the same id is ended and its queue discarded.
        """
        self.register(ident, zone, rate, stream, held_version)
        self.desired_state.join(ident)
        self.controller.joined(self.clock(), ident, zone, rate, fresh)
        self.request_run(f"joined {ident}")

    def register(self, ident, zone, rate, stream, held_version):
        """Adds a client's stream and ends an older one with the same id."""
        older = self.joined_proxies.pop(ident, None)
        if older:
            self.log.info("joined twice", proxy=ident)
            older.stream.end("a newer stream of the same proxy is up")
            self.discard(older)
        self.joined_proxies[ident] = JoinedProxy(ident, zone, rate, stream)

    def discard(self, joined):
        """Drops what waits for a stream that has ended."""
        self.channel.drop(joined.ident)
        self.desired_state.leave(joined.ident)
        if joined.rate is not None:
            self.controller.left(self.clock(), joined.ident)

    def joined_through(self, ident, stream):
        """The `JoinedProxy` of this stream; None if a newer stream has replaced it."""
        joined = self.joined_proxies.get(ident)
        return joined if joined is not None and joined.stream is stream else None

    def left(self, ident, stream, reason=""):
        """A stream broke. Nothing changes if a newer one has replaced it."""
        joined = self.joined_through(ident, stream)
        if joined:
            del self.joined_proxies[ident]
            self.discard(joined)
            self.log.info("left", proxy=ident, reason=reason)
            self.request_run(f"left {ident}")

    def mark_applied(self, ident, stream, number, duration):
        """A proxy has applied the message with this mark and all before it, `duration` after the order."""
        joined = self.joined_through(ident, stream)
        if joined:
            joined.accepted += 1
            self.controller.applied(self.clock(), ident, number, duration)
            self.request_run(f"applied {ident}")

    def heard(self, server, zone, tries, aborted, latency, window, load):
        """Results of the joined proxies of a zone at a server, summed by a collector."""
        self.controller.heard(self.clock(), server, zone, tries, aborted, latency, window, load)
        self.request_run(f"heard {zone}")

    def used(self, ident, op_type, ops, unanswered, window):
        """Ops that arrived at a proxy, summed by the proxy itself."""
        self.controller.used(self.clock(), ident, op_type, ops, unanswered, window)
        self.request_run(f"used {ident}")

    def probed(self, server, outcome, duration, load):
        self.controller.probed(self.clock(), server, outcome, duration, load)
        self.request_run(f"probed {server} {outcome}")

    def told(self, peer, payload):
        """A note from another controller."""
        self.controller.told(self.clock(), peer, payload)
        self.request_run(f"told by {peer}")

    # -- orders ----------------------------------------------------------------------------------------------

    def allowed_tries(self, index, tries):
        """Limits the tries of once-only op types, which must not run twice.

        A once-only op may be tried again only with proof that its first try never ran. This has no drawback
        by the rules of the site.
        """
        return (
            min(tries, 1)
            if self.effects[index] == "once-only" and "twice" not in self.disabled_guards
            else tries
        )

    def carry_out(self, now):
        """Takes orders until there are none; the resulting messages enter the channel."""
        order_count = 0
        while (order := self.controller.next_order(now)) is not None:
            verb, *args = order
            order_count += 1
            if verb == "wake":
                heapq.heappush(self.timers, (max(args[0], now + 1), next(self.timer_count), args[1]))
            elif verb == "note":
                self.last_note = args[0]
                self.log.info("period", note=args[0], waiting=self.channel.lines_waiting(now))
            elif verb == "weigh":
                self.desired_state.weigh(now, *args)
            elif verb == "admit":
                table, mask, quota, tries = args
                for index in self.desired_state.op_type_indexes(mask):
                    self.desired_state.admit(now, table, 1 << index, quota, self.allowed_tries(index, tries))
            elif verb == "bind":
                if "bare" not in self.disabled_guards:
                    self.desired_state.bind(now, *args)
            elif verb == "withdraw":
                self.desired_state.withdraw(now, *args)
            elif verb == "empty":
                self.desired_state.empty(now, *args)
            elif verb == "mark":
                self.desired_state.mark(now, *args)
            elif verb == "probe":
                self.probe(*args)
            elif verb == "watch":
                self.watch(*args)
            elif verb == "fetch":
                self.fetch()
            elif verb == "tell":
                self.tell(*args)
            else:
                self.log.error("order not carried out", verb=verb)
        messages = self.shape(now, self.desired_state.close_batch())
        for message in messages:
            self.channel.offer(now, message)
        if messages:
            self.log.info(
                "orders",
                because=self.causes,
                messages=len(messages),
                lines=sum(m.cost for m in messages),
                waiting=self.channel.lines_waiting(now),
            )
            for message in messages:
                self.log.debug(
                    "ordered",
                    proxy=message.proxy,
                    whole=message.whole,
                    lines={server: weight for (_, server), weight in message.lines.items()},
                    levels=[(self.op_type_names[k], *level) for (_, k), level in message.levels.items()],
                )
        self.causes = []
        self.order_count += order_count
        return order_count

    def shape(self, now, messages):
        """The messages to send in place of the decision module's batch."""
        return messages

    def send_due(self, now):
        """Writes the messages that the channel releases by now."""
        while (message := self.channel.take(now)) is not None:
            joined = self.joined_proxies.get(message.proxy)
            # The module may now order what it held back while the channel was full: it is asked again soon.
            self.retry_orders_at = self.retry_orders_at or now + self.site["cycle"] // 10
            if joined is None:
                continue
            if "drain" in self.disabled_guards and not message.whole:
                message.lines = {key: weight for key, weight in message.lines.items() if weight}
            holding = self.desired_state.holdings[message.proxy]
            holding.apply(message)
            joined.delivered += 1
            self.sent(now, message)
            joined.stream.deliver(holding, message)

    def sent(self, now, message):
        """Called for each message that leaves."""

    def turn(self):
        """One turn of the loop: due timers, the orders that follow, the messages that may leave."""
        now = self.clock()
        while self.timers and self.timers[0][0] <= now:
            mark = heapq.heappop(self.timers)[2]
            self.controller.woken(now, mark)
            self.request_run(f"woken {mark}")
        self.run_periodic(now)
        if self.retry_orders_at and now >= self.retry_orders_at:
            self.retry_orders_at = None
            self.request_run("room")
        if self.causes:
            self.carry_out(now)
        self.send_due(now)
        return now

    def run_periodic(self, now):
        """Other work that is due by now, done before the module is asked for orders."""

    def due_times(self, now):
        """When each kind of work is due next; None for never."""
        return [self.retry_orders_at, self.channel.next_at(now), self.timers[0][0] if self.timers else None]

    def next_at(self, now):
        return min((t for t in self.due_times(now) if t is not None), default=now + SECOND_US)

    async def run(self):
        """Takes turns until cancelled. Inputs that arrive within one `step` are decided on together."""
        step = self.site["step"] / SECOND_US
        while True:
            now = self.turn()
            with anyio.move_on_after(max((self.next_at(now) - now) / SECOND_US, 0.0005)):
                await self.run_requested.wait()
                await anyio.sleep(step)
            self.run_requested = anyio.Event()
