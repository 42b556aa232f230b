"""What each controller tells of itself, copied to all others by notes that may be lost. No I/O, no clock.

Reconciliation after Scuttlebutt (van Renesse, Dumitriu, Gough and Thomas, 2008): each controller writes facts
(key -> value) under its own number, every write with the next count; a digest says up to which count each
controller's facts are known, and the answer brings what is above it, oldest first, as far as the budget
goes. A fact that is written again leaves its old count, so what is behind costs no more than what has
changed. Facts go in lanes, each with counts of its own, so that much of one kind delays nothing of another.

Counts are of an epoch; one that starts anew begins a later one, and its older facts are dropped when the
first of the new come. A checksum of all facts at a count finds copies that differ though the counts agree.
"""

from hashlib import blake2b

import msgspec

FORMER = -1  # the number under which this one's former life is held, for itself alone
DEAD_MOST = 64  # removed facts that are kept to be told, at least; else as many as there are live ones
WAITING_MOST = 64  # answers that wait for the budget; beyond, the oldest is dropped: its asker asks again
FACTS_MOST = 50_000  # of one controller's lane: nobody makes another hold more
BURST = 1.0  # seconds of the budget that may go out at one time


class Fact:
    __slots__ = ("value", "count", "at")

    def __init__(self, value, count, at):
        self.value, self.count, self.at = value, count, at  # None: removed; `at`: when it was so, this clock


def check(key, fact):
    """Eight bytes of a fact, to be added up over a lane in any order."""
    data = msgspec.msgpack.encode((key, fact.count, fact.value))
    return int.from_bytes(blake2b(data, digest_size=7).digest(), "big")


class Lane:
    """One controller's facts of a kind, in order of their counts."""

    def __init__(self, epoch=0):
        self.epoch, self.top, self.floor, self.sum, self.dead = epoch, 0, 0, 0, 0
        self.facts, self.confirmed = {}, None  # when its controller said last that all of it stands
        self.mixed = False  # facts above the top came early: they are out of order

    def take(self, key, fact):
        known = self.facts.pop(key, None)
        if known is not None and known.value is not None:
            self.sum ^= check(key, known)
        self.dead -= known is not None and known.value is None
        self.facts[key] = fact
        if fact.value is None:
            self.dead += 1
            self.bury()
        else:
            self.sum ^= check(key, fact)

    def bury(self):
        """Forgets the oldest removals: whoever has not heard of them by then is sent the lane whole."""
        while self.dead > max(DEAD_MOST, len(self.facts) // 2):
            key = next(k for k, f in self.facts.items() if f.value is None)
            self.floor = max(self.floor, self.facts.pop(key).count)
            self.dead -= 1

    def sort(self):
        """Puts facts back into the order of their counts, once none is above the top."""
        if self.mixed and all(fact.count <= self.top for fact in self.facts.values()):
            self.facts = dict(sorted(self.facts.items(), key=lambda one: one[1].count))
            self.mixed = False

    def live(self):
        return {key: fact for key, fact in self.facts.items() if fact.value is not None}


class Replica:
    """`lanes`: how many each controller has. `per_s`: bytes a second that answers may take. Keys are text,
    values whatever msgpack takes; ages go over the wire, never times: clocks differ."""

    def __init__(self, me, epoch, lanes, per_s, now):
        self.me, self.lanes, self.per_s = me, lanes, per_s
        self.of = {(me, lane): Lane(epoch) for lane in range(lanes)}
        self.budget, self.filled_at = per_s * BURST, now
        self.waiting, self.changed = [], {}  # (to, digest) to be answered; (controller, lane, key) in order
        self.outranked = 0  # an epoch of mine that others have heard and I never said

    def lane(self, origin, number):
        return self.of.setdefault((origin, number), Lane(-1))

    # -- what this controller tells

    def put(self, now, lane, key, value):
        """A fact of mine as of now; None removes it. Answers whether that is news."""
        mine = self.of[self.me, lane]
        known = mine.facts.get(key)
        if (known.value if known else None) == value:
            return False
        mine.top += 1
        mine.take(key, Fact(value, mine.top, now))
        return True

    def confirm(self, now):
        """All that I have put stands now."""
        for lane in range(self.lanes):
            self.of[self.me, lane].confirmed = now

    def begin_epoch(self, epoch):
        """All of my facts anew, under a later epoch. Guards against a controller that comes back from an old
        store with counts that others have seen with other facts."""
        for lane in range(self.lanes):
            old, new = self.of[self.me, lane], Lane(epoch)
            new.confirmed = old.confirmed
            for key, fact in old.live().items():
                new.top += 1
                new.take(key, Fact(fact.value, new.top, fact.at))
            self.of[self.me, lane] = new

    # -- what goes out and comes in

    def digest(self, now):
        """[(controller, lane, epoch, top, floor, sum, microseconds since it was confirmed or None)]"""
        return [
            (
                origin,
                number,
                lane.epoch,
                lane.top,
                lane.floor,
                lane.sum,
                None if lane.confirmed is None else max(0, now - lane.confirmed),
            )
            for (origin, number), lane in self.of.items()
            if origin != FORMER
        ]

    def asked(self, now, sender, digest):
        """Another's digest came: it is to be answered with what it lacks."""
        told = {one[:2]: one[2:6] for one in digest}
        for origin, number, epoch, top, _, total, age in digest:
            if origin == self.me:
                mine = self.of.get((self.me, number))
                if mine and (epoch, top) > (mine.epoch, mine.top):
                    self.outranked = max(self.outranked, epoch)
                continue
            lane = self.of.get((origin, number))
            # Its word that all stands holds for my copy only where mine is the same.
            if lane and age is not None and (lane.epoch, lane.top, lane.sum) == (epoch, top, total):
                lane.confirmed = max(lane.confirmed or 0, now - age)
        self.waiting = [(to, those) for to, those in self.waiting if to != sender]
        self.waiting = [*self.waiting, (sender, told)][-WAITING_MOST:]

    def next_answer(self, now, room):
        """(to, changes) that the budget lets go now, of about `room` bytes at most, or None."""
        self.budget = min(self.per_s * BURST, self.budget + (now - self.filled_at) / 1e6 * self.per_s)
        self.filled_at = now
        while self.waiting and self.budget >= room:
            to, told = self.waiting.pop(0)
            changes, size = self.lacking(now, to, told, room)
            if changes:
                self.budget -= size
                # The rest follows as if this arrived; where it does not, what follows on it is not taken.
                for origin, number, epoch, _, upto, _, _, _ in changes:
                    lane = self.of[origin, number]
                    told[origin, number] = (epoch, upto, lane.floor, lane.sum)
                self.waiting.append((to, told))
                return to, changes
        return None

    def lacking(self, now, to, told, room):
        """What one that told so much lacks: [(controller, lane, epoch, after, upto, floor, age, facts)], and
        its bytes; with a floor it replaces all. Mine come first, then those of which it lacks most."""
        behind = []
        for (origin, number), lane in self.of.items():
            epoch, top, floor, total = told.get((origin, number), (-1, 0, 0, 0))
            if origin in (to, FORMER) or lane.epoch < epoch or (lane.epoch == epoch and lane.top < top):
                continue
            # One whose copy ends below what is forgotten here may hold facts that were removed since, unless
            # it began after that. Of copies that differ only their controller's own counts.
            anew = (
                lane.epoch > epoch
                or max(top, floor) < lane.floor
                or (top == lane.top and total != lane.sum and origin == self.me)
            )
            after = 0 if anew else top
            if anew or lane.top > after:
                behind.append((number, origin != self.me, after - lane.top, origin, after, anew, lane))
        made, size = [], 0
        for number, _, _, origin, after, anew, lane in sorted(behind, key=lambda b: b[:4]):
            facts, upto = [], after
            for key, fact in self.above(lane, after):
                one = (key, fact.value, fact.count, max(0, now - fact.at))
                more = len(msgspec.msgpack.encode(one))
                if size + more > room:
                    break
                facts.append(one)
                size, upto = size + more, fact.count
            else:
                upto = lane.top
            if facts or upto == lane.top:
                age = None if lane.confirmed is None or upto < lane.top else max(0, now - lane.confirmed)
                floor = lane.floor if anew else None
                made.append((origin, number, lane.epoch, after, upto, floor, age, facts))
                size += 24
            if upto < lane.top:
                break
        return made, size

    def above(self, lane, after):
        """Facts of a lane above a count, lowest first; only as much is looked at as there is."""
        if lane.mixed:
            found = [(key, fact) for key, fact in lane.facts.items() if after < fact.count <= lane.top]
            return sorted(found, key=lambda one: one[1].count)
        found = []
        for key in reversed(lane.facts):
            if lane.facts[key].count <= after:
                break
            found.append(key)
        return [(key, lane.facts[key]) for key in reversed(found)]

    def answered(self, now, changes):
        """What I lacked, from whoever had it. Changes that do not follow on what is known change nothing."""
        for origin, number, epoch, after, upto, floor, age, facts in changes:
            lane = self.of.get((origin, number))
            if origin == self.me or not 0 <= number < self.lanes or (lane and epoch < lane.epoch):
                continue
            if floor is not None:
                for key in lane.live() if lane else ():
                    self.changed[origin, number, key] = None
                lane = self.of[origin, number] = Lane(epoch)
                lane.floor = floor
            elif lane is None or epoch > lane.epoch:
                continue  # what it builds on was lost
            # What comes after something lost is of use already; the top stays, what is between is asked for.
            early = after > lane.top
            for key, value, count, old in facts:
                known = lane.facts.get(key)
                if count > lane.top and (known.count < count if known else len(lane.facts) < FACTS_MOST):
                    lane.take(key, Fact(value, count, now - old))
                    self.changed[origin, number, key] = None
            lane.mixed = lane.mixed or early
            if upto >= lane.top and not early:
                lane.top = upto
                lane.sort()
                if age is not None:
                    lane.confirmed = max(lane.confirmed or 0, now - age)

    # -- what is known

    def told(self, number):
        """(controller, lane) of all others in a lane, in order of the controllers' numbers."""
        return [
            (origin, self.of[origin, n]) for origin, n in sorted(self.of) if n == number and origin != self.me
        ]

    def lag(self, now, origin):
        """Microseconds since all that is held of a controller was confirmed, or None."""
        ages = [lane.confirmed for (o, _), lane in self.of.items() if o == origin]
        return None if not ages or None in ages else now - min(ages)
