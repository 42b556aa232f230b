"""`foxstep measure-joining` runs at a small size and reports its figures. The figures are not judged."""

from test_scenarios import default_site

from foxstep.balance import Controller
from foxstep.measure.joining import run


def test_a_small_fleet_joins_and_reports():
    figures = run(proxies=20, servers=10, core_fraction=0.5, seconds=1)
    assert figures["proxies"] == 20 and figures["seconds_until_all_hold_a_table"] > 0
    assert {"reading", "deciding", "composing", "channel", "encoding"} <= figures["joining_ms"].keys()


def test_proxies_that_left_long_ago_are_forgotten():
    # Guards against memory that grows without end while a client joins under ever new names (picture b).
    second = 1_000_000
    now = 100 * second
    controller = Controller(now, default_site(), 7)
    controller.listed(now, "whole", [("a", "east", "std", 0, "open", 1.0, 0)])
    for number in range(500):
        controller.joined(now, f"name-{number}", "east", 1.0, True)
        while controller.next_order(now):
            pass
        controller.left(now, f"name-{number}")
    for _ in range(1200):
        now += second
        controller.woken(now, "period")
        while controller.next_order(now):
            pass
    assert len(controller.proxies) < 100
