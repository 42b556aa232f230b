"""An append-only history of what proxies are meant to hold, and the record of what each is known to hold.

A version is the state of the whole fleet: proxy -> table. Versions share what did not change (the fleet is a
persistent hash trie), so that a version costs only its changes. A table is what one proxy is meant to hold:
server -> weight, with a hash of the content that the receiver checks.
"""

from collections import OrderedDict, deque
from hashlib import blake2b

from immutables import Map

from foxstep.tables.version import Version, epoch_after

WEIGHT_UNIT = 1000  # weights are hashed, and written, as whole thousandths
MAX_IN_FLIGHT = 64  # tables sent to one proxy and not yet answered that are remembered


def thousandths(weight):
    return max(1, round(weight * WEIGHT_UNIT))


def content_hash(lines):
    """BLAKE2b, 16 bytes as hex, over "server weight\\n" in order of servers; weights in whole thousandths."""
    digest = blake2b(digest_size=16)
    for server in sorted(lines):
        digest.update(f"{server} {thousandths(lines[server])}\n".encode())
    return digest.hexdigest()


class Table:
    """What one proxy is meant to hold as of a version.

    `rolled_back_to`: the version that the proxy was rolled back to, or None.
    """

    __slots__ = ("version", "lines", "rolled_back_to", "_hash")

    def __init__(self, version, lines, rolled_back_to=None):
        self.version, self.lines, self.rolled_back_to, self._hash = version, lines, rolled_back_to, None

    def name(self):
        """The name that is written to proxies: the version, and the one that it was rolled back to."""
        return f"{self.version}@{self.rolled_back_to}" if self.rolled_back_to else str(self.version)

    @property
    def hash(self):
        if self._hash is None:
            self._hash = content_hash(self.lines)
        return self._hash

    def changes_to(self, lines):
        """server -> weight that turns this table into `lines`; 0 removes the line."""
        changed = {s: 0 for s in self.lines if s not in lines}
        changed.update((s, w) for s, w in lines.items() if self.lines.get(s) != w)
        return changed


def changed_fleet(fleet, changed):
    """A fleet (proxy -> Table) with the changes of an entry applied; None removes a proxy."""
    with fleet.mutate() as mutation:
        for proxy, table in changed.items():
            if table is None:
                mutation.pop(proxy, None)
            else:
                mutation[proxy] = table
        return mutation.finish()


class Entry:
    """One version: the fleet's tables, and those that changed in it."""

    __slots__ = ("version", "at", "cause", "fleet", "changed", "detached")

    def __init__(self, version, at, cause, fleet, changed):
        self.version, self.at, self.cause, self.fleet, self.changed = version, at, cause, fleet, changed
        self.detached = False  # made by an operator: the next entry does not build on it


class Holder:
    """What one proxy is known to hold, and what was sent to it and not yet answered."""

    def __init__(self):
        self.held = None  # the version that it accepted last, or reported when it joined
        self.joined = False
        self.in_flight = deque(maxlen=MAX_IN_FLIGHT)  # (version, sent at), oldest first
        self.refused = None  # the version that it refused last, until it accepts that or a later one
        self.reason = ""
        self.lost = self.unexpected = 0  # tables lost with a stream; answers to tables that were not sent


class Ledger:
    """The history of versions, and what each proxy is known to hold.

    `keep`: versions in the history, in addition to retained ones. `me`: number of this controller.
    """

    def __init__(self, epoch, keep=1000, me=0):
        self.epoch, self.keep, self.me, self.count = epoch, keep, me, 0
        self.entries = OrderedDict()  # Version -> Entry, oldest first
        self.fleet = Map()  # proxy -> Table, the newest
        self.holders = {}
        self.retained = {}  # versions that are not dropped from the history; an ordered set

    # -- history

    def commit(self, now, cause, tables, rolled_back_to=None):
        """Adds a version in which some proxies are meant to hold other lines.

        `tables`: proxy -> lines, or None if the proxy is gone for good. `rolled_back_to`: proxy -> the
        version that this one rolls it back to. Returns the version, or None if nothing changed.
        """
        changed = {}
        for proxy, lines in tables.items():
            known = self.fleet.get(proxy)
            if lines is None:
                if known is not None:
                    changed[proxy] = None
            elif (
                known is None
                or known.lines != lines
                or known.rolled_back_to != (rolled_back_to or {}).get(proxy)
            ):
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
                    proxy: lines
                    if lines is None
                    else Table(version, lines, (rolled_back_to or {}).get(proxy))
                    for proxy, lines in changed.items()
                },
            )
        )
        return version

    def append(self, entry):
        """Adds an entry with its changes, made by `commit` or read from a store, and drops the oldest."""
        self.fleet = entry.fleet = changed_fleet(self.fleet, entry.changed)
        self.entries[entry.version] = entry
        if entry.version.epoch == self.epoch:
            self.count = max(self.count, entry.version.count)
        for version in list(self.entries)[: max(0, len(self.entries) - self.keep - len(self.retained))]:
            if version not in self.retained:
                del self.entries[version]

    def newest(self):
        return next(reversed(self.entries), None)

    def table(self, proxy, version=None):
        """What a proxy was meant to hold as of a version (by default the newest), or None.

        Raises KeyError if the version is not in the history.
        """
        fleet = self.fleet if version is None else self.entries[version].fleet
        return fleet.get(proxy)

    def raise_epoch_above(self, seen):
        """Raises the epoch above that of a version that a proxy holds; returns whether it had to be raised.

        Such a version was made by another controller, or by a previous process whose store was lost.
        """
        if seen.epoch > self.epoch:
            self.epoch = epoch_after(seen.epoch, self.me)
            self.count = 0
            return True
        return False

    # -- holders

    def holder(self, proxy):
        return self.holders.setdefault(proxy, Holder())

    def joined(self, proxy, held=None):
        """A stream is up; `held` is the version that the proxy reports, if any.

        Returns whether that is the version that it is meant to hold.
        """
        holder = self.holder(proxy)
        self.discard_in_flight(holder)
        holder.joined, holder.refused, holder.reason = True, None, ""
        holder.held = held
        if held is not None:
            self.raise_epoch_above(held)
        table = self.fleet.get(proxy)
        return table is not None and held == table.version

    def discard_in_flight(self, holder):
        holder.lost += len(holder.in_flight)
        holder.in_flight.clear()

    def left(self, proxy):
        """The proxy's stream broke: unanswered tables are lost, and it goes on with what it holds."""
        holder = self.holder(proxy)
        self.discard_in_flight(holder)
        holder.joined = False

    def sent(self, now, proxy, version):
        self.holder(proxy).in_flight.append((version, now))

    def accepted(self, proxy, version):
        """Returns whether this changed anything: late, duplicate and unknown answers do not."""
        holder = self.holder(proxy)
        in_flight = [v for v, _ in holder.in_flight]
        if version not in in_flight:
            holder.unexpected += 1
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
            holder.unexpected += 1
            return False
        while holder.in_flight and holder.in_flight.popleft()[0] != version:
            pass
        holder.refused, holder.reason = version, reason[:300]
        return True

    def proxies_behind(self):
        """Joined proxies that do not hold what they are meant to hold, in order."""
        return [
            p
            for p, h in self.holders.items()
            if h.joined and p in self.fleet and h.held != self.fleet[p].version
        ]
