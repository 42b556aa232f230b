"""One controller's part among its peers: notes, and proxies that go home. Hosts the decisions beside it."""

import anyio

from foxstep.peers.bounds import heal_bound
from foxstep.peers.learnt import sound
from foxstep.peers.membership import GONE, Membership
from foxstep.peers.notes import Notes
from foxstep.peers.place import Homing

SECOND = 1_000_000
PERIODS = 8  # periods of pings in the grace: one that dies is found out well before a drain is missed


class Sharing:
    """`peers`: number -> (address for notes, address for proxies, zone) of all other controllers."""

    def __init__(self, host, learning, site_name, me, peers, socket, lose=0.0):
        self.host, self.learning, self.peers = host, learning, peers
        period = max(1, host.site["grace"] // PERIODS)
        self.membership = Membership(
            me, {i: told[0] for i, told in peers.items()}, host.epoch, host.clock(), period, host.seed
        )
        zones = {me: host.site["zone"], **{i: told[2] for i, told in peers.items()}}
        cost = host.site["head"] + 1 + host.site["standing"]
        self.homing = Homing(me, zones, period, cost, host.site["lines_per_s"])
        learning.period = period
        self.notes = Notes(
            site_name,
            self.membership,
            socket,
            host.clock,
            lambda: len(host.joins),
            lose,
            learning.replica,
            sound,
        )

    # -- proxies

    async def send_home(self):
        while True:
            now, members = self.host.clock(), self.membership.members
            others = {i: (m.up_since, m.heard_at or 0) for i, m in members.items() if m.state != GONE}
            everyone = {**self.learning.hearsay.everyone(others), **self.learning.zones()}
            told = self.homing.next_return(now, self.host.at_home_elsewhere(), everyone, others)
            if told:
                proxy, home = told
                self.host.send_home(proxy, self.peers[home][1])
            wait = min(max(self.homing.next_at - now, 1_000), self.membership.period // 4)
            await anyio.sleep(wait / SECOND)

    async def talk(self):
        await self.notes.ask_facts()
        await self.notes.answer_facts()

    async def leave(self):
        """Tells the others that this one ends."""
        self.membership.leave()
        await self.notes.send_due()

    def view(self):
        now = self.host.clock()
        return {
            "me": self.membership.me,
            "incarnation": self.membership.incarnation,
            "epoch": self.host.epoch,
            "alive": self.membership.alive(),
            "draining": self.homing.leaving,
            "proxies": {ident: joined.zone for ident, joined in self.host.joins.items()},
            "notes": {
                "sent": self.notes.sent,
                "heard": self.notes.heard,
                "bytes": self.notes.bytes,
                "facts_bytes": self.notes.facts_bytes,
                "odd": self.notes.odd,
            },
            "peers": self.membership.view(now),
            "away": {
                p: h for p, h in self.homing.homes.items() if p in self.host.joins and h != self.membership.me
            },
            "facts": {str(i): self.learning.facts_of(now, i) for i in self.peers},
            "heals_within_ms": heal_bound(
                self.membership.period, len(self.peers), self.homing.spacing, len(self.host.joins)
            )
            // 1000,
        }

    async def run(self):
        async with anyio.create_task_group() as group:
            group.start_soon(self.notes.run)
            group.start_soon(self.send_home)
            group.start_soon(self.learning.run, self.talk)
