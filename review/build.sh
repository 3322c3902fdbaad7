#!/bin/sh
# Builds the stand-ins of the cases. They are Python of the standard library alone, so this checks that the environment of
# the deploy file's build line is there, and compiles them once.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "review: no .venv; run the build line of deploy/balancer.toml first" >&2; exit 1; }
.venv/bin/python - <<'PY'
import pathlib
import sys

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
import slipbay.router  # noqa: F401 - the program under review can be imported

print("review: stand-ins are ready, Python", sys.version.split()[0])
PY
