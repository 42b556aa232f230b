"""Which controller should serve a proxy, and who is sent home when. No I/O, no clock.

Rendezvous hashing (Thaler and Ravishankar, 1998): each controller has a score for each proxy, the highest is
its home, those of its zone before others; when one goes only its proxies move. The bound of Mirrokni, Thorup
and Zadimoghaddam (2018) keeps the fullest near the mean: one that has its part is passed over. All count over
the same proxies, those that any controller tells to be its own, and so come to the same homes.

A controller serves whoever joins: a proxy is never without one for the sake of order. It is sent home later,
one after the other, by a pace that leaves the channel to other things.
"""

from hashlib import blake2b
from math import ceil

SLACK = 1.25  # a controller is given no more than so many times its even part of the proxies
SETTLED = 10  # periods for which a home has to have been alive before proxies are sent there,
STOOD = 4  # for which it has to have been a proxy's home, and within which it has to have been heard
CHANNEL = 0.25  # part of the channel's speed that whole tables of those who come home may take


def score(controller, proxy):
    """BLAKE2b rather than crc32, which is linear: scores of two controllers would go together."""
    return blake2b(f"{controller} {proxy}".encode(), digest_size=8).digest()


def preferred(proxy, zone, controllers, zone_of):
    """Controllers in the order in which they should serve a proxy: those of its zone first."""
    by_score = sorted(controllers, key=lambda c: score(c, proxy), reverse=True)
    return sorted(by_score, key=lambda c: zone_of.get(c) != zone)


def homes(proxies, controllers, zone_of):
    """Proxy -> the controller that should serve it. `proxies`: proxy -> zone, in any order: whoever counts
    over the same ones comes to the same answer, over nearly the same ones to nearly the same."""
    most = ceil(SLACK * len(proxies) / max(1, len(controllers)))
    loads, made = dict.fromkeys(controllers, 0), {}
    for proxy in sorted(proxies, key=lambda p: score("order", p)):
        order = preferred(proxy, proxies[proxy], controllers, zone_of)
        made[proxy] = next(c for c in order if loads[c] < most)
        loads[made[proxy]] += 1
    return made


class Homing:
    """`zone_of`: controller -> zone, this one (`me`) included. `cost`: lines of a whole table."""

    def __init__(self, me, zone_of, period, cost, lines_per_s):
        self.me, self.zone_of, self.settled, self.stood = me, zone_of, SETTLED * period, STOOD * period
        self.spacing = round(cost / (CHANNEL * lines_per_s) * 1_000_000)
        self.next_at, self.counted, self.homes, self.since = 0, None, {}, {}
        self.leaving = False  # this controller is to end: all of its proxies are sent elsewhere

    def reached(self, now, heard):
        """Whether a controller was heard of just now. Guards against one that has died and is not yet found
        to be gone. Harm: on bad ways proxies come home some periods later."""
        return now - heard <= self.stood

    def next_return(self, now, joined, everyone, others):
        """(proxy, controller) that is to be sent home now, or None. `joined`: proxy -> zone of this one's
        that can be sent; `everyone`: the same of all that any controller serves; `others`: controller -> (no
        longer gone since, heard at) of those that are not gone."""
        fit = sorted(c for c, (since, _) in others.items() if now - since >= self.settled)
        if not self.leaving:
            fit = sorted([*fit, self.me])
        counted = (tuple(fit), tuple(sorted(everyone.items())))
        if counted != self.counted:
            self.counted = counted
            self.homes = homes(everyone, fit, self.zone_of) if fit else {}
        for proxy in joined:
            home = self.homes.get(proxy, self.me)
            known = self.since.get(proxy)
            if known is None or known[0] != home:
                self.since[proxy] = (home, now)
        if len(self.since) > 2 * len(joined) + 64:
            self.since = {p: s for p, s in self.since.items() if p in joined}
        if now < self.next_at:
            return None
        for proxy in joined:
            home, since = self.since[proxy]
            if home != self.me and now - since >= self.stood and self.reached(now, others[home][1]):
                self.next_at = now + self.spacing
                del self.since[proxy]
                return proxy, home
        return None
