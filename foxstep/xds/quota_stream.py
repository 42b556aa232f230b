"""One proxy's quota stream (RLQS), as far as it is written."""

from envoy.service.rate_limit_quota.v3 import rlqs_pb2
from envoy.type.v3 import ratelimit_strategy_pb2

from foxstep.xds.protocol import UNLIMITED_RATE
from foxstep.xds.response_stream import ResponseStream


class QuotaStream(ResponseStream):
    """One proxy's quota stream: levels as quota assignments."""

    def __init__(self, front):
        super().__init__()
        self.front = front
        self.ident = None
        self.op_types = {}  # names of the op types that the proxy has buckets for, as an ordered set
        self.sent = {}  # op type -> quota as last written; None: unlimited

    def response(self):
        """Returns the assignments that differ from those sent, or None if there are none.

        A proxy may still hold levels of a previous controller. On a new stream every assignment is therefore
        sent, also those that admit everything.
        """
        stream = self.front.streams.get(self.ident)
        response = rlqs_pb2.RateLimitQuotaResponse()
        if stream is None or stream.holding is None:
            return None  # this controller has not written to the proxy yet: its assignments stay in force
        for op_type in self.op_types:
            index = self.front.op_type_index[op_type]
            level = stream.holding.level_of(index)
            quota = None if level is None or level[0] >= UNLIMITED_RATE else level[0]
            if op_type in self.sent and self.sent[op_type] == quota:
                continue
            self.sent[op_type] = quota
            action = response.bucket_action.add()
            action.bucket_id.bucket.update({"proxy": self.ident, "op_type": op_type})
            strategy = action.quota_assignment_action.rate_limit_strategy
            if quota is None:
                strategy.blanket_rule = ratelimit_strategy_pb2.RateLimitStrategy.ALLOW_ALL
            elif quota <= 0:
                strategy.blanket_rule = ratelimit_strategy_pb2.RateLimitStrategy.DENY_ALL
            else:
                # One op every 1 / quota seconds, with a burst of what one second admits.
                strategy.token_bucket.max_tokens = max(1, round(quota))
                strategy.token_bucket.tokens_per_fill.value = 1
                strategy.token_bucket.fill_interval.FromNanoseconds(round(1e9 / quota))
        return response if response.bucket_action else None

    async def write_all(self, context):
        while True:
            while self.ident and (response := self.response()) is not None:
                await self.write(context, response)
            await self.wait_for_wakeup()
