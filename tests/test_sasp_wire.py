"""The SASP codec: exact bytes of RFC 4678, a second independent decoder, round trips, fuzzing."""

import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foxstep.sasp import wire
from foxstep.sasp.wire import (
    Code,
    Flag,
    Group,
    MalformedMessage,
    Member,
    MemberState,
    Message,
    MessageType,
    Weight,
)
from foxstep.standins.sasp_layout import MESSAGE

MEMBERS = st.builds(
    Member,
    st.integers(0, 255),
    st.integers(0, 0xFFFF),
    st.binary(min_size=16, max_size=16),
    st.binary(max_size=255),
)
GROUPS = st.builds(Group, st.binary(max_size=255), st.binary(max_size=255))
BYTES, WORDS = st.integers(0, 255), st.integers(0, 0xFFFF)
ENTRIES = {
    MessageType.REGISTRATION_REQUEST: MEMBERS,
    MessageType.DEREGISTRATION_REQUEST: MEMBERS,
    MessageType.SET_MEMBER_STATE_REQUEST: st.builds(MemberState, MEMBERS, BYTES, BYTES),
    MessageType.GET_WEIGHTS_REPLY: (WEIGHTS := st.builds(Weight, MEMBERS, BYTES, BYTES, WORDS)),
    MessageType.SEND_WEIGHTS: WEIGHTS,
}
LENGTH_CONVENTIONS = st.sampled_from([wire.OWN, wire.WHOLE])


@st.composite
def messages(draw):
    kind = draw(st.sampled_from(list(MessageType)))
    fields = {"kind": kind, "message_id": draw(st.integers(0, 0xFFFFFFFF))}
    if kind in ENTRIES:
        group = st.tuples(GROUPS, st.lists(ENTRIES[kind], max_size=4).map(tuple))
        fields["groups"] = tuple(draw(st.lists(group, max_size=3)))
    if kind in (
        MessageType.REGISTRATION_REQUEST,
        MessageType.DEREGISTRATION_REQUEST,
        MessageType.SET_MEMBER_STATE_REQUEST,
        MessageType.SET_LB_STATE_REQUEST,
    ):
        fields["flags"] = draw(BYTES)
    if kind == MessageType.DEREGISTRATION_REQUEST:
        fields["reason"] = draw(BYTES)
    if kind == MessageType.GET_WEIGHTS_REPLY:
        fields["interval"] = draw(WORDS)
    if kind == MessageType.SET_LB_STATE_REQUEST:
        fields |= {"balancer": draw(st.binary(max_size=255)), "health": draw(BYTES)}
    if kind == MessageType.GET_WEIGHTS_REQUEST:
        fields["groups"] = tuple(draw(st.lists(GROUPS, max_size=4)))
    if "code" in EXTRA_FIELDS[kind]:
        fields["code"] = draw(BYTES)
    return Message(**fields, length_convention=draw(LENGTH_CONVENTIONS) if fields.get("groups") else wire.OWN)


EXTRA_FIELDS = {kind: ("code",) if kind & 0x5 == 0x5 else () for kind in MessageType}


@settings(max_examples=300, deadline=None)
@given(messages())
def test_encoded_messages_decode_to_themselves_and_a_second_decoder_agrees(message):
    data = wire.encode(message)
    assert wire.frame_length(data, 1 << 24) == len(data)
    assert wire.decode(data) == message
    parsed = MESSAGE.parse(data)
    assert (parsed.header.total, parsed.header.number, parsed.kind) == (
        len(data),
        message.message_id,
        message.kind,
    )
    if message.kind in (MessageType.GET_WEIGHTS_REPLY, MessageType.SEND_WEIGHTS):
        assert [
            [(w.member.port, w.member.label, w.state, w.flags, w.weight) for w in g.members]
            for g in parsed.body.groups
        ] == [
            [(w.member.port, w.member.label, w.state, w.flags, w.weight) for w in entries]
            for _, entries in message.groups
        ]


@settings(max_examples=300, deadline=None)
@given(messages(), st.data())
def test_a_truncated_or_corrupted_message_is_decoded_or_refused_with_a_position(message, data):
    encoded = wire.encode(message)
    corrupted = bytearray(encoded[: data.draw(st.integers(wire.HEADER_SIZE, len(encoded)))])
    for _ in range(data.draw(st.integers(0, 3)) if len(corrupted) > wire.HEADER_SIZE else 0):
        corrupted[data.draw(st.integers(wire.HEADER_SIZE, len(corrupted) - 1))] = data.draw(BYTES)
    try:
        decoded = wire.decode(bytes(corrupted))
    except MalformedMessage as malformed:
        assert " at byte " in str(malformed)
    else:
        assert wire.decode(wire.encode(decoded)) == decoded


ADDRESS = "00000000000000000000ffff0a000007"  # 10.0.0.7 mapped into IPv6
MEMBER = "301000190601bb" + ADDRESS + "0161"  # TCP, port 443, label "a"
GROUP = "3011000b026c6203776562"  # balancer "lb", group "web"


@pytest.mark.parametrize(
    "message, expected",
    [
        (
            Message(MessageType.REGISTRATION_REQUEST, 5, flags=Flag.BALANCER, length_convention=wire.WHOLE),
            "2010000d 01 0000003e 0000000510100031 01 00014010002a 0001" + GROUP + MEMBER,
        ),
        (
            Message(MessageType.REGISTRATION_REQUEST, 5, flags=Flag.BALANCER, length_convention=wire.OWN),
            "2010000d 01 0000003e 0000000510100007 01 000140100006 0001" + GROUP + MEMBER,
        ),
        (
            Message(MessageType.SEND_WEIGHTS, 6, length_convention=wire.WHOLE),
            "2010000d 01 00000045 00000006"
            "10400038 0001"
            "40110032 0001" + GROUP + "30120021" + MEMBER + "07 0d 03e8",
        ),
        (
            Message(MessageType.SET_MEMBER_STATE_REQUEST, 7, flags=0, length_convention=wire.WHOLE),
            "2010000d 01 00000044 00000007"
            "10600037 00 0001"
            "40120030 0001" + GROUP + "3013001f" + MEMBER + "07 01",
        ),
        (
            Message(
                MessageType.SET_LB_STATE_REQUEST, 8, balancer=b"lb", health=0x7F, flags=Flag.PUSH | Flag.TRUST
            ),
            "2010000d 01 00000016 0000000810500009 02 6c62 7f 03",
        ),
        (
            Message(MessageType.GET_WEIGHTS_REPLY, 9, code=Code.UNKNOWN_GROUP, interval=2),
            "2010000d 01 00000016 0000000910350009 43 0002 0000",
        ),
        (
            Message(MessageType.DEREGISTRATION_REPLY, 10, code=Code.NOT_REGISTERED),
            "2010000d 01 00000012 0000000a10250005 42",
        ),
    ],
)
def test_encoded_bytes_match_the_rfc(message, expected):
    member = Member(6, 443, wire.IPV4_MAPPED + bytes([10, 0, 0, 7]), b"a")
    entries = {
        MessageType.REGISTRATION_REQUEST: member,
        MessageType.SET_MEMBER_STATE_REQUEST: MemberState(member, 7, Flag.MEMBER_QUIESCE),
        MessageType.SEND_WEIGHTS: Weight(member, 7, Flag.CONTACT | Flag.REGISTRATION | Flag.CONFIDENCE, 1000),
    }
    if message.kind in entries:
        message = message._replace(groups=((Group(b"lb", b"web"), (entries[message.kind],)),))
    assert wire.encode(message) == bytes.fromhex(expected)
    assert wire.decode(bytes.fromhex(expected)) == message
    assert member.ipv4() == bytes([10, 0, 0, 7])


def test_a_component_too_long_for_its_length_field_has_the_length_of_its_own_fields():
    members = tuple(Member(6, port, bytes(16)) for port in range(10_000))
    message = Message(
        MessageType.REGISTRATION_REQUEST,
        1,
        ((Group(b"lb", b"web"), members),),
        Flag.BALANCER,
        length_convention=wire.WHOLE,
    )
    data = wire.encode(message)
    assert len(data) > 1 << 16 and wire.decode(data).groups == message.groups


@pytest.mark.parametrize("name", sorted(os.listdir(os.path.join(os.path.dirname(__file__), "corpus"))))
def test_inputs_found_by_fuzzing(name):
    with open(os.path.join(os.path.dirname(__file__), "corpus", name), "rb") as file:
        data = file.read()
    try:
        length = wire.frame_length(data, 1 << 20)
        if length and len(data) >= length:
            wire.decode(data[:length])
    except MalformedMessage as malformed:
        assert " at byte " in str(malformed)
