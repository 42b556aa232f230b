"""`foxstep measure-tables`: the cost of table versions in memory and store, compared with plain copies."""

import os
import tempfile
import time
import tracemalloc

import click

from foxstep.store.store import Store
from foxstep.tables.ledger import Ledger

SERVERS = 110
LINES = 12


def tables(proxies):
    """Makes a table of LINES servers for each proxy."""
    return {f"p{k}": {f"10.0.{(k + j) % SERVERS}.1:80": 1.0 for j in range(LINES)} for k in range(proxies)}


def changes_of(k, proxies, changed_fraction):
    """Returns the changes of one period: one line of each of a fraction of the proxies."""
    return [
        (f"p{(k * 7 + n) % proxies}", f"10.0.{(k * 7 + n) % SERVERS}.1:80", 1.0 + k / 1000)
        for n in range(max(1, int(changed_fraction * proxies)))
    ]


def ledger_bytes(proxies, versions, changed_fraction):
    """Memory in bytes of a ledger with `versions` versions, which share their unchanged parts."""
    tracemalloc.start()
    ledger = Ledger(1, keep=versions)
    ledger.commit(0, "", tables(proxies))
    for k in range(versions):
        changed = {}
        for proxy, server, weight in changes_of(k, proxies, changed_fraction):
            changed[proxy] = ledger.table(proxy).lines.set(server, weight)
        ledger.commit(k, "", changed)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size


def copies_bytes(proxies, versions, changed_fraction):
    """Memory in bytes of as many plain copies, which share only the names of servers."""
    tracemalloc.start()
    fleet = tables(proxies)
    copies = []
    for k in range(versions):
        for proxy, server, weight in changes_of(k, proxies, changed_fraction):
            fleet[proxy][server] = weight
        copies.append({proxy: dict(lines) for proxy, lines in fleet.items()})
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size


def measure_store(proxies, versions, changed_fraction):
    """Writes `versions` versions to a store and reads them back.

    Returns (microseconds that a write takes its caller, entries per second written to disk, file size in
    bytes, seconds to read back).
    """
    with tempfile.TemporaryDirectory() as folder:
        store = Store(folder, lambda: 0, keep=versions)
        ledger = Ledger(store.epoch, keep=versions)
        put_time = 0.0
        ledger.commit(0, "", tables(proxies))
        began = time.perf_counter()
        for k in range(1, versions + 1):
            changed = {}
            for proxy, server, weight in changes_of(k, proxies, changed_fraction):
                changed[proxy] = ledger.table(proxy).lines.set(server, weight)
            version = ledger.commit(k, "", changed)
            at = time.perf_counter()
            store.entry(ledger.entries[version])
            put_time += time.perf_counter() - at
            if k % 500 == 499:
                store.flush(60)
        store.flush(60)
        took = time.perf_counter() - began
        store.close()
        size = os.path.getsize(os.path.join(folder, "tables.db"))
        began = time.perf_counter()
        reopened = Store(folder, lambda: 0, keep=versions)
        read_time = time.perf_counter() - began
        assert len(reopened.entries) >= versions - store.lost
        reopened.close()
    return put_time / versions * 1e6, versions / took, size, read_time


def run():
    """Prints the memory of versions and the speed of the store as two tables."""
    click.echo("| proxies | versions | changed | shared, MiB | copies, MiB | version, KiB | copy, KiB |")
    click.echo("|" + " --- |" * 7)
    for proxies, versions, changed_fraction in ((120, 1000, 0.05), (400, 1000, 0.05), (400, 1000, 1.0)):
        shared_size = ledger_bytes(proxies, versions, changed_fraction)
        copied_size = copies_bytes(proxies, versions // 10, changed_fraction) * 10
        click.echo(
            f"| {proxies} | {versions} | {changed_fraction:.0%} | "
            f"{shared_size / 2**20:.1f} | {copied_size / 2**20:.1f} | "
            f"{shared_size / versions / 1024:.1f} | {copied_size / versions / 1024:.1f} |"
        )
    click.echo(
        "\n| proxies | entries | us per write, in the caller | entries/s to disk | MiB | read back, s |"
    )
    click.echo("|" + " --- |" * 6)
    for proxies, versions in ((120, 1000), (400, 250), (400, 1000), (400, 4000)):
        put_us, rate, size, read_time = measure_store(proxies, versions, 0.05)
        click.echo(
            f"| {proxies} | {versions} | {put_us:.1f} | {rate:.0f} | {size / 2**20:.1f} | {read_time:.2f} |"
        )
