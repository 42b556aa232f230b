"""Decides which balancers are sent new weights, when, and which weights. No I/O, no clock.

The decision module's shared table is the only source of weights (see `weights`). Changes that a rule requires
(a server that left, a cold one that has too much weight, a group without a weight) are sent at once. The rest
is sent once a period, and only as far as the channel has room that the ordinary tables do not need. Times are
whole microseconds.
"""

from foxstep.advice.weights import group_weights, member_values

UPDATE_THRESHOLD = 0.1  # relative difference from which a weight is sent, the same as for ordinary tables
COLD_EXCESS_THRESHOLD = 0.5  # relative excess of a cold server's weight from which it is sent at once
# Fractions of the channel's backlog up to which lines may wait once a message has been added.
REQUIRED_BACKLOG_FRACTION = 0.9  # for changes that a rule requires
REGISTERED_BACKLOG_FRACTION = 0.5  # for all lines of a balancer that has changed its groups
DEFERRABLE_BACKLOG_FRACTION = 0.2  # for changes that can wait
# Of the backlog, for all members of one balancer, since they are sent at once.
MAX_BALANCER_FRACTION = 0.4


def line_name(group, server):
    """The name of a line in a balancer's table. Group ids have no blank."""
    return f"{group} {server}"


def split_line_name(name):
    """(group, server) of a line's name."""
    group, _, server = name.partition(" ")
    return group, server


class AdvisedBalancer:
    """A connected balancer and the weights that it was last sent."""

    def __init__(self):
        self.groups = {}  # group -> {server: whether it asked for no new work}
        self.lines = {}  # line name -> weight, 0: none
        self.groups_changed = True  # since it was last sent weights
        self.deferrable_at = 0  # from when it may be sent changes that can wait


class Advisor:
    """The weight advice for all connected balancers. `site` is the plain map of the settings."""

    def __init__(self, site):
        self.head = site["head"]
        self.backlog = site["backlog"]
        self.period = 2 * site["cycle"]
        self.balancers = {}  # by the balancer's id
        self.server_weights = None  # as of the last check; None: no list has been received yet
        self.availability = None  # server -> (may be picked, is warm), at the last check
        self.next_check_at = 0
        self.pending = {}  # balancers that still have to be checked, as an ordered set

    # -- inputs

    def set_groups(self, ident, groups):
        """Sets all groups of a balancer: group -> {server: whether it asked for no new work}."""
        balancer = self.balancers.setdefault(ident, AdvisedBalancer())
        balancer.groups = groups
        balancer.groups_changed = True
        self.pending[ident] = None

    def max_lines(self):
        """The maximum number of members of one balancer."""
        return int(MAX_BALANCER_FRACTION * self.backlog)

    def left(self, ident):
        """A balancer's connection has ended."""
        self.balancers.pop(ident, None)

    # -- decisions

    def intended_lines(self, balancer, server_weights):
        """line name -> weight for all members of a balancer; 0 for those that are to get no work."""
        lines = {}
        for group, members in balancer.groups.items():
            weights = group_weights(members, server_weights)
            lines.update((line_name(group, s), round(weights.get(s, 0), 4)) for s in members)
        return lines

    def is_required(self, sent, intended, server_weights):
        """Whether a rule requires the change from the `sent` lines to the `intended` ones at once."""
        groups_with_weight = {split_line_name(name)[0] for name, weight in sent.items() if weight}
        for name, weight in intended.items():
            old_weight = sent.get(name, 0)
            group, server = split_line_name(name)
            if old_weight and not weight or weight and group not in groups_with_weight:
                return True
            if (
                old_weight > weight * (1 + COLD_EXCESS_THRESHOLD)
                and (member_values(server_weights, server) or (0, 0, 1))[2] < 1
            ):
                return True
        return False

    def due(self, now, server_weights, waiting):
        """Yields the ids of the balancers that have to be sent weights now; their `lines` are then the
        intended ones. `waiting`: lines that wait in the channel. Nothing is sent before a list has been
        received."""
        if not server_weights and self.server_weights is None:
            return
        # Which servers may be picked and which are warm is checked each time. How warm a cold one is changes
        # all the time and is checked 20 times a period.
        availability = {
            server: (bool(weight), warm_fraction == 1)
            for server, (weight, _, warm_fraction) in server_weights.items()
        }
        if availability == self.availability and now < self.next_check_at and not self.pending:
            return
        idents = self.pending
        if server_weights != self.server_weights:
            idents = dict.fromkeys(self.balancers)
        self.server_weights = server_weights
        self.availability = availability
        self.pending = {}
        self.next_check_at = now + self.period // 20
        for backlog_fraction, ident, lines, cost in self.changes(now, server_weights, idents):
            if waiting + cost > backlog_fraction * self.backlog:
                self.pending[ident] = None
                continue
            balancer = self.balancers[ident]
            waiting = waiting + cost
            balancer.lines = lines
            balancer.groups_changed = False
            balancer.deferrable_at = now + self.period if lines else 0
            yield ident

    def changes(self, now, server_weights, idents):
        """(fraction of the backlog, balancer, its lines, cost) of all due changes, required ones first."""
        due = []
        for ident in idents:
            balancer = self.balancers.get(ident)
            if balancer is None:
                continue
            intended = self.intended_lines(balancer, server_weights)
            backlog_fraction = DEFERRABLE_BACKLOG_FRACTION
            if balancer.groups_changed or self.is_required(balancer.lines, intended, server_weights):
                backlog_fraction = (
                    REGISTERED_BACKLOG_FRACTION if balancer.groups_changed else REQUIRED_BACKLOG_FRACTION
                )
            if backlog_fraction < REQUIRED_BACKLOG_FRACTION and now < balancer.deferrable_at:
                self.pending[ident] = None
                continue
            outdated = {
                n for n, w in intended.items() if abs(balancer.lines.get(n, 0) - w) > UPDATE_THRESHOLD * w
            }
            if backlog_fraction == DEFERRABLE_BACKLOG_FRACTION and not outdated:
                continue
            # As a message is sent anyway, weights that differ by half the threshold are included.
            lines = {
                n: w
                if abs(balancer.lines.get(n, 0) - w) > UPDATE_THRESHOLD / 2 * w or n not in balancer.lines
                else balancer.lines[n]
                for n, w in intended.items()
            }
            changed = (
                len(lines)
                if balancer.groups_changed
                else sum(balancer.lines.get(n) != w for n, w in lines.items())
            )
            due.append((backlog_fraction, ident, lines, self.head + changed))
        return sorted(due, key=lambda change: -change[0])
