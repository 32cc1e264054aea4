#!/bin/sh
# Checks the stand-ins of review/6 to review/10. They are Python programs and need no build; the scripts start the
# programs that the build of deploy/system.toml puts into target/bin.
set -eu
cd "$(dirname "$0")"
for it in standins-2/*.py [6-9]/run.py 10/run.py left-out-2/*/run.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$it"
done
