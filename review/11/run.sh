#!/usr/bin/env bash
# Runs the case once; exits with 1 if the rule was broken, 0 if it held, 2 if it could
# not run. With TROUBLE=0 no channel goes silent.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review exec python3 review/11/paused_orders.py
