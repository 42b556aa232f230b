"""Desired state: the tables as ordered, and what each proxy holds of them. No I/O and no clock.

The decision module orders tables, bindings, withdrawals and levels (`foxstep/interface.py`). Each proxy has
one `Holding`, which only a `Message` that leaves the channel changes. The cost of a message is counted in
lines: a changed table line (one entry of a proxy's weight table), a level (the admission level of an op
type), a withdrawal, an emptied table and a mark count one line each, the head of a message counts `head`
lines, and a message that replaces all that its proxy holds counts one line more.
"""

EVERYONE = None  # key of the table whose levels apply to all joined proxies


class Message:
    """What is to be written to one proxy in one go. While it waits, later orders are merged into it."""

    __slots__ = (
        "proxy",
        "ordered_at",
        "first_ordered_at",
        "tables",
        "lines",
        "levels",
        "withdrawn",
        "emptied",
        "marks",
        "whole",
        "head",
        "target_table",
    )

    def __init__(self, proxy, ordered_at, head):
        self.proxy, self.ordered_at, self.first_ordered_at, self.head = proxy, ordered_at, ordered_at, head
        self.tables = {}  # op type index -> table, where bindings change
        self.lines = {}  # (table, server) -> weight; 0 removes the line
        self.levels = {}  # (table, op type index) -> (quota, tries)
        self.withdrawn = {}  # server -> True: withdrawn, False: back
        self.emptied = {}  # tables to empty before the lines are applied; an ordered set
        self.marks = []  # (number, ordered at)
        self.whole = False  # replaces all that the proxy holds
        self.target_table = None  # the proxy's ledger.Table once this message is applied

    @property
    def cost(self):
        """Lines that the channel counts for this message."""
        return (
            self.head
            + self.whole
            + len(self.lines)
            + len(self.levels)
            + len(self.withdrawn)
            + len(self.emptied)
            + len(self.marks)
        )

    def merge(self, later):
        """Merges a later message for the same proxy; for each key the later value is kept."""
        if later.whole:
            self.tables, self.lines, self.levels = {}, {}, {}
            self.withdrawn, self.emptied, self.whole = {}, {}, True
        for table in later.emptied:
            self.lines = {key: weight for key, weight in self.lines.items() if key[0] != table}
            self.levels = {key: level for key, level in self.levels.items() if key[0] != table}
            self.emptied[table] = None
        self.tables.update(later.tables)
        self.lines.update(later.lines)
        self.levels.update(later.levels)
        self.withdrawn.update(later.withdrawn)
        # The newest mark is enough: its answer confirms everything that was sent before it.
        self.marks = (self.marks + later.marks)[-1:]
        self.ordered_at, self.target_table = later.ordered_at, later.target_table or self.target_table


class Holding:
    """What was written to a proxy: its table for each op type, their lines and levels, withdrawn servers."""

    def __init__(self, op_type_count):
        self.tables = [None] * op_type_count
        self.lines, self.levels, self.withdrawn = {}, {}, {}
        self.target_table = None  # the ledger.Table that the lines belong to

    def apply(self, message):
        if message.whole:
            self.lines, self.levels, self.withdrawn = {}, {}, {}
        for table in message.emptied:
            self.lines.pop(table, None)
            self.levels.pop(table, None)
        for index, table in message.tables.items():
            self.tables[index] = table
        for (table, server), weight in message.lines.items():
            if weight:
                self.lines.setdefault(table, {})[server] = weight
            else:
                self.lines.get(table, {}).pop(server, None)
        for (table, index), level in message.levels.items():
            self.levels.setdefault(table, {})[index] = level
        for server, withdrawn in message.withdrawn.items():
            if withdrawn:
                self.withdrawn[server] = None
            else:
                self.withdrawn.pop(server, None)
        self.target_table = message.target_table or self.target_table

    def lines_of(self, index):
        """Server -> weight that may be picked for an op type; None if no table is bound to the op type."""
        table = self.tables[index]
        if table is None:
            return None
        return {s: w for s, w in self.lines.get(table, {}).items() if s not in self.withdrawn}

    def level_of(self, index):
        """(quota, tries) for an op type, with the lower quota of its table and `EVERYONE`; None if unset."""
        own = self.levels.get(self.tables[index], {}).get(index)
        common = self.levels.get(EVERYONE, {}).get(index)
        if own is None or common is None:
            return own or common
        return min(own[0], common[0]), own[1]


class DesiredState:
    """All tables as ordered, the proxies bound to them, and the messages of the current batch of orders."""

    def __init__(self, op_type_count, head):
        self.op_type_count, self.head = op_type_count, head
        self.lines, self.levels, self.withdrawn = {}, {}, {}
        self.holdings = {}  # proxy -> Holding, as written
        self.bindings = {}  # proxy -> table for each op type index, as ordered
        self.batch = {}  # proxy -> Message of the current batch
        self.withdrawn_by_proxy = {}  # proxy -> servers withdrawn by the orders for it
        self.unaddressed = {}  # proxies without any order since they joined; an ordered set
        self.bound_proxies = {}  # table -> proxies bound to it, as an ordered set

    def join(self, proxy):
        """A stream is up. The proxy holds none of our tables, whatever it may hold of other controllers."""
        self.holdings[proxy] = Holding(self.op_type_count)
        self.unbind(proxy)
        self.bindings[proxy] = [None] * self.op_type_count
        self.withdrawn_by_proxy[proxy] = {}
        self.unaddressed[proxy] = None
        self.batch.pop(proxy, None)

    def enroll(self, proxy):
        """A stream of an advised balancer is up; no table of the decision module is bound to it."""
        self.holdings[proxy] = Holding(self.op_type_count)

    def unbind(self, proxy):
        for table in dict.fromkeys(self.bindings.get(proxy, ())):
            if table is not None:
                self.bound_proxies[table].pop(proxy, None)
                if not self.bound_proxies[table]:
                    del self.bound_proxies[table]

    def leave(self, proxy):
        self.unbind(proxy)
        for by_proxy in (self.holdings, self.bindings, self.batch, self.withdrawn_by_proxy, self.unaddressed):
            by_proxy.pop(proxy, None)

    def batch_message(self, proxy, now):
        """The proxy's message of the current batch."""
        if proxy not in self.batch:
            self.batch[proxy] = Message(proxy, now, self.head)
        message = self.batch[proxy]
        if proxy in self.unaddressed:  # its first message also carries the levels that apply to all proxies
            del self.unaddressed[proxy]
            message.levels.update(self.common_levels())
        return message

    def proxies_of(self, table):
        return list(self.bound_proxies.get(table, ()))

    def op_type_indexes(self, mask):
        """Indexes of the op types in a bit mask; 0 stands for all of them."""
        return [k for k in range(self.op_type_count) if not mask or mask >> k & 1]

    # Orders of the decision module, by their names in `foxstep/interface.py`: each changes the tables as
    # ordered and adds what proxies are to be sent to the current batch.

    def weigh(self, now, table, server, weight):
        lines = self.lines.setdefault(table, {})
        if weight:
            lines[server] = weight
        else:
            lines.pop(server, None)
        for proxy in self.proxies_of(table):
            message = self.batch_message(proxy, now)
            message.lines[table, server] = weight
            if weight and server in self.withdrawn and server not in self.withdrawn_by_proxy[proxy]:
                message.withdrawn[server] = self.withdrawn_by_proxy[proxy][server] = True

    def empty(self, now, table):
        self.lines.pop(table, None)
        self.levels.pop(table, None)
        for proxy in self.proxies_of(table):
            emptied = Message(proxy, now, self.head)
            emptied.emptied[table] = None
            # A proxy drops all levels of an emptied table's op types, so those for all tables are sent again.
            emptied.levels = {
                (everyone, index): level
                for (everyone, index), level in self.common_levels().items()
                if self.bindings[proxy][index] == table
            }
            self.batch_message(proxy, now).merge(emptied)

    def common_levels(self):
        """The levels that apply to all proxies: (EVERYONE, op type index) -> (quota, tries)."""
        return {(EVERYONE, index): level for index, level in self.levels.get(EVERYONE, {}).items()}

    def admit(self, now, table, mask, quota, tries):
        indexes = self.op_type_indexes(mask)
        for index in indexes:
            self.levels.setdefault(table, {})[index] = (quota, tries)
        proxies = list(self.bindings) if table is EVERYONE else self.proxies_of(table)
        for proxy in proxies:
            for index in indexes:
                if table is EVERYONE or self.bindings[proxy][index] == table:
                    self.batch_message(proxy, now).levels[table, index] = (quota, tries)

    def withdraw(self, now, server, withdrawn):
        if withdrawn:
            self.withdrawn[server] = None
        else:
            self.withdrawn.pop(server, None)
        for proxy, tables in self.bindings.items():
            has_server = any(server in self.lines.get(table, {}) for table in tables if table is not None)
            if withdrawn and has_server:
                self.batch_message(proxy, now).withdrawn[server] = self.withdrawn_by_proxy[proxy][server] = (
                    True
                )
            elif not withdrawn and self.withdrawn_by_proxy[proxy].pop(server, False):
                self.batch_message(proxy, now).withdrawn[server] = False

    def bind(self, now, proxy, table, mask):
        """Binds a joined proxy to a table; everything that it is then to hold is sent to it again."""
        if proxy not in self.bindings:
            return
        self.unbind(proxy)
        for index in self.op_type_indexes(mask):
            self.bindings[proxy][index] = table
        for bound_table in dict.fromkeys(self.bindings[proxy]):
            if bound_table is not None:
                self.bound_proxies.setdefault(bound_table, {})[proxy] = None
        marks = self.batch[proxy].marks if proxy in self.batch else []
        self.batch[proxy] = self.full_message(proxy, now)
        self.batch[proxy].marks = marks

    def full_message(self, proxy, now):
        """A message with everything that a proxy is to hold as ordered."""
        message, tables = Message(proxy, now, self.head), self.bindings[proxy]
        message.whole = True
        message.tables = dict(enumerate(tables))
        for table in dict.fromkeys(t for t in tables if t is not None):
            message.lines.update(((table, s), w) for s, w in self.lines.get(table, {}).items())
            message.levels.update(
                ((table, k), level) for k, level in self.levels.get(table, {}).items() if tables[k] == table
            )
            message.withdrawn.update((s, True) for s in self.withdrawn if s in self.lines.get(table, {}))
        # A proxy keeps its withdrawn servers when a full table arrives: it has to be told of each that is not
        # withdrawn any more, or that this table no longer contains.
        told = {**self.holdings[proxy].withdrawn, **self.withdrawn_by_proxy[proxy]}
        let_back = {server: False for server in told if server not in message.withdrawn}
        self.withdrawn_by_proxy[proxy] = dict(message.withdrawn)
        message.withdrawn.update(let_back)
        self.unaddressed.pop(proxy, None)
        message.levels.update(self.common_levels())
        return message

    def mark(self, now, number, all_proxies):
        if all_proxies:
            for proxy in self.bindings:
                self.batch_message(proxy, now)
        for message in self.batch.values():
            message.marks.append((number, now))

    def close_batch(self):
        """The messages for all orders since the last call, in the order of the first order for each proxy."""
        batch, self.batch = list(self.batch.values()), {}
        return batch
