"""`foxstep.Operator`: what an operator may ask of a running controller. Questions and answers are JSON."""

import grpc
import msgspec

from foxstep.tables.desk import Unknown

PREFIX = "/foxstep.Operator/"
INSPECT, PEERS = PREFIX + "Inspect", PREFIX + "Peers"
TABLES = {
    verb: f"{PREFIX}Tables{verb.title()}"
    for verb in ("list", "show", "diff", "pin", "rollback", "unpin", "put", "progress")
}
MOST = 4 * 1024 * 1024


class OperatorService(grpc.GenericRpcHandler):
    def __init__(self, host, sharing=None):
        self.host, self.sharing = host, sharing
        self.methods = {INSPECT: self.inspect, PEERS: self.peers}
        for verb, method in TABLES.items():
            self.methods[method] = getattr(self, f"tables_{verb}")

    def service(self, handler_call_details):
        answer = self.methods.get(handler_call_details.method)
        if answer is None:
            return None

        async def handle(request, context):
            try:
                question = msgspec.json.decode(request, type=dict)
                return msgspec.json.encode(answer(question))
            except (Unknown, msgspec.DecodeError) as error:
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
            except (KeyError, TypeError) as error:
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, f"{error} is missing or wrong")

        return grpc.unary_unary_rpc_method_handler(handle)

    def inspect(self, question):
        """All that is known, or with "brief" true only estimates and how reports are read."""
        return self.host.estimates() if question.get("brief") else self.host.view()

    def peers(self, question):
        """Members and owners; with "drain" true or false, whether this one sends all of its proxies away;
        with "proxy" and "to", one that is to move."""
        if self.sharing is None:
            raise Unknown("this controller was started without peers")
        if "drain" in question:
            self.sharing.homing.leaving = bool(question["drain"])
        if question.get("proxy"):
            self.move(question["proxy"], int(question["to"]))
        return self.sharing.view()

    def move(self, proxy, to):
        if to not in self.sharing.peers:
            raise Unknown(f"no controller {to}: expected one of {', '.join(map(str, self.sharing.peers))}")
        if proxy not in self.host.at_home_elsewhere():
            raise Unknown(f"{proxy!r} is not joined here, or cannot be sent elsewhere")
        self.host.send_home(proxy, self.sharing.peers[to][1])

    def zones(self):
        return {ident: joined.zone for ident, joined in self.host.joins.items()}

    def tables_list(self, question):
        desk = self.host.desk
        return {
            "versions": desk.history(min(int(question.get("most", 20)), 1000)),
            "last_good": str(desk.evidence.last_good(desk.ledger.entries) or ""),
            "rollbacks": desk.progress(self.zones()),
            "now": self.host.clock(),
        }

    def tables_show(self, question):
        desk = self.host.desk
        holders = desk.holders(self.zones())
        if not question.get("proxy"):
            return {"holders": holders, "behind": desk.ledger.behind()}
        proxy = question["proxy"]
        version = desk.find(question["version"]) if question.get("version") else None
        table = desk.ledger.table(proxy, version)
        if table is None:
            raise Unknown(f"no table of {proxy!r}" + (f" in {version}" if version else ""))
        return {
            "proxy": proxy,
            "holder": holders.get(proxy),
            "version": str(table.version),
            "hash": table.hash,
            "lines": dict(table.lines),
        }

    def tables_diff(self, question):
        return {"changes": self.host.desk.difference(question["old"], question["new"])}

    def tables_rollback(self, question, at_once=False):
        made, bound = self.host.desk.roll_back(
            self.host.clock(), question["scope"], question["version"], self.zones(), at_once
        )
        return self.ordered(made, bound)

    def tables_pin(self, question):
        return self.tables_rollback(question, at_once=True)

    def tables_put(self, question):
        return self.ordered(
            *self.host.desk.put(self.host.clock(), question["scope"], question["lines"], self.zones())
        )

    def ordered(self, made, bound):
        self.host.stir(f"operator's order {made.number}")
        self.host.log.warning(
            "rollback ordered",
            number=made.number,
            scope=made.scope,
            version=str(made.version),
            bound_ms=bound // 1000,
        )
        return {
            "number": made.number,
            "scope": made.scope,
            "version": str(made.version),
            "bound_ms": bound / 1000,
        }

    def tables_unpin(self, question):
        ended = self.host.desk.release(question["scope"], self.zones())
        self.host.stir("operator's order: unpin")
        if not ended:
            raise Unknown(f"nothing holds {question['scope']!r}")
        return {"ended": ended}

    def tables_progress(self, question):
        desk = self.host.desk
        return {
            "rollbacks": desk.progress(self.zones()),
            "behind": len(desk.ledger.behind()),
            "now": self.host.clock(),
        }


async def ask(address, method, question=None, within=5.0):
    """The answer of a controller's operator service as plain values. Raises grpc.RpcError."""
    options = [("grpc.max_receive_message_length", MOST)]
    async with grpc.aio.insecure_channel(address, options=options) as channel:
        answer = await channel.unary_unary(method)(msgspec.json.encode(question or {}), timeout=within)
        return msgspec.json.decode(answer)
