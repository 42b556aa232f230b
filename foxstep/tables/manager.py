"""Computes the messages of each batch from the module's orders, pins, advice and the history.

No I/O, no clock. The orders of the decision module are the ordinary tables. A proxy that a rollback holds is
meant to hold its pinned table, restricted to the servers that the module permits now (`compose`). Every
change of what proxies are meant to hold is a version.
"""

from zlib import crc32

from foxstep.advice.advisor import Advisor, split_line_name
from foxstep.advice.weights import member_values
from foxstep.live.desired_state import Message
from foxstep.tables.compose import compose
from foxstep.tables.evidence import Evidence
from foxstep.tables.ledger import Ledger
from foxstep.tables.rollback import RUNNING, Rollbacks, convergence_bound
from foxstep.tables.version import Version

HOLDERS_PER_PROXY = 8  # proxies remembered for each one that the site states
MIN_HOLDERS = 64  # lower limit of the number of proxies remembered

ADVICE = "advice"  # the table of an advised balancer; its lines are named by group and server


class OrderError(ValueError):
    """An operator's order that cannot be carried out; the message is one line."""


class TableManager:
    """Applies pins, rollbacks and advice to the orders of the decision module, and keeps the history.

    `site`: the plain settings. `keep`: versions in the history.
    """

    def __init__(self, site, epoch, keep=1000):
        self.site = site
        self.transit = site["transit_most"]
        self.lag = self.transit + 2 * site["cycle"]
        self.ledger, self.rollbacks = Ledger(epoch, keep, site["me"]), Rollbacks()
        self.evidence, self.advice = Evidence(self.lag), Advisor(site)
        self.standing = {}  # `server_weights()` of the decision module as of the last batch
        self.resend = {}  # advised balancers that are to be sent all their lines; an ordered set
        self.allowed, self.recompute = {}, {}  # as of the last batch; proxies to recompute, an ordered set
        # `forgotten`: proxies that the next version leaves out unless they are back; an ordered set
        self.max_holders, self.forgotten = max(MIN_HOLDERS, HOLDERS_PER_PROXY * site["proxies"]), {}
        self.on_entry = self.on_rollback = lambda _: None  # callbacks of the store

    def wave_timeout(self):
        """Microseconds that a wave has for its answers: a round trip and all that may wait in the channel."""
        return (
            2 * self.transit
            + self.site["cycle"]
            + round(self.site["backlog"] / self.site["lines_per_s"] * 1_000_000)
        )

    def restore(self, entries, rollbacks, holders):
        """Takes over what a store kept of previous processes: entries with their fleets, oldest first."""
        ledger = self.ledger
        for entry in entries[-ledger.keep :]:
            ledger.entries[entry.version] = entry
            ledger.fleet = entry.fleet
        for proxy, version in holders.items():
            ledger.holder(proxy).held = version
        self.rollbacks.all = list(rollbacks)
        self.rollbacks.count = max((r.number for r in rollbacks), default=0)
        for rollback in self.rollbacks.all:
            if self.rollbacks.is_effective(rollback):
                ledger.retained[rollback.version] = None
            rollback.wave_at = 0

    def left(self, proxy):
        """A stream broke.

        Beyond the maximum number of holders, the proxies that have been away for longest are forgotten, so
        that proxies under ever new names do not fill the memory. The drawback: if such a proxy does come
        back, what it held is not known.
        """
        self.ledger.left(proxy)
        self.advice.left(proxy)
        self.resend.pop(proxy, None)
        self.ledger.holders[proxy] = self.ledger.holders.pop(proxy)  # moved to the end of the order
        while len(self.ledger.holders) > self.max_holders:
            away = next((p for p, h in self.ledger.holders.items() if not h.joined), None)
            if away is None:
                break
            del self.ledger.holders[away]
            self.forgotten[away] = None

    def enroll(self, proxy, groups):
        """An advised balancer names its groups; all that it is to hold is sent again."""
        self.advice.set_groups(proxy, groups)
        self.resend[proxy] = True

    # -- the batch

    def shape(self, now, messages, desired, zones, allowed, cause, standing=None, waiting=0):
        """The messages to send for a batch of orders.

        These are the module's own, restricted for pinned proxies, and those that pins and advice add.
        `zones`: proxy -> zone of the joined ones. `allowed`: server -> fraction of its usual weight that it
        may have now. `standing`: `server_weights()` of the decision module. `waiting`: lines that wait in the
        channel, these messages included.
        """
        zones = {
            p: z
            for p, z in zones.items()
            if p not in self.advice.balancers or self.advice.balancers[p].groups
        }
        self.standing = standing or {}
        self.recompute.update(dict.fromkeys(self.advice.due(now, self.standing, waiting)))
        self.recompute.update(dict.fromkeys(self.rollbacks.advance(now, zones, self.settled)))
        for rollback in self.rollbacks.all:
            if rollback.state != rollback.stored_state:
                rollback.stored_state = rollback.state
                self.on_rollback(rollback)
        by_proxy = {m.proxy: m for m in messages}
        if self.rollbacks.active() and allowed != self.allowed:
            self.recompute.update(dict.fromkeys(p for p in zones if self.rollbacks.rollback_of(p, zones[p])))
        self.allowed = allowed
        targets, rolled_back_to = {}, {}
        for proxy in {**by_proxy, **self.recompute}:
            lines = self.target_lines(proxy, desired, zones.get(proxy, ""), rolled_back_to)
            if lines is not None:
                targets[proxy] = lines
        self.recompute = {}
        before = {proxy: self.ledger.table(proxy) for proxy in targets}
        forgotten, self.forgotten = {p: None for p in self.forgotten if p not in targets}, {}
        version = self.ledger.commit(now, cause, {**targets, **forgotten}, rolled_back_to)
        if version:
            self.evidence.record_version(now, version)
            self.on_entry(self.ledger.entries[version])
        return self.outgoing(now, by_proxy, targets, before, desired)

    def target_lines(self, proxy, desired, zone, rolled_back_to):
        """The lines that a proxy is to hold, or None if it has no table of its own yet.

        If a rollback holds the proxy, its version is entered into `rolled_back_to`.
        """
        if proxy in self.advice.balancers:
            return self.advised_lines(proxy, zone, rolled_back_to)
        tables = desired.bindings.get(proxy)
        if not tables or tables[0] is None or len(set(tables)) > 1:
            return None
        ordinary = desired.lines.get(tables[0], {})
        rollback = self.rollbacks.rollback_of(proxy, zone)
        pinned = rollback and self.pinned_table(proxy, rollback.version)
        if not pinned:
            return dict(ordinary)
        rolled_back_to[proxy] = rollback.version
        return compose(pinned.lines, ordinary, self.allowed)

    def advised_lines(self, proxy, zone, rolled_back_to):
        """The lines that an advised balancer is to hold: those of the advice, unless it is pinned."""
        balancer = self.advice.balancers[proxy]
        if not balancer.lines:
            return None
        ordinary = {name: weight for name, weight in balancer.lines.items() if weight}
        rollback = self.rollbacks.rollback_of(proxy, zone)
        pinned = (
            rollback
            and rollback.version in self.ledger.entries
            and self.ledger.table(proxy, rollback.version)
        )
        if not pinned:
            return ordinary
        rolled_back_to[proxy] = rollback.version
        values_by_line = {
            name: member_values(self.standing, split_line_name(name)[1]) for name in balancer.lines
        }
        pinned_lines = {name: weight for name, weight in pinned.lines.items() if name in balancer.lines}
        return compose(pinned_lines, ordinary, {n: v[0] / v[1] for n, v in values_by_line.items() if v})

    def pinned_table(self, proxy, version):
        """A proxy's table in a version; a proxy that the version does not know gets that of another one."""
        entry = self.ledger.entries.get(version)
        if entry is None or not entry.fleet:
            return None
        if proxy in entry.fleet:
            return entry.fleet[proxy]
        others = [
            p for p, table in entry.fleet.items() if not any(split_line_name(name)[1] for name in table.lines)
        ]
        chosen = min(others, key=lambda other: (crc32(f"{proxy} {other}".encode()), other), default=None)
        return chosen and entry.fleet[chosen]

    def outgoing(self, now, by_proxy, targets, before, desired):
        """The messages that bring proxies from the tables `before` to their target lines.

        `by_proxy`: proxy -> the module's message of this batch; others are passed on unchanged.
        """
        messages = []
        for proxy, lines in targets.items():
            message, known = by_proxy.get(proxy), before[proxy]
            table = self.ledger.table(proxy)
            is_advised = proxy in self.advice.balancers
            name = ADVICE if is_advised else desired.bindings[proxy][0]
            if message is None:
                message = Message(proxy, now, desired.head)
            if self.resend.pop(proxy, False):  # lines without a weight are sent too
                message.whole, lines = True, {**dict.fromkeys(self.advice.balancers[proxy].lines, 0), **lines}
            pinned = table.rolled_back_to is not None or (
                known is not None and known.rolled_back_to is not None
            )
            if message.whole:
                message.lines = {(name, s): w for s, w in lines.items()}
            elif pinned or is_advised:
                changes = known.changes_to(table.lines) if known else lines
                message.lines = {(name, s): w for s, w in changes.items()}
            renamed = known is None or table.version != known.version
            message.target_table = table if renamed or message.whole else None
            if message.cost > message.head or renamed:  # a new version alone is sent too: it costs the head
                messages.append(message)
        return messages + [m for p, m in by_proxy.items() if p not in targets]

    # -- rollbacks

    def settled(self, proxy, rollback):
        """Whether a proxy holds what a rollback ordered: "yes", "no", or why it refused."""
        holder, table = self.ledger.holder(proxy), self.ledger.table(proxy)
        if proxy in self.recompute or table is None:
            return "no"
        if holder.held == table.version:
            return "yes"
        return f"refused: {holder.reason}" if holder.refused == table.version else "no"

    def find(self, name):
        """A version by its number or "last-good". Raises OrderError."""
        if name == "last-good":
            found = self.evidence.last_good(self.ledger.entries)
            if found is None:
                raise OrderError("no version has been good for long enough yet: name one")
            return found
        try:
            found = Version.parse(name)
        except ValueError as error:
            raise OrderError(str(error)) from None
        if found not in self.ledger.entries:
            oldest, newest = next(iter(self.ledger.entries), None), self.ledger.newest()
            raise OrderError(f"no version {found} in the history ({oldest} to {newest})")
        return found

    def check_scope(self, scope, zones):
        """Raises OrderError unless the scope is well-formed and names a zone or proxy that is known."""
        kind, _, name = scope.partition(" ")
        if kind == "fleet" and not name:
            return
        if kind == "zone" and name in self.site["zones"]:
            return
        if kind == "proxy" and (name in zones or name in self.ledger.fleet):
            return
        raise OrderError(f'expected "fleet", "zone NAME" or "proxy ID" that is known, got {scope!r}')

    def roll_back(self, now, scope, name, zones, at_once=False):
        """Orders a rollback (`at_once`: a pin).

        Returns it and the bound of its convergence in microseconds. Raises OrderError.
        """
        self.check_scope(scope, zones)
        version = self.find(name)
        rollback = self.rollbacks.order(now, scope, version, self.wave_timeout(), at_once)
        self.ledger.retained[version] = None
        if at_once:
            rollback.stored_state = RUNNING
        self.on_rollback(rollback)
        return rollback, self.convergence_bound(rollback, zones)

    def put(self, now, scope, lines, zones):
        """Adds an operator's table as a version of its own and pins the scope to it. Raises OrderError."""
        self.check_scope(scope, zones)
        unknown = [s for s in lines if s not in self.allowed]
        if unknown or not lines:
            raise OrderError(
                f"no such server may be picked now: {', '.join(unknown[:3])}"
                if unknown
                else "a table of no line"
            )
        if any(not 0 < weight < 1e6 for weight in lines.values()):
            raise OrderError("expected weights above 0")
        kind, _, name = scope.partition(" ")
        covered = [p for p, z in zones.items() if kind == "fleet" or name == (z if kind == "zone" else p)]
        fleet = self.ledger.fleet
        version = self.ledger.commit(now, "by hand", {p: dict(lines) for p in covered})
        if version is None:
            raise OrderError("no proxy to hold it")
        self.ledger.entries[version].detached = True
        self.on_entry(self.ledger.entries[version])
        # It is in the history, but no proxy is meant to hold it until it is pinned, restricted like any pin.
        self.ledger.fleet = fleet
        return self.roll_back(now, scope, str(version), zones, at_once=True)

    def release(self, scope, zones):
        """Unpins a scope; returns how many rollbacks ended."""
        ended = self.rollbacks.release(scope)
        for rollback in ended:
            rollback.successor = None
            self.on_rollback(rollback)
            self.recompute.update(dict.fromkeys(p for p, z in zones.items() if rollback.covers(p, z)))
        self.forget_retained()
        return len(ended)

    def forget_retained(self):
        wanted = {r.version for r in self.rollbacks.all if self.rollbacks.is_effective(r)}
        self.ledger.retained = {v: None for v in self.ledger.retained if v in wanted}

    def convergence_bound(self, rollback, zones):
        covered = [p for p, z in zones.items() if rollback.covers(p, z)]
        max_lines = max(
            (len(t.lines) for p in covered if (t := self.pinned_table(p, rollback.version))), default=0
        )
        return convergence_bound(
            len(covered),
            max_lines,
            self.site["head"],
            self.site["lines_per_s"],
            self.transit,
            self.site["cycle"] // 5,
        )

    def has_running_rollback(self):
        """Whether a rollback is running or a proxy is to be recomputed; the host then checks again soon."""
        return bool(self.recompute) or any(r.state == RUNNING for r in self.rollbacks.all)

    # -- inspection, as plain values

    def history(self, max_versions=20):
        """The newest versions, oldest first."""
        verdicts = {interval.last: verdict for interval, verdict in self.evidence.verdicts()}
        return [
            {
                "version": str(e.version),
                "at": e.at,
                "cause": e.cause,
                "changed": len(e.changed),
                "proxies": len(e.fleet),
                "judged": verdicts.get(e.version, ""),
                "kept": e.version in self.ledger.retained,
            }
            for e in list(self.ledger.entries.values())[-max_versions:]
        ]

    def holders(self, zones):
        """proxy -> what it holds and what it is meant to hold. `zones`: proxy -> zone of the joined ones."""
        holders = {}
        for proxy, holder in self.ledger.holders.items():
            table = self.ledger.table(proxy)
            rollback = self.rollbacks.rollback_of(proxy, zones.get(proxy, ""))
            holders[proxy] = {
                "joined": holder.joined,
                "holds": str(holder.held) if holder.held else "",
                "meant": str(table.version) if table else "",
                "hash": table.hash if table else "",
                "rolled_back_to": str(table.rolled_back_to) if table and table.rolled_back_to else "",
                "pin": rollback.number if rollback else 0,
                "in_flight": [str(v) for v, _ in holder.in_flight],
                "lost": holder.lost,
                "odd": holder.unexpected,
                "refused": f"{holder.refused}: {holder.reason}" if holder.refused else "",
            }
        return holders

    def progress(self, zones):
        """The last 20 rollbacks and how far each has come, oldest first."""
        rollbacks = []
        for r in self.rollbacks.all[-20:]:
            reached = [p for p in r.reached if p in zones]
            rollbacks.append(
                {
                    "number": r.number,
                    "scope": r.scope,
                    "version": str(r.version),
                    "state": r.state,
                    "why": r.reason,
                    "reached": len(r.reached),
                    "covered": sum(r.covers(p, z) for p, z in zones.items()),
                    "settled": sum(self.settled(p, r) == "yes" for p in reached),
                    "failed": dict(list(r.failed.items())[:5]),
                }
            )
        return rollbacks

    def difference(self, old, new):
        """proxy -> {server: (old weight, new weight)} of lines that differ; 0 where there is no line."""
        old_fleet, new_fleet = (self.ledger.entries[v].fleet for v in (self.find(old), self.find(new)))
        differences = {}
        for proxy in sorted({*old_fleet, *new_fleet}):
            a, b = (f[proxy].lines if proxy in f else {} for f in (old_fleet, new_fleet))
            changed = {s: (a.get(s, 0), b.get(s, 0)) for s in sorted({*a, *b}) if a.get(s) != b.get(s)}
            if changed:
                differences[proxy] = changed
        return differences
