"""One proxy's stream of aggregated discovery: what the host orders for it, as xDS resources."""

from hashlib import blake2b

import anyio

from foxstep.xds import resources
from foxstep.xds.delta import DeltaSession
from foxstep.xds.protocol import HOME_FEATURE, QUOTAS_FEATURE, TABLES_FEATURE, UNLIMITED_RATE
from foxstep.xds.response_stream import ResponseStream
from foxstep.xds.session import Session

SECOND_US = 1_000_000
ANSWERS_TIMEOUT_FRACTION = 0.1  # of the grace: until a redirected client has answered all responses
# Order of preference of the type whose response carries the marks.
MARK_CARRIER_ORDER = [
    resources.ENDPOINT_TYPE,
    resources.ASSIGNMENT_TYPE,
    resources.ROUTES_TYPE,
    resources.CLUSTER_TYPE,
]


class StreamEnded(Exception):
    """This side ends the stream; the text is the reason."""


class DiscoveryStream(ResponseStream):
    """One proxy's discovery stream, which the host writes to as a `live.host.ProxyStream`."""

    def __init__(self, front, node, incremental):
        super().__init__()
        metadata = node.metadata.fields
        reported_rate = metadata["rate"].number_value if "rate" in metadata else 0.0
        self.front = front
        self.ident = node.id
        self.zone = node.locality.zone
        self.rate = min(max(reported_rate, 0.0), UNLIMITED_RATE)
        self.supports_quotas = QUOTAS_FEATURE in node.client_features
        self.held_version = metadata["holds"].string_value if "holds" in metadata else ""
        self.incremental = incremental
        self.accepts_redirect = HOME_FEATURE in node.client_features
        self.redirect_address = ""
        epoch = front.host.epoch
        if incremental:
            self.session = DeltaSession(
                self.render_versioned, self.weights, epoch, TABLES_FEATURE in node.client_features
            )
        else:
            self.session = Session(self.render, epoch, self.table_version)
        self.holding = None
        self.end_reason = ""
        self.reported_rates = {}  # index of an op type -> ops a second, as last reported

    # -- as a stream of the host

    def deliver(self, holding, message):
        type_urls = []
        lines = (
            message.lines
            or message.withdrawn
            or message.tables
            or message.emptied
            or message.whole
            or message.target_table
        )
        levels = self.levels_as_drops() and message.levels
        if message.tables and not self.supports_quotas:
            type_urls.append(resources.CLUSTER_TYPE)
        if (lines and not self.incremental) or levels:
            type_urls.append(resources.ASSIGNMENT_TYPE)
        if lines and self.incremental:
            type_urls.append(resources.ENDPOINT_TYPE)
        if message.levels or message.whole:
            type_urls.append(resources.ROUTES_TYPE)
        if message.levels or message.whole or self.holding is not holding:
            self.front.levels_changed(self.ident)
        self.holding = holding
        # A mark requires an ACK, so the table is written for it even if only rates have changed.
        if message.marks and not type_urls:
            type_urls.append(resources.ENDPOINT_TYPE if self.incremental else resources.ASSIGNMENT_TYPE)
        type_urls.sort(key=MARK_CARRIER_ORDER.index)
        stamp = (message.first_ordered_at, message.cost)
        if self.incremental:
            self.session.schedule(type_urls, message.marks, stamp, message.whole)
        else:
            self.session.schedule(type_urls, message.marks, stamp)
        self.wakeup.set()

    def end(self, reason):
        self.end_reason = self.end_reason or reason
        self.wakeup.set()

    def redirect(self, address):
        """Ends the stream and redirects the client to the controller at `address`.

        Only for clients with the feature `HOME_FEATURE`.
        """
        self.redirect_address = address
        self.end("its home is another controller")

    # -- as resources

    def levels_as_drops(self):
        """Whether levels are written as drops: shares always, rates if the client doesn't support quotas."""
        kind = self.front.site["level"]
        return kind == "share" or (kind == "rate" and not self.supports_quotas)

    def assignment_name(self, index):
        """Returns the name of the assignment that an op type's cluster refers to."""
        one_table = self.holding is None or len(set(self.holding.tables)) == 1
        op_types = self.front.op_types
        return (
            resources.SHARED_ASSIGNMENT
            if one_table and not self.levels_as_drops()
            else op_types[index]["name"]
        )

    def admitted_share(self, index):
        """Returns the fraction of an op type's ops to admit, or None if its level isn't written as drops."""
        level = self.levels_as_drops() and self.holding.level_of(index)
        if not level:
            return None
        if self.front.site["level"] == "share":
            return level[0]
        reported_rate = self.reported_rates.get(index, 0.0)
        return min(1.0, level[0] / reported_rate) if reported_rate else None

    def tries(self, index):
        """Returns the retry setting of an op type, a key of `resources.RETRY_POLICIES`."""
        level = self.holding and self.holding.level_of(index)
        usual = self.front.site["usual_tries"] if level is None else level[1]
        return self.front.host.allowed_tries(index, usual)

    def table_version(self, type_url):
        table = self.holding.target_table if type_url == resources.ASSIGNMENT_TYPE and self.holding else None
        return table.name() if table else None

    def weights(self):
        """Returns (server -> weight, table's name) that the client is to hold.

        Only meaningful if all op types share one table.
        """
        if self.holding is None or self.holding.target_table is None:
            return {}, None
        return self.holding.lines_of(0) or {}, self.holding.target_table.name()

    def render_versioned(self, type_url, names):
        """Returns name -> (version, message), for an incremental session."""
        if type_url == resources.ENDPOINT_TYPE:
            pattern = resources.collection_name(self.front.site_name, resources.SHARED_ASSIGNMENT)
            weights = self.weights()[0]
            if pattern not in names or self.holding is None or not weights:
                return None
            return {
                resources.endpoint_name(pattern, s): (
                    str(resources.thousandths(w)),
                    resources.endpoint_of(s, w),
                )
                for s, w in weights.items()
            }
        messages = self.render(type_url, names)
        if type_url == resources.ASSIGNMENT_TYPE:
            messages = {
                name: resources.with_collection(message, self.front.site_name)
                for name, message in messages.items()
            }
        return {
            name: (blake2b(message.SerializeToString(deterministic=True), digest_size=8).hexdigest(), message)
            for name, message in messages.items()
        }

    def render(self, type_url, names):
        """Returns name -> message of the resources of a type among `names`."""
        front, site_name = self.front, self.front.site_name
        if type_url == resources.LISTENER_TYPE:
            return {site_name: resources.listener(site_name)} if site_name in names else {}
        if type_url == resources.ROUTES_TYPE:
            routes = resources.routes(site_name, front.op_types, self.tries)
            return {site_name: routes} if site_name in names else {}
        if type_url == resources.CLUSTER_TYPE:
            return {
                o["name"]: resources.cluster(o["name"], self.assignment_name(k))
                for k, o in enumerate(front.op_types)
                if "*" in names or o["name"] in names
            }
        assignments = {}
        for index, op_type in enumerate(front.op_types):
            for name in (op_type["name"], resources.SHARED_ASSIGNMENT):
                weights = self.holding and name in names and self.holding.lines_of(index)
                if weights is not None and weights is not False and name not in assignments:
                    share = self.admitted_share(index) if name != resources.SHARED_ASSIGNMENT else None
                    assignments[name] = resources.assignment_of(
                        name, weights, front.zone_of, site_name, share
                    )
        return assignments

    async def write_all(self, context):
        """Writes responses as they become due. Raises StreamEnded once the stream is ended."""
        while not self.end_reason:
            while (response := self.session.next_response()) is not None:
                await self.write(context, response)
            await self.wait_for_wakeup()
        if self.redirect_address:
            await self.wait_for_answers()
        raise StreamEnded(self.end_reason)

    async def wait_for_answers(self):
        """Waits until the client has answered all responses, for a small part of the grace at most.

        A client whose answer crosses the end of the stream can lose the stream's status, and the redirect
        with it: grpcio replaces the status by INTERNAL when a write fails.
        """
        with anyio.move_on_after(ANSWERS_TIMEOUT_FRACTION * self.front.site["grace"] / SECOND_US):
            while any(subscription.unanswered for subscription in self.session.subscriptions.values()):
                await self.wait_for_wakeup()
