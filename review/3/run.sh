#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "no .venv: run the build of deploy/balancer.toml first" >&2; exit 2; }
exec ../../.venv/bin/python -B case.py
