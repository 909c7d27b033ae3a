#!/bin/sh
# Builds the stand-ins of the cases: they are plain Python of the standard library, so this checks that they compile.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -P -B -c '
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
'
