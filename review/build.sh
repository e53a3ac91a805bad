#!/usr/bin/env bash
# Builds what the scripts start: the programs of the deploy file. The stand-ins are Python 3
# (standard library only); they are compiled once here to find syntax errors.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --bins
PYTHONDONTWRITEBYTECODE=1 python3 - review/lib/*.py review/[0-9]/*.py <<'P'
import ast, sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
P
