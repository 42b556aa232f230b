"""An append-only history of what proxies are meant to hold, and of what each is known to hold.

A version is the state of the whole fleet: proxy -> table. Versions share all that did not change (a
persistent hash trie), so one costs what changed in it. A table is what one proxy is meant to hold: server ->
weight, with a hash of its content that the receiver checks.
"""

from collections import OrderedDict, deque
from hashlib import blake2b

from immutables import Map

from foxstep.tables.version import Version, epoch_after

WEIGHT_UNIT = 1000  # weights are hashed, and written, as whole thousandths
IN_FLIGHT = 64  # tables remembered as under way to one proxy


def thousandths(weight):
    return max(1, round(weight * WEIGHT_UNIT))


def content_hash(lines):
    """BLAKE2b, 16 bytes as hex, over "server weight\\n" in order of servers; weights in whole thousandths."""
    made = blake2b(digest_size=16)
    for server in sorted(lines):
        made.update(f"{server} {thousandths(lines[server])}\n".encode())
    return made.hexdigest()


class Table:
    """What one proxy is meant to hold as of a version. `of`: the version that it was rolled back to, or
    None."""

    __slots__ = ("version", "lines", "of", "_hash")

    def __init__(self, version, lines, of=None):
        self.version, self.lines, self.of, self._hash = version, lines, of, None

    def name(self):
        """As written to proxies: the version, and what it was rolled back to."""
        return f"{self.version}@{self.of}" if self.of else str(self.version)

    @property
    def hash(self):
        if self._hash is None:
            self._hash = content_hash(self.lines)
        return self._hash

    def changes_to(self, lines):
        """server -> weight that turns this table into `lines`; 0 removes."""
        changed = {s: 0 for s in self.lines if s not in lines}
        changed.update((s, w) for s, w in lines.items() if self.lines.get(s) != w)
        return changed


def changed_fleet(fleet, changed):
    """A fleet (proxy -> Table) with what an entry changes in it; None takes a proxy out."""
    with fleet.mutate() as made:
        for proxy, table in changed.items():
            if table is None:
                made.pop(proxy, None)
            else:
                made[proxy] = table
        return made.finish()


class Entry:
    """One version: the fleet's tables, and what was changed in it."""

    __slots__ = ("version", "at", "cause", "fleet", "changed", "aside")

    def __init__(self, version, at, cause, fleet, changed):
        self.version, self.at, self.cause, self.fleet, self.changed = version, at, cause, fleet, changed
        self.aside = False  # made by hand: the next entry does not build on it


class Holder:
    """What one proxy is known to hold, and what is under way to it."""

    def __init__(self):
        self.held = None  # version that it accepted last, or told when it joined
        self.joined = False
        self.in_flight = deque(maxlen=IN_FLIGHT)  # (version, at), oldest first
        self.refused = None  # version that it refused last, until it accepts a later one
        self.reason = ""
        self.lost = self.odd = 0  # tables lost with a stream; answers for what was never sent


class Ledger:
    def __init__(self, epoch, keep=1000, me=0):
        self.epoch, self.keep, self.me, self.count = epoch, keep, me, 0
        self.entries = OrderedDict()  # Version -> Entry, oldest first
        self.fleet = Map()  # proxy -> Table, the newest
        self.holders = {}
        self.kept = {}  # versions that retention leaves, as a set in order

    # -- history

    def commit(self, now, cause, tables, of=None):
        """A new version in which some proxies are meant to hold other lines (None: the proxy is gone for
        good); `of` says for which proxies it rolls back, and to what. Answers it, or None if nothing
        changed."""
        changed = {}
        for proxy, lines in tables.items():
            known = self.fleet.get(proxy)
            if lines is None:
                if known is not None:
                    changed[proxy] = None
            elif known is None or known.lines != lines or known.of != (of or {}).get(proxy):
                changed[proxy] = lines if isinstance(lines, Map) else Map(lines)
        if not changed:
            return None
        self.count += 1
        version = Version(self.epoch, self.count)
        self.append(
            Entry(
                version,
                now,
                cause,
                None,
                {
                    proxy: lines if lines is None else Table(version, lines, (of or {}).get(proxy))
                    for proxy, lines in changed.items()
                },
            )
        )
        return version

    def append(self, entry):
        """Takes an entry with its changes in: the door of `commit` and of the store."""
        self.fleet = entry.fleet = changed_fleet(self.fleet, entry.changed)
        self.entries[entry.version] = entry
        if entry.version.epoch == self.epoch:
            self.count = max(self.count, entry.version.count)
        for version in list(self.entries)[: max(0, len(self.entries) - self.keep - len(self.kept))]:
            if version not in self.kept:
                del self.entries[version]

    def newest(self):
        return next(reversed(self.entries), None)

    def table(self, proxy, version=None):
        """What a proxy was meant to hold as of a version (the newest), or None. Raises KeyError for a version
        that is not in the history."""
        fleet = self.fleet if version is None else self.entries[version].fleet
        return fleet.get(proxy)

    def outrank(self, seen):
        """A proxy holds a version of another controller's, or of a life that the store has lost."""
        if seen.epoch > self.epoch:
            self.epoch, self.count = epoch_after(seen.epoch, self.me), 0
            return True
        return False

    # -- holders

    def holder(self, proxy):
        return self.holders.setdefault(proxy, Holder())

    def joined(self, proxy, held=None):
        """A stream is up; the proxy tells what it holds, if it knows. Answers whether that is what it is
        meant to hold."""
        holder = self.holder(proxy)
        self.lose(holder)
        holder.joined, holder.refused, holder.reason = True, None, ""
        holder.held = held
        if held is not None:
            self.outrank(held)
        table = self.fleet.get(proxy)
        return table is not None and held == table.version

    def lose(self, holder):
        holder.lost += len(holder.in_flight)
        holder.in_flight.clear()

    def left(self, proxy):
        """Its stream broke: what was under way is lost, what it held it goes on holding."""
        holder = self.holder(proxy)
        self.lose(holder)
        holder.joined = False

    def sent(self, now, proxy, version):
        self.holder(proxy).in_flight.append((version, now))

    def accepted(self, proxy, version):
        """Answers whether that was news: late, doubled and unheard-of answers change nothing."""
        holder = self.holder(proxy)
        under_way = [v for v, _ in holder.in_flight]
        if version not in under_way:
            holder.odd += 1
            return False
        while holder.in_flight and holder.in_flight.popleft()[0] != version:
            pass
        holder.held = version
        if holder.refused is not None and version >= holder.refused:
            holder.refused, holder.reason = None, ""
        return True

    def refused(self, proxy, version, reason):
        holder = self.holder(proxy)
        if version not in [v for v, _ in holder.in_flight]:
            holder.odd += 1
            return False
        while holder.in_flight and holder.in_flight.popleft()[0] != version:
            pass
        holder.refused, holder.reason = version, reason[:300]
        return True

    def behind(self):
        """Joined proxies that do not hold what they are meant to, in order."""
        return [
            p
            for p, h in self.holders.items()
            if h.joined and p in self.fleet and h.held != self.fleet[p].version
        ]
