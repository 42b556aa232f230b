"""Calls to discovery that took too long: another call is made meanwhile, but their answers are still taken.

Discovery handles calls one after another, so an answer may be late without being lost. What it tells counts
as known to the controller from when it was written, even if the controller has closed the connection.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from foxstep.node.http import HttpConnection, HttpConnectionError

LATE_ANSWER_TIMEOUT_S = 4.0  # after the call was given up
MAX_LATE_CALLS = 4


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer of discovery. `is_full_list`: the full list was requested, not changes."""

    is_full_list: bool
    status: int
    body: bytes


@dataclass(frozen=True, slots=True, eq=False)
class Call:
    """A call that has been made. `accepted_before`: how many lists had been accepted by then."""

    connection: HttpConnection
    response: asyncio.Future
    is_full_list: bool
    accepted_before: int


class LateCalls:
    """Holds late calls until they end: by their answer, an error or a deadline.

    At most MAX_LATE_CALLS are held, the newest. `on_answer(call, answer)` is called for each answer."""

    def __init__(self, on_answer: Callable[[Call, Answer], None]):
        self.on_answer = on_answer
        self.deadlines = {}  # call -> timer that ends it, the oldest first

    def add(self, call):
        """Holds a call that nobody else waits for any more."""
        while len(self.deadlines) >= MAX_LATE_CALLS:
            self.end(next(iter(self.deadlines)))
        loop = asyncio.get_running_loop()
        self.deadlines[call] = loop.call_later(LATE_ANSWER_TIMEOUT_S, self.end, call)
        call.response.add_done_callback(lambda response: self.receive(call))

    def holds(self, connection):
        """Whether a late call on this connection is held."""
        return any(call.connection is connection for call in self.deadlines)

    def receive(self, call):
        """Passes on the answer of a call, if it has got one, and ends the call."""
        if call not in self.deadlines:
            return
        self.end(call)
        try:
            status, body = call.response.result()
        except (HttpConnectionError, asyncio.CancelledError):
            return
        self.on_answer(call, Answer(call.is_full_list, status, body))

    def end(self, call):
        """Closes the connection of a call."""
        self.deadlines.pop(call).cancel()
        call.response.cancel()
        call.connection.close()

    def end_all(self):
        """Ends all calls, at the end of the program."""
        for call in list(self.deadlines):
            self.end(call)
