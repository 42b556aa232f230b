"""Encodes and decodes SASP messages (RFC 4678). No I/O, no state.

Every component begins with a type and a length of two bytes each. It could not be confirmed whether a length
includes nested components. Both conventions are therefore accepted ("own" fields only, or the "whole"
component), any other length is refused, and a peer is answered in the convention that it uses. A message that
cannot be decoded raises MalformedMessage with the position in bytes from its beginning.
"""

from enum import IntEnum, IntFlag
from ipaddress import IPv4Address, IPv6Address
from struct import Struct
from typing import NamedTuple

VERSION = 1
HEADER_TYPE = 0x2010
HEADER = Struct("!HHBII")  # type, length, version, length of the message, message ID
HEADER_SIZE = HEADER.size
COMPONENT, COUNT = Struct("!HH"), Struct("!H")
MEMBER_DATA, WEIGHT_FIELDS = Struct("!BH16s"), Struct("!BBH")
OWN, WHOLE = "own", "whole"  # length conventions
IPV4_MAPPED, IPV4_COMPATIBLE = bytes(10) + b"\xff\xff", bytes(12)  # prefixes of an IPv4 address


class MessageType(IntEnum):
    """Message types."""

    REGISTRATION_REQUEST, REGISTRATION_REPLY = 0x1010, 0x1015
    DEREGISTRATION_REQUEST, DEREGISTRATION_REPLY = 0x1020, 0x1025
    GET_WEIGHTS_REQUEST, GET_WEIGHTS_REPLY = 0x1030, 0x1035
    SEND_WEIGHTS = 0x1040
    SET_LB_STATE_REQUEST, SET_LB_STATE_REPLY = 0x1050, 0x1055
    SET_MEMBER_STATE_REQUEST, SET_MEMBER_STATE_REPLY = 0x1060, 0x1065


class ComponentType(IntEnum):
    """Types of the components that messages contain."""

    MEMBER_DATA, GROUP_DATA, WEIGHT_ENTRY, MEMBER_STATE = 0x3010, 0x3011, 0x3012, 0x3013
    GROUP_OF_MEMBERS, GROUP_OF_WEIGHTS, GROUP_OF_MEMBER_STATES = 0x4010, 0x4011, 0x4012


class Code(IntEnum):
    """Response codes; one number can mean different things in different replies."""

    SUCCESS, NOT_UNDERSTOOD, NOT_ACCEPTED = 0x00, 0x10, 0x11
    ALREADY_REGISTERED, DUPLICATE_IN_REQUEST = 0x40, 0x41
    NOT_REGISTERED, UNKNOWN_GROUP, UNKNOWN_BALANCER = 0x42, 0x43, 0x44
    INVALID_GROUP_NAME_SIZE, INVALID_BALANCER_ID_SIZE = 0x50, 0x51
    NO_CONTACT = 0x61


class Flag(IntFlag):
    """One bit each, least significant first; what a bit means depends on the flag byte of the message."""

    BALANCER = 0x01  # in requests: sent by a load balancer, not by a member
    PUSH, TRUST, NO_CHANGE = 0x01, 0x02, 0x04  # load balancer state
    CONTACT, QUIESCE, REGISTRATION, CONFIDENCE = 0x01, 0x02, 0x04, 0x08  # weight entry
    MEMBER_QUIESCE = 0x01  # member state


class Member(NamedTuple):
    """A member of a group: a server, or a whole system with all its servers."""

    protocol: int  # IP protocol number: 6 TCP, 17 UDP; 0 the whole system
    port: int
    address: bytes  # 16 bytes; an IPv4 address is IPv4-mapped or IPv4-compatible
    label: bytes = b""

    def ipv4(self):
        """Returns the four bytes of an IPv4 address, or None. `::` and `::1` are IPv6."""
        if self.address.startswith(IPV4_MAPPED):
            return self.address[12:]
        return self.address[12:] if self.address.startswith(IPV4_COMPATIBLE) and self.address[12] else None

    def server(self):
        """Returns 127.0.0.1:80 or [::1]:80, with the protocol number appended if it is not TCP."""
        four = self.ipv4()
        host = str(IPv4Address(four)) if four else f"[{IPv6Address(self.address)}]"
        return f"{host}:{self.port}" + (f"/{self.protocol}" if self.protocol not in (0, 6) else "")


class Group(NamedTuple):
    """A group, named within the load balancer that it belongs to."""

    balancer: bytes
    name: bytes


class Weight(NamedTuple):
    """A weight entry: the weight of a member, with its state and flags."""

    member: Member
    state: int  # opaque, as set by a Set Member State request
    flags: int
    weight: int


class MemberState(NamedTuple):
    """The state that a Set Member State request gives a member."""

    member: Member
    state: int
    flags: int


class Message(NamedTuple):
    """A decoded message; fields that its type does not have keep their defaults.

    `groups` holds pairs of a Group and its members, weights or states; only Groups in a Get Weights request.
    """

    kind: MessageType
    message_id: int
    groups: tuple = ()
    flags: int = 0
    code: int = 0
    reason: int = 0
    interval: int = 0  # seconds until the next Get Weights request
    balancer: bytes = b""
    health: int = 0
    length_convention: str = OWN  # whether the lengths of components include nested components


class MalformedMessage(ValueError):
    """`at` is the position in bytes from the beginning of the message."""

    def __init__(self, problem, at):
        super().__init__(f"{problem} at byte {at}")


class UnsupportedVersion(MalformedMessage):
    """A message of another protocol version; `message_id` is its ID, for the reply."""

    def __init__(self, version, message_id):
        super().__init__(f"expected version {VERSION}, got {version}", 4)
        self.message_id = message_id


def frame_length(head, max_bytes):
    """Returns the length of the message that begins with these bytes, header included, or None if the header
    is incomplete. Raises MalformedMessage."""
    if len(head) < HEADER_SIZE:
        return None
    kind, length, version, total, message_id = HEADER.unpack_from(head)
    if kind != HEADER_TYPE:
        raise MalformedMessage(f"expected a header, got type 0x{kind:04x}", 0)
    if version != VERSION:
        raise UnsupportedVersion(version, message_id)
    if length != HEADER_SIZE:
        raise MalformedMessage(f"expected a header of {HEADER_SIZE} bytes, got {length}", 2)
    if not HEADER_SIZE + COMPONENT.size <= total <= max_bytes:
        raise MalformedMessage(f"expected a message of at most {max_bytes} bytes, got {total}", 5)
    return total


class Decoder:
    """One message's bytes; `begin` and `end` enclose a component and check its length."""

    def __init__(self, data):
        self.data = data
        self.offset = HEADER_SIZE
        self.length_convention = None  # not known until a component has nested ones

    def unpack(self, form):
        try:
            values = form.unpack_from(self.data, self.offset)
        except Exception:
            raise MalformedMessage(f"truncated: expected {form.size} more bytes", self.offset) from None
        self.offset += form.size
        return values

    def byte(self):
        if self.offset >= len(self.data):
            raise MalformedMessage("truncated: expected 1 more byte", self.offset)
        self.offset += 1
        return self.data[self.offset - 1]

    def text(self):
        size = self.byte()
        if self.offset + size > len(self.data):
            raise MalformedMessage(f"truncated: expected {size} bytes of text", self.offset)
        self.offset += size
        return bytes(self.data[self.offset - size : self.offset])

    def begin(self, expected):
        start = self.offset
        kind, length = self.unpack(COMPONENT)
        if kind != expected:
            raise MalformedMessage(f"expected type 0x{expected:04x}, got 0x{kind:04x}", start)
        return start, length

    def end(self, begun, nested=0):
        """`nested` is the size in bytes of the components inside."""
        start, length = begun
        whole = self.offset - start
        if not nested:
            if length != whole:
                raise MalformedMessage(f"expected a length of {whole}, got {length}", start + 2)
            return
        convention = WHOLE if length == whole else OWN if length == whole - nested else None
        if convention is None:
            raise MalformedMessage(
                f"expected a length of {whole - nested} or {whole}, got {length}", start + 2
            )
        # A whole component above 65,535 bytes does not fit into the length field, so such a component always
        # has the length of its own fields, whatever the peer's convention.
        if self.length_convention not in (None, convention) and whole < 1 << 16:
            raise MalformedMessage("lengths follow two conventions", start + 2)
        self.length_convention = (
            self.length_convention or convention if whole < 1 << 16 else self.length_convention
        )

    def member(self):
        begun = self.begin(ComponentType.MEMBER_DATA)
        member = Member(*self.unpack(MEMBER_DATA), self.text())
        self.end(begun)
        return member

    def group(self):
        begun = self.begin(ComponentType.GROUP_DATA)
        group = Group(self.text(), self.text())
        self.end(begun)
        return group

    def weight(self):
        begun, before = self.begin(ComponentType.WEIGHT_ENTRY), self.offset
        member = self.member()
        nested = self.offset - before
        state, flags, weight = self.unpack(WEIGHT_FIELDS)
        self.end(begun, nested)
        return Weight(member, state, flags, weight)

    def state(self):
        begun, before = self.begin(ComponentType.MEMBER_STATE), self.offset
        member = self.member()
        nested = self.offset - before
        state = MemberState(member, self.byte(), self.byte())
        self.end(begun, nested)
        return state

    def group_of(self, component_type, decode_entry):
        begun = self.begin(component_type)
        count, before = self.unpack(COUNT)[0], self.offset
        group = self.group(), tuple([decode_entry() for _ in range(count)])
        self.end(begun, self.offset - before)
        return group

    def groups(self, component_type, decode_entry):
        """Returns as many groups as the count before them says, and their size in bytes."""
        count, before = self.unpack(COUNT)[0], self.offset
        groups = tuple(
            [
                self.group_of(component_type, decode_entry) if component_type else decode_entry()
                for _ in range(count)
            ]
        )
        return groups, self.offset - before


def decode(data):
    """Decodes a complete message, as delimited by `frame_length`. Raises MalformedMessage."""
    message_id = HEADER.unpack_from(data)[4]
    decoder = Decoder(data)
    start, length = decoder.offset, 0
    kind, length = decoder.unpack(COMPONENT)
    if kind not in MessageType.__members__.values():
        raise MalformedMessage(f"expected a message, got type 0x{kind:04x}", start)
    fields, nested = {}, 0
    if kind == MessageType.SET_LB_STATE_REQUEST:
        fields = {"balancer": decoder.text(), "health": decoder.byte(), "flags": decoder.byte()}
    elif kind == MessageType.GET_WEIGHTS_REQUEST:
        fields["groups"], nested = decoder.groups(None, decoder.group)
    elif kind == MessageType.SEND_WEIGHTS:
        fields["groups"], nested = decoder.groups(ComponentType.GROUP_OF_WEIGHTS, decoder.weight)
    elif kind == MessageType.GET_WEIGHTS_REPLY:
        fields["code"] = decoder.byte()
        fields["interval"] = decoder.unpack(COUNT)[0]
        fields["groups"], nested = decoder.groups(ComponentType.GROUP_OF_WEIGHTS, decoder.weight)
    elif kind in (
        MessageType.REGISTRATION_REQUEST,
        MessageType.DEREGISTRATION_REQUEST,
        MessageType.SET_MEMBER_STATE_REQUEST,
    ):
        fields["flags"] = decoder.byte()
        if kind == MessageType.DEREGISTRATION_REQUEST:
            fields["reason"] = decoder.byte()
        component_type, decode_entry = (
            (ComponentType.GROUP_OF_MEMBER_STATES, decoder.state)
            if kind == MessageType.SET_MEMBER_STATE_REQUEST
            else (ComponentType.GROUP_OF_MEMBERS, decoder.member)
        )
        fields["groups"], nested = decoder.groups(component_type, decode_entry)
    else:
        fields["code"] = decoder.byte()
    decoder.end((start, length), nested)
    if decoder.offset != len(data):
        raise MalformedMessage(f"{len(data) - decoder.offset} trailing bytes", decoder.offset)
    return Message(
        MessageType(kind), message_id, **fields, length_convention=decoder.length_convention or OWN
    )


def encode_component(component_type, convention, before, nested=b"", after=b""):
    own = COMPONENT.size + len(before) + len(after)
    whole = own + len(nested)
    length = whole if convention == WHOLE and whole < 1 << 16 else own
    return COMPONENT.pack(component_type, length) + before + nested + after


def encode_text(value):
    return bytes([len(value)]) + value


def encode_group(group):
    return encode_component(
        ComponentType.GROUP_DATA, OWN, encode_text(group.balancer) + encode_text(group.name)
    )


def encode_entry(component_type, entry, convention):
    """Encodes a member, or a weight or state with its member, for a group of that component type."""
    member = entry if component_type == ComponentType.GROUP_OF_MEMBERS else entry.member
    encoded_member = encode_component(
        ComponentType.MEMBER_DATA,
        OWN,
        MEMBER_DATA.pack(member.protocol, member.port, member.address) + encode_text(member.label),
    )
    if component_type == ComponentType.GROUP_OF_WEIGHTS:
        return encode_component(
            ComponentType.WEIGHT_ENTRY,
            convention,
            b"",
            encoded_member,
            WEIGHT_FIELDS.pack(entry.state, entry.flags, entry.weight),
        )
    if component_type == ComponentType.GROUP_OF_MEMBER_STATES:
        return encode_component(
            ComponentType.MEMBER_STATE, convention, b"", encoded_member, bytes((entry.state, entry.flags))
        )
    return encoded_member


def encode_groups(component_type, groups, convention):
    """Returns the encoded number of groups, and the encoded groups."""
    encoded = []
    for group, entries in groups:
        nested = encode_group(group) + b"".join(
            [encode_entry(component_type, entry, convention) for entry in entries]
        )
        encoded.append(encode_component(component_type, convention, COUNT.pack(len(entries)), nested))
    return COUNT.pack(len(groups)), b"".join(encoded)


def encode(message):
    """Encodes a message with its header."""
    kind, convention, nested = message.kind, message.length_convention, b""
    if kind == MessageType.SET_LB_STATE_REQUEST:
        own = encode_text(message.balancer) + bytes((message.health, message.flags))
    elif kind == MessageType.GET_WEIGHTS_REQUEST:
        own, nested = COUNT.pack(len(message.groups)), b"".join(map(encode_group, message.groups))
    elif kind == MessageType.SEND_WEIGHTS:
        own, nested = encode_groups(ComponentType.GROUP_OF_WEIGHTS, message.groups, convention)
    elif kind == MessageType.GET_WEIGHTS_REPLY:
        own, nested = encode_groups(ComponentType.GROUP_OF_WEIGHTS, message.groups, convention)
        own = bytes((message.code,)) + COUNT.pack(message.interval) + own
    elif kind in (
        MessageType.REGISTRATION_REQUEST,
        MessageType.DEREGISTRATION_REQUEST,
        MessageType.SET_MEMBER_STATE_REQUEST,
    ):
        component_type = (
            ComponentType.GROUP_OF_MEMBER_STATES
            if kind == MessageType.SET_MEMBER_STATE_REQUEST
            else ComponentType.GROUP_OF_MEMBERS
        )
        own, nested = encode_groups(component_type, message.groups, convention)
        own = (
            bytes(
                (message.flags, message.reason)
                if kind == MessageType.DEREGISTRATION_REQUEST
                else (message.flags,)
            )
            + own
        )
    else:
        own = bytes((message.code,))
    body = encode_component(kind, convention, own, nested)
    return HEADER.pack(HEADER_TYPE, HEADER_SIZE, VERSION, HEADER_SIZE + len(body), message.message_id) + body
