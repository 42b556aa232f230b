"""How the ledger's entries and rollbacks look in the store, and the sums that tell torn rows. No I/O."""

from hashlib import blake2b
from typing import Any

import msgspec
from immutables import Map

from foxstep.tables.ledger import Entry, Table
from foxstep.tables.rollback import Rollback
from foxstep.tables.version import Version

Line = tuple[str, str, str, int, str, float, int]  # interface.ListedServer


class KeptTable(msgspec.Struct, array_like=True):
    version: str
    of: str
    lines: dict[str, float]


class KeptRollback(msgspec.Struct, array_like=True):
    number: int
    scope: str
    version: str
    ordered_at: int
    wait: int
    state: str
    why: str
    wave_size: int
    done: bool
    reached: list[str]
    heir: int


KeptTables = dict[str, KeptTable | None]


def row_sum(*parts):
    """Eight bytes over a row's key and body."""
    made = blake2b(digest_size=8)
    for part in parts:
        made.update(part if isinstance(part, bytes) else str(part).encode())
        made.update(b"\x00")
    return made.digest()


def keep_table(table):
    if table is None:
        return None
    return KeptTable(str(table.version), str(table.of) if table.of else "", dict(table.lines))


def tables_body(tables):
    """proxy -> Table or None, as bytes."""
    return msgspec.msgpack.encode({proxy: keep_table(table) for proxy, table in tables.items()})


def read_entry(epoch, count, at, cause, body):
    """An Entry without its fleet. Raises msgspec.DecodeError or ValueError where the body is not sound."""
    kept = msgspec.msgpack.decode(body, type=KeptTables)
    changed = {}
    for proxy, table in kept.items():
        changed[proxy] = (
            None
            if table is None
            else Table(
                Version.read(table.version), Map(table.lines), Version.read(table.of) if table.of else None
            )
        )
    return Entry(Version(epoch, count), at, cause, None, changed)


def rollback_body(r):
    return msgspec.msgpack.encode(
        KeptRollback(
            r.number,
            r.scope,
            str(r.version),
            r.ordered_at,
            r.wait,
            r.state,
            r.why,
            r.wave_size,
            r.done,
            list(r.reached),
            r.heir.number if r.heir else 0,
        )
    )


def read_rollback(body):
    """(Rollback, number of its heir or 0)."""
    kept = msgspec.msgpack.decode(body, type=KeptRollback)
    made = Rollback(
        kept.number,
        kept.scope,
        Version.read(kept.version),
        kept.ordered_at,
        kept.wait,
        kept.state,
        kept.reached,
    )
    made.why, made.wave_size, made.done, made.told = kept.why, kept.wave_size, kept.done, kept.state
    return made, kept.heir


def read_facts(body):
    """(wall clock when it was so, a map of facts for each lane), or raises."""
    return msgspec.msgpack.decode(body, type=tuple[int, list[dict[str, Any]]])


def lines_body(lines):
    return msgspec.msgpack.encode(lines)


def read_lines(body):
    return msgspec.msgpack.decode(body, type=list[Line])
