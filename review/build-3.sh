#!/usr/bin/env bash
# Builds the stand-ins of the third review. They need nothing but Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib-3
