"""What a controller tells the others of what it has learnt, and how far their word is trusted. No I/O.

Facts, by lane: of servers (usual weight, whether withdrawn, state and start as its list told it) and of C; of
proxies that it serves, the zone; and, of what changes most, which version each of them holds.

Whoever knows by itself goes by that: a word of another's counts where this one has nothing of its own, ever
less the older it is. The word of a drain or a start counts until this one's own list tells a change of that
server, or until it is as old as a list may be. Nothing here orders anything: what follows is told to the
module as an input.
"""

import re

VERSION = re.compile(r"\d{1,18}\.\d{1,18}(@\d{1,18}\.\d{1,18})?")
SERVERS, PROXIES, HOLDERS = 0, 1, 2  # the lanes
LANES = 3
CAPACITY = "C"
TELL_OFF_BY = 0.1  # a weight or C that moved by less is not told anew
HALF_LIFE = 60  # cycles of reports after which a word of weights counts half,
LIFE = 600  # and after which it counts nothing
CAPACITY_LIFE = 60  # the same for C, which follows the load
HIDDEN_MOST = 0.5  # part of the warm servers that others' word of drains may hide, at most
GONE_MOST = 4096
SAME_START = 2_000_000  # starts as two lists tell them differ by clocks and by ways


def sound(lane, key, value):
    """Whether a fact that came over the wire is one: what is not ends nobody."""
    if value is None:
        return True
    if lane == PROXIES:
        return isinstance(value, str) and len(value) <= 64
    if lane == HOLDERS:
        return isinstance(value, str) and VERSION.fullmatch(value) is not None
    if not isinstance(value, list):
        return False
    if key == CAPACITY:
        return len(value) == 2 and all(number(v) for v in value)
    if len(value) != 4:
        return False
    weight, withdrawn, state, age = value
    return (
        (weight is None or number(weight))
        and isinstance(withdrawn, bool)
        and state in ("open", "draining", "gone")
        and (age is None or isinstance(age, int) and age >= 0)
    )


def number(value):
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value < 1e12


def off(new, old):
    return abs(new - old) > TELL_OFF_BY * abs(old)


class Teller:
    """Turns what a controller knows into facts of a replica; few change from one time to the next."""

    def __init__(self, replica):
        self.replica, self.keys = replica, [{} for _ in range(LANES)]

    def tell(self, now, lines, standing, weighed, capacity, rates, zones, holders):
        """`lines`: server -> its line as its own list told it (interface.ListedServer); `standing` and
        `weighed` as the module tells them; `capacity` C or None; `rates` ops a second that its proxies
        usually get together; `zones` and `holders`: joined proxy -> zone, version."""
        said = {}
        for server, line in lines.items():
            weight, _, warmth = standing.get(server, (0.0, None, 1.0))
            known, usual = self.value(SERVERS, server), weighed.get(server)
            if known and known[0] is not None and (usual is None or not off(usual, known[0])):
                usual = known[0]
            withdrawn = line[4] == "open" and warmth == 1.0 and not weight
            age = (now - line[6]) // 1000 if line[6] else None
            if known and age is not None and known[3] is not None:
                # What is told is the age when it was told: the start itself has not moved.
                told_at = self.replica.of[self.replica.me, SERVERS].facts[server].at
                if abs((told_at - known[3] * 1000) - line[6]) < SAME_START // 2:
                    age = known[3]
            said[server] = [None if usual is None else round(usual, 3), withdrawn, line[4], age]
        if capacity:
            known = self.value(SERVERS, CAPACITY)
            near = known and not off(capacity, known[0]) and not off(rates, known[1])
            said[CAPACITY] = known if near else [round(capacity, 3), round(rates, 3)]
        self.put(now, SERVERS, said)
        self.put(now, PROXIES, zones)
        self.put(now, HOLDERS, holders)
        self.replica.confirm(now)

    def value(self, lane, key):
        fact = self.replica.of[self.replica.me, lane].facts.get(key)
        return fact.value if fact else None

    def put(self, now, lane, said):
        for key in self.keys[lane]:
            if key not in said:
                self.replica.put(now, lane, key, None)
        for key, value in said.items():
            self.replica.put(now, lane, key, value)
        self.keys[lane] = dict.fromkeys(said)


class Hearsay:
    """The others' words. `site`: the plain settings."""

    def __init__(self, replica, site):
        self.replica, self.cycle, self.within = replica, site["cycle"], site["ask_within"]
        self.ramp = site["ramp"]
        self.shaded = {}  # server -> the line that stands in for its own list's
        self.bringing = {}  # proxy -> C that it came with, not granted yet
        self.gone = {}  # proxy -> (since, the C that it took along, its ops a second)

    def unknown_age(self):
        """What a word counts as whose age cannot be told: half."""
        return HALF_LIFE * self.cycle

    # -- servers

    def faith(self, age, life=LIFE):
        """How far a word so old is trusted, 0 to 1; None: its age is not known."""
        if age is None:
            return 0.5
        return 0.0 if age > life * self.cycle else 0.5 ** (age / (HALF_LIFE * self.cycle))

    def words(self, now):
        """Key -> [(faith, value, when it was so, controller)], the most trusted first."""
        found = {}
        for origin, held in self.replica.told(SERVERS):
            faith = self.faith(None if held.confirmed is None else now - held.confirmed)
            if faith:
                for key, fact in held.live().items():
                    found.setdefault(key, []).append((faith, fact.value, fact.at, origin))
        for those in found.values():
            those.sort(key=lambda word: (-word[0], word[3]))
        return found

    def weights(self, now, those):
        """(server, weight, whether it is withdrawn) of servers that the others know: towards the mean, 1, as
        far as their word is old. In order of `those`; none for one that nobody has weighed."""
        words, made = self.words(now), []
        for server in those:
            known = [w for w in words.get(server, ()) if server != CAPACITY and w[1][0] is not None]
            if known:
                faith, (weight, withdrawn, state, _), _, _ = known[0]
                made.append((server, 1 + (weight - 1) * faith, bool(withdrawn and state == "open")))
        return made

    def shade(self, now, lines, told_at):
        """The lines (server -> interface.ListedServer) as this controller's own list tells them, and since
        when it tells them so (`told_at`), with what others have heard since: server -> line, of those that
        differ.

        Guards against a list that is behind at a successor: a server that drained, or began anew and cold, by
        word of the one that died. Harm: one that is wrong hides a server for as long as a list may be old."""
        made, warm, hidden = {}, 0, 0
        words = self.words(now)
        for server, line in lines.items():
            if line[4] != "open":
                continue
            warm += 1
            for _, value, at, _ in words.get(server, ()):
                _, _, state, age = value
                if at <= told_at.get(server, 0) or now - at > self.within:
                    continue
                began = at - age * 1000 if age is not None else 0
                if state != "open":
                    made[server], hidden = (*line[:4], state, *line[5:]), hidden + 1
                elif began > line[6] + SAME_START and now - began < self.ramp:
                    made[server] = (*line[:6], began)
                else:
                    continue
                break
        if hidden > HIDDEN_MOST * warm:
            made = {s: line for s, line in made.items() if line[4] == "open"}
        return made

    def changes(self, now, lines, told_at):
        """Lines that the module is to be told now: newly shaded ones, and those whose shade has ended."""
        made, before = self.shade(now, lines, told_at), self.shaded
        self.shaded = made
        told = [line for server, line in made.items() if not self.same(before.get(server), line)]
        return told + [lines[s] for s in before if s not in made and s in lines]

    def same(self, old, new):
        return old is not None and old[4] == new[4] and abs(old[6] - new[6]) < SAME_START

    # -- C

    def came(self, now, proxy, rate):
        """A proxy joined. Where another controller served it until now, or tells that it has just left it, a
        part of that one's C comes along: its part of that one's ops. It is written down for this proxy
        alone, and once."""
        self.gone.pop(proxy, None)
        self.bringing.pop(proxy, None)
        served = [
            (lane.facts[proxy].at, origin)
            for origin, lane in self.replica.told(PROXIES)
            if proxy in lane.facts
        ]
        for at, origin in sorted(served, reverse=True)[:1]:
            left = self.replica.lane(origin, PROXIES).facts[proxy].value is None
            known = self.replica.lane(origin, SERVERS)
            told = known.facts.get(CAPACITY)
            age = (
                None
                if known.confirmed is None
                else now - (min(at, known.confirmed) if left else known.confirmed)
            )
            if (
                age is not None
                and told
                and told.value
                and told.value[1] > 0
                and self.faith(age, CAPACITY_LIFE)
            ):
                capacity, rates = told.value
                self.bringing[proxy] = capacity * min(rate / rates, 1.0)

    def everyone(self, controllers):
        """Proxy -> zone of all that these controllers tell to be theirs."""
        found = {}
        for origin, held in self.replica.told(PROXIES):
            if origin in controllers:
                found.update((proxy, fact.value) for proxy, fact in held.live().items())
        return found

    def went(self, now, proxy, capacity, rate, rates):
        """A proxy's stream broke, with `rate` of the `rates` of all until then: it may return, or another may
        have it."""
        self.bringing.pop(proxy, None)
        if capacity:
            self.gone[proxy] = (now, capacity * rate / (rates + self.rates_gone()), rate)
            while len(self.gone) > GONE_MOST:
                del self.gone[next(iter(self.gone))]

    def rates_gone(self):
        """Ops a second of those that have left and whose C is still counted here."""
        return sum(rate for _, _, rate in self.gone.values())

    def taken(self, now):
        """C of proxies that others have since told to be theirs: what this one's C is to be cut by."""
        cut = 0.0
        for proxy, (since, part, _) in list(self.gone.items()):
            facts = [lane.facts.get(proxy) for _, lane in self.replica.told(PROXIES)]
            if any(fact is not None and fact.value is not None and fact.at >= since for fact in facts):
                cut += part
            elif now - since <= CAPACITY_LIFE * self.cycle:
                continue
            del self.gone[proxy]
        return cut

    def grant(self, capacity, rates):
        """What is to be added to C for proxies that joined since it was last asked: what they brought. Where
        C is unset, only once most of the demand (`rates`: joined proxy -> ops a second) brought a part,
        scaled to the rest: it is then known for the first time."""
        fresh = {p: part for p, part in self.bringing.items() if p in rates}
        covered, total = sum(rates[p] for p in fresh), sum(rates.values())
        if not fresh or capacity is None and covered * 2 < total:
            return 0.0
        self.bringing = {}
        return sum(fresh.values()) * (total / covered if capacity is None and covered else 1.0)
