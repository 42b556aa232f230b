"""The facts that controllers exchange about what they have learned, and how much they trust them. No I/O.

Lanes: facts of servers (usual weight, whether withdrawn, state and age as the controller's server list gives
them) and the capacity C, the ops per second that the servers can do for the controller's proxies; the zone of
each proxy that the controller serves; and, as it changes most often, which table version each of these
proxies holds.

A controller's own knowledge takes precedence. A peer's fact counts only where this controller knows nothing
itself, and the less the older it is. A peer's report that a server drains or has restarted counts until this
controller's own list reports a change of that server, or until the report is older than a list may be.
Nothing here issues orders: the results are inputs of the decision module.
"""

import re

VERSION_PATTERN = re.compile(r"\d{1,18}\.\d{1,18}(@\d{1,18}\.\d{1,18})?")
SERVER_LANE, PROXY_LANE, VERSION_LANE = 0, 1, 2
LANE_COUNT = 3
CAPACITY_KEY = "C"
MIN_CHANGE_RATIO = 0.1  # smaller changes of a weight or of C are not published
# The following ages are in report cycles.
HALF_LIFE_CYCLES = 60  # the trust in a reported weight halves over this age
MAX_AGE_CYCLES = 600  # above this age a reported weight is not trusted at all
CAPACITY_MAX_AGE_CYCLES = 60  # the same for C, which follows the load
MAX_HIDDEN_FRACTION = 0.5  # of the open servers, hidden because of peers' reports of drains
MAX_DEPARTED_PROXIES = 4096
START_TOLERANCE_US = 2_000_000  # two lists report the same start differently: clocks and network delays


def is_valid_fact(lane, key, value):
    """Whether a received fact is well-formed, so that a malformed one cannot crash this controller."""
    if value is None:
        return True
    if lane == PROXY_LANE:
        return isinstance(value, str) and len(value) <= 64
    if lane == VERSION_LANE:
        return isinstance(value, str) and VERSION_PATTERN.fullmatch(value) is not None
    if not isinstance(value, list):
        return False
    if key == CAPACITY_KEY:
        return len(value) == 2 and all(is_valid_number(v) for v in value)
    if len(value) != 4:
        return False
    weight, withdrawn, state, age = value
    return (
        (weight is None or is_valid_number(weight))
        and isinstance(withdrawn, bool)
        and state in ("open", "draining", "gone")
        and (age is None or isinstance(age, int) and age >= 0)
    )


def is_valid_number(value):
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value < 1e12


def has_changed(new, old):
    return abs(new - old) > MIN_CHANGE_RATIO * abs(old)


class FactPublisher:
    """Writes what this controller knows into its replica, so that few facts change from call to call."""

    def __init__(self, replica):
        self.replica = replica
        self.keys = [{} for _ in range(LANE_COUNT)]  # published keys by lane

    def publish(self, now, lines, server_weights, measured_weights, capacity, total_rate, zones, holders):
        """Writes what has changed, and confirms the rest.

        `lines` maps servers to their lines in the own list (interface.ListedServer). `server_weights` and
        `measured_weights` are the results of the decision module's methods of these names. `capacity` is C or
        None, `total_rate` the usual ops per second of all its proxies together. `zones` and `holders` map
        joined proxies to their zone and table version.
        """
        facts = {}
        for server, line in lines.items():
            weight, _, warm_fraction = server_weights.get(server, (0.0, None, 1.0))
            known, usual = self.published_value(SERVER_LANE, server), measured_weights.get(server)
            if known and known[0] is not None and (usual is None or not has_changed(usual, known[0])):
                usual = known[0]
            withdrawn = line[4] == "open" and warm_fraction == 1.0 and not weight
            age = (now - line[6]) // 1000 if line[6] else None
            if known and age is not None and known[3] is not None:
                # A fact holds the age at the time of its publication. An unchanged start is not published
                # again.
                published_at = self.replica.lane_by_key[self.replica.me, SERVER_LANE].facts[server].at
                if abs((published_at - known[3] * 1000) - line[6]) < START_TOLERANCE_US // 2:
                    age = known[3]
            facts[server] = [None if usual is None else round(usual, 3), withdrawn, line[4], age]
        if capacity:
            known = self.published_value(SERVER_LANE, CAPACITY_KEY)
            unchanged = (
                known and not has_changed(capacity, known[0]) and not has_changed(total_rate, known[1])
            )
            facts[CAPACITY_KEY] = known if unchanged else [round(capacity, 3), round(total_rate, 3)]
        self.put_lane(now, SERVER_LANE, facts)
        self.put_lane(now, PROXY_LANE, zones)
        self.put_lane(now, VERSION_LANE, holders)
        self.replica.confirm(now)

    def published_value(self, lane, key):
        fact = self.replica.lane_by_key[self.replica.me, lane].facts.get(key)
        return fact.value if fact else None

    def put_lane(self, now, lane, facts):
        """Makes a lane hold exactly these facts."""
        for key in self.keys[lane]:
            if key not in facts:
                self.replica.put(now, lane, key, None)
        for key, value in facts.items():
            self.replica.put(now, lane, key, value)
        self.keys[lane] = dict.fromkeys(facts)


class PeerFacts:
    """Evaluates the facts of the other controllers. `site` is the plain map of settings."""

    def __init__(self, replica, site):
        self.replica = replica
        self.cycle = site["cycle"]
        self.max_list_age = site["ask_within"]
        self.ramp = site["ramp"]
        self.overrides = {}  # server -> the line that replaces the own list's
        self.pending_capacity = {}  # joined proxy -> its share of another's C, not granted yet
        self.departed = {}  # proxy that left -> (when, its share of this controller's C, its ops per second)

    def default_age(self):
        """The age assumed for a fact of unknown age: its trust is one half."""
        return HALF_LIFE_CYCLES * self.cycle

    # -- servers

    def trust(self, age, max_age_cycles=MAX_AGE_CYCLES):
        """Trust in a fact of that age, 0 to 1. An age of None is unknown."""
        if age is None:
            return 0.5
        return 0.0 if age > max_age_cycles * self.cycle else 0.5 ** (age / (HALF_LIFE_CYCLES * self.cycle))

    def trusted_facts(self, now):
        """Returns key -> [(trust, value, when it held, controller)], most trusted first."""
        found = {}
        for origin, held in self.replica.peer_lanes(SERVER_LANE):
            trust = self.trust(None if held.confirmed_at is None else now - held.confirmed_at)
            if trust:
                for key, fact in held.live().items():
                    found.setdefault(key, []).append((trust, fact.value, fact.at, origin))
        for facts in found.values():
            facts.sort(key=lambda fact: (-fact[0], fact[3]))
        return found

    def weights(self, now, servers):
        """Returns (server, weight, whether it is withdrawn) of the servers that peers know.

        The older the fact, the closer the weight is to the mean, 1. The order is that of `servers`; servers
        without a known weight are left out.
        """
        facts, result = self.trusted_facts(now), []
        for server in servers:
            known = [f for f in facts.get(server, ()) if server != CAPACITY_KEY and f[1][0] is not None]
            if known:
                trust, (weight, withdrawn, state, _), _, _ = known[0]
                result.append((server, 1 + (weight - 1) * trust, bool(withdrawn and state == "open")))
        return result

    def overriding_lines(self, now, lines, state_since):
        """Returns server -> line for the servers whose line in the own list is overridden by peers' facts.

        `lines` maps servers to their lines in the own list (interface.ListedServer), `state_since` to when
        the list last reported a change of them. This covers a successor whose list is outdated: a server that
        began to drain, or restarted cold, and was known as such only to the controller that died. Cost: a
        wrong report hides a server for as long as a list may be old.
        """
        overrides, open_count, hidden = {}, 0, 0
        facts = self.trusted_facts(now)
        for server, line in lines.items():
            if line[4] != "open":
                continue
            open_count += 1
            for _, value, at, _ in facts.get(server, ()):
                _, _, state, age = value
                if at <= state_since.get(server, 0) or now - at > self.max_list_age:
                    continue
                started_at = at - age * 1000 if age is not None else 0
                if state != "open":
                    overrides[server], hidden = (*line[:4], state, *line[5:]), hidden + 1
                elif started_at > line[6] + START_TOLERANCE_US and now - started_at < self.ramp:
                    overrides[server] = (*line[:6], started_at)
                else:
                    continue
                break
        if hidden > MAX_HIDDEN_FRACTION * open_count:
            overrides = {s: line for s, line in overrides.items() if line[4] == "open"}
        return overrides

    def changed_lines(self, now, lines, state_since):
        """Returns the lines to report to the decision module: new overrides, and the own list's lines of
        servers whose override has ended."""
        overrides, before = self.overriding_lines(now, lines, state_since), self.overrides
        self.overrides = overrides
        changed = [
            line for server, line in overrides.items() if not self.is_same_line(before.get(server), line)
        ]
        return changed + [lines[s] for s in before if s not in overrides and s in lines]

    def is_same_line(self, old, new):
        return old is not None and old[4] == new[4] and abs(old[6] - new[6]) < START_TOLERANCE_US

    # -- capacity (C)

    def proxy_joined(self, now, proxy, rate):
        """Records the share of C that a joining proxy brings.

        If another controller serves the proxy according to its facts, or reports that the proxy has just left
        it, the share is that controller's C times the proxy's fraction of its ops. It is kept for this proxy
        only and granted once.
        """
        self.departed.pop(proxy, None)
        self.pending_capacity.pop(proxy, None)
        served = [
            (lane.facts[proxy].at, origin)
            for origin, lane in self.replica.peer_lanes(PROXY_LANE)
            if proxy in lane.facts
        ]
        for at, origin in sorted(served, reverse=True)[:1]:
            has_left = self.replica.lane(origin, PROXY_LANE).facts[proxy].value is None
            known = self.replica.lane(origin, SERVER_LANE)
            capacity_fact = known.facts.get(CAPACITY_KEY)
            age = (
                None
                if known.confirmed_at is None
                else now - (min(at, known.confirmed_at) if has_left else known.confirmed_at)
            )
            if (
                age is not None
                and capacity_fact
                and capacity_fact.value
                and capacity_fact.value[1] > 0
                and self.trust(age, CAPACITY_MAX_AGE_CYCLES)
            ):
                capacity, total_rate = capacity_fact.value
                self.pending_capacity[proxy] = capacity * min(rate / total_rate, 1.0)

    def proxies_of(self, controllers):
        """Returns proxy -> zone of all proxies that these controllers report as theirs."""
        found = {}
        for origin, held in self.replica.peer_lanes(PROXY_LANE):
            if origin in controllers:
                found.update((proxy, fact.value) for proxy, fact in held.live().items())
        return found

    def proxy_left(self, now, proxy, capacity, rate, total_rate):
        """Records that a proxy's stream broke, with `rate` of the `total_rate` ops per second of all proxies
        until then. It may return, or another controller may serve it."""
        self.pending_capacity.pop(proxy, None)
        if capacity:
            self.departed[proxy] = (now, capacity * rate / (total_rate + self.departed_rates()), rate)
            while len(self.departed) > MAX_DEPARTED_PROXIES:
                del self.departed[next(iter(self.departed))]

    def departed_rates(self):
        """Ops per second of the proxies that have left and whose share of C is still counted here."""
        return sum(rate for _, _, rate in self.departed.values())

    def capacity_lost(self, now):
        """Returns the C of departed proxies that peers report as theirs since: this controller's C has to be
        reduced by it."""
        lost = 0.0
        for proxy, (since, share, _) in list(self.departed.items()):
            facts = [lane.facts.get(proxy) for _, lane in self.replica.peer_lanes(PROXY_LANE)]
            if any(fact is not None and fact.value is not None and fact.at >= since for fact in facts):
                lost += share
            elif now - since <= CAPACITY_MAX_AGE_CYCLES * self.cycle:
                continue
            del self.departed[proxy]
        return lost

    def capacity_gained(self, capacity, rates):
        """Returns what to add to C for the proxies that joined since the last call.

        `rates` maps joined proxies to ops per second. If C is unset, nothing is granted until the proxies
        with a known share make up at least half of the demand; their shares are then scaled up to all of it.
        """
        shares = {p: share for p, share in self.pending_capacity.items() if p in rates}
        covered, total = sum(rates[p] for p in shares), sum(rates.values())
        if not shares or capacity is None and covered * 2 < total:
            return 0.0
        self.pending_capacity = {}
        return sum(shares.values()) * (total / covered if capacity is None and covered else 1.0)
