"""Replicated map of facts: each controller's facts, copied to all others by lossy messages. No I/O, no clock.

The anti-entropy protocol follows Scuttlebutt (van Renesse, Dumitriu, Gough and Thomas, 2008). Each controller
writes facts (key -> value) under its own number, and each write has the next count, a sequence number. A
digest states up to which count the facts of each controller are known; the answer brings the facts above it,
oldest first, as far as the byte budget allows. A fact that is written again gives up its old count, so a peer
that is behind costs no more than what has changed. Facts are kept in lanes, each with counts of its own, so
that much traffic in one lane delays none in another.

Counts belong to an epoch. A controller that restarts begins a later epoch, and its older facts are dropped
when the first of the new epoch arrive. A checksum over the live facts of a lane detects copies
that differ although their counts agree.
"""

from hashlib import blake2b

import msgspec

PREVIOUS_PROCESS = -1  # local number of the facts from before this controller's restart; never sent
MIN_TOMBSTONES = 64  # removed facts kept for peers that lack the removal; more if there are more live facts
MAX_PENDING_ANSWERS = 64  # beyond it the oldest is dropped: the peer will send its digest again
MAX_FACTS_PER_LANE = 50_000  # of one controller, so that no peer can make another hold more
BURST_S = 1.0  # seconds' worth of the byte budget that may be sent at once


class Fact:
    """`value` is None for a removed fact (a tombstone). `count` is the sequence number of its write, `at` the
    time at which it held, in microseconds on this controller's clock."""

    __slots__ = ("value", "count", "at")

    def __init__(self, value, count, at):
        self.value, self.count, self.at = value, count, at


def fact_checksum(key, fact):
    """Returns 56 bits of a fact, to be combined over a lane by XOR in any order."""
    data = msgspec.msgpack.encode((key, fact.count, fact.value))
    return int.from_bytes(blake2b(data, digest_size=7).digest(), "big")


class Lane:
    """One controller's facts of one kind, in order of their counts.

    All facts up to `top` are known. Tombstones up to `floor` have been dropped. `checksum` covers live facts.
    """

    def __init__(self, epoch=0):
        self.epoch = epoch
        self.top = 0
        self.floor = 0
        self.checksum = 0
        self.tombstones = 0
        self.facts = {}
        self.confirmed_at = None  # when its controller last stated that all of it is current
        self.is_unsorted = False  # facts above `top` have arrived early, so `facts` is not in order

    def apply(self, key, fact):
        known = self.facts.pop(key, None)
        if known is not None and known.value is not None:
            self.checksum ^= fact_checksum(key, known)
        self.tombstones -= known is not None and known.value is None
        self.facts[key] = fact
        if fact.value is None:
            self.tombstones += 1
            self.drop_old_tombstones()
        else:
            self.checksum ^= fact_checksum(key, fact)

    def drop_old_tombstones(self):
        """Drops the oldest tombstones: a peer that has not seen them by then is sent the whole lane."""
        while self.tombstones > max(MIN_TOMBSTONES, len(self.facts) // 2):
            key = next(k for k, f in self.facts.items() if f.value is None)
            self.floor = max(self.floor, self.facts.pop(key).count)
            self.tombstones -= 1

    def sort_if_complete(self):
        """Restores the order of counts once no fact is above `top`."""
        if self.is_unsorted and all(fact.count <= self.top for fact in self.facts.values()):
            self.facts = dict(sorted(self.facts.items(), key=lambda entry: entry[1].count))
            self.is_unsorted = False

    def live(self):
        return {key: fact for key, fact in self.facts.items() if fact.value is not None}


class Replica:
    """One controller's own facts and its copies of all other controllers' facts.

    `lane_count` is the number of lanes of each controller, `bytes_per_s` the budget for answers. Keys are
    text, values anything that msgpack can encode. Messages carry ages instead of times, because the clocks of
    controllers differ.
    """

    def __init__(self, me, epoch, lane_count, bytes_per_s, now):
        self.me = me
        self.lane_count = lane_count
        self.bytes_per_s = bytes_per_s
        self.lane_by_key = {(me, lane): Lane(epoch) for lane in range(lane_count)}
        self.budget_bytes = bytes_per_s * BURST_S
        self.budget_updated_at = now
        self.pending_answers = []  # (receiver, its digest)
        self.changed = {}  # (controller, lane, key) of changed facts, as an ordered set
        self.newer_own_epoch = 0  # an epoch of this controller that peers know and it has never used itself

    def lane(self, origin, number):
        return self.lane_by_key.setdefault((origin, number), Lane(-1))

    # -- own facts

    def put(self, now, lane, key, value):
        """Writes an own fact, or removes it if `value` is None. Returns whether anything has changed."""
        mine = self.lane_by_key[self.me, lane]
        known = mine.facts.get(key)
        if (known.value if known else None) == value:
            return False
        mine.top += 1
        mine.apply(key, Fact(value, mine.top, now))
        return True

    def confirm(self, now):
        """States that all own facts are current."""
        for lane in range(self.lane_count):
            self.lane_by_key[self.me, lane].confirmed_at = now

    def begin_epoch(self, epoch):
        """Writes all own facts again under a later epoch.

        Prevents counts from being used twice by a controller that restarts from an old store, after peers
        have seen them with other facts.
        """
        for lane in range(self.lane_count):
            old, new = self.lane_by_key[self.me, lane], Lane(epoch)
            new.confirmed_at = old.confirmed_at
            for key, fact in old.live().items():
                new.top += 1
                new.apply(key, Fact(fact.value, new.top, fact.at))
            self.lane_by_key[self.me, lane] = new

    # -- anti-entropy

    def digest(self, now):
        """[(controller, lane, epoch, top, floor, checksum, microseconds since it was confirmed or None)]"""
        return [
            (
                origin,
                number,
                lane.epoch,
                lane.top,
                lane.floor,
                lane.checksum,
                None if lane.confirmed_at is None else max(0, now - lane.confirmed_at),
            )
            for (origin, number), lane in self.lane_by_key.items()
            if origin != PREVIOUS_PROCESS
        ]

    def receive_digest(self, now, sender, digest):
        """Queues an answer with what the sender lacks."""
        known_there = {entry[:2]: entry[2:6] for entry in digest}
        for origin, number, epoch, top, _, checksum, age in digest:
            if origin == self.me:
                mine = self.lane_by_key.get((self.me, number))
                if mine and (epoch, top) > (mine.epoch, mine.top):
                    self.newer_own_epoch = max(self.newer_own_epoch, epoch)
                continue
            lane = self.lane_by_key.get((origin, number))
            # The sender's confirmation applies to the copy here only if both copies are the same.
            if lane and age is not None and (lane.epoch, lane.top, lane.checksum) == (epoch, top, checksum):
                lane.confirmed_at = max(lane.confirmed_at or 0, now - age)
        self.pending_answers = [(to, known) for to, known in self.pending_answers if to != sender]
        self.pending_answers = [*self.pending_answers, (sender, known_there)][-MAX_PENDING_ANSWERS:]

    def next_answer(self, now, max_bytes):
        """Returns (receiver, changes) of at most about `max_bytes` that the budget allows now, or None."""
        self.budget_bytes = min(
            self.bytes_per_s * BURST_S,
            self.budget_bytes + (now - self.budget_updated_at) / 1e6 * self.bytes_per_s,
        )
        self.budget_updated_at = now
        while self.pending_answers and self.budget_bytes >= max_bytes:
            to, known_there = self.pending_answers.pop(0)
            changes, size = self.changes_for(now, to, known_there, max_bytes)
            if changes:
                self.budget_bytes -= size
                # The next answer assumes that this one arrives. If it is lost, the receiver does not accept
                # the next one as a continuation.
                for origin, number, epoch, _, upto, _, _, _ in changes:
                    lane = self.lane_by_key[origin, number]
                    known_there[origin, number] = (epoch, upto, lane.floor, lane.checksum)
                self.pending_answers.append((to, known_there))
                return to, changes
        return None

    def changes_for(self, now, to, known_there, max_bytes):
        """Returns what a receiver with that digest lacks, and its size in bytes.

        Changes are [(controller, lane, epoch, after, upto, floor, age, facts)]; with a floor they replace the
        whole lane. Lanes come in the order of their numbers. In each lane, own facts come first, then those
        of which the receiver lacks most.
        """
        lacking = []
        for (origin, number), lane in self.lane_by_key.items():
            epoch, top, floor, checksum = known_there.get((origin, number), (-1, 0, 0, 0))
            if (
                origin in (to, PREVIOUS_PROCESS)
                or lane.epoch < epoch
                or (lane.epoch == epoch and lane.top < top)
            ):
                continue
            # A copy that ends below the dropped tombstones may hold facts that were removed since, unless it
            # was begun after that. Copies with equal counts and different checksums are replaced only by the
            # controller whose facts they are.
            replace_all = (
                lane.epoch > epoch
                or max(top, floor) < lane.floor
                or (top == lane.top and checksum != lane.checksum and origin == self.me)
            )
            after = 0 if replace_all else top
            if replace_all or lane.top > after:
                lacking.append(
                    (number, origin != self.me, after - lane.top, origin, after, replace_all, lane)
                )
        changes, size = [], 0
        for number, _, _, origin, after, replace_all, lane in sorted(lacking, key=lambda entry: entry[:4]):
            facts, upto = [], after
            for key, fact in self.facts_above(lane, after):
                entry = (key, fact.value, fact.count, max(0, now - fact.at))
                entry_size = len(msgspec.msgpack.encode(entry))
                if size + entry_size > max_bytes:
                    break
                facts.append(entry)
                size, upto = size + entry_size, fact.count
            else:
                upto = lane.top
            if facts or upto == lane.top:
                age = (
                    None if lane.confirmed_at is None or upto < lane.top else max(0, now - lane.confirmed_at)
                )
                floor = lane.floor if replace_all else None
                changes.append((origin, number, lane.epoch, after, upto, floor, age, facts))
                size += 24  # the other fields of the change
            if upto < lane.top:
                break
        return changes, size

    def facts_above(self, lane, after):
        """Returns the facts of a lane above a count, lowest first; visits no more facts than these unless the
        lane is unsorted."""
        if lane.is_unsorted:
            found = [(key, fact) for key, fact in lane.facts.items() if after < fact.count <= lane.top]
            return sorted(found, key=lambda entry: entry[1].count)
        found = []
        for key in reversed(lane.facts):
            if lane.facts[key].count <= after:
                break
            found.append(key)
        return [(key, lane.facts[key]) for key in reversed(found)]

    def apply_changes(self, now, changes):
        """Applies an answer. Changes that build on an epoch not known here are ignored."""
        for origin, number, epoch, after, upto, floor, age, facts in changes:
            lane = self.lane_by_key.get((origin, number))
            if origin == self.me or not 0 <= number < self.lane_count or (lane and epoch < lane.epoch):
                continue
            if floor is not None:
                for key in lane.live() if lane else ():
                    self.changed[origin, number, key] = None
                lane = self.lane_by_key[origin, number] = Lane(epoch)
                lane.floor = floor
            elif lane is None or epoch > lane.epoch:
                continue  # the message that began the epoch was lost
            # Facts after a gap are applied at once. `top` stays, so that the gap is requested again.
            has_gap = after > lane.top
            for key, value, count, fact_age in facts:
                known = lane.facts.get(key)
                if count > lane.top and (
                    known.count < count if known else len(lane.facts) < MAX_FACTS_PER_LANE
                ):
                    lane.apply(key, Fact(value, count, now - fact_age))
                    self.changed[origin, number, key] = None
            lane.is_unsorted = lane.is_unsorted or has_gap
            if upto >= lane.top and not has_gap:
                lane.top = upto
                lane.sort_if_complete()
                if age is not None:
                    lane.confirmed_at = max(lane.confirmed_at or 0, now - age)

    # -- what is known

    def peer_lanes(self, number):
        """Returns (controller, lane) of all other controllers for one lane number, by controller number."""
        return [
            (origin, self.lane_by_key[origin, n])
            for origin, n in sorted(self.lane_by_key)
            if n == number and origin != self.me
        ]

    def lag(self, now, origin):
        """Microseconds since all facts held of a controller were confirmed, or None."""
        ages = [lane.confirmed_at for (o, _), lane in self.lane_by_key.items() if o == origin]
        return None if not ages or None in ages else now - min(ages)
