#!/bin/bash
# Compiles the stand-ins and checks what the scripts need. Nothing is downloaded.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 2
exec python3 -m compileall -q "$here/lib"
