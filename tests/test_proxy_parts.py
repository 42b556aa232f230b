"""The proxy's parts without I/O: picker, retry policy, admission levels, table."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foxstep.proxy.levels import Levels
from foxstep.proxy.pick import Picker
from foxstep.proxy.retries import MAX_RETRY_BUDGET, PROVES_NOT_EXECUTED, RetryPolicy
from foxstep.proxy.table import ChangeRejected, Table, content_hash

SECOND = 1_000_000
weights = st.dictionaries(
    st.sampled_from([f"s{k}" for k in range(12)]),
    st.one_of(st.floats(0.01, 0.1), st.floats(0.5, 4), st.floats(50, 100)),
    min_size=1,
)


@settings(max_examples=150)
@given(weights, st.integers(1, 400), st.integers(0, 99))
def test_each_line_gets_its_share_of_the_picks_but_for_its_first_round_and_one_pick(lines, n, seed):
    picker = Picker(seed)
    picker.set(lines)
    picked = Counter(picker.pick(0) for _ in range(n))
    total = sum(lines.values())
    for server, weight in lines.items():
        assert abs(picked[server] - n * weight / total) <= 2 + len(lines) * weight / total


@settings(max_examples=100)
@given(st.lists(weights, min_size=2, max_size=8), st.integers(5, 40))
def test_picks_follow_the_weights_of_tables_that_change_often(tables, between):
    """Cycles through the same tables: the picks converge to the mean of the tables' shares."""
    picker = Picker(1)
    picked = Counter()
    want = Counter()
    for _ in range(60):
        for lines in tables:
            picker.set(lines)
            for _ in range(between):
                picked[picker.pick(0)] += 1
            total = sum(lines.values())
            want.update({s: between * w / total for s, w in lines.items()})
    n = 60 * len(tables) * between
    for server in want:
        assert abs(picked[server] - want[server]) / n < 0.08


def test_ejection_lasts_the_stated_time_and_never_leaves_no_server():
    picker = Picker(0, eject_after=3, eject_for=5 * SECOND)
    picker.set({"a": 1, "b": 1})
    assert [picker.failed(0, "a") for _ in range(3)] == [False, False, True]
    assert {picker.pick(SECOND) for _ in range(20)} == {"b"}
    assert picker.pick(SECOND, exclude=["b"]) == "a", "nothing else is left"
    after = Counter(picker.pick(5 * SECOND) for _ in range(20))
    assert after == {"a": 10, "b": 10}, "what it missed while it was ejected is not made up"
    picker.failed(0, "b")
    picker.acked("b")
    assert [picker.failed(0, "b") for _ in range(2)] == [False, False]


def test_empty_tables_and_weights_at_or_below_zero():
    picker = Picker()
    assert picker.pick(0) is None
    picker.set({"a": 0, "b": -1})
    assert picker.pick(0) is None
    picker.set({"only": 0.001})
    assert [picker.pick(0) for _ in range(3)] == ["only"] * 3
    assert picker.pick(0, exclude=["only"]) is None
    picker.set({"x": 1})
    assert picker.pick(0) == "x" and len(picker.lines) == 1


EFFECTS = {
    "look": ("retryable", 0, "all"),
    "note": ("deduplicated", 2 * SECOND, "all"),
    "zoned": ("deduplicated", 2 * SECOND, "zone"),
    "pay": ("once-only", 0, "all"),
}


@given(
    st.sampled_from([*EFFECTS, "unheard-of"]),
    st.sampled_from(list(PROVES_NOT_EXECUTED)),
    st.integers(0, 3),
    st.integers(0, 3),
    st.integers(0, 4 * SECOND),
    st.booleans(),
    st.booleans(),
)
def test_no_op_that_might_take_effect_twice_is_retried(
    op_type, failure, mode, retry_count, since, answer_began, replayable
):
    policy = RetryPolicy(EFFECTS, default_mode=1)
    policy.modes[op_type] = mode
    if policy.allow_retry(op_type, failure, retry_count, since, answer_began, replayable):
        assert retry_count < (0, 1, 1, 2)[mode] and not answer_began and replayable
        effect, window, scope = EFFECTS.get(op_type, ("once-only", 0, ""))
        assert PROVES_NOT_EXECUTED[failure] or (
            mode >= 2
            and (effect == "retryable" or (effect == "deduplicated" and scope == "all" and since < window))
        )
    elif not answer_began and replayable and mode and retry_count == 0:
        assert not PROVES_NOT_EXECUTED[failure], "what is proven not to have been executed is tried again"


def test_the_retry_budget_bounds_retries_in_an_overload():
    policy = RetryPolicy(EFFECTS, default_mode=2)
    retries = 0
    for _ in range(1000):
        policy.record_first_try()
        retries += policy.allow_retry("look", "reset", 0, 0, False, True)
    assert retries <= 1000 * 0.2 + MAX_RETRY_BUDGET + 1


@given(st.floats(0.2, 200), st.lists(st.integers(0, SECOND), min_size=1, max_size=300))
def test_a_rate_is_exact_over_every_interval(rate, gaps):
    levels = Levels(1, SECOND)
    now = 0
    let = []
    burst = max(1, round(rate))
    levels.set_rate(0, "look", rate, burst)
    for gap in gaps:
        now += gap
        allowed, after = levels.admit(now, "look")
        if allowed:
            let.append(now)
        else:
            assert 0 < after <= SECOND / rate + 1
    for i in range(0, len(let), 7):
        for j in range(i, len(let), 11):
            assert j - i + 1 <= burst + rate * (let[j] - let[i]) / SECOND + 1e-6


def test_levels_expire_and_give_a_retry_delay():
    levels = Levels(3, 700_000)
    levels.set_rate(0, "pay", 0.0, 1, ttl=5 * SECOND)
    levels.admit(0, "pay")
    assert levels.admit(SECOND, "pay") == (False, 700_000)
    assert levels.admit(5 * SECOND, "pay") == (True, 0)
    levels.set_share("look", 0.25)
    admitted = sum(levels.admit(0, "look")[0] for _ in range(2000))
    assert 400 < admitted < 600
    assert levels.take_counts()["look"] == (admitted, 2000 - admitted) and levels.take_counts() == {}


@given(
    st.lists(
        st.tuples(
            st.booleans(),
            st.dictionaries(st.sampled_from("abcde"), st.integers(1, 9)),
            st.lists(st.sampled_from("abcde")),
        ),
        max_size=20,
    )
)
def test_a_change_is_applied_atomically(steps):
    table = Table(["a", "b"])
    model = {}
    for k, (lies, changed, removed) in enumerate(steps):
        after = {s: w for s, w in {**model, **changed}.items() if s not in removed}
        base = content_hash({"z": 1}) if lies else content_hash(model)
        held = dict(table.lines)
        name = table.name
        try:
            table.apply(f"1.{k} {base} {content_hash(after)}", changed, removed)
            model = after
            assert not lies and table.lines == model and table.name == f"1.{k}"
        except ChangeRejected:
            assert lies and table.lines == held and table.name == name


@pytest.mark.parametrize(
    "info,changed", [("", {}), ("a b", {}), ("1.1 - x", {"a": 1}), ("1.1 - x", {"a": 0})]
)
def test_a_malformed_change_is_rejected_with_a_one_line_message(info, changed):
    with pytest.raises(ChangeRejected) as refused:
        Table().apply(info, changed, [])
    assert "\n" not in str(refused.value)
