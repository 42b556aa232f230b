"""Coverage-guided fuzzing of the SASP codec: `make fuzz` runs it for a fixed number of inputs.

Not part of the test suite. Inputs that it finds go into `tests/corpus`, which the tests read.
"""

import sys

import atheris

with atheris.instrument_imports():
    from foxstep.sasp import wire


def test_one_input(data):
    try:
        length = wire.frame_length(data, 1 << 20)
        if length is None or len(data) < length:
            return
        decoded = wire.decode(data[:length])
    except wire.MalformedMessage:
        return
    encoded = wire.encode(decoded)
    if wire.decode(encoded) != decoded:
        raise AssertionError("decoding the encoded message gave a different message")


if __name__ == "__main__":
    atheris.Setup(sys.argv, test_one_input)
    atheris.Fuzz()
