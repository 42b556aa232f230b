"""The wire's lines: fields set apart by tabs, read into text and written from plain values."""

from foxstep.simhost.names import micros


def read_line(line):
    """A line's name and its fields; a pair's value may hold any '=' but the first."""
    name, *pairs = line.split("\t")
    fields = {}
    for pair in pairs:
        field, mark, value = pair.partition("=")
        if not mark:
            raise ValueError(f"field without a value: {pair[:60]!r}")
        fields[field] = value
    return name, fields


def number(value):
    """A number as short text: whole ones without a fraction."""
    return str(int(value)) if value == int(value) else repr(round(value, 6))


def millis(at):
    return number(at / 1000)


def write_line(name, *pairs):
    return "\t".join([name, *(f"{field}={value}" for field, value in pairs)])


def listed_line(fields, states):
    """An ENTRY as the module's plain line of the list."""
    return (
        fields["backend"],
        fields.get("area", ""),
        fields.get("generationHw", ""),
        int(fields.get("cell", 0)),
        states[fields["condition"]],
        float(fields.get("w", 1)),
        micros(fields.get("onlineSince", 0)),
    )
