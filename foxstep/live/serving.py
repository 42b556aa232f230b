"""A host that keeps what it did: versions and their store, the intake of raw reports, advice, repairs."""

import anyio
from hdrh.histogram import HdrHistogram

from foxstep.balance import Controller
from foxstep.intake.intake import Intake
from foxstep.intake.latencies import Latencies
from foxstep.live.host import SECOND, Host
from foxstep.live.reader import Reader
from foxstep.live.repair import Repairs
from foxstep.store.store import Nowhere, Store
from foxstep.tables.desk import ADVICE, Desk
from foxstep.tables.version import Version


class ServingHost(Host):
    """`directory`: keeps what outlives this; `reading`: part of a core that reading reports may take."""

    def __init__(self, site, seed, clock, wall, directory=None, off=(), make=Controller, reading=0.4):
        self.store = Store(directory, wall, me=site["me"]) if directory else Nowhere(wall, site["me"])
        self.epoch = self.store.epoch
        super().__init__(site, seed, clock, wall, off, make)
        self.intake = Intake(site, self.listed_lines.__contains__, self.holds, reading, seed)
        self.reader, self.asked_anew = Reader(self.intake), lambda: None
        self.latencies = Latencies(site["cycle"])
        self.repairs = Repairs(site["cycle"] // 2)
        self.desk = Desk(site, self.epoch)
        self.desk.restore(self.store.entries, self.store.rollbacks, self.store.holders)
        self.desk.on_entry, self.desk.on_rollback = self.store.entry, self.store.rollback
        now = clock()
        self.next_round, self.look_at = now + site["cycle"], now
        self.on_joined = self.on_left = lambda *_: None  # where controllers share the fleet
        self.lag = 0  # the longest that the loop was late since last looked at
        self.to_answer = HdrHistogram(1, 600 * SECOND, 3)  # from order to acceptance, microseconds
        self.listed(
            "remembered",
            [(*line[:6], line[6] and max(line[6] - self.wall_offset, 1)) for line in self.store.lines],
        )

    # -- what comes in ---------------------------------------------------------------------------------------

    def listed(self, how, lines):
        super().listed(how, lines)
        if how in ("whole", "changes"):
            kept = [
                (*line[:6], line[6] and line[6] + self.wall_offset)
                for line in self.listed_lines.values()
                if line[4] != "gone"
            ]
            self.store.list(kept)

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
        super().joined(ident, zone, rate, fresh, outlet, told)
        self.on_joined(ident, rate)

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
        if self.of(ident, outlet):
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
        super().enter(ident, zone, rate, outlet, told)
        if self.desk.ledger.epoch < (held.epoch if held else 0):
            self.log.warning("outranked", proxy=ident, holds=str(held))
        self.desk.ledger.joined(ident, held)
        self.repairs.forget(ident)

    def gone(self, joined):
        super().gone(joined)
        self.desk.left(joined.ident)
        self.repairs.forget(joined.ident)
        self.intake.remove_proxy(joined.ident, joined.zone)

    def left(self, ident, outlet, reason=""):
        joined = self.of(ident, outlet)
        super().left(ident, outlet, reason)
        if joined and joined.rate is not None:
            self.on_left(ident, joined.rate)

    def applied(self, ident, outlet, marks, ordered=(), version=None):
        """A proxy has accepted a delivered message (and all before it) that carried these marks; `ordered`
        are the times at which what it accepts was ordered, `version` its table's as written."""
        joined = self.of(ident, outlet)
        if joined is None:
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
        joined = self.of(ident, outlet)
        if joined is None:
            return
        joined.refused += 1
        joined.last_refusal = reason[:300]
        if version:
            self.desk.ledger.refused(ident, Version.read(version), reason)
            self.desk.evidence.answered(self.clock(), refused=True)
        due = self.repairs.refused(self.clock(), ident)
        self.log.warning(
            "refused", proxy=ident, reason=reason[:300], repair_in_ms=(due - self.clock()) // 1000
        )
        self.stir(f"refused {ident}")

    # -- orders ----------------------------------------------------------------------------------------------

    def shape(self, now, ordered):
        zones = {ident: joined.zone for ident, joined in self.joins.items()}
        standing = self.controller.server_weights()
        allowed = {server: weight / usual for server, (weight, usual, _) in standing.items() if weight}
        waiting = self.channel.lines_waiting(now) + sum(message.cost for message in ordered)
        return self.desk.shape(
            now,
            ordered,
            self.book,
            zones,
            allowed,
            "; ".join(self.because),
            standing if self.desk.advice.balancers else None,
            waiting,
        )

    def sent(self, now, message):
        if message.meant:
            self.desk.ledger.sent(now, message.proxy, message.meant.version)

    def rounds(self, now):
        if now >= self.next_round:
            self.lag = max(self.lag, now - self.next_round)
            self.next_round = max(self.next_round + self.site["cycle"], now + self.site["cycle"] // 2)
            if self.channel.owed:  # the channel could not take what was ordered: no version to go back to
                self.desk.evidence.rule_broken(now)
            self.latencies.rotate(now)
            asked = self.intake.pace.requested_interval
            if self.intake.round(self.controller, now, self.desk.evidence):
                self.stir("reports")
            if asked != self.intake.pace.requested_interval:
                self.log.info(
                    "reports asked for",
                    every_ms=self.intake.pace.requested_interval // 1000,
                    use=round(self.intake.pace.utilization(), 2),
                )
                self.asked_anew()
        while (ident := self.repairs.next_due(now)) is not None:
            joined = self.joins[ident]
            self.controller.joined(now, ident, joined.zone, joined.rate, False)
            self.stir(f"repair {ident}")
        if self.desk.busy() and not self.because and now >= self.look_at:
            self.look_at = now + self.site["cycle"] // 5
            self.stir("rollback")

    def times(self, now):
        return [
            *super().times(now),
            self.next_round,
            self.repairs.next_at(),
            self.look_at if self.desk.busy() else None,
        ]

    async def run(self):
        """Turns, and reads reports, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.reader.run)
            group.start_soon(super().run)

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
        return {
            "epoch": self.epoch,
            "capacity": module.capacity,
            "note": self.notes,
            "caps": dict(zip(self.names, module.caps, strict=True)),
            "lag_ms": lag / 1000,
            "estimates": {
                "demand": dict(zip(self.names, getattr(module, "demand", ()), strict=False)),
                "acked": getattr(module, "acked", 0.0),
                "latency_ms": getattr(module, "latency", 0.0) / 1000,
            },
            "intake": self.intake.view(),
        }

    def view(self):
        """Plain values for `foxstep inspect`: what each proxy holds, C, caps, the channel."""
        now = self.clock()
        proxies = {}
        for ident, joined in self.joins.items():
            holding = self.book.holdings[ident]
            proxies[ident] = {
                "zone": joined.zone,
                "delivered": joined.delivered,
                "accepted": joined.accepted,
                "refused": joined.refused,
                "last_refusal": joined.last_refusal,
                "waiting": ident in self.channel.queue,
                "owed": ident in self.channel.owed,
                "lines": {ADVICE: holding.lines.get(ADVICE, {})}
                if joined.rate is None
                else {name: holding.lines_of(k) for k, name in enumerate(self.names)},
                "levels": {name: holding.level_of(k) for k, name in enumerate(self.names)},
            }
        store = {"written": self.store.written, "lost": self.store.lost, "failing": self.store.failing}
        return {
            **self.estimates(),
            "store": store,
            "proxies": proxies,
            "servers": {ident: line[4] for ident, line in self.listed_lines.items()},
            "channel": {
                "waiting": self.channel.lines_waiting(now),
                "backlog": self.channel.backlog,
                "most_waiting": self.channel.most_waiting,
                "owed": len(self.channel.owed),
                "sent_lines": self.channel.sent_lines,
                "sent_messages": self.channel.sent_messages,
            },
            "latencies": self.latencies.view(),
            "order_to_answer_ms": {
                "count": self.to_answer.get_total_count(),
                **{f"p{p:g}": self.to_answer.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9, 100)},
            },
        }
