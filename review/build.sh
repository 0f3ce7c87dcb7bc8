#!/usr/bin/env bash
# Builds every stand-in that a script of this folder starts. All of them are Python, the project's own under
# tests/system included, so that nothing is compiled: this checks that the interpreter is there and reads them.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PY'
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("python 3.9 or later is needed")
files = [*pathlib.Path("tests/system").glob("*.py"), *pathlib.Path("review").rglob("*.py")]
for path in files:
    compile(path.read_text(), str(path), "exec")
print(f"{len(files)} stand-ins and scripts can be read")
PY
