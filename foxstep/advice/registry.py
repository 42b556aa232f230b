"""The registry of balancers, their groups and the members in them. No I/O, no clock.

What a balancer registers applies to its own groups only, so balancers that contradict each other about a
server do not affect each other. A request is applied as a whole or not at all, and the memory that peers can
use is bounded. Ids are text.
"""

from enum import Enum


class Result(Enum):
    """The result of a request."""

    DONE = "done"
    NOT_ACCEPTED = "not accepted"  # beyond a limit, or the sender may not request it
    ALREADY_REGISTERED = "already registered"
    DUPLICATE = "twice in the request"
    NOT_REGISTERED = "not registered"
    UNKNOWN_GROUP = "unknown group"
    UNKNOWN_BALANCER = "unknown balancer"
    NO_CONTACT = "its balancer has not made contact"


class Entry:
    """A server registered in a group. `shown` is how the protocol's front end names it; not read here."""

    __slots__ = ("shown", "by_balancer", "state", "quiesced")

    def __init__(self, shown, by_balancer):
        self.shown = shown
        self.by_balancer = by_balancer  # whether the balancer registered it, or the member itself
        self.state = 0
        self.quiesced = False  # it asked for no new work


class Balancer:
    """A balancer that has made contact, with its groups and options."""

    def __init__(self, ident):
        self.ident = ident
        self.groups = {}  # group -> {server: Entry}, in order of registration
        # `push`: weights are sent without a request. `trust`: members may register themselves.
        # `changes_only`: only the weights that have changed are sent.
        self.push = self.trust = self.changes_only = False
        self.health = 0
        self.disconnected_since = None  # microseconds; None while it is connected

    def size(self):
        """The number of its members."""
        return sum(map(len, self.groups.values()))


class Registry:
    """Registered balancers, groups and members.

    `max_balancers` and `max_members` limit all of them, `max_groups` and `max_lines` (members) a single
    balancer. `retention_us`: microseconds for which the registrations of a disconnected balancer are kept."""

    def __init__(self, max_balancers, max_groups, max_members, retention_us, max_lines):
        self.max_balancers, self.max_groups, self.max_members = max_balancers, max_groups, max_members
        self.max_lines = max_lines
        self.retention_us = retention_us
        self.balancers = {}  # by id
        self.member_count = 0  # number of members of all balancers
        self.changed = {}  # balancers whose groups have changed since `next_changed`, as an ordered set

    def next_changed(self):
        """The id of a balancer whose groups have changed since it was last returned here, or None."""
        ident = next(iter(self.changed), None)
        if ident is not None:
            del self.changed[ident]
        return ident

    def members_by_group(self, ident):
        """group -> {server: whether it asked for no new work} of a balancer."""
        groups = self.balancers[ident].groups if ident in self.balancers else {}
        return {g: {s: e.quiesced for s, e in entries.items()} for g, entries in groups.items()}

    # -- sessions

    def contact(self, ident):
        """A balancer has connected, perhaps again: what it had registered is kept."""
        balancer = self.balancers.get(ident)
        if balancer is None:
            if len(self.balancers) >= self.max_balancers:
                return Result.NOT_ACCEPTED
            balancer = self.balancers[ident] = Balancer(ident)
        balancer.disconnected_since = None
        self.changed[ident] = None
        return Result.DONE

    def set_balancer(self, ident, push, trust, changes_only, health):
        """Sets a balancer's options."""
        if ident not in self.balancers:
            return Result.UNKNOWN_BALANCER
        balancer = self.balancers[ident]
        balancer.push, balancer.trust, balancer.changes_only = push, trust, changes_only
        balancer.health = health
        return Result.DONE

    def disconnected(self, now, ident):
        """A balancer has disconnected."""
        if ident in self.balancers:
            self.balancers[ident].disconnected_since = now

    def remove_expired(self, now):
        """Removes a balancer that has been disconnected for too long, with its groups; returns its id, or
        None if there is no such balancer."""
        for ident, balancer in self.balancers.items():
            if (
                balancer.disconnected_since is not None
                and now - balancer.disconnected_since >= self.retention_us
            ):
                self.member_count -= balancer.size()
                del self.balancers[ident]
                self.changed.pop(ident, None)
                return ident
        return None

    # -- groups: each request is checked completely, then applied

    def check_sender(self, by_balancer, ident):
        """Whether the sender may change a balancer's groups: the balancer, or members where it trusts
        them."""
        balancer = self.balancers.get(ident)
        if balancer is None:
            return Result.UNKNOWN_BALANCER if by_balancer else Result.NO_CONTACT
        return Result.DONE if by_balancer or balancer.trust else Result.NOT_ACCEPTED

    def register(self, by_balancer, groups):
        """Registers members. `groups`: (balancer, group, [(server, shown)])."""
        new = {}
        added = 0
        for ident, group, members in groups:
            if (answer := self.check_sender(by_balancer, ident)) is not Result.DONE:
                return answer
            registered = self.balancers[ident].groups
            servers = new.setdefault((ident, group), {})
            for server, shown in members:
                if server in servers:
                    return Result.DUPLICATE
                if server in registered.get(group, ()):
                    return Result.ALREADY_REGISTERED
                servers[server] = shown
                added += 1
        for ident in dict.fromkeys(ident for ident, _ in new):
            names = {*self.balancers[ident].groups, *(g for b, g in new if b == ident)}
            size = self.balancers[ident].size() + sum(len(s) for (b, _), s in new.items() if b == ident)
            if len(names) > self.max_groups or size > self.max_lines:
                return Result.NOT_ACCEPTED
        if self.member_count + added > self.max_members:
            return Result.NOT_ACCEPTED
        for (ident, group), servers in new.items():
            entries = self.balancers[ident].groups.setdefault(group, {})
            entries.update((server, Entry(shown, by_balancer)) for server, shown in servers.items())
            self.changed[ident] = None
        self.member_count += added
        return Result.DONE

    def check_members(self, by_balancer, groups):
        """(result, {(balancer, group): {server: None}}) for a request about registered groups and members."""
        found = {}
        for ident, group, members in groups:
            if (answer := self.check_sender(by_balancer, ident)) is not Result.DONE:
                return answer, found
            registered = self.balancers[ident].groups
            if group not in registered:
                return Result.UNKNOWN_GROUP, found
            for server in members:
                if server not in registered[group]:
                    return Result.NOT_REGISTERED, found
            found.setdefault((ident, group), {}).update(dict.fromkeys(members))
        return Result.DONE, found

    def deregister(self, by_balancer, groups):
        """Removes members. `groups`: (balancer, group, [server]). Without servers, the whole group is
        removed; without a group name, too, all groups of the balancer."""
        requested = []
        for ident, group, members in groups:
            if not group and not members and ident in self.balancers:
                requested += [
                    (ident, g, list(entries)) for g, entries in self.balancers[ident].groups.items()
                ]
            else:
                whole = self.balancers[ident].groups.get(group, ()) if ident in self.balancers else ()
                requested.append((ident, group, members or list(whole)))
        for ident in dict.fromkeys(ident for ident, _, _ in groups):
            if (answer := self.check_sender(by_balancer, ident)) is not Result.DONE:
                return answer
        answer, found = self.check_members(by_balancer, requested)
        if answer is not Result.DONE:
            return answer
        for (ident, group), servers in found.items():
            registered = self.balancers[ident].groups
            for server in servers:
                del registered[group][server]
            self.member_count -= len(servers)
            if not registered[group]:
                del registered[group]
            self.changed[ident] = None
        return answer

    def set_members(self, by_balancer, groups):
        """Sets members' states. `groups`: (balancer, group, [(server, state, quiesced)])."""
        answer, _ = self.check_members(
            by_balancer, [(b, g, [s for s, _, _ in states]) for b, g, states in groups]
        )
        if answer is not Result.DONE:
            return answer
        for ident, group, states in groups:
            for server, state, quiesced in states:
                entry = self.balancers[ident].groups[group][server]
                entry.state, entry.quiesced = state, quiesced
            self.changed[ident] = None
        return answer

    def find_groups(self, ident, group):
        """(result, group -> {server: Entry}) for a request for weights; without a group name, all groups of
        the balancer."""
        balancer = self.balancers.get(ident)
        if balancer is None:
            return Result.UNKNOWN_BALANCER, {}
        if not group:
            return Result.DONE, dict(balancer.groups)
        if group not in balancer.groups:
            return Result.UNKNOWN_GROUP, {}
        return Result.DONE, {group: balancer.groups[group]}
