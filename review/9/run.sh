#!/bin/sh
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/9/case.py
