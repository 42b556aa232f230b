"""The weights of one group's members, computed from the decision module's values for the servers. No I/O.

`server_weights`: server -> (weight in the shared table, usual weight, fraction of it that the server can
safely do) for every open server; a server that is missing is draining, gone or not on the list.
"""


def member_values(server_weights, server):
    """The values of a member, or None if it is not open. A member without a port (":0") stands for all
    servers of its address: it gets the sum of their weights."""
    own = server_weights.get(server)
    if own is not None or not server.endswith(":0"):
        return own
    host = server[:-2]
    matching = [values for ident, values in server_weights.items() if ident.rpartition(":")[0] == host]
    if not matching:
        return None
    weight = sum(w for w, _, _ in matching)
    usual = sum(u for _, u, _ in matching)
    return (
        weight,
        usual,
        1.0 if any(w and warm == 1 for w, _, warm in matching) else min(warm for *_, warm in matching),
    )


def group_weights(members, server_weights):
    """server -> weight above 0 for a group; `members`: server -> whether it asked for no new work (quiesced).

    A balancer's load is not known. It is assumed to be what uses the whole group while all members have their
    usual weights: where members are missing, the others get more, so a cold member's weight is reduced to the
    fraction of the group that is present. Guards against a group with missing members overloading a cold one.
    Drawback: where the balancer's load is light, a cold member gets less than it could do.

    If no warm member may be picked, warm members that are withdrawn are used, then warm ones that are
    quiesced, then cold ones: a group with an open member always has one with a weight."""
    known = {s: values for s in members if (values := member_values(server_weights, s)) is not None}
    picked = {s: w for s, (w, _, _) in known.items() if w and not members[s]}
    warm = {s: w for s, w in picked.items() if known[s][2] == 1}
    if warm:
        present = sum(known[s][1] for s in picked)
        mean = present / len(picked)  # stands for members whose usual weight is not known
        missing = sum(known[s][1] if s in known else mean for s in members if s not in picked)
        return {s: w if s in warm else w * present / (present + missing) for s, w in picked.items()}
    for candidates in (
        [s for s in known if known[s][2] == 1 and not members[s]],
        [s for s in known if known[s][2] == 1],
    ):
        if candidates:
            return {s: known[s][1] for s in candidates}
    return picked or {s: usual * warm_fraction for s, (_, usual, warm_fraction) in known.items()}
