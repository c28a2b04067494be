#!/usr/bin/env bash
# Builds the stand-ins of the second review. They are Python without dependencies; this checks that
# each of them compiles, and that the build of the deploy file is there.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/cicadapier || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
for file in review/lib-2/*.py review/[0-9]*/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
