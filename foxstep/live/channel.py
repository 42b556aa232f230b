"""The send channel: messages leave one after another at the configured rate in lines a second.

No I/O; the time is passed in. At most `backlog` lines wait, message heads included, and no proxy is written
more than `max_messages` messages within the window. Each proxy has at most one message waiting and later ones
are merged into it, so a proxy that cannot be written costs a bounded number of lines and delays no other.
Messages beyond these limits are deferred: they are kept apart from the queue, do not count as waiting, and
enter the queue as soon as there is room.
"""

from collections import deque

SECOND_US = 1_000_000


class Channel:
    """The queue of messages to all proxies, sent at `lines_per_s`.

    `max_messages`: messages to one proxy within `messages_window` microseconds; 0 for no limit. `bounded` is
    False only in a drill that shows what the limits of the queue are for.
    """

    def __init__(self, lines_per_s, backlog, max_messages=0, messages_window=10 * SECOND_US, bounded=True):
        self.lines_per_s, self.backlog = lines_per_s, backlog
        self.max_messages, self.messages_window = max_messages, messages_window
        self.bounded = bounded
        self.queue, self.deferred = {}, {}  # proxy -> Message, in order
        self.waiting = 0  # lines in the queue
        self.sending, self.free_at = 0, 0  # lines being sent, and when the last of them is out
        self.write_times = {}  # proxy -> deque of write times within the window
        self.sent_lines = self.sent_messages = self.max_waiting = 0

    def drop(self, proxy):
        """Discards what waits for a proxy whose stream broke or is new, and resets its message count."""
        for key in [proxy] if self.bounded else [key for key in self.queue if key[0] == proxy]:
            if key in self.queue:
                self.waiting -= self.queue.pop(key).cost
        self.deferred.pop(proxy, None)
        self.write_times.pop(proxy, None)

    def offer(self, now, message):
        """Queues a message, merged into the one that waits for the same proxy, if there is one."""
        proxy = message.proxy
        if not self.bounded:
            self.queue[proxy, len(self.queue), now] = message
            self.waiting += message.cost
            return
        queued = self.queue.get(proxy)
        if proxy in self.deferred:
            self.deferred[proxy].merge(message)
            self.queue_deferred(now)
        elif queued is None and self.fits(now, message.cost):
            self.queue[proxy] = message
            self.waiting += message.cost
        elif queued is not None and self.fits(now, message.cost - message.head):
            self.merge(queued, message)
        else:
            self.deferred[proxy] = message
        self.max_waiting = max(self.max_waiting, self.lines_waiting(now))

    def merge(self, queued, message):
        self.waiting -= queued.cost
        queued.merge(message)
        self.waiting += queued.cost

    def fits(self, now, lines):
        return not self.bounded or self.lines_waiting(now) + lines <= self.backlog

    def lines_waiting(self, now):
        return self.waiting + (self.sending if now < self.free_at else 0)

    def queue_deferred(self, now):
        """Moves deferred messages into the queue, the oldest first, as far as they fit."""
        while self.deferred:
            proxy, message = next(iter(self.deferred.items()))
            queued = self.queue.get(proxy)
            if not self.fits(now, message.cost):
                break
            del self.deferred[proxy]
            if queued:
                self.merge(queued, message)
            else:
                self.queue[proxy] = message
                self.waiting += message.cost
        self.max_waiting = max(self.max_waiting, self.lines_waiting(now))

    def next_write_at(self, now, proxy):
        """When the limit on messages to one proxy permits the next one: `now` or a later time."""
        times = self.write_times.get(proxy)
        if not self.max_messages or not self.bounded or not times:
            return now
        while times and times[0] <= now - self.messages_window:
            times.popleft()
        return now if len(times) < self.max_messages else times[0] + self.messages_window

    def next_at(self, now):
        """When the next message may leave; None if none waits."""
        if not self.queue:
            return self.free_at if self.deferred else None
        soonest = None
        for proxy in self.queue:
            at = self.next_write_at(now, proxy)
            soonest = at if soonest is None else min(at, soonest)
            if at <= max(now, self.free_at):  # none can leave sooner, so the rest of the queue is skipped
                break
        return max(self.free_at, soonest)

    def take(self, now):
        """Removes and returns the next message that may leave now, or None.

        Its lines keep the channel busy until `free_at`.
        """
        if now < self.free_at:
            return None
        for proxy in self.queue:
            if self.next_write_at(now, proxy) <= now:
                break
        else:
            self.queue_deferred(now)
            return None
        message = self.queue.pop(proxy)
        self.waiting -= message.cost
        self.sending = message.cost
        # After a late wake-up the channel catches up, by at most a tenth of a second's lines.
        start = max(self.free_at, now - SECOND_US // 10)
        self.free_at = start + round(message.cost / self.lines_per_s * SECOND_US)
        if self.max_messages:
            self.write_times.setdefault(proxy, deque()).append(now)
        self.sent_lines += message.cost
        self.sent_messages += 1
        self.queue_deferred(now)
        return message
