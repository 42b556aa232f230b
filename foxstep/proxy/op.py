"""One op of a client: its request as received so far, and the way to answer it."""

import asyncio

MAX_REPLAY_BYTES = 256 * 1024  # of a request's body that are kept for a retry


class Op:
    """One op of a client, on one HTTP/2 stream.

    `parts` holds the body received so far while a retry may need it, `released` counts the parts dropped.
    """

    def __init__(self, client, stream_id, headers):
        self.client = client
        self.stream_id = stream_id
        self.headers = headers
        path = next((value for name, value in headers if name == b":path"), b"")
        self.path = path.decode("utf-8", "replace")
        self.parts = []
        self.held_bytes = 0  # of these parts, as flow control counts them
        self.size = 0
        self.body_ended = False
        self.body_changed = asyncio.Event()
        self.replayable = True
        self.released = 0
        self.window_changed = asyncio.Event()
        self.cancelled = False
        self.answer_began = False
        self.task = None

    def receive_body(self, data, flow_bytes):
        """Adds a part of the body; `flow_bytes` is its length as flow control counts it.

        An empty part is dropped, because flow control does not limit their number."""
        if not flow_bytes:
            return
        self.parts.append((data, flow_bytes))
        self.hold(flow_bytes)
        self.size += len(data)
        if self.size > MAX_REPLAY_BYTES:
            self.replayable = False
        self.body_changed.set()

    def body_part(self, index):
        """The body part at `index`, or None if it has not arrived yet."""
        return self.parts[index - self.released] if index - self.released < len(self.parts) else None

    def part_sent(self, index):
        """Called after a part was sent to a server.

        While the op is replayable, parts stay and the client's window is not reopened, so that no more than
        MAX_REPLAY_BYTES are buffered. Beyond that bound, parts are released as they are sent.
        """
        if not self.replayable:
            while self.released <= index and self.parts:
                flow_bytes = self.parts.pop(0)[1]
                self.hold(-flow_bytes)
                self.client.acknowledge(self.stream_id, flow_bytes)
                self.released += 1

    def hold(self, flow_bytes):
        """Counts bytes of the body that are held from now on, or (below 0) no longer."""
        self.held_bytes += flow_bytes
        self.client.listener.held_bytes += flow_bytes

    def release_body(self):
        """Drops the body; returns the bytes by which the client's connection window is to be reopened."""
        flow_bytes = self.held_bytes
        self.parts.clear()
        self.hold(-flow_bytes)
        return flow_bytes

    def client_has_left(self):
        """Whether the client has closed its connection, though that may not have been read yet."""
        return self.cancelled or self.client.has_left()

    # -- the answer

    def send_head(self, headers, end=False):
        """Sends the response headers; from then on the op can't be retried."""
        self.answer_began = True
        self.client.send_headers(self.stream_id, headers, end)

    async def send(self, data):
        await self.client.send(self, data)

    def finish(self, trailers):
        self.client.send_headers(self.stream_id, trailers, True)

    def fail(self, status, text, retry_after=None):
        """Answers the op with an error status.

        `retry_after`: microseconds that the client is to wait before it retries, sent as gRPC's pushback
        trailer.
        """
        if self.cancelled:
            return
        trailers = [
            (b"grpc-status", b"%d" % status),
            (b"grpc-message", text.encode("ascii", "replace")[:200]),
        ]
        if retry_after is not None:
            trailers.append((b"grpc-retry-pushback-ms", b"%d" % max(1, -(-retry_after // 1000))))
        if self.answer_began:
            self.finish(trailers)
        else:
            self.send_head([(b":status", b"200"), (b"content-type", b"application/grpc"), *trailers], True)
