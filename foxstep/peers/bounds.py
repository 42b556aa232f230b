"""Upper bounds on recovery times after a network split, computed from the protocol's parameters.

No I/O and no clock. Durations are whole microseconds.
"""

from math import ceil, log

from foxstep.peers.membership import MAX_LOCAL_HEALTH
from foxstep.peers.placement import MIN_ALIVE_PERIODS, STABLE_HOME_PERIODS

EXCEED_PROBABILITY = 1e-3  # accepted probability that a bound is exceeded because of lost datagrams


def rounds_to_succeed(loss_ratio):
    """Rounds of pings after which, except with `EXCEED_PROBABILITY`, a ping and its ack have both arrived."""
    fails = 1 - (1 - loss_ratio) ** 2
    return 1 if fails <= 0 else ceil(log(EXCEED_PROBABILITY) / log(fails))


def rediscovery_bound(period, others, loss_ratio=0.0):
    """Time from the end of a split until a controller that was considered gone is known to be alive.

    Each round pings all other controllers, also those that are gone. A controller with the worst local health
    pings at an interval that is `1 + MAX_LOCAL_HEALTH` times as long.
    """
    return rounds_to_succeed(loss_ratio) * others * period * (1 + MAX_LOCAL_HEALTH)


def heal_bound(period, others, spacing, proxies, loss_ratio=0.0, reconnect=1_000_000):
    """Time from the end of a split until every proxy is connected to its home controller again.

    It is the sum of rediscovery, the time for which a home must have been alive and unchanged before proxies
    are redirected to it, one `spacing` for each proxy (they are redirected one at a time), and a reconnect.
    """
    settling = (MIN_ALIVE_PERIODS + STABLE_HOME_PERIODS) * period
    return rediscovery_bound(period, others, loss_ratio) + settling + proxies * spacing + reconnect
