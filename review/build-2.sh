#!/usr/bin/env bash
# Builds what the scripts of review/4 on start beside the programs of the deploy file. The stand-ins
# are Python programs without dependencies, so this checks only that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib2/*.py [4-8]/*.py other-2/*/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"'
