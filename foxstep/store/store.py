"""The store: one SQLite file, written by a thread of its own, so that no order waits for a disk.

Each row bears a sum of its own beside SQLite's journal: a flipped bit is found when it is read. A file that
SQLite itself cannot read is put aside under a name that says so, and the former copy serves.
"""

import os
import queue
import sqlite3
import threading
from functools import partial

import structlog
from immutables import Map

from foxstep.store import form
from foxstep.tables.ledger import changed_fleet
from foxstep.tables.version import CONTROLLERS, Version, epoch_after

SCHEMA = """
CREATE TABLE IF NOT EXISTS starts (one INTEGER PRIMARY KEY CHECK (one = 1), epoch INTEGER);
CREATE TABLE IF NOT EXISTS entries (epoch INTEGER, count INTEGER, at INTEGER, cause TEXT, whole INTEGER,
                                    body BLOB, sum BLOB, PRIMARY KEY (epoch, count)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS rollbacks (number INTEGER PRIMARY KEY, body BLOB, sum BLOB);
CREATE TABLE IF NOT EXISTS holders (proxy TEXT PRIMARY KEY, version TEXT, sum BLOB) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS facts (one INTEGER PRIMARY KEY CHECK (one = 1), body BLOB, sum BLOB);
CREATE TABLE IF NOT EXISTS servers (one INTEGER PRIMARY KEY CHECK (one = 1), body BLOB, sum BLOB);
"""
AHEAD = 1024  # writes that may wait; beyond that the history goes on with a whole entry
WHOLE_EVERY = 64  # entries between two whole ones
AT_ONCE = 256  # writes in one transaction


def first_epoch(wall):
    """Where nothing was kept: the wall clock's seconds."""
    return wall() // 1_000_000 * CONTROLLERS


class Store:
    """`keep`: entries of history. What was sound is read at once, into `entries`, `rollbacks`, `holders`,
    `lines`; `unsound` tells in words what was not."""

    def __init__(self, directory, wall, keep=1000, pages=0, me=0):
        os.makedirs(directory, exist_ok=True)
        self.path, self.keep, self.wall, self.me = os.path.join(directory, "tables.db"), keep, wall, me
        self.former, self.pages = self.path + ".former", pages
        self.log = structlog.get_logger("foxstep.store")
        self.unsound, self.failing, self.written, self.lost = [], "", 0, 0
        self.base = self.open()
        self.epoch = self.next_epoch()
        self.read()
        # The next entry does not build on the last one kept: the caller lost some, or a write failed.
        self.gap, self.broken, self.since_whole = False, False, WHOLE_EVERY
        self.writes = queue.Queue(AHEAD)
        self.thread = threading.Thread(target=self.write_all, name="store", daemon=True)
        self.thread.start()

    # -- opening

    def open(self):
        """A connection to a file that SQLite finds in order: this one, the former copy, or a new one."""
        for path in (self.path, self.former):
            if path == self.former and os.path.exists(path):
                self.take_former()
            try:
                return self.connect()
            except sqlite3.DatabaseError as error:
                self.put_aside(str(error))
        return self.connect()

    def connect(self):
        base = sqlite3.connect(self.path, check_same_thread=False, isolation_level=None, timeout=5)
        try:
            base.execute("PRAGMA journal_mode=WAL")
            base.execute("PRAGMA synchronous=FULL")
            if self.pages:
                base.execute(f"PRAGMA max_page_count={self.pages}")
            found = base.execute("PRAGMA quick_check").fetchone()[0]
            if found != "ok":
                raise sqlite3.DatabaseError(found)
            base.executescript(SCHEMA)
        except sqlite3.DatabaseError:
            base.close()
            raise
        return base

    def put_aside(self, why):
        aside = next(name for k in range(10_000) if not os.path.exists(name := f"{self.path}.unsound-{k}"))
        self.tell(f"{self.path}: {why}; put aside as {os.path.basename(aside)}")
        for end in ("", "-wal", "-shm"):
            if os.path.exists(self.path + end):
                os.replace(self.path + end, aside + end)

    def take_former(self):
        with open(self.former, "rb") as former, open(self.path, "wb") as file:
            file.write(former.read())

    def tell(self, text):
        self.unsound.append(text)
        self.log.error("unsound", what=text)

    def next_epoch(self):
        """A number that grows with every start, from here or, where nothing was kept, from the wall clock."""
        row = self.base.execute("SELECT epoch FROM starts").fetchone()
        newest = self.base.execute("SELECT max(epoch) FROM entries").fetchone()[0] or 0
        epoch = epoch_after(max(row[0], newest) if row else max(first_epoch(self.wall), newest), self.me)
        self.attempt(
            "the count of starts",
            lambda: self.base.execute(
                "INSERT INTO starts VALUES (1, ?) ON CONFLICT (one) DO UPDATE SET epoch = ?", (epoch, epoch)
            ),
        )
        return epoch

    # -- reading

    def read(self):
        self.entries, self.rollbacks, self.holders, self.lines = [], [], {}, []
        self.facts = None
        fleet, chain = None, False
        for epoch, count, at, cause, whole, body, stored in self.base.execute(
            "SELECT epoch, count, at, cause, whole, body, sum FROM entries ORDER BY epoch, count"
        ):
            entry = self.sound(
                f"entry {epoch}.{count}",
                stored,
                (epoch, count, at, cause, whole),
                body,
                partial(form.read_entry, epoch, count, at, cause),
            )
            chain = entry is not None and (chain or whole)
            if not chain:
                continue  # what builds on an unsound entry waits for the next whole one
            fleet = entry.fleet = changed_fleet(Map() if whole else fleet, entry.changed)
            self.entries.append(entry)
        heirs = {}
        rows = self.base.execute("SELECT number, body, sum FROM rollbacks ORDER BY number")
        for number, body, stored in rows:
            found = self.sound(f"rollback {number}", stored, (number,), body, form.read_rollback)
            if found:
                self.rollbacks.append(found[0])
                heirs[found[0].number] = found[1]
        by_number = {r.number: r for r in self.rollbacks}
        for rollback in self.rollbacks:
            rollback.heir = by_number.get(heirs[rollback.number])
        for proxy, version, stored in self.base.execute("SELECT proxy, version, sum FROM holders"):
            held = self.sound(
                f"holder {proxy}",
                stored,
                (proxy,),
                version.encode(),
                lambda body: Version.read(body.decode()),
            )
            if held:
                self.holders[proxy] = held
        for body, stored in self.base.execute("SELECT body, sum FROM servers"):
            self.lines = self.sound("the list", stored, (1,), body, form.read_lines) or []
        for body, stored in self.base.execute("SELECT body, sum FROM facts"):
            self.facts = self.sound("what was learnt", stored, (1,), body, form.read_facts)

    def sound(self, what, stored, key, body, read):
        try:
            if stored != form.row_sum(*key, body):
                raise ValueError("its sum does not fit")
            return read(body)
        except (ValueError, TypeError, form.msgspec.DecodeError) as error:
            self.tell(f"{self.path}: {what}: {error}")
            return None

    # -- writing, from any thread; nothing waits

    def put(self, kind, *values):
        """Queues a write. A full queue loses it: the history then goes on with a whole entry."""
        try:
            self.writes.put_nowait((kind, *values))
        except queue.Full:
            self.lost += 1
            return False
        return True

    def entry(self, entry):
        self.gap = not self.put("entry", entry, self.gap)

    def rollback(self, rollback):
        self.put("rollback", rollback.number, form.rollback_body(rollback))

    def holder(self, proxy, version):
        self.put("holder", proxy, str(version))

    def list(self, lines):
        self.put("list", form.lines_body(lines))

    def keep_facts(self, body):
        self.put("facts", body)

    def flush(self, seconds=5.0):
        """Waits until what was put before is written; answers whether it is."""
        done = threading.Event()
        try:
            self.writes.put(("flush", done), timeout=seconds)
        except queue.Full:
            return False
        return done.wait(seconds) and not self.failing

    def close(self):
        try:
            self.writes.put(("close",), timeout=2)
        except queue.Full:
            pass
        self.thread.join(5)

    # -- writing, on the store's own thread

    def write_all(self):
        closing = False
        while not closing:
            batch = [self.writes.get()]
            while len(batch) < AT_ONCE:
                try:
                    batch.append(self.writes.get_nowait())
                except queue.Empty:
                    break
            closing = any(write[0] == "close" for write in batch)
            rows = [write for write in batch if write[0] not in ("flush", "close")]
            if rows and self.attempt("a write", lambda rows=rows: self.write(rows)):
                self.written += len(rows)
            elif rows:
                # What was lost with it is in the next whole entry, as far as it still holds.
                self.lost += len(rows)
                self.broken = True
            for write in batch:
                if write[0] == "flush":
                    write[1].set()
            self.attempt("a compaction", self.compact)
        self.base.close()

    def attempt(self, what, do):
        """Does it; a full disk or a failing one is told once, until a write succeeds again."""
        try:
            do()
        except sqlite3.Error as error:
            if self.failing != str(error):
                self.failing = str(error)
                self.log.error("store failing", what=what, error=str(error))
            if self.base.in_transaction:
                self.base.execute("ROLLBACK")
            return False
        if self.failing and what == "a write":
            self.log.warning("store mended", after=self.failing)
            self.failing = ""
        return True

    def write(self, batch):
        newest, since = {}, self.since_whole
        self.base.execute("BEGIN IMMEDIATE")
        for kind, *values in batch:
            if kind == "entry":
                entry, gap = values
                whole = since >= WHOLE_EVERY or gap or self.broken
                since = 1 if whole else since + 1
                since = WHOLE_EVERY if entry.aside else since
                self.broken = self.broken and not whole
                body = form.tables_body(entry.fleet if whole else entry.changed)
                key = (entry.version.epoch, entry.version.count, entry.at, entry.cause, int(whole))
                self.base.execute(
                    "INSERT OR REPLACE INTO entries VALUES (?, ?, ?, ?, ?, ?, ?)",
                    (*key, body, form.row_sum(*key, body)),
                )
            else:
                key = 1 if kind in ("list", "facts") else values[0]
                newest[kind, key] = values  # the newest of a kind and key
        for (kind, key), values in newest.items():
            body = values[-1]
            data = body.encode() if isinstance(body, str) else body
            table = {"rollback": "rollbacks", "holder": "holders", "list": "servers", "facts": "facts"}[kind]
            self.base.execute(
                f"INSERT OR REPLACE INTO {table} VALUES (?, ?, ?)", (key, body, form.row_sum(key, data))
            )
        self.base.execute("COMMIT")
        self.since_whole = since

    def compact(self):
        """Cuts the history to `keep` entries, back to a whole one, once it is twice as long; then copies the
        file, whole, as the former one."""
        if self.base.execute("SELECT count(*) FROM entries").fetchone()[0] <= 2 * self.keep:
            return
        cut = self.base.execute(
            "SELECT epoch, count FROM entries WHERE whole = 1 AND (epoch, count) <= "
            "(SELECT epoch, count FROM entries ORDER BY epoch DESC, count DESC LIMIT 1 OFFSET ?) "
            "ORDER BY epoch DESC, count DESC LIMIT 1",
            (self.keep - 1,),
        ).fetchone()
        if cut:
            self.base.execute("DELETE FROM entries WHERE (epoch, count) < (?, ?)", cut)
            self.copy()

    def copy(self):
        new = self.former + ".new"
        if os.path.exists(new):
            os.remove(new)
        with sqlite3.connect(new) as copied:
            self.base.backup(copied)
        copied.close()
        os.replace(new, self.former)


class Nowhere:
    """A controller without a folder keeps nothing."""

    def __init__(self, wall, me=0):
        self.epoch, self.entries, self.rollbacks = epoch_after(first_epoch(wall), me), [], []
        self.holders, self.lines, self.facts = {}, [], None
        self.failing, self.lost, self.written = "", 0, 0

    def ignore(self, *_): ...

    entry = rollback = holder = list = keep_facts = close = ignore

    def flush(self, seconds=0.0):
        return True
