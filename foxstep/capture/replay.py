"""Replays a capture through a decision module and compares its orders with the captured ones.

No clock is used: the module receives the captured times.
"""

import json
from collections import Counter, deque
from itertools import zip_longest

from foxstep.capture.storage import END, LOST, ORDER, CapturedModule, InvalidCapture

CONTEXT_INPUTS = 5  # number of inputs shown before a difference


def format_order(at, order):
    """The order as one line of text; equal orders give equal lines in every version of the program."""
    return f"{at} {json.dumps(order, sort_keys=True, separators=(',', ':'))}"


class Difference:
    """The first order that differs.

    `row`: its row in the capture; `at`: its time in microseconds; `captured` and `replayed`: both lines, None
    if there is no further order; `inputs`: the last inputs before it, as lines.
    """

    def __init__(self, row, at, captured, replayed, inputs):
        self.row = row
        self.at = at
        self.captured = captured
        self.replayed = replayed
        self.inputs = inputs


class Replay:
    """Replays `rows` through the decision module that `make(now, site, seed)` creates from `start`.

    After `run`: `orders` and `inputs` are counts by verb; `difference` is a Difference or None; `incomplete`
    says why a capture ends early (empty if it doesn't); `first` and `last` are the times of the first and the
    last row, in microseconds.
    """

    def __init__(self, start, rows, make):
        self.start = start
        self.rows = rows
        self.make = make
        self.orders = Counter()
        self.inputs = Counter()
        self.difference = None
        self.incomplete = ""
        self.first = self.last = None

    def run(self, write=None, continue_after_difference=False):
        """Replays the capture and passes each order's line to `write`.

        Stops after the first batch of orders that differs. With `continue_after_difference` it goes on with
        the captured inputs, whatever the module orders. Raises InvalidCapture on an unknown input.
        """
        module = self.make(self.start["now"], self.start["site"], self.start["seed"])
        calls = {verb: getattr(module, verb) for verb in CapturedModule.CALLS}
        recent_inputs = deque(maxlen=CONTEXT_INPUTS)
        batch = []
        for row, (at, verb, _, payload) in enumerate(self.rows):
            self.first, self.last = at if self.first is None else self.first, at
            if verb == LOST:
                self.incomplete = f"{payload} rows were lost after row {row}"
                return
            if verb == ORDER:
                batch.append((row, format_order(at, payload)))
            elif verb == END:
                lines = self.pull_orders(module, at, write)
                self.compare(row, at, batch, lines, recent_inputs)
                batch = []
                if self.difference and not continue_after_difference:
                    return
            elif verb in calls:
                self.inputs[verb] += 1
                recent_inputs.append(f"{at} {verb} {json.dumps(payload)[:160]}")
                calls[verb](at, *payload)
            else:
                raise InvalidCapture(f"row {row}: unknown input: {verb!r}")

    def pull_orders(self, module, at, write):
        """Takes all orders that the module has at time `at`; returns their lines."""
        lines = []
        while (order := module.next_order(at)) is not None:
            self.orders[order[0]] += 1
            lines.append(format_order(at, list(order)))
            if write:
                write(lines[-1])
        return lines

    def compare(self, row, at, batch, lines, recent_inputs):
        """Compares a batch of captured orders with the replayed ones; keeps the first difference only."""
        if self.difference is None:
            for (order_row, captured), replayed in zip_longest(batch, lines, fillvalue=(row, None)):
                replayed = replayed if isinstance(replayed, str) else None
                if captured != replayed:
                    self.difference = Difference(order_row, at, captured, replayed, list(recent_inputs))
                    return
