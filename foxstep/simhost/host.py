"""Runs controller instances on the simulator's protocol: its lines become calls, orders become lines."""

import sys

from foxstep.balance import Controller
from foxstep.simhost import names, wire

# Order verb -> function from the order's arguments to the protocol's message name and (field, value) pairs
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
    "note": lambda text: ("REMARK", ("msg", one_line(text))),
    "weigh": lambda table, server, weight: (
        "WEIGH",
        ("mapId", table),
        ("backend", server),
        ("w", wire.number(weight)),
    ),
    "empty": lambda table: ("DROP_LINES", ("mapId", table)),
    "bind": lambda proxy, table, mask: ("HAND_TABLE", ("proxy", proxy), ("mapId", table), ("mask", mask)),
    "withdraw": lambda server, on: ("BENCH", ("backend", server), ("on", int(on))),
    "admit": lambda table, mask, level, tries: (
        "ADMIT",
        ("mapId", table),
        ("mask", mask),
        ("quota", wire.number(level)),
        ("onFailure", tries),
    ),
    "mark": lambda number, all_proxies: ("SEAL", ("epoch", number), ("on", int(all_proxies))),
}


def one_line(text):
    """The text as one line without tabs, cut to 300 characters."""
    return " ".join(str(text).split())[:300]


class Host:
    """All controller instances of one process. They share only the numbered server lists of the protocol.

    `make_controller(now, site, seed)` creates an instance; error messages are written to `errors`."""

    def __init__(self, make_controller=Controller, errors=sys.stderr):
        self.make_controller = make_controller
        self.errors = errors
        self.instances = {}  # controller id -> instance
        self.load_fields = {}  # controller id -> field names of its load reports
        self.lists = {}  # list number -> entries of the server list
        self.now = 0  # microseconds

    def report_error(self, text):
        print(f"foxstep: {one_line(text)}", file=self.errors, flush=True)

    # -- inputs ----------------------------------------------------------------------------------------------

    def handle_batch(self, lines):
        """The reply lines to one batch of lines, both without FRAME, FLUSH and the ends of lines.

        A malformed line is reported and skipped."""
        touched = {}  # ids of the controllers that got an input, as an ordered set
        failed = {}  # controller id -> exception that it raised
        entries = None
        for line in lines:
            try:
                name, fields = wire.read_line(line)
                if name == "POOL":
                    entries = self.lists[int(fields["table"])] = []
                elif name == "ENTRY":
                    if entries is None:
                        raise ValueError("ENTRY without a POOL before it")
                    entries.append(wire.listed_line(fields, names.STATES))
                else:
                    entries = None
                    self.handle_message(name, fields, touched, failed)
            except (ValueError, KeyError, IndexError, UnicodeError) as error:
                self.report_error(f"{line.split(chr(9))[0][:40]!r}: {type(error).__name__}: {error}")
        return [reply for ident in touched for reply in self.orders_of(ident, failed)]

    def handle_message(self, name, fields, touched, failed):
        """Passes a message to its controller. Raises ValueError or KeyError if it is malformed."""
        handle = self.EVENTS.get(name)
        if handle is None:
            raise ValueError("unknown message")
        ident = int(fields.pop("controllerId"))
        if handle is not Host.start and ident not in self.instances:
            raise ValueError(f"controller {ident} is not started")
        call = handle(self, ident, fields)
        if call is None:
            return
        touched[ident] = None
        try:
            call()
        except Exception as error:  # a fault of the module is answered by the message DIE
            failed[ident] = error

    def orders_of(self, ident, failed):
        """The lines of all orders of a controller, ended by DIE if it raised an exception."""
        if ident not in self.instances and ident not in failed:
            return []
        lines = []
        try:
            if ident in failed:
                raise failed[ident]
            while (order := self.instances[ident].next_order(self.now)) is not None:
                verb, *arguments = order
                name, *pairs = ORDERS[verb](*arguments)
                lines.append(wire.write_line(name, ("controllerId", ident), *pairs))
        except Exception as error:
            self.report_error(f"controller {ident}: {type(error).__name__}: {error}")
            lines.append(
                wire.write_line(
                    "DIE", ("controllerId", ident), ("msg", one_line(f"{type(error).__name__}: {error}"))
                )
            )
        return lines

    def parse_load(self, ident, text):
        """A load report with the module's names, or None; its times become microseconds."""
        if not text:
            return None
        report = dict(zip(self.load_fields[ident], map(float, text.split(",")), strict=False))
        if "service" in report:
            report["service"] *= 1000
        return report

    def start(self, ident, fields):
        seed = int(fields.pop("randomSeed"))
        site = names.parse_site(fields)

        def start_instance():
            self.load_fields[ident] = site.get("reports", [])
            self.instances[ident] = self.make_controller(self.now, site, seed)

        return start_instance

    def stop(self, ident, fields):
        del self.instances[ident]

    def server_list(self, ident, fields):
        how = names.LISTS[fields["how"]]
        lines = [] if how == "failed" else list(self.lists[int(fields["table"])])
        return lambda: self.instances[ident].listed(self.now, how, lines)

    def woken(self, ident, fields):
        return lambda: self.instances[ident].woken(self.now, fields["mark"])

    def probed(self, ident, fields):
        server, outcome = fields["backend"], names.OUTCOMES.get(fields["rc"], "aborted")
        took = names.micros(fields.get("timeTaken", 0))
        load = self.parse_load(ident, fields.get("report"))
        return lambda: self.instances[ident].probed(self.now, server, outcome, took, load)

    def told(self, ident, fields):
        peer, payload = int(fields["sender"]), bytes.fromhex(fields["data"].strip("-"))
        return lambda: self.instances[ident].told(self.now, peer, payload)

    def joined(self, ident, fields):
        proxy, zone, rate = int(fields["proxy"]), fields.get("area", ""), float(fields.get("w", 0))
        fresh = names.parse_bool(fields.get("on", "1"))
        return lambda: self.instances[ident].joined(self.now, proxy, zone, rate, fresh)

    def left(self, ident, fields):
        proxy = int(fields["proxy"])
        return lambda: self.instances[ident].left(self.now, proxy)

    def heard(self, ident, fields):
        server, zone = fields["backend"], fields.get("area", "")
        tries, aborted = int(fields["triesN"]), int(fields["unanswered"])
        latency, window = names.micros(fields.get("timeTaken", 0)), names.micros(fields["window"])
        load = self.parse_load(ident, fields.get("report"))
        return lambda: self.instances[ident].heard(
            self.now, server, zone, tries, aborted, latency, window, load
        )

    def used(self, ident, fields):
        proxy, op_type, ops = int(fields["proxy"]), fields["profile"], int(fields["triesN"])
        unanswered, window = int(fields.get("unanswered", 0)), names.micros(fields["window"])
        return lambda: self.instances[ident].used(self.now, proxy, op_type, ops, unanswered, window)

    def applied(self, ident, fields):
        proxy = int(fields["proxy"])
        number = int(fields["epoch"])
        took = names.micros(fields.get("timeTaken", 0))
        return lambda: self.instances[ident].applied(self.now, proxy, number, took)

    def ignore_slices(self, ident, fields):
        """Slices are not supported yet: the message is checked and ignored."""
        int(fields["mapId"])

    EVENTS = {
        "ENLIST": start,
        "CRASH_NOW": stop,
        "PEERS_KNOWN": server_list,
        "TICK_DUE": woken,
        "PROBE_RESULT": probed,
        "PEER": told,
        "JOINED": joined,
        "DROPPED_OFF": left,
        "OBSERVED": heard,
        "USAGE": used,
        "APPLIED": applied,
        "LEASED": ignore_slices,
        "STANDING_LINE": ignore_slices,
        "WEIGHT_SEEN": ignore_slices,
    }

    # -- main loop -------------------------------------------------------------------------------------------

    def run(self, source, sink):
        """Reads batches from the binary file `source` until it ends; writes and flushes a reply to each."""
        lines = None
        for raw in source:
            line = raw.decode("utf-8", "replace").rstrip("\r\n")
            if line.startswith("FRAME"):
                if lines is not None:
                    self.report_error("FRAME inside a batch; the batch before it has no FLUSH and is dropped")
                lines = []
                try:
                    self.now = names.micros(wire.read_line(line)[1]["clock"])
                except (ValueError, KeyError, OverflowError) as error:
                    self.report_error(f"FRAME: {type(error).__name__}: {error}")
            elif line.split("\t", 1)[0] == "FLUSH":
                if lines is None:
                    self.report_error("FLUSH without a FRAME before it")
                reply = self.handle_batch(lines or [])
                lines = None
                sink.write("".join(f"{text}\n" for text in [*reply, "OK"]).encode())
                sink.flush()
            elif lines is not None:
                lines.append(line)
            elif line:
                self.report_error(f"line outside a batch: {line[:60]!r}")
