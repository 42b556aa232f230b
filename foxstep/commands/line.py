"""The `foxstep` command line: options and arguments of all subcommands, which other modules implement."""

import re
import sys

import click

from foxstep.commands import ErrorReportingGroup, logs
from foxstep.site import read_site

ADDRESS_PATTERN = re.compile(r"(\d+\.\d+\.\d+\.\d+|\[[0-9a-fA-F:]+\]):\d{1,5}")
LOOPBACK_PATTERN = re.compile(r"(127\.\d+\.\d+\.\d+|\[::1\]|localhost):\d{1,5}")


def validate_loopback(ctx, param, value):
    """Click callback: accepts a loopback address with a port, or None."""
    if value is not None and not LOOPBACK_PATTERN.fullmatch(value):
        raise click.BadParameter(f"expected a loopback address and port such as 127.0.0.1:0, got {value!r}")
    return value


def parse_pairs(ctx, param, values):
    """Click callback: NAME=VALUE options as a dict."""
    for value in values:
        if "=" not in value:
            raise click.BadParameter(f"expected NAME=VALUE, got {value!r}")
    return dict(value.split("=", 1) for value in values)


def parse_peers(ctx, param, values):
    """Click callback: N=NOTES,ADDRESS,ZONE options as controller number -> (notes, address, zone)."""
    peers = {}
    for value in values:
        number, _, rest = value.partition("=")
        fields = rest.split(",")
        if not number.isdecimal() or len(fields) != 3 or not all(map(LOOPBACK_PATTERN.fullmatch, fields[:2])):
            raise click.BadParameter(f"expected N=NOTES,ADDRESS,ZONE, got {value!r}")
        peers[int(number)] = tuple(fields)
    return peers


def parse_groups(ctx, param, values):
    """Click callback: NAME=SERVER,... options as group name -> list of servers."""
    groups = {}
    for value in values:
        name, _, servers = value.partition("=")
        members = [server for server in servers.split(",") if server]
        if not name or not members or not all(ADDRESS_PATTERN.fullmatch(server) for server in members):
            raise click.BadParameter(f"expected NAME=ADDRESS:PORT,..., got {value!r}")
        groups[name] = members
    return groups


@click.group(cls=ErrorReportingGroup)
@click.option(
    "--log", "form", type=click.Choice(["json", "people"]), default="people", help="format of the log"
)
@click.option("--level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
def main(form, level):
    """Server weights, subsets and admission levels for plain proxies, over gRPC."""
    logs.set_up(form, level)


@main.command()
@click.argument("site")
@click.option("--listen", default="127.0.0.1:0", callback=validate_loopback, help="address to serve on")
@click.option("--list", "list_address", callback=validate_loopback, help="address of the list service (EDS)")
@click.option("--sasp", callback=validate_loopback, help="address to serve balancers' SASP requests on")
@click.option("--me", type=click.IntRange(0, 63), help="this controller's number (default: the site's)")
@click.option("--zone", help="this controller's zone (default: the site's)")
@click.option(
    "--notes", callback=validate_loopback, help="UDP address to receive the other controllers' notes on"
)
@click.option(
    "--peer",
    "peers",
    multiple=True,
    callback=parse_peers,
    metavar="N=NOTES,ADDRESS,ZONE",
    help="another controller: its number, its addresses for notes and for proxies, its zone; repeatable",
)
@click.option(
    "--lose", type=click.FloatRange(0, 1), default=0.0, help="fraction of its notes to drop, for drills"
)
@click.option("--state", type=click.Path(file_okay=False), help="folder for the state kept across restarts")
@click.option("--seed", type=int, default=1, help="seed of this controller's random numbers")
@click.option(
    "--decider",
    type=click.Choice(["balance", "even"]),
    default="balance",
    help="even: a baseline that gives every proxy all open servers with equal weights",
)
@click.option(
    "--outside",
    "ext_vars",
    multiple=True,
    callback=parse_pairs,
    metavar="NAME=VALUE",
    help="a value for the site file's std.extVar",
)
@click.option("--tell", "print_address", is_flag=True, help="print the address on standard output when ready")
@click.option(
    "--capture",
    type=click.Path(file_okay=False),
    help="folder to record the decision module's inputs and orders in, for replay",
)
@click.option(
    "--off",
    "disabled_guards",
    multiple=True,
    type=click.Choice(["bare", "twice", "drain", "cold", "queue"]),
    help="disable a guard, so that a drill can show its rule broken; repeatable",
)
def serve(
    site,
    listen,
    list_address,
    sasp,
    state,
    seed,
    decider,
    ext_vars,
    print_address,
    disabled_guards,
    me,
    zone,
    peers,
    capture,
    **peer_options,
):
    """Run a controller of SITE until SIGTERM or ctrl-C."""
    from foxstep.commands.serve import run

    settings = read_site(site, **ext_vars)
    if peers and not peer_options["notes"]:
        raise click.UsageError("--peer needs --notes: the address to receive the others' notes on")
    me = settings.controllers.me if me is None else me
    run(
        settings,
        listen,
        list_address,
        state,
        seed,
        decider,
        print_address,
        disabled_guards,
        sasp,
        {"me": me, "zone": zone, "peers": peers, **peer_options},
        capture,
    )


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def capture(folder):
    """Print a summary of the capture in FOLDER; `foxstep serve --capture FOLDER` makes one."""
    from foxstep.commands.capture import show

    show(folder)


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--orders", type=click.Path(dir_okay=False), help="write the orders to this file, one per line")
@click.option("--on", "continue_after_difference", is_flag=True, help="continue after the first difference")
def replay(folder, orders, continue_after_difference):
    """Replay the capture in FOLDER with this version; exit 0 only if all orders are the same."""
    from foxstep.commands.capture import replay as run

    run(folder, orders, continue_after_difference)


@main.command()
@click.argument("site")
def check(site):
    """Check SITE and print the settings that the decision module gets."""
    for name, value in sorted(read_site(site).settings_map().items()):
        click.echo(f"{name} = {value}")


@main.command()
@click.argument("address", callback=validate_loopback)
@click.option("--json", "raw", is_flag=True, help="print the whole view as JSON")
def inspect(address, raw):
    """Print the state of the controller at ADDRESS and the tables of its proxies."""
    from foxstep.commands.inspect import run

    run(address, raw)


@main.command()
@click.argument("address", callback=validate_loopback)
@click.option("--cluster", default="servers", help="the fleet's resource name in the list service")
def servers(address, cluster):
    """Print the list of servers that the list service at ADDRESS gives."""
    from foxstep.commands.servers import run

    run(address, cluster)


@main.command()
@click.argument("address", callback=validate_loopback)
@click.option("--id", "ident", default="balancer", help="name of this balancer, unique among all")
@click.option(
    "--group",
    "groups",
    multiple=True,
    required=True,
    callback=parse_groups,
    metavar="NAME=SERVER,...",
    help="a group to register and its servers; repeatable",
)
@click.option("--pull", is_flag=True, help="poll for weights instead of having them pushed")
@click.option("--seconds", type=click.FloatRange(0.1), help="stop after this time")
def advise(address, ident, groups, pull, seconds):
    """Register servers with the controller at ADDRESS over SASP and print the weights it advises."""
    from foxstep.commands.advise import run

    run(address, ident, groups, not pull, seconds)


@main.command()
@click.argument("name")
@click.option("--seconds", type=click.FloatRange(5, 7200), help="scale the day to this duration")
@click.option("--record", "folder", type=click.Path(file_okay=False), help="folder for the record")
@click.option("--break", "break_rule", type=click.Choice([*"12345"]), help="disable the guard of one rule")
@click.option("--baseline", is_flag=True, help="run it with equal weights too and show both")
@click.option("--seed", type=int, default=1)
def drill(name, seconds, folder, break_rule, baseline, seed):
    """Run the drill NAME against the live program and check the rules against its record."""
    from foxstep.commands.drill import run

    run(name, seconds, folder, break_rule, baseline, seed)


@main.command()
@click.option("--sizes", default="10,120,400", help="numbers of proxies, separated by commas")
@click.option("--servers", type=click.IntRange(2, 2000), default=110)
@click.option("--seconds", type=click.FloatRange(2, 600), default=15, help="duration of orders at each size")
def measure(sizes, servers, seconds):
    """Measure a controller at several sizes: time from order to acceptance, CPU, memory, report intake."""
    from foxstep.measure.fleet import run

    run([int(size) for size in sizes.split(",")], servers, seconds)


@main.command()
@click.argument("site")
@click.option("--id", "ident", required=True, help="name of this proxy, unique among all")
@click.option("--zone", help="its zone (default: the site's)")
@click.option("--listen", default="127.0.0.1:0", callback=validate_loopback, help="address to serve ops on")
@click.option("--controller", "controllers", multiple=True, required=True, help="address; repeatable")
@click.option("--standing", multiple=True, help="a server to use before the first table; repeatable")
@click.option("--tell", "print_address", is_flag=True, help="print the address on standard output when ready")
def proxy(site, ident, zone, listen, controllers, standing, print_address):
    """Run a proxy that forwards gRPC ops as the tables of its controller say."""
    from foxstep.commands.proxy import run

    for address in (*controllers, *standing):
        validate_loopback(None, None, address)
    settings = read_site(site)
    run(settings, ident, zone or settings.zone, listen, list(controllers), list(standing), print_address)


def scope_options(command):
    """Decorator: adds the options that limit an order to one zone or one proxy."""
    command = click.option("--zone", help="only proxies of this zone")(command)
    return click.option("--proxy", help="only this proxy")(command)


def format_scope(zone, proxy):
    """The scope of an order in the operator service's syntax: "zone NAME", "proxy ID" or "fleet"."""
    if zone and proxy:
        raise click.UsageError("--zone or --proxy, not both")
    return f"zone {zone}" if zone else f"proxy {proxy}" if proxy else "fleet"


@main.group(cls=ErrorReportingGroup)
def tables():
    """Versions of tables: show which proxy holds which, and roll back to an earlier one."""


@tables.command("list")
@click.argument("address", callback=validate_loopback)
@click.option("--most", "max_versions", type=click.IntRange(1, 1000), default=20, help="number of versions")
def tables_list(address, max_versions):
    """Print the newest versions with their causes and outcomes, and the rollbacks."""
    from foxstep.commands.tables import show_list

    show_list(address, max_versions)


@tables.command("show")
@click.argument("address", callback=validate_loopback)
@click.argument("proxy", required=False)
@click.option("--version", help="show the table as of this version")
def tables_show(address, proxy, version):
    """Print which version each proxy holds, or the table of one PROXY."""
    from foxstep.commands.tables import show_table

    show_table(address, proxy, version)


@tables.command("diff")
@click.argument("address", callback=validate_loopback)
@click.argument("old")
@click.argument("new")
def tables_diff(address, old, new):
    """Print the differences between versions OLD and NEW; either may be "last-good"."""
    from foxstep.commands.tables import show_diff

    show_diff(address, old, new)


@tables.command("rollback")
@click.argument("address", callback=validate_loopback)
@click.argument("version")
@scope_options
@click.option("--wait/--no-wait", default=True, help="follow it until it ends")
def tables_rollback(address, version, zone, proxy, wait):
    """Move proxies to VERSION (or "last-good") in waves and hold them there."""
    from foxstep.commands.tables import order

    sys.exit(0 if order(address, "rollback", format_scope(zone, proxy), version, wait=wait) else 1)


@tables.command("pin")
@click.argument("address", callback=validate_loopback)
@click.argument("version")
@scope_options
@click.option("--wait/--no-wait", default=True, help="follow it until it ends")
def tables_pin(address, version, zone, proxy, wait):
    """Move proxies to VERSION all at once and hold them there."""
    from foxstep.commands.tables import order

    sys.exit(0 if order(address, "pin", format_scope(zone, proxy), version, wait=wait) else 1)


@tables.command("put")
@click.argument("address", callback=validate_loopback)
@click.argument("lines", nargs=-1, required=True, metavar="SERVER=WEIGHT...")
@scope_options
def tables_put(address, lines, zone, proxy):
    """Hold proxies to a table given by hand, within the limits of the rules."""
    from foxstep.commands.tables import order

    try:
        table = {line.rpartition("=")[0]: float(line.rpartition("=")[2]) for line in lines}
    except ValueError:
        raise click.BadParameter(f"expected SERVER=WEIGHT, got {lines!r}") from None
    sys.exit(0 if order(address, "put", format_scope(zone, proxy), lines=table) else 1)


@tables.command("unpin")
@click.argument("address", callback=validate_loopback)
@scope_options
def tables_unpin(address, zone, proxy):
    """End rollbacks and pins: proxies get the current tables again."""
    from foxstep.commands.tables import call

    ended = call(address, "unpin", scope=format_scope(zone, proxy))["ended"]
    click.echo(f"{ended} ended")


@main.command("measure-tables")
def measure_tables():
    """Measure the memory and storage that versions take, compared with plain copies."""
    from foxstep.measure.tables import run

    run()


@main.command("measure-proxy")
@click.option("--seconds", type=click.FloatRange(1, 60), default=4, help="duration for each path")
def measure_proxy(seconds):
    """Measure the proxy against a direct client and a plain pass-through, and the cost of a pick."""
    from foxstep.measure.proxy import run

    run(seconds)


@main.command("measure-sasp")
@click.option(
    "--sizes",
    default="4x110,16x110,64x110,16x20,16x400",
    help="sizes as balancers x members, separated by commas",
)
def measure_sasp(sizes):
    """Measure the SASP front: codec, push latency, memory per session, requests per second."""
    from foxstep.measure.sasp import run

    run([tuple(map(int, size.split("x"))) for size in sizes.split(",")])


@main.command()
@click.argument("address", callback=validate_loopback)
@click.option(
    "--drain/--undrain",
    default=None,
    help="redirect all of its proxies to the other controllers, or stop that",
)
@click.option("--move", nargs=2, metavar="PROXY N", help="redirect one proxy to controller number N")
def peers(address, drain, move):
    """Print the peers of the controller at ADDRESS and the proxies it serves."""
    from foxstep.commands.peers import run

    run(address, drain, move)


@main.command("measure-intake")
@click.option(
    "--seconds", type=click.FloatRange(2, 120), default=12, help="duration of orders in each variant"
)
def measure_intake(seconds):
    """Measure report reading, sampling, memory, structures, and orders during a flood of reports."""
    from foxstep.measure.intake import run

    run(seconds)


@main.command("measure-takeover")
@click.option("--sizes", default="120,400", help="numbers of proxies, separated by commas")
def measure_takeover(sizes):
    """Measure how long proxies have no controller when theirs is killed or stopped."""
    from foxstep.measure.takeover import run

    run([int(size) for size in sizes.split(",")])


@main.command("measure-joining")
@click.option("--sizes", default="400,800,1600", help="numbers of proxies, separated by commas")
@click.option("--servers", type=click.IntRange(2, 2000), default=200)
@click.option(
    "--part",
    "cpu_fraction",
    type=click.FloatRange(0.01, 1),
    default=0.4,
    help="fraction of a core it may use",
)
def measure_joining(sizes, servers, cpu_fraction):
    """Measure the CPU of a controller on the platform that most of a fleet joins at once."""
    from foxstep.measure.joining import main as run

    run([int(size) for size in sizes.split(",")], servers, cpu_fraction)


@main.command("measure-peers")
@click.option(
    "--seconds",
    type=click.FloatRange(5, 3600),
    default=60,
    help="duration without faults, before one is killed",
)
def measure_peers(seconds):
    """Measure failure detection between controllers (delay, false alarms, bytes) and moves of proxies."""
    from foxstep.measure.peers import run

    run(seconds)
