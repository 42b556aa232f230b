"""How long things may take among controllers, from their figures. No I/O, no clock; whole microseconds."""

from math import ceil, log

from foxstep.peers.membership import MOST_HEALTH
from foxstep.peers.place import SETTLED, STOOD

RARE = 1e-3  # what a bound may be passed by for want of luck


def rounds_within(lost):
    """Rounds of pings until one gets through and is answered, but for a rare time, when so many are lost."""
    fails = 1 - (1 - lost) ** 2
    return 1 if fails <= 0 else ceil(log(RARE) / log(fails))


def found_within(period, others, lost=0.0):
    """From the end of a split until a controller that was held to be gone is known to be alive: each round
    pings all, also those that are gone, and one that was unwell pings ever more slowly."""
    return rounds_within(lost) * others * period * (1 + MOST_HEALTH)


def heal_bound(period, others, spacing, proxies, lost=0.0, redial=1_000_000):
    """From the end of a split until every proxy is at home again: the others are found, have been there and
    been a proxy's home for as long as is asked for, and proxies are sent one after the other, and dial."""
    sure = (SETTLED + STOOD) * period
    return found_within(period, others, lost) + sure + proxies * spacing + redial
