#!/usr/bin/env bash
# Runs the test once; exits with 1 if the rule was broken, 0 if it held, 2 if it could
# not run. With TROUBLE=0 the engines of the application answer with success.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review exec python3 review/beside-3/failing_service.py
