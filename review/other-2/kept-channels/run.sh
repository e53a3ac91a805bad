#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run, and writes what was
# sent, answered and run to record.txt in this folder.
here=$(cd "$(dirname "$0")" && pwd)
exec python3 "$here/case.py" "$here/record.txt"
