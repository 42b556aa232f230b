"""Decoding rejects any invalid input, and encoded updates carry exactly what was ordered."""

import gc
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxstep.live.desired_state import DesiredState
from foxstep.node import messages
from foxstep.node.messages import InvalidMessageError, MalformedJsonError

NAMES = ["read", "put", "pay"]
SERVERS = [f"s-{k}" for k in range(5)]
VALID_FIELDS = {
    "collector": {"locality": "a"},
    "heard": {"locality": "a", "endpoint": "s-1", "total": 212, "errors": 3, "rtt": 41.7, "interval": 1000.0},
    "joined": {"node": 17, "locality": "a", "w": 21.5, "cold": True},
    "applied": {"node": 17, "nonce": 905, "latency": 310.4},
    "usage": {"node": 17, "route": "lookup", "total": 19, "errors": 0, "interval": 1000.0},
}
INVALID_VALUES = [None, "x", -1, -0.5, [], {}, 1e300, "", True]


@pytest.mark.parametrize("kind", VALID_FIELDS)
def test_message_with_a_missing_or_invalid_field_is_invalid_but_not_malformed(kind):
    complete = {"@type": kind, **VALID_FIELDS[kind]}
    assert messages.decode(json.dumps(complete).encode()) is not None
    for field, value in VALID_FIELDS[kind].items():
        with pytest.raises(InvalidMessageError):
            messages.decode(json.dumps({f: v for f, v in complete.items() if f != field}).encode())
        for invalid in INVALID_VALUES:
            valid_text = isinstance(invalid, str) and invalid and isinstance(value, str)
            if valid_text or isinstance(invalid, bool) and isinstance(value, bool):
                continue
            with pytest.raises(InvalidMessageError):
                messages.decode(json.dumps({**complete, field: invalid}).encode())


@given(st.binary(max_size=200))
def test_any_bytes_are_malformed_invalid_or_a_message(line):
    try:
        messages.decode(line)
    except (InvalidMessageError, MalformedJsonError):
        pass


@pytest.mark.parametrize(
    "line",
    [
        b"GET / HTTP/1.1\r",
        b"{",
        b"",
        b"\xff\xfe",
        b'{"@type":"ping"',
        b"[" * 5000,
        b"17 and more",
        b'{"@type":"ping"} x',
    ],
)
def test_input_that_is_not_json_is_malformed(line):
    with pytest.raises(MalformedJsonError):
        messages.decode(line)


@pytest.mark.parametrize("line", [b"{}", b"[]", b'{"@type":"joined","node":-1}', b"{", b"\xff"])
def test_rejected_line_leaves_no_reference_cycle(line):
    # Guards against memory that grows while a client sends invalid lines: each left a cycle that kept those
    # received with it until a full garbage collection.
    def decode_often():
        for _ in range(20):
            try:
                messages.decode(line)
            except (InvalidMessageError, MalformedJsonError):
                pass

    decode_often()
    gc.collect()
    gc.disable()
    try:
        decode_often()
        assert gc.collect() == 0
    finally:
        gc.enable()


orders = st.lists(
    st.one_of(
        st.tuples(
            st.just("weigh"),
            st.sampled_from([1, 2]),
            st.sampled_from(SERVERS),
            st.sampled_from([0, 0.25, 1.5]),
        ),
        st.tuples(st.just("bind"), st.just(7), st.sampled_from([1, 2]), st.sampled_from([0, 1, 6])),
        st.tuples(st.just("empty"), st.sampled_from([1, 2])),
        st.tuples(st.just("withdraw"), st.sampled_from(SERVERS), st.booleans()),
        st.tuples(
            st.just("admit"),
            st.sampled_from([1, 2, None]),
            st.sampled_from([0, 1, 2, 5]),
            st.sampled_from([0, 0.5, 9]),
            st.sampled_from([0, 1]),
        ),
        st.tuples(st.just("mark"), st.integers(0, 99), st.just(False)),
    ),
    max_size=12,
)


class ProxyReader:
    """A proxy that applies the updates it reads, as the protocol specifies."""

    def __init__(self):
        self.lines = {n: {} for n in NAMES}
        self.levels = {}
        self.out = set()

    def read(self, data):
        marks = []
        parts = [json.loads(line) for line in data.splitlines()]
        assert [bool(p.get("more")) for p in parts] == [True] * (len(parts) - 1) + [False] * bool(parts)
        for part in parts:
            for name in part.get("classes", NAMES):
                if part.get("whole"):
                    self.lines[name] = {}
                    self.levels.pop(name, None)
                for server, weight in part.get("lines", []):
                    self.lines[name][server] = weight
                    if not weight:
                        del self.lines[name][server]
                if "level" in part:
                    self.levels[name] = (part["level"], part["retry"])
            self.out |= set(part.get("out", ()))
            self.out -= set(part.get("back", ()))
            marks += [part["ticket"]] if "ticket" in part else []
        return marks


@given(st.lists(orders, min_size=1, max_size=5), st.booleans())
def test_proxy_that_applies_all_updates_holds_what_was_ordered(batches, folded):
    desired, reader, waiting = DesiredState(len(NAMES), 4), ProxyReader(), None
    desired.join(7)
    for batch in batches:
        for verb, *args in batch:
            getattr(desired, verb)(0, *args)
        for message in desired.close_batch():
            if folded and waiting:
                waiting.merge(message)
            else:
                waiting = message
        if waiting and not folded or waiting and batch is batches[-1]:
            desired.holdings[7].apply(waiting)
            marks = reader.read(messages.encode_update(desired.holdings[7], waiting, NAMES))
            assert marks == [number for number, _ in waiting.marks]
            waiting = None
    holding = desired.holdings[7]
    for index, name in enumerate(NAMES):
        if (lines := holding.lines_of(index)) is not None:
            assert {s: w for s, w in reader.lines[name].items() if s not in reader.out} == lines
            assert reader.levels.get(name) == holding.level_of(index)


def test_level_for_all_tables_is_sent_again_after_a_table_is_emptied():
    """An update with `whole` makes the proxy drop its levels, also one that is still set for all tables."""
    batches = [[("bind", 7, 2, 0), ("admit", None, 0, 0, 0)], [("empty", 2)]]
    check = test_proxy_that_applies_all_updates_holds_what_was_ordered.hypothesis.inner_test
    check(batches, folded=False)


def test_server_let_back_in_the_batch_of_a_full_table_is_picked_again():
    """An update with `whole` does not let withdrawn servers back: the proxy has to be told of each."""
    batches = [
        [("bind", 7, 1, 0), ("weigh", 1, SERVERS[0], 0.25), ("withdraw", SERVERS[0], True)],
        [("withdraw", SERVERS[0], False), ("bind", 7, 1, 0)],
    ]
    check = test_proxy_that_applies_all_updates_holds_what_was_ordered.hypothesis.inner_test
    check(batches, folded=False)


def test_server_withdrawn_while_it_leaves_a_table_is_picked_again_once_it_is_back():
    """A full table without a withdrawn server forgot that the proxy holds the withdrawal."""
    batches = [
        [("bind", 7, 1, 0), ("weigh", 1, SERVERS[0], 0.25), ("withdraw", SERVERS[0], True)],
        [("weigh", 1, SERVERS[0], 0), ("bind", 7, 1, 0)],
        [("withdraw", SERVERS[0], False), ("weigh", 1, SERVERS[0], 0.25)],
    ]
    check = test_proxy_that_applies_all_updates_holds_what_was_ordered.hypothesis.inner_test
    check(batches, folded=False)


def test_long_table_is_split_into_parts_within_the_limits():
    desired = DesiredState(1, 4)
    desired.join(7)
    for k in range(10_000):
        desired.weigh(0, 1, f"server-{k:05}", 1.0)
    desired.bind(0, 7, 1, 0)
    (message,) = desired.close_batch()
    desired.holdings[7].apply(message)
    lines = messages.encode_update(desired.holdings[7], message, ["read"]).splitlines()
    assert 1 < len(lines) <= messages.MAX_PARTS and all(
        len(line) < messages.MAX_MESSAGE_BYTES for line in lines
    )
    assert sum(len(json.loads(line)["lines"]) for line in lines) == 10_000
