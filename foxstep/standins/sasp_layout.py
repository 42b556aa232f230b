"""An independent parser of SASP messages (RFC 4678), declared with the `construct` library.

It shares no code with `foxstep/sasp/wire.py`, so that tests can check the one against the other. It goes by
the element counts and ignores the length fields.
"""

from construct import (
    Array,
    Bytes,
    Const,
    GreedyBytes,
    Int8ub,
    Int16ub,
    Int32ub,
    Prefixed,
    Struct,
    Switch,
    this,
)

STRING = Prefixed(Int8ub, GreedyBytes)


def component(kind, **fields):
    return Struct("type" / Const(kind, Int16ub), "length" / Int16ub, **fields)


HEADER = component(0x2010, version=Int8ub, total=Int32ub, number=Int32ub)
MEMBER = component(0x3010, protocol=Int8ub, port=Int16ub, address=Bytes(16), label=STRING)
GROUP = component(0x3011, balancer=STRING, name=STRING)
WEIGHT = component(0x3012, member=MEMBER, state=Int8ub, flags=Int8ub, weight=Int16ub)
STATE = component(0x3013, member=MEMBER, state=Int8ub, flags=Int8ub)


def group_of(kind, item):
    return component(kind, count=Int16ub, group=GROUP, members=Array(this.count, item))


def groups_of(kind, item):
    return {"count": Int16ub, "groups": Array(this.count, group_of(kind, item))}


BODIES = {
    0x1010: Struct("flags" / Int8ub, **groups_of(0x4010, MEMBER)),
    0x1020: Struct("flags" / Int8ub, "reason" / Int8ub, **groups_of(0x4010, MEMBER)),
    0x1030: Struct("count" / Int16ub, "groups" / Array(this.count, GROUP)),
    0x1035: Struct("code" / Int8ub, "interval" / Int16ub, **groups_of(0x4011, WEIGHT)),
    0x1040: Struct(**groups_of(0x4011, WEIGHT)),
    0x1050: Struct("balancer" / STRING, "health" / Int8ub, "flags" / Int8ub),
    0x1060: Struct("flags" / Int8ub, **groups_of(0x4012, STATE)),
    **dict.fromkeys((0x1015, 0x1025, 0x1055, 0x1065), Struct("code" / Int8ub)),
}
MESSAGE = Struct("header" / HEADER, "kind" / Int16ub, "length" / Int16ub, "body" / Switch(this.kind, BODIES))
