"""The store under kills, truncated files, flipped bits, a full disk and writes faster than it can store."""

import os
import shutil
import signal
import sqlite3
import subprocess
import sys
import tempfile
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foxstep.store.store import Store
from foxstep.tables.ledger import Ledger
from foxstep.tables.rollback import Rollbacks
from foxstep.tables.version import Version


def wall():
    return 1_000_000_000_000


def history(store, n, keep=1000, proxies=5):
    """Commits `n` versions to a ledger and the store; returns version -> plain fleet."""
    ledger, fleets = Ledger(store.epoch, keep), {}
    for k in range(n):
        proxy = f"p{k % proxies}"
        version = ledger.commit(k, f"cause {k}", {proxy: {f"s{k % 7}": 1.0 + k, "t": 1.0}})
        store.entry(ledger.entries[version])
        fleets[version] = plain(ledger.fleet)
    return fleets


def plain(fleet):
    return {proxy: dict(table.lines) for proxy, table in fleet.items()}


def test_everything_is_read_back_after_a_close_and_the_epoch_has_grown(tmp_path):
    store = Store(str(tmp_path), wall)
    fleets = history(store, 150)
    rollbacks = Rollbacks()
    first = rollbacks.order(5, "fleet", Version(store.epoch, 3), 10)
    second = rollbacks.order(6, "fleet", Version(store.epoch, 7), 10)
    second.reached["p1"] = None
    for rollback in (first, second):
        store.rollback(rollback)
    store.holder("p1", Version(store.epoch, 9))
    assert store.flush()
    store.close()
    again = Store(str(tmp_path), wall)
    assert again.epoch > store.epoch and not again.damage
    assert {e.version: plain(e.fleet) for e in again.entries} == fleets
    assert [(r.number, str(r.version), r.state) for r in again.rollbacks] == [
        (1, f"{store.epoch}.3", "replaced"),
        (2, f"{store.epoch}.7", "running"),
    ]
    assert again.rollbacks[0].successor is again.rollbacks[1] and list(again.rollbacks[1].reached) == ["p1"]
    assert again.holders == {"p1": Version(store.epoch, 9)}
    again.close()


def test_history_is_bounded_and_the_backup_is_used_if_the_file_is_no_database(tmp_path):
    store = Store(str(tmp_path), wall, keep=50)
    fleets = history(store, 400, keep=50)
    assert store.flush()
    store.close()
    file_size = os.path.getsize(tmp_path / "tables.db")
    (tmp_path / "tables.db").write_bytes(b"not a database at all" * 500)
    again = Store(str(tmp_path), wall, keep=50)
    assert 50 <= len(again.entries) <= 100 + 64
    assert all(fleets[e.version] == plain(e.fleet) for e in again.entries)
    assert "moved to tables.db.unsound-0" in again.damage[0]
    assert file_size < 400 * 1024
    again.close()


@pytest.fixture(scope="module")
def written():
    """A directory as a kill leaves it: the file, and a write-ahead log that was not closed."""
    with tempfile.TemporaryDirectory() as folder, tempfile.TemporaryDirectory() as killed_directory:
        store = Store(folder, wall)
        fleets = history(store, 200)
        assert store.flush()
        for name in ("tables.db", "tables.db-wal"):
            shutil.copy(os.path.join(folder, name), killed_directory)
        epoch = store.epoch
        store.close()
        yield killed_directory, fleets, epoch


@settings(max_examples=60, deadline=None)
@given(
    st.sampled_from(["tables.db", "tables.db-wal"]),
    st.sampled_from(["cut", "flip"]),
    st.floats(0, 0.999999),
    st.integers(0, 7),
)
def test_after_truncation_or_a_flipped_bit_each_entry_read_is_a_fleet_that_was_written(
    written, name, how, where, bit
):
    killed_directory, fleets, epoch = written
    with tempfile.TemporaryDirectory() as folder:
        for kept in ("tables.db", "tables.db-wal"):
            shutil.copy(os.path.join(killed_directory, kept), folder)
        path = os.path.join(folder, name)
        data = bytearray(open(path, "rb").read())
        position = int(where * len(data))
        if how == "cut":
            del data[position:]
        else:
            data[position] ^= 1 << bit
        with open(path, "wb") as file:
            file.write(data)
        store = Store(folder, wall)
        try:
            for entry in store.entries:
                assert plain(entry.fleet) == fleets[entry.version]
            # Whatever the damage, the store goes on and reads back what is written from here on.
            new = history(store, 3)
            assert store.flush()
        finally:
            store.close()
        again = Store(folder, wall)
        assert {e.version: plain(e.fleet) for e in again.entries}.items() >= new.items()
        again.close()


KILLED = """
import sys
from foxstep.store.store import Store
from foxstep.tables.ledger import Ledger
store = Store(sys.argv[1], lambda: 1)
ledger = Ledger(store.epoch)
for entry in store.entries:
    ledger.append(entry)
print(store.epoch, flush=True)
k = 0
while True:
    k += 1
    version = ledger.commit(k, "c", {f"p{k % 9}": {"s": float(k), "epoch": float(store.epoch)}})
    store.entry(ledger.entries[version])
    if k % 20 == 0:
        assert store.flush()
        print(k, flush=True)
"""


def test_a_kill_at_any_time_loses_nothing_that_was_flushed(tmp_path):
    flushed = {}
    for turn in range(6):
        process = subprocess.Popen(
            [sys.executable, "-c", KILLED, str(tmp_path)], stdout=subprocess.PIPE, text=True
        )
        epoch = int(process.stdout.readline())
        assert epoch > max(flushed, default=0)
        for _ in range(turn + 1):
            flushed[epoch] = int(process.stdout.readline())
        time.sleep(0.003 * turn)
        process.send_signal(signal.SIGKILL)
        rest = process.communicate()[0].split()
        flushed[epoch] = max([flushed[epoch], *map(int, rest)])
    store = Store(str(tmp_path), wall)
    assert not store.damage
    for epoch, count in flushed.items():
        kept = [e for e in store.entries if e.version.epoch == epoch]
        assert kept[-1].version.count >= count
        assert all(a.version.count + 1 == b.version.count for a, b in zip(kept, kept[1:], strict=False))
        assert kept[-1].fleet[f"p{kept[-1].version.count % 9}"].lines["s"] == kept[-1].version.count
    store.close()


def test_a_full_disk_is_reported_and_the_history_goes_on_once_there_is_room(tmp_path):
    store = Store(str(tmp_path), wall, max_pages=8)
    history(store, 900, proxies=300)
    assert not store.flush() and "full" in store.failing and store.lost
    store.connection.execute("PRAGMA max_page_count=100000")
    ledger = Ledger(store.epoch)
    ledger.count = 1000
    version = ledger.commit(0, "space freed", {"p": {"s": 1.0}})
    store.entry(ledger.entries[version])
    assert store.flush() and not store.failing
    store.close()
    again = Store(str(tmp_path), wall)
    assert again.entries[-1].version == version and plain(again.entries[-1].fleet) == {"p": {"s": 1.0}}
    again.close()


def test_writes_faster_than_the_disk_never_block_and_leave_a_valid_history(tmp_path):
    store = Store(str(tmp_path), wall)
    lock = sqlite3.connect(tmp_path / "tables.db", isolation_level=None)
    lock.execute("BEGIN IMMEDIATE")
    began = time.monotonic()
    fleets = history(store, 5000)
    assert time.monotonic() - began < 4, "5000 commits waited for a locked file"
    lock.execute("COMMIT")
    lock.close()
    ledger = Ledger(store.epoch)
    ledger.count = 5000
    store.flush(20)
    version = ledger.commit(0, "after", {"p": {"s": 1.0}})
    store.entry(ledger.entries[version])
    assert store.flush(20) and store.lost
    store.close()
    again = Store(str(tmp_path), wall)
    assert again.entries[-1].version == version and plain(again.entries[-1].fleet) == {"p": {"s": 1.0}}
    assert all(plain(e.fleet) == fleets[e.version] for e in again.entries[:-1])
    again.close()
