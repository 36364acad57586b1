#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start. The project's programs come from the build of the deploy file;
# the stand-ins are Python of review/rig-2 (standard library only), which needs no build and is only compiled as a check.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked -p sesamewing-platform
python3 - review/rig-2/*.py review/*/case.py <<'PY'
import ast
import sys

for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
PY
