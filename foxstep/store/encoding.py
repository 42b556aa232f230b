"""The stored form of ledger entries, rollbacks and lists, and row checksums. No I/O."""

from hashlib import blake2b
from typing import Any

import msgspec
from immutables import Map

from foxstep.tables.ledger import Entry, Table
from foxstep.tables.rollback import Rollback
from foxstep.tables.version import Version

ListLine = tuple[str, str, str, int, str, float, int]  # interface.ListedServer


class StoredTable(msgspec.Struct, array_like=True):
    """A table. The order of the fields is the stored format."""

    version: str
    rolled_back_to: str
    lines: dict[str, float]


class StoredRollback(msgspec.Struct, array_like=True):
    """A rollback. The order of the fields is the stored format."""

    number: int
    scope: str
    version: str
    ordered_at: int
    wave_timeout: int
    state: str
    reason: str
    wave_size: int
    done: bool
    reached: list[str]
    successor: int


StoredTables = dict[str, StoredTable | None]


def row_checksum(*parts):
    """Eight bytes of BLAKE2b over a row's key and body."""
    digest = blake2b(digest_size=8)
    for part in parts:
        digest.update(part if isinstance(part, bytes) else str(part).encode())
        digest.update(b"\x00")
    return digest.digest()


def stored_table(table):
    if table is None:
        return None
    return StoredTable(
        str(table.version), str(table.rolled_back_to) if table.rolled_back_to else "", dict(table.lines)
    )


def encode_tables(tables):
    """proxy -> Table or None, as bytes."""
    return msgspec.msgpack.encode({proxy: stored_table(table) for proxy, table in tables.items()})


def decode_entry(epoch, count, at, cause, body):
    """An Entry without its fleet. Raises msgspec.DecodeError or ValueError if the body is not valid."""
    stored = msgspec.msgpack.decode(body, type=StoredTables)
    changed = {}
    for proxy, table in stored.items():
        changed[proxy] = (
            None
            if table is None
            else Table(
                Version.parse(table.version),
                Map(table.lines),
                Version.parse(table.rolled_back_to) if table.rolled_back_to else None,
            )
        )
    return Entry(Version(epoch, count), at, cause, None, changed)


def encode_rollback(r):
    return msgspec.msgpack.encode(
        StoredRollback(
            r.number,
            r.scope,
            str(r.version),
            r.ordered_at,
            r.wave_timeout,
            r.state,
            r.reason,
            r.wave_size,
            r.done,
            list(r.reached),
            r.successor.number if r.successor else 0,
        )
    )


def decode_rollback(body):
    """(Rollback, number of its successor or 0). Raises msgspec.DecodeError or ValueError."""
    stored = msgspec.msgpack.decode(body, type=StoredRollback)
    rollback = Rollback(
        stored.number,
        stored.scope,
        Version.parse(stored.version),
        stored.ordered_at,
        stored.wave_timeout,
        stored.state,
        stored.reached,
    )
    rollback.reason = stored.reason
    rollback.wave_size = stored.wave_size
    rollback.done = stored.done
    rollback.stored_state = stored.state
    return rollback, stored.successor


def decode_facts(body):
    """(wall-clock time of the facts, a map of facts for each lane). Raises msgspec.DecodeError."""
    return msgspec.msgpack.decode(body, type=tuple[int, list[dict[str, Any]]])


def encode_lines(lines):
    return msgspec.msgpack.encode(lines)


def decode_lines(body):
    return msgspec.msgpack.decode(body, type=list[ListLine])
