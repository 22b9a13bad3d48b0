#!/bin/bash
# Checks the stand-ins and what the scripts need. Nothing is downloaded.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
# A build of the whole checkout leaves caches, which would look like cases.
find "$here" -name __pycache__ -type d -prune -exec rm -rf {} +
exec python3 -B - "$here" <<'PYTHON'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for path in sorted(Path(sys.argv[1]).rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
