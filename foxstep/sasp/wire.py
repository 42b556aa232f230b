"""SASP messages to and from bytes (RFC 4678). No I/O, no state.

Every component begins with a type and a length of two bytes each. Whether a length covers nested components
could not be confirmed, so both readings are read ("own" fields only, or the "whole"), any other length is
refused, and a peer is written to in the reading that it uses. A message that cannot be read raises Malformed
with the place, in bytes from its beginning.
"""

from enum import IntEnum, IntFlag
from ipaddress import IPv4Address, IPv6Address
from struct import Struct
from typing import NamedTuple

VERSION = 1
HEADER_TYPE, HEADER = 0x2010, Struct("!HHBII")  # type, length, version, length of the message, its number
HEADER_SIZE = HEADER.size
COMPONENT, COUNT, MEMBER, STANDING = Struct("!HH"), Struct("!H"), Struct("!BH16s"), Struct("!BBH")
OWN, WHOLE = "own", "whole"
MAPPED, COMPATIBLE = bytes(10) + b"\xff\xff", bytes(12)  # what stands before an IPv4 address


class Kind(IntEnum):
    REGISTER, REGISTERED = 0x1010, 0x1015
    DEREGISTER, DEREGISTERED = 0x1020, 0x1025
    GET_WEIGHTS, WEIGHTS = 0x1030, 0x1035
    SEND_WEIGHTS = 0x1040
    SET_BALANCER, BALANCER_SET = 0x1050, 0x1055
    SET_MEMBERS, MEMBERS_SET = 0x1060, 0x1065


class Part(IntEnum):
    MEMBER, GROUP, WEIGHT, STATE = 0x3010, 0x3011, 0x3012, 0x3013
    MEMBERS, WEIGHTS, STATES = 0x4010, 0x4011, 0x4012


class Code(IntEnum):
    """Response codes; one number can mean different things in different replies."""

    SUCCESS, NOT_UNDERSTOOD, NOT_ACCEPTED = 0x00, 0x10, 0x11
    ALREADY_REGISTERED, TWICE_IN_REQUEST = 0x40, 0x41
    NOT_REGISTERED, UNKNOWN_GROUP, UNKNOWN_BALANCER = 0x42, 0x43, 0x44
    GROUP_NAME_SIZE, BALANCER_SIZE = 0x50, 0x51
    NO_CONTACT = 0x61


class Flag(IntFlag):
    """One bit each, the least first, as every flag byte of its message has them."""

    BALANCER = 0x01  # in requests: a balancer speaks, not a member
    PUSH, TRUST, NO_CHANGE = 0x01, 0x02, 0x04  # of a balancer's state
    CONTACT, QUIESCE, REGISTRATION, CONFIDENCE = 0x01, 0x02, 0x04, 0x08  # of a weight
    MEMBER_QUIESCE = 0x01  # of a member's state


class Member(NamedTuple):
    protocol: int  # of IP: 6 TCP, 17 UDP, 0 the whole system
    port: int
    address: bytes  # 16 bytes; IPv4 mapped into IPv6, or compatible with it
    label: bytes = b""

    def ipv4(self):
        """The four bytes of an IPv4 address, or None. `::` and `::1` are IPv6."""
        if self.address.startswith(MAPPED):
            return self.address[12:]
        return self.address[12:] if self.address.startswith(COMPATIBLE) and self.address[12] else None

    def server(self):
        """It as 127.0.0.1:80 or [::1]:80; other transports than TCP have a name of their own."""
        four = self.ipv4()
        host = str(IPv4Address(four)) if four else f"[{IPv6Address(self.address)}]"
        return f"{host}:{self.port}" + (f"/{self.protocol}" if self.protocol not in (0, 6) else "")


class Group(NamedTuple):
    balancer: bytes
    name: bytes


class Weight(NamedTuple):
    member: Member
    state: int  # opaque, as the member's state was set
    flags: int
    weight: int


class MemberState(NamedTuple):
    member: Member
    state: int
    flags: int


class Message(NamedTuple):
    """What a kind does not have stays as it is here. `groups` holds (Group, its members, weights or states),
    or Groups alone where weights are asked for."""

    kind: Kind
    number: int
    groups: tuple = ()
    flags: int = 0
    code: int = 0
    reason: int = 0
    interval: int = 0  # seconds until the next question
    balancer: bytes = b""
    health: int = 0
    reading: str = OWN  # how the lengths of nested components count


class Malformed(ValueError):
    def __init__(self, what, at):
        super().__init__(f"{what} at byte {at}")


class OtherVersion(Malformed):
    """A version of the protocol that is not spoken here; `number` is the message's."""

    def __init__(self, version, number):
        super().__init__(f"expected version {VERSION}, got {version}", 4)
        self.number = number


def frame_length(head, most):
    """The length of the message that begins with these bytes, header included, or None while the header is
    not whole. Raises Malformed."""
    if len(head) < HEADER_SIZE:
        return None
    kind, length, version, total, number = HEADER.unpack_from(head)
    if kind != HEADER_TYPE:
        raise Malformed(f"expected a header, got type 0x{kind:04x}", 0)
    if version != VERSION:
        raise OtherVersion(version, number)
    if length != HEADER_SIZE:
        raise Malformed(f"expected a header of {HEADER_SIZE} bytes, got {length}", 2)
    if not HEADER_SIZE + COMPONENT.size <= total <= most:
        raise Malformed(f"expected a message of at most {most} bytes, got {total}", 5)
    return total


class Reader:
    """One message's bytes; `begin` and `end` enclose a component and check its length."""

    def __init__(self, data):
        self.data, self.at, self.reading = data, HEADER_SIZE, None

    def take(self, form):
        try:
            values = form.unpack_from(self.data, self.at)
        except Exception:
            raise Malformed(f"cut short: expected {form.size} bytes more", self.at) from None
        self.at += form.size
        return values

    def byte(self):
        if self.at >= len(self.data):
            raise Malformed("cut short: expected 1 byte more", self.at)
        self.at += 1
        return self.data[self.at - 1]

    def text(self):
        size = self.byte()
        if self.at + size > len(self.data):
            raise Malformed(f"cut short: expected {size} bytes of text", self.at)
        self.at += size
        return bytes(self.data[self.at - size : self.at])

    def begin(self, wanted):
        start = self.at
        kind, length = self.take(COMPONENT)
        if kind != wanted:
            raise Malformed(f"expected type 0x{wanted:04x}, got 0x{kind:04x}", start)
        return start, length

    def end(self, begun, nested=0):
        """`nested`: bytes of the components within."""
        start, length = begun
        whole = self.at - start
        if not nested:
            if length != whole:
                raise Malformed(f"expected a length of {whole}, got {length}", start + 2)
            return
        reading = WHOLE if length == whole else OWN if length == whole - nested else None
        if reading is None:
            raise Malformed(f"expected a length of {whole - nested} or {whole}, got {length}", start + 2)
        # Lengths beyond two bytes can only be written as own fields, whatever a peer's way.
        if self.reading not in (None, reading) and whole < 1 << 16:
            raise Malformed("lengths counted in two ways", start + 2)
        self.reading = self.reading or reading if whole < 1 << 16 else self.reading

    def member(self):
        begun = self.begin(Part.MEMBER)
        member = Member(*self.take(MEMBER), self.text())
        self.end(begun)
        return member

    def group(self):
        begun = self.begin(Part.GROUP)
        group = Group(self.text(), self.text())
        self.end(begun)
        return group

    def weight(self):
        begun, before = self.begin(Part.WEIGHT), self.at
        member = self.member()
        nested = self.at - before
        state, flags, weight = self.take(STANDING)
        self.end(begun, nested)
        return Weight(member, state, flags, weight)

    def state(self):
        begun, before = self.begin(Part.STATE), self.at
        member = self.member()
        nested = self.at - before
        made = MemberState(member, self.byte(), self.byte())
        self.end(begun, nested)
        return made

    def group_of(self, part, one):
        begun = self.begin(part)
        count, before = self.take(COUNT)[0], self.at
        made = self.group(), tuple([one() for _ in range(count)])
        self.end(begun, self.at - before)
        return made

    def groups(self, part, one):
        """So many as a count says; answers them and their bytes."""
        count, before = self.take(COUNT)[0], self.at
        made = tuple([self.group_of(part, one) if part else one() for _ in range(count)])
        return made, self.at - before


def read(data):
    """A whole message, as framed by `frame_length`. Raises Malformed."""
    number = HEADER.unpack_from(data)[4]
    reader = Reader(data)
    start, length = reader.at, 0
    kind, length = reader.take(COMPONENT)
    if kind not in Kind.__members__.values():
        raise Malformed(f"expected a message, got type 0x{kind:04x}", start)
    told, nested = {}, 0
    if kind == Kind.SET_BALANCER:
        told = {"balancer": reader.text(), "health": reader.byte(), "flags": reader.byte()}
    elif kind == Kind.GET_WEIGHTS:
        told["groups"], nested = reader.groups(None, reader.group)
    elif kind == Kind.SEND_WEIGHTS:
        told["groups"], nested = reader.groups(Part.WEIGHTS, reader.weight)
    elif kind == Kind.WEIGHTS:
        told["code"] = reader.byte()
        told["interval"] = reader.take(COUNT)[0]
        told["groups"], nested = reader.groups(Part.WEIGHTS, reader.weight)
    elif kind in (Kind.REGISTER, Kind.DEREGISTER, Kind.SET_MEMBERS):
        told["flags"] = reader.byte()
        if kind == Kind.DEREGISTER:
            told["reason"] = reader.byte()
        part, one = (Part.STATES, reader.state) if kind == Kind.SET_MEMBERS else (Part.MEMBERS, reader.member)
        told["groups"], nested = reader.groups(part, one)
    else:
        told["code"] = reader.byte()
    reader.end((start, length), nested)
    if reader.at != len(data):
        raise Malformed(f"{len(data) - reader.at} bytes too many", reader.at)
    return Message(Kind(kind), number, **told, reading=reader.reading or OWN)


def component(kind, reading, before, nested=b"", after=b""):
    own = COMPONENT.size + len(before) + len(after)
    whole = own + len(nested)
    length = whole if reading == WHOLE and whole < 1 << 16 else own
    return COMPONENT.pack(kind, length) + before + nested + after


def text(written):
    return bytes([len(written)]) + written


def written_group(group):
    return component(Part.GROUP, OWN, text(group.balancer) + text(group.name))


def written_one(part, one, reading):
    member = one if part == Part.MEMBERS else one.member
    made = component(
        Part.MEMBER, OWN, MEMBER.pack(member.protocol, member.port, member.address) + text(member.label)
    )
    if part == Part.WEIGHTS:
        return component(Part.WEIGHT, reading, b"", made, STANDING.pack(one.state, one.flags, one.weight))
    if part == Part.STATES:
        return component(Part.STATE, reading, b"", made, bytes((one.state, one.flags)))
    return made


def written_groups(part, groups, reading):
    made = []
    for group, those in groups:
        nested = written_group(group) + b"".join([written_one(part, one, reading) for one in those])
        made.append(component(part, reading, COUNT.pack(len(those)), nested))
    return COUNT.pack(len(groups)), b"".join(made)


def write(message):
    """A message's bytes, its header before."""
    kind, reading, nested = message.kind, message.reading, b""
    if kind == Kind.SET_BALANCER:
        own = text(message.balancer) + bytes((message.health, message.flags))
    elif kind == Kind.GET_WEIGHTS:
        own, nested = COUNT.pack(len(message.groups)), b"".join(map(written_group, message.groups))
    elif kind == Kind.SEND_WEIGHTS:
        own, nested = written_groups(Part.WEIGHTS, message.groups, reading)
    elif kind == Kind.WEIGHTS:
        own, nested = written_groups(Part.WEIGHTS, message.groups, reading)
        own = bytes((message.code,)) + COUNT.pack(message.interval) + own
    elif kind in (Kind.REGISTER, Kind.DEREGISTER, Kind.SET_MEMBERS):
        part = Part.STATES if kind == Kind.SET_MEMBERS else Part.MEMBERS
        own, nested = written_groups(part, message.groups, reading)
        own = bytes((message.flags, message.reason) if kind == Kind.DEREGISTER else (message.flags,)) + own
    else:
        own = bytes((message.code,))
    body = component(kind, reading, own, nested)
    return HEADER.pack(HEADER_TYPE, HEADER_SIZE, VERSION, HEADER_SIZE + len(body), message.number) + body
