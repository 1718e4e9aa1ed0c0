#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
exec python3 "$(dirname "$0")/case.py"
