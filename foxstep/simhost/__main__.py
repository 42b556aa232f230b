"""`python -m foxstep.simhost`: the decisions on the simulator's wire, from standard input to standard output."""

import sys

from foxstep.simhost.host import Host

Host().run(sys.stdin.buffer, sys.stdout.buffer)
