"""Encoding and decoding of the platform's protocol, JSON messages of one line each. No I/O.

Input that is not JSON raises `MalformedJsonError`: it is then unknown where the next message begins. JSON
that is not a valid message raises `InvalidMessageError`: only this message is lost, those around it remain
valid.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

MAX_MESSAGE_BYTES = 1 << 20  # set by the protocol
MAX_PARTS = 64  # parts of one message; set by the protocol
LINES_PER_PART = 4000  # keeps a part far below MAX_MESSAGE_BYTES
MAX_DURATION_MS = 600_000.0  # a report over a longer time says nothing about the present
MAX_COUNT = 10_000_000  # a higher number of ops in one message is not plausible

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Milliseconds = Annotated[float, Meta(ge=0, le=MAX_DURATION_MS)]
PositiveMilliseconds = Annotated[float, Meta(gt=0, le=MAX_DURATION_MS)]
ProxyNumber = Annotated[int, Meta(ge=0, le=65535)]
Name = Annotated[str, Meta(min_length=1, max_length=256)]


class IncomingMessage(msgspec.Struct, tag_field="@type"):
    """Base of the messages from proxies and collectors; field names and tags are those on the wire."""


class Ping(IncomingMessage, tag="ping"):
    """Liveness check, answered with PONG."""


class Collector(IncomingMessage, tag="collector"):
    """Handshake of a collector: it reports for the proxies of one zone."""

    locality: Name


class Joined(IncomingMessage, tag="joined"):
    """Handshake of a proxy; `w` is the ops per second that it expects, `cold` whether it has just started."""

    node: ProxyNumber
    locality: Name
    w: Annotated[float, Meta(ge=0, le=MAX_COUNT)]
    cold: bool


class Applied(IncomingMessage, tag="applied"):
    """A proxy has applied the update with the mark `nonce`, `latency` milliseconds after it was written."""

    node: ProxyNumber
    nonce: Annotated[int, Meta(ge=0)]
    latency: Milliseconds


class Usage(IncomingMessage, tag="usage"):
    """Ops of one op type that a proxy received in `interval` milliseconds, and how many failed meanwhile."""

    node: ProxyNumber
    route: Name
    total: Count
    errors: Count
    interval: PositiveMilliseconds


class Heard(IncomingMessage, tag="heard"):
    """Tries that the proxies of one zone sent to a server in `interval`; times are in milliseconds."""

    locality: Name
    endpoint: Name
    total: Count
    errors: Count
    rtt: Milliseconds
    interval: PositiveMilliseconds
    metrics: dict[str, float] | None = None


class MalformedJsonError(ValueError):
    """A line that is not JSON."""


class InvalidMessageError(ValueError):
    """A line that is JSON but not a valid message."""


PONG = b'{"@type":"pong"}\n'
REFUSED = b'{"@type":"refused"}\n'
DECODER = msgspec.json.Decoder(Ping | Collector | Joined | Applied | Usage | Heard)
ENCODER = msgspec.json.Encoder()


def decode(line):
    """Decodes the message of one line. Raises MalformedJsonError or InvalidMessageError."""
    try:
        return DECODER.decode(line)
    except msgspec.ValidationError as error:
        # The text alone: an exception that outlives its `except` block and its frame refer to each other, and
        # would keep the lines received with this one until a full garbage collection.
        reason = str(error)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise MalformedJsonError(str(error)) from None
    try:
        msgspec.json.decode(line)  # the typed decoder stops at the first invalid field: check the rest
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise MalformedJsonError(str(error)) from None
    raise InvalidMessageError(reason)


def split_into_parts(holding, message, names):
    """The update messages for a `live.desired_state` message, in the order in which they take effect.

    `holding` already includes the message, so it tells which table each op type uses. `names` are the op
    types' names by index."""
    indexes_by_table = {}
    for index, table in enumerate(holding.tables):
        if table is not None:
            indexes_by_table.setdefault(table, []).append(index)
    parts = []

    def add_part(indexes, **fields):
        op_types = {} if len(indexes) == len(names) else {"classes": [names[k] for k in indexes]}
        parts.append({**op_types, **fields})

    for table, indexes in indexes_by_table.items():
        lines = [(s, w) for (line_table, s), w in message.lines.items() if line_table == table]
        whole = message.whole or table in message.emptied
        for k in range(0, max(len(lines), int(whole)), LINES_PER_PART):
            part_lines = {"lines": lines[k : k + LINES_PER_PART]}
            add_part(indexes, **({"whole": True} if whole and not k else {}), **part_lines)
    indexes_by_level = {}
    for index in dict.fromkeys(index for _, index in message.levels):
        if (level := holding.level_of(index)) is not None:
            indexes_by_level.setdefault(level, []).append(index)
    for (level, tries), indexes in indexes_by_level.items():
        add_part(indexes, level=level, retry=tries)
    all_indexes = range(len(names))
    for field, withdrawn in (("out", True), ("back", False)):
        if servers := [s for s, state in message.withdrawn.items() if state is withdrawn]:
            add_part(all_indexes, **{field: servers})
    for number, _ in message.marks:
        if parts and "ticket" not in parts[-1]:
            parts[-1]["ticket"] = number
        else:
            add_part(all_indexes, ticket=number)
    return parts


def encode_update(holding, message, names):
    """Encodes a `live.desired_state` message for its proxy; empty if there is nothing to write."""
    parts = split_into_parts(holding, message, names)
    for part in parts[:-1]:
        part["more"] = True
    return b"".join(ENCODER.encode({"@type": "update", **part}) + b"\n" for part in parts)
