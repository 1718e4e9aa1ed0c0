#!/usr/bin/env bash
# Exit code 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0: the new configuration keeps the name of the route.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/8/scenario.py
