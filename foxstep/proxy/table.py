"""The proxy's table: changes are taken whole or not at all, checked by what they build on and come to. No
I/O."""

from hashlib import blake2b


class Refused(ValueError):
    """A change that does not fit, and why."""


class Over(Refused):
    """The change is of an epoch that is over: somebody else has served this proxy since."""


def content_hash(lines):
    """BLAKE2b, 16 bytes as hex, over "server weight\\n" in order of servers; weights are whole
    thousandths."""
    made = blake2b(digest_size=16)
    for server in sorted(lines):
        made.update(f"{server} {lines[server]}\n".encode())
    return made.hexdigest()


EMPTY = content_hash({})


class Table:
    """Begins as a standing table, which is nobody's version: the first change of a controller replaces it."""

    def __init__(self, standing=()):
        self.lines = dict.fromkeys(standing, 1000)
        self.name = ""
        self.epoch = 0
        self.changes = self.refusals = 0

    def held(self):
        """server -> weight as a controller may be told on joining: nothing, of a standing table."""
        return dict(self.lines) if self.name else {}

    def take(self, info, changed, removed):
        """Applies a change: `info` "NAME BASE RESULT", `changed` server -> weight in thousandths, `removed`
        servers. Answers how many lines it was. Raises Refused, and holds what it held."""
        try:
            name, base, result = info.split(" ")
        except ValueError:
            raise Refused(f'expected "NAME BASE RESULT", got {info[:80]!r}') from None
        if any(not 0 < weight < 2**32 for weight in changed.values()):
            raise Refused("a weight that is none")
        # Guards against a controller that believes it still owns this proxy: whoever took over has a later
        # epoch. Harm: none; the one that is refused learns of it by the refusal.
        told = name.partition(".")[0]
        epoch = int(told) if told.isdecimal() and len(told) < 20 else 0
        if epoch < self.epoch:
            self.refusals += 1
            raise Over(f"epoch {epoch} is over, what is held is of {self.epoch}")
        before = self.held()
        if base != "-" and base != content_hash(before):
            self.refusals += 1
            raise Refused(f"builds on {base}, what is held is {content_hash(before)} {self.name}".rstrip())
        lines = {} if base == "-" else before
        lines.update(changed)
        for server in removed:
            lines.pop(server, None)
        if content_hash(lines) != result:
            self.refusals += 1
            raise Refused(f"comes to {content_hash(lines)} instead of {result}")
        self.lines = lines
        self.name = name
        self.epoch = epoch
        self.changes += 1
        return len(changed) + len(removed)
