#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they are Python programs that need only its standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py [0-9]*/*.py left-out/*/*.py <<'P'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as f:
        compile(f.read(), name, "exec")
P
echo "stand-ins are ready"
