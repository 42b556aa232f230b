"""Plain state: servers, proxies, op types, and the ring of time buckets they are measured in."""


class Ring:
    """Sums of a few quantities over time, in `count` buckets of `width` microseconds that are used again."""

    def __init__(self, width, count, quantities):
        self.width, self.count = max(1, width), count
        self.turn = [-1] * count
        self.buckets = [[0.0] * quantities for _ in range(count)]

    def add(self, now, *amounts):
        turn = now // self.width
        place = turn % self.count
        bucket = self.buckets[place]
        if self.turn[place] != turn:
            self.turn[place] = turn
            bucket[:] = [0.0] * len(bucket)
        for k, amount in enumerate(amounts):
            bucket[k] += amount

    def sums(self, now, buckets=0, since=0):
        """Totals over the newest `buckets` buckets (all if 0), those that began before `since` left out."""
        newest = now // self.width
        oldest = max(newest - (buckets or self.count) + 1, -(-since // self.width))
        total = [0.0] * len(self.buckets[0])
        for turn, bucket in zip(self.turn, self.buckets, strict=True):
            if oldest <= turn <= newest:
                for k, amount in enumerate(bucket):
                    total[k] += amount
        return total


class OpType:
    """One type of op: what it earns, how soon it must be answered, what may be repeated."""

    def __init__(self, place, facts):
        self.place = place
        self.name = facts["name"]
        self.earnings = facts["earnings"]
        self.target_latency = facts["target_latency"]
        self.op_timeout = facts["op_timeout"]
        self.effect = facts["effect"]
        self.scope = facts.get("scope", "all")
        self.window = facts.get("window", 0)


class Server:
    """A server as the list names it and as its tries, reports and probes show it."""

    def __init__(self, ident):
        self.ident = ident
        self.zone = self.kind = ""
        self.cell = 0
        self.state = "gone"  # "open", "draining" or "gone", as listed
        self.gone_at = None  # since when it is gone
        self.size = 1.0  # as listed: a number to compare with the others'
        self.started = 0  # when it last started; 0: long ago
        self.weight = None  # its part in the shared table, learnt; None: not yet placed
        self.trust = 1.0  # 1: trusted; 0: withdrawn; between: on trial
        self.trust_since = 0
        self.strikes = 0  # how often it was withdrawn since it started
        self.aborted_part = None  # of its recent tries; None: too few
        self.probes_good = self.probes_bad = 0
        self.probe_out = 0  # when the probe under way was sent; 0: none is
        self.tries = None  # Ring: tries, aborted, acked, their total latency
        self.loads = None  # Ring: reports, busy, holding
        self.tried, self.loaded = [0.0] * 4, [0.0] * 3  # recent sums of these two
        self.slower = 1.0  # the wait of its tries against the fleet's
        self.holders = {}  # the proxies that hold a line of it, as a set in order
        self.cover = 0.0  # ops a second that the ordered tables bring it


class Proxy:
    """A proxy, what came to it, and what it was last ordered to hold."""

    def __init__(self, ident, usage):
        self.ident = ident
        self.zone = ""
        self.rate = 0.0  # ops a second it usually gets, as told
        self.total = 0.0  # and as heard
        self.since = 0  # when it joined
        self.joined = self.bound = False
        self.lines = {}  # Server -> weight ordered
        self.levels = []  # per op type: (quota, tries) ordered, None: never set
        self.usage = usage  # per op type a Ring: ops, unanswered, time covered
        self.ops = []  # per op type the recent ops a second
        self.waited = 0  # periods since changes for it were put off
        self.messages = None  # Ring: messages written
