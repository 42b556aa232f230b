"""When an op may be tried again. No I/O, no clock.

Proof that a try never ran, for each way that it can end. In doubt it is none.
"""

PROOF = {
    "refused": True,  # no connection came up: nothing was sent
    "connect-timeout": True,  # the same, given up
    "unsent": True,  # a connection was up, but no byte of the op was handed to it
    "goaway": True,  # the server named a last stream below this one
    "refused-stream": True,  # RST_STREAM with REFUSED_STREAM
    "goaway-taken": False,  # the server named a last stream at or above this one, then went
    "reset": False,  # RST_STREAM for another reason, or the connection broke after sending
    "timeout": False,  # no answer in time
    "error": False,  # an answer with a status other than OK: it may have run before it failed
    "cut": False,  # the answer had begun
}
NEVER, PROVEN, ONCE, TWICE = range(4)  # the ways of trying again, as a controller orders them
BUDGET_PART = 0.2  # further tries for each first try, over a while,
BUDGET_MOST = 10.0  # and so many saved up


class Tries:
    """`effects`: op type -> (effect, window in microseconds, scope). `ways`: op type -> way, as ordered."""

    def __init__(self, effects, usual):
        self.effects = effects
        self.ways = {}
        self.usual = usual
        self.budget = BUDGET_MOST

    def first(self):
        self.budget = min(BUDGET_MOST, self.budget + BUDGET_PART)

    def most(self, op_type):
        """Further tries that are ordered at most."""
        return (0, 1, 1, 2)[self.ways.get(op_type, self.usual)]

    def again(self, op_type, ending, further, since_first, began, replayable):
        """Whether a try that ended so is followed by another. `further`: those made; `since_first`:
        microseconds since the first was sent; `began`: bytes of an answer went to the client; `replayable`:
        the request is still at hand. Guards against an overload doubled by its own tries: they go by a
        budget. Harm: when many servers go at once, some ops that could be tried again are not."""
        if began or not replayable or further >= self.most(op_type) or self.budget < 1:
            return False
        way = self.ways.get(op_type, self.usual)
        if not PROOF[ending] and not (way >= ONCE and self.bears(op_type, since_first)):
            return False
        self.budget -= 1
        return True

    def bears(self, op_type, since_first):
        """Whether a repeat after a try that may have run does no harm."""
        effect, window, scope = self.effects.get(op_type, ("once-only", 0, ""))
        return effect == "retryable" or (effect == "deduplicated" and scope == "all" and since_first < window)
