"""How a pinned table and the module's orders compose. No I/O.

The module goes on deciding; its own table for the proxy is the ordinary one, and its word of which servers
may be picked now (`allowed`: server -> part of its usual weight, 1 for a warm and trusted one) cuts any
other."""


def compose(pinned, ordinary, allowed):
    """Lines (server -> weight) for a proxy that is pinned to `pinned`.

    A pinned line stays while its server may have its full weight. A server that may only have a part (cold,
    or on trial) gets the share that the ordinary table gives it, no more. What is cut is made up by as many
    ordinary lines, so that what is left is not brought all. Guards against a version whose servers are half
    gone: rules beat versions. Harm: on a fleet that was replaced, a pin holds hardly anything of what it
    names."""
    kept = {s: w for s, w in pinned.items() if allowed.get(s, 0) >= 1}
    full = {s: w for s, w in ordinary.items() if allowed.get(s, 0) >= 1}
    if not full and not kept:
        return dict(ordinary)  # no server that may have its full weight: the module's word alone
    spare = [s for s in full if s not in pinned]
    missing = len(pinned) - len(kept)
    scale = mean(kept) / mean(full) if kept and full else 1.0
    made = {**kept, **{s: round(full[s] * scale, 4) for s in spare[:missing]}}
    # A part's share is the ordinary table's: part / full there, times what is full here.
    whole, here = sum(full.values()), sum(made.values())
    for server, weight in ordinary.items():
        if server not in full and server in pinned and allowed.get(server, 0) > 0 and whole:
            made[server] = round(weight / whole * here, 4)
    return made


def mean(lines):
    return sum(lines.values()) / len(lines)
