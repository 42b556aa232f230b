"""The contract between the decision module and its host.

The host makes one `Controller(now, site, seed)` for each instance and reports events to it. These inputs only
update the module's state. After each batch the host calls `next_order(now)` until it returns None, and
carries out the orders in their sequence; all that one batch orders for a proxy becomes one message. Times are
whole microseconds on the host's clock, ids are those that the host uses on its own interfaces.

A table is a proxy's set of weights. A line is one entry of it, a server with its weight; the channel's
capacity is counted in lines, too. A level is an admission level: how much of an op type a proxy lets in.

Orders are plain tuples, the verb first:

    ("wake", at, mark)                       call `woken(now, mark)` at that time
    ("watch", on)  ("fetch",)                subscribe to the list of servers, or ask for it once
    ("probe", server)                        check a server
    ("tell", controller or None, payload)    send a message to one peer, or to all
    ("note", text)                           write a line to the log
    ("weigh", table, server, weight)         set a line of a table; 0 removes it
    ("empty", table)                         remove all lines and levels of a table
    ("bind", proxy, table, op types)         assign a table to a joined proxy; op types as a bit mask, 0: all
    ("withdraw", server, on)                 remove a server from all tables that joined proxies hold
    ("admit", table, op types, level, tries) set how much is let in, and the number of further tries
    ("mark", number, all proxies)            request an answer once this batch's messages are applied
"""

from typing import Any, Protocol

Order = tuple[Any, ...]
# An entry of the server list: id, zone, kind, cell, state ("open", "draining", "gone"), weight, start time
# (0: long ago)
ListedServer = tuple[str, str, str, int, str, float, int]
# A load report: busy, waiting, holding, service, acked_rate, aborted_rate -> value
Load = dict[str, float]


class DecisionModule(Protocol):
    """What a host may call. `site` is a plain map of settings; `simhost/names.py` lists the names."""

    def __init__(self, now: int, site: dict[str, Any], seed: int) -> None: ...

    def listed(self, now: int, how: str, lines: list[ListedServer]) -> None:
        """The list of servers. `how` is "changes", "whole", "remembered" (may be stale), "failed" (a request
        failed) or "lost" (a request failed, and since the last list a change may have been sent that did not
        arrive); with the last two, `lines` is empty."""

    def woken(self, now: int, mark: str) -> None:
        """The time of a "wake" order has come."""
        ...

    def probed(self, now: int, server: str, outcome: str, took: int, load: Load | None) -> None:
        """The result of a probe, `took` microseconds after it was sent."""
        ...

    def told(self, now: int, peer: int, payload: bytes) -> None:
        """A message from another controller."""
        ...

    def joined(self, now: int, proxy: int, zone: str, rate: float, fresh: bool) -> None:
        """A proxy has connected. `rate`: ops a second that it usually gets. `fresh`: it reports no table."""
        ...

    def left(self, now: int, proxy: int) -> None:
        """A proxy's connection has ended."""
        ...

    def heard(
        self,
        now: int,
        server: str,
        zone: str,
        tries: int,
        aborted: int,
        latency: int,
        window: int,
        load: Load | None,
    ) -> None:
        """Results that joined proxies of a zone had at a server within `window` microseconds. `latency` is
        the mean of the acked tries; 0: not known."""

    def used(self, now: int, proxy: int, op_type: str, ops: int, unanswered: int, window: int) -> None:
        """Ops of one type that a proxy received within `window` microseconds."""
        ...

    def applied(self, now: int, proxy: int, number: int, took: int) -> None:
        """A proxy has applied the messages up to mark `number`, `took` microseconds after it was ordered."""
        ...

    def next_order(self, now: int) -> Order | None:
        """The next order, or None once there is nothing more to order now."""
        ...

    def learnt(self, now: int, server: str, weight: float, withdrawn: bool) -> None:
        """What another controller, or this one before a restart, knew of a server: its usual weight relative
        to the mean of all, and whether it was withdrawn. Used only while the controller has too few tries of
        its own there."""

    def measured_weights(self, now: int) -> dict[str, float]:
        """The usual weight of each open server that this controller has enough tries of its own for. Other
        controllers are sent these; a weight that was only learnt from others is not passed on."""

    def inherited(self, now: int, capacity_change: float) -> None:
        """Capacity, in ops a second, of proxies that moved here from another controller (below 0: that moved
        from here to another one)."""

    def server_weights(self) -> dict[str, tuple[float, float, float]]:
        """For each open server: its weight in the shared table now (0: none), its usual weight, and the
        fraction of its usual work that it can safely do (1: warm). Weight advice to other balancers is
        computed from this, restored tables of earlier versions are limited by it, and other controllers are
        sent it."""
