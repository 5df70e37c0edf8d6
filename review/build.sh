#!/bin/sh
# Builds the stand-ins that the cases start: they are Python files that need
# the standard library only, so that building them is compiling them.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - standins.py */case.py <<'PYTHON'
import sys
for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as source:
        compile(source.read(), path, 'exec')
PYTHON
echo "stand-ins built"
