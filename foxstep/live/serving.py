"""A host that keeps state: table versions and their store, the intake of raw reports, advice and repairs."""

import anyio
from hdrh.histogram import HdrHistogram

from foxstep.balance import Controller
from foxstep.intake.intake import Intake
from foxstep.intake.latencies import Latencies
from foxstep.live.host import SECOND_US, Host
from foxstep.live.reader import Reader
from foxstep.live.repair import Repairs
from foxstep.store.store import NullStore, Store
from foxstep.tables.manager import ADVICE, TableManager
from foxstep.tables.version import Version


class ServingHost(Host):
    """`directory`: where state is kept across restarts; None keeps none.

    `reading`: the share of one core that reading reports may take.
    """

    def __init__(
        self,
        site,
        seed,
        clock,
        wall,
        directory=None,
        disabled_guards=(),
        make=Controller,
        reading=0.4,
    ):
        self.store = Store(directory, wall, me=site["me"]) if directory else NullStore(wall, site["me"])
        self.epoch = self.store.epoch
        super().__init__(site, seed, clock, wall, disabled_guards, make)
        self.intake = Intake(site, self.listed_lines.__contains__, self.held_servers, reading, seed)
        self.reader, self.on_report_interval_changed = Reader(self.intake), lambda: None
        self.latencies = Latencies(site["cycle"])
        self.repairs = Repairs(site["cycle"] // 2)
        self.table_manager = TableManager(site, self.epoch)
        self.table_manager.restore(self.store.entries, self.store.rollbacks, self.store.holders)
        self.table_manager.on_entry, self.table_manager.on_rollback = self.store.entry, self.store.rollback
        now = clock()
        self.next_cycle_at, self.next_rollback_check_at = now + site["cycle"], now
        self.on_joined = self.on_left = lambda *_: None  # set where controllers share the fleet
        self.max_lag = 0  # microseconds that the loop was late at most, since the last call of `estimates`
        self.order_to_answer = HdrHistogram(1, 600 * SECOND_US, 3)  # from order to acceptance, microseconds
        self.listed(
            "remembered",
            [(*line[:6], line[6] and max(line[6] - self.wall_offset, 1)) for line in self.store.lines],
        )

    # -- inputs ----------------------------------------------------------------------------------------------

    def listed(self, how, lines):
        super().listed(how, lines)
        if how in ("whole", "changes"):
            kept = [
                (*line[:6], line[6] and line[6] + self.wall_offset)
                for line in self.listed_lines.values()
                if line[4] != "gone"
            ]
            self.store.list(kept)

    def override_lines(self, line_overrides, lines):
        """Replaces list lines of servers of which other controllers know something newer than this list.

        `line_overrides`: server -> the line that replaces its list line. `lines`: those of them that the
        decision module is to be given now, in place of those that it has.
        """
        self.line_overrides = line_overrides
        if lines:
            self.controller.listed(self.clock(), "changes", lines)
            self.request_run(f"heard of {len(lines)}")

    def learnt(self, facts):
        """What other controllers, or the previous process, knew of servers: (server, weight, withdrawn)."""
        for fact in facts:
            self.controller.learnt(self.clock(), *fact)
        if facts:
            self.request_run(f"learnt {len(facts)}")

    def inherited(self, capacity):
        """Capacity in ops a second of proxies that moved here from other controllers; below 0: moved away."""
        self.log.info("inherited", part=round(capacity, 1), capacity=self.controller.capacity)
        self.controller.inherited(self.clock(), capacity)
        self.request_run("inherited")

    def joined(self, ident, zone, rate, fresh, stream, held_version=""):
        super().joined(ident, zone, rate, fresh, stream, held_version)
        self.on_joined(ident, rate)

    def enrolled(self, ident, zone, stream, held_version=""):
        """The stream of a balancer that asks for advice on servers that it names itself is up.

        The decision module does not know of it: its messages are computed from the module's weights of the
        servers (`foxstep/advice/`).
        """
        self.register(ident, zone, None, stream, held_version)
        self.desired_state.enroll(ident)
        self.advise(ident, stream, {})
        self.request_run(f"enrolled {ident}")

    def advise(self, ident, stream, groups):
        """The complete set of groups that an advised balancer wants advice on.

        `groups`: group -> {server: whether it asked for no new work}. Group names contain no blank.
        """
        if self.joined_through(ident, stream):
            self.table_manager.enroll(ident, groups)
            self.request_run(f"roll {ident}")

    def held_servers(self, ident):
        """Servers of the tables that a proxy was written, or None if it has none of ours."""
        holding = self.desired_state.holdings.get(ident)
        if holding is None or all(table is None for table in holding.tables):
            return None
        return {server for lines in holding.lines.values() for server in lines}

    def register(self, ident, zone, rate, stream, held_version):
        try:
            held = Version.parse(held_version) if held_version else None
        except ValueError:
            held = None  # written by some other control server; ignored
        super().register(ident, zone, rate, stream, held_version)
        if self.table_manager.ledger.epoch < (held.epoch if held else 0):
            self.log.warning("outranked", proxy=ident, holds=str(held))
        self.table_manager.ledger.joined(ident, held)
        self.repairs.forget(ident)

    def discard(self, joined):
        super().discard(joined)
        self.table_manager.left(joined.ident)
        self.repairs.forget(joined.ident)
        self.intake.remove_proxy(joined.ident, joined.zone)

    def left(self, ident, stream, reason=""):
        joined = self.joined_through(ident, stream)
        super().left(ident, stream, reason)
        if joined and joined.rate is not None:
            self.on_left(ident, joined.rate)

    def applied(self, ident, stream, marks, order_times=(), version=None):
        """A proxy has accepted a delivered message, which carried these marks, and all before it.

        `order_times`: when the accepted orders were given. `version`: that of the accepted table, as written.
        """
        joined = self.joined_through(ident, stream)
        if joined is None:
            return
        joined.accepted += 1
        self.repairs.accepted(ident)
        now = self.clock()
        if version:
            accepted = Version.parse(version)
            if self.table_manager.ledger.accepted(ident, accepted):
                self.store.holder(ident, accepted)
            self.table_manager.evidence.record_answer(now, refused=False)
            if self.table_manager.has_running_rollback():
                self.request_run(f"accepted {ident} {version}")
        for at in order_times:
            self.order_to_answer.record_value(max(now - at, 1))
        for number, ordered_at in marks:
            self.controller.applied(now, ident, number, now - ordered_at)
        if marks:
            self.request_run(f"applied {ident}")

    def refused(self, ident, stream, reason, version=None):
        """A proxy keeps its old table. When the repair is due, the module is called as if it joined again."""
        joined = self.joined_through(ident, stream)
        if joined is None:
            return
        joined.refused += 1
        joined.last_refusal = reason[:300]
        if version:
            self.table_manager.ledger.refused(ident, Version.parse(version), reason)
            self.table_manager.evidence.record_answer(self.clock(), refused=True)
        due = self.repairs.refused(self.clock(), ident)
        self.log.warning(
            "refused", proxy=ident, reason=reason[:300], repair_in_ms=(due - self.clock()) // 1000
        )
        self.request_run(f"refused {ident}")

    # -- orders ----------------------------------------------------------------------------------------------

    def shape(self, now, messages):
        zones = {ident: joined.zone for ident, joined in self.joined_proxies.items()}
        server_weights = self.controller.server_weights()
        allowed = {server: weight / usual for server, (weight, usual, _) in server_weights.items() if weight}
        waiting = self.channel.lines_waiting(now) + sum(message.cost for message in messages)
        return self.table_manager.shape(
            now,
            messages,
            self.desired_state,
            zones,
            allowed,
            "; ".join(self.causes),
            server_weights if self.table_manager.advice.balancers else None,
            waiting,
        )

    def sent(self, now, message):
        if message.target_table:
            self.table_manager.ledger.sent(now, message.proxy, message.target_table.version)

    def run_periodic(self, now):
        if now >= self.next_cycle_at:
            self.max_lag = max(self.max_lag, now - self.next_cycle_at)
            self.next_cycle_at = max(self.next_cycle_at + self.site["cycle"], now + self.site["cycle"] // 2)
            if self.channel.deferred:  # the channel cannot take what was ordered: no version to roll back to
                self.table_manager.evidence.record_rule_violation(now)
            self.latencies.rotate(now)
            previous_interval = self.intake.pace.requested_interval
            if self.intake.round(self.controller, now, self.table_manager.evidence):
                self.request_run("reports")
            if previous_interval != self.intake.pace.requested_interval:
                self.log.info(
                    "reports asked for",
                    every_ms=self.intake.pace.requested_interval // 1000,
                    use=round(self.intake.pace.utilization(), 2),
                )
                self.on_report_interval_changed()
        while (ident := self.repairs.next_due(now)) is not None:
            joined = self.joined_proxies[ident]
            self.controller.joined(now, ident, joined.zone, joined.rate, False)
            self.request_run(f"repair {ident}")
        if (
            self.table_manager.has_running_rollback()
            and not self.causes
            and now >= self.next_rollback_check_at
        ):
            self.next_rollback_check_at = now + self.site["cycle"] // 5
            self.request_run("rollback")

    def due_times(self, now):
        return [
            *super().due_times(now),
            self.next_cycle_at,
            self.repairs.next_at(),
            self.next_rollback_check_at if self.table_manager.has_running_rollback() else None,
        ]

    async def run(self):
        """Takes turns, and reads reports, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.reader.run)
            group.start_soon(super().run)

    def redirectable_proxies(self):
        """proxy -> zone of the joined proxies that can be redirected to another controller."""
        return {
            i: j.zone for i, j in self.joined_proxies.items() if getattr(j.stream, "accepts_redirect", False)
        }

    def redirect(self, ident, address):
        joined = self.joined_proxies.get(ident)
        if joined:
            self.log.info("sent home", proxy=ident, to=address)
            joined.stream.redirect(address)

    # -- inspection ------------------------------------------------------------------------------------------

    def estimates(self):
        """The short form of `view`: estimates of the decision module, and how reports are read."""
        module = self.controller
        max_lag, self.max_lag = self.max_lag, 0
        return {
            "epoch": self.epoch,
            "capacity": module.capacity,
            "note": self.last_note,
            "caps": dict(zip(self.op_type_names, module.caps, strict=True)),
            "lag_ms": max_lag / 1000,
            "estimates": {
                "demand": dict(zip(self.op_type_names, getattr(module, "demand", ()), strict=False)),
                "acked": getattr(module, "acked", 0.0),
                "latency_ms": getattr(module, "latency", 0.0) / 1000,
            },
            "intake": self.intake.view(),
        }

    def view(self):
        """Plain values for `foxstep inspect`: what each proxy holds, capacity, caps and the channel."""
        now = self.clock()
        proxies = {}
        for ident, joined in self.joined_proxies.items():
            holding = self.desired_state.holdings[ident]
            proxies[ident] = {
                "zone": joined.zone,
                "delivered": joined.delivered,
                "accepted": joined.accepted,
                "refused": joined.refused,
                "last_refusal": joined.last_refusal,
                "waiting": ident in self.channel.queue,
                "owed": ident in self.channel.deferred,
                "lines": {ADVICE: holding.lines.get(ADVICE, {})}
                if joined.rate is None
                else {name: holding.lines_of(k) for k, name in enumerate(self.op_type_names)},
                "levels": {name: holding.level_of(k) for k, name in enumerate(self.op_type_names)},
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
                "most_waiting": self.channel.max_waiting,
                "owed": len(self.channel.deferred),
                "sent_lines": self.channel.sent_lines,
                "sent_messages": self.channel.sent_messages,
            },
            "latencies": self.latencies.view(),
            "order_to_answer_ms": {
                "count": self.order_to_answer.get_total_count(),
                **{
                    f"p{p:g}": self.order_to_answer.get_value_at_percentile(p) / 1000
                    for p in (50, 99, 99.9, 100)
                },
            },
        }
