"""Which controller should serve a proxy, and who is sent home when. No I/O, no clock.

Rendezvous hashing (Thaler and Ravishankar, 1998): each controller has a score for each proxy, the highest is
its home, those of its zone before others; when one goes only its proxies move. The bound of Mirrokni, Thorup
and Zadimoghaddam (2018) keeps the fullest near the mean: one that has its part is passed over.

A controller serves whoever joins: a proxy is never without one for the sake of order. It is sent home later,
one after the other, by a pace that leaves the channel to other things.
"""

from hashlib import blake2b
from math import ceil

SLACK = 1.25       # a controller is given no more than so many times its even part of the proxies
SETTLED = 10       # periods for which a home has to have been alive before proxies are sent there
CHANNEL = 0.25     # part of the channel's speed that whole tables of those who come home may take


def score(controller, proxy):
    """BLAKE2b rather than crc32, which is linear: scores of two controllers would go together."""
    return blake2b(f"{controller} {proxy}".encode(), digest_size=8).digest()


def preferred(proxy, zone, controllers, zone_of):
    """Controllers in the order in which they should serve a proxy: those of its zone first."""
    by_score = sorted(controllers, key=lambda c: score(c, proxy), reverse=True)
    return sorted(by_score, key=lambda c: zone_of.get(c) != zone)


class Homing:
    """`zone_of`: controller -> zone, this one (`me`) included. `cost`: lines of a whole table."""

    def __init__(self, me, zone_of, period, cost, lines_per_s):
        self.me, self.zone_of, self.settled = me, zone_of, SETTLED * period
        self.spacing = round(cost / (CHANNEL * lines_per_s) * 1_000_000)
        self.next_at = 0
        self.leaving = False  # this controller is to end: all of its proxies are sent elsewhere

    def home(self, proxy, zone, loads, total):
        """`loads`: controller -> proxies that it serves, of those that may have more; `total`: of all."""
        most = ceil(SLACK * total / max(1, len(loads)))
        order = preferred(proxy, zone, loads, self.zone_of)
        return next((c for c in order if loads[c] < most + (c == self.me)), self.me)

    def next_return(self, now, joined, loads, alive_since):
        """(proxy, controller) that is to be sent home now, or None. `joined`: proxy -> zone of this one's;
        `alive_since`: controller -> since when, of the others that are alive."""
        if now < self.next_at:
            return None
        fit = {c: loads.get(c, 0) for c, since in alive_since.items() if now - since >= self.settled}
        total = sum(fit.values()) + len(joined)
        if not self.leaving:
            fit[self.me] = len(joined)
        for proxy, zone in joined.items() if fit else ():
            home = self.home(proxy, zone, fit, total)
            if home != self.me:
                self.next_at = now + self.spacing
                return proxy, home
        return None
