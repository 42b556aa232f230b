"""The printed results of a drill, from an audit with given findings."""

from collections import Counter
from types import SimpleNamespace

import pytest

from foxstep.commands.drill_report import show_results


def audit(**findings):
    """An audit without findings but the given ones."""
    values = {
        "verdicts": [verdict()],
        "pick_statistics": (0.0, 0, 0.0),
        "rollback_convergence": [],
        "ownership_gaps": [],
        "epoch_violations": (7, []),
        "zone_recoveries": [],
        "estimate_errors": {},
        "earnings_ratios": {
            ("look-up", 0): 0.5,
            ("look-up", "all"): 0.75,
            ("all", 0): 1.0,
            ("all", "all"): 1.0,
        },
        "outcome_counts": Counter(acked=3, aborted=1),
        "refused_answers": [],
        **findings,
    }
    return SimpleNamespace(begin=100.0, **{name: lambda value=value: value for name, value in values.items()})


def verdict(violations=0):
    """A verdict on rule 3 with so many violations."""
    return SimpleNamespace(
        rule=3, summary="2 drains", violations=[(101.0 + k, f"sent to s-{k}") for k in range(violations)]
    )


def test_results_without_findings_pass(capsys):
    assert show_results(audit(), 0.1) is True
    assert capsys.readouterr().out.splitlines() == [
        "  rule 3 drains kept                 kept    2 drains",
        "  service                    0 s    all",
        "    look-up               0.500  0.750",
        "    all                   1.000  1.000",
        "  outcomes: {'acked': 3, 'aborted': 1}; refused tables: 0",
    ]


@pytest.mark.parametrize("violations, more", [(3, []), (4, ["         (and 1 more)"])])
def test_violations_beyond_those_shown_are_counted(capsys, violations, more):
    # Guards against a count that is never printed: it was compared with a list.
    assert show_results(audit(verdicts=[verdict(violations)]), 0.1) is False
    assert capsys.readouterr().out.splitlines()[: 4 + len(more)] == [
        "  rule 3 drains kept                 BROKEN  2 drains",
        "            1.0 s: sent to s-0",
        "            2.0 s: sent to s-1",
        "            3.0 s: sent to s-2",
        *more,
    ]


@pytest.mark.parametrize(
    "findings, passed, line",
    [
        (
            {"pick_statistics": (9.0, 4, 8.0)},
            False,
            "  picks against weights: chi-square 9 on 4 degrees (bound 8)",
        ),
        (
            {"rollback_convergence": [(105.0, 4, 2.0, 0.5, 3.0, 5, ["p1"])]},
            False,
            "  rollback at 5.0 s to 4: 5 proxies hold it after 3.00 s (LATER than the bound 2.00 s, 0.50 s "
            "of it the controller's absence), 1 do not: p1",
        ),
        (
            {"ownership_gaps": [("kill", 1.0, 4, 2.0), ("stop", 3.0, 5, 2.0)]},
            True,
            "  without an owner, after 2 kills and stops: 1 within their bound; worst 3.00 s, 5 proxies, "
            "stop (bound 2.00 s)",
        ),
        ({"epoch_violations": (7, [(103.0, "old")])}, False, "  FENCE 3.0 s: old"),
        (
            {"zone_recoveries": [(1.0, 4, 2.0, 0)]},
            True,
            "  7 tables accepted, none of a superseded epoch",
        ),
        (
            {"zone_recoveries": [(1.0, 4, 2.0, 1)]},
            False,
            "  at home again after notes arrive: 4 proxies were elsewhere, the last 1.00 s later "
            "(bound 2.00 s), 1 NEVER",
        ),
        (
            {"estimate_errors": {"rate": [(101.0, 0.05), (102.0, 0.2)], "none": []}},
            False,
            "  rate     off by 20.0% (p99), 20.0% (max), at 2.0 s (MORE than the stated 10%)",
        ),
    ],
)
def test_each_finding_is_printed_and_judged(capsys, findings, passed, line):
    assert show_results(audit(**findings), 0.1) is passed
    assert line in capsys.readouterr().out.splitlines()


def test_the_baseline_stands_below_the_service(capsys):
    baseline = audit(earnings_ratios={("look-up", 0): 0.25, ("look-up", "all"): 0.5})
    assert show_results(audit(), 0.1, baseline) is True
    assert "      even baseline       0.250  0.500" in capsys.readouterr().out.splitlines()
