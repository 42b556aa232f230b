"""The weights of one group's members, from the module's word of the servers. No I/O.

`standing`: server -> (weight in the shared table, its usual weight, what it surely can do of it) for every
open server; a server that is not named is draining, gone or not on the list.
"""


def whole_system(standing, server):
    """A member without a port is all servers of its address: what they may have together."""
    told = standing.get(server)
    if told is not None or not server.endswith(":0"):
        return told
    host = server[:-2]
    those = [told for ident, told in standing.items() if ident.rpartition(":")[0] == host]
    if not those:
        return None
    weight, usual = sum(w for w, _, _ in those), sum(u for _, u, _ in those)
    return weight, usual, 1.0 if any(w and part == 1 for w, _, part in those) else min(p for *_, p in those)


def advise(members, standing):
    """server -> weight above 0 for a group; `members`: server -> whether it asked for no new work.

    A balancer's load is not told. It is taken to be what fills its group when all of it is there, each member
    with its usual weight: where members are missing, the others get more, so a cold one's weight is cut by
    the part that is there. Guards against a group that has lost members pushing a cold one over. Harm:
    where the balancer's load is light, a cold member gets less than it could do.

    A group whose members are all out has the warm ones of them back that are distrusted, then those that
    asked for no work, then cold ones: none is left without a weight while one is open."""
    known = {s: told for s in members if (told := whole_system(standing, s)) is not None}
    picked = {s: w for s, (w, _, _) in known.items() if w and not members[s]}
    warm = {s: w for s, w in picked.items() if known[s][2] == 1}
    if warm:
        there = sum(known[s][1] for s in picked)
        mean = there / len(picked)  # stands for members whose usual weight is not known
        missing = sum(known[s][1] if s in known else mean for s in members if s not in picked)
        return {s: w if s in warm else w * there / (there + missing) for s, w in picked.items()}
    for those in (
        [s for s in known if known[s][2] == 1 and not members[s]],
        [s for s in known if known[s][2] == 1],
    ):
        if those:
            return {s: known[s][1] for s in those}
    return picked or {s: usual * sure for s, (_, usual, sure) in known.items()}
