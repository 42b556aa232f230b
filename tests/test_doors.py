"""Bad input at each door: one line that names what was wrong and where, and nothing half applied."""

import json
import subprocess
import sys

import _jsonnet
import pytest
from click.testing import CliRunner
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2
from hypothesis import given
from hypothesis import strategies as st

from foxstep.commands.line import main
from foxstep.drills.notation import read_day
from foxstep.simhost import names
from foxstep.site import Trouble, read_site
from foxstep.site.load import EXAMPLES, check_site
from foxstep.xds import resources
from foxstep.xds.listing import InvalidList, read_list
from foxstep.xds.session import Session

TREE = json.loads(_jsonnet.evaluate_file(f"{EXAMPLES}/loopback.jsonnet"))


def test_the_map_has_the_names_that_the_adapter_gives():
    plain = read_site(f"{EXAMPLES}/loopback.jsonnet").plain()
    assert set(plain) == {name for name, _ in names.SITE_FIELDS.values()} | {"op_types"}
    assert set(plain["op_types"][0]) == {name for name, _ in names.OP_TYPE_FIELDS.values()}
    assert plain["cycle"] == 500_000 and plain["op_types"][1]["window"] == 2_000_000


@pytest.mark.parametrize("name", ["care", "docks", "league", "loopback", "morning", "short"])
def test_each_example_gives_what_the_decisions_need(name):
    result = CliRunner().invoke(main, ["check", f"{EXAMPLES}/{name}.jsonnet"])
    assert result.exit_code == 0 and "grace = " in result.output, result.output


@pytest.mark.parametrize(
    "path,value,told",
    [
        ("rules.grace", "2 parsecs", "$.rules.grace: Expected a time with its unit"),
        ("rules.grace", 2, "$.rules.grace: Expected a time with its unit"),
        ("rules.cold_share", 1.5, "$.rules.cold_share: Expected `float` <= 1.0"),
        ("rules.colour", "red", "$.rules: Object contains unknown field `colour`"),
        ("op_types.0.effect", "perhaps", "$.op_types[0].effect: Invalid enum value 'perhaps'"),
        ("op_types.1.window", "0s", "Expected a window for note-down"),
        ("channel.backlog", 3, "Expected channel.backlog to take one whole table"),
        ("proxies.usual_tries", 9, "$.proxies.usual_tries: Expected `int` <= 3"),
        ("zone", "north", "Expected zone to be one of zones"),
    ],
)
def test_a_wrong_setting_is_one_line_with_its_place(path, value, told):
    tree = json.loads(json.dumps(TREE))
    *way, last = path.split(".")
    part = tree
    for step in way:
        part = part[int(step)] if step.isdigit() else part[step]
    part[last] = value
    with pytest.raises(Trouble) as trouble:
        check_site(tree, "site.jsonnet")
    assert told in str(trouble.value) and "\n" not in str(trouble.value)


@pytest.mark.parametrize(
    "text,told",
    [
        ("{ name: 'x', ", "unexpected: end of file"),
        ("local f = import 'nowhere.libsonnet'; f", "nowhere.libsonnet"),
        ("{ name: 'x' }", "missing required field"),
    ],
)
def test_a_file_that_is_no_site_is_one_line_and_exit_2(tmp_path, text, told):
    path = tmp_path / "site.jsonnet"
    path.write_text(text)
    result = CliRunner().invoke(main, ["check", str(path)])
    assert result.exit_code == 2
    assert told in result.output and str(path) in result.output and result.output.count("\n") == 1


@pytest.mark.parametrize(
    "line,told",
    [
        ("at x burst x2 for 3", "expected a number"),
        ("at 3 earthquake 4", "expected one of"),
        ("at 3 crash 2 back", "at T crash N back N"),
        ("tune piano", "no such statement"),
    ],
)
def test_a_wrong_statement_names_its_file_and_line(tmp_path, line, told):
    day = tmp_path / "day.txt"
    day.write_text(f"seconds 10\n\n{line}\n")
    with pytest.raises(Trouble) as trouble:
        read_day(str(day))
    assert f"{day}:3: " in str(trouble.value) and told in str(trouble.value)


def a_list(*servers):
    made = endpoint_pb2.ClusterLoadAssignment(cluster_name="servers")
    for address, port, facts in servers:
        endpoint = made.endpoints.add().lb_endpoints.add()
        endpoint.endpoint.address.socket_address.address = address
        endpoint.endpoint.address.socket_address.port_value = port
        endpoint.metadata.filter_metadata["foxstep"].update(facts)
    response = discovery_pb2.DiscoveryResponse()
    response.resources.add().Pack(made)
    return response


@pytest.mark.parametrize(
    "response,told",
    [
        (discovery_pb2.DiscoveryResponse(), "no assignment"),
        (a_list(), "no server at all"),
        (a_list(("127.0.0.1", 0, {})), "without an address"),
        (a_list(("127.0.0.1", 80, {}), ("127.0.0.1", 80, {})), "listed twice"),
        (a_list(("127.0.0.1", 80, {"started": "yesterday"})), "are numbers"),
    ],
)
def test_an_unsound_list_is_refused_whole(response, told):
    with pytest.raises(InvalidList, match=told):
        read_list(response, "servers", 0)


class Shelf:
    """Resources under a version of their own."""

    def __init__(self):
        self.version = 0

    def __call__(self, kind, names):
        return {
            name: endpoint_pb2.ClusterLoadAssignment(cluster_name=f"{name}@{self.version}") for name in names
        }


doings = st.sampled_from(["ask", "change", "accept", "refuse", "stale"])
words = st.lists(st.tuples(doings, st.integers(0, 3)), max_size=40)


@given(words)
def test_a_session_always_comes_to_what_is_ordered_last(steps):
    """Whatever a client asks, accepts or refuses in whatever order: once it is quiet it holds the newest, and
    each mark is answered at most once."""
    shelf = Shelf()
    session, held, last, marks, answered = Session(shelf, 7), None, None, 0, []
    ask = discovery_pb2.DiscoveryRequest(type_url=resources.ASSIGNMENT_TYPE, resource_names=["x"])

    def read():
        nonlocal last, held
        while (response := session.next_response()) is not None:
            assert last is None or int(response.nonce.split(".")[1]) > int(last.nonce.split(".")[1])
            last, held = response, response.resources[0].value

    def answer(refusal=""):
        request = discovery_pb2.DiscoveryRequest(
            type_url=resources.ASSIGNMENT_TYPE,
            resource_names=["x"],
            response_nonce=last.nonce,
            version_info=last.version_info,
        )
        if refusal:
            request.error_detail.message = refusal
        found = session.handle_request(request)
        if found and found[0] == "accepted":
            answered.extend(found[1])
        return found

    for verb, read_after in steps:
        if verb == "ask":
            session.handle_request(ask)
        elif verb == "change":
            shelf.version += 1
            marks += 1
            session.schedule([resources.ASSIGNMENT_TYPE], [marks])
        elif verb == "stale":
            stale = discovery_pb2.DiscoveryRequest(
                type_url=resources.ASSIGNMENT_TYPE, resource_names=["y"], response_nonce="7.999.0.0"
            )
            assert session.handle_request(stale) is None
        elif last is not None:
            found = answer("no" if verb == "refuse" else "")
            assert found is None or found[0] == ("refused" if verb == "refuse" else "accepted")
        if read_after:
            read()
    session.handle_request(ask)
    read()
    answer()
    assert held == shelf(resources.ASSIGNMENT_TYPE, ["x"])["x"].SerializeToString()
    assert session.next_response() is None
    assert len(answered) == len(set(answered))


def test_the_bench_adapter_imports_none_of_the_programs_libraries():
    heavy = "{'grpc', 'anyio', 'google', 'structlog', 'msgspec', 'click', 'envoy', 'xds', 'pyarrow'}"
    code = f"import sys, foxstep.simhost.host; sys.exit(bool({heavy} & set(sys.modules)))"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
