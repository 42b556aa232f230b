"""Splits a client's bytes into turns of bounded work, at the boundaries of HTTP/2 frames. No I/O.

Parsing a frame costs the proxy about the same whatever its length, and a header block in proportion to it. A
client that sends nothing but short frames could otherwise keep the event loop busy for seconds.
Source: RFC 9113, section 4.1 (frame format) and 6.10 (CONTINUATION).
"""

PREFACE_BYTES = 24  # that a client sends before its first frame
FRAME_HEADER_BYTES = 9
MAX_FRAME_BYTES = 16_384  # the default of SETTINGS_MAX_FRAME_SIZE; h2 rejects a longer frame
HEADERS, CONTINUATION = 0x1, 0x9  # frame types
END_HEADERS = 0x4  # flag
MAX_HEADER_BLOCK_BYTES = 16_384

# The work of a turn and of its parts, in units of about the work that a byte of a header block takes.
WORK_PER_TURN = 4_096
WORK_PER_FRAME = 64
BODY_BYTES_PER_WORK = 64


class HeaderBlockTooLongError(Exception):
    """A header block, over all its frames, is longer than MAX_HEADER_BLOCK_BYTES."""


class InboundFrames:
    """Received bytes that have not been parsed yet."""

    def __init__(self):
        self.data = bytearray()
        self.preface_left = PREFACE_BYTES
        self.block_bytes = None  # of the header block that has begun and not ended; None: none has

    def add(self, data):
        """Adds received bytes."""
        self.data += data

    def head_is_incomplete(self):
        """Whether the client owes the rest of its preface or of a header block."""
        is_in_block = self.block_bytes is not None or self.partial_type() in (HEADERS, CONTINUATION)
        return self.preface_left > 0 or is_in_block

    def partial_type(self):
        """The type of the frame at the start of the unparsed bytes; None if there is none."""
        return self.data[3] if len(self.data) > 3 and not self.preface_left else None

    def has_complete_frame(self):
        """Whether another turn has something to parse."""
        return bool(self.data) and (self.preface_left > 0 or self.frame_end(0) is not None)

    def frame_end(self, start):
        """Where the frame that starts at this offset ends; None if it is not complete yet.

        A frame that is too long for h2 ends with the bytes that are there, so that h2 rejects it at once."""
        if len(self.data) - start < FRAME_HEADER_BYTES:
            return None
        length = int.from_bytes(self.data[start : start + 3], "big")
        if length > MAX_FRAME_BYTES:
            return len(self.data)
        end = start + FRAME_HEADER_BYTES + length
        return end if end <= len(self.data) else None

    def take_turn(self):
        """Removes and returns the bytes of one turn. Raises HeaderBlockTooLongError."""
        end = min(self.preface_left, len(self.data))
        self.preface_left -= end
        work = 0
        while work < WORK_PER_TURN and (frame_end := self.frame_end(end)) is not None:
            work += self.work_of_frame(end, frame_end)
            end = frame_end
        taken = bytes(self.data[:end])
        del self.data[:end]
        return taken

    def work_of_frame(self, start, end):
        """The work that a frame takes; counts the bytes of a header block. Raises HeaderBlockTooLongError."""
        length = end - start - FRAME_HEADER_BYTES
        frame_type, flags = self.data[start + 3 : start + 5]
        if frame_type not in (HEADERS, CONTINUATION):
            return WORK_PER_FRAME + length // BODY_BYTES_PER_WORK
        block_bytes = (self.block_bytes or 0) + length
        if block_bytes > MAX_HEADER_BLOCK_BYTES:
            raise HeaderBlockTooLongError(f"a header block of more than {MAX_HEADER_BLOCK_BYTES} bytes")
        self.block_bytes = None if flags & END_HEADERS else block_bytes
        return WORK_PER_FRAME + length
