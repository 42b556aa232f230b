#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start: Python of the standard library, compiled as a check.
# Runs after the build of the deploy file and needs no network.
set -eu
cd "$(dirname "$0")/.."
for folder in review/standins-2 review/6 review/7 review/8 review/9 review/10; do
    [ ! -d "$folder" ] || .venv/bin/python -m compileall -q "$folder"
done
