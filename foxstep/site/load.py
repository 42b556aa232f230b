"""Reads a site file: Jsonnet with its functions and imports, then checked into types."""

import json
import os

import _jsonnet
import msgspec

from foxstep.site.types import Site, Time

EXAMPLES = os.path.join(os.path.dirname(__file__), "examples")


class Trouble(Exception):
    """One line for the operator: file, path and what was expected."""


def decode(kind, value):
    if kind is Time:
        return Time.read(value)
    raise NotImplementedError(kind)


def read_site(path, **outside):
    """The `Site` of a Jsonnet file; `outside` becomes its std.extVar values. Raises Trouble, one line."""
    try:
        text = _jsonnet.evaluate_file(str(path), ext_vars={k: str(v) for k, v in outside.items()})
    except RuntimeError as error:
        lines = [line.strip() for line in str(error).splitlines() if line.strip()]
        where = next((f" at {line.split(chr(9))[0]}" for line in lines[1:] if ":" in line), "")
        raise Trouble(f"{path}: {lines[0] if lines else 'not readable'}{where}") from None
    return check_site(json.loads(text), path)


def check_site(tree, where="site"):
    """A `Site` from plain values. Raises Trouble, one line that names the path and what was expected."""
    try:
        return msgspec.convert(tree, Site, dec_hook=decode)
    except msgspec.ValidationError as error:
        text, mark, place = str(error).rpartition(" - at ")
        raise Trouble(f"{where}: {place.strip('`')}: {text}" if mark else f"{where}: $: {error}") from None
