"""Plain state: servers, proxies, op types, and the sliding windows of time buckets they are measured in."""


class SlidingWindow:
    """Sums of a few quantities over recent time, kept in a ring buffer of time buckets.

    There are `bucket_count` buckets of `bucket_width` microseconds each; the oldest one is used again.
    """

    def __init__(self, bucket_width, bucket_count, quantities):
        self.bucket_width, self.bucket_count = max(1, bucket_width), bucket_count
        self.bucket_numbers = [-1] * bucket_count  # since time 0, for each bucket; -1: never used
        self.buckets = [[0.0] * quantities for _ in range(bucket_count)]

    def add(self, now, *amounts):
        """Adds one amount for each quantity to the bucket of the time `now`."""
        number = now // self.bucket_width
        index = number % self.bucket_count
        bucket = self.buckets[index]
        if self.bucket_numbers[index] != number:
            self.bucket_numbers[index] = number
            bucket[:] = [0.0] * len(bucket)
        for k, amount in enumerate(amounts):
            bucket[k] += amount

    def sums(self, now, buckets=0, since=0):
        """Totals over the newest `buckets` buckets (0: all), without those that began before `since`."""
        newest = now // self.bucket_width
        oldest = max(newest - (buckets or self.bucket_count) + 1, -(-since // self.bucket_width))
        total = [0.0] * len(self.buckets[0])
        for number, bucket in zip(self.bucket_numbers, self.buckets, strict=True):
            if oldest <= number <= newest:
                for k, amount in enumerate(bucket):
                    total[k] += amount
        return total


class OpType:
    """One type of op: its earnings, target latency and timeout, and whether it may be retried.

    `fields` is the map of its settings, `index` its position in the settings' list. Times are microseconds.
    """

    def __init__(self, index, fields):
        self.index = index
        self.name = fields["name"]
        self.earnings = fields["earnings"]
        self.target_latency = fields["target_latency"]
        self.op_timeout = fields["op_timeout"]
        self.effect = fields["effect"]  # "retryable", "deduplicated" or "once-only"
        self.scope = fields.get("scope", "all")
        self.window = fields.get("window", 0)


class Server:
    """A server as the list describes it and as its tries, load reports and probes show it."""

    def __init__(self, ident):
        self.ident = ident
        self.zone = self.kind = ""
        self.cell = 0
        self.state = "gone"  # "open", "draining" or "gone", as listed
        self.gone_at = None  # when it was first listed as gone; None: it is not gone
        self.listed_weight = 1.0  # relative to the other servers
        self.started = 0  # when it last started; 0: long ago
        self.weight = None  # in the shared table, as learnt; None: not yet assigned
        self.health_factor = 1.0  # of its weight; 1: healthy, 0: withdrawn, between: on trial
        self.health_changed_at = 0
        self.withdrawals = 0  # how often it was withdrawn since it started
        self.aborted_fraction = None  # of its recent tries; None: too few tries
        self.probe_successes = self.probe_failures = 0  # in a row
        self.probe_sent_at = 0  # of the probe under way; 0: none is
        # SlidingWindow: tries, aborted, acked, timed (acked with a known latency), their total latency
        self.tries = None
        self.loads = None  # SlidingWindow: reports, sum of busy, sum of waiting or held ops
        self.recent_tries, self.recent_loads = [0.0] * 5, [0.0] * 3  # recent sums of these two
        self.latency_ratio = 1.0  # mean latency of its tries over the fleet's; 1: not known; never 0
        self.holders = {}  # the proxies that hold a line of it, as an ordered set
        self.assigned_rate = 0.0  # ops a second that the ordered tables send to it


class Proxy:
    """A proxy, its measured traffic, and the table it was last ordered to hold."""

    def __init__(self, ident, usage):
        self.ident = ident
        self.zone = ""
        self.stated_rate = 0.0  # ops a second that it usually gets, as stated when it joined
        self.total_rate = 0.0  # ops a second of all types, as measured
        self.joined_at = 0
        self.joined = self.bound = False
        self.lines = {}  # Server -> weight as ordered
        self.levels = []  # for each op type (quota, tries) as ordered; None: never set
        self.usage = usage  # for each op type a SlidingWindow: ops, unanswered, time covered
        self.op_rates = []  # recent ops a second of each op type
        self.periods_deferred = 0  # for how many periods its changes have been put off
        self.messages = None  # SlidingWindow: messages written
