"""Plays a tape to a decision module and compares its orders, line for line. No clock: time is the tape's."""

import json
from collections import Counter, deque
from itertools import zip_longest

from foxstep.capture.tape import END, LOST, ORDER, Taped, Unsound

BEFORE = 5  # inputs that are shown before a difference


def line_of(at, order):
    """An order as one line: the same for the same order in every version."""
    return f"{at} {json.dumps(order, sort_keys=True, separators=(',', ':'))}"


class Difference:
    """The first order that is not as it was: `row` of the tape, `at`, both lines, and what came before."""

    def __init__(self, row, at, taped, now, inputs):
        self.row, self.at, self.taped, self.now, self.inputs = row, at, taped, now, inputs


class Replay:
    """`make(now, site, seed)` begins a module. After `play`: `orders` counted by verb, `inputs`, `difference`
    or None, `ended` in words where the tape ends before its end."""

    def __init__(self, start, rows, make):
        self.start, self.rows, self.make = start, rows, make
        self.orders, self.inputs = Counter(), Counter()
        self.difference, self.ended = None, ""
        self.first = self.last = None

    def play(self, write=None, on=False):
        """Plays it; each order's line is given to `write`. Ends at the first batch of orders that differs, or
        goes `on` with the inputs as taped, whatever is ordered by now."""
        module = self.make(self.start["now"], self.start["site"], self.start["seed"])
        calls = {verb: getattr(module, verb) for verb in Taped.CALLS}
        before, batch = deque(maxlen=BEFORE), []
        for row, (at, verb, _, told) in enumerate(self.rows):
            self.first, self.last = at if self.first is None else self.first, at
            if verb == LOST:
                self.ended = f"{told} rows were lost after row {row}"
                return
            if verb == ORDER:
                batch.append((row, line_of(at, told)))
            elif verb == END:
                made = self.pull(module, at, write)
                self.compare(row, at, batch, made, before)
                batch = []
                if self.difference and not on:
                    return
            elif verb in calls:
                self.inputs[verb] += 1
                before.append(f"{at} {verb} {json.dumps(told)[:160]}")
                calls[verb](at, *told)
            else:
                raise Unsound(f"row {row}: no such input: {verb!r}")

    def pull(self, module, at, write):
        made = []
        while (order := module.next_order(at)) is not None:
            self.orders[order[0]] += 1
            made.append(line_of(at, list(order)))
            if write:
                write(made[-1])
        return made

    def compare(self, row, at, batch, made, before):
        if self.difference is None:
            for (place, taped), now in zip_longest(batch, made, fillvalue=(row, None)):
                now = now if isinstance(now, str) else None
                if taped != now:
                    self.difference = Difference(place, at, taped, now, list(before))
                    return
