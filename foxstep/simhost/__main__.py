"""`python -m foxstep.simhost`: runs controllers on the simulator's protocol, from standard input to
output."""

import sys

from foxstep.simhost.host import Host

Host().run(sys.stdin.buffer, sys.stdout.buffer)
