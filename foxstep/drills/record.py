"""The record of a drill: what crossed the sockets, as one table per kind of row, stored as Parquet files."""

import os
import time

import pyarrow as pa
import pyarrow.parquet as pq

# Maps each kind of row to its columns and their types, besides `t` (seconds on the monotonic clock).
KINDS = {
    "op": {
        "proxy": "s",
        "op": "s",
        "op_type": "s",
        "began": "f",
        "outcome": "s",
        "took": "f",
        "tries": "i",
        "again": "s",
    },
    "sent": {"proxy": "s", "server": "s", "op": "s", "op_type": "s", "turn": "i"},
    "received": {"server": "s", "proxy": "s", "op": "s", "op_type": "s", "work": "f"},
    "turned": {"server": "s", "op": "s"},
    "effect": {"server": "s", "proxy": "s", "op": "s", "op_type": "s"},
    "started": {"server": "s", "name": "s", "zone": "s", "cold": "b", "capacity": "f", "cores": "f"},
    "stopped": {"server": "s"},
    "fell": {"server": "s"},
    "told": {"controller": "s", "server": "s", "zone": "s", "state": "s", "began": "f", "version": "i"},
    "joined": {"proxy": "s", "stream": "i"},
    "parted": {"proxy": "s", "stream": "i"},
    "written": {"proxy": "s", "stream": "i", "kind": "s", "nonce": "s", "version": "s", "size": "i"},
    "answer": {"proxy": "s", "stream": "i", "kind": "s", "nonce": "s", "refusal": "s"},
    "table": {
        "proxy": "s",
        "stream": "i",
        "nonce": "s",
        "name": "s",
        "servers": "S",
        "weights": "F",
        "dropped": "f",
    },
    "advised": {"proxy": "s", "stream": "i", "number": "i", "pushed": "b", "weights": "i"},
    "way": {"proxy": "s", "op_type": "s", "retry_on": "s", "retries": "i"},
    "quota": {"proxy": "s", "op_type": "s", "rate": "f", "blanket": "i"},
    "report": {"proxy": "s", "size": "i", "lines": "i"},
    "standing": {"proxy": "s", "servers": "S"},
    "place": {"what": "s", "name": "s", "zone": "s"},
    "truth": {"ops": "f", "acked": "f", "servers": "S", "counts": "F", "times": "F"},
    "estimate": {
        "demand": "f",
        "acked": "f",
        "latency": "f",
        "capacity": "f",
        "asked": "f",
        "use": "f",
        "step": "i",
        "lag": "f",
    },
    "event": {"what": "s"},
    "ordered": {"verb": "s", "version": "s", "bound": "f"},
}
TYPES = {
    "s": pa.string(),
    "f": pa.float64(),
    "i": pa.int64(),
    "b": pa.bool_(),
    "S": pa.list_(pa.string()),
    "F": pa.list_(pa.float64()),
}
MAX_ROWS = 5_000_000


class Record:
    """Collects rows in memory; a call adds one.

    A run that exceeds `MAX_ROWS` fails with OverflowError instead of losing rows.
    """

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.rows = {kind: {"t": [], **{c: [] for c in columns}} for kind, columns in KINDS.items()}
        self.count = 0

    def __call__(self, kind, /, at=None, **row):
        self.count += 1
        if self.count > MAX_ROWS:
            raise OverflowError("the record has reached its maximum number of rows")
        columns = self.rows[kind]
        if row.keys() != KINDS[kind].keys():
            raise KeyError(f"{kind}: {sorted(row.keys() ^ KINDS[kind].keys())}")
        columns["t"].append(self.clock() if at is None else at)
        for name, value in row.items():
            columns[name].append(value)

    def write(self, folder):
        """Writes one Parquet file per kind of row."""
        os.makedirs(folder, exist_ok=True)
        for kind, columns in KINDS.items():
            fields = [pa.field("t", pa.float64()), *(pa.field(n, TYPES[code]) for n, code in columns.items())]
            table = pa.table(self.rows[kind], schema=pa.schema(fields))
            pq.write_table(table, os.path.join(folder, f"{kind}.parquet"))


def read(folder):
    """Maps each kind of row to its rows as plain maps, in order of time."""
    return {
        kind: sorted(
            pq.read_table(os.path.join(folder, f"{kind}.parquet")).to_pylist(), key=lambda row: row["t"]
        )
        for kind in KINDS
    }
