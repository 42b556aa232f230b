"""Explicit-state model check of epoch fencing, with three controllers and three proxies.

Explores every sequence of steps up to a fixed depth: streams break, orders arrive late, controllers pause and
resume, or restart from an old store. A proxy must never apply an order after one of a later epoch.
"""

from collections import deque

import pytest

from foxstep.proxy.table import StaleEpoch, Table, content_hash
from foxstep.tables.ledger import Ledger
from foxstep.tables.version import Version, epoch_after

CONTROLLERS = PROXIES = (0, 1, 2)
OLD_EPOCH = 640  # the epoch in every store after its last write
CONTENT_HASH = content_hash({"s": 1000})
MAX_DEPTH = 9
MAX_STATES = 40_000


class UnfencedTable(Table):
    """A mutant without the fence: it forgets the epoch of the table that it holds."""

    def apply(self, info, changed, removed):
        self.epoch = 0
        return super().apply(info, changed, removed)


def table_of(table_class, epoch):
    table = table_class()
    if epoch:
        table.apply(f"{epoch}.1 - {CONTENT_HASH}", {"s": 1000}, [])
    return table


def initial_state():
    """(epochs of the controllers, epoch that each proxy holds, its stream's controller, orders in flight)."""
    return tuple(epoch_after(OLD_EPOCH, me) for me in CONTROLLERS), (0, 0, 0), (None, None, None), frozenset()


def steps(state):
    """Yields (step, next state) for all possible steps.

    After `deliver`, the caller applies the order to a real table to get the epoch that the proxy holds.
    """
    epochs, held, streams, orders = state
    for p in PROXIES:
        for c in CONTROLLERS:
            # The proxy joins and reports its epoch. The controller of the old stream may not notice.
            if streams[p] != c:
                ledger = Ledger(epochs[c], me=c)
                ledger.joined(f"p{p}", Version(held[p], 1) if held[p] else None)
                yield (
                    ("join", p, c),
                    (replaced(epochs, c, ledger.epoch), held, replaced(streams, p, c), orders),
                )
        if streams[p] is not None:
            yield ("break", p), (epochs, held, replaced(streams, p, None), orders)
    for c in CONTROLLERS:
        for p in PROXIES:
            # A controller that was paused believes that it still serves its proxies: it may send to any.
            order = (p, c, epochs[c])
            if order not in orders and len(orders) < 3:
                yield ("send", *order), (epochs, held, streams, orders | {order})
        restarted = epoch_after(OLD_EPOCH, c)
        if restarted != epochs[c]:
            yield ("restart from an old store", c), (replaced(epochs, c, restarted), held, streams, orders)
    for order in orders:
        yield ("deliver", *order), (epochs, held, streams, orders - {order})


def replaced(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


def explore(table_class):
    """Returns (number of states, steps that end with an order of an earlier epoch being applied, or None)."""
    first = initial_state()
    seen = {first}
    queue = deque([(first, 0, ())])
    while queue and len(seen) < MAX_STATES:
        state, depth, path = queue.popleft()
        if depth == MAX_DEPTH:
            continue
        for step, after in steps(state):
            if step[0] == "deliver":
                _, p, _, epoch = step
                table = table_of(table_class, state[1][p])
                try:
                    table.apply(f"{epoch}.2 - {CONTENT_HASH}", {"s": 1000}, [])
                except StaleEpoch:
                    pass
                held_epoch = int(table.name.partition(".")[0]) if table.name else 0
                if held_epoch < state[1][p]:
                    return len(seen), (*path, step)
                after = (after[0], replaced(state[1], p, held_epoch), after[2], after[3])
            if after not in seen:
                seen.add(after)
                queue.append((after, depth + 1, (*path, step)))
    return len(seen), None


def test_no_order_is_applied_after_one_of_a_later_epoch():
    states, found = explore(Table)
    assert found is None and states >= MAX_STATES


def test_the_check_finds_a_violation_without_the_fence():
    _, found = explore(UnfencedTable)
    assert found is not None and found[-1][0] == "deliver"
    assert len(found) <= 6, found


@pytest.mark.parametrize("held", [0, OLD_EPOCH, 999, 10_000])
@pytest.mark.parametrize("me", CONTROLLERS)
def test_a_proxy_applies_orders_of_the_controller_it_has_just_joined(held, me):
    ledger = Ledger(epoch_after(OLD_EPOCH, me), me=me)
    ledger.joined("p", Version(held, 5) if held else None)
    table = table_of(Table, held)
    version = ledger.commit(0, "", {"p": {"s": 1.0}})
    table.apply(f"{version} - {CONTENT_HASH}", {"s": 1000}, [])
    assert table.name == str(version) and version.epoch % 64 == me
