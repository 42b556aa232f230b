"""Reading site files: evaluates the Jsonnet and validates the result."""

import json
import os

import _jsonnet
import msgspec

from foxstep.site.types import Duration, Site

EXAMPLES = os.path.join(os.path.dirname(__file__), "examples")


class InputError(Exception):
    """Invalid input. The message is one line with the file, the place in it and what was expected."""


def decode(type_, value):
    """Decoding hook of msgspec for the types that it doesn't know."""
    if type_ is Duration:
        return Duration.parse(value)
    raise NotImplementedError(type_)


def read_site(path, **ext_vars):
    """Reads a Jsonnet file as a `Site`; `ext_vars` are its std.extVar values. Raises InputError."""
    try:
        text = _jsonnet.evaluate_file(str(path), ext_vars={k: str(v) for k, v in ext_vars.items()})
    except RuntimeError as error:
        lines = [line.strip() for line in str(error).splitlines() if line.strip()]
        location = next((f" at {line.split(chr(9))[0]}" for line in lines[1:] if ":" in line), "")
        raise InputError(f"{path}: {lines[0] if lines else 'not readable'}{location}") from None
    return check_site(json.loads(text), path)


def check_site(tree, where="site"):
    """Validates plain values as a `Site`. Raises InputError with the path of the invalid value.

    `where` names the source of the values in the error message.
    """
    try:
        return msgspec.convert(tree, Site, dec_hook=decode)
    except msgspec.ValidationError as error:
        text, mark, location = str(error).rpartition(" - at ")
        raise InputError(
            f"{where}: {location.strip('`')}: {text}" if mark else f"{where}: $: {error}"
        ) from None
