"""A load client on grpcio's own `xds:///` resolver, to test the controller against a stock xDS client.

Runs as a process of its own: reads its settings and later rate changes as JSON lines from standard input, and
writes the outcome of each op as a JSON line to standard output.
"""

import asyncio
import json
import os
import random
import sys
import time


async def main(settings):
    """Sends ops until the time in `settings` is over or standard input is closed."""
    import grpc

    rate = settings["rate"]
    rng = random.Random(settings["seed"])
    mix = list(settings["mix"])
    count = 0
    in_flight = set()
    options = [("grpc.enable_retries", 1)]
    async with grpc.aio.insecure_channel(f"xds:///{settings['target']}", options=options) as channel:

        async def send_op(op_type, ident):
            began = time.monotonic()
            try:
                await channel.unary_unary(f"/{settings['service']}/{op_type}")(
                    json.dumps({"id": ident, "proxy": settings["node"]}).encode(),
                    timeout=settings["timeouts"][op_type],
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
        end = time.monotonic() + settings["seconds"]
        while rate is not None and time.monotonic() < end:
            await asyncio.sleep(rng.expovariate(max(rate, 0.01)))
            if len(in_flight) < 500:
                count += 1
                op_type = rng.choices(mix, [settings["mix"][name] for name in mix])[0]
                task = asyncio.create_task(send_op(op_type, f"{settings['node']}-{count}"))
                in_flight.add(task)
                task.add_done_callback(in_flight.discard)
        reader.cancel()
        if in_flight:
            await asyncio.wait(in_flight, timeout=5)


if __name__ == "__main__":
    settings = json.loads(sys.stdin.readline())
    os.environ["GRPC_XDS_BOOTSTRAP_CONFIG"] = json.dumps(
        {
            "xds_servers": [
                {
                    "server_uri": settings["controller"],
                    "channel_creds": [{"type": "insecure"}],
                    "server_features": ["xds_v3"],
                }
            ],
            "node": {
                "id": settings["node"],
                "locality": {"zone": settings["zone"]},
                "metadata": {"rate": settings["rate"]},
            },
        }
    )
    os.environ.setdefault("GRPC_EXPERIMENTAL_XDS_ORCA_LRS_PROPAGATION", "true")
    asyncio.run(main(settings))
    sys.stdout.flush()
    os._exit(0)  # does not wait for the threads of the resolver
