#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: they are plain Python without dependencies.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib
