"""One proxy's load report stream (LRS), as far as it is written."""

from zlib import crc32

from envoy.service.load_stats.v3 import lrs_pb2

from foxstep.xds.response_stream import ResponseStream


class ReportStream(ResponseStream):
    """One proxy's load report stream: requests reports, and again whenever their interval changes."""

    def __init__(self, front, ident):
        super().__init__()
        self.front = front
        self.requested_interval = None
        self.jitter = crc32(ident.encode()) / 2**32

    async def write_all(self, context):
        while True:
            interval = self.front.host.intake.pace.proxy_interval(self.jitter)
            if interval != self.requested_interval:
                self.requested_interval = interval
                response = lrs_pb2.LoadStatsResponse(send_all_clusters=True)
                response.load_reporting_interval.FromMicroseconds(interval)
                await self.write(context, response)
            await self.wait_for_wakeup()
