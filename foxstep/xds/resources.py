"""What a proxy holds, as xDS resources: a listener, a route table, a cluster for each op type, its endpoints.

A line, that is one server's entry in a weight table, is written as a locality with one endpoint. A client
that picks localities by weight thus follows the table, and its load reports, which are sent by locality, are
reports on each server. In the incremental variant a line is an `LbEndpoint` resource of its own.
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

LISTENER_TYPE = "type.googleapis.com/envoy.config.listener.v3.Listener"
ROUTES_TYPE = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
CLUSTER_TYPE = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
ASSIGNMENT_TYPE = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

ENDPOINT_TYPE = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint"
COLLECTION_PREFIX = "xdstp:///envoy.config.endpoint.v3.LbEndpoint/"

SHARED_ASSIGNMENT = "every-op-type"  # the single assignment of a proxy whose op types all share a table
MILLION = 1_000_000
# Conditions of `retry_on`: proof that the first try never ran; any failure. gRPC and Envoy each ignore the
# conditions that they don't know.
RETRY_ON_NOT_RUN = "connect-failure,refused-stream"
RETRY_ON_ANY_FAILURE = (
    RETRY_ON_NOT_RUN + ",reset,cancelled,deadline-exceeded,internal,unavailable,resource-exhausted"
)
# Retry setting of a level -> (conditions, maximum number of retries).
RETRY_POLICIES = {
    0: None,
    1: (RETRY_ON_NOT_RUN, 1),
    2: (RETRY_ON_ANY_FAILURE, 1),
    3: (RETRY_ON_ANY_FAILURE, 2),
}


def ads():
    """Returns the config source "by the same aggregated stream"."""
    source = config_source_pb2.ConfigSource(resource_api_version=config_source_pb2.V3)
    source.ads.SetInParent()
    return source


def listener(site_name):
    manager = hcm_pb2.HttpConnectionManager(rds=hcm_pb2.Rds(config_source=ads(), route_config_name=site_name))
    manager.http_filters.add(name="router").typed_config.Pack(router_pb2.Router())
    message = listener_pb2.Listener(name=site_name)
    message.api_listener.api_listener.Pack(manager)
    return message


def routes(site_name, op_types, tries_of):
    """Returns the route table, with a route for each op type.

    `tries_of(index)` is the retry setting of an op type, a key of `RETRY_POLICIES`. Where any failure may be
    retried, the timeout of a try is the op type's `try_wait` (microseconds), if set.
    """
    message = route_pb2.RouteConfiguration(name=site_name)
    host = message.virtual_hosts.add(name=site_name, domains=["*"])
    for index, op_type in enumerate(op_types):
        route = host.routes.add(name=op_type["name"])
        if op_type.get("method"):
            route.match.path = op_type["method"]
        else:
            route.match.safe_regex.regex = ".*/" + op_type["name"].replace(".", r"\.")
        route.route.cluster = op_type["name"]
        policy = RETRY_POLICIES[tries_of(index)]
        if policy:
            route.route.retry_policy.retry_on = policy[0]
            route.route.retry_policy.num_retries.value = policy[1]
            if policy[0] is RETRY_ON_ANY_FAILURE and op_type.get("try_wait"):
                route.route.retry_policy.per_try_timeout.FromMicroseconds(op_type["try_wait"])
    return message


def cluster(op_type, assignment):
    """Returns the cluster of an op type; `assignment` names its ClusterLoadAssignment."""
    message = cluster_pb2.Cluster(name=op_type, type=cluster_pb2.Cluster.EDS)
    message.eds_cluster_config.eds_config.CopyFrom(ads())
    message.eds_cluster_config.service_name = assignment
    message.lrs_server.self.SetInParent()
    # Metrics of the servers' ORCA reports that the client passes on in its load reports (gRPC proposal A85).
    message.lrs_report_endpoint_metrics.extend(["cpu_utilization", "named_metrics.*"])
    message.lb_policy = cluster_pb2.Cluster.ROUND_ROBIN
    return message


def set_address(endpoint, server):
    """Writes `server` ("host:port", IPv6 in brackets) into an endpoint."""
    host, _, port = server.rpartition(":")
    address = endpoint.endpoint.address.socket_address
    address.address, address.port_value = host.strip("[]"), int(port)


def assignment_of(name, weights, zone_of, region, share=None):
    """Returns the ClusterLoadAssignment of a table (server -> weight).

    `share` is the fraction of ops to admit; if it is under 1, the client drops the rest at once.
    """
    message = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
    for server, weight in weights.items():
        locality = message.endpoints.add()
        locality.locality.region = region
        locality.locality.zone, locality.locality.sub_zone = zone_of(server), server
        locality.load_balancing_weight.value = thousandths(weight)
        set_address(locality.lb_endpoints.add(health_status=health_check_pb2.HEALTHY), server)
    if share is not None and share < 1:
        overload = message.policy.drop_overloads.add(category="level")
        overload.drop_percentage.numerator = round((1 - max(share, 0)) * MILLION)
        overload.drop_percentage.denominator = 2  # type.v3.FractionalPercent.MILLION
    return message


def collection_name(site_name, table):
    """Returns the name that a client subscribes to for all lines of a table (a LEDS glob collection)."""
    return f"{COLLECTION_PREFIX}{site_name}/{table}/*"


def endpoint_of(server, weight):
    """Returns one line as a resource of its own."""
    message = endpoint_components_pb2.LbEndpoint(health_status=health_check_pb2.HEALTHY)
    message.load_balancing_weight.value = thousandths(weight)
    set_address(message, server)
    return message


def endpoint_name(pattern, server):
    """Returns the resource name of a server's line in the collection `pattern`."""
    return pattern[:-1] + server


def hash_of_versions(versions):
    """Returns the content hash of lines given as resource name -> version.

    A line's version is its weight in whole thousandths, as written.
    """
    weights = {}
    for name, version in versions.items():
        server = name.rpartition("/")[2]
        weights[server] = int(version) / WEIGHT_UNIT if version.isdigit() else 0.0
    return content_hash(weights)


def with_collection(assignment, site_name):
    """Replaces an assignment's endpoints by a reference to the collection of its lines.

    For incremental clients: the assignment then holds only the level. Returns the changed assignment.
    """
    del assignment.endpoints[:]
    locality = assignment.endpoints.add()
    locality.leds_cluster_locality_config.leds_config.CopyFrom(ads())
    locality.leds_cluster_locality_config.leds_collection_name = collection_name(site_name, SHARED_ASSIGNMENT)
    locality.load_balancing_weight.value = 1
    return assignment


def node(ident, zone, **metadata):
    """Returns a client's description of itself, as the test clients and tools of this project send it."""
    message = base_pb2.Node(id=ident, user_agent_name="foxstep")
    message.locality.zone = zone
    for name, value in metadata.items():
        message.metadata[name] = value
    return message
