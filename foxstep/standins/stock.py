"""A stock client in a process of its own: grpcio's `xds:///` resolver, which nobody here wrote.

`python -m foxstep.standins.stock` reads its orders as JSON lines and writes each op's end as one.
"""

import asyncio
import json
import os
import random
import sys
import time


async def main(orders):
    import grpc

    rate = orders["rate"]
    chance = random.Random(orders["seed"])
    mix = list(orders["mix"])
    count = 0
    under_way = set()
    options = [("grpc.enable_retries", 1)]
    async with grpc.aio.insecure_channel(f"xds:///{orders['target']}", options=options) as channel:

        async def one(op_type, ident):
            began = time.monotonic()
            try:
                await channel.unary_unary(f"/{orders['service']}/{op_type}")(
                    json.dumps({"id": ident, "proxy": orders["node"]}).encode(),
                    timeout=orders["timeouts"][op_type],
                )
                outcome = "acked"
            except grpc.RpcError as error:
                outcome = f"{error.code().name.lower()}: {error.details()}"[:200]
            print(
                json.dumps(
                    {
                        "t": began,
                        "op": ident,
                        "op_type": op_type,
                        "outcome": outcome,
                        "took": time.monotonic() - began,
                    }
                ),
                flush=True,
            )

        async def read_rates():
            nonlocal rate
            loop = asyncio.get_running_loop()
            while line := await loop.run_in_executor(None, sys.stdin.readline):
                rate = json.loads(line).get("rate", rate)
            rate = None

        reader = asyncio.create_task(read_rates())
        end = time.monotonic() + orders["seconds"]
        while rate is not None and time.monotonic() < end:
            await asyncio.sleep(chance.expovariate(max(rate, 0.01)))
            if len(under_way) < 500:
                count += 1
                op_type = chance.choices(mix, [orders["mix"][name] for name in mix])[0]
                task = asyncio.create_task(one(op_type, f"{orders['node']}-{count}"))
                under_way.add(task)
                task.add_done_callback(under_way.discard)
        reader.cancel()
        if under_way:
            await asyncio.wait(under_way, timeout=5)


if __name__ == "__main__":
    told = json.loads(sys.stdin.readline())
    os.environ["GRPC_XDS_BOOTSTRAP_CONFIG"] = json.dumps(
        {
            "xds_servers": [
                {
                    "server_uri": told["controller"],
                    "channel_creds": [{"type": "insecure"}],
                    "server_features": ["xds_v3"],
                }
            ],
            "node": {
                "id": told["node"],
                "locality": {"zone": told["zone"]},
                "metadata": {"rate": told["rate"]},
            },
        }
    )
    os.environ.setdefault("GRPC_EXPERIMENTAL_XDS_ORCA_LRS_PROPAGATION", "true")
    asyncio.run(main(told))
    sys.stdout.flush()
    os._exit(0)  # the resolver's threads are not waited for
