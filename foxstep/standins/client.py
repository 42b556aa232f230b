"""A load client of one proxy: sends random ops to its port over a stock gRPC channel."""

import json
import random

import anyio
import grpc

MAX_IN_FLIGHT = 400  # further ops are left out


class ProxyClient:
    """`timeouts`: op type -> seconds. Each op carries a unique id and the name of its proxy."""

    def __init__(self, ident, timeouts, record, clock, seed):
        self.ident = ident
        self.timeouts = timeouts
        self.record = record
        self.clock = clock
        self.rng = random.Random(seed)
        self.count = 0
        self.in_flight = 0
        self.channel = None

    def dial(self, address):
        """Opens the channel to the proxy."""
        self.channel = grpc.aio.insecure_channel(
            address, options=[("grpc.enable_retries", 0), ("grpc.use_local_subchannel_pool", 1)]
        )

    def channel_for(self, op_type):
        """The channel on which an op of this type is sent."""
        return self.channel

    async def op(self, op_type):
        """Sends one op and records its outcome."""
        self.count += 1
        ident = f"{self.ident}-{self.count}"
        began = self.clock()
        retry_after_ms = ""
        self.in_flight += 1
        outcome = "given-up"
        channel = self.channel_for(op_type)
        try:
            await channel.unary_unary(f"/foxstep.Ops/{op_type}")(
                json.dumps({"id": ident, "proxy": self.ident}).encode(), timeout=self.timeouts[op_type]
            )
            outcome = "acked"
        except grpc.RpcError as error:
            outcome = error.code().name.lower().replace("_", "-")
            retry_after_ms = dict(error.trailing_metadata() or ()).get("grpc-retry-pushback-ms", "")
            if outcome == "resource-exhausted" and error.details() == "not let in":
                outcome = "rejected"
        finally:
            self.in_flight -= 1
            self.record(
                "op",
                proxy=self.ident,
                op=ident,
                op_type=op_type,
                began=began,
                outcome=outcome,
                took=self.clock() - began,
                tries=-1,
                again=retry_after_ms,
            )

    async def close(self):
        if self.channel:
            await self.channel.close()

    async def drive(self, mix, rate_now):
        """Sends ops at random intervals, `rate_now(self)` a second, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(self.rng.expovariate(max(rate_now(self), 0.01)))
                if self.in_flight < MAX_IN_FLIGHT:
                    op_type = self.rng.choices(list(mix), list(mix.values()))[0]
                    group.start_soon(self.op, op_type)
