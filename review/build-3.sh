#!/usr/bin/env bash
# Checks the stand-ins of the cases 11 to 15 and of left-out-3. They are Python programs and need no build; the programs under test come
# from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/standins-3/*.py review/1[1-5]/case.py review/left-out-3/*/case.py; do
    [ ! -e "$file" ] || python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
python3 -c 'import asyncio; asyncio.timeout' || { echo "the cases need Python 3.11 or later"; exit 1; }
