#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
test -x "$root/.venv/bin/python" || { echo "run build of deploy/balancer.toml first" >&2; exit 2; }
PYTHONPATH="$root/review" exec "$root/.venv/bin/python" "$here/case.py"
