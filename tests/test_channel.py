"""Channel and desired state: limits hold and no order is lost, in whatever sequence orders arrive."""

from hypothesis import given, settings
from hypothesis import strategies as st

from foxstep.live.channel import Channel
from foxstep.live.desired_state import DesiredState

HEAD = 3  # lines
OP_TYPE_COUNT = 2
PROXIES, TABLES, SERVERS = ["p", "q", "r"], ["t", "u"], ["a", "b", "c", "d"]

orders = st.one_of(
    st.tuples(
        st.just("weigh"), st.sampled_from(TABLES), st.sampled_from(SERVERS), st.sampled_from([0, 0.5, 1, 2])
    ),
    st.tuples(st.just("bind"), st.sampled_from(PROXIES), st.sampled_from(TABLES), st.integers(0, 3)),
    st.tuples(
        st.just("admit"),
        st.sampled_from([*TABLES, None]),
        st.integers(0, 3),
        st.sampled_from([0.2, 5.0]),
        st.integers(0, 2),
    ),
    st.tuples(st.just("withdraw"), st.sampled_from(SERVERS), st.booleans()),
    st.tuples(st.just("empty"), st.sampled_from(TABLES)),
    st.tuples(st.just("mark"), st.integers(0, 9), st.booleans()),
    st.tuples(st.just("join"), st.sampled_from(PROXIES)),
    st.tuples(st.just("leave"), st.sampled_from(PROXIES)),
    st.tuples(st.just("pause"), st.integers(0, 400_000)),
    st.tuples(st.just("batch")),
)


def ordered_lines(desired, proxy, index):
    """The lines that were ordered for a proxy, computed from the tables as ordered."""
    table = desired.bindings[proxy][index]
    if table is None:
        return None
    return {s: w for s, w in desired.lines.get(table, {}).items() if s not in desired.withdrawn}


@settings(max_examples=300, deadline=None)
@given(st.lists(orders, max_size=60), st.integers(12, 60), st.sampled_from([0, 2]))
def test_limits_hold_and_all_orders_arrive(steps, backlog, max_messages):
    window = 1_000_000
    desired, channel, now = (
        DesiredState(OP_TYPE_COUNT, HEAD),
        Channel(100, backlog, max_messages, window),
        5_000_000,
    )
    written = {}

    def send():
        while (message := channel.take(now)) is not None:
            desired.holdings[message.proxy].apply(message)
            times = written.setdefault(message.proxy, [])
            times.append(now)
            recent = [t for t in times if t > now - window]
            assert not max_messages or len(recent) <= max_messages

    def close():
        for message in desired.close_batch():
            channel.offer(now, message)
            assert channel.lines_waiting(now) <= backlog
            assert channel.waiting == sum(m.cost for m in channel.queue.values())

    for verb, *args in steps:
        if verb == "join" and args[0] not in desired.bindings:
            desired.join(args[0])
        elif verb == "leave":
            channel.drop(args[0])
            desired.leave(args[0])
            written.pop(args[0], None)
        elif verb == "pause":
            now += args[0]
        elif verb == "batch":
            close()
        elif verb not in ("join", "leave"):
            getattr(desired, verb)(now, *args)
        if verb in ("pause", "batch"):
            send()
    close()
    for _ in range(400):  # every message is sent in the end, as each of them fits into the backlog alone
        now += 100_000
        send()
    assert not channel.queue or max(m.cost for m in channel.queue.values()) > backlog
    assert all(m.cost > backlog for m in channel.deferred.values()), "deferred although there is room"
    for proxy, holding in desired.holdings.items():
        if proxy not in channel.deferred:
            for index in range(OP_TYPE_COUNT):
                held, want = holding.lines_of(index), ordered_lines(desired, proxy, index)
                assert (held or {}) == (want or {}) and (held is None) == (want is None)
                if proxy not in desired.unaddressed:
                    assert holding.level_of(index) == expected_level(desired, proxy, index)


def expected_level(desired, proxy, index):
    own = desired.levels.get(desired.bindings[proxy][index], {}).get(index)
    common = desired.levels.get(None, {}).get(index)
    if own is None or common is None:
        return own or common
    return min(own[0], common[0]), own[1]


def test_the_channel_keeps_its_rate_and_merges_messages_to_one_proxy():
    desired, channel = DesiredState(1, 4), Channel(lines_per_s=100, backlog=1000)
    for proxy in "pq":
        desired.join(proxy)
        desired.bind(0, proxy, proxy, 0)
        for server in "abcdef":
            desired.weigh(0, proxy, server, 1)
    for message in desired.close_batch():
        channel.offer(0, message)
    assert channel.waiting == 2 * (4 + 1 + 6)
    assert channel.take(0).proxy == "p" and channel.take(0) is None
    desired.weigh(0, "q", "a", 0)
    desired.weigh(0, "q", "b", 2)
    for message in desired.close_batch():
        channel.offer(0, message)
    assert channel.waiting == 11 and channel.next_at(0) == 110_000
    assert channel.take(109_999) is None
    last = channel.take(110_000)
    assert last.whole and last.lines["q", "a"] == 0 and last.lines["q", "b"] == 2
