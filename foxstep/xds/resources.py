"""What a proxy holds, as xDS resources: one listener, one route table, a cluster for each op type, its lines.

A line is a locality of one endpoint: a client that picks localities by weight follows our weights, and its
load reports, which come by locality, tell of each server.
Source: envoy.config.{listener,route,cluster,endpoint}.v3 and the gRPC proposals A27, A28, A32, A44.
"""

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import base_pb2, config_source_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2 as hcm_pb2

from foxstep.tables.ledger import WEIGHT_UNIT, content_hash, thousandths

LISTENER = "type.googleapis.com/envoy.config.listener.v3.Listener"
ROUTES = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
CLUSTER = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
LINES = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

LINE = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint"
COLLECTION = "xdstp:///envoy.config.endpoint.v3.LbEndpoint/"

EVERY = "every-op-type"  # the one assignment of a proxy whose op types all share a table
MILLION = 1_000_000
# After proof that the first try never ran; after any failure. gRPC and Envoy each take the words they know.
UNRUN = "connect-failure,refused-stream"
ANY_FAILURE = UNRUN + ",reset,cancelled,deadline-exceeded,internal,unavailable,resource-exhausted"
RETRIES = {0: None, 1: (UNRUN, 1), 2: (ANY_FAILURE, 1), 3: (ANY_FAILURE, 2)}


def ads():
    source = config_source_pb2.ConfigSource(resource_api_version=config_source_pb2.V3)
    source.ads.SetInParent()
    return source


def listener(site_name):
    manager = hcm_pb2.HttpConnectionManager(rds=hcm_pb2.Rds(config_source=ads(), route_config_name=site_name))
    manager.http_filters.add(name="router").typed_config.Pack(router_pb2.Router())
    made = listener_pb2.Listener(name=site_name)
    made.api_listener.api_listener.Pack(manager)
    return made


def routes(site_name, op_types, tries_of):
    """A route for each op type; `tries_of(place)` is its way of trying again (0 to 3). A try that may be
    followed after any failure waits the op type's `try_wait` (microseconds), where that is stated."""
    made = route_pb2.RouteConfiguration(name=site_name)
    host = made.virtual_hosts.add(name=site_name, domains=["*"])
    for place, op_type in enumerate(op_types):
        route = host.routes.add(name=op_type["name"])
        if op_type.get("method"):
            route.match.path = op_type["method"]
        else:
            route.match.safe_regex.regex = ".*/" + op_type["name"].replace(".", r"\.")
        route.route.cluster = op_type["name"]
        again = RETRIES[tries_of(place)]
        if again:
            route.route.retry_policy.retry_on = again[0]
            route.route.retry_policy.num_retries.value = again[1]
            if again[0] is ANY_FAILURE and op_type.get("try_wait"):
                route.route.retry_policy.per_try_timeout.FromMicroseconds(op_type["try_wait"])
    return made


def cluster(op_type, assignment):
    made = cluster_pb2.Cluster(name=op_type, type=cluster_pb2.Cluster.EDS)
    made.eds_cluster_config.eds_config.CopyFrom(ads())
    made.eds_cluster_config.service_name = assignment
    made.lrs_server.self.SetInParent()
    # The client's own words for a server's report in its answers, passed on in its load reports (A85).
    made.lrs_report_endpoint_metrics.extend(["cpu_utilization", "named_metrics.*"])
    made.lb_policy = cluster_pb2.Cluster.ROUND_ROBIN
    return made


def put_address(endpoint, server):
    """Writes `server` ("host:port", IPv6 in brackets) into an endpoint."""
    host, _, port = server.rpartition(":")
    address = endpoint.endpoint.address.socket_address
    address.address, address.port_value = host.strip("[]"), int(port)


def lines(name, weights, zone_of, region, share=None):
    """The assignment of one table: server -> weight. `share` under 1 refuses the rest at once."""
    made = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
    for server, weight in weights.items():
        locality = made.endpoints.add()
        locality.locality.region = region
        locality.locality.zone, locality.locality.sub_zone = zone_of(server), server
        locality.load_balancing_weight.value = thousandths(weight)
        put_address(locality.lb_endpoints.add(health_status=health_check_pb2.HEALTHY), server)
    if share is not None and share < 1:
        overload = made.policy.drop_overloads.add(category="level")
        overload.drop_percentage.numerator = round((1 - max(share, 0)) * MILLION)
        overload.drop_percentage.denominator = 2  # type.v3.FractionalPercent.MILLION
    return made


def collection(site_name, table):
    """The name that a client subscribes to for all lines of a table."""
    return f"{COLLECTION}{site_name}/{table}/*"


def line(server, weight):
    """One line as a resource of its own."""
    made = endpoint_components_pb2.LbEndpoint(health_status=health_check_pb2.HEALTHY)
    made.load_balancing_weight.value = thousandths(weight)
    put_address(made, server)
    return made


def line_name(pattern, server):
    return pattern[:-1] + server


def held_hash(held):
    """The content hash of lines told by resource name -> version (weights in thousandths, as written)."""
    lines = {}
    for name, version in held.items():
        server = name.rpartition("/")[2]
        lines[server] = int(version) / WEIGHT_UNIT if version.isdigit() else 0.0
    return content_hash(lines)


def levels_only(assignment, site_name):
    """An assignment for an incremental client: its level, and where its lines are to be had."""
    del assignment.endpoints[:]
    locality = assignment.endpoints.add()
    locality.leds_cluster_locality_config.leds_config.CopyFrom(ads())
    locality.leds_cluster_locality_config.leds_collection_name = collection(site_name, EVERY)
    locality.load_balancing_weight.value = 1
    return assignment


def node(ident, zone, **metadata):
    """A client's own description, as our stand-ins and tools send it."""
    made = base_pb2.Node(id=ident, user_agent_name="foxstep")
    made.locality.zone = zone
    for name, value in metadata.items():
        made.metadata[name] = value
    return made
