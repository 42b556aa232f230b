"""`foxstep.Operator`: what an operator may ask of a running controller."""

import grpc
import msgspec

INSPECT = "/foxstep.Operator/Inspect"


class OperatorService(grpc.GenericRpcHandler):
    def __init__(self, host):
        self.methods = {INSPECT: grpc.unary_unary_rpc_method_handler(self.inspect)}
        self.host = host

    def service(self, handler_call_details):
        return self.methods.get(handler_call_details.method)

    async def inspect(self, request, context):
        return msgspec.json.encode(self.host.view())


async def ask(address, method, question=None, within=5.0):
    """The answer of a controller's operator service as plain values. Raises grpc.RpcError."""
    async with grpc.aio.insecure_channel(address) as channel:
        answer = await channel.unary_unary(method)(msgspec.json.encode(question or {}), timeout=within)
        return msgspec.json.decode(answer)
