"""`foxstep measure-joining` runs at a small size and reports its figures. The figures are not judged."""

from foxstep.measure.joining import run


def test_a_small_fleet_joins_and_reports():
    figures = run(proxies=20, servers=10, core_fraction=0.5, seconds=1)
    assert figures["proxies"] == 20 and figures["seconds_until_all_hold_a_table"] > 0
    assert {"reading", "deciding", "composing", "channel", "encoding"} <= figures["joining_ms"].keys()
