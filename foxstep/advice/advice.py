"""Which balancers are told of new weights, when, and which. No I/O, no clock.

The shared table of the module is the only source of weights (`standing`, see `weigh`). What a rule asks for
(a server that left, a cold one that has too much, a group without a line) is told at once, the rest once a
period and only as far as the channel has room that the ordinary tables do not need.
"""

from foxstep.advice.weigh import advise, whole_system

OFF_BY = 0.1  # a weight is told when it is this far off, as the ordinary tables have it
COLD_OFF_BY = 0.5  # of a cold server, when this far above what it should be: at once
RULE, FRESH, CALM = 0.9, 0.5, 0.2  # parts of the backlog up to which lines may wait: with what a rule asks
# for, with all that a balancer newly asked for, with what can wait
MOST = 0.4  # part of the backlog that one balancer's members may come to: they go out at once


def key(group, server):
    """A line's name in a balancer's table: groups are door ids, which have no blank."""
    return f"{group} {server}"


def parts(name):
    """(group, server) of a line's name."""
    group, _, server = name.partition(" ")
    return group, server


class Roll:
    """A balancer that is joined, and what it is told."""

    def __init__(self):
        self.groups, self.lines = {}, {}  # group -> {server: no new work asked}; line -> weight, 0: none
        self.fresh, self.calm_at = True, 0  # its groups were read anew; when what can wait may be told


class Advice:
    def __init__(self, site):
        self.head, self.backlog = site["head"], site["backlog"]
        self.period = 2 * site["cycle"]
        self.rolls, self.standing, self.picture, self.look_at = {}, None, None, 0
        self.left_over = {}  # balancers that are still to be looked at, as a set in order

    # -- what comes in

    def enroll(self, ident, groups):
        """`groups`: group -> {server: whether it asked for no new work}, all that the balancer has."""
        roll = self.rolls.setdefault(ident, Roll())
        roll.groups, roll.fresh, self.left_over[ident] = groups, True, None

    def most_lines(self):
        return int(MOST * self.backlog)

    def left(self, ident):
        self.rolls.pop(ident, None)

    # -- what is decided

    def meant(self, roll, standing):
        """line -> weight for all of a roll's members; 0 for those that are to get nothing."""
        made = {}
        for group, members in roll.groups.items():
            weights = advise(members, standing)
            made.update((key(group, s), round(weights.get(s, 0), 4)) for s in members)
        return made

    def pressing(self, told, meant, standing):
        """Whether a rule asks for the change: it cannot wait for its turn."""
        fed = {parts(name)[0] for name, weight in told.items() if weight}
        for name, weight in meant.items():
            had = told.get(name, 0)
            group, server = parts(name)
            if had and not weight or weight and group not in fed:
                return True
            if had > weight * (1 + COLD_OFF_BY) and (whole_system(standing, server) or (0, 0, 1))[2] < 1:
                return True
        return False

    def due(self, now, standing, waiting):
        """Names the balancers that are to be told now, one by one: their rolls' `lines` are then what they
        are meant to hold. `waiting`: lines that wait in the channel. Nobody is told before a list came."""
        if not standing and self.standing is None:
            return
        # Who may be picked, and who is warm, is looked at each time; how warm a cold one is, which changes
        # all the time, twenty times a period.
        picture = {server: (bool(weight), sure == 1) for server, (weight, _, sure) in standing.items()}
        if picture == self.picture and now < self.look_at and not self.left_over:
            return
        rolls = self.left_over
        if standing != self.standing:
            rolls = dict.fromkeys(self.rolls)
        self.standing, self.picture, self.left_over = standing, picture, {}
        self.look_at = now + self.period // 20
        for room, ident, lines, cost in self.changes(now, standing, rolls):
            if waiting + cost > room * self.backlog:
                self.left_over[ident] = None
                continue
            roll, waiting = self.rolls[ident], waiting + cost
            roll.lines, roll.fresh = lines, False
            roll.calm_at = now + self.period if lines else 0
            yield ident

    def changes(self, now, standing, idents):
        """(part of the backlog, balancer, its lines, cost) of all that are due, a rule's changes first."""
        due = []
        for ident in idents:
            roll = self.rolls.get(ident)
            if roll is None:
                continue
            meant = self.meant(roll, standing)
            room = CALM
            if roll.fresh or self.pressing(roll.lines, meant, standing):
                room = FRESH if roll.fresh else RULE
            if room < RULE and now < roll.calm_at:
                self.left_over[ident] = None
                continue
            off = {n for n, w in meant.items() if abs(roll.lines.get(n, 0) - w) > OFF_BY * w}
            if room == CALM and not off:
                continue
            # With a message under way anyhow, what is half as far off goes along.
            lines = {
                n: w
                if abs(roll.lines.get(n, 0) - w) > OFF_BY / 2 * w or n not in roll.lines
                else roll.lines[n]
                for n, w in meant.items()
            }
            changed = len(lines) if roll.fresh else sum(roll.lines.get(n) != w for n, w in lines.items())
            due.append((room, ident, lines, self.head + changed))
        return sorted(due, key=lambda one: -one[0])
