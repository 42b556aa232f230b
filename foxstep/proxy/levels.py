"""Admission levels: which ops are admitted, by rates and shares.

No I/O and no clock. Random choices are the crc32 of a seed and a counter, so that they can be replayed.
"""

from zlib import crc32

US_PER_SECOND = 1_000_000


class Bucket:
    """A token bucket: over any interval it admits at most `burst` + rate x time. `rate` is per second."""

    def __init__(self, now, rate, burst):
        self.rate = rate
        self.burst = burst
        self.tokens = min(1.0, burst)
        self.updated_at = now

    def set(self, now, rate, burst):
        """Changes the rate and the burst; the tokens gained so far stay, up to the new burst."""
        self.fill(now)
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def fill(self, now):
        self.tokens = min(self.burst, self.tokens + (now - self.updated_at) * self.rate / US_PER_SECOND)
        self.updated_at = now

    def take(self, now):
        """(admitted, microseconds until the next token; None if the rate is zero)."""
        self.fill(now)
        if self.tokens >= 1 - 1e-9:
            self.tokens -= 1
            return True, 0
        return False, round((1 - self.tokens) / self.rate * US_PER_SECOND) if self.rate > 0 else None


class Levels:
    """Each op type has a rate, a share, both or neither.

    `retry_after`: microseconds that a rejected client is told to wait if its level gives no time itself.
    `now` is in microseconds.
    """

    def __init__(self, seed, retry_after):
        self.seed = seed
        self.retry_after = retry_after
        self.count = 0
        self.buckets = {}
        self.shares = {}
        self.expires = {}
        self.counts = {}  # op type -> [admitted, rejected] since `take_counts`

    def set_rate(self, now, op_type, rate, burst, ttl=0):
        """Sets a rate per second; None lifts it. `ttl`: microseconds until it expires, 0 for never."""
        if rate is None:
            self.buckets.pop(op_type, None)
        elif op_type in self.buckets:
            self.buckets[op_type].set(now, rate, burst)
        else:
            self.buckets[op_type] = Bucket(now, rate, burst)
        self.expires[op_type] = now + ttl if ttl else None

    def set_share(self, op_type, share):
        """Sets the fraction of ops to admit."""
        self.shares[op_type] = share

    def admit(self, now, op_type):
        """(whether the op is admitted, microseconds after which its client may retry).

        A rate that has expired no longer rejects anything.
        """
        expires = self.expires.get(op_type)
        if expires is not None and now >= expires:
            self.set_rate(now, op_type, None, 0)
        self.count += 1
        fraction = crc32(b"%d:%d" % (self.seed, self.count)) / 2**32
        counts = self.counts.setdefault(op_type, [0, 0])
        admitted = fraction < self.shares.get(op_type, 1.0)
        retry_after_us = self.retry_after
        bucket = self.buckets.get(op_type)
        if admitted and bucket:
            admitted, retry_after_us = bucket.take(now)
        counts[0 if admitted else 1] += 1
        return (
            (True, 0) if admitted else (False, self.retry_after if retry_after_us is None else retry_after_us)
        )

    def take_counts(self):
        """Returns and resets the counts: op type -> (admitted, rejected)."""
        counts = self.counts
        self.counts = {}
        return {op_type: tuple(pair) for op_type, pair in counts.items()}
