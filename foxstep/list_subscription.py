"""When the list of servers is requested: once at the start, and again after each request that failed.

There is one subscription; after a failure it is ordered again. Two kinds of failure are told apart:

- "failed": the list service refused the request or could not be reached, and no change of the list can have
  been lost by it. The delay doubles with each failure in a row, so that an overloaded service recovers.
- "lost": a request got no complete answer, so a change that the service sent may not have arrived. By the
  rules of the site such a change counts as known some time after the request, and from then on proxies have
  `grace` to stop sending to a server that drains. The delay is a small part of the grace, whatever the number
  of failures, because the service may answer again at any moment. Only once the list has been unknown for
  longer than the grace does the delay grow, in proportion to that time, which bounds the number of requests
  to a service that stays away. Drawback: a service that resets connections because it is overloaded is
  called more often for that time.

Times are whole microseconds.
"""

SECOND = 1_000_000  # microseconds

FIRST_FAILURE_DELAY_US = SECOND  # mean delay after a first failure; doubled with each further one in a row
MAX_DOUBLINGS = 5
MAX_DELAY_FRACTION = 0.5  # of `ask_within`, for the mean delay
DEFAULT_ASK_WITHIN_US = 8 * SECOND
LOST_DELAY_FRACTION = 0.1  # of the grace, or of the time since a change may have been lost if that is longer


class ListSubscription:
    """Orders the subscription to the list of servers.

    `site` is the plain map of settings; `random_fraction()` returns a pseudo-random number from 0 to below 1.
    """

    def __init__(self, now, site, random_fraction):
        self.random_fraction = random_fraction
        self.is_required = bool(site.get("list_asked"))  # otherwise the list arrives unasked
        self.max_delay = int(site.get("ask_within", DEFAULT_ASK_WITHIN_US) * MAX_DELAY_FRACTION)
        self.shortest_unknown_time = max(site.get("grace", 0), site.get("cycle", SECOND))
        self.due_at = now  # when to subscribe; None: not due
        self.wake_ordered_for = None  # for which of these times a wake-up was ordered
        self.failures = 0  # in a row, of the kind "failed"
        self.lost_at = None  # since when a change may have been lost; None: the list is up to date

    def received(self):
        """The list service has answered with a list or its changes."""
        self.failures = 0
        self.lost_at = None

    def failed(self, now):
        """A request failed, and no change was lost by it."""
        self.failures += 1
        doublings = min(self.failures - 1, MAX_DOUBLINGS)
        delay = min(self.max_delay, FIRST_FAILURE_DELAY_US * 2**doublings)
        self.due_at = now + int(delay * (0.5 + self.random_fraction()))

    def lost(self, now):
        """A request failed, and a change may have been lost, by this one or an earlier one."""
        if self.lost_at is None:
            self.lost_at = now
        unknown_time = max(now - self.lost_at, self.shortest_unknown_time)
        delay = min(self.max_delay, LOST_DELAY_FRACTION * unknown_time)
        self.due_at = now + int(delay * (1 + self.random_fraction()) / 2)

    def orders(self, now):
        """Yields the order to subscribe if that is due at `now`, or to be woken when it will be."""
        if not self.is_required or self.due_at is None:
            return
        if now >= self.due_at:
            self.due_at = None
            yield ("watch", True)
        elif self.due_at != self.wake_ordered_for:
            self.wake_ordered_for = self.due_at
            yield ("wake", self.due_at, "list")
