"""Where the module's orders, pins and the history meet: shapes each batch's messages. No I/O, no clock.

The module's orders stay the ordinary tables. A proxy that a rollback holds is meant to hold its pinned table
as the module's word of the servers cuts it (`compose`). Every change of what proxies are meant to hold is a
version.
"""

from zlib import crc32

from foxstep.advice.advisor import Advisor, split_line_name
from foxstep.advice.weights import member_values
from foxstep.live.book import Message
from foxstep.tables.compose import compose
from foxstep.tables.evidence import Evidence
from foxstep.tables.ledger import Ledger
from foxstep.tables.rollback import RUNNING, Rollbacks, bound
from foxstep.tables.version import Version

HOLDERS, LEAST_HOLDERS = 8, 64  # holders remembered for each proxy that the site states, and at least


ADVICE = "advice"  # the table of one that is advised; its lines are named by group and server


class Unknown(ValueError):
    """An operator's order that cannot be carried out, in one line."""


class Desk:
    """`site`: the plain settings. `wait`: microseconds that a wave of a rollback has for its answers."""

    def __init__(self, site, epoch, keep=1000):
        self.site = site
        self.transit = site["transit_most"]
        self.lag = self.transit + 2 * site["cycle"]
        self.ledger, self.rollbacks = Ledger(epoch, keep, site["me"]), Rollbacks()
        self.evidence, self.advice = Evidence(self.lag), Advisor(site)
        self.standing = {}  # the module's word of the servers, as last told
        self.anew = {}  # advised ones that are to be told all, as a set in order
        self.allowed, self.fresh = {}, {}  # as last told; proxies to be shaped anew, as a set in order
        self.most, self.gone = max(LEAST_HOLDERS, HOLDERS * site["proxies"]), {}
        self.on_entry = self.on_rollback = lambda _: None  # the store's doors

    def wait(self):
        """What a wave has for its answers: the ways there and back and all that may stand before it."""
        return (
            2 * self.transit
            + self.site["cycle"]
            + round(self.site["backlog"] / self.site["lines_per_s"] * 1_000_000)
        )

    def restore(self, entries, rollbacks, holders):
        """What a store kept of former lives: entries with their fleets, oldest first."""
        ledger = self.ledger
        for entry in entries[-ledger.keep :]:
            ledger.entries[entry.version] = entry
            ledger.fleet = entry.fleet
        for proxy, version in holders.items():
            ledger.holder(proxy).held = version
        self.rollbacks.all = list(rollbacks)
        self.rollbacks.count = max((r.number for r in rollbacks), default=0)
        for rollback in self.rollbacks.all:
            if self.rollbacks.alive(rollback):
                ledger.kept[rollback.version] = None
            rollback.wave_at = 0

    def left(self, proxy):
        """A stream broke. Guards against proxies under ever new names: beyond so many holders those that
        have been away for longest are forgotten. Harm: what such a one held is not known when it is back
        after all."""
        self.ledger.left(proxy)
        self.advice.left(proxy)
        self.anew.pop(proxy, None)
        self.ledger.holders[proxy] = self.ledger.holders.pop(proxy)  # the last to go
        while len(self.ledger.holders) > self.most:
            away = next((p for p, h in self.ledger.holders.items() if not h.joined), None)
            if away is None:
                break
            del self.ledger.holders[away]
            self.gone[away] = None

    def enroll(self, proxy, groups):
        """One that is advised names its groups; all that it is to hold goes out anew."""
        self.advice.set_groups(proxy, groups)
        self.anew[proxy] = True

    # -- the batch

    def shape(self, now, messages, book, zones, allowed, cause, standing=None, waiting=0):
        """The messages that go out for a batch of orders: the module's own, cut for proxies that are pinned,
        those that a pin alone brings, and advice. `zones`: proxy -> zone of the joined ones; `standing` as
        the module tells it; `waiting`: lines that wait in the channel, these messages included."""
        zones = {
            p: z
            for p, z in zones.items()
            if p not in self.advice.balancers or self.advice.balancers[p].groups
        }
        self.standing = standing or {}
        self.fresh.update(dict.fromkeys(self.advice.due(now, self.standing, waiting)))
        self.fresh.update(dict.fromkeys(self.rollbacks.advance(now, zones, self.settled)))
        for rollback in self.rollbacks.all:
            if rollback.state != rollback.told:
                rollback.told = rollback.state
                self.on_rollback(rollback)
        by_proxy = {m.proxy: m for m in messages}
        if self.rollbacks.active() and allowed != self.allowed:
            self.fresh.update(dict.fromkeys(p for p in zones if self.rollbacks.of(p, zones[p])))
        self.allowed = allowed
        meant, of = {}, {}
        for proxy in {**by_proxy, **self.fresh}:
            lines = self.meant(proxy, book, zones.get(proxy, ""), of)
            if lines is not None:
                meant[proxy] = lines
        self.fresh = {}
        before = {proxy: self.ledger.table(proxy) for proxy in meant}
        forgotten, self.gone = {p: None for p in self.gone if p not in meant}, {}
        version = self.ledger.commit(now, cause, {**meant, **forgotten}, of)
        if version:
            self.evidence.ordered_now(now, version)
            self.on_entry(self.ledger.entries[version])
        return self.written(now, by_proxy, meant, before, book)

    def meant(self, proxy, book, zone, of):
        """The lines that a proxy is to hold, or None where it has no table of its own yet."""
        if proxy in self.advice.balancers:
            return self.advised(proxy, zone, of)
        tables = book.bound.get(proxy)
        if not tables or tables[0] is None or len(set(tables)) > 1:
            return None
        ordinary = book.lines.get(tables[0], {})
        held = self.rollbacks.of(proxy, zone)
        pinned = held and self.pinned(proxy, held.version)
        if not pinned:
            return dict(ordinary)
        of[proxy] = held.version
        return compose(pinned.lines, ordinary, self.allowed)

    def advised(self, proxy, zone, of):
        """The same of one that is advised: its roll's lines, where nothing pins it."""
        roll = self.advice.balancers[proxy]
        if not roll.lines:
            return None
        ordinary = {name: weight for name, weight in roll.lines.items() if weight}
        held = self.rollbacks.of(proxy, zone)
        pinned = held and held.version in self.ledger.entries and self.ledger.table(proxy, held.version)
        if not pinned:
            return ordinary
        of[proxy] = held.version
        now = {name: member_values(self.standing, split_line_name(name)[1]) for name in roll.lines}
        named = {name: weight for name, weight in pinned.lines.items() if name in roll.lines}
        return compose(named, ordinary, {n: told[0] / told[1] for n, told in now.items() if told})

    def pinned(self, proxy, version):
        """A proxy's table in a version; one that the version does not know gets that of a proxy it knows."""
        entry = self.ledger.entries.get(version)
        if entry is None or not entry.fleet:
            return None
        if proxy in entry.fleet:
            return entry.fleet[proxy]
        others = [
            p for p, table in entry.fleet.items() if not any(split_line_name(name)[1] for name in table.lines)
        ]
        near = min(others, key=lambda other: (crc32(f"{proxy} {other}".encode()), other), default=None)
        return near and entry.fleet[near]

    def written(self, now, by_proxy, meant, before, book):
        out = []
        for proxy, lines in meant.items():
            message, known = by_proxy.get(proxy), before[proxy]
            table = self.ledger.table(proxy)
            advised = proxy in self.advice.balancers
            name = ADVICE if advised else book.bound[proxy][0]
            if message is None:
                message = Message(proxy, now, book.head)
            if self.anew.pop(proxy, False):  # those without a weight are told too
                message.whole, lines = True, {**dict.fromkeys(self.advice.balancers[proxy].lines, 0), **lines}
            pinned = table.of is not None or (known is not None and known.of is not None)
            if message.whole:
                message.lines = {(name, s): w for s, w in lines.items()}
            elif pinned or advised:
                changes = known.changes_to(table.lines) if known else lines
                message.lines = {(name, s): w for s, w in changes.items()}
            renamed = known is None or table.version != known.version
            message.meant = table if renamed or message.whole else None
            if message.cost > message.head or renamed:  # a new name alone is told too: it costs a head
                out.append(message)
        return out + [m for p, m in by_proxy.items() if p not in meant]

    # -- rollbacks

    def settled(self, proxy, rollback):
        """ "yes", "no", or why a proxy does not hold what a rollback ordered."""
        holder, table = self.ledger.holder(proxy), self.ledger.table(proxy)
        if proxy in self.fresh or table is None:
            return "no"
        if holder.held == table.version:
            return "yes"
        return f"refused: {holder.reason}" if holder.refused == table.version else "no"

    def find(self, name):
        """A version by its name or "last-good". Raises Unknown."""
        if name == "last-good":
            found = self.evidence.last_good(self.ledger.entries)
            if found is None:
                raise Unknown("no version has been good for long enough yet: name one")
            return found
        try:
            found = Version.read(name)
        except ValueError as error:
            raise Unknown(str(error)) from None
        if found not in self.ledger.entries:
            oldest, newest = next(iter(self.ledger.entries), None), self.ledger.newest()
            raise Unknown(f"no version {found} in the history ({oldest} to {newest})")
        return found

    def check_scope(self, scope, zones):
        kind, _, name = scope.partition(" ")
        if kind == "fleet" and not name:
            return
        if kind == "zone" and name in self.site["zones"]:
            return
        if kind == "proxy" and (name in zones or name in self.ledger.fleet):
            return
        raise Unknown(f'expected "fleet", "zone NAME" or "proxy ID" that is known, got {scope!r}')

    def roll_back(self, now, scope, name, zones, at_once=False):
        """Orders a rollback (at once: a pin). Answers it and the bound of its convergence, microseconds."""
        self.check_scope(scope, zones)
        version = self.find(name)
        made = self.rollbacks.order(now, scope, version, self.wait(), at_once)
        self.ledger.kept[version] = None
        if at_once:
            made.told = RUNNING
        self.on_rollback(made)
        return made, self.bound(made, zones)

    def put(self, now, scope, lines, zones):
        """A table made by hand, as a version of its own that its scope is then held to. Raises Unknown."""
        self.check_scope(scope, zones)
        unknown = [s for s in lines if s not in self.allowed]
        if unknown or not lines:
            raise Unknown(
                f"no such server may be picked now: {', '.join(unknown[:3])}"
                if unknown
                else "a table of no line"
            )
        if any(not 0 < weight < 1e6 for weight in lines.values()):
            raise Unknown("expected weights above 0")
        kind, _, name = scope.partition(" ")
        covered = [p for p, z in zones.items() if kind == "fleet" or name == (z if kind == "zone" else p)]
        fleet = self.ledger.fleet
        version = self.ledger.commit(now, "by hand", {p: dict(lines) for p in covered})
        if version is None:
            raise Unknown("no proxy to hold it")
        self.ledger.entries[version].aside = True
        self.on_entry(self.ledger.entries[version])
        # It is in the history, but nobody is meant to hold it before the pin says so, cut as any other.
        self.ledger.fleet = fleet
        return self.roll_back(now, scope, str(version), zones, at_once=True)

    def release(self, scope, zones):
        """Unpins; answers how many rollbacks ended."""
        ended = self.rollbacks.release(scope)
        for rollback in ended:
            rollback.heir = None
            self.on_rollback(rollback)
            self.fresh.update(dict.fromkeys(p for p, z in zones.items() if rollback.covers(p, z)))
        self.forget_kept()
        return len(ended)

    def forget_kept(self):
        wanted = {r.version for r in self.rollbacks.all if self.rollbacks.alive(r)}
        self.ledger.kept = {v: None for v in self.ledger.kept if v in wanted}

    def bound(self, rollback, zones):
        covered = [p for p, z in zones.items() if rollback.covers(p, z)]
        longest = max((len(t.lines) for p in covered if (t := self.pinned(p, rollback.version))), default=0)
        return bound(
            len(covered),
            longest,
            self.site["head"],
            self.site["lines_per_s"],
            self.transit,
            self.site["cycle"] // 5,
        )

    def busy(self):
        """Whether a rollback still moves, so that the host looks again soon."""
        return bool(self.fresh) or any(r.state == RUNNING for r in self.rollbacks.all)

    # -- what an operator sees, as plain values

    def history(self, most=20):
        judged = {s.last: verdict for s, verdict in self.evidence.judged()}
        return [
            {
                "version": str(e.version),
                "at": e.at,
                "cause": e.cause,
                "changed": len(e.changed),
                "proxies": len(e.fleet),
                "judged": judged.get(e.version, ""),
                "kept": e.version in self.ledger.kept,
            }
            for e in list(self.ledger.entries.values())[-most:]
        ]

    def holders(self, zones):
        out = {}
        for proxy, holder in self.ledger.holders.items():
            table = self.ledger.table(proxy)
            held = self.rollbacks.of(proxy, zones.get(proxy, ""))
            out[proxy] = {
                "joined": holder.joined,
                "holds": str(holder.held) if holder.held else "",
                "meant": str(table.version) if table else "",
                "hash": table.hash if table else "",
                "rolled_back_to": str(table.of) if table and table.of else "",
                "pin": held.number if held else 0,
                "in_flight": [str(v) for v, _ in holder.in_flight],
                "lost": holder.lost,
                "odd": holder.odd,
                "refused": f"{holder.refused}: {holder.reason}" if holder.refused else "",
            }
        return out

    def progress(self, zones):
        out = []
        for r in self.rollbacks.all[-20:]:
            reached = [p for p in r.reached if p in zones]
            out.append(
                {
                    "number": r.number,
                    "scope": r.scope,
                    "version": str(r.version),
                    "state": r.state,
                    "why": r.why,
                    "reached": len(r.reached),
                    "covered": sum(r.covers(p, z) for p, z in zones.items()),
                    "settled": sum(self.settled(p, r) == "yes" for p in reached),
                    "failed": dict(list(r.failed.items())[:5]),
                }
            )
        return out

    def difference(self, old, new):
        """proxy -> {server: (weight, weight)} of what differs; 0 where there is no line."""
        olds, news = (self.ledger.entries[v].fleet for v in (self.find(old), self.find(new)))
        out = {}
        for proxy in sorted({*olds, *news}):
            a, b = (f[proxy].lines if proxy in f else {} for f in (olds, news))
            changed = {s: (a.get(s, 0), b.get(s, 0)) for s in sorted({*a, *b}) if a.get(s) != b.get(s)}
            if changed:
                out[proxy] = changed
        return out
