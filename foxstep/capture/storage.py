"""Reading and writing captures: all calls on a decision module and all its orders, in sequence.

A capture is a folder with `start.msgpack` (the time, settings and seed that the module was created with) and
numbered Parquet files, its parts. Each part is written under a temporary name and then renamed, so after a
crash all parts up to the last one are complete and readable. A background thread writes the parts from a
bounded queue: if the disk is too slow, rows are dropped and a row in the capture says how many.
"""

import os
import queue
import threading
from glob import glob

import msgspec
import pyarrow as pa
import pyarrow.parquet as pq
import structlog

ROWS_PER_PART = 20_000
MAX_PENDING_PARTS = 64  # parts that may wait for the writer thread
START_FILE = "start.msgpack"
# Verbs of rows that are not inputs: an order, the end of a batch of orders, a number of dropped rows.
ORDER, END, LOST = "order", "end", "lost"
SCHEMA = pa.schema(
    [
        ("at", pa.int64()),
        ("verb", pa.dictionary(pa.int8(), pa.string())),
        ("who", pa.dictionary(pa.int32(), pa.string())),
        ("told", pa.binary()),
    ]
)
encode = msgspec.msgpack.encode


class CaptureWriter:
    """Writes a capture to `folder`, which must not hold one yet.

    `now` (microseconds), `site` and `seed` are the arguments that the decision module is created with;
    `rows_per_part` is the number of rows of a part file.
    """

    def __init__(self, folder, now, site, seed, rows_per_part=ROWS_PER_PART):
        os.makedirs(folder, exist_ok=True)
        if os.path.exists(os.path.join(folder, START_FILE)):
            raise FileExistsError(f"{folder}: already holds a capture; name another folder")
        self.folder = folder
        self.rows_per_part = rows_per_part
        self.part_count = 0
        self.lost_rows = 0
        with open(os.path.join(folder, START_FILE), "wb") as file:
            file.write(encode({"now": now, "site": site, "seed": seed}))
        self.columns = ([], [], [], [])
        self.pending_parts = queue.Queue(MAX_PENDING_PARTS)
        self.thread = threading.Thread(target=self.write_parts, name="capture", daemon=True)
        self.thread.start()

    def append(self, at, verb, who, payload):
        """Adds a row; `at` is in microseconds on the host's clock."""
        for column, value in zip(self.columns, (at, verb, who, encode(payload)), strict=True):
            column.append(value)
        if len(self.columns[0]) >= self.rows_per_part:
            self.flush()

    def flush(self):
        """Passes the collected rows to the writer thread as a part, or drops them if its queue is full."""
        columns, self.columns = self.columns, ([], [], [], [])
        if not columns[0]:
            return
        try:
            self.pending_parts.put_nowait(columns)
        except queue.Full:
            self.lost_rows += len(columns[0])
            self.append(columns[0][0], LOST, "", len(columns[0]))

    def write_parts(self):
        """Body of the writer thread: writes parts until it receives None."""
        while (columns := self.pending_parts.get()) is not None:
            table = pa.table(
                [pa.array(column, type=field.type) for column, field in zip(columns, SCHEMA, strict=True)],
                schema=SCHEMA,
            )
            path = os.path.join(self.folder, f"part-{self.part_count:06d}.parquet")
            try:
                pq.write_table(table, path + ".new", compression="zstd")
                os.replace(path + ".new", path)
                self.part_count += 1
            except OSError as error:
                self.lost_rows += len(columns[0])
                structlog.get_logger("foxstep.capture").error("capture failing", why=str(error))

    def close(self):
        """Writes the remaining rows; waits up to 5 s for space in the queue and 10 s for the thread."""
        self.flush()
        try:
            self.pending_parts.put(None, timeout=5)
        except queue.Full:
            return
        self.thread.join(10)


class CapturedModule:
    """Wraps a decision module and writes its calls and orders to a capture; all other attributes are the
    module's own."""

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

    def __init__(self, module, writer):
        self.module = module
        self.writer = writer
        for verb in self.CALLS:
            setattr(self, verb, self.recorded(verb, getattr(module, verb)))

    def recorded(self, verb, call):
        """Wraps the module's method `call` so that each call is written as a row before it is made."""
        append = self.writer.append

        def record_and_call(now, *args):
            append(now, verb, str(args[0]) if args else "", args)
            call(now, *args)

        return record_and_call

    def next_order(self, now):
        order = self.module.next_order(now)
        if order is None:
            self.writer.append(now, END, "", None)
        else:
            self.writer.append(now, ORDER, order[0], order)
        return order

    def __getattr__(self, name):
        return getattr(self.module, name)


class InvalidCapture(Exception):
    """A capture that cannot be read. The message is one line that names the file."""


def read_start(folder):
    """The capture's start as {"now", "site", "seed"}; `now` is in microseconds. Raises InvalidCapture."""
    path = os.path.join(folder, START_FILE)
    try:
        with open(path, "rb") as file:
            start = msgspec.msgpack.decode(file.read(), type=dict)
        return {"now": int(start["now"]), "site": dict(start["site"]), "seed": int(start["seed"])}
    except (OSError, msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise InvalidCapture(f"{path}: not the start of a capture: {error}") from None


def read_rows(folder):
    """Yields (at, verb, who, payload) in sequence from all parts. Raises InvalidCapture."""
    for path in sorted(glob(os.path.join(folder, "part-*.parquet"))):
        try:
            table = pq.read_table(path)
            if table.schema.names != SCHEMA.names:
                raise ValueError(f"columns {table.schema.names}, expected {SCHEMA.names}")
            columns = [table.column(name).to_pylist() for name in SCHEMA.names]
            for at, verb, who, payload in zip(*columns, strict=True):
                yield at, verb, who, msgspec.msgpack.decode(payload)
        except (pa.ArrowInvalid, OSError, ValueError, msgspec.DecodeError) as error:
            raise InvalidCapture(f"{path}: {str(error).splitlines()[0]}") from None
