"""The `foxstep` command and its subcommands' arguments; the work is in the files beside this one."""

import re
import sys

import click

from foxstep.commands import Refusing, logs
from foxstep.site import read_site

ADDRESS = re.compile(r"(\d+\.\d+\.\d+\.\d+|\[[0-9a-fA-F:]+\]):\d{1,5}")
LOOPBACK = re.compile(r"(127\.\d+\.\d+\.\d+|\[::1\]|localhost):\d{1,5}")


def loopback(ctx, param, value):
    if value is not None and not LOOPBACK.fullmatch(value):
        raise click.BadParameter(f"expected a loopback address and port such as 127.0.0.1:0, got {value!r}")
    return value


def pairs(ctx, param, values):
    for value in values:
        if "=" not in value:
            raise click.BadParameter(f"expected NAME=VALUE, got {value!r}")
    return dict(value.split("=", 1) for value in values)


def peers_of(ctx, param, values):
    """N=NOTES,ADDRESS,ZONE as number -> (notes, address, zone)."""
    made = {}
    for value in values:
        number, _, rest = value.partition("=")
        told = rest.split(",")
        if not number.isdecimal() or len(told) != 3 or not all(map(LOOPBACK.fullmatch, told[:2])):
            raise click.BadParameter(f"expected N=NOTES,ADDRESS,ZONE, got {value!r}")
        made[int(number)] = tuple(told)
    return made


def groups_of(ctx, param, values):
    """NAME=SERVER,... as name -> servers."""
    made = {}
    for value in values:
        name, _, servers = value.partition("=")
        listed = [server for server in servers.split(",") if server]
        if not name or not listed or not all(ADDRESS.fullmatch(server) for server in listed):
            raise click.BadParameter(f"expected NAME=ADDRESS:PORT,..., got {value!r}")
        made[name] = listed
    return made


@click.group(cls=Refusing)
@click.option("--log", "form", type=click.Choice(["json", "people"]), default="people", help="its form")
@click.option("--level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
def main(form, level):
    """Weights, subsets and levels for plain proxies, over gRPC."""
    logs.set_up(form, level)


@main.command()
@click.argument("site")
@click.option("--listen", default="127.0.0.1:0", callback=loopback, help="address to serve on")
@click.option("--list", "list_address", callback=loopback, help="address of the list service (EDS)")
@click.option("--sasp", callback=loopback, help="address to advise balancers on (SASP)")
@click.option("--me", type=click.IntRange(0, 63), help="this controller's number, the site's if not told")
@click.option("--zone", help="this controller's zone, the site's if not told")
@click.option("--notes", callback=loopback, help="address (UDP) to hear the other controllers on")
@click.option(
    "--peer",
    "peers",
    multiple=True,
    callback=peers_of,
    metavar="N=NOTES,ADDRESS,ZONE",
    help="another controller: its number, where it hears notes and proxies; may be given again",
)
@click.option("--lose", type=click.FloatRange(0, 1), default=0.0, help="part of its notes that a drill loses")
@click.option("--state", type=click.Path(file_okay=False), help="folder for what outlives a restart")
@click.option("--seed", type=int, default=1, help="of this controller's chance")
@click.option(
    "--decider",
    type=click.Choice(["balance", "even"]),
    default="balance",
    help="even: a baseline, every open server to every proxy alike",
)
@click.option(
    "--outside",
    multiple=True,
    callback=pairs,
    metavar="NAME=VALUE",
    help="a value for the site file's std.extVar",
)
@click.option("--tell", is_flag=True, help="print the address on standard output, once ready")
@click.option("--capture", type=click.Path(file_okay=False), help="folder for what is decided on, to replay")
@click.option(
    "--off",
    multiple=True,
    type=click.Choice(["bare", "twice", "drain", "cold", "queue"]),
    help="switch a guard off, to see a drill fail",
)
def serve(
    site,
    listen,
    list_address,
    sasp,
    state,
    seed,
    decider,
    outside,
    tell,
    off,
    me,
    zone,
    peers,
    capture,
    **told,
):
    """Run a controller of SITE until SIGTERM or ctrl-C."""
    from foxstep.commands.serve import run

    checked = read_site(site, **outside)
    if peers and not told["notes"]:
        raise click.UsageError("--peer needs --notes: where the others' notes are heard")
    me = checked.controllers.me if me is None else me
    run(
        checked,
        listen,
        list_address,
        state,
        seed,
        decider,
        tell,
        off,
        sasp,
        {"me": me, "zone": zone, "peers": peers, **told},
        capture,
    )


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def capture(folder):
    """Print what the capture in FOLDER holds; `foxstep serve --capture FOLDER` makes one."""
    from foxstep.commands.capture import show

    show(folder)


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--orders", type=click.Path(dir_okay=False), help="write the orders there, a line each")
@click.option("--on", is_flag=True, help="go on after the first difference")
def replay(folder, orders, on):
    """Play the capture in FOLDER to this version's decisions; exit 0 only if every order is as it was."""
    from foxstep.commands.capture import replay as run

    run(folder, orders, on)


@main.command()
@click.argument("site")
def check(site):
    """Check SITE and print the map of settings that the decisions get."""
    for name, value in sorted(read_site(site).plain().items()):
        click.echo(f"{name} = {value}")


@main.command()
@click.argument("address", callback=loopback)
@click.option("--json", "raw", is_flag=True, help="all of it, as JSON")
def inspect(address, raw):
    """Print what the controller at ADDRESS knows and what each proxy holds."""
    from foxstep.commands.inspect import run

    run(address, raw)


@main.command()
@click.argument("address", callback=loopback)
@click.option("--cluster", default="servers", help="the name that the list service knows the fleet by")
def servers(address, cluster):
    """Print the list of servers as the list service at ADDRESS tells it."""
    from foxstep.commands.servers import run

    run(address, cluster)


@main.command()
@click.argument("address", callback=loopback)
@click.option("--id", "ident", default="balancer", help="its name; no two may share one")
@click.option(
    "--group",
    "groups",
    multiple=True,
    required=True,
    callback=groups_of,
    metavar="NAME=SERVER,...",
    help="what it registers; may be given again",
)
@click.option("--pull", is_flag=True, help="ask for weights instead of having them sent")
@click.option("--seconds", type=click.FloatRange(0.1), help="stop after so many")
def advise(address, ident, groups, pull, seconds):
    """Register servers with the controller at ADDRESS over SASP and print the weights it advises."""
    from foxstep.commands.advise import run

    run(address, ident, groups, not pull, seconds)


@main.command()
@click.argument("name")
@click.option("--seconds", type=click.FloatRange(5, 7200), help="scale the day to so many")
@click.option("--record", "folder", type=click.Path(file_okay=False), help="where the record goes")
@click.option("--break", "break_rule", type=click.Choice([*"12345"]), help="switch one rule's guard off")
@click.option("--baseline", is_flag=True, help="play it with plain round robin too, side by side")
@click.option("--seed", type=int, default=1)
def drill(name, seconds, folder, break_rule, baseline, seed):
    """Play the bad day NAME through the live program and judge the rules from its record."""
    from foxstep.commands.drill import run

    run(name, seconds, folder, break_rule, baseline, seed)


@main.command()
@click.option("--sizes", default="10,120,400", help="numbers of proxies, set apart by commas")
@click.option("--servers", type=click.IntRange(2, 2000), default=110)
@click.option("--seconds", type=click.FloatRange(2, 600), default=15, help="of orders, at each size")
def measure(sizes, servers, seconds):
    """Measure a controller at several sizes: order to acceptance, CPU, memory, report intake."""
    from foxstep.measure.fleet import run

    run([int(size) for size in sizes.split(",")], servers, seconds)


@main.command()
@click.argument("site")
@click.option("--id", "ident", required=True, help="this proxy's own name; no two may share one")
@click.option("--zone", help="its zone, the site's if not told")
@click.option("--listen", default="127.0.0.1:0", callback=loopback, help="address to take ops on")
@click.option("--controller", "controllers", multiple=True, required=True, help="address; may be given again")
@click.option("--standing", multiple=True, help="a server to begin with; may be given again")
@click.option("--tell", is_flag=True, help="print the address on standard output, once ready")
def proxy(site, ident, zone, listen, controllers, standing, tell):
    """Run a proxy that forwards gRPC ops exactly as its controller's tables say."""
    from foxstep.commands.proxy import run

    for address in (*controllers, *standing):
        loopback(None, None, address)
    told = read_site(site)
    run(told, ident, zone or told.zone, listen, list(controllers), list(standing), tell)


def scoped(command):
    command = click.option("--zone", help="only proxies of this zone")(command)
    return click.option("--proxy", help="only this proxy")(command)


def scope_of(zone, proxy):
    if zone and proxy:
        raise click.UsageError("--zone or --proxy, not both")
    return f"zone {zone}" if zone else f"proxy {proxy}" if proxy else "fleet"


@main.group(cls=Refusing)
def tables():
    """Versions of tables: who holds what, and back to an earlier one."""


@tables.command("list")
@click.argument("address", callback=loopback)
@click.option("--most", type=click.IntRange(1, 1000), default=20, help="so many of the newest")
def tables_list(address, most):
    """Print the newest versions, why they came and how they did, and the rollbacks."""
    from foxstep.commands.tables import show_list

    show_list(address, most)


@tables.command("show")
@click.argument("address", callback=loopback)
@click.argument("proxy", required=False)
@click.option("--version", help="as of this version")
def tables_show(address, proxy, version):
    """Print what every proxy holds, or one PROXY's table."""
    from foxstep.commands.tables import show_table

    show_table(address, proxy, version)


@tables.command("diff")
@click.argument("address", callback=loopback)
@click.argument("old")
@click.argument("new")
def tables_diff(address, old, new):
    """Print what differs between versions OLD and NEW ("last-good" is one)."""
    from foxstep.commands.tables import show_diff

    show_diff(address, old, new)


@tables.command("rollback")
@click.argument("address", callback=loopback)
@click.argument("version")
@scoped
@click.option("--wait/--no-wait", default=True, help="follow it to its end")
def tables_rollback(address, version, zone, proxy, wait):
    """Bring proxies back to VERSION ("last-good" is one) in waves, and hold them there."""
    from foxstep.commands.tables import order

    sys.exit(0 if order(address, "rollback", scope_of(zone, proxy), version, wait=wait) else 1)


@tables.command("pin")
@click.argument("address", callback=loopback)
@click.argument("version")
@scoped
@click.option("--wait/--no-wait", default=True, help="follow it to its end")
def tables_pin(address, version, zone, proxy, wait):
    """Like rollback, but all at once."""
    from foxstep.commands.tables import order

    sys.exit(0 if order(address, "pin", scope_of(zone, proxy), version, wait=wait) else 1)


@tables.command("put")
@click.argument("address", callback=loopback)
@click.argument("lines", nargs=-1, required=True, metavar="SERVER=WEIGHT...")
@scoped
def tables_put(address, lines, zone, proxy):
    """Hold proxies to a table made by hand, as far as the rules leave it."""
    from foxstep.commands.tables import order

    try:
        table = {line.rpartition("=")[0]: float(line.rpartition("=")[2]) for line in lines}
    except ValueError:
        raise click.BadParameter(f"expected SERVER=WEIGHT, got {lines!r}") from None
    sys.exit(0 if order(address, "put", scope_of(zone, proxy), lines=table) else 1)


@tables.command("unpin")
@click.argument("address", callback=loopback)
@scoped
def tables_unpin(address, zone, proxy):
    """Let proxies follow the ordinary tables again."""
    from foxstep.commands.tables import question

    ended = question(address, "unpin", scope=scope_of(zone, proxy))["ended"]
    click.echo(f"{ended} ended")


@main.command("measure-tables")
def measure_tables():
    """Measure what versions cost in memory and in the store, beside plain copies."""
    from foxstep.measure.tables import run

    run()


@main.command("measure-proxy")
@click.option("--seconds", type=click.FloatRange(1, 60), default=4, help="for each way")
def measure_proxy(seconds):
    """Measure the proxy beside a direct client and a bare pass-through, and what a pick costs."""
    from foxstep.measure.proxy import run

    run(seconds)


@main.command("measure-sasp")
@click.option("--sizes", default="4x110,16x110,64x110,16x20,16x400", help="balancers x members, by commas")
def measure_sasp(sizes):
    """Measure the SASP front: codec, push latency, memory a session, questions a second."""
    from foxstep.measure.sasp import run

    run([tuple(map(int, size.split("x"))) for size in sizes.split(",")])


@main.command()
@click.argument("address", callback=loopback)
@click.option("--drain/--undrain", default=None, help="send all of its proxies to the others, or stop that")
@click.option("--move", nargs=2, metavar="PROXY N", help="send one proxy to another controller")
def peers(address, drain, move):
    """Print what the controller at ADDRESS knows of its peers, and whom it serves."""
    from foxstep.commands.peers import run

    run(address, drain, move)


@main.command("measure-intake")
@click.option("--seconds", type=click.FloatRange(2, 120), default=12, help="of orders, each way")
def measure_intake(seconds):
    """Measure reading of reports, sampling, memory, structures, and orders under a flood of reports."""
    from foxstep.measure.intake import run

    run(seconds)


@main.command("measure-takeover")
@click.option("--sizes", default="120,400", help="numbers of proxies, set apart by commas")
def measure_takeover(sizes):
    """Measure how long proxies are without an owner when their controller dies or stands still."""
    from foxstep.measure.takeover import run

    run([int(size) for size in sizes.split(",")])


@main.command("measure-joining")
@click.option("--sizes", default="400,800,1600", help="numbers of proxies, set apart by commas")
@click.option("--servers", type=click.IntRange(2, 2000), default=200)
@click.option("--part", type=click.FloatRange(0.01, 1), default=0.4, help="of a core that the controller has")
def measure_joining(sizes, servers, part):
    """Measure the CPU of a controller of the platform's to which most of a fleet comes at once."""
    from foxstep.measure.joining import main as run

    run([int(size) for size in sizes.split(",")], servers, part)


@main.command("measure-peers")
@click.option("--seconds", type=click.FloatRange(5, 3600), default=60, help="of calm, before one is killed")
def measure_peers(seconds):
    """Measure how soon a dead controller is found, false alarms and bytes, and moves of proxies."""
    from foxstep.measure.peers import run

    run(seconds)
