"""A stand-in client of one proxy: ops by chance through its door, by a stock gRPC channel."""

import json
import random

import anyio
import grpc

MOST_OUT = 400


class Caller:
    """`timeouts`: op type -> seconds. Each op bears an id of its own and its proxy's name."""

    def __init__(self, ident, timeouts, record, clock, seed):
        self.ident = ident
        self.timeouts = timeouts
        self.record = record
        self.clock = clock
        self.chance = random.Random(seed)
        self.count = 0
        self.out = 0
        self.channel = None

    def dial(self, address):
        self.channel = grpc.aio.insecure_channel(
            address, options=[("grpc.enable_retries", 0), ("grpc.use_local_subchannel_pool", 1)]
        )

    def channel_for(self, op_type):
        return self.channel

    async def op(self, op_type):
        self.count += 1
        ident = f"{self.ident}-{self.count}"
        began = self.clock()
        again = ""
        self.out += 1
        outcome = "given-up"
        channel = self.channel_for(op_type)
        try:
            await channel.unary_unary(f"/foxstep.Ops/{op_type}")(
                json.dumps({"id": ident, "proxy": self.ident}).encode(), timeout=self.timeouts[op_type]
            )
            outcome = "acked"
        except grpc.RpcError as error:
            outcome = error.code().name.lower().replace("_", "-")
            again = dict(error.trailing_metadata() or ()).get("grpc-retry-pushback-ms", "")
            if outcome == "resource-exhausted" and error.details() == "not let in":
                outcome = "rejected"
        finally:
            self.out -= 1
            self.record(
                "op",
                proxy=self.ident,
                op=ident,
                op_type=op_type,
                began=began,
                outcome=outcome,
                took=self.clock() - began,
                tries=-1,
                again=again,
            )

    async def close(self):
        if self.channel:
            await self.channel.close()

    async def drive(self, mix, rate_now):
        """Ops at `rate_now(self)` a second, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(self.chance.expovariate(max(rate_now(self), 0.01)))
                if self.out < MOST_OUT:
                    op_type = self.chance.choices(list(mix), list(mix.values()))[0]
                    group.start_soon(self.op, op_type)
