"""The contract between the decision module and its host.

The host makes one `Controller(now, site, seed)` for each instance and calls it with what comes in. Inputs
only update what is known. After each batch the host calls `next_order(now)` until it answers None, and
carries out the orders as they come; what one batch orders for a proxy becomes one message. Times are whole
microseconds on the host's clock, ids are whatever the host uses at the door.

Orders are plain tuples, the verb first:

    ("wake", at, mark)                       call `woken(now, mark)` at that time
    ("watch", on)  ("fetch",)                follow the list of servers, or ask for it once
    ("probe", server)                        check a server
    ("tell", controller or None, payload)    a message to one peer, or to all
    ("note", text)                           a line for the log
    ("weigh", table, server, weight)         set a line of a table; 0 removes it
    ("empty", table)                         remove all lines and levels of a table
    ("bind", proxy, table, op types)         put a joined proxy on a table; op types as a bit mask, 0: all
    ("withdraw", server, on)                 shut a server out of everything that joined proxies hold
    ("admit", table, op types, level, tries) how much is let in, and when a proxy tries again
    ("mark", number, all proxies)            ask for an answer once this batch's messages are applied
"""

from typing import Any, Protocol

Order = tuple[Any, ...]
# A line of the list: id, zone, kind, cell, state ("open", "draining", "gone"), weight, start (0: long ago)
Listed = tuple[str, str, str, int, str, float, int]
# A load report by our names: busy, waiting, holding, service, acked_rate, aborted_rate
Load = dict[str, float]


class Decider(Protocol):
    """What a host may call. `site` is a plain map of names to values, as `simhost/names.py` lists them."""

    def __init__(self, now: int, site: dict[str, Any], seed: int) -> None: ...

    def listed(self, now: int, how: str, lines: list[Listed]) -> None:
        """The list: `how` is "changes", "whole", "remembered" (perhaps stale) or "failed" (no lines)."""

    def woken(self, now: int, mark: str) -> None: ...

    def probed(self, now: int, server: str, outcome: str, took: int, load: Load | None) -> None: ...

    def told(self, now: int, peer: int, payload: bytes) -> None: ...

    def joined(self, now: int, proxy: int, zone: str, rate: float, fresh: bool) -> None: ...

    def left(self, now: int, proxy: int) -> None: ...

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
        """What joined proxies of a zone met at a server: `latency` is the mean of the acked ones."""

    def used(self, now: int, proxy: int, op_type: str, ops: int, unanswered: int, window: int) -> None: ...

    def applied(self, now: int, proxy: int, number: int, took: int) -> None: ...

    def next_order(self, now: int) -> Order | None: ...

    def learnt(self, now: int, server: str, weight: float, withdrawn: bool) -> None:
        """What a former life or another controller knew of a server: its usual weight against the mean of
        all, and whether it was withdrawn. For a controller that has no tries of its own there."""

    def weighed(self, now: int) -> dict[str, float]:
        """The usual weight of each open server that this controller has tries of its own of: what others are
        told. Whoever only heard of a weight does not tell it."""

    def inherited(self, now: int, part: float) -> None:
        """C, ops a second, that came with proxies of another controller's (below 0: went with them)."""

    def standing(self) -> dict[str, tuple[float, float, float]]:
        """Of each open server: its weight in the shared table now (0: none), its usual weight, and the part
        of it that it surely can do (1: warm). What advice to others than proxies goes by, tables of an
        earlier day are cut by, and other controllers are told."""
