#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." && [ -x .venv/bin/python ] || exit 2
PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python -P review/6/case.py
