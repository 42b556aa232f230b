"""Assignment of proxies to controllers, and when a proxy is redirected. No I/O, no clock.

The controller that should serve a proxy is called its home. It is chosen by rendezvous hashing (Thaler and
Ravishankar, 1998): each controller has a score for each proxy and the highest wins, controllers of the
proxy's zone before all others, so that only its own proxies move when a controller goes. Loads are bounded
as by Mirrokni, Thorup and Zadimoghaddam (2018): a controller that already has its share is skipped. All
controllers compute this over the same proxies, those that any controller reports as its own, and so arrive
at the same homes.

A controller serves every proxy that connects, so that a proxy is never without one. Proxies connected to
another controller than their home are redirected later, one at a time, at a rate that leaves most of the
update channel to other traffic.
"""

from hashlib import blake2b
from math import ceil

MAX_LOAD_FACTOR = 1.25  # limit on the proxies of one controller, as a multiple of the mean
MIN_ALIVE_PERIODS = 10  # a home must have been alive for so long before proxies are redirected to it
# A home must have been a proxy's home for so long, and must have been heard of within that time.
STABLE_HOME_PERIODS = 4
REDIRECT_CHANNEL_SHARE = 0.25  # of the channel's line rate, used for full tables of redirected proxies


def score(controller, proxy):
    """BLAKE2b, because crc32 is linear: the scores of two controllers would be correlated."""
    return blake2b(f"{controller} {proxy}".encode(), digest_size=8).digest()


def ranked_controllers(proxy, zone, controllers, zone_of):
    """Returns the controllers in the order of preference for a proxy: those of its zone first."""
    by_score = sorted(controllers, key=lambda c: score(c, proxy), reverse=True)
    return sorted(by_score, key=lambda c: zone_of.get(c) != zone)


def assign_homes(proxies, controllers, zone_of):
    """Returns proxy -> its home controller.

    `proxies` maps proxies to zones. Their order does not matter: the same proxies give the same result, and
    nearly the same proxies nearly the same result.
    """
    max_load = ceil(MAX_LOAD_FACTOR * len(proxies) / max(1, len(controllers)))
    loads, homes = dict.fromkeys(controllers, 0), {}
    for proxy in sorted(proxies, key=lambda p: score("order", p)):
        order = ranked_controllers(proxy, proxies[proxy], controllers, zone_of)
        homes[proxy] = next(c for c in order if loads[c] < max_load)
        loads[homes[proxy]] += 1
    return homes


class RedirectScheduler:
    """Decides which proxy of this controller (`me`) is redirected to its home, and when.

    `zone_of` maps controllers to zones, `me` included. `table_cost` is the size of a full table in lines,
    `lines_per_s` the speed of the channel. Times are microseconds.
    """

    def __init__(self, me, zone_of, period, table_cost, lines_per_s):
        self.me = me
        self.zone_of = zone_of
        self.min_alive = MIN_ALIVE_PERIODS * period
        self.min_stable = STABLE_HOME_PERIODS * period
        self.spacing = round(table_cost / (REDIRECT_CHANNEL_SHARE * lines_per_s) * 1_000_000)
        self.next_at = 0
        self.assigned_over = None  # the controllers and proxies that `homes` was computed over
        self.homes = {}
        self.home_since = {}  # proxy -> (home, since when)
        self.draining = False  # this controller is to end: all of its proxies are redirected

    def heard_recently(self, now, heard_at):
        """Prevents redirects to a controller that has died and is not yet known to be gone.

        Cost: with heavy datagram loss, redirects are delayed by some periods.
        """
        return now - heard_at <= self.min_stable

    def next_redirect(self, now, joined, all_proxies, others):
        """Returns (proxy, controller) of a redirect that is due, or None.

        `joined` maps this controller's proxies that can be redirected to their zones, `all_proxies` those of
        all controllers. `others` maps controllers that are not gone to (when they last ceased to be gone,
        when they were last heard of).
        """
        eligible = sorted(c for c, (since, _) in others.items() if now - since >= self.min_alive)
        if not self.draining:
            eligible = sorted([*eligible, self.me])
        assigned_over = (tuple(eligible), tuple(sorted(all_proxies.items())))
        if assigned_over != self.assigned_over:
            self.assigned_over = assigned_over
            self.homes = assign_homes(all_proxies, eligible, self.zone_of) if eligible else {}
        for proxy in joined:
            home = self.homes.get(proxy, self.me)
            known = self.home_since.get(proxy)
            if known is None or known[0] != home:
                self.home_since[proxy] = (home, now)
        if len(self.home_since) > 2 * len(joined) + 64:
            self.home_since = {p: s for p, s in self.home_since.items() if p in joined}
        if now < self.next_at:
            return None
        for proxy in joined:
            home, since = self.home_since[proxy]
            if (
                home != self.me
                and now - since >= self.min_stable
                and self.heard_recently(now, others[home][1])
            ):
                self.next_at = now + self.spacing
                del self.home_since[proxy]
                return proxy, home
        return None
