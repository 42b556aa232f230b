"""One aggregated discovery stream, state of the world: subscriptions, versions, nonces, ACKs. No I/O.

`handle_request(request)` handles a client's request, `schedule(...)` schedules types for a new response, and
`next_response()` returns the responses one by one until None.
Source: the xDS transport protocol, state-of-the-world (SotW) and aggregated variants.
"""

from collections import deque

from envoy.service.discovery.v3 import discovery_pb2

from foxstep.xds import resources

# Make before break: clusters and their endpoints are sent before the routes that refer to them.
ORDER = [resources.LISTENER_TYPE, resources.CLUSTER_TYPE, resources.ASSIGNMENT_TYPE, resources.ROUTES_TYPE]
MAX_RESOURCE_NAMES = 1024  # that one client may subscribe to, by type
MAX_UNANSWERED_RESPONSES = 64  # remembered until they are answered, by type


class TooManyNames(ValueError):
    """The client subscribes to more resource names than any proxy needs."""


def pop_answered(unanswered, nonce):
    """Removes the response with this nonce and all before it, which an ACK or NACK answers too.

    Returns (marks, times at which the responses were ordered, version of the named response), or None for a
    nonce that was never sent or is answered already. `unanswered` holds (nonce, marks, version), oldest
    first; the third field of a nonce is the time at which its response was ordered.
    """
    if nonce not in [sent for sent, _, _ in unanswered]:
        return None
    marks, ordered, version, sent = [], [], None, None
    while sent != nonce:
        sent, sent_marks, version = unanswered.popleft()
        marks += sent_marks
        ordered += [at for at in (int(sent.split(".")[2]),) if at]
    return marks, ordered, version


class BaseSubscription:
    """A client's subscription to one type, in either variant: what is due, and what awaits an answer."""

    def __init__(self):
        self.nonce = ""
        self.unanswered = deque(maxlen=MAX_UNANSWERED_RESPONSES)  # (nonce, marks, version), oldest first
        self.is_due = False
        self.marks = []  # (number, ordered at) of the marks that an ACK of the next response answers
        self.stamp = None  # (time ordered, lines) for the nonce of the next response

    def schedule(self, marks, stamp):
        """Schedules a new response that carries these marks.

        Lines of stamps (time ordered, lines) that are sent together are added up under the first one's time.
        """
        self.is_due = True
        self.marks = [*self.marks, *marks][-MAX_UNANSWERED_RESPONSES:]
        self.stamp = self.stamp and stamp and (self.stamp[0], self.stamp[1] + stamp[1]) or stamp

    def next_nonce(self, epoch, count):
        """Returns the nonce of the response being written, which contains the stamp."""
        ordered_at, lines = self.stamp or (0, 0)
        self.nonce = f"{epoch}.{count}.{ordered_at}.{lines}"
        return self.nonce

    def record_sent(self, version):
        """Records that the scheduled response was sent under the last nonce."""
        self.unanswered.append((self.nonce, self.marks, version))
        self.marks = []
        self.stamp = None


class Subscription(BaseSubscription):
    """A subscription of the state-of-the-world variant."""

    def __init__(self):
        super().__init__()
        self.names = []
        self.version = 0
        self.sent_version = None
        self.sent = None  # the resources as last written, so that only changed ones are written again
        self.rejected = False  # the client sent a NACK and keeps an older version


class Session:
    """One client's state-of-the-world subscriptions.

    `render(type_url, names)` returns the messages by name and leaves unknown names out.
    `version_of(type_url)` returns the version to write, or None.
    """

    def __init__(self, render, epoch, version_of=lambda type_url: None):
        self.render = render
        self.epoch = epoch
        self.response_count = 0
        self.version_of = version_of
        self.subscriptions = {}

    def handle_request(self, request):
        """Handles a DiscoveryRequest.

        Returns ("accepted", marks, times at which the accepted responses were ordered, version) for an ACK,
        ("refused", reason, version) for a NACK, and None if it answers no response. Raises TooManyNames.
        """
        type_url = request.type_url
        if type_url not in ORDER:
            return None  # requests for a type that is not served get no response, as the specification says
        if len(request.resource_names) > MAX_RESOURCE_NAMES:
            raise TooManyNames(
                f"{len(request.resource_names)} resource names asked for, {MAX_RESOURCE_NAMES} at most"
            )
        subscription = self.subscriptions.setdefault(type_url, Subscription())
        names = list(dict.fromkeys(request.resource_names))
        stale = request.response_nonce and request.response_nonce != subscription.nonce
        answer = self.handle_answer(subscription, request) if request.response_nonce else None
        if not stale and names != subscription.names:
            new = [name for name in names if name not in subscription.names]
            subscription.names = names
            if new or not request.response_nonce:
                subscription.is_due = True
                subscription.sent = None
        elif not request.response_nonce:
            subscription.is_due = True
            subscription.sent = None
        return answer

    def handle_answer(self, subscription, request):
        answered = pop_answered(subscription.unanswered, request.response_nonce)
        if answered is None:
            return None
        marks, ordered, version = answered
        subscription.rejected = request.HasField("error_detail")
        if subscription.rejected:
            subscription.sent = None  # the client keeps an older version: all resources are written again
            return "refused", request.error_detail.message, version
        return "accepted", marks, ordered, version

    def schedule(self, type_urls, marks=(), stamp=None):
        """Schedules new responses for these types.

        The marks are answered with the response of the first type, and the stamp (time ordered, lines) goes
        into its nonce. A type without a subscription yet is written when the client subscribes to it.
        """
        for type_url in type_urls:
            self.subscriptions.setdefault(type_url, Subscription()).schedule(marks, stamp)
            marks, stamp = (), None

    def next_response(self):
        for type_url in ORDER:
            subscription = self.subscriptions.get(type_url)
            if subscription is None or not subscription.is_due or not subscription.names:
                continue
            subscription.is_due = False
            rendered = self.render(type_url, subscription.names)
            if not rendered:
                continue  # nothing to send yet: the marks and the stamp go into the first response
            version = self.version_of(type_url)
            if (
                rendered == subscription.sent
                and version == subscription.sent_version
                and not subscription.marks
            ):
                subscription.stamp = None
                continue
            changed = rendered
            if (
                type_url in (resources.ASSIGNMENT_TYPE, resources.ROUTES_TYPE)
                and subscription.sent
                and not subscription.rejected
            ):
                changed = {n: m for n, m in rendered.items() if subscription.sent.get(n) != m} or rendered
            self.response_count += 1
            subscription.version += 1
            response = discovery_pb2.DiscoveryResponse(
                version_info=f"{version or self.epoch}/{subscription.version}",
                type_url=type_url,
                nonce=subscription.next_nonce(self.epoch, self.response_count),
            )
            for message in changed.values():
                response.resources.add().Pack(message)
            subscription.record_sent(version)
            subscription.sent = rendered
            subscription.sent_version = version
            return response
        return None
