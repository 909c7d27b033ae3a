#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python files that use the standard library of the deploy
# file's .venv alone, so there is nothing to install: each is compiled once, which shows that it can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
files=(review/standins_2.py)
for number in 6 7 8 9 10; do
    [ -f "review/$number/case.py" ] && files+=("review/$number/case.py")
done
exec .venv/bin/python -P -m py_compile "${files[@]}"
