"""One incremental discovery stream: sends what changed against what the client holds. No I/O.

Each line of a table is a resource of its own (LEDS: an LbEndpoint in a collection) whose version is its
weight. After a reconnect the client states what it holds (`initial_resource_versions`), which is enough to
send the smallest change. For lines, `system_version_info` is "NAME BASE RESULT": the table's name, the
content hash that the change applies to, and the content hash that it results in. BASE "-" replaces all lines.
Source: the xDS transport protocol, incremental variant; LEDS.
"""

from envoy.service.discovery.v3 import discovery_pb2

from foxstep.tables.ledger import content_hash
from foxstep.xds import resources
from foxstep.xds.session import MAX_RESOURCE_NAMES, BaseSubscription, TooManyNames, pop_answered

ORDER = [
    resources.LISTENER_TYPE,
    resources.CLUSTER_TYPE,
    resources.ASSIGNMENT_TYPE,
    resources.ENDPOINT_TYPE,
    resources.ROUTES_TYPE,
]


class Subscription(BaseSubscription):
    """A subscription of the incremental variant."""

    def __init__(self):
        super().__init__()
        self.names = {}  # subscribed names, as an ordered set; a collection by its name with "*"
        self.held = {}  # resource name -> version, as it will be once all that was sent is accepted
        self.table_name = None  # as last written
        self.replace_all = False  # the next response replaces all lines
        self.awaits_table = False  # after a NACK: nothing is written before a whole table is ordered


class DeltaSession:
    """One client's incremental subscriptions.

    `render(type_url, names)` returns {name: (version, message)}. `weights()` returns what the client is to
    hold (server -> weight) and the name of its table, for the hashes. `checks_hashes`: the client verifies
    the base and result hashes of a change.
    """

    def __init__(self, render, weights, epoch, checks_hashes):
        self.render = render
        self.weights = weights
        self.epoch = epoch
        self.checks_hashes = checks_hashes
        self.response_count = 0
        self.subscriptions = {}

    def handle_request(self, request):
        """Handles a DeltaDiscoveryRequest; returns and raises as `Session.handle_request` does."""
        type_url = request.type_url
        if type_url not in ORDER:
            return None
        subscription = self.subscriptions.setdefault(type_url, Subscription())
        if len(subscription.names) + len(request.resource_names_subscribe) > MAX_RESOURCE_NAMES or (
            len(request.initial_resource_versions) > 20 * MAX_RESOURCE_NAMES
        ):
            raise TooManyNames(f"over {MAX_RESOURCE_NAMES} resource names asked for")
        answer = self.handle_answer(subscription, request) if request.response_nonce else None
        if not subscription.nonce and request.initial_resource_versions:
            subscription.held = dict(request.initial_resource_versions)
        for name in request.resource_names_unsubscribe:
            subscription.names.pop(name, None)
        new = [name for name in request.resource_names_subscribe if name not in subscription.names]
        if new:
            subscription.names.update(dict.fromkeys(new))
            subscription.is_due = True
        return answer

    def handle_answer(self, subscription, request):
        answered = pop_answered(subscription.unanswered, request.response_nonce)
        if answered is None:
            return None
        marks, ordered, version = answered
        if request.HasField("error_detail"):
            # Later changes build on the rejected one and would be rejected too, so the host orders a whole
            # table.
            subscription.awaits_table = request.type_url == resources.ENDPOINT_TYPE
            subscription.replace_all = True
            subscription.unanswered.clear()
            if not subscription.awaits_table:
                subscription.held = {}
            return "refused", request.error_detail.message, version
        return "accepted", marks, ordered, version

    def schedule(self, type_urls, marks=(), stamp=None, whole=False):
        """As `Session.schedule`; `whole`: the order contains all that the client is to hold."""
        for type_url in type_urls:
            subscription = self.subscriptions.setdefault(type_url, Subscription())
            subscription.schedule(marks, stamp)
            if type_url == resources.ENDPOINT_TYPE and whole and subscription.awaits_table:
                subscription.awaits_table = False
                subscription.replace_all = True
            marks, stamp = (), None

    def next_response(self):
        for type_url in ORDER:
            subscription = self.subscriptions.get(type_url)
            if (
                subscription is None
                or not subscription.is_due
                or not subscription.names
                or subscription.awaits_table
            ):
                continue
            subscription.is_due = False
            rendered = self.render(type_url, list(subscription.names))
            if rendered is None:
                continue
            response = self.response(type_url, subscription, rendered)
            if response is not None:
                return response
        return None

    def response(self, type_url, subscription, rendered):
        """Returns the response that brings the client from what it holds to `rendered`, or None if there is
        nothing to send."""
        table_name = self.weights()[1] if type_url == resources.ENDPOINT_TYPE else None
        versions = {name: version for name, (version, _) in rendered.items()}
        changed = [name for name, version in versions.items() if subscription.held.get(name) != version]
        removed = [name for name in subscription.held if name not in versions]
        if not changed and not removed and not subscription.marks and table_name == subscription.table_name:
            subscription.stamp = None
            return None
        response = discovery_pb2.DeltaDiscoveryResponse(type_url=type_url)
        whole = (
            type_url == resources.ENDPOINT_TYPE
            and self.checks_hashes
            and (subscription.replace_all or self.whole_is_smaller(rendered, changed, removed))
        )
        for name in versions if whole else changed:
            version, message = rendered[name]
            response.resources.add(name=name, version=version).resource.Pack(message)
        if not whole:
            response.removed_resources.extend(removed)
        self.response_count += 1
        response.nonce = subscription.next_nonce(self.epoch, self.response_count)
        if type_url == resources.ENDPOINT_TYPE:
            weights, name = self.weights()
            base = "-" if whole else resources.hash_of_versions(subscription.held)
            response.system_version_info = f"{name} {base} {content_hash(weights)}"
        subscription.record_sent(table_name)
        subscription.held = versions
        subscription.replace_all = False
        subscription.table_name = table_name
        return response

    def whole_is_smaller(self, rendered, changed, removed):
        """Whether all lines together take fewer bytes than the change, estimated from their encodings."""
        if len(changed) + len(removed) <= len(rendered) / 2:
            return False
        sizes = {name: len(name) + message.ByteSize() for name, (_, message) in rendered.items()}
        return sum(sizes.values()) < sum(sizes[n] for n in changed) + sum(len(n) + 2 for n in removed)
