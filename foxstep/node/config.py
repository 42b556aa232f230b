"""The node's configuration file, read at the start and on SIGHUP and applied only if all of it is valid."""

import re
from math import isfinite
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from foxstep.simhost import names

ADDRESS_PATTERN = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})")
PositiveFloat = Annotated[float, Meta(gt=0)]
PositiveInt = Annotated[int, Meta(ge=1)]
# Settings that the controller requires in addition to the op types.
REQUIRED_SETTINGS = (
    "controllers",
    "me",
    "zones",
    "cycle",
    "grace",
    "head",
    "lines_per_s",
    "backlog",
    "proxies",
    "step",
)


class ConfigError(ValueError):
    """Configuration or list of servers that is invalid; the message gives the reason in one line."""


class Limits(msgspec.Struct):
    """Resources that the program may use: CPU cores, memory in MiB, and socket descriptors."""

    cores: PositiveFloat = 1.0
    memory_mb: PositiveFloat = 2048.0
    sockets: PositiveInt = 4096


class Server(msgspec.Struct):
    """One server of discovery's list. `since_ms` is the wall-clock time of its start, 0 for long ago."""

    name: Annotated[str, Meta(min_length=1, max_length=256)]
    address: str
    zone: str
    status: str
    type: str = ""
    group: int = 0
    weight: float = 1.0
    since_ms: float = 0.0


class ServerList(msgspec.Struct):
    """Discovery's answer: the full list (`snapshot`) or the servers that changed, as of version `index`."""

    index: int
    snapshot: bool
    endpoints: list[Server]


class Config(msgspec.Struct):
    """The configuration file. `known` is the last list of servers from before this start."""

    name: str
    listen: str
    discovery: str
    seed: str | int
    settings: dict[str, Any]
    limits: Limits = msgspec.field(default_factory=Limits)
    peer_listen: str = ""
    peers: list[str] = []
    peers_all: str = ""
    known: ServerList | None = None


# Discovery's status of a server -> the decision module's state.
STATE_BY_STATUS = {"active": "open", "leaving": "draining", "left": "gone"}


def server_lines(server_list, wall_offset):
    """Converts a list of servers into lines as in `interface.ListedServer`.

    `wall_offset` is the wall clock minus the host's clock, in microseconds; start times are converted to the
    host's clock. Raises ConfigError."""
    lines = []
    for server in server_list.endpoints:
        if server.status not in STATE_BY_STATUS:
            raise ConfigError(f"{server.name}: unknown status {server.status[:40]!r}")
        if not (isfinite(server.weight) and 0 <= server.since_ms < 1e14):
            raise ConfigError(f"{server.name}: weight or since_ms is out of range")
        started_at = round(server.since_ms * 1000)
        lines.append(
            (
                server.name,
                server.zone,
                server.type,
                server.group,
                STATE_BY_STATUS[server.status],
                server.weight,
                started_at and max(started_at - wall_offset, 1),
            )
        )
    return lines


def format_value(value):
    """The text of a value as the simulator's protocol writes it."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value)


def flatten(nested, prefix=""):
    """Flattens nested settings into (path, text) pairs as the simulator's protocol writes them."""
    for name, value in nested.items():
        path = f"{prefix}{name}"
        if isinstance(value, dict):
            yield from flatten(value, f"{path}.")
        elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
            yield f"{path}.count", str(len(value))
            for index, item in enumerate(value):
                yield from flatten(item if isinstance(item, dict) else {}, f"{path}.{index}.")
        elif isinstance(value, list):
            yield path, ",".join(map(format_value, value))
        else:
            yield path, format_value(value)


def site_from_settings(settings):
    """The map of settings that the decision module is created with. Raises ConfigError."""
    # The number of op types has to follow from the length of the list: a large `services.count` that is given
    # directly would make `names` allocate a map for each op type.
    has_flattened_key = any(name.startswith("services.") for name in settings)
    if has_flattened_key or not isinstance(settings.get("services"), list):
        raise ConfigError("settings: services is not a list of op types")
    try:
        site = names.parse_site(dict(flatten(settings)))
    except (ValueError, KeyError, OverflowError, AttributeError, RecursionError) as error:
        raise ConfigError(f"settings: {error}") from None
    missing = [name for name in REQUIRED_SETTINGS if name not in site]
    if missing:
        raise ConfigError(f"settings: no value given for {', '.join(missing)}")
    required = ("name", "earnings", "target_latency", "op_timeout", "effect")
    if not site["op_types"] or any(field not in o for o in site["op_types"] for field in required):
        raise ConfigError(f"settings: at least one op type is required, each with {', '.join(required)}")
    if min(site["lines_per_s"], site["backlog"], site["cycle"], site["proxies"]) <= 0:
        raise ConfigError("settings: lines_per_s, backlog, cycle and proxies must be above 0")
    for values in (site, *site["op_types"]):
        not_finite = [
            name for name, value in values.items() if isinstance(value, float) and not isfinite(value)
        ]
        if not_finite:
            raise ConfigError(f"settings: not a finite number: {', '.join(not_finite)}")
    if site["head"] < 0:
        raise ConfigError("settings: head, the lines counted for each message itself, must not be negative")
    return {"messages_most": 0, "messages_window": 10_000_000, "probes": False, "peers": False, **site}


def parse_address(value, what):
    """(host, port) of an IPv4 or bracketed IPv6 address with a port.

    `what` names the address in the error message. Raises ConfigError."""
    match = ADDRESS_PATTERN.fullmatch(value)
    if not match or not 0 < int(match[2]) < 65536:
        raise ConfigError(f"{what}: not a valid IP address with port: {value[:80]!r}")
    return match[1].strip("[]"), int(match[2])


def read_config(path):
    """Reads and validates the configuration file; returns (config, site). Raises ConfigError."""
    try:
        with open(path, "rb") as file:
            config = msgspec.json.decode(file.read(), type=Config)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from None
    parse_address(config.listen, "listen")
    parse_address(config.discovery, "discovery")
    for peer in filter(None, [config.peer_listen, config.peers_all, *config.peers]):
        parse_address(peer, "peer address")
    try:
        config.seed = int(config.seed, 16) if isinstance(config.seed, str) else config.seed
    except ValueError:
        raise ConfigError(f"seed: not a hexadecimal number: {config.seed[:40]!r}") from None
    if config.known:
        server_lines(config.known, 0)
    return config, site_from_settings(config.settings)
