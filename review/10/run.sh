#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 otherwise.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review exec python3 review/10/case.py
