#!/usr/bin/env bash
# TROUBLE=0 runs the same without the disruption. Exits with 1 if the rule was broken.
cd "$(dirname "$0")" && exec env PYTHONDONTWRITEBYTECODE=1 python3 run.py
