#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
echo "the case has not run" > review/7/record.txt || exit 2
if ! test -x .venv/bin/python; then
    echo "could not run: no .venv, see the build line of deploy/balancer.toml" | tee review/7/record.txt
    exit 2
fi
.venv/bin/python -B review/7/case.py &
case_process=$!
trap 'kill -TERM "$case_process" 2> /dev/null' TERM INT
wait "$case_process"
code=$?
if test "$code" -gt 128; then # a signal came: the case ends what it started first
    wait "$case_process"
    code=2
fi
test "$code" -le 2 || code=2
exit "$code"
