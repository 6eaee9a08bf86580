#!/bin/sh
# Builds the stand-ins of review/4 to review/8. They are Python of the standard library.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in review/lib-2/*.py review/[4-8]/case.py; do
    [ ! -f "$file" ] || python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
