"""Hosts one decision module: calls its inputs as things happen, carries its orders out.

Fronts call the inputs below from the event loop and hand over an outlet for each stream, whose
`deliver(holding, message)` must not wait: it notes that the proxy is to be written. Nothing here knows a
wire, and nothing is decided here: what the module orders goes to the channel, what that lets go is written.

This much is all that a controller needs that keeps nothing and has its reports summed for it;
`foxstep/live/serving.py` adds versions, a store and the intake of reports.
"""

import heapq
from itertools import count
from typing import Protocol

import anyio
import structlog

from foxstep.balance import Controller
from foxstep.live.book import Book, Holding, Message
from foxstep.live.channel import Channel

SECOND = 1_000_000
CAUSES = 12  # inputs named in the log as what a batch of orders was decided on


class Outlet(Protocol):
    """One proxy's stream, as its front writes it."""

    def deliver(self, holding: Holding, message: Message) -> None: ...

    def end(self, reason: str) -> None: ...

    # Where `goes_home` is true, also `send_home(address)`: its stream ends, and it dials there.
    goes_home: bool


class Joined:
    """One whose stream is up: a proxy, or (`rate` None) one that is advised."""

    def __init__(self, ident, zone, rate, outlet):
        self.ident, self.zone, self.rate, self.outlet = ident, zone, rate, outlet
        self.delivered = self.accepted = self.refused = 0
        self.last_refusal = ""


class Host:
    """`clock` tells monotonic microseconds, `wall` the wall clock's. `probe(server)` starts a probe,
    `watch(on)` and `fetch()` ask the list service, `tell(peer or None, payload)` sends a note. `off` names
    guards that a drill switches off."""

    def __init__(self, site, seed, clock, wall, off=(), make=Controller):
        self.site, self.seed, self.clock, self.off = site, seed, clock, frozenset(off)
        self.log = structlog.get_logger("foxstep.live")
        now = clock()
        self.wall, self.wall_offset = wall, wall() - now
        # Without its guard the queue is no matter: the module is told that the channel takes all at once.
        told = {**site, "backlog": 1e9, "lines_per_s": 1e9} if "queue" in self.off else site
        self.controller = make(now, told, seed)
        self.places = len(site["op_types"])
        self.effects = [o["effect"] for o in site["op_types"]]
        self.names = [o["name"] for o in site["op_types"]]
        self.book = Book(self.places, int(site["head"]))
        pace = site["lines_per_s"] / (8 if "queue" in self.off else 1)
        self.channel = Channel(
            pace,
            site["backlog"],
            site["messages_most"],
            site["messages_window"],
            bounded="queue" not in self.off,
        )
        self.listed_lines, self.told_at = {}, {}  # server -> its line as the list told it; since when so
        self.shaded = {}  # server -> the line that stands in for it (`shade`)
        self.joins = {}  # ident -> Joined
        self.timers, self.turns = [], count()
        self.room_at = None
        self.stirred = anyio.Event()
        self.because, self.orders = [], 0
        self.notes = ""
        self.probe = self.watch = self.fetch = self.tell = lambda *_: None
        longest = max((o["op_timeout"] for o in site["op_types"]), default=0)
        self.keep_gone = site["grace"] + longest + site.get("transit_most", 0) + 2 * site["cycle"]

    def stir(self, cause):
        if len(self.because) < CAUSES:
            self.because.append(cause)
        self.stirred.set()

    # -- what comes in ---------------------------------------------------------------------------------------

    def listed(self, how, lines):
        """The list of servers: lines as `interface.ListedServer`, starts on the host's clock."""
        if "cold" in self.off:
            lines = [(*line[:6], 0) for line in lines]
        if "drain" in self.off and how in ("whole", "changes"):
            named = {line[0] for line in lines}
            standing = [line for ident, line in self.listed_lines.items() if ident not in named]
            lines = [(*line[:4], "open", *line[5:]) for line in [*lines, *standing]]
        if how in ("whole", "remembered"):
            named = {line[0] for line in lines}
            for ident, line in self.listed_lines.items():
                if ident not in named and line[4] != "gone":
                    self.listed_lines[ident] = (*line[:4], "gone", *line[5:])
                    self.told_at[ident] = self.clock()
                    self.shaded.pop(ident, None)
        for line in lines:
            known = self.listed_lines.get(line[0])
            if known is None or known[4] != line[4] or abs(known[6] - line[6]) > self.site["cycle"]:
                self.told_at[line[0]] = 0 if how == "remembered" else self.clock()
                self.shaded.pop(line[0], None)
        self.listed_lines.update((line[0], line) for line in lines)
        self.controller.listed(self.clock(), how, [self.shaded.get(line[0], line) for line in lines])
        self.forget_gone()
        self.stir(f"listed {how} {len(lines)}")

    def forget_gone(self):
        """Guards against a list that names ever new servers: one that has been gone for longer than anybody
        can still tell of it is forgotten. Harm: what is told of it later is passed over."""
        before = self.clock() - self.keep_gone
        for ident in [i for i, line in self.listed_lines.items() if line[4] == "gone"]:
            if self.told_at[ident] < before:
                del self.listed_lines[ident], self.told_at[ident]

    def joined(self, ident, zone, rate, fresh, outlet, told=""):
        """A proxy's stream is up; `told` is the version that it says it holds. An older stream under the
        same id is ended: its queue is void."""
        self.enter(ident, zone, rate, outlet, told)
        self.book.join(ident)
        self.controller.joined(self.clock(), ident, zone, rate, fresh)
        self.stir(f"joined {ident}")

    def enter(self, ident, zone, rate, outlet, told):
        older = self.joins.pop(ident, None)
        if older:
            self.log.info("joined twice", proxy=ident)
            older.outlet.end("a newer stream of the same proxy is up")
            self.gone(older)
        self.joins[ident] = Joined(ident, zone, rate, outlet)

    def gone(self, joined):
        """What waits for a stream that is no more is void."""
        self.channel.drop(joined.ident)
        self.book.leave(joined.ident)
        if joined.rate is not None:
            self.controller.left(self.clock(), joined.ident)

    def of(self, ident, outlet):
        """The one that is joined through this outlet; None where a newer stream has replaced it."""
        joined = self.joins.get(ident)
        return joined if joined is not None and joined.outlet is outlet else None

    def left(self, ident, outlet, reason=""):
        """A stream broke; one that a newer has replaced changes nothing."""
        joined = self.of(ident, outlet)
        if joined:
            del self.joins[ident]
            self.gone(joined)
            self.log.info("left", proxy=ident, reason=reason)
            self.stir(f"left {ident}")

    def took(self, ident, outlet, number, took):
        """A proxy has applied the message with this mark and all before it; `took`: from the order on."""
        joined = self.of(ident, outlet)
        if joined:
            joined.accepted += 1
            self.controller.applied(self.clock(), ident, number, took)
            self.stir(f"applied {ident}")

    def heard(self, server, zone, tries, aborted, latency, window, load):
        """What the joined proxies of a zone met at a server, summed by others."""
        self.controller.heard(self.clock(), server, zone, tries, aborted, latency, window, load)
        self.stir(f"heard {zone}")

    def used(self, ident, op_type, ops, unanswered, window):
        """What came to a proxy, summed by itself."""
        self.controller.used(self.clock(), ident, op_type, ops, unanswered, window)
        self.stir(f"used {ident}")

    def probed(self, server, outcome, took, load):
        self.controller.probed(self.clock(), server, outcome, took, load)
        self.stir(f"probed {server} {outcome}")

    def told(self, peer, payload):
        """A note of another controller's."""
        self.controller.told(self.clock(), peer, payload)
        self.stir(f"told by {peer}")

    # -- orders ----------------------------------------------------------------------------------------------

    def allowed_tries(self, place, tries):
        """Guards against a repeat of what must not run twice: only proof that the first try never ran lets a
        once-only op be tried again. Harm: none that the rules know."""
        return min(tries, 1) if self.effects[place] == "once-only" and "twice" not in self.off else tries

    def carry_out(self, now):
        """Pulls orders until there are none; the messages they come to enter the channel."""
        pulled = 0
        while (order := self.controller.next_order(now)) is not None:
            verb, *args = order
            pulled += 1
            if verb == "wake":
                heapq.heappush(self.timers, (max(args[0], now + 1), next(self.turns), args[1]))
            elif verb == "note":
                self.notes = args[0]
                self.log.info("period", note=args[0], waiting=self.channel.lines_waiting(now))
            elif verb == "weigh":
                self.book.weigh(now, *args)
            elif verb == "admit":
                table, mask, quota, tries = args
                for place in self.book.places_of(mask):
                    self.book.admit(now, table, 1 << place, quota, self.allowed_tries(place, tries))
            elif verb == "bind":
                if "bare" not in self.off:
                    self.book.bind(now, *args)
            elif verb == "withdraw":
                self.book.withdraw(now, *args)
            elif verb == "empty":
                self.book.empty(now, *args)
            elif verb == "mark":
                self.book.mark(now, *args)
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
        messages = self.shape(now, self.book.close_batch())
        for message in messages:
            self.channel.offer(now, message)
        if messages:
            self.log.info(
                "orders",
                because=self.because,
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
                    levels=[(self.names[k], *level) for (_, k), level in message.levels.items()],
                )
        self.because = []
        self.orders += pulled
        return pulled

    def shape(self, now, ordered):
        """The messages that go out for those that the module's batch comes to."""
        return ordered

    def send_due(self, now):
        """Writes what the channel lets go by now."""
        while (message := self.channel.take(now)) is not None:
            joined = self.joins.get(message.proxy)
            # What the module put off for want of room it may order now: it is asked again soon.
            self.room_at = self.room_at or now + self.site["cycle"] // 10
            if joined is None:
                continue
            if "drain" in self.off and not message.whole:
                message.lines = {key: weight for key, weight in message.lines.items() if weight}
            holding = self.book.holdings[message.proxy]
            holding.apply(message)
            joined.delivered += 1
            self.sent(now, message)
            joined.outlet.deliver(holding, message)

    def sent(self, now, message):
        """A message leaves now."""

    def turn(self):
        """One round of the loop: what is due by now, the orders that follow, the messages that may leave."""
        now = self.clock()
        while self.timers and self.timers[0][0] <= now:
            mark = heapq.heappop(self.timers)[2]
            self.controller.woken(now, mark)
            self.stir(f"woken {mark}")
        self.rounds(now)
        if self.room_at and now >= self.room_at:
            self.room_at = None
            self.stir("room")
        if self.because:
            self.carry_out(now)
        self.send_due(now)
        return now

    def rounds(self, now):
        """What else is due by now, before the module is asked."""

    def times(self, now):
        """When something is due next; None: never."""
        return [self.room_at, self.channel.next_at(now), self.timers[0][0] if self.timers else None]

    def next_at(self, now):
        return min((t for t in self.times(now) if t is not None), default=now + SECOND)

    async def run(self):
        """Turns until cancelled. Inputs that come within one `step` are decided on together."""
        step = self.site["step"] / SECOND
        while True:
            now = self.turn()
            with anyio.move_on_after(max((self.next_at(now) - now) / SECOND, 0.0005)):
                await self.stirred.wait()
                await anyio.sleep(step)
            self.stirred = anyio.Event()
