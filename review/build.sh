#!/bin/sh
# Builds the stand-ins that the scripts start: Python modules without dependencies.
set -eu
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=$(mktemp -d)
export PYTHONPYCACHEPREFIX
trap 'rm -rf "$PYTHONPYCACHEPREFIX"' EXIT
python3 -m compileall -q standins [0-9]
