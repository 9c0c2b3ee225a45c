#!/bin/sh
# Builds what the scripts of the second review start. The stand-ins need nothing but the
# standard library of Python 3.11, so they are only checked here.
set -eu
cd "$(dirname "$0")"
python3 -B - second/*.py [6-9]/case.py 10/case.py <<'PYTHON'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.is_file():
        compile(path.read_text("utf-8"), name, "exec")
PYTHON
