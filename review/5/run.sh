#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
test -d target/deps/pomeloglade_platform || exit 2
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 exec timeout -k 5 115 python3 "$here/case.py"
