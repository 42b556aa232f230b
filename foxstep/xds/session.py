"""One aggregated discovery stream, state of the world: subscriptions, versions, nonces, answers. No I/O.

`ask(request)` takes in what the client sends, `due(...)` notes what is to be written, `next_response()` gives
the responses one by one until None. Source: the xDS transport protocol, SotW and aggregated variants.
"""

from collections import deque

from envoy.service.discovery.v3 import discovery_pb2

from foxstep.xds import resources

# Make before break: clusters and their lines before the routes that name them.
ORDER = [resources.LISTENER, resources.CLUSTER, resources.LINES, resources.ROUTES]
MOST_NAMES = 1024  # resource names that one client may ask for, by type
MOST_UNANSWERED = 64  # responses remembered for their answer, by type


class TooMany(ValueError):
    """The client asks for more than a proxy has use for."""


def taken(unanswered, nonce):
    """What is answered with the response of that nonce, it and all before it: (marks, times at which it was
    ordered, its version), or None for a nonce that is none of ours or was answered already. `unanswered`
    holds (nonce, marks, version), oldest first; a nonce's third part is the time that its order was given."""
    if nonce not in [sent for sent, _, _ in unanswered]:
        return None
    marks, ordered, version, sent = [], [], None, None
    while sent != nonce:
        sent, carried, version = unanswered.popleft()
        marks += carried
        ordered += [at for at in (int(sent.split(".")[2]),) if at]
    return marks, ordered, version


class Followed:
    """A type that a client follows, in either form: what is to be written, and what waits for its answer."""

    def __init__(self):
        self.nonce = ""
        self.unanswered = deque(maxlen=MOST_UNANSWERED)  # (nonce, marks, version), oldest first
        self.due, self.marks, self.stamp = False, [], None

    def owe(self, marks, stamp):
        """It is to be written anew, with these marks; the lines of stamps (ordered at, lines) that come
        together add up under the first's time."""
        self.due = True
        self.marks = [*self.marks, *marks][-MOST_UNANSWERED:]
        self.stamp = self.stamp and stamp and (self.stamp[0], self.stamp[1] + stamp[1]) or stamp

    def next_nonce(self, epoch, count):
        """The nonce of the response that is written now: it bears the stamp."""
        ordered_at, lines = self.stamp or (0, 0)
        self.nonce = f"{epoch}.{count}.{ordered_at}.{lines}"
        return self.nonce

    def was_written(self, version):
        """What was owed is on its way under the last nonce."""
        self.unanswered.append((self.nonce, self.marks, version))
        self.marks, self.stamp = [], None


class Subscription(Followed):
    def __init__(self):
        super().__init__()
        self.names, self.version, self.sent_version = [], 0, None
        self.sent = None  # the resources as last written, to write changes only
        self.refused = False  # the client stands on an older version


class Session:
    """`render(type_url, names)` gives the messages by name; those it does not know are left out."""

    def __init__(self, render, epoch, version_of=lambda kind: None):
        self.render, self.epoch, self.count, self.version_of = render, epoch, 0, version_of
        self.subscriptions = {}

    def ask(self, request):
        """Takes a DiscoveryRequest in. Answers ("accepted", marks, times at which what it accepts was
        ordered, version) or ("refused", reason, version); None where it answers nothing."""
        kind = request.type_url
        if kind not in ORDER:
            return None  # a type that we serve nothing of stays unanswered, as the specification has it
        if len(request.resource_names) > MOST_NAMES:
            raise TooMany(f"{len(request.resource_names)} resource names asked for, {MOST_NAMES} at most")
        known = self.subscriptions.setdefault(kind, Subscription())
        names = list(dict.fromkeys(request.resource_names))
        stale = request.response_nonce and request.response_nonce != known.nonce
        answer = self.answer(known, request) if request.response_nonce else None
        if not stale and names != known.names:
            new = [name for name in names if name not in known.names]
            known.names = names
            if new or not request.response_nonce:
                known.due, known.sent = True, None
        elif not request.response_nonce:
            known.due, known.sent = True, None
        return answer

    def answer(self, known, request):
        found = taken(known.unanswered, request.response_nonce)
        if found is None:
            return None
        marks, ordered, version = found
        known.refused = request.HasField("error_detail")
        if known.refused:
            known.sent = None  # what it holds is older: all of it is to be written again
            return "refused", request.error_detail.message, version
        return "accepted", marks, ordered, version

    def due(self, kinds, marks=(), stamp=None):
        """Notes that types are to be written anew. The marks are answered with the first that is asked for;
        the stamp (ordered at, lines) goes into its nonce. What is not asked for yet is written when it is."""
        for kind in kinds:
            self.subscriptions.setdefault(kind, Subscription()).owe(marks, stamp)
            marks, stamp = (), None

    def next_response(self):
        for kind in ORDER:
            known = self.subscriptions.get(kind)
            if known is None or not known.due or not known.names:
                continue
            known.due = False
            made = self.render(kind, known.names)
            if not made:
                continue  # nothing to say yet: the marks and the stamp go with what is said first
            version = self.version_of(kind)
            if made == known.sent and version == known.sent_version and not known.marks:
                known.stamp = None
                continue
            changed = made
            if kind in (resources.LINES, resources.ROUTES) and known.sent and not known.refused:
                changed = {n: m for n, m in made.items() if known.sent.get(n) != m} or made
            self.count += 1
            known.version += 1
            response = discovery_pb2.DiscoveryResponse(
                version_info=f"{version or self.epoch}/{known.version}",
                type_url=kind,
                nonce=known.next_nonce(self.epoch, self.count),
            )
            for message in changed.values():
                response.resources.add().Pack(message)
            known.was_written(version)
            known.sent, known.sent_version = made, version
            return response
        return None
