"""The gRPC service `foxstep.Operator` of a running controller. Requests and responses are JSON objects."""

import grpc
import msgspec

from foxstep.tables.manager import OrderError

PREFIX = "/foxstep.Operator/"
INSPECT_METHOD = PREFIX + "Inspect"
PEERS_METHOD = PREFIX + "Peers"
TABLE_METHODS = {
    verb: f"{PREFIX}Tables{verb.title()}"
    for verb in ("list", "show", "diff", "pin", "rollback", "unpin", "put", "progress")
}
MAX_RESPONSE_BYTES = 4 * 1024 * 1024


class OperatorService(grpc.GenericRpcHandler):
    """Answers operators' requests to the controller of `host`.

    `peer_coordinator` coordinates it with the other controllers; None if it has no peers. An invalid
    request is answered with the status INVALID_ARGUMENT and a message of one line.
    """

    def __init__(self, host, peer_coordinator=None):
        self.host = host
        self.peer_coordinator = peer_coordinator
        self.methods = {INSPECT_METHOD: self.inspect, PEERS_METHOD: self.peers}
        for verb, method in TABLE_METHODS.items():
            self.methods[method] = getattr(self, f"tables_{verb}")

    def service(self, handler_call_details):
        handler = self.methods.get(handler_call_details.method)
        if handler is None:
            return None

        async def handle(body, context):
            try:
                request = msgspec.json.decode(body, type=dict)
                return msgspec.json.encode(handler(request))
            except (OrderError, msgspec.DecodeError) as error:
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
            except (KeyError, TypeError) as error:
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, f"{error} is missing or wrong")

        return grpc.unary_unary_rpc_method_handler(handle)

    def inspect(self, request):
        """The controller's whole state, or with "brief" true only its estimates and the intake of reports."""
        return self.host.estimates() if request.get("brief") else self.host.view()

    def peers(self, request):
        """The members of the group of controllers and the proxies of each.

        "drain" true or false starts or stops redirecting all proxies of this controller to the others;
        "proxy" and "to" redirect one proxy to the controller with that number. Raises OrderError.
        """
        if self.peer_coordinator is None:
            raise OrderError("this controller was started without peers")
        if "drain" in request:
            self.peer_coordinator.redirect_scheduler.draining = bool(request["drain"])
        if request.get("proxy"):
            self.redirect_proxy(request["proxy"], int(request["to"]))
        return self.peer_coordinator.view()

    def redirect_proxy(self, proxy, to):
        if to not in self.peer_coordinator.peers:
            raise OrderError(
                f"no controller {to}: expected one of {', '.join(map(str, self.peer_coordinator.peers))}"
            )
        if proxy not in self.host.redirectable_proxies():
            raise OrderError(f"{proxy!r} is not joined here, or cannot be sent elsewhere")
        self.host.redirect(proxy, self.peer_coordinator.peers[to][1])

    def proxy_zones(self):
        return {ident: joined.zone for ident, joined in self.host.joined_proxies.items()}

    def tables_list(self, request):
        """The newest versions (at most "most" of them, 20 by default) and the rollbacks; times are in
        microseconds on the host's clock."""
        manager = self.host.table_manager
        return {
            "versions": manager.history(min(int(request.get("most", 20)), 1000)),
            "last_good": str(manager.evidence.last_good(manager.ledger.entries) or ""),
            "rollbacks": manager.progress(self.proxy_zones()),
            "now": self.host.clock(),
        }

    def tables_show(self, request):
        """What each proxy holds, or the table of "proxy" as of "version" (by default its current one)."""
        manager = self.host.table_manager
        holders = manager.holders(self.proxy_zones())
        if not request.get("proxy"):
            return {"holders": holders, "behind": manager.ledger.proxies_behind()}
        proxy = request["proxy"]
        version = manager.find(request["version"]) if request.get("version") else None
        table = manager.ledger.table(proxy, version)
        if table is None:
            raise OrderError(f"no table of {proxy!r}" + (f" in {version}" if version else ""))
        return {
            "proxy": proxy,
            "holder": holders.get(proxy),
            "version": str(table.version),
            "hash": table.hash,
            "lines": dict(table.lines),
        }

    def tables_diff(self, request):
        """The lines that differ between the versions "old" and "new", by proxy."""
        return {"changes": self.host.table_manager.difference(request["old"], request["new"])}

    def tables_rollback(self, request, at_once=False):
        """Moves the proxies in "scope" to "version" in waves, or all `at_once`, and holds them there."""
        rollback, bound_us = self.host.table_manager.roll_back(
            self.host.clock(), request["scope"], request["version"], self.proxy_zones(), at_once
        )
        return self.rollback_response(rollback, bound_us)

    def tables_pin(self, request):
        """The same as a rollback, but to all proxies in the scope at once."""
        return self.tables_rollback(request, at_once=True)

    def tables_put(self, request):
        """Holds the proxies in "scope" to a table given by hand: "lines" maps servers to weights."""
        return self.rollback_response(
            *self.host.table_manager.put(
                self.host.clock(), request["scope"], request["lines"], self.proxy_zones()
            )
        )

    def rollback_response(self, rollback, bound_us):
        """Logs the new rollback and describes it; `bound_us` is the bound on its duration in microseconds."""
        self.host.request_run(f"operator's order {rollback.number}")
        self.host.log.warning(
            "rollback ordered",
            number=rollback.number,
            scope=rollback.scope,
            version=str(rollback.version),
            bound_ms=bound_us // 1000,
        )
        return {
            "number": rollback.number,
            "scope": rollback.scope,
            "version": str(rollback.version),
            "bound_ms": bound_us / 1000,
        }

    def tables_unpin(self, request):
        """Ends the rollbacks and pins of "scope", so that its proxies get the current tables again."""
        ended = self.host.table_manager.release(request["scope"], self.proxy_zones())
        self.host.request_run("operator's order: unpin")
        if not ended:
            raise OrderError(f"nothing holds {request['scope']!r}")
        return {"ended": ended}

    def tables_progress(self, request):
        """The state of all rollbacks, and the number of proxies that do not hold their target table."""
        manager = self.host.table_manager
        return {
            "rollbacks": manager.progress(self.proxy_zones()),
            "behind": len(manager.ledger.proxies_behind()),
            "now": self.host.clock(),
        }


async def call_controller(address, method, request=None, timeout_s=5.0):
    """Calls a method of the operator service at `address` and returns the decoded response.

    `timeout_s` is the timeout in seconds. Raises grpc.RpcError.
    """
    options = [("grpc.max_receive_message_length", MAX_RESPONSE_BYTES)]
    async with grpc.aio.insecure_channel(address, options=options) as channel:
        response = await channel.unary_unary(method)(msgspec.json.encode(request or {}), timeout=timeout_s)
        return msgspec.json.decode(response)
