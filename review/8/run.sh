#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
# The case writes what was sent, answered and run to record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x .venv/bin/python ]; then
    echo "could not run: .venv is missing, run scripts/build" > review/8/record.txt
    exit 2
fi
PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python -P review/8/case.py
