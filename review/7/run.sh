#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt in this folder. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 runs it without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
rm -f "$here/record.txt"
exec python3 "$here/case.py" "$here/record.txt"
