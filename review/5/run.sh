#!/usr/bin/env bash
# Runs the case with a small deployment on loopback; claim.txt says what it guards against.
# Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}" PYTHONPATH=review exec python3 review/5/case.py
