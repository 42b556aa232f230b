"""Who has registered what: balancers, their groups, the members in them. No I/O, no clock.

A balancer's word stands for its own groups alone: two that say contrary things of one server do not touch
each other. A request is taken whole or not at all, and what a peer can make this hold is bounded. Ids are
text.
"""

from enum import Enum


class Answer(Enum):
    DONE = "done"
    NOT_ACCEPTED = "not accepted"  # beyond a limit, or not this sender's to say
    ALREADY = "already registered"
    TWICE = "twice in the request"
    NOT_REGISTERED = "not registered"
    UNKNOWN_GROUP = "unknown group"
    UNKNOWN_BALANCER = "unknown balancer"
    NO_CONTACT = "its balancer has not made contact"


class Entry:
    """A server in a group. `shown`: how its front names it, unread here."""

    __slots__ = ("shown", "by_balancer", "state", "quiesced")

    def __init__(self, shown, by_balancer):
        self.shown, self.by_balancer, self.state, self.quiesced = shown, by_balancer, 0, False


class Balancer:
    def __init__(self, ident):
        self.ident, self.groups = ident, {}  # group -> {server: Entry}, in order
        self.push = self.trust = self.changes_only = False
        self.health, self.away_since = 0, None  # None while its session stands

    def size(self):
        return sum(map(len, self.groups.values()))


class Register:
    """`most_members` of all balancers together, `most_lines` of one; `keep`: microseconds for which a
    balancer that is away keeps what it has registered."""

    def __init__(self, most_balancers, most_groups, most_members, keep, most_lines):
        self.most_balancers, self.most_groups, self.most_members = most_balancers, most_groups, most_members
        self.most_lines = most_lines
        self.keep, self.balancers, self.members = keep, {}, 0
        self.changed = {}  # balancers whose roll is to be read anew, as a set in order

    def next_changed(self):
        """A balancer whose roll has changed since it was last asked for, or None."""
        ident = next(iter(self.changed), None)
        if ident is not None:
            del self.changed[ident]
        return ident

    def roll(self, ident):
        """group -> {server: whether it asked for no new work}."""
        groups = self.balancers[ident].groups if ident in self.balancers else {}
        return {g: {s: e.quiesced for s, e in entries.items()} for g, entries in groups.items()}

    # -- sessions

    def contact(self, ident):
        """A balancer's session is up, perhaps again: what it had registered stands."""
        balancer = self.balancers.get(ident)
        if balancer is None:
            if len(self.balancers) >= self.most_balancers:
                return Answer.NOT_ACCEPTED
            balancer = self.balancers[ident] = Balancer(ident)
        balancer.away_since = None
        self.changed[ident] = None
        return Answer.DONE

    def set_balancer(self, ident, push, trust, changes_only, health):
        if ident not in self.balancers:
            return Answer.UNKNOWN_BALANCER
        balancer = self.balancers[ident]
        balancer.push, balancer.trust, balancer.changes_only = push, trust, changes_only
        balancer.health = health
        return Answer.DONE

    def away(self, now, ident):
        if ident in self.balancers:
            self.balancers[ident].away_since = now

    def next_forgotten(self, now):
        """A balancer that was away for too long and is forgotten with its groups, or None."""
        for ident, balancer in self.balancers.items():
            if balancer.away_since is not None and now - balancer.away_since >= self.keep:
                self.members -= balancer.size()
                del self.balancers[ident]
                self.changed.pop(ident, None)
                return ident
        return None

    # -- groups: each request is checked whole, then done

    def may(self, by_balancer, ident):
        """Whether the sender may speak for a balancer's groups; members only where it trusts them."""
        balancer = self.balancers.get(ident)
        if balancer is None:
            return Answer.UNKNOWN_BALANCER if by_balancer else Answer.NO_CONTACT
        return Answer.DONE if by_balancer or balancer.trust else Answer.NOT_ACCEPTED

    def register(self, by_balancer, groups):
        """`groups`: (balancer, group, [(server, shown)])."""
        new, added = {}, 0
        for ident, group, members in groups:
            if (answer := self.may(by_balancer, ident)) is not Answer.DONE:
                return answer
            standing = self.balancers[ident].groups
            servers = new.setdefault((ident, group), {})
            for server, shown in members:
                if server in servers:
                    return Answer.TWICE
                if server in standing.get(group, ()):
                    return Answer.ALREADY
                servers[server] = shown
                added += 1
        for ident in dict.fromkeys(ident for ident, _ in new):
            names = {*self.balancers[ident].groups, *(g for b, g in new if b == ident)}
            size = self.balancers[ident].size() + sum(len(s) for (b, _), s in new.items() if b == ident)
            if len(names) > self.most_groups or size > self.most_lines:
                return Answer.NOT_ACCEPTED
        if self.members + added > self.most_members:
            return Answer.NOT_ACCEPTED
        for (ident, group), servers in new.items():
            entries = self.balancers[ident].groups.setdefault(group, {})
            entries.update((server, Entry(shown, by_balancer)) for server, shown in servers.items())
            self.changed[ident] = None
        self.members += added
        return Answer.DONE

    def named(self, by_balancer, groups):
        """The answer to a request that names groups and members, and what it names."""
        found = {}
        for ident, group, members in groups:
            if (answer := self.may(by_balancer, ident)) is not Answer.DONE:
                return answer, found
            standing = self.balancers[ident].groups
            if group not in standing:
                return Answer.UNKNOWN_GROUP, found
            for server in members:
                if server not in standing[group]:
                    return Answer.NOT_REGISTERED, found
            found.setdefault((ident, group), {}).update(dict.fromkeys(members))
        return Answer.DONE, found

    def deregister(self, by_balancer, groups):
        """`groups`: (balancer, group, [server]). No server: the whole group; no name: all of its groups."""
        asked = []
        for ident, group, members in groups:
            if not group and not members and ident in self.balancers:
                asked += [(ident, g, list(entries)) for g, entries in self.balancers[ident].groups.items()]
            else:
                whole = self.balancers[ident].groups.get(group, ()) if ident in self.balancers else ()
                asked.append((ident, group, members or list(whole)))
        for ident in dict.fromkeys(ident for ident, _, _ in groups):
            if (answer := self.may(by_balancer, ident)) is not Answer.DONE:
                return answer
        answer, found = self.named(by_balancer, asked)
        if answer is not Answer.DONE:
            return answer
        for (ident, group), servers in found.items():
            standing = self.balancers[ident].groups
            for server in servers:
                del standing[group][server]
            self.members -= len(servers)
            if not standing[group]:
                del standing[group]
            self.changed[ident] = None
        return answer

    def set_members(self, by_balancer, groups):
        """`groups`: (balancer, group, [(server, state, quiesced)])."""
        answer, _ = self.named(by_balancer, [(b, g, [s for s, _, _ in those]) for b, g, those in groups])
        if answer is not Answer.DONE:
            return answer
        for ident, group, those in groups:
            for server, state, quiesced in those:
                entry = self.balancers[ident].groups[group][server]
                entry.state, entry.quiesced = state, quiesced
            self.changed[ident] = None
        return answer

    def asked(self, ident, group):
        """(answer, groups by name) that a question for weights is about; no name: all of its groups."""
        balancer = self.balancers.get(ident)
        if balancer is None:
            return Answer.UNKNOWN_BALANCER, {}
        if not group:
            return Answer.DONE, dict(balancer.groups)
        if group not in balancer.groups:
            return Answer.UNKNOWN_GROUP, {}
        return Answer.DONE, {group: balancer.groups[group]}
