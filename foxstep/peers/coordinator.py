"""Hosts one controller's membership, fact exchange and redirects of proxies among its peers."""

import anyio

from foxstep.peers.bounds import heal_bound
from foxstep.peers.facts import is_valid_fact
from foxstep.peers.membership import GONE, Membership
from foxstep.peers.placement import RedirectScheduler
from foxstep.peers.transport import PeerTransport

SECOND_US = 1_000_000
PERIODS_PER_GRACE = 8  # ping periods: a failure is detected well before the grace for a drain has passed


class PeerCoordinator:
    """Connects one controller (number `me`) with its peers.

    `peers` maps the numbers of all other controllers to (address for messages, address for proxies, zone).
    `drop_ratio` is the fraction of messages that a drill discards.
    """

    def __init__(self, host, fact_exchange, site_name, me, peers, socket, drop_ratio=0.0):
        self.host = host
        self.fact_exchange = fact_exchange
        self.peers = peers
        period = max(1, host.site["grace"] // PERIODS_PER_GRACE)
        self.membership = Membership(
            me, {i: peer[0] for i, peer in peers.items()}, host.epoch, host.clock(), period, host.seed
        )
        zones = {me: host.site["zone"], **{i: peer[2] for i, peer in peers.items()}}
        table_cost = host.site["head"] + 1 + host.site["standing"]
        self.redirect_scheduler = RedirectScheduler(me, zones, period, table_cost, host.site["lines_per_s"])
        fact_exchange.period = period
        self.transport = PeerTransport(
            site_name,
            self.membership,
            socket,
            host.clock,
            lambda: len(host.joined_proxies),
            drop_ratio,
            fact_exchange.replica,
            is_valid_fact,
        )

    async def redirect_proxies(self):
        """Redirects proxies to their home controllers, one at a time, until cancelled."""
        while True:
            now, members = self.host.clock(), self.membership.members
            others = {i: (m.up_since, m.heard_at or 0) for i, m in members.items() if m.state != GONE}
            all_proxies = {**self.fact_exchange.peer_facts.proxies_of(others), **self.fact_exchange.zones()}
            redirect = self.redirect_scheduler.next_redirect(
                now, self.host.redirectable_proxies(), all_proxies, others
            )
            if redirect:
                proxy, home = redirect
                self.host.redirect(proxy, self.peers[home][1])
            wait = min(max(self.redirect_scheduler.next_at - now, 1_000), self.membership.period // 4)
            await anyio.sleep(wait / SECOND_US)

    async def exchange_with_peers(self):
        """Requests facts that are lacking here, and sends peers what they lack."""
        await self.transport.send_digest()
        await self.transport.send_answers()

    async def leave(self):
        """Tells the peers that this controller ends."""
        self.membership.leave()
        await self.transport.send_due()

    def view(self):
        """Returns plain values for an operator."""
        now = self.host.clock()
        return {
            "me": self.membership.me,
            "incarnation": self.membership.incarnation,
            "epoch": self.host.epoch,
            "alive": self.membership.alive(),
            "draining": self.redirect_scheduler.draining,
            "proxies": {ident: joined.zone for ident, joined in self.host.joined_proxies.items()},
            "notes": {
                "sent": self.transport.sent,
                "heard": self.transport.received,
                "bytes": self.transport.bytes,
                "facts_bytes": self.transport.facts_bytes,
                "odd": self.transport.invalid_messages,
            },
            "peers": self.membership.view(now),
            "away": {
                p: h
                for p, h in self.redirect_scheduler.homes.items()
                if p in self.host.joined_proxies and h != self.membership.me
            },
            "facts": {str(i): self.fact_exchange.summary_of(now, i) for i in self.peers},
            "heals_within_ms": heal_bound(
                self.membership.period,
                len(self.peers),
                self.redirect_scheduler.spacing,
                len(self.host.joined_proxies),
            )
            // 1000,
        }

    async def run(self):
        async with anyio.create_task_group() as group:
            group.start_soon(self.transport.run)
            group.start_soon(self.redirect_proxies)
            group.start_soon(self.fact_exchange.run, self.exchange_with_peers)
