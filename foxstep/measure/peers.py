"""`foxstep measure-peers`: detection against false alarms and bytes, and moves when a controller comes."""

import time
from zlib import crc32

import anyio
import click

from foxstep.peers.membership import GONE, SUSPECTED, Membership
from foxstep.peers.notes import Notes
from foxstep.peers.place import preferred

SIZES, LOSSES = (2, 4, 8, 16), (0.0, 0.1, 0.3, 0.6)
PERIOD = 250_000   # what a grace of two seconds makes it


def clock():
    return time.monotonic_ns() // 1000


class Crowd:
    """Controllers of one site on real datagrams, in this process; `lose`: the part of notes lost."""

    def __init__(self, size, lose):
        self.size, self.lose, self.nodes, self.scopes = size, lose, [], []
        self.wrong = {GONE: 0, SUSPECTED: 0}

    async def run(self, calm, wait, *, task_status=anyio.TASK_STATUS_IGNORED):
        sockets = [await anyio.create_udp_socket(local_host="127.0.0.1") for _ in range(self.size)]
        places = [f"127.0.0.1:{s.extra(anyio.abc.SocketAttribute.local_port)}" for s in sockets]
        task_status.started()
        async with anyio.create_task_group() as group:
            for me in range(self.size):
                others = {i: place for i, place in enumerate(places) if i != me}
                membership = Membership(me, others, 64 + me, clock(), PERIOD)
                node = Notes("measured", membership, sockets[me], clock, lambda: 0, self.lose)
                self.nodes.append(node)
                self.scopes.append(scope := anyio.CancelScope())
                group.start_soon(self.live, node, scope)
            await anyio.sleep(3)
            before, began = sum(n.bytes for n in self.nodes), clock()
            for node in self.nodes:
                node.seen = []
            await anyio.sleep(calm)
            self.bytes = (sum(n.bytes for n in self.nodes) - before) / (clock() - began) * 1e6 / self.size
            for node in self.nodes:
                for state in node.seen:
                    self.wrong[state] = self.wrong.get(state, 0) + 1
            self.hours = self.size * calm / 3600
            self.scopes[0].cancel()
            died, found = clock(), {}
            with anyio.move_on_after(wait):
                while len(found) < self.size - 1:
                    for node in self.nodes[1:]:
                        if node.membership.members[0].state == GONE:
                            found.setdefault(node.membership.me, (clock() - died) / 1e6)
                    await anyio.sleep(0.02)
            self.found = sorted(found.values())
            group.cancel_scope.cancel()

    async def live(self, node, scope):
        node.seen = []
        with scope:
            async with anyio.create_task_group() as group:
                group.start_soon(node.hear)
                while True:
                    await node.send_due()
                    while node.membership.changes:
                        node.seen.append(node.membership.changes.popleft()[2])
                    await anyio.sleep(PERIOD / 1e6 / 10)


async def membership(calm, wait):
    crowds = [Crowd(size, lose) for lose in LOSSES for size in SIZES]
    async with anyio.create_task_group() as group:
        for crowd in crowds:
            group.start_soon(crowd.run, calm, wait)
    click.echo("lost  controllers  found gone by all, s  first, s  bytes/s each  wrongly gone/h  suspected/h")
    for c in crowds:
        all_found = len(c.found) == c.size - 1
        found = f"{c.found[-1]:8.2f} {c.found[0]:9.2f}" if all_found else "    not by all    "
        gone, suspected = c.wrong[GONE] / c.hours, c.wrong[SUSPECTED] / c.hours
        click.echo(f"{c.lose:4.0%} {c.size:12d} {found:>30} {c.bytes:13,.0f} {gone:15.1f} "
                   f"{suspected:12.0f}")


def moves(proxies):
    """Parts of the proxies that change their controller when one comes, by rendezvous and by modulo."""
    names = [f"proxy-{k}" for k in range(proxies)]
    click.echo("controllers  moves when one more comes: rendezvous  modulo  fewest possible  fullest/mean")
    for size in (2, 4, 8, 16):
        def homes(n):
            return [preferred(p, "", range(n), {})[0] for p in names]
        before, after = homes(size), homes(size + 1)
        moved = sum(a != b for a, b in zip(before, after, strict=True)) / proxies
        plain = sum(crc32(p.encode()) % size != crc32(p.encode()) % (size + 1) for p in names) / proxies
        fullest = max(before.count(c) for c in range(size)) * size / proxies
        click.echo(f"{size:11d} {moved:38.3f} {plain:7.3f} {1 / (size + 1):16.3f} {fullest:13.2f}")


def run(seconds):
    anyio.run(membership, seconds, 30)
    moves(400)
