"""Fuzzes all network input of a proxy: it is rejected or applied as a whole, and the proxy keeps running."""

import asyncio
import time

import h2.connection
import pytest
from envoy.config.route.v3 import route_components_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.rate_limit_quota.v3 import rlqs_pb2
from google.protobuf.message import DecodeError
from hypothesis import given, settings
from hypothesis import strategies as st
from live import SITE

from foxstep.proxy.client_connection import ClientConnection
from foxstep.proxy.control import ENDPOINT_TYPE, ROUTES_TYPE
from foxstep.proxy.forward import ORCA_TRAILER, parse_orca_report
from foxstep.proxy.listener import Listener
from foxstep.proxy.program import Proxy
from foxstep.proxy.table import ChangeRejected
from foxstep.proxy.upstream import Connection, Pool, TryFailed
from foxstep.site import read_site

SITE_READ = read_site(SITE)
OP_TYPES = [{"name": o.name, "method": ""} for o in SITE_READ.op_types]


class FakeTransport:
    """A transport that records what is written to it."""

    def __init__(self):
        self.written = b""
        self.closed = False

    def write(self, data):
        self.written += data

    def close(self):
        self.closed = True

    def abort(self):
        self.closed = True

    def get_extra_info(self, name):
        return None

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high): ...

    def pause_reading(self): ...

    def resume_reading(self): ...


def talk(protocol, pieces):
    """Feeds the pieces to a protocol until it closes its transport, then reports the connection as lost."""
    transport = FakeTransport()
    protocol.connection_made(transport)
    for piece in pieces:
        if not transport.closed:
            protocol.data_received(piece)
    protocol.connection_lost(None)
    return transport


def frames(client_side, steps):
    """Valid bytes of an HTTP/2 peer, to be corrupted: preface, settings and `steps` requests of a client."""
    config = h2.config.H2Configuration(client_side=client_side, header_encoding=None)
    peer = h2.connection.H2Connection(config)
    peer.initiate_connection()
    out = [peer.data_to_send()]
    if client_side:
        for k in range(steps):
            peer.send_headers(
                2 * k + 1,
                [
                    (b":method", b"POST"),
                    (b":scheme", b"http"),
                    (b":authority", b"x"),
                    (b":path", b"/a.B/look-up"),
                    (b"te", b"trailers"),
                ],
            )
            peer.send_data(2 * k + 1, b"body" * 50, end_stream=True)
            out.append(peer.data_to_send())
    return out


corruptions = st.lists(st.tuples(st.floats(0, 1), st.one_of(st.binary(max_size=40), st.none())), max_size=4)


def corrupt(data, changes):
    """Replaces bytes at relative positions, or deletes some where the replacement is None."""
    data = bytearray(data)
    for where, new in changes:
        at = int(where * len(data))
        if new is None:
            del data[at : at + 7]
        else:
            data[at : at + len(new)] = new
    return bytes(data)


@settings(max_examples=200, deadline=None)
@given(corruptions, st.integers(0, 4), st.integers(1, 60))
def test_bytes_of_a_client(changes, ops, piece):
    async def main():
        seen = []

        async def handle(op):
            seen.append(op)
            op.fail(14, "no server left", 1000)

        listener = Listener(handle)
        data = corrupt(b"".join(frames(True, ops)), changes)
        talk(ClientConnection(listener), [data[k : k + piece] for k in range(0, len(data), piece)])
        await asyncio.sleep(0)
        assert not listener.clients and len(seen) <= ops + 4

    asyncio.run(main())


@settings(max_examples=200, deadline=None)
@given(corruptions, st.binary(max_size=200), st.integers(1, 60))
def test_bytes_of_a_server(changes, rest, piece):
    async def main():
        pool = Pool("127.0.0.1:1", time.monotonic)
        connection = Connection(pool)
        transport = FakeTransport()
        connection.connection_made(transport)
        stream = connection.open_stream(
            [(b":method", b"POST"), (b":scheme", b"http"), (b":path", b"/a/b"), (b":authority", b"x")], True
        )
        data = corrupt(b"".join(frames(False, 0)), changes) + rest
        for k in range(0, len(data), piece):
            if not transport.closed:
                connection.data_received(data[k : k + piece])
        connection.connection_lost(None)
        ended = None
        while not stream.events.empty():
            ended = stream.events.get_nowait()
        assert isinstance(ended, TryFailed) or ended == ("end",), "every try comes to an end"

    asyncio.run(main())


def proxy():
    return Proxy(
        "p",
        "east",
        SITE_READ.settings_map(),
        SITE_READ.name,
        OP_TYPES,
        ["127.0.0.1:9"],
        ["127.0.0.1:1"],
        time.monotonic,
    )


resources = st.lists(
    st.tuples(
        st.one_of(st.text(max_size=30), st.just("xdstp:///x/127.0.0.1:80")),
        st.sampled_from([ENDPOINT_TYPE, ROUTES_TYPE, "type.googleapis.com/x"]),
        st.binary(max_size=40),
    ),
    max_size=4,
)


@settings(max_examples=300)
@given(
    st.sampled_from([ENDPOINT_TYPE, ROUTES_TYPE, "other"]),
    st.text(max_size=60),
    resources,
    st.lists(st.text(max_size=20), max_size=3),
)
def test_table_responses_of_a_controller(kind, info, made, removed):
    one = proxy()
    response = discovery_pb2.DeltaDiscoveryResponse(
        type_url=kind, system_version_info=info, removed_resources=removed
    )
    for name, type_url, value in made:
        resource = response.resources.add(name=name)
        resource.resource.type_url = type_url
        resource.resource.value = value
    held = dict(one.table.lines)
    name = one.table.name
    try:
        one.control.apply_response(response)
    except ChangeRejected:
        assert one.table.lines == held and one.table.name == name
    assert one.forwarder.picker.pick(0) in one.table.lines


@given(st.binary(max_size=120))
def test_quota_responses_of_a_controller(data):
    one = proxy()
    try:
        answer = rlqs_pb2.RateLimitQuotaResponse.FromString(data)
    except DecodeError:
        return
    for action in answer.bucket_action:
        action.bucket_id.bucket["op_type"] = "look-up"
        one.control.apply_quota(action)
    allowed, after = one.forwarder.levels.admit(10**15, "look-up")
    assert allowed or after > 0


@given(st.binary(max_size=80))
def test_orca_report_of_a_server(value):
    load = parse_orca_report([(ORCA_TRAILER, value)])
    assert load is None or load.cpu_utilization is not None


@pytest.mark.parametrize("policy", [b"", b"\x0a\x05reset", b"\x0a\x0bunavailable\x12\x02\x08\x63"])
def test_unusual_retry_policies_give_a_mode(policy):
    from foxstep.proxy.control import retry_mode_of

    assert retry_mode_of(route_components_pb2.RetryPolicy.FromString(policy)) in range(4)
