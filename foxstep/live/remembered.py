"""The last list of servers, kept over a restart: replaced whole or not at all, and perhaps stale."""

import os

import msgspec

Line = tuple[str, str, str, int, str, float, int]  # interface.Listed


class Remembered:
    """`directory` None: nothing is kept. Starts are kept as wall-clock microseconds."""

    def __init__(self, directory):
        self.path = directory and os.path.join(directory, "servers.msgpack")
        self.epoch_path = directory and os.path.join(directory, "epoch")
        if directory:
            os.makedirs(directory, exist_ok=True)

    def next_epoch(self, wall):
        """A number that grows with every start: the counter kept here, or the wall clock's seconds."""
        if not self.epoch_path:
            return wall // 1_000_000
        try:
            with open(self.epoch_path) as file:
                epoch = int(file.read()) + 1
        except (OSError, ValueError):
            epoch = wall // 1_000_000
        self.replace(self.epoch_path, str(epoch).encode())
        return epoch

    def replace(self, path, data):
        with open(f"{path}.new", "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(f"{path}.new", path)

    def keep(self, lines):
        if self.path:
            self.replace(self.path, msgspec.msgpack.encode(lines))

    def read(self):
        """The lines kept last; [] where there are none or the file is not sound."""
        try:
            with open(self.path or os.devnull, "rb") as file:
                return msgspec.msgpack.decode(file.read(), type=list[Line])
        except (OSError, msgspec.DecodeError):
            return []
