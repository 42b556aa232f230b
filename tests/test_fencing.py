"""Explicit-state check of the fence: every order of steps to a stated depth, three controllers and proxies.

Streams break, orders come late, controllers stand still or start from an old store.
"""

from collections import deque

import pytest

from foxstep.proxy.table import Over, Table, content_hash
from foxstep.tables.ledger import Ledger
from foxstep.tables.version import Version, epoch_after

CONTROLLERS = PROXIES = (0, 1, 2)
OLD = 640  # what every store says after its last write
WHOLE = content_hash({"s": 1000})
DEPTH, MOST_STATES = 9, 40_000


class Unfenced(Table):
    """The mutation: a receiver that forgets whose table it holds."""

    def take(self, info, changed, removed):
        self.epoch = 0
        return super().take(info, changed, removed)


def table_of(make, epoch):
    table = make()
    if epoch:
        table.take(f"{epoch}.1 - {WHOLE}", {"s": 1000}, [])
    return table


def start():
    """(epochs of the controllers, epoch that each proxy holds, its stream's controller, orders under way)."""
    return tuple(epoch_after(OLD, me) for me in CONTROLLERS), (0, 0, 0), (None, None, None), frozenset()


def steps(state):
    """(what, next state) of all that can happen; `deliver` leaves what the proxy holds to the real table."""
    epochs, held, streams, orders = state
    for p in PROXIES:
        for c in CONTROLLERS:
            if streams[p] != c:  # it joins, and tells what it holds; the old stream's owner need not know
                ledger = Ledger(epochs[c], me=c)
                ledger.joined(f"p{p}", Version(held[p], 1) if held[p] else None)
                yield ("join", p, c), (put(epochs, c, ledger.epoch), held, put(streams, p, c), orders)
        if streams[p] is not None:
            yield ("break", p), (epochs, held, put(streams, p, None), orders)
    for c in CONTROLLERS:
        for p in PROXIES:
            # One that stood still believes that it owns whom it ever served: it may send to anybody.
            order = (p, c, epochs[c])
            if order not in orders and len(orders) < 3:
                yield ("send", *order), (epochs, held, streams, orders | {order})
        anew = epoch_after(OLD, c)
        if anew != epochs[c]:
            yield ("restart from an old store", c), (put(epochs, c, anew), held, streams, orders)
    for order in orders:
        yield ("deliver", *order), (epochs, held, streams, orders - {order})


def put(values, place, value):
    return (*values[:place], value, *values[place + 1 :])


def explore(make):
    """Answers (states, a history that ends with an order out of order, or None)."""
    first = start()
    seen, waiting = {first}, deque([(first, 0, ())])
    while waiting and len(seen) < MOST_STATES:
        state, depth, history = waiting.popleft()
        if depth == DEPTH:
            continue
        for what, after in steps(state):
            if what[0] == "deliver":
                _, p, _, epoch = what
                table = table_of(make, state[1][p])
                try:
                    table.take(f"{epoch}.2 - {WHOLE}", {"s": 1000}, [])
                except Over:
                    pass
                now = int(table.name.partition(".")[0]) if table.name else 0
                if now < state[1][p]:
                    return len(seen), (*history, what)
                after = (after[0], put(state[1], p, now), after[2], after[3])
            if after not in seen:
                seen.add(after)
                waiting.append((after, depth + 1, (*history, what)))
    return len(seen), None


def test_no_order_takes_effect_after_one_of_a_later_epoch():
    states, found = explore(Table)
    assert found is None and states >= MOST_STATES


def test_without_the_fence_the_check_finds_a_history():
    _, found = explore(Unfenced)
    assert found is not None and found[-1][0] == "deliver"
    assert len(found) <= 6, found


@pytest.mark.parametrize("held", [0, OLD, 999, 10_000])
@pytest.mark.parametrize("me", CONTROLLERS)
def test_whoever_a_proxy_has_just_joined_is_heeded(held, me):
    ledger = Ledger(epoch_after(OLD, me), me=me)
    ledger.joined("p", Version(held, 5) if held else None)
    table = table_of(Table, held)
    version = ledger.commit(0, "", {"p": {"s": 1.0}})
    table.take(f"{version} - {WHOLE}", {"s": 1000}, [])
    assert table.name == str(version) and version.epoch % 64 == me
