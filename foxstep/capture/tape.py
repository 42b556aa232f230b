"""A tape: all calls on a decision module and all its orders, in order, as Parquet files that are each whole.

A folder holds `start.msgpack` (the settings, seed and time that the module began with) and parts. A part is
written beside and then named: what a crash leaves is sound up to its last part. Writing is a thread's work
and bounded: where the disk is too slow rows are lost, and the tape says that it ends there.
"""

import os
import queue
import threading
from glob import glob

import msgspec
import pyarrow as pa
import pyarrow.parquet as pq
import structlog

ROWS = 20_000  # rows of a part
AHEAD = 64  # parts that may wait to be written
START = "start.msgpack"
ORDER, END, LOST = "order", "end", "lost"  # an order, the end of a batch's orders, rows that are missing
SCHEMA = pa.schema(
    [
        ("at", pa.int64()),
        ("verb", pa.dictionary(pa.int8(), pa.string())),
        ("who", pa.dictionary(pa.int32(), pa.string())),
        ("told", pa.binary()),
    ]
)
encode = msgspec.msgpack.encode


class Tape:
    """Writes one. `every`: rows of a part."""

    def __init__(self, folder, now, site, seed, every=ROWS):
        os.makedirs(folder, exist_ok=True)
        if os.path.exists(os.path.join(folder, START)):
            raise FileExistsError(f"{folder}: holds a capture already; name another folder")
        self.folder, self.every, self.count, self.lost = folder, every, 0, 0
        with open(os.path.join(folder, START), "wb") as file:
            file.write(encode({"now": now, "site": site, "seed": seed}))
        self.columns = ([], [], [], [])
        self.parts = queue.Queue(AHEAD)
        self.thread = threading.Thread(target=self.write_all, name="capture", daemon=True)
        self.thread.start()

    def note(self, at, verb, who, told):
        for column, value in zip(self.columns, (at, verb, who, encode(told)), strict=True):
            column.append(value)
        if len(self.columns[0]) >= self.every:
            self.cut()

    def cut(self):
        """Hands over what there is as a part."""
        columns, self.columns = self.columns, ([], [], [], [])
        if not columns[0]:
            return
        try:
            self.parts.put_nowait(columns)
        except queue.Full:
            self.lost += len(columns[0])
            self.note(columns[0][0], LOST, "", len(columns[0]))

    def write_all(self):
        while (columns := self.parts.get()) is not None:
            made = pa.table(
                [pa.array(column, type=field.type) for column, field in zip(columns, SCHEMA, strict=True)],
                schema=SCHEMA,
            )
            path = os.path.join(self.folder, f"part-{self.count:06d}.parquet")
            try:
                pq.write_table(made, path + ".new", compression="zstd")
                os.replace(path + ".new", path)
                self.count += 1
            except OSError as error:
                self.lost += len(columns[0])
                structlog.get_logger("foxstep.capture").error("capture failing", why=str(error))

    def close(self):
        self.cut()
        try:
            self.parts.put(None, timeout=5)
        except queue.Full:
            return
        self.thread.join(10)


class Taped:
    """A decision module whose calls and orders go to a tape; for whatever else it is the module itself."""

    CALLS = (
        "listed",
        "woken",
        "probed",
        "told",
        "joined",
        "left",
        "heard",
        "used",
        "applied",
        "learnt",
        "inherited",
    )

    def __init__(self, module, tape):
        self.module, self.tape = module, tape
        for verb in self.CALLS:
            setattr(self, verb, self.noting(verb, getattr(module, verb)))

    def noting(self, verb, call):
        note = self.tape.note

        def noted(now, *args):
            note(now, verb, str(args[0]) if args else "", args)
            call(now, *args)

        return noted

    def next_order(self, now):
        order = self.module.next_order(now)
        if order is None:
            self.tape.note(now, END, "", None)
        else:
            self.tape.note(now, ORDER, order[0], order)
        return order

    def __getattr__(self, name):
        return getattr(self.module, name)


class Unsound(Exception):
    """One line on what of a capture cannot be read."""


def read_start(folder):
    """{"now", "site", "seed"} of a capture. Raises Unsound."""
    path = os.path.join(folder, START)
    try:
        with open(path, "rb") as file:
            told = msgspec.msgpack.decode(file.read(), type=dict)
        return {"now": int(told["now"]), "site": dict(told["site"]), "seed": int(told["seed"])}
    except (OSError, msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise Unsound(f"{path}: no capture begins here: {error}") from None


def read_rows(folder):
    """(at, verb, who, told) in order, part by part. Raises Unsound."""
    for path in sorted(glob(os.path.join(folder, "part-*.parquet"))):
        try:
            table = pq.read_table(path)
            if table.schema.names != SCHEMA.names:
                raise ValueError(f"columns {table.schema.names}, expected {SCHEMA.names}")
            columns = [table.column(name).to_pylist() for name in SCHEMA.names]
            for at, verb, who, told in zip(*columns, strict=True):
                yield at, verb, who, msgspec.msgpack.decode(told)
        except (pa.ArrowInvalid, OSError, ValueError, msgspec.DecodeError) as error:
            raise Unsound(f"{path}: {str(error).splitlines()[0]}") from None
