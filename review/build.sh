#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs on the standard library: this compiles them all, so
# that one that does not compile is found here and not in a run.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 1; }
exec .venv/bin/python -m compileall -q review
