#!/bin/sh
# Checks that the stand-ins of the second review compile; they need the standard library
# of Python 3.11 only. Run at the repository root, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")"
for source in standins/*.py 6/*.py 7/*.py 9/*.py 10/*.py; do
    [ -e "$source" ] || continue
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$source"
done
