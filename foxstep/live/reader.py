"""Reads reports that wait, a few at a time between other things: orders never wait for them."""

import time

import anyio

SLICE = 0.002  # seconds of reading before whatever else is due gets its turn
REST = 0.0005  # and the least that it gets, when more waits


class Reader:
    """`intake` tells what is to be read next. `read`: kind -> read(now, proxy, report, step, first, lost), by
    which a front turns a report into calls on the intake."""

    def __init__(self, intake):
        self.intake, self.read, self.stirred = intake, {}, anyio.Event()

    def offer(self, now, proxy, zone, kind, report, lines):
        self.intake.offer(now, proxy, zone, kind, report, lines)
        self.stirred.set()

    def read_some(self):
        """Reads for one slice; answers whether more waits."""
        # CPU time of this thread: where the machine is busy with other things, reading costs no more for it.
        began = before = time.thread_time()
        while (found := self.intake.next_report()) is not None:
            came, proxy, kind, report, lines, step, first, lost = found
            self.read[kind](came, proxy, report, step, first, lost)
            now = time.thread_time()
            self.intake.pace.record_cost(lines // step, (now - before) * 1e6)
            if now - began > SLICE:
                return True
            before = now
        return False

    async def run(self):
        while True:
            while self.read_some():
                await anyio.sleep(REST)
            await self.stirred.wait()
            self.stirred = anyio.Event()
