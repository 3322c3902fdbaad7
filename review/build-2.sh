#!/bin/sh
# Prepares what the cases 6 to 10 start, after the build of the deploy file: the packages of the extras that a case
# switches on, read from pyproject.toml, and the stand-ins, which are Python and need no more than a compiler's look.
set -eu
cd "$(dirname "$0")/.."
packages=$(.venv/bin/python - <<'PYTHON'
import tomllib

with open("pyproject.toml", "rb") as file:
    extras = tomllib.load(file)["project"]["optional-dependencies"]
print("\n".join(extras["spiffe"] + extras["store"]))
PYTHON
)
printf '%s\n' "$packages" | .venv/bin/pip -q install -r requirements.txt -r /dev/stdin
for number in 6 7 8 9 10; do
    if [ -f "review/$number/case.py" ]; then
        .venv/bin/python -m py_compile review/rig2.py "review/$number/case.py"
    fi
done
