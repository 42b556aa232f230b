"""What a controller is told at its start, and again on SIGHUP: read and checked whole, or not at all."""

import re
from math import isfinite
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from foxstep.simhost import names

ADDRESS = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})")
Part = Annotated[float, Meta(gt=0)]
Whole = Annotated[int, Meta(ge=1)]
# What the controller can't do without, beside the op types.
NEEDED = ("controllers", "me", "zones", "cycle", "grace", "head", "lines_per_s", "backlog", "proxies", "step")


class ConfigError(ValueError):
    """What was told cannot be taken, and why, in one line."""


class Limits(msgspec.Struct):
    cores: Part = 1.0
    memory_mb: Part = 2048.0
    sockets: Whole = 4096


class Server(msgspec.Struct):
    """One entry of discovery's list."""

    name: Annotated[str, Meta(min_length=1, max_length=256)]
    address: str
    zone: str
    status: str
    type: str = ""
    group: int = 0
    weight: float = 1.0
    since_ms: float = 0.0


class Listed(msgspec.Struct):
    """The list, or what changed of it, in discovery's form."""

    index: int
    snapshot: bool
    endpoints: list[Server]


class Config(msgspec.Struct):
    name: str
    listen: str
    discovery: str
    seed: str | int
    settings: dict[str, Any]
    limits: Limits = msgspec.field(default_factory=Limits)
    peer_listen: str = ""
    peers: list[str] = []
    peers_all: str = ""
    known: Listed | None = None


STATUS = {"active": "open", "leaving": "draining", "left": "gone"}


def lines_of(listed, wall_offset):
    """Lines as `interface.Listed`, starts on the host's clock. Raises ConfigError."""
    lines = []
    for server in listed.endpoints:
        if server.status not in STATUS:
            raise ConfigError(f"{server.name}: no such status {server.status[:40]!r}")
        if not (isfinite(server.weight) and 0 <= server.since_ms < 1e14):
            raise ConfigError(f"{server.name}: weight and since_ms are numbers")
        began = round(server.since_ms * 1000)
        lines.append(
            (
                server.name,
                server.zone,
                server.type,
                server.group,
                STATUS[server.status],
                server.weight,
                began and max(began - wall_offset, 1),
            )
        )
    return lines


def text(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value)


def pairs(nested, path=""):
    """Nested values as the simulator's wire writes them: (path, text) pairs."""
    for name, value in nested.items():
        here = f"{path}{name}"
        if isinstance(value, dict):
            yield from pairs(value, f"{here}.")
        elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
            yield f"{here}.count", str(len(value))
            for place, item in enumerate(value):
                yield from pairs(item if isinstance(item, dict) else {}, f"{here}.{place}.")
        elif isinstance(value, list):
            yield here, ",".join(map(text, value))
        else:
            yield here, text(value)


def site_of(settings):
    """The plain map that the module gets. Raises ConfigError."""
    # Guards against a number of op types that is told rather than counted: a map for each would be made.
    spoofed = any(name.startswith("services.") for name in settings)
    if spoofed or not isinstance(settings.get("services"), list):
        raise ConfigError("settings: the op types are no list")
    try:
        site = names.site_of(dict(pairs(settings)))
    except (ValueError, KeyError, OverflowError, AttributeError, RecursionError) as error:
        raise ConfigError(f"settings: {error}") from None
    missing = [name for name in NEEDED if name not in site]
    if missing:
        raise ConfigError(f"settings lack what tells {', '.join(missing)}")
    needed = ("name", "earnings", "target_latency", "op_timeout", "effect")
    if not site["op_types"] or any(part not in o for o in site["op_types"] for part in needed):
        raise ConfigError(f"settings: an op type needs {', '.join(needed)}")
    if min(site["lines_per_s"], site["backlog"], site["cycle"], site["proxies"]) <= 0:
        raise ConfigError("settings: pace, backlog, cycle and number of proxies are above 0")
    for facts in (site, *site["op_types"]):
        endless = [name for name, value in facts.items() if isinstance(value, float) and not isfinite(value)]
        if endless:
            raise ConfigError(f"settings: {', '.join(endless)} is no number")
    if site["head"] < 0:
        raise ConfigError("settings: a message's own lines are not below 0")
    return {"messages_most": 0, "messages_window": 10_000_000, "probes": False, "peers": False, **site}


def parse_address(value, what):
    found = ADDRESS.fullmatch(value)
    if not found or not 0 < int(found[2]) < 65536:
        raise ConfigError(f"{what} is no address: {value[:80]!r}")
    return found[1].strip("[]"), int(found[2])


def read(path):
    """(config, site) from the configuration's file. Raises ConfigError."""
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
        parse_address(peer, "a peer")
    try:
        config.seed = int(config.seed, 16) if isinstance(config.seed, str) else config.seed
    except ValueError:
        raise ConfigError(f"seed is no hexadecimal number: {config.seed[:40]!r}") from None
    if config.known:
        lines_of(config.known, 0)
    return config, site_of(config.settings)
