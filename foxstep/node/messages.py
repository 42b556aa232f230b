"""Lines of the platform's protocol to and from bytes. No I/O.

What does not read as JSON at all is `Unreadable`: where the next message begins is then anybody's guess. What
does, but cannot be meant, is `Spoilt`: the messages around it stand.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

LONGEST = 1 << 20  # bytes of a message, by the protocol
PARTS = 64  # parts of one message, by the protocol
LINES_A_PART = 4000  # so that a part stays far below LONGEST
MINUTES = 600_000.0  # a stretch longer than this, in milliseconds, tells nothing of now
MOST = 10_000_000  # ops in one message beyond which it is no count

Count = Annotated[int, Meta(ge=0, le=MOST)]
Millis = Annotated[float, Meta(ge=0, le=MINUTES)]
Stretch = Annotated[float, Meta(gt=0, le=MINUTES)]
Number = Annotated[int, Meta(ge=0, le=65535)]
Name = Annotated[str, Meta(min_length=1, max_length=256)]


class Line(msgspec.Struct, tag_field="@type"):
    pass


class Ping(Line, tag="ping"):
    pass


class Collector(Line, tag="collector"):
    locality: Name


class Joined(Line, tag="joined"):
    node: Number
    locality: Name
    w: Annotated[float, Meta(ge=0, le=MOST)]
    cold: bool


class Applied(Line, tag="applied"):
    node: Number
    nonce: Annotated[int, Meta(ge=0)]
    latency: Millis


class Usage(Line, tag="usage"):
    node: Number
    route: Name
    total: Count
    errors: Count
    interval: Stretch


class Heard(Line, tag="heard"):
    locality: Name
    endpoint: Name
    total: Count
    errors: Count
    rtt: Millis
    interval: Stretch
    metrics: dict[str, float] | None = None


class Unreadable(ValueError):
    """No JSON object in a line."""


class Spoilt(ValueError):
    """JSON, but no message that can be taken."""


PONG, REFUSED = b'{"@type":"pong"}\n', b'{"@type":"refused"}\n'
DECODER = msgspec.json.Decoder(Ping | Collector | Joined | Applied | Usage | Heard)
ENCODER = msgspec.json.Encoder()


def read(line):
    """One line's message. Raises Unreadable or Spoilt."""
    try:
        return DECODER.decode(line)
    except msgspec.ValidationError as error:
        found = error
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise Unreadable(str(error)) from None
    try:
        msgspec.json.decode(line)  # the first field that is wrong ends the reading: is the rest JSON at all?
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise Unreadable(str(error)) from None
    raise Spoilt(str(found))


def parts_of(holding, message, names):
    """The updates that a message comes to, in the order in which they hold. `holding` has taken it already:
    it tells which op types are on which table."""
    on = {}
    for place, table in enumerate(holding.tables):
        if table is not None:
            on.setdefault(table, []).append(place)
    parts = []

    def part(places, **fields):
        some = {} if len(places) == len(names) else {"classes": [names[k] for k in places]}
        parts.append({**some, **fields})

    for table, places in on.items():
        lines = [(s, w) for (of, s), w in message.lines.items() if of == table]
        whole = message.whole or table in message.emptied
        for k in range(0, max(len(lines), int(whole)), LINES_A_PART):
            some = {"lines": lines[k : k + LINES_A_PART]}
            part(places, **({"whole": True} if whole and not k else {}), **some)
    alike = {}
    for place in dict.fromkeys(place for _, place in message.levels):
        if (level := holding.level_of(place)) is not None:
            alike.setdefault(level, []).append(place)
    for (level, tries), places in alike.items():
        part(places, level=level, retry=tries)
    every = range(len(names))
    for field, out in (("out", True), ("back", False)):
        if servers := [s for s, shut in message.shut.items() if shut is out]:
            part(every, **{field: servers})
    for number, _ in message.marks:
        if parts and "ticket" not in parts[-1]:
            parts[-1]["ticket"] = number
        else:
            part(every, ticket=number)
    return parts


def written(holding, message, names):
    """The bytes of a message; empty where it says nothing."""
    parts = parts_of(holding, message, names)
    for part in parts[:-1]:
        part["more"] = True
    return b"".join(ENCODER.encode({"@type": "update", **part}) + b"\n" for part in parts)
