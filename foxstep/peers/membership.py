"""Who of the controllers is alive, suspected or gone, by notes that may be lost. No I/O, no clock.

The probing of SWIM (Das, Gupta and Motivala, 2002): each period one other is pinged; without an answer in a
third of it some more are asked to ping it; without any by its end it is suspected, and gone when the
suspicion has lasted. News rides along on notes, each piece so often as a rumour needs to reach all. From
Lifeguard (Dadgar, Phillips and Currey, 2017): one that hears little itself, or stood still, waits longer
before it accuses, and a suspicion that others confirm ends sooner.

A word about a controller counts by its incarnation: only it raises its own, which is how it refutes. One that
starts anew begins at its epoch, above all that it ever said.
"""

from collections import deque
from math import ceil, log2
from zlib import crc32

ALIVE, SUSPECTED, GONE = "alive", "suspected", "gone"
RANK = {ALIVE: 0, SUSPECTED: 1, GONE: 2}
ASKED = 3  # others that are asked to ping one that does not answer
SUSPICION = 5  # periods that a suspicion lasts, times log2 of all + 1, when nobody confirms it
LEAST_SUSPICION = 2  # the same when all who could have confirmed it
MOST_HEALTH = 4  # an unwell one's patience: so many times, at most, plus one
TOLD = 3  # times log2 of all + 1 that a piece of news rides along
NEWS_MOST = 12  # pieces in one note
QUEUE_MOST = 256  # notes that wait to be sent; beyond, the oldest is lost as on any bad way


class Member:
    """What is known of one other controller."""

    def __init__(self, ident, address):
        self.ident, self.address = ident, address
        self.state, self.incarnation, self.since = GONE, 0, 0  # gone until it was heard
        self.up_since = 0  # when it was last no longer gone
        self.heard_at, self.accusers, self.told, self.load = None, {}, 1 << 30, 0


class Membership:
    """`me`: this controller's number; `peers`: number -> address of all others that may ever be.
    `period`: microseconds between two pings. Times are the host's."""

    def __init__(self, me, peers, incarnation, now, period, seed=0):
        self.me, self.incarnation, self.period, self.seed = me, incarnation, period, seed
        self.members = {ident: Member(ident, address) for ident, address in sorted(peers.items())}
        self.notes = deque(maxlen=QUEUE_MOST)
        self.counter, self.round = 0, []
        self.probing, self.probe_number, self.asked, self.next_at = None, 0, True, now
        self.answered, self.for_others = True, {}  # a ping for another -> (who asked, its number)
        self.health, self.last_turn, self.changes = 0, now, deque(maxlen=64)
        self.left = False

    # -- what comes in

    def heard(self, now, sender, verb, number, news, target=None, incarnation=0, load=0):
        """A note: "ping", "ack", or "ask" (to ping `target` for the sender). `load`: proxies that it
        serves."""
        member = self.members.get(sender)
        if member is None or self.left:
            return
        member.heard_at, member.load = now, load
        self.told(now, sender, ALIVE, incarnation, sender)
        for ident, state, known, by in news[:NEWS_MOST]:
            if state in RANK:
                self.told(now, ident, state, known, by)
        if verb == "ping":
            self.send("ack", sender, number)
            if member.state != ALIVE:
                member.told = 0  # it learns what is held of it, and can refute
        elif verb == "ask" and target in self.members:
            self.counter += 1
            self.for_others[self.counter] = (sender, number)
            while len(self.for_others) > QUEUE_MOST:
                del self.for_others[next(iter(self.for_others))]
            self.send("ping", target, self.counter)
        elif verb == "ack":
            if number == self.probe_number and not self.answered:
                self.answered = True
                self.health = max(0, self.health - 1)
            elif number in self.for_others:
                self.send("ack", *self.for_others.pop(number))

    def told(self, now, ident, state, incarnation, by):
        """A word about one. Of two the higher incarnation counts, then the worse state."""
        if ident == self.me:
            # Only a word at my incarnation or above is refuted: older ones are overtaken already.
            if state != ALIVE and incarnation >= self.incarnation:
                self.incarnation = incarnation + 1
                self.health = min(self.health + 1, MOST_HEALTH)
            return
        member = self.members.get(ident)
        if member is None:
            return
        newer = incarnation > member.incarnation
        if newer or incarnation == member.incarnation and RANK[state] > RANK[member.state]:
            self.become(now, member, state, incarnation)
        if state == SUSPECTED and member.state == SUSPECTED and incarnation == member.incarnation:
            if by not in member.accusers:
                member.accusers[by] = None
                member.told = 0  # each who confirms it is worth telling

    def become(self, now, member, state, incarnation):
        if state != member.state:
            self.changes.append((now, member.ident, state))
        if member.state == GONE and state != GONE:
            member.up_since = now
        member.state, member.incarnation, member.since = state, incarnation, now
        member.accusers, member.told = {}, 0

    def leave(self):
        """This controller ends: all are told that it is gone, which spares them finding out."""
        self.left, self.notes = True, deque(maxlen=QUEUE_MOST)
        for ident, member in self.members.items():
            if member.state != GONE:
                self.notes.append(("ping", ident, 0, None, [(self.me, GONE, self.incarnation, self.me)]))

    # -- what is decided

    def alive(self):
        """Numbers of those that serve, this one included, in order. A suspected one still does."""
        others = [i for i, m in self.members.items() if m.state != GONE]
        return sorted(others if self.left else [self.me, *others])

    def next_note(self, now):
        """(verb, to, number, target, news) to send now, or None."""
        if not self.left:
            self.turn(now)
        if not self.notes:
            return None
        verb, to, number, target, news = self.notes.popleft()
        return verb, to, number, target, self.news_for(to) if news is None else news

    def turn(self, now):
        # Guards against a process that stood still: what it missed is its own fault and accuses nobody.
        # Harm: a peer that died meanwhile is found out one period later.
        if now - self.last_turn > self.period:
            self.health = MOST_HEALTH
            still = now - self.last_turn
            self.answered = True
            for member in self.members.values():
                member.since += still
        self.last_turn = now
        for member in self.members.values():
            if member.state == SUSPECTED and now - member.since >= self.patience(member):
                self.become(now, member, GONE, member.incarnation)
        if not self.answered and not self.asked and now >= self.ask_at:
            self.asked = True
            for other in self.some(ASKED, self.probing.ident):
                self.notes.append(("ask", other, self.probe_number, self.probing.ident, None))
        if now >= self.next_at:
            self.end_probe(now)
            self.begin_probe(now)

    def end_probe(self, now):
        member = self.probing
        if member is None or self.answered:
            return
        self.health = min(self.health + 1, MOST_HEALTH)
        if member.state == ALIVE:
            self.become(now, member, SUSPECTED, member.incarnation)
            member.accusers[self.me] = None
        elif member.state == SUSPECTED and self.me not in member.accusers:
            member.accusers[self.me], member.told = None, 0

    def begin_probe(self, now):
        stretch = self.period * (1 + self.health)
        self.next_at, self.ask_at = now + stretch, now + stretch // 3
        if not self.round:
            # A new order each round: whoever fails is pinged within two rounds.
            self.counter += 1
            self.round = sorted(self.members, key=lambda i: (self.chance(f"round {self.counter} {i}"), i))
        if not self.round:
            return
        self.probing = self.members[self.round.pop()]
        self.counter += 1
        self.probe_number, self.answered, self.asked = self.counter, False, False
        self.send("ping", self.probing.ident, self.probe_number)

    def patience(self, member):
        """Microseconds that a suspicion lasts: less the more confirm it, more when this one is unwell."""
        others = max(1, len(self.members) - 1)
        confirmed = min(max(0, len(member.accusers) - 1), others)
        share = log2(confirmed + 1) / log2(others + 1)
        scale = log2(len(self.members) + 2)
        most, least = SUSPICION * scale, LEAST_SUSPICION * scale
        return round((most - (most - least) * share) * self.period * (1 + self.health / MOST_HEALTH))

    def send(self, verb, to, number):
        self.notes.append((verb, to, number, None, None))

    def some(self, n, but):
        """Some that are not gone, by chance."""
        others = [i for i, m in self.members.items() if i != but and m.state != GONE]
        return sorted(others, key=lambda i: (self.chance(f"some {self.counter} {i}"), i))[:n]

    def chance(self, text):
        return crc32(f"{self.seed} {self.me} {text}".encode())

    def news_for(self, to):
        """What rides along: the least told first, and always what is held of the receiver: it can refute."""
        times = TOLD * ceil(log2(len(self.members) + 2))
        news, member = [], self.members.get(to)
        if member is not None and member.state != ALIVE and member.incarnation:
            news.append((to, member.state, member.incarnation, self.me))
        fresh = sorted(
            (m for m in self.members.values() if m.told < times and m.ident != to),
            key=lambda m: (m.told, m.ident),
        )
        for other in fresh[: NEWS_MOST - 1]:
            other.told += 1
            accusers = list(other.accusers)
            by = accusers[other.told % len(accusers)] if accusers else self.me
            news.append((other.ident, other.state, other.incarnation, by))
        return news

    # -- what an operator sees

    def view(self, now):
        return {
            str(i): {
                "address": m.address,
                "state": m.state,
                "incarnation": m.incarnation,
                "proxies": m.load,
                "heard_ms_ago": None if m.heard_at is None else (now - m.heard_at) // 1000,
            }
            for i, m in self.members.items()
        }
