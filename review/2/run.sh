#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
# Writes what was sent, answered and run to record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
timeout -k 5 110 .venv/bin/python review/2/case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;; # only the check itself ends with 10
    *) exit 2 ;;
esac
