#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: Python of the standard library only, so it
# checks that all of it compiles. The gateways come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q standins [0-9]
