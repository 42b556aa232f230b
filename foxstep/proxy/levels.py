"""What is let in, by rates and shares. No I/O, no clock; chance by crc32 over seed and counter."""

from zlib import crc32

SECOND = 1_000_000


class Bucket:
    """A rate as a token bucket, exact over any stretch: at most `burst` + rate x time are let in."""

    def __init__(self, now, rate, burst):
        self.rate = rate
        self.burst = burst
        self.tokens = min(1.0, burst)
        self.at = now

    def set(self, now, rate, burst):
        self.fill(now)
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def fill(self, now):
        self.tokens = min(self.burst, self.tokens + (now - self.at) * self.rate / SECOND)
        self.at = now

    def take(self, now):
        """(let in, microseconds until one more would be)."""
        self.fill(now)
        if self.tokens >= 1 - 1e-9:
            self.tokens -= 1
            return True, 0
        return False, round((1 - self.tokens) / self.rate * SECOND) if self.rate > 0 else None


class Levels:
    """By op type: a rate, a share, both or neither. `wait`: what a refused client is told where a level
    gives no time of its own, microseconds."""

    def __init__(self, seed, wait):
        self.seed = seed
        self.wait = wait
        self.count = 0
        self.buckets = {}
        self.shares = {}
        self.until = {}
        self.came = {}  # op type -> [let in, not let in] since last told

    def rate(self, now, op_type, rate, burst, lasts=0):
        """None lets all in. `lasts`: microseconds until the assignment expires; 0: never."""
        if rate is None:
            self.buckets.pop(op_type, None)
        elif op_type in self.buckets:
            self.buckets[op_type].set(now, rate, burst)
        else:
            self.buckets[op_type] = Bucket(now, rate, burst)
        self.until[op_type] = now + lasts if lasts else None

    def share(self, op_type, share):
        self.shares[op_type] = share

    def let_in(self, now, op_type):
        """(whether the op is let in, microseconds after which its client may come again). An assignment that
        has expired no longer turns anything away."""
        until = self.until.get(op_type)
        if until is not None and now >= until:
            self.rate(now, op_type, None, 0)
        self.count += 1
        chance = crc32(b"%d:%d" % (self.seed, self.count)) / 2**32
        come = self.came.setdefault(op_type, [0, 0])
        allowed = chance < self.shares.get(op_type, 1.0)
        after = self.wait
        bucket = self.buckets.get(op_type)
        if allowed and bucket:
            allowed, after = bucket.take(now)
        come[0 if allowed else 1] += 1
        return (True, 0) if allowed else (False, self.wait if after is None else after)

    def told(self):
        """What came since this was last asked: op type -> (let in, not let in)."""
        came = self.came
        self.came = {}
        return {op_type: tuple(counts) for op_type, counts in came.items()}
