#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python programs of this folder and of tests/standin, so nothing
# is compiled; this checks that they can be read. The program itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/standin-2/*.py review/[6-8]/*.py review/10/*.py tests/standin/*.py <<'CHECK'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
CHECK
