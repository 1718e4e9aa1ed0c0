#!/usr/bin/env bash
# Exit code 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0: the jobs come one after the other.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/7/scenario.py
