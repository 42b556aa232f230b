"""The baseline of the drills: every proxy gets every open server of the list, with equal weights."""


class RoundRobin:
    """A decision module (see `foxstep/interface.py`) that does plain round robin over the server list."""

    def __init__(self, now, site, seed):
        self.site = site
        self.servers = {}
        self.proxies = {}
        self.orders = [("watch", True)]
        self.capacity = None
        self.caps = [None] * len(site["op_types"])
        self.failed = False

    def listed(self, now, how, lines):
        if how in ("failed", "lost"):
            self.orders.append(("watch", True))
            return
        states = {line[0]: line[4] for line in lines}
        if how != "changes":
            states = {**{s: "gone" for s in self.servers}, **states}
        for server, state in states.items():
            weight = 1 if state == "open" else 0
            if self.servers.get(server, 0) != weight:
                self.servers[server] = weight
                self.orders.append(("weigh", 0, server, weight))

    def joined(self, now, ident, zone, rate, fresh):
        self.orders.append(("bind", ident, 0, 0))

    def next_order(self, now):
        return self.orders.pop(0) if self.orders else None

    def server_weights(self):
        return {server: (1.0, 1.0, 1.0) for server, weight in self.servers.items() if weight}

    def measured_weights(self, now):
        return {}

    def ignored(self, *_): ...

    woken = probed = told = learnt = inherited = left = heard = used = applied = ignored
