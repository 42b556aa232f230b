"""Combines a pinned table with the current orders of the decision module. No I/O.

The module goes on deciding while a pin is in force. Its own table for the proxy is the ordinary one, and
`allowed` (server -> fraction of its usual weight that it may have now, 1 for a warm and trusted server)
restricts the pinned table.
"""


def compose(pinned, ordinary, allowed):
    """Lines (server -> weight) for a proxy that is pinned to `pinned`.

    A pinned line stays while its server may have its full weight. A server that may have only a fraction (it
    is cold or on trial) gets at most the share that the ordinary table gives it. Lines that are removed are
    replaced by as many ordinary lines, so that the remaining servers do not receive all of the traffic. This
    keeps the rules in force even for a version half of whose servers are gone. The drawback: on a fleet that
    was replaced, a pin keeps hardly anything of the version that it names.
    """
    kept = {s: w for s, w in pinned.items() if allowed.get(s, 0) >= 1}
    full = {s: w for s, w in ordinary.items() if allowed.get(s, 0) >= 1}
    if not full and not kept:
        return dict(ordinary)  # no server may have its full weight: the module's own table
    replacements = [s for s in full if s not in pinned]
    missing = len(pinned) - len(kept)
    scale = mean(kept) / mean(full) if kept and full else 1.0
    lines = {**kept, **{s: round(full[s] * scale, 4) for s in replacements[:missing]}}
    # A restricted server gets the same share of these lines as it has of the ordinary full ones.
    ordinary_sum, lines_sum = sum(full.values()), sum(lines.values())
    for server, weight in ordinary.items():
        if server not in full and server in pinned and allowed.get(server, 0) > 0 and ordinary_sum:
            lines[server] = round(weight / ordinary_sum * lines_sum, 4)
    return lines


def mean(lines):
    return sum(lines.values()) / len(lines)
