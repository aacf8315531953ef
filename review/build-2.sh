#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are plain Python of the standard library,
# run by the interpreter of the deploy build, so all there is to build is their byte code, in a folder of its
# own. Run it after `build` of deploy/balancer.toml, from anywhere.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -c 'import stackrouter.__main__'
.venv/bin/python -m compileall -q review/lib2
