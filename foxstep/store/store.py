"""The store: one SQLite file, written by its own thread, so that no order waits for a disk.

Each row has its own checksum, in addition to SQLite's journal, so that a flipped bit is found when the row is
read. A file that SQLite itself cannot read is moved aside, and the last backup is used instead.
"""

import os
import queue
import sqlite3
import threading
from functools import partial

import structlog
from immutables import Map

from foxstep.store import encoding
from foxstep.tables.ledger import changed_fleet
from foxstep.tables.version import MAX_CONTROLLERS, Version, epoch_after

SCHEMA = """
CREATE TABLE IF NOT EXISTS starts (one INTEGER PRIMARY KEY CHECK (one = 1), epoch INTEGER);
CREATE TABLE IF NOT EXISTS entries (epoch INTEGER, count INTEGER, at INTEGER, cause TEXT, whole INTEGER,
                                    body BLOB, sum BLOB, PRIMARY KEY (epoch, count)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS rollbacks (number INTEGER PRIMARY KEY, body BLOB, sum BLOB);
CREATE TABLE IF NOT EXISTS holders (proxy TEXT PRIMARY KEY, version TEXT, sum BLOB) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS facts (one INTEGER PRIMARY KEY CHECK (one = 1), body BLOB, sum BLOB);
CREATE TABLE IF NOT EXISTS servers (one INTEGER PRIMARY KEY CHECK (one = 1), body BLOB, sum BLOB);
"""
MAX_QUEUED_WRITES = 1024  # further writes are lost, and the history goes on with a full entry
FULL_ENTRY_INTERVAL = 64  # entries from one full entry, which holds the whole fleet, to the next
MAX_BATCH_WRITES = 256  # writes in one transaction


def first_epoch(wall):
    """The epoch to start above if nothing was kept: the wall clock in seconds times MAX_CONTROLLERS."""
    return wall() // 1_000_000 * MAX_CONTROLLERS


class Store:
    """State in a directory, read at the start into `entries`, `rollbacks`, `holders`, `lines` and `facts`.

    `keep`: entries of history. `max_pages`: maximum size of the file in SQLite pages; 0 for no limit.
    `damage` describes what was found damaged, one text for each row or file.
    """

    def __init__(self, directory, wall, keep=1000, max_pages=0, me=0):
        os.makedirs(directory, exist_ok=True)
        self.path, self.keep, self.wall, self.me = os.path.join(directory, "tables.db"), keep, wall, me
        self.backup_path, self.max_pages = self.path + ".former", max_pages
        self.log = structlog.get_logger("foxstep.store")
        self.damage, self.failing, self.written, self.lost = [], "", 0, 0
        self.connection = self.open()
        self.epoch = self.next_epoch()
        self.read()
        # The next entry does not build on the last stored one if the queue was full (`entry_lost`) or a write
        # failed (`write_failed`).
        self.entry_lost, self.write_failed, self.entries_since_full = False, False, FULL_ENTRY_INTERVAL
        self.writes = queue.Queue(MAX_QUEUED_WRITES)
        self.thread = threading.Thread(target=self.run_writer, name="store", daemon=True)
        self.thread.start()

    # -- opening

    def open(self):
        """A connection to the first usable file: the current one, the backup, or a new one."""
        for path in (self.path, self.backup_path):
            if path == self.backup_path and os.path.exists(path):
                self.restore_backup()
            try:
                return self.connect()
            except sqlite3.DatabaseError as error:
                self.move_aside(str(error))
        return self.connect()

    def connect(self):
        connection = sqlite3.connect(self.path, check_same_thread=False, isolation_level=None, timeout=5)
        try:
            connection.execute("PRAGMA journal_mode=WAL")
            connection.execute("PRAGMA synchronous=FULL")
            if self.max_pages:
                connection.execute(f"PRAGMA max_page_count={self.max_pages}")
            found = connection.execute("PRAGMA quick_check").fetchone()[0]
            if found != "ok":
                raise sqlite3.DatabaseError(found)
            connection.executescript(SCHEMA)
        except sqlite3.DatabaseError:
            connection.close()
            raise
        return connection

    def move_aside(self, reason):
        aside = next(name for k in range(10_000) if not os.path.exists(name := f"{self.path}.unsound-{k}"))
        self.report_damage(f"{self.path}: {reason}; moved to {os.path.basename(aside)}")
        for suffix in ("", "-wal", "-shm"):
            if os.path.exists(self.path + suffix):
                os.replace(self.path + suffix, aside + suffix)

    def restore_backup(self):
        with open(self.backup_path, "rb") as backup, open(self.path, "wb") as file:
            file.write(backup.read())

    def report_damage(self, text):
        self.damage.append(text)
        self.log.error("unsound", what=text)

    def next_epoch(self):
        """An epoch above all earlier ones kept here or, if nothing was kept, above the wall clock's."""
        row = self.connection.execute("SELECT epoch FROM starts").fetchone()
        newest = self.connection.execute("SELECT max(epoch) FROM entries").fetchone()[0] or 0
        epoch = epoch_after(max(row[0], newest) if row else max(first_epoch(self.wall), newest), self.me)
        self.attempt(
            "epoch update",
            lambda: self.connection.execute(
                "INSERT INTO starts VALUES (1, ?) ON CONFLICT (one) DO UPDATE SET epoch = ?", (epoch, epoch)
            ),
        )
        return epoch

    # -- reading

    def read(self):
        self.entries, self.rollbacks, self.holders, self.lines = [], [], {}, []
        self.facts = None
        fleet, chain_intact = None, False
        for epoch, count, at, cause, whole, body, checksum in self.connection.execute(
            "SELECT epoch, count, at, cause, whole, body, sum FROM entries ORDER BY epoch, count"
        ):
            entry = self.decode_row(
                f"entry {epoch}.{count}",
                checksum,
                (epoch, count, at, cause, whole),
                body,
                partial(encoding.decode_entry, epoch, count, at, cause),
            )
            chain_intact = entry is not None and (chain_intact or whole)
            if not chain_intact:
                continue  # entries after a damaged one are skipped up to the next full entry
            fleet = entry.fleet = changed_fleet(Map() if whole else fleet, entry.changed)
            self.entries.append(entry)
        successors = {}
        rows = self.connection.execute("SELECT number, body, sum FROM rollbacks ORDER BY number")
        for number, body, checksum in rows:
            found = self.decode_row(f"rollback {number}", checksum, (number,), body, encoding.decode_rollback)
            if found:
                self.rollbacks.append(found[0])
                successors[found[0].number] = found[1]
        by_number = {r.number: r for r in self.rollbacks}
        for rollback in self.rollbacks:
            rollback.successor = by_number.get(successors[rollback.number])
        for proxy, version, checksum in self.connection.execute("SELECT proxy, version, sum FROM holders"):
            held = self.decode_row(
                f"holder {proxy}",
                checksum,
                (proxy,),
                version.encode(),
                lambda body: Version.parse(body.decode()),
            )
            if held:
                self.holders[proxy] = held
        for body, checksum in self.connection.execute("SELECT body, sum FROM servers"):
            self.lines = self.decode_row("server list", checksum, (1,), body, encoding.decode_lines) or []
        for body, checksum in self.connection.execute("SELECT body, sum FROM facts"):
            self.facts = self.decode_row("learnt facts", checksum, (1,), body, encoding.decode_facts)

    def decode_row(self, what, checksum, key, body, decode):
        """The decoded body of a row, or None if it is damaged; damage is reported."""
        try:
            if checksum != encoding.row_checksum(*key, body):
                raise ValueError("checksum mismatch")
            return decode(body)
        except (ValueError, TypeError, encoding.msgspec.DecodeError) as error:
            self.report_damage(f"{self.path}: {what}: {error}")
            return None

    # -- writing, from any thread; nothing blocks

    def put(self, kind, *values):
        """Queues a write; returns False if the queue is full and the write is lost."""
        try:
            self.writes.put_nowait((kind, *values))
        except queue.Full:
            self.lost += 1
            return False
        return True

    def entry(self, entry):
        self.entry_lost = not self.put("entry", entry, self.entry_lost)

    def rollback(self, rollback):
        self.put("rollback", rollback.number, encoding.encode_rollback(rollback))

    def holder(self, proxy, version):
        self.put("holder", proxy, str(version))

    def list(self, lines):
        self.put("list", encoding.encode_lines(lines))

    def keep_facts(self, body):
        self.put("facts", body)

    def flush(self, timeout_s=5.0):
        """Waits until earlier writes are done; returns whether they are, and the store is not failing."""
        done = threading.Event()
        try:
            self.writes.put(("flush", done), timeout=timeout_s)
        except queue.Full:
            return False
        return done.wait(timeout_s) and not self.failing

    def close(self):
        try:
            self.writes.put(("close",), timeout=2)
        except queue.Full:
            pass
        self.thread.join(5)

    # -- writing, on the store's own thread

    def run_writer(self):
        closing = False
        while not closing:
            batch = [self.writes.get()]
            while len(batch) < MAX_BATCH_WRITES:
                try:
                    batch.append(self.writes.get_nowait())
                except queue.Empty:
                    break
            closing = any(write[0] == "close" for write in batch)
            rows = [write for write in batch if write[0] not in ("flush", "close")]
            if rows and self.attempt("write", lambda rows=rows: self.write(rows)):
                self.written += len(rows)
            elif rows:
                # The next full entry makes up for the lost ones, as far as they still apply.
                self.lost += len(rows)
                self.write_failed = True
            for write in batch:
                if write[0] == "flush":
                    write[1].set()
            self.attempt("compaction", self.compact)
        self.connection.close()

    def attempt(self, what, operation):
        """Runs an operation; returns whether it succeeded.

        A full or failing disk is logged once, until a write succeeds again.
        """
        try:
            operation()
        except sqlite3.Error as error:
            if self.failing != str(error):
                self.failing = str(error)
                self.log.error("store failing", what=what, error=str(error))
            if self.connection.in_transaction:
                self.connection.execute("ROLLBACK")
            return False
        if self.failing and what == "write":
            self.log.warning("store mended", after=self.failing)
            self.failing = ""
        return True

    def write(self, batch):
        newest, since_full = {}, self.entries_since_full
        self.connection.execute("BEGIN IMMEDIATE")
        for kind, *values in batch:
            if kind == "entry":
                entry, entry_lost = values
                whole = since_full >= FULL_ENTRY_INTERVAL or entry_lost or self.write_failed
                since_full = 1 if whole else since_full + 1
                since_full = FULL_ENTRY_INTERVAL if entry.detached else since_full
                self.write_failed = self.write_failed and not whole
                body = encoding.encode_tables(entry.fleet if whole else entry.changed)
                key = (entry.version.epoch, entry.version.count, entry.at, entry.cause, int(whole))
                self.connection.execute(
                    "INSERT OR REPLACE INTO entries VALUES (?, ?, ?, ?, ?, ?, ?)",
                    (*key, body, encoding.row_checksum(*key, body)),
                )
            else:
                key = 1 if kind in ("list", "facts") else values[0]
                newest[kind, key] = values  # the last write of a kind and key is enough
        for (kind, key), values in newest.items():
            body = values[-1]
            data = body.encode() if isinstance(body, str) else body
            table = {"rollback": "rollbacks", "holder": "holders", "list": "servers", "facts": "facts"}[kind]
            self.connection.execute(
                f"INSERT OR REPLACE INTO {table} VALUES (?, ?, ?)",
                (key, body, encoding.row_checksum(key, data)),
            )
        self.connection.execute("COMMIT")
        self.entries_since_full = since_full

    def compact(self):
        """Cuts a history of more than twice `keep` entries down to `keep`, then writes a backup.

        The oldest entry that stays is a full one, so slightly more than `keep` may remain.
        """
        if self.connection.execute("SELECT count(*) FROM entries").fetchone()[0] <= 2 * self.keep:
            return
        oldest_kept = self.connection.execute(
            "SELECT epoch, count FROM entries WHERE whole = 1 AND (epoch, count) <= "
            "(SELECT epoch, count FROM entries ORDER BY epoch DESC, count DESC LIMIT 1 OFFSET ?) "
            "ORDER BY epoch DESC, count DESC LIMIT 1",
            (self.keep - 1,),
        ).fetchone()
        if oldest_kept:
            self.connection.execute("DELETE FROM entries WHERE (epoch, count) < (?, ?)", oldest_kept)
            self.write_backup()

    def write_backup(self):
        new_path = self.backup_path + ".new"
        if os.path.exists(new_path):
            os.remove(new_path)
        with sqlite3.connect(new_path) as backup:
            self.connection.backup(backup)
        backup.close()
        os.replace(new_path, self.backup_path)


class NullStore:
    """The store of a controller without a directory: it keeps nothing."""

    def __init__(self, wall, me=0):
        self.epoch, self.entries, self.rollbacks = epoch_after(first_epoch(wall), me), [], []
        self.holders, self.lines, self.facts = {}, [], None
        self.failing, self.lost, self.written = "", 0, 0

    def ignore(self, *_): ...

    entry = rollback = holder = list = keep_facts = close = ignore

    def flush(self, timeout_s=0.0):
        return True
