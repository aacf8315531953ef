#!/bin/sh
# The stand-ins are Python sources that need the standard library alone: there is nothing to compile. This
# checks that the build of deploy/balancer.toml has been made and that every source can be read. No network.
set -e
cd "$(dirname "$0")"
test -x ../.venv/bin/python || { echo "no .venv: run the build of deploy/balancer.toml first" >&2; exit 2; }
for file in lib/*.py [0-9]*/*.py; do
    ../.venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
cd .. && .venv/bin/python -B -c 'import gevent, httptools, stackrouter.__main__'
