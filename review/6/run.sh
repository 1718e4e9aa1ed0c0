#!/usr/bin/env bash
# Exit code 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0: short checkpoints.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/6/scenario.py
