"""Instances on the simulator's wire: lines become calls on the module, its orders become lines."""

import sys

from foxstep.balance import Controller
from foxstep.simhost import names, wire

# verb -> how the wire writes it; the values are the order's arguments
ORDERS = {
    "wake": lambda at, mark: ("SLEEP", ("moment", wire.millis(at)), ("mark", mark)),
    "watch": lambda on: ("OBSERVE", ("on", int(on))),
    "fetch": lambda: ("PULL",),
    "probe": lambda server: ("ASK_LOAD", ("backend", server)),
    "tell": lambda peer, payload: (
        "ANNOUNCE",
        ("target", "all" if peer is None else peer),
        ("data", payload.hex() or "-"),
    ),
    "note": lambda text: ("REMARK", ("msg", plain(text))),
    "weigh": lambda table, server, weight: (
        "WEIGH",
        ("mapId", table),
        ("backend", server),
        ("w", wire.number(weight)),
    ),
    "empty": lambda table: ("DROP_LINES", ("mapId", table)),
    "bind": lambda proxy, table, ops: ("HAND_TABLE", ("proxy", proxy), ("mapId", table), ("mask", ops)),
    "withdraw": lambda server, on: ("BENCH", ("backend", server), ("on", int(on))),
    "admit": lambda table, ops, level, tries: (
        "ADMIT",
        ("mapId", table),
        ("mask", ops),
        ("quota", wire.number(level)),
        ("onFailure", tries),
    ),
    "mark": lambda version, everyone: ("SEAL", ("epoch", version), ("on", int(everyone))),
}


def plain(text):
    """One line of text without the wire's separators."""
    return " ".join(str(text).split())[:300]


class Host:
    """All instances of one process. They share nothing but the numbered lists, which belong to the wire."""

    def __init__(self, make=Controller, errors=sys.stderr):
        self.make, self.errors = make, errors
        self.instances, self.loads, self.lists = {}, {}, {}
        self.now = 0

    def complain(self, text):
        print(f"foxstep: {plain(text)}", file=self.errors, flush=True)

    # -- what comes in ---------------------------------------------------------------------------------------

    def batch(self, lines):
        """The reply to one batch: its lines without the line ends, FRAME and FLUSH left out."""
        touched, broken, entries = {}, {}, None
        for line in lines:
            try:
                name, fields = wire.read_line(line)
                if name == "POOL":
                    entries = self.lists[int(fields["table"])] = []
                elif name == "ENTRY":
                    if entries is None:
                        raise ValueError("ENTRY outside a POOL")
                    entries.append(wire.listed_line(fields, names.STATES))
                else:
                    entries = None
                    self.event(name, fields, touched, broken)
            except (ValueError, KeyError, IndexError, UnicodeError) as error:
                self.complain(f"{line.split(chr(9))[0][:40]!r}: {type(error).__name__}: {error}")
        return [out for ident in touched for out in self.orders_of(ident, broken)]

    def event(self, name, fields, touched, broken):
        handle = self.EVENTS.get(name)
        if handle is None:
            raise ValueError("no such message")
        ident = int(fields.pop("controllerId"))
        if handle is not Host.start and ident not in self.instances:
            raise ValueError(f"controller {ident} has not been started")
        call = handle(self, ident, fields)
        if call is None:
            return
        touched[ident] = None
        try:
            call()
        except Exception as error:  # the module's fault, told as such: the wire has a message for it
            broken[ident] = error

    def orders_of(self, ident, broken):
        if ident not in self.instances and ident not in broken:
            return []
        out = []
        try:
            if ident in broken:
                raise broken[ident]
            while (order := self.instances[ident].next_order(self.now)) is not None:
                verb, *arguments = order
                name, *pairs = ORDERS[verb](*arguments)
                out.append(wire.write_line(name, ("controllerId", ident), *pairs))
        except Exception as error:
            self.complain(f"controller {ident}: {type(error).__name__}: {error}")
            out.append(
                wire.write_line(
                    "DIE", ("controllerId", ident), ("msg", plain(f"{type(error).__name__}: {error}"))
                )
            )
        return out

    def load(self, ident, text):
        """A load report under our names; the times in it become microseconds."""
        if not text:
            return None
        report = dict(zip(self.loads[ident], map(float, text.split(",")), strict=False))
        if "service" in report:
            report["service"] *= 1000
        return report

    def start(self, ident, f):
        seed = int(f.pop("randomSeed"))
        site = names.site_of(f)

        def make():
            self.loads[ident] = site.get("reports", [])
            self.instances[ident] = self.make(self.now, site, seed)

        return make

    def stop(self, ident, f):
        del self.instances[ident]

    def members(self, ident, f):
        how = names.LISTS[f["how"]]
        lines = [] if how == "failed" else list(self.lists[int(f["table"])])
        return lambda: self.instances[ident].listed(self.now, how, lines)

    def woken(self, ident, f):
        return lambda: self.instances[ident].woken(self.now, f["mark"])

    def probed(self, ident, f):
        server, outcome = f["backend"], names.OUTCOMES.get(f["rc"], "aborted")
        took = names.micros(f.get("timeTaken", 0))
        load = self.load(ident, f.get("report"))
        return lambda: self.instances[ident].probed(self.now, server, outcome, took, load)

    def told(self, ident, f):
        peer, payload = int(f["sender"]), bytes.fromhex(f["data"].strip("-"))
        return lambda: self.instances[ident].told(self.now, peer, payload)

    def joined(self, ident, f):
        proxy, zone, rate = int(f["proxy"]), f.get("area", ""), float(f.get("w", 0))
        fresh = names.yes(f.get("on", "1"))
        return lambda: self.instances[ident].joined(self.now, proxy, zone, rate, fresh)

    def left(self, ident, f):
        proxy = int(f["proxy"])
        return lambda: self.instances[ident].left(self.now, proxy)

    def heard(self, ident, f):
        server, zone = f["backend"], f.get("area", "")
        tries, aborted = int(f["triesN"]), int(f["unanswered"])
        latency, window = names.micros(f.get("timeTaken", 0)), names.micros(f["window"])
        load = self.load(ident, f.get("report"))
        return lambda: self.instances[ident].heard(
            self.now, server, zone, tries, aborted, latency, window, load
        )

    def used(self, ident, f):
        proxy, op_type, ops = int(f["proxy"]), f["profile"], int(f["triesN"])
        unanswered, window = int(f.get("unanswered", 0)), names.micros(f["window"])
        return lambda: self.instances[ident].used(self.now, proxy, op_type, ops, unanswered, window)

    def applied(self, ident, f):
        proxy, version, took = int(f["proxy"]), int(f["epoch"]), names.micros(f.get("timeTaken", 0))
        return lambda: self.instances[ident].applied(self.now, proxy, version, took)

    def sliced(self, ident, f):
        """Slices are in no deployment yet: read, and nothing follows from them."""
        int(f["mapId"])

    EVENTS = {
        "ENLIST": start,
        "CRASH_NOW": stop,
        "PEERS_KNOWN": members,
        "TICK_DUE": woken,
        "PROBE_RESULT": probed,
        "PEER": told,
        "JOINED": joined,
        "DROPPED_OFF": left,
        "OBSERVED": heard,
        "USAGE": used,
        "APPLIED": applied,
        "LEASED": sliced,
        "STANDING_LINE": sliced,
        "WEIGHT_SEEN": sliced,
    }

    # -- the loop --------------------------------------------------------------------------------------------

    def run(self, source, sink):
        """Batches from `source` (bytes), a flushed reply to each on `sink`, until the input ends."""
        lines = None
        for raw in source:
            line = raw.decode("utf-8", "replace").rstrip("\r\n")
            if line.startswith("FRAME"):
                if lines is not None:
                    self.complain("FRAME inside a batch: the batch before it had no FLUSH")
                lines = []
                try:
                    self.now = names.micros(wire.read_line(line)[1]["clock"])
                except (ValueError, KeyError, OverflowError) as error:
                    self.complain(f"FRAME: {type(error).__name__}: {error}")
            elif line.split("\t", 1)[0] == "FLUSH":
                if lines is None:
                    self.complain("FLUSH without a FRAME")
                reply = self.batch(lines or [])
                lines = None
                sink.write("".join(f"{out}\n" for out in [*reply, "OK"]).encode())
                sink.flush()
            elif lines is not None:
                lines.append(line)
            elif line:
                self.complain(f"line outside a batch: {line[:60]!r}")
