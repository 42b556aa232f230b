"""Decides whether an op may be retried. No I/O, no clock.

PROVES_NOT_EXECUTED tells for each failure of a try whether it proves that the server never ran the op. In
doubt it doesn't.
"""

PROVES_NOT_EXECUTED = {
    "refused": True,  # the connection was refused: nothing was sent
    "connect-timeout": True,  # no connection in time: nothing was sent
    "unsent": True,  # there was a connection, but no byte of the op was written to it
    "goaway": True,  # GOAWAY with a last stream id below this one
    "refused-stream": True,  # RST_STREAM with REFUSED_STREAM
    "goaway-taken": False,  # GOAWAY with a last stream id at or above this one, then closed
    "reset": False,  # RST_STREAM for another reason, or the connection broke after sending
    "timeout": False,  # no answer in time
    "error": False,  # an answer with a status other than OK: it may have run before it failed
    "cut": False,  # the connection or stream broke after the answer had begun
}
# Retry modes, set by the controller: no retry; one if the try was provably not executed; one after any
# failure that is safe to repeat; two of these.
NEVER, PROVEN, ONCE, TWICE = range(4)
RETRY_BUDGET_RATIO = 0.2  # retries that each first try adds to the budget
MAX_RETRY_BUDGET = 10.0  # retries that can be saved up


class RetryPolicy:
    """Retry modes by op type, and the proxy's retry budget.

    `effects`: op type -> (effect, deduplication window in microseconds, deduplication scope). `modes`: op
    type -> mode set by the controller; `default_mode` for the others.
    """

    def __init__(self, effects, default_mode):
        self.effects = effects
        self.modes = {}
        self.default_mode = default_mode
        self.budget = MAX_RETRY_BUDGET

    def record_first_try(self):
        """Adds an op's share of retries to the budget."""
        self.budget = min(MAX_RETRY_BUDGET, self.budget + RETRY_BUDGET_RATIO)

    def max_retries(self, op_type):
        """The most retries that an op's mode allows."""
        return (0, 1, 1, 2)[self.modes.get(op_type, self.default_mode)]

    def allow_retry(self, op_type, failure, retry_count, since_first, answer_began, replayable):
        """Whether a failed try is followed by another one; if so, takes it from the budget.

        `retry_count`: retries made so far. `since_first`: microseconds since the first try was sent.
        `answer_began`: part of an answer went to the client. `replayable`: the whole request is still
        buffered. The budget keeps retries from doubling an overload; when many servers fail at once, it also
        leaves out some retries that would have been safe.
        """
        if answer_began or not replayable or retry_count >= self.max_retries(op_type) or self.budget < 1:
            return False
        mode = self.modes.get(op_type, self.default_mode)
        if not PROVES_NOT_EXECUTED[failure] and not (
            mode >= ONCE and self.is_safe_to_repeat(op_type, since_first)
        ):
            return False
        self.budget -= 1
        return True

    def is_safe_to_repeat(self, op_type, since_first):
        """Whether the op may be sent again after a try that may have been executed."""
        effect, window, scope = self.effects.get(op_type, ("once-only", 0, ""))
        return effect == "retryable" or (effect == "deduplicated" and scope == "all" and since_first < window)
