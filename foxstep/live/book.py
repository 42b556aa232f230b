"""What was ordered, table by table, and what each proxy holds of it. No I/O and no clock.

The module speaks of tables, bindings, withdrawals and levels (`foxstep/interface.py`); a proxy has one
`Holding`, changed only by `Message`s as they leave the channel. A message's lines are counted as the
operators count them: a changed line, a level, a withdrawal and a mark are a line each, a whole table one
more.
"""

EVERYONE = None  # the table of the levels that hold for all joined proxies


class Message:
    """What one proxy is to be written at one time. Later orders fold into it while it waits."""

    __slots__ = (
        "proxy",
        "ordered_at",
        "first_at",
        "tables",
        "lines",
        "levels",
        "shut",
        "emptied",
        "marks",
        "whole",
        "head",
        "meant",
    )

    def __init__(self, proxy, ordered_at, head):
        self.proxy, self.ordered_at, self.first_at, self.head = proxy, ordered_at, ordered_at, head
        self.tables = {}  # op type's place -> table, where bindings change
        self.lines = {}  # (table, server) -> weight; 0 removes it
        self.levels = {}  # (table, place) -> (quota, tries)
        self.shut = {}  # server -> withdrawn or back
        self.emptied = {}  # tables wiped before these lines, as a set in order
        self.marks = []  # (number, ordered at)
        self.whole = False  # holds all that its proxy is to hold
        self.meant = None  # its proxy's ledger.Table, once it is applied

    @property
    def cost(self):
        """Lines that the channel counts for it."""
        return (
            self.head
            + self.whole
            + len(self.lines)
            + len(self.levels)
            + len(self.shut)
            + len(self.emptied)
            + len(self.marks)
        )

    def fold(self, later):
        """Takes a later message of the same proxy in: what is said twice is said once, the newest way."""
        if later.whole:
            self.tables, self.lines, self.levels = {}, {}, {}
            self.shut, self.emptied, self.whole = {}, {}, True
        for table in later.emptied:
            self.lines = {key: weight for key, weight in self.lines.items() if key[0] != table}
            self.levels = {key: level for key, level in self.levels.items() if key[0] != table}
            self.emptied[table] = None
        self.tables.update(later.tables)
        self.lines.update(later.lines)
        self.levels.update(later.levels)
        self.shut.update(later.shut)
        # An older mark is answered with the newest: it asks for all that was sent before it.
        self.marks = (self.marks + later.marks)[-1:]
        self.ordered_at, self.meant = later.ordered_at, later.meant or self.meant


class Holding:
    """What a proxy holds as written: tables by op type, their lines and levels, servers shut out of all."""

    def __init__(self, places):
        self.tables = [None] * places
        self.lines, self.levels, self.shut = {}, {}, {}
        self.meant = None  # the ledger.Table that its lines are

    def apply(self, message):
        if message.whole:
            self.lines, self.levels, self.shut = {}, {}, {}
        for table in message.emptied:
            self.lines.pop(table, None)
            self.levels.pop(table, None)
        for place, table in message.tables.items():
            self.tables[place] = table
        for (table, server), weight in message.lines.items():
            if weight:
                self.lines.setdefault(table, {})[server] = weight
            else:
                self.lines.get(table, {}).pop(server, None)
        for (table, place), level in message.levels.items():
            self.levels.setdefault(table, {})[place] = level
        for server, out in message.shut.items():
            if out:
                self.shut[server] = None
            else:
                self.shut.pop(server, None)
        self.meant = message.meant or self.meant

    def lines_of(self, place):
        """Server -> weight that may be picked for an op type; None where it is on no table of ours."""
        table = self.tables[place]
        if table is None:
            return None
        return {s: w for s, w in self.lines.get(table, {}).items() if s not in self.shut}

    def level_of(self, place):
        """(quota, tries) for an op type, the lower quota of its table and of everyone; None: never set."""
        own = self.levels.get(self.tables[place], {}).get(place)
        common = self.levels.get(EVERYONE, {}).get(place)
        if own is None or common is None:
            return own or common
        return min(own[0], common[0]), own[1]


class Book:
    """All tables as ordered, who is on which, and the messages that one batch of orders comes to."""

    def __init__(self, places, head):
        self.places, self.head = places, head
        self.lines, self.levels, self.shut = {}, {}, {}
        self.holdings = {}  # proxy -> Holding, as written
        self.bound = {}  # proxy -> table by place, as ordered
        self.batch = {}  # proxy -> Message of the batch under way
        self.out = {}  # proxy -> servers that it is ordered to hold withdrawn
        self.untold = {}  # proxies that were ordered nothing since they joined, as a set in order
        self.on = {}  # table -> proxies on it, as a set in order

    def join(self, proxy):
        """A stream is up: it holds none of our tables, whatever it may still hold of others."""
        self.holdings[proxy] = Holding(self.places)
        self.unbind(proxy)
        self.bound[proxy], self.out[proxy], self.untold[proxy] = [None] * self.places, {}, None
        self.batch.pop(proxy, None)

    def enroll(self, proxy):
        """A stream of one that is advised: no table of the module's is bound to it."""
        self.holdings[proxy] = Holding(self.places)

    def unbind(self, proxy):
        for table in dict.fromkeys(self.bound.get(proxy, ())):
            if table is not None:
                self.on[table].pop(proxy, None)
                if not self.on[table]:
                    del self.on[table]

    def leave(self, proxy):
        self.unbind(proxy)
        for known in (self.holdings, self.bound, self.batch, self.out, self.untold):
            known.pop(proxy, None)

    def message(self, proxy, now):
        if proxy not in self.batch:
            self.batch[proxy] = Message(proxy, now, self.head)
        message = self.batch[proxy]
        if proxy in self.untold:  # levels for everyone ride along with the first that a joiner is told
            del self.untold[proxy]
            message.levels.update(((EVERYONE, k), v) for k, v in self.levels.get(EVERYONE, {}).items())
        return message

    def users(self, table):
        return list(self.on.get(table, ()))

    def places_of(self, mask):
        return [k for k in range(self.places) if not mask or mask >> k & 1]

    def weigh(self, now, table, server, weight):
        lines = self.lines.setdefault(table, {})
        if weight:
            lines[server] = weight
        else:
            lines.pop(server, None)
        for proxy in self.users(table):
            message = self.message(proxy, now)
            message.lines[table, server] = weight
            if weight and server in self.shut and server not in self.out[proxy]:
                message.shut[server] = self.out[proxy][server] = True

    def empty(self, now, table):
        self.lines.pop(table, None)
        self.levels.pop(table, None)
        for proxy in self.users(table):
            emptied = Message(proxy, now, self.head)
            emptied.emptied[table] = None
            self.message(proxy, now).fold(emptied)

    def admit(self, now, table, mask, quota, tries):
        places = self.places_of(mask)
        for place in places:
            self.levels.setdefault(table, {})[place] = (quota, tries)
        users = list(self.bound) if table is EVERYONE else self.users(table)
        for proxy in users:
            for place in places:
                if table is EVERYONE or self.bound[proxy][place] == table:
                    self.message(proxy, now).levels[table, place] = (quota, tries)

    def withdraw(self, now, server, out):
        if out:
            self.shut[server] = None
        else:
            self.shut.pop(server, None)
        for proxy, tables in self.bound.items():
            holds = any(server in self.lines.get(table, {}) for table in tables if table is not None)
            if out and holds:
                self.message(proxy, now).shut[server] = self.out[proxy][server] = True
            elif not out and self.out[proxy].pop(server, False):
                self.message(proxy, now).shut[server] = False

    def bind(self, now, proxy, table, mask):
        """Puts a joined proxy on a table: all that it is then to hold goes out anew."""
        if proxy not in self.bound:
            return
        self.unbind(proxy)
        for place in self.places_of(mask):
            self.bound[proxy][place] = table
        for held in dict.fromkeys(self.bound[proxy]):
            if held is not None:
                self.on.setdefault(held, {})[proxy] = None
        marks = self.batch[proxy].marks if proxy in self.batch else []
        self.batch[proxy] = self.whole(proxy, now)
        self.batch[proxy].marks = marks

    def whole(self, proxy, now):
        """A message with everything that a proxy is to hold as ordered."""
        message, tables = Message(proxy, now, self.head), self.bound[proxy]
        message.whole = True
        message.tables = dict(enumerate(tables))
        for table in dict.fromkeys(t for t in tables if t is not None):
            message.lines.update(((table, s), w) for s, w in self.lines.get(table, {}).items())
            message.levels.update(
                ((table, k), level) for k, level in self.levels.get(table, {}).items() if tables[k] == table
            )
            message.shut.update((s, True) for s in self.shut if s in self.lines.get(table, {}))
        self.out[proxy] = dict(message.shut)
        self.untold.pop(proxy, None)
        message.levels.update(((EVERYONE, k), level) for k, level in self.levels.get(EVERYONE, {}).items())
        return message

    def mark(self, now, number, everyone):
        if everyone:
            for proxy in self.bound:
                self.message(proxy, now)
        for message in self.batch.values():
            message.marks.append((number, now))

    def close_batch(self):
        """The messages of the orders since the last call, in the order of their first lines."""
        batch, self.batch = list(self.batch.values()), {}
        return batch
