"""When the list of servers is requested again after requests that failed."""

import pytest

from foxstep.list_subscription import ListSubscription

SECOND = 1_000_000  # microseconds
SITE = {"list_asked": True, "ask_within": 10 * SECOND, "grace": 1_500_000, "cycle": 500_000}


def subscription(fraction=0.5, **changes):
    """A subscription whose first request has been ordered."""
    created = ListSubscription(0, {**SITE, **changes}, lambda: fraction)
    assert list(created.orders(0)) == [("watch", True)]
    return created


def delays_while_unanswered(listed, until):
    """The delays of a list that is lost each time it is requested, at once, up to a time."""
    now = 0
    delays = []
    while now < until:
        listed.lost(now)
        delays.append(listed.due_at - now)
        now = listed.due_at
        assert ("watch", True) in listed.orders(now)
    return delays


@pytest.mark.parametrize("fraction", [0.0, 0.5, 0.999])
@pytest.mark.parametrize("grace", [800_000, 1_500_000, 3_000_000])
def test_requests_after_lost_changes_follow_within_a_small_part_of_the_grace(fraction, grace):
    # Guards against sends to drained servers: the delay must not grow with the number of failures.
    delays = delays_while_unanswered(subscription(fraction, grace=grace), grace)
    assert len(delays) >= 10
    assert max(delays) <= grace / 10


@pytest.mark.parametrize("fraction", [0.0, 0.5, 0.999])
def test_a_service_that_stays_away_is_asked_less_and_less_often(fraction):
    # Guards against a storm of requests to a service that is down for long.
    delays = delays_while_unanswered(subscription(fraction), 600 * SECOND)
    elapsed = 0
    for delay in delays:
        assert delay >= min(elapsed / 20, SITE["ask_within"] / 4) - 1
        assert delay <= SITE["ask_within"] / 2
        elapsed += delay


def test_refused_requests_double_the_delay_up_to_half_of_the_stated_time():
    refused = subscription()
    delays = []
    for _ in range(6):
        refused.failed(0)
        delays.append(refused.due_at / SECOND)
    assert delays == [1, 2, 4, 5, 5, 5]
    refused.received()
    refused.failed(0)
    assert refused.due_at == SECOND


def test_an_answer_ends_the_time_for_which_the_list_was_unknown():
    listed = subscription()
    delays_while_unanswered(listed, 60 * SECOND)
    listed.received()
    listed.lost(61 * SECOND)
    assert listed.due_at - 61 * SECOND <= SITE["grace"] / 10


def test_settings_without_a_grace_do_not_make_requests_follow_without_a_delay():
    # Guards against a loop that never waits.
    for site in ({"grace": 0}, {"grace": -1, "cycle": 1000}):
        assert min(delays_while_unanswered(subscription(0.0, **site), SECOND)) > 0


def test_one_wake_up_is_ordered_for_each_time_that_is_due():
    listed = subscription()
    listed.lost(0)
    due_at = listed.due_at
    assert list(listed.orders(1)) == [("wake", due_at, "list")]
    assert list(listed.orders(2)) == []
    assert list(listed.orders(due_at)) == [("watch", True)]
    assert list(listed.orders(due_at + 1)) == []


def test_a_list_that_arrives_unasked_is_never_requested():
    unasked = ListSubscription(0, {**SITE, "list_asked": False}, lambda: 0.5)
    unasked.lost(0)
    assert list(unasked.orders(60 * SECOND)) == []
