"""The simulator's lines: a message name and fields, separated by tabs, as plain values."""

from foxstep.simhost.names import micros


def read_line(line):
    """(message name, field -> text) of a line. A value may contain '='. Raises ValueError for a field without
    a value."""
    name, *pairs = line.split("\t")
    fields = {}
    for pair in pairs:
        field, separator, value = pair.partition("=")
        if not separator:
            raise ValueError(f"field without a value: {pair[:60]!r}")
        fields[field] = value
    return name, fields


def number(value):
    """A number as short text: whole numbers without a fraction."""
    return str(int(value)) if value == int(value) else repr(round(value, 6))


def millis(at):
    """Microseconds as text in milliseconds."""
    return number(at / 1000)


def write_line(name, *pairs):
    """A line of a message name and (field, value) pairs."""
    return "\t".join([name, *(f"{field}={value}" for field, value in pairs)])


def listed_line(fields, states):
    """An ENTRY's fields as an entry of the server list; `states` maps the protocol's states to the
    module's."""
    return (
        fields["backend"],
        fields.get("area", ""),
        fields.get("generationHw", ""),
        int(fields.get("cell", 0)),
        states[fields["condition"]],
        float(fields.get("w", 1)),
        micros(fields.get("onlineSince", 0)),
    )
