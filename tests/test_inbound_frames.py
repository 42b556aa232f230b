"""A client's bytes are split into turns of bounded work, at the boundaries of frames."""

from frames import CONTINUATION, DATA, END_HEADERS, HEADERS, PING, PREFACE, REQUEST, frame, request

from foxstep.proxy import inbound_frames
from foxstep.proxy.inbound_frames import InboundFrames


def test_turn_has_bounded_work_and_whole_frames():
    frames = InboundFrames()
    pings = [frame(PING, bytes([k % 256]) * 8) for k in range(500)]
    headers = [request(k) for k in range(1, 201, 2)]
    data = PREFACE + b"".join(pings + headers) + frame(DATA, b"x" * 100)[:50]
    taken = []
    for k in range(0, len(data), 700):
        frames.add(data[k : k + 700])
        while frames.has_complete_frame():
            taken.append(frames.take_turn())
    assert b"".join(taken) == data[:-50]
    assert max(map(len, taken)) <= len(PREFACE) + inbound_frames.WORK_PER_TURN
    assert not frames.head_is_incomplete()


def test_head_is_incomplete_until_its_last_frame():
    frames = InboundFrames()
    assert frames.head_is_incomplete()
    steps = [
        (PREFACE, False),
        (frame(HEADERS, REQUEST, 0, 1), True),
        (frame(CONTINUATION, b"", 0, 1), True),
        (frame(CONTINUATION, b"", END_HEADERS, 1), False),
        (frame(HEADERS, b"", 0, 3), True),
        (frame(CONTINUATION, REQUEST, END_HEADERS, 3), False),
        (request(5)[:20], True),
        (request(5)[20:], False),
        (frame(DATA, b"x" * 50)[:20], False),
    ]
    for data, is_incomplete in steps:
        frames.add(data)
        frames.take_turn()
        assert frames.head_is_incomplete() is is_incomplete
