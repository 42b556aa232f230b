"""One incremental discovery stream: what changed of what the client holds, checked by hash. No I/O.

Each line of a table is a resource of its own (LEDS: an LbEndpoint in a collection), its version its weight.
What a client tells that it holds (`initial_resource_versions`) is all that a rejoin needs for the smallest
change. For lines, `system_version_info` says "NAME BASE RESULT": the table's name and the content hash that
the change builds on and comes to; BASE "-" replaces all. Source: the xDS transport protocol, incremental
variant; LEDS.
"""

from envoy.service.discovery.v3 import discovery_pb2

from foxstep.tables.ledger import content_hash
from foxstep.xds import resources
from foxstep.xds.session import MOST_NAMES, Followed, TooMany, taken

ORDER = [resources.LISTENER, resources.CLUSTER, resources.LINES, resources.LINE, resources.ROUTES]


class Subscription(Followed):
    def __init__(self):
        super().__init__()
        self.names = {}  # subscribed, as a set in order; a collection by its name with "*"
        self.held = {}  # resource name -> version, as it will be when all that was sent is taken
        self.named = None  # the table's name as last written
        self.whole = False  # the next response replaces all
        self.waits = False  # refused: nothing is written before a whole table is ordered


class DeltaSession:
    """`render(type_url, names)` answers {name: (version, message)}, `weights()` what the client is to hold
    (server -> weight) and its table's name, for the hashes. `checks`: the client knows bases and results."""

    def __init__(self, render, weights, epoch, checks):
        self.render, self.weights, self.epoch, self.checks = render, weights, epoch, checks
        self.count, self.subscriptions = 0, {}

    def ask(self, request):
        """Takes a DeltaDiscoveryRequest in; answers as `Session.ask`."""
        kind = request.type_url
        if kind not in ORDER:
            return None
        known = self.subscriptions.setdefault(kind, Subscription())
        if len(known.names) + len(request.resource_names_subscribe) > MOST_NAMES or (
            len(request.initial_resource_versions) > 20 * MOST_NAMES
        ):
            raise TooMany(f"over {MOST_NAMES} resource names asked for")
        answer = self.answer(known, request) if request.response_nonce else None
        if not known.nonce and request.initial_resource_versions:
            known.held = dict(request.initial_resource_versions)
        for name in request.resource_names_unsubscribe:
            known.names.pop(name, None)
        new = [name for name in request.resource_names_subscribe if name not in known.names]
        if new:
            known.names.update(dict.fromkeys(new))
            known.due = True
        return answer

    def answer(self, known, request):
        found = taken(known.unanswered, request.response_nonce)
        if found is None:
            return None
        marks, ordered, version = found
        if request.HasField("error_detail"):
            # Later changes build on what it refused: they would be refused too. The host orders a whole one.
            known.waits, known.whole = request.type_url == resources.LINE, True
            known.unanswered.clear()
            if not known.waits:
                known.held = {}
            return "refused", request.error_detail.message, version
        return "accepted", marks, ordered, version

    def due(self, kinds, marks=(), stamp=None, whole=False):
        """As `Session.due`; `whole`: all that the client is to hold was ordered."""
        for kind in kinds:
            known = self.subscriptions.setdefault(kind, Subscription())
            known.owe(marks, stamp)
            if kind == resources.LINE and whole and known.waits:
                known.waits, known.whole = False, True
            marks, stamp = (), None

    def next_response(self):
        for kind in ORDER:
            known = self.subscriptions.get(kind)
            if known is None or not known.due or not known.names or known.waits:
                continue
            known.due = False
            found = self.render(kind, list(known.names))
            if found is None:
                continue
            response = self.response(kind, known, found)
            if response is not None:
                return response
        return None

    def response(self, kind, known, found):
        named = self.weights()[1] if kind == resources.LINE else None
        versions = {name: version for name, (version, _) in found.items()}
        changed = [name for name, version in versions.items() if known.held.get(name) != version]
        removed = [name for name in known.held if name not in versions]
        if not changed and not removed and not known.marks and named == known.named:
            known.stamp = None
            return None
        response = discovery_pb2.DeltaDiscoveryResponse(type_url=kind)
        whole = (
            kind == resources.LINE
            and self.checks
            and (known.whole or self.smaller_whole(found, changed, removed))
        )
        for name in versions if whole else changed:
            version, message = found[name]
            response.resources.add(name=name, version=version).resource.Pack(message)
        if not whole:
            response.removed_resources.extend(removed)
        self.count += 1
        response.nonce = known.next_nonce(self.epoch, self.count)
        if kind == resources.LINE:
            weights, name = self.weights()
            base = "-" if whole else resources.held_hash(known.held)
            response.system_version_info = f"{name} {base} {content_hash(weights)}"
        known.was_written(named)
        known.held, known.whole, known.named = versions, False, named
        return response

    def smaller_whole(self, found, changed, removed):
        """Whether all lines together are fewer bytes than the change, by what both would be written as."""
        if len(changed) + len(removed) <= len(found) / 2:
            return False
        sizes = {name: len(name) + message.ByteSize() for name, (_, message) in found.items()}
        return sum(sizes.values()) < sum(sizes[n] for n in changed) + sum(len(n) + 2 for n in removed)
