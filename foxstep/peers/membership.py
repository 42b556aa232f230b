"""Failure detection among controllers over datagrams that may be lost. No I/O, no clock.

The protocol is SWIM (Das, Gupta and Motivala, 2002): each period one other member is pinged. Without an ack
within a third of the period, some other members are asked to ping it (indirect probes). Without any ack by
the end of the period it is suspected, and it is declared gone when the suspicion times out. Membership
updates are piggybacked on the messages, each one as often as a gossip protocol needs to reach all members.

From Lifeguard (Dadgar, Phillips and Currey, 2017): a member that misses acks, or whose process was paused,
waits longer before it suspects others (local health), and a suspicion that others confirm times out sooner.

An update about a member is ordered by the member's incarnation. Only the member itself raises it, which is
how it refutes a suspicion. After a restart its incarnation begins at its epoch, above all earlier ones.
"""

from collections import deque
from math import ceil, log2
from zlib import crc32

ALIVE, SUSPECTED, GONE = "alive", "suspected", "gone"
RANK = {ALIVE: 0, SUSPECTED: 1, GONE: 2}
INDIRECT_PROBES = 3  # members that are asked to ping one that does not answer
# The two suspicion timeouts are in periods, each times log2(controllers + 1).
MAX_SUSPICION_PERIODS = 5  # while no other member confirms the suspicion
MIN_SUSPICION_PERIODS = 2  # when all who could confirm it have done so
MAX_LOCAL_HEALTH = 4  # worst local health; the probe interval is multiplied by up to 1 + this
RETRANSMIT_FACTOR = 3  # times ceil(log2(controllers + 1)): transmissions of one update
MAX_UPDATES_PER_MESSAGE = 12
MAX_QUEUED_MESSAGES = 256  # beyond it the oldest message is dropped, like any other lost datagram


class Member:
    """What is known of one other controller."""

    def __init__(self, ident, address):
        self.ident = ident
        self.address = address
        self.state = GONE  # until the first message from it
        self.incarnation = 0
        self.state_since = 0
        self.up_since = 0  # when it last ceased to be gone
        self.heard_at = None
        self.suspected_by = {}
        self.transmissions = 1 << 30  # how often its state has been piggybacked
        self.proxy_count = 0


class Membership:
    """One controller's view of all others, and the messages that it has to send.

    `me` is this controller's number, `peers` maps the numbers of all other configured controllers to their
    addresses. `period` is the time between two pings. Times are microseconds on the host's clock.
    """

    def __init__(self, me, peers, incarnation, now, period, seed=0):
        self.me = me
        self.incarnation = incarnation
        self.period = period
        self.seed = seed
        self.members = {ident: Member(ident, address) for ident, address in sorted(peers.items())}
        self.outbox = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.counter = 0
        self.probe_order = []
        self.probe_target = None
        self.probe_number = 0
        self.indirect_probes_sent = True
        self.next_probe_at = now
        self.probe_acked = True
        self.relayed_probes = {}  # number of a ping sent for another member -> (that member, its number)
        self.local_health = 0
        self.last_tick_at = now
        self.state_changes = deque(maxlen=64)
        self.has_left = False

    # -- received messages

    def receive(self, now, sender, verb, number, updates, target=None, incarnation=0, proxy_count=0):
        """Handles a message: "ping", "ack", or "ask" (ping `target` on the sender's behalf).

        `proxy_count` is the number of proxies that the sender serves.
        """
        member = self.members.get(sender)
        if member is None or self.has_left:
            return
        member.heard_at = now
        member.proxy_count = proxy_count
        self.apply_update(now, sender, ALIVE, incarnation, sender)
        for ident, state, known, by in updates[:MAX_UPDATES_PER_MESSAGE]:
            if state in RANK:
                self.apply_update(now, ident, state, known, by)
        if verb == "ping":
            self.enqueue("ack", sender, number)
            if member.state != ALIVE:
                member.transmissions = 0  # the sender has to learn of its state here to be able to refute it
        elif verb == "ask" and target in self.members:
            self.counter += 1
            self.relayed_probes[self.counter] = (sender, number)
            while len(self.relayed_probes) > MAX_QUEUED_MESSAGES:
                del self.relayed_probes[next(iter(self.relayed_probes))]
            self.enqueue("ping", target, self.counter)
        elif verb == "ack":
            if number == self.probe_number and not self.probe_acked:
                self.probe_acked = True
                self.local_health = max(0, self.local_health - 1)
            elif number in self.relayed_probes:
                self.enqueue("ack", *self.relayed_probes.pop(number))

    def apply_update(self, now, ident, state, incarnation, by):
        """Merges an update: the higher incarnation wins; at the same incarnation, the worse state."""
        if ident == self.me:
            # Updates below the current incarnation are already refuted.
            if state != ALIVE and incarnation >= self.incarnation:
                self.incarnation = incarnation + 1
                self.local_health = min(self.local_health + 1, MAX_LOCAL_HEALTH)
            return
        member = self.members.get(ident)
        if member is None:
            return
        newer = incarnation > member.incarnation
        if newer or incarnation == member.incarnation and RANK[state] > RANK[member.state]:
            self.set_state(now, member, state, incarnation)
        if state == SUSPECTED and member.state == SUSPECTED and incarnation == member.incarnation:
            if by not in member.suspected_by:
                member.suspected_by[by] = None
                member.transmissions = 0  # each further confirmation is gossiped

    def set_state(self, now, member, state, incarnation):
        if state != member.state:
            self.state_changes.append((now, member.ident, state))
        if member.state == GONE and state != GONE:
            member.up_since = now
        member.state, member.incarnation, member.state_since = state, incarnation, now
        member.suspected_by = {}
        member.transmissions = 0

    def leave(self):
        """Tells all members that this controller ends, so that they need not detect it by probes."""
        self.has_left = True
        self.outbox = deque(maxlen=MAX_QUEUED_MESSAGES)
        for ident, member in self.members.items():
            if member.state != GONE:
                self.outbox.append(("ping", ident, 0, None, [(self.me, GONE, self.incarnation, self.me)]))

    # -- decisions

    def alive(self):
        """Sorted numbers of the serving controllers, this one included. A suspected one still serves."""
        others = [i for i, m in self.members.items() if m.state != GONE]
        return sorted(others if self.has_left else [self.me, *others])

    def next_message(self, now):
        """Returns (verb, receiver, number, target, updates) of the next message to send, or None."""
        if not self.has_left:
            self.tick(now)
        if not self.outbox:
            return None
        verb, to, number, target, updates = self.outbox.popleft()
        return verb, to, number, target, self.updates_for(to) if updates is None else updates

    def tick(self, now):
        # After a pause of this process (stopped, or starved of CPU) missing acks are its own fault, so no
        # member is suspected for them. Cost: a peer that died meanwhile is detected one period later.
        if now - self.last_tick_at > self.period:
            self.local_health = MAX_LOCAL_HEALTH
            pause = now - self.last_tick_at
            self.probe_acked = True
            for member in self.members.values():
                member.state_since += pause
        self.last_tick_at = now
        for member in self.members.values():
            if member.state == SUSPECTED and now - member.state_since >= self.suspicion_timeout(member):
                self.set_state(now, member, GONE, member.incarnation)
        if not self.probe_acked and not self.indirect_probes_sent and now >= self.indirect_probe_at:
            self.indirect_probes_sent = True
            for other in self.choose_members(INDIRECT_PROBES, self.probe_target.ident):
                self.outbox.append(("ask", other, self.probe_number, self.probe_target.ident, None))
        if now >= self.next_probe_at:
            self.end_probe(now)
            self.begin_probe(now)

    def end_probe(self, now):
        member = self.probe_target
        if member is None or self.probe_acked:
            return
        self.local_health = min(self.local_health + 1, MAX_LOCAL_HEALTH)
        if member.state == ALIVE:
            self.set_state(now, member, SUSPECTED, member.incarnation)
            member.suspected_by[self.me] = None
        elif member.state == SUSPECTED and self.me not in member.suspected_by:
            member.suspected_by[self.me] = None
            member.transmissions = 0

    def begin_probe(self, now):
        interval = self.period * (1 + self.local_health)
        self.next_probe_at = now + interval
        self.indirect_probe_at = now + interval // 3
        if not self.probe_order:
            # Each round has a new order, so a failed member is pinged within two rounds.
            self.counter += 1
            self.probe_order = sorted(
                self.members, key=lambda i: (self.pseudo_random(f"round {self.counter} {i}"), i)
            )
        if not self.probe_order:
            return
        self.probe_target = self.members[self.probe_order.pop()]
        self.counter += 1
        self.probe_number = self.counter
        self.probe_acked = False
        self.indirect_probes_sent = False
        self.enqueue("ping", self.probe_target.ident, self.probe_number)

    def suspicion_timeout(self, member):
        """Microseconds: shorter the more members confirm it, longer when this controller's health is poor."""
        others = max(1, len(self.members) - 1)
        confirmed = min(max(0, len(member.suspected_by) - 1), others)
        share = log2(confirmed + 1) / log2(others + 1)
        scale = log2(len(self.members) + 2)
        longest, shortest = MAX_SUSPICION_PERIODS * scale, MIN_SUSPICION_PERIODS * scale
        return round(
            (longest - (longest - shortest) * share)
            * self.period
            * (1 + self.local_health / MAX_LOCAL_HEALTH)
        )

    def enqueue(self, verb, to, number):
        self.outbox.append((verb, to, number, None, None))

    def choose_members(self, count, excluded):
        """Returns `count` pseudo-random members that are not gone, without `excluded`."""
        others = [i for i, m in self.members.items() if i != excluded and m.state != GONE]
        return sorted(others, key=lambda i: (self.pseudo_random(f"some {self.counter} {i}"), i))[:count]

    def pseudo_random(self, text):
        return crc32(f"{self.seed} {self.me} {text}".encode())

    def updates_for(self, to):
        """Returns the updates to piggyback: the least transmitted first, and, where the receiver is not held
        to be alive, always its own state, so that it can refute it."""
        max_transmissions = RETRANSMIT_FACTOR * ceil(log2(len(self.members) + 2))
        updates, member = [], self.members.get(to)
        if member is not None and member.state != ALIVE and member.incarnation:
            updates.append((to, member.state, member.incarnation, self.me))
        fresh = sorted(
            (m for m in self.members.values() if m.transmissions < max_transmissions and m.ident != to),
            key=lambda m: (m.transmissions, m.ident),
        )
        for other in fresh[: MAX_UPDATES_PER_MESSAGE - 1]:
            other.transmissions += 1
            suspected_by = list(other.suspected_by)
            by = suspected_by[other.transmissions % len(suspected_by)] if suspected_by else self.me
            updates.append((other.ident, other.state, other.incarnation, by))
        return updates

    # -- operator's view

    def view(self, now):
        return {
            str(i): {
                "address": m.address,
                "state": m.state,
                "incarnation": m.incarnation,
                "proxies": m.proxy_count,
                "heard_ms_ago": None if m.heard_at is None else (now - m.heard_at) // 1000,
            }
            for i, m in self.members.items()
        }
