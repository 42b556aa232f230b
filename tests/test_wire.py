"""The simulator's protocol: settings, batches in and lines out, and errors in malformed lines."""

import io

import pytest

from foxstep.simhost import names, wire
from foxstep.simhost.host import ORDERS, Host

START = (
    "ENLIST\tcontrollerId=3\trandomSeed=8\tbalancers=1\tdiscovery=subscribe\tfamilyInfo.cycle=500.0\t"
    "familyInfo.levelKind=per_second\tfamilyInfo.backlog=2000.0\tguarantees.rampTime=18000.0\treport.fields=cpu,"
    "waiting\tsomething.new=1\tservices.count=1\tservices.0.name=roster-read\tservices.0.objective=2000.0\t"
    "services.0.deadline=5000.0\tservices.0.effect=idempotency_key\tservices.0.worth=2.0"
)
LIST = [
    "POOL\ttable=0\trows=2",
    "ENTRY\tbackend=10.0.0.1:80\tarea=x\tgenerationHw=k\tcell=0\tcondition=in_service\tw=1\tonlineSince=6.5",
    "ENTRY\tbackend=10.0.0.2:80\tarea=x\tgenerationHw=k\tcell=0\tcondition=in_service\tw=1.5",
    "PEERS_KNOWN\tcontrollerId=3\thow=Persisted\tepoch=4\ttable=0",
]


@pytest.fixture
def errors():
    return io.StringIO()


@pytest.fixture
def host(errors):
    return Host(errors=errors)


def replies(host, *batches):
    """The reply lines to each (clock, lines) batch."""
    text = "".join("\n".join([f"FRAME\tclock={clock}", *lines, "FLUSH", ""]) for clock, lines in batches)
    sink = io.BytesIO()
    host.run(io.BytesIO(text.encode()), sink)
    return [part.splitlines() for part in sink.getvalue().decode().split("OK\n")][:-1]


def test_settings_get_the_names_of_the_module():
    site = names.parse_site(wire.read_line(START)[1])
    assert site["cycle"] == 500_000 and site["level"] == "rate" and site["list_asked"] is True
    assert site["reports"] == ["busy", "waiting"] and "something.new" not in site
    assert site["op_types"] == [
        {
            "name": "roster-read",
            "target_latency": 2_000_000,
            "op_timeout": 5_000_000,
            "effect": "deduplicated",
            "earnings": 2.0,
        }
    ]


@pytest.mark.parametrize(
    "order, line",
    [
        (("wake", 8_912_250, "period"), "SLEEP\tmoment=8912.25\tmark=period"),
        (("weigh", 4, "10.0.0.1:80", 0.75), "WEIGH\tmapId=4\tbackend=10.0.0.1:80\tw=0.75"),
        (("admit", 65535, 2, 1.0, 0), "ADMIT\tmapId=65535\tmask=2\tquota=1\tonFailure=0"),
        (("tell", None, b"hi"), "ANNOUNCE\ttarget=all\tdata=6869"),
        (("note", "two\tservers\nknown"), "REMARK\tmsg=two servers known"),
        (("withdraw", "10.0.0.1:80", True), "BENCH\tbackend=10.0.0.1:80\ton=1"),
    ],
)
def test_orders_are_written_and_read_back(order, line):
    name, *pairs = ORDERS[order[0]](*order[1:])
    written = wire.write_line(name, *pairs)
    assert written == line
    assert wire.read_line(written) == (name, {field: str(value) for field, value in pairs})


def test_start_join_and_restart(host, errors):
    first, joined, empty, restarted = replies(
        host,
        (1.0, [START, *LIST]),
        (2.0, ["JOINED\tcontrollerId=3\tproxy=4\tarea=x\tw=6.5\ton=1"]),
        (3.0, []),
        (4.0, ["CRASH_NOW\tcontrollerId=3", START, *LIST]),
    )
    assert any(line.startswith("OBSERVE\tcontrollerId=3") for line in first)
    assert [line for line in joined if line.startswith("HAND_TABLE")] == [
        "HAND_TABLE\tcontrollerId=3\tproxy=4\tmapId=4\tmask=0"
    ]
    assert empty == [] and any(line.startswith("OBSERVE") for line in restarted) and errors.getvalue() == ""


def test_malformed_and_unknown_lines_are_reported_and_skipped(host, errors):
    replies(
        host,
        (
            1.0,
            [
                START,
                *LIST,
                "NONSENSE\tcontrollerId=3",
                "USAGE\tcontrollerId=3\tproxy=x",
                "LEASED\tcontrollerId=3\tmapId=1\ton=1",
                "TICK_DUE\tcontrollerId=9\tmark=a",
            ],
        ),
    )
    reported = errors.getvalue()
    assert (
        "NONSENSE" in reported
        and "USAGE" in reported
        and "controller 9" in reported
        and "LEASED" not in reported
    )


def test_an_exception_of_the_module_is_reported_in_one_line(errors):
    class Broken:
        def __init__(self, now, site, seed):
            raise RuntimeError("first\nsecond")

    (reply,) = replies(Host(make_controller=Broken, errors=errors), (1.0, [START]))
    assert reply == ["DIE\tcontrollerId=3\tmsg=RuntimeError: first second"]


def test_no_table_is_assigned_where_there_are_slices(host):
    (_, joined) = replies(
        host,
        (1.0, [START + "\tfamilyInfo.shards=8", *LIST]),
        (2.0, ["JOINED\tcontrollerId=3\tproxy=4\tarea=x\tw=6.5\ton=1"]),
    )
    assert not any(line.startswith(("HAND_TABLE", "WEIGH", "ADMIT")) for line in joined)


def test_a_list_is_resolved_when_it_is_named(host):
    (reply, joined) = replies(
        host,
        (
            1.0,
            [
                START,
                *LIST,
                "POOL\ttable=0\trows=0",
                "PEERS_KNOWN\tcontrollerId=3\thow=Complete\tepoch=5\ttable=0",
            ],
        ),
        (2.0, ["JOINED\tcontrollerId=3\tproxy=4\tarea=x\tw=6.5\ton=1"]),
    )
    assert not any(line.startswith("WEIGH") for line in reply + joined)
