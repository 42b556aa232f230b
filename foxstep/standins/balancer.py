"""A test double of a SASP balancer: sends random ops to servers by the weights that it was advised."""

import grpc

from foxstep.sasp.balancer import BalancerClient
from foxstep.standins.client import ProxyClient


class AdvisedClient(ProxyClient):
    """A load client that picks the server itself. `balancer` receives the advice, one group for each op type.

    Without advice, and if no member has a weight, all members are picked alike.
    """

    def __init__(self, ident, address, groups, timeouts, record, clock, seed):
        super().__init__(ident, timeouts, record, clock, seed)
        self.balancer = BalancerClient(ident, address, groups)
        self.channels = {}

    def channel_for(self, op_type):
        """The channel to a server drawn by weight."""
        weights = {s: w for s, (w, _) in self.balancer.weights.get(op_type, {}).items() if w}
        weights = weights or dict.fromkeys(self.balancer.groups[op_type], 1)
        server = self.rng.choices(list(weights), list(weights.values()))[0]
        if server not in self.channels:
            self.channels[server] = grpc.aio.insecure_channel(
                server,
                options=[
                    ("grpc.enable_retries", 0),
                    ("grpc.use_local_subchannel_pool", 1),
                    ("grpc.initial_reconnect_backoff_ms", 200),
                    ("grpc.max_reconnect_backoff_ms", 1_000),
                ],
            )
        return self.channels[server]

    async def close(self):
        for channel in self.channels.values():
            await channel.close()
