"""Hosts one decision module: calls its inputs as things happen, carries its orders out.

Fronts call the inputs below from the event loop and hand over an outlet for each stream, whose
`deliver(holding, message)` must not wait: it notes that the proxy is to be written. Nothing here knows a
wire, and nothing is decided here: what the module orders goes to the channel, what that lets go is written.
"""

import heapq
from itertools import count
from typing import Protocol

import anyio
import structlog
from hdrh.histogram import HdrHistogram

from foxstep.balance import Controller
from foxstep.intake.intake import Intake
from foxstep.intake.latencies import Latencies
from foxstep.live.book import Book, Holding, Message
from foxstep.live.channel import Channel
from foxstep.live.reader import Reader
from foxstep.live.repair import Repairs
from foxstep.store.store import Nowhere, Store
from foxstep.tables.desk import ADVICE, Desk
from foxstep.tables.version import Version

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
    `watch(on)` and `fetch()` ask the list service. `off` names guards that a drill switches off. `reading`:
    part of a core that reading reports may take."""

    def __init__(self, site, seed, clock, wall, directory=None, off=(), make=Controller, reading=0.4):
        self.site, self.seed, self.clock, self.off = site, seed, clock, frozenset(off)
        self.log = structlog.get_logger("foxstep.live")
        now = clock()
        self.wall, self.wall_offset = wall, wall() - now
        self.store = Store(directory, wall, me=site["me"]) if directory else Nowhere(wall, site["me"])
        self.epoch = self.store.epoch
        # Without its guard the queue is no matter: the module is told that the channel takes all at once.
        told = {**site, "backlog": 1e9, "lines_per_s": 1e9} if "queue" in self.off else site
        self.controller = make(now, told, seed)
        self.places = len(site["op_types"])
        self.effects = [o["effect"] for o in site["op_types"]]
        self.names = [o["name"] for o in site["op_types"]]
        self.book = Book(self.places, int(site["head"]))
        pace = site["lines_per_s"] / (8 if "queue" in self.off else 1)
        self.channel = Channel(pace, site["backlog"], site["messages_most"], site["messages_window"],
                               bounded="queue" not in self.off)
        self.listed_lines, self.told_at = {}, {}   # server -> its line as the list told it; since when so
        self.shaded = {}                           # server -> the line that stands in for it (`shade`)
        self.intake = Intake(site, self.listed_lines.__contains__, self.holds, reading, seed)
        self.reader, self.asked_anew = Reader(self.intake), lambda: None
        self.latencies = Latencies(site["cycle"])
        self.repairs = Repairs(site["cycle"] // 2)
        self.desk = Desk(site, self.epoch)
        self.desk.restore(self.store.entries, self.store.rollbacks, self.store.holders)
        self.desk.on_entry, self.desk.on_rollback = self.store.entry, self.store.rollback
        self.joins = {}                            # ident -> Joined
        self.timers, self.turns = [], count()
        self.next_round, self.room_at, self.look_at = now + site["cycle"], None, now
        self.stirred = anyio.Event()
        self.because, self.orders = [], 0
        self.on_joined = self.on_left = lambda *_: None  # where controllers share the fleet
        self.notes, self.lag = "", 0               # the longest that the loop was late since last looked at
        self.to_answer = HdrHistogram(1, 600 * SECOND, 3)  # from order to acceptance, microseconds
        self.probe = self.watch = self.fetch = lambda *_: None
        self.listed("remembered", [(*line[:6], line[6] and max(line[6] - self.wall_offset, 1))
                                   for line in self.store.lines])

    def stir(self, cause):
        if len(self.because) < CAUSES:
            self.because.append(cause)
        self.stirred.set()

    # -- what comes in ---------------------------------------------------------------------------------------

    def listed(self, how, lines):
        """The list of servers: lines as `interface.Listed`, starts on the host's clock."""
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
        if how in ("whole", "changes"):
            kept = [(*line[:6], line[6] and line[6] + self.wall_offset)
                    for line in self.listed_lines.values() if line[4] != "gone"]
            self.store.list(kept)
        self.stir(f"listed {how} {len(lines)}")

    def shade(self, shaded, lines):
        """Servers of which others have heard what this one's list does not tell yet: server -> the line that
        stands in for its own; `lines`: those that are to be told now, in place of what was told."""
        self.shaded = shaded
        if lines:
            self.controller.listed(self.clock(), "changes", lines)
            self.stir(f"heard of {len(lines)}")

    def learnt(self, words):
        """What others, or a former life, knew of servers: (server, weight, withdrawn)."""
        for word in words:
            self.controller.learnt(self.clock(), *word)
        if words:
            self.stir(f"learnt {len(words)}")

    def inherited(self, part):
        """C that came with proxies of others, or (below 0) went with them."""
        self.log.info("inherited", part=round(part, 1), capacity=self.controller.capacity)
        self.controller.inherited(self.clock(), part)
        self.stir("inherited")

    def joined(self, ident, zone, rate, fresh, outlet, told=""):
        """A proxy's stream is up; `told` is the version that it says it holds. An older stream under the
        same id is ended: its queue is void."""
        self.enter(ident, zone, rate, outlet, told)
        self.book.join(ident)
        self.controller.joined(self.clock(), ident, zone, rate, fresh)
        self.on_joined(ident, rate)
        self.stir(f"joined {ident}")

    def enrolled(self, ident, zone, outlet, told=""):
        """The same of one that asks for advice on servers of its own naming: the module knows nothing of it,
        its messages come from the module's word of the servers (`foxstep/advice/`)."""
        self.enter(ident, zone, None, outlet, told)
        self.book.enroll(ident)
        self.advise(ident, outlet, {})
        self.stir(f"enrolled {ident}")

    def advise(self, ident, outlet, groups):
        """What an enrolled one wants advice on: group -> {server: whether it asked for no new work}, whole.
        Names of groups have no blank."""
        if ident in self.joins and self.joins[ident].outlet is outlet:
            self.desk.enroll(ident, groups)
            self.stir(f"roll {ident}")

    def holds(self, ident):
        """Servers of the tables that a proxy was written, or None where it has none of ours."""
        holding = self.book.holdings.get(ident)
        if holding is None or all(table is None for table in holding.tables):
            return None
        return {server for lines in holding.lines.values() for server in lines}

    def enter(self, ident, zone, rate, outlet, told):
        try:
            held = Version.read(told) if told else None
        except ValueError:
            held = None  # another server's version: nothing follows from it
        older = self.joins.pop(ident, None)
        if older:
            self.intake.left(ident, older.zone)
            self.log.info("joined twice", proxy=ident)
            older.outlet.end("a newer stream of the same proxy is up")
            self.channel.drop(ident)
            self.book.leave(ident)
            self.desk.left(ident)
            if older.rate is not None:
                self.controller.left(self.clock(), ident)
        self.joins[ident] = Joined(ident, zone, rate, outlet)
        if self.desk.ledger.epoch < (held.epoch if held else 0):
            self.log.warning("outranked", proxy=ident, holds=str(held))
        self.desk.ledger.joined(ident, held)
        self.repairs.forget(ident)

    def left(self, ident, outlet, reason=""):
        """A stream broke; one that a newer has replaced changes nothing."""
        joined = self.joins.get(ident)
        if joined is None or joined.outlet is not outlet:
            return
        del self.joins[ident]
        self.channel.drop(ident)
        self.book.leave(ident)
        self.desk.left(ident)
        self.repairs.forget(ident)
        self.intake.left(ident, joined.zone)
        if joined.rate is not None:
            self.controller.left(self.clock(), ident)
            self.on_left(ident, joined.rate)
        self.log.info("left", proxy=ident, reason=reason)
        self.stir(f"left {ident}")

    def applied(self, ident, outlet, marks, ordered=(), version=None):
        """A proxy has accepted a delivered message (and all before it) that carried these marks; `ordered`
        are the times at which what it accepts was ordered, `version` its table's as written."""
        joined = self.joins.get(ident)
        if joined is None or joined.outlet is not outlet:
            return
        joined.accepted += 1
        self.repairs.accepted(ident)
        now = self.clock()
        if version:
            taken = Version.read(version)
            if self.desk.ledger.accepted(ident, taken):
                self.store.holder(ident, taken)
            self.desk.evidence.answered(now, refused=False)
            if self.desk.busy():
                self.stir(f"accepted {ident} {version}")
        for at in ordered:
            self.to_answer.record_value(max(now - at, 1))
        for number, ordered_at in marks:
            self.controller.applied(now, ident, number, now - ordered_at)
        if marks:
            self.stir(f"applied {ident}")

    def refused(self, ident, outlet, reason, version=None):
        """A proxy keeps its old table. The module is told by its joining anew, when the repair is due."""
        joined = self.joins.get(ident)
        if joined is None or joined.outlet is not outlet:
            return
        joined.refused += 1
        joined.last_refusal = reason[:300]
        if version:
            self.desk.ledger.refused(ident, Version.read(version), reason)
            self.desk.evidence.answered(self.clock(), refused=True)
        due = self.repairs.refused(self.clock(), ident)
        self.log.warning("refused", proxy=ident, reason=reason[:300],
                         repair_in_ms=(due - self.clock()) // 1000)
        self.stir(f"refused {ident}")

    def probed(self, server, outcome, took, load):
        self.controller.probed(self.clock(), server, outcome, took, load)
        self.stir(f"probed {server} {outcome}")

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
            else:
                self.log.error("order not carried out", verb=verb)
        zones = {ident: joined.zone for ident, joined in self.joins.items()}
        standing = self.controller.standing()
        allowed = {server: weight / usual for server, (weight, usual, _) in standing.items() if weight}
        ordered = self.book.close_batch()
        waiting = self.channel.lines_waiting(now) + sum(message.cost for message in ordered)
        messages = self.desk.shape(now, ordered, self.book, zones, allowed,
                                   "; ".join(self.because),
                                   standing if self.desk.advice.rolls else None, waiting)
        for message in messages:
            self.channel.offer(now, message)
        if messages:
            self.log.info("orders", because=self.because, messages=len(messages),
                           lines=sum(m.cost for m in messages), waiting=self.channel.lines_waiting(now))
            for message in messages:
                self.log.debug("ordered", proxy=message.proxy, whole=message.whole,
                               lines={server: weight for (_, server), weight in message.lines.items()},
                               levels=[(self.names[k], *level) for (_, k), level in message.levels.items()])
        self.because = []
        self.orders += pulled
        return pulled

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
            if message.meant:
                self.desk.ledger.sent(now, message.proxy, message.meant.version)
            joined.outlet.deliver(holding, message)

    def turn(self):
        """One round of the loop: what is due by now, the orders that follow, the messages that may leave."""
        now = self.clock()
        while self.timers and self.timers[0][0] <= now:
            mark = heapq.heappop(self.timers)[2]
            self.controller.woken(now, mark)
            self.stir(f"woken {mark}")
        if now >= self.next_round:
            self.lag = max(self.lag, now - self.next_round)
            self.next_round = max(self.next_round + self.site["cycle"], now + self.site["cycle"] // 2)
            if self.channel.owed:  # the channel could not take what was ordered: no version to go back to
                self.desk.evidence.rule_broken(now)
            self.latencies.turn(now)
            asked = self.intake.pace.asked
            if self.intake.round(self.controller, now, self.desk.evidence):
                self.stir("reports")
            if asked != self.intake.pace.asked:
                self.log.info("reports asked for", every_ms=self.intake.pace.asked // 1000,
                              use=round(self.intake.pace.use(), 2))
                self.asked_anew()
        while (ident := self.repairs.next_due(now)) is not None:
            joined = self.joins[ident]
            self.controller.joined(now, ident, joined.zone, joined.rate, False)
            self.stir(f"repair {ident}")
        if self.desk.busy() and not self.because and now >= self.look_at:
            self.look_at = now + self.site["cycle"] // 5
            self.stir("rollback")
        if self.room_at and now >= self.room_at:
            self.room_at = None
            self.stir("room")
        if self.because:
            self.carry_out(now)
        self.send_due(now)
        return now

    def next_at(self, now):
        times = [self.next_round, self.room_at, self.channel.next_at(now), self.repairs.next_at()]
        times += [self.look_at] if self.desk.busy() else []
        times += [self.timers[0][0]] if self.timers else []
        return min(t for t in times if t is not None)

    async def run(self):
        """Turns, and reads reports, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.reader.run)
            group.start_soon(self.turns_on)

    async def turns_on(self):
        """Inputs that come within one `step` are decided on together."""
        step = self.site["step"] / SECOND
        while True:
            now = self.turn()
            with anyio.move_on_after(max((self.next_at(now) - now) / SECOND, 0.0005)):
                await self.stirred.wait()
                await anyio.sleep(step)
            self.stirred = anyio.Event()

    def at_home_elsewhere(self):
        """proxy -> zone of the joined ones that another controller may have."""
        return {i: j.zone for i, j in self.joins.items() if getattr(j.outlet, "goes_home", False)}

    def send_home(self, ident, address):
        joined = self.joins.get(ident)
        if joined:
            self.log.info("sent home", proxy=ident, to=address)
            joined.outlet.send_home(address)

    # -- what can be looked at -------------------------------------------------------------------------------

    def estimates(self):
        """What the decisions hold to be so, and how reports are read: the short form of `view`."""
        module = self.controller
        lag, self.lag = self.lag, 0
        return {"epoch": self.epoch, "capacity": module.capacity, "note": self.notes,
                "caps": dict(zip(self.names, module.caps, strict=True)), "lag_ms": lag / 1000,
                "estimates": {"demand": dict(zip(self.names, getattr(module, "demand", ()), strict=False)),
                              "acked": getattr(module, "acked", 0.0),
                              "latency_ms": getattr(module, "latency", 0.0) / 1000},
                "intake": self.intake.view()}

    def view(self):
        """Plain values for `foxstep inspect`: what each proxy holds, C, caps, the channel."""
        now = self.clock()
        proxies = {}
        for ident, joined in self.joins.items():
            holding = self.book.holdings[ident]
            proxies[ident] = {
                "zone": joined.zone, "delivered": joined.delivered, "accepted": joined.accepted,
                "refused": joined.refused, "last_refusal": joined.last_refusal,
                "waiting": ident in self.channel.queue, "owed": ident in self.channel.owed,
                "lines": {ADVICE: holding.lines.get(ADVICE, {})} if joined.rate is None else
                         {name: holding.lines_of(k) for k, name in enumerate(self.names)},
                "levels": {name: holding.level_of(k) for k, name in enumerate(self.names)}}
        store = {"written": self.store.written, "lost": self.store.lost, "failing": self.store.failing}
        return {**self.estimates(), "store": store, "proxies": proxies,
                "servers": {ident: line[4] for ident, line in self.listed_lines.items()},
                "channel": {"waiting": self.channel.lines_waiting(now), "backlog": self.channel.backlog,
                            "most_waiting": self.channel.most_waiting, "owed": len(self.channel.owed),
                            "sent_lines": self.channel.sent_lines,
                            "sent_messages": self.channel.sent_messages},
                "latencies": self.latencies.view(),
                "order_to_answer_ms": {
                    "count": self.to_answer.get_total_count(),
                    **{f"p{p:g}": self.to_answer.get_value_at_percentile(p) / 1000
                       for p in (50, 99, 99.9, 100)}}}
