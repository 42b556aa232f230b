"""HTTP/2 frames of a client, as bytes."""

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, RESET, SETTINGS, PING, CONTINUATION = 0, 1, 3, 4, 6, 9  # frame types
END_STREAM, END_HEADERS = 1, 4  # flags
CANCEL = b"\x00\x00\x00\x08"


def frame(frame_type, payload=b"", flags=0, stream_id=0):
    header = len(payload).to_bytes(3, "big") + bytes([frame_type, flags]) + stream_id.to_bytes(4, "big")
    return header + payload


def field(name, value):
    """A header field that is encoded without the compression's table."""
    return b"\x00" + bytes([len(name)]) + name + bytes([len(value)]) + value


REQUEST = b"".join(
    field(name, value)
    for name, value in (
        (b":method", b"POST"),
        (b":scheme", b"http"),
        (b":authority", b"x"),
        (b":path", b"/any.Service/look-up"),
        (b"te", b"trailers"),
    )
)


def request(stream_id, flags=END_HEADERS | END_STREAM):
    return frame(HEADERS, REQUEST, flags, stream_id)
