#!/bin/sh
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -B review/2/case.py
