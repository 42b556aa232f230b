"""Reads queued reports in short slices between other work, so that orders never wait for reports."""

import time

import anyio

SLICE_S = 0.002  # CPU seconds of reading before other work gets its turn
MIN_PAUSE_S = 0.0005  # pause between two slices while more reports wait


class Reader:
    """`intake` says which report is read next.

    `handlers`: kind -> handler(now, proxy, report, step, first, lost), a function of a front that turns a
    report into calls on the intake.
    """

    def __init__(self, intake):
        self.intake, self.handlers, self.report_queued = intake, {}, anyio.Event()

    def offer(self, now, proxy, zone, kind, report, lines):
        self.intake.offer(now, proxy, zone, kind, report, lines)
        self.report_queued.set()

    def read_slice(self):
        """Reads for one slice; returns whether more reports wait."""
        # CPU time of this thread, so that reading does not appear more expensive on a busy machine.
        began = before = time.thread_time()
        while (found := self.intake.next_report()) is not None:
            received_at, proxy, kind, report, lines, step, first, lost = found
            self.handlers[kind](received_at, proxy, report, step, first, lost)
            now = time.thread_time()
            self.intake.pace.record_cost(lines // step, (now - before) * 1e6)
            if now - began > SLICE_S:
                return True
            before = now
        return False

    async def run(self):
        while True:
            while self.read_slice():
                await anyio.sleep(MIN_PAUSE_S)
            await self.report_queued.wait()
            self.report_queued = anyio.Event()
