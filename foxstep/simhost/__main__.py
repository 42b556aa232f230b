"""`python -m foxstep.simhost`: the decisions on the simulator's wire, standard input to output."""

import sys

from foxstep.simhost.host import Host

Host().run(sys.stdin.buffer, sys.stdout.buffer)
