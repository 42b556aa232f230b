"""The channel: messages leave one after another at the stated lines a second. No I/O; time is handed in.

At most `backlog` lines wait, heads included, and no proxy is written more than `messages_most` messages
within the window. Each proxy has at most one message waiting: a later one folds into it, so a proxy that
cannot be written costs a bounded part and delays nobody. What the limits do not take is owed: it stands
beside the queue, is not counted as waiting, and enters as soon as there is room.
"""

from collections import deque

SECOND = 1_000_000


class Channel:
    def __init__(self, lines_per_s, backlog, messages_most=0, messages_window=10 * SECOND, bounded=True):
        self.lines_per_s, self.backlog = lines_per_s, backlog
        self.messages_most, self.messages_window = messages_most, messages_window
        self.bounded = bounded  # False only in a drill that shows what this guard is for
        self.queue, self.owed = {}, {}  # proxy -> Message, in order
        self.waiting = 0  # lines in the queue
        self.sending, self.free_at = 0, 0  # lines on their way out until free_at
        self.written = {}  # proxy -> deque of times of writing within the window
        self.sent_lines = self.sent_messages = self.most_waiting = 0

    def drop(self, proxy):
        """The proxy's stream broke (or is a new one): what waited for it is lost, its count starts anew."""
        for key in [proxy] if self.bounded else [key for key in self.queue if key[0] == proxy]:
            if key in self.queue:
                self.waiting -= self.queue.pop(key).cost
        self.owed.pop(proxy, None)
        self.written.pop(proxy, None)

    def offer(self, now, message):
        """Takes a message in, folded into the one that waits for the same proxy, if any."""
        proxy = message.proxy
        if not self.bounded:
            self.queue[proxy, len(self.queue), now] = message
            self.waiting += message.cost
            return
        standing = self.queue.get(proxy)
        if proxy in self.owed:
            self.owed[proxy].fold(message)
            self.settle(now)
        elif standing is None and self.fits(now, message.cost):
            self.queue[proxy] = message
            self.waiting += message.cost
        elif standing is not None and self.fits(now, message.cost - message.head):
            self.join(standing, message)
        else:
            self.owed[proxy] = message
        self.most_waiting = max(self.most_waiting, self.lines_waiting(now))

    def join(self, standing, message):
        self.waiting -= standing.cost
        standing.fold(message)
        self.waiting += standing.cost

    def fits(self, now, lines):
        return not self.bounded or self.lines_waiting(now) + lines <= self.backlog

    def lines_waiting(self, now):
        return self.waiting + (self.sending if now < self.free_at else 0)

    def settle(self, now):
        """Lets owed messages in, the oldest first, as far as they fit."""
        while self.owed:
            proxy, message = next(iter(self.owed.items()))
            standing = self.queue.get(proxy)
            if not self.fits(now, message.cost):
                break
            del self.owed[proxy]
            if standing:
                self.join(standing, message)
            else:
                self.queue[proxy] = message
                self.waiting += message.cost
        self.most_waiting = max(self.most_waiting, self.lines_waiting(now))

    def may_write(self, now, proxy):
        """Whether the limit on messages to one proxy leaves one more; and, if not, when it will."""
        times = self.written.get(proxy)
        if not self.messages_most or not self.bounded or not times:
            return now
        while times and times[0] <= now - self.messages_window:
            times.popleft()
        return now if len(times) < self.messages_most else times[0] + self.messages_window

    def next_at(self, now):
        """When the next message may leave; None while none waits."""
        if not self.queue:
            return self.free_at if self.owed else None
        soonest = None
        for proxy in self.queue:
            at = self.may_write(now, proxy)
            soonest = at if soonest is None else min(at, soonest)
            if at <= max(now, self.free_at):  # none can leave sooner: no look at the rest of a long queue
                break
        return max(self.free_at, soonest)

    def take(self, now):
        """The next message that leaves now, or None. Its lines keep the channel busy until `free_at`."""
        if now < self.free_at:
            return None
        for proxy in self.queue:
            if self.may_write(now, proxy) <= now:
                break
        else:
            self.settle(now)
            return None
        message = self.queue.pop(proxy)
        self.waiting -= message.cost
        self.sending = message.cost
        # A late wake-up is made up for, by no more than a tenth of a second of lines.
        start = max(self.free_at, now - SECOND // 10)
        self.free_at = start + round(message.cost / self.lines_per_s * SECOND)
        if self.messages_most:
            self.written.setdefault(proxy, deque()).append(now)
        self.sent_lines += message.cost
        self.sent_messages += 1
        self.settle(now)
        return message
