#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. 1: the rule was broken, 0: it held, 2: it could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
# The case writes what was sent, answered and run to record.txt in this folder.
if ! [ -x .venv/bin/python ]; then
    echo "could not run: there is no .venv, run scripts/build" > "$here/record.txt"
    exit 2
fi
exec .venv/bin/python -P -B "$here/case.py"
