"""Invalid input from files, list services and clients: one-line errors, and nothing applied in part."""

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
from foxstep.site import InputError, read_site
from foxstep.site.load import EXAMPLES, check_site
from foxstep.xds import resources
from foxstep.xds.listing import InvalidList, read_list
from foxstep.xds.session import Session

LOOPBACK_SITE = json.loads(_jsonnet.evaluate_file(f"{EXAMPLES}/loopback.jsonnet"))


def test_site_settings_have_the_same_names_as_those_of_the_simulator_adapter():
    settings = read_site(f"{EXAMPLES}/loopback.jsonnet").settings_map()
    assert set(settings) == {name for name, _ in names.SITE_FIELDS.values()} | {"op_types"}
    assert set(settings["op_types"][0]) == {name for name, _ in names.OP_TYPE_FIELDS.values()}
    assert settings["cycle"] == 500_000 and settings["op_types"][1]["window"] == 2_000_000


@pytest.mark.parametrize("name", ["care", "docks", "league", "loopback", "morning", "short"])
def test_check_command_accepts_each_example(name):
    result = CliRunner().invoke(main, ["check", f"{EXAMPLES}/{name}.jsonnet"])
    assert result.exit_code == 0 and "grace = " in result.output, result.output


@pytest.mark.parametrize(
    "path,value,message",
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
def test_invalid_setting_is_reported_in_one_line_with_its_path(path, value, message):
    tree = json.loads(json.dumps(LOOPBACK_SITE))
    *parents, last = path.split(".")
    node = tree
    for key in parents:
        node = node[int(key)] if key.isdigit() else node[key]
    node[last] = value
    with pytest.raises(InputError) as error:
        check_site(tree, "site.jsonnet")
    assert message in str(error.value) and "\n" not in str(error.value)


@pytest.mark.parametrize(
    "text,message",
    [
        ("{ name: 'x', ", "unexpected: end of file"),
        ("local f = import 'nowhere.libsonnet'; f", "nowhere.libsonnet"),
        ("{ name: 'x' }", "missing required field"),
    ],
)
def test_invalid_site_file_gives_one_line_and_exit_code_2(tmp_path, text, message):
    path = tmp_path / "site.jsonnet"
    path.write_text(text)
    result = CliRunner().invoke(main, ["check", str(path)])
    assert result.exit_code == 2
    assert message in result.output and str(path) in result.output and result.output.count("\n") == 1


@pytest.mark.parametrize(
    "line,message",
    [
        ("at x burst x2 for 3", "expected a number"),
        ("at 3 earthquake 4", "expected one of"),
        ("at 3 crash 2 back", "at T crash N back N"),
        ("tune piano", "no such statement"),
    ],
)
def test_invalid_drill_statement_is_reported_with_its_file_and_line(tmp_path, line, message):
    day = tmp_path / "day.txt"
    day.write_text(f"seconds 10\n\n{line}\n")
    with pytest.raises(InputError) as error:
        read_day(str(day))
    assert f"{day}:3: " in str(error.value) and message in str(error.value)


def list_response(*servers):
    """A list service's response with servers given as (address, port, metadata)."""
    assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name="servers")
    for address, port, metadata in servers:
        endpoint = assignment.endpoints.add().lb_endpoints.add()
        endpoint.endpoint.address.socket_address.address = address
        endpoint.endpoint.address.socket_address.port_value = port
        endpoint.metadata.filter_metadata["foxstep"].update(metadata)
    response = discovery_pb2.DiscoveryResponse()
    response.resources.add().Pack(assignment)
    return response


@pytest.mark.parametrize(
    "response,message",
    [
        (discovery_pb2.DiscoveryResponse(), "no assignment"),
        (list_response(), "no server at all"),
        (list_response(("127.0.0.1", 0, {})), "without an address"),
        (list_response(("127.0.0.1", 80, {}), ("127.0.0.1", 80, {})), "listed twice"),
        (list_response(("127.0.0.1", 80, {"started": "yesterday"})), "are numbers"),
    ],
)
def test_invalid_server_list_is_rejected_as_a_whole(response, message):
    with pytest.raises(InvalidList, match=message):
        read_list(response, "servers", 0)


class VersionedResources:
    """A resource source whose resources carry the current version in their names."""

    def __init__(self):
        self.version = 0

    def __call__(self, kind, names):
        return {
            name: endpoint_pb2.ClusterLoadAssignment(cluster_name=f"{name}@{self.version}") for name in names
        }


actions = st.sampled_from(["ask", "change", "accept", "refuse", "stale"])
scripts = st.lists(st.tuples(actions, st.integers(0, 3)), max_size=40)


@given(scripts)
def test_client_ends_with_the_newest_resource_after_any_sequence_of_requests(steps):
    """Whatever a client requests, accepts or rejects, in any order: at the end it holds the newest resource
    and each mark is acknowledged at most once."""
    resource_source = VersionedResources()
    session = Session(resource_source, 7)
    held = None
    last = None
    marks = 0
    acknowledged = []
    subscribe = discovery_pb2.DiscoveryRequest(type_url=resources.ASSIGNMENT_TYPE, resource_names=["x"])

    def read():
        nonlocal last, held
        while (response := session.next_response()) is not None:
            assert last is None or int(response.nonce.split(".")[1]) > int(last.nonce.split(".")[1])
            last, held = response, response.resources[0].value

    def acknowledge(rejection=""):
        request = discovery_pb2.DiscoveryRequest(
            type_url=resources.ASSIGNMENT_TYPE,
            resource_names=["x"],
            response_nonce=last.nonce,
            version_info=last.version_info,
        )
        if rejection:
            request.error_detail.message = rejection
        result = session.handle_request(request)
        if result and result[0] == "accepted":
            acknowledged.extend(result[1])
        return result

    for action, read_after in steps:
        if action == "ask":
            session.handle_request(subscribe)
        elif action == "change":
            resource_source.version += 1
            marks += 1
            session.schedule([resources.ASSIGNMENT_TYPE], [marks])
        elif action == "stale":
            stale = discovery_pb2.DiscoveryRequest(
                type_url=resources.ASSIGNMENT_TYPE, resource_names=["y"], response_nonce="7.999.0.0"
            )
            assert session.handle_request(stale) is None
        elif last is not None:
            result = acknowledge("no" if action == "refuse" else "")
            assert result is None or result[0] == ("refused" if action == "refuse" else "accepted")
        if read_after:
            read()
    session.handle_request(subscribe)
    read()
    acknowledge()
    assert held == resource_source(resources.ASSIGNMENT_TYPE, ["x"])["x"].SerializeToString()
    assert session.next_response() is None
    assert len(acknowledged) == len(set(acknowledged))


def test_simulator_adapter_imports_no_third_party_libraries_of_the_program():
    libraries = "{'grpc', 'anyio', 'google', 'structlog', 'msgspec', 'click', 'envoy', 'xds', 'pyarrow'}"
    code = f"import sys, foxstep.simhost.host; sys.exit(bool({libraries} & set(sys.modules)))"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
