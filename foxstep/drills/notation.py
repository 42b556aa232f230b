"""The notation of drill days: one statement per line; `#` starts a comment. Times are in seconds.

site FILE                             the site file, from the folder of example sites
seconds N                             how long the day lasts; `--seconds` scales every time in it
servers N cores N work MS [queue N]   servers, and the mean work of an op on a warm core in milliseconds
proxies N rate OPS                    scripted proxies, and the ops per second that each receives
stock N rate OPS                      stock gRPC clients, each in a process of its own
reporters N rate OPS [stated PART]    proxies that forward nothing and send reports as if they did; PART is
                                      the largest accepted error of the controller's estimates
controllers N [lose PART]             controllers that share the proxies; PART of their notes is lost
balancers N rate OPS                  balancers that are advised over SASP, with one group per op type
mix TYPE PART ...                     the share of each op type
lag SECONDS                           the delay of the list service
at T burst xF for S                   all traffic grows by factor F
at T crash N back S                   N servers die and return cold after S seconds
at T silence N for S                  N servers accept ops but never answer, then restart cold
at T deploy N batch B drain S         N servers are replaced by cold ones, B at a time, each drained for S
at T drain N for S                    N servers drain for S, then return cold under the same address
at T lag S for S                      the list service has this delay instead of its usual one
at T hot xF for S                     the traffic of one proxy grows by factor F
at T slow xF for S                    every server takes F times as long
at T cut N for S                      N proxies reach no controller
at T kill back S                      the controller is killed and restarted (of several, each in turn)
at T stop for S                       the next controller in turn is suspended (SIGSTOP)
at T old back S                       like kill, but the store is restored to its state when the day began
at T hush for S                       no note between controllers arrives
at T deaf N for S                     no note to controller N arrives; its own notes do
at T isolate ZONE for S               controllers and proxies of the zone are cut off from all others
at T fail TYPE PART on N for S        PART of the ops of a type fail on N servers
at T lose PART on N for S             N servers do the work, but PART of their answers is lost
at T refuse N for S                   N servers close and refuse connections, then listen again (warm)
at T dear S on N for S                connections to N servers are reset, and new ones take S seconds to open
at T list broken for S                the list service ends its streams
at T late S for S                     the reports of proxies are delayed by S seconds
at T mute N for S                     the answers of N clients to tables never arrive
at T poison N for S                   N clients refuse every table
at T rejoin N                         the streams of N clients are broken, and dialled again by them
at T pause for S                      the reports of all reporters are held back, then arrive all at once
at T flood xF for S                   one reporter sends each report F times
at T remember                         the newest version becomes the target of a later rollback
at T bad N                            an operator pins the fleet to a hand-made table of N servers
at T rollback                         an operator rolls the fleet back to the remembered version
at T unpin                            an operator removes the pin
"""

import os
import re

from foxstep.site import InputError

DAYS_FOLDER = os.path.join(os.path.dirname(__file__), "days")
NUMBER = re.compile(r"x?(\d+(?:\.\d+)?)")
# Maps each verb to the words that follow it: N is a number, W a name, and other words stand for themselves.
EVENTS = {
    "burst": "N for N",
    "crash": "N back N",
    "silence": "N for N",
    "deploy": "N batch N drain N",
    "drain": "N for N",
    "lag": "N for N",
    "hot": "N for N",
    "slow": "N for N",
    "cut": "N for N",
    "kill": "back N",
    "fail": "W N on N for N",
    "refuse": "N for N",
    "lose": "N on N for N",
    "dear": "N on N for N",
    "list": "broken for N",
    "late": "N for N",
    "mute": "N for N",
    "poison": "N for N",
    "rejoin": "N",
    "remember": "",
    "bad": "N",
    "rollback": "",
    "unpin": "",
    "stop": "for N",
    "old": "back N",
    "hush": "for N",
    "deaf": "N for N",
    "isolate": "W for N",
    "pause": "for N",
    "flood": "N for N",
}
# Maps each statement that starts clients to the attribute of `Day` that takes their rate.
RATES = {
    "proxies": "proxy_rate",
    "stock": "stock_rate",
    "balancers": "balancer_rate",
    "reporters": "reporter_rate",
}
DURATION_WORDS = ("for", "back")  # words before a duration, which is scaled with the length of the day


class Day:
    """The parsed statements of a day.

    `events` are (time, verb, [numbers and names in order]) in order of time, `mix` maps an op type to its
    share, and `outside` holds external variables of the site file. `work` and times are in seconds.
    """

    def __init__(self, name):
        self.name = name
        self.site = ""
        self.seconds = 60.0
        self.lag = 1.0
        self.servers = 3
        self.cores = 2
        self.work = 0.05
        self.queue = 64
        self.proxies = self.stock = self.balancers = self.reporters = 0
        self.proxy_rate = self.stock_rate = self.balancer_rate = self.reporter_rate = 1.0
        self.stated = 0.0
        self.controllers = 1
        self.lose = 0.0
        self.mix = {}
        self.events = []
        self.outside = {}


def parse_number(word):
    match = NUMBER.fullmatch(word)
    if not match:
        raise ValueError(f"expected a number, got {word!r}")
    return float(match[1])


def parse_event(words, scale):
    """Parses the words of an `at` statement; its times are multiplied by `scale`."""
    at = parse_number(words[0]) * scale
    verb = words[1] if len(words) > 1 else ""
    if verb not in EVENTS:
        raise ValueError(f"expected one of {', '.join(EVENTS)}, got {verb!r}")
    pattern = EVENTS[verb].split()
    arguments = []
    previous = ""
    if len(words) - 2 != len(pattern):
        raise ValueError(f"expected 'at T {verb} {EVENTS[verb]}'")
    for expected, word in zip(pattern, words[2:], strict=True):
        if expected == "N":
            arguments.append(parse_number(word) * (scale if previous in DURATION_WORDS else 1))
        elif expected == "W":
            arguments.append(word)
        elif word != expected:
            raise ValueError(f"expected {expected!r}, got {word!r}")
        previous = word
    return at, verb, arguments


def read_day(name, seconds=None):
    """Reads a day by its name or path, scaled to last `seconds` if given.

    Raises InputError with the file, the line and what was expected there.
    """
    path = name if os.path.sep in name else os.path.join(DAYS_FOLDER, f"{name}.txt")
    try:
        with open(path) as file:
            lines = file.readlines()
    except OSError:
        known = sorted(n.removesuffix(".txt") for n in os.listdir(DAYS_FOLDER) if n.endswith(".txt"))
        raise InputError(f"no drill {name!r}; there are: {', '.join(known)}") from None
    day = Day(name)
    scale = 1.0
    line_number = 0
    try:
        for line in lines:
            line_number += 1
            words = line.split("#")[0].split()
            if not words:
                continue
            verb = words[0]
            arguments = words[1:]
            if verb == "site":
                day.site = arguments[0]
            elif verb == "seconds":
                scale = seconds / parse_number(arguments[0]) if seconds else 1.0
                day.seconds = parse_number(arguments[0]) * scale
            elif verb == "lag":
                day.lag = parse_number(arguments[0])
            elif verb == "servers":
                values = dict(
                    zip(
                        ["", *arguments[1::2]],
                        [parse_number(arguments[0]), *map(parse_number, arguments[2::2])],
                        strict=True,
                    )
                )
                day.servers = int(values[""])
                day.cores = int(values["cores"])
                day.work = values["work"] / 1000
                day.queue = int(values.get("queue", 64))
            elif verb in RATES and arguments[1] == "rate":
                setattr(day, verb, int(parse_number(arguments[0])))
                day.outside["proxies"] = str(max(1, day.proxies + day.stock + day.reporters))
                day.stated = parse_number(arguments[4]) if arguments[3:4] == ["stated"] else day.stated
                setattr(day, RATES[verb], parse_number(arguments[2]))
            elif verb == "controllers":
                day.controllers = int(parse_number(arguments[0]))
                day.lose = parse_number(arguments[2]) if len(arguments) > 1 else 0.0
            elif verb == "mix":
                day.mix = dict(zip(arguments[::2], map(parse_number, arguments[1::2]), strict=True))
            elif verb == "at":
                day.events.append(parse_event(arguments, scale))
            else:
                raise ValueError(f"no such statement: {verb!r}")
    except (ValueError, KeyError, IndexError) as error:
        raise InputError(f"{path}:{line_number}: {error}") from None
    day.events.sort(key=lambda event: event[0])
    return day
