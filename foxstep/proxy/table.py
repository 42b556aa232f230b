"""The proxy's weight table. A change is applied atomically, checked by the hashes of its base and its result.
No I/O.

An entry of the table is called a line: a server and its weight.
"""

from hashlib import blake2b


class ChangeRejected(ValueError):
    """A change was rejected; the message says why. The table is unchanged."""


class StaleEpoch(ChangeRejected):
    """The change is from an older epoch: another controller has served this proxy since."""


def content_hash(lines):
    """BLAKE2b, 16 bytes as hex, over "server weight\\n" sorted by server; weights are whole thousandths."""
    digest = blake2b(digest_size=16)
    for server in sorted(lines):
        digest.update(f"{server} {lines[server]}\n".encode())
    return digest.hexdigest()


EMPTY = content_hash({})


class Table:
    """Starts as a static table (`standing`) without a version, which a controller's first change replaces."""

    def __init__(self, standing=()):
        self.lines = dict.fromkeys(standing, 1000)
        self.name = ""
        self.epoch = 0
        self.changes = self.refusals = 0

    def held(self):
        """server -> weight as sent to a controller on joining; empty for the static table."""
        return dict(self.lines) if self.name else {}

    def apply(self, info, changed, removed):
        """Applies a change and returns its number of lines.

        `info`: "NAME BASE RESULT", the new version and the content hashes before and after; base "-" replaces
        the table. `changed`: server -> weight in thousandths. `removed`: servers. Raises ChangeRejected and
        leaves the table as it was.
        """
        try:
            name, base, result = info.split(" ")
        except ValueError:
            raise ChangeRejected(f'expected "NAME BASE RESULT", got {info[:80]!r}') from None
        if any(not 0 < weight < 2**32 for weight in changed.values()):
            raise ChangeRejected("a weight that is none")
        # Fences off a controller that believes it still owns this proxy: its successor has a later epoch.
        # The old controller learns of it by the rejection.
        epoch_text = name.partition(".")[0]
        epoch = int(epoch_text) if epoch_text.isdecimal() and len(epoch_text) < 20 else 0
        if epoch < self.epoch:
            self.refusals += 1
            raise StaleEpoch(f"epoch {epoch} is over, what is held is of {self.epoch}")
        held = self.held()
        if base != "-" and base != content_hash(held):
            self.refusals += 1
            raise ChangeRejected(
                f"builds on {base}, what is held is {content_hash(held)} {self.name}".rstrip()
            )
        lines = {} if base == "-" else held
        lines.update(changed)
        for server in removed:
            lines.pop(server, None)
        if content_hash(lines) != result:
            self.refusals += 1
            raise ChangeRejected(f"comes to {content_hash(lines)} instead of {result}")
        self.lines = lines
        self.name = name
        self.epoch = epoch
        self.changes += 1
        return len(changed) + len(removed)
